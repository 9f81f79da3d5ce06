"""What the governors see of each zone, and what the fleet makes of it. Free of I/O.

Each governor writes a small view: of each zone how much it tried there, what failed, came late or was silent,
how probes went, and how old its list is. The fleet weighs views by traffic, capped at the middle one's, and
takes the weighted median: a governor that lies, or reports from another world, moves nothing while it has
less than half the weight. Who sees most zones fail that others see well is itself the one in trouble, and its
word on the others is left out; where all see most zones fail, it is no zone's fault.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from statistics import median

import msgspec

FEW = 20.0  # tries below which a share says nothing: with a tenth failing by chance, five of 20 are rare
FAILING = 0.5  # failing share at which a zone is left: below it most of its replicas still serve
LATE = 0.5  # late share of what was answered from which a zone is slow
SILENT = 0.5  # of its replicas' reports missing: more than any single fault of a replica brings


class Sight(msgspec.Struct, frozen=True):
    """One observer's look at one zone over its last seconds: counts of tries, failures and late answers,
    silent replicas of those listed ready, probes and failed probes; `busy`: the mean busy share of its warm
    replicas, below 0 where none reports; `bears`: the part of its traffic that it bears as cold as it is."""

    tried: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    ready: int = 0
    silent: int = 0
    probes: int = 0
    probes_failed: int = 0
    busy: float = -1.0
    bears: float = 1.0


class View(msgspec.Struct, frozen=True):
    """`zone` is the observer's own, `traffic` what it steers (transactions a second), `list_age` how long ago
    (µs) its list was last confirmed; `window` (µs) what its sights cover; `came`: of its relays' traffic, by
    their zone and by class; `run` the process; `plan` and `deal` what its tables hold of what was agreed."""

    zone: str
    traffic: float
    list_age: int
    sights: dict[str, Sight]
    window: int = 10_000_000
    came: dict[str, dict[str, float]] = {}
    run: str = ""
    plan: tuple[int, int] = (0, 0)
    deal: int = -1


class State(Enum):
    WELL = "well"
    SLOW = "slow but alive"
    FAILING = "failing"
    CUT_OFF = "cut off from the others"
    UNSEEN = "not seen"


class Trouble(Enum):
    """Of the fleet as a whole."""

    NONE = "none"
    LIST = "discovery lost"
    RELEASE = "most zones fail for all: a release, or the observers"


@dataclass(frozen=True)
class Verdict:
    """`left_out`: observers whose word does not count, with the reason."""

    zones: Mapping[str, State]
    trouble: Trouble
    left_out: Mapping[str, str]


class _Look(Enum):
    WELL = 0
    SLOW = 1
    BAD = 2


def look(sight: Sight | None) -> _Look | None:
    """What one observer sees of a zone; None where it can't say."""
    if sight is None:
        return None
    if sight.tried >= FEW:
        if sight.failed >= FAILING * sight.tried:
            return _Look.BAD
        answered = sight.tried - sight.failed
        return _Look.SLOW if sight.late >= LATE * answered else _Look.WELL
    # Where nothing is sent any more, probes tell; few of either say nothing.
    if sight.probes >= 3:
        return _Look.BAD if sight.probes_failed >= FAILING * sight.probes else _Look.WELL
    if sight.ready and sight.silent > SILENT * sight.ready:
        return _Look.BAD
    return None


def _share(looks: Mapping[str, _Look], weights: Mapping[str, float], what: _Look) -> float | None:
    """Of the weight of those that can say, the part that sees `what` or worse."""
    total = sum(weights[o] for o in looks)
    if total <= 0:
        return None
    return sum(weights[o] for o, seen in looks.items() if seen.value >= what.value) / total


class Fleet:
    """`old` (µs): a view that has not changed nor been confirmed for so long counts for nothing; `list_old`:
    a list older than that is lost."""

    def __init__(self, old: int, list_old: int) -> None:
        self.old, self.list_old = old, list_old
        self.views = dict[str, tuple[View, int]]()

    def took(self, now: int, observer: str, view: View | None) -> None:
        """A view as the register brought it at `now`, by this process' own clock."""
        if view is None:
            self.views.pop(observer, None)
        else:
            self.views[observer] = view, now

    def fresh(self, now: int) -> dict[str, View]:
        return {o: v for o, (v, at) in self.views.items() if now - at < self.old}

    def judge(self, now: int) -> Verdict:
        views = self.fresh(now)
        zones = sorted({z for v in views.values() for z in v.sights} | {v.zone for v in views.values()})
        looks = {
            z: {o: seen for o, v in views.items() if (seen := look(v.sights.get(z))) is not None}
            for z in zones
        }
        usual = median([v.traffic for v in views.values()]) if views else 0.0
        # Capped at the middle one: twice that let one that lied about its traffic outvote two others.
        weights = {o: min(v.traffic, usual) or 1e-6 for o, v in views.items()}
        out = self._in_trouble(views, looks, weights, zones)
        heard = {
            z: {o: seen for o, seen in looks[z].items() if o not in out or views[o].zone == z} for z in zones
        }
        states = {z: self._state(z, views, heard[z], weights) for z in zones}
        return Verdict(states, self._trouble(views, states, weights), out)

    @staticmethod
    def _in_trouble(
        views: Mapping[str, View],
        looks: Mapping[str, Mapping[str, _Look]],
        weights: Mapping[str, float],
        zones: list[str],
    ) -> dict[str, str]:
        """Observers that see most of the other zones fail, where most of the others' weight sees them well.
        With all in doubt nobody is left out: then `Trouble.RELEASE` says so."""
        out = dict[str, str]()
        for o, view in views.items():
            others = [z for z in zones if z != view.zone and o in looks[z]]
            against = [
                z
                for z in others
                if looks[z][o] is _Look.BAD
                and (
                    share := _share(
                        {p: seen for p, seen in looks[z].items() if views[p].zone != view.zone},
                        weights,
                        _Look.BAD,
                    )
                )
                is not None
                and share < 0.5
            ]
            if others and 2 * len(against) > len(others):
                out[o] = f"sees {', '.join(against)} fail, which others see well"
        return out

    @staticmethod
    def _state(
        zone: str, views: Mapping[str, View], looks: Mapping[str, _Look], weights: Mapping[str, float]
    ) -> State:
        inside = {o: seen for o, seen in looks.items() if views[o].zone == zone}
        outside = {o: seen for o, seen in looks.items() if views[o].zone != zone}
        bad_in, bad_out = (_share(some, weights, _Look.BAD) for some in (inside, outside))
        if bad_in is None and bad_out is None:
            return State.UNSEEN
        if bad_out is not None and bad_out >= 0.5:
            # Its own observers alone tell a zone that fails from one that the others can't reach.
            return State.FAILING if bad_in is None or bad_in >= 0.5 else State.CUT_OFF
        if bad_out is None and bad_in is not None and bad_in >= 0.5:
            return State.FAILING
        slow = _share(looks, weights, _Look.SLOW)
        return State.SLOW if slow is not None and slow >= 0.5 else State.WELL

    def _trouble(
        self, views: Mapping[str, View], states: Mapping[str, State], weights: Mapping[str, float]
    ) -> Trouble:
        known = [s for s in states.values() if s is not State.UNSEEN]
        bad = sum(s in (State.FAILING, State.CUT_OFF) for s in known)
        if len(known) > 1 and 2 * bad > len(known):
            return Trouble.RELEASE
        old = sum(weights[o] for o, v in views.items() if v.list_age >= self.list_old)
        return Trouble.LIST if views and 2 * old > sum(weights.values()) else Trouble.NONE
