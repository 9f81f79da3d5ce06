"""The sessions of the SQLite coordination store: renewal and expiry.

The code blocks, and each object is used by one thread only, as its connections are. Sessions expire by the
machine's monotonic clock, which all its processes share. Every session gets its full time to live again after
a reboot, and after a stall of the machine or the store in which no process could renew its session.
"""

from __future__ import annotations

import sqlite3
import uuid
from pathlib import Path

from gradehoist.clock import monotonic_us
from gradehoist.coordination.store import SessionEndedError
from gradehoist.store.sqlite_connections import SESSIONS, FolderConnections, transaction
from gradehoist.store.sqlite_records import RecordTable

BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")  # the file's content changes with each boot
SESSION_ID_DIGITS = 16
# If no session at all was renewed for this share of a session's time to live, the machine or the store is
# assumed to have stalled: single processes fail, but hardly ever all at the same time.
STALL_SHARE = 2 / 3


class SessionTable:
    """Reads and writes `sessions.db`, and deletes the records of sessions that have ended.

    The records are deleted before their session. If a process dies in between, the session is still there,
    and the next process deletes the rest; no orphaned records remain.
    """

    def __init__(self, connections: FolderConnections, records: RecordTable) -> None:
        """Uses the connections of the calling thread."""
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
        """Gives a session its full time to live again. Raises SessionEndedError if it has ended."""
        self._expire()
        now_us = monotonic_us()
        renewed = self._connect().execute(
            "UPDATE sessions SET due = ? + ttl WHERE id = ? AND due >= ?", (now_us, session_id, now_us)
        )
        if not renewed.rowcount:
            raise SessionEndedError(f"session {session_id} has ended")

    def end(self, session_id: str) -> None:
        """Ends a session and deletes its records."""
        self._records.delete_session_records(session_id)
        self._connect().execute("DELETE FROM sessions WHERE id = ?", (session_id,))

    def require_alive(self, session_id: str) -> None:
        """Raises SessionEndedError if a session has ended or expired."""
        row = self._connect().execute("SELECT due FROM sessions WHERE id = ?", (session_id,)).fetchone()
        if row is None or row[0] < monotonic_us():
            raise SessionEndedError(f"session {session_id} has ended")

    def _connect(self) -> sqlite3.Connection:
        return self._connections.connect(SESSIONS)

    def _expire(self) -> None:
        """Ends the sessions that have expired."""
        connection = self._connect()
        now_us = monotonic_us()
        boot_id = BOOT_ID_PATH.read_text().strip()
        with transaction(connection):
            if not _extend_after_boot(connection, now_us, boot_id):
                _extend_after_stall(connection, now_us)
        expired = connection.execute("SELECT id FROM sessions WHERE due < ?", (now_us,)).fetchall()
        for (session_id,) in expired:
            self.end(session_id)

    def _delete_orphaned_records(self) -> None:
        """Deletes records of unknown sessions, which exist after an older `sessions.db` was restored."""
        known = {session_id for (session_id,) in self._connect().execute("SELECT id FROM sessions")}
        for session_id in self._records.session_ids() - known:
            self._records.delete_session_records(session_id)


def _extend_after_boot(connection: sqlite3.Connection, now_us: int, boot_id: str) -> bool:
    """Gives every session its full time to live if the machine has booted since the last call.

    Returns whether it has.
    """
    (known_boot_id,) = connection.execute("SELECT value FROM meta WHERE name = 'boot'").fetchone()
    if known_boot_id == boot_id:
        return False
    connection.execute("UPDATE meta SET value = ? WHERE name = 'boot'", (boot_id,))
    connection.execute("UPDATE sessions SET due = ? + ttl", (now_us,))
    return True


def _extend_after_stall(connection: sqlite3.Connection, now_us: int) -> None:
    """Gives sessions their full time to live if no session was renewed for `STALL_SHARE` of that time."""
    (last_renewal_us,) = connection.execute("SELECT max(due - ttl) FROM sessions").fetchone()
    if last_renewal_us is None or last_renewal_us >= now_us:
        return
    connection.execute(
        "UPDATE sessions SET due = ? + ttl WHERE ? - ? > ? * ttl",
        (now_us, now_us, last_renewal_us, STALL_SHARE),
    )
