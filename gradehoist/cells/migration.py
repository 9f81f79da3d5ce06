"""Moving a tenant between cells, so that old and new cell never both take a write of it. Free of I/O.

Each tenant has a generation. A generation has one cell; a higher one ends all lower ones where it is known.
Three parts, each a frozen value with functions that return the next one:

- `Fence`, at a worker: takes a write only under a lease and only of the generation that is open there. What
  it was told and which keys it has done outlive a crash; its lease does not.
- `Book`, at a governor: what movers told it, kept before it is confirmed. Its heartbeats renew leases and
  carry all of the book, so no worker has a lease from a governor that knows more than the worker does.
- `Move`, at the mover: a record whose step is kept before anything of that step is sent. SHUT: governors and
  the old cell's workers are told. OPEN: only when each old worker has confirmed with nothing in hand, or when
  every governor has confirmed and lease and settle time have passed since, as by then a worker that did not
  hear has no lease, and a write that it held is settled and past any client's repeat. DONE: all know.

Undoing is a move of the next generation back to the old cell; it waits for the new cell only if that may have
been opened. Assumed: clocks run at one rate within the margin of the lease; kept state is not lost; one mover
store orders all moves (two with one generation: the second is refused wherever the first is known).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

Keys = frozenset[str]
NO_KEYS: Keys = frozenset()


class MigrationStep(Enum):
    CLOSE = "shut"
    OPEN = "open"
    DONE = "done"


class WriteDecision(Enum):
    """What a worker says to a write. Only TAKE runs it; MOVED and LEASE prove that it never ran."""

    ACCEPT = "take"
    DUPLICATE = "known"  # the key was done before: answered again, run once
    IN_FLIGHT = "busy"  # the key is in hand: come back
    WRONG_CELL = "moved"
    NO_LEASE = "no lease"


class TenantAssignment(NamedTuple):
    """What is true of a tenant from generation `gen` on: shut everywhere, or open in `cell`, whose workers
    must know the `keys` that were done elsewhere."""

    tenant: str
    generation: int
    migration_id: str
    cell: str = ""
    completed_keys: Keys = NO_KEYS

    def supersedes(self, other: TenantAssignment | None) -> bool:
        """Newer than another word on the tenant: a higher generation, or its own move's opening."""
        match compare_tokens(self.token, None if other is None else other.token):
            case TokenOrder.NEWER:
                return True
            case TokenOrder.SAME:
                return bool(self.cell) and other is not None and not other.cell
        return False

    @property
    def token(self) -> FencingToken:
        return FencingToken(self.generation, self.migration_id)


class AssignmentAck(NamedTuple):
    """An answer to a word: `held` is what the answerer now holds true, `busy` that writes are in hand."""

    sender: str
    assignment: TenantAssignment
    has_writes_in_flight: bool = False
    completed_keys: Keys = NO_KEYS


Assignments = Mapping[str, TenantAssignment]


@dataclass(frozen=True, slots=True)
class ReplicaFence:
    """`words` and `done` are kept; `until` (the lease, µs) and `hand` go with the process."""

    name: str
    cell: str
    assignments: Assignments = field(default_factory=dict)
    completed: Mapping[str, Keys] = field(default_factory=dict)
    lease_until_us: int = -1
    in_flight: Mapping[str, Keys] = field(default_factory=dict)

    def restarted(self) -> ReplicaFence:
        return replace(self, lease_until_us=-1, in_flight={})

    def check_write(
        self, now: int, tenant: str, cell: str, gen: int, key: str
    ) -> tuple[ReplicaFence, WriteDecision]:
        word = self.assignments.get(tenant)
        mine = cell == self.cell and (
            gen == 1 if word is None else gen == word.generation and word.cell == self.cell
        )
        if not mine:
            return self, WriteDecision.WRONG_CELL
        if now >= self.lease_until_us:
            return self, WriteDecision.NO_LEASE
        if key in self.completed.get(tenant, NO_KEYS) or (word is not None and key in word.completed_keys):
            return self, WriteDecision.DUPLICATE
        held = self.in_flight.get(tenant, NO_KEYS)
        if key in held:
            return self, WriteDecision.IN_FLIGHT
        return replace(self, in_flight={**self.in_flight, tenant: held | {key}}), WriteDecision.ACCEPT

    def complete_write(self, tenant: str, key: str) -> ReplicaFence:
        """The effect of a write that was taken; kept together with it."""
        left = self.in_flight.get(tenant, NO_KEYS) - {key}
        return replace(
            self,
            in_flight={**self.in_flight, tenant: left},
            completed={**self.completed, tenant: self.completed.get(tenant, NO_KEYS) | {key}},
        )

    def drop_write(self, tenant: str, key: str) -> ReplicaFence:
        """A write that was taken and will never run: it waited, and nobody waits for it."""
        return replace(
            self, in_flight={**self.in_flight, tenant: self.in_flight.get(tenant, NO_KEYS) - {key}}
        )

    def apply_assignment(self, word: TenantAssignment) -> tuple[ReplicaFence, AssignmentAck]:
        """A word from a mover or in a heartbeat. The answer is due once the fence is kept."""
        known = self.assignments.get(word.tenant)
        after = (
            replace(self, assignments={**self.assignments, word.tenant: word})
            if word.supersedes(known)
            else self
        )
        held = after.assignments[word.tenant]
        return after, AssignmentAck(
            self.name,
            held,
            bool(after.in_flight.get(word.tenant)),
            after.completed.get(word.tenant, NO_KEYS) | held.completed_keys,
        )

    def renew_lease(self, now: int, lease: int, words: Iterable[TenantAssignment]) -> ReplicaFence:
        after = self
        for word in words:
            after, _ = after.apply_assignment(word)
        return replace(after, lease_until_us=max(after.lease_until_us, now + lease))


@dataclass(frozen=True, slots=True)
class TenantDirectory:
    """A governor's: all of it is kept before it confirms."""

    name: str
    assignments: Assignments = field(default_factory=dict)

    def apply_assignment(self, word: TenantAssignment) -> tuple[TenantDirectory, AssignmentAck]:
        known = self.assignments.get(word.tenant)
        after = (
            replace(self, assignments={**self.assignments, word.tenant: word})
            if word.supersedes(known)
            else self
        )
        return after, AssignmentAck(self.name, after.assignments[word.tenant])

    def heartbeat_assignments(self) -> tuple[TenantAssignment, ...]:
        return tuple(self.assignments.values())

    def route(self, tenant: str, home: str) -> tuple[str, int] | None:
        """Cell and generation for relays; None while the tenant is shut. `home` is its first cell."""
        word = self.assignments.get(tenant)
        if word is None:
            return home, 1
        return (word.cell, word.generation) if word.cell else None


@dataclass(frozen=True, slots=True)
class Migration:
    """The mover's record. `since` is when the last governor confirmed SHUT, by this process's clock; it is
    not kept: a mover that starts again waits anew."""

    id: str
    tenant: str
    source: str
    target: str
    gen: int
    step: MigrationStep = MigrationStep.CLOSE
    fenced: bool = True  # False: nothing can be open elsewhere, as in an undo before any opening
    known: Keys = NO_KEYS  # governors that confirmed this step
    shut: Keys = NO_KEYS  # workers of the source that confirmed, with nothing in hand
    keys: Keys = NO_KEYS
    since: int = -1
    undone: bool = False
    conflict: str = ""

    def restarted(self) -> Migration:
        return replace(self, since=-1)

    def assignment(self) -> TenantAssignment:
        cell = "" if self.step is MigrationStep.CLOSE else self.target
        return TenantAssignment(self.tenant, self.gen, self.id, cell, self.keys)

    def pending_recipients(self, governors: Iterable[str], cells: Mapping[str, Iterable[str]]) -> list[str]:
        """Who has still to be told the word of this step."""
        if self.conflict or self.step is MigrationStep.DONE:
            return []
        due = [g for g in governors if g not in self.known]
        if self.step is MigrationStep.CLOSE and self.fenced:
            due += [w for w in cells[self.source] if w not in self.shut]
        elif self.step is MigrationStep.OPEN:
            due += [w for w in cells[self.target] if w not in self.shut]
        return due

    def acknowledged(self, now: int, c: AssignmentAck, governors: Iterable[str]) -> Migration:
        """Takes an answer; one to an earlier step or generation changes nothing."""
        if c.assignment.tenant != self.tenant or self.step is MigrationStep.DONE:
            return self
        if compare_tokens(c.assignment.token, FencingToken(self.gen, self.id)) in (
            TokenOrder.NEWER,
            TokenOrder.CONFLICTING,
        ):
            return replace(
                self,
                conflict=f"{c.sender} holds generation {c.assignment.generation} "
                f"of move {c.assignment.migration_id}",
            )
        if c.assignment.generation < self.gen or (self.step is MigrationStep.OPEN) != bool(c.assignment.cell):
            return self
        if c.sender in set(governors):
            after = replace(self, known=self.known | {c.sender})
            everyone = after.known >= set(governors)
            return replace(after, since=now) if everyone and after.since < 0 else after
        if c.has_writes_in_flight:
            return self
        keys = self.keys | c.completed_keys if self.step is MigrationStep.CLOSE else self.keys
        return replace(self, shut=self.shut | {c.sender}, keys=keys)

    def advance(
        self, now: int, governors: Iterable[str], cells: Mapping[str, Iterable[str]], wait: int
    ) -> Migration:
        """The next step if its time has come; `wait` is lease, settle time and margin (µs). The caller keeps
        the record before it sends anything of the new step."""
        if self.conflict:
            return self
        if self.step is MigrationStep.CLOSE:
            heard = not self.fenced or set(cells[self.source]) <= self.shut
            waited = self.known >= set(governors) and 0 <= self.since <= now - wait
            if heard or waited:
                return replace(self, step=MigrationStep.OPEN, known=NO_KEYS, shut=NO_KEYS, since=-1)
            if self.known >= set(governors) and self.since < 0:
                # Killed after the last governor's answer it asks nobody again: the wait begins anew here.
                return replace(self, since=now)
        elif self.step is MigrationStep.OPEN and self.known >= set(governors):
            return replace(self, step=MigrationStep.DONE)
        return self

    def undo(self) -> Migration:
        """Back to the source by the next generation. Raises ValueError where that can't be."""
        if self.step is MigrationStep.DONE:
            raise ValueError(f"move {self.id} is done; order a move back to {self.source}")
        if self.undone:
            raise ValueError(f"move {self.id} is being undone already")
        return Migration(
            self.id + "-undo",
            self.tenant,
            self.target,
            self.source,
            self.gen + 1,
            fenced=self.step is MigrationStep.OPEN,
            keys=self.keys,
            undone=True,
        )

    def describe_wait(
        self, now: int, governors: Iterable[str], cells: Mapping[str, Iterable[str]], wait: int
    ) -> str:
        """What the move waits for, in words for a person."""
        if self.conflict:
            return "stopped: " + self.conflict
        missing = sorted(g for g in governors if g not in self.known)
        if self.step is MigrationStep.CLOSE and self.fenced:
            quiet = sorted(w for w in cells[self.source] if w not in self.shut)
            if missing:
                more = f"governors {', '.join(missing)}, then {wait / 1e6:g} s"
            else:
                more = f"{max(0, self.since + wait - now) / 1e6:.1f} s more"
            return f"{', '.join(quiet)} to confirm; or {more}"
        if self.step is MigrationStep.OPEN:
            return "governors " + ", ".join(missing) if missing else "nothing"
        return "nothing"
