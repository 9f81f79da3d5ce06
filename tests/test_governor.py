"""The governor core under a virtual clock: streams, channel limits, restarts, list updates, load reports."""

from __future__ import annotations

import pytest

from gradehoist import interface
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


def are_all_bound(fleet: GovernedFleet) -> bool:
    return all(r.state.is_bound and set(r.state.table_by_class) == {"read", "write"} for r in fleet.proxies)


def test_all_proxies_are_bound_and_stop_using_a_draining_replica() -> None:
    fleet = GovernedFleet()
    fleet.connect()
    fleet.run(3)
    assert are_all_bound(fleet) and all(len(r.state.weights_for("read")) == 8 for r in fleet.proxies)
    fleet.update_endpoints(make_endpoint(3, "draining"))
    fleet.run(3)  # the fleet checks the grace period at each step
    assert all("w3" not in r.state.weights_for("read") for r in fleet.proxies)


def test_a_drain_meets_the_grace_period_while_binds_fill_the_channel() -> None:
    fleet = GovernedFleet(proxy_count=40, queue_limit_lines=900, lines_per_s=900)
    fleet.connect()
    fleet.run(0.3)
    assert fleet.core.publisher.channel.waiting_lines > 0.3 * 900  # the binds fill the queue
    fleet.update_endpoints(make_endpoint(3, "draining"), make_endpoint(4, "gone"))
    fleet.run(6)
    assert are_all_bound(fleet)


def test_the_drains_of_a_shrinking_fleet_meet_the_grace_period() -> None:
    """Each drain in its own message used up the message limit (`review/9`)."""
    fleet = GovernedFleet(replica_count=32)
    fleet.connect()
    fleet.run(3)
    for replica in range(28):
        fleet.update_endpoints(make_endpoint(replica, "draining"))
        fleet.run(0.3)
    fleet.run(5)
    assert all(len(r.state.weights_for("read")) == 4 for r in fleet.proxies)


def test_all_proxies_can_join_one_governor_within_100_ms() -> None:
    fleet = GovernedFleet(proxy_count=150, queue_limit_lines=3000, lines_per_s=3000)
    fleet.connect()
    fleet.run(0.1)
    assert len(fleet.core.streams) == 150
    fleet.run(8)
    assert are_all_bound(fleet) and fleet.peak_lines > 500


def test_a_restarted_governor_binds_proxies_that_poll_with_the_old_epoch() -> None:
    fleet = GovernedFleet()
    fleet.connect()
    fleet.run(3)
    fleet.update_endpoints(make_endpoint(3, "gone"))
    fleet.run(2)
    streams = {r.name: r.stream for r in fleet.proxies}
    # The old governor was killed. A poll with its epoch counts as a join, and the proxies keep their tables
    # until they are bound again.
    fleet.start_governor("two")
    assert all(r.state.weights_for("write") for r in fleet.proxies)
    fleet.connect()
    fleet.run(3)
    assert {r.epoch for r in fleet.proxies} == {"two"} and streams
    assert are_all_bound(fleet) and all("w3" not in r.state.weights_for("read") for r in fleet.proxies)


def test_a_poll_is_rejected_for_an_unsent_message_and_resynced_for_an_earlier_one() -> None:
    fleet = GovernedFleet(proxy_count=1)
    fleet.connect()
    fleet.run(2)
    proxy = fleet.proxies[0]
    with pytest.raises(RequestRejectedError) as caught:
        fleet.core.handle_poll(
            fleet.now_us, FeedPoll("r0", "x", 1.0, "one", proxy.stream, proxy.applied_seq + 50)
        )
    assert caught.value.status == 409
    # The proxy has lost its state, so it is sent one full resync and misses no message.
    proxy.applied_seq, proxy.is_polling = 0, False
    lines = dict(proxy.state.weights_for("read"))
    proxy.state = ProxyState()
    fleet.connect(proxy)
    fleet.run(1)
    assert proxy.resync_count == 1 and proxy.state.weights_for("read").keys() == lines.keys()


def test_a_later_stream_replaces_the_earlier_and_survives_its_late_disconnect() -> None:
    fleet = GovernedFleet(proxy_count=2)
    fleet.connect()
    fleet.run(1)
    proxy, old_number = fleet.core.identifiers.proxies["r0"], fleet.proxies[0].stream
    answer = fleet.core.handle_poll(fleet.now_us, FeedPoll("r0", "x"))
    assert answer is not None and answer.is_new_stream and answer.stream > old_number
    fleet.core.remove_proxy(proxy, "its connection closed", old_number)
    assert fleet.core.streams[proxy].number == answer.stream
    events = [type(event) for batch in fleet.core.take_batches() for event in batch.events]
    assert events[-2:] == [interface.ProxyLeft, interface.ProxyJoined]


def test_proxies_that_join_and_leave_under_new_names_take_no_more_indices_than_the_settings_allow() -> None:
    """Each name that a client chose for a poll was kept for good."""
    fleet = GovernedFleet(proxy_count=4)
    fleet.connect(*fleet.proxies[:3])
    fleet.run(1)
    for number in range(50):
        assert fleet.core.handle_poll(fleet.now_us, FeedPoll(f"new-{number}", "x")) is not None
        fleet.run(0.1)
        fleet.core.remove_proxy(fleet.core.identifiers.proxies[f"new-{number}"], "its connection closed")
    assert len(fleet.core.identifiers.proxies) == 4
    fleet.update_endpoints(make_endpoint(3, "draining"))
    fleet.run(3)  # the fleet checks the grace period at each step
    assert all("w3" not in r.state.weights_for("read") for r in fleet.proxies[:3])


def test_a_proxy_that_keeps_rejoining_delays_no_drain() -> None:
    """The proxy joins twenty times a second, so each table in the queue is dropped at the next join.

    The dropped lines once kept their transmission time, which delayed the messages behind them.
    """
    fleet = GovernedFleet(proxy_count=10, replica_count=60, queue_limit_lines=900, lines_per_s=900)
    fleet.connect()
    fleet.run(8)
    fleet.proxies[0].is_dead = True
    for n in range(140):
        fleet.core.handle_poll(fleet.now_us, FeedPoll("r0", "x", 1e9))
        if n == 100:
            fleet.update_endpoints(make_endpoint(3, "draining"))
        fleet.run(0.05)  # the fleet checks the grace period at each step
    assert not any("w3" in r.state.weights_for("read") for r in fleet.proxies[1:])
    channel = fleet.core.publisher.channel
    channel.remove_proxy(0)
    assert all(item.release_us <= fleet.now_us + 2 * item.transmit_us for item in channel._queue)


def test_drains_are_sent_while_a_table_exceeds_the_queue_limit_and_the_table_once_it_fits() -> None:
    fleet = GovernedFleet(proxy_count=4, replica_count=300, queue_limit_lines=200)
    fleet.connect()
    fleet.run(4)
    fleet.update_endpoints(make_endpoint(1, "draining"))
    fleet.run(4)  # the fleet checks the grace period at each step
    assert not are_all_bound(fleet) and all(set(r.state.weights_for("read")) == {"w0"} for r in fleet.proxies)
    warned = [x.fields["proxy"] for x in fleet.core.log.pending if x.name == "table_size_exceeded"]
    assert sorted(warned) == sorted(r.name for r in fleet.proxies)
    fleet.core.publisher.channel.queue_limit_lines = 400.0
    fleet.run(4)
    assert are_all_bound(fleet) and all(len(r.state.weights_for("read")) == 299 for r in fleet.proxies)


def test_a_proxy_that_reads_nothing_needs_bounded_memory_and_delays_no_other() -> None:
    fleet = GovernedFleet(proxy_count=4)
    fleet.connect()
    fleet.run(2)
    slow_stream = fleet.core.streams[fleet.core.identifiers.proxies["r0"]]
    fleet.proxies[0].is_dead = True
    slow_stream.MAX_UNACKNOWLEDGED_LINES = 300.0
    for n in range(200):
        slow_stream.last_poll_us = fleet.now_us
        orders: list[interface.Order] = [interface.SetWeight(g, 1, 1 + n / 100) for g in range(10)]
        fleet.core.apply_replies(fleet.now_us, [PolicyReply(0, orders, {})])
        fleet.run(0.1)
        assert slow_stream.unacknowledged_lines <= 300 and len(slow_stream.unacknowledged) < 100
    assert slow_stream.resync_reason or slow_stream.resync_seq
    assert all(r.applied_count > 15 for r in fleet.proxies[1:])


def test_the_channel_rejects_messages_at_its_limits_with_a_reason() -> None:
    channel = Channel(queue_limit_lines=100, lines_per_s=100, messages_per_window=3, window_us=10 * SECOND_US)
    message = feed.Message(1, 1, 0, 40, ())
    channel.add_proxy(1)
    assert [channel.put(0, 1, 1, message) for _ in range(3)] == [None, None, "80 of 100 lines wait"]
    assert [x.release_us for x in channel.take_released(10 * SECOND_US)] == [400_000, 800_000]
    assert channel.put(SECOND_US, 1, 1, message) is None
    assert channel.put(2 * SECOND_US, 1, 1, message) == "3 messages within 10 s"
    assert channel.put(11 * SECOND_US, 1, 1, message) is None  # the first two messages are outside the window
    assert channel.put(0, 2, 1, message) == "the proxy has left"
    channel.remove_proxy(1)
    assert channel.waiting_lines == 0 and channel.next_release_us() is None


def test_the_channel_measures_its_release_rate() -> None:
    channel = Channel(
        queue_limit_lines=9_000, lines_per_s=1_000, messages_per_window=0, window_us=10 * SECOND_US
    )
    channel.add_proxy(1)
    for now in (0, 250_000, 500_000):  # released in time, within 110 ms
        for _ in range(10):
            channel.put(now, 1, 1, feed.Message(1, 1, 0, 10, ()))
        channel.take_released(now + 110_000)
    assert abs(channel.measured_lines_per_s - 100 / 0.11) < 1
    # An event loop that releases the message four times too late lowers the measured rate.
    channel.put(SECOND_US, 1, 1, feed.Message(1, 1, 0, 100, ()))
    channel.take_released(SECOND_US + 400_000)
    assert channel.measured_lines_per_s == 250


def test_a_proxy_that_does_not_acknowledge_is_logged_once() -> None:
    fleet = GovernedFleet(proxy_count=2)
    fleet.connect()
    fleet.run(2)
    fleet.proxies[0].is_dead = True
    fleet.update_endpoints(make_endpoint(3, "draining"))
    for _ in range(4):
        fleet.core.streams[fleet.core.identifiers.proxies["r0"]].last_poll_us = fleet.now_us
        fleet.run(1)
    assert [x.fields["proxy"] for x in fleet.core.log.pending if x.name == "acknowledgement_delayed"] == [
        "r0"
    ]


def test_proxies_use_the_replicas_of_the_governor_that_they_follow() -> None:
    """Two governors list different halves of the replicas, and the proxies change from one to the other."""
    one, two = GovernedFleet(proxy_count=6, replica_count=8), GovernedFleet(proxy_count=6, replica_count=8)
    one.endpoints = {k: e for k, e in one.endpoints.items() if int(k[1:]) < 4}
    two.endpoints = {k: e for k, e in two.endpoints.items() if int(k[1:]) >= 4}
    for fleet, epoch in ((one, "one"), (two, "two")):
        fleet.start_governor(epoch)
    one.connect()
    one.run(3)
    assert all(set(r.state.weights_for("read")) == {"w0", "w1", "w2", "w3"} for r in one.proxies)
    one.update_endpoints(make_endpoint(0, "draining"))
    one.run(2.5)
    for a, b in zip(one.proxies, two.proxies, strict=True):
        b.state = a.state  # the proxy keeps its tables and changes the governor
        b.state.begin_stream()
        assert "w0" not in b.state.weights_for("write") and b.state.weights_for("write")
    two.connect()
    two.run(3)  # the withdrawals of the first governor do not apply here
    assert all(set(r.state.weights_for("read")) == {"w4", "w5", "w6", "w7"} for r in two.proxies)
    two.update_endpoints(make_endpoint(4, "gone"))
    two.run(3)
    assert all(set(r.state.weights_for("write")) == {"w5", "w6", "w7"} for r in two.proxies)


def test_a_rejected_message_is_replaced_by_a_resync_that_acknowledges_its_revision() -> None:
    fleet = GovernedFleet(proxy_count=2, queue_limit_lines=60, lines_per_s=60)
    fleet.connect()
    fleet.run(1)
    core, proxy = fleet.core, fleet.core.identifiers.proxies["r0"]
    stream = core.streams[proxy]
    admissions: list[interface.Order] = [
        interface.SetAdmission(None, (k,), 0.5, 0) for _ in range(30) for k in (0, 1)
    ]
    core.apply_replies(
        fleet.now_us, [PolicyReply(0, [*admissions, interface.RequestAcknowledgement(9, True)], {})]
    )
    assert stream.resync_reason and any(x.name == "message_rejected" for x in core.log.pending)
    assert any(PolicyRevision(0, 9) in pending.revisions for pending in stream.pending)
    fleet.run(6)
    assert not stream.resync_reason and fleet.proxies[0].resync_count
    assert fleet.proxies[0].state.admission_for("read", 1) == (0.5, 0) and not stream.pending


def test_a_restart_between_two_list_updates_is_detected() -> None:
    identifiers = Identifiers(["x", "y"], ["k"], ["c"])
    endpoint_list = EndpointList(identifiers, 5 * SECOND_US)

    def take(
        now: int, version: int, *entries: feed.EndpointRecord, whole: bool = False
    ) -> interface.EndpointsListed | None:
        return endpoint_list.apply(
            now, feed.EndpointListUpdate("l", version, entries, whole, 0 if whole else version - 1)
        )

    first = take(100 * SECOND_US, 1, make_endpoint(1), make_endpoint(2, age_us=2 * SECOND_US), whole=True)
    assert first and [e.started_us for e in first.endpoints] == [0, 98 * SECOND_US]
    repeated = take(
        101 * SECOND_US, 2, make_endpoint(2, age_us=3 * SECOND_US + 40_000)
    )  # same incarnation, rounded age
    assert repeated and repeated.endpoints[0].started_us == 98 * SECOND_US
    restart = take(
        103 * SECOND_US,
        3,
        make_endpoint(1, boot_number=2, age_us=SECOND_US),
        make_endpoint(2, boot_number=2, age_us=9 * SECOND_US),
    )
    assert restart and restart.endpoints[0].started_us == 102 * SECOND_US
    assert restart.endpoints[1].started_us > 98 * SECOND_US  # detected in spite of the inconsistent age
    with pytest.raises(EndpointListGapError):
        take(104 * SECOND_US, 5, make_endpoint(1))
    unknown_phase = take(104 * SECOND_US, 4, make_endpoint(1, "asleep"))
    assert (
        unknown_phase
        and unknown_phase.endpoints[0].phase is interface.Phase.DRAINING
        and "asleep" in endpoint_list.invalid["w1"]
    )


def test_a_cached_list_is_stale_until_the_list_service_sends_ages() -> None:
    endpoint_list = EndpointList(Identifiers(["x", "y"], ["k"], ["c"]), 5 * SECOND_US)
    saved = endpoint_list.load_cached(50 * SECOND_US, (make_endpoint(1, age_us=SECOND_US),))
    assert endpoint_list.is_stale and saved.endpoints[0].started_us == 0
    update = endpoint_list.apply(
        51 * SECOND_US, feed.EndpointListUpdate("l", 7, (make_endpoint(1, age_us=2 * SECOND_US),), True)
    )
    assert update and update.endpoints[0].started_us == 49 * SECOND_US and not endpoint_list.is_stale


def test_a_flapping_endpoint_list_breaks_no_limit_and_all_replicas_return() -> None:
    fleet = GovernedFleet(proxy_count=20)
    fleet.connect()
    fleet.run(2)
    for n in range(12):
        fleet.update_endpoints(
            make_endpoint(2, "gone" if n % 2 == 0 else "ready"),
            make_endpoint(3, "gone" if n % 2 else "ready"),
        )
        fleet.run(0.4)
    fleet.update_endpoints(make_endpoint(2), make_endpoint(3))
    fleet.run(15)
    assert all(len(r.state.weights_for("read")) == 8 for r in fleet.proxies)


def test_load_reports_beyond_the_rate_limit_are_merged_and_passed_on_oldest_first() -> None:
    identifiers = Identifiers(["x"], ["k"], ["c"])
    for n in range(4):
        identifiers.replicas.intern(f"w{n}")
    queue = LoadReportQueue(identifiers, 2.0, SECOND_US, 0)
    for period in range(2):
        for n in range(4):
            row = feed.ReplicaAttempts(f"w{n}", 4, 1, 100 * (n + 1), busy_share=0.5)
            queue.add(0, 0, feed.ProxyLoadReport("r", "e", SECOND_US, (row,)))
        taken = [
            e for e in queue.take_due((period + 1) * SECOND_US) if isinstance(e, interface.AttemptsReported)
        ]
        assert [(e.replica, e.attempts, e.window_us) for e in taken] == (
            [(0, 4, SECOND_US), (1, 4, SECOND_US)]
            if period == 0
            else [(2, 8, 2 * SECOND_US), (3, 8, 2 * SECOND_US)]
        )
    assert (
        taken[0].mean_latency_us == 300
        and taken[0].failures == 2
        and taken[0].load == interface.LoadReport(0.5, None, None)
    )


def test_invalid_load_reports_are_rejected_completely() -> None:
    fleet = GovernedFleet(proxy_count=1)
    fleet.connect()
    fleet.run(1)
    good = feed.ReplicaAttempts("w1", 5)
    for report in (
        feed.ProxyLoadReport("r9", "one", SECOND_US),
        feed.ProxyLoadReport("r0", "other", SECOND_US),
    ):
        with pytest.raises(RequestRejectedError) as caught:
            fleet.core.handle_load_report(report)
        assert caught.value.status == 409
    bad = (
        feed.ProxyLoadReport("r0", "one", SECOND_US, (good, feed.ReplicaAttempts("w2", 1, 2))),
        feed.ProxyLoadReport("r0", "one", SECOND_US, (good,), (feed.ClassRequests("none", 1),)),
    )
    for report in bad:
        with pytest.raises(RequestRejectedError) as caught:
            fleet.core.handle_load_report(report)
        assert caught.value.status == 422
    assert not any(
        isinstance(e, interface.AttemptsReported)
        for e in fleet.core.load_reports.take_due(fleet.now_us + 9 * SECOND_US)
    )
    for _ in range(2):  # the row of a replica from an earlier governor's tables is skipped
        fleet.core.handle_load_report(
            feed.ProxyLoadReport("r0", "one", SECOND_US, (good, feed.ReplicaAttempts("w99", 1)))
        )
    passed_on = [
        e
        for e in fleet.core.load_reports.take_due(fleet.now_us + 20 * SECOND_US)
        if isinstance(e, interface.AttemptsReported)
    ]
    assert [(e.replica, e.attempts) for e in passed_on] == [(fleet.core.identifiers.replicas["w1"], 10)]
    assert [x.fields["replica"] for x in fleet.core.log.pending if x.name == "load_report_trimmed"] == ["w99"]


def test_a_proxy_keeps_earlier_tables_until_bound_and_then_drops_their_withdrawals_and_admissions() -> None:
    state = ProxyState()
    state.install_default_tables({"a": {"w1": 1.0}, "b": {"w2": 1.0}})
    state.begin_stream()
    state.apply(feed.Message(1, 1, 0, 1, (feed.WithdrawalDelta("w2"),)))
    assert state.weights_for("a") == {"w1": 1.0} and state.weights_for("b") == {}
    state.apply(
        feed.Message(2, 1, 0, 1, (feed.BindDelta(0, ("a",), {"w3": 2.0}), feed.WithdrawalDelta("w2")))
    )
    state.apply(
        feed.Message(3, 2, 0, 1, (feed.WeightDelta(0, "w4", 1.0), feed.AdmissionDelta(None, ("a",), 0.5, 0)))
    )
    assert state.weights_for("a") == {"w3": 2.0, "w4": 1.0} and state.weights_for("b") == {}
    assert state.admission_for("a", 1) == (0.5, 0)
    state.begin_stream()  # table numbers of another governor are unrelated
    state.apply(feed.Message(1, 1, 0, 1, (feed.BindDelta(0, ("b",), {"w5": 1.0}),)))
    state.apply(feed.Message(2, 2, 0, 1, (feed.WeightDelta(0, "w6", 1.0),)))
    assert state.weights_for("a") == {"w3": 2.0, "w4": 1.0} and state.weights_for("b") == {
        "w5": 1.0,
        "w6": 1.0,
    }
    assert state.admission_for("a", 1) == (1.0, 1)


def test_a_stream_repeats_messages_until_they_are_acknowledged() -> None:
    stream = ProxyStream(0, "r", 0, 1)
    for seq in (1, 2, 3):
        assert stream.add_released(feed.Message(stream.allocate_seq(), 1, 0, 10, ()))
        assert seq == stream.next_seq - 1
    assert [m.seq for m in stream.read(15)] == [1]
    assert [m.seq for m in stream.read(25)] == [1, 2]  # a lost answer is repeated
    assert list(stream.acknowledge(1)) == [] and [m.seq for m in stream.read(99)] == [2, 3]
