"""The audit: for each rule a record that breaks it just, and one that keeps it just."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import msgspec
import pytest

from gradehoist.protocol import feed
from gradehoist.scenario.checks.records import OtherEvent, Record, load_records, parse_record
from gradehoist.scenario.checks.run_check import check_records
from gradehoist.scenario.checks.verdict import RuleResult, Verdict
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan, speed_up_plan
from gradehoist.testbed.scenario_plan import Plan

ROOT = Path(__file__).parent.parent
S = 1_000_000
T0 = 1_000 * S
Rec = dict[str, Any]


def plan() -> Plan:
    return build_plan(read_scenario(ROOT / "scenarios" / "short.kdl"), 1)


PLAN = plan()
RULES = PLAN.rules
W1, W4 = "w1", "w4"  # halls a and b


def rec(at: float, event: str, role: str = "relays-hall-a", **fields: Any) -> Rec:
    return {"t": T0 + round(at * S), "e": event, "role": role, **fields}


def told(at: float, entries: dict[str, tuple[str, int]], whole: bool = False) -> Rec:
    return rec(
        at,
        "told",
        "roster",
        reader="a",
        whole=whole,
        version=1,
        entries={k: list(v) for k, v in entries.items()},
    )


def applied(
    at: float,
    seq: int,
    *deltas: feed.Delta,
    ordered: float | None = None,
    reply: int = 0,
    relay: str = "r1",
    mark: int | None = None,
) -> Rec:
    cost = (
        RULES.message_head
        + len(deltas)
        + sum(len(d.weights) for d in deltas if isinstance(d, feed.BindDelta))
    )
    stamp = T0 + round((at - 0.1 if ordered is None else ordered) * S)
    message = feed.Message(seq, reply or seq, stamp, cost, tuple(deltas), mark)
    return rec(
        at,
        "applied",
        relay=relay,
        governor="a",
        epoch="e",
        stream=1,
        bytes=9,
        message=msgspec.to_builtins(message),
    )


def start(relay: str = "r1") -> list[Rec]:
    lines = {W1: 1.0, W4: 1.0}
    return [
        rec(0, "day_begins", "day"),
        rec(0, "relay_up", relay=relay, standing={c.name: lines for c in PLAN.classes}),
        told(0, {r.name: ("ready", 1) for r in PLAN.replicas}, whole=True),
        rec(0.1, "joined", relay=relay, governor="a", epoch="e", stream=1),
    ]


def tried(at: float, tx: str, replica: str, n: int = 0, cls: str = "booking-commit") -> list[Rec]:
    return [
        rec(at, "try", relay="r1", tx=tx, n=n, cls=cls, replica=replica, way=1, after_unproven=n > 0),
        rec(
            at + 0.01,
            "arrive",
            "replicas-hall-a",
            replica=replica,
            relay="r1",
            tx=tx,
            work=100.0,
            warmth=1.0,
            boot=1,
        ),
    ]


def check(plan: Plan, stored: list[Rec]) -> Verdict:
    records = [parse_record(each, each["role"]) for each in stored]
    return check_records(plan, sorted(records, key=lambda record: record.time_us))


def judge(*records: Rec, end: float = 30, whole: bool = True, over: Plan = PLAN) -> dict[str, RuleResult]:
    ends = [rec(end, "ended", role) for role in over.controls] if whole else []
    verdict = check(over, [*records, *ends])
    assert verdict.is_complete == whole
    return {r.rule: r for r in verdict.results}


@pytest.mark.parametrize(("late", "state"), [(-0.05, "kept"), (0.05, "broken")])
def test_rule_1_by_the_time_without_a_line(late: float, state: str) -> None:
    until = 5 + RULES.bare_limit / S + late
    outs = (feed.WithdrawalDelta(W1), feed.WithdrawalDelta(W4))
    rule = judge(*start(), applied(5, 1, *outs), applied(until, 2, feed.RestorationDelta(W1)))["line"]
    assert rule.state == state and abs(rule.limit_used - 1) < 0.03
    assert state == "kept" or rule.violations[0].proxy == "r1"


def test_rule_1_runs_only_while_a_warm_replica_open_to_the_class_is_listed() -> None:
    shut = {r.name: ("gone", 1) for r in PLAN.replicas}
    rule = judge(*start(), told(4, shut), applied(5, 1, feed.WithdrawalDelta(W1), feed.WithdrawalDelta(W4)))[
        "line"
    ]
    assert rule.state == "kept" and rule.limit_used == 0
    cold = [rec(5, "up", "replicas-hall-a", replica=r.name, boot=2, cold=True) for r in PLAN.replicas]
    back = told(6, {r.name: ("ready", 2) for r in PLAN.replicas})
    rule = judge(
        *start(),
        told(4, shut),
        applied(5, 1, feed.WithdrawalDelta(W1), feed.WithdrawalDelta(W4)),
        *cold,
        back,
    )["line"]
    assert rule.limit_used == 0  # nothing is noted after the list: none of them was warm then


def test_rule_2_by_effects_and_by_what_may_have_run() -> None:
    done = rec(2, "effect", "replicas-hall-a", replica=W1, tx="c1.1")
    again = rec(4, "effect", "replicas-hall-b", replica=W4, tx="c1.1")
    both = [*tried(1, "c1.1", W1), *tried(3, "c1.1", W4, 1)]
    rule = judge(*start(), *both, done, again)["twice"]
    assert rule.state == "broken" and "took effect twice" in rule.violations[0].description
    rule = judge(*start(), *both)["twice"]
    assert rule.state == "broken" and "may have run" in rule.violations[0].description
    proof = rec(1.02, "turned_away", "replicas-hall-a", replica=W1, tx="c1.1")
    assert judge(*start(), *both, proof, again)["twice"].state == "kept"
    full = msgspec.structs.replace(PLAN, full_is_proof=False)
    assert judge(*start(), *both, proof, again, over=full)["twice"].state == "broken"
    free = [*tried(1, "c2.1", W1, cls="rate-check"), *tried(3, "c2.1", W4, 1, cls="rate-check")]
    assert judge(*start(), *free)["twice"].state == "not judged"  # no occasion is not kept


@pytest.mark.parametrize(("late", "state"), [(-0.02, "kept"), (0.02, "broken")])
@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_rule_3_by_the_grace_from_the_roster_s_word_or_the_join(late: float, state: str, phase: str) -> None:
    grace = RULES.grace / S
    rule = judge(*start(), told(5, {W1: (phase, 1)}), *tried(5 + grace + late, "c1.1", W1))["drain"]
    assert rule.state == state and rule.occasions == 1
    later = [
        rec(9, "lost", relay="r1", governor="a", reason=""),
        *tried(9.5, "c2.1", W1),
        rec(10, "joined", relay="r1", governor="a", epoch="e", stream=2),
    ]
    rule = judge(*start(), told(5, {W1: (phase, 1)}), *later, *tried(10 + grace + late, "c1.1", W1))["drain"]
    assert rule.state == state


def test_rule_3_runs_on_from_draining_to_gone_and_ends_with_ready() -> None:
    grace = RULES.grace / S
    words = [told(5, {W1: ("draining", 1)}), told(6, {W1: ("gone", 1)})]
    assert judge(*start(), *words, *tried(5.1 + grace, "c1.1", W1))["drain"].state == "broken"
    words.append(told(6.5, {W1: ("ready", 2)}))
    assert judge(*start(), *words, *tried(9 + grace, "c1.1", W1))["drain"].state == "kept"
    absent = told(5, {r.name: ("ready", 1) for r in PLAN.replicas if r.name != W1}, whole=True)
    assert judge(*start(), absent, *tried(5.1 + grace, "c1.1", W1))["drain"].state == "broken"


@pytest.mark.parametrize(("part", "state"), [(0.98, "kept"), (1.02, "broken")])
def test_rule_4_by_the_budget_of_a_cold_replica(part: float, state: str) -> None:
    w1 = next(r for r in PLAN.replicas if r.name == W1)
    warmth, span = 0.3, RULES.fall_span
    work = part * RULES.fall_multiple * w1.cores * w1.speed * warmth * 1e-3 * span / 10
    begin = [rec(1, "up", "replicas-hall-a", replica=W1, boot=2, cold=True), told(1.2, {W1: ("ready", 2)})]
    load = [
        rec(
            6 + n / 10,
            "arrive",
            "replicas-hall-a",
            replica=W1,
            relay="r1",
            tx=f"c{n}.1",
            work=work,
            warmth=warmth,
            boot=2,
        )
        for n in range(10)
    ]
    fell = [rec(6.9, "fell", "replicas-hall-a", replica=W1)] if part > 1 else []
    rule = judge(*start(), *begin, *load, *fell)["cold"]
    assert rule.state == state and abs(rule.limit_used - part) < 0.01
    early = [{**r, "t": r["t"] - round(4.75 * S)} for r in (*load, *fell)]  # before the governor could know
    assert judge(*start(), *begin, *early)["cold"].state == "kept"


def test_rule_6_by_the_workers_effects() -> None:
    def effect(at: float, tx: str, cell: str, gen: int) -> Rec:
        return rec(at, "effect", "replicas-hall-a", replica=W1, tx=tx, tenant="inn", cell=cell, gen=gen)

    def answer(tx: str) -> Rec:
        return rec(
            9,
            "transaction",
            "clients",
            tx=tx,
            relay="r1",
            cls="booking-commit",
            began=T0,
            status=200,
            sends=1,
            tenant="inn",
        )

    moved = [effect(1, "c1.1", "A", 1), effect(2, "c2.1", "A", 1), effect(3, "c3.1", "B", 2)]
    over = msgspec.structs.replace(PLAN, cells=("A", "B"))
    assert judge(*start(), *moved, answer("c3"), over=over)["moves"].state == "kept"
    rule = judge(*start(), *moved, effect(4, "c4.1", "A", 1), over=over)["moves"]
    assert rule.state == "broken" and "generation 1 at A after 2 at B" in rule.violations[0].description
    rule = judge(*start(), *moved, effect(4, "c2.2", "B", 2), over=over)["moves"]
    assert rule.state == "broken" and "written twice" in rule.violations[0].description
    rule = judge(*start(), *moved, answer("c5"), over=over)["moves"]
    assert rule.state == "broken" and "never written" in rule.violations[0].description


@pytest.mark.parametrize(("over", "state"), [(0, "kept"), (1, "broken")])
def test_rule_5_by_lines_in_the_channel(over: int, state: str) -> None:
    table = {f"x{n}": 1.0 for n in range(int(RULES.queue_limit / 2 - RULES.message_head - 1))}
    some = [applied(5 + n, n, feed.BindDelta(0, ("rate-check",), table), ordered=5, reply=1) for n in (1, 2)]
    extra = [applied(8, 3, ordered=5, reply=1)] * over
    rule = judge(*start(), *some, *extra)["queue"]
    assert rule.state == state and (over or abs(rule.limit_used - 1) < 0.001)


@pytest.mark.parametrize(("over", "state"), [(0, "kept"), (1, "broken")])
def test_rule_5_by_messages_to_one_relay(over: int, state: str) -> None:
    number = RULES.message_limit + over
    some = [applied(5 + n * 0.1, n + 1) for n in range(number)]
    rule = judge(*start(), *some)["queue"]
    assert rule.state == state and abs(rule.limit_used - number / RULES.message_limit) < 0.001


def test_rule_5_trusts_no_stamp_that_the_pace_belies() -> None:
    bind = feed.BindDelta(0, ("rate-check",), {f"x{n}": 1.0 for n in range(594)})  # a message of 600 lines
    for last, state in ((5.39, "broken"), (5.401, "kept")):  # 1,200 lines need 0.4 s
        some = [applied(5.201, 1, bind, ordered=5), applied(last, 2, bind, ordered=5, reply=1)]
        assert judge(*start(), *some)["queue"].state == state
    stamp = applied(5, 1, ordered=5.2)
    assert judge(*start(), stamp)["queue"].state == "broken"


def test_placement_and_records_that_are_not_whole() -> None:
    bad = build_plan(read_scenario(ROOT / "scenarios" / "bad-day.kdl"), 1)
    far = next(r.name for r in bad.replicas if r.zone == "hall-c")
    records = [rec(0, "relay_up", relay="r1", standing={}), *tried(1, "c1.1", far)]
    assert judge(*records, over=bad)["placement"].state == "broken"
    rules = judge(*start(), *tried(1, "c1.1", W1), whole=False)
    assert {r.state for r in rules.values()} == {"not judged"}
    failed = rec(3, "stand_in_failed", reason="x")
    verdict = check(PLAN, [*start(), failed, *[rec(9, "ended", role) for role in PLAN.controls]])
    assert not verdict.is_passed and "failed" in verdict.reason


def test_a_hurried_day_is_the_same_script_in_less_time_under_the_same_rules() -> None:
    plan = build_plan(read_scenario(ROOT / "scenarios" / "bad-day.kdl"), 1)
    fast = speed_up_plan(plan, 4.0)
    assert fast.length * 4 == plan.length and fast.rules == plan.rules and fast.classes == plan.classes
    assert [(s.role, s.do) for s in fast.steps] == [(s.role, s.do) for s in plan.steps]
    assert all(abs(4 * a.at - b.at) <= 2 for a, b in zip(fast.steps, plan.steps, strict=True))


def test_a_record_cut_by_a_kill_is_left_out_and_a_bad_one_is_named(tmp_path: Path) -> None:
    path = tmp_path / "relays.jsonl"
    path.write_bytes(b'{"t":1,"e":"a"}\n{"t":2,"e"')
    stored = {"t": 1, "e": "a", "role": "relays"}
    assert load_records(tmp_path) == [Record(time_us=1, role="relays", event=OtherEvent(), stored=stored)]
    path.write_bytes(b'{"t":1,"e":"a"}\nnonsense\n')
    with pytest.raises(ValueError, match="relays.jsonl:2"):
        load_records(tmp_path)
