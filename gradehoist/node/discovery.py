"""Discovery's watch without I/O: a chunked answer without end, one JSON object a line, whatever chunks."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from gradehoist.protocol import http
from gradehoist.protocol.http_parser import Parser

HEARTBEAT_PERIOD_US = 2_000_000  # an empty line comes as often while nothing changes
MAX_LINE_BYTES = 16 << 20  # bytes of one object: a list of a hundred thousand replicas
PHASES = ("active", "leaving", "left")


class WatchLostError(Exception):
    """The watch is of no further use: a new one is due. `found`: what it had told before that."""

    def __init__(self, why: str, found: Sequence[EndpointListUpdate] = ()) -> None:
        super().__init__(why)
        self.updates = tuple(found)


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One entry, as far as it can be read: None for what can't."""

    replica: str
    address: str | None
    zone: str | None
    kind: str | None
    cell: int | None
    phase: str | None
    size: float | None
    started_us: int | None  # Unix time, µs; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    revision: int
    is_snapshot: bool
    endpoints: tuple[DiscoveredEndpoint, ...]


def _figure(value: object, most: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and 0 <= value <= most else None


def _text(value: object) -> str | None:
    return value if isinstance(value, str) and 0 < len(value) <= 128 else None


def parse_endpoint(entry: object) -> DiscoveredEndpoint | None:
    """None for what names no replica. Field by field: what can't be read must not hide a drain."""
    if not isinstance(entry, dict) or (name := _text(entry.get("id"))) is None:
        return None
    if set(name) & set(" ,:+=\r\n"):
        return None  # it could not be written in an order
    phase, cell = entry.get("phase"), _figure(entry.get("cell", 0), 1e9)
    since = _figure(entry.get("up_since_ms", 0), 1e14)
    return DiscoveredEndpoint(
        name,
        _text(entry.get("host_port")),
        _text(entry.get("locality")),
        _text(entry.get("flavor")),
        None if cell is None else int(cell),
        phase if phase in PHASES else None,
        _figure(entry.get("size", 1.0), 1e9),
        None if since is None else round(since * 1_000),
    )


def parse_update(document: object) -> EndpointListUpdate:
    """Raises ValueError for what is no list of discovery."""
    if not isinstance(document, Mapping):
        raise ValueError("no object")
    revision, entries = document.get("revision"), document.get("members", [])
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(entries, list):
        raise ValueError("no revision, or no list of members")
    found = [m for m in map(parse_endpoint, entries) if m is not None]
    return EndpointListUpdate(revision, document.get("complete") is True, tuple(found))


class DiscoveryWatch:
    """One watch. `receive` gives the changes completed; Lost where it can't go on."""

    def __init__(self) -> None:
        limits = http.Limits(max_body_bytes=MAX_LINE_BYTES)
        self._parser, self._line = Parser(http.Role.CLIENT, limits, stream_body=True), bytearray()
        self._parser.expect_response("GET")
        self.is_open = False

    @staticmethod
    def request(host: str, revision: int) -> bytes:
        return http.format_request("GET", f"/registry/instances?watch=1&from={revision}", host)

    def receive(self, data: bytes) -> list[EndpointListUpdate]:
        try:
            events = self._parser.receive(data)
        except http.ProtocolError as fault:
            raise WatchLostError(fault.reason) from None
        found: list[EndpointListUpdate] = []
        for event in events:
            match event:
                case http.ResponseStarted(200):
                    self.is_open = True
                case http.BodyChunk(data):
                    self._piece(data, found)
                case http.ResponseStarted(status) | http.Response(status):
                    raise WatchLostError(f"status {status}, or the answer ended", found)
        return found

    def _piece(self, data: bytes, found: list[EndpointListUpdate]) -> None:
        *lines, rest = data.split(b"\n")
        for line in lines:
            whole, self._line = bytes(self._line) + line, bytearray()
            if whole.strip():
                try:
                    found.append(parse_update(msgspec.json.decode(whole)))
                except (msgspec.DecodeError, ValueError) as fault:
                    # A drain before the spoilt line was lost with it, until the next watch had told it again.
                    raise WatchLostError(f"a line that is no list: {fault}", found) from None
        self._line += rest
        if len(self._line) > MAX_LINE_BYTES:
            raise WatchLostError(f"a line of over {MAX_LINE_BYTES} bytes", found)


class EndpointList:
    """The list as held: what each change makes of it, as entries that are sure to be readable."""

    def __init__(self) -> None:
        self.revision = 0
        self.endpoints: dict[str, DiscoveredEndpoint] = {}
        self._watch_revisions: dict[
            int, int
        ] = {}  # the open ones that have spoken, and the last revision of each
        self._stale_watches = set[int]()  # those of them whose whole list was let pass
        self._last_updates: dict[
            str, tuple[int, int]
        ] = {}  # by member: the revision and the watch that told it last

    def apply_update(self, update: EndpointListUpdate, watch: int = 0) -> list[DiscoveredEndpoint] | None:
        """The entries to be told, complete in every field but the address; None where nothing is new.

        A change that comes twice, over two watches, is let pass but for its drains and exits: no order of
        arrival may undo one or hide one. So is a whole list that is older than what another open watch told:
        the one that brings it is behind. Where no other is open, discovery began anew, and it is taken."""
        ahead = max((r for w, r in self._watch_revisions.items() if w != watch), default=update.revision)
        old = (
            update.revision < min(ahead, self.revision)
            if update.is_snapshot
            else (update.revision <= self.revision)
        )
        if watch:
            self._watch_revisions[watch] = update.revision
            if update.is_snapshot and old:
                self._stale_watches.add(watch)
            elif update.is_snapshot or update.revision >= self.revision:
                self._stale_watches.discard(watch)
        told = []
        for m in update.endpoints:
            known = self.endpoints.get(m.replica)
            if old:
                # A drain that another watch has told to be over is none; over the same watch, whatever its
                # revision, it is: one that was behind drained a replica for good that had come back.
                at, by = self._last_updates.get(m.replica, (0, 0))
                if (
                    m.phase not in ("leaving", "left")
                    or not known
                    or known.phase != "active"
                    or m.started_us not in (None, known.started_us)
                    or (update.revision < at and by != watch)
                ):
                    continue
            if (full := self._fill(m, known)) is not None:
                told.append(full)
        if not old:
            self.revision = update.revision
        self._last_updates |= {m.replica: (update.revision, watch) for m in told}
        if update.is_snapshot and not old:
            self._last_updates = {m.replica: self._last_updates[m.replica] for m in told}
            self.endpoints = {m.replica: m for m in told if m.phase != "left"}
            return told
        if old and not told:
            return None
        for m in told:
            if m.phase == "left":
                self.endpoints.pop(m.replica, None)
                self._last_updates.pop(m.replica, None)
            else:
                self.endpoints[m.replica] = m
        return told

    def end_watch(self, watch: int) -> list[int]:
        """A watch has ended. Those whose whole list was let pass for it, and that have not come up with what
        is held, are to be opened anew: what they say first is taken then, wherever it stands."""
        self._watch_revisions.pop(watch, None)
        self._stale_watches.discard(watch)
        return (
            []
            if any(r >= self.revision for r in self._watch_revisions.values())
            else sorted(self._stale_watches)
        )

    @staticmethod
    def _fill(m: DiscoveredEndpoint, known: DiscoveredEndpoint | None) -> DiscoveredEndpoint | None:
        """What can't be read stays as it was known; an entry of no known place is left out."""
        zone = m.zone if m.zone is not None else known.zone if known else None
        if zone is None:
            return None
        phase = m.phase or "leaving"  # of an unknown phase: nothing new goes there, and what it has may end
        return DiscoveredEndpoint(
            m.replica,
            m.address or (known.address if known else None),
            zone,
            m.kind or (known.kind if known else "") or "",
            m.cell if m.cell is not None else (known.cell if known else 0) or 0,
            phase,
            m.size if m.size is not None else (known.size if known else 1.0),
            m.started_us if m.started_us is not None else (known.started_us if known else 0) or 0,
        )
