"""Errors of capacity planning."""

from __future__ import annotations


class CapacityPlanningError(Exception):
    """Base of all errors of this package."""


class SolverError(CapacityPlanningError):
    """The solver gave no solution to a program that has one.

    Attributes:
        slot: The time slot whose program was solved.
        reason: What the solver reported.
    """

    def __init__(self, slot: int, reason: str) -> None:
        """Describes a failure in one slot."""
        super().__init__(f"slot {slot}: {reason}")
        self.slot = slot
        self.reason = reason
