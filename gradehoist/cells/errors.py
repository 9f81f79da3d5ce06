"""Errors of this package."""

from __future__ import annotations


class CellsError(ValueError):
    """Base of all errors of this package. Their messages are shown to operators."""


class PlacementError(CellsError):
    """The input allows no placement at all."""


class MigrationStateError(CellsError):
    """The migration does not allow the operation in its current step."""
