"""Assignments of tenants to cells, as governors and replicas store and enforce them.

This module does no I/O. Each tenant has a generation number, and each generation belongs to one cell. A
process that learns of a higher generation no longer accepts any lower one.

- `ReplicaFence` runs at a replica. It accepts a write only while the replica holds a lease, and only for the
  generation that is open in the replica's cell. Its assignments and completed writes survive a crash; its
  lease does not.
- `TenantDirectory` runs at a governor. It holds the assignments that the governor was notified of, which are
  persisted before they are acknowledged. Heartbeats renew the replicas' leases and carry the whole directory,
  so a replica never holds a lease from a governor that knows a newer assignment than the replica does.

Both classes are immutable: their methods return the next state, which the caller persists.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

StringSet = frozenset[str]
EMPTY_STRING_SET: StringSet = frozenset()

FIRST_GENERATION = 1  # the generation of a tenant that has never migrated


class WriteDecision(Enum):
    """A replica's decision on a write.

    Only ACCEPT runs the write; WRONG_CELL and NO_LEASE prove that this attempt never ran.
    """

    ACCEPT = "take"
    # A write with this key has completed: the replica repeats the response and does not run it again.
    DUPLICATE = "known"
    # A write with this key is running: the client has to retry later.
    IN_FLIGHT = "busy"
    WRONG_CELL = "moved"
    NO_LEASE = "no lease"


class TenantAssignment(NamedTuple):
    """The cell that serves a tenant in one generation; encoded as an array.

    Attributes:
        tenant: The name of the tenant.
        generation: The tenant's generation, which each migration increments.
        migration_id: The migration that made this assignment.
        cell: The cell that accepts the tenant's requests, or "" while no cell does.
        completed_keys: Keys of writes completed in the previous cell, which replicas of the new cell must not
            run again.
    """

    tenant: str
    generation: int
    migration_id: str
    cell: str = ""
    completed_keys: StringSet = EMPTY_STRING_SET

    @property
    def token(self) -> FencingToken:
        """The fencing token that orders the assignments of a tenant."""
        return FencingToken(self.generation, self.migration_id)

    def supersedes(self, other: TenantAssignment | None) -> bool:
        """Whether this assignment replaces `other`.

        It does with a higher generation, or if it opens the cell that `other`, of the same migration, left
        closed.
        """
        if other is None:
            return True
        match compare_tokens(self.token, other.token):
            case TokenOrder.NEWER:
                return True
            case TokenOrder.SAME:
                return bool(self.cell) and not other.cell
        return False


class AssignmentAck(NamedTuple):
    """The acknowledgement of an assignment; encoded as an array.

    Attributes:
        sender: The governor or replica that acknowledges.
        assignment: The assignment that it now follows, which may be newer than the one it was sent.
        has_writes_in_flight: Whether writes of the tenant are still running at the sender.
        completed_keys: Keys of the tenant's writes that the sender knows as completed.
    """

    sender: str
    assignment: TenantAssignment
    has_writes_in_flight: bool = False
    completed_keys: StringSet = EMPTY_STRING_SET


Assignments = Mapping[str, TenantAssignment]


@dataclass(frozen=True, slots=True)
class ReplicaFence:
    """Decides which writes a replica may run.

    Attributes:
        name: The name of the replica.
        cell: The cell that the replica belongs to.
        assignments: The latest assignment of each tenant; persisted.
        completed: Keys of completed writes by tenant; persisted.
        lease_until_us: The time at which the replica's lease expires; lost when the process ends.
        in_flight: Keys of running writes by tenant; lost when the process ends.
    """

    name: str
    cell: str
    assignments: Assignments = field(default_factory=dict)
    completed: Mapping[str, StringSet] = field(default_factory=dict)
    lease_until_us: int = -1
    in_flight: Mapping[str, StringSet] = field(default_factory=dict)

    def restarted(self) -> ReplicaFence:
        """Returns the fence as it is after a crash of the replica: without a lease or running writes."""
        return replace(self, lease_until_us=-1, in_flight={})

    def check_write(
        self, now_us: int, tenant: str, cell: str, generation: int, key: str
    ) -> tuple[ReplicaFence, WriteDecision]:
        """Decides on a write that a proxy routed to `cell` in `generation`; returns the fence after it."""
        assignment = self.assignments.get(tenant)
        if cell != self.cell or not self._is_open(assignment, generation):
            return self, WriteDecision.WRONG_CELL
        if now_us >= self.lease_until_us:
            return self, WriteDecision.NO_LEASE
        if key in self.completed.get(tenant, EMPTY_STRING_SET):
            return self, WriteDecision.DUPLICATE
        if assignment is not None and key in assignment.completed_keys:
            return self, WriteDecision.DUPLICATE
        running = self.in_flight.get(tenant, EMPTY_STRING_SET)
        if key in running:
            return self, WriteDecision.IN_FLIGHT
        accepted = replace(self, in_flight={**self.in_flight, tenant: running | {key}})
        return accepted, WriteDecision.ACCEPT

    def complete_write(self, tenant: str, key: str) -> ReplicaFence:
        """Returns the fence after an accepted write took effect, to be persisted together with the effect."""
        completed = self.completed.get(tenant, EMPTY_STRING_SET) | {key}
        return replace(self.abandon_write(tenant, key), completed={**self.completed, tenant: completed})

    def abandon_write(self, tenant: str, key: str) -> ReplicaFence:
        """Returns the fence without an accepted write that will not run, because its client has given up."""
        remaining = self.in_flight.get(tenant, EMPTY_STRING_SET) - {key}
        return replace(self, in_flight={**self.in_flight, tenant: remaining})

    def apply_assignment(self, assignment: TenantAssignment) -> tuple[ReplicaFence, AssignmentAck]:
        """Applies an assignment unless a newer one is known.

        Returns the fence and the acknowledgement, which may be sent only once the fence is persisted.
        """
        after = self
        if assignment.supersedes(self.assignments.get(assignment.tenant)):
            after = replace(self, assignments={**self.assignments, assignment.tenant: assignment})
        current = after.assignments[assignment.tenant]
        completed = after.completed.get(assignment.tenant, EMPTY_STRING_SET)
        return after, AssignmentAck(
            sender=self.name,
            assignment=current,
            has_writes_in_flight=bool(after.in_flight.get(assignment.tenant)),
            completed_keys=completed | current.completed_keys,
        )

    def renew_lease(
        self, now_us: int, lease_us: int, assignments: Iterable[TenantAssignment]
    ) -> ReplicaFence:
        """Returns the fence after a governor's heartbeat, which carries the governor's whole directory."""
        after = self
        for assignment in assignments:
            after, _ = after.apply_assignment(assignment)
        return replace(after, lease_until_us=max(after.lease_until_us, now_us + lease_us))

    def _is_open(self, assignment: TenantAssignment | None, generation: int) -> bool:
        """Whether the replica's cell accepts writes of this generation of a tenant."""
        if assignment is None:
            return generation == FIRST_GENERATION
        return generation == assignment.generation and assignment.cell == self.cell


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """The assignments that a governor knows, by tenant; persisted before they are acknowledged."""

    name: str
    assignments: Assignments = field(default_factory=dict)

    def apply_assignment(self, assignment: TenantAssignment) -> tuple[TenantDirectory, AssignmentAck]:
        """Applies an assignment unless a newer one is known.

        Returns the directory and the acknowledgement, which may be sent only once the directory is persisted.
        """
        after = self
        if assignment.supersedes(self.assignments.get(assignment.tenant)):
            after = replace(self, assignments={**self.assignments, assignment.tenant: assignment})
        return after, AssignmentAck(self.name, after.assignments[assignment.tenant])

    def heartbeat_assignments(self) -> tuple[TenantAssignment, ...]:
        """Returns all assignments, which each heartbeat carries."""
        return tuple(self.assignments.values())

    def route(self, tenant: str, home: str) -> tuple[str, int] | None:
        """Returns the cell and generation that proxies route a tenant to.

        Returns None while no cell is open to the tenant. `home` is the cell of a tenant that has never
        migrated.
        """
        assignment = self.assignments.get(tenant)
        if assignment is None:
            return home, FIRST_GENERATION
        return (assignment.cell, assignment.generation) if assignment.cell else None
