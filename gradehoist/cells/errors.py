"""Errors of this package."""

from __future__ import annotations


class CellsError(ValueError):
    """Base of all errors of this package; the text is for operators."""


class PlacementError(CellsError):
    """Input of which no placement can be made."""


class MigrationStateError(CellsError):
    """An operation that a migration does not allow in its present step."""
