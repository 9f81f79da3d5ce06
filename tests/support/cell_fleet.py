"""A simulated governor with cells, and its proxies."""

from __future__ import annotations

import dataclasses

from gradehoist.settings.fleet import CellPlacement
from tests.support.governed_fleet import World


def fleet_with_cells(
    cell_count: int, proxy_count: int, replica_count: int, queue: int = 40_000, rate: int = 20_000
) -> World:
    """Returns a fleet whose replicas are assigned to the cells in pairs; the tenant "big" lives in `c1`."""
    simulated = World(relays=proxy_count, replicas=replica_count, queue=queue, rate=rate)
    cells = tuple(f"c{n}" for n in range(cell_count))
    placement = CellPlacement(
        cells=cells,
        cell_by_replica={f"w{n}": cells[n // 2 % cell_count] for n in range(replica_count)},
        cell_by_tenant={"big": "c1"},
    )
    fleet = dataclasses.replace(simulated.settings.fleet, placement=placement)
    simulated.settings = dataclasses.replace(simulated.settings, fleet=fleet)
    simulated.begin("cells")
    return simulated
