"""The heads of HTTP/1.1 messages: start lines, header fields and what they say about the body.

Framing that two readers could take in two ways (RFC 9112, 6.3 and 11.2) is rejected rather than repaired:
request smuggling lives on such repairs.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from gradehoist.protocol.http import Headers, Limits, ProtocolError

_FIELD_LINES = re.compile(rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t\x20-\x7e\x80-\xff]*\r\n)*")
_FIELD = re.compile(r"([^:\r]+):[ \t]*([^\r]*)\r\n")  # within what _FIELD_LINES has accepted
_REQUEST_LINE = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+) ([\x21-\x7e]+) HTTP/(\d)\.(\d)")
_STATUS_LINE = re.compile(rb"HTTP/(\d)\.(\d) (\d{3})(?: ([\t\x20-\x7e\x80-\xff]*))?")
_CONTENT_LENGTH = re.compile(r"[0-9]{1,15}")


@dataclass(slots=True)
class MessageHead:
    """The head of a message; `fields` has one value for each name, the last one of a repeated field."""

    start_line: bytes
    headers: Headers
    fields: dict[str, str]
    is_http_1_1: bool = True  # set with the start line; only HTTP/1.0 is older

    def is_single(self, name: str) -> bool:
        """True if a field that is present stands once."""
        if len(self.fields) == len(self.headers):
            return True
        return sum([key == name for key, _ in self.headers]) == 1

    def is_persistent(self) -> bool:
        """True if the peer keeps the connection open after this message (RFC 9112, 9.3)."""
        if "connection" not in self.fields:
            return self.is_http_1_1
        values = [value for key, value in self.headers if key == "connection"]
        options = {option.strip() for option in ", ".join(values).lower().split(",")}
        return "close" not in options if self.is_http_1_1 else "keep-alive" in options

    def is_chunked(self) -> bool:
        """True if the body comes in chunks. Raises ProtocolError for any other transfer coding."""
        coding = self.fields.get("transfer-encoding")
        if coding is None:
            return False
        if "content-length" in self.fields or not self.is_http_1_1:
            raise ProtocolError(400, "a length and a transfer coding, or a coding in HTTP/1.0")
        if coding.lower() != "chunked" or not self.is_single("transfer-encoding"):
            raise ProtocolError(501, "a transfer coding other than chunked")
        return True

    def content_length(self) -> int | None:
        """Returns the length that is stated for the body. Raises ProtocolError if it is no number."""
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
    """True if all of `data` is lines of header fields."""
    return _FIELD_LINES.fullmatch(data) is not None


def parse_head(data: bytes, limits: Limits) -> MessageHead:
    """Splits a head, its empty line included, into start line and fields. Raises ProtocolError."""
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
    """Returns the start line of a request, whose Host field is checked. Raises ProtocolError."""
    found = _REQUEST_LINE.fullmatch(head.start_line)
    if not found:
        raise ProtocolError(400, "a first line that is no request")
    if found[3] != b"1":
        raise ProtocolError(505, "another major version of HTTP than 1")
    head.is_http_1_1 = found[4] != b"0"
    if head.is_http_1_1 and ("host" not in head.fields or not head.is_single("host")):
        raise ProtocolError(400, "not just one Host field")
    return RequestLine(method=found[1].decode(), target=found[2].decode())


def parse_status_line(head: MessageHead) -> StatusLine:
    """Returns the start line of a response. Raises ProtocolError."""
    found = _STATUS_LINE.fullmatch(head.start_line)
    if not found or found[1] != b"1":
        raise ProtocolError(502, "a first line that is no answer")
    head.is_http_1_1 = found[2] != b"0"
    return StatusLine(status=int(found[3]), reason=(found[4] or b"").decode("latin-1"))
