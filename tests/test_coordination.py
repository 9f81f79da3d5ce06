"""Tests of participants and elections with a simulated store, a virtual clock and seeded faults."""

from __future__ import annotations

from functools import partial

import pytest

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.notifications import (
    CommitOutcome,
    CommitSettled,
    FleetJoined,
    ProcessFenced,
    ProcessSuperseded,
    RecordDecodeFailed,
    SessionEnded,
    SessionSuspended,
    StoreCapacityExhausted,
)
from gradehoist.coordination.records import GENERATION_FLOORS_KEY, MemberRecord
from gradehoist.coordination.requests import ReadRecords
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.linearizability import find_linearizability_violations
from gradehoist.history.records import Effect
from tests.support.simulated_store import SECOND_US, Faults, Guard
from tests.support.store_simulation import COUNTER_KEY, RESOURCE, StoreSimulation


def assert_no_effect_violation(simulation: StoreSimulation) -> None:
    violations = find_fencing_violations(simulation.entries) + find_duplicate_effects(simulation.entries)
    assert not violations, violations[0]


def assert_no_violation(simulation: StoreSimulation) -> None:
    violations = find_linearizability_violations(simulation.entries)
    assert not violations, violations[0]
    assert_no_effect_violation(simulation)


def stored_counter(simulation: StoreSimulation) -> int:
    (entry,) = simulation.keyspace.read_range(COUNTER_KEY.encode())
    _, _, value = entry.value.partition(b"\0")
    return int(value)


def choose_faults(simulation: StoreSimulation) -> Faults:
    choose = simulation.random.choice
    return Faults(
        lost_responses=choose((0, 0.1, 0.4)),
        lost_requests=choose((0, 0.1, 0.4)),
        repeated_events=choose((0, 0.5)),
        broken_watches=choose((0, 0.3)),
        is_unreachable=simulation.random.random() < 0.1,
        max_delay_us=choose((SECOND_US // 50, SECOND_US // 2, 2 * SECOND_US)),
    )


@pytest.mark.parametrize("seed", range(40))
def test_history_is_linearizable_and_effects_are_fenced_under_random_faults(seed: int) -> None:
    simulation = StoreSimulation(seed, process_count=4)
    simulation.run_for(5)
    choose = simulation.random.choice
    for step in range(120):
        if step % 10 == 0:
            simulation.store.faults = choose_faults(simulation)
        if simulation.random.random() < 0.1:
            simulation.keyspace.compact(simulation.random.randrange(10))
        paused = choose(simulation.processes)
        if simulation.random.random() < 0.15:
            simulation.pause(paused)
            pause_us = simulation.random.randrange(12 * SECOND_US)
            simulation.schedule(pause_us, partial(simulation.resume, paused))
        simulation.increment_counter(choose(simulation.processes))
        simulation.act_as_leader(choose(simulation.processes), choose((0, SECOND_US, 10 * SECOND_US)))
        simulation.run_for(simulation.random.random() * 2)

    simulation.store.faults = Faults()
    simulation.run_for(60)
    for process in simulation.processes:
        assert process.participant.is_joined
        assert not process.participant.has_pending_commits
    assert len(simulation.leaders) == 1
    for _ in range(4):
        simulation.act_as_leader(simulation.leaders[0])
        simulation.run_for(1)
    last_effect = [entry for entry in simulation.entries if isinstance(entry, Effect)][-1]
    assert last_effect.holder == simulation.leaders[0].participant.identity.incarnation
    assert_no_violation(simulation)


def test_paused_leader_has_effects_after_its_successor_only_without_the_fence() -> None:
    """The first leader is paused for 30 s within a step and then continues it.

    Its lease does not prevent the effect, because it has read its token before the pause.
    """
    violations = {}
    for disabled_guard in (None, Guard.TOKEN_AT_EFFECT):
        simulation = StoreSimulation(1, process_count=2, disabled_guard=disabled_guard)
        simulation.run_for(10)
        (first,) = simulation.leaders
        simulation.act_as_leader(first, duration_us=SECOND_US)
        simulation.pause(first)
        simulation.run_for(30)
        successor = simulation.leaders[-1]
        assert successor is not first

        simulation.act_as_leader(successor)
        simulation.run_for(1)
        simulation.resume(first)
        simulation.run_for(20)

        violations[disabled_guard] = find_fencing_violations(simulation.entries)
        assert first.token is None
        assert first.participant.is_joined
        assert first.notifications_of(SessionEnded)
    assert not violations[None]
    assert "took effect after" in str(violations[Guard.TOKEN_AT_EFFECT][0])


def test_commit_with_lost_response_is_recognized_as_committed() -> None:
    simulation = StoreSimulation(3, process_count=1)
    simulation.run_for(5)
    (process,) = simulation.processes
    simulation.store.faults = Faults(lost_responses=1.0)
    simulation.increment_counter(process)
    simulation.run_for(3)
    assert simulation.keyspace.read_range(COUNTER_KEY.encode())
    assert process.increment_id

    simulation.store.faults = Faults()
    commit_id = process.increment_id
    simulation.run_for(20)

    assert process.outcomes_of(commit_id) == [CommitOutcome.COMMITTED]
    assert stored_counter(simulation) == 1


def test_overwritten_commit_is_recognized_by_its_id_in_the_watch() -> None:
    simulation = StoreSimulation(4, process_count=2)
    simulation.run_for(10)
    first, second = simulation.processes
    simulation.store.faults = Faults(lost_responses=1.0)
    simulation.increment_counter(first)
    simulation.run_for(0.5)
    simulation.store.faults = Faults()
    commit_id = first.increment_id
    simulation.pause(first)
    simulation.run_for(0.5)
    simulation.increment_counter(second)
    simulation.run_for(1)

    simulation.resume(first)
    simulation.run_for(10)

    assert first.outcomes_of(commit_id) == [CommitOutcome.COMMITTED]
    assert stored_counter(simulation) == 2


def test_stale_reads_are_neither_applied_nor_taken_for_a_rollback() -> None:
    simulation = StoreSimulation(5, process_count=3)
    simulation.run_for(10)
    simulation.store.faults = Faults(stale_reads=0.6, broken_watches=0.5)
    for step in range(60):
        simulation.increment_counter(simulation.processes[step % 3])
        simulation.keyspace.compact(2)
        simulation.run_for(0.5)

    simulation.store.faults = Faults()
    simulation.run_for(20)

    counts = [process.participant.decode_record(COUNTER_KEY, int) for process in simulation.processes]
    assert len(set(counts)) == 1
    assert counts[0] is not None
    assert counts[0] > 10
    assert not any(process.notifications_of(ProcessFenced) for process in simulation.processes)


def test_rollback_fences_all_processes_and_generations_continue_above_the_known_ones() -> None:
    simulation = StoreSimulation(6, process_count=3)
    simulation.run_for(10)
    snapshot = simulation.keyspace.snapshot()
    # Each change of the leader issues a generation that the snapshot does not contain.
    for _ in range(3):
        (leader,) = simulation.leaders
        simulation.act_as_leader(leader)
        simulation.pause(leader)
        simulation.run_for(15)
        simulation.resume(leader)
        simulation.run_for(5)
    (leader,) = simulation.leaders
    simulation.act_as_leader(leader)
    simulation.run_for(1)
    known = simulation.fence.highest_tokens[RESOURCE]
    assert known.generation >= 4

    simulation.restore_snapshot(snapshot)
    simulation.run_for(30)

    for process in simulation.processes:
        assert len(process.notifications_of(ProcessFenced)) == 1
        assert process.participant.is_joined
    (leader,) = simulation.leaders
    assert leader.token is not None
    assert leader.token.generation > known.generation
    simulation.act_as_leader(leader)
    simulation.run_for(1)
    assert simulation.fence.highest_tokens[RESOURCE] == leader.token
    floors = leader.participant.decode_record(GENERATION_FLOORS_KEY, dict[str, int])
    assert floors is not None
    assert any(key.startswith("rights/") for key in floors)
    assert_no_effect_violation(simulation)


def test_rollback_is_detected_by_the_last_known_change_if_the_store_has_a_higher_revision() -> None:
    """The revision alone does not show the rollback, because it is higher than any that the process knows."""
    simulation = StoreSimulation(7, process_count=3)
    simulation.run_for(10)
    snapshot = simulation.keyspace.snapshot()
    first, second, third = simulation.processes
    simulation.increment_counter(second)
    simulation.run_for(5)
    simulation.pause(first)
    revision_before = first.participant.cache.revision
    simulation.restore_snapshot(snapshot)
    simulation.run_for(10)
    while simulation.keyspace.revision < revision_before + 5:
        simulation.increment_counter(third)
        simulation.run_for(1)
    simulation.keyspace.extend_leases(simulation.now_us)

    simulation.resume(first)
    simulation.run_for(20)

    assert len(first.notifications_of(ProcessFenced)) == 1
    assert first.participant.is_joined
    first_count = first.participant.decode_record(COUNTER_KEY, int)
    assert first_count == third.participant.decode_record(COUNTER_KEY, int)


def test_conflicting_generation_is_rejected_with_the_effect_and_a_higher_one_is_claimed() -> None:
    """No process that knew of generation 9 survived a rollback, so only the receiver of effects knows it."""
    simulation = StoreSimulation(8, process_count=1)
    simulation.run_for(10)
    (process,) = simulation.processes
    simulation.fence = simulation.fence.present(RESOURCE, FencingToken(9, "earlier holder")).fence

    simulation.act_as_leader(process)
    simulation.run_for(10)

    assert process.token is not None
    assert process.token.generation == 10
    simulation.act_as_leader(process)
    simulation.run_for(1)
    assert simulation.fence.highest_tokens[RESOURCE] == process.token


def test_long_outage_ends_no_session_and_processes_return_spread_over_seconds() -> None:
    simulation = StoreSimulation(9, process_count=30)
    simulation.run_for(20)
    (leader,) = simulation.leaders
    joined_before = [len(process.notifications_of(FleetJoined)) for process in simulation.processes]

    simulation.store.faults = Faults(is_unreachable=True)
    simulation.run_for(240)
    for process in simulation.processes:
        assert process.notifications_of(SessionSuspended)
        assert not process.participant.is_joined
    requests_before = simulation.request_counts.total()
    simulation.run_for(10)
    requests_in_outage = simulation.request_counts.total() - requests_before
    # Each process has two callers, and each of them makes at most one request in 1.5 s.
    assert requests_in_outage <= 30 * 2 * 10 / 1.5 + 60

    # After an outage the store extends all sessions, as etcd does after an election of its leader, and the
    # store in a folder does after it was suspended.
    simulation.keyspace.extend_leases(simulation.now_us)
    simulation.store.faults = Faults()
    reads_before = simulation.request_counts[ReadRecords]
    joined_counts = []
    for _ in range(100):
        simulation.run_for(0.1)
        joined_counts.append(sum(process.participant.is_joined for process in simulation.processes))
    assert joined_counts[-1] == 30
    # The processes return over several seconds.
    assert joined_counts[9] < 15
    # Watches continue from the cached revision, without a full read.
    assert simulation.request_counts[ReadRecords] == reads_before
    assert [len(process.notifications_of(FleetJoined)) for process in simulation.processes] == joined_before
    assert simulation.leaders == [leader]


def test_process_whose_session_ended_joins_with_a_higher_generation() -> None:
    simulation = StoreSimulation(10, process_count=2)
    simulation.run_for(10)
    process = simulation.processes[0]
    before = process.participant.fencing_token
    simulation.pause(process)
    simulation.run_for(30)
    assert not simulation.keyspace.read_range(process.participant.identity.member_key.encode())

    simulation.resume(process)
    simulation.run_for(10)

    assert process.participant.is_joined
    assert process.participant.fencing_token.generation == before.generation + 1
    assert process.participant.fencing_token.holder == before.holder


def test_later_of_two_processes_with_the_same_name_stays_and_the_earlier_reports_it_once() -> None:
    simulation = StoreSimulation(11, process_count=2)
    simulation.run_for(5)
    first = simulation.processes[0]
    twin = simulation.start_process("p0", 999, incarnation="p0-second")

    simulation.run_for(30)
    assert twin.participant.is_joined
    assert not first.participant.is_joined
    assert len(first.notifications_of(ProcessSuperseded)) == 1

    simulation.run_for(60)
    assert twin.participant.is_joined
    assert len(first.notifications_of(ProcessSuperseded)) == 1


def test_full_store_rejects_commits_and_the_session_continues() -> None:
    simulation = StoreSimulation(12, process_count=2)
    simulation.run_for(10)
    process = simulation.processes[0]

    simulation.store.faults = Faults(is_full=True)
    simulation.increment_counter(process)
    simulation.run_for(10)
    assert process.notifications_of(CommitSettled)[-1].outcome is CommitOutcome.STORE_FULL
    assert process.notifications_of(StoreCapacityExhausted)
    assert process.participant.is_joined

    simulation.store.faults = Faults()
    simulation.increment_counter(process)
    simulation.run_for(5)
    assert process.participant.decode_record(COUNTER_KEY, int) == 1


def test_malformed_record_affects_no_other_record_and_is_reported_once() -> None:
    simulation = StoreSimulation(13, process_count=1)
    simulation.run_for(5)
    (process,) = simulation.processes
    participant = process.participant
    simulation.store.write_directly(b"members/actor/malformed", b"t\0{not json")
    simulation.run_for(5)

    for _ in range(3):
        members = {
            key: participant.decode_record(key, MemberRecord)
            for key in participant.cache.records
            if key.startswith("members/")
        }

    assert [key for key, member in members.items() if member is not None] == ["members/actor/p0"]
    notifications = process.notifications + participant.take_notifications()
    undecodable_keys = [n.key for n in notifications if isinstance(n, RecordDecodeFailed)]
    assert undecodable_keys == ["members/actor/malformed"]


def test_graceful_shutdown_ends_the_session_at_once() -> None:
    simulation = StoreSimulation(14, process_count=2)
    simulation.run_for(5)
    process = simulation.processes[0]

    process.participant.leave()
    simulation.run_for(1)

    assert process.participant.has_left
    assert not simulation.keyspace.read_range(process.participant.identity.member_key.encode())
