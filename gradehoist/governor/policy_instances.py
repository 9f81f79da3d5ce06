"""Parts of a governor: one decision module for each cell, or one for all. Indices here are the module's own;
the governor's tables and classes are the parts' laid end to end. Free of I/O."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field, replace

from gradehoist import interface as i

Batch = tuple[int, list[i.Event]]  # a part and what it is to be told
Reply = tuple[int, list[i.Order], dict[int, str]]  # a part, its orders, and why, by an order's place
TABLES_PER_POLICY = 4_096  # table numbers for each part: a module lays a few for each of its groups


@dataclass
class PolicyInstance:
    """`classes`: how many there are in a part; `workers`: those of its cell, None: every one."""

    number: int
    cell: str
    class_count: int
    replicas: Collection[str] | None = None
    events: list[i.Event] = field(default_factory=list)

    def owns_replica(self, worker: str) -> bool:
        return self.replicas is None or worker in self.replicas

    def global_class(self, local: int) -> int:
        return self.number * self.class_count + local

    def global_table(self, local: int) -> int:
        return self.number * TABLES_PER_POLICY + local

    def to_global(self, order: i.Order) -> i.Order:
        """The order in the governor's indices."""
        match order:
            case i.SetWeight(table, _, _) | i.ClearTable(table):
                return replace(order, table=self.global_table(table))
            case i.BindProxy(_, table, classes):
                return replace(order, table=self.global_table(table), classes=self._chosen(classes))
            case i.SetAdmission(at, classes, _, _):
                return replace(
                    order, table=None if at is None else self.global_table(at), classes=self._chosen(classes)
                )
        return order

    def _chosen(self, classes: tuple[int, ...]) -> tuple[int, ...]:
        return tuple(self.global_class(k) for k in classes or range(self.class_count))
