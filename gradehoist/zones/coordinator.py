"""One governor's part in the evacuation and recovery of zones. Free of I/O.

The coordinator keeps the health reports of all governors, follows the plan and the quota allocation of the
coordination store, and says which quotas are in force for this governor. While this governor leads the
election `zones` the coordinator also makes the next step and the next allocation. Without the coordination
store the agreed limits are held for a time and then relaxed by an even ramp (`coordination/fallback.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradehoist.coordination.fallback import AgreedLimits
from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens
from gradehoist.zones.capacity import CapacityEstimator
from gradehoist.zones.evacuation import ClassConstraints, EvacuationPlan, EvacuationTiming, ZoneLoad
from gradehoist.zones.evacuation_steps import FleetConditions, is_step_confirmed, next_plan
from gradehoist.zones.health import FleetHealth, HealthAssessor, HealthReport, ZoneState
from gradehoist.zones.warmup_quota import QuotaAllocation, next_allocation

PLAN_KEY = "zones/plan"
ALLOCATION_KEY = "zones/deal"
REPORTS_PREFIX = "zones/views/"

# Limits of classes stand beside those of zones in the agreed limits, under this prefix.
CLASS_PREFIX = "class/"
# Quotas reach the policy as multiples of one fiftieth: a ramp would otherwise be an event in every round.
QUOTA_STEPS = 50
# Share of an evacuated zone's traffic that still goes there, so that its recovery is seen.
EXPLORATORY_SHARE = 0.02
# Factor by which traffic may exceed the allocated quota: a new allocation follows within some seconds.
TRAFFIC_SWING = 1.15


@dataclass(frozen=True)
class ZoneQuotas:
    """The limits in force for this governor; 1.0 applies to what is not listed.

    Attributes:
        zone_quotas: Share of a zone's traffic that may go there.
        warmup_quota: Factor on the weight of replicas that are warming up.
        admission_limits: Admitted share by request class.
    """

    zone_quotas: Mapping[str, float]
    warmup_quota: float
    admission_limits: Mapping[str, float]


@dataclass(frozen=True)
class CoordinatorConfig:
    """Constraints and times of a coordinator.

    Attributes:
        classes: Constraints by request class.
        timing: Waiting times between steps.
        drain_timeout_us: How long after a session's end the tables of its process may still be used.
        report_ttl_us: A health report that was not renewed for so long does not count.
        list_ttl_us: An endpoint list that was not confirmed for so long is lost.
        fallback_hold_us: How long agreed limits stand without the coordination store.
        fallback_ramp_us: How long relaxing them takes after that.
    """

    classes: Mapping[str, ClassConstraints]
    timing: EvacuationTiming
    drain_timeout_us: int
    report_ttl_us: int
    list_ttl_us: int
    fallback_hold_us: int
    fallback_ramp_us: int


class ZoneCoordinator:
    """The zones' state as one governor knows it; owned by the governor's zone coordination.

    Attributes:
        incarnation: This process.
        plan: The evacuation plan in force.
        allocation: The quota allocation in force.
        health: The last assessment, or None before the first.
    """

    def __init__(self, incarnation: str, config: CoordinatorConfig) -> None:
        """Create a coordinator that knows no report, plan or allocation."""
        self.incarnation = incarnation
        self.plan = EvacuationPlan(0, "")
        self.allocation = QuotaAllocation(0, "")
        self.health: FleetHealth | None = None
        self._config = config
        self._assessor = HealthAssessor(config.report_ttl_us, config.list_ttl_us)
        self._fallback = AgreedLimits(config.fallback_hold_us, config.fallback_ramp_us)
        self._capacity = CapacityEstimator()
        self._healthy_since_us = dict[str, int]()
        self._last_step_us = 0
        self._departed_us = dict[str, int]()  # when an incarnation was last seen

    # What the coordination store delivers

    def on_report(self, now_us: int, observer: str, report: HealthReport | None) -> None:
        """Take an observer's health report; None where its session ended."""
        previous = self._assessor.reports.get(observer)
        if previous is not None:
            incarnation = previous.report.incarnation
            if report is None or report.incarnation != incarnation:
                self._departed_us[incarnation] = now_us  # its tables may be used for a while
        self._assessor.record_report(now_us, observer, report)
        if report is not None:
            self._departed_us.pop(report.incarnation, None)

    def on_plan(self, now_us: int, plan: EvacuationPlan | None) -> bool:
        """Follow a plan; return False for one of a leader that a newer leader has replaced.

        None is no plan, as after the loss of the store's records: what was agreed stands.
        """
        if plan is None:
            return True
        limits = {
            zone: evacuation.traffic_share
            for zone, evacuation in plan.zones.items()
            if evacuation.traffic_share < 1.0
        }
        for name, limit in plan.admission_limits.items():
            limits[CLASS_PREFIX + name] = limit
        if not self._fallback.accept(now_us, FencingToken(plan.generation, plan.leader), limits):
            return False
        self.plan = plan
        self._last_step_us = now_us
        return True

    def on_allocation(self, allocation: QuotaAllocation | None) -> None:
        """Follow an allocation unless it is older than the one in force."""
        if allocation is not None and allocation.generation >= self.allocation.generation:
            self.allocation = allocation

    def on_store_lost(self, now_us: int) -> None:
        """Begin to hold the agreed limits without the coordination store."""
        self._fallback.on_store_lost(now_us)

    def on_store_recovered(self, now_us: int) -> None:
        """Return to the agreed limits."""
        self._fallback.on_store_recovered(now_us)

    # What is in force

    def current_quotas(self, now_us: int, requests_per_s: float) -> ZoneQuotas:
        """The quotas for this governor, which routes `requests_per_s` itself."""
        zone_quotas = dict[str, float]()
        admission_limits = dict[str, float]()
        for name, exact_limit in self._fallback.limits_at(now_us).items():
            limit = round(QUOTA_STEPS * exact_limit) / QUOTA_STEPS
            if limit >= 1.0:
                continue
            if name.startswith(CLASS_PREFIX):
                admission_limits[name.removeprefix(CLASS_PREFIX)] = limit
            else:
                zone_quotas[name] = max(EXPLORATORY_SHARE, limit)
        return ZoneQuotas(
            zone_quotas=zone_quotas,
            warmup_quota=self._warmup_quota(now_us, requests_per_s),
            admission_limits=admission_limits,
        )

    def _warmup_quota(self, now_us: int, requests_per_s: float) -> float:
        """This governor's allocated share against its share of the traffic.

        A governor that took over the proxies of a dead one so gives replicas no more than before until it is
        allocated more.
        """
        if self._fallback.is_store_lost or not self.allocation.quotas:
            return 1.0  # nothing is agreed: each governor limits warm-up alone, as without a store
        others = sum(
            report.requests_per_s
            for report in self._assessor.fresh_reports(now_us).values()
            if report.incarnation != self.incarnation
        )
        traffic_share = requests_per_s / (others + requests_per_s) if requests_per_s > 0 else 0.0
        quota = self.allocation.quotas.get(self.incarnation, 0.0)
        if traffic_share <= TRAFFIC_SWING * quota:
            return 1.0
        return round(QUOTA_STEPS * quota / traffic_share) / QUOTA_STEPS

    # What the leader decides

    def assess_health(self, now_us: int) -> FleetHealth:
        """Assess all zones, and remember since when each is healthy and what it can serve."""
        self.health = self._assessor.assess(now_us)
        reports = self._assessor.fresh_reports(now_us)
        for zone, state in self.health.zones.items():
            if state in (ZoneState.HEALTHY, ZoneState.UNOBSERVED):
                self._healthy_since_us.setdefault(zone, now_us)
            else:
                self._healthy_since_us.pop(zone, None)
            if state is ZoneState.HEALTHY and self._shows_capacity(zone):
                self._capacity.learn(zone, reports)
        return self.health

    def _shows_capacity(self, zone: str) -> bool:
        """Whether the zone's traffic says what it can serve: that of an evacuated zone does not."""
        return self.plan.traffic_share(zone) >= 1.0 or zone not in self._capacity.capacity_per_s

    def zone_loads(self, now_us: int) -> dict[str, ZoneLoad]:
        """What the fleet knows of each zone whose capacity has been seen."""
        return self._capacity.zone_loads(self._assessor.fresh_reports(now_us), self._config.classes)

    def next_plan(self, now_us: int, token: FencingToken) -> EvacuationPlan | None:
        """The plan to write under this leader's token, or None.

        A new leader first puts its own generation on the plan as it stands, so that the store rejects a step
        of the leader before that is still on its way.
        """
        health = self.health or self.assess_health(now_us)
        order = compare_tokens(token, FencingToken(self.plan.generation, self.plan.leader))
        if order in (TokenOrder.OLDER, TokenOrder.CONFLICTING):
            return None  # another leads, and this process has yet to hear of it
        if order is TokenOrder.NEWER:
            return EvacuationPlan(
                generation=token.generation,
                leader=token.holder,
                zones=self.plan.zones,
                admission_limits=self.plan.admission_limits,
            )
        reports = self._assessor.fresh_reports(now_us)
        with_traffic = frozenset(o for o, report in reports.items() if report.requests_per_s > 0)
        confirmed = {observer: report.applied_plan for observer, report in reports.items()}
        if not is_step_confirmed(self.plan, confirmed, with_traffic):
            return None
        conditions = FleetConditions(
            health=health,
            loads=self.zone_loads(now_us),
            classes=self._config.classes,
            healthy_for_us={zone: now_us - since_us for zone, since_us in self._healthy_since_us.items()},
            since_last_step_us=now_us - self._last_step_us,
        )
        return next_plan(self.plan, conditions, self._config.timing)

    def next_allocation(self, now_us: int, token: FencingToken) -> QuotaAllocation | None:
        """The allocation to write under this leader's token, or None."""
        reports = [r for r in self._assessor.fresh_reports(now_us).values() if r.requests_per_s > 0]
        departed = {
            incarnation
            for incarnation, since_us in self._departed_us.items()
            if now_us - since_us >= self._config.drain_timeout_us
        }
        if not reports:
            return None
        self._note_unknown_members(now_us, {report.incarnation for report in reports})
        return next_allocation(
            self.allocation,
            token.holder,
            {report.incarnation: report.requests_per_s for report in reports},
            {report.incarnation: report.applied_allocation for report in reports},
            departed,
        )

    def _note_unknown_members(self, now_us: int, present: set[str]) -> None:
        """Count members that left before this process could see them as departing from now on."""
        for incarnation in self.allocation.upper_bounds.keys() - present:
            self._departed_us.setdefault(incarnation, now_us)
