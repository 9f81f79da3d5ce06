"""The messages of the platform's line protocol: types of those received, encoding of those sent.

A message is a line of a kind and words `name=value`, ended by CRLF. `gradehoist.protocol.line_parser` reads
them. Times are whole microseconds here, where the wire has milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_PUSH_PARTS = 64  # parts of one push message, by the platform's rules
HEALTHY_RESPONSE = b"alive\r\n"
_MAX_ERROR_CHARACTERS = 80
_SMALLEST_WEIGHT = 1e-6  # the last digit that is written: a weight above 0 must not become 0


class LineProtocolError(Exception):
    """The peer broke the protocol: nothing after this can be trusted to be its messages."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """The peer asks whether this process is healthy."""


@dataclass(frozen=True, slots=True)
class CollectorHello:
    """The peer is the collector of load reports of a zone."""

    zone: str


# One load report: its values by the names that they have on the wire.
LoadFigures = tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class AttemptOutcomes:
    """Attempts of a zone's proxies at a replica over `window_us`.

    `elapsed_us` is the mean time of those that succeeded.
    """

    zone: str
    replica: str
    attempts: int
    failures: int
    elapsed_us: int
    window_us: int
    load: LoadFigures | None


@dataclass(frozen=True, slots=True)
class ProxyHello:
    """The peer is a proxy; a new one has no table that a governor sent."""

    proxy: int
    zone: str
    request_rate: float
    is_new: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A proxy has applied a push; `elapsed_us` is the time since it was sent, as the proxy measured it."""

    proxy: int
    revision: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests of a class that reached a proxy over `window_us`, and those of them that had no answer."""

    proxy: int
    request_class: str
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A line of a known kind with a field that is missing, of another type or out of range.

    It costs only itself: the lines after it are read as usual.
    """

    kind: str
    reason: str


Message = (
    HealthCheck | CollectorHello | AttemptOutcomes | ProxyHello | Acknowledgement | Demand | MalformedLine
)


@dataclass(frozen=True, slots=True)
class PushPart:
    """One part of a push message; without `classes` it is for all classes.

    `admission` is the admitted share and the retry policy, `revision` the number that the proxy acknowledges.
    """

    classes: tuple[str, ...] = ()
    is_snapshot: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    withdrawn: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()
    revision: int | None = None


def format_number(value: float) -> str:
    """Returns `value` with up to six decimals and without an exponent; a value above 0 stays above 0."""
    rounded = max(value, _SMALLEST_WEIGHT) if value > 0 else 0.0
    return f"{rounded:.6f}".rstrip("0").rstrip(".")


def format_push(parts: Sequence[PushPart]) -> bytes:
    """Returns one message of all parts.

    Raises:
        ValueError: There is no part, or more than `MAX_PUSH_PARTS`.
    """
    if not 0 < len(parts) <= MAX_PUSH_PARTS:
        raise ValueError(f"a message of {len(parts)} parts")
    last = len(parts) - 1
    lines = [_format_part(part, is_last=index == last) for index, part in enumerate(parts)]
    return "".join(lines).encode()


def format_error(reason: str) -> bytes:
    """Returns the message that is sent before a connection is closed."""
    words = "-".join(reason.split())
    return f"error why={words[:_MAX_ERROR_CHARACTERS]}\r\n".encode(errors="replace")


def _format_part(part: PushPart, is_last: bool) -> str:
    words = ["push"]
    if part.classes:
        words.append("classes=" + "+".join(part.classes))
    if part.is_snapshot:
        words.append("whole=1")
    if part.weights:
        weights = [f"{replica}:{format_number(weight)}" for replica, weight in part.weights]
        words.append("lines=" + ",".join(weights))
    if part.admission:
        admitted_share, retry_policy = part.admission
        words.append(f"level={format_number(admitted_share)} retry={retry_policy}")
    if part.withdrawn:
        words.append("out=" + ",".join(part.withdrawn))
    if part.restored:
        words.append("back=" + ",".join(part.restored))
    if part.revision is not None:
        words.append(f"ticket={part.revision}")
    if not is_last:
        words.append("more=1")
    return " ".join(words) + "\r\n"
