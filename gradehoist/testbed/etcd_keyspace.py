"""The keyspace of the engine's stand-in: revisions, a history, leases, compaction, snapshots. Free of I/O.

It keeps what the published interface promises and nothing of how an engine does it: one counter of revisions,
compare and write in one step, every change kept until it is compacted, leases that take their keys along.
"""

from __future__ import annotations

import bisect
import copy
from dataclasses import dataclass, field
from typing import NamedTuple


class Entry(NamedTuple):
    key: bytes
    value: bytes
    created: int
    modified: int
    version: int
    lease: int = 0


class Past(NamedTuple):
    revision: int
    key: bytes
    entry: Entry | None


class Gone(Exception):
    """The revision was compacted."""


class NoLease(Exception):
    pass


@dataclass
class Lease:
    ttl: int
    due: int
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Keyspace:
    """Times are µs of the caller's clock."""

    revision: int = 1
    compacted: int = 0
    entries: dict[bytes, Entry] = field(default_factory=dict)
    past: list[Past] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    granted: int = 7_000

    def range(self, first: bytes, end: bytes = b"", at: int = 0) -> list[Entry]:
        """Those from `first` to before `end`, or `first` alone; `at` an older revision. Raises Gone."""
        if at and at < self.compacted:
            raise Gone
        found = self.entries if not at or at >= self.revision else self._older(at)
        if not end:
            return [found[first]] if first in found else []
        return [found[k] for k in sorted(found) if first <= k < end]

    def _older(self, at: int) -> dict[bytes, Entry]:
        found = dict[bytes, Entry]()
        for p in self.past:
            if p.revision <= at:
                if p.entry is None:
                    found.pop(p.key, None)
                else:
                    found[p.key] = p.entry
        return found

    def modified(self, key: bytes) -> int:
        return self.entries[key].modified if key in self.entries else 0

    def write(self, puts: list[tuple[bytes, bytes, int]], deletes: list[bytes]) -> int:
        """All at one revision. Raises NoLease, and then nothing is written."""
        for _, _, lease in puts:
            if lease and lease not in self.leases:
                raise NoLease
        revision = self.revision + 1
        for key, value, lease in puts:
            old = self.entries.get(key)
            if old is not None and old.lease in self.leases:
                self.leases[old.lease].keys.discard(key)
            entry = Entry(
                key, value, old.created if old else revision, revision, old.version + 1 if old else 1, lease
            )
            self.entries[key] = entry
            self.past.append(Past(revision, key, entry))
            if lease:
                self.leases[lease].keys.add(key)
        for key in deletes:
            if key in self.entries:
                del self.entries[key]
                self.past.append(Past(revision, key, None))
        if self.past and self.past[-1].revision == revision:
            self.revision = revision
        return self.revision

    def since(self, revision: int, first: bytes, end: bytes) -> list[Past]:
        """Changes from `revision` on. Raises Gone."""
        if revision <= self.compacted:
            raise Gone
        # By halves: looked through whole at each change, a minute's history stopped the stand-in.
        start = bisect.bisect_left(self.past, revision, key=lambda p: p.revision)
        return [p for p in self.past[start:] if first <= p.key < end]

    def compact(self, keep: int) -> None:
        """All but the newest `keep` revisions go."""
        self.compacted = max(self.compacted, self.revision - keep)

    def grant(self, now: int, ttl: int) -> int:
        self.granted += 1
        self.leases[self.granted] = Lease(ttl, now + ttl)
        return self.granted

    def renew(self, now: int, lease: int) -> bool:
        if (held := self.leases.get(lease)) is None:
            return False
        held.due = now + held.ttl
        return True

    def revoke(self, lease: int) -> None:
        if (held := self.leases.pop(lease, None)) and held.keys:
            self.write([], sorted(held.keys))

    def expire(self, now: int) -> None:
        for lease in [n for n, held in self.leases.items() if held.due < now]:
            self.revoke(lease)

    def extend(self, now: int) -> None:
        """As after an election: every lease has its whole time again."""
        for held in self.leases.values():
            held.due = now + held.ttl

    def snapshot(self) -> Keyspace:
        return copy.deepcopy(self)
