"""Deterministic subsetting: a group of proxies gets an arc of each zone's ring of replicas, in a large fleet.

Full tables took too long to send: at 200 replicas and 1,600 proxies those that joined waited for 20 s.
"""

from gradehoist.actors import SECOND
from gradehoist.fleet_state import Fleet
from gradehoist.interface import PolicyConfig
from gradehoist.messages import Weights
from gradehoist.policy.locality import EXPLORATION

MIN_GROUPS, MAX_GROUPS = 10, 48  # the design's, and that of a large fleet: short arcs name every replica
MIN_LINES = 8  # of a subset: with fewer a replica that hangs takes more requests than retries can mend
LINE_COPIES = 2  # what other governors may have withdrawn is readmitted one by one, with a line each
BIND_LINES = 2  # a bind's own, beside those of its tables
MIN_ZONE_SHARE = 2 * EXPLORATION  # of a table's weight: a zone with less is left out of a subset
NARROW, WIDE = 3, 1.5  # a width stays until the load is a third of it or half as much again: no flapping


def group_zones(config: PolicyConfig) -> list[int]:
    """Return the zone of each group of proxies."""
    zones = max(1, config.zone_count)
    groups = max(MIN_GROUPS, min(MAX_GROUPS, config.proxy_count // MIN_LINES))
    return sorted(group % zones for group in range(max(groups, zones)))


def subset_size(config: PolicyConfig, class_set_count: int) -> int:
    """Return how many lines a table may have for all proxies to be bound within a drain's grace."""
    channel = config.channel
    lines = channel.lines_per_s * config.safety.drain_grace_us / SECOND / max(1, config.proxy_count)
    table_lines = (lines - channel.message_overhead_lines - BIND_LINES) / LINE_COPIES / class_set_count
    return max(MIN_LINES, int(table_lines))


class Subsetting:
    """The rings of replicas, in an order that each governor draws for itself, or all would crowd alike."""

    def __init__(self, fleet: Fleet) -> None:
        """Create the rings; groups of a zone start at even steps from a random position."""
        self.replicas = fleet.replicas
        self.zones = fleet.proxies.zones
        self.size = subset_size(fleet.config, len(fleet.replicas.class_sets))
        self.offset = fleet.loop.random()
        self.widths = [1.0] * len(self.zones)  # of arcs, by group

    def set_widths(self, group_loads: list[float]) -> None:
        """Make arcs as wide as the groups' loads, which are multiples of the mean."""
        # One proxy with a tenth of all traffic on some twenty lines overloaded the cold ones among them.
        for group, load in enumerate(group_loads):
            if not self.widths[group] / NARROW < load < WIDE * self.widths[group]:
                self.widths[group] = max(1.0, load)

    def subset(self, table: Weights, group: int) -> Weights:
        """Return the lines of a table that a group gets; the zones' shares stay as they are."""
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
        # As wide as whole steps between their starts, and by rank, arcs name each replica alike often.
        extent = max(1, round(lines / len(ring) / step)) * step * width
        start = self.offset + group * step
        distances = sorted(((rank / len(ring) - start) % 1, n) for rank, n in enumerate(ring))
        within = sum(distance < extent for distance, _ in distances)
        return [n for _, n in distances[: max(1, int(lines * width) // 2, within)]]
