"""What each relay of a governor with cells is owed. Free of I/O.

Kept as states, not as a history: each cell counts its changes and remembers at which count each line, return
and level last changed; each relay remembers the count that it has been told. However long a relay waits, it
is owed each line once, as it is now, and a backlog needs no more memory than the tables. A cell is told to a
relay whole or not at all, so a return never leaves before the low weight that it is meant for.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import takewhile
from typing import TypeVar

from gradehoist import interface as i
from gradehoist.cells.channel_shares import Budget
from gradehoist.governor.policy_instances import Part
from gradehoist.governor.proxy_streams import Mark
from gradehoist.governor.tables import Tables
from gradehoist.protocol import feed

K = TypeVar("K")
Key = tuple[str, int | None, int]  # "back", None, replica; or "level", table, class


@dataclass
class Cell:
    """`count` of changes, and when (by it) a table was cleared, a line or a loose fact last changed."""

    count: int = 0
    cleared: dict[int, int] = field(default_factory=dict)
    lines: dict[int, dict[int, int]] = field(default_factory=dict)
    loose: dict[Key, int] = field(default_factory=dict)  # in the order of their last change


@dataclass
class Account:
    """A relay's: `told` by cell, `outs` and `news` by the ledger's own count; `due` the cells that owe it
    something, `marks` the newest of each, which confirm all before."""

    told: list[int]
    outs: int = 0
    news: int = 0
    due: dict[int, None] = field(default_factory=dict)
    begun: bool = False
    known: bool = False  # to the modules
    binds: dict[int, dict[int, None]] = field(default_factory=dict)
    marks: dict[int, tuple[int, int]] = field(default_factory=dict)


@dataclass
class Piece:
    """One message being made: `cells` that it tells whole, with what each costs."""

    deltas: list[feed.Delta] = field(default_factory=list)
    price: float = 0.0
    cells: dict[int, float] = field(default_factory=dict)
    marks: list[tuple[Mark, int]] = field(default_factory=list)


def _latest(among: dict[K, int], key: K, count: int) -> None:
    among.pop(key, None)
    among[key] = count


def _since(among: dict[K, int], count: int) -> Iterator[K]:
    """The keys that changed after `count`, the latest first, without a look at the older ones."""
    return (key for key, _ in takewhile(lambda item: item[1] > count, reversed(among.items())))


class Ledger:
    def __init__(self, tables: Tables, parts: list[Part], budget: Budget) -> None:
        self.tables, self.parts, self.budget = tables, parts, budget
        self.cells = [Cell() for _ in parts]
        self.accounts: dict[int, Account] = {}  # those that waited longest first
        self.count, self._swept = 0, 0
        self.outs: dict[int, int] = {}  # as `news` in the order of the last change
        self.news: dict[str, int] = {}

    def joined(self, proxy: int) -> None:
        """Its holdings are of another stream: it is told nothing before it is bound, but what is shut."""
        self.accounts[proxy] = Account([c.count for c in self.cells], 0, self.count)

    def left(self, proxy: int) -> None:
        self.accounts.pop(proxy, None)

    # What is ordered

    def order(self, number: int, order: i.Order, concerned: dict[int, None]) -> None:
        """Takes an order in the governor's indices; adds the relays that it concerns."""
        cell = self.cells[number]
        cell.count += 1
        self.count += 1
        match order:
            case i.Bind(proxy, table, classes):
                if proxy not in self.accounts:
                    return
                self.tables.put_on(proxy, table, classes)
                self.accounts[proxy].binds.setdefault(number, {})[table] = None
                concerned[proxy] = None
                return
            case i.SetLine(table, replica, _):
                cell.lines.setdefault(table, {})[replica] = cell.count
            case i.ClearTable(table):
                cell.cleared[table] = cell.count
                cell.lines.pop(table, None)
                for key in [k for k in cell.loose if k[1] == table]:
                    del cell.loose[key]
            case i.Withdraw(replica, True):
                cell.loose.pop(("back", None, replica), None)
                _latest(self.outs, replica, self.count)
            case i.Withdraw(replica, False):
                self.outs.pop(replica, None)
                _latest(cell.loose, ("back", None, replica), cell.count)
            case i.Admit(table, classes, _, _):
                for k in classes:
                    _latest(cell.loose, ("level", table, k), cell.count)
        proxies, _, _ = self.tables.order(order)
        concerned.update(dict.fromkeys(proxies))

    def ordered(self, number: int, mark: i.Mark | None, concerned: Iterable[int], now: int) -> None:
        """The end of one reply of a cell: whom it concerns is owed it, with its mark."""
        for proxy in self.accounts if mark and mark.to_all else concerned:
            if (account := self.accounts.get(proxy)) is not None:
                account.due[number] = None
                if mark and account.known:
                    account.marks[number] = (mark.number, now)

    def moved(self, tenant: str) -> None:
        self.count += 1
        _latest(self.news, tenant, self.count)

    def sweep(self) -> None:
        """Drops of the next cell what is owed to no relay any more: each line ever changed cost a look at
        every message of its table."""
        self._swept = (self._swept + 1) % len(self.cells)
        cell = self.cells[self._swept]
        owed = (a.told[self._swept] for a in self.accounts.values() if self._swept in a.due)
        told = min(owed, default=cell.count)
        for table in list(cell.lines):
            if left := {r: count for r, count in cell.lines[table].items() if count > told}:
                cell.lines[table] = left
            else:
                del cell.lines[table]
        cell.loose = {key: count for key, count in cell.loose.items() if count > told}
        cell.cleared = {table: count for table, count in cell.cleared.items() if count > told}

    # What is told

    def urgent(self) -> list[int]:
        """Relays that have not been told of a drain or exit, the longest waiting first."""
        last = next(reversed(self.outs.values()), 0)
        return [p for p, a in self.accounts.items() if a.outs < last]

    def owed(self) -> list[int]:
        """Relays that are owed something, the longest waiting first."""
        news = next(reversed(self.news.values()), 0)
        return [p for p, a in self.accounts.items() if a.due or (a.begun and a.news < news)]

    def piece(self, proxy: int, urgent: bool, room: float) -> Piece:
        """A message for a relay: drains at once, then moves, then the cells in the budget's order while
        `room` lines last. `told` has to follow once the message is on its way."""
        account, out = self.accounts[proxy], Piece(price=self.tables.head)
        names = self.tables.names.replicas.names
        out.deltas += [feed.Out(names[replica]) for replica in _since(self.outs, account.outs)]
        route = self.tables.route
        if account.begun and route is not None:
            out.deltas += [
                feed.Moved(tenant, route.named.get(tenant, ""), route.gens.get(tenant, 1))
                for tenant in _since(self.news, account.news)
            ]
        out.price += len(out.deltas)
        begun, usual = account.begun, min(room, self.budget.most)
        for number in self.budget.order(account.due):
            deltas, price = self._cell(proxy, account, number, begun)
            mark = account.marks.get(number)
            price += mark is not None
            whole = number in account.binds
            most = room if whole else usual
            # The first cell of an ordinary message goes even if it is large, or it would never go.
            if deltas and out.price + price > most and (urgent or out.cells):
                continue
            out.deltas += deltas
            out.price += price
            out.cells[number] = price
            begun = begun or whole
            if mark is not None:
                out.marks.append(((number, mark[0]), mark[1]))
        return out

    def _cell(self, proxy: int, account: Account, number: int, begun: bool) -> tuple[list[feed.Delta], float]:
        """All that a relay is owed of one cell, and its price."""
        cell, tables, since = self.cells[number], self.tables, account.told[number]
        size = self.parts[0].classes
        mine = range(number * size, (number + 1) * size)
        bound = tables.bound.get(proxy, {})
        on = {bound[k]: None for k in mine if k in bound}
        binds = [t for t in account.binds.get(number, {}) if t in on]
        deltas, price = list[feed.Delta](), 0.0
        for table in binds:
            some, cost = tables.whole(table, tuple(k for k in mine if bound.get(k) == table))
            deltas += some
            price += cost
        if binds and not begun:  # the stream's first bind ends withdrawals and levels of earlier streams
            first = tables.begin()
            deltas += first
            price += len(first) + (len(tables.route.named) if tables.route is not None else 0)
        names, fresh = tables.names, len(deltas)
        for table in on:
            if table in binds:
                continue
            if cell.cleared.get(table, 0) > since:
                deltas.append(feed.Clear(table))
            lines = tables.lines.get(table, {})
            deltas += [
                feed.Line(table, names.replicas.names[r], round(lines.get(r, 0.0), 6))
                for r, count in cell.lines.get(table, {}).items()
                if count > since
            ]
        for kind, at, index in _since(cell.loose, since):
            if kind == "back":
                deltas.append(feed.Back(names.replicas.names[index]))
            elif (at is None or at in on) and (level := tables.levels.get((at, index))):
                deltas.append(feed.Level(at, (names.classes.names[index],), *level))
        return deltas, price + len(deltas) - fresh

    def told(self, proxy: int, piece: Piece) -> None:
        """The piece is on its way: what it holds is owed no longer, and the relay goes to the end."""
        account = self.accounts.pop(proxy)
        self.accounts[proxy] = account
        account.outs = self.count
        if account.begun:
            account.news = self.count
        for number, price in piece.cells.items():
            if number in account.binds and not account.begun:
                account.begun, account.news = True, self.count
            self.budget.spent(number, price)
            account.told[number] = self.cells[number].count
            account.due.pop(number, None)
            account.binds.pop(number, None)
            account.marks.pop(number, None)

    def whole(self, proxy: int) -> list[Mark]:
        """The relay is sent a picture: nothing is owed it any more but the marks that this returns."""
        account = self.accounts[proxy]
        marks = [(n, mark) for n, (mark, _) in account.marks.items()]
        now, begun = self.count, bool(self.tables.bound.get(proxy))
        self.accounts[proxy] = Account([c.count for c in self.cells], now, now, {}, begun, account.known)
        return marks
