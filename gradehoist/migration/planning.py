"""Creates migrations: checks where tenants are and where they may go, and persists the records."""

from __future__ import annotations

from collections.abc import Mapping
from pathlib import Path

from gradehoist.cells.assignment import FIRST_GENERATION
from gradehoist.cells.migration import UNDO_SUFFIX, Migration, MigrationStep
from gradehoist.cells.placement import stable_hash
from gradehoist.migration.errors import MigrationRejectedError
from gradehoist.migration.records import load_draining_cells, load_migrations, save_migration
from gradehoist.settings.fleet import CellPlacement, Settings


def pending_migrations(migrations: list[Migration]) -> list[Migration]:
    """Returns the migrations to carry out.

    An undone migration is not pending: its undo takes its place, and its record remains in its last step.
    """
    undone = {m.id.removesuffix(UNDO_SUFFIX) for m in migrations if m.is_undo}
    return [m for m in migrations if m.step is not MigrationStep.DONE and m.id not in undone]


def locate_tenants(migrations: list[Migration], placement: CellPlacement) -> dict[str, str]:
    """Returns the cell of each tenant that the placement names or that has a migration.

    For a pending migration it is the target.
    """
    cells = dict(placement.cell_by_tenant)
    for migration in sorted(migrations, key=lambda m: m.generation):
        cells[migration.tenant] = migration.target
    return cells


def plan_cell_drain(
    cell: str, migrations: list[Migration], placement: CellPlacement, draining: tuple[str, ...]
) -> dict[str, str]:
    """Returns a target cell for each tenant of a cell: each time the one with the fewest tenants per replica.

    Raises:
        MigrationRejectedError: No other cell takes tenants.
    """
    others = [name for name in placement.cells if name != cell and name not in draining]
    if not others:
        raise MigrationRejectedError(f"no other cell takes tenants of {cell}; end the drain of another cell")
    current = locate_tenants(migrations, placement)
    tenant_counts = {name: sum(home == name for home in current.values()) for name in others}
    tenants_per_replica = {name: tenant_counts[name] / len(placement.replicas_of(name)) for name in others}
    leaving = [tenant for tenant, home in current.items() if home == cell]
    targets = dict[str, str]()
    for tenant in sorted(leaving, key=lambda name: (stable_hash(name), name)):
        target = min(others, key=lambda name: (tenants_per_replica[name], name))
        tenants_per_replica[target] += 1 / len(placement.replicas_of(target))
        targets[tenant] = target
    return targets


def create_migrations(
    folder: Path, settings: Settings, target_by_tenant: Mapping[str, str]
) -> list[Migration]:
    """Creates and persists a migration for each tenant.

    Raises:
        MigrationRejectedError: One of the migrations is not possible. None is created then.
        InvalidRecordError: A file of the record store can't be decoded.
    """
    placement = settings.fleet.placement
    assert placement is not None
    draining = load_draining_cells(folder)
    existing = load_migrations(folder)
    created = []
    for number, (tenant, target) in enumerate(target_by_tenant.items(), start=len(existing)):
        _check_target(tenant, target, placement, draining)
        created.append(_new_migration(number, tenant, target, _latest_migration(tenant, existing), placement))
    for migration in created:
        save_migration(folder, migration)
    return created


def undo_migration(folder: Path, migration_id: str) -> Migration:
    """Creates and persists the undo of a migration, or returns the undo that exists already.

    Raises:
        MigrationRejectedError: There is no such migration.
        MigrationStateError: The migration can't be undone in its current step.
        InvalidRecordError: A file of the record store can't be decoded.
    """
    known = {migration.id: migration for migration in load_migrations(folder)}
    if migration_id not in known:
        raise MigrationRejectedError(
            f"no move {migration_id}; known moves: {', '.join(sorted(known)) or 'none'}"
        )
    undo = known[migration_id].undo()
    if undo.id in known:
        return known[undo.id]
    save_migration(folder, undo)
    return undo


def _check_target(tenant: str, target: str, placement: CellPlacement, draining: tuple[str, ...]) -> None:
    if target not in placement.cells:
        raise MigrationRejectedError(f"no cell {target!r}; the placement has {', '.join(placement.cells)}")
    if target in draining:
        raise MigrationRejectedError(
            f"cell {target} is draining and takes no tenants; move {tenant} elsewhere"
        )


def _latest_migration(tenant: str, migrations: list[Migration]) -> Migration | None:
    own = [migration for migration in migrations if migration.tenant == tenant]
    if not own:
        return None
    return max(own, key=lambda migration: migration.generation)


def _new_migration(
    number: int, tenant: str, target: str, latest: Migration | None, placement: CellPlacement
) -> Migration:
    if latest is not None and latest.step is not MigrationStep.DONE:
        raise MigrationRejectedError(f"tenant {tenant} has the pending move {latest.id}; undo that first")
    source = placement.home_cell(tenant) if latest is None else latest.target
    generation = 1 + (FIRST_GENERATION if latest is None else latest.generation)
    if source == target:
        raise MigrationRejectedError(f"tenant {tenant} is already in cell {target}")
    return Migration(
        id=f"{number:06d}-{generation}", tenant=tenant, source=source, target=target, generation=generation
    )
