"""A queue of proposed commits, which are sent one after the other. Free of I/O.

A commit whose response was lost is sent again with the same id. Its outcome is then found as follows:

- If the store accepts it, it is committed.
- If it is rejected because of a record with its own id, an earlier attempt was committed.
- If it is rejected because of another commit's record, the watch shows whether a record with its own id was
  ever written. If the watch missed changes meanwhile, the outcome is reported as unknown and is not guessed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from gradehoist.coordination.calls import FIRST_BACKOFF_US, CallSchedule
from gradehoist.coordination.notifications import CommitOutcome, CommitSettled, Notification
from gradehoist.coordination.requests import CommitChanges
from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    Delete,
    WatchEvent,
    check_sizes,
)
from gradehoist.coordination.watch_cache import WatchCache


@dataclass
class PendingCommit:
    """A proposed commit whose outcome is open.

    Attributes:
        operation: The commit, which is the same at each attempt.
        outcome_unknown: Whether an attempt may have been committed although its response was lost.
        seen_revision: The revision at which the watch showed the commit's id, or zero.
        rejection: The rejection of the last attempt, while it is not known whether an earlier one was
            committed.
        missed_events: Whether the watch missed changes since the first attempt.
    """

    operation: CommitChanges
    outcome_unknown: bool = False
    seen_revision: int = 0
    rejection: CommitRejected | None = None
    missed_events: bool = False

    @property
    def commit_id(self) -> str:
        """The id of the commit, which is stored in the records that it writes."""
        return self.operation.commit_id


class CommitQueue:
    """Sends commits in the order in which they were proposed.

    A `Participant` owns the queue and passes responses to it.

    Attributes:
        schedule: When the next attempt is made.
        pending: The commits whose outcome is open.
    """

    def __init__(
        self,
        cache: WatchCache,
        new_commit: Callable[[tuple[Change, ...]], CommitChanges],
        notify: Callable[[Notification], None],
    ) -> None:
        """Creates an empty queue.

        Args:
            cache: The cache that the watch keeps up to date.
            new_commit: Assigns an id to the changes of a commit.
            notify: Called with the outcome of each commit.
        """
        self.schedule = CallSchedule()
        self.pending: deque[PendingCommit] = deque()
        self._cache = cache
        self._new_commit = new_commit
        self._notify = notify

    def propose(self, changes: tuple[Change, ...]) -> str:
        """Appends a commit and returns its id. Raises RecordTooLargeError."""
        check_sizes(changes)
        commit = PendingCommit(self._new_commit(changes))
        self.pending.append(commit)
        return commit.commit_id

    def next_operation(self, now_us: int) -> CommitChanges | None:
        """Returns the next attempt, or None while the outcome of the first commit depends on the watch."""
        head = self.pending[0]
        if head.rejection is None:
            return head.operation
        self.schedule.next_at_us = now_us + FIRST_BACKOFF_US
        self._resolve_rejection(head, head.rejection)
        return None

    def on_response(self, response: Committed | CommitRejected) -> None:
        """Handles the response to the attempt in flight."""
        head = self.pending[0]
        if isinstance(response, Committed):
            self._settle(head, CommitOutcome.COMMITTED, response.revision)
            return
        head.rejection = response
        self._resolve_rejection(head, response)

    def on_lost_response(self) -> None:
        """Records that the attempt in flight may have been committed, or may still be."""
        self.pending[0].outcome_unknown = True

    def on_failure(self, outcome: CommitOutcome) -> None:
        """Settles the commit whose attempt in flight failed permanently."""
        self._settle(self.pending[0], outcome)

    def on_events(self, events: Iterable[WatchEvent]) -> None:
        """Records which pending commits were committed according to the watch."""
        for event in events:
            for commit in self.pending:
                if event.record is not None and event.record.commit_id == commit.commit_id:
                    commit.seen_revision = event.revision

    def on_snapshot(self) -> None:
        """Records that the watch missed changes: a full read shows only the last commit of each record."""
        if self.pending and (self.pending[0].outcome_unknown or self.schedule.in_flight):
            self.pending[0].missed_events = True

    def abandon(self, next_at_us: int) -> None:
        """Settles all commits after the store was rolled back.

        Commits that may have taken effect are settled as unknown, the others as rejected.
        """
        in_flight = self.schedule.in_flight
        for commit in list(self.pending):
            is_unknown = commit.outcome_unknown or in_flight
            self._settle(commit, CommitOutcome.UNKNOWN if is_unknown else CommitOutcome.REJECTED)
            in_flight = False  # only the first commit can be in flight
        self.schedule.restart(next_at_us)

    def _resolve_rejection(self, head: PendingCommit, rejection: CommitRejected) -> None:
        """Settles a rejected commit once it is known whether an earlier attempt was committed."""
        if not head.outcome_unknown:
            self._settle(head, CommitOutcome.REJECTED)
            return
        own_versions = [record.version for record in rejection.records if record.commit_id == head.commit_id]
        deletes_only = all(isinstance(change, Delete) for change in head.operation.changes)
        if own_versions or head.seen_revision:
            self._settle(head, CommitOutcome.COMMITTED, max([*own_versions, head.seen_revision]))
        elif deletes_only and not rejection.records:
            # All records that the commit was to delete are gone.
            self._settle(head, CommitOutcome.COMMITTED, rejection.revision)
        elif head.missed_events:
            self._settle(head, CommitOutcome.UNKNOWN)
        elif self._cache.revision >= rejection.revision:
            # The watch delivered every change up to the rejection, and none of them was made by this commit.
            self._settle(head, CommitOutcome.REJECTED)

    def _settle(self, commit: PendingCommit, outcome: CommitOutcome, revision: int = 0) -> None:
        self.pending.remove(commit)
        self.schedule.next_at_us = 0
        self._notify(CommitSettled(commit_id=commit.commit_id, outcome=outcome, revision=revision))
