"""The roster as this governor knows it: documents in, list events for the module out. Free of I/O.

Entries tell their age and a boot name, not a clock time, so neither end's clock can mislead the other; a
start is fixed, on this governor's clock, when its boot name is first seen.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from gradehoist import interface as i
from gradehoist.identifiers import Identifiers
from gradehoist.protocol import feed

KEPT = 1_000  # boots beyond those listed: one that flaps must not show as started anew
PHASES = {"ready": i.Phase.READY, "draining": i.Phase.DRAINING, "gone": i.Phase.GONE}


class EndpointListGapError(Exception):
    """Changes that do not follow on what is held: the whole list is due."""


class InconsistentEndpointListError(ValueError):
    """A list that can't be true: the one held stands."""


class EndpointList:
    """`long_past` in µs: a start that long ago, when first heard of, is told as 0."""

    def __init__(self, names: Identifiers, long_past: int) -> None:
        self._names, self._long_past = names, long_past
        self.incarnation, self.version = "", 0
        self.endpoints: dict[str, feed.EndpointRecord] = {}
        self._boots: dict[str, tuple[str, int]] = {}  # by replica: boot name, start
        self.is_stale = True  # until the service itself has spoken
        self.invalid: dict[str, str] = {}  # replicas that the settings do not fit, and why

    def start_times_us(self) -> dict[str, int]:
        """By replica: when it started, µs; 0 for long past."""
        return {name: start for name, (_, start) in self._boots.items()}

    def apply(self, now: int, document: feed.EndpointListUpdate) -> i.EndpointsListed | None:
        """The event for the module, None where nothing is new. Raises Gap, Unsound."""
        if document.is_snapshot:
            self._believe(document)
        else:
            if document.incarnation != self.incarnation or document.since_version != self.version:
                raise EndpointListGapError(f"changes after {document.since_version}, held is {self.version}")
            if document.version == self.version:
                return None
        self.incarnation, self.version, self.is_stale = document.incarnation, document.version, False
        if document.is_snapshot:
            listed_now = {e.replica for e in document.endpoints}
            self.invalid = {name: why for name, why in self.invalid.items() if name in listed_now}
        told = [self._known(e) for e in document.endpoints]
        listed = {e.replica: e for e in told if e.phase != "gone"}
        gone = [e.replica for e in told if e.phase == "gone"]
        if document.is_snapshot:
            self.endpoints = listed
        else:
            self.endpoints |= listed
            for name in gone:
                self.endpoints.pop(name, None)
        if len(self._boots) > 2 * len(self.endpoints) + KEPT:
            self._boots = {name: boot for name, boot in self._boots.items() if name in self.endpoints}
        kind = i.EndpointListKind.SNAPSHOT if document.is_snapshot else i.EndpointListKind.DELTA
        entries = [
            e for e in told if (e.phase != "gone" or not document.is_snapshot) and e.zone in self._names.zones
        ]
        return i.EndpointsListed(kind, tuple(self._entry(now, e) for e in entries))

    def _believe(self, document: feed.EndpointListUpdate) -> None:
        """A roster that lost its memory answers with nothing, a copy that is behind with what was true once:
        the one took every replica from every relay, the other gave drained ones back."""
        if document.incarnation == self.incarnation and document.version < self.version:
            raise InconsistentEndpointListError(
                f"version {document.version} after {self.version} of one life; the later stands"
            )
        if not document.endpoints and self.endpoints:
            raise InconsistentEndpointListError(
                f"an empty list where {len(self.endpoints)} are known; that stands"
            )

    def _known(self, e: feed.EndpointRecord) -> feed.EndpointRecord:
        """An entry as far as the settings know what it says; refused with its list, it hid every drain."""
        why = ""
        if e.phase not in PHASES:
            why = f"phase {e.phase!r} is none, taken for draining"
            e = msgspec.structs.replace(e, phase="draining")
        if e.zone not in self._names.zones:
            why = f"zone {e.zone!r} is not in the settings, left out"
            e = msgspec.structs.replace(e, phase="gone")
        if why:
            self.invalid[e.replica] = why
        else:
            self.invalid.pop(e.replica, None)
        return e

    def load_cached(self, now: int, entries: tuple[feed.EndpointRecord, ...]) -> i.EndpointsListed:
        """The list as last held, at start. Its ages are as old as the file, so starts count as long past
        until the service tells the true ones."""
        self.endpoints = {e.replica: e for e in entries if e.zone in self._names.zones and e.phase in PHASES}
        listed = i.EndpointsListed(
            i.EndpointListKind.CACHED,
            tuple(replace(self._entry(now, e), started_us=0) for e in self.endpoints.values()),
        )
        self._boots.clear()
        return listed

    def _entry(self, now: int, e: feed.EndpointRecord) -> i.Endpoint:
        known = self._boots.get(e.replica)
        if known is None:
            started = 0 if e.age_us >= self._long_past else max(1, now - e.age_us)
        elif known[0] != e.incarnation:
            # Later than the last start, also where ages were rounded: a restart must show as one.
            started = max(1, now - e.age_us, known[1] + 1)
        else:
            started = known[1]
        self._boots[e.replica] = (e.incarnation, started)
        return i.Endpoint(
            self._names.replicas.intern(e.replica),
            self._names.zones[e.zone],
            self._names.kinds.intern(e.kind),
            e.cell,
            PHASES[e.phase],
            e.size,
            started,
        )
