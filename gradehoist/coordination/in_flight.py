"""Keeps track of the requests of a participant that are waiting for a response. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.requests import Operation, StoreRequest, WatchChanges
from gradehoist.coordination.session import Session
from gradehoist.coordination.watch import Watch
from gradehoist.coordination.writes import CommitQueue

CALL_TIMEOUT_US = 2_000_000
"""Timeout of a call. A watch has this time in addition to its own waiting time."""

Caller = Watch | Session | CommitQueue
"""The parts of a participant that make calls. Each has at most one call in flight."""


@dataclass(frozen=True)
class Call:
    """A call in flight.

    Attributes:
        caller: The part of the participant that made the call.
        operation: The operation that was requested.
        known_revision: The cached revision when the call was sent.
    """

    caller: Caller
    operation: Operation
    known_revision: int


class CallsInFlight:
    """Assigns request ids, and maps each request in flight to its call."""

    def __init__(self) -> None:
        """Creates a mapping without calls."""
        self._calls: dict[int, Call] = {}
        self._last_request_id = 0

    def send(self, call: Call, now_us: int) -> StoreRequest:
        """Registers a call and returns the request to perform."""
        self._last_request_id += 1
        request_id = self._last_request_id
        self._calls[request_id] = call
        call.caller.schedule.mark_sent(request_id, now_us)
        timeout_us = CALL_TIMEOUT_US
        if isinstance(call.operation, WatchChanges):
            timeout_us += call.operation.wait_us
        return StoreRequest(request_id=request_id, operation=call.operation, timeout_us=timeout_us)

    def take(self, request_id: int) -> Call | None:
        """Removes and returns the call that a result belongs to, or None if the call was abandoned."""
        call = self._calls.pop(request_id, None)
        if call is not None:
            call.caller.schedule.request_id = None
        return call

    def abandon(self, caller: Caller) -> None:
        """Abandons the call that a caller has in flight, if any. Its result will be ignored."""
        if caller.schedule.request_id is not None:
            self.take(caller.schedule.request_id)

    def abandon_all(self) -> None:
        """Abandons all calls. The callers have to restart their schedules themselves."""
        self._calls.clear()
