"""The feed's documents: what a relay reads by long poll, and the state that it keeps from them.

A message is a list of deltas on the one before. A poll names the epoch, the stream and the last message
applied, which acknowledges it. A relay that can't be continued gets one whole picture, marked as such.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Microseconds = Annotated[int, msgspec.Meta(ge=0, le=10**12)]


class WeightDelta(msgspec.Struct, frozen=True, tag="line", array_like=True):
    """One line of a table; weight 0 removes it."""

    table: int
    replica: str
    weight: float


class ClearDelta(msgspec.Struct, frozen=True, tag="clear", array_like=True):
    table: int


class BindDelta(msgspec.Struct, frozen=True, tag="bind", array_like=True):
    """Puts the relay on a table for the classes named; levels of that table held so far end, those that stand
    follow. The stream's first bind ends earlier withdrawals."""

    table: int
    classes: tuple[str, ...]
    weights: dict[str, float]


class WithdrawalDelta(msgspec.Struct, frozen=True, tag="out", array_like=True):
    """Nothing more is sent to this replica, whatever the tables say."""

    replica: str


class RestorationDelta(msgspec.Struct, frozen=True, tag="back", array_like=True):
    replica: str


class AdmissionDelta(msgspec.Struct, frozen=True, tag="level", array_like=True):
    """Lets in `share` of the classes; `tries` is the way of trying again, 0 to 3. Table None: everywhere."""

    table: int | None
    classes: tuple[str, ...]
    admitted_share: float
    retry_policy: int


class TenantRoutes(msgspec.Struct, frozen=True, tag="route", array_like=True):
    """Tenants live in the cell that `named` gives, else in that of their hash's even range over `cells`:
    crc32 of the name in UTF-8, times the number of cells, over 2**32. Classes are then called CELL/CLASS."""

    cells: tuple[str, ...]
    cell_by_tenant: dict[str, str]
    generations: dict[str, int] = {}


class TenantMigrated(msgspec.Struct, frozen=True, tag="moved", array_like=True):
    """A tenant's cell from this generation on; no cell: it is on its way and its writes are refused."""

    tenant: str
    cell: str
    generation: int


class RateLimitsDelta(msgspec.Struct, frozen=True, tag="limits", array_like=True):
    """What one relay lets in: transactions a second of a cell and of a tenant, `burst` in seconds of them,
    `held` in hand at once from one tenant, `cell_held` from a cell (0: any number)."""

    cell_rate: Weight
    tenant_rate: Weight
    burst_s: Weight
    tenant_in_flight: Count
    cell_in_flight: Count = 0


Delta = (
    WeightDelta
    | ClearDelta
    | BindDelta
    | WithdrawalDelta
    | RestorationDelta
    | AdmissionDelta
    | TenantRoutes
    | TenantMigrated
    | RateLimitsDelta
)


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """`reply` numbers the orders given at one time, `at` is when (µs, the governor's monotonic clock);
    `whole` says that the deltas stand for the full state; `cost` is the message's price in lines."""

    seq: int
    reply_number: int = msgspec.field(name="reply")
    created_us: int = msgspec.field(name="at")
    cost_lines: float = msgspec.field(name="cost")
    deltas: tuple[Delta, ...]
    revision: int | None = msgspec.field(default=None, name="mark")
    is_snapshot: bool = msgspec.field(default=False, name="whole")


class PollResponse(msgspec.Struct, frozen=True):
    """An answer to a poll. `joined`: the stream is new, the relay goes on with what it holds until bound."""

    epoch: str
    stream: int
    messages: tuple[Message, ...] = ()
    is_new_stream: bool = msgspec.field(default=False, name="joined")


class ReplicaAttempts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one relay met at a replica: `elapsed` is the mean of the good tries, µs."""

    replica: Name
    attempts: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(default=0, name="bad")
    elapsed_us: Microseconds = msgspec.field(default=0, name="elapsed")
    busy_share: Weight | None = msgspec.field(default=None, name="busy")
    in_flight: Weight | None = None
    service_ms: Weight | None = None


class ClassRequests(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    request_class: Name = msgspec.field(name="cls")
    requests: Count = msgspec.field(name="number")
    incomplete: Count = msgspec.field(default=0, name="unanswered")


class ProxyLoadReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a relay met over `window` µs."""

    proxy: Name = msgspec.field(name="relay")
    epoch: str
    window_us: Microseconds = msgspec.field(name="window")
    attempts: tuple[ReplicaAttempts, ...] = msgspec.field(default=(), name="tries")
    requests: tuple[ClassRequests, ...] = msgspec.field(default=(), name="came")


class EndpointRecord(msgspec.Struct, frozen=True):
    """A roster entry. `boot` changes with each start, `age` is the time since it (µs, when written);
    `address` is where the reader reaches it, if that is not its name."""

    replica: Name
    zone: Name
    address: str = ""
    kind: str = ""
    cell: int = 0
    phase: str = "ready"
    size: Weight = 1.0
    incarnation: str = msgspec.field(default="", name="boot")
    age_us: Annotated[int, msgspec.Meta(ge=0)] = msgspec.field(default=0, name="age")


class EndpointListUpdate(msgspec.Struct, frozen=True):
    """A whole list, or the changes since version `after`; `life` changes when versions start anew."""

    incarnation: str = msgspec.field(name="life")
    version: int
    endpoints: tuple[EndpointRecord, ...] = msgspec.field(default=(), name="entries")
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    since_version: int = msgspec.field(default=0, name="after")


def apply_migration(route: TenantRoutes, news: TenantMigrated) -> TenantRoutes:
    """The route after a move; a move of a generation that is known or past changes nothing."""
    if news.generation < route.generations.get(news.tenant, 1) or (
        news.generation == route.generations.get(news.tenant, 1) and not news.cell
    ):
        return route
    return TenantRoutes(
        route.cells,
        {**route.cell_by_tenant, news.tenant: news.cell},
        {**route.generations, news.tenant: news.generation},
    )


class ProxyState:
    """What a relay holds: tables, withdrawals and levels, brought forward message by message.

    Table numbers mean something within one stream only, so tables are kept by life (one for each stream
    that bound the relay) and number; a table of an earlier life goes when its last class is bound anew.
    """

    def __init__(self) -> None:
        self.binding_epoch = 0
        self.tables: dict[tuple[int, int], dict[str, float]] = {}
        self.table_by_class: dict[str, tuple[int, int]] = {}  # by class
        self.withdrawn: set[str] = set()
        self.admission: dict[tuple[int | None, str], tuple[float, int]] = {}
        self.is_bound = False
        self.routes: TenantRoutes | None = None
        self.rate_limits: RateLimitsDelta | None = None

    def install_default_tables(self, classes: dict[str, dict[str, float]]) -> None:
        """Standing tables, until the first bind."""
        for n, (name, lines) in enumerate(classes.items()):
            self.tables[0, n], self.table_by_class[name] = dict(lines), (0, n)

    def begin_stream(self) -> None:
        """A new stream: what is held stays in force until the first bind or picture."""
        self.is_bound = False

    def _begin(self) -> None:
        if not self.is_bound:
            self.is_bound, self.binding_epoch = True, self.binding_epoch + 1
            self.withdrawn, self.admission = set(), {}

    def apply(self, message: Message) -> None:
        if message.is_snapshot:
            self.withdrawn, self.admission = set(), {}
            if any(isinstance(delta, BindDelta) for delta in message.deltas):
                self.is_bound = False
        for delta in message.deltas:
            match delta:
                case WeightDelta(table, replica, weight):
                    lines = self.tables.setdefault((self.binding_epoch, table), {})
                    if weight > 0:
                        lines[replica] = weight
                    else:
                        lines.pop(replica, None)
                case ClearDelta(table):
                    self.tables[self.binding_epoch, table] = {}
                    self.admission = {k: v for k, v in self.admission.items() if k[0] != table}
                case BindDelta(table, classes, lines):
                    self._begin()
                    self.tables[self.binding_epoch, table] = dict(lines)
                    self.table_by_class |= dict.fromkeys(classes, (self.binding_epoch, table))
                    # The table's levels follow. One left from an earlier binding outlived the table's
                    # clearing, which a relay that is not on it never hears of.
                    self.admission = {k: v for k, v in self.admission.items() if k[0] != table}
                    used = set(self.table_by_class.values())
                    self.tables = {
                        k: t for k, t in self.tables.items() if k[0] == self.binding_epoch or k in used
                    }
                case WithdrawalDelta(replica):
                    self.withdrawn.add(replica)
                case RestorationDelta(replica):
                    self.withdrawn.discard(replica)
                case AdmissionDelta(table, classes, share, tries):
                    self.admission |= {(table, c): (share, tries) for c in classes}
                case TenantRoutes():
                    self.routes = delta
                case RateLimitsDelta():
                    self.rate_limits = delta
                case TenantMigrated() if self.routes is not None:
                    self.routes = apply_migration(self.routes, delta)

    def weights_for(self, cls: str) -> dict[str, float]:
        """The lines that the class may pick from now, withdrawals taken out."""
        table = self.tables.get(self.table_by_class.get(cls, (-1, -1)), {})
        return {r: w for r, w in table.items() if r not in self.withdrawn}

    def admission_for(self, cls: str, usual: int) -> tuple[float, int]:
        """The share let in and the way of trying again; of two shares the lower one, the table's own way."""
        everywhere = self.admission.get((None, cls), (1.0, usual))
        own = self.admission.get((self.table_by_class.get(cls, (-1, -1))[1], cls))
        return (min(own[0], everywhere[0]), own[1]) if own else everywhere
