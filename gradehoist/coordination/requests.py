"""Requests of a participant to the coordination store, and their responses.

Each operation corresponds to one method of `CoordinationStore`. The process that owns the participant calls
that method and passes the result back to the participant.
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
    """Reads all records below `prefix`. The response is a `StoreSnapshot`."""

    prefix: str


@dataclass(frozen=True, slots=True)
class CommitChanges:
    """Applies `changes` as one commit. The response is `Committed` or `CommitRejected`."""

    changes: tuple[Change, ...]
    commit_id: str


@dataclass(frozen=True, slots=True)
class OpenSession:
    """Opens a session that expires after `ttl_us` unless it is renewed. The response is its id."""

    ttl_us: int


@dataclass(frozen=True, slots=True)
class RenewSession:
    """Renews a session. The response is the store's revision."""

    session_id: str


@dataclass(frozen=True, slots=True)
class EndSession:
    """Ends a session and deletes its records. The response is None."""

    session_id: str


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Waits up to `wait_us` for changes below `prefix` after a revision. The response is a `WatchBatch`."""

    prefix: str
    after_revision: int
    wait_us: int


Operation = ReadRecords | CommitChanges | OpenSession | RenewSession | EndSession | WatchChanges
Response = StoreSnapshot | Committed | CommitRejected | WatchBatch | str | int | None

WRITE_OPERATIONS = (CommitChanges, OpenSession, EndSession)
"""Operations that may have had an effect although no response was received."""


@dataclass(frozen=True, slots=True)
class StoreRequest:
    """A request to be performed now.

    Attributes:
        request_id: Id with which the result is passed back to the participant.
        operation: The operation to perform.
        timeout_us: How long to wait for the response.
    """

    request_id: int
    operation: Operation
    timeout_us: int


def failure_without_response(operation: Operation, reason: str) -> CoordinationError:
    """Returns the error for an operation without a valid response: the outcome of a write is unknown."""
    if isinstance(operation, WRITE_OPERATIONS):
        return OutcomeUnknownError(reason)
    return StoreUnavailableError(reason)


async def perform(store: CoordinationStore, operation: Operation) -> Response:
    """Performs an operation on a store. Raises the errors of the store's method."""
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
