"""Errors of a run: what kept it from being played to its end."""

from __future__ import annotations


class ScenarioRunError(Exception):
    """The base of the errors of a run."""


class ProcessStartError(ScenarioRunError):
    """The process `name` did not come up; `reason` is the end of its log."""

    def __init__(self, name: str, reason: str) -> None:
        """Makes the text."""
        super().__init__(f"{name} did not come up: {reason}")
        self.name = name
        self.reason = reason


class ProcessExitError(ScenarioRunError):
    """The process `name` ended by itself."""

    def __init__(self, name: str, exit_code: int) -> None:
        """Makes the text, which names the process's log."""
        super().__init__(f"{name} ended by itself, exit {exit_code}; see {name}.log")
        self.name = name
        self.exit_code = exit_code


class CommandRejectedError(ScenarioRunError):
    """The process of a role rejected an order of the plan; `reason` is its response."""

    def __init__(self, role: str, command: dict[str, object], reason: str) -> None:
        """Makes the text."""
        super().__init__(f"{role} refused {command}: {reason}")
        self.role = role
        self.command = command
        self.reason = reason
