"""Weight tables as they were last sent to a group of proxies."""

from __future__ import annotations

from collections.abc import Iterator, Sequence, Set
from dataclasses import dataclass
from statistics import fmean

from gradehoist.messages import Tables, Weights


@dataclass(frozen=True, slots=True)
class LineChange:
    """A new weight of a replica in the table of a set of classes; 0 removes the line."""

    class_set: int
    replica: int
    weight: float


class SentTables:
    """The lines that the proxies of a group hold."""

    def __init__(self, class_set_count: int) -> None:
        """Create empty tables, one for each set of classes."""
        self.tables: Tables = {class_set: {} for class_set in range(class_set_count)}

    def apply(self, changes: Sequence[LineChange]) -> int:
        """Apply changes that are written; return how many are lines of replicas new to their table."""
        new_lines = sum(change.replica not in self.tables[change.class_set] for change in changes)
        for change in changes:
            table = self.tables[change.class_set]
            table[change.replica] = change.weight
            if not change.weight:
                del table[change.replica]
        return new_lines

    def changes(self, planned: Tables, retained: Set[int], min_change: float) -> Iterator[LineChange]:
        """Yield the lines that come, leave, or move by more than `min_change` of their weight or of the mean.

        Those of `retained` replicas stay. By their own weight alone, moves of light lines, which hardly move
        traffic, were a third of the orders.
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
        """Yield the lines of one replica as they should be, moved or not."""
        for class_set, weights in planned.items():
            sent = self.tables[class_set]
            if replica in weights or replica in sent:
                others = [n for n in weights if n != replica and weights[n] * sent.get(n, 0)]
                new = weights.get(replica, 0.0) * _scale(sent, weights, others)
                yield LineChange(class_set, replica, new)

    def bind_lines(self, extra_lines: int, lifts_withdrawals: bool) -> int:
        """Return how many lines a bind to all tables writes, with `extra_lines` for each of them."""
        repeats = 2 if lifts_withdrawals else 1
        return sum(1 + extra_lines + repeats * len(table) for table in self.tables.values())

    def replicas(self) -> list[frozenset[int]]:
        """Return the replicas that each table names."""
        return [frozenset(table) for table in self.tables.values()]


def _scale(sent: Weights, planned: Weights, common: Sequence[int]) -> float:
    # Tables hold ratios: a line that leaves must not count as a move of all the others.
    return sum(sent[n] for n in common) / sum(planned[n] for n in common) if common else 1.0
