"""Atomic replacement of small files: after a crash a file holds its old content or the new, never a part."""

from __future__ import annotations

import os
from pathlib import Path

from gradehoist.store.worker_thread import run_in_daemon_thread


def write_file(path: Path, data: bytes) -> None:
    """Replaces the content of a file and waits until the disk has it.

    Missing parent folders are created. The data is written beside the file and then renamed over it.

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
    """Does what `write_file` does without blocking the event loop, where a slow disk would delay drains.

    The caller makes sure that a path has one write at a time. The process does not wait for the thread at
    its end.

    Raises:
        OSError: The file could not be replaced and keeps its old content.
    """
    await run_in_daemon_thread(lambda: write_file(path, data))


def _sync_folder(folder: Path) -> None:
    """Waits until the disk has the folder's entries, and with them a rename."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
