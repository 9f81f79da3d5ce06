"""Records that a policy keeps of its fleet: withdrawals, tables as sent, request rates; control loops."""

from __future__ import annotations

import pytest

from gradehoist.actors import SECOND, MessageLoop
from gradehoist.control_loop import PIController, SmoothedLoad
from gradehoist.fleet_state.request_rates import RequestRates
from gradehoist.fleet_state.weight_tables import LineChange, SentTables
from gradehoist.fleet_state.withdrawals import Withdrawals
from gradehoist.interface import LoadReport, ProxyJoined, ProxyLeft, RequestsOffered
from gradehoist.messages import Availability, LiftWithdrawal, ProxyAssigned, SetAvailability
from gradehoist.numeric import majority_median
from tests.support.policy_fleet import ANY, LOCAL, policy_config


@pytest.fixture
def loop() -> MessageLoop:
    return MessageLoop(seed=7, now_us=0)


def publish(loop: MessageLoop, *messages: object) -> None:
    for message in messages:
        loop.publish(message)
    loop.run()


def test_a_change_of_what_is_pending_keeps_its_place(loop: MessageLoop) -> None:
    withdrawals = Withdrawals(loop)
    publish(
        loop,
        SetAvailability(0, Availability.EJECTED),
        SetAvailability(1, Availability.DRAINING),
        SetAvailability(0, Availability.DRAINING),
    )
    assert withdrawals.due((Availability.DRAINING,)) == [0, 1]


def test_a_withdrawn_replica_is_withdrawn_for_another_reason_without_a_write(loop: MessageLoop) -> None:
    withdrawals = Withdrawals(loop)
    publish(loop, SetAvailability(0, Availability.EJECTED))
    withdrawals.withdraw(0)
    publish(loop, SetAvailability(0, Availability.AVAILABLE), SetAvailability(0, Availability.GONE))
    assert not withdrawals.pending
    assert withdrawals.withdrawn == {0: Availability.GONE}


def test_a_withdrawal_is_lifted_only_of_a_replica_that_is_gone(loop: MessageLoop) -> None:
    withdrawals = Withdrawals(loop)
    publish(loop, SetAvailability(0, Availability.GONE), SetAvailability(1, Availability.DRAINING))
    for replica in (0, 1):
        withdrawals.withdraw(replica)
    publish(loop, LiftWithdrawal(0), LiftWithdrawal(1))
    assert withdrawals.due((Availability.AVAILABLE,)) == [0]
    assert withdrawals.readmit(0)
    assert withdrawals.withdrawn == {1: Availability.DRAINING}


def test_lines_of_weight_0_leave_a_table_and_new_ones_are_counted() -> None:
    sent = SentTables(class_set_count=1)
    assert sent.apply([LineChange(0, 1, 0.5), LineChange(0, 2, 0.5)]) == 2
    assert sent.apply([LineChange(0, 1, 0.0), LineChange(0, 2, 0.7)]) == 0
    assert sent.replicas() == [frozenset({2})]
    assert sent.bind_lines(extra_lines=3, lifts_withdrawals=False) == 1 + 3 + 1
    assert sent.bind_lines(extra_lines=3, lifts_withdrawals=True) == 1 + 3 + 2


def test_changes_compare_ratios_and_leave_droppable_lines() -> None:
    sent = SentTables(class_set_count=1)
    sent.apply([LineChange(0, n, 1.0) for n in range(4)])
    twice = {0: {n: 2.0 for n in range(3)}}
    assert not list(sent.changes(twice, retained={3}, min_change=0.05))
    assert list(sent.changes(twice, retained=set(), min_change=0.05)) == [LineChange(0, 3, 0.0)]
    assert list(sent.replica_lines(twice, replica=0)) == [LineChange(0, 0, 1.0)]


def test_demand_is_of_our_own_proxies_and_of_those_of_other_governors(loop: MessageLoop) -> None:
    config = policy_config(classes=(ANY, LOCAL), proxies=6)
    rates = RequestRates(loop, config, class_sets=[(0,), (1,)], group_zones=[0, 0, 1, 2], smoothing=0.5)
    publish(loop, ProxyJoined(0, 0, 10.0), ProxyJoined(1, 0, 30.0), ProxyAssigned(0, 0), ProxyAssigned(1, 1))
    demand = rates.demand(zone_count=3)
    assert sum(map(sum, demand.shares)) == pytest.approx(1.0)
    assert sum(demand.shares[0]) == pytest.approx(1 / 3), "two of the six proxies, both in zone 0"
    assert demand.group_loads == [0.5, 1.5, 0.0, 0.0]
    assert demand.proxy_zones == {0}


def test_rates_move_toward_what_proxies_report_until_they_leave(loop: MessageLoop) -> None:
    rates = RequestRates(loop, policy_config(classes=(ANY,)), [(0,)], group_zones=[0], smoothing=0.5)
    publish(loop, ProxyJoined(0, 0, 10.0), RequestsOffered(0, 0, 40, 0, 2 * SECOND))
    assert rates.proxies[0].rates == [15.0]
    assert rates.take_recent_requests(decay=0.25) == [40.0]
    assert rates.take_recent_requests(decay=0.25) == [10.0]
    publish(loop, ProxyLeft(0), RequestsOffered(0, 0, 40, 0, SECOND), ProxyAssigned(0, 0))
    assert not rates.proxies
    assert rates.demand(zone_count=1).group_loads == [0.0]


def test_the_integral_stands_still_while_the_step_is_clamped() -> None:
    controller = PIController(gain_p=0.1, gain_i=0.1)
    assert controller.step(10.0, SECOND, limit=0.5) == 0.5
    assert controller.step(1.0, SECOND, limit=0.5) == pytest.approx(0.2)
    assert controller.step(1.0, SECOND, limit=0.5) == pytest.approx(0.3)
    controller.reset()
    assert controller.step(-1.0, SECOND, limit=0.5) == pytest.approx(-0.2)


def test_a_smoothed_signal_that_is_not_reported_any_more_is_dropped() -> None:
    load = SmoothedLoad(smoothing=0.5, deviation_smoothing=0.1, initial_deviation=0.5)
    load.update(LoadReport(busy_share=0.4, in_flight=2.0))
    load.update(LoadReport(busy_share=0.8, in_flight=None))
    assert load.busy_share == pytest.approx(0.6)
    assert load.in_flight is None
    assert load.deviation == pytest.approx(0.55), "the reading was as far off as the signal is high"


@pytest.mark.parametrize(
    ("values", "population", "median"),
    [([], 0, 0.0), ([3.0], 2, 0.0), ([3.0], 1, 3.0), ([4.0, 1.0, 2.0], 5, 2.0), ([1.0, 2.0], 3, 2.0)],
)
def test_a_median_counts_only_of_a_majority(values: list[float], population: int, median: float) -> None:
    assert majority_median(values, population) == median
