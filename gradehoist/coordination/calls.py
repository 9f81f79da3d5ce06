"""When a participant makes its next call of one kind, and how long it pauses after failures."""

from __future__ import annotations

import zlib
from dataclasses import dataclass

FIRST_BACKOFF_US = 200_000
"""Pause after the first failure: short beside a session's lifetime of some seconds, long beside a call."""

MAX_DOUBLINGS = 8
"""The pause is bounded by the session's lifetime well before this; it only keeps the shift small."""


@dataclass
class CallSchedule:
    """The schedule of one kind of call, of which at most one is in flight.

    Attributes:
        failures: Failures since the last success.
        next_at_us: When the next call may be made.
        request_id: The request in flight, or None.
        sent_at_us: When the last request was sent.
    """

    failures: int = 0
    next_at_us: int = 0
    request_id: int | None = None
    sent_at_us: int = 0

    @property
    def in_flight(self) -> bool:
        """Whether a request waits for its response."""
        return self.request_id is not None

    def is_due(self, now_us: int) -> bool:
        """Whether a call may be made now."""
        return not self.in_flight and self.next_at_us <= now_us

    def mark_sent(self, request_id: int, now_us: int) -> None:
        """Records that a request was sent."""
        self.request_id = request_id
        self.sent_at_us = now_us

    def restart(self, next_at_us: int) -> None:
        """Forgets the request in flight and past failures."""
        self.failures = 0
        self.next_at_us = next_at_us
        self.request_id = None


class Backoff:
    """Exponential backoff with jitter, reproducible from a seed.

    The pause grows up to half a session's lifetime: sessions that an outage left alive are then still renewed
    in time, and all processes together make no more calls than on a quiet day. Jitter spreads their return
    over seconds.
    """

    def __init__(self, seed: int, session_ttl_us: int) -> None:
        """Takes `seed`, which is to differ between processes."""
        self._seed = seed
        self._longest_us = session_ttl_us // 2
        self._samples = 0

    def delay_us(self, failures: int) -> int:
        """The pause after that many failures in a row: 0.5 to 1.5 times the doubled first pause."""
        self._samples += 1
        jitter = zlib.crc32(f"{self._seed}:{self._samples}".encode()) / 2**32
        doubled_us = FIRST_BACKOFF_US << min(failures - 1, MAX_DOUBLINGS)
        return int(min(doubled_us, self._longest_us) * (0.5 + jitter))
