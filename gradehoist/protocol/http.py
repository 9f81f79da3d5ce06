"""HTTP/1.1 messages (RFC 9110, RFC 9112) as a state machine without I/O, for both ends of a connection.

`Parser.receive(data)` returns the messages completed by the bytes so far; a peer's fault raises
`ProtocolError` with the status to answer and ends the parser. Framing that two readers could take in two
ways (RFC 9112, 6.3 and 11.2) is refused rather than repaired, as repairing it is what request smuggling uses.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

Headers = tuple[tuple[str, str], ...]

_FIELDS = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*")
_FIELD = re.compile(r"([^:\r]+):[ \t]*([^\r]*)\r\n")  # within what _FIELDS has let pass
_REQUEST = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(\d)\.(\d)")
_STATUS = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?")
_CHUNK = re.compile(rb"([0-9A-Fa-f]{1,8})[\t ]*(?:;[\t\x20-\x7e\x80-\xff]*)?")
_LENGTH = re.compile(r"[0-9]{1,15}")
_CLEAN = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


class ProtocolError(Exception):
    """The peer's fault; `status` is what a server answers before it closes."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status, self.reason = status, reason


@dataclass(frozen=True, slots=True)
class Limits:
    """Largest sizes taken in, in bytes but for `fields`; beyond them 414, 431 or 413 is due."""

    max_line_bytes: int = 8_192
    max_head_bytes: int = 16_384
    max_fields: int = 64
    max_body_bytes: int = 4_194_304


@dataclass(frozen=True, slots=True)
class Request:
    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Response:
    status: int
    reason: str
    headers: Headers
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class ContinueExpected:
    """A client waits for `100 Continue` before it sends the body (RFC 9110, 10.1.1)."""


@dataclass(frozen=True, slots=True)
class ResponseStarted:
    """The head of an answer whose body is handed on in pieces."""

    status: int


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """One chunk of such a body."""

    data: bytes


Event = Request | Response | ContinueExpected | ResponseStarted | BodyChunk


class Role(Enum):
    SERVER = "server"
    CLIENT = "client"


class _State(Enum):
    HEAD = "head"
    BODY = "body"
    CHUNK_SIZE = "chunk size"
    CHUNK = "chunk"
    TRAILER = "trailer"
    UNTIL_CLOSE = "until close"
    FAILED = "failed"


def get_header(headers: Headers, name: str) -> str | None:
    """The value of a field, its lines joined by commas (RFC 9110, 5.3); `name` in lower case."""
    found = [value for key, value in headers if key == name]
    return ", ".join(found) if found else None


class Parser:
    """One direction of one connection. A client says with `asked` what its next answer belongs to. With
    `pieces` it gets the head and each chunk of a chunked answer as they come, for bodies without end."""

    def __init__(self, role: Role, limits: Limits | None = None, stream_body: bool = False) -> None:
        self.role, self.limits, self._pieces = role, limits or Limits(), stream_body
        self._buffer, self._at, self._scanned = bytearray(), 0, 0
        self._state, self._need = _State.HEAD, 0
        self._body = bytearray()
        self._start: tuple[str, str, Headers, bool] = ("", "", (), True)
        self._known: dict[str, str] = {}
        self._twice = False
        self._methods: list[str] = []

    def expect_response(self, method: str) -> None:
        """Client only: a request was sent. Answers come in the order of the requests."""
        self._methods.append(method)

    @property
    def is_between_messages(self) -> bool:
        """No message is under way: the peer may close here without loss."""
        return self._state is _State.HEAD and len(self._buffer) == self._at

    def receive(self, data: bytes) -> list[Event]:
        """Raises `ProtocolError`; after that nothing more is taken. Bytes of later messages are kept."""
        if self._state is _State.FAILED:
            raise ProtocolError(400, "bytes after a failed message")
        self._buffer += data
        events: list[Event] = []
        try:
            while self._step(events):
                pass
        except ProtocolError:
            self._state = _State.FAILED
            if events:  # what was complete before the fault stays valid; the fault shows at the next call
                return events
            raise
        if self._at:
            del self._buffer[: self._at]
            self._scanned -= self._at
            self._at = 0
        return events

    def receive_eof(self) -> list[Event]:
        """The peer closed. Raises `ProtocolError` where that cuts a message."""
        if self._state is _State.UNTIL_CLOSE:
            return [self._finish(bytes(self._body))]
        if not self.is_between_messages:
            raise ProtocolError(400, "closed within a message")
        return []

    def _step(self, events: list[Event]) -> bool:
        """One move of the machine; False when more bytes are needed."""
        match self._state:
            case _State.HEAD:
                return self._head(events)
            case _State.BODY:
                if len(self._buffer) - self._at < self._need:
                    return False
                events.append(self._finish(self._take(self._need)))
            case _State.CHUNK_SIZE:
                line = self._line()
                if line is None:
                    return False
                found = _CHUNK.fullmatch(line)
                if not found:
                    raise ProtocolError(400, "a chunk size that is no hexadecimal number")
                self._need = int(found[1], 16)
                if len(self._body) + self._need > self.limits.max_body_bytes:
                    raise ProtocolError(413, f"a body of over {self.limits.max_body_bytes} bytes")
                self._state = _State.CHUNK if self._need else _State.TRAILER
                self._trailer = 0
            case _State.CHUNK:
                if len(self._buffer) - self._at < self._need + 2:
                    return False
                piece = self._take(self._need)
                if self._pieces:
                    events.append(BodyChunk(piece))
                else:
                    self._body += piece
                if self._take(2) != b"\r\n":
                    raise ProtocolError(400, "a chunk longer than its size")
                self._state = _State.CHUNK_SIZE
            case _State.TRAILER:
                line = self._line()
                if line is None:
                    return False
                if line:
                    self._trailer += 1
                    if self._trailer > self.limits.max_fields or not _FIELDS.fullmatch(line + b"\r\n"):
                        raise ProtocolError(400, "a trailer that is no list of fields")
                else:
                    events.append(self._finish(bytes(self._body)))
            case _State.UNTIL_CLOSE:
                self._body += self._take(len(self._buffer) - self._at)
                if len(self._body) > self.limits.max_body_bytes:
                    raise ProtocolError(413, f"a body of over {self.limits.max_body_bytes} bytes")
                return False
        return self._state is not _State.FAILED

    def _take(self, size: int) -> bytes:
        piece = bytes(self._buffer[self._at : self._at + size])
        self._at += size
        self._scanned = self._at
        return piece

    def _line(self) -> bytes | None:
        at = self._buffer.find(b"\n", max(self._scanned, self._at))
        if at < 0 or at - self._at > self.limits.max_line_bytes:
            if len(self._buffer) - self._at > self.limits.max_line_bytes:
                raise ProtocolError(
                    431, f"a line of over {self.limits.max_line_bytes} bytes in a chunked body"
                )
            self._scanned = len(self._buffer)
            return None
        line = self._take(at + 1 - self._at)
        if line[-2:-1] != b"\r":
            raise ProtocolError(400, "a line that ends without a carriage return")
        return line[:-2]

    def _head(self, events: list[Event]) -> bool:
        buffer = self._buffer
        if self.role is Role.SERVER and buffer.startswith(b"\r\n", self._at):
            self._take(2)  # an empty line before a request is let pass (RFC 9112, 2.2)
            if buffer.startswith(b"\r\n", self._at):
                raise ProtocolError(400, "empty lines where a request is due")
        at = buffer.find(b"\r\n\r\n", max(self._at, self._scanned - 3))
        size = (at if at >= 0 else len(buffer)) - self._at
        if size > self.limits.max_head_bytes or at < 0:
            first = buffer.find(b"\n", self._at, self._at + self.limits.max_line_bytes)
            if first < 0 and size > self.limits.max_line_bytes:
                raise ProtocolError(414, f"a first line of over {self.limits.max_line_bytes} bytes")
            if size > self.limits.max_head_bytes:
                raise ProtocolError(431, f"a head of over {self.limits.max_head_bytes} bytes")
            if first > self._at and buffer[first - 1] != 13:
                raise ProtocolError(400, "a line that ends without a carriage return")
            self._scanned = len(buffer)
            return False
        head = self._take(at + 4 - self._at)
        line, _, block = head.partition(b"\r\n")
        block = block[:-2]
        if len(line) > self.limits.max_line_bytes:
            raise ProtocolError(414, f"a first line of over {self.limits.max_line_bytes} bytes")
        if not _FIELDS.fullmatch(block):
            raise ProtocolError(400, "a header line that is no field")
        pairs = _FIELD.findall(block.decode("latin-1"))
        if len(pairs) > self.limits.max_fields:
            raise ProtocolError(431, f"over {self.limits.max_fields} header fields")
        headers = tuple([(name.lower(), value.rstrip(" \t")) for name, value in pairs])
        self._known = dict(headers)
        self._twice = len(self._known) < len(headers)  # then fields that must stand once are counted
        if self.role is Role.SERVER:
            self._request(line, headers, events)
        else:
            self._response(line, headers, events)
        if self._state is _State.HEAD:
            events.append(self._finish(b""))
        return True

    def _request(self, line: bytes, headers: Headers, events: list[Event]) -> None:
        found = _REQUEST.fullmatch(line)
        if not found:
            raise ProtocolError(400, "a first line that is no request")
        if found[3] != b"1":
            raise ProtocolError(505, "another major version of HTTP than 1")
        modern = found[4] != b"0"
        if modern and ("host" not in self._known or self._number(headers, "host") != 1):
            raise ProtocolError(400, "not just one Host field")
        self._start = (found[1].decode(), found[2].decode(), headers, self._stays(headers, modern))
        self._frame(headers, modern, to_close=False)
        expect = self._known.get("expect")
        if expect is not None and self._state is not _State.HEAD:
            if expect.lower() != "100-continue":
                raise ProtocolError(417, "an expectation other than 100-continue")
            if len(self._buffer) == self._at:
                events.append(ContinueExpected())

    def _response(self, line: bytes, headers: Headers, events: list[Event]) -> None:
        found = _STATUS.fullmatch(line)
        if not found or found[1] != b"1":
            raise ProtocolError(502, "a first line that is no answer")
        status, modern = int(found[3]), found[2] != b"0"
        reason = (found[4] or b"").decode("latin-1")
        self._start = (str(status), reason, headers, self._stays(headers, modern))
        method = self._methods[0] if self._methods else ""
        if status >= 200 or status == 101:
            if not self._methods:
                raise ProtocolError(502, "an answer that nothing asked for")
            self._methods.pop(0)
        bare = status < 200 or status in (204, 304) or method == "HEAD"
        if not bare:
            self._frame(headers, modern, to_close=True)
            if self._pieces and self._state is _State.CHUNK_SIZE:
                events.append(ResponseStarted(status))

    def _number(self, headers: Headers, name: str) -> int:
        """How often a field stands that is known to stand."""
        return sum([key == name for key, _ in headers]) if self._twice else 1

    def _stays(self, headers: Headers, modern: bool) -> bool:
        if "connection" not in self._known:
            return modern
        words = (get_header(headers, "connection") or "").lower().split(",")
        options = {word.strip() for word in words}
        return "close" not in options if modern else "keep-alive" in options

    def _frame(self, headers: Headers, modern: bool, to_close: bool) -> None:
        length, coding = self._known.get("content-length"), self._known.get("transfer-encoding")
        if coding is not None:
            if length is not None or not modern:
                raise ProtocolError(400, "a length and a transfer coding, or a coding in HTTP/1.0")
            if coding.lower() != "chunked" or self._number(headers, "transfer-encoding") != 1:
                raise ProtocolError(501, "a transfer coding other than chunked")
            self._body.clear()
            self._state = _State.CHUNK_SIZE
        elif length is not None:
            if not _LENGTH.fullmatch(length) or self._number(headers, "content-length") != 1:
                raise ProtocolError(400, "a content length that is not one number")
            self._need = int(length)
            if self._need > self.limits.max_body_bytes:
                raise ProtocolError(413, f"a body of over {self.limits.max_body_bytes} bytes")
            self._state = _State.BODY if self._need else _State.HEAD
        elif to_close:
            self._body.clear()
            self._state = _State.UNTIL_CLOSE
            self._start = (*self._start[:3], False)

    def _finish(self, body: bytes) -> Event:
        first, second, headers, stays = self._start
        self._state = _State.HEAD
        if self.role is Role.SERVER:
            return Request(first, second, headers, body, stays)
        return Response(int(first), second, headers, body, stays)


REASON_PHRASES = {
    100: "Continue", 200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 410: "Gone",
    413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed", 422: "Unprocessable Content",
    429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}  # fmt: skip


def _fields(headers: Headers) -> str:
    for name, value in headers:
        if not _CLEAN.fullmatch(value) or not name:
            raise ValueError(f"a header field {name!r} that would not stay on its line")
    return "".join([f"{name}: {value}\r\n" for name, value in headers])


def format_response(status: int, body: bytes = b"", headers: Headers = (), keep_alive: bool = True) -> bytes:
    """A whole answer with its length stated. Raises ValueError for a field that would break its line."""
    close = "" if keep_alive else "connection: close\r\n"
    length = "" if status < 200 or status == 204 else f"content-length: {len(body)}\r\n"
    head = (
        f"HTTP/1.1 {status} {REASON_PHRASES.get(status, 'Status')}\r\n{_fields(headers)}{close}{length}\r\n"
    )
    return head.encode("latin-1") + body


def format_request(method: str, target: str, host: str, body: bytes = b"", headers: Headers = ()) -> bytes:
    """A whole request with its length stated where it has a body. Raises ValueError as `response` does."""
    length = f"content-length: {len(body)}\r\n" if body or method in ("POST", "PUT") else ""
    head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n{_fields(headers)}{length}\r\n"
    return head.encode("latin-1") + body
