"""The channel: one ordered writer with a stated pace and a queue limit, free of I/O.

A message leaves when its lines have been paced out. What would pass the limits is refused, and told to the
caller, who owes that relay a whole picture; nothing is dropped in silence.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace

from gradehoist.protocol.feed import Message

MEASURED = 100_000  # µs: shorter busy times say more of timers than of pace


@dataclass(frozen=True, slots=True)
class Item:
    """A message on its way to a proxy's stream: when it was put, how long its lines take, and when the last
    of them is out (µs)."""

    proxy: int
    stream: int
    message: Message
    put: int
    takes: int
    leaves: int


class Channel:
    """`line_rate` in lines a second, `window` in µs; `limit` messages to one proxy within it, 0: no limit."""

    def __init__(self, queue_limit: float, line_rate: float, limit: int, window: int) -> None:
        self.queue_limit, self.line_rate, self.limit, self.window = queue_limit, line_rate, limit, window
        self._queue = deque[Item]()
        self._times: dict[int, deque[int]] = {}
        self._free_at = self._now = 0
        self.waiting = 0.0  # lines
        self.most = 0.0
        self.sent = 0.0
        self.pace = line_rate  # lines a second, as measured over the last busy time of a tenth of a second
        self._busy: tuple[int, float] | None = None  # since when, lines out since

    def joined(self, proxy: int) -> None:
        """Messages are counted from the joining."""
        self._times[proxy] = deque()

    def left(self, proxy: int) -> None:
        """What waits for a proxy that is gone is lost and costs no pace."""
        self._times.pop(proxy, None)
        kept = [item for item in self._queue if item.proxy != proxy]
        if len(kept) == len(self._queue):
            return
        # Those behind move up: one relay that joined anew twenty times a second held up drains for all.
        head = self._queue[0]
        self._free_at = self._now if head.proxy == proxy else head.leaves - head.takes
        self._queue = deque[Item]()
        for item in kept:
            self._free_at = max(self._free_at, item.put) + item.takes
            self._queue.append(replace(item, leaves=self._free_at))
        self.waiting = sum(item.message.cost for item in kept)

    def messages(self, now: int, proxy: int) -> int:
        """How many a proxy was put within the window."""
        times = self._times.get(proxy, deque())
        while times and times[0] <= now - self.window:
            times.popleft()
        return len(times)

    def may(self, now: int, proxy: int, cost: float) -> str:
        """Empty, or why a message of this cost can't be taken now."""
        if proxy not in self._times:
            return "the proxy has left"
        if self.limit and self.messages(now, proxy) >= self.limit:
            return f"{self.limit} messages within {self.window / 1e6:g} s"
        if self.waiting + cost > self.queue_limit:
            return f"{self.waiting:g} of {self.queue_limit:g} lines wait"
        return ""

    def put(self, now: int, proxy: int, stream: int, message: Message) -> str:
        """Takes the message, or says why not."""
        if why := self.may(now, proxy, message.cost):
            return why
        self._busy = self._busy or (now, 0.0)
        takes = round(message.cost / self.line_rate * 1_000_000)
        self._now, self._free_at = now, max(self._free_at, now) + takes
        self._queue.append(Item(proxy, stream, message, now, takes, self._free_at))
        self._times[proxy].append(now)
        self.waiting += message.cost
        self.most = max(self.most, self.waiting)
        return ""

    def leave(self, now: int) -> list[Item]:
        """Those that are out by now, in the order they were put."""
        self._now = now
        out: list[Item] = []
        while self._queue and self._queue[0].leaves <= now:
            item = self._queue.popleft()
            self.waiting -= item.message.cost
            self.sent += item.message.cost
            out.append(item)
        if out and self._busy:
            since, lines = self._busy
            lines += sum(item.message.cost for item in out)
            if now - since >= MEASURED:
                self.pace = lines * 1e6 / (now - since)
            self._busy = (since, lines) if self._queue and now - since < MEASURED else None
            if self._queue and self._busy is None:
                self._busy = (now, 0.0)
        if not self._queue:
            self.waiting = 0.0  # sums of floats drift
            self._busy = None
        return out

    def due(self) -> int | None:
        return self._queue[0].leaves if self._queue else None
