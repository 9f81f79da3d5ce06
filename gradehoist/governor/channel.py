"""The channel to the proxies: one FIFO queue with a configured rate and a queue limit.

A message is released once its lines have been transmitted at the configured rate. A message that would exceed
a limit is rejected, and the caller has to send that proxy a full resync later: nothing is dropped silently.
This module does no I/O.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, replace

from gradehoist.protocol.feed import Message

MIN_MEASURED_US = 100_000  # in shorter busy periods, timer inaccuracy dominates the measured rate


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message in the queue.

    Attributes:
        proxy: the proxy's index.
        stream: number of the stream that the message belongs to.
        message: the message.
        queued_us: when the message was queued.
        transmit_us: how long its lines take at the configured rate.
        release_us: when its last line has been transmitted.
    """

    proxy: int
    stream: int
    message: Message
    queued_us: int
    transmit_us: int
    release_us: int


@dataclass(frozen=True, slots=True)
class _BusyPeriod:
    """A period in which the queue was never empty: its start and the lines released since then."""

    since_us: int
    lines: float


class Channel:
    """The queue of one governor. All times are integer microseconds of one monotonic clock.

    Attributes:
        waiting_lines: lines in the queue.
        peak_lines: the most lines that were ever in the queue.
        sent_lines: lines released so far.
        measured_lines_per_s: release rate of the last busy period that was long enough to measure.
    """

    def __init__(
        self, *, queue_limit_lines: float, lines_per_s: float, messages_per_window: int, window_us: int
    ) -> None:
        """Creates an empty queue.

        `messages_per_window` limits the messages to one proxy within `window_us`; 0 means no limit.
        """
        self.queue_limit_lines = queue_limit_lines
        self.lines_per_s = lines_per_s
        self.messages_per_window = messages_per_window
        self.window_us = window_us
        self.waiting_lines = 0.0
        self.peak_lines = 0.0
        self.sent_lines = 0.0
        self.measured_lines_per_s = lines_per_s
        self._queue = deque[QueuedMessage]()
        self._put_times_us: dict[int, deque[int]] = {}
        self._last_release_us = 0  # when the last queued message has been transmitted
        self._now_us = 0
        self._busy: _BusyPeriod | None = None

    def add_proxy(self, proxy: int) -> None:
        """Starts counting the messages of a proxy that has joined."""
        self._put_times_us[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """Drops the queued messages of a proxy that has left; later messages are released earlier.

        Without this, one proxy that rejoined twenty times a second delayed the withdrawals of all others.
        """
        self._put_times_us.pop(proxy, None)
        kept = [item for item in self._queue if item.proxy != proxy]
        if len(kept) == len(self._queue):
            return
        head = self._queue[0]
        self._last_release_us = self._now_us if head.proxy == proxy else head.release_us - head.transmit_us
        self._queue = deque[QueuedMessage]()
        for item in kept:
            self._last_release_us = max(self._last_release_us, item.queued_us) + item.transmit_us
            self._queue.append(replace(item, release_us=self._last_release_us))
        self.waiting_lines = sum(item.message.cost_lines for item in kept)

    def recent_messages(self, now_us: int, proxy: int) -> Sequence[int]:
        """Returns when messages were queued for the proxy within the window that ends now, oldest first."""
        times = self._put_times_us.get(proxy, deque())
        while times and times[0] <= now_us - self.window_us:
            times.popleft()
        return times

    def rejection_reason(self, now_us: int, proxy: int, cost_lines: float) -> str | None:
        """Returns why a message of this cost would be rejected now; None if it would be accepted."""
        if proxy not in self._put_times_us:
            return "the proxy has left"
        if self.messages_per_window and len(self.recent_messages(now_us, proxy)) >= self.messages_per_window:
            return f"{self.messages_per_window} messages within {self.window_us / 1e6:g} s"
        if self.waiting_lines + cost_lines > self.queue_limit_lines:
            return f"{self.waiting_lines:g} of {self.queue_limit_lines:g} lines wait"
        return None

    def put(self, now_us: int, proxy: int, stream: int, message: Message) -> str | None:
        """Queues the message and returns None, or returns the reason why it is rejected."""
        if reason := self.rejection_reason(now_us, proxy, message.cost_lines):
            return reason
        self._busy = self._busy or _BusyPeriod(since_us=now_us, lines=0.0)
        transmit_us = round(message.cost_lines / self.lines_per_s * 1_000_000)
        self._now_us = now_us
        self._last_release_us = max(self._last_release_us, now_us) + transmit_us
        self._queue.append(
            QueuedMessage(
                proxy=proxy,
                stream=stream,
                message=message,
                queued_us=now_us,
                transmit_us=transmit_us,
                release_us=self._last_release_us,
            )
        )
        self._put_times_us[proxy].append(now_us)
        self.waiting_lines += message.cost_lines
        self.peak_lines = max(self.peak_lines, self.waiting_lines)
        return None

    def take_released(self, now_us: int) -> list[QueuedMessage]:
        """Removes and returns the messages that have been transmitted by now, in queue order."""
        self._now_us = now_us
        released: list[QueuedMessage] = []
        while self._queue and self._queue[0].release_us <= now_us:
            item = self._queue.popleft()
            self.waiting_lines -= item.message.cost_lines
            self.sent_lines += item.message.cost_lines
            released.append(item)
        self._measure_rate(now_us, released)
        if not self._queue:
            self.waiting_lines = 0.0  # removes the accumulated floating-point error
            self._busy = None
        return released

    def next_release_us(self) -> int | None:
        """Returns when the first queued message is released; None while the queue is empty."""
        return self._queue[0].release_us if self._queue else None

    def _measure_rate(self, now_us: int, released: list[QueuedMessage]) -> None:
        if not released or self._busy is None:
            return
        since_us = self._busy.since_us
        lines = self._busy.lines + sum(item.message.cost_lines for item in released)
        if now_us - since_us < MIN_MEASURED_US:
            self._busy = _BusyPeriod(since_us=since_us, lines=lines)
            return
        self.measured_lines_per_s = lines * 1e6 / (now_us - since_us)
        self._busy = _BusyPeriod(since_us=now_us, lines=0.0)
