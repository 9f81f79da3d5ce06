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
from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.governor.policy_instances import PolicyInstance
from gradehoist.governor.proxy_streams import Mark
from gradehoist.governor.tables import PublishedTables
from gradehoist.protocol import feed

K = TypeVar("K")
Key = tuple[str, int | None, int]  # "back", None, replica; or "level", table, class


@dataclass
class CellChanges:
    """`count` of changes, and when (by it) a table was cleared, a line or a loose fact last changed."""

    count: int = 0
    cleared: dict[int, int] = field(default_factory=dict)
    weights: dict[int, dict[int, int]] = field(default_factory=dict)
    latest: dict[Key, int] = field(default_factory=dict)  # in the order of their last change


@dataclass
class ProxyBacklog:
    """A relay's: `told` by cell, `outs` and `news` by the ledger's own count; `due` the cells that owe it
    something, `marks` the newest of each, which confirm all before."""

    delivered: list[int]
    delivered_withdrawals: int = 0
    delivered_migrations: int = 0
    pending_cells: dict[int, None] = field(default_factory=dict)
    is_bound: bool = False
    is_introduced: bool = False  # to the modules
    pending_binds: dict[int, dict[int, None]] = field(default_factory=dict)
    pending_revisions: dict[int, tuple[int, int]] = field(default_factory=dict)


@dataclass
class Delivery:
    """One message being made: `cells` that it tells whole, with what each costs."""

    deltas: list[feed.Delta] = field(default_factory=list)
    cost_lines: float = 0.0
    cell_costs: dict[int, float] = field(default_factory=dict)
    revisions: list[tuple[Mark, int]] = field(default_factory=list)


def _latest(among: dict[K, int], key: K, count: int) -> None:
    among.pop(key, None)
    among[key] = count


def _since(among: dict[K, int], count: int) -> Iterator[K]:
    """The keys that changed after `count`, the latest first, without a look at the older ones."""
    return (key for key, _ in takewhile(lambda item: item[1] > count, reversed(among.items())))


class DeliveryQueue:
    def __init__(self, tables: PublishedTables, parts: list[PolicyInstance], budget: ChannelShares) -> None:
        self.tables, self.policies, self.budget = tables, parts, budget
        self.cells = [CellChanges() for _ in parts]
        self.backlogs: dict[int, ProxyBacklog] = {}  # those that waited longest first
        self.change_count, self._swept = 0, 0
        self.withdrawals: dict[int, int] = {}  # as `news` in the order of the last change
        self.migrations: dict[str, int] = {}

    def add_proxy(self, proxy: int) -> None:
        """Its holdings are of another stream: it is told nothing before it is bound, but what is shut."""
        self.backlogs[proxy] = ProxyBacklog([c.count for c in self.cells], 0, self.change_count)

    def remove_proxy(self, proxy: int) -> None:
        self.backlogs.pop(proxy, None)

    # What is ordered

    def apply(self, number: int, order: i.Order, concerned: dict[int, None]) -> None:
        """Takes an order in the governor's indices; adds the relays that it concerns."""
        cell = self.cells[number]
        cell.count += 1
        self.change_count += 1
        match order:
            case i.BindProxy(proxy, table, classes):
                if proxy not in self.backlogs:
                    return
                self.tables.bind_proxy(proxy, table, classes)
                self.backlogs[proxy].pending_binds.setdefault(number, {})[table] = None
                concerned[proxy] = None
                return
            case i.SetWeight(table, replica, _):
                cell.weights.setdefault(table, {})[replica] = cell.count
            case i.ClearTable(table):
                cell.cleared[table] = cell.count
                cell.weights.pop(table, None)
                for key in [k for k in cell.latest if k[1] == table]:
                    del cell.latest[key]
            case i.WithdrawReplica(replica, True):
                cell.latest.pop(("back", None, replica), None)
                _latest(self.withdrawals, replica, self.change_count)
            case i.WithdrawReplica(replica, False):
                self.withdrawals.pop(replica, None)
                _latest(cell.latest, ("back", None, replica), cell.count)
            case i.SetAdmission(table, classes, _, _):
                for k in classes:
                    _latest(cell.latest, ("level", table, k), cell.count)
        proxies, _, _ = self.tables.apply(order)
        concerned.update(dict.fromkeys(proxies))

    def finish_reply(
        self, number: int, mark: i.RequestAcknowledgement | None, concerned: Iterable[int], now: int
    ) -> None:
        """The end of one reply of a cell: whom it concerns is owed it, with its mark."""
        for proxy in self.backlogs if mark and mark.to_all else concerned:
            if (account := self.backlogs.get(proxy)) is not None:
                account.pending_cells[number] = None
                if mark and account.is_introduced:
                    account.pending_revisions[number] = (mark.revision, now)

    def add_migration(self, tenant: str) -> None:
        self.change_count += 1
        _latest(self.migrations, tenant, self.change_count)

    def drop_delivered(self) -> None:
        """Drops of the next cell what is owed to no relay any more: each line ever changed cost a look at
        every message of its table."""
        self._swept = (self._swept + 1) % len(self.cells)
        cell = self.cells[self._swept]
        owed = (a.delivered[self._swept] for a in self.backlogs.values() if self._swept in a.pending_cells)
        told = min(owed, default=cell.count)
        for table in list(cell.weights):
            if left := {r: count for r, count in cell.weights[table].items() if count > told}:
                cell.weights[table] = left
            else:
                del cell.weights[table]
        cell.latest = {key: count for key, count in cell.latest.items() if count > told}
        cell.cleared = {table: count for table, count in cell.cleared.items() if count > told}

    # What is told

    def urgent_proxies(self) -> list[int]:
        """Relays that have not been told of a drain or exit, the longest waiting first."""
        last = next(reversed(self.withdrawals.values()), 0)
        return [p for p, a in self.backlogs.items() if a.delivered_withdrawals < last]

    def pending_proxies(self) -> list[int]:
        """Relays that are owed something, the longest waiting first."""
        news = next(reversed(self.migrations.values()), 0)
        return [
            p
            for p, a in self.backlogs.items()
            if a.pending_cells or (a.is_bound and a.delivered_migrations < news)
        ]

    def next_delivery(self, proxy: int, urgent: bool, room: float) -> Delivery:
        """A message for a relay: drains at once, then moves, then the cells in the budget's order while
        `room` lines last. `told` has to follow once the message is on its way."""
        account, out = self.backlogs[proxy], Delivery(cost_lines=self.tables.message_overhead_lines)
        names = self.tables.identifiers.replicas.names
        out.deltas += [
            feed.WithdrawalDelta(names[replica])
            for replica in _since(self.withdrawals, account.delivered_withdrawals)
        ]
        route = self.tables.route
        if account.is_bound and route is not None:
            out.deltas += [
                feed.TenantMigrated(
                    tenant, route.cell_by_tenant.get(tenant, ""), route.generations.get(tenant, 1)
                )
                for tenant in _since(self.migrations, account.delivered_migrations)
            ]
        out.cost_lines += len(out.deltas)
        begun, usual = account.is_bound, min(room, self.budget.max_message_lines)
        for number in self.budget.serving_order(account.pending_cells):
            deltas, price = self._cell(proxy, account, number, begun)
            mark = account.pending_revisions.get(number)
            price += mark is not None
            whole = number in account.pending_binds
            most = room if whole else usual
            # The first cell of an ordinary message goes even if it is large, or it would never go.
            if deltas and out.cost_lines + price > most and (urgent or out.cell_costs):
                continue
            out.deltas += deltas
            out.cost_lines += price
            out.cell_costs[number] = price
            begun = begun or whole
            if mark is not None:
                out.revisions.append(((number, mark[0]), mark[1]))
        return out

    def _cell(
        self, proxy: int, account: ProxyBacklog, number: int, begun: bool
    ) -> tuple[list[feed.Delta], float]:
        """All that a relay is owed of one cell, and its price."""
        cell, tables, since = self.cells[number], self.tables, account.delivered[number]
        size = self.policies[0].class_count
        mine = range(number * size, (number + 1) * size)
        bound = tables.bindings.get(proxy, {})
        on = {bound[k]: None for k in mine if k in bound}
        binds = [t for t in account.pending_binds.get(number, {}) if t in on]
        deltas, price = list[feed.Delta](), 0.0
        for table in binds:
            some, cost = tables.table_snapshot(table, tuple(k for k in mine if bound.get(k) == table))
            deltas += some
            price += cost
        if binds and not begun:  # the stream's first bind ends withdrawals and levels of earlier streams
            first = tables.initial_deltas()
            deltas += first
            price += len(first) + (len(tables.route.cell_by_tenant) if tables.route is not None else 0)
        names, fresh = tables.identifiers, len(deltas)
        for table in on:
            if table in binds:
                continue
            if cell.cleared.get(table, 0) > since:
                deltas.append(feed.ClearDelta(table))
            lines = tables.weights.get(table, {})
            deltas += [
                feed.WeightDelta(table, names.replicas.names[r], round(lines.get(r, 0.0), 6))
                for r, count in cell.weights.get(table, {}).items()
                if count > since
            ]
        for kind, at, index in _since(cell.latest, since):
            if kind == "back":
                deltas.append(feed.RestorationDelta(names.replicas.names[index]))
            elif (at is None or at in on) and (level := tables.admission.get((at, index))):
                deltas.append(feed.AdmissionDelta(at, (names.classes.names[index],), *level))
        return deltas, price + len(deltas) - fresh

    def mark_delivered(self, proxy: int, piece: Delivery) -> None:
        """The piece is on its way: what it holds is owed no longer, and the relay goes to the end."""
        account = self.backlogs.pop(proxy)
        self.backlogs[proxy] = account
        account.delivered_withdrawals = self.change_count
        if account.is_bound:
            account.delivered_migrations = self.change_count
        for number, price in piece.cell_costs.items():
            if number in account.pending_binds and not account.is_bound:
                account.is_bound, account.delivered_migrations = True, self.change_count
            self.budget.record_usage(number, price)
            account.delivered[number] = self.cells[number].count
            account.pending_cells.pop(number, None)
            account.pending_binds.pop(number, None)
            account.pending_revisions.pop(number, None)

    def mark_resynced(self, proxy: int) -> list[Mark]:
        """The relay is sent a picture: nothing is owed it any more but the marks that this returns."""
        account = self.backlogs[proxy]
        marks = [(n, mark) for n, (mark, _) in account.pending_revisions.items()]
        now, begun = self.change_count, bool(self.tables.bindings.get(proxy))
        self.backlogs[proxy] = ProxyBacklog(
            [c.count for c in self.cells], now, now, {}, begun, account.is_introduced
        )
        return marks
