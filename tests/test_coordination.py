"""Agents, rights, members and what was agreed, under a virtual clock and faults drawn from a seed."""

from __future__ import annotations

from functools import partial

import pytest

from gradehoist.coordination import store as r
from gradehoist.coordination.agent import FLOORS, Agent, Me, Member
from gradehoist.coordination.fallback import Agreed
from gradehoist.coordination.fencing import Gate, Right
from gradehoist.coordination.members import Members, State, View
from gradehoist.coordination.watch_cache import Backwards, Gap, Mirror, Older
from gradehoist.history import exactly_once, linearizability
from gradehoist.history.records import Effect
from tests.support.store_simulation import SECOND, TTL, Faults, Process, World


def holders(world: World) -> list[Process]:
    return [p for p in world.processes if p.claim.right is not None and p.agent.joined]


def judged(world: World) -> None:
    assert not (bad := linearizability.check(world.lines)), bad[0]
    assert not (wrong := exactly_once.generations(world.lines) + exactly_once.once(world.lines)), wrong[0]


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
    assert all(p.agent.joined and not p.agent.writes for p in world.processes) and len(holders(world)) == 1
    for _ in range(4):
        world.act(holders(world)[0])
        world.run(1)
    last = [x for x in world.lines if isinstance(x, Effect)][-1]
    assert last.holder == holders(world)[0].agent.me.run
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
        found.append(exactly_once.generations(world.lines))
        assert first.claim.right is None and first.agent.joined and [n.kind for n in first.told("ended")]
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


def ready() -> Agent:
    """Joined at revision 5, with a watch under way as call 5."""
    agent = Agent(Me("a", "b", "x", "run"), TTL, 1)
    asked = {ask.what: ask for ask in agent.asks(0)}
    agent.answered(1, asked["read"].number, r.Snapshot("one", 4, ()))
    for what, answer in (("open", "s"), ("commit", r.Done(5))):
        asked = {ask.what: ask for ask in agent.asks(SECOND)}
        agent.answered(SECOND, asked[what].number, answer)
    return agent


@pytest.mark.parametrize("how", ["done", "refused", "unknown"])
def test_of_a_commit_overwritten_the_watch_tells_and_where_it_cannot_nobody_guesses(how: str) -> None:
    agent = ready()
    token = agent.propose(r.Put("k", b"mine", 0))
    other = r.Record("k", b"other", 7, "other:1")
    now = 0
    for answer in (r.Unknown("lost"), r.Refused(7, (other,))):
        now += 100 * SECOND
        (ask,) = [a for a in agent.asks(now) if a.what == "commit"]
        if isinstance(answer, r.Unknown):
            agent.failed(now, ask.number, answer)
        else:
            agent.answered(now, ask.number, answer)
    assert not [n for n in agent.news if n.kind == "settled"]  # nothing is known yet
    watch = next(number for number, (_, ask, _) in agent._calls.items() if ask.what == "watch")
    mine = r.Event("k", 6, r.Record("k", b"mine", 6, token))
    if how == "unknown":
        agent.failed(now, watch, r.Compacted("gone"))
        (read,) = [a for a in agent.asks(300 * SECOND) if a.what == "read"]
        agent.answered(300 * SECOND, read.number, r.Snapshot("one", 7, (other,)))
    else:
        events = (mine,) * (how == "done") + (r.Event("k", 7, other),)
        agent.answered(now, watch, r.Batch("one", 4, 7, events))
    agent.asks(400 * SECOND)
    (settled,) = [n for n in agent.news if n.kind == "settled"]
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
    seen = [p.agent.value("counter", int) for p in world.processes]
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
    known = world.gate.known["job"]
    assert known.gen >= 4
    world.restore(kept)
    world.run(30)
    assert all(len(p.told("fenced")) == 1 and p.agent.joined for p in world.processes)
    (holder,) = holders(world)
    assert holder.claim.right is not None and holder.claim.right.gen > known.gen
    world.act(holder)
    world.run(1)
    assert world.gate.known["job"] == holder.claim.right
    assert any(k.startswith("rights/") for k in holder.agent.value(FLOORS, dict[str, int]))
    judged_effects = exactly_once.generations(world.lines) + exactly_once.once(world.lines)
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
    before = a.agent.mirror.revision
    world.restore(early)
    world.run(10)
    while world.space.revision < before + 5:
        world.count(c)
        world.run(1)
    world.space.extend(world.now)
    world.go_on(a)
    world.run(20)
    assert len(a.told("fenced")) == 1 and a.agent.joined
    assert a.agent.value("counter", int) == c.agent.value("counter", int)


def test_a_rival_generation_is_refused_where_it_takes_effect_and_outrun() -> None:
    """Nobody who knew of generation 9 lived through the going back: the taker of effects tells of it."""
    world = World(8, 1)
    world.run(10)
    (p,) = world.processes
    gate, _ = world.gate.show("job", Right(9, "somebody before"))
    world.gate = gate
    world.act(p)
    world.run(10)
    assert p.claim.right is not None and p.claim.right.gen == 10
    world.act(p)
    world.run(1)
    assert world.gate.known["job"] == p.claim.right


def test_the_register_away_for_minutes_costs_nothing_that_was_held_and_no_herd_comes_back() -> None:
    world = World(9, 30)
    world.run(20)
    (holder,) = holders(world)
    joined = [len(p.told("joined")) for p in world.processes]
    world.faults = Faults(away=True)
    world.run(240)
    assert all(p.told("doubt") and not p.agent.joined for p in world.processes)
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
        came.append(sum(p.agent.joined for p in world.processes))
    assert came[-1] == 30 and came[9] < 15  # over seconds, not at once
    assert world.asked["read"] == reads  # watches go on from where they were: nobody reads the whole
    assert [len(p.told("joined")) for p in world.processes] == joined and holders(world) == [holder]


def test_a_session_that_ended_while_it_stood_still_begins_a_new_one_under_a_higher_generation() -> None:
    world = World(10, 2)
    world.run(10)
    p = world.processes[0]
    was = p.agent.right
    world.stop(p)
    world.run(30)
    assert not world.space.range(p.agent.me.member.encode())
    world.go_on(p)
    world.run(10)
    assert p.agent.joined and p.agent.right.gen == was.gen + 1 and p.agent.right.holder == was.holder


def test_of_two_processes_of_one_name_the_later_goes_on_and_the_earlier_says_so() -> None:
    world = World(11, 2)
    world.run(5)
    twin = world.process("p0", 999, run="p0-second")
    world.run(30)
    first = world.processes[0]
    assert twin.agent.joined and not first.agent.joined and len(first.told("outrun")) == 1
    world.run(60)
    assert twin.agent.joined and len(first.told("outrun")) == 1


def test_a_full_register_refuses_plainly_and_what_stands_goes_on() -> None:
    world = World(12, 2)
    world.run(10)
    p = world.processes[0]
    world.faults = Faults(full=True)
    world.count(p)
    world.run(10)
    assert [n.fields["how"] for n in p.told("settled")][-1:] == ["full"] and p.told("full") and p.agent.joined
    world.faults = Faults()
    world.count(p)
    world.run(5)
    assert p.agent.value("counter", int) == 1


def test_one_record_that_cannot_be_read_costs_itself_alone_and_is_told_once() -> None:
    world = World(13, 1)
    world.run(5)
    (p,) = world.processes
    world.space.write([(b"members/actor/odd", b"t\0{not json", 0)], [])
    world.changed()
    world.run(5)
    for _ in range(3):
        found = {k: p.agent.value(k, Member) for k in p.agent.mirror.records if k.startswith("members/")}
    assert [k for k, v in found.items() if v is not None] == ["members/actor/p0"]
    assert [n.fields["key"] for n in p.told("unread")] + [
        n.fields["key"] for n in p.agent.news if n.kind == "unread"
    ] == ["members/actor/odd"]


def test_a_planned_end_ends_the_session_at_once() -> None:
    world = World(14, 2)
    world.run(5)
    p = world.processes[0]
    p.agent.leave()
    world.run(1)
    assert p.agent.gone and not world.space.range(p.agent.me.member.encode())


def test_all_that_a_register_held_is_told_as_gone_when_it_went_back() -> None:
    """Members that the older one does not know stayed there for good."""
    agent = ready()
    watch = next(number for number, (_, ask, _) in agent._calls.items() if ask.what == "watch")
    there = r.Event("members/a/c", 6, r.Record("members/a/c", b"", 6))
    agent.answered(SECOND, watch, r.Batch("one", 4, 6, (there,)))
    agent.news = []
    (watch,) = [a.number for a in agent.asks(2 * SECOND) if a.what == "watch"]
    agent.answered(2 * SECOND, watch, r.Batch("two", 6, 7, ()))
    assert [(n.kind, n.fields.get("keys")) for n in agent.news] == [
        ("fenced", None),
        ("changed", ["members/a/c"]),
    ] and agent.value("members/a/c", Member) is None


def test_what_is_written_is_bounded_before_it_is_sent() -> None:
    agent = Agent(Me("a", "b", "x", "run"), TTL, 1)
    with pytest.raises(r.TooLarge, match="256 at most"):
        agent.propose(r.Put("k" * 257, b"", 0))
    with pytest.raises(r.TooLarge, match="262144 at most"):
        agent.propose(r.Put("k", b"x" * 262_145, 0))


# The copy


def rec(key: str, version: int, value: bytes = b"1") -> r.Record:
    return r.Record(key, value, version, f"t{version}")


def test_a_copy_takes_each_change_once_and_says_where_it_cannot_go_on() -> None:
    mirror = Mirror("")
    mirror.whole(r.Snapshot("one", 5, (rec("a", 3), rec("b", 5))))
    batch = r.Batch("one", 5, 7, (r.Event("a", 6, rec("a", 6)), r.Event("b", 7, None)))
    assert mirror.batch(batch) == list(batch.events) and mirror.batch(batch) == []
    assert mirror.records == {"a": rec("a", 6)} and mirror.proof == 6
    with pytest.raises(Gap):
        mirror.batch(r.Batch("one", 9, 10, ()))
    with pytest.raises(Older):
        mirror.batch(r.Batch("one", 7, 3, ()))
    with pytest.raises(Older):
        mirror.whole(r.Snapshot("one", 6, (rec("a", 6),)))
    with pytest.raises(Backwards, match="register two"):
        mirror.batch(r.Batch("two", 7, 8, ()))
    with pytest.raises(Backwards, match="revision 7 changed c; it had changed b"):
        mirror.batch(r.Batch("one", 6, 9, (r.Event("c", 7, rec("c", 7)),)))
    with pytest.raises(Backwards, match="a at version 6 is not what it was"):
        mirror.whole(r.Snapshot("one", 9, (rec("a", 6, b"other"),)))
    assert mirror.batch(r.Batch("one", 6, 9, (r.Event("b", 7, None), r.Event("d", 9, rec("d", 9))))) == [
        r.Event("d", 9, rec("d", 9))
    ]


def test_the_gate_takes_the_first_of_two_holders_of_one_generation() -> None:
    gate, against = Gate().show("x", Right(3, "a"))
    assert against is None
    held = Right(3, "a")
    for shown, verdict in ((held, None), (Right(3, "b"), held), (Right(2, "a"), held)):
        assert gate.show("x", shown)[1] == verdict
    gate, against = gate.show("x", Right(4, "b"))
    assert against is None and gate.show("x", Right(3, "a"))[1] == Right(4, "b")
    assert gate.show("y", Right(1, "a"))[1] is None


# Members


def members(count: int = 5) -> Members:
    out = Members("members/g/m0", 3 * SECOND, SECOND // 10, 1)
    for n in range(count):
        out.record(0, f"members/g/m{n}", Member("g", f"m{n}", "x", f"run{n}", 1, f"127.0.0.1:{7000 + n}"))
    return out


def miss(some: Members, now: int, *names: str) -> None:
    for name in names:
        some.contact(now, f"members/g/{name}", 1, False)


def test_suspected_before_lost_and_lost_to_me_is_not_lost_to_most() -> None:
    some = members()
    miss(some, SECOND, "m1")
    assert some.judge(SECOND)["members/g/m1"].state is State.HERE  # one is lost now and then
    miss(some, 2 * SECOND, "m1")
    assert some.judge(2 * SECOND)["members/g/m1"].state is State.SUSPECT
    assert some.judge(5 * SECOND)["members/g/m1"].state is State.LOST_TO_ME
    assert some.own_view(5 * SECOND) == View(("members/g/m1",))
    some.view("members/g/m2", View(("members/g/m1",)))
    some.view("members/g/m3", View())
    some.view("members/g/m4", View())
    assert some.judge(5 * SECOND)["members/g/m1"].state is State.LOST_TO_ME
    some.view("members/g/m3", View(("members/g/m1",)))
    assert some.judge(6 * SECOND)["members/g/m1"].state is State.LOST_TO_MOST
    some.contact(6 * SECOND, "members/g/m1", 1, True)
    assert some.judge(6 * SECOND)["members/g/m1"].state is State.LOST_TO_MOST
    some.view("members/g/m2", View())
    assert some.judge(6 * SECOND)["members/g/m1"].state is State.HERE


def test_who_has_lost_most_is_the_one_cut_off_and_its_word_does_not_count() -> None:
    some = members()
    for now in (SECOND, 2 * SECOND):
        miss(some, now, "m1", "m2", "m3")
    assert some.cut_off() and some.own_view(9 * SECOND).cut
    other = members()
    lost = tuple(f"members/g/m{n}" for n in (1, 2, 4))
    other.view("members/g/m3", View(lost, cut=True))
    other.view("members/g/m2", View(lost, cut=True))
    assert other.judge(SECOND)["members/g/m1"].state is State.HERE


def test_a_record_that_went_is_suspicion_first_and_no_end_while_the_member_answers() -> None:
    some = members()
    some.contact(SECOND, "members/g/m1", 1, True)
    miss(some, SECOND, "m2")
    some.record(SECOND, "members/g/m1", None)
    some.record(SECOND, "members/g/m2", None)
    seen = some.judge(2 * SECOND)
    assert seen["members/g/m1"].state is seen["members/g/m2"].state is State.SUSPECT
    seen = some.judge(5 * SECOND)
    assert seen["members/g/m1"].state is State.SUSPECT and seen["members/g/m2"].state is State.ENDED
    # Back under a higher generation it is here; an old record, read late, changes nothing.
    some.record(6 * SECOND, "members/g/m2", Member("g", "m2", "x", "later", 2, "127.0.0.1:7002"))
    some.record(6 * SECOND, "members/g/m2", Member("g", "m2", "x", "run2", 1, "127.0.0.1:7002"))
    miss(some, 6 * SECOND, "m2")
    assert some.judge(6 * SECOND)["members/g/m2"].state is State.HERE
    assert some.known["members/g/m2"].missed == 0


def test_contacts_go_round_all_members_and_cost_the_same_in_a_large_fleet() -> None:
    for count in (3, 1_100):
        some = members(count)
        asked = [m.name for k in range(2 * (count - 1)) if (m := some.next(k * SECOND // 10))]
        assert sorted(asked) == sorted(2 * [f"m{n}" for n in range(1, count)])
        assert some.next(2 * (count - 1) * SECOND // 10 - SECOND // 10 + 1) is None


# What was agreed


def test_what_was_agreed_is_held_then_left_by_an_even_ramp_and_come_back_to_without_a_jump() -> None:
    some = Agreed(hold=60 * SECOND, fall=10 * SECOND)
    assert some.agree(0, Right(2, "a"), {"z": 0.4})
    assert some.ceilings(0) == {"z": 0.4}
    some.away(SECOND)
    assert some.ceilings(50 * SECOND) == {"z": 0.4}
    assert some.ceilings(64 * SECOND)["z"] == pytest.approx(0.7)
    assert some.ceilings(90 * SECOND)["z"] == 1.0
    some.back(90 * SECOND)
    assert some.ceilings(90 * SECOND) == {"z": 0.4}  # lower is safe at once
    assert not some.agree(91 * SECOND, Right(1, "b"), {"z": 1.0})
    assert not some.agree(91 * SECOND, Right(2, "b"), {"z": 1.0})
    assert some.agree(91 * SECOND, Right(3, "b"), {})
    assert some.ceilings(92 * SECOND)["z"] == pytest.approx(0.5)
    assert some.ceilings(97 * SECOND) == {}


def test_looks_at_what_was_agreed_change_nothing_however_often() -> None:
    often, once = (Agreed(hold=5 * SECOND, fall=10 * SECOND) for _ in range(2))
    for some in (often, once):
        some.agree(0, Right(1, "a"), {"z": 0.2})
        some.away(SECOND)
    for n in range(100):
        often.ceilings(n * SECOND // 10)
    assert often.ceilings(10 * SECOND)["z"] == pytest.approx(once.ceilings(10 * SECOND)["z"])
