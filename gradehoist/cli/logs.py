"""Structured logs: one JSON line an event, or aligned text for a person."""

from __future__ import annotations

import atexit
import logging
import os
import queue
import sys
import threading

import structlog


class Sink:
    """Takes lines for a thread to write. A reader that stands still, a closed pipe, a full disk cost lines,
    counted and told once there is room again: written by the loop they stopped it, or ended its clock."""

    MOST = 10_000  # lines kept for a slow reader: some minutes of a bad day, a few megabytes
    LAST = 1.0  # seconds that the end of the process waits for what is still to be written

    def __init__(self, fd: int) -> None:
        self._fd, self._lost = fd, 0
        self._lines: queue.Queue[str | None] = queue.Queue(self.MOST)
        self._thread = threading.Thread(target=self._write, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._lost += 1
        return len(text)

    def flush(self) -> None:
        """The thread writes each line as it comes."""

    def _write(self) -> None:
        while (text := self._lines.get()) is not None:
            lost = self._lost
            head = f'{{"event": "log_lines_lost", "level": "warning", "lines": {lost}}}\n' if lost else ""
            left = (head + text).encode()
            try:
                while left:
                    left = left[os.write(self._fd, left):]
                self._lost -= lost
            except OSError:
                self._lost += 1

    def close(self) -> None:
        try:
            self._lines.put(None, timeout=self.LAST)
        except queue.Full:
            return
        self._thread.join(self.LAST)


def set_up(form: str) -> None:
    """`form`: json, plain, or auto (plain on a terminal)."""
    person = form == "plain" or (form == "auto" and sys.stderr.isatty())
    last = structlog.dev.ConsoleRenderer() if person else structlog.processors.JSONRenderer()
    sink = Sink(sys.stderr.fileno())
    atexit.register(sink.close)
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            last,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sink),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
