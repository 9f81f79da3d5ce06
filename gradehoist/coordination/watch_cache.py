"""A process' copy of all records below a prefix, from one whole read and a watch. Free of I/O.

It takes what a watch brings however often it comes, and says where that can't be all (`Gap`) or where the
register is not the one that it knows any more (`Backwards`): an older snapshot was put back, or another
register answers. An answer that is merely older than the copy (`Older`) may be a stale read; whoever reads
decides how many of those in a row are a register that went back.
"""

from __future__ import annotations

from gradehoist.coordination.store import Batch, Event, Record, Snapshot


class Gap(Exception):
    """Changes are missing between the copy and the batch: read the whole."""


class Older(Exception):
    """The answer is older than what is known."""


class Backwards(Exception):
    """The register contradicts what it said: the text says where."""


class Mirror:
    def __init__(self, prefix: str) -> None:
        self.prefix, self.lineage, self.revision = prefix, "", 0
        self.records = dict[str, Record]()
        self.begun = False
        self.last = list[Event]()  # all of the newest revision that a watch brought

    def whole(self, snapshot: Snapshot) -> list[Event]:
        """What changed by it. Raises Older, Backwards."""
        self._same(snapshot.lineage)
        if self.begun and snapshot.revision < self.revision:
            raise Older(f"revision {snapshot.revision}, {self.revision} is known")
        found = {r.key: r for r in snapshot.records}
        for key, known in self.records.items():
            other = found.get(key)
            if other is not None and (
                other.version < known.version or (other.version == known.version and other != known)
            ):
                raise Backwards(f"{key} at version {other.version} is not what it was at {known.version}")
        events = [Event(r.key, r.version, r) for r in snapshot.records if key_new(r, self.records.get(r.key))]
        events += [Event(k, snapshot.revision, None) for k in self.records if k not in found]
        self.records, self.lineage, self.begun = found, snapshot.lineage, True
        self.revision, self.last = snapshot.revision, []
        return events

    @property
    def proof(self) -> int:
        """Watched from here, a register whose history has not changed repeats what it brought last: one that
        went back and then on again shows in no revision."""
        return self.last[0].revision - 1 if self.last else self.revision

    def batch(self, batch: Batch) -> list[Event]:
        """Those of its changes that are new. Raises Gap, Older, Backwards."""
        self._same(batch.lineage)
        if not self.begun or batch.after > self.revision:
            raise Gap(f"changes after {batch.after}, known up to {self.revision}")
        if batch.revision < batch.after:
            raise Older(f"revision {batch.revision}, {batch.after} is known")
        if self.last and batch.after < self.last[0].revision <= batch.revision:
            again = [e for e in batch.events if e.revision == self.last[0].revision]
            if again != self.last:
                now, before = (", ".join(e.key for e in some) or "nothing" for some in (again, self.last))
                raise Backwards(f"revision {self.last[0].revision} changed {now}; it had changed {before}")
        events = [e for e in batch.events if e.revision > self.revision]
        if events:
            self.last = [e for e in events if e.revision == events[-1].revision]
        for e in events:
            if e.record is None:
                self.records.pop(e.key, None)
            else:
                self.records[e.key] = e.record
        self.revision = max(self.revision, batch.revision)
        return events

    def _same(self, lineage: str) -> None:
        if self.begun and lineage != self.lineage:
            raise Backwards(f"it is register {lineage or '?'} and was {self.lineage or '?'}")


def key_new(record: Record, known: Record | None) -> bool:
    return known is None or known.version < record.version
