"""Assesses the health of zones from the reports of all governors. Free of I/O.

Each governor publishes a small report of what it observed, and is called an observer here. The assessment
weights each report by the observer's traffic, capped at the median of all observers, and takes the weighted
majority. As long as a governor that reports falsely has less than half of the weight, it changes nothing. An
observer that sees most other zones fail, while the other observers see them healthy, is itself isolated. Its
observations of other zones are ignored. If most zones fail according to all observers, no single zone is at
fault.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import NamedTuple

import msgspec

# Number of attempts below which the shares of failures and of late responses say nothing and are not
# evaluated. If a tenth of all attempts fails at random, five failures among 20 are rare.
MIN_ATTEMPTS = 20.0
# Number of health checks below which the share of failed ones says nothing and is not evaluated.
MIN_HEALTH_CHECKS = 3
# Share of failures from which a zone counts as failing. Below it, most of the zone's replicas still serve.
FAILING_SHARE = 0.5
# Share of late responses from which a zone counts as slow.
LATE_SHARE = 0.5
# Share of silent replicas above which a zone counts as failing. It is more than the fault of a single replica
# brings about.
SILENT_SHARE = 0.5
# Share of the observers' weight that is a majority.
MAJORITY = 0.5
# Weight of an observer without traffic. It is so small that the observer decides only if no other one can.
MIN_WEIGHT = 1e-6

DEFAULT_WINDOW_US = 10_000_000


class ZoneObservation(msgspec.Struct, frozen=True):
    """What one observer measured of one zone within the report's window.

    Attributes:
        attempts: Attempts sent to the zone.
        failures: Attempts that failed.
        late_responses: Successful attempts that missed the latency objective.
        ready_replicas: Replicas that are ready according to the endpoint list.
        silent_replicas: Ready replicas with failed attempts and without a successful one.
        health_checks: Health checks sent to the zone.
        failed_health_checks: Health checks that failed.
        busy_share: Mean busy share of the warm replicas, or a negative value if none reports it.
        sustainable_share: Share of its own traffic that the zone can serve while its replicas warm up.
    """

    attempts: float = msgspec.field(default=0.0, name="tried")
    failures: float = msgspec.field(default=0.0, name="failed")
    late_responses: float = msgspec.field(default=0.0, name="late")
    ready_replicas: int = msgspec.field(default=0, name="ready")
    silent_replicas: int = msgspec.field(default=0, name="silent")
    health_checks: int = msgspec.field(default=0, name="probes")
    failed_health_checks: int = msgspec.field(default=0, name="probes_failed")
    busy_share: float = msgspec.field(default=-1.0, name="busy")
    sustainable_share: float = msgspec.field(default=1.0, name="bears")


class PlanVersion(NamedTuple):
    """Identifies one step of an evacuation plan. It is encoded as an array."""

    generation: int
    step: int


NO_PLAN = PlanVersion(0, 0)


class HealthReport(msgspec.Struct, frozen=True):
    """One governor's report, a record of the coordination store.

    Attributes:
        zone: The zone in which the observer runs.
        requests_per_s: The traffic that the observer's proxies route.
        list_age_us: Time since the observer's endpoint list was last confirmed.
        observations: What the observer measured, by zone.
        window_us: The period that the observations cover.
        offered_by_zone: Requests per second that its proxies received, by zone of the proxy and request
            class.
        incarnation: The observer's incarnation.
        applied_plan: Version of the evacuation plan that all of the observer's tables follow.
        applied_allocation: Generation of the quota allocation that all of the observer's tables follow.
    """

    zone: str
    requests_per_s: float = msgspec.field(name="traffic")
    list_age_us: int = msgspec.field(name="list_age")
    observations: dict[str, ZoneObservation] = msgspec.field(name="sights")
    window_us: int = msgspec.field(default=DEFAULT_WINDOW_US, name="window")
    offered_by_zone: dict[str, dict[str, float]] = msgspec.field(default_factory=dict, name="came")
    incarnation: str = msgspec.field(default="", name="run")
    applied_plan: PlanVersion = msgspec.field(default=NO_PLAN, name="plan")
    applied_allocation: int = msgspec.field(default=-1, name="deal")


class ZoneState(Enum):
    """The assessment of one zone. The values are stored in records and appear in the HTTP status."""

    HEALTHY = "well"
    SLOW = "slow but alive"
    FAILING = "failing"
    PARTITIONED = "cut off from the others"
    UNOBSERVED = "not seen"


class FleetFault(Enum):
    """A fault of the fleet as a whole. The values appear in the HTTP status."""

    NONE = "none"
    DISCOVERY_LOST = "discovery lost"
    MOST_ZONES_FAILING = "most zones fail for all: a release, or the observers"


@dataclass(frozen=True)
class FleetHealth:
    """The assessment of all reports.

    Attributes:
        zones: State by zone.
        fault: The fault of the fleet as a whole.
        excluded_observers: Why an observer was excluded, by observer.
    """

    zones: Mapping[str, ZoneState]
    fault: FleetFault
    excluded_observers: Mapping[str, str]


class ObservedState(Enum):
    """The state of one zone according to one observer. A higher value is a worse state."""

    HEALTHY = 0
    SLOW = 1
    FAILING = 2


@dataclass(frozen=True)
class TimedReport:
    """A report and the time at which this process received it, by its own clock."""

    report: HealthReport
    received_us: int


def classify_observation(observation: ZoneObservation | None) -> ObservedState | None:
    """Return the state of a zone according to one observation, or None if it contains too few samples."""
    if observation is None:
        return None
    if observation.attempts >= MIN_ATTEMPTS:
        return _classify_attempts(observation)
    # Health checks are evaluated if the zone gets too little traffic.
    if observation.health_checks >= MIN_HEALTH_CHECKS:
        is_failing = observation.failed_health_checks >= FAILING_SHARE * observation.health_checks
        return ObservedState.FAILING if is_failing else ObservedState.HEALTHY
    if observation.ready_replicas and observation.silent_replicas > SILENT_SHARE * observation.ready_replicas:
        return ObservedState.FAILING
    return None


def _classify_attempts(observation: ZoneObservation) -> ObservedState:
    if observation.failures >= FAILING_SHARE * observation.attempts:
        return ObservedState.FAILING
    completed = observation.attempts - observation.failures
    if observation.late_responses >= LATE_SHARE * completed:
        return ObservedState.SLOW
    return ObservedState.HEALTHY


class HealthAssessor:
    """Keeps the latest report of each observer and assesses the zones from all of them."""

    def __init__(self, report_ttl_us: int, list_ttl_us: int) -> None:
        """Create an assessor without reports.

        Args:
            report_ttl_us: Age from which a report is ignored.
            list_ttl_us: Time without confirmation after which an endpoint list counts as lost.
        """
        self.report_ttl_us = report_ttl_us
        self.list_ttl_us = list_ttl_us
        self.reports = dict[str, TimedReport]()

    def record_report(self, now_us: int, observer: str, report: HealthReport | None) -> None:
        """Store an observer's report from the coordination store. A report of None removes it."""
        if report is None:
            self.reports.pop(observer, None)
        else:
            self.reports[observer] = TimedReport(report, now_us)

    def fresh_reports(self, now_us: int) -> dict[str, HealthReport]:
        """Return the reports that are younger than `report_ttl_us`, by observer."""
        return {
            observer: timed.report
            for observer, timed in self.reports.items()
            if now_us - timed.received_us < self.report_ttl_us
        }

    def assess(self, now_us: int) -> FleetHealth:
        """Assess every zone and the fleet as a whole from the fresh reports."""
        assessment = _Assessment(self.fresh_reports(now_us))
        excluded = assessment.find_isolated_observers()
        states = {zone: assessment.assess_zone(zone, excluded) for zone in assessment.zones}
        return FleetHealth(
            zones=states,
            fault=assessment.find_fleet_fault(states, self.list_ttl_us),
            excluded_observers=excluded,
        )


class _Assessment:
    """One assessment of a fixed set of reports."""

    def __init__(self, reports: Mapping[str, HealthReport]) -> None:
        self._reports = reports
        observed_zones = {zone for report in reports.values() for zone in report.observations}
        self.zones = sorted(observed_zones | {report.zone for report in reports.values()})
        self._observed = {zone: self._classify_zone(zone) for zone in self.zones}
        self._weights = self._compute_weights()

    def _classify_zone(self, zone: str) -> dict[str, ObservedState]:
        states = dict[str, ObservedState]()
        for observer, report in self._reports.items():
            state = classify_observation(report.observations.get(zone))
            if state is not None:
                states[observer] = state
        return states

    def _compute_weights(self) -> dict[str, float]:
        if not self._reports:
            return {}
        # Weights are capped at the median. With a cap of twice the median, one observer with a false report
        # of high traffic outvoted two others.
        cap = median([report.requests_per_s for report in self._reports.values()])
        return {
            observer: min(report.requests_per_s, cap) or MIN_WEIGHT
            for observer, report in self._reports.items()
        }

    def _share_at_least(self, observed: Mapping[str, ObservedState], state: ObservedState) -> float | None:
        """Return the share of the observers' weight that reports `state` or worse; None without observers."""
        total = sum(self._weights[observer] for observer in observed)
        if total <= 0:
            return None
        return sum(self._weights[o] for o, seen in observed.items() if seen.value >= state.value) / total

    def find_isolated_observers(self) -> dict[str, str]:
        """Return the observers that see most other zones fail while the majority does not, with the reason.

        If all observers see most zones fail, none of them is isolated, and the fleet's fault is
        `MOST_ZONES_FAILING`.
        """
        isolated = dict[str, str]()
        for observer, report in self._reports.items():
            others = [z for z in self.zones if z != report.zone and observer in self._observed[z]]
            contradicted = [z for z in others if self._is_contradicted(observer, report.zone, z)]
            if others and 2 * len(contradicted) > len(others):
                isolated[observer] = f"reports {', '.join(contradicted)} as failing, the majority does not"
        return isolated

    def _is_contradicted(self, observer: str, own_zone: str, zone: str) -> bool:
        """Whether this observer sees the zone fail and the majority outside its own zone does not."""
        if self._observed[zone][observer] is not ObservedState.FAILING:
            return False
        elsewhere = {o: s for o, s in self._observed[zone].items() if self._reports[o].zone != own_zone}
        failing_share = self._share_at_least(elsewhere, ObservedState.FAILING)
        return failing_share is not None and failing_share < MAJORITY

    def assess_zone(self, zone: str, excluded: Mapping[str, str]) -> ZoneState:
        """Return the state of a zone. Excluded observers count only for their own zone."""
        observed = {
            observer: state
            for observer, state in self._observed[zone].items()
            if observer not in excluded or self._reports[observer].zone == zone
        }
        inside = {o: state for o, state in observed.items() if self._reports[o].zone == zone}
        outside = {o: state for o, state in observed.items() if self._reports[o].zone != zone}
        failing_inside = self._share_at_least(inside, ObservedState.FAILING)
        failing_outside = self._share_at_least(outside, ObservedState.FAILING)
        if failing_inside is None and failing_outside is None:
            return ZoneState.UNOBSERVED
        if failing_outside is not None and failing_outside >= MAJORITY:
            # Only observers inside the zone can distinguish a failing zone from one that is unreachable from
            # outside.
            is_failing = failing_inside is None or failing_inside >= MAJORITY
            return ZoneState.FAILING if is_failing else ZoneState.PARTITIONED
        if failing_outside is None and failing_inside is not None and failing_inside >= MAJORITY:
            return ZoneState.FAILING
        slow_share = self._share_at_least(observed, ObservedState.SLOW)
        is_slow = slow_share is not None and slow_share >= MAJORITY
        return ZoneState.SLOW if is_slow else ZoneState.HEALTHY

    def find_fleet_fault(self, states: Mapping[str, ZoneState], list_ttl_us: int) -> FleetFault:
        """Return the fault of the fleet as a whole, if there is one."""
        known = [state for state in states.values() if state is not ZoneState.UNOBSERVED]
        failing = sum(state in (ZoneState.FAILING, ZoneState.PARTITIONED) for state in known)
        if len(known) > 1 and 2 * failing > len(known):
            return FleetFault.MOST_ZONES_FAILING
        stale_weight = sum(
            self._weights[observer]
            for observer, report in self._reports.items()
            if report.list_age_us >= list_ttl_us
        )
        if self._reports and 2 * stale_weight > sum(self._weights.values()):
            return FleetFault.DISCOVERY_LOST
        return FleetFault.NONE
