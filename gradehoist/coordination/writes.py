"""The queue of proposed commits, made one after the other. Free of I/O.

A commit whose response was lost is made again under the same id. It is then committed; or rejected by a
record that bears its id, so that it had been committed; or rejected by another's record, and the watch shows
whether the id ever was there. Where that history is gone, the outcome is reported as unknown: it is never
guessed.
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
    """A proposed commit that has not ended.

    Attributes:
        operation: The commit, the same at each attempt.
        outcome_unknown: Whether an attempt may have been committed although its response was lost.
        seen_revision: The revision at which the watch showed the commit's id, or zero.
        rejection: The response to the last attempt, while it is not known whether an earlier one was
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
        """Names the commit in the records that it writes."""
        return self.operation.commit_id


class CommitQueue:
    """Commits in the order of their proposal. Owned by a `Participant`, which routes responses to it."""

    def __init__(
        self,
        cache: WatchCache,
        new_commit: Callable[[tuple[Change, ...]], CommitChanges],
        notify: Callable[[Notification], None],
    ) -> None:
        """Takes `new_commit`, which gives changes an id; `notify` hears how each commit ended."""
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
        """The attempt to make next; None while the first commit waits for the watch."""
        head = self.pending[0]
        if head.rejection is None:
            return head.operation
        self.schedule.next_at_us = now_us + FIRST_BACKOFF_US
        self._resolve_rejection(head, head.rejection)
        return None

    def on_response(self, response: Committed | CommitRejected) -> None:
        """Takes the response to the attempt in flight."""
        head = self.pending[0]
        if isinstance(response, Committed):
            self._settle(head, CommitOutcome.COMMITTED, response.revision)
            return
        head.rejection = response
        self._resolve_rejection(head, response)

    def on_lost_response(self) -> None:
        """The attempt in flight may have been committed, or may still be."""
        self.pending[0].outcome_unknown = True

    def on_failure(self, outcome: CommitOutcome) -> None:
        """The attempt in flight failed for good."""
        self._settle(self.pending[0], outcome)

    def on_events(self, events: Iterable[WatchEvent]) -> None:
        """Takes note of pending commits that the watch shows to have been committed."""
        for event in events:
            for commit in self.pending:
                if event.record is not None and event.record.commit_id == commit.commit_id:
                    commit.seen_revision = event.revision

    def on_snapshot(self) -> None:
        """A full read shows the last writer of each record and not those before it."""
        if self.pending and (self.pending[0].outcome_unknown or self.schedule.in_flight):
            self.pending[0].missed_events = True

    def abandon(self, next_at_us: int) -> None:
        """Settles all commits after the store was rolled back: those that may have been made as unknown."""
        in_flight = self.schedule.in_flight
        for commit in list(self.pending):
            is_unknown = commit.outcome_unknown or in_flight
            self._settle(commit, CommitOutcome.UNKNOWN if is_unknown else CommitOutcome.REJECTED)
            in_flight = False  # only the first one can be
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
            self._settle(head, CommitOutcome.COMMITTED, rejection.revision)  # all that was to go has gone
        elif head.missed_events:
            self._settle(head, CommitOutcome.UNKNOWN)
        elif self._cache.revision >= rejection.revision:
            # The watch showed every change up to the rejection, and none of them was this commit.
            self._settle(head, CommitOutcome.REJECTED)

    def _settle(self, commit: PendingCommit, outcome: CommitOutcome, revision: int = 0) -> None:
        self.pending.remove(commit)
        self.schedule.next_at_us = 0
        self._notify(CommitSettled(commit_id=commit.commit_id, outcome=outcome, revision=revision))
