"""The node's log: lines to standard error, so many a second at most, never in the way of the loop."""

from __future__ import annotations

import os
import time


class Log:
    """A reader that stands still costs lines, counted and told once there is room again."""

    RATE = 40.0  # lines a second: a bad day's orders fit, a flood of strangers does not
    BURST = 400.0

    def __init__(self, fd: int, rate: float = RATE) -> None:
        self._fd, self._rate, self._credit, self._at, self._lost = fd, rate, self.BURST, time.monotonic(), 0
        os.set_blocking(fd, False)

    def __call__(self, text: str) -> None:
        now = time.monotonic()
        self._credit = min(self.BURST, self._credit + self._rate * (now - self._at))
        self._at = now
        if self._credit < 1:
            self._lost += 1
            return
        self._credit -= 1
        lost = f" ({self._lost} lines lost before this)" if self._lost else ""
        line = f"{time.time():.3f} {' '.join(text.split())[:1_000]}{lost}\n"
        try:
            os.write(self._fd, line.encode(errors="replace"))
            self._lost = 0
        except OSError:
            self._lost += 1
