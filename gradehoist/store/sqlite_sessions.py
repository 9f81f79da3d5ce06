"""The sessions of the SQLite coordination store: renewal and expiry.

Blocking code for one thread, as are its connections. A session's time runs on the machine's monotonic clock,
the same for all its processes. After a restart of the machine every session gets its full time again, and so
it does after a standstill of the machine or the store, in which nobody could renew.
"""

from __future__ import annotations

import sqlite3
import uuid
from pathlib import Path

from gradehoist.clock import monotonic_us
from gradehoist.coordination.store import SessionEndedError
from gradehoist.store.sqlite_connections import SESSIONS, FolderConnections, transaction
from gradehoist.store.sqlite_records import RecordTable

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # changes with each start of the machine
SESSION_ID_DIGITS = 16
# The share of a session's time after which, if no session at all was renewed, the store is taken to have
# stood still: single processes fail, all of them at once hardly ever do.
STANDSTILL_SHARE = 2 / 3


class SessionTable:
    """Reads and writes `sessions.db`, and deletes the records of sessions that have ended.

    The records go first and the session after them, so that a process that dies in between leaves work for
    the next one, and no orphaned records.
    """

    def __init__(self, connections: FolderConnections, records: RecordTable) -> None:
        """Uses the connections of the thread that calls it."""
        self._connections = connections
        self._records = records

    def open(self, ttl_us: int) -> str:
        """Returns the id of a new session that expires unless it is renewed within `ttl_us`."""
        self._expire()
        session_id = uuid.uuid4().hex[:SESSION_ID_DIGITS]
        expires_us = monotonic_us() + ttl_us
        self._connect().execute("INSERT INTO sessions VALUES (?, ?, ?)", (session_id, ttl_us, expires_us))
        self._delete_orphaned_records()
        return session_id

    def renew(self, session_id: str) -> None:
        """Gives a session its full time again. Raises SessionEndedError."""
        self._expire()
        now_us = monotonic_us()
        renewed = self._connect().execute(
            "UPDATE sessions SET due = ? + ttl WHERE id = ? AND due >= ?", (now_us, session_id, now_us)
        )
        if not renewed.rowcount:
            raise SessionEndedError(f"session {session_id} has ended")

    def end(self, session_id: str) -> None:
        """Ends a session at once and deletes its records."""
        self._records.delete_session_records(session_id)
        self._connect().execute("DELETE FROM sessions WHERE id = ?", (session_id,))

    def require_alive(self, session_id: str) -> None:
        """Raises SessionEndedError for a session that has ended or expired."""
        row = self._connect().execute("SELECT due FROM sessions WHERE id = ?", (session_id,)).fetchone()
        if row is None or row[0] < monotonic_us():
            raise SessionEndedError(f"session {session_id} has ended")

    def _connect(self) -> sqlite3.Connection:
        return self._connections.connect(SESSIONS)

    def _expire(self) -> None:
        """Ends the sessions whose time is over."""
        connection = self._connect()
        now_us = monotonic_us()
        boot_id = BOOT_ID_PATH.read_text().strip()
        with transaction(connection):
            if not _restart_after_boot(connection, now_us, boot_id):
                _restart_after_standstill(connection, now_us)
        expired = connection.execute("SELECT id FROM sessions WHERE due < ?", (now_us,)).fetchall()
        for (session_id,) in expired:
            self.end(session_id)

    def _delete_orphaned_records(self) -> None:
        """Deletes records whose session is unknown here, as after an older `sessions.db` was put back."""
        known = {session_id for (session_id,) in self._connect().execute("SELECT id FROM sessions")}
        for session_id in self._records.session_ids() - known:
            self._records.delete_session_records(session_id)


def _restart_after_boot(connection: sqlite3.Connection, now_us: int, boot_id: str) -> bool:
    """Gives every session its full time if the machine was started since the last call; True if it was."""
    (known_boot_id,) = connection.execute("SELECT value FROM meta WHERE name = 'boot'").fetchone()
    if known_boot_id == boot_id:
        return False
    connection.execute("UPDATE meta SET value = ? WHERE name = 'boot'", (boot_id,))
    connection.execute("UPDATE sessions SET due = ? + ttl", (now_us,))
    return True


def _restart_after_standstill(connection: sqlite3.Connection, now_us: int) -> None:
    """Gives sessions their full time if none was renewed for a long part of it."""
    (last_renewal_us,) = connection.execute("SELECT max(due - ttl) FROM sessions").fetchone()
    if last_renewal_us is None or last_renewal_us >= now_us:
        return
    connection.execute(
        "UPDATE sessions SET due = ? + ttl WHERE ? - ? > ? * ttl",
        (now_us, now_us, last_renewal_us, STANDSTILL_SHARE),
    )
