"""The register as its users see it: small records, each with a version, under keys set apart by slashes.

A version is the register's revision at the record's last change; revisions only grow. A commit is taken whole
or not at all, each change against the version that it expects. A record may belong to a session and goes with
it. Homes of the register (a file of one machine, an engine over HTTP) follow `Home`; what they raise says
what is known of the outcome, which is never guessed.
"""

from __future__ import annotations

from typing import NamedTuple, Protocol

MAX_KEY_CHARACTERS = 256  # characters: names of members and partitions are far shorter
MAX_VALUE_BYTES = 262_144  # bytes: a deal among 1,024 members, the largest record there is, takes half of it


class Record(NamedTuple):
    """`token` names the commit that wrote it, so that a writer knows its own again; `session` is empty for
    one that stays. An `unread` one has bytes that are no record of ours: it costs itself alone."""

    key: str
    value: bytes
    version: int
    commit_id: str = ""
    session_id: str = ""
    malformed: bool = False


class Put(NamedTuple):
    """Writes if the record's version is `expect`, 0 for one that must not be there."""

    key: str
    value: bytes
    expected_version: int
    session_id: str = ""


class Delete(NamedTuple):
    key: str
    expected_version: int


Change = Put | Delete


class Committed(NamedTuple):
    revision: int


class CommitRejected(NamedTuple):
    """Nothing was written. `records` are those of the changes' keys as they are; a key without one is not
    there."""

    revision: int
    records: tuple[Record, ...]


class WatchEvent(NamedTuple):
    """A change at `revision`; `record` is None where it went."""

    key: str
    revision: int
    record: Record | None


class StoreSnapshot(NamedTuple):
    """All records below a prefix as of `revision`; `lineage` names the register, where its home can."""

    store_id: str
    revision: int
    records: tuple[Record, ...]


class WatchBatch(NamedTuple):
    """Every change below a prefix after `after` up to `revision`, in order; none where the wait ran out."""

    store_id: str
    after_revision: int
    revision: int
    events: tuple[WatchEvent, ...]


class CoordinationError(Exception):
    """Of a call to the register; nothing took place unless the class says otherwise."""


class StoreUnavailableError(CoordinationError):
    """No register, or it refused to act now: nothing was written."""


class OutcomeUnknownError(CoordinationError):
    """The call may have taken place, may still do so, or never."""


class StoreFullError(CoordinationError):
    """There is no room: nothing was written."""


class RecordTooLargeError(CoordinationError):
    """A key or value beyond the bounds above: an error of the caller."""


class SessionEndedError(CoordinationError):
    """The session that the call names has ended; its records are gone or going."""


class HistoryCompactedError(CoordinationError):
    """The changes asked for are no longer kept: read the whole."""


class CoordinationStore(Protocol):
    """Times are µs. Every call may raise Unreachable; `commit`, `open` and `end` may raise Unknown."""

    async def read(self, prefix: str) -> StoreSnapshot:
        """As of now: no answer is older than a commit that ended before the call."""

    async def commit(self, changes: tuple[Change, ...], token: str) -> Committed | CommitRejected:
        """Raises Ended, Full, TooLarge."""

    async def open(self, ttl: int) -> str:
        """A session that ends unless it is kept within `ttl`."""

    async def keep(self, session: str) -> int:
        """The register's revision. Raises Ended."""

    async def end(self, session: str) -> None: ...

    async def watch(self, prefix: str, after: int, wait: int) -> WatchBatch:
        """Waits up to `wait` for a change. Raises Compacted."""

    async def close(self) -> None: ...


def check_sizes(changes: tuple[Change, ...]) -> None:
    """Raises TooLarge: sent all the same, one home would take it and another not."""
    for change in changes:
        if not 0 < len(change.key) <= MAX_KEY_CHARACTERS:
            raise RecordTooLargeError(f"key of {len(change.key)} characters, {MAX_KEY_CHARACTERS} at most")
        if isinstance(change, Put) and len(change.value) > MAX_VALUE_BYTES:
            raise RecordTooLargeError(f"{change.key}: {len(change.value)} bytes, {MAX_VALUE_BYTES} at most")
