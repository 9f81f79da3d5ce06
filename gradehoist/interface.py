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


class Idempotency(Enum):
    """What a second run of a transaction means: harmless, dropped inside a group, or forbidden."""

    IDEMPOTENT = "free"
    IDEMPOTENCY_KEY = "guarded"
    NOT_IDEMPOTENT = "single"


class EndpointListKind(Enum):
    CACHED = "saved"
    SNAPSHOT = "complete"
    DELTA = "changes"
    FAILED = "failed"


class HealthCheckOutcome(Enum):
    HEALTHY = "answered"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_RESET = "broken"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class RequestClass:
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_factor: float
    idempotency: Idempotency
    allowed_zones: tuple[int, ...] | None
    allowed_kinds: tuple[int, ...] | None
    zone_local: bool


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The figures behind the five rules."""

    drain_grace_us: int
    warmup_us: int
    warmup_start_capacity: float
    overload_multiple: float
    overload_window_us: int
    unroutable_limit_us: int
    gone_is_advisory: bool


@dataclass(frozen=True, slots=True)
class ChannelLimits:
    """What one governor may write; `line_rate` is the stated pace, not the true one."""

    queue_limit_lines: float
    lines_per_s: float
    message_overhead_lines: float
    messages_per_window: int
    message_window_us: int


@dataclass(frozen=True, slots=True)
class LoadReporting:
    """How reports come: the gathering period, and which load figures answers carry."""

    period_us: int
    has_busy_share: bool
    has_in_flight: bool
    health_checks_allowed: bool
    must_subscribe: bool


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    seed: int
    zone_count: int
    proxy_count: int
    key_range_count: int
    admission_enabled: bool
    classes: tuple[RequestClass, ...]
    safety: SafetyLimits
    channel: ChannelLimits
    load_reporting: LoadReporting


@dataclass(frozen=True, slots=True)
class LoadReport:
    """One load report; a figure the deployment does not carry is None."""

    busy_share: float | None = None
    in_flight: float | None = None
    service_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    replica: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    size: float
    started_us: int


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """`holds`: it may be shut out from replicas that a bind has to let back one by one."""

    proxy: int
    zone: int
    request_rate: float
    may_hold_withdrawals: bool = False


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    proxy: int


@dataclass(frozen=True, slots=True)
class AttemptsReported:
    """What the proxies of one zone met at a replica over `window`."""

    zone: int
    replica: int
    attempts: int
    failures: int
    elapsed_us: int
    window_us: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class RequestsOffered:
    """Transactions of a class that came to a proxy over `window`, repeats and refusals included."""

    proxy: int
    request_class: int
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class KeyRangeOffered:
    key_range: int
    request_class: int
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class KeyRangeAssigned:
    key_range: int
    is_owner: bool


@dataclass(frozen=True, slots=True)
class KeyRangeLine:
    key_range: int
    replica: int
    weight: float


@dataclass(frozen=True, slots=True)
class UpdateAcknowledged:
    proxy: int
    revision: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    replica: int
    outcome: HealthCheckOutcome
    elapsed_us: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class QuotasAgreed:
    """What a fleet of governors agreed, all of it each time; 1.0 where nothing is named. `zones`: the part of
    what would go to a zone that still may; `replicas`: the part of its weight that this governor may give a
    cold one; `levels`: the share of a class that is let in, at most."""

    zone_quotas: tuple[tuple[int, float], ...] = ()
    warmup_quotas: tuple[tuple[int, float], ...] = ()
    admission_limits: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    token: int


Event = (
    EndpointsListed
    | ProxyJoined
    | ProxyLeft
    | AttemptsReported
    | RequestsOffered
    | KeyRangeOffered
    | KeyRangeAssigned
    | KeyRangeLine
    | UpdateAcknowledged
    | HealthChecked
    | PeerMessageReceived
    | QuotasAgreed
    | TimerFired
)


@dataclass(frozen=True, slots=True)
class SetWeight:
    """Weight 0 removes the line."""

    table: int
    replica: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    table: int


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Puts a proxy on a table for the named classes (none named: all)."""

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WithdrawReplica:
    replica: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Lets in `share` of the classes; `tries` is the way of trying again. Table None: everywhere."""

    table: int | None
    classes: tuple[int, ...]
    admitted_share: float
    retry_policy: int


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    revision: int
    to_all: bool


@dataclass(frozen=True, slots=True)
class CheckHealth:
    replica: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    token: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    subscribed: bool


@dataclass(frozen=True, slots=True)
class RequestEndpoints:
    pass


@dataclass(frozen=True, slots=True)
class LogRemark:
    text: str


Order = (
    SetWeight
    | ClearTable
    | BindProxy
    | WithdrawReplica
    | SetAdmission
    | RequestAcknowledgement
    | CheckHealth
    | SetTimer
    | SubscribeEndpoints
    | RequestEndpoints
    | LogRemark
)


class Policy(Protocol):
    def handle(self, now_us: int, events: list[Event]) -> list[Order]: ...
