"""Health of zones as the governors observe it, and the fleet's assessment of all their reports. Free of I/O.

Each governor publishes a small report. The assessment weighs the reports by traffic, capped at the median
report's, and takes the weighted majority: a governor that reports falsely changes nothing while it has less
than half the weight. An observer that sees most other zones fail while their other observers see them healthy
is itself isolated, and its observations of other zones do not count. Where most zones fail for everybody, no
single zone is at fault.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import median
from typing import NamedTuple

import msgspec

# Attempts below which a share says nothing: with a tenth failing by chance, five failures of 20 are rare.
MIN_ATTEMPTS = 20.0
# Health checks below which their share says nothing.
MIN_HEALTH_CHECKS = 3
# Share of failures at which a zone is evacuated: below it most of its replicas still serve.
FAILING_SHARE = 0.5
# Share of late responses at which a zone is slow.
LATE_SHARE = 0.5
# Share of replicas without load reports at which a zone fails: more than any fault of one replica brings.
SILENT_SHARE = 0.5
# Share of the observers' weight that makes a majority.
MAJORITY = 0.5
# Weight of an observer without traffic: it decides only where no other can.
MIN_WEIGHT = 1e-6

DEFAULT_WINDOW_US = 10_000_000


class ZoneObservation(msgspec.Struct, frozen=True):
    """What one observer saw of one zone over its last seconds.

    Attributes:
        attempts: Requests that were tried there.
        failures: Attempts that failed.
        late_responses: Completed attempts that missed the latency objective.
        ready_replicas: Replicas that the endpoint list has as ready.
        silent_replicas: Those of them with failures and without a success.
        health_checks: Health checks sent.
        failed_health_checks: Health checks that failed.
        busy_share: Mean busy share of the warm replicas, below 0 where none reports.
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
    """Which step of which plan tables follow; encoded as an array."""

    generation: int
    step: int


NO_PLAN = PlanVersion(0, 0)


class HealthReport(msgspec.Struct, frozen=True):
    """One governor's report, a record of the coordination store.

    Attributes:
        zone: The zone in which the observer stands.
        requests_per_s: The traffic that it routes.
        list_age_us: How long ago its endpoint list was last confirmed.
        observations: What it saw, by zone.
        window_us: The time that the observations cover.
        offered_by_zone: Requests per second that its proxies received, by their zone and by class.
        incarnation: The process that reports.
        applied_plan: Version of the evacuation plan that all its tables follow.
        applied_allocation: Generation of the quota allocation that all its tables follow.
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
    """The fleet's assessment of one zone; the values are in records and in the HTTP status."""

    HEALTHY = "well"
    SLOW = "slow but alive"
    FAILING = "failing"
    PARTITIONED = "cut off from the others"
    UNOBSERVED = "not seen"


class FleetFault(Enum):
    """A fault of the fleet as a whole; the values are in the HTTP status."""

    NONE = "none"
    DISCOVERY_LOST = "discovery lost"
    MOST_ZONES_FAILING = "most zones fail for all: a release, or the observers"


@dataclass(frozen=True)
class FleetHealth:
    """The assessment of all reports; `excluded_observers` has the reason by observer."""

    zones: Mapping[str, ZoneState]
    fault: FleetFault
    excluded_observers: Mapping[str, str]


class ObservedState(Enum):
    """One observer's judgement of one zone; a higher value is worse."""

    HEALTHY = 0
    SLOW = 1
    FAILING = 2


@dataclass(frozen=True)
class TimedReport:
    """A report and when this process received it, by its own clock."""

    report: HealthReport
    received_us: int


def classify_observation(observation: ZoneObservation | None) -> ObservedState | None:
    """What one observer's figures say of a zone, or None where they are too few to tell."""
    if observation is None:
        return None
    if observation.attempts >= MIN_ATTEMPTS:
        return _classify_attempts(observation)
    # Where no traffic is sent any more, health checks tell.
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
    """Holds the latest report of each observer and assesses them together."""

    def __init__(self, report_ttl_us: int, list_ttl_us: int) -> None:
        """Create an assessor without reports.

        Args:
            report_ttl_us: A report that was not renewed for so long does not count.
            list_ttl_us: An endpoint list that was not confirmed for so long is lost.
        """
        self.report_ttl_us = report_ttl_us
        self.list_ttl_us = list_ttl_us
        self.reports = dict[str, TimedReport]()

    def record_report(self, now_us: int, observer: str, report: HealthReport | None) -> None:
        """Take an observer's report as the coordination store delivered it; None removes it."""
        if report is None:
            self.reports.pop(observer, None)
        else:
            self.reports[observer] = TimedReport(report, now_us)

    def fresh_reports(self, now_us: int) -> dict[str, HealthReport]:
        """The reports that still count, by observer."""
        return {
            observer: timed.report
            for observer, timed in self.reports.items()
            if now_us - timed.received_us < self.report_ttl_us
        }

    def assess(self, now_us: int) -> FleetHealth:
        """Assess every zone and the fleet from the fresh reports."""
        assessment = _Assessment(self.fresh_reports(now_us))
        excluded = assessment.find_isolated_observers()
        states = {zone: assessment.assess_zone(zone, excluded) for zone in assessment.zones}
        return FleetHealth(
            zones=states,
            fault=assessment.find_fleet_fault(states, self.list_ttl_us),
            excluded_observers=excluded,
        )


class _Assessment:
    """One assessment over a fixed set of reports."""

    def __init__(self, reports: Mapping[str, HealthReport]) -> None:
        self._reports = reports
        observed_zones = {zone for report in reports.values() for zone in report.observations}
        self.zones = sorted(observed_zones | {report.zone for report in reports.values()})
        self._observed = {zone: self._classify_zone(zone) for zone in self.zones}
        self._weights = self._weigh_observers()

    def _classify_zone(self, zone: str) -> dict[str, ObservedState]:
        found = dict[str, ObservedState]()
        for observer, report in self._reports.items():
            state = classify_observation(report.observations.get(zone))
            if state is not None:
                found[observer] = state
        return found

    def _weigh_observers(self) -> dict[str, float]:
        if not self._reports:
            return {}
        # Capped at the median: with a cap of twice that, one false report of traffic outvoted two observers.
        usual = median([report.requests_per_s for report in self._reports.values()])
        return {
            observer: min(report.requests_per_s, usual) or MIN_WEIGHT
            for observer, report in self._reports.items()
        }

    def _share_at_least(self, observed: Mapping[str, ObservedState], state: ObservedState) -> float | None:
        """Share of the observers' weight that sees `state` or worse; None without observers."""
        total = sum(self._weights[observer] for observer in observed)
        if total <= 0:
            return None
        return sum(self._weights[o] for o, seen in observed.items() if seen.value >= state.value) / total

    def find_isolated_observers(self) -> dict[str, str]:
        """Observers that see most other zones fail, where most of the others' weight sees them healthy.

        With everybody in doubt nobody is excluded: then the fleet's fault is `MOST_ZONES_FAILING`.
        """
        isolated = dict[str, str]()
        for observer, report in self._reports.items():
            others = [z for z in self.zones if z != report.zone and observer in self._observed[z]]
            contradicted = [z for z in others if self._is_contradicted(observer, report.zone, z)]
            if others and 2 * len(contradicted) > len(others):
                isolated[observer] = f"sees {', '.join(contradicted)} fail, which others see well"
        return isolated

    def _is_contradicted(self, observer: str, own_zone: str, zone: str) -> bool:
        """Whether this observer sees the zone fail and most observers outside its own zone do not."""
        if self._observed[zone][observer] is not ObservedState.FAILING:
            return False
        elsewhere = {o: s for o, s in self._observed[zone].items() if self._reports[o].zone != own_zone}
        failing_share = self._share_at_least(elsewhere, ObservedState.FAILING)
        return failing_share is not None and failing_share < MAJORITY

    def assess_zone(self, zone: str, excluded: Mapping[str, str]) -> ZoneState:
        """The state of a zone; excluded observers count for their own zone alone."""
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
            # Only its own observers tell a zone that fails from one that the others can't reach.
            is_failing = failing_inside is None or failing_inside >= MAJORITY
            return ZoneState.FAILING if is_failing else ZoneState.PARTITIONED
        if failing_outside is None and failing_inside is not None and failing_inside >= MAJORITY:
            return ZoneState.FAILING
        slow_share = self._share_at_least(observed, ObservedState.SLOW)
        is_slow = slow_share is not None and slow_share >= MAJORITY
        return ZoneState.SLOW if is_slow else ZoneState.HEALTHY

    def find_fleet_fault(self, states: Mapping[str, ZoneState], list_ttl_us: int) -> FleetFault:
        """The fault that concerns more than single zones, if there is one."""
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
