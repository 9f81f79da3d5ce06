"""The module's tables, withdrawals and levels as ordered so far, and what each order means for each proxy.

Prices are those of the interface's `Channel`: a message costs its head and a line for each delta, a bind
one more than the lines, levels and withdrawals it brings; levels for all go with every message.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from gradehoist import interface as i
from gradehoist.identifiers import Names
from gradehoist.protocol import feed


class Tables:
    def __init__(
        self, names: Names, head: float, route: feed.Route | None = None, limits: feed.Limits | None = None
    ) -> None:
        self.names, self.head, self.route, self.limits = names, head, route, limits
        self.lines: dict[int, dict[int, float]] = {}
        self.bound: dict[int, dict[int, int]] = {}  # by proxy: class to table
        self.users: dict[int, dict[int, None]] = {}  # by table: proxies
        self.out: dict[int, None] = {}
        self.levels: dict[tuple[int | None, int], tuple[float, int]] = {}

    def joined(self, proxy: int) -> None:
        self.bound[proxy] = {}

    def left(self, proxy: int) -> None:
        for table in set(self.bound.pop(proxy, {}).values()):
            self.users[table].pop(proxy, None)

    def common(self) -> int:
        """Levels for all, which every message carries."""
        return sum(t is None for t, _ in self.levels)

    def order(self, order: i.Order) -> tuple[Iterable[int], feed.Delta, float]:
        """Brings the state forward; the proxies concerned, what each is told, and its price in lines."""
        replicas = self.names.replicas.names
        match order:
            case i.SetLine(table, replica, weight):
                lines = self.lines.setdefault(table, {})
                if weight > 0:
                    lines[replica] = weight
                else:
                    lines.pop(replica, None)
                return self.users.get(table, {}), feed.Line(table, replicas[replica], round(weight, 6)), 1
            case i.ClearTable(table):
                self.lines[table] = {}
                self.levels = {k: v for k, v in self.levels.items() if k[0] != table}
                return self.users.get(table, {}), feed.Clear(table), 1
            case i.Withdraw(replica, out):
                if out:
                    self.out[replica] = None
                else:
                    self.out.pop(replica, None)
                # To all, not to those alone whose tables name it: under a flapping list its lines leave and
                # return between the two words, and a relay that missed the second shunned it for good.
                name = replicas[replica]
                return list(self.bound), feed.Out(name) if out else feed.Back(name), 1
            case i.Admit(table, classes, share, tries):
                names = self.names.classes.names
                chosen = classes or tuple(range(len(names)))
                self.levels |= {(table, k): (share, tries) for k in chosen}
                to = list(self.bound if table is None else self.users.get(table, {}))
                return to, feed.Level(table, tuple(names[k] for k in chosen), share, tries), 1
        raise TypeError(f"no order for tables: {order!r}")

    def put_on(self, proxy: int, table: int, classes: tuple[int, ...]) -> bool:
        """Binds a proxy; whether it is its first bind. Raises KeyError for one that has left."""
        chosen = classes or tuple(range(len(self.names.classes)))
        first = not self.bound[proxy]
        old = set(self.bound[proxy].values())
        self.bound[proxy] |= dict.fromkeys(chosen, table)
        for gone in old - set(self.bound[proxy].values()):
            self.users[gone].pop(proxy, None)
        self.users.setdefault(table, {})[proxy] = None
        return first

    def bind(self, proxy: int, table: int, classes: tuple[int, ...]) -> tuple[list[feed.Delta], float]:
        """A whole table with what comes with it; nothing where the proxy has left."""
        if proxy not in self.bound:
            return [], 0.0
        chosen = classes or tuple(range(len(self.names.classes)))
        first = self.put_on(proxy, table, chosen)
        deltas, price = self.whole(table, chosen)
        if first:  # the stream's first bind ends withdrawals and levels of earlier streams
            deltas += self.begin()
        return deltas, price + len(self.out) + self.common()

    def whole(self, table: int, classes: tuple[int, ...]) -> tuple[list[feed.Delta], float]:
        """A table with its own levels, and their price."""
        deltas = [self._whole(table, classes), *self._levels(lambda t: t == table)]
        return deltas, float(len(deltas) + len(self.lines.get(table, {})))

    def begin(self) -> list[feed.Delta]:
        """What a stream's first bind brings beside its table: withdrawals, levels for all, route, limits."""
        deltas = self._outs() + self._levels(lambda t: t is None)
        return deltas + [d for d in (self.route, self.limits) if d is not None]

    def picture(self, proxy: int) -> tuple[tuple[feed.Delta, ...], float]:
        """All that a proxy should hold, and its price."""
        by_table: dict[int, list[int]] = {}
        for cls, table in self.bound.get(proxy, {}).items():
            by_table.setdefault(table, []).append(cls)
        deltas: list[feed.Delta] = [self._whole(t, tuple(ks)) for t, ks in sorted(by_table.items())]
        deltas += self._outs() + self._levels(lambda t: t is None or t in by_table)
        deltas += [d for d in (self.route, self.limits) if d is not None]
        lines = sum(len(self.lines.get(t, {})) for t in by_table)
        lines += len(self.route.named) if self.route is not None else 0
        return tuple(deltas), self.head + len(deltas) + lines

    def _whole(self, table: int, classes: tuple[int, ...]) -> feed.Bind:
        names, replicas = self.names.classes.names, self.names.replicas.names
        lines = {replicas[n]: round(w, 6) for n, w in self.lines.get(table, {}).items()}
        return feed.Bind(table, tuple(names[k] for k in classes), lines)

    def _outs(self) -> list[feed.Delta]:
        return [feed.Out(self.names.replicas.names[n]) for n in self.out]

    def _levels(self, mine: Callable[[int | None], bool]) -> list[feed.Delta]:
        names = self.names.classes.names
        return [
            feed.Level(t, (names[k],), share, tries)
            for (t, k), (share, tries) in self.levels.items()
            if mine(t)
        ]
