"""What a participant tells its process: changes of its own standing, of the store, and of shared records.

The participant collects notifications in order; the process takes them after each step.
`docs/coordination.md` explains to operators those that are logged.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class CommitOutcome(Enum):
    """How a proposed commit ended."""

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
    """The session was not renewed in time; whether it still lives is unknown."""

    reason: str


@dataclass(frozen=True, slots=True)
class SessionRestored:
    """A suspended session turned out to live and was renewed."""

    session_id: str


@dataclass(frozen=True, slots=True)
class SessionEnded:
    """The session is over; the records that belonged to it are gone or going."""

    session_id: str
    reason: str


@dataclass(frozen=True, slots=True)
class ProcessSuperseded:
    """Another incarnation owns a later generation of this process' name; this one does not join again."""

    incarnation: str
    generation: int


@dataclass(frozen=True, slots=True)
class StoreConnectionLost:
    """Requests to the store fail since now; `reason` is the first failure."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreConnectionRestored:
    """The store responds again; `reason` is the failure that began the outage."""

    reason: str


@dataclass(frozen=True, slots=True)
class ProcessFenced:
    """The store contradicts what it said before: an older state, or another store. All held is given up."""

    reason: str


@dataclass(frozen=True, slots=True)
class StoreCapacityExhausted:
    """The store had no room for a commit; nothing was written."""

    reason: str


@dataclass(frozen=True, slots=True)
class RecordDecodeFailed:
    """A record's bytes can't be decoded; it is passed over. Reported once for each key."""

    key: str
    reason: str


@dataclass(frozen=True, slots=True)
class CommitSettled:
    """A proposed commit ended; `revision` is the one that it made, or zero."""

    commit_id: str
    outcome: CommitOutcome
    revision: int


@dataclass(frozen=True, slots=True)
class RecordsChanged:
    """Records were written or deleted since the last such notification, one key for each change."""

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
