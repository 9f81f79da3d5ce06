"""A process' copy of all records below a prefix, built from a full read and a watch. Free of I/O.

The cache applies each change once, even if the watch repeats it. It raises an error if changes are missing,
if a response is out of date, or if the store contradicts its earlier responses. `watch` handles these errors.
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
    """Base class: the cache can't apply a response of the store."""


class RevisionGapError(WatchCacheError):
    """Changes are missing between the cache and a batch, so the records have to be read in full."""


class StaleReadError(WatchCacheError):
    """A response is older than the cache: it is a stale read, or the store was rolled back."""


class StoreRolledBackError(WatchCacheError):
    """The store contradicts its earlier responses. The message says where."""


class WatchCache:
    """All records below `prefix` as of `revision`.

    Attributes:
        prefix: Prefix of the keys of all records.
        store_id: Identifies the store that was read; empty if the backend does not support that.
        revision: Revision of the store up to which the cache contains all changes.
        records: The records by key.
        is_loaded: Whether a full read was applied.
        last_events: All changes of the newest revision that a watch delivered.
    """

    def __init__(self, prefix: str) -> None:
        """Creates an empty cache."""
        self.prefix = prefix
        self.clear()

    def clear(self) -> None:
        """Removes all records, and forgets which store they were read from."""
        self.store_id = ""
        self.revision = 0
        self.records: dict[str, Record] = {}
        self.is_loaded = False
        self.last_events: list[WatchEvent] = []

    def load_snapshot(self, snapshot: StoreSnapshot) -> list[WatchEvent]:
        """Applies a full read and returns the changes. Raises StaleReadError, StoreRolledBackError."""
        self._check_store(snapshot.store_id)
        if self.is_loaded and snapshot.revision < self.revision:
            raise StaleReadError(
                f"full read of revision {snapshot.revision}, although revision {self.revision} is known"
            )
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
        """The revision after which a watch has to begin for the store to repeat the last known changes.

        A store that was rolled back and then written again can have a higher revision than the known one, but
        it can't repeat these changes.
        """
        return self.last_events[0].revision - 1 if self.last_events else self.revision

    def apply_batch(self, batch: WatchBatch) -> list[WatchEvent]:
        """Applies the changes of a watch and returns the new ones.

        Raises RevisionGapError, StaleReadError, StoreRolledBackError.
        """
        self._check_store(batch.store_id)
        if not self.is_loaded or batch.after_revision > self.revision:
            raise RevisionGapError(
                f"got changes after revision {batch.after_revision}, but the cache ends at {self.revision}"
            )
        if batch.revision < batch.after_revision:
            raise StaleReadError(
                f"watch at revision {batch.revision}, although revision {batch.after_revision} is known"
            )
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
            raise StoreRolledBackError(f"store id is {store_id or '?'}, and was {self.store_id or '?'}")

    def _check_versions(self, found: dict[str, Record]) -> None:
        for key, known in self.records.items():
            other = found.get(key)
            if other is None:
                continue
            is_older = other.version < known.version
            is_different = other.version == known.version and other != known
            if is_older or is_different:
                raise StoreRolledBackError(
                    f"{key} at version {other.version} does not match the known record at {known.version}"
                )

    def _check_repeated_events(self, batch: WatchBatch) -> None:
        """Checks that a batch that covers the last known revision contains the same changes of it."""
        if not self.last_events:
            return
        last_revision = self.last_events[0].revision
        if not batch.after_revision < last_revision <= batch.revision:
            return
        repeated = [event for event in batch.events if event.revision == last_revision]
        if repeated != self.last_events:
            before = _keys(self.last_events)
            raise StoreRolledBackError(
                f"revision {last_revision} now changes {_keys(repeated)}, and changed {before} before"
            )


def _keys(events: list[WatchEvent]) -> str:
    return ", ".join(event.key for event in events) or "nothing"
