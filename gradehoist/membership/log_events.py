"""Names and severity of the log events of a membership."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradehoist.coordination.notifications import (
    FleetJoined,
    Notification,
    ProcessFenced,
    ProcessSuperseded,
    RecordDecodeFailed,
    SessionEnded,
    SessionRestored,
    SessionSuspended,
    StoreCapacityExhausted,
    StoreConnectionLost,
    StoreConnectionRestored,
)


@dataclass(frozen=True, slots=True)
class LogEvent:
    """How one type of notification is logged. The event has the fields of the notification."""

    name: str
    is_warning: bool = False


# The log events by type of notification. Notifications of other types are not logged.
LOG_EVENTS: Mapping[type[Notification], LogEvent] = {
    FleetJoined: LogEvent("fleet_joined"),
    SessionRestored: LogEvent("session_restored"),
    StoreConnectionRestored: LogEvent("store_connection_restored"),
    StoreConnectionLost: LogEvent("store_connection_lost", is_warning=True),
    SessionSuspended: LogEvent("session_suspended", is_warning=True),
    SessionEnded: LogEvent("session_ended", is_warning=True),
    ProcessFenced: LogEvent("process_fenced", is_warning=True),
    ProcessSuperseded: LogEvent("process_superseded", is_warning=True),
    StoreCapacityExhausted: LogEvent("store_capacity_exhausted", is_warning=True),
    RecordDecodeFailed: LogEvent("record_decode_failed", is_warning=True),
}
