"""Deterministic subsetting: in a large fleet, a group of proxies gets an arc of each zone's ring of replicas.

In a fleet of 200 replicas and 1,600 proxies, proxies that joined waited 20 s for their tables, as full tables
took too long to send.
"""

from gradehoist.actors import SECOND
from gradehoist.fleet_state import Fleet
from gradehoist.interface import PolicyConfig
from gradehoist.messages import Weights
from gradehoist.policy.locality import EXPLORATION_SHARE

# The design sets the lowest number of groups. In a large fleet, 48 groups cover all replicas, although their
# arcs are short.
MIN_GROUPS, MAX_GROUPS = 10, 48

# With fewer lines in a subset, one replica that hangs gets more requests than retries can make up for.
MIN_SUBSET_LINES = 8

# A line may be written twice: a replica that another governor may have withdrawn is readmitted with a line of
# its own.
LINE_COPIES = 2

# Lines that a bind writes in addition to those of its tables.
BIND_LINES = 2

# A zone with a smaller share of a table's weight is left out of a subset.
MIN_ZONE_SHARE = 2 * EXPLORATION_SHARE

# The width of a group's arc stays unchanged until the load of the group has shrunk to a third of it or grown
# by half. This hysteresis keeps the arc from changing back and forth.
SHRINK_RATIO, GROW_RATIO = 3, 1.5


def group_zones(config: PolicyConfig) -> list[int]:
    """Return the zone of each group of proxies."""
    zones = max(1, config.zone_count)
    groups = max(MIN_GROUPS, min(MAX_GROUPS, config.proxy_count // MIN_SUBSET_LINES))
    return sorted(group % zones for group in range(max(groups, zones)))


def subset_size(config: PolicyConfig, class_set_count: int) -> int:
    """Return how many lines a table may have for all proxies to be bound within a drain's grace."""
    channel = config.channel
    lines = channel.lines_per_s * config.safety.drain_grace_us / SECOND / max(1, config.proxy_count)
    table_lines = (lines - channel.message_overhead_lines - BIND_LINES) / LINE_COPIES / class_set_count
    return max(MIN_SUBSET_LINES, int(table_lines))


class Subsetting:
    """Chooses the subset of a table that each group of proxies gets, from rings of replicas.

    Each governor orders the replicas of its rings at random, as all governors would load the same replicas
    otherwise.
    """

    def __init__(self, fleet: Fleet) -> None:
        """Create the rings; groups of a zone start at even steps from a random position."""
        self.replicas = fleet.replicas
        self.zones = fleet.proxies.zones
        self.size = subset_size(fleet.config, len(fleet.replicas.class_sets))
        self.offset = fleet.loop.random()
        # Width of each group's arc, as a multiple of the usual one.
        self.widths = [1.0] * len(self.zones)

    def set_widths(self, group_loads: list[float]) -> None:
        """Set the width of each group's arc to its load, as a multiple of the mean.

        With arcs of equal width, a proxy with a tenth of all traffic overloaded the cold replicas among the
        twenty or so in its subset.
        """
        for group, load in enumerate(group_loads):
            if not self.widths[group] / SHRINK_RATIO < load < GROW_RATIO * self.widths[group]:
                self.widths[group] = max(1.0, load)

    def subset(self, table: Weights, group: int) -> Weights:
        """Return the lines of a table that a group gets; each zone keeps its share of the weight."""
        if len(table) <= self.size:
            return table
        total = sum(table.values())
        subset: Weights = {}
        for zone in range(self.replicas.zone_count):
            ring = self.replicas.ring(zone, table)
            zone_weight = sum(table[replica] for replica in ring)
            if zone_weight > MIN_ZONE_SHARE * total:
                lines = min(len(ring), max(1, round(self.size * zone_weight / total)))
                arc = self._arc(ring, lines, group)
                arc_weight = sum(table[replica] for replica in arc)
                subset |= {replica: table[replica] * zone_weight / arc_weight for replica in arc}
        return subset

    def _arc(self, ring: list[int], lines: int, group: int) -> list[int]:
        """Return the replicas of a ring that are in a group's arc: about `lines`, times the arc's width."""
        step = 1 / self.zones.count(self.zones[group])
        width = self.widths[group]
        # Positions are ranks in the ring, and an arc is as wide as a whole number of steps between the starts
        # of arcs. This way, arcs cover all replicas equally often.
        extent = max(1, round(lines / len(ring) / step)) * step * width
        start = self.offset + group * step
        distances = sorted(((rank / len(ring) - start) % 1, replica) for rank, replica in enumerate(ring))
        covered = sum(distance < extent for distance, _ in distances)
        return [replica for _, replica in distances[: max(1, int(lines * width) // 2, covered)]]
