"""The record store of an installation: a folder with a file for each migration and rollout.

Files are replaced atomically. Only one process writes to the folder at a time; the command line takes a lock
for that.
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
    """Returns all migrations, the oldest first.

    Raises:
        InvalidRecordError: A file is not a record of a migration.
    """
    migrations = []
    for path in sorted(folder.glob("*" + MIGRATION_SUFFIX)):
        try:
            migration: Migration = msgspec.json.decode(path.read_bytes(), type=Migration)
        except msgspec.MsgspecError as error:
            raise InvalidRecordError(path, f"not a record of a move: {error}") from None
        migrations.append(migration.restarted())
    return migrations


def save_migration(folder: Path, migration: Migration) -> None:
    """Persists a migration. Raises OSError if that fails, and keeps the earlier record."""
    write_file(migration_path(folder, migration.id), msgspec.json.encode(migration))


def migration_path(folder: Path, migration_id: str) -> Path:
    """Returns the path of a migration's file."""
    return folder / (migration_id + MIGRATION_SUFFIX)


def load_rollout(folder: Path) -> Rollout | None:
    """Returns the latest rollout, or None if there is none.

    Raises:
        InvalidRecordError: The file is not a record of a rollout.
    """
    paths = sorted(folder.glob("*" + ROLLOUT_SUFFIX))
    if not paths:
        return None
    try:
        rollout: Rollout = msgspec.json.decode(paths[-1].read_bytes(), type=Rollout)
    except msgspec.MsgspecError as error:
        raise InvalidRecordError(paths[-1], f"not a record of a release: {error}") from None
    return rollout


def save_rollout(folder: Path, rollout: Rollout) -> None:
    """Persists a rollout. Raises OSError if that fails, and keeps the earlier record."""
    write_file(folder / (rollout.id + ROLLOUT_SUFFIX), msgspec.json.encode(rollout))


def load_draining_cells(folder: Path) -> tuple[str, ...]:
    """Returns the draining cells, into which no tenant may be migrated.

    Raises:
        InvalidRecordError: The file is not a list of cells.
    """
    path = folder / DRAINING_CELLS_FILE
    try:
        cells: tuple[str, ...] = msgspec.json.decode(path.read_bytes(), type=tuple[str, ...])
    except FileNotFoundError:
        return ()
    except msgspec.MsgspecError as error:
        raise InvalidRecordError(path, f"not a list of cells: {error}") from None
    return cells


def save_draining_cells(folder: Path, cells: tuple[str, ...]) -> None:
    """Persists the list of draining cells. Raises OSError if that fails, and keeps the earlier list."""
    write_file(folder / DRAINING_CELLS_FILE, msgspec.json.encode(cells))
