"""Errors of capacity planning."""

from __future__ import annotations


class CapacityPlanningError(Exception):
    """Base of all errors of this package."""


class SolverError(CapacityPlanningError):
    """The solver returned no usable solution to a program that has one.

    Attributes:
        slot: The time slot that was solved.
        reason: The status that the solver reported, or the bound that its solution violates.
    """

    def __init__(self, slot: int, reason: str) -> None:
        """Creates the error for one slot."""
        super().__init__(f"slot {slot}: {reason}")
        self.slot = slot
        self.reason = reason
