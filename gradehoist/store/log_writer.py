"""Log output by a thread, so that no slow reader and no slow disk stops the process that logs."""

from __future__ import annotations

import os
import queue
import threading


class LogWriter:
    """A file-like object that queues lines of text for a thread to write to a file descriptor.

    A reader that does not read, a closed pipe or a full disk costs lines and nothing else: those lost are
    counted, and one `log_lines_lost` event reports them as soon as a line can be written again. Written by
    the event loop itself, such a line once stopped the loop, and once ended the task of its clock.
    """

    QUEUE_LIMIT_LINES = 10_000  # some minutes of a busy process, a few megabytes
    CLOSE_TIMEOUT_S = 1.0  # enough for a reader that reads at all; the process must end in any case

    def __init__(self, descriptor: int) -> None:
        """Starts the thread that writes to `descriptor`."""
        self._descriptor = descriptor
        self._lost_lines = 0
        self._lines: queue.Queue[str | None] = queue.Queue(self.QUEUE_LIMIT_LINES)
        self._thread = threading.Thread(target=self._write_lines, daemon=True)
        self._thread.start()

    def write(self, text: str) -> int:
        """Queues a line, which is dropped and counted where the queue is full."""
        try:
            self._lines.put_nowait(text)
        except queue.Full:
            self._lost_lines += 1
        return len(text)

    def flush(self) -> None:
        """Does nothing: the thread writes each line as it comes."""

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Ends the thread after the lines queued so far; waits up to `timeout_s` for each of two steps."""
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
