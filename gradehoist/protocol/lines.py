"""The messages of the platform's line protocol: types of received messages and encoders of sent ones.

A message is a line that consists of a kind and fields `name=value` and ends with CRLF.
`gradehoist.protocol.line_parser` parses received messages. Times are integer microseconds here and
milliseconds on the wire.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MAX_PUSH_PARTS = 64  # the platform's limit on the parts of one push message
HEALTHY_RESPONSE = b"alive\r\n"
_MAX_ERROR_CHARACTERS = 80
_SMALLEST_WEIGHT = 1e-6  # the encoding has six decimals, and a positive weight must not become 0


class LineProtocolError(Exception):
    """The peer violated the protocol; later bytes of the connection cannot be interpreted."""


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """The peer asks whether this process is healthy."""


@dataclass(frozen=True, slots=True)
class CollectorHello:
    """The peer is the load report collector of a zone."""

    zone: str


# A load report as (metric name on the wire, value) pairs.
LoadMetrics = tuple[tuple[str, float], ...]


@dataclass(frozen=True, slots=True)
class AttemptOutcomes:
    """The outcomes of the attempts that a zone's proxies made at a replica during `window_us`.

    `elapsed_us` is the mean duration of the successful attempts.
    """

    zone: str
    replica: str
    attempts: int
    failures: int
    elapsed_us: int
    window_us: int
    load: LoadMetrics | None


@dataclass(frozen=True, slots=True)
class ProxyHello:
    """The peer is a proxy; a new proxy has not received any table from a governor."""

    proxy: int
    zone: str
    request_rate: float
    is_new: bool


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """A proxy has applied a push; `elapsed_us` is the time since the push was sent, measured by the proxy."""

    proxy: int
    revision: int
    elapsed_us: int


@dataclass(frozen=True, slots=True)
class Demand:
    """Requests of a class that a proxy received during `window_us`, and how many got no response."""

    proxy: int
    request_class: str
    requests: int
    incomplete: int
    window_us: int


@dataclass(frozen=True, slots=True)
class MalformedLine:
    """A line of a known kind with a field that is missing, has the wrong type or is out of range.

    The lines after it are parsed as usual.
    """

    kind: str
    reason: str


Message = (
    HealthCheck | CollectorHello | AttemptOutcomes | ProxyHello | Acknowledgement | Demand | MalformedLine
)


@dataclass(frozen=True, slots=True)
class PushPart:
    """One part of a push message; an empty `classes` means all classes.

    `admission` is the admitted share and the retry policy; `revision` is the number that the proxy has to
    acknowledge.
    """

    classes: tuple[str, ...] = ()
    is_snapshot: bool = False
    weights: tuple[tuple[str, float], ...] = ()
    admission: tuple[float, int] | None = None
    withdrawn: tuple[str, ...] = ()
    restored: tuple[str, ...] = ()
    revision: int | None = None


def format_number(value: float) -> str:
    """Formats `value` with up to six decimals and without an exponent; a positive value stays positive."""
    rounded = max(value, _SMALLEST_WEIGHT) if value > 0 else 0.0
    return f"{rounded:.6f}".rstrip("0").rstrip(".")


def format_push(parts: Sequence[PushPart]) -> bytes:
    """Encodes the parts as one message.

    Raises:
        ValueError: There are no parts, or more than `MAX_PUSH_PARTS`.
    """
    if not 0 < len(parts) <= MAX_PUSH_PARTS:
        raise ValueError(f"push message of {len(parts)} parts")
    last = len(parts) - 1
    lines = [_format_part(part, is_last=index == last) for index, part in enumerate(parts)]
    return "".join(lines).encode()


def format_error(reason: str) -> bytes:
    """Encodes the error message that is sent before a connection is closed."""
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
