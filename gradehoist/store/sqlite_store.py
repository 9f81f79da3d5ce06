"""The register's home for all processes of one machine: SQLite in a folder, without a process of its own.

`register.db` (WAL, every commit flushed) holds records and the log of changes that watches read; sessions
stand in `sessions.db`, as their renewals would wake every watcher. Times of sessions are the machine's
monotonic clock, the same for all its processes; after a restart of the machine each has its time anew, and
so after a standstill of the register in which nobody could renew. An expired session's records are deleted
first, then the session, so that a process that dies between leaves work and no orphans.

To put an older snapshot back, rename its folder into place: a file copied over a live database is corrupt.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import queue
import sqlite3
import threading
import time
import uuid
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any, TypeVar

from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    Delete,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    Record,
    SessionEndedError,
    StoreFullError,
    StoreSnapshot,
    StoreUnavailableError,
    WatchBatch,
    WatchEvent,
    check_sizes,
)

T = TypeVar("T")
WATCH_POLL_S = (
    0.05  # seconds between a watcher's looks: 230 processes cost 1.8 cores at rest, contacts included
)
LOCK_TIMEOUT_S = 1.0  # seconds that a commit waits for others': a commit takes some milliseconds
CHANGE_LOG_LENGTH = 20_000  # changes kept for watchers: minutes of a fleet's worst day, a few megabytes
CHANGE_LOG_TRIM = 1_000  # trimmed that many at a time
STANDSTILL_SHARE = (
    2 / 3
)  # of a session's time in which nobody renewed: the register was away, not all of them
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")

RECORDS_SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS records (key TEXT PRIMARY KEY, value BLOB, version INTEGER, token TEXT,
    session TEXT) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_session ON records (session) WHERE session != '';
CREATE TABLE IF NOT EXISTS log (n INTEGER PRIMARY KEY, revision INTEGER, key TEXT, value BLOB, token TEXT,
    session TEXT, gone INTEGER);
CREATE INDEX IF NOT EXISTS by_revision ON log (revision);
"""
SESSIONS_SCHEMA = """
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS sessions (id TEXT PRIMARY KEY, ttl INTEGER, due INTEGER) WITHOUT ROWID;
"""


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


class _Worker:
    """A thread that does one job after the other; the process does not wait for it at its end, as a disk may
    hang."""

    def __init__(self, name: str) -> None:
        self._jobs: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def _run(self) -> None:
        while (job := self._jobs.get()) is not None:
            job()

    async def do(self, work: Callable[[], T]) -> T:
        loop = asyncio.get_running_loop()
        done: asyncio.Future[T] = loop.create_future()

        def tell(value: Any, fault: BaseException | None) -> None:
            if done.done():
                return
            if fault is not None:
                done.set_exception(fault)
            else:
                done.set_result(value)

        def job() -> None:
            value: Any = None
            met: BaseException | None = None
            try:
                value = work()
            except BaseException as fault:
                met = fault
            with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
                loop.call_soon_threadsafe(tell, value, met)

        self._jobs.put(job)
        return await done

    def end(self) -> None:
        self._jobs.put(None)


class _Files:
    """Connections of one thread, opened when first used and again when the folder was put in another's
    place."""

    def __init__(self, folder: Path) -> None:
        self.folder, self._open = folder, dict[str, tuple[sqlite3.Connection, tuple[int, int]]]()

    def get(self, name: str, schema: str, flushed: bool) -> sqlite3.Connection:
        path = self.folder / name
        known = self._open.get(name)
        if known is not None:
            if known[1] == self._identity(path):
                return known[0]
            self.shut()
            # Told once: what was read of the one before may not be what this one holds.
            raise StoreUnavailableError(f"{path}: another folder was put in its place")
        self.folder.mkdir(parents=True, exist_ok=True)
        found = sqlite3.connect(path, timeout=LOCK_TIMEOUT_S, isolation_level=None, check_same_thread=False)
        found.execute("PRAGMA journal_mode = WAL")
        found.execute(f"PRAGMA synchronous = {'FULL' if flushed else 'NORMAL'}")
        with _commit(found):
            for statement in schema.split(";"):
                if statement.strip():
                    found.execute(statement)
            found.execute("INSERT OR IGNORE INTO meta VALUES ('lineage', ?)", (uuid.uuid4().hex[:12],))
            found.execute("INSERT OR IGNORE INTO meta VALUES ('revision', 1), ('compacted', 0), ('boot', '')")
        identity = self._identity(path)
        if identity is None:
            raise StoreUnavailableError(f"{path} went while it was opened")
        self._open[name] = found, identity
        return found

    @staticmethod
    def _identity(path: Path) -> tuple[int, int] | None:
        try:
            found = os.stat(path)
        except OSError:
            return None
        return found.st_dev, found.st_ino

    def shut(self) -> None:
        for connection, _ in self._open.values():
            with contextlib.suppress(sqlite3.Error):
                connection.close()
        self._open.clear()


@contextlib.contextmanager
def _commit(db: sqlite3.Connection) -> Iterator[None]:
    """All of it or nothing. A fault of the last step leaves the outcome unknown, but for a full disk."""
    db.execute("BEGIN IMMEDIATE")
    try:
        yield
    except BaseException:
        with contextlib.suppress(sqlite3.Error):
            db.execute("ROLLBACK")
        raise
    try:
        db.execute("COMMIT")
    except sqlite3.Error as fault:
        with contextlib.suppress(sqlite3.Error):
            db.execute("ROLLBACK")
        if fault.sqlite_errorcode & 0xFF in (sqlite3.SQLITE_FULL, sqlite3.SQLITE_BUSY):
            raise
        raise OutcomeUnknownError(str(fault)) from None


def _after(prefix: str) -> str:
    """The first key behind all of a prefix."""
    return prefix + "\U0010ffff"


def _record(key: Any, value: Any, version: Any, token: Any, session: Any) -> Record:
    good = isinstance(value, bytes) and isinstance(token, str) and isinstance(session, str)
    return Record(
        str(key),
        value if isinstance(value, bytes) else b"",
        int(version),
        token if isinstance(token, str) else "",
        session if isinstance(session, str) else "",
        not good,
    )


class SqliteStore:
    """A `register.Home`. The folder is made if need be; calls raise what `register` names."""

    def __init__(self, folder: Path, change_log_length: int = CHANGE_LOG_LENGTH) -> None:
        self._log = change_log_length
        self._files, self._watched = _Files(folder), _Files(folder)
        self._worker, self._watcher = _Worker("register"), _Worker("register-watch")
        self._closed = threading.Event()

    async def _do(self, worker: _Worker, work: Callable[[], T]) -> T:
        def safe() -> T:
            try:
                return work()
            except sqlite3.Error as fault:
                code = getattr(fault, "sqlite_errorcode", 0) & 0xFF
                (self._files if worker is self._worker else self._watched).shut()
                if code == sqlite3.SQLITE_FULL:
                    raise StoreFullError(f"{self._files.folder}: no room; free some of the disk") from None
                raise StoreUnavailableError(f"{self._files.folder}: {fault}") from None
            except OSError as fault:
                raise StoreUnavailableError(f"{self._files.folder}: {fault.strerror or fault}") from None

        if self._closed.is_set():
            raise StoreUnavailableError("closed")
        return await worker.do(safe)

    def _records(self) -> sqlite3.Connection:
        return self._files.get("register.db", RECORDS_SCHEMA, True)

    def _sessions(self) -> sqlite3.Connection:
        return self._files.get("sessions.db", SESSIONS_SCHEMA, False)

    async def read(self, prefix: str) -> StoreSnapshot:
        def work() -> StoreSnapshot:
            db = self._records()
            db.execute("BEGIN")
            try:
                meta = dict(db.execute("SELECT name, value FROM meta"))
                rows = db.execute(
                    "SELECT key, value, version, token, session FROM records " "WHERE key >= ? AND key < ?",
                    (prefix, _after(prefix)),
                ).fetchall()
            finally:
                db.execute("COMMIT")
            return StoreSnapshot(meta["lineage"], meta["revision"], tuple(_record(*row) for row in rows))

        return await self._do(self._worker, work)

    async def commit(self, changes: tuple[Change, ...], token: str) -> Committed | CommitRejected:
        check_sizes(changes)

        def work() -> Committed | CommitRejected:
            db = self._records()
            for session in {c.session_id for c in changes if isinstance(c, Put) and c.session_id}:
                self._live(session)
            with _commit(db):
                revision = self._count(db)
                found = {}
                for c in changes:
                    row = db.execute(
                        "SELECT key, value, version, token, session FROM records WHERE key = ?", (c.key,)
                    ).fetchone()
                    if row is not None:
                        found[c.key] = _record(*row)
                if any(
                    c.expected_version != (found[c.key].version if c.key in found else 0) for c in changes
                ):
                    return CommitRejected(revision, tuple(found.values()))
                self._write(db, revision + 1, changes, token)
                return Committed(revision + 1)

        return await self._do(self._worker, work)

    @staticmethod
    def _count(db: sqlite3.Connection) -> int:
        return int(db.execute("SELECT value FROM meta WHERE name = 'revision'").fetchone()[0])

    def _write(self, db: sqlite3.Connection, revision: int, changes: tuple[Change, ...], token: str) -> None:
        for c in changes:
            if isinstance(c, Put):
                row = (c.key, c.value, revision, token, c.session_id)
                db.execute("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?)", row)
                db.execute(
                    "INSERT INTO log (key, value, revision, token, session, gone) "
                    "VALUES (?, ?, ?, ?, ?, 0)",
                    row,
                )
            else:
                db.execute("DELETE FROM records WHERE key = ?", (c.key,))
                db.execute("INSERT INTO log (key, revision, gone) VALUES (?, ?, 1)", (c.key, revision))
        db.execute("UPDATE meta SET value = ? WHERE name = 'revision'", (revision,))
        first, last = db.execute("SELECT min(n), max(n) FROM log").fetchone()
        if last is not None and last - first >= self._log + min(CHANGE_LOG_TRIM, self._log):
            (oldest,) = db.execute("SELECT revision FROM log WHERE n = ?", (last - self._log,)).fetchone()
            db.execute("DELETE FROM log WHERE revision <= ?", (oldest,))
            db.execute("UPDATE meta SET value = ? WHERE name = 'compacted'", (oldest,))

    # Sessions

    def _live(self, session: str) -> None:
        row = self._sessions().execute("SELECT due FROM sessions WHERE id = ?", (session,)).fetchone()
        if row is None or row[0] < monotonic_us():
            raise SessionEndedError(f"session {session} has ended")

    def _expire(self) -> None:
        """Ends sessions whose time is over, unless the machine or the register stood still itself."""
        db, at, boot = self._sessions(), monotonic_us(), BOOT_ID_PATH.read_text().strip()
        with _commit(db):
            (known,) = db.execute("SELECT value FROM meta WHERE name = 'boot'").fetchone()
            (renewed,) = db.execute("SELECT max(due - ttl) FROM sessions").fetchone()
            if known != boot:
                db.execute("UPDATE meta SET value = ? WHERE name = 'boot'", (boot,))
            if known != boot or (renewed is not None and at - renewed > 0):
                db.execute(
                    "UPDATE sessions SET due = ? + ttl WHERE ? OR ? - ? > ? * ttl",
                    (at, known != boot, at, renewed or at, STANDSTILL_SHARE),
                )
        over = [id for (id,) in db.execute("SELECT id FROM sessions WHERE due < ?", (at,))]
        for session in over:
            self._sweep(session)
            db.execute("DELETE FROM sessions WHERE id = ?", (session,))

    def _sweep(self, session: str) -> None:
        db = self._records()
        with _commit(db):
            keys = db.execute("SELECT key FROM records WHERE session = ? AND session != ''", (session,))
            changes = tuple(Delete(key, 0) for (key,) in keys.fetchall())
            if changes:
                self._write(db, self._count(db) + 1, changes, "")

    async def open_session(self, ttl: int) -> str:
        def work() -> str:
            self._expire()
            session = uuid.uuid4().hex[:16]
            self._sessions().execute(
                "INSERT INTO sessions VALUES (?, ?, ?)", (session, ttl, monotonic_us() + ttl)
            )
            # Records whose session an older folder of sessions does not know: nobody else would delete them.
            held = {
                s
                for (s,) in self._records().execute(
                    "SELECT DISTINCT session FROM records " "WHERE session != ''"
                )
            }
            for orphan in held - {s for (s,) in self._sessions().execute("SELECT id FROM sessions")}:
                self._sweep(orphan)
            return session

        return await self._do(self._worker, work)

    async def renew_session(self, session: str) -> int:
        def work() -> int:
            self._expire()
            at = monotonic_us()
            done = (
                self._sessions()
                .execute("UPDATE sessions SET due = ? + ttl WHERE id = ? AND due >= ?", (at, session, at))
                .rowcount
            )
            if not done:
                raise SessionEndedError(f"session {session} has ended")
            return self._count(self._records())

        return await self._do(self._worker, work)

    async def end_session(self, session: str) -> None:
        def work() -> None:
            self._sweep(session)
            self._sessions().execute("DELETE FROM sessions WHERE id = ?", (session,))

        await self._do(self._worker, work)

    # Watching

    async def watch(self, prefix: str, after: int, wait: int) -> WatchBatch:
        end = monotonic_us() + wait

        def work() -> WatchBatch:
            seen: tuple[int, int] | None = None
            while True:
                db = self._watched.get("register.db", RECORDS_SCHEMA, True)
                (changed,) = db.execute("PRAGMA data_version").fetchone()
                if seen != (id(db), changed):  # cheap while nothing was written
                    seen = id(db), changed
                    if (found := self._changes(db, prefix, after)) is not None:
                        return found
                if monotonic_us() >= end or self._closed.is_set():
                    meta = dict(db.execute("SELECT name, value FROM meta"))
                    return WatchBatch(meta["lineage"], after, after, ())
                time.sleep(WATCH_POLL_S)

        return await self._do(self._watcher, work)

    def _changes(self, db: sqlite3.Connection, prefix: str, after: int) -> WatchBatch | None:
        db.execute("BEGIN")
        try:
            meta = dict(db.execute("SELECT name, value FROM meta"))
            if meta["compacted"] > after:
                raise HistoryCompactedError(f"changes up to {meta['compacted']} are not kept")
            if meta["revision"] == after:
                return None
            rows = db.execute(
                "SELECT key, revision, value, token, session, gone FROM log WHERE revision > ? " "ORDER BY n",
                (after,),
            ).fetchall()
        finally:
            db.execute("COMMIT")
        events = tuple(
            WatchEvent(key, revision, None if gone else _record(key, value, revision, token, session))
            for key, revision, value, token, session, gone in rows
            if key.startswith(prefix)
        )
        return WatchBatch(meta["lineage"], after, meta["revision"], events)

    async def close(self) -> None:
        self._closed.set()
        for worker, files in ((self._worker, self._files), (self._watcher, self._watched)):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await worker.do(files.shut)
            worker.end()
