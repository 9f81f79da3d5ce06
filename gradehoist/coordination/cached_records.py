"""Typed access to the cached records, and the generations that are known to have been issued.

A cached record may be out of date at any time, so it never proves who owns something. Ownership is checked by
the expected versions of a commit, and by the fencing token of an effect (`fencing`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from gradehoist.coordination.notifications import Notification, RecordDecodeFailed
from gradehoist.coordination.records import (
    ELECTIONS_PREFIX,
    GENERATION_FLOORS_KEY,
    NAMES_PREFIX,
    OwnershipRecord,
)
from gradehoist.coordination.store import Put
from gradehoist.coordination.watch_cache import WatchCache

RecordType = TypeVar("RecordType")


class CachedRecords:
    """Decodes records of a watch cache, and builds changes that expect their cached versions.

    Attributes:
        generation_floors: The highest generation known to have been issued, by the key of its ownership
            record. It is kept when the store is rolled back.
    """

    def __init__(self, cache: WatchCache, notify: Callable[[Notification], None]) -> None:
        """Creates a reader of `cache`.

        Args:
            cache: The records to decode.
            notify: Called once for each key whose record can't be decoded.
        """
        self.generation_floors: dict[str, int] = {}
        self._cache = cache
        self._notify = notify
        self._undecodable_keys: set[str] = set()

    def decode(self, key: str, record_type: type[RecordType]) -> RecordType | None:
        """Returns the record under `key`, or None if it does not exist or can't be decoded."""
        record = self._cache.records.get(key)
        if record is None:
            return None
        if record.malformed:
            self._report_undecodable(key, "the stored bytes do not have the form of a record")
            return None
        try:
            return msgspec.json.decode(record.value, type=record_type)
        except msgspec.MsgspecError as error:
            self._report_undecodable(key, str(error))
            return None

    def version(self, key: str) -> int:
        """Returns the cached version of a record, or zero if it does not exist."""
        record = self._cache.records.get(key)
        return record.version if record else 0

    def build_put(self, key: str, value: Any, session_id: str = "") -> Put:
        """Returns a change that writes `value` if the record still has the cached version.

        If `session_id` is given, the record belongs to that session.
        """
        return Put(
            key=key,
            value=msgspec.json.encode(value),
            expected_version=self.version(key),
            session_id=session_id,
        )

    def next_generation(self, key: str, own_generation: int = 0) -> int:
        """Returns the lowest generation above `own_generation` and all known ones of an ownership record."""
        owner = self.decode(key, OwnershipRecord)
        cached = owner.generation if owner else 0
        return max(cached, own_generation, self.generation_floors.get(key, 0)) + 1

    def raise_floor(self, key: str, generation: int) -> None:
        """Records that `generation` was issued, so that it and lower ones are not issued again."""
        self.generation_floors[key] = max(generation, self.generation_floors.get(key, 0))

    def raise_floors_from_store(self) -> None:
        """Raises the floors to those that the store holds."""
        for key, generation in self._stored_floors().items():
            self.raise_floor(key, generation)

    def raise_floors_from_owners(self) -> None:
        """Raises the floors to the generations of all cached ownership records."""
        for key, record in self._cache.records.items():
            if not key.startswith((NAMES_PREFIX, ELECTIONS_PREFIX)) or record.malformed:
                continue
            owner = self.decode(key, OwnershipRecord)
            if owner is not None:
                self.raise_floor(key, owner.generation)

    def build_floors_put(self) -> Put | None:
        """Returns a change that writes the floors missing in the store, or None if it has all of them."""
        stored = self._stored_floors()
        if all(generation <= stored.get(key, 0) for key, generation in self.generation_floors.items()):
            return None
        raised = {
            key: max(generation, stored.get(key, 0)) for key, generation in self.generation_floors.items()
        }
        return self.build_put(GENERATION_FLOORS_KEY, stored | raised)

    def _stored_floors(self) -> dict[str, int]:
        return self.decode(GENERATION_FLOORS_KEY, dict[str, int]) or {}

    def _report_undecodable(self, key: str, reason: str) -> None:
        if key in self._undecodable_keys:
            return
        self._undecodable_keys.add(key)
        self._notify(RecordDecodeFailed(key, reason))
