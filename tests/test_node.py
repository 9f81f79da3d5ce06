"""The node's core with the real module: what proxies hold after what came in, by their own reading."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace
from itertools import permutations, zip_longest
from typing import Any

import pytest

from gradehoist import interface as i
from gradehoist.node.core import JoinRejectedError, NodeCore
from gradehoist.node.discovery import EndpointListUpdate
from gradehoist.protocol import lines
from gradehoist.protocol.line_parser import parse_line
from gradehoist.settings import platform
from tests.support.platform_proxies import CLASSES, SECOND, SETTINGS, Proxy, Site, member


def test_joined_proxies_get_tables_of_what_each_class_may_use() -> None:
    site = Site()
    for proxy in site.proxies:
        assert set(proxy.tables["read"]) == {f"s-{n}" for n in range(6)}
        assert set(proxy.tables["write"]) == {"s-0", "s-2", "s-4"}
    assert not site.core.policy.fleet.flow.unacknowledged_lines, "every mark was answered"


OTHER = {
    "azs": ["p", "q", "r"], "kinds": ["large", "small"],
    "classes": [{"name": n, "aim": 0.2, "deadline": 9.0, "idempotency": "single_shot", "worth": w}
                for n, w in (("quote", 1.0), ("seal", 7.0), ("scan", 2.0), ("hold", 3.0))],
    "specifics": {"period": 2.0, "proxies": 4, "pending-max": 300.0, "push-rate": 90.0, "fixed-cost": 2.0,
                  "pushes-allowed": 6, "update-window": 5.0, "blackhole": 2.0, "admission": "rate"},
    "guarantees": {"drain-grace": 0.5, "cold": 3.0, "cold-share": 0.6, "fall-multiple": 2.0,
                   "tip-after": 1.0},
    "report": {"how": "off"},
}  # fmt: skip


def test_two_unlike_deployments_in_one_process_share_nothing() -> None:
    """Side by side, and one after the other, each gives the bytes that it gives alone."""

    def one(settings: dict[str, Any], zone: str) -> Iterator[tuple[int, int, bytes]]:
        names, now = platform.parse_identifiers(settings), 1_800_000_000 * SECOND
        some = tuple(replace(member(n), zone=zone) for n in range(5))
        core = NodeCore(
            names, platform.parse_config(settings, names, 7), EndpointListUpdate(1, True, some), now
        )
        for second in range(8):
            core.on_proxy_joined(now, lines.ProxyHello(second % 4, zone, 5.0 + second, second < 4))
            if second > 3:
                core.on_endpoint_update(
                    EndpointListUpdate(second, False, (replace(member(second - 4, "leaving"), zone=zone),))
                )
            core.advance(now := now + SECOND)
            yield from core.outbound
            core.outbound.clear()

    alone = [list(one(SETTINGS, "a")), list(one(OTHER, "p"))]
    beside = [list[tuple[int, int, bytes]](), list[tuple[int, int, bytes]]()]
    for pair in zip_longest(one(SETTINGS, "a"), one(OTHER, "p")):
        for kept, told in zip(beside, pair, strict=True):
            kept += [told] if told is not None else []
    assert beside == alone and all(len(some) > 10 for some in alone) and alone[0] != alone[1]
    assert [list(one(OTHER, "p")), list(one(SETTINGS, "a"))] == alone[::-1]


def test_proxies_told_alike_share_their_bytes() -> None:
    site = Site(proxies=8)
    site.bytes.clear()
    site.list(member(1, "leaving"))
    site.run(1)
    drains = [data for data in site.bytes if b"out=s-1" in data]
    assert len(drains) == 8 and len({id(data) for data in drains}) < 8


@pytest.mark.parametrize("order", permutations(["drain", "rejoin", "restart", "deaf"]))
def test_drains_reach_every_holder_in_any_order_of_troubles(order: tuple[str, ...]) -> None:
    site = Site()
    for word in order:
        if word == "drain":
            site.list(member(2, "leaving"))
        elif word == "rejoin":
            site.join(site.proxies[0], fresh=False)
        elif word == "restart":
            site.list(member(4, "active", site.now))
        else:
            site.proxies[1].deaf = True
        site.run(0.3)
    site.proxies[1].deaf = False
    site.join(site.proxies[1], fresh=False)
    site.run(2)
    for proxy in site.proxies:
        for cls in CLASSES:
            assert "s-2" not in proxy.open(cls)
            assert proxy.open(cls), "nothing to pick"


def test_a_whole_table_brings_the_levels_that_it_makes_a_proxy_forget() -> None:
    site = Site()
    site.core.tables.apply(i.SetAdmission(None, (0,), 0.5, 0))
    proxy = Proxy(7, "a")
    site.proxies.append(proxy)
    site.join(proxy)
    site.run(1)
    assert proxy.levels == {"read": (0.5, 0)}


def test_what_another_governor_shut_is_let_back_and_what_drains_is_not() -> None:
    """A proxy keeps what it is shut out from over a change of streams: unsaid, it shunned it for good."""
    site = Site()
    site.list(member(3, "leaving"))
    site.run(1)
    proxy = Proxy(7, "a", out={"s-0", "s-3", "s-4"})
    site.proxies.append(proxy)
    site.join(proxy, fresh=False)
    site.run(2)
    assert proxy.out == {"s-3"} and set(proxy.open("write")) == {"s-0", "s-2", "s-4"}


def test_a_late_end_of_an_old_stream_touches_nothing_and_old_marks_are_dropped() -> None:
    site = Site()
    proxy = site.proxies[0]
    old = proxy.stream
    site.join(proxy, fresh=False)
    site.core.on_proxy_left(proxy.number, old, "its stream ended")
    site.core.on_acknowledged(site.now, proxy.number, old, lines.Acknowledgement(proxy.number, 1, 1_000))
    site.run(1)
    assert proxy.number in site.core.streams and proxy.open("read")
    site.core.on_acknowledged(
        site.now, proxy.number, proxy.stream, lines.Acknowledgement(proxy.number, 60_000, 1_000)
    )
    assert sum(site.core.malformed_counts.values()) == 1 and not site.core.pending_events


def test_a_vanished_proxy_holds_up_no_weights_and_goes_on_where_it_was_once_heard() -> None:
    site = Site()
    proxy = site.proxies[0]
    proxy.deaf = True
    site.list(member(5, "leaving"))
    site.run(6)
    assert not site.core.policy.fleet.flow.unacknowledged_lines and site.core.unacknowledged_count
    binds = proxy.messages
    proxy.deaf = False
    site.core.on_stream_active(site.now, proxy.number, proxy.stream)
    site.run(1)
    assert proxy.messages == binds and len(site.core.policy.fleet.flow.message_times[proxy.number]) > 1


def test_a_silent_stream_is_told_of_drains_all_the_same() -> None:
    site = Site()
    proxy = site.proxies[0]
    proxy.deaf = True
    site.list(member(5, "leaving"))
    site.run(6)
    proxy.deaf = False  # it stood still, and reads on
    site.list(member(1, "leaving"))
    site.step()
    assert "s-1" in proxy.out


def test_a_message_long_in_the_channel_makes_nobody_pass_for_silent_at_once() -> None:
    """herd+mass: behind 6 s of queue, 16 of 346 streams whose answers came a moment after the others' were
    given up; their lines left the books and not the channel, which then held 36,019 where 36,000 may wait."""
    site = Site()
    for proxy in site.proxies:
        proxy.deaf = True
    site.list(member(5, "leaving"))
    site.step()
    site.list(member(1, "leaving"))
    site.run(3.5)
    site.core.on_acknowledged(
        site.now,
        1,
        site.proxies[1].stream,
        lines.Acknowledgement(1, site.core.streams[1].unacknowledged[-1][0], 1),
    )
    site.run(1)
    assert not site.core.unacknowledged_count and site.core.policy.fleet.flow.unacknowledged_lines > 0


def test_a_bind_names_no_withdrawn_replica_and_a_drain_tells_those_alone_whose_tables_name_it() -> None:
    site = Site()
    site.list(member(2, "leaving"))
    site.run(1)
    late = Proxy(6, "a")
    site.proxies.append(late)
    site.join(late)
    site.run(1)
    assert set(late.tables["read"]) == {f"s-{n}" for n in (0, 1, 3, 4, 5)} and not late.out
    told = [p.messages for p in site.proxies]
    site.list(member(2, "left"))
    site.step()
    assert [p.messages for p in site.proxies] == told
    site.list(member(2))
    site.run(3)
    assert all(p.open("read").get("s-2") for p in site.proxies)


def test_an_entry_of_a_zone_that_no_setting_names_hides_no_drain_and_adds_no_replica() -> None:
    site = Site()
    site.list(replace(member(2, "leaving"), zone="z"), replace(member(9), zone="z"))
    site.run(1)
    assert "s-2" in site.proxies[0].out and not any("s-9" in p.tables["read"] for p in site.proxies)
    assert sum(site.core.malformed_counts.values()) == 2


def test_joinings_and_reports_of_what_does_not_exist_cost_themselves_alone() -> None:
    site = Site()
    for hello in (lines.ProxyHello(8, "a", 1.0, True), lines.ProxyHello(1, "z", 1.0, True)):
        with pytest.raises(JoinRejectedError):
            site.core.on_proxy_joined(site.now, hello)
    site.core.on_outcomes_reported(lines.AttemptOutcomes("z", "s-1", 1, 0, 1, 1, None))
    site.core.on_outcomes_reported(lines.AttemptOutcomes("a", "s-99", 1, 0, 1, 1, None))
    site.core.on_demand_reported(lines.Demand(6, "read", 1, 0, SECOND), None)
    site.core.on_demand_reported(lines.Demand(1, "read", 1, 0, SECOND), 2)
    site.core.on_demand_reported(lines.Demand(1, "none", 1, 0, SECOND), 1)
    assert sum(site.core.malformed_counts.values()) == 5 and not site.core.pending_events
    # What failed may have come in an earlier period: more of it than came is no fault.
    site.core.on_demand_reported(lines.Demand(1, "read", 1, 3, SECOND), 1)
    assert len(site.core.pending_events) == 1


def test_a_message_reaches_all_of_four_hundred_joins_within_the_module_s_books() -> None:
    site = Site(proxies=8)
    for _ in range(50):
        for proxy in site.proxies:
            site.join(proxy, fresh=False)
        site.run(0.1)
    site.run(5)
    assert all(p.open("read") for p in site.proxies) and len(site.core.streams) == 8
    assert not site.core.policy.fleet.flow.unacknowledged_lines and not any(
        s.unacknowledged for s in site.core.streams.values()
    )


def test_binds_bring_no_withdrawals_of_replicas_long_replaced() -> None:
    """A long day replaces replicas under new ids without end: each bind would grow by all that were."""
    site = Site()
    for n in range(10, 30):
        site.list(member(n))
        site.run(1)
        site.list(member(n, "leaving"))
        site.run(1)
        site.list(member(n, "left"))
        site.run(2)
    assert len(site.core.tables.withdrawn) > 10
    proxy = Proxy(7, "a")
    site.proxies.append(proxy)
    site.join(proxy)
    site.run(1)
    assert not proxy.out and set(proxy.tables["read"]) == {f"s-{n}" for n in range(6)}


def test_load_reports_reach_the_module_by_the_names_that_the_settings_give() -> None:
    """By the pages' names alone no report was ever read, and the loop that moves the weights stood still."""
    site = Site()
    for words in ("outstanding:7,recent_ms:12.5,utilization:0.61", "inflight:7,latency_ms:12.5,util:0.61"):
        line = f"outcomes site=a target=s-1 count=9 fail=0 mean=41 over=1000 util={words},novel:3"
        met = parse_line(line.encode())
        assert isinstance(met, lines.AttemptOutcomes)
        site.core.on_outcomes_reported(met)
        event = site.core.pending_events.pop()
        assert isinstance(event, i.AttemptsReported) and event.load == i.LoadReport(0.61, 7.0, 12.5)


def test_weights_leave_a_busy_replica_by_what_passed_on_the_sockets() -> None:
    site = Site()
    before = site.proxies[0].tables["read"]["s-0"]
    for _ in range(20):
        for n in range(6):
            busy = 0.95 if n == 0 else 0.4
            text = f"outcomes site=a target=s-{n} count=9 fail=0 mean=41 over=1000 util=utilization:{busy}"
            met = parse_line(text.encode())
            assert isinstance(met, lines.AttemptOutcomes)
            site.core.on_outcomes_reported(met)
        site.run(1)
    table = site.proxies[0].tables["read"]
    assert table["s-0"] / table["s-2"] < 0.8 * before / 1.0


def test_a_slow_channel_makes_nobody_pass_for_silent() -> None:
    """Its last messages come long after the first: taken for left, their lines left the books alone."""
    site = Site(proxies=8)
    for proxy in site.proxies:
        proxy.deaf = True
    site.list(member(5, "leaving"))
    site.step()
    waiting = site.core.policy.fleet.flow.unacknowledged_lines
    assert waiting > 0
    for proxy in site.proxies:
        site.run(1.5)
        stream = site.core.streams[proxy.number]
        site.core.on_acknowledged(
            site.now,
            proxy.number,
            proxy.stream,
            lines.Acknowledgement(proxy.number, stream.unacknowledged[0][0], 1),
        )
        site.step()
    assert not site.core.unacknowledged_count
