"""Arithmetic of a limit on the messages to one proxy within a sliding window of time."""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil


@dataclass(frozen=True, slots=True)
class MessageLimit:
    """A limit of `count` messages to one proxy within any `window_us`.

    Messages other than withdrawals may use `ordinary_count` of them.
    """

    count: int
    ordinary_count: int
    window_us: int

    def leaves_enough(self, sent_us: Sequence[int], now_us: int, wait_us: int) -> bool:
        """Return whether a message sent now leaves enough for the withdrawals that may come after it.

        `sent_us` are the times of the messages within the window, in ascending order. A withdrawal may wait
        for `wait_us`, at least 1, and share a message with those that follow it. So the messages that
        withdrawals can force follow each other at least by that time.
        """
        forced_count = ceil(self.window_us / wait_us)
        if len(sent_us) + 1 + forced_count <= self.count:
            return True
        if forced_count > self.count:
            # There are too few messages even if all withdrawals wait as long as they may.
            forced_count = self.count - self.ordinary_count
        return len(sent_us) < self.count and all(
            self._count_at(sent_us, now_us, now_us + number * wait_us) + number <= self.count
            for number in range(1, forced_count + 1)
        )

    def _count_at(self, sent_us: Sequence[int], now_us: int, time_us: int) -> int:
        """Return how many messages up to now, one of now included, are in the window that ends at a time."""
        window_start_us = time_us - self.window_us
        return len(sent_us) - bisect_right(sent_us, window_start_us) + (window_start_us < now_us)
