"""Requests that a participant makes of the coordination store, and what answers them.

Each operation corresponds to one method of `CoordinationStore`; the caller that carries a request out
performs that method and returns the result to the participant.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    CoordinationStore,
    OutcomeUnknownError,
    StoreSnapshot,
    StoreUnavailableError,
    WatchBatch,
)


@dataclass(frozen=True, slots=True)
class ReadRecords:
    """Read all records below `prefix`; answered by a `StoreSnapshot`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class CommitChanges:
    """Apply `changes` as one commit; answered by `Committed` or `CommitRejected`."""

    changes: tuple[Change, ...]
    commit_id: str


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Open a session that lives for `ttl_us` unless it is renewed; answered by its id."""

    ttl_us: int


@dataclass(frozen=True, slots=True)
class RenewSession:
    """Keep a session alive; answered by the store's revision."""

    session_id: str


@dataclass(frozen=True, slots=True)
class EndSession:
    """End a session and delete its records; answered by None."""

    session_id: str


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Wait up to `wait_us` for changes below `prefix` after a revision; answered by a `WatchBatch`."""

    prefix: str
    after_revision: int
    wait_us: int


Operation = ReadRecords | CommitChanges | OpenSession | RenewSession | EndSession | WatchChanges
Response = StoreSnapshot | Committed | CommitRejected | WatchBatch | str | int | None

OPERATIONS_THAT_WRITE = (CommitChanges, OpenSession, EndSession)
"""Operations that may have taken place although no response came."""


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """A request to carry out now.

    Attributes:
        request_id: Under which the response or the failure is handed back.
        operation: What to do.
        timeout_us: How long to wait for the response.
    """

    request_id: int
    operation: Operation
    timeout_us: int


def failure_without_response(operation: Operation, reason: str) -> CoordinationError:
    """The error that states what is known of an operation to which no valid response came."""
    if isinstance(operation, OPERATIONS_THAT_WRITE):
        return OutcomeUnknownError(reason)
    return StoreUnavailableError(reason)


async def perform(store: CoordinationStore, operation: Operation) -> Response:
    """Performs an operation on a store. Raises what the store's method raises."""
    match operation:
        case ReadRecords(prefix):
            return await store.read(prefix)
        case CommitChanges(changes, commit_id):
            return await store.commit(changes, commit_id)
        case OpenSession(ttl_us):
            return await store.open_session(ttl_us)
        case RenewSession(session_id):
            return await store.renew_session(session_id)
        case EndSession(session_id):
            await store.end_session(session_id)
            return None
        case WatchChanges(prefix, after_revision, wait_us):
            return await store.watch(prefix, after_revision, wait_us)
