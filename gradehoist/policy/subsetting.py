"""Deterministic subsetting: in a large fleet, a group of proxies gets an arc of each zone's ring of replicas.

With full tables, 200 replicas and 1,600 proxies, a proxy that joined waited 20 s for its table.
"""

from gradehoist.actors import SECOND
from gradehoist.fleet_state import Fleet
from gradehoist.interface import PolicyConfig
from gradehoist.messages import Weights
from gradehoist.policy.locality import EXPLORATION_SHARE

MIN_GROUPS, MAX_GROUPS = 10, 48  # The design's number; 48 groups cover all replicas even with short arcs.
MIN_SUBSET_LINES = 8  # With fewer, one replica that hangs takes more requests than retries can make up for.
LINE_COPIES = 2  # A replica that another governor may have withdrawn takes a second line for its readmission.
BIND_LINES = 2  # Lines of a bind itself, besides those of its tables.
MIN_ZONE_SHARE = 2 * EXPLORATION_SHARE  # A zone with less of a table's weight is left out of a subset.
SHRINK_RATIO, GROW_RATIO = 3, 1.5  # Hysteresis: a smaller change of a group's load does not change its arc.


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
    """Rings of replicas; each governor orders them at random, or all would prefer the same replicas."""

    def __init__(self, fleet: Fleet) -> None:
        """Create the rings; groups of a zone start at even steps from a random position."""
        self.replicas = fleet.replicas
        self.zones = fleet.proxies.zones
        self.size = subset_size(fleet.config, len(fleet.replicas.class_sets))
        self.offset = fleet.loop.random()
        self.widths = [1.0] * len(self.zones)  # arc width by group

    def set_widths(self, group_loads: list[float]) -> None:
        """Set the width of each group's arc to its load, as a multiple of the mean."""
        # A proxy with a tenth of all traffic overloaded the cold replicas among the twenty in its subset.
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
            zone_weight = sum(table[n] for n in ring)
            if zone_weight > MIN_ZONE_SHARE * total:
                lines = min(len(ring), max(1, round(self.size * zone_weight / total)))
                arc = self._arc(ring, lines, group)
                arc_weight = sum(table[n] for n in arc)
                subset |= {n: table[n] * zone_weight / arc_weight for n in arc}
        return subset

    def _arc(self, ring: list[int], lines: int, group: int) -> list[int]:
        step = 1 / self.zones.count(self.zones[group])
        width = self.widths[group]
        # By rank, and as wide as whole steps between their starts, arcs cover all replicas equally often.
        extent = max(1, round(lines / len(ring) / step)) * step * width
        start = self.offset + group * step
        distances = sorted(((rank / len(ring) - start) % 1, n) for rank, n in enumerate(ring))
        covered = sum(distance < extent for distance, _ in distances)
        return [n for _, n in distances[: max(1, int(lines * width) // 2, covered)]]
