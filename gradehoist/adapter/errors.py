"""The errors of the adapter."""

from __future__ import annotations


class WireError(ValueError):
    """A line of the simulator's wire is malformed or out of place; it is skipped."""
