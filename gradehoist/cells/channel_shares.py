"""One channel shared among the cells of a governor: what a message may hold, who goes first. Free of I/O.

Drains of any cell come first and may fill the queue. What is ordinary (tables, lines, returns, moves) keeps
to a part of it, so that a drain put behind it is out well within the grace, and to a part of the messages
that a relay may get, so that a drain is never refused for their number. Within a message the cell that has
had least of late goes first: a cell that changes much waits for itself. Sizes in lines, times in µs.
"""

from __future__ import annotations

from collections.abc import Iterable


class ChannelShares:
    QUEUE_DELAY_SHARE = (
        0.25  # of the grace may be spent behind ordinary lines: slot, planner and poll need the rest
    )
    ORDINARY_MESSAGE_SHARE = (
        0.75  # of the messages that a relay may get; the bench's module leaves drains as much or more
    )
    MESSAGES_IN_QUEUE = (
        8  # messages of full size in the room: fewer, and a few relays take a slot; more, and heads do
    )
    MIN_MESSAGE_LINES = 64.0  # lines that a message may always hold beyond its head: a table or two
    USAGE_DECAY = 0.9  # of what a cell has had is remembered a slot later: some ten slots count

    def __init__(
        self, cells: int, queue_limit: float, line_rate: float, message_limit: int, head: float, grace: int
    ) -> None:
        self.queue_limit_lines, self.message_overhead_lines, self.messages_per_window = (
            queue_limit,
            head,
            message_limit,
        )
        self.ordinary_queue_lines = self.QUEUE_DELAY_SHARE * grace / 1e6 * line_rate
        self.usage_lines = [0.0] * cells

    def available_lines(self, relays: int, waiting: float) -> float:
        """Lines that ordinary messages may still add: a drain of one replica to all fits beside them."""
        drain = relays * (self.message_overhead_lines + 2)
        return max(0.0, min(self.queue_limit_lines - drain, self.ordinary_queue_lines) - waiting)

    def allows_message(self, messages: int) -> bool:
        """Whether a relay that got so many messages within the window may get an ordinary one."""
        return (
            not self.messages_per_window or messages < self.ORDINARY_MESSAGE_SHARE * self.messages_per_window
        )

    @property
    def max_message_lines(self) -> float:
        """Lines that one message holds of lines and returns; tables that bind a relay are not cut."""
        return max(
            self.MIN_MESSAGE_LINES,
            min(self.queue_limit_lines, self.ordinary_queue_lines) / self.MESSAGES_IN_QUEUE,
        )

    def serving_order(self, cells: Iterable[int]) -> list[int]:
        return sorted(cells, key=lambda n: (self.usage_lines[n], n))

    def record_usage(self, cell: int, lines: float) -> None:
        self.usage_lines[cell] += lines

    def decay_usage(self) -> None:
        self.usage_lines = [x * self.USAGE_DECAY for x in self.usage_lines]
