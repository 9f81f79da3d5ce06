"""What the decision module is told and what it may order: types only, free of any wire.

Replicas, zones, kinds and classes are small indices given out at the door; times are whole
microseconds. A caller makes a module instance from a `Start` and then hands it batches of events.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Phase(Enum):
    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Repeat(Enum):
    """What a second run of a transaction means: harmless, dropped inside a group, or forbidden."""

    FREE = "free"
    GUARDED = "guarded"
    SINGLE = "single"


class ListKind(Enum):
    SAVED = "saved"
    COMPLETE = "complete"
    CHANGES = "changes"
    FAILED = "failed"


class Outcome(Enum):
    ANSWERED = "answered"
    ERROR = "error"
    TURNED_AWAY = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class TransactionClass:
    goal: int
    cutoff: int
    gain: float
    late_gain: float
    repeat: Repeat
    only_zones: tuple[int, ...] | None
    only_kinds: tuple[int, ...] | None
    stays_local: bool


@dataclass(frozen=True, slots=True)
class Rules:
    """The figures behind the five rules."""

    grace: int
    cold_time: int
    cold_share: float
    fall_multiple: float
    fall_span: int
    bare_limit: int
    gone_is_advice: bool


@dataclass(frozen=True, slots=True)
class Channel:
    """What one governor may write; `line_rate` is the stated pace, not the true one."""

    queue_limit: float
    line_rate: float
    message_head: float
    message_limit: int
    message_window: int


@dataclass(frozen=True, slots=True)
class Reports:
    """How reports come: the gathering period, and which load figures answers carry."""

    period: int
    has_busy: bool
    has_in_flight: bool
    probes: bool
    must_ask: bool


@dataclass(frozen=True, slots=True)
class Start:
    seed: int
    zones: int
    proxies: int
    slices: int
    admits_shares: bool
    classes: tuple[TransactionClass, ...]
    rules: Rules
    channel: Channel
    reports: Reports


@dataclass(frozen=True, slots=True)
class Load:
    """One load report; a figure the deployment does not carry is None."""

    busy: float | None = None
    in_flight: float | None = None
    service_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Entry:
    replica: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    size: float
    started: int


@dataclass(frozen=True, slots=True)
class Listed:
    kind: ListKind
    entries: tuple[Entry, ...]


@dataclass(frozen=True, slots=True)
class Joined:
    """`holds`: it may be shut out from replicas that a bind has to let back one by one."""

    proxy: int
    zone: int
    rate: float
    holds: bool = False


@dataclass(frozen=True, slots=True)
class Left:
    proxy: int


@dataclass(frozen=True, slots=True)
class Heard:
    """What the proxies of one zone met at a replica over `window`."""

    zone: int
    replica: int
    tries: int
    bad: int
    elapsed: int
    window: int
    load: Load | None


@dataclass(frozen=True, slots=True)
class Offered:
    """Transactions of a class that came to a proxy over `window`, repeats and refusals included."""

    proxy: int
    cls: int
    number: int
    unanswered: int
    window: int


@dataclass(frozen=True, slots=True)
class SliceOffered:
    part: int
    cls: int
    number: int
    unanswered: int
    window: int


@dataclass(frozen=True, slots=True)
class SliceGiven:
    part: int
    mine: bool


@dataclass(frozen=True, slots=True)
class SliceLine:
    part: int
    replica: int
    weight: float


@dataclass(frozen=True, slots=True)
class Applied:
    proxy: int
    mark: int
    elapsed: int


@dataclass(frozen=True, slots=True)
class Probed:
    replica: int
    outcome: Outcome
    elapsed: int
    load: Load | None


@dataclass(frozen=True, slots=True)
class PeerNote:
    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class Ceilings:
    """What a fleet of governors agreed, all of it each time; 1.0 where nothing is named. `zones`: the part of
    what would go to a zone that still may; `replicas`: the part of its weight that this governor may give a
    cold one; `levels`: the share of a class that is let in, at most."""

    zones: tuple[tuple[int, float], ...] = ()
    replicas: tuple[tuple[int, float], ...] = ()
    levels: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Due:
    token: int


Event = (
    Listed
    | Joined
    | Left
    | Heard
    | Offered
    | SliceOffered
    | SliceGiven
    | SliceLine
    | Applied
    | Probed
    | PeerNote
    | Ceilings
    | Due
)


@dataclass(frozen=True, slots=True)
class SetLine:
    """Weight 0 removes the line."""

    table: int
    replica: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class Bind:
    """Puts a proxy on a table for the named classes (none named: all)."""

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class Withdraw:
    replica: int
    out: bool


@dataclass(frozen=True, slots=True)
class Admit:
    """Lets in `share` of the classes; `tries` is the way of trying again. Table None: everywhere."""

    table: int | None
    classes: tuple[int, ...]
    share: float
    tries: int


@dataclass(frozen=True, slots=True)
class Mark:
    number: int
    to_all: bool


@dataclass(frozen=True, slots=True)
class Probe:
    replica: int


@dataclass(frozen=True, slots=True)
class Wake:
    token: int
    delay: int


@dataclass(frozen=True, slots=True)
class Follow:
    on: bool


@dataclass(frozen=True, slots=True)
class AskList:
    pass


@dataclass(frozen=True, slots=True)
class Say:
    text: str


Order = SetLine | ClearTable | Bind | Withdraw | Admit | Mark | Probe | Wake | Follow | AskList | Say


class Module(Protocol):
    def handle(self, now: int, events: list[Event]) -> list[Order]: ...
