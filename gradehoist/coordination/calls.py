"""Schedules a participant's calls to the coordination store, with backoff after failures."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

FIRST_BACKOFF_US = 200_000
"""Backoff after the first failure. It is short compared with a session's lifetime of some seconds, and long
compared with the duration of a call."""

MAX_DOUBLINGS = 8
"""Bounds the exponent of the backoff. The limit by the session's lifetime is reached well before it."""


@dataclass
class CallSchedule:
    """The schedule of one kind of call, of which at most one is in flight.

    Attributes:
        failures: Number of failures since the last success.
        next_at_us: Earliest time of the next call.
        request_id: Id of the request in flight, or None.
        sent_at_us: Time at which the last request was sent.
    """

    failures: int = 0
    next_at_us: int = 0
    request_id: int | None = None
    sent_at_us: int = 0

    @property
    def in_flight(self) -> bool:
        """Whether a request is waiting for its response."""
        return self.request_id is not None

    def is_due(self, now_us: int) -> bool:
        """Whether a call may be made now."""
        return not self.in_flight and self.next_at_us <= now_us

    def mark_sent(self, request_id: int, now_us: int) -> None:
        """Records that a request was sent."""
        self.request_id = request_id
        self.sent_at_us = now_us

    def restart(self, next_at_us: int) -> None:
        """Drops the request in flight, resets the count of failures and sets the time of the next call."""
        self.failures = 0
        self.next_at_us = next_at_us
        self.request_id = None


class Backoff:
    """Exponential backoff with jitter, reproducible from a seed.

    The delay is limited to half a session's lifetime. Sessions that have survived an outage are then still
    renewed in time, and during an outage all processes together make no more calls than in normal operation.
    The jitter spreads the calls of all processes after an outage over several seconds.
    """

    def __init__(self, seed: int, session_ttl_us: int) -> None:
        """Creates a backoff whose jitter follows from `seed`, which has to differ between processes."""
        self._seed = seed
        self._max_delay_us = session_ttl_us // 2
        self._samples = 0

    def delay_us(self, failures: int) -> int:
        """Returns the delay after `failures` failures in a row: 0.5 to 1.5 times the exponential backoff."""
        self._samples += 1
        jitter = zlib.crc32(f"{self._seed}:{self._samples}".encode()) / 2**32
        doubled_us = FIRST_BACKOFF_US << min(failures - 1, MAX_DOUBLINGS)
        return int(min(doubled_us, self._max_delay_us) * (0.5 + jitter))
