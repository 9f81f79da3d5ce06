"""Collects the log events of the core until the service writes them. This module does no I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One event: its name, its fields, and whether it is a warning.

    The name is a noun and a past participle (`proxy_joined`); the fields say what the event concerns and why
    it happened.
    """

    name: str
    fields: dict[str, Any]
    is_warning: bool = False


class EventLog:
    """Log events in order; `pending` holds the events that have not been written yet."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self.pending: list[LogEvent] = []

    def info(self, name: str, **fields: Any) -> None:
        """Adds an event of normal operation."""
        self.pending.append(LogEvent(name=name, fields=fields))

    def warning(self, name: str, **fields: Any) -> None:
        """Adds an event that an operator should check."""
        self.pending.append(LogEvent(name=name, fields=fields, is_warning=True))

    def take(self) -> list[LogEvent]:
        """Removes and returns the pending events."""
        pending = self.pending
        self.pending = []
        return pending
