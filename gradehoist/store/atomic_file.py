"""Atomic replacement of small files: after a crash, a file holds either its old or its new content."""

from __future__ import annotations

import os
from pathlib import Path

from gradehoist.store.worker_thread import run_in_daemon_thread


def write_file(path: Path, data: bytes) -> None:
    """Replaces the content of a file and waits until it is on the disk.

    Missing parent folders are created. The data is written to a temporary file in the same folder, which is
    then renamed.

    Raises:
        OSError: The file could not be replaced and keeps its old content.
    """
    path.parent.mkdir(parents=True, exist_ok=True)
    temporary = path.with_name(path.name + ".part")
    with temporary.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


async def write_file_in_thread(path: Path, data: bytes) -> None:
    """Does the same as `write_file` on another thread: on the event loop, a slow disk would delay drains.

    The caller must not write to the same path concurrently. The process may exit before the write is
    complete.

    Raises:
        OSError: The file could not be replaced and keeps its old content.
    """
    await run_in_daemon_thread(lambda: write_file(path, data))


def _sync_folder(folder: Path) -> None:
    """Waits until changes of the folder's entries, such as a rename, are on the disk."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
