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
HUGE = 10**9
TYPICAL_LOAD = LoadReport(0.5, 2.0)
TYPICAL_REPORT = (6, 0, TYPICAL_LOAD)  # attempts, failures and load


def check_finite(fleet: SimulatedFleet) -> None:
    """Checks that all weights are finite and positive, and that all admitted shares are finite."""
    for table, weights in fleet.tables.items():
        assert all(math.isfinite(weight) and 0 < weight < 1e6 for weight in weights.values()), (
            table,
            weights,
        )
    assert all(
        math.isfinite(order.admitted_share) for order in fleet.orders if isinstance(order, SetAdmission)
    )


def skip_hour(fleet: SimulatedFleet) -> None:
    """Moves the clock an hour ahead; the policy's timer fires once, at the end of the hour."""
    fleet.now_us += HOUR
    fleet.timers = [(fleet.now_us, 0)]


LOADS = [
    LoadReport(0.0, 0.0),
    LoadReport(1e9, 1e9),
    LoadReport(None, 0.0),
    LoadReport(0.0, None),
    LoadReport(1e-12, 1e9),
    None,
]


@pytest.mark.parametrize("load", LOADS, ids=str)
@pytest.mark.parametrize("attempts_and_failures", [(0, 0), (HUGE, HUGE), (HUGE, 0), (1, 1)], ids=str)
@pytest.mark.parametrize("count", [0, 1, 2, 9])
def test_any_load_report_leaves_weights_finite_and_positive(
    count: int, attempts_and_failures: tuple[int, int], load: LoadReport | None
) -> None:
    fleet = running_fleet(count)
    fleet.run(4, dict.fromkeys(range(count), TYPICAL_REPORT))
    for window_us, latency_us in ((0, 0), (1, 10**12), (SECOND, 0), (40 * 365 * 24 * HOUR, 10**12)):
        fleet.step(
            *(
                AttemptsReported(zone, replica, *attempts_and_failures, latency_us, window_us, load)
                for zone in range(3)
                for replica in range(count)
            ),
            *(
                RequestsOffered(proxy, request_class, HUGE, HUGE, window_us)
                for proxy in fleet.proxies
                for request_class in range(3)
            ),
        )
        fleet.run(2, {0: (*attempts_and_failures, load)})
    check_finite(fleet)


@pytest.mark.parametrize("size", [0.0, 1e-9, 1e9])
def test_replicas_of_extreme_sizes_get_finite_weights(size: float) -> None:
    fleet = SimulatedFleet()
    fleet.step(
        EndpointsListed(
            EndpointListKind.SNAPSHOT,
            tuple(replace(endpoint(n), size=size if n % 2 else 1.0) for n in range(6)),
        )
    )
    fleet.step(*(ProxyJoined(proxy, proxy % 3, 0.0 if proxy else 1e9) for proxy in range(3)))
    fleet.run(8, dict.fromkeys(range(6), TYPICAL_REPORT))
    check_finite(fleet)
    assert all(fleet.bound.values())
    assert all(fleet.open_lines(table) for by_class in fleet.bound.values() for table in by_class.values())


def test_an_emptied_pool_serves_all_zones_again_with_its_first_replica() -> None:
    fleet = running_fleet(3)
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, ()))
    fleet.run(3)
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, (endpoint(0, started_us=fleet.now_us),)))
    fleet.run(30, {0: TYPICAL_REPORT})
    check_finite(fleet)
    assert all(set(fleet.open_lines(by_class[0])) == {0} for by_class in fleet.bound.values())


def test_a_proxy_that_joins_a_fleet_without_proxies_can_use_a_class_with_one_replica() -> None:
    one_replica = replace(UNRESTRICTED, allowed_zones=(2,))
    fleet = SimulatedFleet(policy_config((UNRESTRICTED, one_replica, ZONE_LOCAL)))
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, tuple(endpoint(n) for n in range(3))))
    fleet.run(5, dict.fromkeys(range(3), (HUGE, HUGE, None)))
    fleet.step(ProxyJoined(0, 0, 0.0))
    fleet.run(5, dict.fromkeys(range(3), (9, 9, None)))
    check_finite(fleet)
    # All its attempts fail, but it is the only replica of the class.
    assert set(fleet.open_lines(fleet.bound[0][1])) == {2}


def test_an_hour_s_pause_of_the_governor_does_not_stop_the_adjustment_of_weights() -> None:
    """A load report that waited through the pause has a window of an hour.

    A third of that window became the period of the adjustments, so that weights no longer changed.
    """
    fleet = running_fleet(2)
    fleet.run(5, dict.fromkeys(range(2), TYPICAL_REPORT))
    skip_hour(fleet)
    fleet.step(*(AttemptsReported(n % 3, n, 6, 0, 200_000, HOUR, TYPICAL_LOAD) for n in range(2)))
    before = fleet.traffic_share(0, 0, 0)
    fleet.run(60, {0: (6, 0, LoadReport(1.0, 12.0)), 1: (6, 0, LoadReport(0.3, 1.0))})
    assert fleet.traffic_share(0, 0, 0) < 0.8 * before


def test_a_replica_started_before_the_governor_s_machine_booted_is_warm() -> None:
    """The machine's clock shows less than the warm-up time, and an earlier start is reported as 0.

    Such replicas were regarded as warming up, and no failing replica was ejected.
    """
    fleet = SimulatedFleet(now_us=2 * SECOND)
    fleet.step(EndpointsListed(EndpointListKind.SNAPSHOT, tuple(endpoint(n) for n in range(9))))
    fleet.step(*(ProxyJoined(proxy, proxy % 3, 5.0) for proxy in range(3)))
    fleet.run(3, {n: (6, 6 * (n == 0), TYPICAL_LOAD) for n in range(9)})
    assert 0 in fleet.withdrawn


def test_a_replica_gone_for_an_hour_is_forgotten_and_can_return() -> None:
    """Without that, 3,000 replaced replicas made each step of the policy take 27 times as long."""
    fleet = running_fleet(9)
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, Phase.GONE), endpoint(4, Phase.GONE))))
    fleet.run(3, dict.fromkeys(range(9), TYPICAL_REPORT))
    assert fleet.withdrawn == {0, 4}
    skip_hour(fleet)
    fleet.run(5, {n: TYPICAL_REPORT for n in range(1, 9) if n != 4})
    assert not fleet.withdrawn
    assert 0 not in fleet.policy.fleet.replicas.actors
    assert not any(0 in weights for weights in fleet.tables.values())
    # Reports of a forgotten replica, which arrive late, are ignored.
    fleet.step(
        AttemptsReported(0, 0, 9, 9, 0, SECOND, None),
        HealthChecked(0, HealthCheckOutcome.HEALTHY, 1, None),
    )
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, started_us=fleet.now_us),)))
    fleet.run(20, {n: TYPICAL_REPORT for n in range(9) if n != 4})
    assert fleet.traffic_share(0, 0, 0) > 0
    assert 0 not in fleet.withdrawn
    check_finite(fleet)


def test_the_withdrawal_of_a_forgotten_replica_is_explained_as_it_is_lifted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The explanation looked up a replica that the policy had just forgotten, and the process failed."""
    fleet = running_fleet(9)
    handle, reasons = fleet.policy.handle, dict[Order, str]()

    def handle_and_explain(now_us: int, events: list[Event]) -> list[Order]:
        orders = handle(now_us, events)
        reasons.update({orders[n]: reason for n, reason in explain_orders(fleet.policy, orders).items()})
        return orders

    monkeypatch.setattr(fleet.policy, "handle", handle_and_explain)
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, Phase.GONE),)))
    fleet.run(3)
    skip_hour(fleet)
    fleet.run(5)
    assert reasons[WithdrawReplica(0, True)] == "listed as gone"
    assert reasons[WithdrawReplica(0, False)] == "forgotten: gone for long"


@pytest.mark.parametrize("leaves_again", [True, False])
def test_a_replica_that_returns_when_it_is_due_to_be_forgotten_is_used_again(leaves_again: bool) -> None:
    fleet = running_fleet(9)
    fleet.step(EndpointsListed(EndpointListKind.DELTA, (endpoint(0, Phase.GONE),)))
    fleet.run(3, dict.fromkeys(range(9), TYPICAL_REPORT))
    skip_hour(fleet)
    returned = endpoint(0, started_us=fleet.now_us)
    # The list and the timer that would forget the replica are in the same batch of events.
    fleet.step(*fleet.acknowledge(), EndpointsListed(EndpointListKind.DELTA, (returned,)), TimerFired(0))
    if leaves_again:
        fleet.step(EndpointsListed(EndpointListKind.DELTA, (replace(returned, phase=Phase.GONE),)))
        fleet.run(2, dict.fromkeys(range(1, 9), TYPICAL_REPORT))
        assert 0 in fleet.withdrawn
        fleet.step(EndpointsListed(EndpointListKind.DELTA, (returned,)))
    fleet.run(20, dict.fromkeys(range(9), TYPICAL_REPORT))
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
        (feed.ReplicaAttempts("w", HUGE, HUGE, 10**12), feed.ReplicaAttempts("w", 0, 0, 0)),
        (feed.ClassRequests("c", HUGE, HUGE),),
    )
    for _ in range(50):
        queue.add(0, 0, report)
    times_us = (SECOND, 30 * 24 * HOUR, late_us, late_us + SECOND)
    events = [event for time_us in times_us for event in queue.take_due(time_us)]
    assert {type(event) for event in events} == {AttemptsReported, RequestsOffered}
    attempts = [event for event in events if isinstance(event, AttemptsReported)]
    assert [(event.attempts, event.failures) for event in attempts] == [(50 * HUGE, 50 * HUGE)]
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
        worst_transit_us=0,
    )
    shares = ChannelShares(1, channel_limits, 1)
    assert shares.available_lines(0, 0.0) >= 0
    assert shares.available_lines(10**6, 1e9) == 0
    assert shares.allows_message([0] * 10**4, 0, shares.max_withdrawal_wait_us(10**6, 1e9))


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
