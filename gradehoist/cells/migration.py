"""Migration of a tenant between cells, so that old and new cell never both accept a write. Free of I/O.

A `Migration` is a record whose step is persisted before anything of that step is sent:

- CLOSE: governors and the source's replicas are notified that the tenant is closed.
- OPEN: begins when every source replica has confirmed without writes in flight; or when every governor has
  confirmed and lease and settle time have passed since. By then a replica that was not reached has no lease,
  and a write that it accepted is settled and past any client's retry.
- DONE: every governor has confirmed that the target is open.

Undoing is a migration of the next generation back to the source; it waits for the target's replicas only if
the target may have been opened. Assumptions: clocks run at one rate within the margin of the lease; persisted
state is not lost; one record store orders all migrations (of two with one generation the second is rejected
wherever the first is known).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec

from gradehoist.cells.assignment import NO_WRITE_KEYS, AssignmentAck, TenantAssignment, WriteKeys
from gradehoist.cells.errors import MigrationStateError
from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

UNDO_SUFFIX = "-undo"  # of the id of a migration that undoes another


class MigrationStep(Enum):
    """The steps of a migration; the values are in its record."""

    CLOSE = "shut"
    OPEN = "open"
    DONE = "done"


class Migration(msgspec.Struct, frozen=True):
    """The record of a migration.

    Attributes:
        id: Its name, which orders the records of a store.
        tenant: The tenant that moves.
        source: The cell that it leaves.
        target: The cell that it goes to.
        generation: The tenant's generation from this migration on.
        step: The step under way.
        must_close_source: False where the source can't be open, as in an undo before any opening.
        confirmed_governors: Governors that confirmed this step.
        confirmed_replicas: Replicas that confirmed this step, without writes in flight.
        completed_keys: Keys of writes that source replicas completed.
        governors_confirmed_us: When the last governor confirmed CLOSE, by this process's clock, else -1. A
            restarted process begins the wait anew.
        is_undo: Whether it undoes another migration.
        conflict: Why it was stopped for good, or "".
    """

    id: str
    tenant: str
    source: str
    target: str
    generation: int = msgspec.field(name="gen")
    step: MigrationStep = MigrationStep.CLOSE
    must_close_source: bool = msgspec.field(default=True, name="fenced")
    confirmed_governors: WriteKeys = msgspec.field(default=NO_WRITE_KEYS, name="known")
    confirmed_replicas: WriteKeys = msgspec.field(default=NO_WRITE_KEYS, name="shut")
    completed_keys: WriteKeys = msgspec.field(default=NO_WRITE_KEYS, name="keys")
    governors_confirmed_us: int = msgspec.field(default=-1, name="since")
    is_undo: bool = msgspec.field(default=False, name="undone")
    conflict: str = ""

    def restarted(self) -> Migration:
        """The record as a process that starts with it uses it."""
        return msgspec.structs.replace(self, governors_confirmed_us=-1)

    def assignment(self) -> TenantAssignment:
        """The assignment of this step."""
        return TenantAssignment(
            tenant=self.tenant,
            generation=self.generation,
            migration_id=self.id,
            cell="" if self.step is MigrationStep.CLOSE else self.target,
            completed_keys=self.completed_keys,
        )

    def pending_recipients(
        self, governors: Iterable[str], replicas_by_cell: Mapping[str, Iterable[str]]
    ) -> list[str]:
        """Governors and replicas that have yet to confirm the assignment of this step."""
        if self.conflict or self.step is MigrationStep.DONE:
            return []
        pending = [name for name in governors if name not in self.confirmed_governors]
        if self.step is MigrationStep.OPEN:
            pending += self._unconfirmed_replicas(replicas_by_cell[self.target])
        elif self.must_close_source:
            pending += self._unconfirmed_replicas(replicas_by_cell[self.source])
        return pending

    def with_acknowledgement(self, now_us: int, ack: AssignmentAck, governors: Iterable[str]) -> Migration:
        """The record after an answer; one to an earlier step or generation changes nothing."""
        held = ack.assignment
        if held.tenant != self.tenant or self.step is MigrationStep.DONE:
            return self
        order = compare_tokens(held.token, FencingToken(self.generation, self.id))
        if order in (TokenOrder.NEWER, TokenOrder.CONFLICTING):
            conflict = f"{ack.sender} holds generation {held.generation} of move {held.migration_id}"
            return msgspec.structs.replace(self, conflict=conflict)
        is_open = self.step is MigrationStep.OPEN
        if held.generation < self.generation or is_open != bool(held.cell):
            return self
        if ack.sender in set(governors):
            return self._with_governor(now_us, ack.sender, governors)
        if ack.has_writes_in_flight:
            return self
        completed = self.completed_keys if is_open else self.completed_keys | ack.completed_keys
        return msgspec.structs.replace(
            self, confirmed_replicas=self.confirmed_replicas | {ack.sender}, completed_keys=completed
        )

    def advance(
        self,
        now_us: int,
        governors: Iterable[str],
        replicas_by_cell: Mapping[str, Iterable[str]],
        wait_us: int,
    ) -> Migration:
        """The record in its next step if the time for that has come.

        The caller persists it before it sends anything of the new step. `wait_us` is lease, settle time and
        margin.
        """
        if self.conflict:
            return self
        has_all_governors = self.confirmed_governors >= set(governors)
        if self.step is MigrationStep.OPEN and has_all_governors:
            return msgspec.structs.replace(self, step=MigrationStep.DONE)
        if self.step is not MigrationStep.CLOSE:
            return self
        has_all_replicas = set(replicas_by_cell[self.source]) <= self.confirmed_replicas
        has_waited = has_all_governors and 0 <= self.governors_confirmed_us <= now_us - wait_us
        if not self.must_close_source or has_all_replicas or has_waited:
            return msgspec.structs.replace(
                self,
                step=MigrationStep.OPEN,
                confirmed_governors=NO_WRITE_KEYS,
                confirmed_replicas=NO_WRITE_KEYS,
                governors_confirmed_us=-1,
            )
        if has_all_governors and self.governors_confirmed_us < 0:
            # Restarted after the last governor's answer, it has nobody left to notify: the wait begins here.
            return msgspec.structs.replace(self, governors_confirmed_us=now_us)
        return self

    def undo(self) -> Migration:
        """The migration of the next generation back to the source.

        Raises:
            MigrationStateError: This one is done, or is an undo itself.
        """
        if self.step is MigrationStep.DONE:
            raise MigrationStateError(f"move {self.id} is done; order a move back to {self.source}")
        if self.is_undo:
            raise MigrationStateError(f"move {self.id} is being undone already")
        return Migration(
            id=self.id + UNDO_SUFFIX,
            tenant=self.tenant,
            source=self.target,
            target=self.source,
            generation=self.generation + 1,
            must_close_source=self.step is MigrationStep.OPEN,
            completed_keys=self.completed_keys,
            is_undo=True,
        )

    def describe_wait(
        self,
        now_us: int,
        governors: Iterable[str],
        replicas_by_cell: Mapping[str, Iterable[str]],
        wait_us: int,
    ) -> str:
        """What the migration waits for, as shown to operators."""
        if self.conflict:
            return "stopped: " + self.conflict
        missing = sorted(name for name in governors if name not in self.confirmed_governors)
        if self.step is MigrationStep.CLOSE and self.must_close_source:
            replicas = sorted(self._unconfirmed_replicas(replicas_by_cell[self.source]))
            if missing:
                alternative = f"governors {', '.join(missing)}, then {wait_us / 1e6:g} s"
            else:
                remaining_us = max(0, self.governors_confirmed_us + wait_us - now_us)
                alternative = f"{remaining_us / 1e6:.1f} s more"
            return f"{', '.join(replicas)} to confirm; or {alternative}"
        if self.step is MigrationStep.OPEN and missing:
            return "governors " + ", ".join(missing)
        return "nothing"

    def _unconfirmed_replicas(self, replicas: Iterable[str]) -> list[str]:
        return [name for name in replicas if name not in self.confirmed_replicas]

    def _with_governor(self, now_us: int, name: str, governors: Iterable[str]) -> Migration:
        confirmed = self.confirmed_governors | {name}
        since_us = self.governors_confirmed_us
        if since_us < 0 and confirmed >= set(governors):
            since_us = now_us
        return msgspec.structs.replace(self, confirmed_governors=confirmed, governors_confirmed_us=since_us)
