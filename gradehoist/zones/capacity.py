"""Estimates of each zone's capacity, computed from the health reports. Free of I/O."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from statistics import median

from gradehoist.zones.evacuation import ZoneLoad
from gradehoist.zones.health import HealthReport

# The capacity estimate is the traffic divided by the busy share. Below this busy share the quotient is too
# imprecise to be used.
MIN_BUSY_SHARE = 0.1
# Weight of the newest estimate in the moving average. With it, the average follows the estimates of a healthy
# zone within some seconds.
CAPACITY_SMOOTHING = 0.2


class CapacityEstimator:
    """Estimates the capacity of each zone as a moving average.

    Attributes:
        capacity_per_s: Requests per second that a zone can serve, by zone. Zones without an estimate are
            missing.
    """

    def __init__(self) -> None:
        """Create an estimator without estimates."""
        self.capacity_per_s = dict[str, float]()

    def update(self, zone: str, reports: Mapping[str, HealthReport]) -> None:
        """Update the estimate of a healthy zone from the reports that contain observations of it."""
        observed = [
            (report.observations[zone], report.window_us)
            for report in reports.values()
            if zone in report.observations
        ]
        busy_shares = [o.busy_share for o, _ in observed if o.busy_share >= MIN_BUSY_SHARE]
        if not busy_shares:
            return
        attempts_per_s = sum(o.attempts * 1e6 / window_us for o, window_us in observed)
        estimate = attempts_per_s / median(busy_shares)
        known = self.capacity_per_s.get(zone)
        if known is None:
            self.capacity_per_s[zone] = estimate
        else:
            self.capacity_per_s[zone] = known + CAPACITY_SMOOTHING * (estimate - known)

    def zone_loads(
        self, reports: Mapping[str, HealthReport], classes: Collection[str]
    ) -> dict[str, ZoneLoad]:
        """Return the traffic and the capacity of each zone that has an estimate."""
        traffic = {zone: dict.fromkeys(classes, 0.0) for zone in self.capacity_per_s}
        for report in reports.values():
            for zone, offered in report.offered_by_zone.items():
                if zone in traffic:
                    _add_known_classes(traffic[zone], offered)
        return {
            zone: ZoneLoad(
                requests_per_s_by_class=traffic[zone],
                capacity_per_s=capacity_per_s,
                sustainable_share=_sustainable_share(zone, reports),
            )
            for zone, capacity_per_s in self.capacity_per_s.items()
        }


def _add_known_classes(totals: dict[str, float], offered: Mapping[str, float]) -> None:
    for name, requests_per_s in offered.items():
        if name in totals:
            totals[name] += requests_per_s


def _sustainable_share(zone: str, reports: Mapping[str, HealthReport]) -> float:
    shares = [
        report.observations[zone].sustainable_share
        for report in reports.values()
        if zone in report.observations
    ]
    return median(shares) if shares else 1.0
