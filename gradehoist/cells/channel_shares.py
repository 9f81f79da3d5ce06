"""Divides a governor's channel among its cells. This module does no I/O.

Withdrawals of any cell are sent first and may fill the queue. Ordinary lines (tables, weights, recoveries,
migrations) may use only a part of the queue, so that a withdrawal queued behind them is sent well within the
drain grace. They may also use only a part of the messages allowed per proxy. As messages get scarce, the
withdrawals of all cells are gathered, for as long as the first of them may wait. Within a message, the cells
with the least recent usage come first: a cell with many changes delays only itself.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from math import ceil

from gradehoist.interface import ChannelLimits
from gradehoist.message_limit import MessageLimit

MIN_SLOT_US = 10_000
# The number of slots in a message window if the settings do not limit messages.
DEFAULT_MESSAGES_PER_WINDOW = 20


def publishing_slot_us(limits: ChannelLimits) -> int:
    """Returns the length of a publishing time slot.

    A message holds the changes of several cells, so all policies reply together, as often as the message
    limit allows a message to a proxy.
    """
    messages = limits.messages_per_window or DEFAULT_MESSAGES_PER_WINDOW
    return max(MIN_SLOT_US, limits.message_window_us // messages)


class ChannelShares:
    """The channel's limits for ordinary messages, and each cell's recent usage. Sizes are in lines."""

    # The share of the drain grace that a withdrawal may wait behind ordinary lines. The rest is needed for
    # the time slot, the policy's computation and the proxy's poll.
    QUEUE_DELAY_SHARE = 0.25
    # The share of a proxy's message limit that ordinary messages may use. The rest is for withdrawals.
    ORDINARY_MESSAGE_SHARE = 0.75
    # The number of full-size messages that the queue holds. With fewer, the messages of a few proxies fill a
    # time slot; with more, the message overhead fills it.
    MESSAGES_IN_QUEUE = 8
    # The lines that any message may hold beyond its overhead, enough for one or two tables.
    MIN_MESSAGE_LINES = 64.0
    # The factor by which a cell's usage decays per time slot, so that about the last ten slots count.
    USAGE_DECAY = 0.9
    # The lines of a withdrawal of one replica, without the message's overhead.
    WITHDRAWAL_LINES = 2
    # Time for a policy's computation and the processing of its orders.
    PROCESSING_TIME_US = 100_000

    def __init__(self, cell_count: int, limits: ChannelLimits, drain_grace_us: int) -> None:
        """Starts with no recorded usage.

        Args:
            cell_count: The number of cells that share the channel.
            limits: The limits of the channel and of the messages per proxy.
            drain_grace_us: The time within which a withdrawal has to reach all proxies.
        """
        self.limits = limits
        self.ordinary_queue_lines = self.QUEUE_DELAY_SHARE * drain_grace_us / 1e6 * limits.lines_per_s
        self.usage_lines = [0.0] * cell_count
        self._message_limit = MessageLimit(
            count=limits.messages_per_window,
            ordinary_count=ceil(self.ORDINARY_MESSAGE_SHARE * limits.messages_per_window),
            window_us=limits.message_window_us,
        )
        # Withdrawals are sent in slots, so a deadline may lie almost a slot after the last chance to meet it.
        self._max_delay_us = (
            drain_grace_us - limits.worst_transit_us - self.PROCESSING_TIME_US - publishing_slot_us(limits)
        )

    def available_lines(self, proxy_count: int, waiting_lines: float) -> float:
        """Returns how many lines ordinary messages may add.

        A withdrawal sent to all proxies still fits into the queue beside them.
        """
        limit = min(
            self.limits.queue_limit_lines - self._withdrawal_lines(proxy_count), self.ordinary_queue_lines
        )
        return max(0.0, limit - waiting_lines)

    def max_withdrawal_wait_us(self, proxy_count: int, waiting_lines: float) -> int:
        """Returns how long withdrawals may wait for others to share a message with; at least 1."""
        lines = waiting_lines + self._withdrawal_lines(proxy_count)
        return max(1, self._max_delay_us - int(lines / self.limits.lines_per_s * 1e6))

    def allows_message(self, sent_us: Sequence[int], now_us: int, wait_us: int) -> bool:
        """Whether a proxy may get an ordinary message.

        `sent_us` are the times of its messages within the window, and `wait_us` is how long withdrawals may
        wait.
        """
        if not self.limits.messages_per_window:
            return True
        is_within_share = len(sent_us) < self._message_limit.ordinary_count
        return is_within_share and self.allows_withdrawals(sent_us, now_us, wait_us)

    def allows_withdrawals(self, sent_us: Sequence[int], now_us: int, wait_us: int) -> bool:
        """Whether a message with withdrawals leaves enough of a proxy's messages for later ones."""
        if not self.limits.messages_per_window:
            return True
        return self._message_limit.leaves_enough(sent_us, now_us, wait_us)

    def _withdrawal_lines(self, proxy_count: int) -> float:
        """Returns the lines of a withdrawal that is sent to some proxies."""
        return proxy_count * (self.limits.message_overhead_lines + self.WITHDRAWAL_LINES)

    @property
    def max_message_lines(self) -> float:
        """The most lines of weights and recoveries in a message; tables that bind a proxy are not split."""
        queue_lines = min(self.limits.queue_limit_lines, self.ordinary_queue_lines)
        return max(self.MIN_MESSAGE_LINES, queue_lines / self.MESSAGES_IN_QUEUE)

    def serving_order(self, cells: Iterable[int]) -> list[int]:
        """Returns the cells in ascending order of recent usage."""
        return sorted(cells, key=lambda cell: (self.usage_lines[cell], cell))

    def record_usage(self, cell: int, lines: float) -> None:
        """Adds lines that were sent for a cell to its usage."""
        self.usage_lines[cell] += lines

    def decay_usage(self) -> None:
        """Decays the usage of all cells by one time slot."""
        self.usage_lines = [lines * self.USAGE_DECAY for lines in self.usage_lines]
