"""Placements of replicas and tenants in cells: their records, and a cell while a plan is made.

How a placement is planned is in `placement_planner`.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant; `demand` is in the unit of the replicas' capacity."""

    name: str
    demand: float


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica; a tenant with a demand of 1 fills one of capacity 1."""

    name: str
    zone: str
    kind: str
    capacity: float


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """What cells have to be like.

    Attributes:
        cell_count: How many cells there are.
        min_replicas: Replicas of each cell.
        min_zones: Zones in which each cell has replicas.
        max_tenant_share: Share of a cell's tenant capacity that one tenant may fill.
        spare_share: Share of a cell's capacity that is kept free.
        survives_zone_loss: Whether a cell's tenants have to fit when its largest zone is lost.
    """

    cell_count: int
    min_replicas: int = 2
    min_zones: int = 1
    max_tenant_share: float = 0.5
    spare_share: float = 0.2
    survives_zone_loss: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The number of the cell, from 0, by replica and by tenant; `unmet_requirements` is for operators."""

    replicas: Mapping[str, int]
    tenants: Mapping[str, int]
    unmet_requirements: tuple[str, ...] = ()


def stable_hash(*names: object) -> int:
    """A number that depends on the names alone, the same on every machine."""
    return zlib.crc32(repr(names).encode())


@dataclass
class Cell:
    """A cell while the plan is made."""

    number: int
    capacity: float = 0.0
    load: float = 0.0
    capacity_by_zone: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    replicas: dict[str, Replica] = field(default_factory=dict)
    tenants: list[Tenant] = field(default_factory=list)

    def add_replica(self, replica: Replica) -> None:
        """Give the cell one more replica."""
        self.replicas[replica.name] = replica
        self.capacity += replica.capacity
        self.capacity_by_zone[replica.zone] += replica.capacity

    def remove_replica(self, replica: Replica) -> None:
        """Take a replica from the cell."""
        del self.replicas[replica.name]
        self.capacity -= replica.capacity
        self.capacity_by_zone[replica.zone] -= replica.capacity
        if not self.count_in_zone(replica.zone):
            del self.capacity_by_zone[replica.zone]

    def add_tenant(self, tenant: Tenant) -> None:
        """Place a tenant in the cell."""
        self.tenants.append(tenant)
        self.load += tenant.demand

    def remove_tenant(self, tenant: Tenant) -> None:
        """Take a tenant from the cell."""
        self.tenants.remove(tenant)
        self.load -= tenant.demand

    def count_in_zone(self, zone: str) -> int:
        """Replicas of the cell in one zone."""
        return sum(replica.zone == zone for replica in self.replicas.values())

    def tenant_capacity(self, requirements: PlacementRequirements) -> float:
        """Demand that the cell's tenants may have together."""
        lost = 0.0
        if requirements.survives_zone_loss and len(self.capacity_by_zone) > 1:
            lost = max(self.capacity_by_zone.values())
        return max(0.0, (self.capacity - lost) * (1 - requirements.spare_share))

    def is_undersized(self, requirements: PlacementRequirements) -> bool:
        """Whether the cell has too few replicas or zones."""
        return (
            len(self.replicas) < requirements.min_replicas
            or len(self.capacity_by_zone) < requirements.min_zones
        )
