"""The changes that each proxy of a governor with cells has not been sent yet. This module does no I/O.

The queue keeps versions, not a history: each cell records the version at which each weight, restoration and
admission last changed, and each proxy records the version that it was sent. However long a proxy waits, it is
sent only the latest value of each weight, and its backlog needs no more memory than the tables. All changes
of a cell go to a proxy in one message, so a restoration is never sent before the low weight that belongs to
it.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.governor.cell_changes import CellChanges, ChangeLog, RestoredReplica
from gradehoist.governor.policy_instances import PolicyRevision, PolicySet
from gradehoist.governor.proxy_streams import OrderedRevision
from gradehoist.governor.tables import PricedDeltas, PublishedTables
from gradehoist.interface import BindProxy, Order, RequestAcknowledgement, WithdrawReplica
from gradehoist.protocol.feed import (
    AdmissionDelta,
    ClearDelta,
    Delta,
    RestorationDelta,
    TenantMigrated,
    WithdrawalDelta,
)


@dataclass
class ProxyBacklog:
    """What one proxy has been sent, and what is queued for it.

    Attributes:
        delivered_versions: the version of each cell that the proxy was sent.
        delivered_withdrawals_version: the queue's version up to which the proxy was sent withdrawals.
        delivered_migrations_version: the queue's version up to which the proxy was sent migrations.
        pending_cells: cells with changes that affect the proxy.
        is_bound: whether the proxy was sent a table on this stream.
        is_introduced: whether the policies know the proxy.
        pending_binds: the tables that have to be sent completely, by cell.
        pending_revisions: the newest revision of each cell; its acknowledgement covers all earlier ones.
    """

    delivered_versions: list[int]
    delivered_withdrawals_version: int = 0
    delivered_migrations_version: int = 0
    pending_cells: dict[int, None] = field(default_factory=dict)
    is_bound: bool = False
    is_introduced: bool = False
    pending_binds: dict[int, dict[int, None]] = field(default_factory=dict)
    pending_revisions: dict[int, OrderedRevision] = field(default_factory=dict)


@dataclass
class PendingDelivery:
    """A message under construction; `cell_costs` holds the cost of each cell in it, in lines."""

    deltas: list[Delta] = field(default_factory=list)
    cost_lines: float = 0.0
    cell_costs: dict[int, float] = field(default_factory=dict)
    revisions: list[OrderedRevision] = field(default_factory=list)

    def add_cell(self, cell: int, deltas: list[Delta], cost_lines: float) -> None:
        """Adds all pending changes of one cell."""
        self.deltas += deltas
        self.cost_lines += cost_lines
        self.cell_costs[cell] = cost_lines


class DeliveryQueue:
    """The backlogs of all proxies. The cell publisher owns it."""

    def __init__(self, tables: PublishedTables, policies: PolicySet, budget: ChannelShares) -> None:
        """Creates an empty queue; `budget` decides which cells are sent first."""
        self.tables = tables
        self.budget = budget
        self.cells = [CellChanges() for _ in policies]
        self.backlogs: dict[int, ProxyBacklog] = {}  # by proxy, the longest waiting first
        self.version = 0  # number of orders and migrations so far, in all cells
        self._class_count = policies.class_count
        self._withdrawals = ChangeLog[int]()  # keys are replicas
        self._migrations = ChangeLog[str]()  # keys are tenants
        self._last_swept_cell = 0

    def add_proxy(self, proxy: int) -> None:
        """Adds a proxy on a new stream; until it is bound it is sent only withdrawals."""
        self.backlogs[proxy] = ProxyBacklog(
            delivered_versions=[cell.version for cell in self.cells],
            delivered_migrations_version=self.version,
        )

    def remove_proxy(self, proxy: int) -> None:
        """Drops the backlog of a proxy that has left."""
        self.backlogs.pop(proxy, None)

    def apply(self, cell: int, order: Order) -> Iterable[int]:
        """Applies an order that uses the governor's indices; returns the proxies that it affects."""
        self.version += 1
        self.cells[cell].record(order)
        match order:
            case BindProxy():
                return self._bind(cell, order)
            case WithdrawReplica(replica=replica, withdrawn=True):
                self._withdrawals.record(replica, self.version)
            case WithdrawReplica(replica=replica, withdrawn=False):
                self._withdrawals.discard(replica)
        return self.tables.apply(order).proxies

    def finish_reply(
        self, cell: int, request: RequestAcknowledgement | None, affected: Iterable[int], now_us: int
    ) -> None:
        """Ends one reply of a cell: queues the cell, and any requested revision, for the affected proxies."""
        for proxy in self.backlogs if request and request.to_all else affected:
            backlog = self.backlogs.get(proxy)
            if backlog is None:
                continue
            backlog.pending_cells[cell] = None
            if request and backlog.is_introduced:
                revision = PolicyRevision(policy=cell, revision=request.revision)
                backlog.pending_revisions[cell] = OrderedRevision(revision, now_us)

    def add_migration(self, tenant: str) -> None:
        """Queues the changed route of a tenant for every bound proxy."""
        self.version += 1
        self._migrations.record(tenant, self.version)

    def drop_delivered(self) -> None:
        """Drops the changes of one cell that no proxy is waiting for; each call takes the next cell.

        Without this, every weight that ever changed was checked again for each message with its table.
        """
        self._last_swept_cell = (self._last_swept_cell + 1) % len(self.cells)
        cell = self.cells[self._last_swept_cell]
        waiting = (
            backlog.delivered_versions[self._last_swept_cell]
            for backlog in self.backlogs.values()
            if self._last_swept_cell in backlog.pending_cells
        )
        cell.drop_until(min(waiting, default=cell.version))

    def urgent_proxies(self) -> list[int]:
        """Returns the proxies that were not sent the latest withdrawal, the longest waiting first."""
        last = self._withdrawals.last_version
        return [
            proxy for proxy, backlog in self.backlogs.items() if backlog.delivered_withdrawals_version < last
        ]

    def pending_proxies(self) -> list[int]:
        """Returns the proxies with any pending change, the longest waiting first."""
        last = self._migrations.last_version
        return [
            proxy
            for proxy, backlog in self.backlogs.items()
            if backlog.pending_cells or (backlog.is_bound and backlog.delivered_migrations_version < last)
        ]

    def next_delivery(self, proxy: int, *, urgent: bool, available_lines: float) -> PendingDelivery:
        """Builds the next message for a proxy; the caller calls `mark_delivered` once it has been queued.

        The message holds withdrawals and migrations first, then the cells in the budget's order, as long as
        they fit into `available_lines`. An urgent message includes no changes of a cell beyond that; an
        ordinary message includes its first cell even if it does not fit.
        """
        backlog = self.backlogs[proxy]
        deltas = self._withdrawal_deltas(backlog) + self._migration_deltas(backlog)
        delivery = PendingDelivery(deltas=deltas, cost_lines=self.tables.message_overhead_lines + len(deltas))
        is_bound = backlog.is_bound
        ordinary_lines = min(available_lines, self.budget.max_message_lines)
        for cell in self.budget.serving_order(backlog.pending_cells):
            part = self._cell_deltas(proxy, backlog, cell, is_bound)
            revision = backlog.pending_revisions.get(cell)
            cost_lines = part.cost_lines + (revision is not None)
            brings_table = cell in backlog.pending_binds
            max_lines = available_lines if brings_table else ordinary_lines
            # An ordinary message includes its first cell even if it is too large; it would never be sent
            # otherwise.
            may_wait = urgent or bool(delivery.cell_costs)
            if part.deltas and may_wait and delivery.cost_lines + cost_lines > max_lines:
                continue
            delivery.add_cell(cell, part.deltas, cost_lines)
            if revision is not None:
                delivery.revisions.append(revision)
            is_bound = is_bound or brings_table
        return delivery

    def mark_delivered(self, proxy: int, delivery: PendingDelivery) -> None:
        """Records that a message has been queued, and moves the proxy to the end of the order."""
        backlog = self.backlogs.pop(proxy)
        self.backlogs[proxy] = backlog
        backlog.delivered_withdrawals_version = self.version
        if backlog.is_bound:
            backlog.delivered_migrations_version = self.version
        for cell, cost_lines in delivery.cell_costs.items():
            if cell in backlog.pending_binds and not backlog.is_bound:
                backlog.is_bound = True
                backlog.delivered_migrations_version = self.version
            self.budget.record_usage(cell, cost_lines)
            backlog.delivered_versions[cell] = self.cells[cell].version
            backlog.pending_cells.pop(cell, None)
            backlog.pending_binds.pop(cell, None)
            backlog.pending_revisions.pop(cell, None)

    def mark_resynced(self, proxy: int) -> tuple[PolicyRevision, ...]:
        """Records a full resync of the proxy; returns the revisions that its acknowledgement covers."""
        before = self.backlogs[proxy]
        self.backlogs[proxy] = ProxyBacklog(
            delivered_versions=[cell.version for cell in self.cells],
            delivered_withdrawals_version=self.version,
            delivered_migrations_version=self.version,
            is_bound=bool(self.tables.bindings.get(proxy)),
            is_introduced=before.is_introduced,
        )
        return tuple(pending.revision for pending in before.pending_revisions.values())

    def _bind(self, cell: int, order: BindProxy) -> Iterable[int]:
        backlog = self.backlogs.get(order.proxy)
        if backlog is None:
            return ()
        self.tables.bind_proxy(order.proxy, order.table, order.classes)
        backlog.pending_binds.setdefault(cell, {})[order.table] = None
        return (order.proxy,)

    def _withdrawal_deltas(self, backlog: ProxyBacklog) -> list[Delta]:
        names = self.tables.identifiers.replicas.names
        return [
            WithdrawalDelta(names[replica])
            for replica in self._withdrawals.since(backlog.delivered_withdrawals_version)
        ]

    def _migration_deltas(self, backlog: ProxyBacklog) -> list[Delta]:
        route = self.tables.route
        if route is None or not backlog.is_bound:
            return []
        return [
            TenantMigrated(
                tenant=tenant,
                cell=route.cell_by_tenant.get(tenant, ""),
                generation=route.generations.get(tenant, 1),
            )
            for tenant in self._migrations.since(backlog.delivered_migrations_version)
        ]

    def _cell_deltas(self, proxy: int, backlog: ProxyBacklog, cell: int, is_bound: bool) -> PricedDeltas:
        """Returns all pending changes of one cell for a proxy."""
        bindings = self.tables.bindings.get(proxy, {})
        first_class = cell * self._class_count
        classes_by_table: dict[int, list[int]] = {}
        for request_class in range(first_class, first_class + self._class_count):
            if request_class in bindings:
                classes_by_table.setdefault(bindings[request_class], []).append(request_class)
        pending_binds = backlog.pending_binds.get(cell, {})
        new_tables = [table for table in pending_binds if table in classes_by_table]
        deltas: list[Delta] = []
        cost_lines = 0.0
        for table in new_tables:
            snapshot = self.tables.table_snapshot(table, tuple(classes_by_table[table]))
            deltas += snapshot.deltas
            cost_lines += snapshot.cost_lines
        if new_tables and not is_bound:
            # The first binding of a stream clears the withdrawals and admissions of earlier streams.
            initial = self.tables.initial_deltas()
            deltas += initial
            cost_lines += len(initial)
            if self.tables.route is not None:
                cost_lines += len(self.tables.route.cell_by_tenant)
        known_tables = [table for table in classes_by_table if table not in new_tables]
        changes = self._table_changes(cell, known_tables, backlog.delivered_versions[cell])
        changes += self._latest_changes(cell, classes_by_table, backlog.delivered_versions[cell])
        return PricedDeltas(deltas + changes, cost_lines + len(changes))

    def _table_changes(self, cell: int, tables: Iterable[int], since: int) -> list[Delta]:
        """Returns the clearings and weights of these tables that changed after version `since`."""
        changes = self.cells[cell]
        deltas: list[Delta] = []
        for table in tables:
            if changes.cleared.get(table, 0) > since:
                deltas.append(ClearDelta(table))
            weights = self.tables.weights.get(table, {})
            deltas += [
                self.tables.make_weight_delta(table, replica, weights.get(replica, 0.0))
                for replica, version in changes.weights.get(table, {}).items()
                if version > since
            ]
        return deltas

    def _latest_changes(self, cell: int, tables: Collection[int], since: int) -> list[Delta]:
        """Returns the restorations and admissions of these tables that changed after version `since`."""
        identifiers = self.tables.identifiers
        deltas: list[Delta] = []
        for change in self.cells[cell].latest.since(since):
            if isinstance(change, RestoredReplica):
                deltas.append(RestorationDelta(identifiers.replicas.names[change.replica]))
                continue
            admission = self.tables.admission.get((change.table, change.request_class))
            if admission is not None and (change.table is None or change.table in tables):
                deltas.append(
                    AdmissionDelta(
                        table=change.table,
                        classes=(identifiers.classes.names[change.request_class],),
                        admitted_share=admission.admitted_share,
                        retry_policy=admission.retry_policy,
                    )
                )
        return deltas
