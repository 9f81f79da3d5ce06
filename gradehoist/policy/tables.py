"""Tables of a group of proxies: which of their planned changes are written."""

from collections.abc import Iterator
from itertools import islice

from gradehoist.fleet_state import LineChange, TableWriter
from gradehoist.messages import TablesPlanned, WriteTurn

MIN_MOVE = 0.05  # the design's threshold for sending a line


class Group(TableWriter):
    """Some proxies of one zone, which share a table for each set of classes."""

    def changes(self, periods: int = 1) -> Iterator[LineChange]:
        """Yield the planned changes that are worth a line; fewer are for a group that waited for longer."""
        return self.sent.changes(self.planned, self.withdrawn, periods * MIN_MOVE)

    def _on_tables_planned(self, plan: TablesPlanned) -> None:
        self.planned = plan.tables
        self.withdrawn = plan.withdrawn
        self.write([] if self.members else list(self.changes()))  # unused, lines cost nothing and stand ready

    def _on_write_turn(self, turn: WriteTurn) -> None:
        most = int(turn.capacity / max(1, len(self.members)))
        self.write(list(islice(self.changes(turn.periods), most)))
