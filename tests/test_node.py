"""The node's core with the real policy: the state of simulated proxies after events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from itertools import permutations, zip_longest
from typing import Any

import pytest

from gradehoist.interface import AttemptsReported, LoadReport, Phase, SetAdmission
from gradehoist.node.core import JoinRejectedError, NodeCore
from gradehoist.node.discovery import EndpointListUpdate
from gradehoist.protocol import lines
from gradehoist.protocol.line_parser import parse_line
from gradehoist.settings import platform
from tests.support.platform_proxies import CLASSES, SECOND, SETTINGS, Proxy, Site, discovered


def test_joined_proxies_get_tables_of_the_replicas_that_each_class_may_use() -> None:
    site = Site()
    for proxy in site.proxies:
        assert set(proxy.tables["read"]) == {f"s-{n}" for n in range(6)}
        assert set(proxy.tables["write"]) == {"s-0", "s-2", "s-4"}
    assert not site.core.policy.fleet.flow.unacknowledged_lines, "every message was acknowledged"


OTHER_SETTINGS = {
    "azs": ["p", "q", "r"], "kinds": ["large", "small"],
    "classes": [{"name": n, "aim": 0.2, "deadline": 9.0, "idempotency": "single_shot", "worth": w}
                for n, w in (("quote", 1.0), ("seal", 7.0), ("scan", 2.0), ("hold", 3.0))],
    "specifics": {"period": 2.0, "proxies": 4, "pending-max": 300.0, "push-rate": 90.0, "fixed-cost": 2.0,
                  "pushes-allowed": 6, "update-window": 5.0, "blackhole": 2.0, "admission": "rate"},
    "guarantees": {"drain-grace": 0.5, "cold": 3.0, "cold-share": 0.6, "fall-multiple": 2.0,
                   "tip-after": 1.0},
    "report": {"how": "off"},
}  # fmt: skip


def test_two_different_deployments_in_one_process_share_no_state() -> None:
    """Run interleaved or one after the other, each core sends the same bytes as when it runs alone."""

    def run_core(settings: dict[str, Any], zone: str) -> Iterator[tuple[int, int, bytes]]:
        identifiers, now = platform.parse_identifiers(settings), 1_800_000_000 * SECOND
        endpoints = tuple(replace(discovered(n), zone=zone) for n in range(5))
        core = NodeCore(
            identifiers,
            platform.parse_config(settings, identifiers, 7),
            EndpointListUpdate(1, True, endpoints),
            now,
        )
        for second in range(8):
            core.on_proxy_joined(now, lines.ProxyHello(second % 4, zone, 5.0 + second, second < 4))
            if second > 3:
                core.on_endpoint_update(
                    EndpointListUpdate(
                        second, False, (replace(discovered(second - 4, Phase.DRAINING), zone=zone),)
                    )
                )
            core.advance(now := now + SECOND)
            yield from core.outbound
            core.outbound.clear()

    alone = [list(run_core(SETTINGS, "a")), list(run_core(OTHER_SETTINGS, "p"))]
    interleaved = [list[tuple[int, int, bytes]](), list[tuple[int, int, bytes]]()]
    for pair in zip_longest(run_core(SETTINGS, "a"), run_core(OTHER_SETTINGS, "p")):
        for messages, message in zip(interleaved, pair, strict=True):
            messages += [message] if message is not None else []
    assert interleaved == alone
    assert all(len(messages) > 10 for messages in alone)
    assert alone[0] != alone[1]
    assert [list(run_core(OTHER_SETTINGS, "p")), list(run_core(SETTINGS, "a"))] == alone[::-1]


def test_proxies_with_equal_messages_share_their_bytes() -> None:
    site = Site(proxies=8)
    site.sent.clear()
    site.update(discovered(1, Phase.DRAINING))
    site.run(1)
    drains = [data for data in site.sent if b"out=s-1" in data]
    assert len(drains) == 8
    assert len({id(data) for data in drains}) < 8


@pytest.mark.parametrize("order", permutations(["drain", "rejoin", "restart", "stall"]))
def test_a_drain_reaches_every_proxy_in_any_order_of_faults(order: tuple[str, ...]) -> None:
    site = Site()
    for fault in order:
        if fault == "drain":
            site.update(discovered(2, Phase.DRAINING))
        elif fault == "rejoin":
            site.join(site.proxies[0], is_new=False)
        elif fault == "restart":
            site.update(discovered(4, Phase.READY, site.now_us))
        else:
            site.proxies[1].is_stalled = True
        site.run(0.3)
    site.proxies[1].is_stalled = False
    site.join(site.proxies[1], is_new=False)
    site.run(2)
    for proxy in site.proxies:
        for cls in CLASSES:
            assert "s-2" not in proxy.available(cls)
            assert proxy.available(cls), "no replica is available"


def test_a_full_table_is_sent_with_the_admission_limits_that_it_resets() -> None:
    site = Site()
    site.core.tables.apply(SetAdmission(None, (0,), 0.5, 0))
    proxy = site.join_late(Proxy(7, "a"))
    site.run(1)
    assert proxy.admission == {"read": (0.5, 0)}


def test_withdrawals_of_another_governor_end_on_joining_but_for_draining_replicas() -> None:
    """A proxy keeps withdrawals when it changes streams, and avoided the replicas for ever."""
    site = Site()
    site.update(discovered(3, Phase.DRAINING))
    site.run(1)
    proxy = site.join_late(Proxy(7, "a", withdrawn={"s-0", "s-3", "s-4"}), is_new=False)
    site.run(2)
    assert proxy.withdrawn == {"s-3"}
    assert set(proxy.available("write")) == {"s-0", "s-2", "s-4"}


def test_the_late_end_of_an_old_stream_changes_nothing_and_old_acknowledgements_are_dropped() -> None:
    site = Site()
    proxy = site.proxies[0]
    old = proxy.stream_id
    site.join(proxy, is_new=False)
    site.core.on_proxy_left(proxy.number, old, "its stream ended")
    site.acknowledge(proxy, 1, stream_id=old)
    site.run(1)
    assert proxy.number in site.core.streams.by_proxy
    assert proxy.available("read")
    site.acknowledge(proxy, 60_000)
    assert site.core.malformed.total == 1
    assert not site.core.pending_events


def test_a_silent_proxy_delays_no_weights_and_is_not_bound_again_when_it_resumes() -> None:
    site = Site()
    proxy = site.proxies[0]
    proxy.is_stalled = True
    site.update(discovered(5, Phase.DRAINING))
    site.run(6)
    assert not site.core.policy.fleet.flow.unacknowledged_lines
    assert site.core.streams.overdue_count
    message_count = proxy.message_count
    proxy.is_stalled = False
    site.core.on_stream_active(site.now_us, proxy.number, proxy.stream_id)
    site.run(1)
    assert proxy.message_count == message_count
    assert len(site.core.policy.fleet.flow.message_times[proxy.number]) > 1


def test_a_silent_stream_is_still_sent_withdrawals() -> None:
    site = Site()
    proxy = site.proxies[0]
    proxy.is_stalled = True
    site.update(discovered(5, Phase.DRAINING))
    site.run(6)
    proxy.is_stalled = False  # the proxy resumes reading
    site.update(discovered(1, Phase.DRAINING))
    site.step()
    assert "s-1" in proxy.withdrawn


def test_a_message_queued_in_the_channel_is_not_overdue() -> None:
    """In the run herd+mass, with 6 s of queue, the messages of 16 of 346 streams were given up because their
    acknowledgements arrived slightly after those of the others. The policy no longer counted lines that were
    still queued, and 36,019 lines were queued in a channel that allows 36,000."""
    site = Site()
    for proxy in site.proxies:
        proxy.is_stalled = True
    site.update(discovered(5, Phase.DRAINING))
    site.step()
    site.update(discovered(1, Phase.DRAINING))
    site.run(3.5)
    newest = site.core.streams.by_proxy[1].unacknowledged[-1]
    site.acknowledge(site.proxies[1], newest.revision)
    site.run(1)
    assert not site.core.streams.overdue_count
    assert site.core.policy.fleet.flow.unacknowledged_lines > 0


def test_a_bind_omits_withdrawn_replicas_and_a_withdrawal_goes_to_proxies_with_the_replica() -> None:
    site = Site()
    site.update(discovered(2, Phase.DRAINING))
    site.run(1)
    late = site.join_late(Proxy(6, "a"))
    site.run(1)
    assert set(late.tables["read"]) == {f"s-{n}" for n in (0, 1, 3, 4, 5)}
    assert not late.withdrawn
    counts = [p.message_count for p in site.proxies]
    site.update(discovered(2, Phase.GONE))
    site.step()
    assert [p.message_count for p in site.proxies] == counts
    site.update(discovered(2))
    site.run(3)
    assert all(p.available("read").get("s-2") for p in site.proxies)


def test_an_endpoint_with_an_unknown_zone_hides_no_drain_and_adds_no_replica() -> None:
    site = Site()
    site.update(replace(discovered(2, Phase.DRAINING), zone="z"), replace(discovered(9), zone="z"))
    site.run(1)
    assert "s-2" in site.proxies[0].withdrawn
    assert not any("s-9" in p.tables["read"] for p in site.proxies)
    assert site.core.malformed.total == 2


def test_hellos_and_reports_of_unknown_peers_are_dropped_alone() -> None:
    site = Site()
    for hello in (lines.ProxyHello(8, "a", 1.0, True), lines.ProxyHello(1, "z", 1.0, True)):
        with pytest.raises(JoinRejectedError):
            site.core.on_proxy_joined(site.now_us, hello)
    site.core.on_outcomes_reported(lines.AttemptOutcomes("z", "s-1", 1, 0, 1, 1, None))
    site.core.on_outcomes_reported(lines.AttemptOutcomes("a", "s-99", 1, 0, 1, 1, None))
    site.core.on_demand_reported(lines.Demand(6, "read", 1, 0, SECOND), None)
    site.core.on_demand_reported(lines.Demand(1, "read", 1, 0, SECOND), 2)
    site.core.on_demand_reported(lines.Demand(1, "none", 1, 0, SECOND), 1)
    assert site.core.malformed.total == 5
    assert not site.core.pending_events
    # Incomplete requests may have arrived in an earlier period, so there may be more of them than requests.
    site.core.on_demand_reported(lines.Demand(1, "read", 1, 3, SECOND), 1)
    assert len(site.core.pending_events) == 1


def test_four_hundred_joins_get_their_tables_within_the_limits_of_the_channel() -> None:
    site = Site(proxies=8)
    for _ in range(50):
        for proxy in site.proxies:
            site.join(proxy, is_new=False)
        site.run(0.1)
    site.run(5)
    assert all(p.available("read") for p in site.proxies)
    assert len(site.core.streams.by_proxy) == 8
    assert not site.core.policy.fleet.flow.unacknowledged_lines
    assert not any(s.unacknowledged for s in site.core.streams.by_proxy.values())


def test_binds_carry_no_withdrawals_of_replicas_replaced_long_ago() -> None:
    """Replicas are replaced under new ids throughout a day, and each bind would carry all former ones."""
    site = Site()
    for n in range(10, 30):
        site.update(discovered(n))
        site.run(1)
        site.update(discovered(n, Phase.DRAINING))
        site.run(1)
        site.update(discovered(n, Phase.GONE))
        site.run(2)
    assert len(site.core.tables.withdrawn) > 10
    proxy = site.join_late(Proxy(7, "a"))
    site.run(1)
    assert not proxy.withdrawn
    assert set(proxy.tables["read"]) == {f"s-{n}" for n in range(6)}


def test_load_reports_reach_the_policy_by_the_names_that_the_settings_give() -> None:
    """With only the documented metric names no report was parsed, and weights were never adjusted to load."""
    site = Site()
    for metrics in ("outstanding:7,recent_ms:12.5,utilization:0.61", "inflight:7,latency_ms:12.5,util:0.61"):
        line = f"outcomes site=a target=s-1 count=9 fail=0 mean=41 over=1000 util={metrics},novel:3"
        report = parse_line(line.encode())
        assert isinstance(report, lines.AttemptOutcomes)
        site.core.on_outcomes_reported(report)
        event = site.core.pending_events.pop()
        assert isinstance(event, AttemptsReported)
        assert event.load == LoadReport(0.61, 7.0, 12.5)


def test_reported_load_lowers_the_weight_of_a_busy_replica() -> None:
    site = Site()
    before = site.proxies[0].tables["read"]["s-0"]
    for _ in range(20):
        for n in range(6):
            busy = 0.95 if n == 0 else 0.4
            text = f"outcomes site=a target=s-{n} count=9 fail=0 mean=41 over=1000 util=utilization:{busy}"
            report = parse_line(text.encode())
            assert isinstance(report, lines.AttemptOutcomes)
            site.core.on_outcomes_reported(report)
        site.run(1)
    table = site.proxies[0].tables["read"]
    assert table["s-0"] / table["s-2"] < 0.8 * before / 1.0


def test_messages_in_a_slow_channel_are_not_overdue() -> None:
    """The last messages of a slow channel arrive long after the first. They were given up while still queued,
    and the policy no longer counted their lines."""
    site = Site(proxies=8)
    for proxy in site.proxies:
        proxy.is_stalled = True
    site.update(discovered(5, Phase.DRAINING))
    site.step()
    unacknowledged = site.core.policy.fleet.flow.unacknowledged_lines
    assert unacknowledged > 0
    for proxy in site.proxies:
        site.run(1.5)
        stream = site.core.streams.by_proxy[proxy.number]
        site.acknowledge(proxy, stream.unacknowledged[0].revision)
        site.step()
    assert not site.core.streams.overdue_count


def test_a_trace_shows_estimates_beside_the_reports_since_the_last_one() -> None:
    identifiers = platform.parse_identifiers(SETTINGS)
    cached = EndpointListUpdate(revision=1, is_snapshot=True, endpoints=(discovered(0),))
    core = NodeCore(
        identifiers=identifiers,
        policy_config=platform.parse_config(SETTINGS, identifiers, 7),
        cached_endpoints=cached,
        now_us=0,
        is_traced=True,
    )
    report = parse_line(b"outcomes site=a target=s-0 count=9 fail=1 mean=50 over=1000 util=util:0.5")
    assert isinstance(report, lines.AttemptOutcomes)
    core.on_outcomes_reported(report)
    core.advance(SECOND)
    replica_line, fleet_line = core.take_trace()
    assert replica_line.startswith("trace s-0 a k ready size 1 weight ")
    assert replica_line.endswith("| attempts 9 failures 1 mean_s 0.050 busy_share 0.50 in_flight -1.0")
    assert fleet_line.startswith("trace fleet admitted_share 1.000 unacknowledged_lines ")
    assert core.take_trace()[0].endswith(
        "| attempts 0 failures 0 mean_s 0.000 busy_share -1.00 in_flight -1.0"
    )
