"""The session of one process with the store, and the membership that rests on it. Free of I/O.

The process opens a session, joins by one commit (the next generation of its name, its member record, floors
that the store lacks), and renews the session while it lives. A session that could not be renewed in time is
suspended and not given up: once the store responds, it is renewed if it still lives.
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
"""Renewals in a session's lifetime: two may fail before it ends."""

LEAVE_RETRY_US = 1_000_000
"""Pause between looks of a process that leaves, while its last request is in flight."""


@dataclass(frozen=True)
class _JoinAttempt:
    commit: CommitChanges
    generation: int


class Session:
    """One process' session. Owned by a `Participant`, which routes responses to it.

    Attributes:
        session_id: The session; empty while there is none.
        valid_until_us: Until when the session certainly lives, by this process' clock.
        fencing_token: The generation of its name that the process owns; generation zero before it joined.
        is_joined: Whether it may begin steps that need the fleet.
        is_superseded: Whether another incarnation took its name over.
        is_stopping: Whether it leaves as planned.
    """

    def __init__(
        self,
        identity: ProcessIdentity,
        ttl_us: int,
        records: CachedRecords,
        new_commit: Callable[[tuple[Change, ...]], CommitChanges],
        notify: Callable[[Notification], None],
    ) -> None:
        """Takes `new_commit`, which gives changes an id; `notify` hears what becomes of the session."""
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
        self._joining: _JoinAttempt | None = None
        self._member_session_id = ""  # the session that the member record belongs to

    @property
    def has_left(self) -> bool:
        """Whether it left as planned and nothing is left to call."""
        return self.is_stopping and not self.session_id

    def next_operation(
        self, now_us: int, watch_is_ready: bool
    ) -> OpenSession | RenewSession | EndSession | CommitChanges | None:
        """The call to make next, if there is one now."""
        if self.is_stopping:
            self.schedule.next_at_us = now_us + LEAVE_RETRY_US
            return EndSession(self.session_id) if self.session_id else None
        if not watch_is_ready:  # names and floors are read before anything is claimed
            self.schedule.next_at_us = now_us + FIRST_BACKOFF_US
            return None
        if not self.session_id:
            return OpenSession(self.ttl_us)
        if self._member_session_id == self.session_id:
            return RenewSession(self.session_id)
        if self._joining is None:
            self._joining = self._build_join()
        return self._joining.commit

    def leave(self) -> None:
        """Ends the session at the next call, so that others need not wait for it to run out."""
        self.is_stopping = True
        self.schedule.next_at_us = 0

    def suspend(self, now_us: int, reason: str) -> None:
        """The session was not renewed in time; the next call finds out whether it lives."""
        self._notify(SessionSuspended(reason))
        self.is_joined = False
        self.schedule.next_at_us = min(self.schedule.next_at_us, now_us)

    def on_opened(self, now_us: int, session_id: str) -> None:
        """A new session; the process joins with it at once."""
        self.session_id = session_id
        self.valid_until_us = self.schedule.sent_at_us + self.ttl_us
        self._joining = None
        self.schedule.next_at_us = now_us

    def on_renewed(self, session_id: str) -> None:
        """The session lives on."""
        if session_id != self.session_id:
            return
        # From when the request was sent: counted from the response, it would seem to live when it has ended.
        self.valid_until_us = self.schedule.sent_at_us + self.ttl_us
        self.schedule.next_at_us = self.schedule.sent_at_us + self.ttl_us // RENEWALS_PER_TTL
        if not self.is_joined:
            self.is_joined = True
            self._notify(SessionRestored(self.session_id))

    def on_left(self) -> None:
        """The session was ended as planned."""
        self.session_id = ""
        self.is_joined = False

    def on_leave_failed(self) -> None:
        """The session could not be ended; it runs out by itself."""
        self.session_id = ""

    def on_join_response(self, now_us: int, response: Committed | CommitRejected) -> bool:
        """Takes the response to the joining commit.

        Returns False where it was rejected by another's record: the cache is behind, or the name has gone on.
        """
        attempt = self._joining
        self._joining = None
        if attempt is None:
            return True
        if isinstance(response, CommitRejected) and not _wrote_any(attempt.commit, response):
            return False
        self.fencing_token = FencingToken(attempt.generation, self.identity.incarnation)
        self.is_joined = True
        self._member_session_id = self.session_id
        self.schedule.next_at_us = now_us + self.ttl_us // RENEWALS_PER_TTL
        self._notify(FleetJoined(self.fencing_token.generation, self.session_id))
        return True

    def on_name_owner_changed(self, owner: OwnershipRecord) -> None:
        """The record of its name changed; a later generation of another incarnation supersedes this one."""
        if owner.holder == self.identity.incarnation:
            return
        if not owner.generation > self.fencing_token.generation > 0:
            return
        if not self.is_superseded:
            self._notify(ProcessSuperseded(owner.holder, owner.generation))
        self.is_superseded = True
        self.is_joined = False

    def owns_member_record(self) -> bool:
        """Whether the member record was written in the present session."""
        return self.session_id != "" and self._member_session_id == self.session_id

    def on_ended(self, next_at_us: int, reason: str) -> None:
        """The session is over; a new one is opened at `next_at_us`."""
        if self.session_id:
            self._notify(SessionEnded(self.session_id, reason))
        self._forget()
        self.schedule.next_at_us = next_at_us

    def reset(self, next_at_us: int) -> None:
        """Gives the session up without a notification, after the store was rolled back."""
        self._forget()
        self.schedule.restart(next_at_us)

    def _forget(self) -> None:
        self.session_id = ""
        self.is_joined = False
        self._joining = None
        self._member_session_id = ""

    def _build_join(self) -> _JoinAttempt:
        """One commit: the name's next generation, the member record, floors that the store lacks."""
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


def _wrote_any(commit: CommitChanges, rejection: CommitRejected) -> bool:
    """Whether a record that rejected a commit was written by an earlier attempt of it."""
    return any(record.commit_id == commit.commit_id for record in rejection.records)
