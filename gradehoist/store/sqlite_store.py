"""The coordination store of a single machine: SQLite files in a folder, without a server process.

All processes of the machine open the files directly. To restore an older state, rename a complete copy of the
folder into place: copying a file over a database in use corrupts it.
"""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

from gradehoist.clock import monotonic_us
from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    Put,
    StoreSnapshot,
    StoreUnavailableError,
    WatchBatch,
    check_sizes,
)
from gradehoist.store.sqlite_connections import DatabaseThread
from gradehoist.store.sqlite_records import DataVersion, RecordTable
from gradehoist.store.sqlite_sessions import SessionTable

Result = TypeVar("Result")

WATCH_POLL_S = 0.05  # the interval of a watch's checks, at which 230 idle processes use 1.8 cores together
CHANGE_LOG_LENGTH = 20_000  # the changes kept for watches: minutes of a busy fleet, a few megabytes


class SqliteStore:
    """A `CoordinationStore` in `folder`, which is created if it is missing.

    Its methods raise the errors that `gradehoist.coordination.store` defines. Watches, which wait for
    changes, run on one thread, and all other calls on another.
    """

    def __init__(self, folder: Path, change_log_length: int = CHANGE_LOG_LENGTH) -> None:
        """Starts the two threads; the folder is opened at the first call."""
        self._calls = DatabaseThread(folder, "coordination-store")
        self._records = RecordTable(self._calls.connections, change_log_length)
        self._sessions = SessionTable(self._calls.connections, self._records)
        self._watch = DatabaseThread(folder, "coordination-store-watch")
        self._watched_records = RecordTable(self._watch.connections, change_log_length)
        self._closed = threading.Event()

    async def read(self, prefix: str) -> StoreSnapshot:
        """Returns all records below `prefix` as of now."""
        return await self._run(self._calls, lambda: self._records.read(prefix))

    async def commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        """Writes all changes, or none if a record does not have the version that its change expects."""
        check_sizes(changes)
        return await self._run(self._calls, lambda: self._commit(changes, commit_id))

    async def open_session(self, ttl_us: int) -> str:
        """Returns the id of a new session that ends unless it is renewed within `ttl_us`."""
        return await self._run(self._calls, lambda: self._sessions.open(ttl_us))

    async def renew_session(self, session_id: str) -> int:
        """Renews a session and returns the store's revision."""
        return await self._run(self._calls, lambda: self._renew(session_id))

    async def end_session(self, session_id: str) -> None:
        """Ends a session and deletes its records."""
        await self._run(self._calls, lambda: self._sessions.end(session_id))

    async def watch(self, prefix: str, after_revision: int, wait_us: int) -> WatchBatch:
        """Returns the changes below `prefix` since a revision; waits up to `wait_us` for the first."""
        deadline_us = monotonic_us() + wait_us
        return await self._run(
            self._watch, lambda: self._wait_for_changes(prefix, after_revision, deadline_us)
        )

    async def close(self) -> None:
        """Ends a running watch, closes the files and ends the threads; later calls fail."""
        self._closed.set()
        await self._calls.close()
        await self._watch.close()

    async def _run(self, thread: DatabaseThread, work: Callable[[], Result]) -> Result:
        if self._closed.is_set():
            raise StoreUnavailableError("the store is closed")
        return await thread.run(work)

    def _commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        session_ids = {change.session_id for change in changes if isinstance(change, Put)}
        for session_id in session_ids - {""}:
            self._sessions.require_alive(session_id)
        return self._records.commit(changes, commit_id)

    def _renew(self, session_id: str) -> int:
        self._sessions.renew(session_id)
        return self._records.revision()

    def _wait_for_changes(self, prefix: str, after_revision: int, deadline_us: int) -> WatchBatch:
        checked_version: DataVersion | None = None
        while True:
            version = self._watched_records.data_version()
            if version != checked_version:
                checked_version = version
                batch = self._watched_records.changes_after(prefix, after_revision)
                if batch is not None:
                    return batch
            if monotonic_us() >= deadline_us or self._closed.is_set():
                return self._watched_records.empty_batch(after_revision)
            time.sleep(WATCH_POLL_S)
