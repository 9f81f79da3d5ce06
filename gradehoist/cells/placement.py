"""Which workers make a cell, and which tenants live there: a pure plan, one and the same for the same input.

`place` keeps what an earlier placement says as far as it can. Its bound: a worker that comes moves nobody;
one that goes moves one other worker at most, and only where its cell would fall under the least; tenants move
only out of cells that are over their room. Names decide ties through a hash, so no order of input shows.
"""

from __future__ import annotations

import heapq
import zlib
from collections import defaultdict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from gradehoist.cells.routes import home_cell


@dataclass(frozen=True, slots=True)
class Tenant:
    """`demand` in the unit of the workers' `size`: 1 fills a worker of size 1."""

    name: str
    demand: float


@dataclass(frozen=True, slots=True)
class Replica:
    name: str
    zone: str
    kind: str
    capacity: float


@dataclass(frozen=True, slots=True)
class PlacementRequirements:
    """`largest`: the part of a cell's room that one tenant may fill; `spare`: the part of a cell's size that
    is kept free. With `lose_zone` a cell's room is what is left when its largest zone is gone."""

    cell_count: int
    min_replicas: int = 2
    min_zones: int = 1
    max_tenant_share: float = 0.5
    spare_share: float = 0.2
    survives_zone_loss: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Cells by number from 0. `faults` says in plain words what could not be had."""

    replicas: Mapping[str, int]
    tenants: Mapping[str, int]
    unmet_requirements: tuple[str, ...] = ()


def stable_hash(*names: object) -> int:
    """A number that only the names decide, the same on every machine."""
    return zlib.crc32(repr(names).encode())


@dataclass
class Cell:
    number: int
    capacity: float = 0.0
    load: float = 0.0
    capacity_by_zone: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    replicas: dict[str, Replica] = field(default_factory=dict)
    tenants: list[Tenant] = field(default_factory=list)

    def add_replica(self, worker: Replica) -> None:
        self.replicas[worker.name] = worker
        self.capacity += worker.capacity
        self.capacity_by_zone[worker.zone] += worker.capacity

    def remove_replica(self, worker: Replica) -> None:
        del self.replicas[worker.name]
        self.capacity -= worker.capacity
        self.capacity_by_zone[worker.zone] -= worker.capacity
        if not any(w.zone == worker.zone for w in self.replicas.values()):
            del self.capacity_by_zone[worker.zone]

    def tenant_capacity(self, wanted: PlacementRequirements) -> float:
        lost = (
            max(self.capacity_by_zone.values())
            if wanted.survives_zone_loss and len(self.capacity_by_zone) > 1
            else 0.0
        )
        return max(0.0, (self.capacity - lost) * (1 - wanted.spare_share))

    def is_undersized(self, wanted: PlacementRequirements) -> bool:
        return len(self.replicas) < wanted.min_replicas or len(self.capacity_by_zone) < wanted.min_zones


def plan_placement(
    tenants: Iterable[Tenant],
    workers: Iterable[Replica],
    wanted: PlacementRequirements,
    before: Placement | None = None,
) -> Placement:
    """Raises ValueError where no cell could be made at all, or a name stands twice."""
    people = sorted(tenants, key=lambda t: (-t.demand, stable_hash(t.name), t.name))
    crew = sorted(workers, key=lambda w: (w.zone, -w.capacity, stable_hash(w.name), w.name))
    for kind, names in (("tenant", [t.name for t in people]), ("worker", [w.name for w in crew])):
        if len(set(names)) < len(names):
            raise ValueError(f"a {kind} is named twice")
    if wanted.cell_count < 1 or len(crew) < wanted.cell_count:
        raise ValueError(f"{wanted.cell_count} cells cannot be made of {len(crew)} workers")
    cells = [Cell(n) for n in range(wanted.cell_count)]
    homes = {n: c for n, c in (before.replicas if before else {}).items() if 0 <= c < wanted.cell_count}
    for worker in crew:
        if worker.name in homes:
            cells[homes[worker.name]].add_replica(worker)
    for worker in crew:
        if worker.name not in homes:
            _neediest(cells, worker, wanted).add_replica(worker)
    faults = _repair(cells, wanted)
    faults += _settle(people, cells, wanted, before)
    return Placement(
        {w: c.number for c in cells for w in c.replicas},
        {t.name: c.number for c in cells for t in c.tenants},
        tuple(faults),
    )


def split_replicas(workers: Iterable[Replica]) -> tuple[list[Replica], list[Replica]]:
    """Two halves of a cell's workers: zone by zone, the largest first, each to the half that has fewer of the
    zone and then less size."""
    out: tuple[list[Replica], list[Replica]] = ([], [])
    for worker in sorted(workers, key=lambda w: (w.zone, -w.capacity, stable_hash(w.name), w.name)):
        best = min(
            out,
            key=lambda half: (
                sum(w.zone == worker.zone for w in half),
                len(half),
                sum(w.capacity for w in half),
            ),
        )
        best.append(worker)
    return out


def _neediest(cells: list[Cell], worker: Replica, wanted: PlacementRequirements) -> Cell:
    """A cell short of workers first, then the one with fewest of this zone, then the smallest. Counted, not
    summed: by size, the odd worker of every zone went to one cell, which became twice as large."""

    def rank(c: Cell) -> tuple[bool, int, float, int]:
        near = sum(w.zone == worker.zone for w in c.replicas.values())
        return not c.is_undersized(wanted), near, c.capacity, stable_hash(c.number, worker.name)

    return min(cells, key=rank)


def _repair(cells: list[Cell], wanted: PlacementRequirements) -> list[str]:
    """Each cell under the least takes one worker at a time from the cell that can spare it best."""
    faults = []
    for cell in cells:
        while cell.is_undersized(wanted):
            new_zone = len(cell.capacity_by_zone) < wanted.min_zones
            best: tuple[tuple[float, int], Cell, Replica] | None = None
            for donor in cells:
                if donor is cell or len(donor.replicas) <= wanted.min_replicas:
                    continue
                for worker in donor.replicas.values():
                    alone = sum(w.zone == worker.zone for w in donor.replicas.values()) == 1
                    if (alone and len(donor.capacity_by_zone) <= wanted.min_zones) or (
                        new_zone and worker.zone in cell.capacity_by_zone
                    ):
                        continue
                    rank = (-(donor.capacity - worker.capacity), stable_hash(cell.number, worker.name))
                    if best is None or rank < best[0]:
                        best = (rank, donor, worker)
            if best is None:
                faults.append(
                    f"cell {cell.number} has {len(cell.replicas)} workers "
                    f"in {len(cell.capacity_by_zone)} zones; "
                    f"{wanted.min_replicas} in {wanted.min_zones} are wanted and none can be spared"
                )
                break
            best[1].remove_replica(best[2])
            cell.add_replica(best[2])
    return faults


def _settle(
    people: list[Tenant], cells: list[Cell], wanted: PlacementRequirements, before: Placement | None
) -> list[str]:
    """Tenants stay; those of a cell over its room leave, the largest that mends it first, until it fits."""
    faults: list[str] = []
    rooms = [c.tenant_capacity(wanted) for c in cells]
    leaving: list[Tenant] = []
    known = before.tenants if before else {}
    most = max(rooms) * wanted.max_tenant_share
    for tenant in people:
        if tenant.demand > max(rooms):
            faults.append(
                f"tenant {tenant.name} asks for {tenant.demand:.4g}; the largest cell has room for "
                f"{max(rooms):.4g}: split it, or make fewer and larger cells"
            )
        elif tenant.demand > most:
            faults.append(f"tenant {tenant.name} would fill over {wanted.max_tenant_share:.0%} of any cell")
        was = known.get(tenant.name, -1)
        if 0 <= was < len(cells):
            cells[was].tenants.append(tenant)
            cells[was].load += tenant.demand
        else:
            leaving.append(tenant)
    for cell, room in zip(cells, rooms, strict=True):
        here = cell.tenants
        while cell.load > room + 1e-9 and len(here) > 1:
            over = cell.load - room
            # The smallest that mends it alone, else the largest: the fewest tenants move.
            enough = [t for t in here if t.demand >= over]
            chosen = enough[-1] if enough else here[0]
            here.remove(chosen)
            cell.load -= chosen.demand
            leaving.append(chosen)
    leaving.sort(key=lambda t: (-t.demand, stable_hash(t.name), t.name))
    # Where its hash says, while that cell is under its even part: relays need no exception for it.
    even = sum(t.demand for t in people) / max(sum(rooms), 1e-9)
    numbers, strayed = range(len(cells)), []
    for tenant in leaving:
        cell = cells[home_cell(tenant.name, numbers, {})]
        if tenant.name in known or cell.load + tenant.demand > even * rooms[cell.number]:
            strayed.append(tenant)
        else:
            cell.tenants.append(tenant)
            cell.load += tenant.demand
    heap = [(c.load / max(rooms[c.number], 1e-9), stable_hash("cell", c.number), c.number) for c in cells]
    heapq.heapify(heap)
    for tenant in strayed:
        _, tie, number = heap[0]
        cells[number].load += tenant.demand
        cells[number].tenants.append(tenant)
        heapq.heapreplace(heap, (cells[number].load / max(rooms[number], 1e-9), tie, number))
    for cell, room in zip(cells, rooms, strict=True):
        if cell.load > room + 1e-9:
            faults.append(f"cell {cell.number} carries {cell.load:.4g} with room for {room:.4g}")
    return faults
