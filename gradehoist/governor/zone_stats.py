"""Observations of each zone in the last seconds, for the health report.

Counts are kept in windows of one second, of which the last few are used. This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from gradehoist.governor.endpoint_list import EndpointList
from gradehoist.protocol.feed import EndpointRecord, ProxyLoadReport
from gradehoist.settings.fleet import FleetSettings
from gradehoist.zones.health import ZoneObservation

WINDOW_US = 1_000_000
# A failing zone is visible within seconds with this number, and a few slow reports do not dominate the
# counts.
WINDOW_COUNT = 6


@dataclass
class _ZoneCounts:
    attempts: int = 0
    failures: int = 0
    late_responses: int = 0
    health_checks: int = 0
    failed_health_checks: int = 0

    def add(self, other: _ZoneCounts) -> None:
        self.attempts += other.attempts
        self.failures += other.failures
        self.late_responses += other.late_responses
        self.health_checks += other.health_checks
        self.failed_health_checks += other.failed_health_checks


@dataclass(frozen=True, slots=True)
class _OfferedKey:
    """The zone of the proxies that received the requests, and the request class."""

    zone: str
    request_class: str


@dataclass
class _Window:
    """The counts of one second; `responsive` holds replicas with a success in a report.

    `failing` holds replicas with attempts but without a success in a report.
    """

    began_us: int
    zones: dict[str, _ZoneCounts] = field(default_factory=dict)
    offered: dict[_OfferedKey, int] = field(default_factory=dict)
    responsive: set[str] = field(default_factory=set)
    failing: set[str] = field(default_factory=set)

    def zone(self, name: str) -> _ZoneCounts:
        return self.zones.setdefault(name, _ZoneCounts())


@dataclass(frozen=True, slots=True)
class ZoneStatsSnapshot:
    """The totals of all windows at one time.

    Attributes:
        window_us: the time that the windows cover.
        requests_per_s: requests per second that the proxies of this governor received.
        observations: the observation of each zone.
        offered_by_zone: requests per second by the zone of the proxies and by class.
    """

    window_us: int
    requests_per_s: float
    observations: dict[str, ZoneObservation]
    offered_by_zone: dict[str, dict[str, float]]


class ZoneStats:
    """Counts of load reports and health checks by zone. `ZoneCoordination` owns it."""

    def __init__(self, fleet: FleetSettings, now_us: int) -> None:
        """Creates empty counts."""
        self._fleet = fleet
        self._windows = deque([_Window(now_us)])
        self._latency_objective_us = min(c.latency_objective_us for c in fleet.classes)
        self._busy_shares = dict[str, float]()  # by replica, as last reported

    @property
    def request_rate(self) -> float:
        """Requests per second over all windows."""
        windows = self._windows
        span_us = max(WINDOW_US, windows[-1].began_us + WINDOW_US - windows[0].began_us)
        return sum(count for window in windows for count in window.offered.values()) * 1e6 / span_us

    def add_load_report(
        self, now_us: int, zone: str, report: ProxyLoadReport, endpoints: Mapping[str, EndpointRecord]
    ) -> None:
        """Adds an accepted report of a proxy in `zone`; rows of unlisted replicas are skipped."""
        window = self._window(now_us)
        for row in report.attempts:
            endpoint = endpoints.get(row.replica)
            if endpoint is None or not row.attempts:
                continue
            counts = window.zone(endpoint.zone)
            successes = row.attempts - row.failures
            counts.attempts += row.attempts
            counts.failures += row.failures
            if row.elapsed_us > self._latency_objective_us:
                counts.late_responses += successes
            if successes > 0:
                window.responsive.add(row.replica)
            else:
                window.failing.add(row.replica)
            if row.busy_share is not None:
                self._busy_shares[row.replica] = row.busy_share
        for offered in report.requests:
            key = _OfferedKey(zone, offered.request_class)
            window.offered[key] = window.offered.get(key, 0) + offered.requests

    def add_health_check(self, now_us: int, zone: str, is_healthy: bool) -> None:
        """Adds the outcome of a health check of a replica in `zone`."""
        counts = self._window(now_us).zone(zone)
        counts.health_checks += 1
        if not is_healthy:
            counts.failed_health_checks += 1

    def snapshot(self, now_us: int, endpoint_list: EndpointList) -> ZoneStatsSnapshot:
        """Returns the current observations of all zones in the settings."""
        self._window(now_us)
        window_us = max(WINDOW_US, now_us - self._windows[0].began_us)
        self._busy_shares = {
            replica: share
            for replica, share in self._busy_shares.items()
            if replica in endpoint_list.endpoints
        }
        return ZoneStatsSnapshot(
            window_us=window_us,
            requests_per_s=self.request_rate,
            observations={zone: self._observe(now_us, zone, endpoint_list) for zone in self._fleet.zones},
            offered_by_zone=self._offered_by_zone(window_us),
        )

    def _window(self, now_us: int) -> _Window:
        if now_us >= self._windows[-1].began_us + WINDOW_US:
            self._windows.append(_Window(now_us))
            while len(self._windows) > WINDOW_COUNT:
                self._windows.popleft()
        return self._windows[-1]

    def _observe(self, now_us: int, zone: str, endpoint_list: EndpointList) -> ZoneObservation:
        ready = [
            replica
            for replica, endpoint in endpoint_list.endpoints.items()
            if endpoint.zone == zone and endpoint.phase == "ready"
        ]
        started_us = endpoint_list.start_times_us()
        capacities = [self._warmup_capacity(now_us - started_us.get(replica, 0)) for replica in ready]
        busy_shares = [
            self._busy_shares[replica]
            for replica, capacity in zip(ready, capacities, strict=True)
            if capacity >= 1 and replica in self._busy_shares
        ]
        counts = _ZoneCounts()
        for window in self._windows:
            if zone in window.zones:
                counts.add(window.zones[zone])
        return ZoneObservation(
            attempts=counts.attempts,
            failures=counts.failures,
            late_responses=counts.late_responses,
            ready_replicas=len(ready),
            silent_replicas=self._count_silent(ready),
            health_checks=counts.health_checks,
            failed_health_checks=counts.failed_health_checks,
            busy_share=sum(busy_shares) / len(busy_shares) if busy_shares else -1.0,
            sustainable_share=sum(capacities) / len(capacities) if capacities else 0.0,
        )

    def _warmup_capacity(self, age_us: int) -> float:
        """Returns the share of its capacity that a replica of this age has, which grows during warm-up."""
        safety = self._fleet.safety
        start = safety.warmup_start_capacity
        return min(1.0, start + (1 - start) * age_us / max(1, safety.warmup_us))

    def _count_silent(self, ready: list[str]) -> int:
        """Returns the number of replicas with failures and without any success."""
        responsive = {replica for window in self._windows for replica in window.responsive}
        failing = {replica for window in self._windows for replica in window.failing}
        return len((failing & set(ready)) - responsive)

    def _offered_by_zone(self, window_us: int) -> dict[str, dict[str, float]]:
        offered: dict[str, dict[str, float]] = {}
        for window in self._windows:
            for key, count in window.offered.items():
                rates = offered.setdefault(key.zone, {})
                rates[key.request_class] = rates.get(key.request_class, 0.0) + count * 1e6 / window_us
        return offered
