"""The roster as this governor knows it: documents in, list events for the module out. Free of I/O.

Entries tell their age and a boot name, not a clock time, so neither end's clock can mislead the other; a
start is fixed, on this governor's clock, when its boot name is first seen.
"""

from __future__ import annotations

from dataclasses import replace

import msgspec

from gradehoist import interface as i
from gradehoist.identifiers import Names
from gradehoist.protocol import feed

KEPT = 1_000  # boots beyond those listed: one that flaps must not show as started anew
PHASES = {"ready": i.Phase.READY, "draining": i.Phase.DRAINING, "gone": i.Phase.GONE}


class Gap(Exception):
    """Changes that do not follow on what is held: the whole list is due."""


class Unsound(ValueError):
    """A list that can't be true: the one held stands."""


class RosterView:
    """`long_past` in µs: a start that long ago, when first heard of, is told as 0."""

    def __init__(self, names: Names, long_past: int) -> None:
        self._names, self._long_past = names, long_past
        self.life, self.version = "", 0
        self.entries: dict[str, feed.Replica] = {}
        self._boots: dict[str, tuple[str, int]] = {}  # by replica: boot name, start
        self.old = True  # until the service itself has spoken
        self.strange: dict[str, str] = {}  # replicas that the settings do not fit, and why

    def started(self) -> dict[str, int]:
        """By replica: when it started, µs; 0 for long past."""
        return {name: start for name, (_, start) in self._boots.items()}

    def take(self, now: int, document: feed.Roster) -> i.Listed | None:
        """The event for the module, None where nothing is new. Raises Gap, Unsound."""
        if document.whole:
            self._believe(document)
        else:
            if document.life != self.life or document.after != self.version:
                raise Gap(f"changes after {document.after}, held is {self.version}")
            if document.version == self.version:
                return None
        self.life, self.version, self.old = document.life, document.version, False
        if document.whole:
            listed_now = {e.replica for e in document.entries}
            self.strange = {name: why for name, why in self.strange.items() if name in listed_now}
        told = [self._known(e) for e in document.entries]
        listed = {e.replica: e for e in told if e.phase != "gone"}
        gone = [e.replica for e in told if e.phase == "gone"]
        if document.whole:
            self.entries = listed
        else:
            self.entries |= listed
            for name in gone:
                self.entries.pop(name, None)
        if len(self._boots) > 2 * len(self.entries) + KEPT:
            self._boots = {name: boot for name, boot in self._boots.items() if name in self.entries}
        kind = i.ListKind.COMPLETE if document.whole else i.ListKind.CHANGES
        entries = [
            e for e in told if (e.phase != "gone" or not document.whole) and e.zone in self._names.zones
        ]
        return i.Listed(kind, tuple(self._entry(now, e) for e in entries))

    def _believe(self, document: feed.Roster) -> None:
        """A roster that lost its memory answers with nothing, a copy that is behind with what was true once:
        the one took every replica from every relay, the other gave drained ones back."""
        if document.life == self.life and document.version < self.version:
            raise Unsound(f"version {document.version} after {self.version} of one life; the later stands")
        if not document.entries and self.entries:
            raise Unsound(f"an empty list where {len(self.entries)} are known; that stands")

    def _known(self, e: feed.Replica) -> feed.Replica:
        """An entry as far as the settings know what it says; refused with its list, it hid every drain."""
        why = ""
        if e.phase not in PHASES:
            why = f"phase {e.phase!r} is none, taken for draining"
            e = msgspec.structs.replace(e, phase="draining")
        if e.zone not in self._names.zones:
            why = f"zone {e.zone!r} is not in the settings, left out"
            e = msgspec.structs.replace(e, phase="gone")
        if why:
            self.strange[e.replica] = why
        else:
            self.strange.pop(e.replica, None)
        return e

    def saved(self, now: int, entries: tuple[feed.Replica, ...]) -> i.Listed:
        """The list as last held, at start. Its ages are as old as the file, so starts count as long past
        until the service tells the true ones."""
        self.entries = {e.replica: e for e in entries if e.zone in self._names.zones and e.phase in PHASES}
        listed = i.Listed(
            i.ListKind.SAVED, tuple(replace(self._entry(now, e), started=0) for e in self.entries.values())
        )
        self._boots.clear()
        return listed

    def _entry(self, now: int, e: feed.Replica) -> i.Entry:
        known = self._boots.get(e.replica)
        if known is None:
            started = 0 if e.age >= self._long_past else max(1, now - e.age)
        elif known[0] != e.boot:
            # Later than the last start, also where ages were rounded: a restart must show as one.
            started = max(1, now - e.age, known[1] + 1)
        else:
            started = known[1]
        self._boots[e.replica] = (e.boot, started)
        return i.Entry(
            self._names.replicas.number(e.replica),
            self._names.zones[e.zone],
            self._names.kinds.number(e.kind),
            e.cell,
            PHASES[e.phase],
            e.size,
            started,
        )
