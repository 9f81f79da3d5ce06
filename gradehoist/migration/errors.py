"""Errors of this package; their texts are for operators."""

from __future__ import annotations

from pathlib import Path


class MigrationError(ValueError):
    """Base of all errors of this package."""


class InvalidRecordError(MigrationError):
    """A file of the record store that can't be read as what its name says."""

    def __init__(self, path: Path, problem: str) -> None:
        """Say which file it is and what is wrong with it."""
        super().__init__(f"{path}: {problem}; put back a copy or remove it")
        self.path = path


class MigrationRejectedError(MigrationError):
    """A migration that was not created: its cell or tenant does not allow it now."""


class RolloutHaltError(MigrationError):
    """A rollout that may not go on; `reason` is kept in its record."""

    def __init__(self, reason: str) -> None:
        """Keep why the rollout halts."""
        super().__init__(reason)
        self.reason = reason
