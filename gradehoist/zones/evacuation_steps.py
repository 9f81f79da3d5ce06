"""Steps of an evacuation that the other zones can carry, and of the recovery after it. Free of I/O.

The next step is made only when every governor with traffic has confirmed the last one, or has left, and when
its effect has had time to show in load reports. The size of a step is what the remaining zones can carry. The
last zone is never evacuated, nor one without which the rest could not carry half of the traffic. A relapse
during recovery halves the share, and the next recovery waits twice as long.
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

# Utilization of a zone's warm replicas that a step may bring about: beyond it queues exceed the objectives.
MAX_UTILIZATION = 0.85
# Share of the available capacity used by one step: capacities are estimates, and the next step follows soon.
HEADROOM_SHARE_PER_STEP = 0.5
# Smaller steps are not worth a message to every proxy.
MIN_STEP = 0.05
# Share of all traffic that the remaining zones must carry, or the zone is not evacuated at all.
MIN_CARRIED_SHARE = 0.5
# Largest step of a recovery, so that a warm zone is back in four.
MAX_RECOVERY_STEP = 0.25
# Admission limits are multiples of one twentieth: finer ones would follow the noise of traffic.
ADMISSION_STEPS = 20


@dataclass(frozen=True)
class FleetConditions:
    """What a step is decided on.

    Attributes:
        health: The assessment of all zones.
        loads: Traffic and capacity by zone; zones without known capacity are missing.
        classes: Constraints by request class.
        healthy_for_us: For how long nobody has seen a zone otherwise than healthy.
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
    """Whether the tables of all these observers follow the plan's last step."""
    return all(confirmed.get(observer) == plan.version for observer in observers)


def compute_admission_limits(
    requests_per_s: Mapping[str, float], classes: Mapping[str, ClassConstraints], capacity_per_s: float
) -> dict[str, float]:
    """The admitted share of each class that exceeds the capacity; the least priority weight is shed first."""
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
    """The plan with the next step, or None where nothing changes.

    To be called once `is_step_confirmed` says that the last step is in force.
    """
    if conditions.health.fault is FleetFault.MOST_ZONES_FAILING:
        return None  # the observers are at fault, or what all zones share: there is no zone to leave
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
    """Traffic of a zone under these evacuations: its own, and its part of what the others send away."""
    moved = sum(load.requests_per_s * (1 - evacuations[z].traffic_share) for z, load in loads.items())
    capacity = sum(load.capacity_per_s * evacuations[z].traffic_share for z, load in loads.items())
    share = evacuations[zone].traffic_share
    own = loads[zone].requests_per_s * share
    received = moved * loads[zone].capacity_per_s * share / capacity if capacity > 0 else 0.0
    return own + received


class _StepPlanner:
    """Plans the next step of each zone in turn; later zones see the steps of earlier ones."""

    def __init__(self, plan: EvacuationPlan, conditions: FleetConditions, timing: EvacuationTiming) -> None:
        self._plan = plan
        self._conditions = conditions
        self._loads = conditions.loads
        self._timing = timing
        self._evacuations = {zone: plan.zones.get(zone, IN_SERVICE) for zone in conditions.loads}

    def plan_zone(self, zone: str) -> None:
        """Take a step for one zone if its state calls for one."""
        state = self._conditions.health.zones.get(zone, ZoneState.UNOBSERVED)
        current = self._evacuations[zone]
        is_failing = state in (ZoneState.FAILING, ZoneState.PARTITIONED)
        if (is_failing or state is ZoneState.SLOW) and current.is_recovering:
            self._evacuations[zone] = self._halve(current, state)
        elif self._conditions.since_last_step_us < self._timing.settle_us and self._plan.step:
            return
        elif is_failing:
            self._evacuations[zone] = self._evacuate(zone, state)
        elif current != IN_SERVICE and self._may_recover(zone, state):
            self._evacuations[zone] = self._recover(zone)

    def evacuated_zones(self) -> dict[str, ZoneEvacuation]:
        """The zones of the next plan."""
        # A new leader knows nothing yet of some zones: what the plan says of those stays, or it would put
        # them all back in service.
        planned = self._plan.zones | self._evacuations
        return {zone: evacuation for zone, evacuation in planned.items() if evacuation != IN_SERVICE}

    def admission_limits(self) -> dict[str, float]:
        """The fleet's limits where the zones that are not evacuated can't carry everything."""
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
        """A step out of a zone, or what stands where the others can't do without it."""
        current = self._evacuations[zone]
        others = frozenset(z for z in self._loads if z != zone and self._evacuations[z].traffic_share > 0)
        capacity = sum(self._usable_capacity(z) for z in others)
        total = sum(load.requests_per_s for load in self._loads.values())
        if current.traffic_share <= 0 or not others or capacity < MIN_CARRIED_SHARE * total:
            return current
        is_relapse = current.traffic_share >= 1.0 and current.required_healthy_us > 0
        if is_relapse:
            required_healthy_us = min(self._timing.max_healthy_us, 2 * current.required_healthy_us)
        else:
            required_healthy_us = current.required_healthy_us or self._timing.min_healthy_us
        return ZoneEvacuation(
            traffic_share=_drop_remainder(current.traffic_share - self._evacuation_step(zone, others)),
            reason=state.value,
            is_recovering=False,
            relapses=current.relapses + is_relapse,
            required_healthy_us=required_healthy_us,
        )

    def _evacuation_step(self, zone: str, others: frozenset[str]) -> float:
        """Share of the zone's traffic that the others can take now."""
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
        # Without capacity elsewhere the admission limits make room: a failing zone serves nobody.
        return max(MIN_STEP, HEADROOM_SHARE_PER_STEP * available / movable)

    def _halve(self, current: ZoneEvacuation, state: ZoneState) -> ZoneEvacuation:
        """A relapse: half of the share, and twice the wait before the next recovery."""
        wait_us = 2 * max(current.required_healthy_us, self._timing.min_healthy_us)
        return ZoneEvacuation(
            traffic_share=_drop_remainder(current.traffic_share / 2),
            reason=state.value,
            is_recovering=False,
            relapses=current.relapses + 1,
            required_healthy_us=min(self._timing.max_healthy_us, wait_us),
        )

    def _may_recover(self, zone: str, state: ZoneState) -> bool:
        # Nobody can judge a small site's zone that gets next to no traffic: a step of recovery tells.
        if state not in (ZoneState.HEALTHY, ZoneState.UNOBSERVED):
            return False
        required_us = self._evacuations[zone].required_healthy_us
        return self._conditions.healthy_for_us.get(zone, 0) >= required_us

    def _recover(self, zone: str) -> ZoneEvacuation:
        """A step of recovery as large as the replicas sustain; in service, relapses are forgotten in time."""
        current = self._evacuations[zone]
        if current.traffic_share >= 1.0:
            healthy_us = self._conditions.healthy_for_us.get(zone, 0)
            if healthy_us >= self._timing.max_healthy_us:
                return IN_SERVICE
            return msgspec.structs.replace(current, traffic_share=1.0, reason="", is_recovering=False)
        step = min(MAX_RECOVERY_STEP, self._loads[zone].sustainable_share - current.traffic_share)
        if step < min(MIN_STEP, 1.0 - current.traffic_share):
            return current  # its replicas have to warm up first
        share = current.traffic_share + step
        share = 1.0 if share > 1.0 - MIN_STEP else share
        return msgspec.structs.replace(current, traffic_share=share, is_recovering=True)


def _drop_remainder(share: float) -> float:
    """The share, or none where the rest is not worth a step of its own."""
    return share if share >= MIN_STEP else 0.0
