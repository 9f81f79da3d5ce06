"""A process' copy of all records below a prefix, built from one full read and a watch. Free of I/O.

The cache applies each change once, however often the watch repeats it. It raises an error where changes are
missing, where a response is out of date, and where the store contradicts what it said before; what follows
from that is decided by `watch`.
"""

from __future__ import annotations

from gradehoist.coordination.store import (
    CoordinationError,
    Record,
    StoreSnapshot,
    WatchBatch,
    WatchEvent,
)


class WatchCacheError(CoordinationError):
    """A response of the store that the cache can't apply."""


class RevisionGapError(WatchCacheError):
    """Changes are missing between the cache and a batch: the records are to be read in full."""


class StaleReadError(WatchCacheError):
    """A response is older than what is known: a stale read, or a store that was rolled back."""


class StoreRolledBackError(WatchCacheError):
    """The store contradicts what it said before; the text says where."""


class WatchCache:
    """All records below `prefix` as of `revision`.

    Attributes:
        store_id: Names the store that was read, where it can tell.
        records: By key.
        is_loaded: Whether a full read was taken.
        last_events: All changes of the newest revision that the watch showed.
    """

    def __init__(self, prefix: str) -> None:
        """Begins empty, without a store."""
        self.prefix = prefix
        self.clear()

    def clear(self) -> None:
        """Forgets all that was read, and the store that it was read from."""
        self.store_id = ""
        self.revision = 0
        self.records: dict[str, Record] = {}
        self.is_loaded = False
        self.last_events: list[WatchEvent] = []

    def load_snapshot(self, snapshot: StoreSnapshot) -> list[WatchEvent]:
        """Takes a full read; returns what it changed. Raises StaleReadError, StoreRolledBackError."""
        self._check_store(snapshot.store_id)
        if self.is_loaded and snapshot.revision < self.revision:
            raise StaleReadError(f"revision {snapshot.revision}, {self.revision} is known")
        found = {record.key: record for record in snapshot.records}
        self._check_versions(found)
        events = [
            WatchEvent(key=record.key, revision=record.version, record=record)
            for record in snapshot.records
            if self._is_newer(record)
        ]
        for key in self.records:
            if key not in found:
                events.append(WatchEvent(key=key, revision=snapshot.revision, record=None))
        self.records = found
        self.store_id = snapshot.store_id
        self.is_loaded = True
        self.revision = snapshot.revision
        self.last_events = []
        return events

    @property
    def verification_revision(self) -> int:
        """Where to watch from so that the store has to repeat the changes read last.

        A store that was rolled back and then written further shows in no revision, but it can't repeat them.
        """
        return self.last_events[0].revision - 1 if self.last_events else self.revision

    def apply_batch(self, batch: WatchBatch) -> list[WatchEvent]:
        """Takes a watch's changes; returns the new ones.

        Raises RevisionGapError, StaleReadError, StoreRolledBackError.
        """
        self._check_store(batch.store_id)
        if not self.is_loaded or batch.after_revision > self.revision:
            raise RevisionGapError(f"changes after {batch.after_revision}, known up to {self.revision}")
        if batch.revision < batch.after_revision:
            raise StaleReadError(f"revision {batch.revision}, {batch.after_revision} is known")
        self._check_repeated_events(batch)
        events = [event for event in batch.events if event.revision > self.revision]
        if events:
            self.last_events = [event for event in events if event.revision == events[-1].revision]
        for event in events:
            if event.record is None:
                self.records.pop(event.key, None)
            else:
                self.records[event.key] = event.record
        self.revision = max(self.revision, batch.revision)
        return events

    def _is_newer(self, record: Record) -> bool:
        known = self.records.get(record.key)
        return known is None or known.version < record.version

    def _check_store(self, store_id: str) -> None:
        if self.is_loaded and store_id != self.store_id:
            raise StoreRolledBackError(f"it is register {store_id or '?'} and was {self.store_id or '?'}")

    def _check_versions(self, found: dict[str, Record]) -> None:
        for key, known in self.records.items():
            other = found.get(key)
            if other is None:
                continue
            is_older = other.version < known.version
            is_different = other.version == known.version and other != known
            if is_older or is_different:
                raise StoreRolledBackError(
                    f"{key} at version {other.version} is not what it was at {known.version}"
                )

    def _check_repeated_events(self, batch: WatchBatch) -> None:
        """Where a batch covers the last known revision, it has to bring the same changes of it."""
        if not self.last_events:
            return
        last_revision = self.last_events[0].revision
        if not batch.after_revision < last_revision <= batch.revision:
            return
        repeated = [event for event in batch.events if event.revision == last_revision]
        if repeated != self.last_events:
            before = _keys(self.last_events)
            raise StoreRolledBackError(
                f"revision {last_revision} changed {_keys(repeated)}; it had changed {before}"
            )


def _keys(events: list[WatchEvent]) -> str:
    return ", ".join(event.key for event in events) or "nothing"
