"""A group of background tasks whose owner is notified of failures and can cancel all of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine, Iterator
from typing import Any


class BackgroundTasks:
    """Tasks that run until they complete or `cancel` is called."""

    def __init__(self, on_failure: Callable[[BaseException], None]) -> None:
        """Creates an empty group; `on_failure` is called with the exception of each task that raises.

        A cancelled task is not a failure.
        """
        self._on_failure = on_failure
        self._tasks = set[asyncio.Task[None]]()

    def __iter__(self) -> Iterator[asyncio.Task[None]]:
        """Iterates over the running tasks."""
        return iter(self._tasks)

    def start(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Starts a task that runs the coroutine."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    async def cancel(self) -> None:
        """Cancels all tasks and waits until they have ended."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        if (failure := task.exception()) is not None:
            self._on_failure(failure)
