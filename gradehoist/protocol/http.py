"""HTTP/1.1 messages (RFC 9110, RFC 9112): types, limits, errors and encoding.

`gradehoist.protocol.http_parser` parses them; `gradehoist.net` has the connections.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from enum import Enum

Headers = tuple[tuple[str, str], ...]

FIRST_FINAL_STATUS = 200  # lower statuses are those of interim responses
NO_CONTENT = 204
_FIELD_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")
_METHODS_WITH_BODY = ("POST", "PUT")

REASON_PHRASES = {
    100: "Continue", 200: "OK", 204: "No Content", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 409: "Conflict", 410: "Gone",
    413: "Content Too Large", 414: "URI Too Long", 417: "Expectation Failed", 422: "Unprocessable Content",
    429: "Too Many Requests", 431: "Request Header Fields Too Large", 500: "Internal Server Error",
    501: "Not Implemented", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
    505: "HTTP Version Not Supported",
}  # fmt: skip


class ProtocolError(Exception):
    """The peer violated the protocol; a server responds with `status` before it closes the connection."""

    def __init__(self, status: int, reason: str) -> None:
        """Takes the status and the reason for the response."""
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class Limits:
    """Size limits of accepted messages; larger ones are rejected with status 414, 431 or 413."""

    max_line_bytes: int = 8_192
    max_head_bytes: int = 16_384
    max_fields: int = 64
    max_body_bytes: int = 4_194_304


@dataclass(frozen=True, slots=True)
class Request:
    """A complete request; header field names are in lower case."""

    method: str
    target: str
    headers: Headers
    body: bytes
    keep_alive: bool


@dataclass(frozen=True, slots=True)
class Response:
    """A complete response; header field names are in lower case."""

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
    """The head of a response with a chunked body that is delivered as `BodyChunk` events."""

    status: int


@dataclass(frozen=True, slots=True)
class BodyChunk:
    """One chunk of a streamed response body."""

    data: bytes


Event = Request | Response | ContinueExpected | ResponseStarted | BodyChunk


class Role(Enum):
    """The side of the connection that parses: a server parses requests, a client responses."""

    SERVER = "server"
    CLIENT = "client"


def get_header(headers: Headers, name: str) -> str | None:
    """Returns a field's value, or None; repeated fields are joined by commas (RFC 9110, 5.3).

    `name` is in lower case.
    """
    values = [value for key, value in headers if key == name]
    return ", ".join(values) if values else None


def format_response(status: int, body: bytes = b"", headers: Headers = (), keep_alive: bool = True) -> bytes:
    """Encodes a complete response, with a content length unless the status is interim or 204.

    Raises:
        ValueError: A header field has an empty name or an invalid value, such as one with a line break.
    """
    has_length = status >= FIRST_FINAL_STATUS and status != NO_CONTENT
    length = f"content-length: {len(body)}\r\n" if has_length else ""
    close = "" if keep_alive else "connection: close\r\n"
    reason = REASON_PHRASES.get(status, "Status")
    head = f"HTTP/1.1 {status} {reason}\r\n{_format_fields(headers)}{close}{length}\r\n"
    return head.encode("latin-1") + body


def format_request(method: str, target: str, host: str, body: bytes = b"", headers: Headers = ()) -> bytes:
    """Encodes a complete request, with a content length if it has a body or its method is POST or PUT.

    Raises:
        ValueError: A header field has an empty name or an invalid value, such as one with a line break.
    """
    has_length = bool(body) or method in _METHODS_WITH_BODY
    length = f"content-length: {len(body)}\r\n" if has_length else ""
    head = f"{method} {target} HTTP/1.1\r\nhost: {host}\r\n{_format_fields(headers)}{length}\r\n"
    return head.encode("latin-1") + body


def _format_fields(headers: Headers) -> str:
    for name, value in headers:
        if not name or not _FIELD_VALUE.fullmatch(value):
            raise ValueError(f"header field {name!r} has an empty name or an invalid value")
    return "".join([f"{name}: {value}\r\n" for name, value in headers])
