"""The clock of all times in microseconds."""

from __future__ import annotations

import time


def monotonic_us() -> int:
    """Returns the machine's monotonic time in microseconds, which is the same for all its processes."""
    return time.monotonic_ns() // 1_000
