"""Which replicas are withdrawn, and the pending changes of that, in the order in which they came."""

from collections.abc import Collection

from gradehoist.actors import Actor, MessageLoop
from gradehoist.messages import URGENT, Availability, LiftWithdrawal, SetAvailability


class Withdrawals(Actor):
    """Availability of replicas: what has been written to proxies, and what is still to be written."""

    def __init__(self, loop: MessageLoop) -> None:
        """Create the state of a fleet without withdrawn replicas."""
        super().__init__(loop)
        # Changes to be written, the oldest first. Updating an entry keeps its position.
        self.pending: dict[int, Availability] = {}
        # Since when each replica with a pending urgent withdrawal has been known to drain or to be gone.
        self.urgent_since_us: dict[int, int] = {}
        # Withdrawn replicas, and why each of them is withdrawn.
        self.withdrawn: dict[int, Availability] = {}

    def _on_set_availability(self, change: SetAvailability) -> None:
        replica = change.replica
        if replica not in self.withdrawn:
            self.pending[replica] = change.availability
            if change.availability in URGENT:
                self.urgent_since_us.setdefault(replica, self.loop.now_us)
            else:
                self.urgent_since_us.pop(replica, None)
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
        """Return the replicas with a pending change to one of `kinds`, the oldest first."""
        return [replica for replica, availability in self.pending.items() if availability in kinds]

    def has_pending(self, kinds: Collection[Availability]) -> bool:
        """Return whether a change to one of `kinds` is pending."""
        return any(availability in kinds for availability in self.pending.values())

    def withdraw(self, replica: int) -> None:
        """Record that a pending withdrawal is written."""
        self.withdrawn[replica] = self.pending.pop(replica)
        self.urgent_since_us.pop(replica, None)

    def readmit(self, replica: int) -> bool:
        """Record that a pending readmission is written; return whether there was a withdrawal to lift."""
        del self.pending[replica]
        return self.withdrawn.pop(replica, None) is not None
