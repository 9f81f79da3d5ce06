"""The weight tables as they were last sent to a group of proxies."""

from __future__ import annotations

from collections.abc import Iterator, Sequence, Set
from dataclasses import dataclass
from statistics import fmean

from gradehoist.messages import Tables, Weights


@dataclass(frozen=True, slots=True)
class LineChange:
    """A new weight of a replica in the table of a class set; 0 removes the line."""

    class_set: int
    replica: int
    weight: float


class SentTables:
    """The lines that the proxies of a group hold."""

    def __init__(self, class_set_count: int) -> None:
        """Create empty tables, one for each class set."""
        self.tables: Tables = {class_set: {} for class_set in range(class_set_count)}

    def apply(self, changes: Sequence[LineChange]) -> int:
        """Record changes that are written; return how many add a replica to a table."""
        new_lines = sum(change.replica not in self.tables[change.class_set] for change in changes)
        for change in changes:
            table = self.tables[change.class_set]
            table[change.replica] = change.weight
            if not change.weight:
                del table[change.replica]
        return new_lines

    def changes(self, planned: Tables, retained: Set[int], min_change: float) -> Iterator[LineChange]:
        """Yield the lines that are added or removed, and those whose weight changes by enough.

        A change has to exceed `min_change`, relative to the larger of the line's weight and the mean weight:
        relative to the line's weight alone, changes of light lines, which hardly move traffic, made up a
        third of all orders. Lines of `retained` replicas are not removed.
        """
        for class_set, weights in planned.items():
            sent = self.tables[class_set]
            common = [n for n in weights if weights[n] * sent.get(n, 0)]
            scale = _scale(sent, weights, common)
            mean = fmean(sent[n] for n in common) if common else 0.0
            for n in sorted(weights.keys() | (sent.keys() - retained)):
                old = sent.get(n, 0.0)
                new = weights.get(n, 0.0) * scale
                if abs(new - old) > min_change * max(old, mean) or (old > 0) != (new > 0):
                    yield LineChange(class_set, n, new)

    def replica_lines(self, planned: Tables, replica: int) -> Iterator[LineChange]:
        """Yield the planned lines of one replica, changed or not."""
        for class_set, weights in planned.items():
            sent = self.tables[class_set]
            if replica in weights or replica in sent:
                others = [n for n in weights if n != replica and weights[n] * sent.get(n, 0)]
                new = weights.get(replica, 0.0) * _scale(sent, weights, others)
                yield LineChange(class_set, replica, new)

    def bind_lines(self, extra_lines: int, lifts_withdrawals: bool) -> int:
        """Return how many lines a bind to all tables writes, with `extra_lines` for each table.

        `lifts_withdrawals`: a withdrawal is lifted for each replica, which doubles its lines.
        """
        repeats = 2 if lifts_withdrawals else 1
        return sum(1 + extra_lines + repeats * len(table) for table in self.tables.values())

    def replicas(self) -> list[frozenset[int]]:
        """Return the replicas that have a line, for each table."""
        return [frozenset(table) for table in self.tables.values()]


def _scale(sent: Weights, planned: Weights, common: Sequence[int]) -> float:
    # Only ratios of weights matter, so the removal of a line must not count as a change of all the others.
    return sum(sent[n] for n in common) / sum(planned[n] for n in common) if common else 1.0
