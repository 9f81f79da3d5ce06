"""The node's log: plain text lines on standard error, rate limited."""

from __future__ import annotations

import time

from gradehoist.store.log_writer import LogWriter

LINES_PER_S = 40.0  # enough for the log of a day with many faults, but not for a flood of unknown peers
BURST_LINES = 400.0
# How long the shutdown waits for pending lines to be written. The platform sends SIGKILL 0.7 s after SIGTERM.
CLOSE_TIMEOUT_S = 0.2
MAX_LINE_LENGTH = 1_000


class NodeLog:
    """Writes lines with Unix timestamps.

    Lines above the rate limit are dropped; the next line that is written states how many.
    """

    def __init__(self, fd: int, lines_per_s: float = LINES_PER_S) -> None:
        """Creates a log that writes to the file descriptor `fd` from a separate thread."""
        self._writer = LogWriter(fd)
        self._lines_per_s = lines_per_s
        self._tokens = BURST_LINES
        self._refilled_s = time.monotonic()
        self._dropped_count = 0

    def write(self, text: str) -> None:
        """Writes one line; each run of white space in the text becomes a single space."""
        now_s = time.monotonic()
        tokens = self._tokens + self._lines_per_s * (now_s - self._refilled_s)
        self._tokens = min(BURST_LINES, tokens)
        self._refilled_s = now_s
        if self._tokens < 1:
            self._dropped_count += 1
            return
        self._tokens -= 1
        line = " ".join(text.split())[:MAX_LINE_LENGTH]
        if self._dropped_count:
            line += f" ({self._dropped_count} lines dropped before this)"
            self._dropped_count = 0
        self._writer.write(f"{time.time():.3f} {line}\n")

    def close(self) -> None:
        """Waits up to CLOSE_TIMEOUT_S for pending lines to be written."""
        self._writer.close(CLOSE_TIMEOUT_S)
