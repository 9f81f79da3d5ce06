"""Names, severity and fields of the log events that report what happens to a membership."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class LogEvent:
    """How one kind of notification is logged; fields that are not in `renamed_fields` keep their names."""

    name: str
    is_warning: bool = False
    renamed_fields: Mapping[str, str] = field(default_factory=dict)

    def rename_fields(self, fields: Mapping[str, object]) -> dict[str, object]:
        """The fields under the names they have in the log."""
        return {self.renamed_fields.get(name, name): value for name, value in fields.items()}


# By the kind of notification; kinds that are not listed are not logged.
LOG_EVENTS: Mapping[str, LogEvent] = {
    "joined": LogEvent("fleet_joined", renamed_fields={"gen": "generation", "session": "session_id"}),
    "back": LogEvent("session_restored", renamed_fields={"session": "session_id"}),
    "answers": LogEvent("store_connection_restored"),
    "away": LogEvent("store_connection_lost", is_warning=True),
    "doubt": LogEvent("session_suspended", is_warning=True),
    "ended": LogEvent("session_ended", is_warning=True, renamed_fields={"session": "session_id"}),
    "fenced": LogEvent("process_fenced", is_warning=True),
    "outrun": LogEvent(
        "process_superseded", is_warning=True, renamed_fields={"by": "incarnation", "gen": "generation"}
    ),
    "full": LogEvent("store_capacity_exhausted", is_warning=True),
    "unread": LogEvent("record_decode_failed", is_warning=True),
}
