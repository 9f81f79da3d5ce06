"""Implements `gradehoist cells move`, `drain` and `moves`: migrations of tenants between cells."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from pathlib import Path

from rich.console import Console
from rich.table import Table

from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.cells.placement import stable_hash
from gradehoist.cli.errors import InputError
from gradehoist.cli.placement_files import require_placement
from gradehoist.migration.planning import (
    create_migrations,
    locate_tenants,
    pending_migrations,
    plan_cell_drain,
)
from gradehoist.migration.records import load_draining_cells, load_migrations, save_draining_cells
from gradehoist.migration.runner import MigrationRunner
from gradehoist.settings.fleet import CellPlacement, Settings
from gradehoist.store.folder_lock import FolderLock, FolderLockedError


def select_half_of_tenants(settings: Settings, store: Path, cell: str) -> tuple[str, ...]:
    """Returns every other tenant of a cell in the order of their hashes, to be migrated after a split.

    Raises:
        InputError: There is no placement, or the records of migrations can't be read.
    """
    try:
        cell_by_tenant = locate_tenants(load_migrations(store), require_placement(settings))
    except ValueError as error:
        raise InputError(str(error)) from None
    tenants = [tenant for tenant, current in cell_by_tenant.items() if current == cell]
    ordered = sorted(tenants, key=lambda tenant: (stable_hash(tenant), tenant))
    return tuple(sorted(ordered[::2]))


def migrate_tenants(settings: Settings, store: Path, target_by_tenant: Mapping[str, str]) -> bool:
    """Runs new and pending migrations until they have ended; returns whether each reached its target.

    Raises:
        InputError: There is no placement, another process runs migrations, or a migration is not possible.
    """
    require_placement(settings)
    try:
        lock = FolderLock(store)
    except FolderLockedError as error:
        raise InputError(
            f"{error}; only one process at a time may run moves, so wait for it or end it"
        ) from None
    try:
        if target_by_tenant:
            create_migrations(store, settings, target_by_tenant)
        pending = pending_migrations(load_migrations(store))
        ended = asyncio.run(MigrationRunner(settings, store, _print_progress).run(pending))
    except ValueError as error:
        raise InputError(str(error)) from None
    finally:
        lock.release()
    return all(migration.step is MigrationStep.DONE for migration in ended)


def drain_cell(settings: Settings, store: Path, cell: str) -> bool:
    """Closes a cell to migrations and migrates its tenants away; returns whether all reached their target.

    Raises:
        InputError: The cell is unknown, or a migration is not possible.
    """
    placement = _require_cell(settings, cell)
    try:
        draining = load_draining_cells(store)
        save_draining_cells(store, tuple(dict.fromkeys((*draining, cell))))
        all_done = _migrate_all_away(settings, store, placement, cell, (*draining, cell))
    except ValueError as error:
        raise InputError(str(error)) from None
    if cell in (placement.cell_by_range or placement.cells):
        print(
            f"{cell} still receives, by their hash, tenants that the placement does not name; name them there"
        )
    return all_done


def _migrate_all_away(
    settings: Settings, store: Path, placement: CellPlacement, cell: str, draining: tuple[str, ...]
) -> bool:
    """Migrates tenants away in rounds until none is left.

    One round is not enough: a tenant with a pending migration, into this cell or back to it after an
    undo, can only be migrated away once that migration has ended.
    """
    while True:
        migrations = load_migrations(store)
        target_by_tenant = plan_cell_drain(cell, migrations, placement, draining)
        pending = {migration.tenant for migration in pending_migrations(migrations)}
        ready = {tenant: target for tenant, target in target_by_tenant.items() if tenant not in pending}
        if not migrate_tenants(settings, store, ready):
            return False
        if not target_by_tenant.keys() & pending:
            return True


def end_cell_drain(settings: Settings, store: Path, cell: str) -> None:
    """Opens a cell to migrations again.

    Raises:
        InputError: The cell is unknown, or the record of draining cells can't be read.
    """
    _require_cell(settings, cell)
    try:
        draining = load_draining_cells(store)
        save_draining_cells(store, tuple(name for name in draining if name != cell))
    except ValueError as error:
        raise InputError(str(error)) from None


def _require_cell(settings: Settings, cell: str) -> CellPlacement:
    placement = require_placement(settings)
    if cell not in placement.cells:
        raise InputError(f"no cell {cell!r}; the placement has {', '.join(placement.cells)}")
    return placement


def _print_progress(migration: Migration, awaited: str) -> None:
    print(
        f"{migration.id} {migration.tenant} {migration.source} -> {migration.target}: "
        f"{migration.step.value}; waits for {awaited}",
        flush=True,
    )


def show_migrations(store: Path) -> None:
    """Prints a table of all migrations.

    Raises:
        InputError: The records of migrations can't be read.
    """
    try:
        migrations = load_migrations(store)
    except ValueError as error:
        raise InputError(str(error)) from None
    pending_ids = {migration.id for migration in pending_migrations(migrations)}
    table = Table(title=f"{len(migrations)} moves", title_justify="left")
    for heading in ("move", "tenant", "from", "to", "generation", "step", ""):
        table.add_column(heading)
    for migration in migrations:
        table.add_row(
            migration.id,
            migration.tenant,
            migration.source,
            migration.target,
            str(migration.generation),
            migration.step.value,
            _describe_state(migration, is_pending=migration.id in pending_ids),
        )
    Console().print(table)


def _describe_state(migration: Migration, is_pending: bool) -> str:
    if migration.conflict:
        return migration.conflict
    if migration.step is MigrationStep.DONE:
        return ""
    if not is_pending:
        return "undone"
    acknowledged_by = sorted(migration.confirmed_governors | migration.confirmed_replicas)
    return "confirmed by " + (", ".join(acknowledged_by) or "nobody yet")
