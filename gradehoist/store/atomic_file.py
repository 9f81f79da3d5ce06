"""One small file at a time, kept whole: written beside, flushed to the disk, then put in place.

And a folder's one writer, by a lock that the system drops with the process.
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import os
import threading
from pathlib import Path


class FolderLockedError(Exception):
    """Another process writes here; its pid is in the text."""


def write_file(path: Path, data: bytes) -> None:
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


async def write_file_in_thread(path: Path, data: bytes) -> None:
    """`write` by a thread that the process does not wait for at its end: on the loop, a slow disk held up
    drains. The caller sees to one write of a path at a time. Raises OSError."""
    loop = asyncio.get_running_loop()
    done: asyncio.Future[OSError | None] = loop.create_future()

    def tell(fault: OSError | None) -> None:
        if not done.done():
            done.set_result(fault)

    def work() -> None:
        fault: OSError | None = None
        try:
            write_file(path, data)
        except OSError as met:
            fault = met
        with contextlib.suppress(RuntimeError):  # the loop has ended meanwhile
            loop.call_soon_threadsafe(tell, fault)

    threading.Thread(target=work, daemon=True).start()
    if fault := await done:
        raise fault


class FolderLock:
    """Held from making it until `free` or the end of the process. Raises Held, OSError."""

    def __init__(self, folder: Path, file_name: str = "lock") -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._file = os.open(folder / file_name, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            pid = os.read(self._file, 20).decode("ascii", "replace").strip()
            os.close(self._file)
            raise FolderLockedError(f"{folder} is in use by pid {pid or 'unknown'}") from None
        with contextlib.suppress(OSError):  # held all the same where a full disk does not take the pid
            os.ftruncate(self._file, 0)
            os.pwrite(self._file, str(os.getpid()).encode(), 0)

    def release(self) -> None:
        os.close(self._file)
