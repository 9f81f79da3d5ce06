"""Accepts tenant assignments from the migration runner, and persists them before acknowledging them."""

from __future__ import annotations

import asyncio

import msgspec

from gradehoist.cells.assignment import AssignmentAck, TenantAssignment, TenantDirectory
from gradehoist.governor.errors import RequestRejectedError, StateError
from gradehoist.governor.shell_state import ShellState
from gradehoist.store.atomic_file import write_file_in_thread

FILE_NAME = "cells.json"  # in the state folder
_ENCODER = msgspec.json.Encoder()
_DECODER: msgspec.json.Decoder[list[TenantAssignment]] = msgspec.json.Decoder(list[TenantAssignment])


class TenantAssignments:
    """The directory of tenants and its file. The service owns it.

    Attributes:
        directory: all assignments that this governor knows.
    """

    def __init__(self, shell: ShellState) -> None:
        """Creates an empty directory; `load` reads the persisted one."""
        self.directory = TenantDirectory(shell.settings.name)
        self._core = shell.core
        self._signals = shell.signals
        self._log = shell.log
        self._path = shell.settings.state_folder / FILE_NAME
        self._write_lock = asyncio.Lock()

    def load(self) -> None:
        """Loads the persisted assignments, if there are any.

        Raises:
            StateError: the file can't be read. A governor that started without it would renew the leases of
                replicas for tenants that have migrated away.
        """
        for assignment in self._read():
            self.directory, _ = self.directory.apply_assignment(assignment)
            self._core.handle_migration(assignment.tenant, assignment.cell, assignment.generation)

    async def accept(self, assignment: TenantAssignment) -> AssignmentAck:
        """Persists and applies an assignment, and returns its acknowledgement only afterwards.

        Raises:
            RequestRejectedError: the assignment can't be persisted; the sender has to repeat it.
        """
        async with self._write_lock:
            directory, acknowledgement = self.directory.apply_assignment(assignment)
            if directory is not self.directory:
                await self._persist(directory, assignment)
                self.directory = directory
                self._core.handle_migration(assignment.tenant, assignment.cell, assignment.generation)
                self._signals.core_changed.set()
        return acknowledgement

    async def _persist(self, directory: TenantDirectory, assignment: TenantAssignment) -> None:
        data = _ENCODER.encode(list(directory.assignments.values()))
        try:
            await write_file_in_thread(self._path, data)
        except OSError as error:
            self._log.error("assignment_save_failed", tenant=assignment.tenant, reason=str(error))
            reason = f"the word can't be kept: {error.strerror or error}"
            raise RequestRejectedError(503, reason) from None

    def _read(self) -> list[TenantAssignment]:
        try:
            return _DECODER.decode(self._path.read_bytes())
        except FileNotFoundError:
            return []
        except msgspec.MsgspecError as error:
            raise StateError(f"{self._path} can't be read ({error}); put back a copy") from None
        except OSError as error:
            raise StateError(f"{self._path} can't be read ({error.strerror}); check the folder") from None
