"""The session of one process with the coordination store, and its membership in the fleet. Free of I/O.

The process opens a session, joins the fleet by one commit, and renews the session while it runs. The commit
writes the next generation of the process' name, its member record, and the generation floors that the store
lacks. A session that could not be renewed in time is suspended, but not given up: when the store responds
again, the session is renewed if it has not expired.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from gradehoist.coordination.cached_records import CachedRecords
from gradehoist.coordination.calls import FIRST_BACKOFF_US, CallSchedule
from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.notifications import (
    FleetJoined,
    Notification,
    ProcessSuperseded,
    SessionEnded,
    SessionRestored,
    SessionSuspended,
)
from gradehoist.coordination.records import MemberRecord, OwnershipRecord, ProcessIdentity
from gradehoist.coordination.requests import CommitChanges, EndSession, OpenSession, RenewSession
from gradehoist.coordination.store import Change, CommitRejected, Committed

RENEWALS_PER_TTL = 3
"""Number of renewals within a session's lifetime. Two in a row may fail before the session ends."""

LEAVE_RETRY_US = 1_000_000
"""Time between the checks whether a process that leaves can end its session. It can't while its last request
is in flight."""


@dataclass(frozen=True)
class _JoinAttempt:
    commit: CommitChanges
    generation: int


class Session:
    """The session of one process. A `Participant` owns it and passes responses to it.

    Attributes:
        identity: The identity of the process.
        ttl_us: Lifetime of a session that is not renewed.
        schedule: When the next call is made.
        session_id: The id of the session; empty while there is none.
        valid_until_us: Time by this process' clock until which the session can't have expired.
        fencing_token: The token for the name of the process. Its generation is zero before the process has
            joined.
        is_joined: Whether the process has joined, and may begin steps that need coordination.
        is_superseded: Whether another incarnation has taken over the name of the process.
        is_stopping: Whether the process is leaving as planned.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        ttl_us: int,
        records: CachedRecords,
        new_commit: Callable[[tuple[Change, ...]], CommitChanges],
        notify: Callable[[Notification], None],
    ) -> None:
        """Creates the session of a process that has not joined.

        Args:
            identity: The identity of the process.
            ttl_us: Lifetime of a session that is not renewed.
            records: The cached records.
            new_commit: Assigns an id to the changes of a commit.
            notify: Called with each change of the session.
        """
        self.identity = identity
        self.ttl_us = ttl_us
        self.schedule = CallSchedule()
        self.session_id = ""
        self.valid_until_us = 0
        self.fencing_token = FencingToken(0, identity.incarnation)
        self.is_joined = False
        self.is_superseded = False
        self.is_stopping = False
        self._records = records
        self._new_commit = new_commit
        self._notify = notify
        self._join_attempt: _JoinAttempt | None = None
        self._member_session_id = ""  # the session that the member record belongs to

    @property
    def has_left(self) -> bool:
        """Whether the process has left as planned and has no more calls to make."""
        return self.is_stopping and not self.session_id

    def next_operation(
        self, now_us: int, watch_is_ready: bool
    ) -> OpenSession | RenewSession | EndSession | CommitChanges | None:
        """Returns the call to make now, or None if there is none."""
        if self.is_stopping:
            self.schedule.next_at_us = now_us + LEAVE_RETRY_US
            return EndSession(self.session_id) if self.session_id else None
        if not watch_is_ready:
            # Owners of names and generation floors have to be read before a generation is claimed.
            self.schedule.next_at_us = now_us + FIRST_BACKOFF_US
            return None
        if not self.session_id:
            return OpenSession(self.ttl_us)
        if self._member_session_id == self.session_id:
            return RenewSession(self.session_id)
        if self._join_attempt is None:
            self._join_attempt = self._build_join()
        return self._join_attempt.commit

    def leave(self) -> None:
        """Schedules the end of the session, so that others need not wait for its expiry."""
        self.is_stopping = True
        self.schedule.next_at_us = 0

    def suspend(self, now_us: int, reason: str) -> None:
        """Suspends a session that was not renewed in time. The next call shows whether it has expired."""
        self._notify(SessionSuspended(reason))
        self.is_joined = False
        self.schedule.next_at_us = min(self.schedule.next_at_us, now_us)

    def on_opened(self, now_us: int, session_id: str) -> None:
        """Handles a new session. The process joins with it at once."""
        self.session_id = session_id
        self.valid_until_us = self.schedule.sent_at_us + self.ttl_us
        self._join_attempt = None
        self.schedule.next_at_us = now_us

    def on_renewed(self, session_id: str) -> None:
        """Handles a renewal of the session."""
        if session_id != self.session_id:
            return
        # The lifetime is counted from the time at which the request was sent. Counted from the response, the
        # session would still seem valid here when it has already expired in the store.
        self.valid_until_us = self.schedule.sent_at_us + self.ttl_us
        self.schedule.next_at_us = self.schedule.sent_at_us + self.ttl_us // RENEWALS_PER_TTL
        if not self.is_joined:
            self.is_joined = True
            self._notify(SessionRestored(self.session_id))

    def on_left(self) -> None:
        """Handles the planned end of the session."""
        self.session_id = ""
        self.is_joined = False

    def on_leave_failed(self) -> None:
        """Gives up a session that could not be ended as planned. It will expire."""
        self.session_id = ""

    def on_join_response(self, now_us: int, response: Committed | CommitRejected) -> bool:
        """Handles the response to the commit that joins the fleet.

        Returns False if it was rejected because of a record that another process wrote. The cache is then out
        of date, or another process has claimed the name.
        """
        attempt = self._join_attempt
        self._join_attempt = None
        if attempt is None:
            return True
        if isinstance(response, CommitRejected) and not _was_committed_before(attempt.commit, response):
            return False
        self.fencing_token = FencingToken(attempt.generation, self.identity.incarnation)
        self.is_joined = True
        self._member_session_id = self.session_id
        self.schedule.next_at_us = now_us + self.ttl_us // RENEWALS_PER_TTL
        self._notify(FleetJoined(self.fencing_token.generation, self.session_id))
        return True

    def on_name_owner_changed(self, owner: OwnershipRecord) -> None:
        """Handles a change of the ownership of the process' name.

        A later generation of another incarnation supersedes this process.
        """
        if owner.holder == self.identity.incarnation:
            return
        if not owner.generation > self.fencing_token.generation > 0:
            return
        if not self.is_superseded:
            self._notify(ProcessSuperseded(owner.holder, owner.generation))
        self.is_superseded = True
        self.is_joined = False

    def owns_member_record(self) -> bool:
        """Whether the member record belongs to the present session."""
        return self.session_id != "" and self._member_session_id == self.session_id

    def on_ended(self, next_at_us: int, reason: str) -> None:
        """Handles the end of the session. A new one is opened at `next_at_us`."""
        if self.session_id:
            self._notify(SessionEnded(self.session_id, reason))
        self._clear()
        self.schedule.next_at_us = next_at_us

    def reset(self, next_at_us: int) -> None:
        """Gives up the session after the store was rolled back, without a notification."""
        self._clear()
        self.schedule.restart(next_at_us)

    def _clear(self) -> None:
        self.session_id = ""
        self.is_joined = False
        self._join_attempt = None
        self._member_session_id = ""

    def _build_join(self) -> _JoinAttempt:
        """Returns the commit that joins the fleet: name, member record and missing floors."""
        identity = self.identity
        generation = self._records.next_generation(identity.name_key, self.fencing_token.generation)
        owner = OwnershipRecord(
            generation=generation, holder=identity.incarnation, member_key=identity.member_key
        )
        member = MemberRecord(
            role=identity.role,
            name=identity.name,
            zone=identity.zone,
            incarnation=identity.incarnation,
            generation=generation,
            address=identity.address,
        )
        changes: list[Change] = [
            self._records.build_put(identity.name_key, owner),
            self._records.build_put(identity.member_key, member, self.session_id),
        ]
        floors = self._records.build_floors_put()
        if floors is not None:
            changes.append(floors)
        return _JoinAttempt(self._new_commit(tuple(changes)), generation)


def _was_committed_before(commit: CommitChanges, rejection: CommitRejected) -> bool:
    """Whether a commit was rejected because an earlier attempt of the same commit was committed."""
    return any(record.commit_id == commit.commit_id for record in rejection.records)
