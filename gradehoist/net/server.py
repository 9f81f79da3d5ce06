"""An HTTP server over Tornado's IOStream: one coroutine a connection, which reads, asks, writes."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import msgspec
from tornado import gen
from tornado.iostream import IOStream, StreamClosedError

from gradehoist.net.listener import Listener
from gradehoist.net.reading import part
from gradehoist.protocol import http


@dataclass(frozen=True, slots=True)
class ServerResponse:
    status: int = 200
    body: bytes = b""
    headers: http.Headers = ()


def json_response(document: Any, status: int = 200) -> ServerResponse:
    return ServerResponse(status, msgspec.json.encode(document), (("content-type", "application/json"),))


def error_response(status: int, reason: str) -> ServerResponse:
    return json_response({"error": reason}, status)


@dataclass(frozen=True, slots=True)
class ServerTimeouts:
    """Seconds: `idle` between messages, `message` from a message's first byte to its last, `write` for the
    peer to take an answer. A sender that is slower is told 408 and closed."""

    idle_s: float = 30.0
    request_s: float = 5.0
    write_s: float = 5.0


class Connection:
    """What a handler may know of its peer: whether it is still there."""

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self.closed = asyncio.Event()
        stream.set_close_callback(self.closed.set)

    def abort(self) -> None:
        """Closes with a reset, as a process does that dies."""
        sock = self._stream.socket
        if sock is not None and not self._stream.closed():
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self._stream.close()


Handler = Callable[[http.Request, Connection], Awaitable[ServerResponse | None]]


class HttpServer:
    """Hands each request to `handle`; an answer of None closes without one. Requests of one connection are
    answered in order; at most `most` connections are open, the rest are closed at once."""

    def __init__(
        self,
        handle: Handler,
        limits: http.Limits | None = None,
        timeouts: ServerTimeouts | None = None,
        max_connections: int = 20_000,
    ) -> None:
        self._handle, self._limits = handle, limits or http.Limits()
        self._patience, self._most = timeouts or ServerTimeouts(), max_connections
        self.connections = set[Connection]()
        self._listener = Listener(self._accepted)
        self._tasks = set[asyncio.Task[None]]()

    def listen(self, port: int, address: str, backlog: int = 128) -> None:
        """Raises OSError for an address that can't be had."""
        self._listener.listen(port, address, backlog)

    def stop(self) -> None:
        """Listens no more; connections go on."""
        self._listener.stop()

    def _accepted(self, peer: socket.socket) -> None:
        if len(self.connections) >= self._most:
            peer.close()
            return
        stream = IOStream(peer)
        stream.set_nodelay(True)
        connection = Connection(stream)
        self.connections.add(connection)
        task = asyncio.ensure_future(self._connected(stream, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connected(self, stream: IOStream, connection: Connection) -> None:
        try:
            await self._serve(stream, connection)
        except (StreamClosedError, ConnectionError):
            pass
        finally:
            self.connections.discard(connection)
            stream.close()

    async def _serve(self, stream: IOStream, connection: Connection) -> None:
        parser = http.Parser(http.Role.SERVER, self._limits)
        begun = 0.0  # when the message under way began; 0 between messages
        clock = asyncio.get_running_loop().time
        while True:
            wait = (
                self._patience.idle_s if not begun else max(0.0, begun + self._patience.request_s - clock())
            )
            try:
                async with asyncio.timeout(wait):
                    data = await part(stream, 65_536)
            except TimeoutError:
                if begun:
                    await self._write(stream, self._refuse(408, "the request took too long to come"))
                return
            begun = begun or clock()
            while True:
                try:
                    events = parser.receive(data)
                except http.ProtocolError as fault:
                    await self._write(stream, self._refuse(fault.status, fault.reason))
                    return
                for event in events:
                    if isinstance(event, http.ContinueExpected):
                        await self._write(stream, http.format_response(100))
                    elif isinstance(event, http.Request):
                        answer = await self._handle(event, connection)
                        if answer is None or connection.closed.is_set():
                            return
                        await self._write(
                            stream,
                            http.format_response(
                                answer.status,
                                answer.body if event.method != "HEAD" else b"",
                                answer.headers,
                                event.keep_alive,
                            ),
                        )
                        if not event.keep_alive:
                            return
                if not events:
                    break
                data = b""  # a fault behind complete messages shows at the next call
                if parser.is_between_messages:
                    break
            if parser.is_between_messages:
                begun = 0.0

    async def _write(self, stream: IOStream, data: bytes) -> None:
        try:
            await gen.with_timeout(
                timedelta(seconds=self._patience.write_s),
                stream.write(data),
                quiet_exceptions=(StreamClosedError,),
            )
        except TimeoutError:
            raise StreamClosedError from None

    @staticmethod
    def _refuse(status: int, reason: str) -> bytes:
        answer = error_response(status, reason)
        return http.format_response(status, answer.body, answer.headers, keep_alive=False)

    def abort(self) -> None:
        """Stops listening and resets every connection, as the death of a process does."""
        self.stop()
        for connection in list(self.connections):
            connection.abort()
