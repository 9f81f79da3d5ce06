"""A lock that gives one process exclusive use of a folder."""

from __future__ import annotations

import contextlib
import fcntl
import os
from pathlib import Path

_MAX_PID_BYTES = 20  # more than the decimal digits of any process id


class FolderLockedError(Exception):
    """Another process holds the lock of `folder`; `pid` is its process id, or "" if that is unknown."""

    def __init__(self, folder: Path, pid: str) -> None:
        """Creates an error about a folder and the process that holds its lock."""
        super().__init__(f"{folder} is in use by pid {pid or 'unknown'}")
        self.folder = folder
        self.pid = pid


class FolderLock:
    """An exclusive lock on a folder, held from construction until `release` or the end of the process.

    It is an advisory lock of the operating system on the file `file_name`, which also contains the owner's
    process id. The folder is created if it is missing.

    Raises:
        FolderLockedError: Another process holds the lock.
        OSError: The folder or its lock file could not be created.
    """

    def __init__(self, folder: Path, file_name: str = "lock") -> None:
        """Acquires the lock, or raises FolderLockedError."""
        folder.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(folder / file_name, os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            pid = os.read(self._descriptor, _MAX_PID_BYTES).decode("ascii", "replace").strip()
            os.close(self._descriptor)
            raise FolderLockedError(folder, pid) from None
        # The lock is held even if the process id cannot be written, for example because the disk is full.
        with contextlib.suppress(OSError):
            os.ftruncate(self._descriptor, 0)
            os.pwrite(self._descriptor, str(os.getpid()).encode(), 0)

    def release(self) -> None:
        """Releases the lock, so that another process can acquire it."""
        os.close(self._descriptor)
