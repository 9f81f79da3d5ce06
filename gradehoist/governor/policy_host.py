"""Runs the policies in the child process that `policy_process` starts.

A fleet with cells has one policy for each cell, and all are given their events together once per time slot.
This process then also fires the timers that have become due, each with the time for which it was set.
"""

from __future__ import annotations

import heapq
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import BinaryIO

from gradehoist.governor.order_reasons import explain_orders
from gradehoist.governor.policy_frames import (
    BatchesHandled,
    HandleBatches,
    PackedReply,
    StartPolicies,
    encode_frame,
    read_frame,
)
from gradehoist.governor.policy_instances import PolicyBatch, PolicyReply
from gradehoist.interface import Event, Order, Policy, PolicyConfig, SetTimer, TimerFired
from gradehoist.policy.planner import Planner

PolicyFactory = Callable[[PolicyConfig, int], Policy]


@dataclass(frozen=True, slots=True, order=True)
class _Timer:
    """A timer of a policy; timers that are due at the same time fire in the order in which they were set."""

    due_us: int
    sequence: int
    policy: int
    token: int


class PolicyHost:
    """Holds the policies of one governor and, if requested, their timers."""

    def __init__(
        self,
        configs: list[PolicyConfig],
        now_us: int,
        runs_timers: bool,
        make_policy: PolicyFactory = Planner,
    ) -> None:
        """Creates the policies; with `runs_timers`, this process also fires their timers."""
        self.policies = [make_policy(config, now_us) for config in configs]
        self._runs_timers = runs_timers
        self._timers: list[_Timer] = []
        self._timer_count = 0

    def handle(self, now_us: int, batches: list[PolicyBatch], fires_timers: bool = True) -> list[PolicyReply]:
        """Fires due timers, gives the policies their events and returns the policies' replies."""
        replies: list[PolicyReply] = []
        while fires_timers and self._timers and self._timers[0].due_us <= now_us:
            timer = heapq.heappop(self._timers)
            replies += self._handle_events(timer.due_us, timer.policy, [TimerFired(timer.token)])
        for batch in batches:
            replies += self._handle_events(now_us, batch.policy, batch.events)
        return replies

    def _handle_events(self, at_us: int, number: int, events: list[Event]) -> list[PolicyReply]:
        """Returns the reply of one policy, or an empty list if it gives no orders."""
        policy = self.policies[number]
        orders = policy.handle(at_us, events)
        if self._runs_timers:
            orders = self._extract_timers(at_us, number, orders)
        if not orders:
            return []
        reasons = explain_orders(policy, orders) if isinstance(policy, Planner) else {}
        return [PolicyReply(policy=number, orders=orders, reasons=reasons)]

    def _extract_timers(self, at_us: int, number: int, orders: list[Order]) -> list[Order]:
        """Sets the timers among the orders and returns the other orders."""
        others: list[Order] = []
        for order in orders:
            if isinstance(order, SetTimer):
                self._timer_count += 1
                timer = _Timer(at_us + order.delay_us, self._timer_count, number, order.token)
                heapq.heappush(self._timers, timer)
            else:
                others.append(order)
        return others


def serve(pipe: BinaryIO, make_policy: PolicyFactory = Planner) -> None:
    """Answers requests until the governor closes its end of the pipe."""
    host: PolicyHost | None = None
    while (message := read_frame(pipe)) is not None:
        answer: BatchesHandled | None = None
        try:
            if isinstance(message, StartPolicies):
                host = PolicyHost(message.configs, message.now_us, message.runs_timers, make_policy)
            elif host is not None:
                answer = _handle(host, message)
        except Exception as error:  # noqa: BLE001 - process boundary: the governor logs it
            answer = BatchesHandled(failure=f"{type(error).__name__}: {error}", replies=[], cpu_s=0.0)
        if answer is not None:
            pipe.write(encode_frame(answer))
            pipe.flush()


def _handle(host: PolicyHost, message: HandleBatches) -> BatchesHandled:
    began_s = time.process_time()
    replies = host.handle(message.now_us, message.batches, message.fires_timers)
    packed = [PackedReply.pack(reply) for reply in replies]
    return BatchesHandled(failure="", replies=packed, cpu_s=time.process_time() - began_s)


def main() -> None:
    """Serves the socket whose descriptor is the only argument."""
    # Signals reach the whole process group. Only the governor may end this process: if it ended earlier, the
    # governor would report a failed policy.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    with socket.socket(fileno=int(sys.argv[1])) as end, end.makefile("rwb") as pipe:
        os.set_inheritable(end.fileno(), False)
        serve(pipe)  # type: ignore[arg-type]


if __name__ == "__main__":
    main()
