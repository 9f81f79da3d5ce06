"""The log events of the core, collected until the shell writes them. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class LogEvent:
    """One event: its name (`noun_verb_past`), what it concerns and why, and whether it is a warning."""

    name: str
    fields: dict[str, Any]
    is_warning: bool = False


class EventLog:
    """Events in the order in which they happened; `pending` holds those that have not been written."""

    def __init__(self) -> None:
        """Starts empty."""
        self.pending: list[LogEvent] = []

    def info(self, name: str, **fields: Any) -> None:
        """Notes an event of ordinary operation."""
        self.pending.append(LogEvent(name=name, fields=fields))

    def warning(self, name: str, **fields: Any) -> None:
        """Notes an event that an operator should look at."""
        self.pending.append(LogEvent(name=name, fields=fields, is_warning=True))

    def take(self) -> list[LogEvent]:
        """Removes and returns the pending events."""
        pending = self.pending
        self.pending = []
        return pending
