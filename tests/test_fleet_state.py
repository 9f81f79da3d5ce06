"""The state that a policy keeps of its fleet: withdrawals, sent tables and request rates; control loops."""

from __future__ import annotations

import pytest

from gradehoist.actors import SECOND, MessageLoop
from gradehoist.control_loop import PIController, SmoothedLoad
from gradehoist.fleet_state.request_rates import RateSmoothing, RequestRates
from gradehoist.fleet_state.weight_tables import LineChange, SentTables
from gradehoist.fleet_state.withdrawals import Withdrawals
from gradehoist.interface import LoadReport, ProxyJoined, ProxyLeft, RequestsOffered
from gradehoist.messages import (
    AdmissionForecast,
    Availability,
    LiftWithdrawal,
    ProxyAssigned,
    SetAvailability,
)
from gradehoist.numeric import majority_median
from tests.support.policy_fleet import UNRESTRICTED, ZONE_LOCAL, policy_config


@pytest.fixture
def loop() -> MessageLoop:
    return MessageLoop(seed=7, now_us=0)


def publish(loop: MessageLoop, *messages: object) -> None:
    for message in messages:
        loop.publish(message)
    loop.run()


def test_a_changed_pending_withdrawal_keeps_its_position(loop: MessageLoop) -> None:
    withdrawals = Withdrawals(loop)
    publish(
        loop,
        SetAvailability(0, Availability.EJECTED),
        SetAvailability(1, Availability.DRAINING),
        SetAvailability(0, Availability.DRAINING),
    )
    assert withdrawals.due((Availability.DRAINING,)) == [0, 1]


def test_a_new_reason_for_a_withdrawal_needs_no_write(loop: MessageLoop) -> None:
    withdrawals = Withdrawals(loop)
    publish(loop, SetAvailability(0, Availability.EJECTED))
    withdrawals.withdraw(0)
    publish(loop, SetAvailability(0, Availability.AVAILABLE), SetAvailability(0, Availability.GONE))
    assert not withdrawals.pending
    assert withdrawals.withdrawn == {0: Availability.GONE}


def test_only_the_withdrawal_of_a_gone_replica_is_lifted_after_its_retention(loop: MessageLoop) -> None:
    withdrawals = Withdrawals(loop)
    publish(loop, SetAvailability(0, Availability.GONE), SetAvailability(1, Availability.DRAINING))
    for replica in (0, 1):
        withdrawals.withdraw(replica)
    publish(loop, LiftWithdrawal(0), LiftWithdrawal(1))
    assert withdrawals.due((Availability.AVAILABLE,)) == [0]
    assert withdrawals.readmit(0)
    assert withdrawals.withdrawn == {1: Availability.DRAINING}


def test_lines_of_weight_0_are_removed_from_a_table_and_new_lines_are_counted() -> None:
    sent = SentTables(class_set_count=1)
    assert sent.apply([LineChange(0, 1, 0.5), LineChange(0, 2, 0.5)]) == 2
    assert sent.apply([LineChange(0, 1, 0.0), LineChange(0, 2, 0.7)]) == 0
    assert sent.replicas() == [frozenset({2})]
    assert sent.bind_lines(extra_lines=3, lifts_withdrawals=False) == 1 + 3 + 1
    assert sent.bind_lines(extra_lines=3, lifts_withdrawals=True) == 1 + 3 + 2


def test_changes_compare_ratios_and_retained_lines_stay() -> None:
    sent = SentTables(class_set_count=1)
    sent.apply([LineChange(0, n, 1.0) for n in range(4)])
    twice = {0: {n: 2.0 for n in range(3)}}
    assert not list(sent.changes(twice, retained={3}, min_change=0.05))
    assert list(sent.changes(twice, retained=set(), min_change=0.05)) == [LineChange(0, 3, 0.0)]
    assert list(sent.replica_lines(twice, replica=0)) == [LineChange(0, 0, 1.0)]


HALF = RateSmoothing(weight=0.5, served_share=0.9, unserved_weight=0.0)


def test_demand_includes_own_proxies_and_those_of_other_governors(loop: MessageLoop) -> None:
    config = policy_config(classes=(UNRESTRICTED, ZONE_LOCAL), proxies=6)
    rates = RequestRates(loop, config, class_sets=[(0,), (1,)], group_zones=[0, 0, 1, 2], smoothing=HALF)
    publish(loop, ProxyJoined(0, 0, 10.0), ProxyJoined(1, 0, 30.0), ProxyAssigned(0, 0), ProxyAssigned(1, 1))
    demand = rates.demand(zone_count=3)
    assert sum(map(sum, demand.shares)) == pytest.approx(1.0)
    assert sum(demand.shares[0]) == pytest.approx(1 / 3), "two of the six proxies, both of them in zone 0"
    assert demand.group_loads == [0.5, 1.5, 0.0, 0.0]
    assert demand.proxy_zones == {0}
    publish(loop, ProxyJoined(2, 5, 99.0))
    assert rates.demand(zone_count=3).requests_per_s == pytest.approx(2 * 40.0), "no zone 5 is known"


def test_rates_follow_the_reports_of_proxies_until_they_leave(loop: MessageLoop) -> None:
    rates = RequestRates(
        loop, policy_config(classes=(UNRESTRICTED,)), [(0,)], group_zones=[0], smoothing=HALF
    )
    publish(loop, ProxyJoined(0, 0, 10.0), RequestsOffered(0, 0, 40, 0, 2 * SECOND))
    assert rates.proxies[0].rates == [15.0]
    assert rates.take_recent_requests(decay=0.25) == [40.0]
    assert rates.take_recent_requests(decay=0.25) == [10.0]
    publish(loop, ProxyLeft(0), RequestsOffered(0, 0, 40, 0, SECOND), ProxyAssigned(0, 0))
    assert not rates.proxies
    assert rates.demand(zone_count=1).group_loads == [0.0]


def test_usual_rates_do_not_rise_with_the_requests_that_clients_repeat(loop: MessageLoop) -> None:
    rates = RequestRates(
        loop, policy_config(classes=(UNRESTRICTED,)), [(0,)], group_zones=[0], smoothing=HALF
    )
    publish(loop, ProxyJoined(0, 0, 10.0), RequestsOffered(0, 0, 10, 0, SECOND))
    publish(loop, RequestsOffered(0, 0, 30, incomplete=30, window_us=SECOND))
    assert rates.demand(zone_count=1).requests_per_s == pytest.approx(6 * 20.0), "one of six proxies"
    assert rates.usual_demand(zone_count=1).requests_per_s == pytest.approx(6 * 10.0)
    publish(loop, AdmissionForecast(current=[0.5], highest=[0.7]), RequestsOffered(0, 0, 30, 0, SECOND))
    assert rates.usual_demand(zone_count=1).requests_per_s == pytest.approx(6 * 10.0)
    demand = rates.demand(zone_count=1)
    assert rates.admitted_rates(demand, [0.5]) == [[pytest.approx(demand.requests_per_s / 2)]]


def test_the_integral_does_not_change_while_the_step_is_clamped() -> None:
    controller = PIController(gain_p=0.1, gain_i=0.1)
    assert controller.step(10.0, SECOND, limit=0.5) == 0.5
    assert controller.step(1.0, SECOND, limit=0.5) == pytest.approx(0.2)
    assert controller.step(1.0, SECOND, limit=0.5) == pytest.approx(0.3)
    controller.reset()
    assert controller.step(-1.0, SECOND, limit=0.5) == pytest.approx(-0.2)


def test_a_smoothed_signal_that_is_no_longer_reported_is_dropped() -> None:
    load = SmoothedLoad(smoothing=0.5, deviation_smoothing=0.1, initial_deviation=0.5)
    load.update(LoadReport(busy_share=0.4, in_flight=2.0))
    load.update(LoadReport(busy_share=0.8, in_flight=None))
    assert load.busy_share == pytest.approx(0.6)
    assert load.in_flight is None
    assert load.deviation == pytest.approx(0.55), "the relative deviation of the last reading is 1"


@pytest.mark.parametrize(
    ("values", "population", "median"),
    [([], 0, 0.0), ([3.0], 2, 0.0), ([3.0], 1, 3.0), ([4.0, 1.0, 2.0], 5, 2.0), ([1.0, 2.0], 3, 2.0)],
)
def test_a_median_needs_values_of_a_majority(values: list[float], population: int, median: float) -> None:
    assert majority_median(values, population) == median
