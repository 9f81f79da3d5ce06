"""Removal of replicas that stay gone; how long they are kept is the caller's decision."""

from collections.abc import Callable

from gradehoist.actors import Actor, MessageLoop
from gradehoist.fleet_state.replica_table import ReplicaTable
from gradehoist.interface import Phase
from gradehoist.messages import LiftWithdrawal, ReplicasReadmitted, ReplicaState, RetentionExpired


class ReplicaRetention(Actor):
    """Has the withdrawal of a replica lifted that was gone for long, and forgets it with that."""

    def __init__(
        self, loop: MessageLoop, replicas: ReplicaTable, delay_us: int, on_removed: Callable[[], None]
    ) -> None:
        """Create a record of no replicas; `on_removed` is called for each that is forgotten."""
        super().__init__(loop)
        self._replicas = replicas
        self._delay_us = delay_us
        self._removal_callback = on_removed
        self._removable: set[int] = set()

    def track(self, state: ReplicaState) -> None:
        """Forget a replica that has gone and is still gone later; keep one that came back."""
        replica = state.endpoint.replica
        if state.endpoint.phase is Phase.GONE:
            self.loop.schedule(self._delay_us, self, RetentionExpired(replica))
        else:
            self._removable.discard(replica)

    def _on_retention_expired(self, due: RetentionExpired) -> None:
        state = self._replicas.states.get(due.replica)
        if state is not None and state.endpoint.phase is Phase.GONE:
            self._removable.add(due.replica)
            self.loop.publish(LiftWithdrawal(due.replica))

    def _on_replicas_readmitted(self, readmitted: ReplicasReadmitted) -> None:
        for replica in self._removable.intersection(readmitted.replicas):
            self._removable.discard(replica)
            self._replicas.remove(replica)
            self._removal_callback()
