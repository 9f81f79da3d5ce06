"""Writes what a process asks of the register and is answered, as lines of a history."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from gradehoist.coordination.agent import StoreRequest
from gradehoist.coordination.store import (
    CommitRejected,
    Committed,
    Delete,
    OutcomeUnknownError,
    Put,
    Record,
    StoreSnapshot,
    WatchBatch,
)
from gradehoist.history.records import (
    Completion,
    HistoryEntry,
    Invocation,
    ObservedRecord,
    RequestedChange,
    monotonic_us,
)


def _saw(records: tuple[Record, ...]) -> tuple[ObservedRecord, ...]:
    return tuple(ObservedRecord(x.key, x.version, x.commit_id) for x in records)


class HistoryRecorder:
    """Of reads, commits and watches; what sessions do shows in the records that go with them."""

    KEPT = ("read", "commit", "watch")

    def __init__(
        self, write: Callable[[HistoryEntry], None], by: str, clock: Callable[[], int] = monotonic_us
    ) -> None:
        self._write, self._by, self._now = write, by, clock

    def record_invocation(self, ask: StoreRequest) -> None:
        if ask.operation == "commit":
            changes = tuple(
                RequestedChange(
                    c.key,
                    c.expected_version,
                    c.session_id if isinstance(c, Put) else "",
                    isinstance(c, Delete),
                )
                for c in ask.args[0]
            )
            self._write(
                Invocation(self._now(), self._by, ask.request_id, ask.operation, ask.args[1], changes=changes)
            )
        elif ask.operation in self.KEPT:
            after = ask.args[1] if ask.operation == "watch" else 0
            self._write(
                Invocation(
                    self._now(),
                    self._by,
                    ask.request_id,
                    ask.operation,
                    prefix=ask.args[0],
                    after_revision=after,
                )
            )

    def record_completion(self, ask: StoreRequest, answer: Any) -> None:
        if ask.operation not in self.KEPT:
            return
        how, revision, saw = "none", 0, tuple[ObservedRecord, ...]()
        match answer:
            case Committed(revision):
                how = "done"
            case CommitRejected(revision, records):
                how, saw = "refused", _saw(records)
                here = {x.key for x in records}
                saw += tuple(ObservedRecord(c.key, 0) for c in ask.args[0] if c.key not in here)
            case StoreSnapshot(_, revision, records):
                how, saw = "read", _saw(records)
            case WatchBatch(_, _, revision, events):
                how = "watched"
                saw = tuple(
                    ObservedRecord(
                        e.key, e.revision if e.record else 0, e.record.commit_id if e.record else ""
                    )
                    for e in events
                )
            case OutcomeUnknownError():
                how = "unknown"
        self._write(Completion(self._now(), self._by, ask.request_id, how, revision, saw))
