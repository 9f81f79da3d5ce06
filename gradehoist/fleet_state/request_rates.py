"""Request rates reported by proxies, and the fleet's total demand estimated from them."""

from collections.abc import Sequence
from dataclasses import dataclass

from gradehoist.actors import SECOND, Actor, MessageLoop
from gradehoist.interface import PolicyConfig, ProxyJoined, ProxyLeft, RequestsOffered
from gradehoist.messages import AdmissionForecast, ProxyAssigned

SMALLEST_COUNT = 1e-9  # Added to counts of requests, so that shares are defined without requests.


@dataclass(slots=True)
class ProxyRates:
    """Requests per second of one proxy, by class.

    `usual_rates` are the rates while the proxy's requests are served. Clients repeat requests that are not,
    which makes the other rates higher.
    """

    zone: int
    rates: list[float]
    usual_rates: list[float]


@dataclass(frozen=True, slots=True)
class RateSmoothing:
    """How request rates follow the reports of proxies.

    `weight` is that of the newest report in the rates. It is also that in the usual rates if at least
    `served_share` of a report's requests were served; otherwise, theirs is `unserved_weight`.
    """

    weight: float
    served_share: float
    unserved_weight: float


@dataclass(frozen=True, slots=True)
class Demand:
    """The fleet's demand: `shares` of all requests by zone of the proxies, then by class set.

    `requests_per_s` is the rate of all requests. `group_loads` are the loads of this governor's groups of
    proxies, as multiples of the mean of their zone's groups; `proxy_zones` are the zones that its own proxies
    are in.
    """

    requests_per_s: float
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
        smoothing: RateSmoothing,
    ) -> None:
        """Create the rates of a fleet without proxies."""
        super().__init__(loop)
        self.proxies: dict[int, ProxyRates] = {}
        self.recent_requests = [0.0] * len(config.classes)
        self._proxy_count = max(1, config.proxy_count)
        self._class_sets = class_sets
        self._group_zones = group_zones
        self._smoothing = smoothing
        self._groups: dict[int, int] = {}  # group by proxy
        self._admission_rates: Sequence[float] = [1.0] * len(config.classes)

    def _on_proxy_joined(self, joined: ProxyJoined) -> None:
        class_count = len(self.recent_requests)
        # Until the proxy reports, its requests count as divided equally among the classes.
        rate = joined.request_rate / class_count
        rates, usual_rates = [rate] * class_count, [rate] * class_count
        self.proxies[joined.proxy] = ProxyRates(joined.zone, rates, usual_rates)

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
        smoothing = self._smoothing
        request_class = report.request_class
        reported = report.requests * SECOND / report.window_us
        known.rates[request_class] += smoothing.weight * (reported - known.rates[request_class])
        served = self._admission_rates[request_class] * report.requests - report.incomplete
        is_served = served >= smoothing.served_share * report.requests
        usual_weight = smoothing.weight if is_served else smoothing.unserved_weight
        known.usual_rates[request_class] += usual_weight * (reported - known.usual_rates[request_class])
        self.recent_requests[request_class] += report.requests

    def _on_admission_forecast(self, forecast: AdmissionForecast) -> None:
        self._admission_rates = forecast.current

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
        return self._demand(self._rates_by_zone(zone_count, {n: p.rates for n, p in self.proxies.items()}))

    def usual_demand(self, zone_count: int) -> Demand:
        """Estimate the demand as it is while requests are served, so that clients do not repeat them."""
        usual = {
            n: [min(r, u) for r, u in zip(p.rates, p.usual_rates, strict=True)]
            for n, p in self.proxies.items()
        }
        return self._demand(self._rates_by_zone(zone_count, usual))

    def admitted_rates(self, demand: Demand, admission: Sequence[float]) -> list[list[float]]:
        """Return the requests per second that admission rates by class let through, by zone and class set."""
        requests = [SMALLEST_COUNT + count for count in self.recent_requests]
        admitted_shares = [
            sum(admission[c] * requests[c] for c in classes) / sum(requests[c] for c in classes)
            for classes in self._class_sets
        ]
        return [
            [demand.requests_per_s * own * part for own, part in zip(shares, admitted_shares, strict=True)]
            for shares in demand.shares
        ]

    def _demand(self, rates: list[list[float]]) -> Demand:
        proxy_zones = [proxy.zone for proxy in self.proxies.values()]
        own_share = min(1.0, len(proxy_zones) / self._proxy_count)
        return Demand(
            requests_per_s=sum(map(sum, rates)) / (own_share or 1.0),
            shares=self._shares(rates, proxy_zones),
            group_loads=self._group_loads(rates),
            proxy_zones=set(proxy_zones),
        )

    def _rates_by_zone(self, zone_count: int, rates: dict[int, list[float]]) -> list[list[float]]:
        by_zone = [[0.0] * len(self._class_sets) for _ in range(zone_count)]
        for proxy, by_class in rates.items():
            zone = self.proxies[proxy].zone
            if zone >= zone_count:
                continue
            for class_set, classes in enumerate(self._class_sets):
                by_zone[zone][class_set] += sum(by_class[c] for c in classes)
        return by_zone

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
