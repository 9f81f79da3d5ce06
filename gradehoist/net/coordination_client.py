"""Carries an agent's calls to the register's home: a task for each call, one that waits for the next."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections.abc import Callable
from typing import Any, Protocol

from gradehoist.coordination.agent import Notification, Participant, StoreRequest
from gradehoist.coordination.store import (
    CoordinationError,
    CoordinationStore,
    OutcomeUnknownError,
    StoreUnavailableError,
)

WRITE_OPERATIONS = ("commit", "open", "end")


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


class CallRecorder(Protocol):
    """Who writes a history, if one is kept."""

    def record_invocation(self, ask: StoreRequest) -> None: ...

    def record_completion(self, ask: StoreRequest, answer: Any) -> None: ...


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
        while self.agent.notifications:
            news, self.agent.notifications = self.agent.notifications, []
            for one in news:
                self._told(one)

    async def _call(self, ask: StoreRequest) -> None:
        if self._scribe is not None:
            self._scribe.record_invocation(ask)
        answer: Any
        try:
            async with asyncio.timeout(ask.timeout_us / 1e6):
                answer = await getattr(self.store, ask.operation)(*ask.args)
        except TimeoutError:
            what = OutcomeUnknownError if ask.operation in WRITE_OPERATIONS else StoreUnavailableError
            answer = what(f"no answer to {ask.operation} within {ask.timeout_us / 1e6:g} s")
        except CoordinationError as fault:
            answer = fault
        except Exception as fault:
            # An answer that is none, or a bug: unanswered, the agent would wait for good.
            what = OutcomeUnknownError if ask.operation in WRITE_OPERATIONS else StoreUnavailableError
            answer = what(f"{ask.operation}: {fault!r}")
        if self._scribe is not None:
            self._scribe.record_completion(ask, answer)
        if isinstance(answer, CoordinationError):
            self.agent.handle_failure(monotonic_us(), ask.request_id, answer)
        else:
            self.agent.handle_response(monotonic_us(), ask.request_id, answer)
        self.wake()
