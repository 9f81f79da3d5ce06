"""Agents, rights, members and what was agreed, under a virtual clock and faults drawn from a seed."""

from __future__ import annotations

from functools import partial

import pytest

from gradehoist.coordination.agent import GENERATION_FLOORS_KEY, MemberRecord, Participant, ProcessIdentity
from gradehoist.coordination.fallback import AgreedLimits
from gradehoist.coordination.fencing import Fence, FencingToken
from gradehoist.coordination.members import FailureDetector, MemberState, ReachabilityReport
from gradehoist.coordination.store import (
    CommitRejected,
    Committed,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    Record,
    RecordTooLargeError,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
)
from gradehoist.coordination.watch_cache import (
    RevisionGapError,
    StaleReadError,
    StoreRolledBackError,
    WatchCache,
)
from gradehoist.history import linearizability
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.records import Effect
from tests.support.store_simulation import SECOND, TTL, Faults, Process, World


def holders(world: World) -> list[Process]:
    return [p for p in world.processes if p.claim.fencing_token is not None and p.agent.is_joined]


def judged(world: World) -> None:
    assert not (bad := linearizability.find_linearizability_violations(world.lines)), bad[0]
    assert not (wrong := find_fencing_violations(world.lines) + find_duplicate_effects(world.lines)), wrong[0]


@pytest.mark.parametrize("seed", range(40))
def test_any_faults_leave_one_order_of_the_register_and_of_the_effects(seed: int) -> None:
    world = World(seed, 4)
    world.run(5)
    for n in range(120):
        d = world.dice
        if n % 10 == 0:
            world.faults = Faults(
                lose=d.choice((0, 0.1, 0.4)),
                drop=d.choice((0, 0.1, 0.4)),
                repeat=d.choice((0, 0.5)),
                cut=d.choice((0, 0.3)),
                away=d.random() < 0.1,
                pace=d.choice((SECOND // 50, SECOND // 2, 2 * SECOND)),
            )
        if d.random() < 0.1:
            world.space.compact(d.randrange(10))
        p = d.choice(world.processes)
        if d.random() < 0.15:
            world.stop(p)
            world.later(d.randrange(12 * SECOND), partial(world.go_on, p))
        world.count(d.choice(world.processes))
        world.act(d.choice(world.processes), d.choice((0, SECOND, 10 * SECOND)))
        world.run(d.random() * 2)
    world.faults = Faults()
    world.run(60)
    assert (
        all(p.agent.is_joined and not p.agent.pending_commits for p in world.processes)
        and len(holders(world)) == 1
    )
    for _ in range(4):
        world.act(holders(world)[0])
        world.run(1)
    last = [x for x in world.lines if isinstance(x, Effect)][-1]
    assert last.holder == holders(world)[0].agent.identity.incarnation
    judged(world)


def test_without_the_check_at_the_effect_one_that_stood_still_acts_beside_its_successor() -> None:
    """A lease trusted: the first holder looks, stands still for 30 s, goes on in the middle of its step."""
    found = []
    for guard in ("", "generation at the effect"):
        world = World(1, 2, without=guard)
        world.run(10)
        (first,) = holders(world)
        world.act(first, pause=SECOND)
        world.stop(first)
        world.run(30)
        (other,) = holders(world)[-1:]
        assert other is not first
        world.act(other)
        world.run(1)
        world.go_on(first)
        world.run(20)
        found.append(find_fencing_violations(world.lines))
        assert (
            first.claim.fencing_token is None
            and first.agent.is_joined
            and [n.kind for n in first.told("ended")]
        )
    assert not found[0]
    assert "took effect after" in str(found[1][0])


def test_a_commit_whose_answer_was_lost_is_read_back_and_told_as_done() -> None:
    world = World(3, 1)
    world.run(5)
    (p,) = world.processes
    world.faults = Faults(lose=1.0)
    world.count(p)
    world.run(3)
    assert world.space.range(b"counter") and p.counting
    world.faults = Faults()
    token = p.counting
    world.run(20)
    assert [n.fields["how"] for n in p.told("settled") if n.fields["token"] == token] == ["done"]
    assert world.space.range(b"counter")[0].value.endswith(b"\0" + b"1")


def test_a_commit_overwritten_by_another_is_known_by_its_token_in_the_watch() -> None:
    world = World(4, 2)
    world.run(10)
    a, b = world.processes
    world.faults = Faults(lose=1.0)
    world.count(a)
    world.run(0.5)
    world.faults = Faults()
    token = a.counting
    world.stop(a)
    world.run(0.5)
    world.count(b)
    world.run(1)
    world.go_on(a)
    world.run(10)
    assert [n.fields["how"] for n in a.told("settled") if n.fields["token"] == token] == ["done"]
    assert world.space.range(b"counter")[0].value.endswith(b"\0" + b"2")


def ready() -> Participant:
    """Joined at revision 5, with a watch under way as call 5."""
    agent = Participant(ProcessIdentity("a", "b", "x", "run"), TTL, 1)
    asked = {ask.operation: ask for ask in agent.take_due_requests(0)}
    agent.handle_response(1, asked["read"].request_id, StoreSnapshot("one", 4, ()))
    for what, answer in (("open", "s"), ("commit", Committed(5))):
        asked = {ask.operation: ask for ask in agent.take_due_requests(SECOND)}
        agent.handle_response(SECOND, asked[what].request_id, answer)
    return agent


@pytest.mark.parametrize("how", ["done", "refused", "unknown"])
def test_of_a_commit_overwritten_the_watch_tells_and_where_it_cannot_nobody_guesses(how: str) -> None:
    agent = ready()
    token = agent.propose(Put("k", b"mine", 0))
    other = Record("k", b"other", 7, "other:1")
    now = 0
    for answer in (OutcomeUnknownError("lost"), CommitRejected(7, (other,))):
        now += 100 * SECOND
        (ask,) = [a for a in agent.take_due_requests(now) if a.operation == "commit"]
        if isinstance(answer, OutcomeUnknownError):
            agent.handle_failure(now, ask.request_id, answer)
        else:
            agent.handle_response(now, ask.request_id, answer)
    assert not [n for n in agent.notifications if n.kind == "settled"]  # nothing is known yet
    watch = next(number for number, (_, ask, _) in agent._calls.items() if ask.operation == "watch")
    mine = WatchEvent("k", 6, Record("k", b"mine", 6, token))
    if how == "unknown":
        agent.handle_failure(now, watch, HistoryCompactedError("gone"))
        (read,) = [a for a in agent.take_due_requests(300 * SECOND) if a.operation == "read"]
        agent.handle_response(300 * SECOND, read.request_id, StoreSnapshot("one", 7, (other,)))
    else:
        events = (mine,) * (how == "done") + (WatchEvent("k", 7, other),)
        agent.handle_response(now, watch, WatchBatch("one", 4, 7, events))
    agent.take_due_requests(400 * SECOND)
    (settled,) = [n for n in agent.notifications if n.kind == "settled"]
    assert settled.fields["token"] == token and settled.fields["how"] == how


def test_stale_reads_are_not_taken_in_and_no_reason_to_fence() -> None:
    world = World(5, 3)
    world.run(10)
    world.faults = Faults(stale=0.6, cut=0.5)
    for n in range(60):
        world.count(world.processes[n % 3])
        world.space.compact(2)
        world.run(0.5)
    world.faults = Faults()
    world.run(20)
    seen = [p.agent.decode_record("counter", int) for p in world.processes]
    assert len(set(seen)) == 1 and seen[0] > 10
    assert not any(p.told("fenced") for p in world.processes)


def test_a_register_that_went_back_fences_all_and_generations_go_on_above_those_known() -> None:
    world = World(6, 3)
    world.run(10)
    kept = world.space.snapshot()
    for _ in range(3):  # generations that the snapshot does not know
        (holder,) = holders(world)
        world.act(holder)
        world.stop(holder)
        world.run(15)
        world.go_on(holder)
        world.run(5)
    (holder,) = holders(world)
    world.act(holder)
    world.run(1)
    known = world.gate.highest_tokens["job"]
    assert known.generation >= 4
    world.restore(kept)
    world.run(30)
    assert all(len(p.told("fenced")) == 1 and p.agent.is_joined for p in world.processes)
    (holder,) = holders(world)
    assert holder.claim.fencing_token is not None and holder.claim.fencing_token.generation > known.generation
    world.act(holder)
    world.run(1)
    assert world.gate.highest_tokens["job"] == holder.claim.fencing_token
    assert any(
        k.startswith("rights/") for k in holder.agent.decode_record(GENERATION_FLOORS_KEY, dict[str, int])
    )
    judged_effects = find_fencing_violations(world.lines) + find_duplicate_effects(world.lines)
    assert not judged_effects


def test_a_register_that_went_back_and_on_past_what_is_known_shows_by_the_change_seen_last() -> None:
    """The revision alone says nothing here: it is higher than any that the process knew."""
    world = World(7, 3)
    world.run(10)
    early = world.space.snapshot()
    a, b, c = world.processes
    world.count(b)
    world.run(5)
    world.stop(a)
    before = a.agent.cache.revision
    world.restore(early)
    world.run(10)
    while world.space.revision < before + 5:
        world.count(c)
        world.run(1)
    world.space.extend(world.now)
    world.go_on(a)
    world.run(20)
    assert len(a.told("fenced")) == 1 and a.agent.is_joined
    assert a.agent.decode_record("counter", int) == c.agent.decode_record("counter", int)


def test_a_rival_generation_is_refused_where_it_takes_effect_and_outrun() -> None:
    """Nobody who knew of generation 9 lived through the going back: the taker of effects tells of it."""
    world = World(8, 1)
    world.run(10)
    (p,) = world.processes
    gate, _ = world.gate.present("job", FencingToken(9, "somebody before"))
    world.gate = gate
    world.act(p)
    world.run(10)
    assert p.claim.fencing_token is not None and p.claim.fencing_token.generation == 10
    world.act(p)
    world.run(1)
    assert world.gate.highest_tokens["job"] == p.claim.fencing_token


def test_the_register_away_for_minutes_costs_nothing_that_was_held_and_no_herd_comes_back() -> None:
    world = World(9, 30)
    world.run(20)
    (holder,) = holders(world)
    joined = [len(p.told("joined")) for p in world.processes]
    world.faults = Faults(away=True)
    world.run(240)
    assert all(p.told("doubt") and not p.agent.is_joined for p in world.processes)
    asked = dict(world.asked)
    world.run(10)
    quiet = sum(world.asked.values()) - sum(asked.values())
    assert quiet <= 30 * 2 * 10 / 1.5 + 60  # each of two activities once in 1.5 s at the most
    world.space.extend(world.now)  # as engines do after an election, and the embedded home after a standstill
    world.faults = Faults()
    reads = world.asked["read"]
    came = list[int]()
    for _ in range(100):
        world.run(0.1)
        came.append(sum(p.agent.is_joined for p in world.processes))
    assert came[-1] == 30 and came[9] < 15  # over seconds, not at once
    assert world.asked["read"] == reads  # watches go on from where they were: nobody reads the whole
    assert [len(p.told("joined")) for p in world.processes] == joined and holders(world) == [holder]


def test_a_session_that_ended_while_it_stood_still_begins_a_new_one_under_a_higher_generation() -> None:
    world = World(10, 2)
    world.run(10)
    p = world.processes[0]
    was = p.agent.fencing_token
    world.stop(p)
    world.run(30)
    assert not world.space.range(p.agent.identity.member_key.encode())
    world.go_on(p)
    world.run(10)
    assert (
        p.agent.is_joined
        and p.agent.fencing_token.generation == was.generation + 1
        and p.agent.fencing_token.holder == was.holder
    )


def test_of_two_processes_of_one_name_the_later_goes_on_and_the_earlier_says_so() -> None:
    world = World(11, 2)
    world.run(5)
    twin = world.process("p0", 999, run="p0-second")
    world.run(30)
    first = world.processes[0]
    assert twin.agent.is_joined and not first.agent.is_joined and len(first.told("outrun")) == 1
    world.run(60)
    assert twin.agent.is_joined and len(first.told("outrun")) == 1


def test_a_full_register_refuses_plainly_and_what_stands_goes_on() -> None:
    world = World(12, 2)
    world.run(10)
    p = world.processes[0]
    world.faults = Faults(full=True)
    world.count(p)
    world.run(10)
    assert (
        [n.fields["how"] for n in p.told("settled")][-1:] == ["full"] and p.told("full") and p.agent.is_joined
    )
    world.faults = Faults()
    world.count(p)
    world.run(5)
    assert p.agent.decode_record("counter", int) == 1


def test_one_record_that_cannot_be_read_costs_itself_alone_and_is_told_once() -> None:
    world = World(13, 1)
    world.run(5)
    (p,) = world.processes
    world.space.write([(b"members/actor/odd", b"t\0{not json", 0)], [])
    world.changed()
    world.run(5)
    for _ in range(3):
        found = {
            k: p.agent.decode_record(k, MemberRecord)
            for k in p.agent.cache.records
            if k.startswith("members/")
        }
    assert [k for k, v in found.items() if v is not None] == ["members/actor/p0"]
    assert [n.fields["key"] for n in p.told("unread")] + [
        n.fields["key"] for n in p.agent.notifications if n.kind == "unread"
    ] == ["members/actor/odd"]


def test_a_planned_end_ends_the_session_at_once() -> None:
    world = World(14, 2)
    world.run(5)
    p = world.processes[0]
    p.agent.leave()
    world.run(1)
    assert p.agent.has_left and not world.space.range(p.agent.identity.member_key.encode())


def test_all_that_a_register_held_is_told_as_gone_when_it_went_back() -> None:
    """Members that the older one does not know stayed there for good."""
    agent = ready()
    watch = next(number for number, (_, ask, _) in agent._calls.items() if ask.operation == "watch")
    there = WatchEvent("members/a/c", 6, Record("members/a/c", b"", 6))
    agent.handle_response(SECOND, watch, WatchBatch("one", 4, 6, (there,)))
    agent.notifications = []
    (watch,) = [a.request_id for a in agent.take_due_requests(2 * SECOND) if a.operation == "watch"]
    agent.handle_response(2 * SECOND, watch, WatchBatch("two", 6, 7, ()))
    assert [(n.kind, n.fields.get("keys")) for n in agent.notifications] == [
        ("fenced", None),
        ("changed", ["members/a/c"]),
    ] and agent.decode_record("members/a/c", MemberRecord) is None


def test_what_is_written_is_bounded_before_it_is_sent() -> None:
    agent = Participant(ProcessIdentity("a", "b", "x", "run"), TTL, 1)
    with pytest.raises(RecordTooLargeError, match="256 at most"):
        agent.propose(Put("k" * 257, b"", 0))
    with pytest.raises(RecordTooLargeError, match="262144 at most"):
        agent.propose(Put("k", b"x" * 262_145, 0))


# The copy


def rec(key: str, version: int, value: bytes = b"1") -> Record:
    return Record(key, value, version, f"t{version}")


def test_a_copy_takes_each_change_once_and_says_where_it_cannot_go_on() -> None:
    mirror = WatchCache("")
    mirror.load_snapshot(StoreSnapshot("one", 5, (rec("a", 3), rec("b", 5))))
    batch = WatchBatch("one", 5, 7, (WatchEvent("a", 6, rec("a", 6)), WatchEvent("b", 7, None)))
    assert mirror.apply_batch(batch) == list(batch.events) and mirror.apply_batch(batch) == []
    assert mirror.records == {"a": rec("a", 6)} and mirror.verification_revision == 6
    with pytest.raises(RevisionGapError):
        mirror.apply_batch(WatchBatch("one", 9, 10, ()))
    with pytest.raises(StaleReadError):
        mirror.apply_batch(WatchBatch("one", 7, 3, ()))
    with pytest.raises(StaleReadError):
        mirror.load_snapshot(StoreSnapshot("one", 6, (rec("a", 6),)))
    with pytest.raises(StoreRolledBackError, match="register two"):
        mirror.apply_batch(WatchBatch("two", 7, 8, ()))
    with pytest.raises(StoreRolledBackError, match="revision 7 changed c; it had changed b"):
        mirror.apply_batch(WatchBatch("one", 6, 9, (WatchEvent("c", 7, rec("c", 7)),)))
    with pytest.raises(StoreRolledBackError, match="a at version 6 is not what it was"):
        mirror.load_snapshot(StoreSnapshot("one", 9, (rec("a", 6, b"other"),)))
    assert mirror.apply_batch(
        WatchBatch("one", 6, 9, (WatchEvent("b", 7, None), WatchEvent("d", 9, rec("d", 9))))
    ) == [WatchEvent("d", 9, rec("d", 9))]


def test_the_gate_takes_the_first_of_two_holders_of_one_generation() -> None:
    gate, against = Fence().present("x", FencingToken(3, "a"))
    assert against is None
    held = FencingToken(3, "a")
    for shown, verdict in ((held, None), (FencingToken(3, "b"), held), (FencingToken(2, "a"), held)):
        assert gate.present("x", shown)[1] == verdict
    gate, against = gate.present("x", FencingToken(4, "b"))
    assert against is None and gate.present("x", FencingToken(3, "a"))[1] == FencingToken(4, "b")
    assert gate.present("y", FencingToken(1, "a"))[1] is None


# Members


def members(count: int = 5) -> FailureDetector:
    out = FailureDetector("members/g/m0", 3 * SECOND, SECOND // 10, 1)
    for n in range(count):
        out.update_member(
            0, f"members/g/m{n}", MemberRecord("g", f"m{n}", "x", f"run{n}", 1, f"127.0.0.1:{7000 + n}")
        )
    return out


def miss(some: FailureDetector, now: int, *names: str) -> None:
    for name in names:
        some.record_contact(now, f"members/g/{name}", 1, False)


def test_suspected_before_lost_and_lost_to_me_is_not_lost_to_most() -> None:
    some = members()
    miss(some, SECOND, "m1")
    assert some.evaluate(SECOND)["members/g/m1"].state is MemberState.ALIVE  # one is lost now and then
    miss(some, 2 * SECOND, "m1")
    assert some.evaluate(2 * SECOND)["members/g/m1"].state is MemberState.SUSPECTED
    assert some.evaluate(5 * SECOND)["members/g/m1"].state is MemberState.UNREACHABLE_LOCALLY
    assert some.build_report(5 * SECOND) == ReachabilityReport(("members/g/m1",))
    some.update_report("members/g/m2", ReachabilityReport(("members/g/m1",)))
    some.update_report("members/g/m3", ReachabilityReport())
    some.update_report("members/g/m4", ReachabilityReport())
    assert some.evaluate(5 * SECOND)["members/g/m1"].state is MemberState.UNREACHABLE_LOCALLY
    some.update_report("members/g/m3", ReachabilityReport(("members/g/m1",)))
    assert some.evaluate(6 * SECOND)["members/g/m1"].state is MemberState.UNREACHABLE_BY_MAJORITY
    some.record_contact(6 * SECOND, "members/g/m1", 1, True)
    assert some.evaluate(6 * SECOND)["members/g/m1"].state is MemberState.UNREACHABLE_BY_MAJORITY
    some.update_report("members/g/m2", ReachabilityReport())
    assert some.evaluate(6 * SECOND)["members/g/m1"].state is MemberState.ALIVE


def test_who_has_lost_most_is_the_one_cut_off_and_its_word_does_not_count() -> None:
    some = members()
    for now in (SECOND, 2 * SECOND):
        miss(some, now, "m1", "m2", "m3")
    assert some.is_isolated() and some.build_report(9 * SECOND).is_isolated
    other = members()
    lost = tuple(f"members/g/m{n}" for n in (1, 2, 4))
    other.update_report("members/g/m3", ReachabilityReport(lost, is_isolated=True))
    other.update_report("members/g/m2", ReachabilityReport(lost, is_isolated=True))
    assert other.evaluate(SECOND)["members/g/m1"].state is MemberState.ALIVE


def test_a_record_that_went_is_suspicion_first_and_no_end_while_the_member_answers() -> None:
    some = members()
    some.record_contact(SECOND, "members/g/m1", 1, True)
    miss(some, SECOND, "m2")
    some.update_member(SECOND, "members/g/m1", None)
    some.update_member(SECOND, "members/g/m2", None)
    seen = some.evaluate(2 * SECOND)
    assert seen["members/g/m1"].state is seen["members/g/m2"].state is MemberState.SUSPECTED
    seen = some.evaluate(5 * SECOND)
    assert (
        seen["members/g/m1"].state is MemberState.SUSPECTED
        and seen["members/g/m2"].state is MemberState.ENDED
    )
    # Back under a higher generation it is here; an old record, read late, changes nothing.
    some.update_member(6 * SECOND, "members/g/m2", MemberRecord("g", "m2", "x", "later", 2, "127.0.0.1:7002"))
    some.update_member(6 * SECOND, "members/g/m2", MemberRecord("g", "m2", "x", "run2", 1, "127.0.0.1:7002"))
    miss(some, 6 * SECOND, "m2")
    assert some.evaluate(6 * SECOND)["members/g/m2"].state is MemberState.ALIVE
    assert some.tracked["members/g/m2"].missed_contacts == 0


def test_contacts_go_round_all_members_and_cost_the_same_in_a_large_fleet() -> None:
    for count in (3, 1_100):
        some = members(count)
        asked = [m.name for k in range(2 * (count - 1)) if (m := some.next_contact(k * SECOND // 10))]
        assert sorted(asked) == sorted(2 * [f"m{n}" for n in range(1, count)])
        assert some.next_contact(2 * (count - 1) * SECOND // 10 - SECOND // 10 + 1) is None


# What was agreed


def test_what_was_agreed_is_held_then_left_by_an_even_ramp_and_come_back_to_without_a_jump() -> None:
    some = AgreedLimits(hold_us=60 * SECOND, ramp_us=10 * SECOND)
    assert some.accept(0, FencingToken(2, "a"), {"z": 0.4})
    assert some.limits_at(0) == {"z": 0.4}
    some.on_store_lost(SECOND)
    assert some.limits_at(50 * SECOND) == {"z": 0.4}
    assert some.limits_at(64 * SECOND)["z"] == pytest.approx(0.7)
    assert some.limits_at(90 * SECOND)["z"] == 1.0
    some.on_store_recovered(90 * SECOND)
    assert some.limits_at(90 * SECOND) == {"z": 0.4}  # lower is safe at once
    assert not some.accept(91 * SECOND, FencingToken(1, "b"), {"z": 1.0})
    assert not some.accept(91 * SECOND, FencingToken(2, "b"), {"z": 1.0})
    assert some.accept(91 * SECOND, FencingToken(3, "b"), {})
    assert some.limits_at(92 * SECOND)["z"] == pytest.approx(0.5)
    assert some.limits_at(97 * SECOND) == {}


def test_looks_at_what_was_agreed_change_nothing_however_often() -> None:
    often, once = (AgreedLimits(hold_us=5 * SECOND, ramp_us=10 * SECOND) for _ in range(2))
    for some in (often, once):
        some.accept(0, FencingToken(1, "a"), {"z": 0.2})
        some.on_store_lost(SECOND)
    for n in range(100):
        often.limits_at(n * SECOND // 10)
    assert often.limits_at(10 * SECOND)["z"] == pytest.approx(once.limits_at(10 * SECOND)["z"])
