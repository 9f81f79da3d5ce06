"""Messages between the actors of a policy, and the records that they carry.

Events and orders, which enter and leave the policy, are defined in `gradehoist.interface`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from gradehoist.interface import AttemptsReported, Endpoint, Order, Phase

Weights = dict[int, float]  # weight by replica
Tables = dict[int, Weights]  # weights by class set


class Availability(Enum):
    """Whether proxies may send requests to a replica, and if not, why."""

    DRAINING = "drain"
    GONE = "gone"
    EJECTED = "eject"
    AVAILABLE = "open"


class HoldBackReason(Enum):
    """Why a cold replica is held back, that is, kept withdrawn although it is open."""

    RESTARTED = "it has just restarted"
    OVERLOAD = "the pool is overloaded, or was until shortly before"
    LOAD = "it would be sent more than it can do while it warms up"
    UNDECIDED = "it has just been listed"


# Requests that are sent to a replica with one of these are soon lost.
URGENT = frozenset({Availability.DRAINING, Availability.GONE})


@dataclass(frozen=True, slots=True)
class AttemptTotals:
    """Totals of the attempts at a replica, in which older attempts count less.

    `latency_sum_us` is the sum of the latencies of the successful attempts.
    """

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum_us: float = 0.0

    @property
    def failure_share(self) -> float:
        """The share of the attempts that failed; fewer than one attempt count as one."""
        return self.failures / max(1.0, self.attempts)

    @property
    def success_share(self) -> float:
        """The share of the attempts that succeeded, 1 if there are none."""
        return 1 - self.failure_share

    @property
    def mean_latency_us(self) -> float:
        """The mean latency of the successful attempts, of which there must be some."""
        return self.latency_sum_us / (self.attempts - self.failures)

    def plus(self, report: AttemptsReported) -> AttemptTotals:
        """Return the totals plus those of a report."""
        succeeded = report.attempts - report.failures
        return AttemptTotals(
            attempts=self.attempts + report.attempts,
            failures=self.failures + report.failures,
            latency_sum_us=self.latency_sum_us + report.mean_latency_us * succeeded,
        )

    def scaled(self, factor: float) -> AttemptTotals:
        """Return the totals multiplied by `factor`."""
        return AttemptTotals(
            attempts=factor * self.attempts,
            failures=factor * self.failures,
            latency_sum_us=factor * self.latency_sum_us,
        )


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """The state of a replica, as its actor publishes it.

    `slow_start` is the share of the weight that slow start allows, and `reported_us` the time of the last
    load report, 0 if there was none. `is_ejecting`: the pool has ordered an ejection that the replica's actor
    has not confirmed yet.
    """

    endpoint: Endpoint
    weight: float
    period_us: int
    slow_start: float = 1.0
    busy_share: float | None = None
    in_flight: float | None = None
    reported_us: int = 0
    totals: AttemptTotals = AttemptTotals()
    is_ejected: bool = False
    is_ejecting: bool = False

    @property
    def is_ready(self) -> bool:
        """Whether the endpoint list says that the replica is ready."""
        return self.endpoint.phase is Phase.READY

    @property
    def is_open(self) -> bool:
        """Whether the replica may receive requests."""
        return self.endpoint.phase is Phase.READY and not (self.is_ejected or self.is_ejecting)

    @property
    def availability(self) -> Availability:
        """The availability that follows from the replica's own state."""
        if self.endpoint.phase is Phase.GONE:
            return Availability.GONE
        if self.endpoint.phase is Phase.DRAINING:
            return Availability.DRAINING
        return Availability.AVAILABLE if self.is_open else Availability.EJECTED

    def is_routed_like(self, other: ReplicaState | None) -> bool:
        """Return whether the difference to another state affects neither tables nor withdrawals."""
        return other is not None and (
            (self.endpoint.phase, self.is_open, self.is_ejecting, self.endpoint.started_us)
            == (other.endpoint.phase, other.is_open, other.is_ejecting, other.endpoint.started_us)
        )

    def is_restart_of(self, other: ReplicaState | None) -> bool:
        """Return whether the replica was open in the other state and has restarted since."""
        return other is not None and other.is_open and other.endpoint.started_us < self.endpoint.started_us


# Messages to the pool.


@dataclass(frozen=True, slots=True)
class ReplicaChanged:
    """A replica's state has changed."""

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class ReplicaFailing:
    """Most of the recent attempts at a replica have failed."""

    replica: int
    failure_share: float


@dataclass(frozen=True, slots=True)
class ProxyAssigned:
    """A proxy that joined was assigned to a group."""

    proxy: int
    group: int


@dataclass(frozen=True, slots=True)
class PeriodElapsed:
    """A report period has passed; the pool passes this message on to each replica."""


@dataclass(frozen=True, slots=True)
class PoolAssessmentDue:
    """All replicas have sent their states for this period."""


@dataclass(frozen=True, slots=True)
class WeightStepDue:
    """All groups have the latest weights, so the next step of the control loop may be taken."""


@dataclass(frozen=True, slots=True)
class PlanDue:
    """The tables have to be planned again."""


@dataclass(frozen=True, slots=True)
class ColdReplicasDue:
    """All changes of a batch are known, so it can be decided which cold replicas get requests."""


@dataclass(frozen=True, slots=True)
class ReadmissionsRejected:
    """Cold replicas that would be sent too much if they were readmitted without those that do not fit."""

    replicas: set[int]


@dataclass(frozen=True, slots=True)
class ReplicasReadmitted:
    """The withdrawals of these replicas are lifted in the messages that are being written."""

    replicas: list[int]


@dataclass(frozen=True, slots=True)
class RetentionExpired:
    """The retention time of a replica that was gone has passed."""

    replica: int


# Messages to a replica.


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """The replica's entry in the endpoint list has changed."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class AdjustWeight:
    """A step of the control loop.

    `error` is the target load minus the replica's load, both relative to the average. `is_stale`: there is no
    recent load report. The weight is multiplied by `scale`, which brings the average weight back to 1.
    """

    error: float
    is_stale: bool
    scale: float


@dataclass(frozen=True, slots=True)
class Eject:
    """The replica has to be ejected as an outlier."""


@dataclass(frozen=True, slots=True)
class Readmit:
    """The replica's ejection has to end now."""


@dataclass(frozen=True, slots=True)
class EjectionExpired:
    """The time of the replica's ejection number `ejection` is over."""

    ejection: int


# Messages to a group of proxies.


@dataclass(frozen=True, slots=True)
class TablesPlanned:
    """The tables that a group should hold; lines of `withdrawn` replicas, which get no requests, may stay."""

    tables: Tables
    withdrawn: set[int]


@dataclass(frozen=True, slots=True)
class WriteTurn:
    """A group may write `capacity` lines in total to its proxies, after waiting for `periods`."""

    capacity: float
    periods: int


@dataclass(frozen=True, slots=True)
class WriteReplica:
    """A group has to write its lines for one replica, changed or not."""

    replica: int


@dataclass(frozen=True, slots=True)
class BindToGroup:
    """A proxy has to be bound to a group's tables, with `extra_lines` for each table.

    `lifts_withdrawals`: withdrawals that the proxy may hold are lifted, which takes another line per replica.
    """

    proxy: int
    extra_lines: int
    lifts_withdrawals: bool


# Messages to the publisher.


@dataclass(frozen=True, slots=True)
class WriteOrders:
    """Orders to write now: `lines` to each of `proxies`, of which `new_lines` add a replica to a table."""

    orders: Sequence[Order]
    proxies: Sequence[int]
    lines: int
    new_lines: int = 0


@dataclass(frozen=True, slots=True)
class SetAvailability:
    """A replica has to be withdrawn or readmitted as soon as the channel allows."""

    replica: int
    availability: Availability


@dataclass(frozen=True, slots=True)
class LiftWithdrawal:
    """The withdrawal of a replica has to be lifted, as its retention time has passed."""

    replica: int


@dataclass(frozen=True, slots=True)
class TablesWritten:
    """The replicas in a group's tables, by class set, and whether the tables differ from the plan."""

    group: int
    is_outdated: bool
    replicas: list[frozenset[int]]


@dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """Admission rates that have to be written."""

    orders: Sequence[Order]


@dataclass(frozen=True, slots=True)
class AdmissionForecast:
    """Admission rates by class: those in force, and the highest until replicas are reviewed again."""

    current: Sequence[float]
    highest: Sequence[float]


# Messages to the admission controller and the publisher.


@dataclass(frozen=True, slots=True)
class PoolAssessed:
    """The state of the pool, once per report period.

    `saturation` is 1 if the median replica is just at one of the limits of its load. `requests` are the
    recent requests by class, and `period_us` is the period that load reports cover. `is_subsetting`: tables
    have lines for a subset of the replicas only.
    """

    saturation: float
    success_share: float
    requests: list[float]
    period_us: int
    is_subsetting: bool
