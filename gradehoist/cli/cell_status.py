"""Implements `gradehoist cells show`: a placement, with the load that governors observe in each cell."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from gradehoist.cells.migration import Migration
from gradehoist.cli.errors import InputError
from gradehoist.migration.planning import locate_tenants, pending_migrations
from gradehoist.migration.queries import fetch_governor_status
from gradehoist.migration.records import load_draining_cells, load_migrations
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import CellPlacement, GovernorSettings, Settings

# The timeout for connecting to a governor. It is short, so that one that is down does not delay the output.
CONNECT_TIMEOUT_S = 0.5
# The number of replicas or tenants that a row of the table names.
NAMES_SHOWN = 4
LEFT_COLUMNS = ("cell", "workers", "")
PLACEMENT_COLUMNS = ("cell", "workers", "tenants")
STATUS_COLUMNS = ("ready", "load", "headroom", "came", "unanswered", "leaving", "coming")


@dataclass(frozen=True, slots=True)
class CellStatus:
    """What governors observe of one cell.

    `requests` and `incomplete` are sums over the governors, the other values are means.
    """

    replicas: float
    ready: float
    load: float
    headroom: float
    requests: float
    incomplete: float


@dataclass(slots=True)
class _MigrationState:
    """What the records of migrations add to the placement."""

    migrations: list[Migration] = field(default_factory=list)
    draining_cells: tuple[str, ...] = ()


def show_placement(placement: CellPlacement) -> None:
    """Prints the cells of a placement without their status."""
    _print_cells(placement, _MigrationState(), None)


def show_cells(placement: CellPlacement, store: Path, statuses: Mapping[str, CellStatus]) -> None:
    """Prints the cells with their migrations, load and headroom.

    Raises:
        InputError: The records of migrations can't be read.
    """
    try:
        state = _MigrationState(load_migrations(store), load_draining_cells(store))
    except ValueError as error:
        raise InputError(str(error)) from None
    _print_cells(placement, state, statuses)


def _print_cells(
    placement: CellPlacement, state: _MigrationState, statuses: Mapping[str, CellStatus] | None
) -> None:
    tenants_by_cell: dict[str, list[str]] = defaultdict(list)
    for tenant, cell in locate_tenants(state.migrations, placement).items():
        tenants_by_cell[cell].append(tenant)
    table = Table(title=f"{len(placement.cells)} cells", title_justify="left")
    status_columns = STATUS_COLUMNS if statuses is not None else ()
    for heading in (*PLACEMENT_COLUMNS, *status_columns, ""):
        table.add_column(heading, justify="left" if heading in LEFT_COLUMNS else "right")
    pending = pending_migrations(state.migrations)
    for cell in placement.cells:
        tenants = sorted(tenants_by_cell[cell])
        row = [cell, _abbreviate(sorted(placement.replicas_of(cell))), str(len(tenants))]
        if statuses is not None:
            row += _format_status(statuses.get(cell))
            row.append(str(sum(migration.source == cell for migration in pending)))
            row.append(str(sum(migration.target == cell for migration in pending)))
        row.append("draining" if cell in state.draining_cells else _abbreviate(tenants))
        table.add_row(*row)
    Console().print(table)


def _abbreviate(names: list[str]) -> str:
    more = ", …" if len(names) > NAMES_SHOWN else ""
    return ", ".join(names[:NAMES_SHOWN]) + more


def _format_status(status: CellStatus | None) -> list[str]:
    """Returns the columns from `ready` to `unanswered`; question marks if no governor knows the cell."""
    if status is None:
        return ["?"] * 5
    return [
        f"{status.ready:.0f} of {status.replicas:.0f}",
        f"{status.load:.0%}",
        f"{status.headroom:.0%}",
        f"{status.requests:.0f}",
        f"{status.incomplete:.0f}",
    ]


def fetch_cell_statuses(settings: Settings) -> tuple[dict[str, CellStatus], list[str]]:
    """Queries all governors concurrently.

    Returns:
        The status of each cell, and the names of the governors that did not answer.
    """
    answers = asyncio.run(_fetch_all(settings))
    silent = [
        governor.name for governor, cells in zip(settings.governors, answers, strict=True) if cells is None
    ]
    known = [cells for cells in answers if cells is not None]
    names = {name for cells in known for name in cells}
    statuses = {name: _merge_statuses([cells[name] for cells in known if name in cells]) for name in names}
    return statuses, silent


async def _fetch_all(settings: Settings) -> list[dict[str, Any] | None]:
    return list(await asyncio.gather(*(_fetch_cells(governor) for governor in settings.governors)))


async def _fetch_cells(governor: GovernorSettings) -> dict[str, Any] | None:
    """Returns the `cells` object of a governor's status, or None if the governor does not answer."""
    client = HttpClient(*governor.listen_address, connect_timeout_s=CONNECT_TIMEOUT_S)
    try:
        status = await fetch_governor_status(client)
    finally:
        client.close()
    return status["cells"] if status else None


def _merge_statuses(observations: list[dict[str, float]]) -> CellStatus:
    def total(key: str) -> float:
        return sum(observation[key] for observation in observations)

    def mean(key: str) -> float:
        return total(key) / len(observations)

    return CellStatus(
        replicas=mean("workers"),
        ready=mean("ready"),
        load=mean("load"),
        headroom=mean("headroom"),
        requests=total("came"),
        incomplete=total("unanswered"),
    )
