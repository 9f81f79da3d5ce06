"""The coordination store as its users see it: small records, each with a version, under slash-separated keys.

A record's version is the store's revision at the record's last change; revisions only grow. A commit is
applied as a whole or not at all, each change against the version that it expects. A record may belong to a
session and goes with it. Backends (a folder of one machine, an etcd cluster) implement `CoordinationStore`;
the errors that they raise say what is known of the outcome, which is never guessed.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

MAX_KEY_CHARACTERS = 256
"""Names of members and partitions are far shorter."""

MAX_VALUE_BYTES = 262_144
"""Quotas of 1,024 members, the largest record there is, take half of it."""


class Record(NamedTuple):
    """A record as the store holds it.

    Attributes:
        key: Under which it is stored.
        value: Its bytes; empty for a malformed one.
        version: The store's revision at its last change.
        commit_id: Names the commit that wrote it, so that a writer recognizes its own.
        session_id: The session that it goes with; empty for one that stays.
        malformed: Whether the stored bytes are not a record of this program.
    """

    key: str
    value: bytes
    version: int
    commit_id: str = ""
    session_id: str = ""
    malformed: bool = False


class Put(NamedTuple):
    """Writes a record if its version is `expected_version`; zero is for one that must not exist."""

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
    """A version was not the expected one; nothing was written.

    `records` are the current ones under the keys of the changes; a key without one does not exist.
    """

    revision: int
    records: tuple[Record, ...]


class WatchEvent(NamedTuple):
    """A change made at `revision`; `record` is None where it was deleted."""

    key: str
    revision: int
    record: Record | None


class StoreSnapshot(NamedTuple):
    """All records below a prefix as of `revision`; `store_id` names the store, where the backend can."""

    store_id: str
    revision: int
    records: tuple[Record, ...]


class WatchBatch(NamedTuple):
    """Every change below a prefix after `after_revision` up to `revision`; none where the wait ran out."""

    store_id: str
    after_revision: int
    revision: int
    events: tuple[WatchEvent, ...]


class CoordinationError(Exception):
    """Base error of the package. A call that raises it had no effect unless the class says otherwise."""


class StoreUnavailableError(CoordinationError):
    """The store can't be reached or does not serve requests now; nothing was written."""


class OutcomeUnknownError(CoordinationError):
    """The call may have taken place, may still do so, or never will."""


class StoreFullError(CoordinationError):
    """The store has no room; nothing was written."""


class RecordTooLargeError(CoordinationError):
    """A key or value exceeds the limits of this module: an error of the caller."""


class SessionEndedError(CoordinationError):
    """The session that the call names has ended; its records are gone or going."""


class HistoryCompactedError(CoordinationError):
    """The changes asked for are no longer kept; the records are to be read in full."""


class CoordinationStore(Protocol):
    """A backend of the store.

    Every call may raise StoreUnavailableError; `commit`, `open_session` and `end_session` may raise
    OutcomeUnknownError.
    """

    async def read(self, prefix: str) -> StoreSnapshot:
        """Reads as of now: no answer is older than a commit that ended before the call."""

    async def commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        """Applies all changes or none. Raises SessionEndedError, StoreFullError, RecordTooLargeError."""

    async def open_session(self, ttl_us: int) -> str:
        """Opens a session that ends unless it is renewed within `ttl_us`; returns its id."""

    async def renew_session(self, session_id: str) -> int:
        """Renews a session; returns the store's revision. Raises SessionEndedError."""

    async def end_session(self, session_id: str) -> None:
        """Ends a session and deletes its records; one that has ended already is none."""

    async def watch(self, prefix: str, after_revision: int, wait_us: int) -> WatchBatch:
        """Waits up to `wait_us` for a change. Raises HistoryCompactedError."""

    async def close(self) -> None:
        """Releases connections and threads."""


def check_sizes(changes: tuple[Change, ...]) -> None:
    """Raises RecordTooLargeError for a change that one backend would accept and another not."""
    for change in changes:
        if not 0 < len(change.key) <= MAX_KEY_CHARACTERS:
            raise RecordTooLargeError(f"key of {len(change.key)} characters, {MAX_KEY_CHARACTERS} at most")
        if isinstance(change, Put) and len(change.value) > MAX_VALUE_BYTES:
            raise RecordTooLargeError(f"{change.key}: {len(change.value)} bytes, {MAX_VALUE_BYTES} at most")
