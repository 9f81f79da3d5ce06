"""Runs a participant's requests to the coordination store, each in its own task."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from typing import Protocol

from gradehoist.clock import monotonic_us
from gradehoist.coordination.notifications import Notification
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.requests import Response, StoreRequest, failure_without_response, perform
from gradehoist.coordination.store import CoordinationError, CoordinationStore

MAX_WAIT_S = 1.0  # between two ticks; bounds the delay of the owner's decisions
_US_PER_S = 1_000_000


class CallRecorder(Protocol):
    """Records a history of the requests and their outcomes."""

    def record_invocation(self, request: StoreRequest) -> None:
        """Called before a request is sent."""

    def record_completion(self, request: StoreRequest, result: Response | CoordinationError) -> None:
        """Called with the result before it is passed to the participant."""


class CoordinationClient:
    """Runs a participant against a store and closes the store at the end.

    `on_notification` is called with each notification, in order. `on_tick` is called with the time (µs) in
    each round, for decisions that depend on the participant's state.
    """

    LEAVE_TIMEOUT_S = 1.0  # of `leave`; a session that is not ended by then expires later

    def __init__(
        self,
        participant: Participant,
        store: CoordinationStore,
        on_notification: Callable[[Notification], None],
        on_tick: Callable[[int], None] = lambda now_us: None,
        recorder: CallRecorder | None = None,
    ) -> None:
        """Creates a client; `run` starts it."""
        self.participant = participant
        self.store = store
        self._on_notification = on_notification
        self._on_tick = on_tick
        self._recorder = recorder
        self._wakeup = asyncio.Event()
        self._calls = set[asyncio.Task[None]]()

    async def run(self) -> None:
        """Runs requests until the participant has left or the task is cancelled."""
        try:
            while not self.participant.has_left:
                self._start_due_requests()
                self._deliver_notifications()
                self._on_tick(monotonic_us())
                self._deliver_notifications()
                await self._wait_for_next_request()
        finally:
            await self._cancel_calls()
            await self.store.close()

    def wake(self) -> None:
        """Starts the next round at once, for example after a commit was proposed."""
        self._wakeup.set()

    async def leave(self, running: asyncio.Task[None]) -> None:
        """Ends the session, waiting at most `LEAVE_TIMEOUT_S`, and cancels `running`, the task of `run`."""
        self.participant.leave()
        self.wake()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.LEAVE_TIMEOUT_S):
                await asyncio.shield(running)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    def _start_due_requests(self) -> None:
        for request in self.participant.take_due_requests(monotonic_us()):
            call = asyncio.ensure_future(self._run_request(request))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    def _deliver_notifications(self) -> None:
        while notifications := self.participant.take_notifications():
            for notification in notifications:
                self._on_notification(notification)

    async def _wait_for_next_request(self) -> None:
        due_in_us = self.participant.next_request_at_us(monotonic_us()) - monotonic_us()
        wait_s = min(MAX_WAIT_S, due_in_us / _US_PER_S)
        if wait_s > 0:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._wakeup.wait()
        else:
            await asyncio.sleep(0)
        self._wakeup.clear()

    async def _cancel_calls(self) -> None:
        for call in list(self._calls):
            call.cancel()
        await asyncio.gather(*self._calls, return_exceptions=True)

    async def _run_request(self, request: StoreRequest) -> None:
        if self._recorder is not None:
            self._recorder.record_invocation(request)
        outcome = await self._perform(request)
        if self._recorder is not None:
            self._recorder.record_completion(request, outcome)
        if isinstance(outcome, CoordinationError):
            self.participant.handle_failure(monotonic_us(), request.request_id, outcome)
        else:
            self.participant.handle_response(monotonic_us(), request.request_id, outcome)
        self.wake()

    async def _perform(self, request: StoreRequest) -> Response | CoordinationError:
        """Returns the store's response, or an error that tells whether the outcome is known."""
        operation = request.operation
        name = type(operation).__name__
        timeout_s = request.timeout_us / _US_PER_S
        try:
            async with asyncio.timeout(timeout_s):
                return await perform(self.store, operation)
        except TimeoutError:
            return failure_without_response(operation, f"no response to {name} within {timeout_s:g} s")
        except CoordinationError as error:
            return error
        except Exception as error:  # noqa: BLE001 - the participant would wait forever for an outcome
            return failure_without_response(operation, f"{name}: {error!r}")
