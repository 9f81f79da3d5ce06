"""Typed access to the cached records, and the generations that are known to have been issued.

A cached record is out of date the moment it is read: nothing here proves who owns what. That is checked by
the expected version of a commit, and where an effect is taken (`fencing`).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from gradehoist.coordination.notifications import Notification, RecordDecodeFailed
from gradehoist.coordination.records import (
    GENERATION_FLOORS_KEY,
    NAMES_PREFIX,
    RIGHTS_PREFIX,
    OwnershipRecord,
)
from gradehoist.coordination.store import Put
from gradehoist.coordination.watch_cache import WatchCache

RecordType = TypeVar("RecordType")


class CachedRecords:
    """Decodes records of a watch cache and builds changes against their versions.

    `generation_floors` holds, by the key of an ownership record, the highest generation known to have been
    issued; it outlives a store that was rolled back.
    """

    def __init__(self, cache: WatchCache, notify: Callable[[Notification], None]) -> None:
        """Reads `cache`; `notify` hears once of each key that can't be decoded."""
        self.generation_floors: dict[str, int] = {}
        self._cache = cache
        self._notify = notify
        self._skipped: set[str] = set()

    def decode(self, key: str, record_type: type[RecordType]) -> RecordType | None:
        """The record under `key`, or None where there is none or it can't be decoded."""
        record = self._cache.records.get(key)
        if record is None:
            return None
        if record.malformed:
            self._skip(key, "its bytes are not a record of this program")
            return None
        try:
            return msgspec.json.decode(record.value, type=record_type)
        except msgspec.MsgspecError as error:
            self._skip(key, str(error))
            return None

    def version(self, key: str) -> int:
        """The cached version of a record; zero where there is none."""
        record = self._cache.records.get(key)
        return record.version if record else 0

    def build_put(self, key: str, value: Any, session_id: str = "") -> Put:
        """A change that writes `value` if the record is still as cached, for a session if one is named."""
        return Put(
            key=key,
            value=msgspec.json.encode(value),
            expected_version=self.version(key),
            session_id=session_id,
        )

    def next_generation(self, key: str, own_generation: int = 0) -> int:
        """The lowest generation above all known of an ownership record, `own_generation` included."""
        owner = self.decode(key, OwnershipRecord)
        cached = owner.generation if owner else 0
        return max(cached, own_generation, self.generation_floors.get(key, 0)) + 1

    def raise_floor(self, key: str, generation: int) -> None:
        """Takes note that `generation` was issued: it and those below it are not issued again."""
        self.generation_floors[key] = max(generation, self.generation_floors.get(key, 0))

    def raise_floors_from_store(self) -> None:
        """Takes note of the floors that the store holds."""
        for key, generation in self._stored_floors().items():
            self.raise_floor(key, generation)

    def raise_floors_from_owners(self) -> None:
        """Takes note of the generation of every cached ownership record."""
        for key, record in self._cache.records.items():
            if not key.startswith((NAMES_PREFIX, RIGHTS_PREFIX)) or record.malformed:
                continue
            owner = self.decode(key, OwnershipRecord)
            if owner is not None:
                self.raise_floor(key, owner.generation)

    def build_floors_put(self) -> Put | None:
        """A change that writes the floors that the store lacks; None where it has them all."""
        stored = self._stored_floors()
        if all(generation <= stored.get(key, 0) for key, generation in self.generation_floors.items()):
            return None
        raised = {
            key: max(generation, stored.get(key, 0)) for key, generation in self.generation_floors.items()
        }
        return self.build_put(GENERATION_FLOORS_KEY, stored | raised)

    def _stored_floors(self) -> dict[str, int]:
        return self.decode(GENERATION_FLOORS_KEY, dict[str, int]) or {}

    def _skip(self, key: str, reason: str) -> None:
        if key in self._skipped:
            return
        self._skipped.add(key)
        self._notify(RecordDecodeFailed(key, reason))
