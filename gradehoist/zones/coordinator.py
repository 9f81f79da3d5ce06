"""One governor's part in leaving zones and taking them back together. Free of I/O.

It keeps what the governors see, follows the plan and the deal that the register holds, and says what ceilings
stand for this governor now. While it holds the right `zones` it also makes the next step and the next deal.
Without the register what was agreed is held, then left by an even ramp (`coordination/agreed.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from gradehoist.coordination.fallback import AgreedLimits
from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens
from gradehoist.zones.evacuation import (
    ClassConstraints,
    EvacuationPlan,
    EvacuationTiming,
    ZoneLoad,
    is_step_confirmed,
    next_plan,
)
from gradehoist.zones.health import FleetHealth, HealthAssessor, HealthReport, ZoneState
from gradehoist.zones.warmup_quota import QuotaAllocation, next_allocation

PLAN_KEY, ALLOCATION_KEY, REPORTS_PREFIX = "zones/plan", "zones/deal", "zones/views/"
MIN_BUSY_SHARE = 0.1  # use below which traffic over use says nothing of what replicas can do
QUOTA_STEPS = 50  # ceilings reach the module in fiftieths: a ramp would else be an event a turn
EXPLORATORY_SHARE = 0.02  # of a zone's traffic that goes there while it is left: it is how its return is seen
TRAFFIC_SWING = 1.15  # of a dealt part that traffic may swing above it: deals follow within some seconds
CAPACITY_SMOOTHING = 0.2  # weight of the newest estimate of a zone's power: some seconds of a well zone


class ZoneQuotas(NamedTuple):
    """What stands for this governor: by zone, of cold replicas, and by class; 1.0 where nothing is said."""

    zone_quotas: Mapping[str, float]
    warmup_quota: float
    admission_limits: Mapping[str, float]


class ZoneCoordinator:
    """`run` is this process; `linger` (µs): how long after a session's end its tables may still send;
    `old`, `list_old`: see `evidence.Fleet`; `hold`, `fall`: see `Agreed`."""

    def __init__(
        self,
        run: str,
        classes: Mapping[str, ClassConstraints],
        rules: EvacuationTiming,
        linger: int,
        old: int,
        list_old: int,
        hold: int,
        fall: int,
    ) -> None:
        self.incarnation, self.classes, self.timing, self.drain_timeout_us = run, classes, rules, linger
        self.assessor, self.fallback = HealthAssessor(old, list_old), AgreedLimits(hold, fall)
        self.plan, self.allocation = EvacuationPlan(0, ""), QuotaAllocation(0, "")
        self.health: FleetHealth | None = None
        self.healthy_since_us = dict[str, int]()
        self.capacity_per_s = dict[str, float]()
        self._planned, self._left = 0, dict[str, int]()  # when the last step came; when a run was last seen

    # What the register brings

    def on_report(self, now: int, observer: str, view: HealthReport | None) -> None:
        before = self.assessor.reports.get(observer)
        if before is not None and (view is None or view.incarnation != before[0].incarnation):
            self._left[before[0].incarnation] = now  # its tables may go on sending for a while
        self.assessor.record_report(now, observer, view)
        if view is not None:
            self._left.pop(view.incarnation, None)

    def on_plan(self, now: int, plan: EvacuationPlan | None) -> bool:
        """Takes the plan of the register; False for one that a newer right has ended. None is no plan, as
        after a register went: what was agreed stands."""
        if plan is None:
            return True
        ceilings = {z: s.traffic_share for z, s in plan.zones.items() if s.traffic_share < 1.0}
        levels = {f"class/{c}": x for c, x in plan.admission_limits.items()}
        if not self.fallback.accept(now, FencingToken(plan.generation, plan.leader), ceilings | levels):
            return False
        self.plan, self._planned = plan, now
        return True

    def on_allocation(self, deal: QuotaAllocation | None) -> None:
        if deal is not None and deal.generation >= self.allocation.generation:
            self.allocation = deal

    def on_store_lost(self, now: int) -> None:
        self.fallback.on_store_lost(now)

    def on_store_recovered(self, now: int) -> None:
        self.fallback.on_store_recovered(now)

    # What stands

    def current_quotas(self, now: int, traffic: float) -> ZoneQuotas:
        """For this governor, which steers `traffic` itself."""
        found = {n: round(QUOTA_STEPS * x) / QUOTA_STEPS for n, x in self.fallback.limits_at(now).items()}
        zones = {
            n: max(EXPLORATORY_SHARE, x) for n, x in found.items() if not n.startswith("class/") and x < 1.0
        }
        levels = {n.removeprefix("class/"): x for n, x in found.items() if n.startswith("class/") and x < 1.0}
        return ZoneQuotas(zones, self._cold(now, traffic), levels)

    def _cold(self, now: int, traffic: float) -> float:
        """Of the weight of a cold replica: this governor's dealt part against what it really steers, so that
        one that took over a dead one's relays gives no more than before until it is dealt more."""
        if self.fallback.is_store_lost or not self.allocation.quotas:
            return 1.0  # nothing agreed: each keeps rule 4 alone, as it does without a register
        others = sum(
            v.requests_per_s
            for v in self.assessor.fresh_reports(now).values()
            if v.incarnation != self.incarnation
        )
        share = traffic / (others + traffic) if traffic > 0 else 0.0
        part = self.allocation.quotas.get(self.incarnation, 0.0)
        return 1.0 if share <= TRAFFIC_SWING * part else round(QUOTA_STEPS * part / share) / QUOTA_STEPS

    # What the holder of the right does

    def assess_health(self, now: int) -> FleetHealth:
        """The fleet's view, remembered: since when each zone is well, what it can do."""
        self.health = self.assessor.assess(now)
        views = self.assessor.fresh_reports(now)
        for z, state in self.health.zones.items():
            if state in (ZoneState.HEALTHY, ZoneState.UNOBSERVED):
                self.healthy_since_us.setdefault(z, now)
            else:
                self.healthy_since_us.pop(z, None)
            if state is ZoneState.HEALTHY:
                self._learn(z, views)
        return self.health

    def _learn(self, z: str, views: Mapping[str, HealthReport]) -> None:
        if self.plan.traffic_share(z) < 1.0 and z in self.capacity_per_s:
            return  # what a zone that is left can do shows in nothing
        sights = [(v.observations[z], v.window_us) for v in views.values() if z in v.observations]
        busy = [s.busy_share for s, _ in sights if s.busy_share >= MIN_BUSY_SHARE]
        if busy:
            rate = sum(s.attempts * 1e6 / w for s, w in sights)
            known = self.capacity_per_s.get(z)
            new = rate / median(busy)
            self.capacity_per_s[z] = new if known is None else known + CAPACITY_SMOOTHING * (new - known)

    def zone_loads(self, now: int) -> dict[str, ZoneLoad]:
        """What the fleet knows of each zone whose power has been seen."""
        traffic: dict[str, dict[str, float]] = {
            z: dict.fromkeys(self.classes, 0.0) for z in self.capacity_per_s
        }
        for v in self.assessor.fresh_reports(now).values():
            for z, came in v.offered_by_zone.items():
                for c, x in came.items():
                    if z in traffic and c in self.classes:
                        traffic[z][c] += x
        return {z: ZoneLoad(traffic[z], p, self._bears(now, z)) for z, p in self.capacity_per_s.items()}

    def _bears(self, now: int, z: str) -> float:
        said = [
            v.observations[z].sustainable_share
            for v in self.assessor.fresh_reports(now).values()
            if z in v.observations
        ]
        return median(said) if said else 1.0

    def next_plan(self, now: int, right: FencingToken) -> EvacuationPlan | None:
        """To be written under the right, or None. A new holder first puts its own generation on the plan as
        it stands, so that a step of the one before, still on its way, is refused by the version."""
        verdict = self.health or self.assess_health(now)
        stands = compare_tokens(right, FencingToken(self.plan.generation, self.plan.leader))
        if stands in (TokenOrder.OLDER, TokenOrder.CONFLICTING):
            return None  # another has gone on, and this process has yet to hear that its right is over
        if stands is TokenOrder.NEWER:
            return EvacuationPlan(
                right.generation, right.holder, 0, self.plan.zones, self.plan.admission_limits
            )
        views = self.assessor.fresh_reports(now)
        steering = frozenset(o for o, v in views.items() if v.requests_per_s > 0)
        if not is_step_confirmed(self.plan, {o: v.applied_plan for o, v in views.items()}, steering):
            return None
        well = {z: now - since for z, since in self.healthy_since_us.items()}
        return next_plan(
            self.plan, verdict, self.zone_loads(now), self.classes, well, now - self._planned, self.timing
        )

    def next_allocation(self, now: int, right: FencingToken) -> QuotaAllocation | None:
        views = [v for v in self.assessor.fresh_reports(now).values() if v.requests_per_s > 0]
        gone = {run for run, at in self._left.items() if now - at >= self.drain_timeout_us}
        if not views:
            return None
        # A run that this process never saw: it left before, and nobody here can say when.
        known = {v.incarnation for v in views} | self._left.keys()
        for run in self.allocation.upper_bounds.keys() - known:
            self._left.setdefault(run, now)
        return next_allocation(
            self.allocation,
            right.holder,
            {v.incarnation: v.requests_per_s for v in views},
            {v.incarnation: v.applied_allocation for v in views},
            gone,
        )
