"""What a scenario file says: the fleet as governors know it, the test doubles that play it, and the faults.

`definition_reader` reads it from KDL, `plan_builder` draws the plan of a run from it.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.scenario.faults.fault import EndpointListDelays, Fault
from gradehoist.settings.fleet import Settings


@dataclass(frozen=True, slots=True)
class ReplicaGroup:
    """Replicas of one zone and kind; the spare ones are not listed until a fault has them take over."""

    zone: str
    kind: str
    count: int
    cores: int
    speed: float
    spare: int


@dataclass(frozen=True, slots=True)
class ProxyGroup:
    """Proxies of one zone."""

    zone: str
    count: int


@dataclass(frozen=True, slots=True)
class ClassLoad:
    """A class's share of the requests, the mean work of one in ms at speed 1, and its variation."""

    share: float
    work_ms: float
    coefficient_of_variation: float


@dataclass(frozen=True, slots=True)
class Traffic:
    """`load` is the rate as a share of what the listed replicas can do; `skew` spreads it over proxies."""

    load: float
    skew: float
    loads: dict[str, ClassLoad]


@dataclass(frozen=True, slots=True)
class TenantMix:
    """Tenants, how unevenly they share the traffic (lognormal), and the number of cells (0: no cells)."""

    count: int
    skew: float
    cells: int


@dataclass(frozen=True, slots=True)
class RateLimitMultiples:
    """Rate limits at proxies, as multiples of the even share of a cell and of the mean share of a tenant."""

    cell: float
    tenant: float
    burst_s: float
    tenant_in_flight: int


@dataclass(frozen=True, slots=True)
class ReplicaBehaviour:
    """How the replicas' test doubles behave; `handshake_work_ms` is the work for each new connection."""

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
    """How the clients' test doubles behave."""

    retries: float
    attempt_share: float
    backoff_us: int


@dataclass(frozen=True, slots=True)
class ProxyBehaviour:
    """How the proxies' test doubles behave; the delays are drawn between two times."""

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
    """A scenario file; `fleet_text` is its fleet node as KDL, for the settings of the governors."""

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
