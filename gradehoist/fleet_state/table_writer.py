"""Writing of one group's tables: their numbers, and the number of lines that changes and binds write."""

from collections.abc import Iterator, Sequence

from gradehoist.actors import Actor, MessageLoop
from gradehoist.fleet_state.weight_tables import LineChange, SentTables
from gradehoist.interface import BindProxy, ProxyLeft, SetWeight
from gradehoist.messages import BindToGroup, Tables, TablesWritten, WriteOrders, WriteReplica


class TableWriter(Actor):
    """A group of proxies of one zone that share their tables; a subclass decides what is written."""

    receives_published = False

    def __init__(
        self, loop: MessageLoop, index: int, zone: int, class_sets: Sequence[tuple[int, ...]]
    ) -> None:
        """Create a group without proxies and with empty tables."""
        super().__init__(loop)
        self.index = index
        self.zone = zone
        self.class_sets = class_sets
        self.members: dict[int, None] = {}  # bound proxies, in the order of binding
        self.sent = SentTables(len(class_sets))
        self.planned: Tables = {}
        self.withdrawn: set[int] = set()

    def write(self, changes: Sequence[LineChange]) -> None:
        """Write line changes to all members."""
        new_lines = self.sent.apply(changes)
        if changes:
            orders = [SetWeight(self._table_number(c.class_set), c.replica, c.weight) for c in changes]
            self.loop.publish(WriteOrders(orders, list(self.members), len(orders), new_lines))
        is_outdated = bool(self.members) and any(self.changes())
        self.loop.publish(TablesWritten(self.index, is_outdated, self.sent.replicas()))

    def changes(self, periods: int = 1) -> Iterator[LineChange]:
        """Yield the planned changes that are worth a line, after the group has waited for `periods`."""
        raise NotImplementedError

    def _table_number(self, class_set: int) -> int:
        return self.index * len(self.class_sets) + class_set

    def _on_write_replica(self, order: WriteReplica) -> None:
        self.write(list(self.sent.replica_lines(self.planned, order.replica)))

    def _on_bind_to_group(self, bind: BindToGroup) -> None:
        self.members[bind.proxy] = None
        orders = [
            BindProxy(bind.proxy, self._table_number(k), classes) for k, classes in enumerate(self.class_sets)
        ]
        lines = self.sent.bind_lines(bind.extra_lines, bind.lifts_withdrawals)
        self.loop.publish(WriteOrders(orders, [bind.proxy], lines))

    def _on_proxy_left(self, left: ProxyLeft) -> None:
        self.members.pop(left.proxy, None)
