"""Groups of proxies that share tables: their members, pending binds, and the replicas in their tables."""

import heapq
from collections.abc import Sequence, Set
from dataclasses import dataclass

from gradehoist.actors import Actor, MessageLoop
from gradehoist.fleet_state.table_writer import TableWriter
from gradehoist.flow_control import FlowControl
from gradehoist.interface import ProxyLeft
from gradehoist.messages import BindToGroup, ProxyAssigned, TablesWritten


@dataclass(frozen=True, slots=True)
class PendingBind:
    """The next bind; `lines` is the total that it writes to the proxy."""

    group: int
    message: BindToGroup
    lines: float


class ProxyGroups(Actor):
    """Registry of the proxies by group; the caller decides when a proxy is bound."""

    def __init__(self, loop: MessageLoop, flow: FlowControl, groups: Sequence[TableWriter]) -> None:
        """Create the registry of `groups`, which have no members yet."""
        super().__init__(loop)
        self._flow = flow
        self._groups = groups
        self.zones = [group.zone for group in groups]
        zones = self.zones
        self.sizes = [0] * len(zones)
        self.group_by_proxy: dict[int, int] = {}
        # Proxies that wait to be bound: a heap of (time slot, -request rate, proxy).
        self.pending_binds: list[tuple[int, float, int]] = []
        # The bound members of each group, in the order of binding.
        self.bound: list[dict[int, None]] = [{} for _ in zones]
        # The replicas that have lines, by group and then by table.
        self.replicas: list[list[frozenset[int]]] = [[] for _ in zones]
        # Whether the tables of each group differ from the plan.
        self.is_outdated = [False] * len(zones)

    def smallest_group(self, zone: int) -> int:
        """Return the group of a zone with the fewest members, or group 0 if the zone has no group."""
        candidates = [group for group, other in enumerate(self.zones) if other == zone] or [0]
        return min(candidates, key=lambda group: (self.sizes[group], group))

    def add_proxy(self, proxy: int, group: int, slot: int, rate: float) -> None:
        """Add a proxy, to be bound after those of earlier time slots, and in its slot after higher rates."""
        self.group_by_proxy[proxy] = group
        self.sizes[group] += 1
        heapq.heappush(self.pending_binds, (slot, -rate, proxy))
        self.loop.publish(ProxyAssigned(proxy, group))

    def _on_proxy_left(self, left: ProxyLeft) -> None:
        group = self.group_by_proxy.pop(left.proxy)
        self.loop.send(self._groups[group], left)
        self.sizes[group] -= 1
        if left.proxy in self.bound[group]:
            del self.bound[group][left.proxy]
        else:
            # Only a proxy with a pending bind needs this. When it was done for each of a thousand proxies
            # that left, all pending binds were sorted each time.
            self.pending_binds = sorted(bind for bind in self.pending_binds if bind[2] != left.proxy)

    def _on_tables_written(self, written: TablesWritten) -> None:
        self.is_outdated[written.group] = written.is_outdated
        self.replicas[written.group] = written.replicas

    def next_bind(self, withdrawn: Set[int]) -> PendingBind:
        """Return the next bind and its cost, by the current tables.

        Each table of the bind takes one more line for each `withdrawn` replica in the group's tables.
        """
        proxy = self.pending_binds[0][2]
        group = self.group_by_proxy[proxy]
        tables = self.replicas[group]
        listed = frozenset[int]().union(*tables)
        extra_lines = self._flow.admission_lines + len(withdrawn & listed)
        lifts_withdrawals = self._flow.may_hold_withdrawals(proxy)
        lines = self._flow.overhead_lines + len(self._groups[group].class_sets) * (1 + extra_lines)
        lines += sum(map(len, tables)) * (2 if lifts_withdrawals else 1)
        return PendingBind(group, BindToGroup(proxy, extra_lines, lifts_withdrawals), lines)

    def bind_next(self, bind: PendingBind) -> None:
        """Write the next bind, which `next_bind` has returned."""
        heapq.heappop(self.pending_binds)
        self.bound[bind.group][bind.message.proxy] = None
        self._flow.reserved_lines += bind.lines
        self.loop.send(self._groups[bind.group], bind.message)

    def holders(self, replica: int) -> list[int]:
        """Return the bound proxies that have a line for a replica."""
        return [
            proxy
            for tables, members in zip(self.replicas, self.bound, strict=True)
            if any(replica in table for table in tables)
            for proxy in members
        ]

    def open_share(self, group: int, withdrawn: Set[int]) -> float:
        """Return the share of a group's lines that is not withdrawn, in the table where it is smallest."""
        return min((1 + len(table - withdrawn)) / (1 + len(table)) for table in self.replicas[group])

    def mean_holders(self) -> float:
        """Return how many bound proxies have a line for a replica on average, by their first tables."""
        lines = sum(
            len(members) * len(self.replicas[group][0]) for group, members in enumerate(self.bound) if members
        )
        listed = frozenset[int]().union(*(tables[0] for tables in self.replicas if tables))
        return lines / max(1, len(listed))

    def send(self, group: int, message: object) -> None:
        """Send a message to the actor of a group."""
        self.loop.send(self._groups[group], message)
