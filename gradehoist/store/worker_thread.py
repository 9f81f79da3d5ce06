"""Runs blocking work on threads; its result is awaited on the event loop.

All threads are daemon threads, so that the process can end without waiting for a disk that hangs.
"""

from __future__ import annotations

import asyncio
import contextlib
import queue
import threading
from collections.abc import Callable
from typing import Any, Generic, TypeVar

Result = TypeVar("Result")


class _Job(Generic[Result]):
    """One call of `work`, whose outcome completes `future` on the loop that created the job."""

    def __init__(self, work: Callable[[], Result]) -> None:
        self._work = work
        self._loop = asyncio.get_running_loop()
        self.future: asyncio.Future[Result] = self._loop.create_future()

    def run(self) -> None:
        """Runs the work on the calling thread."""
        try:
            result = self._work()
        except BaseException as error:  # noqa: BLE001 - raised again when the future is awaited
            self._report(self._set_exception, error)
        else:
            self._report(self._set_result, result)

    def _report(self, callback: Callable[[Any], None], outcome: Any) -> None:
        with contextlib.suppress(RuntimeError):  # the loop was closed in the meantime
            self._loop.call_soon_threadsafe(callback, outcome)

    def _set_result(self, result: Result) -> None:
        if not self.future.done():
            self.future.set_result(result)

    def _set_exception(self, error: BaseException) -> None:
        if not self.future.done():
            self.future.set_exception(error)


class WorkerThread:
    """A daemon thread that runs jobs one after the other, in the order of the calls."""

    def __init__(self, name: str) -> None:
        """Starts the thread."""
        self._jobs: queue.SimpleQueue[_Job[Any] | None] = queue.SimpleQueue()
        threading.Thread(target=self._run_jobs, name=name, daemon=True).start()

    async def run(self, work: Callable[[], Result]) -> Result:
        """Runs `work` on the thread; returns its result or raises its exception."""
        job = _Job(work)
        self._jobs.put(job)
        return await job.future

    def stop(self) -> None:
        """Ends the thread after the jobs that are already queued."""
        self._jobs.put(None)

    def _run_jobs(self) -> None:
        while (job := self._jobs.get()) is not None:
            job.run()


async def run_in_daemon_thread(work: Callable[[], Result]) -> Result:
    """Runs `work` on a new thread; returns its result or raises its exception."""
    job = _Job(work)
    threading.Thread(target=job.run, daemon=True).start()
    return await job.future
