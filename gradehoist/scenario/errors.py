"""Errors that end a scenario run early."""

from __future__ import annotations


class ScenarioRunError(Exception):
    """The base class of the errors of a run."""


class ProcessStartError(ScenarioRunError):
    """The process `name` did not start; `reason` is the end of its log."""

    def __init__(self, name: str, reason: str) -> None:
        """Creates the error with a message that includes the reason."""
        super().__init__(f"{name} did not start: {reason}")
        self.name = name
        self.reason = reason


class ProcessExitError(ScenarioRunError):
    """The process `name` exited during the run."""

    def __init__(self, name: str, exit_code: int) -> None:
        """Creates the error with a message that names the log of the process."""
        super().__init__(f"{name} exited unexpectedly with code {exit_code}; see {name}.log")
        self.name = name
        self.exit_code = exit_code


class CommandRejectedError(ScenarioRunError):
    """The process of a role rejected a command of the plan; `reason` is its response."""

    def __init__(self, role: str, command: dict[str, object], reason: str) -> None:
        """Creates the error with a message that includes the command and the reason."""
        super().__init__(f"{role} rejected the command {command}: {reason}")
        self.role = role
        self.command = command
        self.reason = reason
