"""One governor's part in the evacuation and recovery of zones. Free of I/O.

The coordinator keeps the health reports of all governors, follows the evacuation plan and the quota
allocation in the coordination store, and computes the quotas in force for this governor. While this governor
is the leader of the election `zones`, the coordinator also computes the next step of the plan and the next
allocation. While the coordination store is unavailable, the agreed limits are held for a time and then
relaxed along a linear ramp (`coordination/fallback.py`).
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

# The agreed limits hold those of zones and of request classes in one mapping. The names of classes get this
# prefix.
CLASS_PREFIX = "class/"
# Quotas are passed to the policy as multiples of one fiftieth. With exact values, a ramp would change the
# policy's input at every tick.
QUOTA_STEPS = 50
# Share of an evacuated zone's traffic that is still sent there, so that its recovery can be observed.
EXPLORATORY_SHARE = 0.02
# Factor by which a governor's share of the traffic may exceed its allocated quota before its warm-up is
# limited. A new allocation follows the traffic within some seconds.
WARMUP_QUOTA_TOLERANCE = 1.15


@dataclass(frozen=True)
class ZoneQuotas:
    """The limits in force for this governor. Zones and classes that are not listed have the limit 1.0.

    Attributes:
        zone_quotas: Share of a zone's own traffic that may be sent there, by zone.
        warmup_quota: Factor by which the weights of replicas that are warming up are multiplied.
        admission_limits: Share of requests that may be admitted, by request class.
    """

    zone_quotas: Mapping[str, float]
    warmup_quota: float
    admission_limits: Mapping[str, float]


@dataclass(frozen=True)
class CoordinatorConfig:
    """Constraints and times of a coordinator.

    Attributes:
        classes: Constraints by request class.
        timing: Waiting times between steps of a plan.
        drain_timeout_us: How long after the end of a governor's session proxies may still use its tables.
        report_ttl_us: Age from which a health report is ignored.
        list_ttl_us: Time without confirmation after which an endpoint list counts as lost.
        fallback_hold_us: How long the agreed limits are held while the coordination store is unavailable.
        fallback_ramp_us: How long it takes after that to relax a limit from 0 to 1.
    """

    classes: Mapping[str, ClassConstraints]
    timing: EvacuationTiming
    drain_timeout_us: int
    report_ttl_us: int
    list_ttl_us: int
    fallback_hold_us: int
    fallback_ramp_us: int


class ZoneCoordinator:
    """The state of all zones as one governor knows it. The governor's zone coordination owns it.

    Attributes:
        incarnation: The incarnation of this process.
        plan: The evacuation plan in force.
        allocation: The quota allocation in force.
        health: The last assessment, or None before the first.
    """

    def __init__(self, incarnation: str, config: CoordinatorConfig) -> None:
        """Create a coordinator without reports, plan or allocation."""
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
        self._departed_at_us = dict[str, int]()  # when an incarnation's session was seen to have ended

    # Updates from the coordination store

    def on_report(self, now_us: int, observer: str, report: HealthReport | None) -> None:
        """Store an observer's health report; None means that the observer's session ended."""
        previous = self._assessor.reports.get(observer)
        if previous is not None:
            incarnation = previous.report.incarnation
            if report is None or report.incarnation != incarnation:
                # Proxies may use the tables of that incarnation until the drain timeout has passed.
                self._departed_at_us[incarnation] = now_us
        self._assessor.record_report(now_us, observer, report)
        if report is not None:
            self._departed_at_us.pop(report.incarnation, None)

    def on_plan(self, now_us: int, plan: EvacuationPlan | None) -> bool:
        """Adopt a plan. Return False if the plan is that of a leader that a newer leader has replaced.

        A plan of None means that the store has none, for example because its records were lost. The limits
        that were agreed then stay in force.
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
        """Adopt an allocation unless it is older than the one in force."""
        if allocation is not None and allocation.generation >= self.allocation.generation:
            self.allocation = allocation

    def on_store_lost(self, now_us: int) -> None:
        """Start the time for which the agreed limits are held without the coordination store."""
        self._fallback.on_store_lost(now_us)

    def on_store_recovered(self, now_us: int) -> None:
        """Return to the agreed limits."""
        self._fallback.on_store_recovered(now_us)

    # Quotas in force

    def current_quotas(self, now_us: int, requests_per_s: float) -> ZoneQuotas:
        """Return the quotas for this governor, whose own proxies route `requests_per_s`."""
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
        """Return the ratio of this governor's allocated quota to its share of the traffic, 1.0 at most.

        When a governor takes over the proxies of one that died, its share of the traffic grows. The ratio
        keeps it from sending more to the replicas that warm up until it has been allocated a larger quota.
        """
        if self._fallback.is_store_lost or not self.allocation.quotas:
            # Without an agreement each governor limits warm-up by itself, as it does without a store.
            return 1.0
        others = sum(
            report.requests_per_s
            for report in self._assessor.fresh_reports(now_us).values()
            if report.incarnation != self.incarnation
        )
        traffic_share = requests_per_s / (others + requests_per_s) if requests_per_s > 0 else 0.0
        quota = self.allocation.quotas.get(self.incarnation, 0.0)
        if traffic_share <= WARMUP_QUOTA_TOLERANCE * quota:
            return 1.0
        return round(QUOTA_STEPS * quota / traffic_share) / QUOTA_STEPS

    # Decisions of the leader

    def assess_health(self, now_us: int) -> FleetHealth:
        """Assess all zones. Update their capacity estimates and the times since which they are healthy."""
        self.health = self._assessor.assess(now_us)
        reports = self._assessor.fresh_reports(now_us)
        for zone, state in self.health.zones.items():
            if state in (ZoneState.HEALTHY, ZoneState.UNOBSERVED):
                self._healthy_since_us.setdefault(zone, now_us)
            else:
                self._healthy_since_us.pop(zone, None)
            if state is ZoneState.HEALTHY and self._is_capacity_observable(zone):
                self._capacity.update(zone, reports)
        return self.health

    def _is_capacity_observable(self, zone: str) -> bool:
        """Whether the capacity can be estimated from the zone's traffic.

        An evacuated zone gets too little traffic for that, so an estimate that exists is kept.
        """
        return self.plan.traffic_share(zone) >= 1.0 or zone not in self._capacity.capacity_per_s

    def zone_loads(self, now_us: int) -> dict[str, ZoneLoad]:
        """Return the traffic and the capacity of each zone whose capacity is known."""
        return self._capacity.zone_loads(self._assessor.fresh_reports(now_us), self._config.classes)

    def next_plan(self, now_us: int, token: FencingToken) -> EvacuationPlan | None:
        """Return the plan to write under this leader's token, or None if nothing is to be written.

        A new leader first writes the current plan unchanged under its own generation. The store then rejects
        a step of the previous leader that is still in flight.
        """
        health = self.health or self.assess_health(now_us)
        order = compare_tokens(token, FencingToken(self.plan.generation, self.plan.leader))
        if order in (TokenOrder.OLDER, TokenOrder.CONFLICTING):
            # Another process is the leader, and this process has not been notified of that yet.
            return None
        if order is TokenOrder.NEWER:
            return EvacuationPlan(
                generation=token.generation,
                leader=token.holder,
                zones=self.plan.zones,
                admission_limits=self.plan.admission_limits,
            )
        reports = self._assessor.fresh_reports(now_us)
        observers_with_traffic = frozenset(o for o, report in reports.items() if report.requests_per_s > 0)
        confirmed = {observer: report.applied_plan for observer, report in reports.items()}
        if not is_step_confirmed(self.plan, confirmed, observers_with_traffic):
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
        """Return the allocation to write under this leader's token, or None if nothing is to be written."""
        reports = [r for r in self._assessor.fresh_reports(now_us).values() if r.requests_per_s > 0]
        departed = {
            incarnation
            for incarnation, since_us in self._departed_at_us.items()
            if now_us - since_us >= self._config.drain_timeout_us
        }
        if not reports:
            return None
        self._mark_unknown_members_departed(now_us, {report.incarnation for report in reports})
        return next_allocation(
            self.allocation,
            token.holder,
            {report.incarnation: report.requests_per_s for report in reports},
            {report.incarnation: report.applied_allocation for report in reports},
            departed,
        )

    def _mark_unknown_members_departed(self, now_us: int, present: set[str]) -> None:
        """Set now as the time of departure of members that left before this process saw a report of them."""
        for incarnation in self.allocation.upper_bounds.keys() - present:
            self._departed_at_us.setdefault(incarnation, now_us)
