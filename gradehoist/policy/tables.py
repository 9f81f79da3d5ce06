"""Tables of a group of proxies: which of the planned changes are written."""

from collections.abc import Iterator
from itertools import islice

from gradehoist.fleet_state import LineChange, TableWriter
from gradehoist.messages import TablesPlanned, WriteTurn

# A line is written if its weight changes by more than this share, which the design sets.
MIN_WEIGHT_CHANGE = 0.05


class ProxyGroup(TableWriter):
    """Some proxies of one zone, which share a table for each set of classes."""

    def changes(self, periods: int = 1) -> Iterator[LineChange]:
        """Yield the planned changes that are worth a line; the threshold rises with the periods waited."""
        return self.sent.changes(self.planned, self.withdrawn, periods * MIN_WEIGHT_CHANGE)

    def lacks_usable_lines(self) -> bool:
        """Return whether a table has none of its planned replicas, so that its requests are rejected."""
        return any(
            weights and not weights.keys() & self.sent.tables[class_set].keys()
            for class_set, weights in self.planned.items()
        )

    def _on_tables_planned(self, plan: TablesPlanned) -> None:
        self.planned = plan.tables
        self.withdrawn = plan.withdrawn
        # In a group without members, lines cost nothing. Changes are then recorded at once, so that the
        # tables are up to date when the first proxy is bound.
        self.write([] if self.members else list(self.changes()))

    def _on_write_turn(self, turn: WriteTurn) -> None:
        max_changes = int(turn.capacity / max(1, len(self.members)))
        self.write(list(islice(self.changes(turn.periods), max_changes)))
