"""The governor's core under a virtual clock: streams, the channel's limits, restarts, rosters, bad sums."""

from __future__ import annotations

import pytest

from gradehoist import interface as i
from gradehoist.governor.channel import Channel
from gradehoist.governor.endpoint_list import EndpointList, EndpointListGapError
from gradehoist.governor.errors import RequestRejectedError
from gradehoist.governor.load_reports import LoadReportQueue
from gradehoist.governor.policy_instances import PolicyReply, PolicyRevision
from gradehoist.governor.proxy_sessions import FeedPoll
from gradehoist.governor.proxy_streams import ProxyStream
from gradehoist.identifiers import Identifiers
from gradehoist.protocol import feed
from gradehoist.protocol.proxy_state import ProxyState
from tests.support.governed_fleet import SECOND_US, GovernedFleet, make_endpoint


def bound(world: GovernedFleet) -> bool:
    return all(r.state.is_bound and set(r.state.table_by_class) == {"read", "write"} for r in world.proxies)


def test_relays_are_bound_and_follow_a_drain_to_the_last() -> None:
    world = GovernedFleet()
    world.connect()
    world.run(3)
    assert bound(world) and all(len(r.state.weights_for("read")) == 8 for r in world.proxies)
    world.update_endpoints(make_endpoint(3, "draining"))
    world.run(3)  # the world checks the grace at each step
    assert all("w3" not in r.state.weights_for("read") for r in world.proxies)


def test_a_drain_told_while_the_channel_is_full_is_in_time() -> None:
    world = GovernedFleet(proxy_count=40, queue_limit_lines=900, lines_per_s=900)
    world.connect()
    world.run(0.3)
    assert world.core.publisher.channel.waiting_lines > 0.3 * 900  # binds fill it
    world.update_endpoints(make_endpoint(3, "draining"), make_endpoint(4, "gone"))
    world.run(6)
    assert bound(world)


def test_all_relays_redial_one_governor_within_100_ms() -> None:
    world = GovernedFleet(proxy_count=150, queue_limit_lines=3000, lines_per_s=3000)
    world.connect()
    world.run(0.1)
    assert len(world.core.streams) == 150
    world.run(8)
    assert bound(world) and world.peak_lines > 500


def test_a_restarted_governor_says_so_and_binds_anew_what_still_follows_the_old_one() -> None:
    world = GovernedFleet()
    world.connect()
    world.run(3)
    world.update_endpoints(make_endpoint(3, "gone"))
    world.run(2)
    streams = {r.name: r.stream for r in world.proxies}
    world.start_governor("two")  # killed: a poll of the earlier epoch is a join, tables stand until the bind
    assert all(r.state.weights_for("write") for r in world.proxies)
    world.connect()
    world.run(3)
    assert {r.epoch for r in world.proxies} == {"two"} and streams
    assert bound(world) and all("w3" not in r.state.weights_for("read") for r in world.proxies)


def test_polls_that_name_what_was_never_sent_or_go_back() -> None:
    world = GovernedFleet(proxy_count=1)
    world.connect()
    world.run(2)
    relay = world.proxies[0]
    with pytest.raises(RequestRejectedError) as caught:
        world.core.handle_poll(
            world.now_us, FeedPoll("r0", "x", 1.0, "one", relay.stream, relay.applied_seq + 50)
        )
    assert caught.value.status == 409
    relay.applied_seq, relay.is_polling = 0, False  # lost what it had applied: one whole picture, never a gap
    lines = dict(relay.state.weights_for("read"))
    relay.state = ProxyState()
    world.connect(relay)
    world.run(1)
    assert relay.resync_count == 1 and relay.state.weights_for("read").keys() == lines.keys()


def test_a_later_stream_wins_and_a_late_word_on_the_earlier_does_not_end_it() -> None:
    world = GovernedFleet(proxy_count=2)
    world.connect()
    world.run(1)
    proxy, old = world.core.identifiers.proxies["r0"], world.proxies[0].stream
    answer = world.core.handle_poll(world.now_us, FeedPoll("r0", "x"))
    assert answer is not None and answer.is_new_stream and answer.stream > old
    world.core.remove_proxy(proxy, "its connection closed", old)
    assert world.core.streams[proxy].number == answer.stream
    events = [type(event) for batch in world.core.take_batches() for event in batch.events]
    assert events[-2:] == [i.ProxyLeft, i.ProxyJoined]


def test_a_relay_that_joins_anew_without_end_holds_up_no_drain() -> None:
    """Twenty joins a second, each with a table lost at the next: the pace of its lines was lost as well."""
    world = GovernedFleet(proxy_count=10, replica_count=60, queue_limit_lines=900, lines_per_s=900)
    world.connect()
    world.run(8)
    world.proxies[0].is_dead = True
    for n in range(140):
        world.core.handle_poll(world.now_us, FeedPoll("r0", "x", 1e9))
        if n == 100:
            world.update_endpoints(make_endpoint(3, "draining"))
        world.run(0.05)  # the world checks the grace at each step
    assert not any("w3" in r.state.weights_for("read") for r in world.proxies[1:])
    channel = world.core.publisher.channel
    channel.remove_proxy(0)
    assert all(item.release_us <= world.now_us + 2 * item.transmit_us for item in channel._queue)


def test_a_table_that_the_queue_can_never_hold_leaves_drains_and_comes_once_it_fits() -> None:
    world = GovernedFleet(proxy_count=4, replica_count=300, queue_limit_lines=200)
    world.connect()
    world.run(4)
    world.update_endpoints(make_endpoint(1, "draining"))
    world.run(4)  # the world checks the grace at each step
    assert not bound(world) and all(set(r.state.weights_for("read")) == {"w0"} for r in world.proxies)
    warned = [x.fields["proxy"] for x in world.core.log.pending if x.name == "table_size_exceeded"]
    assert sorted(warned) == sorted(r.name for r in world.proxies)
    world.core.publisher.channel.queue_limit_lines = 400.0
    world.run(4)
    assert bound(world) and all(len(r.state.weights_for("read")) == 299 for r in world.proxies)


def test_a_relay_that_reads_nothing_costs_bounded_memory_and_holds_up_nobody() -> None:
    world = GovernedFleet(proxy_count=4)
    world.connect()
    world.run(2)
    slow = world.core.streams[world.core.identifiers.proxies["r0"]]
    world.proxies[0].is_dead = True
    slow.MAX_UNACKNOWLEDGED_LINES = 300.0
    for n in range(200):
        slow.last_poll_us = world.now_us
        orders: list[i.Order] = [i.SetWeight(g, 1, 1 + n / 100) for g in range(10)]
        world.core.apply_replies(world.now_us, [PolicyReply(0, orders, {})])
        world.run(0.1)
        assert slow.unacknowledged_lines <= 300 and len(slow.unacknowledged) < 100
    assert slow.resync_reason or slow.resync_seq
    assert all(r.applied_count > 15 for r in world.proxies[1:])


def test_the_channel_refuses_at_its_limits_and_never_drops_in_silence() -> None:
    channel = Channel(queue_limit_lines=100, lines_per_s=100, messages_per_window=3, window_us=10 * SECOND_US)
    message = feed.Message(1, 1, 0, 40, ())
    channel.add_proxy(1)
    assert [channel.put(0, 1, 1, message) for _ in range(3)] == [None, None, "80 of 100 lines wait"]
    assert [x.release_us for x in channel.take_released(10 * SECOND_US)] == [400_000, 800_000]
    assert channel.put(SECOND_US, 1, 1, message) is None
    assert channel.put(2 * SECOND_US, 1, 1, message) == "3 messages within 10 s"
    assert channel.put(11 * SECOND_US, 1, 1, message) is None  # the first two are out of the window
    assert channel.put(0, 2, 1, message) == "the proxy has left"
    channel.remove_proxy(1)
    assert channel.waiting_lines == 0 and channel.next_release_us() is None


def test_the_channel_measures_its_own_pace() -> None:
    channel = Channel(
        queue_limit_lines=9_000, lines_per_s=1_000, messages_per_window=0, window_us=10 * SECOND_US
    )
    channel.add_proxy(1)
    for now in (0, 250_000, 500_000):  # out in time, then by a loop that is four times too late
        for _ in range(10):
            channel.put(now, 1, 1, feed.Message(1, 1, 0, 10, ()))
        channel.take_released(now + 110_000)
    assert abs(channel.measured_lines_per_s - 100 / 0.11) < 1
    channel.put(SECOND_US, 1, 1, feed.Message(1, 1, 0, 100, ()))
    channel.take_released(SECOND_US + 400_000)
    assert channel.measured_lines_per_s == 250


def test_a_relay_that_does_not_confirm_is_told_of_once() -> None:
    world = GovernedFleet(proxy_count=2)
    world.connect()
    world.run(2)
    world.proxies[0].is_dead = True
    world.update_endpoints(make_endpoint(3, "draining"))
    for _ in range(4):
        world.core.streams[world.core.identifiers.proxies["r0"]].last_poll_us = world.now_us
        world.run(1)
    assert [x.fields["proxy"] for x in world.core.log.pending if x.name == "acknowledgement_delayed"] == [
        "r0"
    ]


def test_two_governors_that_each_know_one_half_keep_to_what_they_know() -> None:
    """One lists half of the replicas, the other the rest; relays go over from one to the other and back."""
    one, two = GovernedFleet(proxy_count=6, replica_count=8), GovernedFleet(proxy_count=6, replica_count=8)
    one.endpoints = {k: e for k, e in one.endpoints.items() if int(k[1:]) < 4}
    two.endpoints = {k: e for k, e in two.endpoints.items() if int(k[1:]) >= 4}
    for world, epoch in ((one, "one"), (two, "two")):
        world.start_governor(epoch)
    one.connect()
    one.run(3)
    assert all(set(r.state.weights_for("read")) == {"w0", "w1", "w2", "w3"} for r in one.proxies)
    one.update_endpoints(make_endpoint(0, "draining"))
    one.run(2.5)
    for a, b in zip(one.proxies, two.proxies, strict=True):
        b.state = a.state  # the stream breaks; it goes on with what it holds and dials the other
        b.state.begin_stream()
        assert "w0" not in b.state.weights_for("write") and b.state.weights_for("write")
    two.connect()
    two.run(3)  # bound by tables of another half; what the first withdrew is not this one's to know
    assert all(set(r.state.weights_for("read")) == {"w4", "w5", "w6", "w7"} for r in two.proxies)
    two.update_endpoints(make_endpoint(4, "gone"))
    two.run(3)
    assert all(set(r.state.weights_for("write")) == {"w5", "w6", "w7"} for r in two.proxies)


def test_what_the_channel_refuses_is_owed_as_a_picture_with_its_mark() -> None:
    world = GovernedFleet(proxy_count=2, queue_limit_lines=60, lines_per_s=60)
    world.connect()
    world.run(1)
    core, proxy = world.core, world.core.identifiers.proxies["r0"]
    stream = core.streams[proxy]
    levels: list[i.Order] = [i.SetAdmission(None, (k,), 0.5, 0) for _ in range(30) for k in (0, 1)]
    core.apply_replies(world.now_us, [PolicyReply(0, [*levels, i.RequestAcknowledgement(9, True)], {})])
    assert stream.resync_reason and any(x.name == "message_rejected" for x in core.log.pending)
    assert any(PolicyRevision(0, 9) in pending.revisions for pending in stream.pending)
    world.run(6)
    assert not stream.resync_reason and world.proxies[0].resync_count
    assert world.proxies[0].state.admission_for("read", 1) == (0.5, 0) and not stream.pending


def test_a_restart_between_two_lists_shows_as_one() -> None:
    names = Identifiers(["x", "y"], ["k"], ["c"])
    view = EndpointList(names, 5 * SECOND_US)

    def take(
        now: int, version: int, *entries: feed.EndpointRecord, whole: bool = False
    ) -> i.EndpointsListed | None:
        return view.apply(
            now, feed.EndpointListUpdate("l", version, entries, whole, 0 if whole else version - 1)
        )

    first = take(100 * SECOND_US, 1, make_endpoint(1), make_endpoint(2, age_us=2 * SECOND_US), whole=True)
    assert first and [e.started_us for e in first.endpoints] == [0, 98 * SECOND_US]
    again = take(
        101 * SECOND_US, 2, make_endpoint(2, age_us=3 * SECOND_US + 40_000)
    )  # the same boot, its age rounded
    assert again and again.endpoints[0].started_us == 98 * SECOND_US
    restart = take(
        103 * SECOND_US,
        3,
        make_endpoint(1, boot_number=2, age_us=SECOND_US),
        make_endpoint(2, boot_number=2, age_us=9 * SECOND_US),
    )
    assert restart and restart.endpoints[0].started_us == 102 * SECOND_US
    assert restart.endpoints[1].started_us > 98 * SECOND_US  # an odd age can't hide it
    with pytest.raises(EndpointListGapError):
        take(104 * SECOND_US, 5, make_endpoint(1))
    asleep = take(104 * SECOND_US, 4, make_endpoint(1, "asleep"))
    assert asleep and asleep.endpoints[0].phase is i.Phase.DRAINING and "asleep" in view.invalid["w1"]


def test_a_saved_list_is_old_until_the_roster_tells_true_ages() -> None:
    view = EndpointList(Identifiers(["x", "y"], ["k"], ["c"]), 5 * SECOND_US)
    saved = view.load_cached(50 * SECOND_US, (make_endpoint(1, age_us=SECOND_US),))
    assert view.is_stale and saved.endpoints[0].started_us == 0
    told = view.apply(
        51 * SECOND_US, feed.EndpointListUpdate("l", 7, (make_endpoint(1, age_us=2 * SECOND_US),), True)
    )
    assert told and told.endpoints[0].started_us == 49 * SECOND_US and not view.is_stale


def test_a_flapping_roster_leaves_no_relay_bare_and_no_limit_passed() -> None:
    world = GovernedFleet(proxy_count=20)
    world.connect()
    world.run(2)
    for n in range(12):
        world.update_endpoints(
            make_endpoint(2, "gone" if n % 2 == 0 else "ready"),
            make_endpoint(3, "gone" if n % 2 else "ready"),
        )
        world.run(0.4)
    world.update_endpoints(make_endpoint(2), make_endpoint(3))
    world.run(15)
    assert all(len(r.state.weights_for("read")) == 8 for r in world.proxies)


def test_sums_add_up_behind_the_intake_limit_oldest_first() -> None:
    names = Identifiers(["x"], ["k"], ["c"])
    for n in range(4):
        names.replicas.intern(f"w{n}")
    intake = LoadReportQueue(names, 2.0, SECOND_US, 0)
    for period in range(2):
        for n in range(4):
            row = feed.ReplicaAttempts(f"w{n}", 4, 1, 100 * (n + 1), busy_share=0.5)
            intake.add(0, 0, feed.ProxyLoadReport("r", "e", SECOND_US, (row,)))
        taken = [e for e in intake.take_due((period + 1) * SECOND_US) if isinstance(e, i.AttemptsReported)]
        assert [(e.replica, e.attempts, e.window_us) for e in taken] == (
            [(0, 4, SECOND_US), (1, 4, SECOND_US)]
            if period == 0
            else [(2, 8, 2 * SECOND_US), (3, 8, 2 * SECOND_US)]
        )
    assert (
        taken[0].mean_latency_us == 300
        and taken[0].failures == 2
        and taken[0].load == i.LoadReport(0.5, None, None)
    )


def test_sums_of_strangers_are_refused_whole() -> None:
    world = GovernedFleet(proxy_count=1)
    world.connect()
    world.run(1)
    good = feed.ReplicaAttempts("w1", 5)
    for sums in (
        feed.ProxyLoadReport("r9", "one", SECOND_US),
        feed.ProxyLoadReport("r0", "other", SECOND_US),
    ):
        with pytest.raises(RequestRejectedError) as caught:
            world.core.handle_load_report(sums)
        assert caught.value.status == 409
    bad = (
        feed.ProxyLoadReport("r0", "one", SECOND_US, (good, feed.ReplicaAttempts("w2", 1, 2))),
        feed.ProxyLoadReport("r0", "one", SECOND_US, (good,), (feed.ClassRequests("none", 1),)),
    )
    for sums in bad:
        with pytest.raises(RequestRejectedError) as caught:
            world.core.handle_load_report(sums)
        assert caught.value.status == 422
    assert not any(
        isinstance(e, i.AttemptsReported)
        for e in world.core.load_reports.take_due(world.now_us + 9 * SECOND_US)
    )
    for _ in range(2):  # a replica of an earlier governor's tables: the rest of the sums counts
        world.core.handle_load_report(
            feed.ProxyLoadReport("r0", "one", SECOND_US, (good, feed.ReplicaAttempts("w99", 1)))
        )
    heard = [
        e
        for e in world.core.load_reports.take_due(world.now_us + 20 * SECOND_US)
        if isinstance(e, i.AttemptsReported)
    ]
    assert [(e.replica, e.attempts) for e in heard] == [(world.core.identifiers.replicas["w1"], 10)]
    assert [x.fields["replica"] for x in world.core.log.pending if x.name == "load_report_trimmed"] == ["w99"]


def test_holdings_keep_earlier_tables_until_bound_and_drop_what_means_nothing_then() -> None:
    held = ProxyState()
    held.install_default_tables({"a": {"w1": 1.0}, "b": {"w2": 1.0}})
    held.begin_stream()
    held.apply(feed.Message(1, 1, 0, 1, (feed.WithdrawalDelta("w2"),)))
    assert held.weights_for("a") == {"w1": 1.0} and held.weights_for("b") == {}
    held.apply(feed.Message(2, 1, 0, 1, (feed.BindDelta(0, ("a",), {"w3": 2.0}), feed.WithdrawalDelta("w2"))))
    held.apply(
        feed.Message(3, 2, 0, 1, (feed.WeightDelta(0, "w4", 1.0), feed.AdmissionDelta(None, ("a",), 0.5, 0)))
    )
    assert held.weights_for("a") == {"w3": 2.0, "w4": 1.0} and held.weights_for("b") == {}
    assert held.admission_for("a", 1) == (0.5, 0)
    held.begin_stream()  # another governor's table 0 is not this one's
    held.apply(feed.Message(1, 1, 0, 1, (feed.BindDelta(0, ("b",), {"w5": 1.0}),)))
    held.apply(feed.Message(2, 2, 0, 1, (feed.WeightDelta(0, "w6", 1.0),)))
    assert held.weights_for("a") == {"w3": 2.0, "w4": 1.0} and held.weights_for("b") == {"w5": 1.0, "w6": 1.0}
    assert held.admission_for("a", 1) == (1.0, 1)


def test_a_stream_gives_messages_again_until_they_are_acknowledged() -> None:
    stream = ProxyStream(0, "r", 0, 1)
    for seq in (1, 2, 3):
        assert stream.add_released(feed.Message(stream.allocate_seq(), 1, 0, 10, ()))
        assert seq == stream.next_seq - 1
    assert [m.seq for m in stream.read(15)] == [1]
    assert [m.seq for m in stream.read(25)] == [1, 2]  # an answer that was lost is given again
    assert list(stream.acknowledge(1)) == [] and [m.seq for m in stream.read(99)] == [2, 3]
