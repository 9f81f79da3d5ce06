"""Zone weights: traffic stays in its zone while the zone's replicas carry it, the rest goes to others."""

from gradehoist.fleet_state import Candidates, ReplicaTable, total_weight, weight_by_zone
from gradehoist.messages import Tables, Weights
from gradehoist.policy.replica import DEAD_BAND

MAX_SLACK = 0.3  # how far an idle zone may run off the average before its traffic crosses
WARM_STRESS = 0.8  # stress from which a zone has none of that slack, shrinking up to there
EXPLORATION = 0.01  # part of a zone's traffic each other zone gets anyway, so that its reports keep coming
FULL_ZONE = 50  # divisor of the weight that counts for a zone without capacity where traffic leaves another
SCARCITY = 2  # times a class' weight: with more demand, the first replica back would get all of it
MIN_LINE = 1e-4  # weight of a line: 0 would remove it


class Locality:
    """Divides the traffic of each zone, and of each set of classes, among the zones' replicas."""

    def __init__(self, replicas: ReplicaTable) -> None:
        """Create a layer without observations."""
        self.replicas = replicas
        self.heat = dict[int, float]()  # mean utilization of a zone, as a multiple of the average
        self.slack = dict[int, float]()  # by zone
        self.quotas = dict[int, float]()  # agreed by the fleet, by zone

    def set_stress(self, zone: int, stress: float) -> None:
        """Take the stress of a zone, which bounds its slack."""
        self.slack[zone] = max(0.0, min(MAX_SLACK, WARM_STRESS - stress))

    def target(self, zone: int, utilization: float, average: float) -> float:
        """Return the utilization that a zone's replicas should have: theirs, but within the slack."""
        self.heat[zone] = utilization / average
        slack = average * self.slack.get(zone, 0.0)
        return max(average - slack, min(average + slack, utilization))

    def plan(self, ready: Candidates, live: Candidates, demand: list[list[float]]) -> list[Tables]:
        """Return the tables of each zone's proxies; `demand` are shares by zone and class set."""
        zones = range(self.replicas.zone_count)
        self.total = total_weight(live.values()) or 1.0
        self.free = [self._free_share(z, weight) for z, weight in enumerate(weight_by_zone(live, zones))]
        self.replicas.scarce = []
        tables: list[Tables] = [{} for _ in zones]
        for k in range(len(self.replicas.class_sets)):
            allowed = [self.replicas.allowed(k, zone, live) for zone in zones]
            weights = [weight_by_zone(candidates, zones) for candidates in allowed]
            kept = [self._keep(zone, demand[zone][k], weights[zone][zone]) for zone in zones]
            for zone in zones:
                usable = total_weight(self.replicas.allowed(k, zone, ready).values())
                if demand[zone][k] * self.total > SCARCITY * usable:
                    self.replicas.scarce.append((zone, k))
                table: Weights = {}
                split = self._split(zone, kept[zone], weights[zone])
                for n, c in allowed[zone].items():
                    weight = len(live) * split.get(c.endpoint.zone, 0.0) * c.weight
                    table[n] = max(MIN_LINE, weight / weights[zone][c.endpoint.zone])
                tables[zone][k] = table
        return tables

    def _free_share(self, zone: int, weight: float) -> float:
        # A hot zone spills at once, before its weights have fallen: clients may gather where few were known.
        heat = self.heat.get(zone) or 1.0
        return min(1.0, (1 + DEAD_BAND + self.slack.get(zone, 0.0)) / heat) / self.total * weight

    def _keep(self, zone: int, demand: float, own_weight: float) -> float:
        """Return the part of a zone's demand that stays in it, and count it as used."""
        if own_weight <= 0:
            return 0.0
        quota = self.quotas.get(zone, 1.0)
        room = self.free[zone] + self.slack.get(zone, 0.0) * own_weight / self.total
        kept = min(demand * quota, max(0.0, room))
        self.free[zone] -= kept
        return kept / demand if demand > 0 else quota

    def _split(self, zone: int, kept: float, weights: list[float]) -> dict[int, float]:
        """Return the parts of a zone's traffic by the zone that they go to."""
        capacity = {
            other: max(self.free[other], weight / self.total / FULL_ZONE) * quota
            for other, weight in enumerate(weights)
            if weight and other != zone and (quota := self.quotas.get(other, 1.0))
        }
        total = sum(capacity.values())
        split = {other: max(EXPLORATION, (1 - kept) * part / total) for other, part in capacity.items()}
        return split | {zone: kept if capacity else 1.0}
