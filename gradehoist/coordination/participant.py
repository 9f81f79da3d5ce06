"""The client of the coordination store in one process: its session, watch and commits. Free of I/O.

A participant is passed the time and the results of its calls, and returns the calls to make next. Its state
proves nothing: the session may have ended while the process was suspended, and the cache may be out of date
at any time. Effects that must not happen twice are checked by fencing tokens where they are applied
(`fencing`). The participant only makes sure that the processes soon learn what to do.

It tolerates lost and late responses, stale reads, outages, and a store that was rolled back.
`docs/coordination-design.md` lists what it does in each case.
"""

from __future__ import annotations

from typing import Any, TypeVar

from gradehoist.coordination.cached_records import CachedRecords
from gradehoist.coordination.calls import Backoff
from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.in_flight import Call, Caller, CallsInFlight
from gradehoist.coordination.notifications import (
    CommitOutcome,
    Notification,
    ProcessFenced,
    RecordsChanged,
    StoreCapacityExhausted,
    StoreConnectionLost,
    StoreConnectionRestored,
)
from gradehoist.coordination.records import GENERATION_FLOORS_KEY, OwnershipRecord, ProcessIdentity
from gradehoist.coordination.requests import (
    CommitChanges,
    EndSession,
    OpenSession,
    Operation,
    ReadRecords,
    RenewSession,
    Response,
    StoreRequest,
    WatchChanges,
)
from gradehoist.coordination.session import Session
from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    SessionEndedError,
    StoreFullError,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
)
from gradehoist.coordination.watch import Watch
from gradehoist.coordination.watch_cache import (
    RevisionGapError,
    StaleReadError,
    StoreRolledBackError,
    WatchCache,
)
from gradehoist.coordination.writes import CommitQueue

IDLE_INTERVAL_US = 1_000_000
"""Time until the next check for due requests if none is scheduled."""

RecordType = TypeVar("RecordType")


class Participant:
    """Takes part in a fleet on behalf of one process, which owns it and performs its requests.

    The process calls `take_due_requests` when the time `next_request_at_us` has come. It performs each
    request and passes the result to `handle_response` or `handle_failure`. After each of these steps it calls
    `take_notifications`.

    Attributes:
        identity: The identity of the process.
        cache: All records below the store's prefix, as last read.
        records: Typed access to the cached records, and the generations known to have been issued.
    """

    def __init__(self, identity: ProcessIdentity, session_ttl_us: int, seed: int) -> None:
        """Creates a participant that has not joined.

        Args:
            identity: The identity of the process.
            session_ttl_us: Lifetime of a session that is not renewed.
            seed: Determines the jitter of backoff. It has to differ between processes.
        """
        self.identity = identity
        self.cache = WatchCache("")
        self._notifications: list[Notification] = []
        self.records = CachedRecords(self.cache, self._notify)
        self._watch = Watch(self.cache)
        self._session = Session(identity, session_ttl_us, self.records, self._new_commit, self._notify)
        self._commits = CommitQueue(self.cache, self._new_commit, self._notify)
        self._backoff = Backoff(seed, session_ttl_us)
        self._calls = CallsInFlight()
        self._last_commit_number = 0
        self._outage_reason = ""  # the first failure of the present outage; empty while the store responds

    # State

    @property
    def is_joined(self) -> bool:
        """Whether the process has joined, and may begin steps that need coordination."""
        return self._session.is_joined

    @property
    def has_left(self) -> bool:
        """Whether the process has left as planned and has no more requests."""
        return self._session.has_left

    @property
    def session_id(self) -> str:
        """The id of the session; empty while there is none."""
        return self._session.session_id

    @property
    def fencing_token(self) -> FencingToken:
        """The token for the name of the process. Its generation is zero before the process has joined."""
        return self._session.fencing_token

    @property
    def has_pending_commits(self) -> bool:
        """Whether the outcome of a proposed commit is still open."""
        return bool(self._commits.pending)

    # Records

    def decode_record(self, key: str, record_type: type[RecordType]) -> RecordType | None:
        """Returns a cached record, or None if it does not exist or can't be decoded."""
        return self.records.decode(key, record_type)

    def build_put(self, key: str, value: Any, owned_by_session: bool = False) -> Put:
        """Returns a change that writes `value` if the record still has the cached version.

        With `owned_by_session`, the store deletes the record when this process' session ends.
        """
        return self.records.build_put(key, value, self.session_id if owned_by_session else "")

    def propose(self, *changes: Change) -> str:
        """Queues a commit and returns its id.

        A `CommitSettled` notification reports its outcome. Raises RecordTooLargeError.
        """
        return self._commits.propose(changes)

    def next_generation(self, key: str) -> int:
        """Returns the lowest generation above all that are known for an ownership record."""
        # The cache may not contain the generation that this process itself has joined with.
        own = self.fencing_token.generation if key == self.identity.name_key else 0
        return self.records.next_generation(key, own)

    def leave(self) -> None:
        """Begins a graceful shutdown, which ends the session so that others need not wait for its expiry."""
        self._session.leave()

    def take_notifications(self) -> list[Notification]:
        """Removes and returns the notifications since the last call, in order."""
        taken = self._notifications
        self._notifications = []
        return taken

    # Requests

    def next_request_at_us(self, now_us: int) -> int:
        """Returns the time at which `take_due_requests` should be called next."""
        schedules = [caller.schedule for caller in self._active_callers()]
        times = [schedule.next_at_us for schedule in schedules if not schedule.in_flight]
        if self.is_joined:
            times.append(self._session.valid_until_us)
        return min(times, default=now_us + IDLE_INTERVAL_US)

    def take_due_requests(self, now_us: int) -> list[StoreRequest]:
        """Returns the requests to perform now. The result of each has to be passed back with its id."""
        if self.is_joined and now_us >= self._session.valid_until_us:
            self._session.suspend(now_us, self._outage_reason or "the session was not renewed in time")
            self._watch.verify_history()
        requests = []
        for caller in self._active_callers():
            if not caller.schedule.is_due(now_us):
                continue
            operation = self._next_operation(caller, now_us)
            if operation is not None:
                call = Call(caller, operation, known_revision=self.cache.revision)
                requests.append(self._calls.send(call, now_us))
        return requests

    def _active_callers(self) -> list[Caller]:
        if self._session.is_superseded:
            return [self._watch]
        if self._commits.pending and self.cache.is_loaded:
            return [self._watch, self._session, self._commits]
        return [self._watch, self._session]

    def _next_operation(self, caller: Caller, now_us: int) -> Operation | None:
        match caller:
            case Watch():
                return caller.next_operation()
            case Session():
                return caller.next_operation(now_us, self._watch.is_ready)
            case CommitQueue():
                return caller.next_operation(now_us)

    def _new_commit(self, changes: tuple[Change, ...]) -> CommitChanges:
        self._last_commit_number += 1
        return CommitChanges(changes, f"{self.identity.incarnation}:{self._last_commit_number}")

    # Responses

    def handle_response(self, now_us: int, request_id: int, response: Response) -> None:
        """Handles the response to a request. That of an abandoned call is ignored."""
        call = self._calls.take(request_id)
        if call is None:
            return
        if not isinstance(response, CommitRejected):
            call.caller.schedule.failures = 0
        if self._outage_reason:
            self._notify(StoreConnectionRestored(self._outage_reason))
            self._outage_reason = ""
        try:
            self._dispatch(now_us, call, response)
        except RevisionGapError:
            self._watch.needs_snapshot = True
        except StaleReadError as error:
            if self._watch.on_stale_read(now_us):
                self._reset_after_rollback(now_us, str(error))
        except StoreRolledBackError as error:
            self._reset_after_rollback(now_us, str(error))

    def _dispatch(self, now_us: int, call: Call, response: Response) -> None:
        match call.operation, response:
            case ReadRecords(), StoreSnapshot() as snapshot:
                events = self._watch.on_snapshot(snapshot)
                self._commits.on_snapshot()
                self._on_events(now_us, events)
            case WatchChanges(), WatchBatch() as batch:
                self._on_events(now_us, self._watch.on_batch(now_us, batch))
            case CommitChanges(), (Committed() | CommitRejected()) as result:
                self._on_commit_response(now_us, call.caller, result)
            case OpenSession(), str() as session_id:
                self._session.on_opened(now_us, session_id)
            case RenewSession(session_id), int() as revision:
                if revision < call.known_revision:
                    raise StaleReadError(
                        f"response of revision {revision}, although revision {call.known_revision} is known"
                    )
                self._session.on_renewed(session_id)
            case EndSession(), _:
                self._session.on_left()
            case operation, _:
                raise TypeError(f"{response!r} is not a valid response to {operation!r}")

    def _on_commit_response(self, now_us: int, caller: Caller, response: Committed | CommitRejected) -> None:
        if isinstance(caller, CommitQueue):
            caller.on_response(response)
            return
        if self._session.on_join_response(now_us, response):
            return
        self._session.schedule.next_at_us = now_us + self._backoff.delay_us(1)
        self._restart_watch(now_us)

    def _restart_watch(self, now_us: int) -> None:
        """Abandons the watch in flight and schedules a full read."""
        self._calls.abandon(self._watch)
        self._watch.schedule.next_at_us = now_us
        self._watch.needs_snapshot = True

    def _on_events(self, now_us: int, events: list[WatchEvent]) -> None:
        """Handles changes of the cache, first those that concern the participant itself."""
        if not events:
            return
        self._commits.on_events(events)
        written = {event.key for event in events}
        if GENERATION_FLOORS_KEY in written:
            self.records.raise_floors_from_store()
        if self.identity.name_key in written:
            owner = self.records.decode(self.identity.name_key, OwnershipRecord)
            if owner is not None:
                self._session.on_name_owner_changed(owner)
        deleted = {event.key for event in events if event.record is None}
        if self.identity.member_key in deleted and self._session.owns_member_record():
            self._end_session(now_us, "its member record was deleted")
        self._notify(RecordsChanged(tuple(event.key for event in events)))

    # Failures

    def handle_failure(self, now_us: int, request_id: int, error: CoordinationError) -> None:
        """Handles the failure of a request. That of an abandoned call is ignored."""
        call = self._calls.take(request_id)
        if call is None:
            return
        self._watch.verify_history()
        schedule = call.caller.schedule
        schedule.failures += 1
        schedule.next_at_us = now_us + self._backoff.delay_us(schedule.failures)
        match error:
            case HistoryCompactedError():
                self._watch.on_history_compacted(now_us)
            case SessionEndedError():
                self._end_session(now_us, str(error))
                self._fail_commit(call, CommitOutcome.SESSION_ENDED)
            case StoreFullError():
                self._notify(StoreCapacityExhausted(str(error)))
                self._fail_commit(call, CommitOutcome.STORE_FULL)
            case _:
                self._on_store_unavailable(call, error)

    def _fail_commit(self, call: Call, outcome: CommitOutcome) -> None:
        if isinstance(call.caller, CommitQueue):
            call.caller.on_failure(outcome)

    def _on_store_unavailable(self, call: Call, error: CoordinationError) -> None:
        if isinstance(call.caller, CommitQueue) and isinstance(error, OutcomeUnknownError):
            call.caller.on_lost_response()
        if isinstance(call.operation, EndSession):
            self._session.on_leave_failed()
        if not self._outage_reason:
            self._outage_reason = str(error) or type(error).__name__
            self._notify(StoreConnectionLost(self._outage_reason))

    def _end_session(self, now_us: int, reason: str) -> None:
        self._session.on_ended(now_us + self._backoff.delay_us(1), reason)

    def _reset_after_rollback(self, now_us: int, reason: str) -> None:
        """Gives up the session, the cache and all calls, as the store was rolled back.

        The known generations are kept as floors, so that none of them is issued again.
        """
        self.records.raise_floors_from_owners()
        self._notify(ProcessFenced(reason))
        keys = tuple(self.cache.records)
        self._calls.abandon_all()
        watch_at_us = now_us + self._backoff.delay_us(1)
        session_at_us = now_us + self._backoff.delay_us(1)
        commits_at_us = now_us + self._backoff.delay_us(1)
        self._commits.abandon(commits_at_us)
        self._watch.reset(watch_at_us)
        self._session.reset(session_at_us)
        # No record is known to exist until the store has been read again.
        self._notify(RecordsChanged(keys))

    def _notify(self, notification: Notification) -> None:
        self._notifications.append(notification)
