"""Records the version at which each weight, restoration and admission of a cell last changed.

The version of a cell is the number of orders that it has had so far. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import Generic, TypeVar

from gradehoist.interface import ClearTable, Order, SetAdmission, SetWeight, WithdrawReplica

Key = TypeVar("Key")


class ChangeLog(Generic[Key]):
    """Keys in the order of their last change, each with the version of that change."""

    def __init__(self) -> None:
        """Creates an empty log."""
        self._versions: dict[Key, int] = {}

    def __len__(self) -> int:
        """Returns the number of keys."""
        return len(self._versions)

    @property
    def last_version(self) -> int:
        """The version of the latest change; 0 if there is none."""
        return next(reversed(self._versions.values()), 0)

    def record(self, key: Key, version: int) -> None:
        """Records a change of `key`, which becomes the latest change."""
        self._versions.pop(key, None)
        self._versions[key] = version

    def discard(self, key: Key) -> None:
        """Removes a key; a key that is not present is ignored."""
        self._versions.pop(key, None)

    def since(self, version: int) -> Iterator[Key]:
        """Yields the keys that changed after `version`, the latest first, without visiting older keys."""
        return (key for key, _ in takewhile(lambda item: item[1] > version, reversed(self._versions.items())))

    def drop_until(self, version: int) -> None:
        """Removes the keys whose last change is not later than `version`."""
        self._versions = {key: changed for key, changed in self._versions.items() if changed > version}

    def __iter__(self) -> Iterator[Key]:
        """Iterates over all keys, the earliest change first."""
        return iter(self._versions)


@dataclass(frozen=True, slots=True)
class RestoredReplica:
    """Key of a replica whose withdrawal was revoked."""

    replica: int


@dataclass(frozen=True, slots=True)
class ChangedAdmission:
    """Key of the admission of a class in one table, or in all tables (None)."""

    table: int | None
    request_class: int


@dataclass
class CellChanges:
    """The changes of one cell.

    Attributes:
        version: number of orders so far.
        cleared: the version at which each table was last cleared.
        weights: the version at which each weight last changed, by table and replica.
        latest: the restorations and admissions, by their last change.
    """

    version: int = 0
    cleared: dict[int, int] = field(default_factory=dict)
    weights: dict[int, dict[int, int]] = field(default_factory=dict)
    latest: ChangeLog[RestoredReplica | ChangedAdmission] = field(default_factory=ChangeLog)

    def record(self, order: Order) -> None:
        """Records an order of this cell, which uses the governor's indices."""
        self.version += 1
        match order:
            case SetWeight(table=table, replica=replica):
                self.weights.setdefault(table, {})[replica] = self.version
            case ClearTable(table=table):
                self._clear_table(table)
            case WithdrawReplica(replica=replica, withdrawn=True):
                self.latest.discard(RestoredReplica(replica))
            case WithdrawReplica(replica=replica, withdrawn=False):
                self.latest.record(RestoredReplica(replica), self.version)
            case SetAdmission(table=at, classes=classes):
                for request_class in classes:
                    self.latest.record(ChangedAdmission(at, request_class), self.version)

    def drop_until(self, version: int) -> None:
        """Removes the changes up to `version`; the caller makes sure that no proxy is waiting for them."""
        for table in list(self.weights):
            kept = {replica: changed for replica, changed in self.weights[table].items() if changed > version}
            if kept:
                self.weights[table] = kept
            else:
                del self.weights[table]
        self.latest.drop_until(version)
        self.cleared = {table: changed for table, changed in self.cleared.items() if changed > version}

    def _clear_table(self, table: int) -> None:
        self.cleared[table] = self.version
        self.weights.pop(table, None)
        for key in list(self.latest):
            if isinstance(key, ChangedAdmission) and key.table == table:
                self.latest.discard(key)
