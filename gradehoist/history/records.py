"""The entries of a history and how they are stored: JSON, one entry a line.

Times are microseconds of the machine's monotonic clock, which all its processes share. An invocation without
a completion is one whose process ended first: its outcome is unknown. A history is bounded: past
`MAX_ENTRIES` a last entry says so, and a checker that meets it gives no verdict.

The encoded field names and tags are stored data; where a field is named otherwise here, its encoded name is
pinned.
"""

from __future__ import annotations

import contextlib
import os
from collections.abc import Iterable
from enum import Enum
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.clock import monotonic_us

MAX_ENTRIES = 1_000_000
"""Entries of one writer: bounds the disk that a run can fill."""


class StoreCall(Enum):
    """A kind of call that a history holds; the values are stored."""

    COMMIT = "commit"
    READ = "read"
    WATCH = "watch"


class CallOutcome(Enum):
    """How a call completed; the values are stored."""

    COMMITTED = "done"
    REJECTED = "refused"
    READ = "read"
    WATCHED = "watched"
    FAILED = "none"
    """Nothing took place."""
    UNKNOWN = "unknown"
    """It may have taken place, may still do so, or never will."""


class RequestedChange(msgspec.Struct, frozen=True):
    """A change that a commit requests, against the version that it has to find."""

    key: str
    expected_version: int = msgspec.field(name="expect")
    session_id: str = msgspec.field(name="session", default="")
    is_deletion: bool = msgspec.field(name="gone", default=False)


class ObservedRecord(msgspec.Struct, frozen=True):
    """A record as a response showed it; version 0 is one that did not exist."""

    key: str
    version: int
    commit_id: str = msgspec.field(name="token", default="")


class Invocation(msgspec.Struct, frozen=True, tag="asked"):
    """A process sends a call to the store; `call_id` is unique within the process."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    call_id: int = msgspec.field(name="n")
    operation: StoreCall = msgspec.field(name="what")
    commit_id: str = msgspec.field(name="token", default="")
    prefix: str = ""
    after_revision: int = msgspec.field(name="after", default=0)
    changes: tuple[RequestedChange, ...] = ()


class Completion(msgspec.Struct, frozen=True, tag="answered"):
    """A process has the response to a call, or its failure."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    call_id: int = msgspec.field(name="n")
    outcome: CallOutcome = msgspec.field(name="how")
    revision: int = 0
    observed: tuple[ObservedRecord, ...] = msgspec.field(name="saw", default=())


class Effect(msgspec.Struct, frozen=True, tag="effect"):
    """`process` took the effect `item` under a fencing token; its entries are in the order of its effects."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    resource: str = msgspec.field(name="name")
    generation: int = msgspec.field(name="gen")
    holder: str
    item: str
    key: str = ""


class RejectedEffect(msgspec.Struct, frozen=True, tag="turned"):
    """`process` rejected an effect, because it knew `highest_generation` of the resource."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    resource: str = msgspec.field(name="name")
    generation: int = msgspec.field(name="gen")
    holder: str
    item: str
    highest_generation: int = msgspec.field(name="known")


class ProcessEvent(msgspec.Struct, frozen=True, tag="told"):
    """A log event of a process."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    event: str = msgspec.field(name="what")
    fields: dict[str, Any] = {}


class HistoryTruncated(msgspec.Struct, frozen=True, tag="cut"):
    """The writer reached its bound: what came later is not in the history."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")


HistoryEntry = Invocation | Completion | Effect | RejectedEffect | ProcessEvent | HistoryTruncated


class HistoryError(Exception):
    """Base error of the package."""


class IncompleteHistoryError(HistoryError):
    """A history allows no verdict: it reached its bound, or holds a line that is no entry."""


class HistoryWriter:
    """Appends entries to a file, each at once: what a killed process had done has to be there.

    Entries that a full disk does not take are kept and written before the next one. If the process is killed
    meanwhile, its history has invocations without a completion, which is in order.
    """

    def __init__(self, path: Path, process: str, max_entries: int = MAX_ENTRIES) -> None:
        """Opens `path` for appending; it is created if need be."""
        self.process = process
        self._entries_left = max_entries
        self._unwritten = b""
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, entry: HistoryEntry) -> None:
        """Appends an entry; the last one that the bound admits is replaced by `HistoryTruncated`."""
        if self._entries_left <= 0:
            return
        self._entries_left -= 1
        if self._entries_left == 0:
            entry = HistoryTruncated(monotonic_us(), self.process)
        self._unwritten += msgspec.json.encode(entry) + b"\n"
        with contextlib.suppress(OSError):
            while self._unwritten:
                written = os.write(self._file, self._unwritten)
                self._unwritten = self._unwritten[written:]

    def close(self) -> None:
        """Closes the file."""
        os.close(self._file)


def load_history(paths: Iterable[Path]) -> list[HistoryEntry]:
    """All entries of some files by time. Raises IncompleteHistoryError.

    A last line that was cut off, as by a kill, is left out.
    """
    entries: list[HistoryEntry] = []
    for path in paths:
        entries += _load_file(path)
    return sorted(entries, key=lambda entry: entry.time_us)  # stable: each process' own order stays


def _load_file(path: Path) -> list[HistoryEntry]:
    decoder: msgspec.json.Decoder[HistoryEntry] = msgspec.json.Decoder(HistoryEntry)
    entries: list[HistoryEntry] = []
    lines = path.read_bytes().split(b"\n")
    for number, line in enumerate(lines, start=1):
        if not line:
            continue
        try:
            entry = decoder.decode(line)
        except msgspec.MsgspecError as error:
            if number == len(lines):
                continue
            raise IncompleteHistoryError(f"{path}:{number}: {error}") from None
        if isinstance(entry, HistoryTruncated):
            raise IncompleteHistoryError(f"{path}: history truncated at its maximum number of entries")
        entries.append(entry)
    return entries
