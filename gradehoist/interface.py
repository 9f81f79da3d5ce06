"""Events that a policy is given and orders that it returns, without any wire format.

Replicas, zones, kinds and classes are small indices that `gradehoist.identifiers` assigns; times are whole
microseconds. A caller creates a policy from a `PolicyConfig` and then passes it batches of events.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Phase(Enum):
    """What the endpoint list says of a replica."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Idempotency(Enum):
    """What a second run of a request means: harmless, dropped by its key inside a group, or forbidden."""

    IDEMPOTENT = "free"
    IDEMPOTENCY_KEY = "guarded"
    NOT_IDEMPOTENT = "single"


class EndpointListKind(Enum):
    """What an endpoint list is: a `CACHED` one and a `SNAPSHOT` are complete, a `DELTA` is not."""

    CACHED = "saved"
    SNAPSHOT = "complete"
    DELTA = "changes"
    FAILED = "failed"


class HealthCheckOutcome(Enum):
    """How a replica responded to a health check."""

    HEALTHY = "answered"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_RESET = "broken"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Objective, deadline and placement limits of a class of requests.

    A limit of None allows every zone or kind; a `zone_local` class stays in the zone its requests come to.
    `late_priority_factor` is the part of the priority weight that a late response still has.
    """

    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_factor: float
    idempotency: Idempotency
    allowed_zones: tuple[int, ...] | None
    allowed_kinds: tuple[int, ...] | None
    zone_local: bool

    def allows(self, endpoint: Endpoint, from_zone: int) -> bool:
        """Return whether requests that come to a proxy of `from_zone` may be sent to an endpoint."""
        return (
            (self.allowed_zones is None or endpoint.zone in self.allowed_zones)
            and (not self.zone_local or endpoint.zone == from_zone)
            and (self.allowed_kinds is None or endpoint.kind in self.allowed_kinds)
        )


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The figures behind the five safety rules of the platform.

    A replica warms up over `warmup_us`, from `warmup_start_capacity`; `overload_multiple` of its capacity
    over `overload_window_us` is too much for it. A draining replica may get requests for `drain_grace_us`,
    and a class may be without a replica for `unroutable_limit_us`.
    """

    drain_grace_us: int
    warmup_us: int
    warmup_start_capacity: float
    overload_multiple: float
    overload_window_us: int
    unroutable_limit_us: int
    gone_is_advisory: bool


@dataclass(frozen=True, slots=True)
class ChannelLimits:
    """What one governor may write to its proxies; `lines_per_s` is the stated rate, not the true one.

    At most `queue_limit_lines` may wait, and `messages_per_window` (0: any number) go to one proxy within
    `message_window_us`. A message costs `message_overhead_lines` beside its lines.
    """

    queue_limit_lines: float
    lines_per_s: float
    message_overhead_lines: float
    messages_per_window: int
    message_window_us: int


@dataclass(frozen=True, slots=True)
class LoadReporting:
    """How load reports come: the period, the signals that they carry, and what may be asked for."""

    period_us: int
    has_busy_share: bool
    has_in_flight: bool
    health_checks_allowed: bool
    must_subscribe: bool


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """All that is known of a deployment at the start; `seed` is of the policy's random numbers."""

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
    """One load report; a signal that the deployment does not carry is None."""

    busy_share: float | None = None
    in_flight: float | None = None
    service_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A replica's entry in the endpoint list; `started_us` is 0 where it started long ago."""

    replica: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    size: float
    started_us: int


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """The endpoint list has come, or has failed to."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """A proxy has connected, with the requests per second that it states.

    `may_hold_withdrawals`: it may have withdrawn replicas that a bind has to readmit one by one.
    """

    proxy: int
    zone: int
    request_rate: float
    may_hold_withdrawals: bool = False


@dataclass(frozen=True, slots=True)
class ProxyLeft:
    """A proxy's connection has ended."""

    proxy: int


@dataclass(frozen=True, slots=True)
class AttemptsReported:
    """What the proxies of one zone measured at a replica over `window_us`.

    `mean_latency_us` is the mean latency of the attempts that succeeded.
    """

    zone: int
    replica: int
    attempts: int
    failures: int
    mean_latency_us: int
    window_us: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class RequestsOffered:
    """Requests of a class that came to a proxy over `window_us`, retries and rejected ones included."""

    proxy: int
    request_class: int
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class KeyRangeOffered:
    """Requests of a class that came for a key range over `window_us`."""

    key_range: int
    request_class: int
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class KeyRangeAssigned:
    """This governor owns a key range from now on, or no longer."""

    key_range: int
    is_owner: bool


@dataclass(frozen=True, slots=True)
class KeyRangeLine:
    """Another governor has set a weight of a replica for a key range."""

    key_range: int
    replica: int
    weight: float


@dataclass(frozen=True, slots=True)
class UpdateAcknowledged:
    """A proxy has applied everything up to a revision, `elapsed_us` after it was sent."""

    proxy: int
    revision: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check has ended."""

    replica: int
    outcome: HealthCheckOutcome
    elapsed_us: int
    load: LoadReport | None


@dataclass(frozen=True, slots=True)
class PeerMessageReceived:
    """Another governor has sent a message."""

    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class QuotasAgreed:
    """What a fleet of governors agreed, all of it each time; 1.0 where nothing is named.

    `zone_quotas`: the part of what would go to a zone that still may. `warmup_quotas`: the part of its weight
    that this governor may give a cold replica. `admission_limits`: the highest admitted share of a class.
    """

    zone_quotas: tuple[tuple[int, float], ...] = ()
    warmup_quotas: tuple[tuple[int, float], ...] = ()
    admission_limits: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the policy set is due."""

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
    """Sets a replica's weight in a table; 0 removes the line."""

    table: int
    replica: int
    weight: float


@dataclass(frozen=True, slots=True)
class ClearTable:
    """Removes all lines of a table."""

    table: int


@dataclass(frozen=True, slots=True)
class BindProxy:
    """Binds a proxy to a table for the named classes, for all if none is named."""

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WithdrawReplica:
    """Withdraws a replica from every table, or lifts its withdrawal."""

    replica: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Admits `admitted_share` of the classes' requests, with a retry policy; table None: everywhere."""

    table: int | None
    classes: tuple[int, ...]
    admitted_share: float
    retry_policy: int


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    """Asks for an acknowledgement of all that was written up to a revision; of all proxies if `to_all`."""

    revision: int
    to_all: bool


@dataclass(frozen=True, slots=True)
class CheckHealth:
    """Orders a health check of a replica."""

    replica: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Sets a timer to fire after `delay_us`."""

    token: int
    delay_us: int


@dataclass(frozen=True, slots=True)
class SubscribeEndpoints:
    """Subscribes to the endpoint list, or ends the subscription."""

    subscribed: bool


@dataclass(frozen=True, slots=True)
class RequestEndpoints:
    """Asks for the endpoint list once."""


@dataclass(frozen=True, slots=True)
class LogRemark:
    """Adds a remark to the log."""

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
    """What decides: takes events and returns orders."""

    def handle(self, now_us: int, events: list[Event]) -> list[Order]:
        """Take a batch of events at a time that never goes back; return the orders that follow from it."""
        ...
