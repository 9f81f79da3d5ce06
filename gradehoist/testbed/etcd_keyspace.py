"""The keyspace of the etcd test double: revisions, a history, leases, compaction and snapshots, without I/O.

It keeps what etcd's published interface promises: one counter of revisions, compare and write in one step,
every change kept until it is compacted, and leases that delete their keys when they expire. Times are
microseconds of the caller's clock.
"""

from __future__ import annotations

import bisect
import copy
from dataclasses import dataclass, field
from typing import NamedTuple

FIRST_LEASE_ID = 7_001


class KeyspaceError(Exception):
    """A request that the keyspace can't serve."""


class RevisionCompactedError(KeyspaceError):
    """The requested revision was compacted away."""

    def __init__(self, revision: int, compacted_revision: int) -> None:
        """Keeps the requested revision and the one up to which history is gone."""
        super().__init__(
            f"revision {revision} is compacted (up to {compacted_revision}): read the current state"
        )
        self.revision = revision
        self.compacted_revision = compacted_revision


class LeaseNotFoundError(KeyspaceError):
    """A write names a lease that does not exist or has expired."""

    def __init__(self, lease_id: int) -> None:
        """Keeps the id of the lease."""
        super().__init__(f"lease {lease_id} is not found: grant a new one")
        self.lease_id = lease_id


class Entry(NamedTuple):
    """A key with its value, the revisions of its creation and last change, and its lease (0: none)."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease_id: int = 0


class Change(NamedTuple):
    """A change in the history; `entry` is None for a deletion."""

    revision: int
    key: bytes
    entry: Entry | None


@dataclass
class Lease:
    """A lease, the time at which it expires and the keys that are then deleted."""

    ttl_us: int
    expires_us: int
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Keyspace:
    """All keys with their history and leases."""

    revision: int = 1
    compacted_revision: int = 0
    entries: dict[bytes, Entry] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    last_lease_id: int = FIRST_LEASE_ID - 1

    def read_range(self, first: bytes, end: bytes = b"", at_revision: int = 0) -> list[Entry]:
        """Reads the entries from `first` to before `end`, or of the key `first` alone.

        Args:
            first: the first key.
            end: the key after the last one; empty for one key.
            at_revision: an older revision to read at; 0 for the current one.

        Raises:
            RevisionCompactedError: the history no longer reaches back to `at_revision`.
        """
        if at_revision and at_revision < self.compacted_revision:
            raise RevisionCompactedError(at_revision, self.compacted_revision)
        entries = self.entries
        if at_revision and at_revision < self.revision:
            entries = self._rebuild_entries(at_revision)
        if not end:
            return [entries[first]] if first in entries else []
        return [entries[key] for key in sorted(entries) if first <= key < end]

    def _rebuild_entries(self, at_revision: int) -> dict[bytes, Entry]:
        entries = dict[bytes, Entry]()
        for change in self.changes:
            if change.revision > at_revision:
                continue
            if change.entry is None:
                entries.pop(change.key, None)
            else:
                entries[change.key] = change.entry
        return entries

    def find_mod_revision(self, key: bytes) -> int:
        """Returns the revision of the key's last change, 0 if there is no such key."""
        return self.entries[key].mod_revision if key in self.entries else 0

    def write(self, puts: list[tuple[bytes, bytes, int]], deletes: list[bytes]) -> int:
        """Applies all puts (key, value, lease or 0) and deletions at one revision, and returns it.

        Raises:
            LeaseNotFoundError: a put names an unknown lease; nothing is written then.
        """
        for _, _, lease_id in puts:
            if lease_id and lease_id not in self.leases:
                raise LeaseNotFoundError(lease_id)
        revision = self.revision + 1
        for key, value, lease_id in puts:
            self._put(revision, key, value, lease_id)
        for key in deletes:
            self._delete(revision, key)
        if self.changes and self.changes[-1].revision == revision:
            self.revision = revision
        return self.revision

    def _put(self, revision: int, key: bytes, value: bytes, lease_id: int) -> None:
        old = self.entries.get(key)
        if old is not None and old.lease_id in self.leases:
            self.leases[old.lease_id].keys.discard(key)
        entry = Entry(
            key=key,
            value=value,
            create_revision=old.create_revision if old else revision,
            mod_revision=revision,
            version=old.version + 1 if old else 1,
            lease_id=lease_id,
        )
        self.entries[key] = entry
        self.changes.append(Change(revision=revision, key=key, entry=entry))
        if lease_id:
            self.leases[lease_id].keys.add(key)

    def _delete(self, revision: int, key: bytes) -> None:
        if key not in self.entries:
            return
        del self.entries[key]
        self.changes.append(Change(revision=revision, key=key, entry=None))

    def find_changes(self, revision: int, first: bytes, end: bytes) -> list[Change]:
        """Returns the changes from `revision` on to the keys from `first` to before `end`.

        Raises:
            RevisionCompactedError: the history no longer reaches back to `revision`.
        """
        if revision <= self.compacted_revision:
            raise RevisionCompactedError(revision, self.compacted_revision)
        # Bisection: a linear scan at each change of a minute's history stopped the server.
        start = bisect.bisect_left(self.changes, revision, key=lambda change: change.revision)
        return [change for change in self.changes[start:] if first <= change.key < end]

    def compact(self, keep: int) -> None:
        """Compacts all but the newest `keep` revisions."""
        self.compacted_revision = max(self.compacted_revision, self.revision - keep)

    def grant_lease(self, now_us: int, ttl_us: int) -> int:
        """Grants a lease and returns its id."""
        self.last_lease_id += 1
        self.leases[self.last_lease_id] = Lease(ttl_us=ttl_us, expires_us=now_us + ttl_us)
        return self.last_lease_id

    def renew_lease(self, now_us: int, lease_id: int) -> bool:
        """Renews a lease for its whole time to live; returns False if there is no such lease."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_us = now_us + lease.ttl_us
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Removes a lease and deletes its keys; an unknown lease changes nothing."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            self.write([], sorted(lease.keys))

    def expire_leases(self, now_us: int) -> None:
        """Revokes the leases whose time is over."""
        expired = [lease_id for lease_id, lease in self.leases.items() if lease.expires_us < now_us]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def extend_leases(self, now_us: int) -> None:
        """Gives every lease its whole time to live again, as etcd does after a leader election."""
        for lease in self.leases.values():
            lease.expires_us = now_us + lease.ttl_us

    def snapshot(self) -> Keyspace:
        """Returns an independent copy."""
        return copy.deepcopy(self)
