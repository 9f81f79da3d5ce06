"""The endpoint list that this governor uses; it converts list updates to events for the policies.

Records carry an age and an incarnation instead of a clock time, so clock differences between the hosts do not
matter. The start time of a replica is computed on this governor's monotonic clock when its incarnation is
first seen. This module does no I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, replace

import msgspec

from gradehoist.governor.errors import GovernorError
from gradehoist.identifiers import Identifiers
from gradehoist.interface import Endpoint, EndpointListKind, EndpointsListed, Phase
from gradehoist.protocol.feed import EndpointListUpdate, EndpointRecord

# Start times of unlisted replicas are dropped when there are more start times than twice the listed replicas
# and this number. A replica that leaves the list and returns must not appear to have restarted.
EXTRA_START_TIMES = 1_000
PHASES = {"ready": Phase.READY, "draining": Phase.DRAINING, "gone": Phase.GONE}


class EndpointListGapError(GovernorError):
    """A delta does not follow the known version; the complete list has to be requested."""


class InconsistentEndpointListError(GovernorError, ValueError):
    """A snapshot contradicts the known list, which stays in use."""


@dataclass(frozen=True, slots=True)
class _Start:
    """The incarnation of a replica and its start time; 0 if it started long ago."""

    incarnation: str
    started_us: int


class EndpointList:
    """The replicas that proxies of this governor may send to. The core owns it.

    Attributes:
        incarnation: incarnation of the list service, within which versions are comparable.
        version: the last version that was applied.
        endpoints: the current records, by replica.
        is_stale: whether the list comes from the cache and the list service has not confirmed it yet.
        invalid: the reason why a replica's record does not match the settings, by replica.
    """

    def __init__(self, identifiers: Identifiers, warmup_us: int) -> None:
        """Creates an empty list.

        A replica that is at least `warmup_us` old when it is first seen counts as started long ago.
        """
        self._identifiers = identifiers
        self._warmup_us = warmup_us
        self._starts: dict[str, _Start] = {}
        self.incarnation = ""
        self.version = 0
        self.endpoints: dict[str, EndpointRecord] = {}
        self.is_stale = True
        self.invalid: dict[str, str] = {}

    def start_times_us(self) -> dict[str, int]:
        """Returns when each replica started, by name; 0 if it started long ago."""
        return {replica: start.started_us for replica, start in self._starts.items()}

    def apply(self, now_us: int, update: EndpointListUpdate) -> EndpointsListed | None:
        """Applies an update and returns the event for the policies, or None if it contains no change.

        Raises:
            EndpointListGapError: the update is a delta since another version.
            InconsistentEndpointListError: the update is a snapshot that contradicts the known list.
        """
        if update.is_snapshot:
            self._check_snapshot(update)
        else:
            if update.incarnation != self.incarnation or update.since_version != self.version:
                raise EndpointListGapError(
                    f"delta since version {update.since_version}, known version is {self.version}"
                )
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
        """Replaces the list by one that an earlier run persisted.

        Its ages are outdated by the age of the file, so every replica counts as started long ago until the
        list service has sent current ages.
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
        """Rejects snapshots that only a faulty list service sends.

        A list service that lost its state answers with an empty list, which once removed every replica from
        every proxy. A lagging copy answers with an older version, which once restored draining replicas.
        """
        if update.incarnation == self.incarnation and update.version < self.version:
            raise InconsistentEndpointListError(
                f"snapshot version {update.version} is older than {self.version} of the same incarnation, "
                "which stays in use"
            )
        if not update.endpoints and self.endpoints:
            raise InconsistentEndpointListError(
                f"empty snapshot although {len(self.endpoints)} replicas are known; these stay in use"
            )

    def _correct(self, record: EndpointRecord) -> EndpointRecord:
        """Returns the record with values that the settings allow.

        Rejecting the whole list because of one invalid record would hide every withdrawal in it.
        """
        reason = ""
        if record.phase not in PHASES:
            reason = f"unknown phase {record.phase!r}, taken for draining"
            record = msgspec.structs.replace(record, phase="draining")
        if record.zone not in self._identifiers.zones:
            reason = f"zone {record.zone!r} is not in the settings, so the replica is ignored"
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
        if len(self._starts) <= 2 * len(self.endpoints) + EXTRA_START_TIMES:
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
        # The new start is later than the last one even if ages were rounded, so that the restart is visible.
        return max(1, now_us - record.age_us, known.started_us + 1)
