"""Accounting of the lines and messages that a policy has written to its proxies.

It counts what is written and not yet acknowledged. How much of the queue, or of a proxy's message limit, may
be used for what is the caller's decision and is passed in.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Sequence

from gradehoist.actors import Actor, MessageLoop
from gradehoist.interface import (
    ChannelLimits,
    Order,
    ProxyJoined,
    ProxyLeft,
    RequestAcknowledgement,
    UpdateAcknowledged,
)
from gradehoist.messages import AdmissionChanged, WriteOrders

REVISION_COUNT = 65_536  # revisions are numbers of 16 bits
UNLIMITED_MESSAGES = 1e9  # stands for a limit of 0 messages, which means none


class FlowControl(Actor):
    """The reply being written, what is unacknowledged, and the messages of the window, by proxy."""

    def __init__(self, loop: MessageLoop, limits: ChannelLimits) -> None:
        """Create the accounts of a channel; its proxies are added as they join."""
        super().__init__(loop)
        self.orders: list[Order] = []  # of the reply being written
        self.overhead_lines = limits.message_overhead_lines + 1  # and the line that asks for acknowledgement
        self.message_limit = limits.messages_per_window or UNLIMITED_MESSAGES
        self.message_window_us = limits.message_window_us
        self.queue_limit_lines = limits.queue_limit_lines
        self.pending: dict[int, float] = {}  # lines of the reply being written, by proxy
        self.reserved_lines = 0.0  # for what actors were asked to write in this reply
        self.admission_orders: Sequence[Order] = []  # the latest admission rates, until they are written
        self.admission_lines = 0  # lines of the rates last written, counted for each message
        self.unacknowledged: dict[int, deque[tuple[int, float]]] = {}  # revision and lines, by proxy
        self.unacknowledged_lines = 0.0
        self.message_times: dict[int, deque[int]] = {}  # within the message window, by proxy
        self._possible_withdrawal_holders = set[int]()
        self._revision = 0

    def _on_proxy_joined(self, joined: ProxyJoined) -> None:
        self.unacknowledged[joined.proxy] = deque()
        self.message_times[joined.proxy] = deque()
        if joined.may_hold_withdrawals:
            self._possible_withdrawal_holders.add(joined.proxy)
        else:
            self._possible_withdrawal_holders.discard(joined.proxy)

    def _on_proxy_left(self, left: ProxyLeft) -> None:
        self.unacknowledged_lines -= sum(lines for _, lines in self.unacknowledged.pop(left.proxy))
        self.message_times.pop(left.proxy)

    def _on_update_acknowledged(self, update: UpdateAcknowledged) -> None:
        sent = self.unacknowledged.get(update.proxy, ())
        while any(revision == update.revision for revision, _ in sent):
            self.unacknowledged_lines -= self.unacknowledged[update.proxy].popleft()[1]

    def _on_admission_changed(self, admission: AdmissionChanged) -> None:
        self.admission_orders = admission.orders

    def _on_write_orders(self, order: WriteOrders) -> None:
        self.write(order.orders, order.proxies, order.lines, order.new_lines)

    def may_hold_withdrawals(self, proxy: int) -> bool:
        """Whether replicas new to the proxy's tables take a line more."""
        return proxy in self._possible_withdrawal_holders

    def is_idle(self) -> bool:
        """Whether every message has been acknowledged."""
        return not any(self.unacknowledged.values())

    def available_lines(
        self, proxies: Iterable[int], lines: float, queue_share: float, message_share: float
    ) -> float:
        """Return the lines left of `queue_share` of the queue once `lines` are written to each of `proxies`.

        What actors were asked to write counts as written, or each write of a batch would pass alone.
        Minus infinity where a proxy without a message in this reply has had `message_share` of its limit.
        """
        left = queue_share * self.queue_limit_lines
        left = left - self.unacknowledged_lines - self.reserved_lines - sum(self.pending.values())
        window_start = self.loop.now_us - self.message_window_us
        most = message_share * self.message_limit
        for proxy in proxies:
            if proxy in self.pending:
                left -= lines
                continue
            left = left - lines - self.overhead_lines
            times = self.message_times[proxy]
            while times and times[0] <= window_start:
                times.popleft()
            if len(times) >= most:
                return -math.inf
        return left

    def write(self, orders: Iterable[Order], proxies: Iterable[int], lines: int, new_lines: int = 0) -> None:
        """Add orders to the reply; they are `lines` to each of `proxies`, but for those that have left.

        `new_lines` of them, of replicas new to a table, count twice where withdrawals may have to be lifted.
        """
        self.orders += orders
        pending = self.pending
        for proxy in proxies:
            if proxy in self.unacknowledged:
                extra = new_lines if proxy in self._possible_withdrawal_holders else 0
                pending[proxy] = pending.get(proxy, self.overhead_lines) + lines + extra

    def write_admission(self, proxies: Iterable[int]) -> None:
        """Add the pending admission rates to the reply."""
        self.admission_lines = len(self.admission_orders)
        self.write(self.admission_orders, proxies, self.admission_lines)
        self.admission_orders = []

    def take_orders(self) -> list[Order]:
        """Close the reply: count its messages as sent; return its orders."""
        if self.pending:
            self._revision = (self._revision + 1) % REVISION_COUNT
            # To all where all were meant: withdrawals reach holders of the line, others never acknowledge.
            to_all = len(self.pending) >= len(self.unacknowledged)
            self.orders.append(RequestAcknowledgement(revision=self._revision, to_all=to_all))
            self.unacknowledged_lines += sum(self.pending.values()) + self.admission_lines * len(self.pending)
        for proxy, lines in self.pending.items():
            self.unacknowledged[proxy].append((self._revision, lines + self.admission_lines))
            self.message_times[proxy].append(self.loop.now_us)
        orders = self.orders
        self.orders = []
        self.pending = {}
        self.reserved_lines = 0.0
        return orders
