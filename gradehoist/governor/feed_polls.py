"""Holds long polls until their stream has messages or the hold time ends."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from enum import Enum

import msgspec

from gradehoist.clock import monotonic_us
from gradehoist.governor.proxy_sessions import FeedPoll
from gradehoist.governor.shell_state import ShellState
from gradehoist.net.server import Connection, ServerResponse, error_response
from gradehoist.protocol.feed import PollResponse

_ENCODER = msgspec.json.Encoder()
_JSON_HEADERS = (("content-type", "application/json"),)


class _Wakeup(Enum):
    """Why a held poll stopped waiting."""

    MESSAGES = "messages"
    SUPERSEDED = "superseded"
    STOPPING = "stopping"
    DISCONNECTED = "disconnected"
    TIMED_OUT = "timed out"


class FeedPolls:
    """The held polls, at most one for each proxy. The service owns it."""

    def __init__(self, shell: ShellState) -> None:
        """Creates the set without polls."""
        self._core = shell.core
        self._signals = shell.signals
        self._waiters: dict[int, asyncio.Future[_Wakeup]] = {}  # by proxy

    async def answer(self, poll: FeedPoll, connection: Connection) -> ServerResponse | None:
        """Holds a poll and returns its answer; None if the connection has closed in the meantime.

        Raises:
            RequestRejectedError: this governor can't serve the proxy.
        """
        response = self._core.handle_poll(monotonic_us(), poll)
        proxy = self._core.identifiers.proxies[poll.proxy_name]
        self._end_wait(proxy, _Wakeup.SUPERSEDED)
        self._signals.core_changed.set()
        deadline = asyncio.get_running_loop().time() + self._core.fleet.poll_hold_us / 1e6
        while response is None:
            match await self._wait(proxy, connection, deadline):
                case _Wakeup.SUPERSEDED:
                    return error_response(409, "a later poll of this relay has taken over")
                case _Wakeup.STOPPING:
                    return error_response(503, "the governor stops")
                case _Wakeup.DISCONNECTED:
                    self._core.remove_proxy(proxy, "its connection closed", poll.stream)
                    self._signals.core_changed.set()
                    return None
                case _Wakeup.TIMED_OUT:
                    response = PollResponse(epoch=self._core.epoch, stream=poll.stream)
                case _Wakeup.MESSAGES:
                    response = self._core.handle_poll(monotonic_us(), poll)
        return ServerResponse(200, _ENCODER.encode(response), _JSON_HEADERS)

    def wake(self, proxies: Iterable[int]) -> None:
        """Evaluates the held polls of these proxies again."""
        for proxy in proxies:
            waiter = self._waiters.get(proxy)
            if waiter is not None and not waiter.done():
                waiter.set_result(_Wakeup.MESSAGES)

    def stop(self) -> None:
        """Answers all held polls with the error that the governor stops."""
        for waiter in list(self._waiters.values()):
            if not waiter.done():
                waiter.set_result(_Wakeup.STOPPING)

    def _end_wait(self, proxy: int, wakeup: _Wakeup) -> None:
        waiter = self._waiters.pop(proxy, None)
        if waiter is not None and not waiter.done():
            waiter.set_result(wakeup)

    async def _wait(self, proxy: int, connection: Connection, deadline: float) -> _Wakeup:
        """Waits until `deadline` on the loop's clock, until the connection closes, or until `wake`."""
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[_Wakeup] = loop.create_future()
        self._waiters[proxy] = waiter
        closed = asyncio.ensure_future(connection.closed.wait())
        timeout_s = max(0.0, deadline - loop.time())
        await asyncio.wait((waiter, closed), timeout=timeout_s, return_when=asyncio.FIRST_COMPLETED)
        closed.cancel()
        if self._waiters.get(proxy) is waiter:
            del self._waiters[proxy]
        if waiter.done():
            return waiter.result()
        return _Wakeup.DISCONNECTED if connection.closed.is_set() else _Wakeup.TIMED_OUT
