"""Request rates reported by proxies, and the fleet's total demand estimated from them."""

from collections.abc import Sequence
from dataclasses import dataclass

from gradehoist.actors import SECOND, Actor, MessageLoop
from gradehoist.interface import PolicyConfig, ProxyJoined, ProxyLeft, RequestsOffered
from gradehoist.messages import ProxyAssigned


@dataclass(slots=True)
class ProxyRates:
    """Requests per second of one proxy, by class."""

    zone: int
    rates: list[float]


@dataclass(frozen=True, slots=True)
class Demand:
    """The fleet's demand: `shares` of all requests by zone of the proxies, then by class set.

    `group_loads` are the loads of this governor's groups of proxies, as multiples of the mean of their zone's
    groups; `proxy_zones` are the zones that its own proxies are in.
    """

    shares: list[list[float]]
    group_loads: list[float]
    proxy_zones: set[int]


class RequestRates(Actor):
    """Request rates of the proxies that are connected to this governor."""

    def __init__(
        self,
        loop: MessageLoop,
        config: PolicyConfig,
        class_sets: Sequence[tuple[int, ...]],
        group_zones: Sequence[int],
        smoothing: float,
    ) -> None:
        """Create the rates of a fleet without proxies; `smoothing` is the weight of the newest report."""
        super().__init__(loop)
        self.proxies: dict[int, ProxyRates] = {}
        self.recent_requests = [0.0] * len(config.classes)
        self._proxy_count = max(1, config.proxy_count)
        self._class_sets = class_sets
        self._group_zones = group_zones
        self._smoothing = smoothing
        self._groups: dict[int, int] = {}  # group by proxy

    def _on_proxy_joined(self, joined: ProxyJoined) -> None:
        class_count = len(self.recent_requests)
        # Until the proxy reports, its requests count as divided equally among the classes.
        rate = joined.request_rate / class_count
        self.proxies[joined.proxy] = ProxyRates(joined.zone, [rate] * class_count)

    def _on_proxy_assigned(self, assigned: ProxyAssigned) -> None:
        # The proxy may have left in the same batch.
        if assigned.proxy in self.proxies:
            self._groups[assigned.proxy] = assigned.group

    def _on_proxy_left(self, left: ProxyLeft) -> None:
        self.proxies.pop(left.proxy, None)
        self._groups.pop(left.proxy, None)

    def _on_requests_offered(self, report: RequestsOffered) -> None:
        known = self.proxies.get(report.proxy)
        if known is None or report.window_us <= 0:
            return
        rate = known.rates[report.request_class]
        rate += self._smoothing * (report.requests * SECOND / report.window_us - rate)
        known.rates[report.request_class] = rate
        self.recent_requests[report.request_class] += report.requests

    def take_recent_requests(self, decay: float) -> list[float]:
        """Return recent requests by class, and multiply them by `decay` for the next call.

        Only requests that were reported count. With the rates assumed at joining, admission control rejected
        nearly all requests of the cheapest class, whose true share was higher.
        """
        recent = self.recent_requests
        self.recent_requests = [decay * count for count in recent]
        return recent

    def demand(self, zone_count: int) -> Demand:
        """Estimate the demand of the whole fleet from the rates of this governor's own proxies."""
        rates = self._rates_by_zone(zone_count)
        proxy_zones = [proxy.zone for proxy in self.proxies.values()]
        return Demand(
            shares=self._shares(rates, proxy_zones),
            group_loads=self._group_loads(rates),
            proxy_zones=set(proxy_zones),
        )

    def _rates_by_zone(self, zone_count: int) -> list[list[float]]:
        proxies = self.proxies.values()
        return [
            [
                sum(p.rates[c] for p in proxies if p.zone == zone for c in classes)
                for classes in self._class_sets
            ]
            for zone in range(zone_count)
        ]

    def _shares(self, rates: list[list[float]], proxy_zones: list[int]) -> list[list[float]]:
        total = sum(map(sum, rates)) or 1.0
        own_share = min(1.0, len(proxy_zones) / self._proxy_count)
        # The demand at other governors' proxies is estimated as if all zones had equally many proxies. If it
        # were estimated by the weights of the zones, an overloaded zone would never spill over.
        zone_count = len(rates)
        others = [
            max(0.0, 1 / zone_count - proxy_zones.count(zone) / self._proxy_count)
            for zone in range(zone_count)
        ]
        scale = (1 - own_share) / (sum(others) or 1.0)
        class_mix = [sum(zone_rates) / total for zone_rates in zip(*rates, strict=True)]
        return [
            [
                own_share * rate / total + other * scale * part
                for rate, part in zip(zone_rates, class_mix, strict=True)
            ]
            for zone_rates, other in zip(rates, others, strict=True)
        ]

    def _group_loads(self, rates: list[list[float]]) -> list[float]:
        loads = [0.0] * len(self._group_zones)
        for proxy, group in self._groups.items():
            loads[group] += sum(self.proxies[proxy].rates)
        return [
            load * self._group_zones.count(zone) / (sum(rates[zone]) or 1.0)
            for load, zone in zip(loads, self._group_zones, strict=True)
        ]
