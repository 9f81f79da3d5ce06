"""Carries an agent's calls to the register's home: a task for each call, one that waits for the next."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Protocol

from gradehoist.coordination.notifications import Notification
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.requests import Response, StoreRequest, failure_without_response, perform
from gradehoist.coordination.store import CoordinationError, CoordinationStore


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


class CallRecorder(Protocol):
    """Who writes a history, if one is kept."""

    def record_invocation(self, ask: StoreRequest) -> None: ...

    def record_completion(self, ask: StoreRequest, answer: Response | CoordinationError) -> None: ...


class CoordinationClient:
    """`run` goes on until `leave` and what that takes, or until it is cancelled. `told` hears all news, in
    order; `ticked` is called after each turn, for what decides on the copy."""

    LEAVE_TIMEOUT_S = 1.0  # seconds for a planned leave: its session runs out by itself

    def __init__(
        self,
        agent: Participant,
        store: CoordinationStore,
        on_notification: Callable[[Notification], None],
        on_tick: Callable[[int], None] = lambda now: None,
        recorder: CallRecorder | None = None,
    ) -> None:
        """Starts nothing yet; `run` does."""
        self.agent, self.store = agent, store
        self._told, self._ticked, self._scribe = on_notification, on_tick, recorder
        self._kick = asyncio.Event()
        self._tasks = set[asyncio.Task[None]]()

    async def run(self) -> None:
        try:
            while not self.agent.has_left:
                for ask in self.agent.take_due_requests(monotonic_us()):
                    task = asyncio.ensure_future(self._call(ask))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                self._tell()
                self._ticked(monotonic_us())
                self._tell()
                wait = min(1.0, (self.agent.next_request_at_us(monotonic_us()) - monotonic_us()) / 1e6)
                if wait > 0:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(wait):
                            await self._kick.wait()
                else:
                    await asyncio.sleep(0)
                self._kick.clear()
        finally:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self.store.close()

    def wake(self) -> None:
        """Something was proposed."""
        self._kick.set()

    async def leave(self, running: asyncio.Task[None]) -> None:
        """Ends the session, if that is quickly done."""
        self.agent.leave()
        self.wake()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.LEAVE_TIMEOUT_S):
                await asyncio.shield(running)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def _tell(self) -> None:
        while news := self.agent.take_notifications():
            for one in news:
                self._told(one)

    async def _call(self, ask: StoreRequest) -> None:
        if self._scribe is not None:
            self._scribe.record_invocation(ask)
        operation = ask.operation
        answer: Response | CoordinationError
        try:
            async with asyncio.timeout(ask.timeout_us / 1e6):
                answer = await perform(self.store, operation)
        except TimeoutError:
            reason = f"no answer to {type(operation).__name__} within {ask.timeout_us / 1e6:g} s"
            answer = failure_without_response(operation, reason)
        except CoordinationError as fault:
            answer = fault
        except Exception as fault:
            # An answer that is none, or a bug: unanswered, the agent would wait for good.
            answer = failure_without_response(operation, f"{type(operation).__name__}: {fault!r}")
        if self._scribe is not None:
            self._scribe.record_completion(ask, answer)
        if isinstance(answer, CoordinationError):
            self.agent.handle_failure(monotonic_us(), ask.request_id, answer)
        else:
            self.agent.handle_response(monotonic_us(), ask.request_id, answer)
        self.wake()
