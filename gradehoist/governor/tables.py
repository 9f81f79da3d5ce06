"""The current tables, withdrawals and admissions, and the proxies and deltas that each order affects.

Costs are counted in lines, as in `interface.ChannelLimits`: a message costs its overhead and one line for
each delta, and a table that is bound costs one more line for each weight. This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from gradehoist.identifiers import Identifiers
from gradehoist.interface import ClearTable, Order, SetAdmission, SetWeight, WithdrawReplica
from gradehoist.protocol.feed import (
    AdmissionDelta,
    BindDelta,
    ClearDelta,
    Delta,
    RateLimitsDelta,
    RestorationDelta,
    TenantRoutes,
    WeightDelta,
    WithdrawalDelta,
)

WEIGHT_DIGITS = 6  # decimal places of a weight on the wire


class Admission(NamedTuple):
    """The admitted share of a class, and its retry policy (0 to 3)."""

    admitted_share: float
    retry_policy: int


class TableUpdate(NamedTuple):
    """The effect of one order: the affected proxies, their delta, and its cost in lines."""

    proxies: Iterable[int]
    delta: Delta
    cost_lines: float


class PricedDeltas(NamedTuple):
    """A list of deltas and their total cost in lines."""

    deltas: list[Delta]
    cost_lines: float


class PublishedTables:
    """The state that the policies have ordered for all proxies. All indices are the governor's.

    Attributes:
        weights: the weight of each replica, by table and replica.
        bindings: the table of each class, by proxy and class.
        bound_proxies: the proxies that are bound to each table, in the order of their binding.
        withdrawn: withdrawn replicas, in the order of their withdrawal.
        admission: the admission by table (None means all tables) and class.
        route: the cells of the tenants; None without cells.
        rate_limits: the request rates that each proxy may admit; None without limits.
    """

    def __init__(
        self,
        identifiers: Identifiers,
        message_overhead_lines: float,
        route: TenantRoutes | None = None,
        rate_limits: RateLimitsDelta | None = None,
    ) -> None:
        """Creates the state without tables and proxies."""
        self.identifiers = identifiers
        self.message_overhead_lines = message_overhead_lines
        self.route = route
        self.rate_limits = rate_limits
        self.weights: dict[int, dict[int, float]] = {}
        self.bindings: dict[int, dict[int, int]] = {}
        self.bound_proxies: dict[int, dict[int, None]] = {}
        self.withdrawn: dict[int, None] = {}
        self.admission: dict[tuple[int | None, int], Admission] = {}

    def add_proxy(self, proxy: int) -> None:
        """Adds a proxy that is not bound to a table yet."""
        self.bindings[proxy] = {}

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy from all tables."""
        for table in set(self.bindings.pop(proxy, {}).values()):
            self.bound_proxies[table].pop(proxy, None)

    def count_common_admission(self) -> int:
        """Returns the number of admissions for all tables; the cost of each message includes them."""
        return sum(table is None for table, _ in self.admission)

    def apply(self, order: Order) -> TableUpdate:
        """Applies an order other than a binding and returns its effect.

        Raises:
            TypeError: the order does not change tables.
        """
        match order:
            case SetWeight():
                return self._set_weight(order)
            case ClearTable():
                return self._clear_table(order)
            case WithdrawReplica():
                return self._withdraw_replica(order)
            case SetAdmission():
                return self._set_admission(order)
        raise TypeError(f"the order does not change tables: {order!r}")

    def bind_proxy(self, proxy: int, table: int, classes: tuple[int, ...]) -> bool:
        """Binds a proxy to a table; returns True if the proxy was not bound to a table before.

        Raises:
            KeyError: the proxy has left.
        """
        bindings = self.bindings[proxy]
        is_first = not bindings
        before = set(bindings.values())
        bindings |= dict.fromkeys(self._expand_classes(classes), table)
        for unbound in before - set(bindings.values()):
            self.bound_proxies[unbound].pop(proxy, None)
        self.bound_proxies.setdefault(table, {})[proxy] = None
        return is_first

    def bind(self, proxy: int, table: int, classes: tuple[int, ...]) -> PricedDeltas:
        """Binds a proxy and returns the deltas for it; returns no deltas if the proxy has left."""
        if proxy not in self.bindings:
            return PricedDeltas([], 0.0)
        is_first = self.bind_proxy(proxy, table, classes)
        snapshot = self.table_snapshot(table, self._expand_classes(classes))
        deltas = snapshot.deltas
        # The first binding of a stream clears the withdrawals and admissions of earlier streams.
        if is_first:
            deltas = deltas + self.initial_deltas()
        cost_lines = snapshot.cost_lines + len(self.withdrawn) + self.count_common_admission()
        return PricedDeltas(deltas, cost_lines)

    def table_snapshot(self, table: int, classes: tuple[int, ...]) -> PricedDeltas:
        """Returns the complete table for `classes`, with the admissions that apply only to it."""
        deltas = [self._bind_delta(table, classes), *self._admission_deltas(lambda at: at == table)]
        return PricedDeltas(deltas, float(len(deltas) + len(self.weights.get(table, {}))))

    def initial_deltas(self) -> list[Delta]:
        """Returns the deltas that follow the table of a stream's first binding."""
        return (
            self._withdrawal_deltas() + self._admission_deltas(lambda at: at is None) + self._tenant_deltas()
        )

    def proxy_snapshot(self, proxy: int) -> PricedDeltas:
        """Returns the full state of a proxy; the cost includes the message's overhead."""
        classes_by_table: dict[int, list[int]] = {}
        for request_class, table in self.bindings.get(proxy, {}).items():
            classes_by_table.setdefault(table, []).append(request_class)
        deltas: list[Delta] = [
            self._bind_delta(table, tuple(classes)) for table, classes in sorted(classes_by_table.items())
        ]
        deltas += self._withdrawal_deltas()
        deltas += self._admission_deltas(lambda at: at is None or at in classes_by_table)
        deltas += self._tenant_deltas()
        lines = sum(len(self.weights.get(table, {})) for table in classes_by_table)
        if self.route is not None:
            lines += len(self.route.cell_by_tenant)
        return PricedDeltas(deltas, self.message_overhead_lines + len(deltas) + lines)

    def make_weight_delta(self, table: int, replica: int, weight: float) -> WeightDelta:
        """Returns the delta for one weight; 0 removes the replica from the table."""
        return WeightDelta(
            table=table,
            replica=self.identifiers.replicas.names[replica],
            weight=round(weight, WEIGHT_DIGITS),
        )

    def _set_weight(self, order: SetWeight) -> TableUpdate:
        weights = self.weights.setdefault(order.table, {})
        if order.weight > 0:
            weights[order.replica] = order.weight
        else:
            weights.pop(order.replica, None)
        delta = self.make_weight_delta(order.table, order.replica, order.weight)
        return TableUpdate(self.bound_proxies.get(order.table, {}), delta, 1)

    def _clear_table(self, order: ClearTable) -> TableUpdate:
        self.weights[order.table] = {}
        self.admission = {key: value for key, value in self.admission.items() if key[0] != order.table}
        return TableUpdate(self.bound_proxies.get(order.table, {}), ClearDelta(order.table), 1)

    def _withdraw_replica(self, order: WithdrawReplica) -> TableUpdate:
        name = self.identifiers.replicas.names[order.replica]
        delta: Delta
        if order.withdrawn:
            self.withdrawn[order.replica] = None
            delta = WithdrawalDelta(name)
        else:
            self.withdrawn.pop(order.replica, None)
            delta = RestorationDelta(name)
        # The order goes to all proxies, not only to those whose tables contain the replica: with a flapping
        # list its weights may be removed and added again between the two orders, and a proxy that missed the
        # restoration never used the replica again.
        return TableUpdate(list(self.bindings), delta, 1)

    def _set_admission(self, order: SetAdmission) -> TableUpdate:
        names = self.identifiers.classes.names
        classes = self._expand_classes(order.classes)
        admission = Admission(order.admitted_share, order.retry_policy)
        for request_class in classes:
            self.admission[order.table, request_class] = admission
        affected = self.bindings if order.table is None else self.bound_proxies.get(order.table, {})
        delta = AdmissionDelta(
            table=order.table,
            classes=tuple(names[request_class] for request_class in classes),
            admitted_share=order.admitted_share,
            retry_policy=order.retry_policy,
        )
        return TableUpdate(list(affected), delta, 1)

    def _expand_classes(self, classes: tuple[int, ...]) -> tuple[int, ...]:
        """Returns the classes; an empty tuple means every class."""
        return classes or tuple(range(len(self.identifiers.classes)))

    def _bind_delta(self, table: int, classes: tuple[int, ...]) -> BindDelta:
        classes_by_index = self.identifiers.classes.names
        replicas = self.identifiers.replicas.names
        return BindDelta(
            table=table,
            classes=tuple(classes_by_index[request_class] for request_class in classes),
            weights={
                replicas[replica]: round(weight, WEIGHT_DIGITS)
                for replica, weight in self.weights.get(table, {}).items()
            },
        )

    def _withdrawal_deltas(self) -> list[Delta]:
        return [WithdrawalDelta(self.identifiers.replicas.names[replica]) for replica in self.withdrawn]

    def _tenant_deltas(self) -> list[Delta]:
        return [delta for delta in (self.route, self.rate_limits) if delta is not None]

    def _admission_deltas(self, applies: Callable[[int | None], bool]) -> list[Delta]:
        names = self.identifiers.classes.names
        return [
            AdmissionDelta(
                table=table,
                classes=(names[request_class],),
                admitted_share=admission.admitted_share,
                retry_policy=admission.retry_policy,
            )
            for (table, request_class), admission in self.admission.items()
            if applies(table)
        ]
