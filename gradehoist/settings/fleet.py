"""Data types of the settings of a fleet; `gradehoist.settings.fleet_parser` reads them."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import msgspec

from gradehoist.cells.rate_limits import RateLimits
from gradehoist.cells.routes import home_cell
from gradehoist.identifiers import Identifiers
from gradehoist.interface import (
    ChannelLimits,
    Idempotency,
    LoadReporting,
    PolicyConfig,
    RequestClass,
    SafetyLimits,
)
from gradehoist.zones.evacuation import EvacuationTiming

Address = tuple[str, int]

DEFAULT_LEASE_US = 3_000_000
DEFAULT_SETTLE_US = 10_000_000


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """The settings of a request class, which refer to zones and kinds by name."""

    name: str
    latency_objective_us: int
    deadline_us: int
    priority_weight: float
    late_priority_factor: float
    idempotency: Idempotency
    allowed_zones: tuple[str, ...] | None
    allowed_kinds: tuple[str, ...] | None
    zone_local: bool


class CellPlacement(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The placement of replicas and tenants in cells.

    `gradehoist cells place` writes it to a file, but for `lease_us`, `settle_us` and `limits`, which come
    from the settings.

    Attributes:
        cells: The names of the cells.
        cell_by_replica: The cell of each replica.
        cell_by_tenant: The cell of each tenant that does not live in the cell that its hash selects.
        cell_by_range: The cell of each equal range of the hash. It is empty if that is `cells`; it differs
            after a split, which leaves the ranges as they were.
        lease_us: How long a replica accepts writes after a heartbeat of a governor.
        settle_us: The time after which a write has either completed or failed and is no longer retried.
        limits: The rate limits at each proxy.
    """

    cells: tuple[str, ...]
    cell_by_replica: dict[str, str] = msgspec.field(name="workers")
    cell_by_tenant: dict[str, str] = msgspec.field(default_factory=dict, name="named")
    cell_by_range: tuple[str, ...] = msgspec.field(default=(), name="ranges")
    lease_us: int = msgspec.field(default=DEFAULT_LEASE_US, name="lease")
    settle_us: int = msgspec.field(default=DEFAULT_SETTLE_US, name="settle")
    limits: RateLimits | None = None

    def home_cell(self, tenant: str) -> str:
        """Returns the cell of a tenant that has never migrated."""
        return home_cell(tenant, self.cell_by_range or self.cells, self.cell_by_tenant)

    def replicas_of(self, cell: str) -> frozenset[str]:
        """Returns the replicas of a cell."""
        return frozenset(replica for replica, own_cell in self.cell_by_replica.items() if own_cell == cell)


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """The settings of the coordination store that the fleet's processes share.

    Attributes:
        folder: The folder of a store on this machine; None if the store is etcd.
        etcd_address: The address of etcd; None if the store is a folder.
        key_prefix: The prefix of all keys in etcd.
        session_ttl_us: How long a session lasts without a renewal; other processes wait that long for its
            owner.
        lost_after_us: How long contacts with a member have to fail before the member is regarded as lost.
        contact_interval_us: The time between two contacts with a member.
        fallback_hold_us: How long agreed limits remain in force while the store is unavailable.
        fallback_ramp_us: How long the transition to local limits takes after that.
        zones: The timing of coordinated zone evacuation, or None if zones are not evacuated.
    """

    folder: Path | None
    etcd_address: Address | None
    key_prefix: str
    session_ttl_us: int
    lost_after_us: int
    contact_interval_us: int
    fallback_hold_us: int
    fallback_ramp_us: int
    zones: EvacuationTiming | None = None


@dataclass(frozen=True, slots=True)
class FleetSettings:
    """The settings that all governors of a fleet share.

    Attributes:
        proxy_count: The number of proxies of all governors together.
        report_lines_per_s: The rate at which lines of load reports are passed to the policy.
        endpoint_list_address: The address of the service that provides the endpoint list.
        poll_hold_us: How long the response to a poll is delayed while there are no messages.
        silence_limit_us: The time without a poll after which a proxy's stream ends.
        max_health_checks: The number of health checks that may run at the same time.
    """

    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    classes: tuple[RequestClassSettings, ...]
    proxy_count: int
    admission_enabled: bool
    safety: SafetyLimits
    channel: ChannelLimits
    load_reporting: LoadReporting
    report_lines_per_s: float
    endpoint_list_address: Address
    poll_hold_us: int
    silence_limit_us: int
    health_check_timeout_us: int
    max_health_checks: int
    placement: CellPlacement | None = None
    coordination: CoordinationSettings | None = None


@dataclass(frozen=True, slots=True)
class GovernorSettings:
    """The settings of one governor.

    `memory_limit_bytes` is None if the limits of the process itself count.
    """

    name: str
    zone: str
    listen_address: Address
    state_folder: Path
    seed: int
    memory_limit_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class Settings:
    """The content of a settings file: the fleet and its governors."""

    fleet: FleetSettings
    governors: tuple[GovernorSettings, ...]

    def governor(self, name: str) -> GovernorSettings:
        """Returns a governor by its name. Raises KeyError if there is none of that name."""
        for governor in self.governors:
            if governor.name == name:
                return governor
        known = ", ".join(governor.name for governor in self.governors)
        raise KeyError(f"no governor {name!r}; the settings name {known}")


def policy_config(
    fleet: FleetSettings, names: Identifiers, seed: int, channel: ChannelLimits
) -> PolicyConfig:
    """Returns the configuration of a policy, in which indices replace names."""
    classes = tuple(_policy_class(settings, names) for settings in fleet.classes)
    return PolicyConfig(
        seed=seed,
        zone_count=len(fleet.zones),
        proxy_count=fleet.proxy_count,
        key_range_count=0,
        admission_enabled=fleet.admission_enabled,
        classes=classes,
        safety=fleet.safety,
        channel=channel,
        load_reporting=fleet.load_reporting,
    )


def _policy_class(settings: RequestClassSettings, names: Identifiers) -> RequestClass:
    zones, kinds = settings.allowed_zones, settings.allowed_kinds
    return RequestClass(
        latency_objective_us=settings.latency_objective_us,
        deadline_us=settings.deadline_us,
        priority_weight=settings.priority_weight,
        late_priority_factor=settings.late_priority_factor,
        idempotency=settings.idempotency,
        allowed_zones=None if zones is None else tuple(names.zones.intern(zone) for zone in zones),
        allowed_kinds=None if kinds is None else tuple(names.kinds.intern(kind) for kind in kinds),
        zone_local=settings.zone_local,
    )
