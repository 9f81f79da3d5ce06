"""Converts the calls of a history into operations on single records, for the linearizability checker.

A commit becomes a write of each of its keys. A full read becomes a read of each known key below its prefix. A
rejected commit becomes a read of the records that rejected it. Watches are left out, because they show past
states.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from gradehoist.history.records import CallOutcome, Completion, HistoryEntry, Invocation, StoreCall

US_PER_S = 1e6

RecordState = tuple[int, str]
"""A record's version (`UNSEEN_VERSION` if no process observed it), and the id of its commit."""

ABSENT: RecordState = (0, "")
UNSEEN_VERSION = -1
IMPOSSIBLE_VERSION = -2
"""An expected version that does not occur."""


@dataclass(frozen=True, kw_only=True)
class Operation:
    """A read or a write of one record.

    Attributes:
        index: Its position among the operations on the record.
        process: The process that requested it.
        description: A description for reports.
        invoked_us: The earliest time at which it may take place.
        completed_us: The latest time at which it may take place; infinite if its outcome is unknown.
        expected_version: The version that the record has to have before a write.
        observed: The state that a read returned; None for a write.
        written: The state after a write; None for a read.
    """

    index: int
    process: str
    description: str
    invoked_us: int
    completed_us: float
    expected_version: int = UNSEEN_VERSION
    observed: RecordState | None = None
    written: RecordState | None = None

    @property
    def is_read(self) -> bool:
        """Whether the operation is a read."""
        return self.observed is not None

    @property
    def is_completed(self) -> bool:
        """Whether the operation certainly took place."""
        return self.completed_us < math.inf

    def can_follow(self, state: RecordState) -> bool:
        """Whether the operation can take place in that state."""
        if self.observed is not None:
            return self.observed == state
        return self.expected_version == state[0]

    def __str__(self) -> str:
        """Returns the time, the process and the result of the operation."""
        completed = f"{self.completed_us / US_PER_S:.6f}" if self.is_completed else "?"
        if self.is_read:
            result = f"saw {self.observed}"
        else:
            result = f"version {self.expected_version} -> {self.written}"
        period = f"{self.invoked_us / US_PER_S:.6f} to {completed} s"
        return f"{period} {self.process}: {self.description} {result}"


@dataclass
class KeyOperations:
    """The operations on one key.

    Attributes:
        operations: The operations, in the order of their index.
        session_by_index: The session of each write whose record belongs to a session, by the write's index.
    """

    operations: list[Operation] = field(default_factory=list)
    session_by_index: dict[int, str] = field(default_factory=dict)

    def add_read(self, call: Call, description: str, observed: RecordState) -> None:
        """Appends a read."""
        self.operations.append(
            Operation(
                index=len(self.operations),
                process=call.invocation.process,
                description=description,
                invoked_us=call.invocation.time_us,
                completed_us=call.completed_us,
                observed=observed,
            )
        )

    def add_write(self, call: Call, expected_version: int, written: RecordState, session_id: str) -> None:
        """Appends a write. If `session_id` is given, the record belongs to that session."""
        index = len(self.operations)
        if session_id:
            self.session_by_index[index] = session_id
        self.operations.append(
            Operation(
                index=index,
                process=call.invocation.process,
                description=f"commit {call.invocation.commit_id}",
                invoked_us=call.invocation.time_us,
                completed_us=call.completed_us,
                expected_version=expected_version,
                written=written,
            )
        )

    def with_session_ends(self) -> list[Operation]:
        """Returns the operations, and a possible deletion for each write whose record belongs to a session.

        The deletion by the end of the session may take place at any time after the write, or never.
        """
        operations = list(self.operations)
        for index, session_id in self.session_by_index.items():
            write = self.operations[index]
            assert write.written is not None
            version = write.written[0]
            operations.append(
                Operation(
                    index=len(operations),
                    process="register",
                    description=f"end of session {session_id}",
                    invoked_us=write.invoked_us,
                    completed_us=math.inf,
                    expected_version=version if version > 0 else IMPOSSIBLE_VERSION,
                    written=ABSENT,
                )
            )
        return operations


class Call(NamedTuple):
    """An invocation, and its completion if there is one."""

    invocation: Invocation
    completion: Completion | None

    @property
    def outcome(self) -> CallOutcome:
        """How the call completed; unknown if it did not."""
        return self.completion.outcome if self.completion is not None else CallOutcome.UNKNOWN

    @property
    def completed_us(self) -> float:
        """When the call completed; infinite if it may take effect later, or had no effect."""
        if self.completion is None or self.outcome in (CallOutcome.UNKNOWN, CallOutcome.FAILED):
            return math.inf
        return self.completion.time_us


def group_by_key(entries: Iterable[HistoryEntry]) -> dict[str, KeyOperations]:
    """Returns the operations on each key of a history."""
    calls = _pair_calls(list(entries))
    versions = _observed_versions(calls)
    keys = {key for key, _ in versions}
    keys |= {change.key for call in calls for change in call.invocation.changes}
    grouped: defaultdict[str, KeyOperations] = defaultdict(KeyOperations)
    for call in _merge_attempts(calls):
        match call.invocation.operation, call.outcome:
            case StoreCall.READ, CallOutcome.READ:
                _add_full_read(grouped, call, keys)
            case StoreCall.COMMIT, CallOutcome.REJECTED:
                _add_rejected_commit(grouped, call)
            case StoreCall.COMMIT, (CallOutcome.COMMITTED | CallOutcome.UNKNOWN):
                _add_commit(grouped, call, versions)
    return dict(grouped)


def _pair_calls(entries: list[HistoryEntry]) -> list[Call]:
    completions = {
        (entry.process, entry.call_id): entry for entry in entries if isinstance(entry, Completion)
    }
    return [
        Call(entry, completions.get((entry.process, entry.call_id)))
        for entry in entries
        if isinstance(entry, Invocation)
    ]


def _observed_versions(calls: list[Call]) -> dict[tuple[str, str], int]:
    """Returns the version that a commit gave a key, by key and commit id, if any process observed it."""
    versions: dict[tuple[str, str], int] = {}
    for invocation, completion in calls:
        if completion is None:
            continue
        for record in completion.observed:
            if record.version:
                versions[record.key, record.commit_id] = record.version
        if completion.outcome is CallOutcome.COMMITTED:
            for change in invocation.changes:
                versions[change.key, invocation.commit_id] = completion.revision
    return versions


def _merge_attempts(calls: list[Call]) -> Iterator[Call]:
    """Merges the attempts of each commit.

    At most one attempt of a commit can find the versions that it expects. If one was committed, those of
    unknown outcome were not, and are dropped. Otherwise only the first attempt of unknown outcome is kept, as
    it may take effect at any later time.
    """
    settled = {
        call.invocation.commit_id
        for call in calls
        if call.invocation.operation is StoreCall.COMMIT and call.outcome is CallOutcome.COMMITTED
    }
    for call in calls:
        is_commit = call.invocation.operation is StoreCall.COMMIT
        if is_commit and call.outcome is CallOutcome.UNKNOWN:
            if call.invocation.commit_id in settled:
                continue
            settled.add(call.invocation.commit_id)
        yield call


def _add_full_read(grouped: defaultdict[str, KeyOperations], call: Call, keys: set[str]) -> None:
    assert call.completion is not None
    states = {record.key: (record.version, record.commit_id) for record in call.completion.observed}
    for key in keys:
        if key.startswith(call.invocation.prefix):
            grouped[key].add_read(call, "read", states.get(key, ABSENT))


def _add_rejected_commit(grouped: defaultdict[str, KeyOperations], call: Call) -> None:
    assert call.completion is not None
    for record in call.completion.observed:
        grouped[record.key].add_read(call, "rejected commit", (record.version, record.commit_id))


def _add_commit(
    grouped: defaultdict[str, KeyOperations], call: Call, versions: dict[tuple[str, str], int]
) -> None:
    commit_id = call.invocation.commit_id
    for change in call.invocation.changes:
        version = versions.get((change.key, commit_id), UNSEEN_VERSION)
        written = ABSENT if change.is_deletion else (version, commit_id)
        grouped[change.key].add_write(call, change.expected_version, written, change.session_id)
