"""The node's log: lines to standard error, so many a second at most."""

from __future__ import annotations

import time

from gradehoist.store.log_writer import LogWriter


class NodeLog:
    """Lines beyond the rate are counted, and told with the next one."""

    RATE = 40.0  # lines a second: a bad day's orders fit, a flood of strangers does not
    BURST = 400.0
    LAST = 0.2  # seconds that the end waits for a reader: the platform's SIGKILL comes 0.7 s after SIGTERM

    def __init__(self, fd: int, rate: float = RATE) -> None:
        self._sink, self._rate = LogWriter(fd), rate
        self._credit, self._at, self._lost = self.BURST, time.monotonic(), 0

    def __call__(self, text: str) -> None:
        now = time.monotonic()
        self._credit = min(self.BURST, self._credit + self._rate * (now - self._at))
        self._at = now
        if self._credit < 1:
            self._lost += 1
            return
        self._credit -= 1
        lost, self._lost = f" ({self._lost} lines lost before this)" if self._lost else "", 0
        self._sink.write(f"{time.time():.3f} {' '.join(text.split())[:1_000]}{lost}\n")

    def close(self) -> None:
        self._sink.close(self.LAST)
