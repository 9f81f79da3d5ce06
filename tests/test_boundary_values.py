"""Arithmetic at the edges: nothing, one, zero, vast and late figures, in the module and round it."""

from __future__ import annotations

import itertools
import math
from dataclasses import replace

import pytest

from gradehoist import interface as i
from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.cells.rate_limits import RateLimiter, RateLimits
from gradehoist.cells.rollout import TrafficCounts, are_other_cells_stable, describe_regression
from gradehoist.governor.cell_stats import CellStats
from gradehoist.governor.channel import Channel
from gradehoist.governor.load_reports import LoadReportQueue
from gradehoist.governor.order_reasons import explain_orders
from gradehoist.identifiers import Identifiers
from gradehoist.protocol import feed, orca
from tests.support.policy_fleet import ANY, LOCAL, SECOND, World, entry, running, start

HOUR = 3600 * SECOND
GONE = i.Phase.GONE
VAST = 10**9


def sound(world: World) -> None:
    """Every weight that stands is a finite number over zero, and every table that is used has some."""
    for table, lines in world.tables.items():
        assert all(math.isfinite(w) and 0 < w < 1e6 for w in lines.values()), (table, lines)
    assert all(
        math.isfinite(s) for o in world.log if isinstance(o, i.SetAdmission) for s in [o.admitted_share]
    )


LOADS = [
    i.LoadReport(0.0, 0.0),
    i.LoadReport(1e9, 1e9),
    i.LoadReport(None, 0.0),
    i.LoadReport(0.0, None),
    i.LoadReport(1e-12, 1e9),
    None,
]


@pytest.mark.parametrize("load", LOADS, ids=str)
@pytest.mark.parametrize("met", [(0, 0), (VAST, VAST), (VAST, 0), (1, 1)], ids=str)
@pytest.mark.parametrize("count", [0, 1, 2, 9])
def test_any_report_leaves_weights_sound(count: int, met: tuple[int, int], load: i.LoadReport | None) -> None:
    world = running(count)
    world.run(4, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(count)})
    for window, elapsed in ((0, 0), (1, 10**12), (SECOND, 0), (40 * 365 * 24 * HOUR, 10**12)):
        world.step(
            *(i.AttemptsReported(z, n, *met, elapsed, window, load) for z in range(3) for n in range(count)),
            *(i.RequestsOffered(p, k, VAST, VAST, window) for p in world.proxies for k in range(3)),
        )
        world.run(2, {0: (*met, load)})
    sound(world)


@pytest.mark.parametrize("size", [0.0, 1e-9, 1e9])
def test_sizes_at_the_edges(size: float) -> None:
    world = World()
    world.step(
        i.EndpointsListed(
            i.EndpointListKind.SNAPSHOT,
            tuple(replace(entry(n), size=size if n % 2 else 1.0) for n in range(6)),
        )
    )
    world.step(*(i.ProxyJoined(p, p % 3, 0.0 if p else 1e9) for p in range(3)))
    world.run(8, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(6)})
    sound(world)
    assert all(world.bound.values()) and all(world.open(t) for b in world.bound.values() for t in b.values())


def test_a_pool_that_empties_fills_again_and_a_zone_without_servers_is_served() -> None:
    world = running(3)
    world.step(i.EndpointsListed(i.EndpointListKind.SNAPSHOT, ()))
    world.run(3)
    world.step(i.EndpointsListed(i.EndpointListKind.SNAPSHOT, (entry(0, started=world.now),)))
    world.run(30, {0: (6, 0, i.LoadReport(0.5, 2.0))})
    sound(world)
    open_to_all = [world.open(b[0]) for b in world.bound.values()]
    assert all(set(lines) == {0} for lines in open_to_all)


def test_no_relays_then_one_and_classes_of_one_server() -> None:
    alone = replace(ANY, allowed_zones=(2,))
    world = World(start((ANY, alone, LOCAL)))
    world.step(i.EndpointsListed(i.EndpointListKind.SNAPSHOT, tuple(entry(n) for n in range(3))))
    world.run(5, {n: (VAST, VAST, None) for n in range(3)})
    world.step(i.ProxyJoined(0, 0, 0.0))
    world.run(5, {n: (9, 9, None) for n in range(3)})
    sound(world)
    assert set(world.open(world.bound[0][1])) == {2}  # all its tries fail, and it is the only one


def test_an_hour_s_pause_of_the_governor_does_not_freeze_the_loop() -> None:
    """The one report that waited through it has a window of an hour: a third of that became the period."""
    world = running(2)
    world.run(5, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(2)})
    world.now, world.wakes = world.now + HOUR, [world.now + HOUR]
    world.step(*(i.AttemptsReported(n % 3, n, 6, 0, 200_000, HOUR, i.LoadReport(0.5, 2.0)) for n in range(2)))
    before = world.share(0, 0, 0)
    world.run(60, {0: (6, 0, i.LoadReport(1.0, 12.0)), 1: (6, 0, i.LoadReport(0.3, 1.0))})
    assert world.share(0, 0, 0) < 0.8 * before


def test_on_a_machine_just_booted_a_server_that_runs_for_long_is_warm() -> None:
    """Its clock is younger than the cold time; long past is told as 0, and nobody was ever ejected."""
    world = World(now=2 * SECOND)
    world.step(i.EndpointsListed(i.EndpointListKind.SNAPSHOT, tuple(entry(n) for n in range(9))))
    world.step(*(i.ProxyJoined(p, p % 3, 5.0) for p in range(3)))
    world.run(3, {n: (6, 6 * (n == 0), i.LoadReport(0.5, 2.0)) for n in range(9)})
    assert 0 in world.shut


def test_what_is_gone_for_an_hour_is_forgotten_and_a_server_of_that_name_is_taken_back() -> None:
    """3,000 replaced servers made each step 27 times as long."""
    world = running(9)
    world.step(i.EndpointsListed(i.EndpointListKind.DELTA, (entry(0, GONE), entry(4, GONE))))
    world.run(3, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(9)})
    assert world.shut == {0, 4}
    world.now, world.wakes = world.now + HOUR, [world.now + HOUR]
    world.run(5, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(1, 9) if n != 4})
    module = world.module
    assert not world.shut and 0 not in module.fleet.replicas.actors
    assert not any(0 in lines for lines in world.tables.values())
    world.step(
        i.AttemptsReported(0, 0, 9, 9, 0, SECOND, None),
        i.HealthChecked(0, i.HealthCheckOutcome.HEALTHY, 1, None),
    )  # a late word
    world.step(i.EndpointsListed(i.EndpointListKind.DELTA, (entry(0, started=world.now),)))
    world.run(20, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(9) if n != 4})
    assert world.share(0, 0, 0) > 0 and 0 not in world.shut
    sound(world)


def test_the_withdrawal_of_a_forgotten_replica_is_explained_as_it_is_lifted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The explanation looked up a replica that the policy had just forgotten: its process failed."""
    world = running(9)
    handle, reasons = world.module.handle, dict[i.Order, str]()

    def explained_handle(now_us: int, events: list[i.Event]) -> list[i.Order]:
        orders = handle(now_us, events)
        reasons.update({orders[n]: reason for n, reason in explain_orders(world.module, orders).items()})
        return orders

    monkeypatch.setattr(world.module, "handle", explained_handle)
    world.step(i.EndpointsListed(i.EndpointListKind.DELTA, (entry(0, GONE),)))
    world.run(3)
    world.now, world.wakes = world.now + HOUR, [world.now + HOUR]
    world.run(5)
    assert reasons[i.WithdrawReplica(0, True)] == "listed as gone"
    assert reasons[i.WithdrawReplica(0, False)] == "forgotten: gone for long"


@pytest.mark.parametrize("again", [True, False])
def test_one_that_comes_back_as_it_is_forgotten_is_not_lost(again: bool) -> None:
    world = running(9)
    world.step(i.EndpointsListed(i.EndpointListKind.DELTA, (entry(0, GONE),)))
    world.run(3, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(9)})
    world.now, world.wakes = world.now + HOUR, [world.now + HOUR]
    back = entry(0, started=world.now)
    world.step(
        *world.acks(), i.EndpointsListed(i.EndpointListKind.DELTA, (back,)), i.TimerFired(0)
    )  # due in the same batch
    if again:
        world.step(i.EndpointsListed(i.EndpointListKind.DELTA, (replace(back, phase=GONE),)))
        world.run(2, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(1, 9)})
        assert 0 in world.shut
        world.step(i.EndpointsListed(i.EndpointListKind.DELTA, (back,)))
    world.run(20, {n: (6, 0, i.LoadReport(0.5, 2.0)) for n in range(9)})
    assert world.share(0, 0, 0) > 0 and 0 not in world.shut


def test_intake_with_vast_late_and_empty_sums() -> None:
    names = Identifiers(["x"], ["k"], ["c"])
    names.replicas.intern("w"), names.proxies.intern("r")
    late = 2**53 + 12_345
    intake = LoadReportQueue(names, 1.0, SECOND, 0)
    most = feed.ProxyLoadReport(
        "r",
        "e",
        0,
        (feed.ReplicaAttempts("w", VAST, VAST, 10**12), feed.ReplicaAttempts("w", 0, 0, 0)),
        (feed.ClassRequests("c", VAST, VAST),),
    )
    for _ in range(50):
        intake.add(0, 0, most)
    heard = [e for at in (SECOND, 30 * 24 * HOUR, late, late + SECOND) for e in intake.take_due(at)]
    assert {type(e) for e in heard} == {i.AttemptsReported, i.RequestsOffered}
    assert [(e.attempts, e.failures) for e in heard if isinstance(e, i.AttemptsReported)] == [
        (50 * VAST, 50 * VAST)
    ]
    assert intake.next_due_us() > late


def test_channel_door_budget_and_figures_at_the_edges() -> None:
    channel = Channel(
        queue_limit_lines=100.0, lines_per_s=1e-3 * 1e6, messages_per_window=1, window_us=SECOND
    )
    channel.add_proxy(0)
    message = feed.Message(1, 1, 0, 0.0, ())
    assert not channel.put(2**53, 0, 1, message) and channel.put(2**53, 0, 1, message)  # one in a window
    assert (
        len(channel.take_released(2**53)) == 1
        and channel.waiting_lines == 0
        and channel.next_release_us() is None
    )
    assert channel.put(0, 7, 1, message) == "the proxy has left"
    door = RateLimiter(RateLimits(0.001, 0.001, 0.1))
    assert door.admit(0, "", "") is None and door.admit(-HOUR, "", "") and door.admit(2**60, "", "") is None
    budget = ChannelShares(1, 1.0, 1.0, 0, 0.0, 1)
    assert (
        budget.available_lines(0, 0.0) >= 0
        and budget.available_lines(10**6, 1e9) == 0
        and budget.allows_message(10**9)
    )
    tally = CellStats(("a", "b"), {"w": "a"})
    assert tally.status({})["b"]["load"] == 0.0
    none, all_bad = (
        {"a": TrafficCounts(), "b": TrafficCounts()},
        {"a": TrafficCounts(40, 40), "b": TrafficCounts(40, 40)},
    )
    for before, now in itertools.product((none, all_bad), repeat=2):
        assert isinstance(describe_regression("a", before, now), str) and isinstance(
            are_other_cells_stable("a", before, now), bool
        )
    for figure in ("nan", "inf", "-1", "1e10", "-nan", "", "1e400"):
        with pytest.raises(ValueError):
            orca.parse_report(f"TEXT cpu_utilization={figure}")
