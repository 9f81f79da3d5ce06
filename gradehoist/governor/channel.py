"""The channel: one ordered writer with a stated pace and a queue limit, free of I/O.

A message leaves when its lines have been paced out. What would pass the limits is refused, and told to the
caller, who owes that relay a whole picture; nothing is dropped in silence.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from gradehoist.protocol.feed import Message

MIN_MEASURED_US = 100_000  # µs: shorter busy times say more of timers than of pace


@dataclass(frozen=True, slots=True)
class QueuedMessage:
    """A message on its way to a proxy's stream: when it was put, how long its lines take, and when the last
    of them is out (µs)."""

    proxy: int
    stream: int
    message: Message
    queued_us: int
    transmit_us: int
    release_us: int


class Channel:
    """`line_rate` in lines a second, `window` in µs; `limit` messages to one proxy within it, 0: no limit."""

    def __init__(self, queue_limit: float, line_rate: float, limit: int, window: int) -> None:
        self.queue_limit_lines, self.lines_per_s, self.messages_per_window, self.window_us = (
            queue_limit,
            line_rate,
            limit,
            window,
        )
        self._queue = deque[QueuedMessage]()
        self._times: dict[int, deque[int]] = {}
        self._free_at = self._now = 0
        self.waiting_lines = 0.0  # lines
        self.peak_lines = 0.0
        self.sent_lines = 0.0
        self.measured_lines_per_s = (
            line_rate  # lines a second, as measured over the last busy time of a tenth of a second
        )
        self._busy: tuple[int, float] | None = None  # since when, lines out since

    def add_proxy(self, proxy: int) -> None:
        """Messages are counted from the joining."""
        self._times[proxy] = deque()

    def remove_proxy(self, proxy: int) -> None:
        """What waits for a proxy that is gone is lost and costs no pace."""
        self._times.pop(proxy, None)
        kept = [item for item in self._queue if item.proxy != proxy]
        if len(kept) == len(self._queue):
            return
        # Those behind move up: one relay that joined anew twenty times a second held up drains for all.
        head = self._queue[0]
        self._free_at = self._now if head.proxy == proxy else head.release_us - head.transmit_us
        self._queue = deque[QueuedMessage]()
        for item in kept:
            self._free_at = max(self._free_at, item.queued_us) + item.transmit_us
            self._queue.append(replace(item, release_us=self._free_at))
        self.waiting_lines = sum(item.message.cost_lines for item in kept)

    def count_messages(self, now: int, proxy: int) -> int:
        """How many a proxy was put within the window."""
        times = self._times.get(proxy, deque())
        while times and times[0] <= now - self.window_us:
            times.popleft()
        return len(times)

    def rejection_reason(self, now: int, proxy: int, cost: float) -> str:
        """Empty, or why a message of this cost can't be taken now."""
        if proxy not in self._times:
            return "the proxy has left"
        if self.messages_per_window and self.count_messages(now, proxy) >= self.messages_per_window:
            return f"{self.messages_per_window} messages within {self.window_us / 1e6:g} s"
        if self.waiting_lines + cost > self.queue_limit_lines:
            return f"{self.waiting_lines:g} of {self.queue_limit_lines:g} lines wait"
        return ""

    def put(self, now: int, proxy: int, stream: int, message: Message) -> str:
        """Takes the message, or says why not."""
        if why := self.rejection_reason(now, proxy, message.cost_lines):
            return why
        self._busy = self._busy or (now, 0.0)
        takes = round(message.cost_lines / self.lines_per_s * 1_000_000)
        self._now, self._free_at = now, max(self._free_at, now) + takes
        self._queue.append(QueuedMessage(proxy, stream, message, now, takes, self._free_at))
        self._times[proxy].append(now)
        self.waiting_lines += message.cost_lines
        self.peak_lines = max(self.peak_lines, self.waiting_lines)
        return ""

    def take_released(self, now: int) -> list[QueuedMessage]:
        """Those that are out by now, in the order they were put."""
        self._now = now
        out: list[QueuedMessage] = []
        while self._queue and self._queue[0].release_us <= now:
            item = self._queue.popleft()
            self.waiting_lines -= item.message.cost_lines
            self.sent_lines += item.message.cost_lines
            out.append(item)
        if out and self._busy:
            since, lines = self._busy
            lines += sum(item.message.cost_lines for item in out)
            if now - since >= MIN_MEASURED_US:
                self.measured_lines_per_s = lines * 1e6 / (now - since)
            self._busy = (since, lines) if self._queue and now - since < MIN_MEASURED_US else None
            if self._queue and self._busy is None:
                self._busy = (now, 0.0)
        if not self._queue:
            self.waiting_lines = 0.0  # sums of floats drift
            self._busy = None
        return out

    def next_release_us(self) -> int | None:
        return self._queue[0].release_us if self._queue else None
