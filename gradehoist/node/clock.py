"""The node's clock."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1_000


class SteadyUnixClock:
    """Unix time that never steps backwards.

    Endpoint start times are given in Unix time, and delays are measured with the same clock.
    """

    def __init__(self) -> None:
        """Reads the offset to Unix time once, so that later changes of the system clock have no effect."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Returns the Unix time in microseconds."""
        return (time.monotonic_ns() + self._offset_ns) // NANOSECONDS_PER_MICROSECOND
