"""The contents of a scenario file: the fleet, the behaviour of the test doubles, and the faults to inject.

`definition_reader` reads them from KDL, and `plan_builder` generates the plan of a run from them.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.scenario.faults.fault import EndpointListDelays, Fault
from gradehoist.settings.fleet import Settings


@dataclass(frozen=True, slots=True)
class ReplicaGroup:
    """Replicas of one zone and kind.

    The `spare` replicas come on top of `count`. They are not in the endpoint list until a fault starts them.
    """

    zone: str
    kind: str
    count: int
    cores: int
    speed: float
    spare: int


@dataclass(frozen=True, slots=True)
class ProxyGroup:
    """The proxies of one zone."""

    zone: str
    count: int


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """The load of one class: its share of the requests, and the mean work of a request at speed 1."""

    share: float
    work_ms: float
    coefficient_of_variation: float


@dataclass(frozen=True, slots=True)
class Traffic:
    """The traffic of a scenario.

    Attributes:
        load: the request rate as a share of the capacity of the listed replicas.
        skew: the sigma of the lognormal distribution of the proxies' shares of the traffic.
        loads: the load of each class.
    """

    load: float
    skew: float
    loads: dict[str, ClassLoad]


@dataclass(frozen=True, slots=True)
class TenantMix:
    """The tenants of a scenario.

    Attributes:
        count: the number of tenants.
        skew: the sigma of the lognormal distribution of the tenants' shares of the traffic.
        cells: the number of cells, 0 if the tenants are not divided into cells.
    """

    count: int
    skew: float
    cells: int


@dataclass(frozen=True, slots=True)
class RateLimitMultiples:
    """The rate limits at each proxy, as multiples of the mean request rate of a cell and of a tenant there.

    Attributes:
        cell: the multiple for a cell.
        tenant: the multiple for a tenant.
        burst_s: how many seconds of the limit can be used at once.
        tenant_in_flight: the limit on a tenant's concurrent requests, 0 for none.
    """

    cell: float
    tenant: float
    burst_s: float
    tenant_in_flight: int


@dataclass(frozen=True, slots=True)
class ReplicaBehaviour:
    """The behaviour of the replicas' test doubles.

    Attributes:
        slots_per_core: requests processed concurrently per core.
        queue_per_core: requests queued per core before further ones are shed.
        start_capacity: the share of its speed with which a replica begins its warm-up.
        warmup_us: the duration of the warm-up.
        report_period_us: the mean time between two load reports.
        handshake_work_ms: the work for each new connection.
        drops_abandoned_requests: whether a queued request is dropped after its proxy gave up.
        rejection_proves_no_effect: whether a request that was shed is known to have had no effect.
    """

    slots_per_core: float
    queue_per_core: float
    start_capacity: float
    warmup_us: int
    report_period_us: int
    handshake_work_ms: float
    drops_abandoned_requests: bool
    rejection_proves_no_effect: bool


@dataclass(frozen=True, slots=True)
class ClientBehaviour:
    """The behaviour of the clients' test doubles.

    Attributes:
        retries: how often a client sends a request again.
        attempt_share: the share of the deadline that an attempt may take.
        backoff_us: the pause before a retry.
    """

    retries: float
    attempt_share: float
    backoff_us: int


@dataclass(frozen=True, slots=True)
class ProxyBehaviour:
    """The behaviour of the proxies' test doubles; their delays are sampled between a minimum and a maximum.

    Attributes:
        failures_to_avoid: the number of failures in a row after which a proxy avoids a replica; 0 for never.
        avoid_us: how long it avoids the replica.
        retry_policy: the retry policy that applies until a governor sets one.
        attempt_factor: the multiple of the latency objective that an attempt may take.
        default_table_size: the number of replicas in a default table.
        reconnect_min_us: the minimum pause before a proxy connects to a governor again.
        reconnect_max_us: the maximum of that pause.
        report_delay_min_us: the minimum delay of a load report.
        report_delay_max_us: the maximum of that delay.
    """

    failures_to_avoid: float
    avoid_us: int
    retry_policy: float
    attempt_factor: float
    default_table_size: float
    reconnect_min_us: int
    reconnect_max_us: int
    report_delay_min_us: int
    report_delay_max_us: int


@dataclass(frozen=True, slots=True)
class Scenario:
    """The contents of a scenario file; `fleet_text` is its `fleet` node in KDL, for the governors."""

    name: str
    length_us: int
    seed: int
    settings: Settings
    fleet_text: str
    replica_groups: tuple[ReplicaGroup, ...]
    proxy_groups: tuple[ProxyGroup, ...]
    traffic: Traffic
    tenants: TenantMix
    rate_limits: RateLimitMultiples | None
    replica_behaviour: ReplicaBehaviour
    client_behaviour: ClientBehaviour
    proxy_behaviour: ProxyBehaviour
    endpoint_list_delays: EndpointListDelays
    faults: tuple[Fault, ...]
