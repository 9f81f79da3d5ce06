"""An HTTP client on Tornado's IOStream with connection reuse and a timeout for each request."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta

from tornado import gen
from tornado.iostream import IOStream, StreamClosedError

from gradehoist.protocol import http
from gradehoist.protocol.http_parser import STEPS_PER_TURN, Parser

CONNECT_TIMEOUT_S = 0.25  # connecting within one site takes milliseconds
IDLE_TIMEOUT_S = 15.0  # half of the time after which HttpServer closes an idle connection
REQUEST_TIMEOUT_S = 5.0
_MAX_BUFFER_BYTES = 64 << 20  # more than the largest body that http.Limits allows
_READ_BYTES = 1 << 18


class HttpClientError(Exception):
    """A request to `host`:`port` failed without a response."""

    def __init__(self, host: str, port: int, reason: str) -> None:
        """Builds the message from the address and the reason."""
        super().__init__(f"{host}:{port}: {reason}")
        self.host = host
        self.port = port
        self.reason = reason


class ConnectError(HttpClientError):
    """No connection was established; nothing was sent."""


class ConnectionLostError(HttpClientError):
    """The connection closed or the response was malformed; the request may have been carried out."""


class ResponseTimeoutError(HttpClientError):
    """No complete response arrived in time; the request may have been carried out."""


class _Connection:
    """A connection that carries one request at a time and is read from while it is idle."""

    def __init__(self, stream: IOStream, limits: http.Limits) -> None:
        self.stream = stream
        self.parser = Parser(http.Role.CLIENT, limits)
        self.last_used_s = 0.0
        self._pending_read: asyncio.Future[bytes] | None = None

    def start_read(self) -> None:
        """Starts a read, which stays pending while the connection is idle. Raises StreamClosedError."""
        self._pending_read = asyncio.ensure_future(self.stream.read_bytes(_READ_BYTES, partial=True))

    async def read(self, timeout_s: float) -> bytes:
        """Returns the next received bytes. Raises StreamClosedError and TimeoutError."""
        if self._pending_read is None:
            self.start_read()
        reading, self._pending_read = self._pending_read, None
        assert reading is not None
        data: bytes = await gen.with_timeout(
            timedelta(seconds=timeout_s), reading, quiet_exceptions=(StreamClosedError,)
        )
        return data

    def is_reusable(self) -> bool:
        """Whether the connection is open and nothing has arrived since the last response.

        Bytes that arrive between requests would be taken for the response to the next request.
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
    """A client for `host`:`port`; the owner has to call `close`.

    A connection carries one request at a time and is reused if its last use is less than `idle_timeout_s`
    ago.
    """

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        idle_timeout_s: float = IDLE_TIMEOUT_S,
        limits: http.Limits | None = None,
    ) -> None:
        """Creates a client; connections are opened on demand."""
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
        """Sends a request and returns its final response; cancellation closes the connection.

        Requests are never retried. When a reused connection closes, it is unknown whether the request was
        carried out, and even a GET may have an effect, as a poll of the feed does.

        Raises:
            ConnectError: No connection was established.
            ConnectionLostError: The connection closed before the response was complete, or the response is
                malformed.
            ResponseTimeoutError: The response was not complete within `timeout_s`.
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
            raise self._error(ResponseTimeoutError, f"no response within {timeout_s:.3g} s") from None
        except StreamClosedError:
            response_at_end = _response_at_end(connection)
            if response_at_end is None:
                raise self._error(ConnectionLostError, "connection closed before the response") from None
            return response_at_end
        except http.ProtocolError as error:
            raise self._error(ConnectionLostError, error.reason) from None
        finally:
            self._release(connection, reusable)

    def close(self) -> None:
        """Closes all connections; pending requests raise ConnectionLostError."""
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
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            # No file descriptor is left. This error was once unhandled and terminated the governor.
            raise self._error(ConnectError, str(error.strerror)) from None
        stream = IOStream(sock, max_buffer_size=_MAX_BUFFER_BYTES)
        try:
            await gen.with_timeout(
                timedelta(seconds=self._connect_timeout_s),
                stream.connect((self.host, self.port)),
                quiet_exceptions=(StreamClosedError, OSError),
            )
        except (TimeoutError, StreamClosedError, OSError) as error:
            stream.close()
            raise self._error(ConnectError, str(error) or "connecting timed out") from None
        stream.set_nodelay(True)
        connection = _Connection(stream, self._limits)
        self._connections.add(connection)
        return connection

    async def _read_response(self, connection: _Connection, deadline_s: float) -> http.Response:
        clock = asyncio.get_running_loop().time
        parser = connection.parser
        while True:
            data = b"" if parser.is_paused else await connection.read(max(0.0, deadline_s - clock()))
            for event in parser.receive(data, STEPS_PER_TURN):
                if isinstance(event, http.Response) and event.status >= http.FIRST_FINAL_STATUS:
                    return event
            # A server that sends interim responses or chunks without end must not hold up other tasks.
            await asyncio.sleep(0)
            if clock() > deadline_s:
                raise TimeoutError

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
    """Returns the response that the end of the connection completes, if any."""
    try:
        events = connection.parser.receive_eof()
    except http.ProtocolError:
        return None
    for event in events:
        if isinstance(event, http.Response):
            return event
    return None
