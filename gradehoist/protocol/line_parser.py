"""Reading the platform's line protocol as a state machine without I/O.

Three things are told apart: a valid message; a malformed line, which costs only itself; and bytes that are no
messages of the protocol, which end the connection.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable

from gradehoist.protocol.lines import (
    Acknowledgement,
    AttemptOutcomes,
    CollectorHello,
    Demand,
    HealthCheck,
    LineProtocolError,
    LoadFigures,
    MalformedLine,
    Message,
    ProxyHello,
)

MAX_MESSAGE_BYTES = 1 << 20
MAX_UNIDENTIFIED_BYTES = 4_096  # of a message before the peer has said who it is: a hello is far shorter
_MAX_TEXT_CHARACTERS = 128
_MAX_NUMBER = 1e9  # days in milliseconds, and far beyond any count of one period
_MAX_REVISION = 65_535
_MAX_PROXY_ID = 65_535
_MAX_UTILIZATION = 10.0  # share of the cores: about 1 at most, and measured with noise
_MAX_QUOTED_CHARACTERS = 40  # of the peer's text in an error
_NUMBER = re.compile(r"[0-9]{1,10}")
_CARRIAGE_RETURN = 13
_US_PER_MS = 1_000


class _Words:
    """The words `name=value` of a line; each method raises ValueError for a missing or invalid value."""

    def __init__(self, words: Iterable[str]) -> None:
        self._values: dict[str, str] = {}
        for word in words:
            name, equals, value = word.partition("=")
            if not equals or name in self._values:
                raise ValueError(f"the word {word[:_MAX_QUOTED_CHARACTERS]!r}")
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

    def get_load(self, name: str) -> LoadFigures | None:
        if name not in self._values:
            return None
        pairs = [pair.partition(":") for pair in self._values[name].split(",")]
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


def _read_health_check(_: _Words) -> Message:
    return HealthCheck()


def _read_collector_hello(words: _Words) -> Message:
    return CollectorHello(zone=words.get_text("site"))


def _read_outcomes(words: _Words) -> Message:
    attempts = words.get_integer("count")
    failures = words.get_integer("fail")
    if failures > attempts:
        raise ValueError(f"fail={failures} of count={attempts}")
    window_us = words.get_window_us("over")
    return AttemptOutcomes(
        zone=words.get_text("site"),
        replica=words.get_text("target"),
        attempts=attempts,
        failures=failures,
        elapsed_us=words.get_duration_us("mean"),
        window_us=window_us,
        load=words.get_load("util"),
    )


def _read_proxy_hello(words: _Words) -> Message:
    return ProxyHello(
        proxy=words.get_integer("id", _MAX_PROXY_ID),
        zone=words.get_text("site"),
        request_rate=words.get_number("rps"),
        is_new=words.get_integer("new", 1) == 1,
    )


def _read_acknowledgement(words: _Words) -> Message:
    return Acknowledgement(
        proxy=words.get_integer("id", _MAX_PROXY_ID),
        revision=words.get_integer("seq", _MAX_REVISION),
        elapsed_us=words.get_duration_us("ms"),
    )


def _read_demand(words: _Words) -> Message:
    window_us = words.get_window_us("over")
    return Demand(
        proxy=words.get_integer("id", _MAX_PROXY_ID),
        request_class=words.get_text("lane"),
        requests=words.get_integer("count"),
        incomplete=words.get_integer("fail"),
        window_us=window_us,
    )


_READERS: dict[str, Callable[[_Words], Message]] = {
    "probe": _read_health_check,
    "agent": _read_collector_hello,
    "outcomes": _read_outcomes,
    "hello": _read_proxy_hello,
    "ack": _read_acknowledgement,
    "demand": _read_demand,
}
_KINDS = tuple(kind.encode() for kind in _READERS)
_LONGEST_KIND = max(len(kind) for kind in _KINDS)


def parse_line(line: bytes) -> Message:
    """Returns the message of a line without its end.

    Raises:
        LineProtocolError: The line is no text or of no known kind.
    """
    try:
        kind, *words = line.decode().split(" ")
    except UnicodeDecodeError:
        raise LineProtocolError("bytes that are no text") from None
    reader = _READERS.get(kind)
    if reader is None:
        raise LineProtocolError(f"no such message: {kind[:_MAX_QUOTED_CHARACTERS]!r}")
    try:
        return reader(_Words(filter(None, words)))
    except ValueError as error:
        return MalformedLine(kind, str(error))


class LineParser:
    """The reading end of one connection.

    The owner sets `is_identified` once it has accepted the peer's hello: longer messages are read from then.
    """

    def __init__(self) -> None:
        """Begins before the first message, of a peer that has not said who it is."""
        self.is_identified = False
        self._buffer = bytearray()
        self._scanned = 0  # no end of line was found before it
        self._failure = ""

    @property
    def failure(self) -> str:
        """Why nothing more can be read; empty while the peer keeps to the protocol."""
        return self._failure

    def receive(self, data: bytes) -> list[Message]:
        """Returns the messages that the bytes so far complete; an incomplete rest is kept.

        Raises:
            LineProtocolError: The peer broke the protocol. Messages before the error are returned instead,
                and `failure` is set; the next call raises.
        """
        if self._failure:
            raise LineProtocolError(self._failure)
        self._buffer += data
        messages: list[Message] = []
        try:
            read_bytes = self._read_lines(messages)
        except LineProtocolError as error:
            self._failure = str(error)
            self._buffer.clear()
            if not messages:
                raise
            return messages
        del self._buffer[:read_bytes]
        self._scanned = len(self._buffer)
        return messages

    def _read_lines(self, messages: list[Message]) -> int:
        """Appends the message of each complete line; returns how many bytes these lines take."""
        buffer = self._buffer
        position = 0
        is_identified = self.is_identified
        while (end := buffer.find(b"\n", max(position, self._scanned))) >= 0:
            if end == position or buffer[end - 1] != _CARRIAGE_RETURN:
                raise LineProtocolError("a line that ends without a carriage return")
            if not is_identified and end - position > MAX_UNIDENTIFIED_BYTES:
                # The same limit as for a line that comes in parts.
                raise LineProtocolError(f"a message of over {MAX_UNIDENTIFIED_BYTES} bytes")
            message = parse_line(bytes(buffer[position : end - 1]))
            position = end + 1
            messages.append(message)
            is_identified = is_identified or isinstance(message, CollectorHello | ProxyHello)
        self._check_incomplete_line(position, is_identified)
        return position

    def _check_incomplete_line(self, position: int, is_identified: bool) -> None:
        """Rejects bytes that no message begins with at once, without waiting for the end of their line."""
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
