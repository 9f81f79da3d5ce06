"""Background tasks with an owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class OwnedTasks:
    """Tasks that live as long as their owner: a failure of one is reported, and `cancel_all` ends them."""

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        """Reports the exception of a failed task to `on_failure`."""
        self._tasks = set[asyncio.Task[None]]()
        self._on_failure = on_failure

    def __len__(self) -> int:
        """The number of tasks that have not ended."""
        return len(self._tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Runs a coroutine as a task."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self._on_failure(error)

    async def cancel_all(self) -> None:
        """Cancels all tasks and waits for their ends."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
