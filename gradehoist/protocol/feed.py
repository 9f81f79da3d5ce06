"""The JSON documents of the governor's feed, which proxies read by long polling.

A message is a list of changes (deltas) to the state that earlier messages built up. A poll contains the
epoch, the stream and the last message applied, which it thereby acknowledges. If the messages that a proxy
lacks are no longer available, it gets a single snapshot, marked as such. `gradehoist.protocol.proxy_state`
applies messages.

The encoded names of fields and deltas are part of the governor's HTTP API (`docs/feed.md`), and the
docstrings of encoded types refer to fields by these names. The descriptions in `docs/openapi.json` are
separate texts in `gradehoist.governor.openapi`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=128)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Count = Annotated[int, msgspec.Meta(ge=0, le=10**9)]
Microseconds = Annotated[int, msgspec.Meta(ge=0, le=10**12)]
FIRST_GENERATION = 1  # the generation of a tenant that has never migrated


class WeightDelta(msgspec.Struct, frozen=True, tag="line", array_like=True):
    """Sets the weight of a replica in a table; weight 0 removes it."""

    table: int
    replica: str
    weight: float


class ClearDelta(msgspec.Struct, frozen=True, tag="clear", array_like=True):
    """Removes a table's weights and admission shares."""

    table: int


class BindDelta(msgspec.Struct, frozen=True, tag="bind", array_like=True):
    """Binds classes to a table and replaces the weights of the table.

    The proxy discards its admission shares for the table; those still in force follow as separate deltas. The
    first bind of a stream ends all earlier withdrawals.
    """

    table: int
    classes: tuple[str, ...]
    weights: dict[str, float]


class WithdrawalDelta(msgspec.Struct, frozen=True, tag="out", array_like=True):
    """Withdraws a replica: it gets no more requests, whatever its weights are."""

    replica: str


class RestorationDelta(msgspec.Struct, frozen=True, tag="back", array_like=True):
    """Ends the withdrawal of a replica."""

    replica: str


class AdmissionDelta(msgspec.Struct, frozen=True, tag="level", array_like=True):
    """Sets the admitted share and the retry policy (0 to 3) of classes, in one table or, if null, in all."""

    table: int | None
    classes: tuple[str, ...]
    admitted_share: float
    retry_policy: int


class TenantRoutes(msgspec.Struct, frozen=True, tag="route", array_like=True):
    """Assigns tenants to cells: by `cell_by_tenant` or, for tenants not named there, by hash.

    The index of the cell is then the CRC-32 of the tenant's name in UTF-8, multiplied by the number of cells
    and divided by 2**32, rounded down. Class names have the form CELL/CLASS. A tenant without an entry in
    `generations` has the first generation.
    """

    cells: tuple[str, ...]
    cell_by_tenant: dict[str, str]
    generations: dict[str, int] = {}


class TenantMigrated(msgspec.Struct, frozen=True, tag="moved", array_like=True):
    """Assigns a tenant to a cell from this generation on.

    If the cell is empty, the tenant is between two cells, and its requests are rejected.
    """

    tenant: str
    cell: str
    generation: int


class RateLimitsDelta(msgspec.Struct, frozen=True, tag="limits", array_like=True):
    """Limits the requests that one proxy admits, as rates per second of a cell and of a tenant.

    Bursts may have the size of `burst_s` seconds of the rate. At most `tenant_in_flight` requests of a tenant
    and `cell_in_flight` of a cell are in flight at once; 0 means no limit.
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
    """A message of a stream, to be applied as a unit.

    `reply` is the number of the round of decisions that the message belongs to, `at` the time of that round
    (µs of the governor's monotonic clock) and `cost` the message's cost in lines. If `whole` is set, the
    deltas are the full state.
    """

    seq: int
    reply_number: int = msgspec.field(name="reply")
    created_us: int = msgspec.field(name="at")
    cost_lines: float = msgspec.field(name="cost")
    deltas: tuple[Delta, ...]
    revision: int | None = msgspec.field(default=None, name="mark")
    is_snapshot: bool = msgspec.field(default=False, name="whole")


class PollResponse(msgspec.Struct, frozen=True):
    """The response to a poll. If `joined`, the stream is new and the proxy keeps its state until a bind."""

    epoch: str
    stream: int
    messages: tuple[Message, ...] = ()
    is_new_stream: bool = msgspec.field(default=False, name="joined")


class ReplicaAttempts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One proxy's attempts at a replica; `elapsed` is the mean duration of the successful ones (µs)."""

    replica: Name
    attempts: Count = msgspec.field(name="tries")
    failures: Count = msgspec.field(default=0, name="bad")
    elapsed_us: Microseconds = msgspec.field(default=0, name="elapsed")
    busy_share: Weight | None = msgspec.field(default=None, name="busy")
    in_flight: Weight | None = None
    service_ms: Weight | None = None


class ClassRequests(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Requests of a class that one proxy received, and how many of them got no response."""

    request_class: Name = msgspec.field(name="cls")
    requests: Count = msgspec.field(name="number")
    incomplete: Count = msgspec.field(default=0, name="unanswered")


class ProxyLoadReport(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The measurements of one proxy over `window` (µs)."""

    proxy: Name = msgspec.field(name="relay")
    epoch: str
    window_us: Microseconds = msgspec.field(name="window")
    attempts: tuple[ReplicaAttempts, ...] = msgspec.field(default=(), name="tries")
    requests: tuple[ClassRequests, ...] = msgspec.field(default=(), name="came")


class EndpointRecord(msgspec.Struct, frozen=True):
    """A replica in the endpoint list.

    `boot` changes with each start of the replica; `age` is the time from that start to the writing of the
    list (µs). `address` is the replica's address if it differs from its name.
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
    """The complete endpoint list (if `whole` is set), or its changes since version `after`.

    `life` changes when the version numbers restart.
    """

    incarnation: str = msgspec.field(name="life")
    version: int
    endpoints: tuple[EndpointRecord, ...] = msgspec.field(default=(), name="entries")
    is_snapshot: bool = msgspec.field(default=False, name="whole")
    since_version: int = msgspec.field(default=0, name="after")


def apply_migration(routes: TenantRoutes, migration: TenantMigrated) -> TenantRoutes:
    """Returns the routes after a migration; a migration of an older generation is ignored.

    A message of the known generation is applied only if it names a cell, which is the one in which the
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
