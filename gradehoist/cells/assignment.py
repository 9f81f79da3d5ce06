"""Tenant assignments, and what governors and replicas know of them. Free of I/O.

Each tenant has a generation. A generation has one cell; a higher one ends all lower ones where it is known.

- `ReplicaFence`, at a replica, accepts a write only under a lease and only of the generation that is open
  there. The assignments that it knows and the writes that it completed outlive a crash; its lease does not.
- `TenantDirectory`, at a governor, holds the assignments that it was notified of, persisted before they are
  acknowledged. Its heartbeats renew leases and carry the whole directory, so no replica has a lease from a
  governor that knows more than the replica does.

Both are frozen values with methods that return the next one; the caller persists it.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

WriteKeys = frozenset[str]
NO_WRITE_KEYS: WriteKeys = frozenset()

FIRST_GENERATION = 1  # of a tenant that was never migrated


class WriteDecision(Enum):
    """What a replica decides on a write: ACCEPT alone runs it; WRONG_CELL, NO_LEASE prove it never ran."""

    ACCEPT = "take"
    DUPLICATE = "known"  # the key was completed before: it is answered again and not run
    IN_FLIGHT = "busy"  # the key is running: retry
    WRONG_CELL = "moved"
    NO_LEASE = "no lease"


class TenantAssignment(NamedTuple):
    """Where a tenant lives from a generation on; encoded as an array.

    Attributes:
        tenant: Name of the tenant.
        generation: Of the tenant; it grows with each migration.
        migration_id: The migration that made this assignment.
        cell: The cell that is open to it, or "" where it is closed everywhere.
        completed_keys: Writes completed elsewhere, which replicas of the cell have to know.
    """

    tenant: str
    generation: int
    migration_id: str
    cell: str = ""
    completed_keys: WriteKeys = NO_WRITE_KEYS

    @property
    def token(self) -> FencingToken:
        """The token by which assignments of a tenant are ordered."""
        return FencingToken(self.generation, self.migration_id)

    def supersedes(self, other: TenantAssignment | None) -> bool:
        """Whether it is newer than another: a higher generation, or the opening by the same migration."""
        if other is None:
            return True
        match compare_tokens(self.token, other.token):
            case TokenOrder.NEWER:
                return True
            case TokenOrder.SAME:
                return bool(self.cell) and not other.cell
        return False


class AssignmentAck(NamedTuple):
    """The answer to an assignment; encoded as an array.

    Attributes:
        sender: The governor or replica that answers.
        assignment: The assignment that it now follows.
        has_writes_in_flight: Whether writes of the tenant are still running there.
        completed_keys: Writes of the tenant that it completed.
    """

    sender: str
    assignment: TenantAssignment
    has_writes_in_flight: bool = False
    completed_keys: WriteKeys = NO_WRITE_KEYS


Assignments = Mapping[str, TenantAssignment]


@dataclass(frozen=True, slots=True)
class ReplicaFence:
    """What a replica knows of tenants.

    Attributes:
        name: The replica.
        cell: The cell that it belongs to.
        assignments: By tenant; persisted.
        completed: Keys of completed writes by tenant; persisted.
        lease_until_us: When its lease expires; lost with the process.
        in_flight: Keys of running writes by tenant; lost with the process.
    """

    name: str
    cell: str
    assignments: Assignments = field(default_factory=dict)
    completed: Mapping[str, WriteKeys] = field(default_factory=dict)
    lease_until_us: int = -1
    in_flight: Mapping[str, WriteKeys] = field(default_factory=dict)

    def restarted(self) -> ReplicaFence:
        """What is left after a crash."""
        return replace(self, lease_until_us=-1, in_flight={})

    def check_write(
        self, now_us: int, tenant: str, cell: str, generation: int, key: str
    ) -> tuple[ReplicaFence, WriteDecision]:
        """Decide on a write that a proxy routed to `cell` by `generation`."""
        assignment = self.assignments.get(tenant)
        if cell != self.cell or not self._is_open(assignment, generation):
            return self, WriteDecision.WRONG_CELL
        if now_us >= self.lease_until_us:
            return self, WriteDecision.NO_LEASE
        if key in self.completed.get(tenant, NO_WRITE_KEYS):
            return self, WriteDecision.DUPLICATE
        if assignment is not None and key in assignment.completed_keys:
            return self, WriteDecision.DUPLICATE
        running = self.in_flight.get(tenant, NO_WRITE_KEYS)
        if key in running:
            return self, WriteDecision.IN_FLIGHT
        accepted = replace(self, in_flight={**self.in_flight, tenant: running | {key}})
        return accepted, WriteDecision.ACCEPT

    def complete_write(self, tenant: str, key: str) -> ReplicaFence:
        """The fence after the effect of an accepted write, to be persisted together with it."""
        completed = self.completed.get(tenant, NO_WRITE_KEYS) | {key}
        return replace(self.abandon_write(tenant, key), completed={**self.completed, tenant: completed})

    def abandon_write(self, tenant: str, key: str) -> ReplicaFence:
        """The fence after an accepted write that will never run, as nobody waits for it any more."""
        remaining = self.in_flight.get(tenant, NO_WRITE_KEYS) - {key}
        return replace(self, in_flight={**self.in_flight, tenant: remaining})

    def apply_assignment(self, assignment: TenantAssignment) -> tuple[ReplicaFence, AssignmentAck]:
        """Take an assignment; its acknowledgement may be sent once the fence is persisted."""
        after = self
        if assignment.supersedes(self.assignments.get(assignment.tenant)):
            after = replace(self, assignments={**self.assignments, assignment.tenant: assignment})
        current = after.assignments[assignment.tenant]
        completed = after.completed.get(assignment.tenant, NO_WRITE_KEYS)
        return after, AssignmentAck(
            sender=self.name,
            assignment=current,
            has_writes_in_flight=bool(after.in_flight.get(assignment.tenant)),
            completed_keys=completed | current.completed_keys,
        )

    def renew_lease(
        self, now_us: int, lease_us: int, assignments: Iterable[TenantAssignment]
    ) -> ReplicaFence:
        """The fence after a governor's heartbeat with its whole directory."""
        after = self
        for assignment in assignments:
            after, _ = after.apply_assignment(assignment)
        return replace(after, lease_until_us=max(after.lease_until_us, now_us + lease_us))

    def _is_open(self, assignment: TenantAssignment | None, generation: int) -> bool:
        """Whether this generation of a tenant is open in the replica's cell."""
        if assignment is None:
            return generation == FIRST_GENERATION
        return generation == assignment.generation and assignment.cell == self.cell


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """What a governor knows of tenants; all of it is persisted before it acknowledges."""

    name: str
    assignments: Assignments = field(default_factory=dict)

    def apply_assignment(self, assignment: TenantAssignment) -> tuple[TenantDirectory, AssignmentAck]:
        """Take an assignment; its acknowledgement may be sent once the directory is persisted."""
        after = self
        if assignment.supersedes(self.assignments.get(assignment.tenant)):
            after = replace(self, assignments={**self.assignments, assignment.tenant: assignment})
        return after, AssignmentAck(self.name, after.assignments[assignment.tenant])

    def heartbeat_assignments(self) -> tuple[TenantAssignment, ...]:
        """The whole directory, as each heartbeat carries it."""
        return tuple(self.assignments.values())

    def route(self, tenant: str, home: str) -> tuple[str, int] | None:
        """Cell and generation for proxies; None while the tenant is closed. `home` is its first cell."""
        assignment = self.assignments.get(tenant)
        if assignment is None:
            return home, FIRST_GENERATION
        return (assignment.cell, assignment.generation) if assignment.cell else None
