"""The keyspace of the etcd test double: revisions, history, leases, compaction and snapshots, without I/O.

It implements the guarantees of etcd's published interface: one revision counter for the whole keyspace, a
history of all changes until they are compacted, and leases that delete their keys when they expire. All
calls are synchronous, so that a caller can compare revisions and write in one atomic step. Times are
microseconds of the caller's clock.
"""

from __future__ import annotations

import bisect
import copy
from dataclasses import dataclass, field
from typing import NamedTuple

FIRST_LEASE_ID = 7_001


class KeyspaceError(Exception):
    """The base of the errors of the keyspace."""


class RevisionCompactedError(KeyspaceError):
    """The requested revision has been compacted and is no longer in the history."""

    def __init__(self, revision: int, compacted_revision: int) -> None:
        """Keeps the requested revision and the newest compacted one."""
        super().__init__(
            f"revision {revision} is compacted (up to {compacted_revision}); read the current state instead"
        )
        self.revision = revision
        self.compacted_revision = compacted_revision


class LeaseNotFoundError(KeyspaceError):
    """The lease of a write does not exist or has expired."""

    def __init__(self, lease_id: int) -> None:
        """Keeps the id of the lease."""
        super().__init__(f"lease {lease_id} does not exist or has expired; grant a new one")
        self.lease_id = lease_id


class Entry(NamedTuple):
    """A key with its value.

    Attributes:
        key: The key.
        value: Its value.
        create_revision: The revision that created the key.
        mod_revision: The revision of its last change.
        version: The number of writes since the key was created, from 1.
        lease_id: The lease that the key is attached to; 0 if there is none.
    """

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
    """A lease, the time at which it expires and the keys that are deleted when it does."""

    ttl_us: int
    expires_us: int
    keys: set[bytes] = field(default_factory=set)


@dataclass
class Keyspace:
    """All keys, with the history of their changes and their leases."""

    revision: int = 1
    compacted_revision: int = 0
    entries: dict[bytes, Entry] = field(default_factory=dict)
    changes: list[Change] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    last_lease_id: int = FIRST_LEASE_ID - 1

    def read_range(self, first: bytes, end: bytes = b"", at_revision: int = 0) -> list[Entry]:
        """Returns the entries of a range of keys, in the order of the keys.

        Args:
            first: The first key.
            end: The end of the range, which is excluded; empty to read only the key `first`.
            at_revision: An older revision to read at; 0 for the current one.

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
        """Returns the revision of the key's last change, or 0 if there is no such key."""
        return self.entries[key].mod_revision if key in self.entries else 0

    def write(self, puts: list[tuple[bytes, bytes, int]], deletes: list[bytes]) -> int:
        """Applies all puts and deletions at one new revision and returns the current revision.

        A write that changes nothing, such as deleting unknown keys, uses no revision.

        Args:
            puts: The keys to write, each with its value and its lease (0 for none).
            deletes: The keys to delete.

        Raises:
            LeaseNotFoundError: the lease of a put is unknown; nothing is written in this case.
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
        """Returns the changes since `revision`, included, to the keys from `first` to `end`, excluded.

        Raises:
            RevisionCompactedError: the history no longer reaches back to `revision`.
        """
        if revision <= self.compacted_revision:
            raise RevisionCompactedError(revision, self.compacted_revision)
        # Scanning a minute's history linearly for each change made the server stop responding.
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
        """Renews a lease for its full time to live; returns False if there is no such lease."""
        lease = self.leases.get(lease_id)
        if lease is None:
            return False
        lease.expires_us = now_us + lease.ttl_us
        return True

    def revoke_lease(self, lease_id: int) -> None:
        """Removes a lease and deletes its keys; an unknown lease is ignored."""
        lease = self.leases.pop(lease_id, None)
        if lease is not None and lease.keys:
            self.write([], sorted(lease.keys))

    def expire_leases(self, now_us: int) -> None:
        """Revokes the leases that have expired."""
        expired = [lease_id for lease_id, lease in self.leases.items() if lease.expires_us < now_us]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def extend_leases(self, now_us: int) -> None:
        """Renews every lease for its full time to live, as etcd does after a leader election."""
        for lease in self.leases.values():
            lease.expires_us = now_us + lease.ttl_us

    def snapshot(self) -> Keyspace:
        """Returns an independent copy of the keyspace."""
        return copy.deepcopy(self)
