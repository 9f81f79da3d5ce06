"""A simulated governor with cells, and its proxies."""

from __future__ import annotations

import dataclasses

from gradehoist.settings.fleet import CellPlacement
from tests.support.governed_fleet import GovernedFleet


def fleet_with_cells(
    cell_count: int, proxy_count: int, replica_count: int, queue: int = 40_000, rate: int = 20_000
) -> GovernedFleet:
    """Returns a fleet whose replicas are assigned to the cells in pairs; the tenant "big" lives in `c1`."""
    fleet = GovernedFleet(
        proxy_count=proxy_count, replica_count=replica_count, queue_limit_lines=queue, lines_per_s=rate
    )
    cells = tuple(f"c{n}" for n in range(cell_count))
    placement = CellPlacement(
        cells=cells,
        cell_by_replica={f"w{n}": cells[n // 2 % cell_count] for n in range(replica_count)},
        cell_by_tenant={"big": "c1"},
    )
    fleet_settings = dataclasses.replace(fleet.settings.fleet, placement=placement)
    fleet.settings = dataclasses.replace(fleet.settings, fleet=fleet_settings)
    fleet.start_governor("cells")
    return fleet
