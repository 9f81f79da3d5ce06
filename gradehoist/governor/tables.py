"""The module's tables, withdrawals and levels as ordered so far, and what each order means for each proxy.

Prices are those of the interface's `Channel`: a message costs its head and a line for each delta, a bind
one more than the lines, levels and withdrawals it brings; levels for all go with every message.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gradehoist import interface as i
from gradehoist.identifiers import Identifiers
from gradehoist.protocol import feed


class PublishedTables:
    def __init__(
        self,
        names: Identifiers,
        head: float,
        route: feed.TenantRoutes | None = None,
        limits: feed.RateLimitsDelta | None = None,
    ) -> None:
        self.identifiers, self.message_overhead_lines, self.route, self.rate_limits = (
            names,
            head,
            route,
            limits,
        )
        self.weights: dict[int, dict[int, float]] = {}
        self.bindings: dict[int, dict[int, int]] = {}  # by proxy: class to table
        self.bound_proxies: dict[int, dict[int, None]] = {}  # by table: proxies
        self.withdrawn: dict[int, None] = {}
        self.admission: dict[tuple[int | None, int], tuple[float, int]] = {}

    def add_proxy(self, proxy: int) -> None:
        self.bindings[proxy] = {}

    def remove_proxy(self, proxy: int) -> None:
        for table in set(self.bindings.pop(proxy, {}).values()):
            self.bound_proxies[table].pop(proxy, None)

    def count_common_admission(self) -> int:
        """Levels for all, which every message carries."""
        return sum(t is None for t, _ in self.admission)

    def apply(self, order: i.Order) -> tuple[Iterable[int], feed.Delta, float]:
        """Brings the state forward; the proxies concerned, what each is told, and its price in lines."""
        replicas = self.identifiers.replicas.names
        match order:
            case i.SetWeight(table, replica, weight):
                lines = self.weights.setdefault(table, {})
                if weight > 0:
                    lines[replica] = weight
                else:
                    lines.pop(replica, None)
                return (
                    self.bound_proxies.get(table, {}),
                    feed.WeightDelta(table, replicas[replica], round(weight, 6)),
                    1,
                )
            case i.ClearTable(table):
                self.weights[table] = {}
                self.admission = {k: v for k, v in self.admission.items() if k[0] != table}
                return self.bound_proxies.get(table, {}), feed.ClearDelta(table), 1
            case i.WithdrawReplica(replica, out):
                if out:
                    self.withdrawn[replica] = None
                else:
                    self.withdrawn.pop(replica, None)
                # To all, not to those alone whose tables name it: under a flapping list its lines leave and
                # return between the two words, and a relay that missed the second shunned it for good.
                name = replicas[replica]
                return (
                    list(self.bindings),
                    feed.WithdrawalDelta(name) if out else feed.RestorationDelta(name),
                    1,
                )
            case i.SetAdmission(table, classes, share, tries):
                names = self.identifiers.classes.names
                chosen = classes or tuple(range(len(names)))
                self.admission |= {(table, k): (share, tries) for k in chosen}
                to = list(self.bindings if table is None else self.bound_proxies.get(table, {}))
                return to, feed.AdmissionDelta(table, tuple(names[k] for k in chosen), share, tries), 1
        raise TypeError(f"no order for tables: {order!r}")

    def bind_proxy(self, proxy: int, table: int, classes: tuple[int, ...]) -> bool:
        """Binds a proxy; whether it is its first bind. Raises KeyError for one that has left."""
        chosen = classes or tuple(range(len(self.identifiers.classes)))
        first = not self.bindings[proxy]
        old = set(self.bindings[proxy].values())
        self.bindings[proxy] |= dict.fromkeys(chosen, table)
        for gone in old - set(self.bindings[proxy].values()):
            self.bound_proxies[gone].pop(proxy, None)
        self.bound_proxies.setdefault(table, {})[proxy] = None
        return first

    def bind(self, proxy: int, table: int, classes: tuple[int, ...]) -> tuple[list[feed.Delta], float]:
        """A whole table with what comes with it; nothing where the proxy has left."""
        if proxy not in self.bindings:
            return [], 0.0
        chosen = classes or tuple(range(len(self.identifiers.classes)))
        first = self.bind_proxy(proxy, table, chosen)
        deltas, price = self.table_snapshot(table, chosen)
        if first:  # the stream's first bind ends withdrawals and levels of earlier streams
            deltas += self.initial_deltas()
        return deltas, price + len(self.withdrawn) + self.count_common_admission()

    def table_snapshot(self, table: int, classes: tuple[int, ...]) -> tuple[list[feed.Delta], float]:
        """A table with its own levels, and their price."""
        deltas = [self._whole(table, classes), *self._levels(lambda t: t == table)]
        return deltas, float(len(deltas) + len(self.weights.get(table, {})))

    def initial_deltas(self) -> list[feed.Delta]:
        """What a stream's first bind brings beside its table: withdrawals, levels for all, route, limits."""
        deltas = self._outs() + self._levels(lambda t: t is None)
        return deltas + [d for d in (self.route, self.rate_limits) if d is not None]

    def proxy_snapshot(self, proxy: int) -> tuple[tuple[feed.Delta, ...], float]:
        """All that a proxy should hold, and its price."""
        by_table: dict[int, list[int]] = {}
        for cls, table in self.bindings.get(proxy, {}).items():
            by_table.setdefault(table, []).append(cls)
        deltas: list[feed.Delta] = [self._whole(t, tuple(ks)) for t, ks in sorted(by_table.items())]
        deltas += self._outs() + self._levels(lambda t: t is None or t in by_table)
        deltas += [d for d in (self.route, self.rate_limits) if d is not None]
        lines = sum(len(self.weights.get(t, {})) for t in by_table)
        lines += len(self.route.cell_by_tenant) if self.route is not None else 0
        return tuple(deltas), self.message_overhead_lines + len(deltas) + lines

    def _whole(self, table: int, classes: tuple[int, ...]) -> feed.BindDelta:
        names, replicas = self.identifiers.classes.names, self.identifiers.replicas.names
        lines = {replicas[n]: round(w, 6) for n, w in self.weights.get(table, {}).items()}
        return feed.BindDelta(table, tuple(names[k] for k in classes), lines)

    def _outs(self) -> list[feed.Delta]:
        return [feed.WithdrawalDelta(self.identifiers.replicas.names[n]) for n in self.withdrawn]

    def _levels(self, mine: Callable[[int | None], bool]) -> list[feed.Delta]:
        names = self.identifiers.classes.names
        return [
            feed.AdmissionDelta(t, (names[k],), share, tries)
            for (t, k), (share, tries) in self.admission.items()
            if mine(t)
        ]
