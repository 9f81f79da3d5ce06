"""Turns the calls of a history into operations on single records, as the linearizability checker needs them.

A commit is a write of each of its keys, a full read a read of each known key below its prefix, and a rejected
commit a read of the records that rejected it. Watches are left out: they show the past.
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
"""A record's version, `UNSEEN_VERSION` where nobody saw it, and the id of the commit that wrote it."""

ABSENT: RecordState = (0, "")
UNSEEN_VERSION = -1
NO_VERSION = -2
"""An expected version that no state has."""


@dataclass(frozen=True, kw_only=True)
class Operation:
    """A read or a write of one record.

    Attributes:
        index: Its place among the operations on the record.
        process: Who made it.
        description: For people.
        invoked_us: It takes place no earlier.
        completed_us: It takes place no later; infinite where its outcome is unknown.
        expected_version: The version that a write has to find.
        observed: The state that a read showed; None for a write.
        written: The state that a write leaves; None for a read.
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
        """Whether it changes nothing."""
        return self.observed is not None

    @property
    def is_completed(self) -> bool:
        """Whether it certainly took place."""
        return self.completed_us < math.inf

    def can_follow(self, state: RecordState) -> bool:
        """Whether it can take place in that state."""
        if self.observed is not None:
            return self.observed == state
        return self.expected_version == state[0]

    def __str__(self) -> str:
        """When, who, and what it did."""
        completed = f"{self.completed_us / US_PER_S:.6f}" if self.is_completed else "?"
        if self.is_read:
            result = f"saw {self.observed}"
        else:
            result = f"version {self.expected_version} -> {self.written}"
        period = f"{self.invoked_us / US_PER_S:.6f} to {completed} s"
        return f"{period} {self.process}: {self.description} {result}"


@dataclass
class KeyOperations:
    """The operations on one key, and the sessions of those writes whose record may go by itself."""

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
        """Appends a write; its record goes with a session where `session_id` names one."""
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
        """The operations, and for each record that belongs to a session its deletion at any time or never."""
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
                    expected_version=version if version > 0 else NO_VERSION,
                    written=ABSENT,
                )
            )
        return operations


class Call(NamedTuple):
    """An invocation with its completion, if it has one."""

    invocation: Invocation
    completion: Completion | None

    @property
    def outcome(self) -> CallOutcome:
        """How it completed; unknown where it did not."""
        return self.completion.outcome if self.completion is not None else CallOutcome.UNKNOWN

    @property
    def completed_us(self) -> float:
        """When it completed; infinite where it may take place later, or took no effect."""
        if self.completion is None or self.outcome in (CallOutcome.UNKNOWN, CallOutcome.FAILED):
            return math.inf
        return self.completion.time_us


def group_by_key(entries: Iterable[HistoryEntry]) -> dict[str, KeyOperations]:
    """The operations on each key of a history."""
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
    """The version that a commit gave a key, by key and commit id, from all that any process saw."""
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
    """Merges the attempts of one commit, of which at most one can find the version that it expects.

    Where one was committed, those of unknown outcome were not; else they are one call that began with the
    first.
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
        grouped[record.key].add_read(call, "refused commit", (record.version, record.commit_id))


def _add_commit(
    grouped: defaultdict[str, KeyOperations], call: Call, versions: dict[tuple[str, str], int]
) -> None:
    commit_id = call.invocation.commit_id
    for change in call.invocation.changes:
        version = versions.get((change.key, commit_id), UNSEEN_VERSION)
        written = ABSENT if change.is_deletion else (version, commit_id)
        grouped[change.key].add_write(call, change.expected_version, written, change.session_id)
