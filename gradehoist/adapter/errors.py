"""The errors of the adapter."""

from __future__ import annotations


class WireError(ValueError):
    """A line of the simulator's wire protocol is malformed or out of sequence. Such lines are skipped."""
