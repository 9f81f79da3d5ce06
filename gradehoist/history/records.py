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

MAX_ENTRIES = 1_000_000


class RequestedChange(msgspec.Struct, frozen=True):
    """A change that a commit asks for; `expect` is the version it has to find; `gone` for a deletion."""

    key: str
    expected_version: int = msgspec.field(name="expect")
    session_id: str = msgspec.field(default="", name="session")
    is_deletion: bool = msgspec.field(default=False, name="gone")


class ObservedRecord(msgspec.Struct, frozen=True):
    """A record as an answer showed it; version 0 is one that was not there."""

    key: str
    version: int
    commit_id: str = msgspec.field(default="", name="token")


class Invocation(msgspec.Struct, frozen=True, tag="asked"):
    """A call leaves: commit, read or watch."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    call_id: int = msgspec.field(name="n")
    operation: str = msgspec.field(name="what")
    commit_id: str = msgspec.field(default="", name="token")
    prefix: str = ""
    after_revision: int = msgspec.field(default=0, name="after")
    changes: tuple[RequestedChange, ...] = ()


class Completion(msgspec.Struct, frozen=True, tag="answered"):
    """`how`: done, refused, read, watched, none (nothing took place), unknown."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    call_id: int = msgspec.field(name="n")
    outcome: str = msgspec.field(name="how")
    revision: int = 0
    observed: tuple[ObservedRecord, ...] = msgspec.field(default=(), name="saw")


class Effect(msgspec.Struct, frozen=True, tag="effect"):
    """One who takes effects took `item` under a right; lines of one taker stand in the order of its doing."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    resource: str = msgspec.field(name="name")
    generation: int = msgspec.field(name="gen")
    holder: str
    item: str
    key: str = ""


class RejectedEffect(msgspec.Struct, frozen=True, tag="turned"):
    """It refused an effect, for what it knew."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    resource: str = msgspec.field(name="name")
    generation: int = msgspec.field(name="gen")
    holder: str
    item: str
    highest_generation: int = msgspec.field(name="known")


class ProcessEvent(msgspec.Struct, frozen=True, tag="told"):
    """Something that a process said of itself: its news, the end of a step."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    event: str = msgspec.field(name="what")
    fields: dict[str, Any] = {}


class HistoryTruncated(msgspec.Struct, frozen=True, tag="cut"):
    """The writer's bound was reached: what came later is not here."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")


HistoryEntry = Invocation | Completion | Effect | RejectedEffect | ProcessEvent | HistoryTruncated


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


class HistoryWriter:
    """Each line leaves at once: what a killed process had done must be here. Those that a full disk does not
    take are kept and go first with the next one; killed meanwhile, it leaves calls without a return."""

    def __init__(self, path: Path, process: str, max_entries: int = MAX_ENTRIES) -> None:
        self.process, self._left, self._kept = process, max_entries, b""
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, line: HistoryEntry) -> None:
        if self._left <= 0:
            return
        self._left -= 1
        self._kept += (
            msgspec.json.encode(line if self._left else HistoryTruncated(monotonic_us(), self.process))
            + b"\n"
        )
        with contextlib.suppress(OSError):
            while self._kept:
                self._kept = self._kept[os.write(self._file, self._kept) :]

    def close(self) -> None:
        os.close(self._file)


class IncompleteHistoryError(Exception):
    """No verdict: a history was cut short by its bound, or holds a line that is none."""


def load_history(paths: Iterable[Path]) -> list[HistoryEntry]:
    """All lines by time. A last line that a kill cut off is passed over. Raises Incomplete."""
    decoder: msgspec.json.Decoder[HistoryEntry] = msgspec.json.Decoder(HistoryEntry)
    out = list[HistoryEntry]()
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
                raise IncompleteHistoryError(f"{path}:{n + 1}: {fault}") from None
            if isinstance(found, HistoryTruncated):
                raise IncompleteHistoryError(f"{path}: bound of lines reached")
            out.append(found)
    return sorted(out, key=lambda line: line.time_us)  # stable: a taker's own order stands
