"""Tests of the checkers of histories: valid histories pass, and violations are found and described."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.coordination.store import CommitRejected, Committed, Record
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.linearizability import LinearizabilityViolation, find_linearizability_violations
from gradehoist.history.operations import ABSENT, RecordState
from gradehoist.history.records import (
    CallOutcome,
    Completion,
    Effect,
    HistoryEntry,
    HistoryTruncated,
    HistoryWriter,
    IncompleteHistoryError,
    Invocation,
    ObservedRecord,
    ProcessEvent,
    RejectedEffect,
    RequestedChange,
    StoreCall,
    load_history,
)

KEY = "k"


def observed(state: RecordState) -> tuple[ObservedRecord, ...]:
    version, commit_id = state
    return (ObservedRecord(KEY, version, commit_id),)


class HistoryBuilder:
    """Builds a history of one key call by call. `at` holds the times of its invocation and completion."""

    def __init__(self) -> None:
        self.entries: list[HistoryEntry] = []
        self._call_id = 0

    def commit(
        self,
        commit_id: str,
        *,
        at: tuple[int, int],
        expects: int,
        result: Committed | CommitRejected | None,
        session_id: str = "",
    ) -> HistoryBuilder:
        """Appends a commit by the process that its id names. Without a result its outcome is unknown."""
        process, _, _ = commit_id.partition(":")
        change = RequestedChange(KEY, expects, session_id)
        invocation = self._invoke(process, at[0], StoreCall.COMMIT)
        self.entries[-1] = msgspec.structs.replace(invocation, commit_id=commit_id, changes=(change,))
        match result:
            case Committed(revision):
                self._complete(invocation, at[1], CallOutcome.COMMITTED, revision)
            case CommitRejected(revision, (current,)):
                shown = observed((current.version, current.commit_id))
                self._complete(invocation, at[1], CallOutcome.REJECTED, revision, shown)
        return self

    def read(self, process: str, *, at: tuple[int, int], shows: RecordState) -> HistoryBuilder:
        """Appends a full read that returned the state `shows`."""
        invocation = self._invoke(process, at[0], StoreCall.READ)
        shown = () if shows == ABSENT else observed(shows)
        self._complete(invocation, at[1], CallOutcome.READ, shows[0], shown)
        return self

    def violations(self) -> list[LinearizabilityViolation]:
        return find_linearizability_violations(sorted(self.entries, key=lambda entry: entry.time_us))

    def _invoke(self, process: str, time_us: int, operation: StoreCall) -> Invocation:
        self._call_id += 1
        invocation = Invocation(time_us=time_us, process=process, call_id=self._call_id, operation=operation)
        self.entries.append(invocation)
        return invocation

    def _complete(
        self,
        invocation: Invocation,
        time_us: int,
        outcome: CallOutcome,
        revision: int,
        shown: tuple[ObservedRecord, ...] = (),
    ) -> None:
        self.entries.append(
            Completion(
                time_us=time_us,
                process=invocation.process,
                call_id=invocation.call_id,
                outcome=outcome,
                revision=revision,
                observed=shown,
            )
        )


def history() -> HistoryBuilder:
    return HistoryBuilder()


def rejected_by(version: int, commit_id: str) -> CommitRejected:
    current = Record(key=KEY, value=b"", version=version, commit_id=commit_id)
    return CommitRejected(version, (current,))


@pytest.mark.parametrize(
    "builder",
    [
        pytest.param(
            history()
            .commit("a:1", at=(0, 9), expects=0, result=Committed(2))
            .read("b", at=(1, 3), shows=ABSENT)
            .read("b", at=(4, 6), shows=(2, "a:1")),
            id="overlapping calls may have any order",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 0), expects=0, result=None)
            .read("b", at=(10, 11), shows=ABSENT)
            .read("b", at=(20, 21), shows=(3, "a:1")),
            id="a commit of unknown outcome takes place late",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 0), expects=0, result=None)
            .commit("b:1", at=(5, 6), expects=0, result=Committed(2))
            .read("a", at=(7, 8), shows=(2, "b:1")),
            id="a commit of unknown outcome never takes place",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 1), expects=0, result=Committed(2), session_id="s")
            .read("b", at=(5, 6), shows=ABSENT),
            id="a record is deleted with its session",
        ),
    ],
)
def test_history_with_a_linearizable_order_has_no_violation(builder: HistoryBuilder) -> None:
    assert not builder.violations()


@pytest.mark.parametrize(
    ("builder", "message"),
    [
        pytest.param(
            history()
            .commit("a:1", at=(0, 1), expects=0, result=Committed(2))
            .read("b", at=(2, 3), shows=ABSENT),
            "read saw (0, '')",
            id="stale read",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 1), expects=0, result=Committed(2))
            .commit("b:1", at=(2, 3), expects=0, result=Committed(3)),
            "version 0 -> (3",
            id="commit against an outdated version",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 1), expects=0, result=Committed(2))
            .commit("b:1", at=(2, 3), expects=2, result=Committed(3))
            .read("a", at=(4, 5), shows=(2, "a:1")),
            "read saw (2, 'a:1')",
            id="older snapshot",
        ),
        pytest.param(
            history().read("b", at=(0, 1), shows=(4, "unknown:1")),
            "read saw (4, 'unknown:1')",
            id="record that no process wrote",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 1), expects=0, result=rejected_by(0, ""))
            .read("b", at=(2, 3), shows=(7, "a:1")),
            "read saw (7",
            id="rejected commit that was written",
        ),
        pytest.param(
            history()
            .commit("a:1", at=(0, 0), expects=0, result=None)
            .read("b", at=(5, 6), shows=(2, "a:1"))
            .read("b", at=(7, 8), shows=ABSENT),
            "read saw (0",
            id="record that disappeared",
        ),
    ],
)
def test_history_without_a_linearizable_order_is_reduced_to_few_operations(
    builder: HistoryBuilder, message: str
) -> None:
    (violation,) = builder.violations()
    assert message in str(violation)
    assert len(violation.operations) <= 3


def test_violation_leaves_out_unrelated_operations() -> None:
    builder = history()
    for number in range(30):
        period = (10 * number, 10 * number + 5)
        expects = number + 1 if number else 0
        builder.commit(f"a:{number}", at=period, expects=expects, result=Committed(number + 2))
    builder.read("b", at=(400, 401), shows=(31, "a:29")).read("b", at=(402, 403), shows=(30, "a:28"))

    (violation,) = builder.violations()

    assert violation.operations[-1].description == "read"
    assert len(violation.operations) <= 2


def serial_history(steps: list[tuple[int, bool]]) -> tuple[HistoryBuilder, list[RecordState]]:
    """Returns a valid history of sequential calls by three processes, and its sequence of states."""
    builder = history()
    state = ABSENT
    states = [state]
    for number, (process_number, is_commit) in enumerate(steps):
        period = (10 * number, 10 * number + 5)
        process = f"p{process_number}"
        if is_commit:
            commit_id = f"{process}:{number}"
            revision = number + 2
            builder.commit(commit_id, at=period, expects=state[0], result=Committed(revision))
            state = (revision, commit_id)
            states.append(state)
        else:
            builder.read(process, at=period, shows=state)
    return builder, states


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.booleans()), min_size=3, max_size=25), st.data())
def test_serial_history_passes_and_fails_once_a_read_is_altered(
    steps: list[tuple[int, bool]], data: st.DataObject
) -> None:
    builder, states = serial_history(steps)
    assert not builder.violations()
    reads = [
        (index, entry)
        for index, entry in enumerate(builder.entries)
        if isinstance(entry, Completion) and entry.outcome is CallOutcome.READ
    ]
    if not reads or len(states) < 2:
        return

    index, read = data.draw(st.sampled_from(reads))
    shown = (read.observed[0].version, read.observed[0].commit_id) if read.observed else ABSENT
    altered = data.draw(st.sampled_from([state for state in states if state != shown]))
    builder.entries[index] = msgspec.structs.replace(
        read, revision=altered[0], observed=() if altered == ABSENT else observed(altered)
    )

    assert builder.violations()


def effect(time_us: int, generation: int, holder: str, item: str, process: str = "ledger") -> Effect:
    return Effect(
        time_us=time_us,
        process=process,
        resource="job",
        generation=generation,
        holder=holder,
        item=item,
    )


class TestEffects:
    valid_effects: tuple[HistoryEntry, ...] = (
        effect(1, 1, "a", "x"),
        effect(2, 2, "b", "y"),
        effect(3, 1, "a", "z", process="other"),
    )

    def test_valid_effects_pass(self) -> None:
        assert not find_fencing_violations(self.valid_effects)
        assert not find_duplicate_effects(self.valid_effects)

    def test_older_generation_is_found(self) -> None:
        (violation,) = find_fencing_violations([*self.valid_effects, effect(4, 1, "a", "w")])
        assert "generation 1 took effect after 2" in str(violation)
        assert len(violation.effects) == 2

    def test_second_holder_of_a_generation_is_found(self) -> None:
        (violation,) = find_fencing_violations([*self.valid_effects, effect(4, 2, "c", "w")])
        assert "for two holders" in str(violation)

    def test_item_that_took_effect_twice_is_found(self) -> None:
        (violation,) = find_duplicate_effects([*self.valid_effects, effect(4, 2, "b", "x", process="other")])
        assert "x took effect twice" in str(violation)


def test_line_truncated_by_a_kill_is_left_out_and_a_malformed_line_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    writer = HistoryWriter(path, "a", max_entries=3)
    writer(ProcessEvent(1, "a", "one"))
    with path.open("ab") as file:
        file.write(b'{"type":"told","t":2,"by":"a","wh')
    assert load_history([path]) == [ProcessEvent(1, "a", "one")]

    path.write_bytes(path.read_bytes() + b"\n")
    with pytest.raises(IncompleteHistoryError, match=r"a\.jsonl:2"):
        load_history([path])


def test_history_that_reached_its_bound_is_an_error(tmp_path: Path) -> None:
    path = tmp_path / "b.jsonl"
    writer = HistoryWriter(path, "b", max_entries=3)
    for number in range(5):
        writer(ProcessEvent(number, "b", "x"))
    with pytest.raises(IncompleteHistoryError, match="truncated at its maximum"):
        load_history([path])


@pytest.mark.parametrize(
    ("entry", "encoded"),
    [
        pytest.param(
            Invocation(
                time_us=1,
                process="p",
                call_id=2,
                operation=StoreCall.COMMIT,
                commit_id="p:1",
                changes=(RequestedChange(KEY, 3, "s", True),),
            ),
            b'{"type":"asked","t":1,"by":"p","n":2,"what":"commit","token":"p:1","prefix":"","after":0,'
            b'"changes":[{"key":"k","expect":3,"session":"s","gone":true}]}',
            id="invocation",
        ),
        pytest.param(
            Completion(
                time_us=1,
                process="p",
                call_id=2,
                outcome=CallOutcome.REJECTED,
                revision=7,
                observed=(ObservedRecord(KEY, 7, "q:1"),),
            ),
            b'{"type":"answered","t":1,"by":"p","n":2,"how":"refused","revision":7,'
            b'"saw":[{"key":"k","version":7,"token":"q:1"}]}',
            id="completion",
        ),
        pytest.param(
            effect(1, 2, "h", "i"),
            b'{"type":"effect","t":1,"by":"ledger","name":"job","gen":2,"holder":"h","item":"i","key":""}',
            id="effect",
        ),
        pytest.param(
            RejectedEffect(
                time_us=1,
                process="p",
                resource="job",
                generation=2,
                holder="h",
                item="i",
                highest_generation=3,
            ),
            b'{"type":"turned","t":1,"by":"p","name":"job","gen":2,"holder":"h","item":"i","known":3}',
            id="rejected effect",
        ),
        pytest.param(
            ProcessEvent(1, "p", "e", {"a": "b"}),
            b'{"type":"told","t":1,"by":"p","what":"e","fields":{"a":"b"}}',
            id="process event",
        ),
        pytest.param(HistoryTruncated(1, "p"), b'{"type":"cut","t":1,"by":"p"}', id="truncation"),
    ],
)
def test_entries_keep_their_encoded_names(entry: HistoryEntry, encoded: bytes) -> None:
    assert msgspec.json.encode(entry) == encoded
    assert msgspec.json.decode(encoded, type=HistoryEntry) == entry


@pytest.mark.parametrize(
    ("enum", "stored"),
    [
        (StoreCall, ["commit", "read", "watch"]),
        (CallOutcome, ["done", "refused", "read", "watched", "none", "unknown"]),
    ],
)
def test_enums_keep_their_stored_values(enum: type[StoreCall | CallOutcome], stored: list[str]) -> None:
    assert [member.value for member in enum] == stored
