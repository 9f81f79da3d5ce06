"""Messages between the actors of a policy, and the records that they carry. They decide nothing.

Events and orders, which cross the boundary of the policy, are defined in `gradehoist.interface`.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from gradehoist.interface import AttemptsReported, Endpoint, Order, Phase

Weights = dict[int, float]  # weight by replica
Tables = dict[int, Weights]  # by set of request classes


class Availability(Enum):
    """What proxies are to do with a replica, and why."""

    DRAINING = "drain"
    GONE = "gone"
    EJECTED = "eject"
    AVAILABLE = "open"


URGENT = frozenset({Availability.DRAINING, Availability.GONE})  # requests sent there are lost soon


@dataclass(frozen=True, slots=True)
class AttemptTotals:
    """Attempts at a replica, with older ones counting less; `latency_sum_us` is of those that succeeded."""

    attempts: float = 0.0
    failures: float = 0.0
    latency_sum_us: float = 0.0

    @property
    def failure_share(self) -> float:
        """The share of the attempts that failed, of one at least."""
        return self.failures / max(1.0, self.attempts)

    @property
    def success_share(self) -> float:
        """The share of the attempts that succeeded, 1 without any."""
        return 1 - self.failure_share

    @property
    def mean_latency_us(self) -> float:
        """The mean latency of the attempts that succeeded; there has to be one."""
        return self.latency_sum_us / (self.attempts - self.failures)

    def plus(self, report: AttemptsReported) -> AttemptTotals:
        """Return the totals with those of a report added."""
        succeeded = report.attempts - report.failures
        return AttemptTotals(
            attempts=self.attempts + report.attempts,
            failures=self.failures + report.failures,
            latency_sum_us=self.latency_sum_us + report.mean_latency_us * succeeded,
        )

    def scaled(self, factor: float) -> AttemptTotals:
        """Return the totals, each multiplied by `factor`."""
        return AttemptTotals(
            attempts=factor * self.attempts,
            failures=factor * self.failures,
            latency_sum_us=factor * self.latency_sum_us,
        )


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """What a replica's actor knows of it; `reported_us` is when load was last reported, 0 if never.

    `slow_start` is the part of the weight that slow start allows. `is_ejecting`: the pool has ordered an
    ejection that the replica's actor has yet to confirm.
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
        """Whether the endpoint list has it as ready."""
        return self.endpoint.phase is Phase.READY

    @property
    def is_open(self) -> bool:
        """Whether it may get requests."""
        return self.endpoint.phase is Phase.READY and not (self.is_ejected or self.is_ejecting)

    @property
    def availability(self) -> Availability:
        """What proxies are to do with the replica, as far as its own state says."""
        if self.endpoint.phase is Phase.GONE:
            return Availability.GONE
        if self.endpoint.phase is Phase.DRAINING:
            return Availability.DRAINING
        return Availability.AVAILABLE if self.is_open else Availability.EJECTED

    def is_routed_like(self, other: ReplicaState | None) -> bool:
        """Whether nothing differs for which tables and withdrawals would have to be reconsidered."""
        return other is not None and (
            (self.endpoint.phase, self.is_open, self.is_ejecting, self.endpoint.started_us)
            == (other.endpoint.phase, other.is_open, other.is_ejecting, other.endpoint.started_us)
        )

    def is_restart_of(self, other: ReplicaState | None) -> bool:
        """Whether the replica was open and has started anew since."""
        return other is not None and other.is_open and other.endpoint.started_us < self.endpoint.started_us


# To the pool


@dataclass(frozen=True, slots=True)
class ReplicaChanged:
    """A replica's actor has a new state."""

    state: ReplicaState


@dataclass(frozen=True, slots=True)
class ReplicaFailing:
    """Most of a replica's recent attempts fail."""

    replica: int
    failure_share: float


@dataclass(frozen=True, slots=True)
class ProxyAssigned:
    """A proxy that joined belongs to a group from now on."""

    proxy: int
    group: int


@dataclass(frozen=True, slots=True)
class PeriodElapsed:
    """A report period has passed; also for each replica."""


@dataclass(frozen=True, slots=True)
class PoolAssessmentDue:
    """All replicas have sent their states of this period."""


@dataclass(frozen=True, slots=True)
class WeightStepDue:
    """All groups hold the last weights, so that the next step of the control loop may be taken."""


@dataclass(frozen=True, slots=True)
class PlanDue:
    """Tables have to be planned anew."""


@dataclass(frozen=True, slots=True)
class ReplicasReadmitted:
    """Withdrawals of these replicas are lifted in the message that is being written."""

    replicas: list[int]


@dataclass(frozen=True, slots=True)
class RetentionExpired:
    """A replica has been gone for so long that it may be forgotten."""

    replica: int


# To a replica


@dataclass(frozen=True, slots=True)
class EndpointChanged:
    """The endpoint list has a new entry for the replica."""

    endpoint: Endpoint


@dataclass(frozen=True, slots=True)
class AdjustWeight:
    """A step of the control loop; `error` is how far the load is below its target, as a share of the average.

    `is_stale`: there is no recent report; `scale` makes the weights' average 1 again.
    """

    error: float
    is_stale: bool
    scale: float


@dataclass(frozen=True, slots=True)
class Eject:
    """The replica has to be withdrawn as an outlier."""


@dataclass(frozen=True, slots=True)
class Readmit:
    """The replica's ejection ends at once."""


@dataclass(frozen=True, slots=True)
class EjectionExpired:
    """The time of a replica's ejection is over; `ejection` numbers it."""

    ejection: int


# To a group of proxies


@dataclass(frozen=True, slots=True)
class TablesPlanned:
    """The tables that a group should hold; lines of `withdrawn` replicas may stay, as they get nothing."""

    tables: Tables
    withdrawn: set[int]


@dataclass(frozen=True, slots=True)
class WriteTurn:
    """A group may write `capacity` lines over all its proxies, having waited for `periods`."""

    capacity: float
    periods: int


@dataclass(frozen=True, slots=True)
class WriteReplica:
    """A group has to write its lines of one replica, whether they moved or not."""

    replica: int


@dataclass(frozen=True, slots=True)
class BindToGroup:
    """A proxy is bound to a group's tables; `extra_lines` go with each table.

    `lifts_withdrawals`: withdrawals that it may hold are lifted, which takes another line for each replica.
    """

    proxy: int
    extra_lines: int
    lifts_withdrawals: bool


# To the publisher


@dataclass(frozen=True, slots=True)
class WriteOrders:
    """Orders to write at once: `lines` to each of `proxies`, `new_lines` for replicas new to a table."""

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
    """The withdrawal of a replica gone for good has to be lifted."""

    replica: int


@dataclass(frozen=True, slots=True)
class TablesWritten:
    """What a group's tables name now, by set of classes, and whether they differ from what is planned."""

    group: int
    is_outdated: bool
    replicas: list[frozenset[int]]


@dataclass(frozen=True, slots=True)
class AdmissionChanged:
    """Admission rates that have to be written."""

    orders: Sequence[Order]


# To the admission controller and the publisher


@dataclass(frozen=True, slots=True)
class PoolAssessed:
    """How the pool is: saturated at a `saturation` of 1, where its median replica is.

    `requests` are recent ones by class; `period_us` is what reports cover; `is_subsetting`: tables name a
    subset of the replicas only.
    """

    saturation: float
    success_share: float
    requests: list[float]
    period_us: int
    is_subsetting: bool
