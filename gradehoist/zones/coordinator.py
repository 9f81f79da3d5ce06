"""One governor's part in leaving zones and taking them back together. Free of I/O.

It keeps what the governors see, follows the plan and the deal that the register holds, and says what ceilings
stand for this governor now. While it holds the right `zones` it also makes the next step and the next deal.
Without the register what was agreed is held, then left by an even ramp (`coordination/agreed.py`).
"""

from __future__ import annotations

from collections.abc import Mapping
from statistics import median
from typing import NamedTuple

from gradehoist.coordination.fallback import Agreed
from gradehoist.coordination.fencing import Right, Standing, standing
from gradehoist.zones.evacuation import Class, Plan, Rules, Zone, next_plan, ready
from gradehoist.zones.health import Fleet, State, Verdict, View
from gradehoist.zones.warmup_quota import Deal, dealt

PLAN, DEAL, VIEWS = "zones/plan", "zones/deal", "zones/views/"
BUSY = 0.1  # use below which traffic over use says nothing of what replicas can do
GRAIN = 50  # ceilings reach the module in fiftieths: a ramp would else be an event a turn
TASTE = 0.02  # of a zone's traffic that goes there while it is left: it is how its return is seen
SWING = 1.15  # of a dealt part that traffic may swing above it: deals follow within some seconds
LEARN = 0.2  # weight of the newest estimate of a zone's power: some seconds of a well zone


class Now(NamedTuple):
    """What stands for this governor: by zone, of cold replicas, and by class; 1.0 where nothing is said."""

    zones: Mapping[str, float]
    cold: float
    levels: Mapping[str, float]


class Board:
    """`run` is this process; `linger` (µs): how long after a session's end its tables may still send;
    `old`, `list_old`: see `evidence.Fleet`; `hold`, `fall`: see `Agreed`."""

    def __init__(
        self,
        run: str,
        classes: Mapping[str, Class],
        rules: Rules,
        linger: int,
        old: int,
        list_old: int,
        hold: int,
        fall: int,
    ) -> None:
        self.run, self.classes, self.rules, self.linger = run, classes, rules, linger
        self.fleet, self.agreed = Fleet(old, list_old), Agreed(hold, fall)
        self.plan, self.deal = Plan(0, ""), Deal(0, "")
        self.verdict: Verdict | None = None
        self.well_since = dict[str, int]()
        self.power = dict[str, float]()
        self._planned, self._left = 0, dict[str, int]()  # when the last step came; when a run was last seen

    # What the register brings

    def view(self, now: int, observer: str, view: View | None) -> None:
        before = self.fleet.views.get(observer)
        if before is not None and (view is None or view.run != before[0].run):
            self._left[before[0].run] = now  # its tables may go on sending for a while
        self.fleet.took(now, observer, view)
        if view is not None:
            self._left.pop(view.run, None)

    def planned(self, now: int, plan: Plan | None) -> bool:
        """Takes the plan of the register; False for one that a newer right has ended. None is no plan, as
        after a register went: what was agreed stands."""
        if plan is None:
            return True
        ceilings = {z: s.to for z, s in plan.zones.items() if s.to < 1.0}
        levels = {f"class/{c}": x for c, x in plan.levels.items()}
        if not self.agreed.agree(now, Right(plan.gen, plan.holder), ceilings | levels):
            return False
        self.plan, self._planned = plan, now
        return True

    def dealt(self, deal: Deal | None) -> None:
        if deal is not None and deal.gen >= self.deal.gen:
            self.deal = deal

    def away(self, now: int) -> None:
        self.agreed.away(now)

    def back(self, now: int) -> None:
        self.agreed.back(now)

    # What stands

    def now(self, now: int, traffic: float) -> Now:
        """For this governor, which steers `traffic` itself."""
        found = {n: round(GRAIN * x) / GRAIN for n, x in self.agreed.ceilings(now).items()}
        zones = {n: max(TASTE, x) for n, x in found.items() if not n.startswith("class/") and x < 1.0}
        levels = {n.removeprefix("class/"): x for n, x in found.items() if n.startswith("class/") and x < 1.0}
        return Now(zones, self._cold(now, traffic), levels)

    def _cold(self, now: int, traffic: float) -> float:
        """Of the weight of a cold replica: this governor's dealt part against what it really steers, so that
        one that took over a dead one's relays gives no more than before until it is dealt more."""
        if self.agreed.holding or not self.deal.parts:
            return 1.0  # nothing agreed: each keeps rule 4 alone, as it does without a register
        others = sum(v.traffic for v in self.fleet.fresh(now).values() if v.run != self.run)
        share = traffic / (others + traffic) if traffic > 0 else 0.0
        part = self.deal.parts.get(self.run, 0.0)
        return 1.0 if share <= SWING * part else round(GRAIN * part / share) / GRAIN

    # What the holder of the right does

    def look(self, now: int) -> Verdict:
        """The fleet's view, remembered: since when each zone is well, what it can do."""
        self.verdict = self.fleet.judge(now)
        views = self.fleet.fresh(now)
        for z, state in self.verdict.zones.items():
            if state in (State.WELL, State.UNSEEN):
                self.well_since.setdefault(z, now)
            else:
                self.well_since.pop(z, None)
            if state is State.WELL:
                self._learn(z, views)
        return self.verdict

    def _learn(self, z: str, views: Mapping[str, View]) -> None:
        if self.plan.to(z) < 1.0 and z in self.power:
            return  # what a zone that is left can do shows in nothing
        sights = [(v.sights[z], v.window) for v in views.values() if z in v.sights]
        busy = [s.busy for s, _ in sights if s.busy >= BUSY]
        if busy:
            rate = sum(s.tried * 1e6 / w for s, w in sights)
            known = self.power.get(z)
            new = rate / median(busy)
            self.power[z] = new if known is None else known + LEARN * (new - known)

    def zones(self, now: int) -> dict[str, Zone]:
        """What the fleet knows of each zone whose power has been seen."""
        traffic: dict[str, dict[str, float]] = {z: dict.fromkeys(self.classes, 0.0) for z in self.power}
        for v in self.fleet.fresh(now).values():
            for z, came in v.came.items():
                for c, x in came.items():
                    if z in traffic and c in self.classes:
                        traffic[z][c] += x
        return {z: Zone(traffic[z], p, self._bears(now, z)) for z, p in self.power.items()}

    def _bears(self, now: int, z: str) -> float:
        said = [v.sights[z].bears for v in self.fleet.fresh(now).values() if z in v.sights]
        return median(said) if said else 1.0

    def next_plan(self, now: int, right: Right) -> Plan | None:
        """To be written under the right, or None. A new holder first puts its own generation on the plan as
        it stands, so that a step of the one before, still on its way, is refused by the version."""
        verdict = self.verdict or self.look(now)
        stands = standing(right, Right(self.plan.gen, self.plan.holder))
        if stands in (Standing.OLDER, Standing.RIVAL):
            return None  # another has gone on, and this process has yet to hear that its right is over
        if stands is Standing.NEWER:
            return Plan(right.gen, right.holder, 0, self.plan.zones, self.plan.levels)
        views = self.fleet.fresh(now)
        steering = frozenset(o for o, v in views.items() if v.traffic > 0)
        if not ready(self.plan, {o: v.plan for o, v in views.items()}, steering):
            return None
        well = {z: now - since for z, since in self.well_since.items()}
        return next_plan(
            self.plan, verdict, self.zones(now), self.classes, well, now - self._planned, self.rules
        )

    def next_deal(self, now: int, right: Right) -> Deal | None:
        views = [v for v in self.fleet.fresh(now).values() if v.traffic > 0]
        gone = {run for run, at in self._left.items() if now - at >= self.linger}
        if not views:
            return None
        # A run that this process never saw: it left before, and nobody here can say when.
        known = {v.run for v in views} | self._left.keys()
        for run in self.deal.at_most.keys() - known:
            self._left.setdefault(run, now)
        return dealt(
            self.deal, right.holder, {v.run: v.traffic for v in views}, {v.run: v.deal for v in views}, gone
        )
