"""Checkers of histories: what is in order passes, and each property's breach is caught and shown."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.history import linearizability
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.records import (
    Completion,
    Effect,
    HistoryEntry,
    HistoryWriter,
    IncompleteHistoryError,
    Invocation,
    ObservedRecord,
    ProcessEvent,
    RequestedChange,
    load_history,
)


class Log:
    """Builds a history call by call; times are what the test says."""

    def __init__(self) -> None:
        self.lines, self.n = list[HistoryEntry](), 0

    def write(
        self,
        began: int,
        ended: int | None,
        by: str,
        finds: int,
        token: str,
        how: str = "done",
        makes: int = 0,
        saw: tuple[int, str] = (0, ""),
        session: str = "",
        gone: bool = False,
    ) -> Log:
        self.n += 1
        wrote = (RequestedChange("k", finds, session, gone),)
        self.lines.append(Invocation(began, by, self.n, "commit", token, changes=wrote))
        if ended is not None:
            shown = (ObservedRecord("k", *saw),) if how == "refused" else ()
            self.lines.append(Completion(ended, by, self.n, how, makes, shown))
        return self

    def read(self, began: int, ended: int, by: str, version: int, token: str = "") -> Log:
        self.n += 1
        self.lines.append(Invocation(began, by, self.n, "read"))
        saw = (ObservedRecord("k", version, token),) if version else ()
        self.lines.append(Completion(ended, by, self.n, "read", version, saw))
        return self

    def check(self) -> list[linearizability.LinearizabilityViolation]:
        return linearizability.find_linearizability_violations(sorted(self.lines, key=lambda x: x.time_us))


def test_overlapping_calls_may_have_any_order_and_unknown_ones_any_time_or_none() -> None:
    log = Log().write(0, 9, "a", 0, "a:1", makes=2).read(1, 3, "b", 0).read(4, 6, "b", 2, "a:1")
    assert not log.check()
    late = Log().write(0, None, "a", 0, "a:1").read(10, 11, "b", 0).read(20, 21, "b", 3, "a:1")
    assert not late.check()
    never = Log().write(0, None, "a", 0, "a:1").write(5, 6, "b", 0, "b:1", makes=2).read(7, 8, "a", 2, "b:1")
    assert not never.check()
    gone = Log().write(0, 1, "a", 0, "a:1", makes=2, session="s").read(5, 6, "b", 0)
    assert not gone.check()


@pytest.mark.parametrize(
    ("log", "said"),
    [
        (Log().write(0, 1, "a", 0, "a:1", makes=2).read(2, 3, "b", 0), "read saw (0, '')"),  # a stale read
        (Log().write(0, 1, "a", 0, "a:1", makes=2).write(2, 3, "b", 0, "b:1", makes=3), "version 0 -> (3"),
        (
            Log()
            .write(0, 1, "a", 0, "a:1", makes=2)
            .write(2, 3, "b", 2, "b:1", makes=3)
            .read(4, 5, "a", 2, "a:1"),
            "read saw (2, 'a:1')",
        ),  # an older snapshot
        (Log().read(0, 1, "b", 4, "nobody:1"), "read saw (4, 'nobody:1')"),
        (Log().write(0, 1, "a", 0, "a:1", "refused", saw=(0, "")).read(2, 3, "b", 7, "a:1"), "read saw (7"),
        (Log().write(0, None, "a", 0, "a:1").read(5, 6, "b", 2, "a:1").read(7, 8, "b", 0), "read saw (0"),
    ],
)
def test_what_no_register_does_is_caught_and_shown_in_few_calls(log: Log, said: str) -> None:
    (breach,) = log.check()
    assert said in str(breach) and len(breach.operations) <= 3


def test_the_stretch_leaves_out_what_has_no_part_in_it() -> None:
    log = Log()
    for n in range(30):
        log.write(10 * n, 10 * n + 5, "a", n and n + 1, f"a:{n}", makes=n + 2)
    log.read(400, 401, "b", 31, "a:29").read(402, 403, "b", 30, "a:28")
    (breach,) = log.check()
    assert [op.description for op in breach.operations][-1] == "read" and len(breach.operations) <= 2


def serial(choices: list[tuple[int, bool]]) -> tuple[Log, list[tuple[int, str]]]:
    """A history in order, one call after the other, by three processes."""
    log, state, states = Log(), (0, ""), [(0, "")]
    for n, (by, write) in enumerate(choices):
        at, name = 10 * n, f"p{by}"
        if write:
            token = f"{name}:{n}"
            log.write(at, at + 5, name, state[0], token, makes=n + 2)
            state = (n + 2, token)
            states.append(state)
        else:
            log.read(at, at + 5, name, *state)
    return log, states


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(st.integers(0, 2), st.booleans()), min_size=3, max_size=25), st.data())
def test_a_history_in_order_passes_and_one_look_altered_in_it_does_not(
    choices: list[tuple[int, bool]], data: st.DataObject
) -> None:
    log, states = serial(choices)
    assert not log.check()
    looks = [n for n, x in enumerate(log.lines) if isinstance(x, Completion) and x.outcome == "read"]
    if not looks or len(states) < 2:
        return
    n = data.draw(st.sampled_from(looks))
    old = log.lines[n]
    assert isinstance(old, Completion)
    shown = (old.observed[0].version, old.observed[0].commit_id) if old.observed else (0, "")
    version, token = data.draw(st.sampled_from([s for s in states if s != shown]))
    saw = (ObservedRecord("k", version, token),) * (version > 0)
    log.lines[n] = Completion(old.time_us, old.process, old.call_id, "read", version, saw)
    assert log.check()


def effect(t: int, gen: int, holder: str, item: str, by: str = "ledger") -> Effect:
    return Effect(t, by, "job", gen, holder, item)


def test_effects_are_judged_by_generation_holder_and_item() -> None:
    good: list[HistoryEntry] = [
        effect(1, 1, "a", "x"),
        effect(2, 2, "b", "y"),
        effect(3, 1, "a", "z", "other"),
    ]
    assert not find_fencing_violations(good) and not find_duplicate_effects(good)
    (back,) = find_fencing_violations([*good, effect(4, 1, "a", "w")])
    assert "generation 1 took effect after 2" in str(back) and len(back.effects) == 2
    (two,) = find_fencing_violations([*good, effect(4, 2, "c", "w")])
    assert "for two holders" in str(two)
    (twice,) = find_duplicate_effects([*good, effect(4, 2, "b", "x", "other")])
    assert "x took effect twice" in str(twice)


def test_a_history_cut_by_a_kill_is_read_and_one_cut_by_its_bound_gives_no_verdict(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    writer = HistoryWriter(path, "a", max_entries=3)
    writer(ProcessEvent(1, "a", "one"))
    with path.open("ab") as file:
        file.write(b'{"type":"told","t":2,"by":"a","wh')
    assert load_history([path]) == [ProcessEvent(1, "a", "one")]
    path.write_bytes(path.read_bytes() + b"\n")
    with pytest.raises(IncompleteHistoryError, match="a.jsonl:2"):
        load_history([path])
    other = tmp_path / "b.jsonl"
    writer = HistoryWriter(other, "b", max_entries=3)
    for n in range(5):
        writer(ProcessEvent(n, "b", "x"))
    with pytest.raises(IncompleteHistoryError, match="bound"):
        load_history([other])
