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

MIN_ATTEMPTS = (
    20.0  # tries below which a share says nothing: with a tenth failing by chance, five of 20 are rare
)
FAILING_SHARE = 0.5  # failing share at which a zone is left: below it most of its replicas still serve
LATE_SHARE = 0.5  # late share of what was answered from which a zone is slow
SILENT_SHARE = 0.5  # of its replicas' reports missing: more than any single fault of a replica brings


class ZoneObservation(msgspec.Struct, frozen=True):
    """One observer's look at one zone over its last seconds: counts of tries, failures and late answers,
    silent replicas of those listed ready, probes and failed probes; `busy`: the mean busy share of its warm
    replicas, below 0 where none reports; `bears`: the part of its traffic that it bears as cold as it is."""

    attempts: float = msgspec.field(default=0.0, name="tried")
    failures: float = msgspec.field(default=0.0, name="failed")
    late_responses: float = msgspec.field(default=0.0, name="late")
    ready_replicas: int = msgspec.field(default=0, name="ready")
    silent_replicas: int = msgspec.field(default=0, name="silent")
    health_checks: int = msgspec.field(default=0, name="probes")
    failed_health_checks: int = msgspec.field(default=0, name="probes_failed")
    busy_share: float = msgspec.field(default=-1.0, name="busy")
    sustainable_share: float = msgspec.field(default=1.0, name="bears")


class HealthReport(msgspec.Struct, frozen=True):
    """`zone` is the observer's own, `traffic` what it steers (transactions a second), `list_age` how long ago
    (µs) its list was last confirmed; `window` (µs) what its sights cover; `came`: of its relays' traffic, by
    their zone and by class; `run` the process; `plan` and `deal` what its tables hold of what was agreed."""

    zone: str
    requests_per_s: float = msgspec.field(name="traffic")
    list_age_us: int = msgspec.field(name="list_age")
    observations: dict[str, ZoneObservation] = msgspec.field(name="sights")
    window_us: int = msgspec.field(default=10000000, name="window")
    offered_by_zone: dict[str, dict[str, float]] = msgspec.field(default_factory=dict, name="came")
    incarnation: str = msgspec.field(default="", name="run")
    applied_plan: tuple[int, int] = msgspec.field(default=(0, 0), name="plan")
    applied_allocation: int = msgspec.field(default=-1, name="deal")


class ZoneState(Enum):
    HEALTHY = "well"
    SLOW = "slow but alive"
    FAILING = "failing"
    PARTITIONED = "cut off from the others"
    UNOBSERVED = "not seen"


class FleetFault(Enum):
    """Of the fleet as a whole."""

    NONE = "none"
    DISCOVERY_LOST = "discovery lost"
    MOST_ZONES_FAILING = "most zones fail for all: a release, or the observers"


@dataclass(frozen=True)
class FleetHealth:
    """`left_out`: observers whose word does not count, with the reason."""

    zones: Mapping[str, ZoneState]
    fault: FleetFault
    excluded_observers: Mapping[str, str]


class _Observed(Enum):
    HEALTHY = 0
    SLOW = 1
    FAILING = 2


def classify_observation(sight: ZoneObservation | None) -> _Observed | None:
    """What one observer sees of a zone; None where it can't say."""
    if sight is None:
        return None
    if sight.attempts >= MIN_ATTEMPTS:
        if sight.failures >= FAILING_SHARE * sight.attempts:
            return _Observed.FAILING
        answered = sight.attempts - sight.failures
        return _Observed.SLOW if sight.late_responses >= LATE_SHARE * answered else _Observed.HEALTHY
    # Where nothing is sent any more, probes tell; few of either say nothing.
    if sight.health_checks >= 3:
        return (
            _Observed.FAILING
            if sight.failed_health_checks >= FAILING_SHARE * sight.health_checks
            else _Observed.HEALTHY
        )
    if sight.ready_replicas and sight.silent_replicas > SILENT_SHARE * sight.ready_replicas:
        return _Observed.FAILING
    return None


def _share(looks: Mapping[str, _Observed], weights: Mapping[str, float], what: _Observed) -> float | None:
    """Of the weight of those that can say, the part that sees `what` or worse."""
    total = sum(weights[o] for o in looks)
    if total <= 0:
        return None
    return sum(weights[o] for o, seen in looks.items() if seen.value >= what.value) / total


class HealthAssessor:
    """`old` (µs): a view that has not changed nor been confirmed for so long counts for nothing; `list_old`:
    a list older than that is lost."""

    def __init__(self, report_ttl_us: int, list_ttl_us: int) -> None:
        self.report_ttl_us, self.list_ttl_us = report_ttl_us, list_ttl_us
        self.reports = dict[str, tuple[HealthReport, int]]()

    def record_report(self, now: int, observer: str, view: HealthReport | None) -> None:
        """A view as the register brought it at `now`, by this process' own clock."""
        if view is None:
            self.reports.pop(observer, None)
        else:
            self.reports[observer] = view, now

    def fresh_reports(self, now: int) -> dict[str, HealthReport]:
        return {o: v for o, (v, at) in self.reports.items() if now - at < self.report_ttl_us}

    def assess(self, now: int) -> FleetHealth:
        views = self.fresh_reports(now)
        zones = sorted({z for v in views.values() for z in v.observations} | {v.zone for v in views.values()})
        looks = {
            z: {
                o: seen
                for o, v in views.items()
                if (seen := classify_observation(v.observations.get(z))) is not None
            }
            for z in zones
        }
        usual = median([v.requests_per_s for v in views.values()]) if views else 0.0
        # Capped at the middle one: twice that let one that lied about its traffic outvote two others.
        weights = {o: min(v.requests_per_s, usual) or 1e-6 for o, v in views.items()}
        out = self._in_trouble(views, looks, weights, zones)
        heard = {
            z: {o: seen for o, seen in looks[z].items() if o not in out or views[o].zone == z} for z in zones
        }
        states = {z: self._state(z, views, heard[z], weights) for z in zones}
        return FleetHealth(states, self._trouble(views, states, weights), out)

    @staticmethod
    def _in_trouble(
        views: Mapping[str, HealthReport],
        looks: Mapping[str, Mapping[str, _Observed]],
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
                if looks[z][o] is _Observed.FAILING
                and (
                    share := _share(
                        {p: seen for p, seen in looks[z].items() if views[p].zone != view.zone},
                        weights,
                        _Observed.FAILING,
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
        zone: str,
        views: Mapping[str, HealthReport],
        looks: Mapping[str, _Observed],
        weights: Mapping[str, float],
    ) -> ZoneState:
        inside = {o: seen for o, seen in looks.items() if views[o].zone == zone}
        outside = {o: seen for o, seen in looks.items() if views[o].zone != zone}
        bad_in, bad_out = (_share(some, weights, _Observed.FAILING) for some in (inside, outside))
        if bad_in is None and bad_out is None:
            return ZoneState.UNOBSERVED
        if bad_out is not None and bad_out >= 0.5:
            # Its own observers alone tell a zone that fails from one that the others can't reach.
            return ZoneState.FAILING if bad_in is None or bad_in >= 0.5 else ZoneState.PARTITIONED
        if bad_out is None and bad_in is not None and bad_in >= 0.5:
            return ZoneState.FAILING
        slow = _share(looks, weights, _Observed.SLOW)
        return ZoneState.SLOW if slow is not None and slow >= 0.5 else ZoneState.HEALTHY

    def _trouble(
        self, views: Mapping[str, HealthReport], states: Mapping[str, ZoneState], weights: Mapping[str, float]
    ) -> FleetFault:
        known = [s for s in states.values() if s is not ZoneState.UNOBSERVED]
        bad = sum(s in (ZoneState.FAILING, ZoneState.PARTITIONED) for s in known)
        if len(known) > 1 and 2 * bad > len(known):
            return FleetFault.MOST_ZONES_FAILING
        old = sum(weights[o] for o, v in views.items() if v.list_age_us >= self.list_ttl_us)
        return FleetFault.DISCOVERY_LOST if views and 2 * old > sum(weights.values()) else FleetFault.NONE
