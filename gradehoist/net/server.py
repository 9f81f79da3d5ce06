"""An HTTP server on Tornado's IOStream with one task for each connection.

The requests of a connection are handled in order, and other tasks run after each of them. Once the peer has
closed the connection, its remaining requests are dropped: nobody would learn what became of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from tornado import gen
from tornado.iostream import StreamClosedError

from gradehoist.net.listener import Listener
from gradehoist.net.peer_connection import PeerConnection
from gradehoist.net.peer_memory import PeerMemory, peer_budget_bytes
from gradehoist.net.process_memory import memory_limit_bytes, used_memory_bytes
from gradehoist.protocol import http
from gradehoist.protocol.http_parser import STEPS_PER_TURN, Parser

MAX_CONNECTIONS = 20_000
_FIRST_ERROR_STATUS = 400
# How often the server checks whether the peers of requests in progress have left.
_CLOSE_CHECK_PERIOD_S = 0.25
_RESET_ON_CLOSE = b"\1\0\0\0\0\0\0\0"  # struct linger: enabled, zero seconds


@dataclass(frozen=True, slots=True)
class ServerResponse:
    """A handler's response; the server adds the content length."""

    status: int = 200
    body: bytes = b""
    headers: http.Headers = ()


def json_response(document: Any, status: int = 200) -> ServerResponse:
    """Returns a response with `document` as JSON."""
    return ServerResponse(
        status=status,
        body=msgspec.json.encode(document),
        headers=(("content-type", "application/json"),),
    )


def error_response(status: int, reason: str) -> ServerResponse:
    """Returns a JSON response that gives the reason why a request was rejected."""
    return json_response({"error": reason}, status)


@dataclass(frozen=True, slots=True)
class ServerTimeouts:
    """Time limits in seconds after which a peer's connection is closed.

    `idle_s` limits the time between requests, `request_s` the time from a request's first byte to its last
    (the response is then 408) and `write_s` the time in which the peer has to read a response.
    """

    idle_s: float = 30.0
    request_s: float = 5.0
    write_s: float = 5.0


class Connection(PeerConnection):
    """A peer's connection; `closed` is set when it is closed, so that a handler can wait for that."""

    def __init__(self, sock: socket.socket, memory: PeerMemory, limits: http.Limits) -> None:
        """Wraps a socket and sets the stream's close callback."""
        self.parser = Parser(http.Role.SERVER, limits)
        super().__init__(sock, memory, self.parser)
        self.closed = asyncio.Event()
        self.stream.set_close_callback(self.closed.set)

    def evict(self, reason: str) -> None:
        """Responds that the server is overloaded and closes the connection."""
        with contextlib.suppress(StreamClosedError):
            self.write(_format_error(503, reason))
        self.close()

    def abort(self) -> None:
        """Closes the connection with a TCP reset, which is what a peer sees after the process is killed."""
        sock = self.stream.socket
        if sock is not None and not self.stream.closed():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self.stream.close()


Handler = Callable[[http.Request, Connection], Awaitable[ServerResponse | None]]


class HttpServer:
    """Passes each request to `handler`; the requests of one connection are handled in order.

    A handler that returns None closes the connection without a response. Connections beyond `max_connections`
    are closed at once.
    """

    def __init__(
        self,
        handler: Handler,
        limits: http.Limits | None = None,
        timeouts: ServerTimeouts | None = None,
        max_connections: int = MAX_CONNECTIONS,
        memory: PeerMemory | None = None,
    ) -> None:
        """Creates a server, which counts what its peers hold against `memory`; `listen` starts it."""
        self._handler = handler
        self._limits = limits or http.Limits()
        self._timeouts = timeouts or ServerTimeouts()
        self._max_connections = max_connections
        self.memory = memory or PeerMemory(peer_budget_bytes(memory_limit_bytes(), used_memory_bytes()))
        self.connections = set[Connection]()
        self._in_progress = set[Connection]()  # with a request that the handler has not answered yet
        self._close_check: asyncio.TimerHandle | None = None
        self._listener = Listener(self._on_accept)
        self._tasks = set[asyncio.Task[None]]()

    def listen(self, port: int, address: str, backlog: int = 128) -> None:
        """Starts accepting connections. Raises OSError if the address cannot be bound."""
        self._listener.listen(port, address, backlog)

    def _close_abandoned(self) -> None:
        """Closes the connections of peers that left while their request is handled.

        A stream does not notice the end of its connection while requests behind this one are unread.
        """
        self._close_check = None
        for connection in list(self._in_progress):
            if connection.has_peer_closed():
                connection.close()
        self._schedule_close_check()

    def _schedule_close_check(self) -> None:
        if self._in_progress and self._close_check is None:
            loop = asyncio.get_running_loop()
            self._close_check = loop.call_later(_CLOSE_CHECK_PERIOD_S, self._close_abandoned)

    def stop(self) -> None:
        """Stops accepting connections; open connections stay open."""
        self._listener.stop()

    def abort(self) -> None:
        """Stops accepting and resets every connection, as if the process were killed."""
        self.stop()
        for connection in list(self.connections):
            connection.abort()

    def _on_accept(self, accepted: socket.socket) -> None:
        if len(self.connections) >= self._max_connections:
            accepted.close()
            return
        connection = Connection(accepted, self.memory, self._limits)
        self.connections.add(connection)
        task = asyncio.ensure_future(self._run_connection(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        self.memory.add(connection)

    async def _run_connection(self, connection: Connection) -> None:
        try:
            await self._serve(connection)
        except (StreamClosedError, ConnectionError):
            pass  # the peer closed the connection
        finally:
            self.connections.discard(connection)
            connection.close()

    async def _serve(self, connection: Connection) -> None:
        """Reads and answers requests until the connection has to be closed."""
        parser = connection.parser
        clock = asyncio.get_running_loop().time
        request_started_s: float | None = None
        while True:
            if request_started_s is None:
                timeout_s = self._timeouts.idle_s
            else:
                timeout_s = max(0.0, request_started_s + self._timeouts.request_s - clock())
            try:
                async with asyncio.timeout(timeout_s):
                    data = await connection.read()
            except TimeoutError:
                if request_started_s is not None:
                    await self._write_error(connection, 408, "the request took too long to come")
                return
            if request_started_s is None:
                request_started_s = clock()
            if not await self._answer_requests(data, connection):
                return
            if parser.is_between_messages:
                request_started_s = None

    async def _answer_requests(self, data: bytes, connection: Connection) -> bool:
        """Answers the requests that `data` completes; False if the connection has to be closed."""
        parser = connection.parser
        steps = 0
        while True:
            try:
                events = parser.receive(data, max_steps=1)
            except http.ProtocolError as error:
                await self._write_error(connection, error.status, error.reason)
                return False
            data = b""
            connection.count_unfinished()
            for event in events:
                if not await self._answer(event, connection):
                    return False
            if not parser.is_paused:
                return True
            steps += 1
            if events or steps % STEPS_PER_TURN == 0:
                await asyncio.sleep(0)

    async def _answer(self, event: http.Event, connection: Connection) -> bool:
        """Answers one event of the parser; False if the connection has to be closed."""
        if isinstance(event, http.ContinueExpected):
            await self._write(connection, http.format_response(100))
            return True
        if not isinstance(event, http.Request):
            return True
        if connection.has_peer_closed():
            return False
        response = await self._handle(event, connection)
        if response is None or connection.closed.is_set():
            return False
        body = b"" if event.method == "HEAD" else response.body
        data = http.format_response(response.status, body, response.headers, event.keep_alive)
        connection.usage.is_established |= response.status < _FIRST_ERROR_STATUS
        await self._write(connection, data)
        return event.keep_alive

    async def _handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        self._in_progress.add(connection)
        self._schedule_close_check()
        try:
            return await self._handler(request, connection)
        finally:
            self._in_progress.discard(connection)

    async def _write_error(self, connection: Connection, status: int, reason: str) -> None:
        await self._write(connection, _format_error(status, reason))

    async def _write(self, connection: Connection, data: bytes) -> None:
        """Writes the data and waits until the socket has taken all of it.

        Raises:
            StreamClosedError: The stream is closed, or the peer did not read the data within `write_s`.
        """
        try:
            await gen.with_timeout(
                timedelta(seconds=self._timeouts.write_s),
                connection.write(data),
                quiet_exceptions=(StreamClosedError,),
            )
        except TimeoutError:
            raise StreamClosedError from None


def _format_error(status: int, reason: str) -> bytes:
    """Encodes an error response after which the connection is closed."""
    response = error_response(status, reason)
    return http.format_response(response.status, response.body, response.headers, keep_alive=False)
