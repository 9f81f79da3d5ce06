"""A parser of the platform's line protocol as a state machine without I/O.

Three cases are distinguished: a valid message; a malformed line, after which parsing continues; and bytes
that are not messages of the protocol, after which the connection is closed.
"""

from __future__ import annotations

import math
import re
import sys
from collections.abc import Callable, Iterable

from gradehoist.protocol.lines import (
    Acknowledgement,
    AttemptOutcomes,
    CollectorHello,
    Demand,
    HealthCheck,
    LineProtocolError,
    LoadMetrics,
    MalformedLine,
    Message,
    ProxyHello,
)

MAX_MESSAGE_BYTES = 1 << 20
MAX_UNIDENTIFIED_BYTES = 4_096  # largest message before the peer has joined; a hello is far shorter
_MAX_TEXT_CHARACTERS = 128
_MAX_NUMBER = 1e9  # several days in milliseconds, and far more than any count of one period
_MAX_REVISION = 65_535
_MAX_PROXY_ID = 65_535
_MAX_UTILIZATION = 10.0  # a share of the cores; at most about 1, but measured with noise
_MAX_FIELDS = 64  # far more than any message has
# Figures of a load report that are read; the settings name a few of them, and the others are ignored. Reading
# all of a message of 1 MiB took 0.1 s and 30 MB.
_MAX_LOAD_FIGURES = 4_096
_MAX_QUOTED_CHARACTERS = 40  # length of input quoted in an error
_NUMBER = re.compile(r"[0-9]{1,10}")
_CARRIAGE_RETURN = 13
_US_PER_MS = 1_000


class _Fields:
    """The fields `name=value` of a line; each getter raises ValueError for a missing or invalid value."""

    def __init__(self, words: Iterable[str]) -> None:
        self._values: dict[str, str] = {}
        for word in words:
            name, equals, value = word.partition("=")
            if not equals or name in self._values:
                raise ValueError(f"malformed or repeated field {word[:_MAX_QUOTED_CHARACTERS]!r}")
            self._values[name] = value

    def get_text(self, name: str) -> str:
        value = self._values.get(name, "")
        if not value or len(value) > _MAX_TEXT_CHARACTERS:
            raise _invalid_value(name, value)
        return value

    def get_integer(self, name: str, maximum: int = int(_MAX_NUMBER)) -> int:
        value = self._values.get(name, "")
        if not _NUMBER.fullmatch(value) or int(value) > maximum:
            raise _invalid_value(name, value)
        return int(value)

    def get_number(self, name: str) -> float:
        return _parse_number(name, self._values.get(name, ""))

    def get_duration_us(self, name: str) -> int:
        return round(self.get_number(name) * _US_PER_MS)

    def get_window_us(self, name: str) -> int:
        window_us = self.get_duration_us(name)
        if window_us <= 0:
            raise ValueError(f"{name}=0")
        return window_us

    def get_load(self, name: str) -> LoadMetrics | None:
        if name not in self._values:
            return None
        figures = self._values[name].split(",", _MAX_LOAD_FIGURES)[:_MAX_LOAD_FIGURES]
        pairs = [pair.partition(":") for pair in figures]
        return tuple([(key, _parse_number(key, value)) for key, _, value in pairs])


def _invalid_value(name: str, value: str) -> ValueError:
    return ValueError(f"{name}={value[:_MAX_QUOTED_CHARACTERS]!r}")


def _parse_number(name: str, text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise _invalid_value(name, text) from None
    maximum = _MAX_UTILIZATION if name.startswith("util") else _MAX_NUMBER
    if not (math.isfinite(value) and 0 <= value <= maximum):
        raise _invalid_value(name, text)
    return value


def _parse_health_check(_: _Fields) -> Message:
    return HealthCheck()


def _parse_collector_hello(fields: _Fields) -> Message:
    return CollectorHello(zone=fields.get_text("site"))


def _parse_outcomes(fields: _Fields) -> Message:
    attempts = fields.get_integer("count")
    failures = fields.get_integer("fail")
    if failures > attempts:
        raise ValueError(f"fail={failures} exceeds count={attempts}")
    window_us = fields.get_window_us("over")
    return AttemptOutcomes(
        zone=fields.get_text("site"),
        replica=fields.get_text("target"),
        attempts=attempts,
        failures=failures,
        elapsed_us=fields.get_duration_us("mean"),
        window_us=window_us,
        load=fields.get_load("util"),
    )


def _parse_proxy_hello(fields: _Fields) -> Message:
    return ProxyHello(
        proxy=fields.get_integer("id", _MAX_PROXY_ID),
        zone=fields.get_text("site"),
        request_rate=fields.get_number("rps"),
        is_new=fields.get_integer("new", 1) == 1,
    )


def _parse_acknowledgement(fields: _Fields) -> Message:
    return Acknowledgement(
        proxy=fields.get_integer("id", _MAX_PROXY_ID),
        revision=fields.get_integer("seq", _MAX_REVISION),
        elapsed_us=fields.get_duration_us("ms"),
    )


def _parse_demand(fields: _Fields) -> Message:
    window_us = fields.get_window_us("over")
    return Demand(
        proxy=fields.get_integer("id", _MAX_PROXY_ID),
        request_class=fields.get_text("lane"),
        requests=fields.get_integer("count"),
        incomplete=fields.get_integer("fail"),
        window_us=window_us,
    )


_PARSERS: dict[str, Callable[[_Fields], Message]] = {
    "probe": _parse_health_check,
    "agent": _parse_collector_hello,
    "outcomes": _parse_outcomes,
    "hello": _parse_proxy_hello,
    "ack": _parse_acknowledgement,
    "demand": _parse_demand,
}
_KINDS = tuple(kind.encode() for kind in _PARSERS)
_LONGEST_KIND = max(len(kind) for kind in _KINDS)


def parse_line(line: bytes) -> Message:
    """Parses a line without its line break.

    Raises:
        LineProtocolError: The line is not UTF-8 text, or its kind is unknown.
    """
    try:
        kind, *words = line.decode().split(" ", _MAX_FIELDS + 1)
    except UnicodeDecodeError:
        raise LineProtocolError("bytes that are no text") from None
    parse_fields = _PARSERS.get(kind)
    if parse_fields is None:
        raise LineProtocolError(f"no such message: {kind[:_MAX_QUOTED_CHARACTERS]!r}")
    if len(words) > _MAX_FIELDS:
        return MalformedLine(kind, f"over {_MAX_FIELDS} fields")
    try:
        return parse_fields(_Fields(filter(None, words)))
    except ValueError as error:
        return MalformedLine(kind, str(error))


class LineParser:
    """Parses the bytes received on one connection.

    The owner sets `is_identified` once it has accepted the peer's hello; longer messages are accepted from
    then on.
    """

    def __init__(self) -> None:
        """Creates a parser for a peer that has not joined."""
        self.is_identified = False
        self.is_paused = False  # whether complete lines are left that the last call did not parse
        self._buffer = bytearray()
        self._scanned = 0  # the search for the end of a line resumes here
        self._failure = ""

    @property
    def buffered_bytes(self) -> int:
        """The size of the received data that is not parsed yet."""
        return len(self._buffer)

    def discard(self) -> None:
        """Releases the buffered data; nothing more can be parsed."""
        self._failure = self._failure or "the connection is closed"
        self._buffer = bytearray()

    @property
    def failure(self) -> str:
        """The protocol error after which nothing more is parsed, or an empty string."""
        return self._failure

    def receive(self, data: bytes, max_messages: int = sys.maxsize) -> list[Message]:
        """Parses received bytes and returns the messages that they complete; incomplete data is buffered.

        After `max_messages`, parsing pauses and `is_paused` is set; another call, with no data, resumes it.

        Raises:
            LineProtocolError: The peer violated the protocol. If there are messages before the error, they
                are returned instead and `failure` is set; the next call raises.
        """
        if self._failure:
            raise LineProtocolError(self._failure)
        self._buffer += data
        messages: list[Message] = []
        try:
            parsed_bytes = self._parse_lines(messages, max_messages)
        except LineProtocolError as error:
            self._failure = str(error)
            self._buffer.clear()
            if not messages:
                raise
            return messages
        del self._buffer[:parsed_bytes]
        self._scanned = 0 if self.is_paused else len(self._buffer)
        return messages

    def _parse_lines(self, messages: list[Message], max_messages: int) -> int:
        """Appends the message of each complete line and returns the total size of these lines in bytes."""
        buffer = self._buffer
        position = 0
        is_identified = self.is_identified
        self.is_paused = False
        while (end := buffer.find(b"\n", max(position, self._scanned))) >= 0:
            if end == position or buffer[end - 1] != _CARRIAGE_RETURN:
                raise LineProtocolError("a line that ends without a carriage return")
            if len(messages) == max_messages:
                self.is_paused = True
                return position
            if not is_identified and end - position > MAX_UNIDENTIFIED_BYTES:
                # Apply the same limit as to a line that arrives in several parts.
                raise LineProtocolError(f"a message of over {MAX_UNIDENTIFIED_BYTES} bytes")
            message = parse_line(bytes(buffer[position : end - 1]))
            position = end + 1
            messages.append(message)
            is_identified = is_identified or isinstance(message, CollectorHello | ProxyHello)
        self._check_incomplete_line(position, is_identified)
        return position

    def _check_incomplete_line(self, position: int, is_identified: bool) -> None:
        """Rejects bytes that cannot begin a message at once, without waiting for the end of the line."""
        size = len(self._buffer) - position
        if size > (MAX_MESSAGE_BYTES if is_identified else MAX_UNIDENTIFIED_BYTES):
            raise LineProtocolError(f"a message of over {size} bytes")
        if size == 0:
            return
        kind, *rest = bytes(self._buffer[position : position + _LONGEST_KIND + 2]).split(b" ", 1)
        is_complete = bool(rest) or size > _LONGEST_KIND + 1
        if is_complete:
            is_known = kind in _KINDS
        else:
            is_known = any(known.startswith(kind.rstrip(b"\r")) for known in _KINDS)
        if not is_known:
            raise LineProtocolError(f"no such message: {kind!r}")
