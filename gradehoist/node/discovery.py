"""The discovery watch protocol, without I/O.

A watch is a chunked HTTP response that does not end; each line of its body is one JSON object, cut into
chunks anywhere. What the updates do to the endpoint list is the concern of `endpoint_list`.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from gradehoist.interface import Phase
from gradehoist.node.errors import NodeError
from gradehoist.protocol import http
from gradehoist.protocol.http_parser import Parser

HEARTBEAT_PERIOD_US = 2_000_000  # discovery sends an empty line as often while nothing changes
MAX_LINE_BYTES = 16 << 20  # a list of a hundred thousand replicas
MAX_TEXT_LENGTH = 128
MAX_FIGURE = 1e9
MAX_UNIX_TIME_MS = 1e14
STATUS_OK = 200
PHASES = {"active": Phase.READY, "leaving": Phase.DRAINING, "left": Phase.GONE}
RESERVED_CHARACTERS = frozenset(" ,:+=\r\n")  # they separate the words of an order on a proxy's stream


class WatchLostError(NodeError):
    """The watch is of no further use, and a new one is to be opened.

    Attributes:
        updates: Those completed before the failure; they are valid.
    """

    def __init__(self, reason: str, updates: Sequence[EndpointListUpdate] = ()) -> None:
        """Says why, and which updates came before."""
        super().__init__(reason)
        self.updates = tuple(updates)


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """One endpoint as discovery sent it; a field that is missing or malformed is None."""

    replica: str
    address: str | None
    zone: str | None
    kind: str | None
    cell: int | None
    phase: Phase | None
    size: float | None
    started_us: int | None  # Unix time; 0: long ago


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A complete snapshot of the endpoint list, or a delta on the revision before."""

    revision: int
    is_snapshot: bool
    endpoints: tuple[DiscoveredEndpoint, ...]


def parse_endpoint(entry: object) -> DiscoveredEndpoint | None:
    """Reads an endpoint field by field, as a malformed field must not hide a drain.

    Returns:
        None where no replica is named, or by a name that can't be written in an order.
    """
    if not isinstance(entry, dict):
        return None
    replica = _parse_text(entry.get("id"))
    if replica is None or not RESERVED_CHARACTERS.isdisjoint(replica):
        return None
    cell = _parse_figure(entry.get("cell", 0), MAX_FIGURE)
    started_ms = _parse_figure(entry.get("up_since_ms", 0), MAX_UNIX_TIME_MS)
    return DiscoveredEndpoint(
        replica=replica,
        address=_parse_text(entry.get("host_port")),
        zone=_parse_text(entry.get("locality")),
        kind=_parse_text(entry.get("flavor")),
        cell=None if cell is None else int(cell),
        phase=_parse_phase(entry.get("phase")),
        size=_parse_figure(entry.get("size", 1.0), MAX_FIGURE),
        started_us=None if started_ms is None else round(started_ms * 1_000),
    )


def parse_update(document: object) -> EndpointListUpdate:
    """Reads one decoded line of the watch.

    Raises:
        ValueError: It is not an update of an endpoint list.
    """
    if not isinstance(document, Mapping):
        raise ValueError("no object")
    revision = document.get("revision")
    entries = document.get("members", [])
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(entries, list):
        raise ValueError("no revision, or no list of members")
    endpoints = [endpoint for endpoint in map(parse_endpoint, entries) if endpoint is not None]
    return EndpointListUpdate(
        revision=revision,
        is_snapshot=document.get("complete") is True,
        endpoints=tuple(endpoints),
    )


def _parse_figure(value: object, maximum: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and 0 <= value <= maximum else None


def _parse_text(value: object) -> str | None:
    return value if isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH else None


def _parse_phase(value: object) -> Phase | None:
    return PHASES.get(value) if isinstance(value, str) else None


class DiscoveryWatch:
    """The client's end of one watch."""

    def __init__(self) -> None:
        """Starts before the first byte of the response."""
        limits = http.Limits(max_body_bytes=MAX_LINE_BYTES)
        self._parser = Parser(http.Role.CLIENT, limits, stream_body=True)
        self._parser.expect_response("GET")
        self._line = bytearray()
        self.is_open = False

    @staticmethod
    def request(host: str, revision: int) -> bytes:
        """The request that opens the watch and asks for what is newer than `revision`."""
        return http.format_request("GET", f"/registry/instances?watch=1&from={revision}", host)

    def receive(self, data: bytes) -> list[EndpointListUpdate]:
        """Takes received bytes and returns the updates that they complete.

        Raises:
            WatchLostError: The response is no watch, has ended, or holds a malformed line.
        """
        try:
            events = self._parser.receive(data)
        except http.ProtocolError as error:
            raise WatchLostError(error.reason) from None
        updates: list[EndpointListUpdate] = []
        for event in events:
            match event:
                case http.ResponseStarted(status) if status == STATUS_OK:
                    self.is_open = True
                case http.BodyChunk(chunk):
                    self._receive_chunk(chunk, updates)
                case http.ResponseStarted(status) | http.Response(status):
                    raise WatchLostError(f"status {status}, or the response ended", updates)
        return updates

    def _receive_chunk(self, chunk: bytes, updates: list[EndpointListUpdate]) -> None:
        *ends, rest = chunk.split(b"\n")
        for end in ends:
            line = bytes(self._line) + end
            self._line.clear()
            if line.strip():
                updates.append(self._parse_line(line, updates))
        self._line += rest
        if len(self._line) > MAX_LINE_BYTES:
            raise WatchLostError(f"a line of over {MAX_LINE_BYTES} bytes", updates)

    @staticmethod
    def _parse_line(line: bytes, updates: list[EndpointListUpdate]) -> EndpointListUpdate:
        try:
            return parse_update(msgspec.json.decode(line))
        except (msgspec.DecodeError, ValueError) as error:
            # Without the updates before it, a drain was lost until the next watch had repeated it.
            raise WatchLostError(f"a malformed line: {error}", updates) from None
