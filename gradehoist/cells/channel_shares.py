"""A governor's channel shared among its cells: what a message may hold, which cell goes first. Free of I/O.

Withdrawals of any cell go first and may fill the queue. Ordinary lines (tables, weights, recoveries,
migrations) keep to a part of the queue, so that a withdrawal behind them is out well within the drain grace,
and to a part of the messages that a proxy may get, so that a withdrawal is never rejected for their number.
Within a message the cell that has used least of late goes first: a cell that changes much waits for itself.
"""

from __future__ import annotations

from collections.abc import Iterable

from gradehoist.interface import ChannelLimits


class ChannelShares:
    """Limits of the channel for ordinary messages, and each cell's recent use of it. Sizes are in lines."""

    # Part of the grace that a withdrawal may wait behind ordinary lines: slot, policy and poll need the rest.
    QUEUE_DELAY_SHARE = 0.25
    # Part of the messages that a proxy may get; withdrawals need the rest.
    ORDINARY_MESSAGE_SHARE = 0.75
    # Messages of full size that the queue holds. With fewer, a few proxies fill a time slot; with more,
    # message overhead does.
    MESSAGES_IN_QUEUE = 8
    # Lines that a message may always hold beyond its overhead: a table or two.
    MIN_MESSAGE_LINES = 64.0
    # Part of a cell's use that is still counted one slot later: some ten slots count.
    USAGE_DECAY = 0.9
    # Lines of a withdrawal of one replica, beside the message's overhead.
    WITHDRAWAL_LINES = 2

    def __init__(self, cell_count: int, limits: ChannelLimits, drain_grace_us: int) -> None:
        """Create shares without any use.

        Args:
            cell_count: How many cells share the channel.
            limits: Limits of the channel and of the messages that a proxy may get.
            drain_grace_us: Time within which a withdrawal has to reach all proxies.
        """
        self.limits = limits
        self.ordinary_queue_lines = self.QUEUE_DELAY_SHARE * drain_grace_us / 1e6 * limits.lines_per_s
        self.usage_lines = [0.0] * cell_count

    def available_lines(self, proxy_count: int, waiting_lines: float) -> float:
        """Lines that ordinary messages may add so that a withdrawal to all proxies still fits beside them."""
        withdrawal = proxy_count * (self.limits.message_overhead_lines + self.WITHDRAWAL_LINES)
        limit = min(self.limits.queue_limit_lines - withdrawal, self.ordinary_queue_lines)
        return max(0.0, limit - waiting_lines)

    def allows_message(self, message_count: int) -> bool:
        """Whether a proxy that got so many messages within the window may get an ordinary one."""
        if not self.limits.messages_per_window:
            return True
        return message_count < self.ORDINARY_MESSAGE_SHARE * self.limits.messages_per_window

    @property
    def max_message_lines(self) -> float:
        """Lines of weights and recoveries that one message may hold; tables that bind a proxy are not cut."""
        queue_lines = min(self.limits.queue_limit_lines, self.ordinary_queue_lines)
        return max(self.MIN_MESSAGE_LINES, queue_lines / self.MESSAGES_IN_QUEUE)

    def serving_order(self, cells: Iterable[int]) -> list[int]:
        """The cells by recent use, the least first."""
        return sorted(cells, key=lambda cell: (self.usage_lines[cell], cell))

    def record_usage(self, cell: int, lines: float) -> None:
        """Count lines that were sent for a cell."""
        self.usage_lines[cell] += lines

    def decay_usage(self) -> None:
        """Age the use of all cells by one time slot."""
        self.usage_lines = [lines * self.USAGE_DECAY for lines in self.usage_lines]
