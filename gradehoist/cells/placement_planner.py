"""Plans placements with a pure, deterministic function.

A new placement changes an earlier one as little as possible. Adding a replica moves no other replica and no
tenant. Removing a replica moves at most one other replica, and only if the removed replica's cell would
otherwise fall below the minimum. Tenants move only out of cells that exceed their capacity. Ties are broken
by a hash of the names, so the order of the input has no effect.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from gradehoist.cells.errors import PlacementError
from gradehoist.cells.placement import Cell, Placement, PlacementRequirements, Replica, Tenant, stable_hash
from gradehoist.cells.routes import home_cell

# Loads are sums of floating-point numbers; differences below this are rounding errors.
LOAD_TOLERANCE = 1e-9


def plan_placement(
    tenants: Iterable[Tenant],
    replicas: Iterable[Replica],
    requirements: PlacementRequirements,
    before: Placement | None = None,
) -> Placement:
    """Returns a placement that changes `before` as little as possible.

    Raises:
        PlacementError: No cell is required, there are fewer replicas than cells, or a name occurs twice.
    """
    by_demand = sorted(tenants, key=_tenant_order)
    by_zone = sorted(replicas, key=_replica_order)
    _check_unique("tenant", [tenant.name for tenant in by_demand])
    _check_unique("worker", [replica.name for replica in by_zone])
    if requirements.cell_count < 1 or len(by_zone) < requirements.cell_count:
        raise PlacementError(f"{requirements.cell_count} cells cannot be made of {len(by_zone)} workers")
    cells = [Cell(number) for number in range(requirements.cell_count)]
    _assign_replicas(cells, by_zone, requirements, before.replicas if before else {})
    unmet = _fill_undersized_cells(cells, requirements)
    tenant_placement = _TenantPlacement(cells, by_demand, requirements, before.tenants if before else {})
    unmet += tenant_placement.place()
    return Placement(
        replicas={name: cell.number for cell in cells for name in cell.replicas},
        tenants={tenant.name: cell.number for cell in cells for tenant in cell.tenants},
        unmet_requirements=tuple(unmet),
    )


def split_replicas(replicas: Iterable[Replica]) -> tuple[list[Replica], list[Replica]]:
    """Splits a cell's replicas into two halves.

    The replicas are distributed zone by zone, the largest first. Each goes to the half with fewer replicas in
    its zone, then fewer replicas in all, then less capacity.
    """
    halves: tuple[list[Replica], list[Replica]] = ([], [])
    for replica in sorted(replicas, key=_replica_order):

        def rank(half: list[Replica], zone: str = replica.zone) -> tuple[int, int, float]:
            return sum(other.zone == zone for other in half), len(half), sum(other.capacity for other in half)

        min(halves, key=rank).append(replica)
    return halves


def _tenant_order(tenant: Tenant) -> tuple[float, int, str]:
    return -tenant.demand, stable_hash(tenant.name), tenant.name


def _replica_order(replica: Replica) -> tuple[str, float, int, str]:
    return replica.zone, -replica.capacity, stable_hash(replica.name), replica.name


def _check_unique(kind: str, names: list[str]) -> None:
    if len(set(names)) < len(names):
        raise PlacementError(f"a {kind} is named twice")


def _assign_replicas(
    cells: list[Cell],
    replicas: list[Replica],
    requirements: PlacementRequirements,
    before: Mapping[str, int],
) -> None:
    """Leaves replicas in their earlier cells and assigns each new one to the cell that needs it most."""
    kept = {name: number for name, number in before.items() if 0 <= number < len(cells)}
    for replica in replicas:
        if replica.name in kept:
            cells[kept[replica.name]].add_replica(replica)
    for replica in replicas:
        if replica.name not in kept:
            _neediest_cell(cells, replica, requirements).add_replica(replica)


def _neediest_cell(cells: list[Cell], replica: Replica, requirements: PlacementRequirements) -> Cell:
    """Returns the cell that needs a replica most.

    Undersized cells come first, then those with the fewest replicas in the replica's zone, then those with
    the least capacity. The zone's replicas are counted and their capacity is not summed: compared by
    capacity, the odd replica of every zone went to the same cell, which became twice as large.
    """

    def rank(cell: Cell) -> tuple[bool, int, float, int]:
        return (
            not cell.is_undersized(requirements),
            cell.count_in_zone(replica.zone),
            cell.capacity,
            stable_hash(cell.number, replica.name),
        )

    return min(cells, key=rank)


def _fill_undersized_cells(cells: list[Cell], requirements: PlacementRequirements) -> list[str]:
    """Moves replicas to undersized cells; returns descriptions of the cells that stay undersized."""
    unmet = []
    for cell in cells:
        while cell.is_undersized(requirements):
            donation = _find_donor(cells, cell, requirements)
            if donation is None:
                unmet.append(
                    f"cell {cell.number} has {len(cell.replicas)} workers in "
                    f"{len(cell.capacity_by_zone)} zones but needs {requirements.min_replicas} in "
                    f"{requirements.min_zones}; no other cell can spare one"
                )
                break
            donor, replica = donation
            donor.remove_replica(replica)
            cell.add_replica(replica)
    return unmet


def _find_donor(
    cells: list[Cell], cell: Cell, requirements: PlacementRequirements
) -> tuple[Cell, Replica] | None:
    """Returns the replica to move to `cell`, and its current cell, or None if no cell can spare one.

    It is the replica whose removal leaves its cell with the most capacity.
    """
    needs_zone = len(cell.capacity_by_zone) < requirements.min_zones
    best: tuple[tuple[float, int], Cell, Replica] | None = None
    for donor in cells:
        if donor is cell or len(donor.replicas) <= requirements.min_replicas:
            continue
        for replica in donor.replicas.values():
            if needs_zone and replica.zone in cell.capacity_by_zone:
                continue
            if not _can_spare(donor, replica, requirements):
                continue
            rank = (-(donor.capacity - replica.capacity), stable_hash(cell.number, replica.name))
            if best is None or rank < best[0]:
                best = (rank, donor, replica)
    return None if best is None else (best[1], best[2])


def _can_spare(donor: Cell, replica: Replica, requirements: PlacementRequirements) -> bool:
    """Whether the donor still has replicas in enough zones without this one."""
    is_last_of_zone = donor.count_in_zone(replica.zone) == 1
    return not is_last_of_zone or len(donor.capacity_by_zone) > requirements.min_zones


class _TenantPlacement:
    """Places tenants in cells whose replicas are already assigned."""

    def __init__(
        self,
        cells: list[Cell],
        tenants: list[Tenant],
        requirements: PlacementRequirements,
        before: Mapping[str, int],
    ) -> None:
        self._cells = cells
        self._tenants = tenants
        self._before = before
        self._max_tenant_share = requirements.max_tenant_share
        self._capacities = [cell.tenant_capacity(requirements) for cell in cells]

    def place(self) -> list[str]:
        """Places all tenants; returns descriptions of the requirements that are not met."""
        unmet = self._check_demands()
        unplaced = self._keep_tenants()
        for cell in self._cells:
            unplaced += self._remove_excess_tenants(cell)
        unplaced.sort(key=_tenant_order)
        self._assign_to_least_loaded(self._assign_to_home_cells(unplaced))
        for cell in self._cells:
            capacity = self._capacities[cell.number]
            if cell.load > capacity + LOAD_TOLERANCE:
                unmet.append(f"cell {cell.number}: load {cell.load:.4g} exceeds capacity {capacity:.4g}")
        return unmet

    def _check_demands(self) -> list[str]:
        unmet = []
        largest = max(self._capacities)
        for tenant in self._tenants:
            if tenant.demand > largest:
                unmet.append(
                    f"tenant {tenant.name} has a demand of {tenant.demand:.4g}, but the largest cell has a "
                    f"capacity of {largest:.4g}; split the tenant, or make fewer and larger cells"
                )
            elif tenant.demand > largest * self._max_tenant_share:
                unmet.append(f"tenant {tenant.name} would use over {self._max_tenant_share:.0%} of any cell")
        return unmet

    def _keep_tenants(self) -> list[Tenant]:
        """Leaves tenants in their earlier cells; returns the tenants without one."""
        unplaced = []
        for tenant in self._tenants:
            number = self._before.get(tenant.name, -1)
            if 0 <= number < len(self._cells):
                self._cells[number].add_tenant(tenant)
            else:
                unplaced.append(tenant)
        return unplaced

    def _remove_excess_tenants(self, cell: Cell) -> list[Tenant]:
        """Removes as few tenants as possible from a cell until the others fit; returns those removed."""
        removed = []
        capacity = self._capacities[cell.number]
        while cell.load > capacity + LOAD_TOLERANCE and len(cell.tenants) > 1:
            excess = cell.load - capacity
            # Removing the smallest tenant that suffices by itself, or else the largest, moves the fewest.
            sufficient = [tenant for tenant in cell.tenants if tenant.demand >= excess]
            chosen = sufficient[-1] if sufficient else cell.tenants[0]
            cell.remove_tenant(chosen)
            removed.append(chosen)
        return removed

    def _assign_to_home_cells(self, tenants: list[Tenant]) -> list[Tenant]:
        """Places new tenants in the cell that their hash selects, up to the mean utilization.

        Proxies need no routing exception for such a tenant. Returns the tenants that were not placed.
        """
        total_demand = sum(tenant.demand for tenant in self._tenants)
        mean_utilization = total_demand / max(sum(self._capacities), LOAD_TOLERANCE)
        numbers = range(len(self._cells))
        others = []
        for tenant in tenants:
            cell = self._cells[home_cell(tenant.name, numbers, {})]
            limit = mean_utilization * self._capacities[cell.number]
            if tenant.name in self._before or cell.load + tenant.demand > limit:
                others.append(tenant)
            else:
                cell.add_tenant(tenant)
        return others

    def _assign_to_least_loaded(self, tenants: list[Tenant]) -> None:
        heap = [
            (self._utilization(cell), stable_hash("cell", cell.number), cell.number) for cell in self._cells
        ]
        heapq.heapify(heap)
        for tenant in tenants:
            _, tie_breaker, number = heap[0]
            cell = self._cells[number]
            cell.add_tenant(tenant)
            heapq.heapreplace(heap, (self._utilization(cell), tie_breaker, number))

    def _utilization(self, cell: Cell) -> float:
        return cell.load / max(self._capacities[cell.number], LOAD_TOLERANCE)
