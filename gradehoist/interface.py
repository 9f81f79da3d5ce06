"""The interface of a policy: the events that it receives and the orders that it returns.

A caller creates a policy from a `PolicyConfig` and then passes it batches of events. Replicas, zones, kinds,
classes and proxies are small indices that `gradehoist.identifiers` assigns; times are whole microseconds. The
wire formats are defined elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Phase(Enum):
    """The phase of a replica in the endpoint list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Idempotency(Enum):
    """Whether a request may be executed twice.

    `IDEMPOTENT`: a second execution is harmless. `IDEMPOTENCY_KEY`: replicas of the same group drop it by the
    request's key. `NOT_IDEMPOTENT`: it must not happen.
    """

    IDEMPOTENT = "free"
    IDEMPOTENCY_KEY = "guarded"
    NOT_IDEMPOTENT = "single"


class EndpointListKind(Enum):
    """The kind of an endpoint list.

    `CACHED` (saved by an earlier run) and `SNAPSHOT` are complete, `DELTA` has only changed entries, and
    `FAILED` says that the list could not be fetched.
    """

    CACHED = "saved"
    SNAPSHOT = "complete"
    DELTA = "changes"
    FAILED = "failed"


class HealthCheckOutcome(Enum):
    """The outcome of a health check of a replica."""

    HEALTHY = "answered"
    ERROR = "error"
    REJECTED = "turned away"
    TIMED_OUT = "timed out"
    UNREACHABLE = "unreachable"
    CONNECTION_RESET = "broken"
    OTHER = "other"


@dataclass(frozen=True, slots=True)
class RequestClass:
    """Latency objective, deadline, priority and placement limits of a class of requests.

    `allowed_zones` and `allowed_kinds` are None where every zone or kind is allowed. Requests of a
    `zone_local` class stay in the zone of the proxy that receives them. `late_priority_factor` is the share
    of the priority weight that a response after the latency objective still has.
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
        """Return whether a proxy of `from_zone` may send requests of this class to an endpoint."""
        return (
            (self.allowed_zones is None or endpoint.zone in self.allowed_zones)
            and (not self.zone_local or endpoint.zone == from_zone)
            and (self.allowed_kinds is None or endpoint.kind in self.allowed_kinds)
        )


@dataclass(frozen=True, slots=True)
class SafetyLimits:
    """The parameters of the platform's five safety rules.

    A replica warms up over `warmup_us`, starting with the share `warmup_start_capacity` of its capacity. It
    is overloaded by `overload_multiple` times its capacity over `overload_window_us`. A draining replica may
    receive requests for `drain_grace_us`, and a class may be without a replica for `unroutable_limit_us`.
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
    """The limits of the channel from one governor to its proxies.

    At most `queue_limit_lines` may be queued, and at most `messages_per_window` messages (0: no limit) sent
    to one proxy within `message_window_us`. A message costs `message_overhead_lines` in addition to its
    lines. `lines_per_s` is the configured rate; the actual one may differ. A message that has left the queue
    reaches its proxy within `worst_transit_us`.
    """

    queue_limit_lines: float
    lines_per_s: float
    message_overhead_lines: float
    messages_per_window: int
    message_window_us: int
    worst_transit_us: int


@dataclass(frozen=True, slots=True)
class LoadReporting:
    """How load reports arrive: their period, their signals, and what has to be requested.

    `must_subscribe`: the endpoint list is sent only to subscribers.
    """

    period_us: int
    has_busy_share: bool
    has_in_flight: bool
    health_checks_allowed: bool
    must_subscribe: bool


@dataclass(frozen=True, slots=True)
class PolicyConfig:
    """The configuration of a deployment; `seed` determines the policy's random numbers."""

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
    """The load that a replica reports; a signal that its deployment does not have is None."""

    busy_share: float | None = None
    in_flight: float | None = None
    service_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A replica's entry in the endpoint list; `started_us` is 0 if it started long ago."""

    replica: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    size: float
    started_us: int


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """An endpoint list has arrived, or could not be fetched (`EndpointListKind.FAILED`)."""

    kind: EndpointListKind
    endpoints: tuple[Endpoint, ...]


@dataclass(frozen=True, slots=True)
class ProxyJoined:
    """A proxy has connected and states its request rate, in requests per second.

    `may_hold_withdrawals`: replicas may still be withdrawn at the proxy by an earlier stream, so that a bind
    has to lift these withdrawals one by one.
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

    `mean_latency_us` covers the successful attempts only.
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
    """Requests of a class that a proxy received over `window_us`, with retries and rejected requests."""

    proxy: int
    request_class: int
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class KeyRangeOffered:
    """Requests of a class for a key range over `window_us`."""

    key_range: int
    request_class: int
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class KeyRangeAssigned:
    """This governor has become the owner of a key range, or is no longer its owner."""

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
    """A proxy has applied all messages up to a revision, `elapsed_us` after that one was sent."""

    proxy: int
    revision: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class HealthChecked:
    """A health check has ended, `elapsed_us` after it began."""

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
    """The quotas that a fleet of governors has agreed on; each event replaces all earlier quotas.

    Entries are pairs of an index and a share; a missing entry means 1.0. `zone_quotas`: the share of the
    traffic for a zone that may still go there. `warmup_quotas`: the share of its weight that this governor
    may give a cold replica. `admission_limits`: the highest admitted share of a class.
    """

    zone_quotas: tuple[tuple[int, float], ...] = ()
    warmup_quotas: tuple[tuple[int, float], ...] = ()
    admission_limits: tuple[tuple[int, float], ...] = ()


@dataclass(frozen=True, slots=True)
class TimerFired:
    """A timer that the policy set has fired."""

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
    """Binds a proxy to a table for the given classes, or for all classes if `classes` is empty."""

    proxy: int
    table: int
    classes: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class WithdrawReplica:
    """Withdraws a replica from all tables, or lifts its withdrawal."""

    replica: int
    withdrawn: bool


@dataclass(frozen=True, slots=True)
class SetAdmission:
    """Admits `admitted_share` of the classes' requests, with a retry policy.

    It applies to proxies that are bound to `table`, or to all proxies if `table` is None.
    """

    table: int | None
    classes: tuple[int, ...]
    admitted_share: float
    retry_policy: int


@dataclass(frozen=True, slots=True)
class RequestAcknowledgement:
    """Requests an acknowledgement of a revision: from all proxies if `to_all`, else from those written to."""

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
    """Requests the endpoint list once."""


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
    """A load-balancing policy, which turns events into orders."""

    def handle(self, now_us: int, events: list[Event]) -> list[Order]:
        """Process a batch of events and return the resulting orders; `now_us` must never decrease."""
        ...
