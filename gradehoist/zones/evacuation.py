"""A zone is left by all together, in steps that the others bear, and taken back at a pace that it bears.

One record holds the plan of all zones: of each how much of what would go there still may (`to`), and the
fleet's one share of each class where the rest can't carry everything. A step is made only when all those that
steer have confirmed the last one in their views, or have gone, and what it moved has had time to show in
reports. Its size is what the remaining zones bear. Never the last zone, and never one without which the rest
could not carry half of what there is. Harm on the way back undoes half of it, and the next try waits twice as
long. Free of I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from gradehoist.zones.health import FleetFault, FleetHealth, ZoneState

MAX_UTILIZATION = (
    0.85  # use of a zone's warm replicas that a step may bring about: beyond it queues outgrow the goals
)
HEADROOM_SHARE_PER_STEP = (
    0.5  # of the headroom for one step: powers are estimates, and a second step follows in seconds
)
MIN_STEP = 0.05  # smaller moves are not worth a message to every relay
MIN_CARRIED_SHARE = 0.5  # of all traffic that the remaining zones must carry, or the zone is not left at all
MAX_RECOVERY_STEP = (
    0.25  # of a zone's traffic in one step back, where its replicas bear so much: four for a warm one
)
ADMISSION_STEPS = (
    20  # the fleet's shares are told in twentieths: finer ones would follow the noise of traffic
)


class ZoneEvacuation(msgspec.Struct, frozen=True):
    """One zone's: `to` (0 to 1) of what would go there may; `why` it is left, or on its way `back`; `flaps`
    how often it failed after a step back, `wait` (µs) how long it has to be well before the next one."""

    traffic_share: float = msgspec.field(default=1.0, name="to")
    reason: str = msgspec.field(default="", name="why")
    is_recovering: bool = msgspec.field(default=False, name="back")
    relapses: int = msgspec.field(default=0, name="flaps")
    required_healthy_us: int = msgspec.field(default=0, name="wait")


class EvacuationPlan(msgspec.Struct, frozen=True):
    """The record: `step` counts within a generation; `levels` by class, 1.0 where nothing is refused."""

    generation: int = msgspec.field(name="gen")
    leader: str = msgspec.field(name="holder")
    step: int = 0
    zones: dict[str, ZoneEvacuation] = {}
    admission_limits: dict[str, float] = msgspec.field(default_factory=dict, name="levels")

    def traffic_share(self, zone: str) -> float:
        return self.zones[zone].traffic_share if zone in self.zones else 1.0


@dataclass(frozen=True)
class ZoneLoad:
    """What the fleet knows of one: traffic by class that would go there with all zones well, what its warm
    replicas can do, and the part of its own traffic that it bears as cold as it is."""

    requests_per_s_by_class: Mapping[str, float]
    capacity_per_s: float
    sustainable_share: float = 1.0

    @property
    def requests_per_s(self) -> float:
        return sum(self.requests_per_s_by_class.values())


@dataclass(frozen=True)
class ClassConstraints:
    """What a transaction earns, and which zones may serve it (None: any; `local`: its own alone)."""

    priority_weight: float
    allowed_zones: frozenset[str] | None = None
    zone_local: bool = False

    def can_move_to(self, others: frozenset[str]) -> bool:
        """Whether its traffic may go to one of these."""
        return not self.zone_local and (self.allowed_zones is None or bool(self.allowed_zones & others))


@dataclass(frozen=True)
class EvacuationTiming:
    """Times in µs: `settle` from a step to the next; `well`: how long a zone is well before a step back,
    doubled with each flap up to `longest`; well for that long at home, its flaps are forgotten."""

    settle_us: int
    min_healthy_us: int
    max_healthy_us: int


def is_step_confirmed(
    plan: EvacuationPlan, confirmed: Mapping[str, tuple[int, int]], steering: frozenset[str]
) -> bool:
    """All that steer hold this step; those that have gone are not in `steering`."""
    return all(confirmed.get(m) == (plan.generation, plan.step) for m in steering)


def compute_admission_limits(
    demand: Mapping[str, float], classes: Mapping[str, ClassConstraints], room: float
) -> dict[str, float]:
    """One share for each class where `room` carries less than `demand`: the least gain is refused first."""
    out, left = dict[str, float](), room
    for name in sorted(demand, key=lambda c: (-classes[c].priority_weight, c)):
        if demand[name] > left:
            out[name] = int(ADMISSION_STEPS * left / demand[name]) / ADMISSION_STEPS
        left = max(0.0, left - demand[name])
    return out


def next_plan(
    plan: EvacuationPlan,
    verdict: FleetHealth,
    zones: Mapping[str, ZoneLoad],
    classes: Mapping[str, ClassConstraints],
    well_for: Mapping[str, int],
    quiet: int,
    rules: EvacuationTiming,
) -> EvacuationPlan | None:
    """The next step, or None where all stays as it is. To be asked once the last step is `ready`; `well_for`
    (µs): for how long nobody has seen a zone otherwise than well; `quiet` (µs): since the last step."""
    if verdict.fault is FleetFault.MOST_ZONES_FAILING:
        return None  # most zones look bad at once: the observers, or what all share, and no zone to leave
    stays = {z: plan.zones.get(z, ZoneEvacuation()) for z in zones}
    for z in sorted(zones):
        state, stay = verdict.zones.get(z, ZoneState.UNOBSERVED), stays[z]
        bad = state in (ZoneState.FAILING, ZoneState.PARTITIONED)
        if (bad or state is ZoneState.SLOW) and stay.is_recovering:
            stays[z] = _halved(stay, state, rules)
        elif quiet < rules.settle_us and plan.step:
            continue
        elif bad:
            stays[z] = _left(z, stays, state, zones, classes, rules)
        elif (
            stay != ZoneEvacuation()
            and state in (ZoneState.HEALTHY, ZoneState.UNOBSERVED)
            and well_for.get(z, 0) >= stay.required_healthy_us
        ):
            # Of a small site's zone that gets next to nothing nobody can say anything: a step back tells.
            stays[z] = _back(stay, zones[z], well_for.get(z, 0), rules)
    # Of a zone that this holder knows nothing of, what stands stays: a new one once took all of them home.
    kept = {z: s for z, s in (plan.zones | stays).items() if s != ZoneEvacuation()}
    shares = _shares(stays, zones, classes)
    if kept == plan.zones and shares == plan.admission_limits:
        return None
    return msgspec.structs.replace(plan, step=plan.step + 1, zones=kept, admission_limits=shares)


def projected_requests_per_s(
    z: str, stays: Mapping[str, ZoneEvacuation], zones: Mapping[str, ZoneLoad]
) -> float:
    """What goes to a zone under these stays: of its own traffic, and of what the others send away."""
    away = sum(zones[o].requests_per_s * (1 - stays[o].traffic_share) for o in zones)
    power = sum(x.capacity_per_s * stays[o].traffic_share for o, x in zones.items())
    return zones[z].requests_per_s * stays[z].traffic_share + (
        away * zones[z].capacity_per_s * stays[z].traffic_share / power if power > 0 else 0.0
    )


def _left(
    z: str,
    stays: Mapping[str, ZoneEvacuation],
    state: ZoneState,
    zones: Mapping[str, ZoneLoad],
    classes: Mapping[str, ClassConstraints],
    rules: EvacuationTiming,
) -> ZoneEvacuation:
    """A step out of a zone, or as it stands where the others can't do without it."""
    stay = stays[z]
    others = frozenset(o for o in zones if o != z and stays[o].traffic_share > 0)
    power = sum(zones[o].capacity_per_s * MAX_UTILIZATION * stays[o].traffic_share for o in others)
    if (
        stay.traffic_share <= 0
        or not others
        or power < MIN_CARRIED_SHARE * sum(x.requests_per_s for x in zones.values())
    ):
        return stay
    load = sum(x for c, x in zones[z].requests_per_s_by_class.items() if classes[c].can_move_to(others))
    head = sum(
        max(
            0.0,
            zones[o].capacity_per_s * MAX_UTILIZATION * stays[o].traffic_share
            - projected_requests_per_s(o, stays, zones),
        )
        for o in others
    )
    # Where the others have no headroom, the fleet's shares make it: a zone that fails serves nobody.
    step = max(MIN_STEP, HEADROOM_SHARE_PER_STEP * head / load) if load > 0 else 1.0
    again = stay.traffic_share >= 1.0 and stay.required_healthy_us > 0
    wait = (
        min(rules.max_healthy_us, 2 * stay.required_healthy_us)
        if again
        else stay.required_healthy_us or rules.min_healthy_us
    )
    to = stay.traffic_share - step
    return ZoneEvacuation(to if to >= MIN_STEP else 0.0, state.value, False, stay.relapses + again, wait)


def _halved(stay: ZoneEvacuation, state: ZoneState, rules: EvacuationTiming) -> ZoneEvacuation:
    to = stay.traffic_share / 2
    return ZoneEvacuation(
        to if to >= MIN_STEP else 0.0,
        state.value,
        False,
        stay.relapses + 1,
        min(rules.max_healthy_us, 2 * max(stay.required_healthy_us, rules.min_healthy_us)),
    )


def _back(stay: ZoneEvacuation, zone: ZoneLoad, well: int, rules: EvacuationTiming) -> ZoneEvacuation:
    """A step home, as large as its replicas bear; at home its flaps are forgotten in time."""
    if stay.traffic_share >= 1.0:
        return (
            ZoneEvacuation()
            if well >= rules.max_healthy_us
            else ZoneEvacuation(1.0, "", False, stay.relapses, stay.required_healthy_us)
        )
    step = min(MAX_RECOVERY_STEP, zone.sustainable_share - stay.traffic_share)
    if step < min(MIN_STEP, 1.0 - stay.traffic_share):
        return stay  # its cold replicas have to warm first
    to = stay.traffic_share + step
    return ZoneEvacuation(
        1.0 if to > 1.0 - MIN_STEP else to, stay.reason, True, stay.relapses, stay.required_healthy_us
    )


def _shares(
    stays: Mapping[str, ZoneEvacuation],
    zones: Mapping[str, ZoneLoad],
    classes: Mapping[str, ClassConstraints],
) -> dict[str, float]:
    """The fleet's shares where the zones that are not left can't carry all."""
    if all(s.traffic_share >= 1.0 for s in stays.values()):
        return {}
    demand = dict[str, float]()
    for x in zones.values():
        for c, amount in x.requests_per_s_by_class.items():
            demand[c] = demand.get(c, 0.0) + amount
    return compute_admission_limits(
        demand,
        classes,
        sum(x.capacity_per_s * MAX_UTILIZATION * stays[z].traffic_share for z, x in zones.items()),
    )
