"""What a governor has met in each zone over its last seconds, as the view that others weigh. Free of I/O."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from gradehoist.protocol import feed
from gradehoist.settings.fleet import FleetSettings
from gradehoist.zones.health import HealthReport, ZoneObservation

SLOT = 1_000_000  # µs of one count
SLOTS = 6  # kept: a failing zone shows within seconds, and a few slow reports are not all there is


@dataclass
class _Met:
    """Of one slot: by zone tries, failures, late and probes; by relays' zone and class what came."""

    began: int
    tried: dict[str, int] = field(default_factory=dict)
    failed: dict[str, int] = field(default_factory=dict)
    late: dict[str, int] = field(default_factory=dict)
    probes: dict[str, int] = field(default_factory=dict)
    probes_failed: dict[str, int] = field(default_factory=dict)
    came: dict[tuple[str, str], int] = field(default_factory=dict)
    good: set[str] = field(default_factory=set)  # replicas with an answer
    bad: set[str] = field(default_factory=set)


def _count(counts: dict[str, int], key: str, number: int) -> None:
    counts[key] = counts.get(key, 0) + number


class ZoneStats:
    def __init__(self, fleet: FleetSettings, now: int) -> None:
        self._fleet, self._slots = fleet, deque([_Met(now)])
        self._goal = min(c.latency_objective_us for c in fleet.classes)
        self._busy = dict[str, float]()

    def _slot(self, now: int) -> _Met:
        if now >= self._slots[-1].began + SLOT:
            self._slots.append(_Met(now))
            while len(self._slots) > SLOTS:
                self._slots.popleft()
        return self._slots[-1]

    def add_load_report(
        self, now: int, zone: str, sums: feed.ProxyLoadReport, listed: Mapping[str, feed.EndpointRecord]
    ) -> None:
        """Sums of a relay in `zone` that were taken; a replica that is not listed belongs to no zone."""
        slot = self._slot(now)
        for row in sums.attempts:
            if (entry := listed.get(row.replica)) is None or not row.attempts:
                continue
            _count(slot.tried, entry.zone, row.attempts)
            _count(slot.failed, entry.zone, row.failures)
            if row.elapsed_us > self._goal:
                _count(slot.late, entry.zone, row.attempts - row.failures)
            (slot.good if row.failures < row.attempts else slot.bad).add(row.replica)
            if row.busy_share is not None:
                self._busy[row.replica] = row.busy_share
        for came in sums.requests:
            key = zone, came.request_class
            slot.came[key] = slot.came.get(key, 0) + came.requests

    def add_health_check(self, now: int, zone: str, good: bool) -> None:
        slot = self._slot(now)
        _count(slot.probes, zone, 1)
        if not good:
            _count(slot.probes_failed, zone, 1)

    @property
    def request_rate(self) -> float:
        """Transactions a second over what is kept."""
        span = max(SLOT, self._slots[-1].began + SLOT - self._slots[0].began)
        return sum(x for s in self._slots for x in s.came.values()) * 1e6 / span

    def health_report(
        self,
        now: int,
        own_zone: str,
        run: str,
        list_age: int,
        listed: Mapping[str, feed.EndpointRecord],
        started: Mapping[str, int],
        plan: tuple[int, int],
        deal: int,
    ) -> HealthReport:
        self._slot(now)
        slots, rules = list(self._slots), self._fleet.safety
        window = max(SLOT, now - slots[0].began)
        sights = dict[str, ZoneObservation]()
        self._busy = {r: x for r, x in self._busy.items() if r in listed}
        for z in self._fleet.zones:
            ready = [r for r, e in listed.items() if e.zone == z and e.phase == "ready"]
            warmth = [
                min(
                    1.0,
                    rules.warmup_start_capacity
                    + (1 - rules.warmup_start_capacity) * (now - started.get(r, 0)) / max(1, rules.warmup_us),
                )
                for r in ready
            ]
            good = {r for s in slots for r in s.good}
            silent = sum(r not in good for r in {r for s in slots for r in s.bad} & set(ready))
            busy = [self._busy[r] for r, w in zip(ready, warmth, strict=True) if w >= 1 and r in self._busy]
            tried, failed, late, probes, lost = (
                sum(getattr(s, f).get(z, 0) for s in slots)
                for f in ("tried", "failed", "late", "probes", "probes_failed")
            )
            sights[z] = ZoneObservation(
                tried,
                failed,
                late,
                len(ready),
                silent,
                probes,
                lost,
                sum(busy) / len(busy) if busy else -1.0,
                sum(warmth) / len(warmth) if warmth else 0.0,
            )
        came: dict[str, dict[str, float]] = {}
        for s in slots:
            for (z, c), x in s.came.items():
                some = came.setdefault(z, {})
                some[c] = some.get(c, 0.0) + x * 1e6 / window
        return HealthReport(own_zone, self.request_rate, list_age, sights, window, came, run, plan, deal)
