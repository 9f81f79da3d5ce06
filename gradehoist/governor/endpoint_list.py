"""The endpoint list as this governor knows it: updates of the list service in, events for the policies out.

Records carry an age and a boot name instead of a clock time, so neither end's clock can mislead the other. A
replica's start is fixed on this governor's monotonic clock when its boot name is first seen. No I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from gradehoist.governor.errors import GovernorError
from gradehoist.identifiers import Identifiers
from gradehoist.interface import Endpoint, EndpointListKind, EndpointsListed, Phase
from gradehoist.protocol.feed import EndpointListUpdate, EndpointRecord

SPARE_STARTS = 1_000  # kept beyond the listed replicas: one that flaps must not appear to have restarted
PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


class EndpointListGapError(GovernorError):
    """A delta does not continue the version that is held; request the complete list."""


class InconsistentEndpointListError(GovernorError, ValueError):
    """A snapshot that cannot be true; the list that is held stays in force."""


@dataclass(frozen=True, slots=True)
class _Start:
    """A start of a replica: its boot name, and when it was (µs; 0 is long past)."""

    incarnation: str
    started_us: int


class EndpointList:
    """The replicas that this governor may send to. The core owns it.

    Attributes:
        incarnation: which series of versions the list service is in.
        version: the last version that was applied.
        endpoints: the records that are in force, by replica.
        is_stale: whether the list is a cached one that the service has not confirmed yet.
        invalid: by replica, why its record does not fit the settings.
    """

    def __init__(self, identifiers: Identifiers, warmup_us: int) -> None:
        """A start that lies `warmup_us` in the past when it is first seen counts as long past."""
        self._identifiers = identifiers
        self._warmup_us = warmup_us
        self._starts: dict[str, _Start] = {}
        self.incarnation = ""
        self.version = 0
        self.endpoints: dict[str, EndpointRecord] = {}
        self.is_stale = True
        self.invalid: dict[str, str] = {}

    def start_times_us(self) -> dict[str, int]:
        """When each replica started, by name; 0 for long past."""
        return {replica: start.started_us for replica, start in self._starts.items()}

    def apply(self, now_us: int, update: EndpointListUpdate) -> EndpointsListed | None:
        """Applies an update and returns the event for the policies, or None if it holds nothing new.

        Raises:
            EndpointListGapError: the update is a delta on another version.
            InconsistentEndpointListError: the update is a snapshot that cannot be true.
        """
        if update.is_snapshot:
            self._check_snapshot(update)
        else:
            if update.incarnation != self.incarnation or update.since_version != self.version:
                raise EndpointListGapError(f"changes after {update.since_version}, held is {self.version}")
            if update.version == self.version:
                return None
        self.incarnation = update.incarnation
        self.version = update.version
        self.is_stale = False
        if update.is_snapshot:
            listed = {record.replica for record in update.endpoints}
            self.invalid = {replica: why for replica, why in self.invalid.items() if replica in listed}
        records = [self._correct(record) for record in update.endpoints]
        self._store(records, update.is_snapshot)
        self._drop_old_starts()
        return EndpointsListed(
            kind=EndpointListKind.SNAPSHOT if update.is_snapshot else EndpointListKind.DELTA,
            endpoints=tuple(
                self._to_endpoint(now_us, record)
                for record in records
                if record.zone in self._identifiers.zones
                and (record.phase != "gone" or not update.is_snapshot)
            ),
        )

    def load_cached(self, now_us: int, records: tuple[EndpointRecord, ...]) -> EndpointsListed:
        """Puts the list in force that was persisted before this start.

        The ages in it are as old as the file, so every start counts as long past until the list service has
        sent the true ages.
        """
        self.endpoints = {
            record.replica: record
            for record in records
            if record.zone in self._identifiers.zones and record.phase in PHASES
        }
        endpoints = tuple(
            replace(self._to_endpoint(now_us, record), started_us=0) for record in self.endpoints.values()
        )
        self._starts.clear()
        return EndpointsListed(kind=EndpointListKind.CACHED, endpoints=endpoints)

    def _check_snapshot(self, update: EndpointListUpdate) -> None:
        """Rejects what only a faulty list service sends.

        One that lost its memory answers with an empty list, which once took every replica from every proxy.
        A copy that lags answers with an older version, which once restored replicas that were draining.
        """
        if update.incarnation == self.incarnation and update.version < self.version:
            raise InconsistentEndpointListError(
                f"version {update.version} after {self.version} of one incarnation; the later stands"
            )
        if not update.endpoints and self.endpoints:
            raise InconsistentEndpointListError(
                f"an empty list where {len(self.endpoints)} are known; that stands"
            )

    def _correct(self, record: EndpointRecord) -> EndpointRecord:
        """The record as far as it fits the settings.

        Rejecting the whole list for one record that does not fit would hide every withdrawal.
        """
        reason = ""
        if record.phase not in PHASES:
            reason = f"unknown phase {record.phase!r}, taken for draining"
            record = msgspec.structs.replace(record, phase="draining")
        if record.zone not in self._identifiers.zones:
            reason = f"zone {record.zone!r} is not in the settings, left out"
            record = msgspec.structs.replace(record, phase="gone")
        if reason:
            self.invalid[record.replica] = reason
        else:
            self.invalid.pop(record.replica, None)
        return record

    def _store(self, records: list[EndpointRecord], is_snapshot: bool) -> None:
        present = {record.replica: record for record in records if record.phase != "gone"}
        if is_snapshot:
            self.endpoints = present
            return
        self.endpoints |= present
        for record in records:
            if record.phase == "gone":
                self.endpoints.pop(record.replica, None)

    def _drop_old_starts(self) -> None:
        if len(self._starts) <= 2 * len(self.endpoints) + SPARE_STARTS:
            return
        self._starts = {
            replica: start for replica, start in self._starts.items() if replica in self.endpoints
        }

    def _to_endpoint(self, now_us: int, record: EndpointRecord) -> Endpoint:
        started_us = self._started_us(now_us, record)
        self._starts[record.replica] = _Start(incarnation=record.incarnation, started_us=started_us)
        return Endpoint(
            replica=self._identifiers.replicas.intern(record.replica),
            zone=self._identifiers.zones[record.zone],
            kind=self._identifiers.kinds.intern(record.kind),
            cell=record.cell,
            phase=PHASES[record.phase],
            size=record.size,
            started_us=started_us,
        )

    def _started_us(self, now_us: int, record: EndpointRecord) -> int:
        known = self._starts.get(record.replica)
        if known is None:
            return 0 if record.age_us >= self._warmup_us else max(1, now_us - record.age_us)
        if known.incarnation == record.incarnation:
            return known.started_us
        # Later than the last start even where ages were rounded: a restart must show as one.
        return max(1, now_us - record.age_us, known.started_us + 1)
