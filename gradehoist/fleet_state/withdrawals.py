"""Which replicas are withdrawn, and which changes of that are still to be written, in the order they came."""

from collections.abc import Collection

from gradehoist.actors import Actor, MessageLoop
from gradehoist.messages import Availability, LiftWithdrawal, SetAvailability


class Withdrawals(Actor):
    """Availability of replicas as proxies have it, and as they should have it."""

    def __init__(self, loop: MessageLoop) -> None:
        """Create the record of a fleet with nothing withdrawn."""
        super().__init__(loop)
        self.pending: dict[int, Availability] = {}  # a change of what is pending keeps its place
        self.withdrawn: dict[int, Availability] = {}

    def _on_set_availability(self, change: SetAvailability) -> None:
        replica = change.replica
        if replica not in self.withdrawn:
            self.pending[replica] = change.availability
            return
        self.pending.pop(replica, None)
        if change.availability is Availability.AVAILABLE:
            self.pending[replica] = change.availability
        else:
            self.withdrawn[replica] = change.availability

    def _on_lift_withdrawal(self, order: LiftWithdrawal) -> None:
        if self.withdrawn.get(order.replica) is Availability.GONE:
            self.pending[order.replica] = Availability.AVAILABLE

    def due(self, kinds: Collection[Availability]) -> list[int]:
        """Return the replicas with a pending change of these kinds, the first known first."""
        return [replica for replica, availability in self.pending.items() if availability in kinds]

    def has_pending(self, kinds: Collection[Availability]) -> bool:
        """Whether a change of these kinds is pending."""
        return any(availability in kinds for availability in self.pending.values())

    def withdraw(self, replica: int) -> None:
        """Count a pending withdrawal as written."""
        self.withdrawn[replica] = self.pending.pop(replica)

    def readmit(self, replica: int) -> bool:
        """Count a pending return as written; return whether there was a withdrawal to lift."""
        del self.pending[replica]
        return self.withdrawn.pop(replica, None) is not None
