"""The record store of an installation: one folder with a file for each migration and rollout.

Files are written whole or not at all. One process at a time writes here, by a lock that the
command line takes.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from gradehoist.cells.migration import Migration
from gradehoist.cells.rollout import Rollout
from gradehoist.migration.errors import InvalidRecordError
from gradehoist.store.atomic_file import write_file

MIGRATION_SUFFIX = ".move"
ROLLOUT_SUFFIX = ".release"
DRAINING_CELLS_FILE = "draining.json"


def load_migrations(folder: Path) -> list[Migration]:
    """All migrations, oldest first.

    Raises:
        InvalidRecordError: A file is no record of a migration.
    """
    migrations = []
    for path in sorted(folder.glob("*" + MIGRATION_SUFFIX)):
        try:
            migration: Migration = msgspec.json.decode(path.read_bytes(), type=Migration)
        except msgspec.MsgspecError as fault:
            raise InvalidRecordError(path, f"no record of a move: {fault}") from None
        migrations.append(migration.restarted())
    return migrations


def save_migration(folder: Path, migration: Migration) -> None:
    """Persist a migration. Raises OSError; the earlier record stands then."""
    write_file(migration_path(folder, migration.id), msgspec.json.encode(migration))


def migration_path(folder: Path, migration_id: str) -> Path:
    """The file of a migration."""
    return folder / (migration_id + MIGRATION_SUFFIX)


def load_rollout(folder: Path) -> Rollout | None:
    """The latest rollout, or None where there is none.

    Raises:
        InvalidRecordError: Its file is no record of a rollout.
    """
    paths = sorted(folder.glob("*" + ROLLOUT_SUFFIX))
    if not paths:
        return None
    try:
        rollout: Rollout = msgspec.json.decode(paths[-1].read_bytes(), type=Rollout)
    except msgspec.MsgspecError as fault:
        raise InvalidRecordError(paths[-1], f"no record of a release: {fault}") from None
    return rollout


def save_rollout(folder: Path, rollout: Rollout) -> None:
    """Persist a rollout. Raises OSError; the earlier record stands then."""
    write_file(folder / (rollout.id + ROLLOUT_SUFFIX), msgspec.json.encode(rollout))


def load_draining_cells(folder: Path) -> tuple[str, ...]:
    """Cells that take no tenants.

    Raises:
        InvalidRecordError: The file is no list of cells.
    """
    path = folder / DRAINING_CELLS_FILE
    try:
        cells: tuple[str, ...] = msgspec.json.decode(path.read_bytes(), type=tuple[str, ...])
    except FileNotFoundError:
        return ()
    except msgspec.MsgspecError as fault:
        raise InvalidRecordError(path, f"no list of cells: {fault}") from None
    return cells


def save_draining_cells(folder: Path, cells: tuple[str, ...]) -> None:
    """Persist which cells take no tenants. Raises OSError; the earlier list stands then."""
    write_file(folder / DRAINING_CELLS_FILE, msgspec.json.encode(cells))
