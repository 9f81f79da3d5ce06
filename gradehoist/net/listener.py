"""Accepting connections: many at a go, with a rest where the system has no file left."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.netutil import bind_sockets


class Listener:
    """Hands each accepted socket to `accepted`."""

    ACCEPTS_PER_WAKEUP = 128  # accepted before others run
    ACCEPT_RETRY_DELAY_S = (
        0.1  # seconds without accepting where the system has no file left: Tornado's server span on that
    )

    def __init__(self, accepted: Callable[[socket.socket], None]) -> None:
        self._accepted = accepted
        self._listening: list[socket.socket] = []

    def listen(self, port: int, address: str, backlog: int = 128) -> None:
        """Raises OSError for an address that can't be had."""
        for sock in bind_sockets(port, address, socket.AF_INET, backlog=backlog):
            self._listening.append(sock)
            asyncio.get_running_loop().add_reader(sock, self._accept, sock)

    def stop(self) -> None:
        """Listens no more."""
        for sock in self._listening:
            asyncio.get_running_loop().remove_reader(sock)
            sock.close()
        self._listening = []

    def _accept(self, sock: socket.socket) -> None:
        for _ in range(self.ACCEPTS_PER_WAKEUP):
            try:
                peer, _ = sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            except OSError:
                loop = asyncio.get_running_loop()
                loop.remove_reader(sock)
                loop.call_later(self.ACCEPT_RETRY_DELAY_S, self._go_on, sock)
                return
            self._accepted(peer)

    def _go_on(self, sock: socket.socket) -> None:
        if sock in self._listening:
            asyncio.get_running_loop().add_reader(sock, self._accept, sock)
