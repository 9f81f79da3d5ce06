"""The node's clock."""

from __future__ import annotations

import time

NANOSECONDS_PER_MICROSECOND = 1_000


class SteadyUnixClock:
    """Unix time that never steps back.

    Endpoints state their starts in Unix time, and delays are measured by the same clock.
    """

    def __init__(self) -> None:
        """Takes the offset of Unix time once, so that later steps of it do not count."""
        self._offset_ns = time.time_ns() - time.monotonic_ns()

    def now_us(self) -> int:
        """Microseconds of Unix time."""
        return (time.monotonic_ns() + self._offset_ns) // NANOSECONDS_PER_MICROSECOND
