"""Planning of a placement: a pure function, the same for the same input.

A new plan keeps an earlier one as far as it can. A replica that is added moves nobody. One that is removed
moves one other replica at most, and only where its cell would fall below the minimum. Tenants move only out
of cells that exceed their capacity. Ties are decided by a hash of the names, so the order of the input has no
effect.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping

from gradehoist.cells.errors import PlacementError
from gradehoist.cells.placement import Cell, Placement, PlacementRequirements, Replica, Tenant, stable_hash
from gradehoist.cells.routes import home_cell

# Loads are sums of floats: smaller differences are rounding.
LOAD_TOLERANCE = 1e-9


def plan_placement(
    tenants: Iterable[Tenant],
    replicas: Iterable[Replica],
    requirements: PlacementRequirements,
    before: Placement | None = None,
) -> Placement:
    """Make a placement that keeps `before` as far as it can.

    Raises:
        PlacementError: No cell could be made at all, or a name stands twice.
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
    """Split a cell's replicas into two halves.

    Zone by zone, the largest first, each goes to the half that has fewer of the zone and then less capacity.
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
    """Leave replicas in their cells; give each other one to the cell that needs it most."""
    kept = {name: number for name, number in before.items() if 0 <= number < len(cells)}
    for replica in replicas:
        if replica.name in kept:
            cells[kept[replica.name]].add_replica(replica)
    for replica in replicas:
        if replica.name not in kept:
            _neediest_cell(cells, replica, requirements).add_replica(replica)


def _neediest_cell(cells: list[Cell], replica: Replica, requirements: PlacementRequirements) -> Cell:
    """An undersized cell first, then the one with fewest replicas of this zone, then the smallest.

    Replicas of the zone are counted and not summed: by capacity, the odd replica of every zone went to one
    cell, which became twice as large.
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
    """Move replicas, one at a time, to undersized cells; return the cells for which none can be spared."""
    unmet = []
    for cell in cells:
        while cell.is_undersized(requirements):
            found = _find_donor(cells, cell, requirements)
            if found is None:
                unmet.append(
                    f"cell {cell.number} has {len(cell.replicas)} workers in "
                    f"{len(cell.capacity_by_zone)} zones; {requirements.min_replicas} in "
                    f"{requirements.min_zones} are wanted and none can be spared"
                )
                break
            donor, replica = found
            donor.remove_replica(replica)
            cell.add_replica(replica)
    return unmet


def _find_donor(
    cells: list[Cell], cell: Cell, requirements: PlacementRequirements
) -> tuple[Cell, Replica] | None:
    """The replica that can best be spared for `cell`, with its present cell: the largest donor's smallest."""
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
    """Whether the donor keeps enough zones without this replica."""
    is_last_of_zone = donor.count_in_zone(replica.zone) == 1
    return not is_last_of_zone or len(donor.capacity_by_zone) > requirements.min_zones


class _TenantPlacement:
    """Places tenants in cells whose replicas are settled."""

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
        """Place all tenants; return what could not be had."""
        unmet = self._check_demands()
        unplaced = self._keep_tenants()
        for cell in self._cells:
            unplaced += self._relieve(cell)
        unplaced.sort(key=_tenant_order)
        self._assign_to_least_loaded(self._assign_to_home_cells(unplaced))
        for cell in self._cells:
            capacity = self._capacities[cell.number]
            if cell.load > capacity + LOAD_TOLERANCE:
                unmet.append(f"cell {cell.number} carries {cell.load:.4g} with room for {capacity:.4g}")
        return unmet

    def _check_demands(self) -> list[str]:
        unmet = []
        largest = max(self._capacities)
        for tenant in self._tenants:
            if tenant.demand > largest:
                unmet.append(
                    f"tenant {tenant.name} asks for {tenant.demand:.4g}; the largest cell has room for "
                    f"{largest:.4g}: split it, or make fewer and larger cells"
                )
            elif tenant.demand > largest * self._max_tenant_share:
                unmet.append(f"tenant {tenant.name} would fill over {self._max_tenant_share:.0%} of any cell")
        return unmet

    def _keep_tenants(self) -> list[Tenant]:
        """Leave tenants in their cells; return those that have none yet."""
        unplaced = []
        for tenant in self._tenants:
            number = self._before.get(tenant.name, -1)
            if 0 <= number < len(self._cells):
                self._cells[number].add_tenant(tenant)
            else:
                unplaced.append(tenant)
        return unplaced

    def _relieve(self, cell: Cell) -> list[Tenant]:
        """Take tenants out of a cell until the rest fits, as few as possible."""
        removed = []
        capacity = self._capacities[cell.number]
        while cell.load > capacity + LOAD_TOLERANCE and len(cell.tenants) > 1:
            excess = cell.load - capacity
            # The smallest that suffices alone, else the largest: the fewest tenants move.
            sufficient = [tenant for tenant in cell.tenants if tenant.demand >= excess]
            chosen = sufficient[-1] if sufficient else cell.tenants[0]
            cell.remove_tenant(chosen)
            removed.append(chosen)
        return removed

    def _assign_to_home_cells(self, tenants: list[Tenant]) -> list[Tenant]:
        """Place new tenants in the cell of their hash while it is under its even part; return the others.

        Proxies need no exception for a tenant that lives where its hash says.
        """
        total_demand = sum(tenant.demand for tenant in self._tenants)
        even_utilization = total_demand / max(sum(self._capacities), LOAD_TOLERANCE)
        numbers = range(len(self._cells))
        others = []
        for tenant in tenants:
            cell = self._cells[home_cell(tenant.name, numbers, {})]
            limit = even_utilization * self._capacities[cell.number]
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
