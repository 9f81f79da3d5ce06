"""An in-memory coordination store, for which a test chooses faults and disables guards."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from gradehoist.coordination.requests import (
    CommitChanges,
    EndSession,
    OpenSession,
    Operation,
    ReadRecords,
    RenewSession,
    Response,
    WatchChanges,
)
from gradehoist.coordination.store import (
    CommitRejected,
    Committed,
    CoordinationError,
    Delete,
    HistoryCompactedError,
    Put,
    Record,
    SessionEndedError,
    StoreFullError,
    StoreSnapshot,
    StoreUnavailableError,
    WatchBatch,
    WatchEvent,
)
from gradehoist.testbed.etcd_keyspace import Entry, Keyspace, LeaseNotFoundError, RevisionCompactedError

SECOND_US = 1_000_000
STORE_ID = "one"


class Guard(Enum):
    """A guard that a test can disable to make sure that a checker detects what the guard prevents.

    The values are those of the scenario files.
    """

    TOKEN_AT_EFFECT = "generation at the effect"
    VERSION_AT_COMMIT = "version at the commit"
    CURRENT_READS = "reads as of now"
    SESSIONS_STAY_ENDED = "an ended session stays ended"


@dataclass
class Faults:
    """The faults of the store.

    Attributes:
        lost_responses: Share of requests whose response is lost.
        lost_requests: Share of requests that are lost.
        stale_reads: Share of full reads that return an older revision.
        repeated_events: Share of watches that repeat changes.
        broken_watches: Share of watches that fail.
        is_unreachable: Whether the store can't be reached. It expires no sessions meanwhile.
        is_full: Whether the store has no space left.
        max_delay_us: Longest delay of a request or a response.
    """

    lost_responses: float = 0.0
    lost_requests: float = 0.0
    stale_reads: float = 0.0
    repeated_events: float = 0.0
    broken_watches: float = 0.0
    is_unreachable: bool = False
    is_full: bool = False
    max_delay_us: int = SECOND_US // 50


class SimulatedStore:
    """Performs operations on a keyspace at once, except for watches, which wait for a change.

    After each change, `wake_watch` is called with the retry of each waiting watch.

    Attributes:
        keyspace: The records and sessions of the store.
        faults: The faults in force.
        connection_epoch: Number of restores. A response is lost if the store was restored after the request.
    """

    def __init__(
        self,
        random_numbers: random.Random,
        wake_watch: Callable[[Callable[[], None]], None],
        disabled_guard: Guard | None = None,
    ) -> None:
        self.keyspace = Keyspace()
        self.faults = Faults()
        self.connection_epoch = 0
        self._random = random_numbers
        self._wake_watch = wake_watch
        self._disabled_guard = disabled_guard
        self._waiting_watches: list[Callable[[], None]] = []

    def perform(
        self, now_us: int, operation: Operation, retry: Callable[[], None]
    ) -> Response | CoordinationError | None:
        """Returns the response or the error, or None for a watch that waits.

        For a watch that waits, `retry` is called after the next change.
        """
        match operation:
            case ReadRecords(prefix):
                return self._read(prefix)
            case CommitChanges():
                return self._commit(operation)
            case OpenSession(ttl_us):
                return str(self.keyspace.grant_lease(now_us, ttl_us))
            case RenewSession(session_id):
                is_renewed = self.keyspace.renew_lease(now_us, int(session_id))
                if is_renewed or self._disabled_guard is Guard.SESSIONS_STAY_ENDED:
                    return self.keyspace.revision
                return SessionEndedError("session has ended")
            case EndSession(session_id):
                self.keyspace.revoke_lease(int(session_id))
                self._wake_watches()
                return 0
            case WatchChanges(prefix, after_revision, _):
                return self._watch(prefix, after_revision, retry)

    def expire_sessions(self, now_us: int) -> None:
        """Ends sessions that were not renewed in time. A store that is unreachable ends none."""
        if self.faults.is_unreachable:
            return
        revision = self.keyspace.revision
        self.keyspace.expire_leases(now_us)
        if self.keyspace.revision != revision:
            self._wake_watches()

    def write_directly(self, key: bytes, value: bytes) -> None:
        """Writes bytes without the interface, as another program might do."""
        self.keyspace.write([(key, value, 0)], [])
        self._wake_watches()

    def restore(self, now_us: int, snapshot: Keyspace) -> None:
        """Rolls the store back to a snapshot. This closes connections and renews all sessions."""
        self.keyspace = snapshot.snapshot()
        self.connection_epoch += 1
        self.keyspace.extend_leases(now_us)
        self._wake_watches()

    def _wake_watches(self) -> None:
        waiting = self._waiting_watches
        self._waiting_watches = []
        for retry in waiting:
            self._wake_watch(retry)

    def _read(self, prefix: str) -> StoreSnapshot:
        at_revision = 0
        stale_share = 0.5 if self._disabled_guard is Guard.CURRENT_READS else self.faults.stale_reads
        if self._random.random() < stale_share:
            older = self.keyspace.revision - self._random.randrange(1, 4)
            at_revision = max(self.keyspace.compacted_revision, older, 1)
        entries = self.keyspace.read_range(prefix.encode(), prefix.encode() + b"\xff", at_revision)
        records = tuple(_to_record(entry) for entry in entries)
        return StoreSnapshot(
            store_id=STORE_ID, revision=at_revision or self.keyspace.revision, records=records
        )

    def _commit(self, commit: CommitChanges) -> Committed | CommitRejected | CoordinationError:
        changes = commit.changes
        has_conflict = any(
            self.keyspace.find_mod_revision(change.key.encode()) != change.expected_version
            for change in changes
        )
        if has_conflict and self._disabled_guard is not Guard.VERSION_AT_COMMIT:
            found = [entry for change in changes for entry in self.keyspace.read_range(change.key.encode())]
            return CommitRejected(self.keyspace.revision, tuple(_to_record(entry) for entry in found))
        if self.faults.is_full:
            return StoreFullError("no space left")
        commit_id = commit.commit_id.encode()
        puts = [
            (change.key.encode(), commit_id + b"\0" + change.value, int(change.session_id or "0"))
            for change in changes
            if isinstance(change, Put)
        ]
        deletes = [change.key.encode() for change in changes if isinstance(change, Delete)]
        try:
            revision = self.keyspace.write(puts, deletes)
        except LeaseNotFoundError:
            return SessionEndedError("session does not exist")
        self._wake_watches()
        return Committed(revision)

    def _watch(
        self, prefix: str, after_revision: int, retry: Callable[[], None]
    ) -> WatchBatch | CoordinationError | None:
        if self._random.random() < self.faults.broken_watches:
            return StoreUnavailableError("watch connection lost")
        if self._random.random() < self.faults.repeated_events:
            after_revision = max(self.keyspace.compacted_revision, after_revision - 3)
        try:
            changes = self.keyspace.find_changes(
                after_revision + 1, prefix.encode(), prefix.encode() + b"\xff"
            )
        except RevisionCompactedError:
            return HistoryCompactedError("history is compacted")
        if not changes and self.keyspace.revision >= after_revision:
            self._waiting_watches.append(retry)
            return None
        events = tuple(
            WatchEvent(
                key=change.key.decode(),
                revision=change.revision,
                record=_to_record(change.entry) if change.entry else None,
            )
            for change in changes
        )
        return WatchBatch(
            store_id=STORE_ID,
            after_revision=after_revision,
            revision=self.keyspace.revision,
            events=events,
        )


def _to_record(entry: Entry) -> Record:
    commit_id, _, value = entry.value.partition(b"\0")
    return Record(
        key=entry.key.decode(),
        value=value,
        version=entry.mod_revision,
        commit_id=commit_id.decode(),
        session_id=str(entry.lease_id or ""),
    )
