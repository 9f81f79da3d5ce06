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

from gradehoist.cells.routes import home


@dataclass(frozen=True, slots=True)
class Tenant:
    """`demand` in the unit of the workers' `size`: 1 fills a worker of size 1."""

    name: str
    demand: float


@dataclass(frozen=True, slots=True)
class Worker:
    name: str
    zone: str
    kind: str
    size: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """`largest`: the part of a cell's room that one tenant may fill; `spare`: the part of a cell's size that
    is kept free. With `lose_zone` a cell's room is what is left when its largest zone is gone."""

    cells: int
    least_workers: int = 2
    least_zones: int = 1
    largest: float = 0.5
    spare: float = 0.2
    lose_zone: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Cells by number from 0. `faults` says in plain words what could not be had."""

    workers: Mapping[str, int]
    tenants: Mapping[str, int]
    faults: tuple[str, ...] = ()


def lot(*names: object) -> int:
    """A number that only the names decide, the same on every machine."""
    return zlib.crc32(repr(names).encode())


@dataclass
class Cell:
    number: int
    size: float = 0.0
    load: float = 0.0
    by_zone: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    workers: dict[str, Worker] = field(default_factory=dict)
    tenants: list[Tenant] = field(default_factory=list)

    def add(self, worker: Worker) -> None:
        self.workers[worker.name] = worker
        self.size += worker.size
        self.by_zone[worker.zone] += worker.size

    def drop(self, worker: Worker) -> None:
        del self.workers[worker.name]
        self.size -= worker.size
        self.by_zone[worker.zone] -= worker.size
        if not any(w.zone == worker.zone for w in self.workers.values()):
            del self.by_zone[worker.zone]

    def room(self, wanted: Wanted) -> float:
        lost = max(self.by_zone.values()) if wanted.lose_zone and len(self.by_zone) > 1 else 0.0
        return max(0.0, (self.size - lost) * (1 - wanted.spare))

    def short(self, wanted: Wanted) -> bool:
        return len(self.workers) < wanted.least_workers or len(self.by_zone) < wanted.least_zones


def place(
    tenants: Iterable[Tenant], workers: Iterable[Worker], wanted: Wanted, before: Placement | None = None
) -> Placement:
    """Raises ValueError where no cell could be made at all, or a name stands twice."""
    people = sorted(tenants, key=lambda t: (-t.demand, lot(t.name), t.name))
    crew = sorted(workers, key=lambda w: (w.zone, -w.size, lot(w.name), w.name))
    for kind, names in (("tenant", [t.name for t in people]), ("worker", [w.name for w in crew])):
        if len(set(names)) < len(names):
            raise ValueError(f"a {kind} is named twice")
    if wanted.cells < 1 or len(crew) < wanted.cells:
        raise ValueError(f"{wanted.cells} cells cannot be made of {len(crew)} workers")
    cells = [Cell(n) for n in range(wanted.cells)]
    homes = {n: c for n, c in (before.workers if before else {}).items() if 0 <= c < wanted.cells}
    for worker in crew:
        if worker.name in homes:
            cells[homes[worker.name]].add(worker)
    for worker in crew:
        if worker.name not in homes:
            _neediest(cells, worker, wanted).add(worker)
    faults = _repair(cells, wanted)
    faults += _settle(people, cells, wanted, before)
    return Placement(
        {w: c.number for c in cells for w in c.workers},
        {t.name: c.number for c in cells for t in c.tenants},
        tuple(faults),
    )


def halves(workers: Iterable[Worker]) -> tuple[list[Worker], list[Worker]]:
    """Two halves of a cell's workers: zone by zone, the largest first, each to the half that has fewer of the
    zone and then less size."""
    out: tuple[list[Worker], list[Worker]] = ([], [])
    for worker in sorted(workers, key=lambda w: (w.zone, -w.size, lot(w.name), w.name)):
        best = min(
            out,
            key=lambda half: (sum(w.zone == worker.zone for w in half), len(half), sum(w.size for w in half)),
        )
        best.append(worker)
    return out


def _neediest(cells: list[Cell], worker: Worker, wanted: Wanted) -> Cell:
    """A cell short of workers first, then the one with fewest of this zone, then the smallest. Counted, not
    summed: by size, the odd worker of every zone went to one cell, which became twice as large."""

    def rank(c: Cell) -> tuple[bool, int, float, int]:
        near = sum(w.zone == worker.zone for w in c.workers.values())
        return not c.short(wanted), near, c.size, lot(c.number, worker.name)

    return min(cells, key=rank)


def _repair(cells: list[Cell], wanted: Wanted) -> list[str]:
    """Each cell under the least takes one worker at a time from the cell that can spare it best."""
    faults = []
    for cell in cells:
        while cell.short(wanted):
            new_zone = len(cell.by_zone) < wanted.least_zones
            best: tuple[tuple[float, int], Cell, Worker] | None = None
            for donor in cells:
                if donor is cell or len(donor.workers) <= wanted.least_workers:
                    continue
                for worker in donor.workers.values():
                    alone = sum(w.zone == worker.zone for w in donor.workers.values()) == 1
                    if (alone and len(donor.by_zone) <= wanted.least_zones) or (
                        new_zone and worker.zone in cell.by_zone
                    ):
                        continue
                    rank = (-(donor.size - worker.size), lot(cell.number, worker.name))
                    if best is None or rank < best[0]:
                        best = (rank, donor, worker)
            if best is None:
                faults.append(
                    f"cell {cell.number} has {len(cell.workers)} workers in {len(cell.by_zone)} zones; "
                    f"{wanted.least_workers} in {wanted.least_zones} are wanted and none can be spared"
                )
                break
            best[1].drop(best[2])
            cell.add(best[2])
    return faults


def _settle(people: list[Tenant], cells: list[Cell], wanted: Wanted, before: Placement | None) -> list[str]:
    """Tenants stay; those of a cell over its room leave, the largest that mends it first, until it fits."""
    faults: list[str] = []
    rooms = [c.room(wanted) for c in cells]
    leaving: list[Tenant] = []
    known = before.tenants if before else {}
    most = max(rooms) * wanted.largest
    for tenant in people:
        if tenant.demand > max(rooms):
            faults.append(
                f"tenant {tenant.name} asks for {tenant.demand:.4g}; the largest cell has room for "
                f"{max(rooms):.4g}: split it, or make fewer and larger cells"
            )
        elif tenant.demand > most:
            faults.append(f"tenant {tenant.name} would fill over {wanted.largest:.0%} of any cell")
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
    leaving.sort(key=lambda t: (-t.demand, lot(t.name), t.name))
    # Where its hash says, while that cell is under its even part: relays need no exception for it.
    even = sum(t.demand for t in people) / max(sum(rooms), 1e-9)
    numbers, strayed = range(len(cells)), []
    for tenant in leaving:
        cell = cells[home(tenant.name, numbers, {})]
        if tenant.name in known or cell.load + tenant.demand > even * rooms[cell.number]:
            strayed.append(tenant)
        else:
            cell.tenants.append(tenant)
            cell.load += tenant.demand
    heap = [(c.load / max(rooms[c.number], 1e-9), lot("cell", c.number), c.number) for c in cells]
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
