"""The records of a fleet's settings; `gradehoist.settings.fleet_parser` reads them."""

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
    """A class of requests, with the names of zones and kinds."""

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
    """A placement file, as `gradehoist cells place` writes it: cells, and the cells of replicas and tenants.

    `cell_by_range` has the cell of each even range of the hash, where that differs from `cells`: a split
    leaves the ranges as they were. The lease of replicas, the time after which a write and its retries are
    settled, and the limits at each proxy come from the settings.
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
        return frozenset(replica for replica, own in self.cell_by_replica.items() if own == cell)


@dataclass(frozen=True, slots=True)
class CoordinationSettings:
    """The coordination store of the fleet's processes: a folder of this machine, or etcd.

    Attributes:
        session_ttl_us: How long other processes wait for one that does not renew its session.
        lost_after_us: How long contacts with a member fail before it counts as lost.
        contact_interval_us: The time between two contacts with a member.
        fallback_hold_us: How long agreed limits hold without the store.
        fallback_ramp_us: How long it takes to leave them after that.
        zones: Whether zones are evacuated together, and its timing.
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
    """What all governors of a fleet know of it.

    Attributes:
        proxy_count: The proxies of all governors together.
        report_lines_per_s: The rate at which the policy gets lines of load reports.
        endpoint_list_address: The service that has the endpoint list.
        poll_hold_us: How long a poll without messages is held.
        silence_limit_us: How long a proxy may go without a poll before its stream ends.
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
    """What one governor knows of itself."""

    name: str
    zone: str
    listen_address: Address
    state_folder: Path
    seed: int


@dataclass(frozen=True, slots=True)
class Settings:
    """A settings file: the fleet and its governors."""

    fleet: FleetSettings
    governors: tuple[GovernorSettings, ...]

    def governor(self, name: str) -> GovernorSettings:
        """Returns a governor by its name. Raises KeyError if the settings have none of that name."""
        for governor in self.governors:
            if governor.name == name:
                return governor
        known = ", ".join(governor.name for governor in self.governors)
        raise KeyError(f"no governor {name!r}; the settings name {known}")


def policy_config(
    fleet: FleetSettings, names: Identifiers, seed: int, channel: ChannelLimits
) -> PolicyConfig:
    """Returns the configuration of a policy, with indices in place of names."""
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
