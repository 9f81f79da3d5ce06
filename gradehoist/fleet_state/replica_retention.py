"""Removal of replicas that stay gone; how long they are kept is the caller's decision."""

from collections.abc import Callable

from gradehoist.actors import Actor, MessageLoop
from gradehoist.fleet_state.replica_table import ReplicaTable
from gradehoist.interface import Phase
from gradehoist.messages import ForgetDue, LiftWithdrawal, ReplicasReadmitted, ReplicaState


class ReplicaRetention(Actor):
    """Has the withdrawal of a replica lifted that was gone for long, and forgets it with that."""

    def __init__(
        self, loop: MessageLoop, replicas: ReplicaTable, delay_us: int, on_forgotten: Callable[[], None]
    ) -> None:
        """Create a record of no replicas; `on_forgotten` is called for each that is forgotten."""
        super().__init__(loop)
        self._replicas = replicas
        self._delay_us = delay_us
        self._on_forgotten = on_forgotten
        self._forgettable: set[int] = set()

    def follow(self, state: ReplicaState) -> None:
        """Forget a replica that has gone and is still gone later; keep one that came back."""
        replica = state.endpoint.replica
        if state.endpoint.phase is Phase.GONE:
            self.loop.schedule(self._delay_us, self, ForgetDue(replica))
        else:
            self._forgettable.discard(replica)

    def _on_forget_due(self, due: ForgetDue) -> None:
        state = self._replicas.states.get(due.replica)
        if state is not None and state.endpoint.phase is Phase.GONE:
            self._forgettable.add(due.replica)
            self.loop.publish(LiftWithdrawal(due.replica))

    def _on_replicas_readmitted(self, readmitted: ReplicasReadmitted) -> None:
        for replica in self._forgettable.intersection(readmitted.replicas):
            self._forgettable.discard(replica)
            self._replicas.forget(replica)
            self._on_forgotten()
