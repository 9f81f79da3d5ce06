"""One small file at a time, kept whole: written beside, flushed to the disk, then put in place.

And a folder's one writer, by a lock that the system drops with the process.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path


class Held(Exception):
    """Another process writes here; its pid is in the text."""


def write(path: Path, data: bytes) -> None:
    """Raises OSError; the old file stands then."""
    path.parent.mkdir(parents=True, exist_ok=True)
    part = path.with_name(path.name + ".part")
    with part.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)


class Lock:
    """Held from making it until `free` or the end of the process. Raises Held."""

    def __init__(self, folder: Path, name: str = "lock") -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = (folder / name).open("a+")
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self._file.seek(0)
            raise Held(f"{folder} is in use by pid {self._file.read().strip() or 'unknown'}") from None
        self._file.truncate(0)
        self._file.write(str(os.getpid()))
        self._file.flush()

    def free(self) -> None:
        self._file.close()
