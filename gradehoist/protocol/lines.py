"""The platform's line protocol, both directions, without I/O: a kind, then words `name=value`, CRLF.

`Door.receive(data)` returns what the bytes so far complete. It tells three things apart: a good message; a
spoilt one, a readable line with a field missing, out of range or of another type, which costs itself alone;
and what can't be read, which raises `Unreadable` and ends the door. Times are whole microseconds here.
"""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

MAX_MESSAGE_BYTES = 1 << 20  # bytes that one message may hold
MAX_UNIDENTIFIED_BYTES = (
    4_096  # bytes that may come before a connection has said who it is: a joining is far shorter
)
MAX_PUSH_PARTS = 64  # parts that one message on a stream may have
_LARGEST = 1e9  # of any figure: some days of milliseconds, far beyond any count of one period
_MARK = 65_535
_BUSIEST = 10.0  # share of the cores: the true figure is about 1 at most, and noisy
_NUMBER = re.compile(r"[0-9]{1,10}")


class LineProtocolError(Exception):
    """Nothing after this can be trusted to be the peer's messages."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    pass


@dataclass(frozen=True, slots=True)
class CollectorHello:
    """A collector of this zone speaks from here on."""

    zone: str


LoadFigures = tuple[
    tuple[str, float], ...
]  # one load report: the figures that it carries, by the names on the wire


@dataclass(frozen=True, slots=True)
class AttemptOutcomes:
    """What the proxies of a zone met at a replica over `window`; `elapsed` is the mean of the good tries."""

    zone: str
    replica: str
    attempts: int
    failures: int
    elapsed_us: int
    window_us: int
    load: LoadFigures | None


@dataclass(frozen=True, slots=True)
class ProxyHello:
    """`fresh`: the proxy holds no table that was ordered."""

    proxy: int
    zone: str
    request_rate: float
    is_new: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    proxy: int
    revision: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class Demand:
    proxy: int
    request_class: str
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A readable line that says nothing usable, and why."""

    kind: str
    reason: str


Message = (
    HealthCheck | CollectorHello | AttemptOutcomes | ProxyHello | Acknowledgement | Demand | MalformedLine
)


class _Words:
    """The words of one line; every reading raises ValueError for what is missing or out of range."""

    def __init__(self, words: Iterable[str]) -> None:
        self._fields: dict[str, str] = {}
        for word in words:
            name, equals, value = word.partition("=")
            if not equals or name in self._fields:
                raise ValueError(f"the word {word[:40]!r}")
            self._fields[name] = value

    def text(self, name: str) -> str:
        value = self._fields.get(name, "")
        if not value or len(value) > 128:
            raise ValueError(f"{name}={value[:40]!r}")
        return value

    def count(self, name: str, most: int = int(_LARGEST)) -> int:
        value = self._fields.get(name, "")
        if not _NUMBER.fullmatch(value) or int(value) > most:
            raise ValueError(f"{name}={value[:40]!r}")
        return int(value)

    def figure(self, name: str) -> float:
        return parse_figure(name, self._fields.get(name, ""))

    def micros(self, name: str) -> int:
        return round(self.figure(name) * 1_000)

    def load(self, name: str) -> LoadFigures | None:
        if name not in self._fields:
            return None
        pairs = [pair.partition(":") for pair in self._fields[name].split(",")]
        return tuple([(key, parse_figure(key, value)) for key, _, value in pairs])


def parse_figure(name: str, text: str) -> float:
    """Raises ValueError for what is no figure, infinite, below 0 or beyond belief."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f"{name}={text[:40]!r}") from None
    most = _BUSIEST if name.startswith("util") else _LARGEST
    if not (math.isfinite(value) and 0 <= value <= most):
        raise ValueError(f"{name}={text[:40]!r}")
    return value


def _outcomes(w: _Words) -> Message:
    tries, bad = w.count("count"), w.count("fail")
    if bad > tries:
        raise ValueError(f"fail={bad} of count={tries}")
    window = w.micros("over")
    if window <= 0:
        raise ValueError("over=0")
    return AttemptOutcomes(
        w.text("site"), w.text("target"), tries, bad, w.micros("mean"), window, w.load("util")
    )


def _demand(w: _Words) -> Message:
    window = w.micros("over")
    if window <= 0:
        raise ValueError("over=0")
    return Demand(w.count("id", _MARK), w.text("lane"), w.count("count"), w.count("fail"), window)


_READ: dict[str, Callable[[_Words], Message]] = {
    "probe": lambda w: HealthCheck(),
    "agent": lambda w: CollectorHello(w.text("site")),
    "outcomes": _outcomes,
    "hello": lambda w: ProxyHello(
        w.count("id", _MARK), w.text("site"), w.figure("rps"), w.count("new", 1) == 1
    ),
    "ack": lambda w: Acknowledgement(w.count("id", _MARK), w.count("seq", _MARK), w.micros("ms")),
    "demand": _demand,
}


def parse_line(line: bytes) -> Message:
    """One line without its end. Raises Unreadable."""
    try:
        kind, *words = line.decode().split(" ")
    except UnicodeDecodeError:
        raise LineProtocolError("bytes that are no text") from None
    if kind not in _READ:
        raise LineProtocolError(f"no such message: {kind[:40]!r}")
    try:
        return _READ[kind](_Words(filter(None, words)))
    except ValueError as fault:
        return MalformedLine(kind, str(fault))


class LineParser:
    """The reading end of one connection. `known` is to be set once the peer has said who it is."""

    def __init__(self) -> None:
        self.is_identified = False
        self._buffer, self._scanned, self._fault = bytearray(), 0, ""

    def receive(self, data: bytes) -> list[Message]:
        """Raises Unreadable; where messages came before the fault, they are returned and `fault` is set."""
        if self._fault:
            raise LineProtocolError(self._fault)
        self._buffer += data
        found: list[Message] = []
        at, known = 0, self.is_identified
        try:
            while (end := self._buffer.find(b"\n", max(at, self._scanned))) >= 0:
                if end == at or self._buffer[end - 1] != 13:
                    raise LineProtocolError("a line that ends without a carriage return")
                if end - at > MAX_UNIDENTIFIED_BYTES and not known:
                    raise LineProtocolError(
                        f"a message of over {MAX_UNIDENTIFIED_BYTES} bytes"
                    )  # as in parts, so whole
                line = bytes(self._buffer[at : end - 1])
                at = end + 1
                found.append(message := parse_line(line))
                known = known or isinstance(message, CollectorHello | ProxyHello)
            self._partial(at, known)
        except LineProtocolError as fault:
            self._fault = str(fault)
            self._buffer.clear()
            if not found:
                raise
            return found
        del self._buffer[:at]
        self._scanned = len(self._buffer)
        return found

    @property
    def failure(self) -> str:
        """Why nothing more can be read, or empty."""
        return self._fault

    def _partial(self, at: int, known: bool) -> None:
        """What is no beginning of a message is refused at once, not only at the end of its line."""
        size = len(self._buffer) - at
        if size > (MAX_MESSAGE_BYTES if known else MAX_UNIDENTIFIED_BYTES):
            raise LineProtocolError(f"a message of over {size} bytes")
        head = bytes(self._buffer[at : at + 10]).split(b" ", 1)
        whole = len(head) > 1 or size > 9
        if size and not any(k == head[0] if whole else k.startswith(head[0].rstrip(b"\r")) for k in _KINDS):
            raise LineProtocolError(f"no such message: {head[0]!r}")


_KINDS = tuple(kind.encode() for kind in _READ)

# Orders on a stream


@dataclass(frozen=True, slots=True)
class PushPart:
    """One `push`; classes empty: all."""

    classes: tuple[str, ...] = ()
    is_snapshot: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    withdrawn: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()
    revision: int | None = None


def format_number(value: float) -> str:
    """Without an exponent; what is above 0 stays so."""
    return f"{max(value, 1e-6) if value > 0 else 0.0:.6f}".rstrip("0").rstrip(".")


def format_push(parts: Sequence[PushPart]) -> bytes:
    """One message. Raises ValueError where it has too many parts."""
    if not 0 < len(parts) <= MAX_PUSH_PARTS:
        raise ValueError(f"a message of {len(parts)} parts")
    out = []
    for n, part in enumerate(parts):
        words = ["push"]
        if part.classes:
            words.append("classes=" + "+".join(part.classes))
        if part.is_snapshot:
            words.append("whole=1")
        if part.weights:
            words.append(
                "lines=" + ",".join([f"{name}:{format_number(weight)}" for name, weight in part.weights])
            )
        if part.admission:
            words.append(f"level={format_number(part.admission[0])} retry={part.admission[1]}")
        if part.withdrawn:
            words.append("out=" + ",".join(part.withdrawn))
        if part.restored:
            words.append("back=" + ",".join(part.restored))
        if part.revision is not None:
            words.append(f"ticket={part.revision}")
        if n + 1 < len(parts):
            words.append("more=1")
        out.append(" ".join(words) + "\r\n")
    return "".join(out).encode()


HEALTHY_RESPONSE = b"alive\r\n"


def format_error(why: str) -> bytes:
    """What a peer is told whose connection is closed."""
    return f"error why={'-'.join(why.split())[:80]}\r\n".encode(errors="replace")
