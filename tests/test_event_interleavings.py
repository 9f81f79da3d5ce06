"""The five rules in all orders of a few events, and a fault planted for each rule that must be caught."""

from __future__ import annotations

from dataclasses import replace

import pytest

from gradehoist import interface as i
from tests.support.interleavings import Broken, Site, explore, play

ONE = (
    "drain w0",
    "gone w1",
    "back w0",
    "back w1",
    "fails w2",
    "deaf r0",
    "redial r1",
    "leaves r0",
    "late r1",
    "restart 0",
    "period",
)
TWO = (
    "drain w0",
    "gone w1",
    "back w0",
    "fails w2",
    "deaf r0",
    "redial r0",
    "redial r1",
    "restart 0",
    "restart 1",
)


def test_all_orders_of_three_of_eleven_events_under_one_governor() -> None:
    assert explore(1, ONE, 3) == 11 * 10 * 9


def test_all_orders_of_three_of_nine_events_under_two_governors() -> None:
    assert explore(2, TWO, 3) == 9 * 8 * 7


def test_a_relay_that_confirms_nothing_takes_no_replica_from_the_other() -> None:
    """The plain test of a drill: returns waited for its words for ever."""
    site = play(1, "deaf r0", *("drain w0", "back w0") * 9, *("period",) * 8)
    assert all("w0" in relay.holdings.weights_for("read") for relay in site.relays)


def bare(site: Site, orders: list[i.Order]) -> list[i.Order]:
    return orders + [i.ClearTable(o.table) for o in orders if isinstance(o, i.SetWeight)]


def twice(site: Site, orders: list[i.Order]) -> list[i.Order]:
    return (
        [i.SetAdmission(None, (1,), 1.0, 2), *orders]
        if any(isinstance(o, i.RequestAcknowledgement) for o in orders)
        else orders
    )


def drain(site: Site, orders: list[i.Order]) -> list[i.Order]:
    return [
        o
        for o in orders
        if not (isinstance(o, i.WithdrawReplica) and o.withdrawn)
        and not (isinstance(o, i.SetWeight) and not o.weight)
    ]


def cold(site: Site, orders: list[i.Order]) -> list[i.Order]:
    return [
        replace(o, weight=4.0) if isinstance(o, i.SetWeight) and o.replica == 0 and o.weight else o
        for o in orders
    ]


def queue(site: Site, orders: list[i.Order]) -> list[i.Order]:
    for g in getattr(site, "governors", ()):
        g.core.publisher.channel.queue_limit_lines = 1e9
    levels: list[i.Order] = [i.SetAdmission(None, (0,), 1.0, 1) for _ in range(80)]
    return (
        orders[:-1] + levels + orders[-1:]
        if any(isinstance(o, i.WithdrawReplica) for o in orders)
        else orders
    )


@pytest.mark.parametrize(("rule", "spoil"), [(1, bare), (2, twice), (3, drain), (4, cold), (5, queue)])
def test_a_fault_planted_in_the_orders_is_caught(rule: int, spoil: object) -> None:
    with pytest.raises(Broken, match=f"^rule {rule}: .*order: "):
        explore(1, ("drain w0", "back w0", "gone w1", "period"), 4, spoil)  # type: ignore[arg-type]
