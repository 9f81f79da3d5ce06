"""An HTTP client over Tornado's IOStream: reused connections to one address, a deadline for each request."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta

from tornado import gen
from tornado.iostream import IOStream, StreamClosedError

from gradehoist.protocol import http
from gradehoist.protocol.http_parser import Parser

CONNECT_TIMEOUT_S = 0.25  # within one site a connection takes milliseconds
IDLE_TIMEOUT_S = 15.0  # half of the time after which our own server closes an idle connection
REQUEST_TIMEOUT_S = 5.0
_MAX_BUFFER_BYTES = 64 << 20  # beyond the largest body that limits allow
_READ_BYTES = 1 << 18


class HttpClientError(Exception):
    """A request to `host`:`port` that has no response."""

    def __init__(self, host: str, port: int, reason: str) -> None:
        """Makes the text of the address and the reason."""
        super().__init__(f"{host}:{port}: {reason}")
        self.host = host
        self.port = port
        self.reason = reason


class ConnectError(HttpClientError):
    """There was no connection: nothing was sent."""


class ConnectionLostError(HttpClientError):
    """The connection ended, or what came was not HTTP; the request may have been carried out."""


class ResponseTimeoutError(HttpClientError):
    """There was no response by the deadline; the request may have been carried out."""


class _Connection:
    """A connection for one request at a time, which is watched while it is idle."""

    def __init__(self, stream: IOStream, limits: http.Limits) -> None:
        self.stream = stream
        self.parser = Parser(http.Role.CLIENT, limits)
        self.last_used_s = 0.0
        self._pending_read: asyncio.Future[bytes] | None = None

    def start_read(self) -> None:
        """Starts to read, which goes on while the connection is idle. Raises StreamClosedError."""
        self._pending_read = asyncio.ensure_future(self.stream.read_bytes(_READ_BYTES, partial=True))

    async def read(self, timeout_s: float) -> bytes:
        """Returns what arrives next. Raises StreamClosedError, TimeoutError."""
        if self._pending_read is None:
            self.start_read()
        reading, self._pending_read = self._pending_read, None
        assert reading is not None
        data: bytes = await gen.with_timeout(
            timedelta(seconds=timeout_s), reading, quiet_exceptions=(StreamClosedError,)
        )
        return data

    def is_reusable(self) -> bool:
        """True if it is open and nothing has arrived since the last response.

        Bytes that arrive while no request is under way would pass for the response to the next one.
        """
        if self.stream.closed() or self._pending_read is None or self._pending_read.done():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False


class HttpClient:
    """Connections to `host`:`port`; the owner calls `close`.

    A connection carries one request at a time and is reused within `idle_timeout_s` of its last use.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        limits: http.Limits | None = None,
    ) -> None:
        """Opens no connection yet."""
        self.host = host
        self.port = port
        self._connect_timeout_s = connect_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._limits = limits or http.Limits()
        self._idle_connections: list[_Connection] = []
        self._connections = set[_Connection]()

    async def request(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        headers: http.Headers = (),
        timeout_s: float = REQUEST_TIMEOUT_S,
    ) -> http.Response:
        """Sends a request and returns its final response; a cancelled request closes its connection.

        Nothing is sent twice. Where a reused connection closes, nobody knows whether the request was carried
        out, and even a GET may have an effect, as a poll of the feed does.

        Raises:
            ConnectError: There was no connection.
            ConnectionLostError: The connection ended before the response did.
            ResponseTimeoutError: The response did not end within `timeout_s`.
        """
        clock = asyncio.get_running_loop().time
        deadline_s = clock() + timeout_s
        connection = await self._acquire(clock())
        reusable = False
        try:
            connection.parser.expect_response(method)
            address = f"{self.host}:{self.port}"
            connection.stream.write(http.format_request(method, target, address, body, headers))
            response = await self._read_response(connection, deadline_s)
            reusable = response.keep_alive and connection.parser.is_between_messages
            return response
        except TimeoutError:
            raise self._error(ResponseTimeoutError, f"no answer within {timeout_s:.3g} s") from None
        except StreamClosedError:
            response_at_end = _response_at_end(connection)
            if response_at_end is None:
                raise self._error(ConnectionLostError, "closed before the answer") from None
            return response_at_end
        except http.ProtocolError as error:
            raise self._error(ConnectionLostError, error.reason) from None
        finally:
            self._release(connection, reusable)

    def close(self) -> None:
        """Closes all connections; requests under way raise ConnectionLostError."""
        for connection in list(self._connections):
            self._discard(connection)
        self._idle_connections.clear()

    async def _acquire(self, now_s: float) -> _Connection:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.is_reusable() and now_s - connection.last_used_s < self._idle_timeout_s:
                return connection
            self._discard(connection)
        return await self._connect()

    async def _connect(self) -> _Connection:
        try:
            own_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:  # no file descriptor left: unhandled, it once ended the governor
            raise self._error(ConnectError, str(error.strerror)) from None
        stream = IOStream(own_socket, max_buffer_size=_MAX_BUFFER_BYTES)
        try:
            await gen.with_timeout(
                timedelta(seconds=self._connect_timeout_s),
                stream.connect((self.host, self.port)),
                quiet_exceptions=(StreamClosedError, OSError),
            )
        except (TimeoutError, StreamClosedError, OSError) as error:
            stream.close()
            raise self._error(ConnectError, str(error) or "no connection in time") from None
        stream.set_nodelay(True)
        connection = _Connection(stream, self._limits)
        self._connections.add(connection)
        return connection

    async def _read_response(self, connection: _Connection, deadline_s: float) -> http.Response:
        clock = asyncio.get_running_loop().time
        while True:
            data = await connection.read(max(0.0, deadline_s - clock()))
            for event in connection.parser.receive(data):
                if isinstance(event, http.Response) and event.status >= http.FIRST_FINAL_STATUS:
                    return event

    def _release(self, connection: _Connection, reusable: bool) -> None:
        """Keeps the connection for the next request, or closes it."""
        if not reusable:
            self._discard(connection)
            return
        try:
            connection.start_read()
        except StreamClosedError:
            self._discard(connection)
            return
        connection.last_used_s = asyncio.get_running_loop().time()
        self._idle_connections.append(connection)

    def _discard(self, connection: _Connection) -> None:
        self._connections.discard(connection)
        connection.stream.close()

    def _error(self, error_type: type[HttpClientError], reason: str) -> HttpClientError:
        return error_type(self.host, self.port, reason)


def _response_at_end(connection: _Connection) -> http.Response | None:
    """Returns the response that the end of the connection completes, if there is one."""
    try:
        events = connection.parser.receive_eof()
    except http.ProtocolError:
        return None
    for event in events:
        if isinstance(event, http.Response):
            return event
    return None
