"""Removal of replicas that stay gone for the retention time that the caller sets."""

from collections.abc import Callable

from gradehoist.actors import Actor, MessageLoop
from gradehoist.fleet_state.replica_table import ReplicaTable
from gradehoist.interface import Phase
from gradehoist.messages import LiftWithdrawal, ReplicasReadmitted, ReplicaState, RetentionExpired


class ReplicaRetention(Actor):
    """Lifts the withdrawal of a replica whose retention time has passed, and removes it at that moment."""

    def __init__(
        self, loop: MessageLoop, replicas: ReplicaTable, delay_us: int, on_removed: Callable[[], None]
    ) -> None:
        """Create a tracker without replicas; `on_removed` is called for each one that is removed."""
        super().__init__(loop)
        self._replicas = replicas
        self._delay_us = delay_us
        self._removal_callback = on_removed
        self._removable: set[int] = set()

    def track(self, state: ReplicaState) -> None:
        """Start the retention time of a replica that is gone; keep one that has come back."""
        replica = state.endpoint.replica
        if state.endpoint.phase is Phase.GONE:
            self.loop.schedule(self._delay_us, self, RetentionExpired(replica))
        else:
            self._removable.discard(replica)

    def _on_retention_expired(self, expired: RetentionExpired) -> None:
        state = self._replicas.states.get(expired.replica)
        if state is not None and state.endpoint.phase is Phase.GONE:
            self._removable.add(expired.replica)
            self.loop.publish(LiftWithdrawal(expired.replica))

    def _on_replicas_readmitted(self, readmitted: ReplicasReadmitted) -> None:
        for replica in self._removable.intersection(readmitted.replicas):
            self._removable.discard(replica)
            self._replicas.remove(replica)
            self._removal_callback()
