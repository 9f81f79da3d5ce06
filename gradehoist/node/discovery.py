"""The discovery watch protocol, without I/O.

A watch is a chunked HTTP response without an end. Each line of its body is one JSON object; chunk boundaries
may fall anywhere. `endpoint_list` applies the updates to the endpoint list.
"""

from __future__ import annotations

import math
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

import msgspec

from gradehoist.interface import Phase
from gradehoist.node.errors import NodeError
from gradehoist.protocol import http
from gradehoist.protocol.http_parser import Parser

HEARTBEAT_PERIOD_US = 2_000_000  # discovery sends an empty line at this interval while nothing changes
MAX_LINE_BYTES = 16 << 20  # enough for a list of a hundred thousand replicas
MAX_TEXT_LENGTH = 128
MAX_NUMBER = 1e9
MAX_UNIX_TIME_MS = 1e14
STATUS_OK = 200
PHASES = {"active": Phase.READY, "leaving": Phase.DRAINING, "left": Phase.GONE}
RESERVED_CHARACTERS = frozenset(" ,:+=\r\n")  # separators in the push messages sent to proxies


class WatchLostError(NodeError):
    """The watch failed, and a new one has to be opened.

    Attributes:
        updates: The updates received before the failure. They are valid.
    """

    def __init__(self, reason: str, updates: Sequence[EndpointListUpdate] = ()) -> None:
        """Takes the reason and the updates received before the failure."""
        super().__init__(reason)
        self.updates = tuple(updates)


@dataclass(frozen=True, slots=True)
class DiscoveredEndpoint:
    """An endpoint as sent by discovery; a missing or malformed field is None."""

    replica: str
    address: str | None
    zone: str | None
    kind: str | None
    cell: int | None
    phase: Phase | None
    size: float | None
    started_us: int | None  # Unix time; 0 means long ago


@dataclass(frozen=True, slots=True)
class EndpointListUpdate:
    """A snapshot of the endpoint list, or a delta to the previous revision."""

    revision: int
    is_snapshot: bool
    endpoints: tuple[DiscoveredEndpoint, ...]


def parse_endpoint(entry: object) -> DiscoveredEndpoint | None:
    """Parses an endpoint field by field, because a malformed field must not hide a drain.

    Returns:
        The endpoint, or None if the replica's name is missing, too long or contains a character that a push
        message cannot carry.
    """
    if not isinstance(entry, dict):
        return None
    replica = _parse_text(entry.get("id"))
    if replica is None or not RESERVED_CHARACTERS.isdisjoint(replica):
        return None
    cell = _parse_number(entry.get("cell", 0), MAX_NUMBER)
    started_ms = _parse_number(entry.get("up_since_ms", 0), MAX_UNIX_TIME_MS)
    return DiscoveredEndpoint(
        replica=replica,
        address=_parse_text(entry.get("host_port")),
        zone=_parse_text(entry.get("locality")),
        kind=_parse_text(entry.get("flavor")),
        cell=None if cell is None else int(cell),
        phase=_parse_phase(entry.get("phase")),
        size=_parse_number(entry.get("size", 1.0), MAX_NUMBER),
        started_us=None if started_ms is None else round(started_ms * 1_000),
    )


def parse_update(document: object) -> EndpointListUpdate:
    """Parses one decoded line of the watch.

    Raises:
        ValueError: The line is not an endpoint list update.
    """
    if not isinstance(document, Mapping):
        raise ValueError("not an object")
    revision = document.get("revision")
    entries = document.get("members", [])
    if isinstance(revision, bool) or not isinstance(revision, int) or not isinstance(entries, list):
        raise ValueError("missing revision, or members is not a list")
    endpoints = [endpoint for endpoint in map(parse_endpoint, entries) if endpoint is not None]
    return EndpointListUpdate(
        revision=revision,
        is_snapshot=document.get("complete") is True,
        endpoints=tuple(endpoints),
    )


def _parse_number(value: object, maximum: float) -> float | None:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    return float(value) if math.isfinite(value) and 0 <= value <= maximum else None


def _parse_text(value: object) -> str | None:
    return value if isinstance(value, str) and 0 < len(value) <= MAX_TEXT_LENGTH else None


def _parse_phase(value: object) -> Phase | None:
    return PHASES.get(value) if isinstance(value, str) else None


class DiscoveryWatch:
    """The client side of one watch."""

    def __init__(self) -> None:
        """Creates a watch that expects the first byte of the response."""
        limits = http.Limits(max_body_bytes=MAX_LINE_BYTES)
        self._parser = Parser(http.Role.CLIENT, limits, stream_body=True)
        self._parser.expect_response("GET")
        self._line = bytearray()
        self.is_open = False

    @staticmethod
    def request(host: str, revision: int) -> bytes:
        """Returns the request that opens a watch for changes after `revision`."""
        return http.format_request("GET", f"/registry/instances?watch=1&from={revision}", host)

    @property
    def is_paused(self) -> bool:
        """Whether the last call stopped before all received bytes were parsed."""
        return self._parser.is_paused

    def receive(self, data: bytes, max_steps: int = sys.maxsize) -> list[EndpointListUpdate]:
        """Parses received bytes and returns the updates that they complete.

        After `max_steps` steps of the HTTP parser, parsing pauses; another call, with no data, resumes it.

        Raises:
            WatchLostError: The response is not a watch, has ended, or contains a malformed line.
        """
        try:
            events = self._parser.receive(data, max_steps)
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
            raise WatchLostError(f"line longer than {MAX_LINE_BYTES} bytes", updates)

    @staticmethod
    def _parse_line(line: bytes, updates: list[EndpointListUpdate]) -> EndpointListUpdate:
        try:
            return parse_update(msgspec.json.decode(line))
        except (msgspec.DecodeError, ValueError) as error:
            # Keep the updates before the malformed line: a drain among them would otherwise be delayed until
            # the next watch repeats it.
            raise WatchLostError(f"malformed line: {error}", updates) from None
