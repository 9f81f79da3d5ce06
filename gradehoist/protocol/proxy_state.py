"""The state that a proxy builds from the feed: tables, withdrawals, admission, routes and rate limits."""

from __future__ import annotations

from typing import NamedTuple

from gradehoist.protocol.feed import (
    AdmissionDelta,
    BindDelta,
    ClearDelta,
    Delta,
    Message,
    RateLimitsDelta,
    RestorationDelta,
    TenantMigrated,
    TenantRoutes,
    WeightDelta,
    WithdrawalDelta,
    apply_migration,
)

FULL_SHARE = 1.0


class TableKey(NamedTuple):
    """Identifies a table; table numbers are unique within one binding epoch only."""

    binding_epoch: int
    table: int


_NO_TABLE = TableKey(binding_epoch=-1, table=-1)


class AdmissionKey(NamedTuple):
    """Identifies what an admission share applies to; table None means all tables."""

    table: int | None
    request_class: str


class Admission(NamedTuple):
    """The share of requests that is admitted and their retry policy (0 to 3)."""

    admitted_share: float
    retry_policy: int


class ProxyState:
    """The state on which a proxy bases its decisions, updated by each message.

    A binding epoch begins with the first bind of a stream. A table of an earlier epoch is kept until all of
    its classes are bound again.
    """

    def __init__(self) -> None:
        """Creates a state without tables; `install_default_tables` or the first bind adds them."""
        self.binding_epoch = 0
        self.tables: dict[TableKey, dict[str, float]] = {}
        self.table_by_class: dict[str, TableKey] = {}
        self.withdrawn: set[str] = set()
        self.admission: dict[AdmissionKey, Admission] = {}
        self.is_bound = False
        self.routes: TenantRoutes | None = None
        self.rate_limits: RateLimitsDelta | None = None

    def install_default_tables(self, classes: dict[str, dict[str, float]]) -> None:
        """Installs a table for each class, to be used until the first bind."""
        for number, (request_class, weights) in enumerate(classes.items()):
            key = TableKey(binding_epoch=0, table=number)
            self.tables[key] = dict(weights)
            self.table_by_class[request_class] = key

    def begin_stream(self) -> None:
        """Begins a new stream; the present state is used until the stream's first bind or snapshot."""
        self.is_bound = False

    def apply(self, message: Message) -> None:
        """Applies the deltas of a message in order."""
        if message.is_snapshot:
            self.withdrawn = set()
            self.admission = {}
            if any(isinstance(delta, BindDelta) for delta in message.deltas):
                self.is_bound = False
        for delta in message.deltas:
            self._apply_delta(delta)

    def weights_for(self, request_class: str) -> dict[str, float]:
        """Returns the weights of the replicas available to a class, without withdrawn replicas."""
        table = self.tables.get(self.table_by_class.get(request_class, _NO_TABLE), {})
        return {replica: weight for replica, weight in table.items() if replica not in self.withdrawn}

    def admission_for(self, request_class: str, default_retry_policy: int) -> Admission:
        """Returns the admission of a class.

        It is the lower of the table's share and the share for all tables, with the table's retry policy.
        """
        common = self.admission.get(
            AdmissionKey(None, request_class), Admission(FULL_SHARE, default_retry_policy)
        )
        table = self.table_by_class.get(request_class, _NO_TABLE).table
        table_admission = self.admission.get(AdmissionKey(table, request_class))
        if table_admission is None:
            return common
        return Admission(
            min(table_admission.admitted_share, common.admitted_share), table_admission.retry_policy
        )

    def _apply_delta(self, delta: Delta) -> None:
        match delta:
            case WeightDelta():
                self._set_weight(delta)
            case ClearDelta():
                self.tables[TableKey(self.binding_epoch, delta.table)] = {}
                self._end_admission(delta.table)
            case BindDelta():
                self._bind(delta)
            case WithdrawalDelta():
                self.withdrawn.add(delta.replica)
            case RestorationDelta():
                self.withdrawn.discard(delta.replica)
            case AdmissionDelta():
                self._set_admission(delta)
            case TenantRoutes():
                self.routes = delta
            case RateLimitsDelta():
                self.rate_limits = delta
            case TenantMigrated() if self.routes is not None:
                self.routes = apply_migration(self.routes, delta)

    def _set_weight(self, delta: WeightDelta) -> None:
        weights = self.tables.setdefault(TableKey(self.binding_epoch, delta.table), {})
        if delta.weight > 0:
            weights[delta.replica] = delta.weight
        else:
            weights.pop(delta.replica, None)

    def _bind(self, delta: BindDelta) -> None:
        if not self.is_bound:
            self.is_bound = True
            self.binding_epoch += 1
            self.withdrawn = set()
            self.admission = {}
        key = TableKey(self.binding_epoch, delta.table)
        self.tables[key] = dict(delta.weights)
        for request_class in delta.classes:
            self.table_by_class[request_class] = key
        # Shares that are still in force follow in the message. Drop the others: a proxy that was not bound to
        # the table when it was cleared was not notified of that, and kept a share from an earlier binding.
        self._end_admission(delta.table)
        self._drop_unused_tables()

    def _drop_unused_tables(self) -> None:
        used = set(self.table_by_class.values())
        self.tables = {
            key: weights
            for key, weights in self.tables.items()
            if key.binding_epoch == self.binding_epoch or key in used
        }

    def _set_admission(self, delta: AdmissionDelta) -> None:
        admission = Admission(delta.admitted_share, delta.retry_policy)
        for request_class in delta.classes:
            self.admission[AdmissionKey(delta.table, request_class)] = admission

    def _end_admission(self, table: int) -> None:
        self.admission = {key: admission for key, admission in self.admission.items() if key.table != table}
