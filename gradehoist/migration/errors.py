"""Errors of this package. Their messages are shown to operators."""

from __future__ import annotations

from pathlib import Path


class MigrationError(ValueError):
    """The base of all errors of this package."""


class InvalidRecordError(MigrationError):
    """A file of the record store does not hold a record of the kind that its name says."""

    def __init__(self, path: Path, problem: str) -> None:
        """Creates an error about the file at `path`; `problem` says what is wrong with it."""
        super().__init__(f"{path}: {problem}; restore a copy or remove it")
        self.path = path


class MigrationRejectedError(MigrationError):
    """A migration was not created, because its cell or tenant does not allow it now."""


class RolloutHaltError(MigrationError):
    """A rollout has to halt. Its `reason` is stored in the record of the rollout."""

    def __init__(self, reason: str) -> None:
        """Creates an error with the reason of the halt."""
        super().__init__(reason)
        self.reason = reason
