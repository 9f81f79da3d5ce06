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
Micros = Annotated[int, msgspec.Meta(ge=0, le=10**12)]


class Line(msgspec.Struct, frozen=True, tag="line", array_like=True):
    """One line of a table; weight 0 removes it."""

    table: int
    replica: str
    weight: float


class Clear(msgspec.Struct, frozen=True, tag="clear", array_like=True):
    table: int


class Bind(msgspec.Struct, frozen=True, tag="bind", array_like=True):
    """Puts the relay on a table for the classes named; levels of that table held so far end, those that stand
    follow. The stream's first bind ends earlier withdrawals."""

    table: int
    classes: tuple[str, ...]
    lines: dict[str, float]


class Out(msgspec.Struct, frozen=True, tag="out", array_like=True):
    """Nothing more is sent to this replica, whatever the tables say."""

    replica: str


class Back(msgspec.Struct, frozen=True, tag="back", array_like=True):
    replica: str


class Level(msgspec.Struct, frozen=True, tag="level", array_like=True):
    """Lets in `share` of the classes; `tries` is the way of trying again, 0 to 3. Table None: everywhere."""

    table: int | None
    classes: tuple[str, ...]
    share: float
    tries: int


class Route(msgspec.Struct, frozen=True, tag="route", array_like=True):
    """Tenants live in the cell that `named` gives, else in that of their hash's even range over `cells`:
    crc32 of the name in UTF-8, times the number of cells, over 2**32. Classes are then called CELL/CLASS."""

    cells: tuple[str, ...]
    named: dict[str, str]
    gens: dict[str, int] = {}


class Moved(msgspec.Struct, frozen=True, tag="moved", array_like=True):
    """A tenant's cell from this generation on; no cell: it is on its way and its writes are refused."""

    tenant: str
    cell: str
    gen: int


class Limits(msgspec.Struct, frozen=True, tag="limits", array_like=True):
    """What one relay lets in: transactions a second of a cell and of a tenant, `burst` in seconds of them,
    `held` in hand at once from one tenant, `cell_held` from a cell (0: any number)."""

    cell: Weight
    tenant: Weight
    burst: Weight
    held: Count
    cell_held: Count = 0


Delta = Line | Clear | Bind | Out | Back | Level | Route | Moved | Limits


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """`reply` numbers the orders given at one time, `at` is when (µs, the governor's monotonic clock);
    `whole` says that the deltas stand for the full state; `cost` is the message's price in lines."""

    seq: int
    reply: int
    at: int
    cost: float
    deltas: tuple[Delta, ...]
    mark: int | None = None
    whole: bool = False


class Feed(msgspec.Struct, frozen=True):
    """An answer to a poll. `joined`: the stream is new, the relay goes on with what it holds until bound."""

    epoch: str
    stream: int
    messages: tuple[Message, ...] = ()
    joined: bool = False


class Try(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one relay met at a replica: `elapsed` is the mean of the good tries, µs."""

    replica: Name
    tries: Count
    bad: Count = 0
    elapsed: Micros = 0
    busy: Weight | None = None
    in_flight: Weight | None = None
    service_ms: Weight | None = None


class Came(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    cls: Name
    number: Count
    unanswered: Count = 0


class Sums(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a relay met over `window` µs."""

    relay: Name
    epoch: str
    window: Micros
    tries: tuple[Try, ...] = ()
    came: tuple[Came, ...] = ()


class Replica(msgspec.Struct, frozen=True):
    """A roster entry. `boot` changes with each start, `age` is the time since it (µs, when written);
    `address` is where the reader reaches it, if that is not its name."""

    replica: Name
    zone: Name
    address: str = ""
    kind: str = ""
    cell: int = 0
    phase: str = "ready"
    size: Weight = 1.0
    boot: str = ""
    age: Annotated[int, msgspec.Meta(ge=0)] = 0


class Roster(msgspec.Struct, frozen=True):
    """A whole list, or the changes since version `after`; `life` changes when versions start anew."""

    life: str
    version: int
    entries: tuple[Replica, ...] = ()
    whole: bool = False
    after: int = 0


def moved(route: Route, news: Moved) -> Route:
    """The route after a move; a move of a generation that is known or past changes nothing."""
    if news.gen < route.gens.get(news.tenant, 1) or (
        news.gen == route.gens.get(news.tenant, 1) and not news.cell
    ):
        return route
    return Route(route.cells, {**route.named, news.tenant: news.cell}, {**route.gens, news.tenant: news.gen})


class Holdings:
    """What a relay holds: tables, withdrawals and levels, brought forward message by message.

    Table numbers mean something within one stream only, so tables are kept by life (one for each stream
    that bound the relay) and number; a table of an earlier life goes when its last class is bound anew.
    """

    def __init__(self) -> None:
        self.life = 0
        self.tables: dict[tuple[int, int], dict[str, float]] = {}
        self.table: dict[str, tuple[int, int]] = {}  # by class
        self.out: set[str] = set()
        self.levels: dict[tuple[int | None, str], tuple[float, int]] = {}
        self.bound = False
        self.route: Route | None = None
        self.limits: Limits | None = None

    def stand(self, classes: dict[str, dict[str, float]]) -> None:
        """Standing tables, until the first bind."""
        for n, (name, lines) in enumerate(classes.items()):
            self.tables[0, n], self.table[name] = dict(lines), (0, n)

    def joined(self) -> None:
        """A new stream: what is held stays in force until the first bind or picture."""
        self.bound = False

    def _begin(self) -> None:
        if not self.bound:
            self.bound, self.life = True, self.life + 1
            self.out, self.levels = set(), {}

    def apply(self, message: Message) -> None:
        if message.whole:
            self.out, self.levels = set(), {}
            if any(isinstance(delta, Bind) for delta in message.deltas):
                self.bound = False
        for delta in message.deltas:
            match delta:
                case Line(table, replica, weight):
                    lines = self.tables.setdefault((self.life, table), {})
                    if weight > 0:
                        lines[replica] = weight
                    else:
                        lines.pop(replica, None)
                case Clear(table):
                    self.tables[self.life, table] = {}
                    self.levels = {k: v for k, v in self.levels.items() if k[0] != table}
                case Bind(table, classes, lines):
                    self._begin()
                    self.tables[self.life, table] = dict(lines)
                    self.table |= dict.fromkeys(classes, (self.life, table))
                    # The table's levels follow. One left from an earlier binding outlived the table's
                    # clearing, which a relay that is not on it never hears of.
                    self.levels = {k: v for k, v in self.levels.items() if k[0] != table}
                    used = set(self.table.values())
                    self.tables = {k: t for k, t in self.tables.items() if k[0] == self.life or k in used}
                case Out(replica):
                    self.out.add(replica)
                case Back(replica):
                    self.out.discard(replica)
                case Level(table, classes, share, tries):
                    self.levels |= {(table, c): (share, tries) for c in classes}
                case Route():
                    self.route = delta
                case Limits():
                    self.limits = delta
                case Moved() if self.route is not None:
                    self.route = moved(self.route, delta)

    def lines(self, cls: str) -> dict[str, float]:
        """The lines that the class may pick from now, withdrawals taken out."""
        table = self.tables.get(self.table.get(cls, (-1, -1)), {})
        return {r: w for r, w in table.items() if r not in self.out}

    def level(self, cls: str, usual: int) -> tuple[float, int]:
        """The share let in and the way of trying again; of two shares the lower one, the table's own way."""
        everywhere = self.levels.get((None, cls), (1.0, usual))
        own = self.levels.get((self.table.get(cls, (-1, -1))[1], cls))
        return (min(own[0], everywhere[0]), own[1]) if own else everywhere
