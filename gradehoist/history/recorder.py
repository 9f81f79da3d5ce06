"""Records the requests of a process to the coordination store, and the responses."""

from __future__ import annotations

from collections.abc import Callable

from msgspec.structs import replace

from gradehoist.clock import monotonic_us
from gradehoist.coordination.requests import (
    CommitChanges,
    ReadRecords,
    Response,
    StoreRequest,
    WatchChanges,
)
from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    Delete,
    OutcomeUnknownError,
    Put,
    Record,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
)
from gradehoist.history.records import (
    CallOutcome,
    Completion,
    HistoryEntry,
    Invocation,
    ObservedRecord,
    RequestedChange,
    StoreCall,
)


class HistoryRecorder:
    """Records the reads, commits and watches of one process.

    Calls that concern sessions are left out. Their effects appear in the records that belong to the sessions.
    """

    def __init__(
        self,
        write: Callable[[HistoryEntry], None],
        process: str,
        clock: Callable[[], int] = monotonic_us,
    ) -> None:
        """Creates a recorder.

        Args:
            write: Called with each entry.
            process: The name of the process in the entries.
            clock: Returns the time in microseconds.
        """
        self._write = write
        self._process = process
        self._clock = clock

    def record_invocation(self, request: StoreRequest) -> None:
        """Records that a request is sent."""
        match request.operation:
            case CommitChanges(changes, commit_id):
                entry = self._invocation(request, StoreCall.COMMIT)
                self._write(replace(entry, commit_id=commit_id, changes=_requested(changes)))
            case ReadRecords(prefix):
                self._write(replace(self._invocation(request, StoreCall.READ), prefix=prefix))
            case WatchChanges(prefix, after_revision, _):
                entry = self._invocation(request, StoreCall.WATCH)
                self._write(replace(entry, prefix=prefix, after_revision=after_revision))

    def record_completion(self, request: StoreRequest, result: Response | CoordinationError) -> None:
        """Records the response to a request, or that the request failed."""
        if not isinstance(request.operation, CommitChanges | ReadRecords | WatchChanges):
            return
        match result:
            case Committed(revision):
                self._complete(request, CallOutcome.COMMITTED, revision)
            case CommitRejected(revision, records):
                observed = _observed_by_rejection(request, records)
                self._complete(request, CallOutcome.REJECTED, revision, observed)
            case StoreSnapshot(_, revision, records):
                self._complete(request, CallOutcome.READ, revision, _observed(records))
            case WatchBatch(_, _, revision, events):
                observed = tuple(_observed_by_watch(event) for event in events)
                self._complete(request, CallOutcome.WATCHED, revision, observed)
            case OutcomeUnknownError():
                self._complete(request, CallOutcome.UNKNOWN)
            case _:
                self._complete(request, CallOutcome.FAILED)

    def _invocation(self, request: StoreRequest, operation: StoreCall) -> Invocation:
        return Invocation(
            time_us=self._clock(),
            process=self._process,
            call_id=request.request_id,
            operation=operation,
        )

    def _complete(
        self,
        request: StoreRequest,
        outcome: CallOutcome,
        revision: int = 0,
        observed: tuple[ObservedRecord, ...] = (),
    ) -> None:
        self._write(
            Completion(
                time_us=self._clock(),
                process=self._process,
                call_id=request.request_id,
                outcome=outcome,
                revision=revision,
                observed=observed,
            )
        )


def _requested(changes: tuple[Change, ...]) -> tuple[RequestedChange, ...]:
    return tuple(
        RequestedChange(
            key=change.key,
            expected_version=change.expected_version,
            session_id=change.session_id if isinstance(change, Put) else "",
            is_deletion=isinstance(change, Delete),
        )
        for change in changes
    )


def _observed(records: tuple[Record, ...]) -> tuple[ObservedRecord, ...]:
    return tuple(
        ObservedRecord(key=record.key, version=record.version, commit_id=record.commit_id)
        for record in records
    )


def _observed_by_rejection(request: StoreRequest, records: tuple[Record, ...]) -> tuple[ObservedRecord, ...]:
    """Returns the records under the commit's keys, with version 0 for keys that have none."""
    assert isinstance(request.operation, CommitChanges)
    existing = {record.key for record in records}
    absent = tuple(
        ObservedRecord(change.key, version=0)
        for change in request.operation.changes
        if change.key not in existing
    )
    return _observed(records) + absent


def _observed_by_watch(event: WatchEvent) -> ObservedRecord:
    if event.record is None:
        return ObservedRecord(event.key, version=0)
    return ObservedRecord(event.key, version=event.revision, commit_id=event.record.commit_id)
