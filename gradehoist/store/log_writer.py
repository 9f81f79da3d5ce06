"""Writes log output on a thread, so that a slow reader or disk does not block the process that logs."""

from __future__ import annotations

import os
import queue
import threading


class LogWriter:
    """A file-like object that queues lines of text for a thread to write to a file descriptor.

    If the reader is stuck, the pipe is closed or the disk is full, lines are dropped and counted. One
    `log_lines_lost` event reports their number as soon as a line can be written again. When lines were
    written on the event loop itself, a stuck reader blocked the loop, and a failed write ended the task of
    its clock.
    """

    QUEUE_LIMIT_LINES = 10_000  # some minutes of output of a busy process, a few megabytes
    CLOSE_TIMEOUT_S = 1.0  # enough for any reader that is not stuck; the process has to end in any case

    def __init__(self, descriptor: int) -> None:
        """Starts the thread that writes to `descriptor`."""
        self._descriptor = descriptor
        self._lost_lines = 0
        self._lines: queue.Queue[str | None] = queue.Queue(self.QUEUE_LIMIT_LINES)
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queues a line; if the queue is full, the line is dropped and counted."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._lost_lines += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing, as the thread does not buffer lines."""

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Ends the thread after it has written the lines queued so far.

        Waits up to `timeout_s` for space in the queue, and again up to `timeout_s` for the thread to end.
        """
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)

    def _write_lines(self) -> None:
        while (text := self._lines.get()) is not None:
            lost_lines = self._lost_lines
            try:
                self._write_fully((_lost_lines_event(lost_lines) + text).encode())
            except OSError:
                self._lost_lines += 1
            else:
                self._lost_lines -= lost_lines

    def _write_fully(self, data: bytes) -> None:
        while data:
            written = os.write(self._descriptor, data)
            data = data[written:]


def _lost_lines_event(lost_lines: int) -> str:
    if not lost_lines:
        return ""
    return f'{{"event": "log_lines_lost", "level": "warning", "lines": {lost_lines}}}\n'
