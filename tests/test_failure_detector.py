"""Tests of the failure detector: states of members, isolation, and the order of health checks."""

from __future__ import annotations

import msgspec
import pytest

from gradehoist.coordination.members import FailureDetector, MemberState, ReachabilityReport
from gradehoist.coordination.records import MemberRecord

SECOND_US = 1_000_000


def member(number: int, incarnation: str = "", generation: int = 1) -> MemberRecord:
    return MemberRecord(
        role="g",
        name=f"m{number}",
        zone="x",
        incarnation=incarnation or f"run{number}",
        generation=generation,
        address=f"127.0.0.1:{7000 + number}",
    )


def key(number: int) -> str:
    return f"members/g/m{number}"


def detector_of(count: int = 5) -> FailureDetector:
    """Returns the detector of member 0 in a fleet of `count` members."""
    detector = FailureDetector(key(0), lost_after_us=3 * SECOND_US, check_interval_us=SECOND_US // 10, seed=1)
    for number in range(count):
        detector.update_member(0, key(number), member(number))
    return detector


def fail_check(detector: FailureDetector, now_us: int, *numbers: int) -> None:
    for number in numbers:
        detector.record_health_check(now_us, key(number), 1, succeeded=False)


def state_of(detector: FailureDetector, now_us: int, number: int) -> MemberState:
    return detector.evaluate(now_us)[key(number)].state


def test_member_is_suspected_then_unreachable_locally_and_then_unreachable_by_majority() -> None:
    detector = detector_of()
    fail_check(detector, SECOND_US, 1)
    # A single failed health check is not enough.
    assert state_of(detector, SECOND_US, 1) is MemberState.ALIVE
    fail_check(detector, 2 * SECOND_US, 1)
    assert state_of(detector, 2 * SECOND_US, 1) is MemberState.SUSPECTED
    assert state_of(detector, 5 * SECOND_US, 1) is MemberState.UNREACHABLE_LOCALLY
    assert detector.build_report(5 * SECOND_US) == ReachabilityReport((key(1),))

    detector.update_report(key(2), ReachabilityReport((key(1),)))
    detector.update_report(key(3), ReachabilityReport())
    detector.update_report(key(4), ReachabilityReport())
    assert state_of(detector, 5 * SECOND_US, 1) is MemberState.UNREACHABLE_LOCALLY
    detector.update_report(key(3), ReachabilityReport((key(1),)))
    assert state_of(detector, 6 * SECOND_US, 1) is MemberState.UNREACHABLE_BY_MAJORITY

    detector.record_health_check(6 * SECOND_US, key(1), 1, succeeded=True)
    assert state_of(detector, 6 * SECOND_US, 1) is MemberState.UNREACHABLE_BY_MAJORITY
    detector.update_report(key(2), ReachabilityReport())
    assert state_of(detector, 6 * SECOND_US, 1) is MemberState.ALIVE


def test_process_that_cannot_reach_most_members_is_isolated_and_its_report_is_ignored() -> None:
    isolated = detector_of()
    for now_us in (SECOND_US, 2 * SECOND_US):
        fail_check(isolated, now_us, 1, 2, 3)
    assert isolated.is_isolated()
    assert isolated.build_report(9 * SECOND_US).is_isolated

    other = detector_of()
    report = ReachabilityReport((key(1), key(2), key(4)), is_isolated=True)
    other.update_report(key(3), report)
    other.update_report(key(2), report)
    assert state_of(other, SECOND_US, 1) is MemberState.ALIVE


def test_member_whose_record_was_deleted_is_suspected_and_has_not_ended_while_it_responds() -> None:
    detector = detector_of()
    detector.record_health_check(SECOND_US, key(1), 1, succeeded=True)
    fail_check(detector, SECOND_US, 2)
    detector.update_member(SECOND_US, key(1), None)
    detector.update_member(SECOND_US, key(2), None)
    assert state_of(detector, 2 * SECOND_US, 1) is MemberState.SUSPECTED
    assert state_of(detector, 2 * SECOND_US, 2) is MemberState.SUSPECTED
    assert state_of(detector, 5 * SECOND_US, 1) is MemberState.SUSPECTED
    assert state_of(detector, 5 * SECOND_US, 2) is MemberState.ENDED


def test_new_incarnation_is_alive_and_records_of_older_ones_change_nothing() -> None:
    detector = detector_of()
    fail_check(detector, SECOND_US, 2)
    detector.update_member(SECOND_US, key(2), None)
    assert state_of(detector, 5 * SECOND_US, 2) is MemberState.ENDED

    detector.update_member(6 * SECOND_US, key(2), member(2, incarnation="later", generation=2))
    detector.update_member(6 * SECOND_US, key(2), member(2))
    # This health check was sent to the older incarnation.
    fail_check(detector, 6 * SECOND_US, 2)

    assert state_of(detector, 6 * SECOND_US, 2) is MemberState.ALIVE
    assert detector.tracked[key(2)].failed_checks == 0


@pytest.mark.parametrize("count", [3, 1_100])
def test_all_members_are_checked_in_turn_at_the_same_rate_in_any_fleet(count: int) -> None:
    detector = detector_of(count)
    interval_us = SECOND_US // 10
    check_count = 2 * (count - 1)

    checked = [detector.next_member_to_check(number * interval_us) for number in range(check_count)]

    names = [member.name for member in checked if member is not None]
    assert sorted(names) == sorted(2 * [f"m{number}" for number in range(1, count)])
    assert detector.next_member_to_check((check_count - 1) * interval_us + 1) is None


def test_report_keeps_its_encoded_names() -> None:
    report = ReachabilityReport(unreachable=("members/g/m1",), is_isolated=True)
    assert msgspec.json.encode(report) == b'{"lost":["members/g/m1"],"cut":true}'
