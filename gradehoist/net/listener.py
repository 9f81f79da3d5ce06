"""Accepting and reading connections so that no peer keeps the event loop from the others."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets


class Listener:
    """Listening sockets, whose accepted connections go to `on_accept`; the owner calls `stop`."""

    ACCEPTS_PER_WAKEUP = 128  # accepted before other tasks run
    # Accepting pauses where the process has no file descriptor left: Tornado's own server tries again at once
    # and for good, and takes a whole core for it.
    ACCEPT_RETRY_DELAY_S = 0.1

    def __init__(self, on_accept: Callable[[socket.socket], None]) -> None:
        """Listens nowhere yet."""
        self._on_accept = on_accept
        self._sockets: list[socket.socket] = []

    def listen(self, port: int, address: str, backlog: int = 128) -> None:
        """Starts to accept connections. Raises OSError where the address cannot be bound."""
        for listening in bind_sockets(port, address, socket.AF_INET, backlog=backlog):
            self._sockets.append(listening)
            self._start_accepting(listening)

    def stop(self) -> None:
        """Closes the listening sockets; accepted connections go on."""
        for listening in self._sockets:
            asyncio.get_running_loop().remove_reader(listening)
            listening.close()
        self._sockets = []

    def _start_accepting(self, listening: socket.socket) -> None:
        asyncio.get_running_loop().add_reader(listening, self._accept_waiting, listening)

    def _accept_waiting(self, listening: socket.socket) -> None:
        for _ in range(self.ACCEPTS_PER_WAKEUP):
            try:
                accepted, _ = listening.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                self._pause_accepting(listening)
                return
            self._on_accept(accepted)

    def _pause_accepting(self, listening: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(listening)
        loop.call_later(self.ACCEPT_RETRY_DELAY_S, self._resume_accepting, listening)

    def _resume_accepting(self, listening: socket.socket) -> None:
        if listening in self._sockets:
            self._start_accepting(listening)


async def read_available(stream: IOStream, max_bytes: int) -> bytes:
    """Returns what has arrived, at least one byte and at most `max_bytes`; lets other tasks run first.

    Awaiting data that is there already does not let any other task run: a single peer that always had more to
    send held up drains, the requests of all others, and SIGTERM.

    Raises:
        StreamClosedError: The stream is closed.
    """
    reading = asyncio.ensure_future(stream.read_bytes(max_bytes, partial=True))
    if reading.done():
        await asyncio.sleep(0)
    return await reading
