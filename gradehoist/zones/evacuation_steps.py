"""Computes the steps of an evacuation and of the recovery after it. Free of I/O.

The next step is taken only when every governor with traffic has confirmed the last one or has left, and when
the effect of the last step has had time to appear in the load reports. A step is limited to the traffic that
the other zones have capacity for. The last zone is never evacuated, nor is a zone without which the other
zones could not serve half of the traffic. A relapse during recovery halves the zone's traffic share, and
doubles the wait before the next recovery.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from gradehoist.zones.evacuation import (
    IN_SERVICE,
    ClassConstraints,
    EvacuationPlan,
    EvacuationTiming,
    ZoneEvacuation,
    ZoneLoad,
)
from gradehoist.zones.health import FleetFault, FleetHealth, PlanVersion, ZoneState

# Utilization of a zone's warm replicas that a step may lead to. At a higher one, queueing exceeds the latency
# objectives.
MAX_UTILIZATION = 0.85
# Share of the other zones' spare capacity that one step uses. Capacities are only estimates, and the next
# step follows soon.
HEADROOM_SHARE_PER_STEP = 0.5
# Smallest step. A smaller one would not justify a message to every proxy.
MIN_STEP = 0.05
# Share of all traffic that the other zones must be able to serve. Otherwise the zone is not evacuated at all.
MIN_SERVED_SHARE = 0.5
# Largest step of a recovery. A zone whose replicas are warm is fully in service after four steps.
MAX_RECOVERY_STEP = 0.25
# Admission limits are multiples of one twentieth. Finer ones would change with every fluctuation of the
# traffic.
ADMISSION_STEPS = 20


@dataclass(frozen=True)
class FleetConditions:
    """The input from which a step is computed.

    Attributes:
        health: The assessment of all zones.
        loads: Traffic and capacity by zone. Zones whose capacity is unknown are missing.
        classes: Constraints by request class.
        healthy_for_us: How long each zone has been assessed as healthy, or was not observed, without a break.
        since_last_step_us: Time since the last step.
    """

    health: FleetHealth
    loads: Mapping[str, ZoneLoad]
    classes: Mapping[str, ClassConstraints]
    healthy_for_us: Mapping[str, int]
    since_last_step_us: int


def is_step_confirmed(
    plan: EvacuationPlan, confirmed: Mapping[str, PlanVersion], observers: frozenset[str]
) -> bool:
    """Whether all these observers have confirmed that their tables follow the plan's last step."""
    return all(confirmed.get(observer) == plan.version for observer in observers)


def compute_admission_limits(
    requests_per_s: Mapping[str, float], classes: Mapping[str, ClassConstraints], capacity_per_s: float
) -> dict[str, float]:
    """Return the share of requests to admit for each class that can't be admitted in full.

    Capacity is given to the classes in the order of their priority weight, so that the lowest one is shed
    first.
    """
    limits = dict[str, float]()
    available = capacity_per_s
    for name in sorted(requests_per_s, key=lambda c: (-classes[c].priority_weight, c)):
        demand = requests_per_s[name]
        if demand > available:
            limits[name] = int(ADMISSION_STEPS * available / demand) / ADMISSION_STEPS
        available = max(0.0, available - demand)
    return limits


def next_plan(
    plan: EvacuationPlan, conditions: FleetConditions, timing: EvacuationTiming
) -> EvacuationPlan | None:
    """Return the plan with the next step, or None if the plan does not change.

    The caller makes sure with `is_step_confirmed` that the last step is in force.
    """
    if conditions.health.fault is FleetFault.MOST_ZONES_FAILING:
        # Either the observers are at fault, or something that all zones share. Moving traffic would not help.
        return None
    planner = _StepPlanner(plan, conditions, timing)
    for zone in sorted(conditions.loads):
        planner.plan_zone(zone)
    zones = planner.evacuated_zones()
    limits = planner.admission_limits()
    if zones == plan.zones and limits == plan.admission_limits:
        return None
    return msgspec.structs.replace(plan, step=plan.step + 1, zones=zones, admission_limits=limits)


def projected_requests_per_s(
    zone: str, evacuations: Mapping[str, ZoneEvacuation], loads: Mapping[str, ZoneLoad]
) -> float:
    """Return the traffic of a zone under these evacuations.

    It consists of the zone's own traffic that stays there and of its part of the traffic that leaves other
    zones, which is distributed in proportion to capacity times traffic share.
    """
    moved = sum(load.requests_per_s * (1 - evacuations[z].traffic_share) for z, load in loads.items())
    capacity = sum(load.capacity_per_s * evacuations[z].traffic_share for z, load in loads.items())
    share = evacuations[zone].traffic_share
    own = loads[zone].requests_per_s * share
    received = moved * loads[zone].capacity_per_s * share / capacity if capacity > 0 else 0.0
    return own + received


class _StepPlanner:
    """Plans the next step of one zone after the other, each based on the steps planned before it."""

    def __init__(self, plan: EvacuationPlan, conditions: FleetConditions, timing: EvacuationTiming) -> None:
        self._plan = plan
        self._conditions = conditions
        self._loads = conditions.loads
        self._timing = timing
        self._evacuations = {zone: plan.zones.get(zone, IN_SERVICE) for zone in conditions.loads}

    def plan_zone(self, zone: str) -> None:
        """Plan a step for one zone if its state requires one."""
        state = self._conditions.health.zones.get(zone, ZoneState.UNOBSERVED)
        current = self._evacuations[zone]
        is_failing = state in (ZoneState.FAILING, ZoneState.PARTITIONED)
        if (is_failing or state is ZoneState.SLOW) and current.is_recovering:
            self._evacuations[zone] = self._relapse(current, state)
        elif self._conditions.since_last_step_us < self._timing.settle_us and self._plan.step:
            return
        elif is_failing:
            self._evacuations[zone] = self._evacuate(zone, state)
        elif current != IN_SERVICE and self._may_recover(zone, state):
            self._evacuations[zone] = self._recover(zone)

    def evacuated_zones(self) -> dict[str, ZoneEvacuation]:
        """Return the zones of the next plan."""
        # A new leader does not know the load of some zones yet. It keeps what the plan holds for those.
        # Without this, it would put all of them back in service.
        planned = self._plan.zones | self._evacuations
        return {zone: evacuation for zone, evacuation in planned.items() if evacuation != IN_SERVICE}

    def admission_limits(self) -> dict[str, float]:
        """Return the fleet's admission limits for traffic above the capacity of the zones in service."""
        if all(evacuation.traffic_share >= 1.0 for evacuation in self._evacuations.values()):
            return {}
        demand = dict[str, float]()
        for load in self._loads.values():
            for name, requests_per_s in load.requests_per_s_by_class.items():
                demand[name] = demand.get(name, 0.0) + requests_per_s
        capacity = sum(self._usable_capacity(zone) for zone in self._loads)
        return compute_admission_limits(demand, self._conditions.classes, capacity)

    def _usable_capacity(self, zone: str) -> float:
        return self._loads[zone].capacity_per_s * MAX_UTILIZATION * self._evacuations[zone].traffic_share

    def _evacuate(self, zone: str, state: ZoneState) -> ZoneEvacuation:
        """Return the zone after a step of evacuation, or unchanged if the other zones can't replace it."""
        current = self._evacuations[zone]
        others = frozenset(z for z in self._loads if z != zone and self._evacuations[z].traffic_share > 0)
        capacity = sum(self._usable_capacity(z) for z in others)
        total = sum(load.requests_per_s for load in self._loads.values())
        if current.traffic_share <= 0 or not others or capacity < MIN_SERVED_SHARE * total:
            return current
        is_relapse = current.traffic_share >= 1.0 and current.required_healthy_us > 0
        if is_relapse:
            required_healthy_us = min(self._timing.max_healthy_us, 2 * current.required_healthy_us)
        else:
            required_healthy_us = current.required_healthy_us or self._timing.min_healthy_us
        return ZoneEvacuation(
            traffic_share=_drop_below_min_step(current.traffic_share - self._evacuation_step(zone, others)),
            reason=state.value,
            is_recovering=False,
            relapses=current.relapses + is_relapse,
            required_healthy_us=required_healthy_us,
        )

    def _evacuation_step(self, zone: str, others: frozenset[str]) -> float:
        """Return the share of the zone's traffic that is moved to the other zones by one step."""
        classes = self._conditions.classes
        movable = sum(
            requests_per_s
            for name, requests_per_s in self._loads[zone].requests_per_s_by_class.items()
            if classes[name].can_move_to(others)
        )
        if movable <= 0:
            return 1.0
        available = sum(
            max(0.0, self._usable_capacity(z) - projected_requests_per_s(z, self._evacuations, self._loads))
            for z in others
        )
        # If the other zones have no spare capacity, the smallest step is taken all the same, as a failing
        # zone serves nothing. The admission limits then keep the other zones within their capacity.
        return max(MIN_STEP, HEADROOM_SHARE_PER_STEP * available / movable)

    def _relapse(self, current: ZoneEvacuation, state: ZoneState) -> ZoneEvacuation:
        """Return the zone after a relapse: half its share, and twice the wait before the next recovery."""
        wait_us = 2 * max(current.required_healthy_us, self._timing.min_healthy_us)
        return ZoneEvacuation(
            traffic_share=_drop_below_min_step(current.traffic_share / 2),
            reason=state.value,
            is_recovering=False,
            relapses=current.relapses + 1,
            required_healthy_us=min(self._timing.max_healthy_us, wait_us),
        )

    def _may_recover(self, zone: str, state: ZoneState) -> bool:
        # At a small site an evacuated zone gets too little traffic to be observed. An unobserved zone may
        # therefore take a step of recovery, whose traffic then shows whether the zone is healthy.
        if state not in (ZoneState.HEALTHY, ZoneState.UNOBSERVED):
            return False
        required_us = self._evacuations[zone].required_healthy_us
        return self._conditions.healthy_for_us.get(zone, 0) >= required_us

    def _recover(self, zone: str) -> ZoneEvacuation:
        """Return the zone after a step of recovery that its replicas can sustain.

        The relapses of a zone in service stop counting once it has been healthy for `max_healthy_us`.
        """
        current = self._evacuations[zone]
        if current.traffic_share >= 1.0:
            healthy_us = self._conditions.healthy_for_us.get(zone, 0)
            if healthy_us >= self._timing.max_healthy_us:
                return IN_SERVICE
            return msgspec.structs.replace(current, traffic_share=1.0, reason="", is_recovering=False)
        step = min(MAX_RECOVERY_STEP, self._loads[zone].sustainable_share - current.traffic_share)
        if step < min(MIN_STEP, 1.0 - current.traffic_share):
            # The zone's replicas have to warm up before they can serve more.
            return current
        share = current.traffic_share + step
        share = 1.0 if share > 1.0 - MIN_STEP else share
        return msgspec.structs.replace(current, traffic_share=share, is_recovering=True)


def _drop_below_min_step(share: float) -> float:
    """Return the share, or 0 if it is smaller than the smallest step."""
    return share if share >= MIN_STEP else 0.0
