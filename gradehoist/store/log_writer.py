"""Where log lines go: a thread writes them, so that no reader and no disk stops who logs."""

from __future__ import annotations

import os
import queue
import threading


class LogWriter:
    """Takes lines for a thread to write. A reader that stands still, a closed pipe, a full disk cost lines,
    counted and told once there is room again: written by the loop they stopped it, or ended its clock."""

    QUEUE_LIMIT_LINES = 10_000  # lines kept for a slow reader: some minutes of a bad day, a few megabytes
    CLOSE_TIMEOUT_S = 1.0  # seconds that the end of the process waits for what is still to be written

    def __init__(self, fd: int) -> None:
        self._fd, self._lost = fd, 0
        self._lines: queue.Queue[str | None] = queue.Queue(self.QUEUE_LIMIT_LINES)
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
                    left = left[os.write(self._fd, left) :]
                self._lost -= lost
            except OSError:
                self._lost += 1

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        try:
            self._lines.put(None, timeout=timeout_s)
        except queue.Full:
            return
        self._thread.join(timeout_s)
