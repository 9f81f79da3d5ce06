"""A process' copy of all records below a prefix, from one whole read and a watch. Free of I/O.

It takes what a watch brings however often it comes, and says where that can't be all (`Gap`) or where the
register is not the one that it knows any more (`Backwards`): an older snapshot was put back, or another
register answers. An answer that is merely older than the copy (`Older`) may be a stale read; whoever reads
decides how many of those in a row are a register that went back.
"""

from __future__ import annotations

from gradehoist.coordination.store import Record, StoreSnapshot, WatchBatch, WatchEvent


class RevisionGapError(Exception):
    """Changes are missing between the copy and the batch: read the whole."""


class StaleReadError(Exception):
    """The answer is older than what is known."""


class StoreRolledBackError(Exception):
    """The register contradicts what it said: the text says where."""


class WatchCache:
    def __init__(self, prefix: str) -> None:
        self.prefix, self.store_id, self.revision = prefix, "", 0
        self.records = dict[str, Record]()
        self.is_loaded = False
        self.last_events = list[WatchEvent]()  # all of the newest revision that a watch brought

    def load_snapshot(self, snapshot: StoreSnapshot) -> list[WatchEvent]:
        """What changed by it. Raises Older, Backwards."""
        self._same(snapshot.store_id)
        if self.is_loaded and snapshot.revision < self.revision:
            raise StaleReadError(f"revision {snapshot.revision}, {self.revision} is known")
        found = {r.key: r for r in snapshot.records}
        for key, known in self.records.items():
            other = found.get(key)
            if other is not None and (
                other.version < known.version or (other.version == known.version and other != known)
            ):
                raise StoreRolledBackError(
                    f"{key} at version {other.version} is not what it was at {known.version}"
                )
        events = [
            WatchEvent(r.key, r.version, r) for r in snapshot.records if key_new(r, self.records.get(r.key))
        ]
        events += [WatchEvent(k, snapshot.revision, None) for k in self.records if k not in found]
        self.records, self.store_id, self.is_loaded = found, snapshot.store_id, True
        self.revision, self.last_events = snapshot.revision, []
        return events

    @property
    def verification_revision(self) -> int:
        """Watched from here, a register whose history has not changed repeats what it brought last: one that
        went back and then on again shows in no revision."""
        return self.last_events[0].revision - 1 if self.last_events else self.revision

    def apply_batch(self, batch: WatchBatch) -> list[WatchEvent]:
        """Those of its changes that are new. Raises Gap, Older, Backwards."""
        self._same(batch.store_id)
        if not self.is_loaded or batch.after_revision > self.revision:
            raise RevisionGapError(f"changes after {batch.after_revision}, known up to {self.revision}")
        if batch.revision < batch.after_revision:
            raise StaleReadError(f"revision {batch.revision}, {batch.after_revision} is known")
        if self.last_events and batch.after_revision < self.last_events[0].revision <= batch.revision:
            again = [e for e in batch.events if e.revision == self.last_events[0].revision]
            if again != self.last_events:
                now, before = (
                    ", ".join(e.key for e in some) or "nothing" for some in (again, self.last_events)
                )
                raise StoreRolledBackError(
                    f"revision {self.last_events[0].revision} changed {now}; it had changed {before}"
                )
        events = [e for e in batch.events if e.revision > self.revision]
        if events:
            self.last_events = [e for e in events if e.revision == events[-1].revision]
        for e in events:
            if e.record is None:
                self.records.pop(e.key, None)
            else:
                self.records[e.key] = e.record
        self.revision = max(self.revision, batch.revision)
        return events

    def _same(self, lineage: str) -> None:
        if self.is_loaded and lineage != self.store_id:
            raise StoreRolledBackError(f"it is register {lineage or '?'} and was {self.store_id or '?'}")


def key_new(record: Record, known: Record | None) -> bool:
    return known is None or known.version < record.version
