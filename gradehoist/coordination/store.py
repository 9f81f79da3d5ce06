"""The interface of the coordination store, which holds small versioned records under slash-separated keys.

A record's version is the revision of the store at the record's last change. Revisions only grow. A commit is
applied atomically, if each of its changes finds the version that it expects. A record that belongs to a
session is deleted when the session ends. The backends (a folder of one machine, an etcd cluster) implement
`CoordinationStore`. The errors that they raise state exactly what is known about the outcome of a call.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

MAX_KEY_CHARACTERS = 256
"""Longest key. The names of members and partitions are far shorter."""

MAX_VALUE_BYTES = 262_144
"""Largest value. The quota allocation of 1,024 members, which is the largest record, needs half of this."""


class Record(NamedTuple):
    """A record as the store holds it.

    Attributes:
        key: Key under which it is stored.
        value: Its value in bytes; empty if the record is malformed.
        version: Revision of the store at its last change.
        commit_id: Id of the commit that wrote it, by which the writer recognizes its own commit.
        session_id: The session that it belongs to; empty if it belongs to none.
        malformed: Whether the stored bytes do not have the form of a record.
    """

    key: str
    value: bytes
    version: int
    commit_id: str = ""
    session_id: str = ""
    malformed: bool = False


class Put(NamedTuple):
    """Writes a record if its version is `expected_version`. Zero means that it must not exist."""

    key: str
    value: bytes
    expected_version: int
    session_id: str = ""


class Delete(NamedTuple):
    """Deletes a record if its version is `expected_version`."""

    key: str
    expected_version: int


Change = Put | Delete


class Committed(NamedTuple):
    """A commit was applied and made `revision`."""

    revision: int


class CommitRejected(NamedTuple):
    """A commit was rejected because a version was not the expected one. Nothing was written.

    Attributes:
        revision: Revision of the store.
        records: The current records under the keys of the commit. Keys without a record are missing.
    """

    revision: int
    records: tuple[Record, ...]


class WatchEvent(NamedTuple):
    """A change of a record, made at `revision`. `record` is None if it was deleted."""

    key: str
    revision: int
    record: Record | None


class StoreSnapshot(NamedTuple):
    """All records below a prefix at `revision`. `store_id` identifies the store, where supported."""

    store_id: str
    revision: int
    records: tuple[Record, ...]


class WatchBatch(NamedTuple):
    """All changes below a prefix after `after_revision` up to `revision`; none if the wait timed out."""

    store_id: str
    after_revision: int
    revision: int
    events: tuple[WatchEvent, ...]


class CoordinationError(Exception):
    """Base class of the package's errors. The call had no effect unless the class says otherwise."""


class StoreUnavailableError(CoordinationError):
    """The store can't be reached or does not serve requests at present. Nothing was written."""


class OutcomeUnknownError(CoordinationError):
    """The call may have taken effect, may still take effect, or never will."""


class StoreFullError(CoordinationError):
    """The store has no space left. Nothing was written."""


class RecordTooLargeError(CoordinationError):
    """A key or value exceeds the limits of this module, which is an error of the caller."""


class SessionEndedError(CoordinationError):
    """The session of the call has ended. The store has deleted its records or is about to do so."""


class HistoryCompactedError(CoordinationError):
    """The store no longer has the requested changes, so the records have to be read in full."""


class CoordinationStore(Protocol):
    """A backend of the store.

    Every call may raise StoreUnavailableError; `commit`, `open_session` and `end_session` may raise
    OutcomeUnknownError.
    """

    async def read(self, prefix: str) -> StoreSnapshot:
        """Reads all records below `prefix`. The result contains every commit completed before the call."""

    async def commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        """Applies all changes or none.

        Raises SessionEndedError, StoreFullError, RecordTooLargeError.
        """

    async def open_session(self, ttl_us: int) -> str:
        """Opens a session that expires unless it is renewed within `ttl_us`; returns its id."""

    async def renew_session(self, session_id: str) -> int:
        """Renews a session; returns the store's revision. Raises SessionEndedError."""

    async def end_session(self, session_id: str) -> None:
        """Ends a session and deletes its records. Ending a session that has ended already is no error."""

    async def watch(self, prefix: str, after_revision: int, wait_us: int) -> WatchBatch:
        """Waits up to `wait_us` for changes after a revision. Raises HistoryCompactedError."""

    async def close(self) -> None:
        """Releases connections and threads."""


def check_sizes(changes: tuple[Change, ...]) -> None:
    """Raises RecordTooLargeError for a change that only some backends would accept."""
    for change in changes:
        if not 0 < len(change.key) <= MAX_KEY_CHARACTERS:
            raise RecordTooLargeError(
                f"key has {len(change.key)} characters; {MAX_KEY_CHARACTERS} at most are allowed"
            )
        if isinstance(change, Put) and len(change.value) > MAX_VALUE_BYTES:
            raise RecordTooLargeError(
                f"value of {change.key} has {len(change.value)} bytes; {MAX_VALUE_BYTES} at most are allowed"
            )
