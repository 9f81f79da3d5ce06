"""The records of the SQLite coordination store and the log of their changes.

The code blocks, and each object is used by one thread only, as its connections are.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable
from typing import Any, NamedTuple

from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    Delete,
    HistoryCompactedError,
    Put,
    Record,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
)
from gradehoist.store.sqlite_connections import RECORDS, FolderConnections, read_transaction, transaction

CHANGE_LOG_TRIM = 1_000  # the number of changes dropped at a time, so that most commits do not trim the log
_LAST_CHARACTER = "\U0010ffff"
_RECORD_COLUMNS = "key, value, version, token, session"


class DataVersion(NamedTuple):
    """Changes whenever another connection has written to the database."""

    connection_id: int
    version: int


class _Meta(NamedTuple):
    store_id: str
    revision: int
    compacted_revision: int


class RecordTable:
    """Reads and writes `register.db`, whose log keeps the last `change_log_length` changes for watches."""

    def __init__(self, connections: FolderConnections, change_log_length: int) -> None:
        """Uses the connections of the calling thread."""
        self._connections = connections
        self._change_log_length = change_log_length

    def connect(self) -> sqlite3.Connection:
        """Returns the connection. Raises the same errors as `FolderConnections.connect`."""
        return self._connections.connect(RECORDS)

    def revision(self) -> int:
        """Returns the store's current revision."""
        return _read_meta(self.connect()).revision

    def data_version(self) -> DataVersion:
        """Returns a value that shows, compared with an earlier one, whether the database has changed.

        It is cheap as long as nothing is written.
        """
        connection = self.connect()
        (version,) = connection.execute("PRAGMA data_version").fetchone()
        return DataVersion(id(connection), version)

    def read(self, prefix: str) -> StoreSnapshot:
        """Returns all records whose keys begin with `prefix`."""
        connection = self.connect()
        with read_transaction(connection):
            meta = _read_meta(connection)
            rows = connection.execute(
                f"SELECT {_RECORD_COLUMNS} FROM records WHERE key >= ? AND key < ?",
                (prefix, prefix + _LAST_CHARACTER),
            ).fetchall()
        records = tuple(_record_from_row(*row) for row in rows)
        return StoreSnapshot(store_id=meta.store_id, revision=meta.revision, records=records)

    def commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        """Writes all changes, or none if a record does not have the version that its change expects."""
        connection = self.connect()
        with transaction(connection):
            revision = _read_meta(connection).revision
            records = _read_records(connection, (change.key for change in changes))
            if not all(_is_expected(change, records.get(change.key)) for change in changes):
                return CommitRejected(revision, tuple(records.values()))
            self._write(connection, revision + 1, changes, commit_id)
            return Committed(revision + 1)

    def delete_session_records(self, session_id: str) -> None:
        """Deletes the records that belong to a session, in one commit."""
        connection = self.connect()
        with transaction(connection):
            rows = connection.execute(
                "SELECT key FROM records WHERE session = ? AND session != ''", (session_id,)
            ).fetchall()
            changes = tuple(Delete(key, expected_version=0) for (key,) in rows)
            if changes:
                revision = _read_meta(connection).revision
                self._write(connection, revision + 1, changes, commit_id="")

    def session_ids(self) -> set[str]:
        """Returns the sessions that records belong to."""
        rows = self.connect().execute("SELECT DISTINCT session FROM records WHERE session != ''")
        return {session_id for (session_id,) in rows}

    def changes_after(self, prefix: str, after_revision: int) -> WatchBatch | None:
        """Returns the changes since a revision, or None if the store has not changed.

        Raises:
            HistoryCompactedError: The log no longer holds all of them.
        """
        connection = self.connect()
        with read_transaction(connection):
            meta = _read_meta(connection)
            if meta.compacted_revision > after_revision:
                raise HistoryCompactedError(
                    f"changes up to revision {meta.compacted_revision} have been compacted"
                )
            if meta.revision == after_revision:
                return None
            rows = connection.execute(
                "SELECT key, value, revision, token, session, gone FROM log WHERE revision > ? ORDER BY n",
                (after_revision,),
            ).fetchall()
        events = tuple(_event_from_row(row) for row in rows if row[0].startswith(prefix))
        return WatchBatch(
            store_id=meta.store_id, after_revision=after_revision, revision=meta.revision, events=events
        )

    def empty_batch(self, after_revision: int) -> WatchBatch:
        """Returns the result of a watch that timed out without a change."""
        meta = _read_meta(self.connect())
        return WatchBatch(
            store_id=meta.store_id, after_revision=after_revision, revision=after_revision, events=()
        )

    def _write(
        self, connection: sqlite3.Connection, revision: int, changes: tuple[Change, ...], commit_id: str
    ) -> None:
        for change in changes:
            if isinstance(change, Put):
                _write_put(connection, revision, change, commit_id)
            else:
                _write_delete(connection, revision, change.key)
        connection.execute("UPDATE meta SET value = ? WHERE name = 'revision'", (revision,))
        self._trim_log(connection)

    def _trim_log(self, connection: sqlite3.Connection) -> None:
        first, last = connection.execute("SELECT min(n), max(n) FROM log").fetchone()
        limit = self._change_log_length + min(CHANGE_LOG_TRIM, self._change_log_length)
        if last is None or last - first < limit:
            return
        newest_dropped = last - self._change_log_length
        (compacted,) = connection.execute(
            "SELECT revision FROM log WHERE n = ?", (newest_dropped,)
        ).fetchone()
        connection.execute("DELETE FROM log WHERE revision <= ?", (compacted,))
        connection.execute("UPDATE meta SET value = ? WHERE name = 'compacted'", (compacted,))


def _read_meta(connection: sqlite3.Connection) -> _Meta:
    values = dict(connection.execute("SELECT name, value FROM meta"))
    return _Meta(
        store_id=values["lineage"], revision=values["revision"], compacted_revision=values["compacted"]
    )


def _read_records(connection: sqlite3.Connection, keys: Iterable[str]) -> dict[str, Record]:
    records: dict[str, Record] = {}
    for key in keys:
        row = connection.execute(f"SELECT {_RECORD_COLUMNS} FROM records WHERE key = ?", (key,)).fetchone()
        if row is not None:
            records[key] = _record_from_row(*row)
    return records


def _is_expected(change: Change, record: Record | None) -> bool:
    version = 0 if record is None else record.version
    return change.expected_version == version


def _write_put(connection: sqlite3.Connection, revision: int, put: Put, commit_id: str) -> None:
    row = (put.key, put.value, revision, commit_id, put.session_id)
    connection.execute("INSERT OR REPLACE INTO records VALUES (?, ?, ?, ?, ?)", row)
    connection.execute(
        "INSERT INTO log (key, value, revision, token, session, gone) VALUES (?, ?, ?, ?, ?, 0)", row
    )


def _write_delete(connection: sqlite3.Connection, revision: int, key: str) -> None:
    connection.execute("DELETE FROM records WHERE key = ?", (key,))
    connection.execute("INSERT INTO log (key, revision, gone) VALUES (?, ?, 1)", (key, revision))


def _record_from_row(key: Any, value: Any, version: Any, commit_id: Any, session_id: Any) -> Record:
    """Returns a record from values that may have any type if the file is damaged.

    Invalid values are replaced by empty ones, and the record is marked as `malformed`.
    """
    is_valid = isinstance(value, bytes) and isinstance(commit_id, str) and isinstance(session_id, str)
    return Record(
        key=str(key),
        value=value if isinstance(value, bytes) else b"",
        version=int(version),
        commit_id=commit_id if isinstance(commit_id, str) else "",
        session_id=session_id if isinstance(session_id, str) else "",
        malformed=not is_valid,
    )


def _event_from_row(row: tuple[Any, ...]) -> WatchEvent:
    *record_columns, is_deletion = row
    key, _, revision, *_ = record_columns
    record = None if is_deletion else _record_from_row(*record_columns)
    return WatchEvent(key=key, revision=revision, record=record)
