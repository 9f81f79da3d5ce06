"""Parses the heads of HTTP/1.1 messages: start lines, header fields and body framing.

Ambiguous framing (RFC 9112, 6.3 and 11.2) is rejected rather than repaired, because such repairs make request
smuggling possible.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from gradehoist.protocol.http import Headers, Limits, ProtocolError

_FIELD_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*")
_FIELD = re.compile(r"([^:\r]+):[ \t]*([^\r]*)\r\n")  # applied only to text that _FIELD_LINES matches
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(\d)\.(\d)")
_STATUS_LINE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")


@dataclass(slots=True)
class MessageHead:
    """The head of a message; `fields` has the last value of each field name."""

    start_line: bytes
    headers: Headers
    fields: dict[str, str]
    is_http_1_1: bool = True  # set when the start line is parsed; False for HTTP/1.0

    def is_single(self, name: str) -> bool:
        """Whether a field that is present occurs exactly once."""
        if len(self.fields) == len(self.headers):
            return True
        return sum([key == name for key, _ in self.headers]) == 1

    def is_persistent(self) -> bool:
        """Whether the connection stays open after this message (RFC 9112, 9.3)."""
        if "connection" not in self.fields:
            return self.is_http_1_1
        values = [value for key, value in self.headers if key == "connection"]
        options = {option.strip() for option in ", ".join(values).lower().split(",")}
        return "close" not in options if self.is_http_1_1 else "keep-alive" in options

    def is_chunked(self) -> bool:
        """Whether the body is chunked. Raises ProtocolError for any other transfer coding."""
        coding = self.fields.get("transfer-encoding")
        if coding is None:
            return False
        if "content-length" in self.fields or not self.is_http_1_1:
            raise ProtocolError(400, "a length and a transfer coding, or a coding in HTTP/1.0")
        if coding.lower() != "chunked" or not self.is_single("transfer-encoding"):
            raise ProtocolError(501, "a transfer coding other than chunked")
        return True

    def content_length(self) -> int | None:
        """Returns the content length, or None if absent. Raises ProtocolError if it is not one number."""
        length = self.fields.get("content-length")
        if length is None:
            return None
        if not _CONTENT_LENGTH.fullmatch(length) or not self.is_single("content-length"):
            raise ProtocolError(400, "a content length that is not one number")
        return int(length)


@dataclass(slots=True)
class RequestLine:
    """The start line of a request."""

    method: str
    target: str


@dataclass(slots=True)
class StatusLine:
    """The start line of a response."""

    status: int
    reason: str


def are_field_lines(data: bytes) -> bool:
    """Whether `data` consists of header field lines only."""
    return _FIELD_LINES.fullmatch(data) is not None


def parse_head(data: bytes, limits: Limits) -> MessageHead:
    """Splits a head, which ends with an empty line, into start line and fields. Raises ProtocolError."""
    start_line, _, rest = data.partition(b"\r\n")
    field_lines = rest[: -len(b"\r\n")]
    if len(start_line) > limits.max_line_bytes:
        raise ProtocolError(414, f"a first line of over {limits.max_line_bytes} bytes")
    if not are_field_lines(field_lines):
        raise ProtocolError(400, "a header line that is no field")
    pairs = _FIELD.findall(field_lines.decode("latin-1"))
    if len(pairs) > limits.max_fields:
        raise ProtocolError(431, f"over {limits.max_fields} header fields")
    headers = tuple([(name.lower(), value.rstrip(" \t")) for name, value in pairs])
    return MessageHead(start_line=start_line, headers=headers, fields=dict(headers))


def parse_request_line(head: MessageHead) -> RequestLine:
    """Parses the start line of a request and checks the Host field. Raises ProtocolError."""
    match = _REQUEST_LINE.fullmatch(head.start_line)
    if not match:
        raise ProtocolError(400, "a first line that is no request")
    if match[3] != b"1":
        raise ProtocolError(505, "another major version of HTTP than 1")
    head.is_http_1_1 = match[4] != b"0"
    if head.is_http_1_1 and ("host" not in head.fields or not head.is_single("host")):
        raise ProtocolError(400, "not just one Host field")
    return RequestLine(method=match[1].decode(), target=match[2].decode())


def parse_status_line(head: MessageHead) -> StatusLine:
    """Parses the start line of a response. Raises ProtocolError."""
    match = _STATUS_LINE.fullmatch(head.start_line)
    if not match or match[1] != b"1":
        raise ProtocolError(502, "malformed status line of a response")
    head.is_http_1_1 = match[2] != b"0"
    return StatusLine(status=int(match[3]), reason=(match[4] or b"").decode("latin-1"))
