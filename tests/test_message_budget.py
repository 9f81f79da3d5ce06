"""Withdrawals under a message limit: if some order of messages keeps all deadlines, the policy's does."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import cache
from statistics import median

import pytest

from gradehoist.interface import (
    EndpointListKind,
    EndpointsListed,
    Event,
    LoadReport,
    Phase,
    ProxyJoined,
    ProxyLeft,
    SetWeight,
    TimerFired,
)
from gradehoist.message_limit import MessageLimit
from tests.support.policy_fleet import (
    SECOND,
    UNRESTRICTED,
    SimulatedFleet,
    endpoint,
    load_reports,
    policy_config,
)

STEP_US = SECOND // 100


# The best that any order of messages can do, by exhaustive search in small steps of time.


@dataclass(frozen=True)
class Schedule:
    """A window of `window` steps with at most `limit` messages; a withdrawal may wait for `wait` steps."""

    limit: int
    window: int
    wait: int

    def age(self, sent: tuple[int, ...]) -> tuple[int, ...]:
        """Return the ages of messages one step later, without those that have left the window."""
        return tuple(age + 1 for age in sent if age + 1 < self.window)


@cache
def can_keep_deadlines(schedule: Schedule, sent: tuple[int, ...], pending: int | None, steps: int) -> bool:
    """Return whether all deadlines of some steps can be kept, without knowing which withdrawals will come.

    `sent` are the ages of the messages within the window, and `pending` is the age of the oldest withdrawal
    that has not been written.
    """
    arrivals = (None, 0) if pending is None else (pending,)
    return not steps or all(has_good_action(schedule, sent, age, steps) for age in arrivals)


def has_good_action(schedule: Schedule, sent: tuple[int, ...], pending: int | None, steps: int) -> bool:
    if len(sent) < schedule.limit:
        after_message = schedule.age((*sent, 0))
        if all(can_keep_deadlines(schedule, after_message, next_age, steps - 1) for next_age in (None, 1)):
            return True
    may_wait = pending is None or pending < schedule.wait
    next_pending = None if pending is None else pending + 1
    return may_wait and can_keep_deadlines(schedule, schedule.age(sent), next_pending, steps - 1)


@pytest.mark.parametrize("seed", range(300))
def test_a_message_is_allowed_exactly_if_all_later_deadlines_can_still_be_kept(seed: int) -> None:
    """Guards against messages spent one by one until the next withdrawals were late (`review/9`)."""
    generator = random.Random(seed)
    schedule = Schedule(generator.randint(1, 4), generator.randint(1, 7), generator.randint(1, 4))
    limit = MessageLimit(schedule.limit, 0, schedule.window)
    count = generator.randint(0, min(schedule.limit, schedule.window))
    sent = tuple(sorted(generator.sample(range(schedule.window), count), reverse=True))
    after_message = schedule.age((*sent, 0))
    possible = len(sent) < schedule.limit and all(
        can_keep_deadlines(schedule, after_message, pending, 2 * schedule.window) for pending in (None, 1)
    )
    allowed = limit.leaves_enough([-age for age in sent], 0, schedule.wait)
    assert allowed == possible, (schedule, sent)


# The same promise of the whole policy, with messages that other decisions write.


@dataclass
class ShrinkingFleet:
    """A simulated fleet whose replicas drain, and by how much the withdrawals were written too late."""

    fleet: SimulatedFleet
    late_us: dict[int, int] = field(default_factory=dict)  # by replica
    has_uneven_load: bool = False

    def list_phase(self, phase: Phase, *replicas: int, started_us: int = 0) -> None:
        """List replicas in a phase, in one update."""
        entries = tuple(endpoint(replica, phase, started_us) for replica in replicas)
        self._step(EndpointsListed(EndpointListKind.DELTA, entries))

    def join(self, *proxies: int) -> None:
        """Let proxies join."""
        self._step(*(ProxyJoined(proxy, proxy % 3, 5.0) for proxy in proxies))

    def advance(self, seconds: float) -> None:
        """Let timers fire, replicas report and proxies acknowledge all messages for some time."""
        fleet = self.fleet
        end_us = fleet.now_us + int(seconds * SECOND)
        while fleet.now_us < end_us:
            fleet.now_us += STEP_US
            events: list[Event] = [
                TimerFired(token) for due_us, token in fleet.timers if due_us <= fleet.now_us
            ]
            fleet.timers = [timer for timer in fleet.timers if timer[0] > fleet.now_us]
            if fleet.now_us % SECOND == 0:
                events += load_reports({n: self.report(n) for n in fleet.endpoints})
            if events:
                self._step(*events)

    def report(self, replica: int) -> tuple[int, int, LoadReport]:
        """Return a load report; uneven loads change all the time, so that weights change too."""
        is_busy = self.has_uneven_load and (self.fleet.now_us // SECOND // 6 + replica) % 2
        return 6, 0, LoadReport(0.9, 9.0) if is_busy else LoadReport(0.15, 0.5)

    def _step(self, *events: Event) -> None:
        fleet = self.fleet
        fleet.step(*fleet.acknowledge(), *events)
        for replica, listed_us in fleet.drain_listed_us.items():
            late_us = fleet.now_us - listed_us - fleet.max_drain_wait_us
            if late_us > 0 and fleet.holders(replica):
                self.late_us[replica] = late_us


def shrinking_fleet(
    replicas: int = 30, proxies: int = 6, limit: int = 20, calm_s: float = 20
) -> ShrinkingFleet:
    """Return a fleet with a message limit, whose proxies have joined `calm_s` ago."""
    config = policy_config((UNRESTRICTED,), proxies=proxies, messages_per_window=limit)
    shrinking = ShrinkingFleet(SimulatedFleet(config))
    listed = tuple(endpoint(n) for n in range(replicas))
    shrinking.fleet.step(EndpointsListed(EndpointListKind.CACHED, listed))
    shrinking.join(*range(proxies))
    shrinking.has_uneven_load = True
    shrinking.advance(calm_s)
    return shrinking


@pytest.mark.parametrize("limit", [12, 14, 20, 0])
@pytest.mark.parametrize("interval_s", [0.1, 0.36, 0.7])
def test_the_drains_of_a_shrinking_fleet_are_written_within_the_grace(limit: int, interval_s: float) -> None:
    """Each drain in its own message used up the limit, and the last ones were late (`review/9`)."""
    shrinking = shrinking_fleet(limit=limit)
    for replica in range(24):
        shrinking.list_phase(Phase.DRAINING, replica)
        shrinking.advance(interval_s)
    shrinking.advance(5)
    assert not shrinking.late_us


def drain_one_by_one(shrinking: ShrinkingFleet, replicas: Iterable[int]) -> None:
    for replica in replicas:
        shrinking.list_phase(Phase.DRAINING, replica)
        shrinking.advance(0.36)


def drain_in_bursts(shrinking: ShrinkingFleet) -> None:
    for first in range(0, 24, 4):
        for replica in range(first, first + 4):
            shrinking.list_phase(Phase.DRAINING, replica)
            shrinking.advance(0.03)
        shrinking.advance(1.2)


def drain_with_some_gone(shrinking: ShrinkingFleet) -> None:
    for replica in range(24):
        shrinking.list_phase(Phase.GONE if replica % 3 else Phase.DRAINING, replica)
        shrinking.advance(0.3)


def replace_six_in_ten_within_7_s(shrinking: ShrinkingFleet) -> None:
    for replica in range(18):
        shrinking.list_phase(Phase.DRAINING, replica)
        shrinking.list_phase(Phase.READY, 30 + replica, started_us=shrinking.fleet.now_us)
        shrinking.advance(0.39)


def drain_after_proxies_came_back(shrinking: ShrinkingFleet) -> None:
    drain_one_by_one(shrinking, range(12))
    for proxy in (0, 1, 2):
        shrinking.fleet.step(ProxyLeft(proxy))
    shrinking.join(0, 1, 2)
    drain_one_by_one(shrinking, range(12, 24))


def drain_beside_joining_proxies(shrinking: ShrinkingFleet) -> None:
    for replica in range(24):
        shrinking.join(100 + replica)
        shrinking.list_phase(Phase.DRAINING, replica)
        shrinking.advance(0.36)


def drain_after_replicas_came_back(shrinking: ShrinkingFleet) -> None:
    shrinking.list_phase(Phase.GONE, *range(12, 30))
    shrinking.advance(4)
    shrinking.list_phase(Phase.READY, *range(12, 30))
    shrinking.advance(1)
    drain_one_by_one(shrinking, range(0, 24))


def restart_one_by_one_then_drain(shrinking: ShrinkingFleet) -> None:
    for replica in range(8):
        shrinking.list_phase(Phase.READY, replica, started_us=shrinking.fleet.now_us)
        shrinking.advance(0.36)
    drain_one_by_one(shrinking, range(8, 24))


@pytest.mark.parametrize("calm_s", [1, 3, 20])
@pytest.mark.parametrize("drain", [
    drain_in_bursts, drain_with_some_gone, replace_six_in_ten_within_7_s, drain_after_proxies_came_back,
    drain_beside_joining_proxies, drain_after_replicas_came_back, restart_one_by_one_then_drain,
])  # fmt: skip
def test_drains_on_related_paths_are_written_within_the_grace(
    drain: Callable[[ShrinkingFleet], None], calm_s: float
) -> None:
    """Other messages, written just before or beside drains, left too few for them."""
    shrinking = shrinking_fleet(calm_s=calm_s)
    drain(shrinking)
    shrinking.advance(5)
    assert not shrinking.late_us


def test_a_proxy_at_its_message_limit_delays_drains_only_in_its_own_group(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One proxy at its limit held up the drains of all others (`review/9`)."""
    shrinking = shrinking_fleet(proxies=30)
    fleet = shrinking.fleet
    # Without any message left, the drain is late for one proxy.
    monkeypatch.setattr(fleet, "_check_drains", lambda: None)
    flow, groups = fleet.policy.fleet.flow, fleet.policy.fleet.proxies.group_by_proxy
    for times in (flow.message_times[0], fleet.message_times[0]):
        times.extend([fleet.now_us] * 17)
    listed_us = fleet.now_us
    shrinking.list_phase(Phase.DRAINING, 5)
    shrinking.advance(fleet.max_drain_wait_us / SECOND)
    assert {groups[proxy] for proxy in fleet.holders(5)} == {groups[0]}
    shrinking.advance(10)
    assert not fleet.holders(5)
    assert fleet.now_us - listed_us < 12 * SECOND


def test_drains_are_gathered_for_the_other_proxies_while_one_is_at_its_message_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A drain that one proxy held up made all later ones go at once, until no proxy had a message left."""
    shrinking = shrinking_fleet(replicas=60, proxies=30)
    fleet = shrinking.fleet
    flow, groups = fleet.policy.fleet.flow, fleet.policy.fleet.proxies.group_by_proxy
    monkeypatch.setattr(fleet, "_check_drains", lambda: None)
    for times in (flow.message_times[0], fleet.message_times[0]):
        times.extend([fleet.now_us] * 17)
    late = set[int]()
    for replica in range(40):
        shrinking.list_phase(Phase.DRAINING, replica)
        for _ in range(5):
            shrinking.advance(0.05)
            overdue = [
                n for n, t in fleet.drain_listed_us.items() if fleet.now_us - t > fleet.max_drain_wait_us
            ]
            late |= {proxy for n in overdue for proxy in fleet.holders(n)}
    assert {groups[proxy] for proxy in late} == {groups[0]}


def test_gathered_drains_delay_no_bind() -> None:
    shrinking = shrinking_fleet()
    fleet = shrinking.fleet
    drain_one_by_one(shrinking, range(20))
    shrinking.list_phase(Phase.DRAINING, 20)
    assert fleet.holders(20), "the drain is not gathered"
    shrinking.join(6)
    assert fleet.bound[6]


@pytest.mark.parametrize(("proxies", "interval_s"), [(6, 0.15), (30, 0.36)])
def test_new_replicas_get_lines_while_drains_are_gathered(proxies: int, interval_s: float) -> None:
    """Weights waited for gathered drains, and the next ones were gathered before they had a turn."""
    shrinking = shrinking_fleet(replicas=60, proxies=proxies)
    fleet = shrinking.fleet
    listed_us, waits_us = dict[int, int](), dict[int, int]()
    for replica in range(30):
        shrinking.list_phase(Phase.READY, 60 + replica)
        shrinking.list_phase(Phase.DRAINING, replica)
        listed_us[60 + replica] = fleet.now_us
        shrinking.advance(interval_s)
        for new, time_us in listed_us.items():
            if new not in waits_us and len(fleet.holders(new)) == proxies:
                waits_us[new] = fleet.now_us - time_us
    assert not shrinking.late_us
    # A group has its turn once a period, and a gathered message follows within the longest wait of a drain.
    longest_us = fleet.config.load_reporting.period_us + fleet.max_drain_wait_us
    assert median(waits_us.get(new, fleet.now_us) for new in listed_us) <= longest_us


@pytest.mark.parametrize("limit", [12, 14, 20])
def test_without_drains_tables_are_written_as_often_as_without_a_message_limit(limit: int) -> None:
    """Messages that are kept for drains must not starve the weights."""
    orders = []
    for messages in (limit, 0):
        shrinking = shrinking_fleet(limit=messages, calm_s=1)
        shrinking.advance(40)
        orders.append(shrinking.fleet.orders)
    assert sum(isinstance(order, SetWeight) for order in orders[0]) > 100
    assert orders[0] == orders[1]


@pytest.mark.parametrize("wait_us", [SECOND, 3 * SECOND // 2, 5 * SECOND // 2])
def test_messages_at_even_intervals_always_leave_enough(wait_us: int) -> None:
    """Weights may use 12 of 20 messages, and withdrawals 17."""
    limit = MessageLimit(17, 12, 10 * SECOND)
    sent_us = [-number * limit.window_us // 12 for number in range(11, 0, -1)]
    assert limit.leaves_enough(sent_us, 0, wait_us)
