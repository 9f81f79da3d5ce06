"""The module alone: plain cases for each failure found, and seeded random runs against the rules."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from collections import Counter
from dataclasses import replace
from itertools import pairwise
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.actors import MessageLoop
from gradehoist.interface import (
    AttemptsReported,
    BindProxy,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    HealthChecked,
    HealthCheckOutcome,
    LoadReport,
    Phase,
    ProxyJoined,
    ProxyLeft,
    QuotasAgreed,
    RequestAcknowledgement,
    RequestsOffered,
    SetAdmission,
    SetWeight,
    TimerFired,
    WithdrawReplica,
)
from gradehoist.messages import Availability, Tables
from gradehoist.policy.tables import ProxyGroup
from tests.support.policy_fleet import (
    ANY,
    BOUND,
    LOCAL,
    SECOND,
    SimulatedFleet,
    endpoint,
    policy_config,
    running_fleet,
)

CALM = (6, 0, LoadReport(0.5, 2.0))
READY, GONE, DRAINING = Phase.READY, Phase.GONE, Phase.DRAINING


def change(*entries: Endpoint) -> EndpointsListed:
    return EndpointsListed(EndpointListKind.DELTA, entries)


def test_a_joining_proxy_is_bound_at_once_to_filled_tables_and_only_once() -> None:
    fleet = running_fleet()
    binds = [o for o in fleet.orders if isinstance(o, BindProxy)]
    assert len(binds) == 4 * 3
    assert all(fleet.open(o.table) for o in binds)
    fleet.run(10, {n: CALM for n in range(9)})
    assert len([o for o in fleet.orders if isinstance(o, BindProxy)]) == 12


def test_weight_leaves_a_busy_replica_and_stays_on_even_load() -> None:
    fleet = running_fleet()
    before = fleet.share(0, 0, 0)
    fleet.run(10, {n: CALM for n in range(9)})
    assert abs(fleet.share(0, 0, 0) - before) < 0.05
    fleet.run(15, {n: CALM for n in range(9)} | {0: (6, 0, LoadReport(1.0, 12.0))})
    assert fleet.share(0, 0, 0) < before / 2


def test_too_many_missing_reports_skip_the_update() -> None:
    fleet = running_fleet()
    fleet.run(5, {n: CALM for n in range(9)})
    before = {t: dict(lines) for t, lines in fleet.tables.items()}
    fleet.run(4)  # the last reports grow stale
    mark = len(fleet.orders)
    fleet.run(10, {0: (6, 0, LoadReport(1.0, 12.0))} | {n: CALM for n in range(1, 7)})
    moved = [o for o in fleet.orders[mark:] if isinstance(o, SetWeight) and o.weight < before[o.table][0] / 2]
    assert not moved


def test_one_order_withdraws_a_draining_replica_and_its_return_is_a_slow_start() -> None:
    fleet = running_fleet()
    usual = fleet.share(0, 0, 0)
    orders = fleet.step(change(endpoint(0, DRAINING)), wait=SECOND // 50)
    assert [o for o in orders if isinstance(o, WithdrawReplica)] == [WithdrawReplica(0, True)]
    fleet.run(5, {n: CALM for n in range(1, 9)})
    orders = fleet.step(change(endpoint(0, READY, fleet.now_us)), wait=SECOND // 50)
    order = [type(o) for o in orders if isinstance(o, WithdrawReplica) or getattr(o, "replica", -1) == 0]
    assert {WithdrawReplica, SetWeight} <= set(order), "the low line goes with the return"
    assert 0 < fleet.share(0, 0, 0) < usual / 4
    fleet.run(14, {n: CALM for n in range(9)})
    assert fleet.share(0, 0, 0) > usual / 2


def test_a_restart_never_listed_as_gone_gets_its_low_weight_at_once() -> None:
    fleet = running_fleet()
    usual = fleet.share(0, 0, 3)
    fleet.run(5, {n: CALM for n in range(9)})
    fleet.step(change(endpoint(3, READY, fleet.now_us - SECOND)), wait=SECOND // 50)
    assert fleet.share(0, 0, 3) < usual / 3


def test_a_zone_that_returns_cold_is_not_overloaded_by_its_own_traffic() -> None:
    fleet = running_fleet(settings=policy_config((ANY,)))
    zone = [0, 3, 6]
    fleet.step(change(*(endpoint(n, GONE) for n in zone)), wait=SECOND // 50)
    fleet.run(5, {n: CALM for n in range(9) if n not in zone})
    fleet.step(change(*(endpoint(n, READY, fleet.now_us) for n in zone)), wait=SECOND // 50)
    fleet.run(0.5)
    assert sum(fleet.share(0, 0, n) for n in zone) < 0.25  # a fifth of a third is what they can do


def test_a_failing_replica_is_ejected_and_half_of_each_class_stays() -> None:
    fleet = running_fleet(settings=policy_config(health_checks=False))
    fleet.run(3, {n: CALM for n in range(9)})
    fleet.run(4, {n: CALM for n in range(9)} | {0: (6, 6, None)})
    assert 0 in fleet.withdrawn
    assert fleet.withdrawn <= {0}
    fleet.run(6, {n: CALM for n in range(9)})  # back low, then soon whole: the ejection may have been wrong
    back = fleet.orders.index(WithdrawReplica(0, False))
    low = [
        o.weight for o in fleet.orders[: back + 60] if isinstance(o, SetWeight) and o.replica == o.table == 0
    ][-1]
    assert low < 0.2 * fleet.tables[0][0]
    # Several failing in one batch must not all be ejected as the first: warm ones stay for each class.
    fleet = running_fleet(settings=policy_config(health_checks=False))
    fleet.run(2, {n: CALM for n in range(9)})
    fleet.run(3, {n: CALM for n in range(9)} | {n: (6, 6, None) for n in (0, 3, 6)})
    assert len(fleet.withdrawn) <= 1


def test_a_cold_replica_waits_withdrawn_in_an_overload_until_the_pool_is_calm() -> None:
    fleet = running_fleet()
    fleet.step(change(endpoint(0, GONE)), wait=SECOND // 50)
    fleet.run(5, {n: (6, 4, LoadReport(1.0, 20.0)) for n in range(1, 9)})
    fleet.step(change(endpoint(0, READY, fleet.now_us)), wait=SECOND // 50)
    fleet.run(2, {n: (6, 4, LoadReport(1.0, 20.0)) for n in range(1, 9)})
    assert 0 in fleet.withdrawn
    fleet.run(7, {n: CALM for n in range(1, 9)})
    assert 0 not in fleet.withdrawn


def test_a_replica_readmitted_before_its_restart_is_listed_waits_in_an_overload() -> None:
    fleet = running_fleet(settings=policy_config(health_checks=False))
    fleet.run(3, {n: CALM for n in range(9)})
    fleet.run(3, {n: CALM for n in range(9)} | {0: (6, 6, None)})
    assert 0 in fleet.withdrawn
    fleet.run(4, {n: (6, 4, LoadReport(1.0, 20.0)) for n in range(1, 9)})
    assert 0 not in fleet.withdrawn
    fleet.step(change(endpoint(0, READY, fleet.now_us - 3 * SECOND)), wait=SECOND // 50)
    assert 0 in fleet.withdrawn


def test_an_ejection_ends_when_the_list_takes_the_other_replicas() -> None:
    fleet = running_fleet(settings=policy_config(health_checks=False))
    fleet.run(3, {n: CALM for n in range(9)})
    fleet.run(3, {n: CALM for n in range(9)} | {0: (6, 6, None)})
    assert 0 in fleet.withdrawn
    fleet.step(change(endpoint(3, GONE), endpoint(6, DRAINING)), wait=SECOND // 50)
    fleet.run(1)
    assert 0 not in fleet.withdrawn, "the only server of its zone's own class is let back"


def test_saturation_rejects_the_least_priority_first_and_recovers() -> None:
    fleet = running_fleet()
    fleet.step(*(RequestsOffered(p, k, 10, 0, SECOND) for p in range(4) for k in range(3)), wait=SECOND // 50)
    fleet.run(4, {n: (6, 3, LoadReport(1.0, 20.0)) for n in range(9)})
    share = {o.classes[0]: o for o in fleet.orders if isinstance(o, SetAdmission)}
    assert share[0].admitted_share < 0.7
    assert share[1].admitted_share == 1.0
    assert share[0].retry_policy == 0
    fleet.run(30, {n: CALM for n in range(9)})
    last = {o.classes[0]: o.admitted_share for o in fleet.orders if isinstance(o, SetAdmission)}
    assert last[0] > 0.9


def test_other_governors_demand_does_not_follow_an_overloaded_zone() -> None:
    fleet = running_fleet(proxies=1, settings=policy_config((ANY,)))  # one proxy of six, in zone 0
    hot = {n: (6, 0, LoadReport(0.98 if n % 3 == 0 else 0.4, 8.0 if n % 3 == 0 else 1.0)) for n in range(9)}
    fleet.run(6, hot)
    early = sum(fleet.share(0, 0, n) for n in (0, 3, 6))
    assert early < 0.9  # by the zone's heat, before its weights have fallen
    fleet.run(14, hot)
    assert sum(fleet.share(0, 0, n) for n in (0, 3, 6)) < min(0.8, early)


def test_the_queue_is_counted_by_acknowledgements_not_by_the_stated_rate() -> None:
    fleet = running_fleet(12, settings=policy_config(queue_limit_lines=240.0))
    for n in range(60):  # nothing is acknowledged: the channel has all but stopped, yet servers come and go
        told = change(endpoint(n % 9, (DRAINING, READY)[n // 9 % 2], fleet.now_us))
        fleet.step(told, TimerFired(0), wait=SECOND // 10)
    assert sum(lines for _, _, lines in fleet.unacknowledged) > 0.5 * 240


def play(data: list[tuple[int, int, int]], seed: int, queue: float = 2500.0) -> SimulatedFleet:
    fleet = SimulatedFleet(policy_config(seed=seed, queue_limit_lines=queue))
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(9))))
    for what, n, x in data:
        events: list[Event] = []
        if what == 0 and n not in fleet.proxies:
            events = [ProxyJoined(n, n % 3, 1.0 + x)]
        elif what == 1 and n in fleet.proxies:
            events = [ProxyLeft(n)]
        elif what == 2:
            events = [change(endpoint(n, (READY, DRAINING, GONE)[x % 3], fleet.endpoints[n].started_us))]
        elif what == 3:
            events = [change(endpoint(n, READY, fleet.now_us))]
        elif what == 4:
            events = [
                EndpointsListed(
                    EndpointListKind.SNAPSHOT, tuple(e for m, e in fleet.endpoints.items() if m != n)
                )
            ]
        elif what == 5:
            events = [HealthChecked(n, list(HealthCheckOutcome)[x % 7], 1000, None)]
        fleet.step(*events, wait=SECOND // 100)
        load = LoadReport((n * x % 11) / 10, float(n + x))
        heard = {m: (x, x * (m == n or x == 7), load if m % 2 else CALM[2]) for m in range(9 - n % 3)}
        fleet.run(x / 4, heard)
    fleet.run(3)
    return fleet


STEPS = st.lists(st.tuples(st.integers(0, 6), st.integers(0, 8), st.integers(0, 8)), max_size=25)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(STEPS, st.integers(0, 99))
def test_random_runs_keep_the_rules_and_repeat_exactly(data: list[tuple[int, int, int]], seed: int) -> None:
    assert play(data, seed).orders == play(data, seed).orders


def test_two_processes_with_other_hash_seeds_give_the_same_orders() -> None:
    code = (
        "import hashlib; from tests.test_policy import play; "
        "steps = [(0, n, 5) for n in range(6)] + [(2, 1, 1), (3, 1, 4), (6, 2, 7)] * 3; "
        "print(hashlib.sha256(repr(play(steps, 3).orders).encode()).hexdigest())"
    )
    found = {
        subprocess.run(
            [sys.executable, "-c", code],
            env=os.environ | {"PYTHONHASHSEED": s},
            check=True,
            capture_output=True,
            text=True,
        ).stdout
        for s in ("1", "2")
    }
    assert len(found) == 1
    assert len(found.pop().strip()) == len(hashlib.sha256().hexdigest())


def test_only_local_replicas_serve_a_zone_local_class_even_when_the_zone_is_empty() -> None:
    fleet = running_fleet(settings=replace(policy_config((ANY, LOCAL)), seed=3))
    fleet.step(change(*(endpoint(n, GONE) for n in (0, 3, 6))), wait=SECOND // 50)
    fleet.run(3, {n: CALM for n in range(9) if n % 3})
    assert not fleet.open(fleet.bound[0][1])
    assert fleet.open(fleet.bound[0][0])
    fleet.step(change(endpoint(0, READY, fleet.now_us)), wait=SECOND // 50)
    fleet.run(1, {n: CALM for n in range(9) if n % 3})
    assert not fleet.open(fleet.bound[0][1]), "alone and cold, it would get all of the class"
    fleet.step(change(*(endpoint(n, READY, fleet.now_us) for n in (3, 6))), wait=SECOND // 50)
    fleet.run(11, {n: CALM for n in range(9)})
    assert fleet.open(fleet.bound[0][1])


def test_binds_of_a_large_fleet_and_its_returns_stay_within_the_queue() -> None:
    fleet = SimulatedFleet(
        policy_config(queue_limit_lines=1000.0)
    )  # each table longer than what a fixed guess would book
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(90))))
    fleet.step(*(ProxyJoined(p, p % 3, float(p)) for p in range(12)))
    assert max(p for p, _, _ in fleet.unacknowledged) == 11, "those with most traffic are bound first"
    fleet.run(6, {n: CALM for n in range(90)})
    assert all(len(fleet.bound[p]) == 3 for p in range(12))
    fleet.step(change(*(endpoint(n, GONE) for n in range(0, 30))), wait=SECOND // 50)
    fleet.run(3, {n: CALM for n in range(30, 90)})
    fleet.step(change(*(endpoint(n, READY, fleet.now_us) for n in range(0, 30))), wait=SECOND // 50)
    fleet.run(4, {n: CALM for n in range(30, 90)})
    assert not fleet.withdrawn


def test_a_governor_whose_proxies_hold_nothing_to_withdraw_still_binds_them() -> None:
    fleet = SimulatedFleet(
        policy_config(queue_limit_lines=600.0)
    )  # withdrawals that reach nobody are never acknowledged on their own
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(60))))
    fleet.step(
        *(ProxyJoined(p, p % 3, 5.0) for p in range(12)), change(*(endpoint(n, DRAINING) for n in range(20)))
    )
    fleet.run(8)
    assert all(len(b) == 3 for b in fleet.bound.values())
    assert len(fleet.withdrawn) >= 20
    fleet.step(change(*(endpoint(n, GONE) for n in range(20))), wait=SECOND // 50)
    assert not any(isinstance(o, WithdrawReplica) for o in fleet.orders[-60:]), "withdrawn once is enough"
    fleet.run(8, {n: CALM for n in range(20, 60)})
    assert all(n not in t for t in fleet.tables.values() for n in range(20)), "gone lines lengthen binds"


def test_a_replica_that_fails_attempts_does_not_gain_weight_by_looking_idle() -> None:
    fleet = running_fleet(settings=policy_config((ANY,)))
    fair = LoadReport(0.5, 3.0)
    fleet.run(8, {n: (6, 0, fair) for n in range(1, 9)} | {0: (6, 4, LoadReport(0.2, 1.0))})
    assert fleet.share(0, 0, 0) < 1.3 * fleet.share(0, 0, 3)


def test_the_loop_steps_where_reports_come_slower_than_stated() -> None:
    fleet = running_fleet(settings=policy_config((ANY,)))
    for r in range(12):  # each server is heard only every fourth second
        for n in range(9):
            load = LoadReport(0.9 if n == 4 else 0.4, 8.0 if n == 4 else 2.0)
            heard = [AttemptsReported(z, n, 24, 0, 200_000, 4 * SECOND, load) for z in range(3)]
            fleet.step(*(heard if (r + n) % 4 == 0 else []), wait=SECOND // 100)
        fleet.run(0.9)
    fleet.run(8)
    assert fleet.share(1, 0, 4) < 0.9 * fleet.share(1, 0, 1)  # as its own zone's proxies hold it


def test_the_first_replicas_to_return_do_not_get_what_the_zone_keeps_for_those_that_wait() -> None:
    fleet = running_fleet(
        60, proxies=6, settings=policy_config((ANY,), queue_limit_lines=250.0)
    )  # room for few returns at a time
    zone = range(0, 60, 3)
    fleet.run(20, {n: CALM for n in range(60)})
    fleet.step(change(*(endpoint(n, GONE) for n in zone)), wait=SECOND // 50)
    fleet.run(6, {n: CALM for n in range(60) if n % 3})
    fleet.step(change(*(endpoint(n, READY, fleet.now_us - 3 * SECOND) for n in zone)), wait=SECOND // 50)
    shares = [fleet.share(0, 0, n) for n in zone if n not in fleet.withdrawn]
    assert 0 < len(shares) < 20
    assert max(shares) < 0.04


def test_many_drains_go_in_few_messages_in_the_order_they_were_listed() -> None:
    fleet = running_fleet(60, proxies=6, settings=policy_config((ANY,), queue_limit_lines=200.0))
    fleet.step(*(change(endpoint(n, DRAINING)) for n in range(30)), wait=SECOND // 50)
    first = set(fleet.withdrawn)
    fleet.step(change(endpoint(29, GONE), endpoint(28, GONE)), wait=SECOND // 50)
    assert first
    assert first == set(range(len(first)))
    fleet.run(3)
    assert fleet.withdrawn == set(range(30))
    told = [n for n, o in enumerate(fleet.orders) if isinstance(o, RequestAcknowledgement)]
    batches = [sum(isinstance(o, WithdrawReplica) for o in fleet.orders[a:b]) for a, b in pairwise(told)]
    assert max(map(len, fleet.message_times.values())) <= 6
    assert sorted(filter(None, batches))[1:2] >= [10]


def test_binds_do_not_take_the_lines_that_a_drain_waits_for() -> None:
    """hb4ef71: 146 proxies joined anew, their binds filled half the queue time and again."""
    fleet = SimulatedFleet(policy_config(queue_limit_lines=900.0, messages_per_window=0))
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(30))))
    fleet.step(*(ProxyJoined(p, p % 3, 5.0) for p in range(30)))
    fleet.run(9)
    fleet.step(*(ProxyJoined(p, p % 3, 5.0) for p in range(30, 58)))
    for _ in range(3):
        fleet.step(*fleet.acknowledge(1), TimerFired(0), wait=20_000)
    fleet.step(change(*(endpoint(n, DRAINING) for n in range(12))))
    pending, mark = fleet.policy.fleet.withdrawals.pending, len(fleet.orders)
    assert len(pending) == 12
    assert fleet.policy.fleet.proxies.pending_binds
    while Availability.DRAINING in pending.values():
        assert not any(isinstance(o, BindProxy) for o in fleet.orders[mark:])
        mark = len(fleet.orders)
        fleet.step(*fleet.acknowledge(1), TimerFired(0), wait=50_000)
    fleet.run(10)
    assert all(len(b) == 3 for b in fleet.bound.values())


def herd(replicas: int = 200, proxies: int = 400, rate: float = 10.0) -> SimulatedFleet:
    """All the proxies of a fleet too large for its channel come to one governor at once."""
    fleet = SimulatedFleet(
        policy_config((ANY,), queue_limit_lines=22.5 * proxies, lines_per_s=rate * proxies, proxies=proxies)
    )
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(replicas))))
    fleet.step(*(ProxyJoined(p, p % 3, 5.0) for p in range(proxies)))
    return fleet


def paced(fleet: SimulatedFleet, seconds: float) -> None:
    """The channel sends its lines a second, and answers come for what it sent."""
    for _ in range(round(seconds * 20)):
        room, done = fleet.config.channel.lines_per_s / 20, 0
        while done < len(fleet.unacknowledged) and fleet.unacknowledged[done][2] <= room:
            room, done = room - fleet.unacknowledged[done][2], done + 1
        fleet.step(*fleet.acknowledge(done), TimerFired(0), wait=SECOND // 20)


def test_a_herd_of_proxies_on_one_governor_is_bound_before_its_old_tables_are_stale() -> None:
    """roll+mass: 457 proxies were owed 206 lines each by a channel of 3,100 a second; one that joined at
    12 s was bound after 25 s and sent to a server that had left, as its first table said."""
    fleet = herd()
    paced(fleet, 3)
    assert all(fleet.bound.values())
    tables = [set(fleet.tables[by[0]]) for by in fleet.bound.values()]
    assert max(map(len, tables)) <= 12
    named = [sum(n in t for t in tables) for n in range(200)]
    assert min(named) > 0
    assert max(named) < 3 * sum(named) / 200
    share = [0.0] * 200
    for p in fleet.proxies:
        for n in fleet.tables[fleet.bound[p][0]]:
            share[n] += fleet.share(p, 0, n)
    assert max(share) < 1.6 * sum(share) / 200
    assert min(share) > 0.6 * sum(share) / 200


def test_a_herd_that_joins_within_a_release_is_bound_within_the_grace() -> None:
    """herd+mass on notary-vault: tables as large as a whole grace's lines, and drains beside them: the last
    of 1,240 that joined were bound after 6.8 s where 6.4 are allowed, and sent to what had left."""
    proxies, grace = 400, 2 * SECOND
    fleet = SimulatedFleet(
        policy_config((ANY,), queue_limit_lines=22.5 * proxies, lines_per_s=20.0 * proxies, proxies=proxies)
    )
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(200))))
    joined = fleet.now_us
    fleet.step(*(ProxyJoined(p, p % 3, 5.0, True) for p in range(proxies)))
    paced(fleet, 0.4)
    fleet.step(change(*(endpoint(n, DRAINING) for n in range(30))))
    while not all(fleet.bound.values()):
        paced(fleet, 0.05)
    owed = {(p, mark) for p, mark, _ in fleet.unacknowledged}
    while owed & {(p, mark) for p, mark, _ in fleet.unacknowledged}:
        paced(fleet, 0.05)
    assert fleet.now_us - joined < grace


def test_drains_in_a_large_fleet_cost_those_alone_whose_tables_name_them() -> None:
    """herd+mass: 30 withdrawals to everyone were 12,000 lines, and passed a queue half full."""
    fleet = herd()
    paced(fleet, 5)
    assert not fleet.unacknowledged
    fleet.step(change(*(endpoint(n, DRAINING) for n in range(30))), wait=SECOND // 50)
    assert fleet.withdrawn == set(range(30))
    assert 0 < sum(n for _, _, n in fleet.unacknowledged) < 400 * 12


def test_every_subset_is_refilled_as_its_lines_leave_though_the_channel_cannot_keep_up() -> None:
    """herd+mass seed 2: groups had turns by number, the last had none, and a cold server was the one open
    line of 29 proxies: it fell over."""
    fleet = herd(proxies=200, rate=4.0)
    paced(fleet, 12)
    for n in range(0, 120, 10):
        old, new = range(n, n + 10), range(200 + n, 210 + n)
        fleet.step(
            change(*(endpoint(x, DRAINING) for x in old), *(endpoint(x) for x in new)), wait=SECOND // 50
        )
        paced(fleet, 1)
        assert min(len(fleet.open(by[0])) for by in fleet.bound.values()) >= 3


def test_returns_in_a_large_fleet_keep_to_the_cap_on_messages_of_those_that_get_new_lines() -> None:
    """join+mass: replicas that came back one by one were new lines to proxies that no return had counted."""
    fleet = herd(proxies=30, rate=40.0)
    paced(fleet, 3)
    fleet.step(change(*(endpoint(n, GONE) for n in range(0, 150, 3))), wait=SECOND // 50)
    paced(fleet, 12)
    for n in range(0, 150, 3):  # World.check holds the cap
        fleet.step(change(endpoint(n, READY, fleet.now_us - 30 * SECOND)), wait=SECOND // 50)
        for _ in range(3):
            fleet.step(*fleet.acknowledge(), TimerFired(0), wait=SECOND // 20)
    paced(fleet, 15)
    assert not fleet.withdrawn


def test_the_first_replicas_of_a_zone_to_return_are_named_by_equally_many_tables() -> None:
    """zone+mass: the one behind the widest gap of a ring was named by several groups of all governors: back
    cold for 6 s, it was sent 6.4 times what it could do, and fell over."""
    fleet = herd(proxies=300)
    paced(fleet, 4)
    fleet.step(change(*(endpoint(n, GONE) for n in range(0, 200, 3))), wait=SECOND // 50)
    paced(fleet, 12)
    back = range(0, 198, 39)  # close to each other by the golden section's places
    fleet.step(change(*(endpoint(n) for n in back)), wait=SECOND // 50)
    paced(fleet, 6)
    sums = [
        sum(
            fleet.open(fleet.bound[p][0]).get(n, 0.0) / sum(fleet.open(fleet.bound[p][0]).values())
            for p in fleet.proxies
        )
        for n in back
    ]
    assert 0 < max(sums) < 2 * sum(sums) / len(sums)


def test_a_proxy_with_much_of_the_traffic_does_not_overload_its_subset() -> None:
    """roll+mass seed 5, of 30 nodes: one proxy of 240 had a tenth of the traffic, and pushed over the cold
    servers among its twenty lines (sent 5.7 times what they could do)."""
    fleet = SimulatedFleet(policy_config((ANY,), queue_limit_lines=2_000.0, lines_per_s=800.0, proxies=60))
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(200))))
    rates = {p: 300.0 if p == 0 else 5.0 for p in range(60)}
    fleet.step(*(ProxyJoined(p, p % 3, rate) for p, rate in rates.items()))
    fleet.run(6, calm := {n: CALM for n in range(200)})
    fleet.step(change(*(endpoint(n, READY, fleet.now_us) for n in range(0, 200, 2))), wait=SECOND // 50)
    fleet.run(6, calm)
    flow = {n: sum(rate * fleet.share(p, 0, n) for p, rate in rates.items()) for n in range(0, 200, 2)}
    zone = [x for n, x in flow.items() if n % 3 == 0]
    assert fleet.bound[0][0] in fleet.tables
    assert 0 < max(zone) < 3 * sum(zone) / len(zone)


def test_many_replicas_that_return_at_once_are_planned_for_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """roll+mass: a hundred returns in one reply were a hundred plans, and a step of 1.3 s."""
    fleet = SimulatedFleet(policy_config((ANY,), queue_limit_lines=100_000.0, lines_per_s=800.0, proxies=60))
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(200))))
    fleet.step(*(ProxyJoined(p, p % 3, 5.0) for p in range(60)))
    fleet.run(6, calm := {n: CALM for n in range(200)})
    locality, plans = fleet.policy.pool.locality, Counter[int]()
    plan = locality.plan

    def counted_plan(*arguments: Any) -> list[Tables]:
        plans[fleet.now_us] += 1
        return plan(*arguments)

    monkeypatch.setattr(locality, "plan", counted_plan)
    fleet.step(change(*(endpoint(n, DRAINING) for n in range(40))), wait=SECOND // 50)
    fleet.run(4, calm)
    orders = fleet.step(change(*(endpoint(n) for n in range(40))), wait=SECOND // 50)
    assert sum(isinstance(o, WithdrawReplica) and not o.withdrawn for o in orders) > 10
    assert 0 < plans[fleet.now_us] <= 2


def test_a_light_line_is_written_when_its_move_counts_and_always_when_it_comes_or_leaves() -> None:
    """By their own weight alone, moves that hardly move traffic were a third of the orders."""
    group = ProxyGroup(MessageLoop(seed=7, now_us=0), index=0, zone=0, class_sets=[(0,)])
    group.sent.tables = {0: {0: 1.0, 1: 1.0, 2: 0.02, 3: 0.02}}
    group.planned = {0: {0: 1.0, 1: 1.0, 2: 0.03, 3: 0.02}}
    assert not list(group.changes())
    group.planned = {0: {0: 1.0, 1: 1.0, 2: 0.2, 3: 0.0, 4: 0.001}}
    assert [change.replica for change in group.changes()][-3:] == [2, 3, 4]
    group.planned = {0: {0: 1.0, 1: 1.2, 2: 0.02, 3: 0.02}}
    assert [change.replica for change in group.changes()] == [
        0,
        1,
    ], "ratios: one went up, so the other went down"


def levels(fleet: SimulatedFleet, since: int = 0) -> dict[int, float]:
    return {
        k: o.admitted_share for o in fleet.orders[since:] if isinstance(o, SetAdmission) for k in o.classes
    }


def test_the_first_replica_that_reports_does_not_make_a_fresh_governor_reject() -> None:
    """Seen on sockets: its busy share of 1.1 stood for the pool, and half of all was refused for 9 s."""
    fleet = running_fleet()
    fleet.run(1.5, {0: (6, 0, LoadReport(1.1, 40.0))})
    fleet.run(6, {n: CALM for n in range(9)} | {0: (6, 0, LoadReport(1.1, 40.0))})
    assert not levels(fleet)


def test_admission_rates_follow_the_requests_that_came_not_those_assumed_at_joining() -> None:
    """The cheap class, seven tenths of what comes and taken for a third, was cut to nothing."""
    fleet = running_fleet(settings=policy_config((ANY, BOUND)))
    fleet.step(
        *(RequestsOffered(p, k, n, 0, SECOND) for p in range(4) for k, n in ((0, 7), (1, 3))),
        wait=SECOND // 50,
    )
    while not levels(fleet):
        fleet.run(2.2, {n: (9, 5, LoadReport(1.2, 30.0)) for n in range(9)})
    found = levels(fleet)
    assert found[1] == 1.0
    assert 0.2 < found[0] < 0.5


def test_admission_rates_go_before_returns_that_wait_for_their_round() -> None:
    fleet = running_fleet()
    fleet.step(change(*(endpoint(n, DRAINING) for n in (0, 1))), wait=SECOND // 50)
    fleet.run(2)
    fleet.policy.publisher.next_broadcast_us = fleet.now_us
    fleet.policy.fleet.withdrawals.pending = {0: Availability.AVAILABLE, 1: Availability.AVAILABLE}
    fleet.policy.fleet.flow.admission_orders = [SetAdmission(None, (0,), 0.5, 0)]
    orders = fleet.step(wait=SECOND)
    told = [o for o in orders if isinstance(o, SetAdmission | WithdrawReplica)]
    assert isinstance(told[0], SetAdmission)
    assert len(told) == 3, "in one message with the returns"


def shares(fleet: SimulatedFleet, proxy: int, cls: int) -> list[float]:
    """Of a proxy's table, what goes to each zone."""
    return [
        sum(fleet.share(proxy, cls, n) for n in fleet.open(fleet.bound[proxy][cls]) if n % 3 == z)
        for z in range(3)
    ]


def test_an_agreed_zone_quota_sends_the_rest_elsewhere_but_where_class_limits_bind() -> None:
    fleet = running_fleet()
    fleet.run(10, {n: CALM for n in range(9)})
    assert shares(fleet, 0, 0)[0] > 0.9
    fleet.step(QuotasAgreed(((0, 0.4),)))
    fleet.run(6, {n: CALM for n in range(9)})
    assert abs(shares(fleet, 0, 0)[0] - 0.4) < 0.05
    assert shares(fleet, 0, 2)[0] == 1.0
    assert shares(fleet, 1, 0)[0] < 0.02
    assert abs(shares(fleet, 0, 1)[0] - 0.4) < 0.05
    fleet.step(QuotasAgreed(((0, 0.0),)))
    fleet.run(6, {n: CALM for n in range(9)})
    assert shares(fleet, 0, 0)[0] < 0.01
    assert shares(fleet, 0, 2)[0] == 1.0
    fleet.step(QuotasAgreed(tuple((z, 0.0) for z in range(3))))  # never the last zone: somebody has to serve
    fleet.run(6, {n: CALM for n in range(9)})
    assert all(fleet.open(t) for by in fleet.bound.values() for t in by.values())
    fleet.step(QuotasAgreed())
    fleet.run(6, {n: CALM for n in range(9)})
    assert shares(fleet, 0, 0)[0] > 0.9


def test_a_cold_replica_gets_the_warmup_quota_of_this_governor() -> None:
    fleet = running_fleet()
    fleet.run(5, {n: CALM for n in range(9)})
    fleet.step(change(endpoint(0, started=fleet.now_us)), QuotasAgreed((), ((0, 0.25),)))
    fleet.run(4, {n: CALM for n in range(9)})
    few = fleet.share(0, 0, 0)
    fleet.step(QuotasAgreed())
    fleet.run(4, {n: CALM for n in range(9)})
    assert 0 < few < 0.4 * fleet.share(0, 0, 0)


def test_at_most_the_agreed_share_of_a_class_is_admitted() -> None:
    fleet = running_fleet()
    fleet.step(QuotasAgreed((), (), ((0, 0.3),)))
    fleet.run(5, {n: CALM for n in range(9)})
    admits = [o for o in fleet.orders if isinstance(o, SetAdmission) and 0 in o.classes]
    assert admits[-1].admitted_share == 0.3
    fleet.step(QuotasAgreed())
    fleet.run(5, {n: CALM for n in range(9)})
    admits = [o for o in fleet.orders if isinstance(o, SetAdmission) and 0 in o.classes]
    assert admits[-1].admitted_share == 1.0


def test_without_a_quota_every_order_stays_as_it_is() -> None:
    traces = []
    for ceilings in ((), (QuotasAgreed(),), (QuotasAgreed(((0, 1.0),), ((0, 1.0),), ((0, 1.0),)),)):
        fleet = running_fleet()
        for n in range(20):
            load = LoadReport(0.3 + 0.1 * (n % 7), 2.0 + n % 5)
            if n % 5 == 0:
                fleet.step(*ceilings, change(endpoint(n % 9, started=fleet.now_us)), wait=SECOND // 20)
            fleet.run(2, {k: (6, k == n % 9, load) for k in range(9)})
        traces.append(fleet.orders)
    assert traces[0] == traces[1] == traces[2]
    assert len(traces[0]) > 300


def test_warmup_quotas_of_0_leave_a_zone_that_is_all_cold_lines_to_pick() -> None:
    """The table's shares were of a sum of weights, which was nothing: the module ended, and its governor."""
    fleet = running_fleet()
    fleet.run(5, {n: CALM for n in range(9)})
    back = [endpoint(n, started=fleet.now_us) for n in (0, 3, 6)]
    fleet.step(change(*back), QuotasAgreed((), tuple((n, 0.0) for n in (0, 3, 6))))
    fleet.run(12, {n: CALM for n in range(9)})
    assert fleet.open(fleet.bound[0][2]).keys() == {0, 3, 6}  # a class that stays local


def late_line(report: dict[int, tuple[int, int, LoadReport | None]]) -> tuple[SimulatedFleet, set[int]]:
    """Proxy 0 may have no more messages but for drains while weights move, then a server comes: the other
    proxies whose tables name it within two seconds."""
    fleet = running_fleet()
    fleet.run(5, {n: CALM for n in range(9)})
    fleet.policy.fleet.flow.message_times[0].extend([fleet.now_us] * 12)
    fleet.run(6, {n: CALM for n in range(9)} | report)
    fleet.step(change(endpoint(9)))
    fleet.run(2)
    return fleet, {p for p in (1, 2, 3) if any(9 in fleet.open(t) for t in fleet.bound[p].values())}


def test_a_proxy_that_may_have_no_more_messages_holds_up_its_own_group_alone() -> None:
    """Turns by wait gave the group first in line none, and so nobody."""
    assert late_line({1: (6, 0, LoadReport(1.0, 12.0))})[1] == {1, 2, 3}


def test_an_ejection_that_waits_for_one_proxy_does_not_stop_the_weights_of_the_others() -> None:
    fleet, told = late_line({0: (6, 6, None)})
    assert told == {1, 2, 3}
    assert fleet.policy.fleet.withdrawals.pending == {0: Availability.EJECTED}
