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

MOST = 1 << 20  # bytes that one message may hold
FIRST = 4_096  # bytes that may come before a connection has said who it is: a joining is far shorter
PARTS = 64  # parts that one message on a stream may have
_LARGEST = 1e9  # of any figure: some days of milliseconds, far beyond any count of one period
_MARK = 65_535
_BUSIEST = 10.0  # share of the cores: the true figure is about 1 at most, and noisy
_NUMBER = re.compile(r"[0-9]{1,10}")


class Unreadable(Exception):
    """Nothing after this can be trusted to be the peer's messages."""


@dataclass(frozen=True, slots=True)
class Probe:
    pass


@dataclass(frozen=True, slots=True)
class Agent:
    """A collector of this zone speaks from here on."""

    zone: str


Load = tuple[tuple[str, float], ...]  # one load report: the figures that it carries, by the names on the wire


@dataclass(frozen=True, slots=True)
class Outcomes:
    """What the proxies of a zone met at a replica over `window`; `elapsed` is the mean of the good tries."""

    zone: str
    replica: str
    tries: int
    bad: int
    elapsed: int
    window: int
    load: Load | None


@dataclass(frozen=True, slots=True)
class Hello:
    """`fresh`: the proxy holds no table that was ordered."""

    proxy: int
    zone: str
    rate: float
    fresh: bool


@dataclass(frozen=True, slots=True)
class Ack:
    proxy: int
    mark: int
    elapsed: int


@dataclass(frozen=True, slots=True)
class Demand:
    proxy: int
    cls: str
    number: int
    unanswered: int
    window: int


@dataclass(frozen=True, slots=True)
class Spoilt:
    """A readable line that says nothing usable, and why."""

    kind: str
    why: str


Message = Probe | Agent | Outcomes | Hello | Ack | Demand | Spoilt


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
        return figure(name, self._fields.get(name, ""))

    def micros(self, name: str) -> int:
        return round(self.figure(name) * 1_000)

    def load(self, name: str) -> Load | None:
        if name not in self._fields:
            return None
        pairs = [pair.partition(":") for pair in self._fields[name].split(",")]
        return tuple([(key, figure(key, value)) for key, _, value in pairs])


def figure(name: str, text: str) -> float:
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
    return Outcomes(w.text("site"), w.text("target"), tries, bad, w.micros("mean"), window, w.load("util"))


def _demand(w: _Words) -> Message:
    window = w.micros("over")
    if window <= 0:
        raise ValueError("over=0")
    return Demand(w.count("id", _MARK), w.text("lane"), w.count("count"), w.count("fail"), window)


_READ: dict[str, Callable[[_Words], Message]] = {
    "probe": lambda w: Probe(),
    "agent": lambda w: Agent(w.text("site")),
    "outcomes": _outcomes,
    "hello": lambda w: Hello(w.count("id", _MARK), w.text("site"), w.figure("rps"), w.count("new", 1) == 1),
    "ack": lambda w: Ack(w.count("id", _MARK), w.count("seq", _MARK), w.micros("ms")),
    "demand": _demand,
}


def read(line: bytes) -> Message:
    """One line without its end. Raises Unreadable."""
    try:
        kind, *words = line.decode().split(" ")
    except UnicodeDecodeError:
        raise Unreadable("bytes that are no text") from None
    if kind not in _READ:
        raise Unreadable(f"no such message: {kind[:40]!r}")
    try:
        return _READ[kind](_Words(filter(None, words)))
    except ValueError as fault:
        return Spoilt(kind, str(fault))


class Door:
    """The reading end of one connection. `known` is to be set once the peer has said who it is."""

    def __init__(self) -> None:
        self.known = False
        self._buffer, self._scanned, self._fault = bytearray(), 0, ""

    def receive(self, data: bytes) -> list[Message]:
        """Raises Unreadable; where messages came before the fault, they are returned and `fault` is set."""
        if self._fault:
            raise Unreadable(self._fault)
        self._buffer += data
        found: list[Message] = []
        at, known = 0, self.known
        try:
            while (end := self._buffer.find(b"\n", max(at, self._scanned))) >= 0:
                if end == at or self._buffer[end - 1] != 13:
                    raise Unreadable("a line that ends without a carriage return")
                if end - at > FIRST and not known:
                    raise Unreadable(f"a message of over {FIRST} bytes")  # as in parts, so whole
                line = bytes(self._buffer[at : end - 1])
                at = end + 1
                found.append(message := read(line))
                known = known or isinstance(message, Agent | Hello)
            self._partial(at, known)
        except Unreadable as fault:
            self._fault = str(fault)
            self._buffer.clear()
            if not found:
                raise
            return found
        del self._buffer[:at]
        self._scanned = len(self._buffer)
        return found

    @property
    def fault(self) -> str:
        """Why nothing more can be read, or empty."""
        return self._fault

    def _partial(self, at: int, known: bool) -> None:
        """What is no beginning of a message is refused at once, not only at the end of its line."""
        size = len(self._buffer) - at
        if size > (MOST if known else FIRST):
            raise Unreadable(f"a message of over {size} bytes")
        head = bytes(self._buffer[at : at + 10]).split(b" ", 1)
        whole = len(head) > 1 or size > 9
        if size and not any(k == head[0] if whole else k.startswith(head[0].rstrip(b"\r")) for k in _KINDS):
            raise Unreadable(f"no such message: {head[0]!r}")


_KINDS = tuple(kind.encode() for kind in _READ)

# Orders on a stream


@dataclass(frozen=True, slots=True)
class Part:
    """One `push`; classes empty: all."""

    classes: tuple[str, ...] = ()
    whole: bool = False
    lines: tuple[tuple[str, float], ...] = ()
    level: tuple[float, int] | None = None
    out: tuple[str, ...] = ()
    back: tuple[str, ...] = ()
    ticket: int | None = None


def number(value: float) -> str:
    """Without an exponent; what is above 0 stays so."""
    return f"{max(value, 1e-6) if value > 0 else 0.0:.6f}".rstrip("0").rstrip(".")


def push(parts: Sequence[Part]) -> bytes:
    """One message. Raises ValueError where it has too many parts."""
    if not 0 < len(parts) <= PARTS:
        raise ValueError(f"a message of {len(parts)} parts")
    out = []
    for n, part in enumerate(parts):
        words = ["push"]
        if part.classes:
            words.append("classes=" + "+".join(part.classes))
        if part.whole:
            words.append("whole=1")
        if part.lines:
            words.append("lines=" + ",".join([f"{name}:{number(weight)}" for name, weight in part.lines]))
        if part.level:
            words.append(f"level={number(part.level[0])} retry={part.level[1]}")
        if part.out:
            words.append("out=" + ",".join(part.out))
        if part.back:
            words.append("back=" + ",".join(part.back))
        if part.ticket is not None:
            words.append(f"ticket={part.ticket}")
        if n + 1 < len(parts):
            words.append("more=1")
        out.append(" ".join(words) + "\r\n")
    return "".join(out).encode()


ALIVE = b"alive\r\n"


def error(why: str) -> bytes:
    """What a peer is told whose connection is closed."""
    return f"error why={'-'.join(why.split())[:80]}\r\n".encode(errors="replace")
