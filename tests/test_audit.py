"""Tests of the checkers of scenario runs: for each rule, records that only just keep or break it."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from gradehoist.protocol import feed
from gradehoist.scenario.checks.records import OtherEvent, Record, StoredRecord, load_records
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan, speed_up_plan
from tests.support.stored_records import (
    BEGIN_US,
    GRACE_S,
    PLAN,
    REPLICAS,
    RULES,
    SCENARIOS,
    SECOND_US,
    W1,
    W4,
    Work,
    applied,
    arrived,
    check_complete,
    check_stored,
    effect,
    ended,
    joined,
    lost,
    notified,
    notified_of_all,
    sent,
    started_run,
    stored,
)

CELLS_PLAN = msgspec.structs.replace(PLAN, cells=("A", "B"))
WITHDRAW_BOTH = (feed.WithdrawalDelta(W1), feed.WithdrawalDelta(W4))
RETRIED = (*sent(1, "c1.1", W1), *sent(3, "c1.1", W4, number=1))
SHED_AT_W1 = stored(1.02, "turned_away", REPLICAS, replica=W1, tx="c1.1")
EFFECT_AT_W1 = effect(2, "c1.1", W1)
EFFECT_AT_W4 = effect(4, "c1.1", W4)
WRITES_OF_A_MIGRATED_TENANT = (
    effect(1, "c1.1", W1, tenant="inn", cell="A", gen=1),
    effect(2, "c2.1", W1, tenant="inn", cell="A", gen=1),
    effect(3, "c3.1", W1, tenant="inn", cell="B", gen=2),
)


def completed(request: str) -> StoredRecord:
    return stored(
        9,
        "transaction",
        "clients",
        tx=request,
        relay="r1",
        cls="booking-commit",
        began=BEGIN_US,
        status=200,
        sends=1,
        tenant="inn",
    )


# Rule 1


@pytest.mark.parametrize(("excess_s", "state"), [(-0.05, "kept"), (0.05, "broken")])
def test_a_class_without_weights_for_longer_than_the_limit_breaks_rule_1(excess_s: float, state: str) -> None:
    until_s = 5 + RULES.unroutable_limit_us / SECOND_US + excess_s
    withdrawn = applied(5, 1, *WITHDRAW_BOTH)
    restored = applied(until_s, 2, feed.RestorationDelta(W1))
    result = check_complete(*started_run(), withdrawn, restored)["line"]
    assert result.state == state
    assert abs(result.limit_used - 1) < 0.03
    assert state == "kept" or result.violations[0].proxy == "r1"


def test_rule_1_does_not_apply_while_no_replica_is_listed() -> None:
    gone = notified_of_all(4, "gone")
    result = check_complete(*started_run(), gone, applied(5, 1, *WITHDRAW_BOTH))["line"]
    assert result.state == "kept"
    assert result.limit_used == 0


def test_rule_1_does_not_apply_while_all_listed_replicas_warm_up() -> None:
    cold_starts = [
        stored(5, "up", REPLICAS, replica=replica.name, boot=2, cold=True) for replica in PLAN.replicas
    ]
    records = [notified_of_all(4, "gone"), applied(5, 1, *WITHDRAW_BOTH), *cold_starts]
    result = check_complete(*started_run(), *records, notified_of_all(6, "ready", 2))["line"]
    assert result.limit_used == 0


# Rule 2


def test_two_effects_of_one_request_break_rule_2() -> None:
    result = check_complete(*started_run(), *RETRIED, EFFECT_AT_W1, EFFECT_AT_W4)["twice"]
    assert result.state == "broken"
    assert "took effect twice" in result.violations[0].description


def test_a_retry_of_an_attempt_that_may_have_run_breaks_rule_2() -> None:
    result = check_complete(*started_run(), *RETRIED)["twice"]
    assert result.state == "broken"
    assert "may have run" in result.violations[0].description


@pytest.mark.parametrize(("rejection_proves_no_effect", "state"), [(True, "kept"), (False, "broken")])
def test_a_retry_of_a_shed_attempt_keeps_rule_2_only_if_a_rejection_proves_that_it_had_no_effect(
    rejection_proves_no_effect: bool, state: str
) -> None:
    plan = msgspec.structs.replace(PLAN, rejection_proves_no_effect=rejection_proves_no_effect)
    results = check_complete(*started_run(), *RETRIED, SHED_AT_W1, EFFECT_AT_W4, plan=plan)
    assert results["twice"].state == state


def test_rule_2_does_not_apply_to_idempotent_requests() -> None:
    first = sent(1, "c2.1", W1, request_class="rate-check")
    retry = sent(3, "c2.1", W4, number=1, request_class="rate-check")
    assert check_complete(*started_run(), *first, *retry)["twice"].state == "not judged"


# Rule 3


@pytest.mark.parametrize(("excess_s", "state"), [(-0.02, "kept"), (0.02, "broken")])
@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_an_attempt_after_the_grace_since_the_notification_breaks_rule_3(
    excess_s: float, state: str, phase: str
) -> None:
    attempt = sent(5 + GRACE_S + excess_s, "c1.1", W1)
    result = check_complete(*started_run(), notified(5, {W1: (phase, 1)}), *attempt)["drain"]
    assert result.state == state
    assert result.occasions == 1


@pytest.mark.parametrize(("excess_s", "state"), [(-0.02, "kept"), (0.02, "broken")])
@pytest.mark.parametrize("phase", ["draining", "gone"])
def test_the_grace_of_rule_3_begins_with_the_stream_if_that_is_later(
    excess_s: float, state: str, phase: str
) -> None:
    reconnected = [lost(9), *sent(9.5, "c2.1", W1), joined(10, stream=2)]
    attempt = sent(10 + GRACE_S + excess_s, "c1.1", W1)
    results = check_complete(*started_run(), notified(5, {W1: (phase, 1)}), *reconnected, *attempt)
    assert results["drain"].state == state


def test_the_grace_of_rule_3_does_not_restart_when_a_draining_replica_is_gone() -> None:
    notifications = [notified(5, {W1: ("draining", 1)}), notified(6, {W1: ("gone", 1)})]
    attempt = sent(5.1 + GRACE_S, "c1.1", W1)
    assert check_complete(*started_run(), *notifications, *attempt)["drain"].state == "broken"


def test_rule_3_allows_attempts_once_the_replica_is_ready_again() -> None:
    phases = [(5, ("draining", 1)), (6, ("gone", 1)), (6.5, ("ready", 2))]
    notifications = [notified(at_s, {W1: endpoint}) for at_s, endpoint in phases]
    attempt = sent(9 + GRACE_S, "c1.1", W1)
    assert check_complete(*started_run(), *notifications, *attempt)["drain"].state == "kept"


def test_rule_3_treats_a_replica_that_is_missing_from_a_snapshot_as_gone() -> None:
    others = {replica.name: ("ready", 1) for replica in PLAN.replicas if replica.name != W1}
    attempt = sent(5.1 + GRACE_S, "c1.1", W1)
    results = check_complete(*started_run(), notified(5, others, is_snapshot=True), *attempt)
    assert results["drain"].state == "broken"


# Rule 4


def warm_up_load(begin_s: float, budget_share: float) -> list[StoredRecord]:
    """Ten arrivals within the window of rule 4, and the crash of the replica if they exceed its budget."""
    replica = next(replica for replica in PLAN.replicas if replica.name == W1)
    warmth = 0.3
    capacity = replica.cores * replica.speed * warmth * 1e-3
    work_ms = budget_share * RULES.overload_multiple * capacity * RULES.overload_window_us / 10
    work = Work(work_ms=work_ms, warmth=warmth, incarnation=2)
    records = [arrived(begin_s + n / 10, f"c{n}.1", W1, work) for n in range(10)]
    if budget_share > 1:
        records.append(stored(begin_s + 0.9, "fell", REPLICAS, replica=W1))
    return records


def cold_start() -> list[StoredRecord]:
    start = stored(1, "up", REPLICAS, replica=W1, boot=2, cold=True)
    return [start, notified(1.2, {W1: ("ready", 2)})]


@pytest.mark.parametrize(("budget_share", "state"), [(0.98, "kept"), (1.02, "broken")])
def test_work_beyond_the_budget_of_a_warming_replica_breaks_rule_4(budget_share: float, state: str) -> None:
    result = check_complete(*started_run(), *cold_start(), *warm_up_load(6, budget_share))["cold"]
    assert result.state == state
    assert abs(result.limit_used - budget_share) < 0.01


@pytest.mark.parametrize("budget_share", [0.98, 1.02])
def test_rule_4_does_not_apply_to_work_sent_before_the_governor_could_know_of_the_start(
    budget_share: float,
) -> None:
    results = check_complete(*started_run(), *cold_start(), *warm_up_load(1.25, budget_share))
    assert results["cold"].state == "kept"


# Rule 6


def test_writes_at_the_cell_of_their_generation_keep_rule_6() -> None:
    records = (*WRITES_OF_A_MIGRATED_TENANT, completed("c3"))
    assert check_complete(*started_run(), *records, plan=CELLS_PLAN)["moves"].state == "kept"


@pytest.mark.parametrize(
    ("record", "description"),
    [
        (effect(4, "c4.1", W1, tenant="inn", cell="A", gen=1), "generation 1 at A after 2 at B"),
        (effect(4, "c2.2", W1, tenant="inn", cell="B", gen=2), "written twice"),
        (completed("c5"), "never written"),
    ],
    ids=["former cell", "duplicate", "lost"],
)
def test_a_write_at_a_former_cell_or_a_duplicate_or_lost_write_breaks_rule_6(
    record: StoredRecord, description: str
) -> None:
    records = (*WRITES_OF_A_MIGRATED_TENANT, record)
    result = check_complete(*started_run(), *records, plan=CELLS_PLAN)["moves"]
    assert result.state == "broken"
    assert description in result.violations[0].description


# Rule 5


@pytest.mark.parametrize(("extra_messages", "state"), [(0, "kept"), (1, "broken")])
def test_more_queued_lines_than_the_limit_break_rule_5(extra_messages: int, state: str) -> None:
    table = {f"x{n}": 1.0 for n in range(int(RULES.queue_limit_lines / 2 - RULES.message_overhead_lines - 1))}
    bind = feed.BindDelta(0, ("rate-check",), table)
    messages = [applied(5 + n, n, bind, created_s=5, reply=1) for n in (1, 2)]
    extra = [applied(8, 3, created_s=5, reply=1)] * extra_messages
    result = check_complete(*started_run(), *messages, *extra)["queue"]
    assert result.state == state
    assert extra_messages or abs(result.limit_used - 1) < 0.001


@pytest.mark.parametrize(("extra_messages", "state"), [(0, "kept"), (1, "broken")])
def test_more_messages_to_one_proxy_than_the_limit_break_rule_5(extra_messages: int, state: str) -> None:
    count = RULES.messages_per_window + extra_messages
    messages = [applied(5 + n * 0.1, n + 1) for n in range(count)]
    result = check_complete(*started_run(), *messages)["queue"]
    assert result.state == state
    assert abs(result.limit_used - count / RULES.messages_per_window) < 0.001


@pytest.mark.parametrize(("last_s", "state"), [(5.39, "broken"), (5.401, "kept")])
def test_messages_faster_than_the_sending_rate_break_rule_5(last_s: float, state: str) -> None:
    # Each message has 600 lines, so that the two need 0.4 s.
    bind = feed.BindDelta(0, ("rate-check",), {f"x{n}": 1.0 for n in range(594)})
    messages = [
        applied(5.201, 1, bind, created_s=5),
        applied(last_s, 2, bind, created_s=5, reply=1),
    ]
    assert check_complete(*started_run(), *messages)["queue"].state == state


def test_a_message_applied_before_its_creation_breaks_rule_5() -> None:
    message = applied(5, 1, created_s=5.2)
    result = check_complete(*started_run(), message)["queue"]
    assert result.state == "broken"
    # The check of the sending rate reports it as well, so there are further violations.
    assert "a message came before its order" in [each.description for each in result.violations]


# Placement, and the completeness of the records


def test_an_attempt_in_a_zone_not_allowed_for_its_class_breaks_the_placement_rule() -> None:
    plan = build_plan(read_scenario(SCENARIOS / "bad-day.kdl"), 1)
    replica_in_other_zone = next(replica.name for replica in plan.replicas if replica.zone == "hall-c")
    started = stored(0, "relay_up", "relays-hall-a", relay="r1", standing={})
    assert (
        check_complete(started, *sent(1, "c1.1", replica_in_other_zone), plan=plan)["placement"].state
        == "broken"
    )


def test_all_rules_are_inconclusive_if_the_records_of_a_process_have_no_end() -> None:
    verdict = check_stored(PLAN, [*started_run(), *sent(1, "c1.1", W1)])
    assert not verdict.is_complete
    assert {result.state for result in verdict.results} == {"not judged"}


def test_a_run_in_which_a_test_double_failed_does_not_pass() -> None:
    failed = stored(3, "stand_in_failed", "relays-hall-a", reason="x")
    verdict = check_stored(PLAN, [*started_run(), failed, *ended(9)])
    assert not verdict.has_passed
    assert "failed" in verdict.reason


def test_a_record_truncated_by_a_kill_is_ignored(tmp_path: Path) -> None:
    (tmp_path / "relays.jsonl").write_bytes(b'{"t":1,"e":"a"}\n{"t":2,"e"')
    evidence = {"t": 1, "e": "a", "role": "relays"}
    expected = Record(time_us=1, role="relays", event=OtherEvent(), stored=evidence)
    assert load_records(tmp_path) == [expected]


@pytest.mark.parametrize("line", [b"nonsense", b'{"t":1}', b'{"e":"a"}', b'{"t":1,"e":"killed"}'])
def test_the_error_for_an_invalid_record_contains_its_file_and_line(tmp_path: Path, line: bytes) -> None:
    (tmp_path / "relays.jsonl").write_bytes(b'{"t":1,"e":"a"}\n' + line + b"\n")
    with pytest.raises(ValueError, match=r"relays\.jsonl:2"):
        load_records(tmp_path)


def test_a_faster_plan_has_the_same_steps_in_less_time_under_the_same_rules() -> None:
    plan = build_plan(read_scenario(SCENARIOS / "bad-day.kdl"), 1)
    fast = speed_up_plan(plan, 4.0)
    assert fast.length_us * 4 == plan.length_us
    assert fast.rules == plan.rules
    assert fast.classes == plan.classes
    assert [(step.role, step.command) for step in fast.steps] == [
        (step.role, step.command) for step in plan.steps
    ]
    pairs = zip(fast.steps, plan.steps, strict=True)
    assert all(abs(4 * fast_step.at_us - step.at_us) <= 2 for fast_step, step in pairs)
