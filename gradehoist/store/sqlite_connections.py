"""SQLite connections of the coordination store: schemas, opening, transactions, translation of errors.

A folder holds two databases in WAL mode. `register.db` holds the records and the log of their changes; each
of its commits is flushed to the disk. `sessions.db` holds the sessions in a separate file, because otherwise
each renewal of a session would wake every watch of the records.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sqlite3
import uuid
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import NamedTuple, TypeVar

from gradehoist.coordination.store import OutcomeUnknownError, StoreFullError, StoreUnavailableError
from gradehoist.store.worker_thread import WorkerThread

Result = TypeVar("Result")

LOCK_TIMEOUT_S = 1.0  # how long a commit waits for those of other processes, which take milliseconds each
CLOSE_TIMEOUT_S = 1.0  # how long closing waits for running work, as the disk may hang
STORE_ID_DIGITS = 12  # the number of hexadecimal digits of a store's id
_PRIMARY_ERROR_MASK = 0xFF  # SQLite's extended error codes contain the primary code in their low byte

META_SCHEMA = "CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;"
RECORDS_SCHEMA = """
CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value BLOB, version INTEGER, token TEXT,
    session TEXT) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_session ON records (session) WHERE session != '';
CREATE TABLE IF NOT EXISTS log (n INTEGER PRIMARY KEY, revision INTEGER, key TEXT, value BLOB, token TEXT,
    session TEXT, gone INTEGER);
CREATE INDEX IF NOT EXISTS by_revision ON log (revision);
"""
SESSIONS_SCHEMA = """
CREATE TABLE IF NOT EXISTS sessions (id TEXT PRIMARY KEY, ttl INTEGER, due INTEGER) WITHOUT ROWID;
"""


@dataclass(frozen=True, slots=True)
class Database:
    """A database file of the folder. `synchronous` is SQLite's setting for flushing commits to the disk."""

    file_name: str
    schema: str
    synchronous: str


RECORDS = Database(file_name="register.db", schema=META_SCHEMA + RECORDS_SCHEMA, synchronous="FULL")
SESSIONS = Database(file_name="sessions.db", schema=META_SCHEMA + SESSIONS_SCHEMA, synchronous="NORMAL")


class _FileIdentity(NamedTuple):
    """Distinguishes a file from another one that replaced it under the same name."""

    device: int
    inode: int


class _OpenDatabase(NamedTuple):
    connection: sqlite3.Connection
    identity: _FileIdentity


class FolderConnections:
    """One thread's connections to the databases of a folder, each opened on first use."""

    def __init__(self, folder: Path) -> None:
        """Creates the object without opening a file."""
        self.folder = folder
        self._open: dict[str, _OpenDatabase] = {}

    def connect(self, database: Database) -> sqlite3.Connection:
        """Returns the connection to a database, which is created if it is missing.

        Raises:
            StoreUnavailableError: The file was replaced since the last call, so that what was read from the
                old file may not be true of the new one. The next call opens the new file.
            sqlite3.Error: SQLite could not open the file.
            OSError: The folder could not be created.
        """
        path = self.folder / database.file_name
        opened = self._open.get(database.file_name)
        if opened is None:
            return self._open_database(database, path)
        if opened.identity == _file_identity(path):
            return opened.connection
        self.close()
        raise StoreUnavailableError(f"{path} was replaced by another file")

    def close(self) -> None:
        """Closes all connections; the next use opens them again."""
        for database in self._open.values():
            with contextlib.suppress(sqlite3.Error):
                database.connection.close()
        self._open.clear()

    def _open_database(self, database: Database, path: Path) -> sqlite3.Connection:
        self.folder.mkdir(parents=True, exist_ok=True)
        connection = sqlite3.connect(
            path, timeout=LOCK_TIMEOUT_S, isolation_level=None, check_same_thread=False
        )
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute(f"PRAGMA synchronous = {database.synchronous}")
        with transaction(connection):
            _create_tables(connection, database.schema)
        identity = _file_identity(path)
        if identity is None:
            raise StoreUnavailableError(f"{path} was removed while it was being opened")
        self._open[database.file_name] = _OpenDatabase(connection, identity)
        return connection


def _create_tables(connection: sqlite3.Connection, schema: str) -> None:
    for statement in schema.split(";"):
        if statement.strip():
            connection.execute(statement)
    store_id = uuid.uuid4().hex[:STORE_ID_DIGITS]
    connection.execute("INSERT OR IGNORE INTO meta VALUES ('lineage', ?)", (store_id,))
    connection.execute("INSERT OR IGNORE INTO meta VALUES ('revision', 1), ('compacted', 0), ('boot', '')")


def _file_identity(path: Path) -> _FileIdentity | None:
    try:
        status = os.stat(path)
    except OSError:
        return None
    return _FileIdentity(status.st_dev, status.st_ino)


@contextlib.contextmanager
def transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Commits the writes of the block, or rolls all of them back if the block raises.

    Raises:
        OutcomeUnknownError: The commit failed for a reason other than a full disk or another process's lock,
            so that the writes may or may not be stored.
        sqlite3.Error: The transaction failed and nothing was written.
    """
    connection.execute("BEGIN IMMEDIATE")
    try:
        yield
    except BaseException:
        _roll_back(connection)
        raise
    try:
        connection.execute("COMMIT")
    except sqlite3.Error as error:
        _roll_back(connection)
        if _primary_code(error) in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_BUSY):
            raise
        raise OutcomeUnknownError(str(error)) from None


@contextlib.contextmanager
def read_transaction(connection: sqlite3.Connection) -> Iterator[None]:
    """Makes all queries of the block read the same state of the database."""
    connection.execute("BEGIN")
    try:
        yield
    finally:
        connection.execute("COMMIT")


def _roll_back(connection: sqlite3.Connection) -> None:
    with contextlib.suppress(sqlite3.Error):
        connection.execute("ROLLBACK")


def _primary_code(error: sqlite3.Error) -> int:
    code: int = getattr(error, "sqlite_errorcode", 0)  # errors raised by the Python module have no code
    return code & _PRIMARY_ERROR_MASK


class DatabaseThread:
    """A thread with its own connections to the databases of a folder."""

    def __init__(self, folder: Path, name: str) -> None:
        """Starts a thread called `name` without opening a file."""
        self.connections = FolderConnections(folder)
        self._worker = WorkerThread(name)

    async def run(self, work: Callable[[], Result]) -> Result:
        """Runs `work` on the thread and returns its result.

        Raises:
            StoreFullError: The disk or the database is full; nothing was written.
            StoreUnavailableError: SQLite or the file system failed; nothing was written. After an SQLite
                error, the connections are opened again by the next call.
        """
        return await self._worker.run(lambda: self._translate_errors(work))

    async def close(self) -> None:
        """Closes the connections and ends the thread; waits for running work for up to `CLOSE_TIMEOUT_S`."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._worker.run(self.connections.close)
        self._worker.stop()

    def _translate_errors(self, work: Callable[[], Result]) -> Result:
        folder = self.connections.folder
        try:
            return work()
        except sqlite3.Error as error:
            self.connections.close()
            if _primary_code(error) == sqlite3.SQLITE_FULL:
                raise StoreFullError(f"{folder}: no space left; free some disk space") from None
            raise StoreUnavailableError(f"{folder}: {error}") from None
        except OSError as error:
            raise StoreUnavailableError(f"{folder}: {error.strerror or error}") from None
