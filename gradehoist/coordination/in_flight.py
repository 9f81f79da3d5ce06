"""The requests that a participant has sent and that wait for a response. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.requests import Operation, StoreRequest, WatchChanges
from gradehoist.coordination.session import Session
from gradehoist.coordination.watch import Watch
from gradehoist.coordination.writes import CommitQueue

CALL_TIMEOUT_US = 2_000_000
"""How long any call but a watch waits for its response, and how late a watch's response may be."""

Caller = Watch | Session | CommitQueue
"""The parts of a participant that make calls, each at most one at a time."""


@dataclass(frozen=True)
class Call:
    """A call in flight: who made it, and the revision that was known when it left."""

    caller: Caller
    operation: Operation
    known_revision: int


class CallsInFlight:
    """Numbers requests and remembers which call each belongs to."""

    def __init__(self) -> None:
        """Begins without calls."""
        self._calls: dict[int, Call] = {}
        self._last_request_id = 0

    def send(self, call: Call, now_us: int) -> StoreRequest:
        """Registers a call and returns the request to carry out."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self._calls[request_id] = call
        call.caller.schedule.mark_sent(request_id, now_us)
        timeout_us = CALL_TIMEOUT_US
        if isinstance(call.operation, WatchChanges):
            timeout_us += call.operation.wait_us
        return StoreRequest(request_id=request_id, operation=call.operation, timeout_us=timeout_us)

    def take(self, request_id: int) -> Call | None:
        """The call that a result belongs to; None for one that was abandoned."""
        call = self._calls.pop(request_id, None)
        if call is not None:
            call.caller.schedule.request_id = None
        return call

    def abandon(self, caller: Caller) -> None:
        """Gives up a caller's call, if there is one: its result is passed over."""
        if caller.schedule.request_id is not None:
            self.take(caller.schedule.request_id)

    def abandon_all(self) -> None:
        """Gives up all calls; the callers restart their schedules themselves."""
        self._calls.clear()
