"""Makes, splits, reads and writes placement files, and reads the CSV files they are made from."""

from __future__ import annotations

import csv
from collections.abc import Iterable
from itertools import count, islice
from pathlib import Path

import msgspec

from gradehoist.cells.placement import (
    Placement,
    PlacementRequirements,
    Replica,
    Tenant,
)
from gradehoist.cells.placement_planner import plan_placement, split_replicas
from gradehoist.cli.errors import InputError
from gradehoist.settings.fleet import CellPlacement, Settings
from gradehoist.store.atomic_file import write_file

REPLICA_COLUMNS = ("worker", "zone", "kind", "size")
TENANT_COLUMNS = ("tenant", "demand")
# The line number of the first row of data in a CSV file: line 1 is the header.
FIRST_DATA_LINE = 2
# Sizes and demand have to be below it, which rejects infinity, NaN and typing errors.
MAX_NUMBER = 1e12


def _read_rows(path: Path, columns: tuple[str, ...]) -> list[dict[str, str]]:
    """Reads the rows of a CSV file with a header line."""
    try:
        with path.open(encoding="utf-8", newline="") as file:
            reader = csv.DictReader(file)
            missing = [column for column in columns if column not in (reader.fieldnames or ())]
            if missing:
                raise InputError(
                    f"{path}:1: no column {', '.join(missing)}; the header line has to be {','.join(columns)}"
                )
            return list(reader)
    except (OSError, UnicodeDecodeError) as error:
        raise InputError(f"{path}: can't be read: {error}; name a CSV file in UTF-8") from None


def _parse_number(path: Path, line: int, column: str, text: str | None) -> float:
    try:
        value = float(text or "")
    except ValueError:
        value = -1.0
    if not 0 <= value < MAX_NUMBER:
        raise InputError(
            f"{path}:{line}: {column}: expected a number that is at least 0, got {text!r}"
        ) from None
    return value


def _load_replicas(path: Path) -> list[Replica]:
    return [
        Replica(row["worker"], row["zone"], row["kind"], _parse_number(path, line, "size", row["size"]))
        for line, row in enumerate(_read_rows(path, REPLICA_COLUMNS), FIRST_DATA_LINE)
    ]


def _load_tenants(path: Path) -> list[Tenant]:
    return [
        Tenant(row["tenant"], _parse_number(path, line, "demand", row["demand"]))
        for line, row in enumerate(_read_rows(path, TENANT_COLUMNS), FIRST_DATA_LINE)
    ]


def load_placement(path: Path) -> CellPlacement:
    """Reads a placement file.

    Raises:
        InputError: The file can't be read, or is not a placement file.
    """
    try:
        placement: CellPlacement = msgspec.json.decode(path.read_bytes(), type=CellPlacement)
    except (OSError, msgspec.MsgspecError) as error:
        raise InputError(
            f"{path}: not a placement file: {error}; make one with gradehoist cells place"
        ) from None
    return placement


def save_placement(path: Path, placement: CellPlacement) -> None:
    """Writes a placement file, completely or not at all.

    Raises:
        InputError: The file can't be written.
    """
    try:
        write_file(path, msgspec.json.format(msgspec.json.encode(placement), indent=1))
    except OSError as error:
        raise InputError(f"{path}: {error.strerror or error}; name a file that can be written") from None


def require_placement(settings: Settings) -> CellPlacement:
    """Returns the placement that the settings name.

    Raises:
        InputError: The settings name no placement.
    """
    if settings.fleet.placement is None:
        raise InputError("fleet > cells: missing; name a placement file there")
    return settings.fleet.placement


def make_placement(
    tenants_path: Path, replicas_path: Path, requirements: PlacementRequirements, previous_path: Path | None
) -> tuple[CellPlacement, tuple[str, ...]]:
    """Makes a placement that changes a previous one as little as possible.

    A previous placement may be in use, so no tenant changes its cell: that takes a migration.

    Returns:
        The placement, and a description of each requirement that it does not meet.

    Raises:
        InputError: A file has errors, or no placement is possible.
    """
    tenants = _load_tenants(tenants_path)
    replicas = _load_replicas(replicas_path)
    stored = None if previous_path is None else load_placement(previous_path)
    names = _cell_names(requirements.cell_count, stored)
    if stored is not None:
        _check_kept_cells(stored, names)
    previous = None if stored is None else _number_cells(stored, tenants)
    try:
        planned = plan_placement(tenants, replicas, requirements, previous)
    except ValueError as error:
        raise InputError(f"{replicas_path}: {error}; change --cells or the files") from None
    placement = CellPlacement(
        cells=names,
        cell_by_replica={name: names[cell] for name, cell in sorted(planned.replicas.items())},
        cell_by_tenant={name: names[cell] for name, cell in sorted(planned.tenants.items())},
    )
    if stored is None:
        return placement, planned.unmet_requirements
    return _keep_tenants(placement, stored, planned.unmet_requirements)


def _cell_names(cell_count: int, stored: CellPlacement | None) -> tuple[str, ...]:
    """Returns the names of the cells: those of the stored placement first, then unused ones."""
    kept = () if stored is None else stored.cells[:cell_count]
    unused = (name for number in count() if (name := f"c{number}") not in kept)
    return (*kept, *islice(unused, cell_count - len(kept)))


def _check_kept_cells(stored: CellPlacement, names: tuple[str, ...]) -> None:
    """Raises InputError if a cell would be left out: tenants may have migrated to it."""
    missing = [cell for cell in stored.cells if cell not in names]
    if missing:
        raise InputError(
            f"--cells {len(names)} would leave out {', '.join(missing)}, which tenants may live in; "
            f"name at least {len(stored.cells)} cells"
        )


def _number_cells(stored: CellPlacement, tenants: Iterable[Tenant]) -> Placement:
    """Converts a stored placement to the planner's form, which has numbers in place of cell names."""
    numbers = {cell: number for number, cell in enumerate(stored.cells)}
    return Placement(
        {replica: numbers[cell] for replica, cell in stored.cell_by_replica.items()},
        {tenant.name: numbers[stored.home_cell(tenant.name)] for tenant in tenants},
    )


def _keep_tenants(
    planned: CellPlacement, stored: CellPlacement, unmet_requirements: tuple[str, ...]
) -> tuple[CellPlacement, tuple[str, ...]]:
    """Returns the planned placement with all tenants in their stored cells, and what it does not meet.

    Tenants that no file names live in the cell that their hash selects, so the ranges of the hash stay too.
    """
    homes = {tenant: stored.home_cell(tenant) for tenant in planned.cell_by_tenant}
    moves = [
        f"tenant {tenant} should move from {homes[tenant]} to {cell}, as its cell is full; "
        f"use gradehoist cells move SETTINGS {tenant} --to {cell}"
        for tenant, cell in planned.cell_by_tenant.items()
        if cell != homes[tenant]
    ]
    ranges = stored.cell_by_range or stored.cells
    placement = msgspec.structs.replace(
        planned,
        cell_by_tenant={**stored.cell_by_tenant, **homes},
        cell_by_range=() if ranges == planned.cells else ranges,
    )
    return placement, (*unmet_requirements, *moves)


def split_cell(placement: CellPlacement, replicas_path: Path, cell: str, new_cell: str) -> CellPlacement:
    """Divides the replicas of a cell between it and a new cell, which has no tenants yet.

    Hash ranges stay with their cells. Otherwise tenants without an entry of their own would change their cell
    without a migration.

    Raises:
        InputError: The names don't fit the placement, or the file does not name the cell's replicas.
    """
    if cell not in placement.cells or new_cell in placement.cells:
        known = ", ".join(placement.cells)
        raise InputError(
            f"{cell} has to be an existing cell and {new_cell} a new name; the placement has {known}"
        )
    members = [
        replica
        for replica in _load_replicas(replicas_path)
        if placement.cell_by_replica.get(replica.name) == cell
    ]
    member_count = len(placement.replicas_of(cell))
    if len(members) < 2 or len(members) < member_count:
        raise InputError(
            f"{replicas_path}: names {len(members)} of the {member_count} workers of {cell}; a split "
            "requires all of them, and at least two"
        )
    _, leaving = split_replicas(members)
    return CellPlacement(
        cells=(*placement.cells, new_cell),
        cell_by_replica={**placement.cell_by_replica, **{replica.name: new_cell for replica in leaving}},
        cell_by_tenant=placement.cell_by_tenant,
        cell_by_range=placement.cell_by_range or placement.cells,
    )
