"""Discovery's watch without I/O: a chunked answer without end, one JSON object a line, whatever chunks."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from gradehoist.protocol import http

BEAT = 2_000_000  # an empty line comes as often while nothing changes
LINE = 16 << 20  # bytes of one object: a list of a hundred thousand replicas
PHASES = ("active", "leaving", "left")


class Lost(Exception):
    """The watch is of no further use: a new one is due. `found`: what it had told before that."""

    def __init__(self, why: str, found: Sequence[Change] = ()) -> None:
        super().__init__(why)
        self.found = tuple(found)


@dataclass(frozen=True, slots=True)
class Member:
    """One entry, as far as it can be read: None for what can't."""

    replica: str
    address: str | None
    zone: str | None
    kind: str | None
    cell: int | None
    phase: str | None
    size: float | None
    started: int | None  # Unix time, µs; 0: long ago


@dataclass(frozen=True, slots=True)
class Change:
    revision: int
    complete: bool
    members: tuple[Member, ...]


def _figure(value: object, most: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and 0 <= value <= most else None


def _text(value: object) -> str | None:
    return value if isinstance(value, str) and 0 < len(value) <= 128 else None


def member(entry: object) -> Member | None:
    """None for what names no replica. Field by field: what can't be read must not hide a drain."""
    if not isinstance(entry, dict) or (name := _text(entry.get("id"))) is None:
        return None
    if set(name) & set(" ,:+=\r\n"):
        return None  # it could not be written in an order
    phase, cell = entry.get("phase"), _figure(entry.get("cell", 0), 1e9)
    since = _figure(entry.get("up_since_ms", 0), 1e14)
    return Member(
        name,
        _text(entry.get("host_port")),
        _text(entry.get("locality")),
        _text(entry.get("flavor")),
        None if cell is None else int(cell),
        phase if phase in PHASES else None,
        _figure(entry.get("size", 1.0), 1e9),
        None if since is None else round(since * 1_000),
    )


def changes(document: object) -> Change:
    """Raises ValueError for what is no list of discovery."""
    if not isinstance(document, Mapping):
        raise ValueError("no object")
    revision, entries = document.get("revision"), document.get("members", [])
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(entries, list):
        raise ValueError("no revision, or no list of members")
    found = [m for m in map(member, entries) if m is not None]
    return Change(revision, document.get("complete") is True, tuple(found))


class Watch:
    """One watch. `receive` gives the changes completed; Lost where it can't go on."""

    def __init__(self) -> None:
        limits = http.Limits(body=LINE)
        self._parser, self._line = http.Parser(http.Role.CLIENT, limits, pieces=True), bytearray()
        self._parser.asked("GET")
        self.opened = False

    @staticmethod
    def request(host: str, revision: int) -> bytes:
        return http.request("GET", f"/registry/instances?watch=1&from={revision}", host)

    def receive(self, data: bytes) -> list[Change]:
        try:
            events = self._parser.receive(data)
        except http.ProtocolError as fault:
            raise Lost(fault.reason) from None
        found: list[Change] = []
        for event in events:
            match event:
                case http.Opened(200):
                    self.opened = True
                case http.Piece(data):
                    self._piece(data, found)
                case http.Opened(status) | http.Response(status):
                    raise Lost(f"status {status}, or the answer ended", found)
        return found

    def _piece(self, data: bytes, found: list[Change]) -> None:
        *lines, rest = data.split(b"\n")
        for line in lines:
            whole, self._line = bytes(self._line) + line, bytearray()
            if whole.strip():
                try:
                    found.append(changes(msgspec.json.decode(whole)))
                except (msgspec.DecodeError, ValueError) as fault:
                    # A drain before the spoilt line was lost with it, until the next watch had told it again.
                    raise Lost(f"a line that is no list: {fault}", found) from None
        self._line += rest
        if len(self._line) > LINE:
            raise Lost(f"a line of over {LINE} bytes", found)


class Held:
    """The list as held: what each change makes of it, as entries that are sure to be readable."""

    def __init__(self) -> None:
        self.revision = 0
        self.members: dict[str, Member] = {}
        self._watches: dict[int, int] = {}  # the open ones that have spoken, and the last revision of each
        self._behind = set[int]()  # those of them whose whole list was let pass
        self._told: dict[str, tuple[int, int]] = {}  # by member: the revision and the watch that told it last

    def take(self, change: Change, watch: int = 0) -> list[Member] | None:
        """The entries to be told, complete in every field but the address; None where nothing is new.

        A change that comes twice, over two watches, is let pass but for its drains and exits: no order of
        arrival may undo one or hide one. So is a whole list that is older than what another open watch told:
        the one that brings it is behind. Where no other is open, discovery began anew, and it is taken."""
        ahead = max((r for w, r in self._watches.items() if w != watch), default=change.revision)
        old = (
            change.revision < min(ahead, self.revision)
            if change.complete
            else (change.revision <= self.revision)
        )
        if watch:
            self._watches[watch] = change.revision
            if change.complete and old:
                self._behind.add(watch)
            elif change.complete or change.revision >= self.revision:
                self._behind.discard(watch)
        told = []
        for m in change.members:
            known = self.members.get(m.replica)
            if old:
                # A drain that another watch has told to be over is none; over the same watch, whatever its
                # revision, it is: one that was behind drained a replica for good that had come back.
                at, by = self._told.get(m.replica, (0, 0))
                if (
                    m.phase not in ("leaving", "left")
                    or not known
                    or known.phase != "active"
                    or m.started not in (None, known.started)
                    or (change.revision < at and by != watch)
                ):
                    continue
            if (full := self._fill(m, known)) is not None:
                told.append(full)
        if not old:
            self.revision = change.revision
        self._told |= {m.replica: (change.revision, watch) for m in told}
        if change.complete and not old:
            self._told = {m.replica: self._told[m.replica] for m in told}
            self.members = {m.replica: m for m in told if m.phase != "left"}
            return told
        if old and not told:
            return None
        for m in told:
            if m.phase == "left":
                self.members.pop(m.replica, None)
                self._told.pop(m.replica, None)
            else:
                self.members[m.replica] = m
        return told

    def ended(self, watch: int) -> list[int]:
        """A watch has ended. Those whose whole list was let pass for it, and that have not come up with what
        is held, are to be opened anew: what they say first is taken then, wherever it stands."""
        self._watches.pop(watch, None)
        self._behind.discard(watch)
        return [] if any(r >= self.revision for r in self._watches.values()) else sorted(self._behind)

    @staticmethod
    def _fill(m: Member, known: Member | None) -> Member | None:
        """What can't be read stays as it was known; an entry of no known place is left out."""
        zone = m.zone if m.zone is not None else known.zone if known else None
        if zone is None:
            return None
        phase = m.phase or "leaving"  # of an unknown phase: nothing new goes there, and what it has may end
        return Member(
            m.replica,
            m.address or (known.address if known else None),
            zone,
            m.kind or (known.kind if known else "") or "",
            m.cell if m.cell is not None else (known.cell if known else 0) or 0,
            phase,
            m.size if m.size is not None else (known.size if known else 1.0),
            m.started if m.started is not None else (known.started if known else 0) or 0,
        )
