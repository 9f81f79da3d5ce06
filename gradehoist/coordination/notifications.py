"""Notifications of a participant to its process: changes of its session, of the store and of shared records.

The participant collects notifications in order, and the process takes them after each step. Some of them are
logged; `docs/coordination.md` explains those to operators.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CommitOutcome(Enum):
    """The outcome of a proposed commit."""

    COMMITTED = "committed"
    REJECTED = "rejected"
    UNKNOWN = "unknown"
    SESSION_ENDED = "session ended"
    STORE_FULL = "store full"


@dataclass(frozen=True, slots=True)
class FleetJoined:
    """The process joined with a new session and owns `generation` of its name."""

    generation: int
    session_id: str


@dataclass(frozen=True, slots=True)
class SessionSuspended:
    """The session was not renewed in time. Whether it has expired is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class SessionRestored:
    """A suspended session had not expired and was renewed."""

    session_id: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The session ended. The store has deleted its records or is about to do so."""

    session_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ProcessSuperseded:
    """Another incarnation owns a later generation of this process' name. This process does not join again."""

    incarnation: str
    generation: int


@dataclass(frozen=True, slots=True)
class StoreConnectionLost:
    """Requests to the store have begun to fail. `reason` is the first failure."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreConnectionRestored:
    """The store responds again. `reason` is the first failure of the outage."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProcessFenced:
    """The store contradicts its earlier responses: it was rolled back, or is another store.

    The process gives up its session and everything that depends on it.
    """

    reason: str


@dataclass(frozen=True, slots=True)
class StoreCapacityExhausted:
    """The store has no space left for a commit. Nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class RecordDecodeFailed:
    """A record can't be decoded and is ignored. It is reported once for each key."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class CommitSettled:
    """The outcome of a proposed commit is known or has been given up.

    Attributes:
        commit_id: Id of the commit.
        outcome: How it ended.
        revision: The revision of the store that the commit made, or zero.
    """

    commit_id: str
    outcome: CommitOutcome
    revision: int


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """Records were written or deleted since the last such notification. Each change contributes its key."""

    keys: tuple[str, ...]


Notification = (
    FleetJoined
    | SessionSuspended
    | SessionRestored
    | SessionEnded
    | ProcessSuperseded
    | StoreConnectionLost
    | StoreConnectionRestored
    | ProcessFenced
    | StoreCapacityExhausted
    | RecordDecodeFailed
    | CommitSettled
    | RecordsChanged
)
