"""Counts of malformed input, by kind and reason, for the log."""

from __future__ import annotations

from collections import Counter

MAX_REASONS = 50  # distinct ones between two reports: a peer must not fill the memory with new reasons
MAX_REASON_LENGTH = 200


class MalformedInputCounts:
    """How often each kind of malformed input came since the counts were last taken."""

    def __init__(self) -> None:
        """Starts with no counts."""
        self._counts: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """The number of malformed inputs since the counts were last taken."""
        return self._counts.total()

    def add(self, kind: str, reason: str) -> None:
        """Counts one; beyond MAX_REASONS distinct reasons it counts among `others`."""
        key = f"{kind}: {reason}"[:MAX_REASON_LENGTH] if len(self._counts) < MAX_REASONS else "others"
        self._counts[key] += 1

    def take(self) -> dict[str, int]:
        """Returns the counts and starts over."""
        counts, self._counts = self._counts, Counter()
        return counts
