"""Flow control: counts the lines and messages that a policy has written to its proxies.

Lines count until they are acknowledged, and messages until the message window has passed. The caller decides
which share of the queue and of a proxy's message limit a write may use.
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

REVISION_COUNT = 65_536  # Revisions are 16-bit numbers that wrap.
UNLIMITED_MESSAGES = 1e9  # Replaces a configured limit of 0, which means no limit.


class FlowControl(Actor):
    """Collects the orders of the current reply, and counts unacknowledged lines and recent messages."""

    def __init__(self, loop: MessageLoop, limits: ChannelLimits) -> None:
        """Create the accounting of a channel; proxies are added as they join."""
        super().__init__(loop)
        self.orders: list[Order] = []  # of the current reply
        self.overhead_lines = limits.message_overhead_lines + 1  # with the acknowledgement request
        self.message_limit = limits.messages_per_window or UNLIMITED_MESSAGES
        self.message_window_us = limits.message_window_us
        self.queue_limit_lines = limits.queue_limit_lines
        self.pending: dict[int, float] = {}  # by proxy: lines of the current reply
        self.reserved_lines = 0.0  # for writes that actors were asked to make in the current reply
        self.admission_orders: Sequence[Order] = []  # the latest admission rates until they are written
        self.admission_lines = 0  # lines of the rates last written, which each message repeats
        self.unacknowledged: dict[int, deque[tuple[int, float]]] = {}  # by proxy: revision, lines
        self.unacknowledged_lines = 0.0
        self.message_times: dict[int, deque[int]] = {}  # by proxy: within the message window
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
        """Return whether adding a replica to the proxy's tables takes a line more, to lift a withdrawal."""
        return proxy in self._possible_withdrawal_holders

    def is_idle(self) -> bool:
        """Return whether all messages have been acknowledged."""
        return not any(self.unacknowledged.values())

    def queued_lines(self) -> float:
        """Return the lines that are written, or reserved, and not acknowledged yet."""
        return self.unacknowledged_lines + self.reserved_lines + sum(self.pending.values())

    def recent_messages(self, proxy: int) -> Sequence[int]:
        """Return the times of the messages to a connected proxy within the message window, oldest first."""
        times = self.message_times[proxy]
        window_start = self.loop.now_us - self.message_window_us
        while times and times[0] <= window_start:
            times.popleft()
        return times

    def available_lines(
        self, proxies: Iterable[int], lines: float, queue_share: float, message_share: float
    ) -> float:
        """Return how much of `queue_share` of the queue remains after writing `lines` to each of `proxies`.

        Reserved lines count as written; otherwise each of several writes in a batch would be checked as if it
        were the only one. The result is minus infinity if one of the proxies has no message in the current
        reply and has used up `message_share` of its message limit.
        """
        remaining = queue_share * self.queue_limit_lines - self.queued_lines()
        message_cap = message_share * self.message_limit
        for proxy in proxies:
            if proxy in self.pending:
                remaining -= lines
                continue
            remaining = remaining - lines - self.overhead_lines
            if len(self.recent_messages(proxy)) >= message_cap:
                return -math.inf
        return remaining

    def write(self, orders: Iterable[Order], proxies: Iterable[int], lines: int, new_lines: int = 0) -> None:
        """Add orders to the reply, which cost `lines` for each of `proxies` that is still connected.

        The `new_lines` among them that add a replica to a table count twice for a proxy that may hold
        withdrawals, as these are lifted with another line.
        """
        self.orders += orders
        pending = self.pending
        for proxy in proxies:
            if proxy in self.unacknowledged:
                extra = new_lines if proxy in self._possible_withdrawal_holders else 0
                pending[proxy] = pending.get(proxy, self.overhead_lines) + lines + extra

    def write_admission(self, proxies: Iterable[int]) -> None:
        """Add the latest admission rates to the reply."""
        self.admission_lines = len(self.admission_orders)
        self.write(self.admission_orders, proxies, self.admission_lines)
        self.admission_orders = []

    def take_orders(self) -> list[Order]:
        """End the current reply, record its messages as sent, and return its orders."""
        if self.pending:
            self._revision = (self._revision + 1) % REVISION_COUNT
            # A withdrawal reaches only proxies with a line for the replica. If all proxies were written to,
            # all are asked, as a proxy that receives no line would otherwise never acknowledge the revision.
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
