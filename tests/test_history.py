"""Checkers of histories: what is in order passes, and each property's breach is caught and shown."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.history import exactly_once, linearizability
from gradehoist.history.records import (
    Answered,
    Asked,
    Effect,
    Incomplete,
    Line,
    Saw,
    Told,
    Writer,
    Wrote,
    load,
)


class Log:
    """Builds a history call by call; times are what the test says."""

    def __init__(self) -> None:
        self.lines, self.n = list[Line](), 0

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
        wrote = (Wrote("k", finds, session, gone),)
        self.lines.append(Asked(began, by, self.n, "commit", token, changes=wrote))
        if ended is not None:
            shown = (Saw("k", *saw),) if how == "refused" else ()
            self.lines.append(Answered(ended, by, self.n, how, makes, shown))
        return self

    def read(self, began: int, ended: int, by: str, version: int, token: str = "") -> Log:
        self.n += 1
        self.lines.append(Asked(began, by, self.n, "read"))
        saw = (Saw("k", version, token),) if version else ()
        self.lines.append(Answered(ended, by, self.n, "read", version, saw))
        return self

    def check(self) -> list[linearizability.Breach]:
        return linearizability.check(sorted(self.lines, key=lambda x: x.t))


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
    assert said in str(breach) and len(breach.stretch) <= 3


def test_the_stretch_leaves_out_what_has_no_part_in_it() -> None:
    log = Log()
    for n in range(30):
        log.write(10 * n, 10 * n + 5, "a", n and n + 1, f"a:{n}", makes=n + 2)
    log.read(400, 401, "b", 31, "a:29").read(402, 403, "b", 30, "a:28")
    (breach,) = log.check()
    assert [op.what for op in breach.stretch][-1] == "read" and len(breach.stretch) <= 2


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
    looks = [n for n, x in enumerate(log.lines) if isinstance(x, Answered) and x.how == "read"]
    if not looks or len(states) < 2:
        return
    n = data.draw(st.sampled_from(looks))
    old = log.lines[n]
    assert isinstance(old, Answered)
    shown = (old.saw[0].version, old.saw[0].token) if old.saw else (0, "")
    version, token = data.draw(st.sampled_from([s for s in states if s != shown]))
    saw = (Saw("k", version, token),) * (version > 0)
    log.lines[n] = Answered(old.t, old.by, old.n, "read", version, saw)
    assert log.check()


def effect(t: int, gen: int, holder: str, item: str, by: str = "ledger") -> Effect:
    return Effect(t, by, "job", gen, holder, item)


def test_effects_are_judged_by_generation_holder_and_item() -> None:
    good: list[Line] = [effect(1, 1, "a", "x"), effect(2, 2, "b", "y"), effect(3, 1, "a", "z", "other")]
    assert not exactly_once.generations(good) and not exactly_once.once(good)
    (back,) = exactly_once.generations([*good, effect(4, 1, "a", "w")])
    assert "generation 1 took effect after 2" in str(back) and len(back.stretch) == 2
    (two,) = exactly_once.generations([*good, effect(4, 2, "c", "w")])
    assert "for two holders" in str(two)
    (twice,) = exactly_once.once([*good, effect(4, 2, "b", "x", "other")])
    assert "x took effect twice" in str(twice)


def test_a_history_cut_by_a_kill_is_read_and_one_cut_by_its_bound_gives_no_verdict(tmp_path: Path) -> None:
    path = tmp_path / "a.jsonl"
    writer = Writer(path, "a", most=3)
    writer(Told(1, "a", "one"))
    with path.open("ab") as file:
        file.write(b'{"type":"told","t":2,"by":"a","wh')
    assert load([path]) == [Told(1, "a", "one")]
    path.write_bytes(path.read_bytes() + b"\n")
    with pytest.raises(Incomplete, match="a.jsonl:2"):
        load([path])
    other = tmp_path / "b.jsonl"
    writer = Writer(other, "b", most=3)
    for n in range(5):
        writer(Told(n, "b", "x"))
    with pytest.raises(Incomplete, match="bound"):
        load([other])
