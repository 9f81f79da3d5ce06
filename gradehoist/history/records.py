"""The lines of a history and how they are written: JSON, one a line, each whole or cut off by a kill.

Times are µs of the machine's monotonic clock, the same for all its processes. A call without a return is one
whose process ended first: its outcome is unknown. Writing is bounded: past `MOST` lines one more says so, and
a checker that meets it gives no verdict.
"""

from __future__ import annotations

import contextlib
import os
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import msgspec

MOST = 1_000_000


class Wrote(msgspec.Struct, frozen=True):
    """A change that a commit asks for; `expect` is the version it has to find; `gone` for a deletion."""

    key: str
    expect: int
    session: str = ""
    gone: bool = False


class Saw(msgspec.Struct, frozen=True):
    """A record as an answer showed it; version 0 is one that was not there."""

    key: str
    version: int
    token: str = ""


class Asked(msgspec.Struct, frozen=True, tag="asked"):
    """A call leaves: commit, read or watch."""

    t: int
    by: str
    n: int
    what: str
    token: str = ""
    prefix: str = ""
    after: int = 0
    changes: tuple[Wrote, ...] = ()


class Answered(msgspec.Struct, frozen=True, tag="answered"):
    """`how`: done, refused, read, watched, none (nothing took place), unknown."""

    t: int
    by: str
    n: int
    how: str
    revision: int = 0
    saw: tuple[Saw, ...] = ()


class Effect(msgspec.Struct, frozen=True, tag="effect"):
    """One who takes effects took `item` under a right; lines of one taker stand in the order of its doing."""

    t: int
    by: str
    name: str
    gen: int
    holder: str
    item: str
    key: str = ""


class Turned(msgspec.Struct, frozen=True, tag="turned"):
    """It refused an effect, for what it knew."""

    t: int
    by: str
    name: str
    gen: int
    holder: str
    item: str
    known: int


class Told(msgspec.Struct, frozen=True, tag="told"):
    """Something that a process said of itself: its news, the end of a step."""

    t: int
    by: str
    what: str
    fields: dict[str, Any] = {}


class Cut(msgspec.Struct, frozen=True, tag="cut"):
    """The writer's bound was reached: what came later is not here."""

    t: int
    by: str


Line = Asked | Answered | Effect | Turned | Told | Cut


def now() -> int:
    return time.monotonic_ns() // 1_000


class Writer:
    """Each line leaves at once: what a killed process had done must be here. Those that a full disk does not
    take are kept and go first with the next one; killed meanwhile, it leaves calls without a return."""

    def __init__(self, path: Path, by: str, most: int = MOST) -> None:
        self.by, self._left, self._kept = by, most, b""
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, line: Line) -> None:
        if self._left <= 0:
            return
        self._left -= 1
        self._kept += msgspec.json.encode(line if self._left else Cut(now(), self.by)) + b"\n"
        with contextlib.suppress(OSError):
            while self._kept:
                self._kept = self._kept[os.write(self._file, self._kept) :]

    def close(self) -> None:
        os.close(self._file)


class Incomplete(Exception):
    """No verdict: a history was cut short by its bound, or holds a line that is none."""


def load(paths: Iterable[Path]) -> list[Line]:
    """All lines by time. A last line that a kill cut off is passed over. Raises Incomplete."""
    decoder: msgspec.json.Decoder[Line] = msgspec.json.Decoder(Line)
    out = list[Line]()
    for path in paths:
        lines = path.read_bytes().split(b"\n")
        for n, line in enumerate(lines):
            if not line:
                continue
            try:
                found = decoder.decode(line)
            except msgspec.MsgspecError as fault:
                if n == len(lines) - 1:
                    continue
                raise Incomplete(f"{path}:{n + 1}: {fault}") from None
            if isinstance(found, Cut):
                raise Incomplete(f"{path}: bound of lines reached")
            out.append(found)
    return sorted(out, key=lambda line: line.t)  # stable: a taker's own order stands
