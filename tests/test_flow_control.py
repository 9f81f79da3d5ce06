"""Flow control: which lines are available, what messages cost, and what acknowledgements release."""

from __future__ import annotations

import math

import pytest

from gradehoist.actors import SECOND, MessageLoop
from gradehoist.flow_control import REVISION_COUNT, FlowControl
from gradehoist.interface import (
    ChannelLimits,
    CheckHealth,
    ProxyJoined,
    ProxyLeft,
    RequestAcknowledgement,
    UpdateAcknowledged,
)

QUEUE, OVERHEAD, MESSAGES = 100.0, 4.0, 2
ORDER = CheckHealth(0)


def flow_control(
    proxies: int = 2, messages_per_window: int = MESSAGES, may_hold_withdrawals: bool = False
) -> FlowControl:
    limits = ChannelLimits(
        queue_limit_lines=QUEUE,
        lines_per_s=1000.0,
        message_overhead_lines=OVERHEAD,
        messages_per_window=messages_per_window,
        message_window_us=10 * SECOND,
        worst_transit_us=0,
    )
    flow = FlowControl(MessageLoop(seed=7, now_us=0), limits)
    for proxy in range(proxies):
        flow.loop.publish(
            ProxyJoined(proxy=proxy, zone=0, request_rate=1.0, may_hold_withdrawals=may_hold_withdrawals)
        )
    flow.loop.run()
    return flow


def available(flow: FlowControl, *proxies: int, lines: float = 0) -> float:
    return flow.available_lines(proxies, lines, queue_share=0.5, message_share=1.0)


def send(flow: FlowControl, *proxies: int, lines: int = 1) -> int:
    """Send a message and return its revision."""
    flow.write([ORDER], proxies, lines)
    (acknowledgement,) = [o for o in flow.take_orders() if isinstance(o, RequestAcknowledgement)]
    return acknowledgement.revision


def acknowledge(flow: FlowControl, proxy: int, revision: int) -> None:
    flow.loop.publish(UpdateAcknowledged(proxy=proxy, revision=revision, elapsed_us=0))
    flow.loop.run()


def test_lines_and_message_overhead_count_until_they_are_acknowledged() -> None:
    flow = flow_control()
    assert available(flow) == 50
    flow.write([ORDER], [0], 3)
    assert available(flow) == 50 - (3 + OVERHEAD + 1)
    first, second = send(flow, lines=0), send(flow, 0, lines=2)
    assert available(flow) == 50 - (3 + OVERHEAD + 1) - (2 + OVERHEAD + 1)
    acknowledge(flow, 1, second)
    assert not flow.is_idle(), "the acknowledgement of another proxy releases nothing"
    acknowledge(flow, 0, first)
    assert available(flow) == 50 - (2 + OVERHEAD + 1)
    acknowledge(flow, 0, second)
    assert available(flow) == 50
    assert flow.is_idle()


def test_an_acknowledgement_covers_all_earlier_revisions() -> None:
    flow = flow_control()
    send(flow, 0)
    acknowledge(flow, 0, send(flow, 0))
    assert flow.unacknowledged_lines == 0


def test_reserved_lines_and_lines_to_be_written_reduce_the_available_lines() -> None:
    flow = flow_control()
    flow.reserved_lines += 7
    assert available(flow, 0, 1, lines=3) == 50 - 7 - 2 * (3 + OVERHEAD + 1)
    flow.write([ORDER], [0], 1)
    assert (
        available(flow, 0, lines=3) == 50 - 7 - (1 + OVERHEAD + 1) - 3
    ), "the overhead of the message is counted already"
    flow.take_orders()
    assert available(flow) == 50 - (1 + OVERHEAD + 1), "a reservation ends with the reply"


def test_a_proxy_at_its_message_limit_has_no_available_lines_until_the_window_has_passed() -> None:
    flow = flow_control()
    for _ in range(MESSAGES):
        acknowledge(flow, 0, send(flow, 0))
    assert available(flow, 0) == available(flow, 1, 0) == -math.inf
    assert math.isfinite(available(flow, 1))
    flow.write([ORDER], [0], 1)
    assert math.isfinite(available(flow, 0)), "the proxy has a message in this reply already"
    flow.take_orders()
    flow.loop.now_us = 10 * SECOND
    assert math.isfinite(available(flow, 0))


def test_a_message_limit_of_0_means_no_limit() -> None:
    flow = flow_control(messages_per_window=0)
    for _ in range(50):
        acknowledge(flow, 0, send(flow, 0))
    assert math.isfinite(available(flow, 0))


def test_lines_of_a_proxy_that_left_are_released_and_it_gets_no_more() -> None:
    flow = flow_control()
    send(flow, 0, 1)
    flow.loop.publish(ProxyLeft(proxy=0))
    flow.loop.run()
    assert flow.unacknowledged_lines == 1 + OVERHEAD + 1
    flow.write([ORDER], [0, 1], 1)
    assert set(flow.pending) == {1}


@pytest.mark.parametrize(("may_hold_withdrawals", "lines"), [(False, 5), (True, 7)])
def test_lines_that_add_a_replica_count_twice_for_a_proxy_that_may_hold_withdrawals(
    may_hold_withdrawals: bool, lines: int
) -> None:
    flow = flow_control(may_hold_withdrawals=may_hold_withdrawals)
    flow.write([ORDER], [0], 5, new_lines=2)
    assert flow.pending[0] == OVERHEAD + 1 + lines


@pytest.mark.parametrize(("proxies", "to_all"), [([0], False), ([0, 1], True)])
def test_a_message_to_all_proxies_requests_the_acknowledgement_of_all(
    proxies: list[int], to_all: bool
) -> None:
    flow = flow_control()
    flow.write([ORDER], proxies, 1)
    assert flow.take_orders() == [ORDER, RequestAcknowledgement(revision=1, to_all=to_all)]


def test_a_reply_without_lines_requests_no_acknowledgement() -> None:
    flow = flow_control()
    flow.write([ORDER], [], 0)
    assert flow.take_orders() == [ORDER]
    assert flow.take_orders() == []


def test_admission_rates_count_in_each_later_message() -> None:
    flow = flow_control()
    flow.admission_orders = [ORDER, ORDER]
    flow.write_admission([0, 1])
    assert flow.admission_orders == []
    acknowledge(flow, 1, send(flow))
    before = flow.unacknowledged_lines
    send(flow, 1)
    assert flow.unacknowledged_lines - before == 1 + 2 + OVERHEAD + 1


def test_revisions_wrap_around() -> None:
    flow = flow_control(messages_per_window=0)
    revisions = []
    for _ in range(REVISION_COUNT + 1):
        revisions.append(send(flow, 0))
        acknowledge(flow, 0, revisions[-1])
    assert revisions[-3:] == [REVISION_COUNT - 1, 0, 1]
