"""Follows the changes of the store by one full read, and then one watch after the other. Free of I/O.

This module also detects that the store was rolled back to an earlier state:

- A response that contradicts an earlier one is a rollback at once.
- A response with a lower revision than the known one may be a stale read from a lagging replica of the store.
  It counts as a rollback only if it is repeated over some time.
- A store that was rolled back and then written past the known revision shows neither sign. After each failure
  the next watch therefore begins before the last known change, which the store has to repeat.
"""

from __future__ import annotations

from gradehoist.coordination.calls import FIRST_BACKOFF_US, CallSchedule
from gradehoist.coordination.requests import ReadRecords, WatchChanges
from gradehoist.coordination.store import StoreSnapshot, WatchBatch, WatchEvent
from gradehoist.coordination.watch_cache import WatchCache

WATCH_WAIT_US = 5_000_000
"""How long a watch waits for a change. It is short enough to detect a dead connection."""

WATCH_INTERVAL_US = 20_000
"""Time from a response to the next watch, so that changes within it arrive as one batch. It is a tenth of a
delay that people notice."""

ROLLBACK_STALE_READS = 3
ROLLBACK_CONFIRMATION_US = 1_000_000
"""This number of stale reads in a row, over this time, counts as a rollback. A lagging replica of the store
catches up in far less time. If it is wrong, the process has to join once more; fencing tokens remain
valid."""


class Watch:
    """Keeps a `WatchCache` up to date. A `Participant` owns it and passes responses to it.

    Attributes:
        cache: The cache.
        schedule: When the next call is made.
        needs_snapshot: Whether the next call has to be a full read, because a watch can't continue from the
            cache.
    """

    def __init__(self, cache: WatchCache) -> None:
        """Creates a watch that updates `cache`."""
        self.cache = cache
        self.schedule = CallSchedule()
        self.needs_snapshot = True
        self._verify_next = False
        self._verifying = False  # whether the watch in flight has to repeat the last known change
        self._stale_reads = 0
        self._stale_since_us = 0

    @property
    def is_ready(self) -> bool:
        """Whether the cache has been loaded and is not known to lack changes."""
        return self.cache.is_loaded and not self.needs_snapshot

    def next_operation(self) -> ReadRecords | WatchChanges:
        """Returns the call to make next."""
        if self.needs_snapshot:
            return ReadRecords(self.cache.prefix)
        self._verifying = self._verify_next
        after_revision = self.cache.verification_revision if self._verify_next else self.cache.revision
        return WatchChanges(prefix=self.cache.prefix, after_revision=after_revision, wait_us=WATCH_WAIT_US)

    def on_snapshot(self, snapshot: StoreSnapshot) -> list[WatchEvent]:
        """Applies a full read and returns the changes. Raises StaleReadError, StoreRolledBackError."""
        events = self.cache.load_snapshot(snapshot)
        self.needs_snapshot = False
        self._verify_next = False
        self._stale_reads = 0
        return events

    def on_batch(self, now_us: int, batch: WatchBatch) -> list[WatchEvent]:
        """Applies the changes of a watch and returns the new ones.

        Raises RevisionGapError, StaleReadError, StoreRolledBackError.
        """
        events = self.cache.apply_batch(batch)
        self._stale_reads = 0
        self.schedule.next_at_us = now_us + WATCH_INTERVAL_US
        # A watch that was sent before the failure does not verify anything.
        if self._verifying:
            self._verify_next = False
        return events

    def on_stale_read(self, now_us: int) -> bool:
        """Handles a stale response by scheduling a full read.

        Returns whether the stale responses so far mean that the store was rolled back.
        """
        if self._stale_reads == 0:
            self._stale_since_us = now_us
        self._stale_reads += 1
        self.needs_snapshot = True
        self.schedule.next_at_us = now_us + FIRST_BACKOFF_US
        lasted_us = now_us - self._stale_since_us
        return self._stale_reads >= ROLLBACK_STALE_READS and lasted_us >= ROLLBACK_CONFIRMATION_US

    def on_history_compacted(self, now_us: int) -> None:
        """Schedules a full read at once, because the store no longer has the changes to continue from."""
        self.needs_snapshot = True
        self.schedule.restart(now_us)

    def verify_history(self) -> None:
        """Makes the next watch begin before the last known change, which the store then has to repeat."""
        self._verify_next = True

    def reset(self, next_at_us: int) -> None:
        """Clears the cache and schedules a full read."""
        self.cache.clear()
        self.schedule.restart(next_at_us)
        self.needs_snapshot = True
        self._verify_next = False
        self._stale_reads = 0
