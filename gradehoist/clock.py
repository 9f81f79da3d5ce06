"""The clock that all times in microseconds are read from."""

from __future__ import annotations

import time


def monotonic_us() -> int:
    """Returns the machine's monotonic time in microseconds; all its processes read the same value."""
    return time.monotonic_ns() // 1_000
