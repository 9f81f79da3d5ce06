"""Parts of a governor: one decision module for each cell, or one for all. Indices here are the module's own;
the governor's tables and classes are the parts' laid end to end. Free of I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from gradehoist import interface as i

Batch = tuple[int, list[i.Event]]  # a part and what it is to be told
Reply = tuple[int, list[i.Order], dict[int, str]]  # a part, its orders, and why, by an order's place
STRIDE = 4_096  # table numbers for each part: a module lays a few for each of its groups


@dataclass
class Part:
    """`classes`: how many there are in a part; `workers`: those of its cell, None: every one."""

    number: int
    cell: str
    classes: int
    workers: Collection[str] | None = None
    events: list[i.Event] = field(default_factory=list)

    def mine(self, worker: str) -> bool:
        return self.workers is None or worker in self.workers

    def cls(self, local: int) -> int:
        return self.number * self.classes + local

    def table(self, local: int) -> int:
        return self.number * STRIDE + local

    def order(self, order: i.Order) -> i.Order:
        """The order in the governor's indices."""
        match order:
            case i.SetLine(table, _, _) | i.ClearTable(table):
                return replace(order, table=self.table(table))
            case i.Bind(_, table, classes):
                return replace(order, table=self.table(table), classes=self._chosen(classes))
            case i.Admit(at, classes, _, _):
                return replace(
                    order, table=None if at is None else self.table(at), classes=self._chosen(classes)
                )
        return order

    def _chosen(self, classes: tuple[int, ...]) -> tuple[int, ...]:
        return tuple(self.cls(k) for k in classes or range(self.classes))
