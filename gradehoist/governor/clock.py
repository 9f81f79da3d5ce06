"""The clock of the governor's shell."""

import time


def monotonic_us() -> int:
    """Whole microseconds of the system's monotonic clock."""
    return time.monotonic_ns() // 1_000
