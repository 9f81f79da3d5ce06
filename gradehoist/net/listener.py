"""Accepts connections and reads from them without letting one peer monopolize the event loop."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets


class Listener:
    """Listening sockets that pass accepted connections to `on_accept`; the owner has to call `stop`."""

    ACCEPTS_PER_WAKEUP = 128  # connections accepted before other tasks run
    # Accepting pauses for this time when the process has run out of file descriptors. Tornado's own server
    # retries immediately and endlessly, which takes a whole CPU core.
    ACCEPT_RETRY_DELAY_S = 0.1

    def __init__(self, on_accept: Callable[[socket.socket], None]) -> None:
        """Creates a listener without sockets; `listen` adds them."""
        self._on_accept = on_accept
        self._sockets: list[socket.socket] = []

    def listen(self, port: int, address: str, backlog: int = 128) -> None:
        """Starts accepting connections. Raises OSError if the address cannot be bound."""
        for server_socket in bind_sockets(port, address, socket.AF_INET, backlog=backlog):
            self._sockets.append(server_socket)
            self._start_accepting(server_socket)

    def stop(self) -> None:
        """Closes the listening sockets; accepted connections stay open."""
        for server_socket in self._sockets:
            asyncio.get_running_loop().remove_reader(server_socket)
            server_socket.close()
        self._sockets = []

    def _start_accepting(self, server_socket: socket.socket) -> None:
        asyncio.get_running_loop().add_reader(server_socket, self._accept_pending, server_socket)

    def _accept_pending(self, server_socket: socket.socket) -> None:
        for _ in range(self.ACCEPTS_PER_WAKEUP):
            try:
                accepted, _ = server_socket.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                self._pause_accepting(server_socket)
                return
            self._on_accept(accepted)

    def _pause_accepting(self, server_socket: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        loop.remove_reader(server_socket)
        loop.call_later(self.ACCEPT_RETRY_DELAY_S, self._resume_accepting, server_socket)

    def _resume_accepting(self, server_socket: socket.socket) -> None:
        if server_socket in self._sockets:
            self._start_accepting(server_socket)


async def read_available(stream: IOStream, max_bytes: int) -> bytes:
    """Returns received data, at least one byte and at most `max_bytes`, after letting other tasks run.

    Awaiting data that has already arrived does not yield to the event loop: a single peer that sent
    continuously delayed drains, the requests of all other peers, and SIGTERM.

    Raises:
        StreamClosedError: The stream is closed.
    """
    reading = asyncio.ensure_future(stream.read_bytes(max_bytes, partial=True))
    if reading.done():
        await asyncio.sleep(0)
    return await reading
