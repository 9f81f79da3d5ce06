"""The messages of each proxy's limit that are kept for withdrawals which may still come.

A withdrawal has to reach the proxies within the drain grace, so it may wait for a while and share a message
with the withdrawals that follow it. A proxy then needs only one message for each such wait, however many
replicas drain. A message is allowed if those that withdrawals may need later still fit into the limit.
"""

from collections.abc import Collection, Iterable
from math import ceil

from gradehoist.actors import SECOND
from gradehoist.fleet_state import Fleet
from gradehoist.message_limit import MessageLimit

# The share of a proxy's message limit that withdrawals of draining and gone replicas may use. The rest is a
# margin for messages that are not counted exactly.
WITHDRAWAL_MESSAGE_SHARE = 0.85

# The share of a proxy's message limit that is not reserved for drains.
MESSAGE_SHARE = 0.6

# Time for the processing of events and orders, before a message enters the channel.
PROCESSING_TIME_US = SECOND // 10


class MessageBudget:
    """Decides which proxies can be written to without spending messages that withdrawals may need."""

    def __init__(self, fleet: Fleet) -> None:
        """Create the budget of the proxies of a fleet."""
        self._loop = fleet.loop
        self._flow = fleet.flow
        self._limit = MessageLimit(
            count=ceil(WITHDRAWAL_MESSAGE_SHARE * self._flow.message_limit),
            ordinary_count=ceil(MESSAGE_SHARE * self._flow.message_limit),
            window_us=fleet.config.channel.message_window_us,
        )
        self._lines_per_s = fleet.config.channel.lines_per_s
        self._max_delay_us = (
            fleet.config.safety.drain_grace_us - fleet.config.channel.worst_transit_us - PROCESSING_TIME_US
        )

    def max_wait_us(self, proxy_count: int) -> int:
        """Return how long a withdrawal for some proxies may wait to be written, by the present queue.

        The result is negative if the withdrawal would be late even if it were written at once.
        """
        lines = self._flow.queued_lines() + proxy_count * (self._flow.overhead_lines + 1)
        return self._max_delay_us - self.transmission_us(lines)

    def transmission_us(self, lines: float) -> int:
        """Return how long the channel takes to send lines at its configured rate."""
        return int(lines / self._lines_per_s * SECOND)

    def has_enough(self, proxies: Collection[int]) -> bool:
        """Return whether a message to each of the proxies leaves enough of their limits for withdrawals."""
        return not self.scarce(proxies)

    def scarce(self, proxies: Collection[int]) -> set[int]:
        """Return those of the proxies that need their remaining messages for later withdrawals.

        A proxy that gets a message in this reply anyway is not among them.
        """
        wait_us = max(1, self.max_wait_us(len(proxies)))
        now_us = self._loop.now_us
        return {
            proxy
            for proxy in self._without_message(proxies)
            if not self._limit.leaves_enough(self._flow.recent_messages(proxy), now_us, wait_us)
        }

    def exhausted(self, proxies: Iterable[int]) -> set[int]:
        """Return those of the proxies that can't get any message now."""
        return {
            proxy
            for proxy in self._without_message(proxies)
            if len(self._flow.recent_messages(proxy)) >= self._limit.count
        }

    def next_message_us(self, proxies: Iterable[int]) -> int:
        """Return when the first of these exhausted proxies can get a message again."""
        oldest_us = [self._flow.recent_messages(proxy)[-self._limit.count] for proxy in proxies]
        return min(oldest_us) + self._limit.window_us

    def _without_message(self, proxies: Iterable[int]) -> Iterable[int]:
        return (proxy for proxy in proxies if proxy not in self._flow.pending)
