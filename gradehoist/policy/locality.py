"""Zone weights: traffic stays in its zone while the replicas there have capacity, the rest goes elsewhere."""

from gradehoist.fleet_state import Candidates, ReplicaTable, total_weight, weight_by_zone
from gradehoist.messages import Tables, Weights
from gradehoist.policy.replica import DEAD_BAND

MAX_SLACK = 0.3  # How far the utilization of an idle zone may be from the average without moving traffic.
NO_SLACK_SATURATION = 0.8  # A zone's slack shrinks as its saturation rises, and is 0 from this value on.
EXPLORATION_SHARE = 0.01  # Of a zone's traffic, for each other zone, so that its load reports keep coming.
FULL_ZONE_DIVISOR = 50  # Divides the weight of a zone without free capacity when traffic is spread.
SHORTAGE_RATIO = 2  # With more demand per weight, the first replica to return would get all of a class.
MIN_LINE_WEIGHT = 1e-4  # A weight of 0 would remove the line.


class LocalityBalancer:
    """Divides the traffic of each zone, and of each set of classes, among the replicas of all zones."""

    def __init__(self, replicas: ReplicaTable) -> None:
        """Create a balancer without observations."""
        self.replicas = replicas
        self.relative_utilization = dict[int, float]()  # by zone, as a multiple of the average
        self.slack = dict[int, float]()  # by zone
        self.quotas = dict[int, float]()  # by zone, as the governors have agreed

    def set_saturation(self, zone: int, saturation: float) -> None:
        """Set the saturation of a zone, which limits its slack."""
        self.slack[zone] = max(0.0, min(MAX_SLACK, NO_SLACK_SATURATION - saturation))

    def target_utilization(self, zone: int, utilization: float, average: float) -> float:
        """Return the target for the replicas of a zone: its utilization, within its slack of the average."""
        self.relative_utilization[zone] = utilization / average
        slack = average * self.slack.get(zone, 0.0)
        return max(average - slack, min(average + slack, utilization))

    def plan(self, ready: Candidates, live: Candidates, demand: list[list[float]]) -> list[Tables]:
        """Return the tables for the proxies of each zone; `demand` has shares by zone and class set."""
        zones = range(self.replicas.zone_count)
        self.total = total_weight(live.values()) or 1.0
        self.free = [self._capacity(zone, weight) for zone, weight in enumerate(weight_by_zone(live, zones))]
        self.replicas.capacity_shortages = []
        tables: list[Tables] = [{} for _ in zones]
        for k in range(len(self.replicas.class_sets)):
            allowed = [self.replicas.allowed(k, zone, live) for zone in zones]
            weights = [weight_by_zone(candidates, zones) for candidates in allowed]
            local = [self._take_local_share(zone, demand[zone][k], weights[zone][zone]) for zone in zones]
            for zone in zones:
                usable = total_weight(self.replicas.allowed(k, zone, ready).values())
                if demand[zone][k] * self.total > SHORTAGE_RATIO * usable:
                    self.replicas.capacity_shortages.append((zone, k))
                table: Weights = {}
                split = self._zone_shares(zone, local[zone], weights[zone])
                for n, c in allowed[zone].items():
                    weight = len(live) * split.get(c.endpoint.zone, 0.0) * c.weight
                    table[n] = max(MIN_LINE_WEIGHT, weight / weights[zone][c.endpoint.zone])
                tables[zone][k] = table
        return tables

    def _capacity(self, zone: int, weight: float) -> float:
        # A hot zone spills over before its weights fall, as more clients may gather there than are known.
        load = self.relative_utilization.get(zone) or 1.0
        return min(1.0, (1 + DEAD_BAND + self.slack.get(zone, 0.0)) / load) / self.total * weight

    def _take_local_share(self, zone: int, demand: float, own_weight: float) -> float:
        """Return the part of a zone's demand that stays in the zone, and take up capacity for it."""
        if own_weight <= 0:
            return 0.0
        quota = self.quotas.get(zone, 1.0)
        capacity = self.free[zone] + self.slack.get(zone, 0.0) * own_weight / self.total
        kept = min(demand * quota, max(0.0, capacity))
        self.free[zone] -= kept
        return kept / demand if demand > 0 else quota

    def _zone_shares(self, zone: int, local: float, weights: list[float]) -> dict[int, float]:
        """Return the share of a zone's traffic that goes to each zone."""
        capacity = {
            other: max(self.free[other], weight / self.total / FULL_ZONE_DIVISOR) * quota
            for other, weight in enumerate(weights)
            if weight and other != zone and (quota := self.quotas.get(other, 1.0))
        }
        total = sum(capacity.values())
        shares = {other: max(EXPLORATION_SHARE, (1 - local) * c / total) for other, c in capacity.items()}
        return shares | {zone: local if capacity else 1.0}
