"""What changed in each cell, kept as states with the count of their last change. No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Generic, TypeVar

from gradehoist.interface import ClearTable, Order, SetAdmission, SetWeight, WithdrawReplica

Key = TypeVar("Key")


class ChangeLog(Generic[Key]):
    """Keys in the order of their last change, each with the count of that change."""

    def __init__(self) -> None:
        """Starts without changes."""
        self._counts: dict[Key, int] = {}

    def __len__(self) -> int:
        """Number of keys."""
        return len(self._counts)

    @property
    def last_count(self) -> int:
        """The count of the latest change; 0 if there is none."""
        return next(reversed(self._counts.values()), 0)

    def record(self, key: Key, count: int) -> None:
        """Notes a change of `key`, which becomes the latest one."""
        self._counts.pop(key, None)
        self._counts[key] = count

    def discard(self, key: Key) -> None:
        """Forgets a key."""
        self._counts.pop(key, None)

    def since(self, count: int) -> Iterator[Key]:
        """The keys that changed after `count`, the latest first, without a look at the older ones."""
        return (key for key, _ in takewhile(lambda item: item[1] > count, reversed(self._counts.items())))

    def drop_until(self, count: int) -> None:
        """Forgets the changes up to `count`."""
        self._counts = {key: changed for key, changed in self._counts.items() if changed > count}

    def __iter__(self) -> Iterator[Key]:
        """All keys, the earliest change first."""
        return iter(self._counts)


@dataclass(frozen=True, slots=True)
class RestoredReplica:
    """A replica that is no longer withdrawn."""

    replica: int


@dataclass(frozen=True, slots=True)
class ChangedAdmission:
    """The admission of a class in one table, or everywhere (None)."""

    table: int | None
    request_class: int


@dataclass
class CellChanges:
    """The changes of one cell.

    Attributes:
        count: number of orders so far.
        cleared: by table: the count of its last clearing.
        weights: by table and replica: the count of the weight's last change.
        latest: restorations and admission.
    """

    count: int = 0
    cleared: dict[int, int] = field(default_factory=dict)
    weights: dict[int, dict[int, int]] = field(default_factory=dict)
    latest: ChangeLog[RestoredReplica | ChangedAdmission] = field(default_factory=ChangeLog)

    def record(self, order: Order) -> None:
        """Notes an order of this cell, in the governor's indices."""
        self.count += 1
        match order:
            case SetWeight(table=table, replica=replica):
                self.weights.setdefault(table, {})[replica] = self.count
            case ClearTable(table=table):
                self._clear_table(table)
            case WithdrawReplica(replica=replica, withdrawn=True):
                self.latest.discard(RestoredReplica(replica))
            case WithdrawReplica(replica=replica, withdrawn=False):
                self.latest.record(RestoredReplica(replica), self.count)
            case SetAdmission(table=at, classes=classes):
                for request_class in classes:
                    self.latest.record(ChangedAdmission(at, request_class), self.count)

    def drop_until(self, count: int) -> None:
        """Forgets what changed up to `count`, as no proxy waits for it any more."""
        for table in list(self.weights):
            kept = {replica: changed for replica, changed in self.weights[table].items() if changed > count}
            if kept:
                self.weights[table] = kept
            else:
                del self.weights[table]
        self.latest.drop_until(count)
        self.cleared = {table: changed for table, changed in self.cleared.items() if changed > count}

    def _clear_table(self, table: int) -> None:
        self.cleared[table] = self.count
        self.weights.pop(table, None)
        for key in list(self.latest):
            if isinstance(key, ChangedAdmission) and key.table == table:
                self.latest.discard(key)
