"""Arithmetic of a limit on the messages to one proxy within a sliding window of time."""

from bisect import bisect_right
from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil


@dataclass(frozen=True, slots=True)
class MessageLimit:
    """A limit of `count` messages to one proxy within any `window_us`."""

    count: int
    window_us: int

    def forced_count(self, wait_us: int) -> int:
        """Return how many messages withdrawals can force within the window, if each may wait `wait_us`."""
        return ceil(self.window_us / wait_us)

    def leaves_enough(self, sent_us: Sequence[int], now_us: int, wait_us: int, forced_count: int) -> bool:
        """Return whether a message sent now leaves enough for `forced_count` messages after it.

        `sent_us` are the times of the messages within the window, in ascending order. The later messages are
        as early as withdrawals can force them: each follows the one before after `wait_us`.
        """
        if len(sent_us) >= self.count:
            return False
        for number in range(1, forced_count + 1):
            window_start_us = now_us + number * wait_us - self.window_us
            earlier = len(sent_us) - bisect_right(sent_us, window_start_us) + (window_start_us < now_us)
            if earlier + number > self.count:
                return False
        return True
