"""Migration of a tenant from a source cell to a target cell that never both accept its writes.

This module does no I/O. A `Migration` is a record; each of its steps is persisted before any message of that
step is sent:

- CLOSE: governors and the source's replicas are notified that no cell is open to the tenant.
- OPEN: governors and the target's replicas are notified that the target is open. The step begins when every
  source replica has confirmed CLOSE without writes in flight, or when every governor has confirmed it and the
  lease and settle times have passed since then. By that time a source replica that could not be reached has
  no lease, and any write that it accepted has settled and is no longer retried by its client.
- DONE: every governor has confirmed OPEN.

An undo is a migration of the next generation back to the source. It waits for the target's replicas only if
they may have been notified of OPEN.

The protocol assumes that clocks run at the same rate within the margin of the lease, that persisted state is
not lost, and that one record store orders all migrations. If two migrations get the same generation, the
second is rejected by every process that knows the first.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum

import msgspec

from gradehoist.cells.assignment import EMPTY_STRING_SET, AssignmentAck, StringSet, TenantAssignment
from gradehoist.cells.errors import MigrationStateError
from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

UNDO_SUFFIX = "-undo"  # appended to a migration's id to form the id of its undo


class MigrationStep(Enum):
    """The steps of a migration. The values are stored in its record."""

    CLOSE = "shut"
    OPEN = "open"
    DONE = "done"


class Migration(msgspec.Struct, frozen=True):
    """The record of a migration.

    Attributes:
        id: Identifies the migration; the records of a store are sorted by it.
        tenant: The tenant that is migrated.
        source: The cell that it leaves.
        target: The cell that it goes to.
        generation: The tenant's generation that this migration creates.
        step: The current step.
        must_close_source: Whether the source may be open to the tenant and has to be closed first. It can't
            be open in an undo of a migration that never opened its target.
        confirmed_governors: Governors that confirmed the current step.
        confirmed_replicas: Replicas that confirmed the current step without writes in flight.
        completed_keys: Keys of writes that source replicas completed.
        governors_confirmed_us: The time, on this process's clock, at which the last governor confirmed CLOSE;
            -1 before that and after a restart, which starts the wait again.
        is_undo: Whether it undoes another migration.
        conflict: Why the migration stopped for good, or "".
    """

    id: str
    tenant: str
    source: str
    target: str
    generation: int = msgspec.field(name="gen")
    step: MigrationStep = MigrationStep.CLOSE
    must_close_source: bool = msgspec.field(default=True, name="fenced")
    confirmed_governors: StringSet = msgspec.field(default=EMPTY_STRING_SET, name="known")
    confirmed_replicas: StringSet = msgspec.field(default=EMPTY_STRING_SET, name="shut")
    completed_keys: StringSet = msgspec.field(default=EMPTY_STRING_SET, name="keys")
    governors_confirmed_us: int = msgspec.field(default=-1, name="since")
    is_undo: bool = msgspec.field(default=False, name="undone")
    conflict: str = ""

    def restarted(self) -> Migration:
        """Returns the record as a restarted process loads it, without times of the earlier clock."""
        return msgspec.structs.replace(self, governors_confirmed_us=-1)

    def assignment(self) -> TenantAssignment:
        """Returns the assignment that governors and replicas are notified of in this step."""
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
        """Returns the governors and replicas that have not yet confirmed the assignment of this step."""
        if self.conflict or self.step is MigrationStep.DONE:
            return []
        pending = [name for name in governors if name not in self.confirmed_governors]
        if self.step is MigrationStep.OPEN:
            pending += self._unconfirmed_replicas(replicas_by_cell[self.target])
        elif self.must_close_source:
            pending += self._unconfirmed_replicas(replicas_by_cell[self.source])
        return pending

    def with_acknowledgement(self, now_us: int, ack: AssignmentAck, governors: Iterable[str]) -> Migration:
        """Returns the record after an acknowledgement; those of an earlier step or generation are ignored."""
        followed = ack.assignment
        if followed.tenant != self.tenant or self.step is MigrationStep.DONE:
            return self
        order = compare_tokens(followed.token, FencingToken(self.generation, self.id))
        if order in (TokenOrder.NEWER, TokenOrder.CONFLICTING):
            conflict = f"{ack.sender} holds generation {followed.generation} of move {followed.migration_id}"
            return msgspec.structs.replace(self, conflict=conflict)
        is_open = self.step is MigrationStep.OPEN
        if followed.generation < self.generation or is_open != bool(followed.cell):
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
        """Returns the record in its next step if the conditions for that step are met, else the same step.

        The caller persists the record before it sends any message of the new step. `wait_us` is the sum of
        the lease, the settle time and a margin.
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
                confirmed_governors=EMPTY_STRING_SET,
                confirmed_replicas=EMPTY_STRING_SET,
                governors_confirmed_us=-1,
            )
        if has_all_governors and self.governors_confirmed_us < 0:
            # The process was restarted after the last governor had confirmed: no acknowledgement will follow,
            # so the wait begins here.
            return msgspec.structs.replace(self, governors_confirmed_us=now_us)
        return self

    def undo(self) -> Migration:
        """Returns the migration of the next generation back to the source.

        Raises:
            MigrationStateError: This migration is done, or is an undo itself.
        """
        if self.step is MigrationStep.DONE:
            raise MigrationStateError(f"move {self.id} is done; order a move back to {self.source}")
        if self.is_undo:
            raise MigrationStateError(f"move {self.id} is an undo and cannot be undone")
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
        """Describes to operators what the migration is waiting for."""
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
