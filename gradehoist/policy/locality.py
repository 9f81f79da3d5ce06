"""Zone weights: traffic stays in its zone while the replicas there have capacity, the rest goes elsewhere."""

from gradehoist.fleet_state import Candidates, ReplicaTable, total_weight, weight_by_zone
from gradehoist.messages import Tables, Weights
from gradehoist.policy.replica import DEAD_BAND

# The utilization of an idle zone may differ from the average by this share of the average before traffic is
# moved to other zones.
MAX_SLACK = 0.3

# The slack of a zone shrinks as its saturation rises, and is 0 from this saturation on.
NO_SLACK_SATURATION = 0.8

# Each other zone gets at least this share of a zone's traffic, so that load reports from there keep coming.
EXPLORATION_SHARE = 0.01

# When traffic that leaves a zone is divided among the other zones, a zone without free capacity counts with
# its weight divided by this.
FULL_ZONE_DIVISOR = 50

# The lowest weight of a line, as a weight of 0 would remove it.
MIN_LINE_WEIGHT = 1e-4


class LocalityBalancer:
    """Divides the traffic of each zone, and of each set of classes, among the replicas of all zones."""

    def __init__(self, replicas: ReplicaTable) -> None:
        """Create a balancer without observations."""
        self.replicas = replicas
        # Mean utilization of each zone's replicas, as a multiple of the average.
        self.relative_utilization = dict[int, float]()
        self.slack = dict[int, float]()  # by zone
        # Share of the traffic for each zone that may still go there, as the governors have agreed.
        self.quotas = dict[int, float]()

    def set_saturation(self, zone: int, saturation: float) -> None:
        """Set the saturation of a zone, which limits its slack."""
        self.slack[zone] = max(0.0, min(MAX_SLACK, NO_SLACK_SATURATION - saturation))

    def target_utilization(self, zone: int, utilization: float, average: float) -> float:
        """Return the target for the replicas of a zone: its utilization, within its slack of the average."""
        self.relative_utilization[zone] = utilization / average
        slack = average * self.slack.get(zone, 0.0)
        return max(average - slack, min(average + slack, utilization))

    def plan(self, live: Candidates, demand: list[list[float]]) -> list[Tables]:
        """Return the tables for the proxies of each zone; `demand` has shares by zone and class set."""
        zones = range(self.replicas.zone_count)
        self.total_weight = total_weight(live.values()) or 1.0
        self.free_capacity = [
            self._zone_capacity(zone, weight) for zone, weight in enumerate(weight_by_zone(live, zones))
        ]
        tables: list[Tables] = [{} for _ in zones]
        for class_set in range(len(self.replicas.class_sets)):
            allowed = [self.replicas.allowed(class_set, zone, live) for zone in zones]
            weights = [weight_by_zone(candidates, zones) for candidates in allowed]
            local = [
                self._take_local_share(zone, demand[zone][class_set], weights[zone][zone]) for zone in zones
            ]
            for zone in zones:
                table: Weights = {}
                split = self._zone_shares(zone, local[zone], weights[zone])
                for replica, candidate in allowed[zone].items():
                    weight = len(live) * split.get(candidate.endpoint.zone, 0.0) * candidate.weight
                    table[replica] = max(MIN_LINE_WEIGHT, weight / weights[zone][candidate.endpoint.zone])
                tables[zone][class_set] = table
        return tables

    def predict_loads(
        self, live: Candidates, demand: list[list[float]], rates: list[list[float]]
    ) -> dict[int, float]:
        """Return the requests per second that the tables for these replicas would send to each of them.

        The tables are planned for `demand`, and `rates` are requests per second; both are by zone and class
        set.
        """
        loads = dict.fromkeys(live, 0.0)
        for zone, tables in enumerate(self.plan(live, demand)):
            for class_set, table in tables.items():
                total = sum(table.values())
                for replica, weight in table.items():
                    loads[replica] += rates[zone][class_set] * weight / total
        return loads

    def _zone_capacity(self, zone: int, weight: float) -> float:
        """Return the share of all demand that the replicas of a zone can take."""
        # A hot zone spills over at once, before its weights have fallen: more clients may have gathered there
        # than this governor knew of.
        load = self.relative_utilization.get(zone) or 1.0
        return min(1.0, (1 + DEAD_BAND + self.slack.get(zone, 0.0)) / load) / self.total_weight * weight

    def _take_local_share(self, zone: int, demand: float, own_weight: float) -> float:
        """Return the part of a zone's demand that stays in the zone, and take up capacity for it."""
        if own_weight <= 0:
            return 0.0
        quota = self.quotas.get(zone, 1.0)
        capacity = self.free_capacity[zone] + self.slack.get(zone, 0.0) * own_weight / self.total_weight
        kept = min(demand * quota, max(0.0, capacity))
        self.free_capacity[zone] -= kept
        return kept / demand if demand > 0 else quota

    def _zone_shares(self, zone: int, local: float, weights: list[float]) -> dict[int, float]:
        """Return the share of a zone's traffic that goes to each zone."""
        capacity = {
            other: max(self.free_capacity[other], weight / self.total_weight / FULL_ZONE_DIVISOR) * quota
            for other, weight in enumerate(weights)
            if weight and other != zone and (quota := self.quotas.get(other, 1.0))
        }
        total = sum(capacity.values())
        shares = {
            other: max(EXPLORATION_SHARE, (1 - local) * free / total) for other, free in capacity.items()
        }
        return shares | {zone: local if capacity else 1.0}
