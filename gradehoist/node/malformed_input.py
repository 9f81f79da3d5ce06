"""Counts malformed input by kind and reason, for the log."""

from __future__ import annotations

from collections import Counter

# Distinct reasons that are counted between two log entries; bounds the memory that a peer can use up.
MAX_REASONS = 50
MAX_REASON_LENGTH = 200


class MalformedInputCounts:
    """Counts of malformed input since they were last taken."""

    def __init__(self) -> None:
        """Creates empty counts."""
        self._counts: Counter[str] = Counter()

    @property
    def total(self) -> int:
        """The number of malformed inputs since the counts were last taken."""
        return self._counts.total()

    def add(self, kind: str, reason: str) -> None:
        """Counts one malformed input; after MAX_REASONS distinct reasons it is counted as `others`."""
        key = f"{kind}: {reason}"[:MAX_REASON_LENGTH] if len(self._counts) < MAX_REASONS else "others"
        self._counts[key] += 1

    def take(self) -> dict[str, int]:
        """Returns the counts and resets them."""
        counts, self._counts = self._counts, Counter()
        return counts
