"""Data types of the placement of replicas and tenants in cells; `placement_planner` computes placements."""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant. Its `demand` is in the unit of the replicas' capacity."""

    name: str
    demand: float


@dataclass(frozen=True, slots=True)
class Replica:
    """A replica. A tenant with a demand of 1 fully uses a replica with a capacity of 1."""

    name: str
    zone: str
    kind: str
    capacity: float


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """The requirements that each cell of a placement has to meet.

    Attributes:
        cell_count: The number of cells.
        min_replicas: The fewest replicas in a cell.
        min_zones: The fewest zones in which a cell has replicas.
        max_tenant_share: The largest share of a cell's tenant capacity that one tenant may use.
        spare_share: The share of a cell's capacity that is kept free.
        survives_zone_loss: Whether a cell's tenants have to fit after the loss of its largest zone.
    """

    cell_count: int
    min_replicas: int = 2
    min_zones: int = 1
    max_tenant_share: float = 0.5
    spare_share: float = 0.2
    survives_zone_loss: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """The number of the cell, from 0, of each replica and each tenant.

    `unmet_requirements` describes to operators which requirements could not be met.
    """

    replicas: Mapping[str, int]
    tenants: Mapping[str, int]
    unmet_requirements: tuple[str, ...] = ()


def stable_hash(*names: object) -> int:
    """Returns a hash of the names that is the same in every process and on every machine."""
    return zlib.crc32(repr(names).encode())


@dataclass
class Cell:
    """A cell while a placement is being planned."""

    number: int
    capacity: float = 0.0
    load: float = 0.0
    capacity_by_zone: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    replicas: dict[str, Replica] = field(default_factory=dict)
    tenants: list[Tenant] = field(default_factory=list)

    def add_replica(self, replica: Replica) -> None:
        """Adds a replica to the cell."""
        self.replicas[replica.name] = replica
        self.capacity += replica.capacity
        self.capacity_by_zone[replica.zone] += replica.capacity

    def remove_replica(self, replica: Replica) -> None:
        """Removes a replica from the cell."""
        del self.replicas[replica.name]
        self.capacity -= replica.capacity
        self.capacity_by_zone[replica.zone] -= replica.capacity
        if not self.count_in_zone(replica.zone):
            del self.capacity_by_zone[replica.zone]

    def add_tenant(self, tenant: Tenant) -> None:
        """Places a tenant in the cell."""
        self.tenants.append(tenant)
        self.load += tenant.demand

    def remove_tenant(self, tenant: Tenant) -> None:
        """Removes a tenant from the cell."""
        self.tenants.remove(tenant)
        self.load -= tenant.demand

    def count_in_zone(self, zone: str) -> int:
        """Returns the number of the cell's replicas in a zone."""
        return sum(replica.zone == zone for replica in self.replicas.values())

    def tenant_capacity(self, requirements: PlacementRequirements) -> float:
        """Returns the total demand that the cell's tenants may have."""
        lost_capacity = 0.0
        if requirements.survives_zone_loss and len(self.capacity_by_zone) > 1:
            lost_capacity = max(self.capacity_by_zone.values())
        return max(0.0, (self.capacity - lost_capacity) * (1 - requirements.spare_share))

    def is_undersized(self, requirements: PlacementRequirements) -> bool:
        """Whether the cell has too few replicas or zones."""
        return (
            len(self.replicas) < requirements.min_replicas
            or len(self.capacity_by_zone) < requirements.min_zones
        )
