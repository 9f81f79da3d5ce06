"""Reads the events that the test doubles and the runner recorded as JSON lines.

The stored keys are kept for compatibility and differ from the names in the code. Only the fields that a
checker, a chart or a count needs are decoded; `Record.stored` contains the whole object.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any, cast

import msgspec

from gradehoist.protocol.feed import Message

StoredRecord = dict[str, Any]
Incarnation = int | str  # The endpoint list writes strings; some records made by hand contain numbers.
ENDPOINT_LIST_ROLE = "roster"  # The process that records its notifications to governors as `told`.


class ScenarioBegan(msgspec.Struct, frozen=True):
    """All processes were ready, and the clients began to send."""


class StepExecuted(msgspec.Struct, frozen=True):
    """The runner executed a step of the plan."""

    target: str
    command: dict[str, object] = msgspec.field(name="do")


class ProcessEnded(msgspec.Struct, frozen=True):
    """A process ended normally, so its records are complete."""


class ProcessFailed(msgspec.Struct, frozen=True):
    """A process raised an exception, so its records are incomplete."""

    reason: str


class ProxyStarted(msgspec.Struct, frozen=True):
    """A proxy started; it uses its default weights by class and replica until a governor binds it."""

    proxy: str = msgspec.field(name="relay")
    default_tables: dict[str, dict[str, float]] = msgspec.field(name="standing")


class ProxyStopped(msgspec.Struct, frozen=True):
    """A proxy stopped and lost its tables."""

    proxy: str = msgspec.field(name="relay")


class StreamBegan(msgspec.Struct, frozen=True):
    """A governor accepted a new stream of a proxy."""

    proxy: str = msgspec.field(name="relay")
    governor: str


class StreamLost(msgspec.Struct, frozen=True):
    """A proxy lost its stream."""

    proxy: str = msgspec.field(name="relay")


class GovernorKilled(msgspec.Struct, frozen=True):
    """The runner killed a governor."""

    governor: str


class MessageApplied(msgspec.Struct, frozen=True):
    """A proxy applied a message of its stream; `response_bytes` is the size of the response it came in."""

    proxy: str = msgspec.field(name="relay")
    governor: str
    epoch: str
    stream: int
    response_bytes: int = msgspec.field(name="bytes")
    message: Message


class EndpointsNotified(msgspec.Struct, frozen=True):
    """The endpoint list notified a governor of the phase and the incarnation of replicas."""

    governor: str = msgspec.field(name="reader")
    is_snapshot: bool = msgspec.field(name="whole")
    endpoints: dict[str, tuple[str, Incarnation]] = msgspec.field(name="entries")


class ReplicaStarted(msgspec.Struct, frozen=True):
    """A replica started; it has to warm up if `is_cold` is set."""

    replica: str
    is_cold: bool = msgspec.field(name="cold")


class ReplicaOverloaded(msgspec.Struct, frozen=True):
    """A replica crashed because it received too much work during its warm-up."""

    replica: str


class AttemptSent(msgspec.Struct, frozen=True):
    """A proxy sent attempt `number` (from 0) of a request to a replica; `cell` is empty without cells."""

    proxy: str = msgspec.field(name="relay")
    request: str = msgspec.field(name="tx")
    number: int = msgspec.field(name="n")
    request_class: str = msgspec.field(name="cls")
    replica: str
    cell: str = ""


class AttemptArrived(msgspec.Struct, frozen=True):
    """A replica received an attempt; `warmth` is its share of full speed, `work_ms` the work at speed 1."""

    replica: str
    proxy: str = msgspec.field(name="relay")
    request: str = msgspec.field(name="tx")
    work_ms: float = msgspec.field(name="work")
    warmth: float
    incarnation: int = msgspec.field(name="boot")


class AttemptShed(msgspec.Struct, frozen=True):
    """A replica rejected an attempt because its queue was full."""

    replica: str
    request: str = msgspec.field(name="tx")


class WriteFenced(msgspec.Struct, frozen=True):
    """A replica did not run a write; `reason` is the value of a `cells.assignment.WriteDecision`."""

    replica: str
    request: str = msgspec.field(name="tx")
    reason: str = msgspec.field(name="why")


class EffectDone(msgspec.Struct, frozen=True):
    """A request took effect at a replica; a tenant's write also has its cell and its generation."""

    replica: str
    request: str = msgspec.field(name="tx")
    tenant: str | None = None
    cell: str = ""
    generation: int = msgspec.field(default=0, name="gen")


class RequestRejected(msgspec.Struct, frozen=True):
    """A proxy rejected a request without sending it to a replica."""


class RequestCompleted(msgspec.Struct, frozen=True):
    """A client got the final response to a request, or gave up; its first attempt was at `began_us`."""

    request: str = msgspec.field(name="tx")
    proxy: str = msgspec.field(name="relay")
    request_class: str = msgspec.field(name="cls")
    began_us: int = msgspec.field(name="began")
    status: int


class OtherEvent(msgspec.Struct, frozen=True):
    """An event of a type that is not evaluated."""


Event = (
    ScenarioBegan
    | StepExecuted
    | ProcessEnded
    | ProcessFailed
    | ProxyStarted
    | ProxyStopped
    | StreamBegan
    | StreamLost
    | GovernorKilled
    | MessageApplied
    | EndpointsNotified
    | ReplicaStarted
    | ReplicaOverloaded
    | AttemptSent
    | AttemptArrived
    | AttemptShed
    | WriteFenced
    | EffectDone
    | RequestRejected
    | RequestCompleted
    | OtherEvent
)

EVENT_TYPES: dict[str, type[Event]] = {
    "day_begins": ScenarioBegan,
    "step": StepExecuted,
    "ended": ProcessEnded,
    "stand_in_failed": ProcessFailed,
    "relay_up": ProxyStarted,
    "relay_down": ProxyStopped,
    "joined": StreamBegan,
    "lost": StreamLost,
    "killed": GovernorKilled,
    "applied": MessageApplied,
    "told": EndpointsNotified,
    "up": ReplicaStarted,
    "fell": ReplicaOverloaded,
    "try": AttemptSent,
    "arrive": AttemptArrived,
    "turned_away": AttemptShed,
    "fenced": WriteFenced,
    "effect": EffectDone,
    "refused": RequestRejected,
    "transaction": RequestCompleted,
}


class RecordHeader(msgspec.Struct, frozen=True):
    """The fields that every stored record has."""

    time_us: int = msgspec.field(name="t")
    event: str = msgspec.field(name="e")


@dataclass(frozen=True, slots=True)
class Record:
    """An event of the process `role` at `time_us` (µs of the machine's monotonic clock).

    `stored` is the object that was read, with the role added; violations contain it as evidence.
    """

    time_us: int
    role: str
    event: Event
    stored: StoredRecord


def parse_record(stored: StoredRecord, role: str) -> Record:
    """Converts a stored record of the process `role`.

    Raises:
        msgspec.ValidationError: a field is missing or of another type.
    """
    header = msgspec.convert(stored, RecordHeader)
    event_type = EVENT_TYPES.get(header.event, OtherEvent)
    if event_type is EndpointsNotified and role != ENDPOINT_LIST_ROLE:
        event_type = OtherEvent  # Other processes use the same name for commands that they received.
    event = cast(Event, msgspec.convert(stored, event_type))
    return Record(time_us=header.time_us, role=role, event=event, stored={**stored, "role": role})


def _load_file(path: Path) -> list[Record]:
    decoder: msgspec.json.Decoder[StoredRecord] = msgspec.json.Decoder(StoredRecord)
    records = []
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                records.append(parse_record(decoder.decode(line), path.stem))
            except msgspec.MsgspecError as error:
                if not line.endswith(b"\n"):
                    continue  # The process was killed while it wrote its last record.
                raise ValueError(f"{path}:{number}: not a record: {error}") from None
    return records


def load_records(folder: Path) -> list[Record]:
    """Reads the records of all processes of a run folder, in order of time.

    Raises:
        ValueError: a record is invalid; the message contains its file and line.
        OSError: a file can't be read.
    """
    records: list[Record] = []
    for path in sorted(folder.glob("*.jsonl")):
        records += _load_file(path)
    records.sort(key=lambda record: record.time_us)
    return records


def find_begin_us(records: list[Record], default: int) -> int:
    """Returns the time at which the scenario began, or `default` if it is not recorded."""
    for record in records:
        if isinstance(record.event, ScenarioBegan):
            return record.time_us
    return default
