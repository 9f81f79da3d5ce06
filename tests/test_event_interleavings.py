"""Checks the five safety rules in all orders of a few events, and that a breach of each is detected."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gradehoist import interface
from tests.support.interleavings import InterleavedFleet, RuleViolation, explore_orders, run_events

EVENTS_WITH_ONE_GOVERNOR = (
    "drain w0",
    "gone w1",
    "return w0",
    "return w1",
    "toggle-failure w2",
    "toggle-acknowledgements r0",
    "change-governor r1",
    "disconnect r0",
    "slow-down r1",
    "restart-governor 0",
    "wait",
)
EVENTS_WITH_TWO_GOVERNORS = (
    "drain w0",
    "gone w1",
    "return w0",
    "toggle-failure w2",
    "toggle-acknowledgements r0",
    "change-governor r0",
    "change-governor r1",
    "restart-governor 0",
    "restart-governor 1",
)


def test_all_orders_of_three_of_eleven_events_with_one_governor() -> None:
    assert explore_orders(1, EVENTS_WITH_ONE_GOVERNOR, 3) == 11 * 10 * 9


def test_all_orders_of_three_of_nine_events_with_two_governors() -> None:
    assert explore_orders(2, EVENTS_WITH_TWO_GOVERNORS, 3) == 9 * 8 * 7


def test_a_proxy_without_acknowledgements_takes_no_replica_from_the_other_proxy() -> None:
    """Restorations for all proxies once waited forever for the acknowledgements of this one."""
    fleet = run_events(1, "toggle-acknowledgements r0", *("drain w0", "return w0") * 9, *("wait",) * 8)
    assert all("w0" in proxy.state.weights_for("read") for proxy in fleet.proxies)


def clear_all_tables(fleet: InterleavedFleet, orders: list[interface.Order]) -> list[interface.Order]:
    return orders + [interface.ClearTable(o.table) for o in orders if isinstance(o, interface.SetWeight)]


def retry_writes(fleet: InterleavedFleet, orders: list[interface.Order]) -> list[interface.Order]:
    return (
        [interface.SetAdmission(None, (1,), 1.0, 2), *orders]
        if any(isinstance(o, interface.RequestAcknowledgement) for o in orders)
        else orders
    )


def drop_withdrawals(fleet: InterleavedFleet, orders: list[interface.Order]) -> list[interface.Order]:
    return [
        o
        for o in orders
        if not (isinstance(o, interface.WithdrawReplica) and o.withdrawn)
        and not (isinstance(o, interface.SetWeight) and not o.weight)
    ]


def overload_cold_replica(fleet: InterleavedFleet, orders: list[interface.Order]) -> list[interface.Order]:
    return [
        replace(o, weight=4.0) if isinstance(o, interface.SetWeight) and o.replica == 0 and o.weight else o
        for o in orders
    ]


def overfill_queue(fleet: InterleavedFleet, orders: list[interface.Order]) -> list[interface.Order]:
    # The attribute is missing while the fleet is being constructed.
    for governor in getattr(fleet, "governors", ()):
        governor.core.publisher.channel.queue_limit_lines = 1e9
    admissions: list[interface.Order] = [interface.SetAdmission(None, (0,), 1.0, 1) for _ in range(80)]
    return (
        orders[:-1] + admissions + orders[-1:]
        if any(isinstance(o, interface.WithdrawReplica) for o in orders)
        else orders
    )


@pytest.mark.parametrize(
    ("rule", "fault"),
    [
        (1, clear_all_tables),
        (2, retry_writes),
        (3, drop_withdrawals),
        (4, overload_cold_replica),
        (5, overfill_queue),
    ],
)
def test_an_injected_fault_in_the_orders_is_detected(rule: int, fault: object) -> None:
    with pytest.raises(RuleViolation, match=f"^rule {rule}: .*order: "):
        explore_orders(1, ("drain w0", "return w0", "gone w1", "wait"), 4, fault)  # type: ignore[arg-type]
