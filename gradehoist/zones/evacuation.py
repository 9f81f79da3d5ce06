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

from gradehoist.zones.health import State, Trouble, Verdict

FULL = 0.85  # use of a zone's warm replicas that a step may bring about: beyond it queues outgrow the goals
PART = 0.5  # of the headroom for one step: powers are estimates, and a second step follows in seconds
LEAST = 0.05  # smaller moves are not worth a message to every relay
CARRY = 0.5  # of all traffic that the remaining zones must carry, or the zone is not left at all
BACK = 0.25  # of a zone's traffic in one step back, where its replicas bear so much: four for a warm one
GRAIN = 20  # the fleet's shares are told in twentieths: finer ones would follow the noise of traffic


class Stay(msgspec.Struct, frozen=True):
    """One zone's: `to` (0 to 1) of what would go there may; `why` it is left, or on its way `back`; `flaps`
    how often it failed after a step back, `wait` (µs) how long it has to be well before the next one."""

    to: float = 1.0
    why: str = ""
    back: bool = False
    flaps: int = 0
    wait: int = 0


class Plan(msgspec.Struct, frozen=True):
    """The record: `step` counts within a generation; `levels` by class, 1.0 where nothing is refused."""

    gen: int
    holder: str
    step: int = 0
    zones: dict[str, Stay] = {}
    levels: dict[str, float] = {}

    def to(self, zone: str) -> float:
        return self.zones[zone].to if zone in self.zones else 1.0


@dataclass(frozen=True)
class Zone:
    """What the fleet knows of one: traffic by class that would go there with all zones well, what its warm
    replicas can do, and the part of its own traffic that it bears as cold as it is."""

    traffic: Mapping[str, float]
    power: float
    bears: float = 1.0

    @property
    def load(self) -> float:
        return sum(self.traffic.values())


@dataclass(frozen=True)
class Class:
    """What a transaction earns, and which zones may serve it (None: any; `local`: its own alone)."""

    gain: float
    zones: frozenset[str] | None = None
    local: bool = False

    def moves(self, others: frozenset[str]) -> bool:
        """Whether its traffic may go to one of these."""
        return not self.local and (self.zones is None or bool(self.zones & others))


@dataclass(frozen=True)
class Rules:
    """Times in µs: `settle` from a step to the next; `well`: how long a zone is well before a step back,
    doubled with each flap up to `longest`; well for that long at home, its flaps are forgotten."""

    settle: int
    well: int
    longest: int


def ready(plan: Plan, confirmed: Mapping[str, tuple[int, int]], steering: frozenset[str]) -> bool:
    """All that steer hold this step; those that have gone are not in `steering`."""
    return all(confirmed.get(m) == (plan.gen, plan.step) for m in steering)


def levels(demand: Mapping[str, float], classes: Mapping[str, Class], room: float) -> dict[str, float]:
    """One share for each class where `room` carries less than `demand`: the least gain is refused first."""
    out, left = dict[str, float](), room
    for name in sorted(demand, key=lambda c: (-classes[c].gain, c)):
        if demand[name] > left:
            out[name] = int(GRAIN * left / demand[name]) / GRAIN
        left = max(0.0, left - demand[name])
    return out


def next_plan(
    plan: Plan,
    verdict: Verdict,
    zones: Mapping[str, Zone],
    classes: Mapping[str, Class],
    well_for: Mapping[str, int],
    quiet: int,
    rules: Rules,
) -> Plan | None:
    """The next step, or None where all stays as it is. To be asked once the last step is `ready`; `well_for`
    (µs): for how long nobody has seen a zone otherwise than well; `quiet` (µs): since the last step."""
    if verdict.trouble is Trouble.RELEASE:
        return None  # most zones look bad at once: the observers, or what all share, and no zone to leave
    stays = {z: plan.zones.get(z, Stay()) for z in zones}
    for z in sorted(zones):
        state, stay = verdict.zones.get(z, State.UNSEEN), stays[z]
        bad = state in (State.FAILING, State.CUT_OFF)
        if (bad or state is State.SLOW) and stay.back:
            stays[z] = _halved(stay, state, rules)
        elif quiet < rules.settle and plan.step:
            continue
        elif bad:
            stays[z] = _left(z, stays, state, zones, classes, rules)
        elif stay != Stay() and state in (State.WELL, State.UNSEEN) and well_for.get(z, 0) >= stay.wait:
            # Of a small site's zone that gets next to nothing nobody can say anything: a step back tells.
            stays[z] = _back(stay, zones[z], well_for.get(z, 0), rules)
    # Of a zone that this holder knows nothing of, what stands stays: a new one once took all of them home.
    kept = {z: s for z, s in (plan.zones | stays).items() if s != Stay()}
    shares = _shares(stays, zones, classes)
    if kept == plan.zones and shares == plan.levels:
        return None
    return msgspec.structs.replace(plan, step=plan.step + 1, zones=kept, levels=shares)


def use(z: str, stays: Mapping[str, Stay], zones: Mapping[str, Zone]) -> float:
    """What goes to a zone under these stays: of its own traffic, and of what the others send away."""
    away = sum(zones[o].load * (1 - stays[o].to) for o in zones)
    power = sum(x.power * stays[o].to for o, x in zones.items())
    return zones[z].load * stays[z].to + (away * zones[z].power * stays[z].to / power if power > 0 else 0.0)


def _left(
    z: str,
    stays: Mapping[str, Stay],
    state: State,
    zones: Mapping[str, Zone],
    classes: Mapping[str, Class],
    rules: Rules,
) -> Stay:
    """A step out of a zone, or as it stands where the others can't do without it."""
    stay = stays[z]
    others = frozenset(o for o in zones if o != z and stays[o].to > 0)
    power = sum(zones[o].power * FULL * stays[o].to for o in others)
    if stay.to <= 0 or not others or power < CARRY * sum(x.load for x in zones.values()):
        return stay
    load = sum(x for c, x in zones[z].traffic.items() if classes[c].moves(others))
    head = sum(max(0.0, zones[o].power * FULL * stays[o].to - use(o, stays, zones)) for o in others)
    # Where the others have no headroom, the fleet's shares make it: a zone that fails serves nobody.
    step = max(LEAST, PART * head / load) if load > 0 else 1.0
    again = stay.to >= 1.0 and stay.wait > 0
    wait = min(rules.longest, 2 * stay.wait) if again else stay.wait or rules.well
    to = stay.to - step
    return Stay(to if to >= LEAST else 0.0, state.value, False, stay.flaps + again, wait)


def _halved(stay: Stay, state: State, rules: Rules) -> Stay:
    to = stay.to / 2
    return Stay(
        to if to >= LEAST else 0.0,
        state.value,
        False,
        stay.flaps + 1,
        min(rules.longest, 2 * max(stay.wait, rules.well)),
    )


def _back(stay: Stay, zone: Zone, well: int, rules: Rules) -> Stay:
    """A step home, as large as its replicas bear; at home its flaps are forgotten in time."""
    if stay.to >= 1.0:
        return Stay() if well >= rules.longest else Stay(1.0, "", False, stay.flaps, stay.wait)
    step = min(BACK, zone.bears - stay.to)
    if step < min(LEAST, 1.0 - stay.to):
        return stay  # its cold replicas have to warm first
    to = stay.to + step
    return Stay(1.0 if to > 1.0 - LEAST else to, stay.why, True, stay.flaps, stay.wait)


def _shares(
    stays: Mapping[str, Stay], zones: Mapping[str, Zone], classes: Mapping[str, Class]
) -> dict[str, float]:
    """The fleet's shares where the zones that are not left can't carry all."""
    if all(s.to >= 1.0 for s in stays.values()):
        return {}
    demand = dict[str, float]()
    for x in zones.values():
        for c, amount in x.traffic.items():
            demand[c] = demand.get(c, 0.0) + amount
    return levels(demand, classes, sum(x.power * FULL * stays[z].to for z, x in zones.items()))
