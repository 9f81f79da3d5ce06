"""The documents of the governor's feed, which a proxy reads by long poll.

A message is a list of changes (deltas) to what the messages before it made. A poll names the epoch, the
stream and the last message applied, which it acknowledges. A proxy whose messages can no longer be sent gets
one snapshot, marked as such. `gradehoist.protocol.proxy_state` applies messages.

The encoded names of fields and deltas are part of the governor's HTTP API (`docs/feed.md`). The docstrings
of encoded types use them in backticks, because they are the descriptions in `docs/openapi.json` as well.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Microseconds = Annotated[int, msgspec.Meta(ge=0, le=10**12)]
FIRST_GENERATION = 1  # of a tenant that has never migrated


class WeightDelta(msgspec.Struct, frozen=True, tag="line", array_like=True):
    """Sets the weight of a replica in a table; weight 0 removes it."""

    table: int
    replica: str
    weight: float


class ClearDelta(msgspec.Struct, frozen=True, tag="clear", array_like=True):
    """Removes a table's weights and admission shares."""

    table: int


class BindDelta(msgspec.Struct, frozen=True, tag="bind", array_like=True):
    """Binds classes to a table, whose weights are exactly these.

    Admission shares of the table that the proxy has end; those that still hold follow. The first bind of a
    stream ends all earlier withdrawals.
    """

    table: int
    classes: tuple[str, ...]
    weights: dict[str, float]


class WithdrawalDelta(msgspec.Struct, frozen=True, tag="out", array_like=True):
    """No more requests go to this replica, whatever any table says."""

    replica: str


class RestorationDelta(msgspec.Struct, frozen=True, tag="back", array_like=True):
    """Ends the withdrawal of a replica."""

    replica: str


class AdmissionDelta(msgspec.Struct, frozen=True, tag="level", array_like=True):
    """Sets the admitted share of classes and their retry policy, 0 to 3; without a table, for all tables."""

    table: int | None
    classes: tuple[str, ...]
    admitted_share: float
    retry_policy: int


class TenantRoutes(msgspec.Struct, frozen=True, tag="route", array_like=True):
    """Says where tenants live: in the cell that `cell_by_tenant` gives, else in that of their hash.

    The number of the cell is then the CRC-32 of the name in UTF-8, times the number of cells, over 2**32.
    Classes are called CELL/CLASS. A tenant without a generation has the first one.
    """

    cells: tuple[str, ...]
    cell_by_tenant: dict[str, str]
    generations: dict[str, int] = {}


class TenantMigrated(msgspec.Struct, frozen=True, tag="moved", array_like=True):
    """Says where a tenant lives from this generation on.

    Without a cell the tenant is between two cells, and its requests are rejected.
    """

    tenant: str
    cell: str
    generation: int


class RateLimitsDelta(msgspec.Struct, frozen=True, tag="limits", array_like=True):
    """Sets what one proxy admits: requests a second of a cell and of a tenant, with bursts of `burst_s`.

    At most `tenant_in_flight` requests of a tenant and `cell_in_flight` of a cell are in flight at once; 0 is
    no limit.
    """

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
    """A message of a stream, to be applied as a whole.

    `reply` numbers the decisions that the governor made at one time, `at` is that time (µs of the governor's
    monotonic clock), `cost` the message's cost in lines. With `whole` the deltas are the full state.
    """

    seq: int
    reply_number: int = msgspec.field(name="reply")
    created_us: int = msgspec.field(name="at")
    cost_lines: float = msgspec.field(name="cost")
    deltas: tuple[Delta, ...]
    revision: int | None = msgspec.field(default=None, name="mark")
    is_snapshot: bool = msgspec.field(default=False, name="whole")


class PollResponse(msgspec.Struct, frozen=True):
    """The answer to a poll. If `joined`, the stream is new, and the proxy's state holds until it is bound."""

    epoch: str
    stream: int
    messages: tuple[Message, ...] = ()
    is_new_stream: bool = msgspec.field(default=False, name="joined")


class ReplicaAttempts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One proxy's attempts at a replica; `elapsed` is the mean time of the successful ones (µs)."""

    replica: Name
    attempts: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(default=0, name="bad")
    elapsed_us: Microseconds = msgspec.field(default=0, name="elapsed")
    busy_share: Weight | None = msgspec.field(default=None, name="busy")
    in_flight: Weight | None = None
    service_ms: Weight | None = None


class ClassRequests(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of a class that reached one proxy, and those of them that had no answer."""

    request_class: Name = msgspec.field(name="cls")
    requests: Count = msgspec.field(name="number")
    incomplete: Count = msgspec.field(default=0, name="unanswered")


class ProxyLoadReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one proxy measured over `window` (µs)."""

    proxy: Name = msgspec.field(name="relay")
    epoch: str
    window_us: Microseconds = msgspec.field(name="window")
    attempts: tuple[ReplicaAttempts, ...] = msgspec.field(default=(), name="tries")
    requests: tuple[ClassRequests, ...] = msgspec.field(default=(), name="came")


class EndpointRecord(msgspec.Struct, frozen=True):
    """A replica in the endpoint list.

    `boot` changes with each start of the replica, `age` is the time since then (µs, when the list was
    written). `address` is where the reader reaches the replica, if that is not its name.
    """

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
    """The complete endpoint list (`whole`), or its changes since version `after`.

    `life` changes when the versions begin again.
    """

    incarnation: str = msgspec.field(name="life")
    version: int
    endpoints: tuple[EndpointRecord, ...] = msgspec.field(default=(), name="entries")
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    since_version: int = msgspec.field(default=0, name="after")


def apply_migration(routes: TenantRoutes, migration: TenantMigrated) -> TenantRoutes:
    """Returns the routes after a migration; one of an older generation changes nothing.

    Of the generation that is known already, only a message with a cell counts: it names the cell in which the
    migration ended.
    """
    tenant = migration.tenant
    known_generation = routes.generations.get(tenant, FIRST_GENERATION)
    if migration.generation < known_generation:
        return routes
    if migration.generation == known_generation and not migration.cell:
        return routes
    return TenantRoutes(
        cells=routes.cells,
        cell_by_tenant={**routes.cell_by_tenant, tenant: migration.cell},
        generations={**routes.generations, tenant: migration.generation},
    )
