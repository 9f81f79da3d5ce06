"""The entries of a history and the files in which they are stored, as JSON with one entry per line.

Times are microseconds of the machine's monotonic clock, which all its processes share. An invocation has no
completion if its process ended before the response; its outcome is unknown. The number of entries is bounded
by `MAX_ENTRIES`. A history that reaches the bound ends with a special entry, and is not checked.

The encoded field names and tags are stored data. A field whose encoded name differs from its name here has an
explicit `name`.
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
"""Most entries of one writer, which bounds the disk space that a run can use."""


class StoreCall(Enum):
    """A kind of call in a history. The values are stored."""

    COMMIT = "commit"
    READ = "read"
    WATCH = "watch"


class CallOutcome(Enum):
    """How a call completed. The values are stored."""

    COMMITTED = "done"
    REJECTED = "refused"
    READ = "read"
    WATCHED = "watched"
    FAILED = "none"
    """The call had no effect."""
    UNKNOWN = "unknown"
    """The call may have taken effect, may still take effect, or never will."""


class RequestedChange(msgspec.Struct, frozen=True):
    """A change that a commit requests, and the version that the record has to have."""

    key: str
    expected_version: int = msgspec.field(name="expect")
    session_id: str = msgspec.field(name="session", default="")
    is_deletion: bool = msgspec.field(name="gone", default=False)


class ObservedRecord(msgspec.Struct, frozen=True):
    """A record in a response. Version 0 means that it did not exist."""

    key: str
    version: int
    commit_id: str = msgspec.field(name="token", default="")


class Invocation(msgspec.Struct, frozen=True, tag="asked"):
    """A process sent a call to the store. `call_id` is unique within the process."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    call_id: int = msgspec.field(name="n")
    operation: StoreCall = msgspec.field(name="what")
    commit_id: str = msgspec.field(name="token", default="")
    prefix: str = ""
    after_revision: int = msgspec.field(name="after", default=0)
    changes: tuple[RequestedChange, ...] = ()


class Completion(msgspec.Struct, frozen=True, tag="answered"):
    """A process received the response to a call, or the call failed."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    call_id: int = msgspec.field(name="n")
    outcome: CallOutcome = msgspec.field(name="how")
    revision: int = 0
    observed: tuple[ObservedRecord, ...] = msgspec.field(name="saw", default=())


class Effect(msgspec.Struct, frozen=True, tag="effect"):
    """`process` applied the effect `item` under a fencing token.

    The entries of a process are in the order of its effects.
    """

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")
    resource: str = msgspec.field(name="name")
    generation: int = msgspec.field(name="gen")
    holder: str
    item: str
    key: str = ""


class RejectedEffect(msgspec.Struct, frozen=True, tag="turned"):
    """`process` rejected an effect because it knew of `highest_generation` of the resource."""

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
    """The writer reached its bound. Later entries are missing."""

    time_us: int = msgspec.field(name="t")
    process: str = msgspec.field(name="by")


HistoryEntry = Invocation | Completion | Effect | RejectedEffect | ProcessEvent | HistoryTruncated


class HistoryError(Exception):
    """Base class of the package's errors."""


class IncompleteHistoryError(HistoryError):
    """A history can't be checked, because it reached its bound or contains a malformed line."""


class HistoryWriter:
    """Appends entries to a file.

    Each entry is written at once, so that the history of a process that is killed contains all that it has
    done. If the disk is full, entries are kept in memory and written before the next one. If the process is
    killed meanwhile, its history contains invocations without a completion, which checkers accept.
    """

    def __init__(self, path: Path, process: str, max_entries: int = MAX_ENTRIES) -> None:
        """Opens `path` for appending, and creates the file if it does not exist."""
        self.process = process
        self._entries_left = max_entries
        self._unwritten = b""
        self._file = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)

    def __call__(self, entry: HistoryEntry) -> None:
        """Appends an entry. The last entry within the bound is replaced by `HistoryTruncated`."""
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
    """Returns the entries of all files in order of time. Raises IncompleteHistoryError.

    If the last line of a file is incomplete, as it may be after a kill, it is left out.
    """
    entries: list[HistoryEntry] = []
    for path in paths:
        entries += _load_file(path)
    # The sort is stable, so the order of each process' own entries is kept.
    return sorted(entries, key=lambda entry: entry.time_us)


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
