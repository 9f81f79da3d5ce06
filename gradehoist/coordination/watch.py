"""Follows the store's changes: one full read, then one watch after the other. Free of I/O.

It decides whether the store was rolled back. A response older than what is known may be a stale read of a
lagging replica, so only several of them over some time count as a rollback; a response that contradicts what
was read before is a rollback at once. A store that was rolled back and then written past the known revision
shows by neither, so after each failure the watch begins one change early and the store has to repeat the
change read last.
"""

from __future__ import annotations

from gradehoist.coordination.calls import FIRST_BACKOFF_US, CallSchedule
from gradehoist.coordination.requests import ReadRecords, WatchChanges
from gradehoist.coordination.store import StoreSnapshot, WatchBatch, WatchEvent
from gradehoist.coordination.watch_cache import WatchCache

WATCH_WAIT_US = 5_000_000
"""How long a watch waits for a change: short enough to notice a dead connection."""

WATCH_INTERVAL_US = 20_000
"""Changes of so long come as one batch; a tenth of what a person notices."""

ROLLBACK_STALE_READS = 3
ROLLBACK_SUSPICION_US = 1_000_000
"""So many stale reads in a row over so long are a store that was rolled back: a lagging replica catches up
in far less. A wrong verdict costs one joining, as fencing tokens hold all the same."""


class Watch:
    """Keeps a `WatchCache` up to date. Owned by a `Participant`, which routes responses to it.

    `needs_snapshot` says that the cache can't go on from where it is and is read in full next.
    """

    def __init__(self, cache: WatchCache) -> None:
        """Updates `cache`."""
        self.cache = cache
        self.schedule = CallSchedule()
        self.needs_snapshot = True
        self._verify_next = False
        self._verifying = False  # whether the watch in flight began with the change read last
        self._stale_reads = 0
        self._stale_since_us = 0

    @property
    def is_ready(self) -> bool:
        """Whether the cache holds the store's records, none of them known to be missing."""
        return self.cache.is_loaded and not self.needs_snapshot

    def next_operation(self) -> ReadRecords | WatchChanges:
        """The call to make next."""
        if self.needs_snapshot:
            return ReadRecords(self.cache.prefix)
        self._verifying = self._verify_next
        after_revision = self.cache.verification_revision if self._verify_next else self.cache.revision
        return WatchChanges(prefix=self.cache.prefix, after_revision=after_revision, wait_us=WATCH_WAIT_US)

    def on_snapshot(self, snapshot: StoreSnapshot) -> list[WatchEvent]:
        """Takes a full read; returns what it changed. Raises StaleReadError, StoreRolledBackError."""
        events = self.cache.load_snapshot(snapshot)
        self.needs_snapshot = False
        self._verify_next = False
        self._stale_reads = 0
        return events

    def on_batch(self, now_us: int, batch: WatchBatch) -> list[WatchEvent]:
        """Takes a watch's changes; returns the new ones.

        Raises RevisionGapError, StaleReadError, StoreRolledBackError.
        """
        events = self.cache.apply_batch(batch)
        self._stale_reads = 0
        self.schedule.next_at_us = now_us + WATCH_INTERVAL_US
        if self._verifying:  # a watch sent before the failure verifies nothing
            self._verify_next = False
        return events

    def on_stale_read(self, now_us: int) -> bool:
        """Schedules a full read.

        Returns whether so many responses were stale that the store must have been rolled back.
        """
        if self._stale_reads == 0:
            self._stale_since_us = now_us
        self._stale_reads += 1
        self.needs_snapshot = True
        self.schedule.next_at_us = now_us + FIRST_BACKOFF_US
        lasted_us = now_us - self._stale_since_us
        return self._stale_reads >= ROLLBACK_STALE_READS and lasted_us >= ROLLBACK_SUSPICION_US

    def on_history_compacted(self, now_us: int) -> None:
        """The changes to go on from are no longer kept: the records are read in full, now."""
        self.needs_snapshot = True
        self.schedule.restart(now_us)

    def verify_history(self) -> None:
        """Lets the next watch begin with the change read last, which the store then has to repeat."""
        self._verify_next = True

    def reset(self, next_at_us: int) -> None:
        """Forgets all that was read and begins again with a full read."""
        self.cache.clear()
        self.schedule.restart(next_at_us)
        self.needs_snapshot = True
        self._verify_next = False
        self._stale_reads = 0
