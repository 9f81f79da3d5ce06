"""An HTTP client over Tornado's IOStream: kept connections to one address, a deadline for each exchange."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta

from tornado import gen
from tornado.iostream import IOStream, StreamClosedError

from gradehoist.protocol import http


class ConnectError(Exception):
    """No connection: nothing was sent."""


class ConnectionLostError(Exception):
    """The connection ended or the answer was no HTTP; the request may have been acted on."""


class ResponseTimeoutError(Exception):
    """No answer by the deadline; the request may have been acted on."""


class _Link:
    def __init__(self, stream: IOStream, limits: http.Limits) -> None:
        self.stream, self.parser = stream, http.Parser(http.Role.CLIENT, limits)
        self.used = 0.0  # when it was last used; 0: never
        self._next: asyncio.Future[bytes] | None = None

    def rest(self) -> None:
        """Reads on while it is kept: what comes unasked shows, the end too. Raises StreamClosedError."""
        self._next = asyncio.ensure_future(self.stream.read_bytes(1 << 18, partial=True))

    @property
    def quiet(self) -> bool:
        """Open, and nothing has come on it since the last answer: that would pass for the next one's."""
        if self.stream.closed() or self._next is None or self._next.done():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False

    def read(self) -> asyncio.Future[bytes]:
        """Raises StreamClosedError."""
        if self._next is None:
            self.rest()
        reading, self._next = self._next, None
        assert reading is not None
        return reading


class HttpClient:
    """Connections to `host`:`port`, one exchange at a time on each; kept ones are dropped after `idle` s."""

    def __init__(
        self,
        host: str,
        port: int,
        connect_timeout_s: float = 0.25,
        idle_timeout_s: float = 15.0,
        limits: http.Limits | None = None,
    ) -> None:
        self.host, self.port = host, port
        self._connect_timeout, self._idle, self._limits = (
            connect_timeout_s,
            idle_timeout_s,
            limits or http.Limits(),
        )
        self._idle_connections: list[_Link] = []
        self._open = set[_Link]()

    async def _link(self, clock: float) -> _Link:
        while self._idle_connections:
            link = self._idle_connections.pop()
            if link.quiet and clock - link.used < self._idle:
                return link
            self._drop(link)
        try:
            own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as fault:  # no file left: it ended the governor's roster task, and so the governor
            raise ConnectError(f"{self.host}:{self.port}: {fault.strerror}") from None
        stream = IOStream(own, max_buffer_size=64 << 20)
        try:
            await gen.with_timeout(
                timedelta(seconds=self._connect_timeout),
                stream.connect((self.host, self.port)),
                quiet_exceptions=(StreamClosedError, OSError),
            )
        except (TimeoutError, StreamClosedError, OSError) as fault:
            stream.close()
            raise ConnectError(f"{self.host}:{self.port}: {fault or 'no connection in time'}") from None
        stream.set_nodelay(True)
        link = _Link(stream, self._limits)
        self._open.add(link)
        return link

    def _drop(self, link: _Link) -> None:
        self._open.discard(link)
        link.stream.close()

    async def request(
        self, method: str, target: str, body: bytes = b"", headers: http.Headers = (), timeout_s: float = 5.0
    ) -> http.Response:
        """Raises Unreachable, Broken or TimedOut. A cancelled exchange closes its connection.

        Nothing is asked twice: where a kept connection closes as it is used again, nobody knows whether the
        request took effect, and a poll of the feed is a GET that does."""
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout_s
        link = await self._link(loop.time())
        kept = False
        try:
            link.parser.expect_response(method)
            link.stream.write(http.format_request(method, target, f"{self.host}:{self.port}", body, headers))
            while True:
                data = await gen.with_timeout(
                    timedelta(seconds=max(0.0, end - loop.time())),
                    link.read(),
                    quiet_exceptions=(StreamClosedError,),
                )
                for event in link.parser.receive(data):
                    if isinstance(event, http.Response) and event.status >= 200:
                        kept = event.keep_alive and link.parser.is_between_messages
                        return event
        except TimeoutError:
            raise ResponseTimeoutError(
                f"{self.host}:{self.port}: no answer within {timeout_s:.3g} s"
            ) from None
        except StreamClosedError:
            for event in self._last(link):
                if isinstance(event, http.Response):
                    return event
            raise ConnectionLostError(f"{self.host}:{self.port}: closed before the answer") from None
        except http.ProtocolError as fault:
            raise ConnectionLostError(f"{self.host}:{self.port}: {fault.reason}") from None
        finally:
            try:
                if kept:
                    link.rest()
                    link.used = loop.time()
                    self._idle_connections.append(link)
            except StreamClosedError:
                kept = False
            if not kept:
                self._drop(link)

    @staticmethod
    def _last(link: _Link) -> list[http.Event]:
        try:
            return link.parser.receive_eof()
        except http.ProtocolError:
            return []

    def close(self) -> None:
        """Ends all connections; exchanges under way raise Broken."""
        for link in list(self._open):
            self._drop(link)
        self._idle_connections.clear()
