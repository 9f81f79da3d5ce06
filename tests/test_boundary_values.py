"""Boundary values: empty fleets, zero, very large and very late values, in the policy and the governor."""

from __future__ import annotations

import math
from dataclasses import replace

import pytest

from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.cells.rate_limits import RateLimiter, RateLimits
from gradehoist.cells.rollout import TrafficCounts, are_other_cells_stable, describe_regression
from gradehoist.governor.cell_stats import CellStats
from gradehoist.governor.channel import Channel
from gradehoist.governor.load_reports import LoadReportQueue
from gradehoist.governor.order_reasons import explain_orders
from gradehoist.identifiers import Identifiers
from gradehoist.interface import (
    AttemptsReported,
    ChannelLimits,
    EndpointListKind,
    EndpointsListed,
    Event,
    HealthChecked,
    HealthCheckOutcome,
    LoadReport,
    Order,
    Phase,
    ProxyJoined,
    RequestsOffered,
    SetAdmission,
    TimerFired,
    WithdrawReplica,
)
from gradehoist.protocol import feed, orca
from tests.support.policy_fleet import (
    SECOND,
    UNRESTRICTED,
    ZONE_LOCAL,
    SimulatedFleet,
    endpoint,
    policy_config,
    running_fleet,
)

HOUR = 3600 * SECOND
GONE = Phase.GONE
VAST = 10**9


def sound(fleet: SimulatedFleet) -> None:
    """Every weight that stands is a finite number over zero, and every table that is used has some."""
    for table, lines in fleet.tables.items():
        assert all(math.isfinite(w) and 0 < w < 1e6 for w in lines.values()), (table, lines)
    assert all(
        math.isfinite(s) for o in fleet.orders if isinstance(o, SetAdmission) for s in [o.admitted_share]
    )


LOADS = [
    LoadReport(0.0, 0.0),
    LoadReport(1e9, 1e9),
    LoadReport(None, 0.0),
    LoadReport(0.0, None),
    LoadReport(1e-12, 1e9),
    None,
]


@pytest.mark.parametrize("load", LOADS, ids=str)
@pytest.mark.parametrize("met", [(0, 0), (VAST, VAST), (VAST, 0), (1, 1)], ids=str)
@pytest.mark.parametrize("count", [0, 1, 2, 9])
def test_any_load_report_leaves_weights_finite_and_positive(
    count: int, met: tuple[int, int], load: LoadReport | None
) -> None:
    fleet = running_fleet(count)
    fleet.run(4, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(count)})
    for window, elapsed in ((0, 0), (1, 10**12), (SECOND, 0), (40 * 365 * 24 * HOUR, 10**12)):
        fleet.step(
            *(AttemptsReported(z, n, *met, elapsed, window, load) for z in range(3) for n in range(count)),
            *(RequestsOffered(p, k, VAST, VAST, window) for p in fleet.proxies for k in range(3)),
        )
        fleet.run(2, {0: (*met, load)})
    sound(fleet)


@pytest.mark.parametrize("size", [0.0, 1e-9, 1e9])
def test_sizes_at_the_edges(size: float) -> None:
    fleet = SimulatedFleet()
    fleet.step(
        EndpointsListed(
            EndpointListKind.SNAPSHOT,
            tuple(replace(endpoint(n), size=size if n % 2 else 1.0) for n in range(6)),
        )
    )
    fleet.step(*(ProxyJoined(p, p % 3, 0.0 if p else 1e9) for p in range(3)))
    fleet.run(8, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(6)})
    sound(fleet)
    assert all(fleet.bound.values())
    assert all(fleet.open_lines(t) for b in fleet.bound.values() for t in b.values())


def test_a_pool_that_empties_fills_again_and_a_zone_without_replicas_is_served() -> None:
    fleet = running_fleet(3)
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, ()))
    fleet.run(3)
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, (endpoint(0, started_us=fleet.now_us),)))
    fleet.run(30, {0: (6, 0, LoadReport(0.5, 2.0))})
    sound(fleet)
    open_to_all = [fleet.open_lines(b[0]) for b in fleet.bound.values()]
    assert all(set(lines) == {0} for lines in open_to_all)


def test_no_proxies_then_one_and_classes_of_one_replica() -> None:
    alone = replace(UNRESTRICTED, allowed_zones=(2,))
    fleet = SimulatedFleet(policy_config((UNRESTRICTED, alone, ZONE_LOCAL)))
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, tuple(endpoint(n) for n in range(3))))
    fleet.run(5, {n: (VAST, VAST, None) for n in range(3)})
    fleet.step(ProxyJoined(0, 0, 0.0))
    fleet.run(5, {n: (9, 9, None) for n in range(3)})
    sound(fleet)
    assert set(fleet.open_lines(fleet.bound[0][1])) == {2}  # all its tries fail, and it is the only one


def test_an_hour_s_pause_of_the_governor_does_not_freeze_the_loop() -> None:
    """The one report that waited through it has a window of an hour: a third of that became the period."""
    fleet = running_fleet(2)
    fleet.run(5, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(2)})
    fleet.now_us, fleet.timers = fleet.now_us + HOUR, [fleet.now_us + HOUR]
    fleet.step(*(AttemptsReported(n % 3, n, 6, 0, 200_000, HOUR, LoadReport(0.5, 2.0)) for n in range(2)))
    before = fleet.traffic_share(0, 0, 0)
    fleet.run(60, {0: (6, 0, LoadReport(1.0, 12.0)), 1: (6, 0, LoadReport(0.3, 1.0))})
    assert fleet.traffic_share(0, 0, 0) < 0.8 * before


def test_on_a_machine_just_booted_a_replica_that_runs_for_long_is_warm() -> None:
    """Its clock is younger than the cold time; long past is told as 0, and nobody was ever ejected."""
    fleet = SimulatedFleet(now_us=2 * SECOND)
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, tuple(endpoint(n) for n in range(9))))
    fleet.step(*(ProxyJoined(p, p % 3, 5.0) for p in range(3)))
    fleet.run(3, {n: (6, 6 * (n == 0), LoadReport(0.5, 2.0)) for n in range(9)})
    assert 0 in fleet.withdrawn


def test_a_replica_gone_for_an_hour_is_forgotten_and_one_of_that_name_is_taken_back() -> None:
    """3,000 replaced servers made each step 27 times as long."""
    fleet = running_fleet(9)
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, GONE), endpoint(4, GONE))))
    fleet.run(3, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(9)})
    assert fleet.withdrawn == {0, 4}
    fleet.now_us, fleet.timers = fleet.now_us + HOUR, [fleet.now_us + HOUR]
    fleet.run(5, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(1, 9) if n != 4})
    module = fleet.policy
    assert not fleet.withdrawn
    assert 0 not in module.fleet.replicas.actors
    assert not any(0 in lines for lines in fleet.tables.values())
    fleet.step(
        AttemptsReported(0, 0, 9, 9, 0, SECOND, None),
        HealthChecked(0, HealthCheckOutcome.HEALTHY, 1, None),
    )  # a late word
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, started_us=fleet.now_us),)))
    fleet.run(20, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(9) if n != 4})
    assert fleet.traffic_share(0, 0, 0) > 0
    assert 0 not in fleet.withdrawn
    sound(fleet)


def test_the_withdrawal_of_a_forgotten_replica_is_explained_as_it_is_lifted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The explanation looked up a replica that the policy had just forgotten: its process failed."""
    fleet = running_fleet(9)
    handle, reasons = fleet.policy.handle, dict[Order, str]()

    def explained_handle(now_us: int, events: list[Event]) -> list[Order]:
        orders = handle(now_us, events)
        reasons.update({orders[n]: reason for n, reason in explain_orders(fleet.policy, orders).items()})
        return orders

    monkeypatch.setattr(fleet.policy, "handle", explained_handle)
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, GONE),)))
    fleet.run(3)
    fleet.now_us, fleet.timers = fleet.now_us + HOUR, [fleet.now_us + HOUR]
    fleet.run(5)
    assert reasons[WithdrawReplica(0, True)] == "listed as gone"
    assert reasons[WithdrawReplica(0, False)] == "forgotten: gone for long"


@pytest.mark.parametrize("again", [True, False])
def test_one_that_comes_back_as_it_is_forgotten_is_not_lost(again: bool) -> None:
    fleet = running_fleet(9)
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, GONE),)))
    fleet.run(3, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(9)})
    fleet.now_us, fleet.timers = fleet.now_us + HOUR, [fleet.now_us + HOUR]
    back = endpoint(0, started_us=fleet.now_us)
    fleet.step(
        *fleet.acknowledge(), EndpointsListed(EndpointListKind.DELTA, (back,)), TimerFired(0)
    )  # due in the same batch
    if again:
        fleet.step(EndpointsListed(EndpointListKind.DELTA, (replace(back, phase=GONE),)))
        fleet.run(2, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(1, 9)})
        assert 0 in fleet.withdrawn
        fleet.step(EndpointsListed(EndpointListKind.DELTA, (back,)))
    fleet.run(20, {n: (6, 0, LoadReport(0.5, 2.0)) for n in range(9)})
    assert fleet.traffic_share(0, 0, 0) > 0
    assert 0 not in fleet.withdrawn


def test_a_load_report_queue_accepts_huge_and_empty_counts_at_late_times() -> None:
    identifiers = Identifiers(["x"], ["k"], ["c"])
    identifiers.replicas.intern("w")
    identifiers.proxies.intern("r")
    late_us = 2**53 + 12_345
    queue = LoadReportQueue(identifiers, 1.0, SECOND, 0)
    report = feed.ProxyLoadReport(
        "r",
        "e",
        0,
        (feed.ReplicaAttempts("w", VAST, VAST, 10**12), feed.ReplicaAttempts("w", 0, 0, 0)),
        (feed.ClassRequests("c", VAST, VAST),),
    )
    for _ in range(50):
        queue.add(0, 0, report)
    times_us = (SECOND, 30 * 24 * HOUR, late_us, late_us + SECOND)
    events = [event for time_us in times_us for event in queue.take_due(time_us)]
    assert {type(event) for event in events} == {AttemptsReported, RequestsOffered}
    attempts = [event for event in events if isinstance(event, AttemptsReported)]
    assert [(event.attempts, event.failures) for event in attempts] == [(50 * VAST, 50 * VAST)]
    assert queue.next_due_us() > late_us


def test_a_channel_releases_messages_at_a_late_time() -> None:
    channel = Channel(queue_limit_lines=100.0, lines_per_s=1_000.0, messages_per_window=1, window_us=SECOND)
    channel.add_proxy(0)
    message = feed.Message(1, 1, 0, 0.0, ())
    assert not channel.put(2**53, 0, 1, message)
    assert channel.put(2**53, 0, 1, message)
    assert len(channel.take_released(2**53)) == 1
    assert channel.waiting_lines == 0
    assert channel.next_release_us() is None
    assert channel.put(0, 7, 1, message) == "the proxy has left"


def test_a_rate_limiter_accepts_tiny_rates_and_a_clock_that_goes_backwards() -> None:
    limiter = RateLimiter(RateLimits(0.001, 0.001, 0.1))
    assert limiter.admit(0, "", "") is None
    assert limiter.admit(-HOUR, "", "")
    assert limiter.admit(2**60, "", "") is None


def test_channel_shares_accept_no_proxies_and_a_full_queue() -> None:
    channel_limits = ChannelLimits(
        queue_limit_lines=1.0,
        lines_per_s=1.0,
        message_overhead_lines=0.0,
        messages_per_window=0,
        message_window_us=SECOND,
    )
    shares = ChannelShares(1, channel_limits, 1)
    assert shares.available_lines(0, 0.0) >= 0
    assert shares.available_lines(10**6, 1e9) == 0
    assert shares.allows_message(10**9)


def test_a_cell_without_replicas_has_no_load() -> None:
    stats = CellStats(("a", "b"), {"w": "a"})
    assert stats.status({})["b"]["load"] == 0.0


NO_TRAFFIC = {"a": TrafficCounts(), "b": TrafficCounts()}
ALL_INCOMPLETE = {"a": TrafficCounts(40, 40), "b": TrafficCounts(40, 40)}


@pytest.mark.parametrize("before", [NO_TRAFFIC, ALL_INCOMPLETE], ids=["no traffic", "all incomplete"])
@pytest.mark.parametrize("now", [NO_TRAFFIC, ALL_INCOMPLETE], ids=["no traffic", "all incomplete"])
def test_rates_of_cells_without_traffic_or_successes_can_be_compared(
    before: dict[str, TrafficCounts], now: dict[str, TrafficCounts]
) -> None:
    assert isinstance(describe_regression("a", before, now), str)
    assert isinstance(are_other_cells_stable("a", before, now), bool)


@pytest.mark.parametrize("utilization", ["nan", "inf", "-1", "1e10", "-nan", "", "1e400"])
def test_a_load_report_with_an_invalid_utilization_is_rejected(utilization: str) -> None:
    with pytest.raises(ValueError, match="cpu_utilization|to float"):
        orca.parse_report(f"TEXT cpu_utilization={utilization}")
