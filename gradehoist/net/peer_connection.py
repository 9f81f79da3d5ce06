"""One accepted connection: reads in small pieces, and counts what it holds against the budget of peers."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol

from tornado.iostream import IOStream

from gradehoist.net.listener import read_available
from gradehoist.net.peer_memory import PeerMemory, PeerUsage

# States of a TCP connection after the peer's last byte, from Linux' `tcp_states.h`.
_CLOSE, _CLOSE_WAIT, _LAST_ACK = 7, 8, 9
_CLOSED_STATES = (_CLOSE, _CLOSE_WAIT, _LAST_ACK)

# The most that is read from one peer before the others get their turn.
READ_CHUNK_BYTES = 4_096


class BufferingParser(Protocol):
    """A parser that buffers incomplete messages."""

    @property
    def buffered_bytes(self) -> int:
        """The size of the received data that is not part of a complete message yet."""

    def discard(self) -> None:
        """Releases the buffered data."""


class PeerConnection:
    """The stream of a peer and its usage of memory; the subclass's owner closes it."""

    def __init__(
        self,
        sock: socket.socket,
        memory: PeerMemory,
        parser: BufferingParser,
        max_unread_bytes: int | None = None,
    ) -> None:
        """Wraps an accepted socket.

        Args:
            sock: The socket.
            memory: The budget of the process.
            parser: The parser of the received data.
            max_unread_bytes: The most that may be queued for the peer; None means no limit of its own.
        """
        self.stream = IOStream(sock, read_chunk_size=READ_CHUNK_BYTES, max_write_buffer_size=max_unread_bytes)
        self.stream.set_nodelay(True)
        self.usage = PeerUsage()
        self._memory = memory
        self._buffering = parser

    async def read(self) -> bytes:
        """Returns the next received data, after letting other tasks run. Raises StreamClosedError."""
        return await read_available(self.stream, READ_CHUNK_BYTES)

    def write(self, data: bytes) -> asyncio.Future[None]:
        """Writes data, which counts as unread until the socket has taken it.

        Raises:
            StreamClosedError: The stream is closed.
            StreamBufferFullError: The peer leaves more than `max_unread_bytes` unread.
        """
        written = self.stream.write(data)
        if self.stream.writing():
            self._count_unread(len(data))
            written.add_done_callback(lambda _: self._count_unread(-len(data)))
        return written

    def has_peer_closed(self) -> bool:
        """Whether the connection is closed, or the peer has closed its side.

        A stream notices the end of its connection only once it has read all data before it.
        """
        if self.stream.closed():
            return True
        try:
            state = self.stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        except OSError:
            return False  # The platform does not tell; the next read or write will.
        return state[0] in _CLOSED_STATES

    def count_unfinished(self) -> None:
        """Counts the received data that is not a complete message yet."""
        size_bytes = self._buffering.buffered_bytes
        if size_bytes != self.usage.unfinished_bytes:
            self.usage.unfinished_bytes = size_bytes
            self._memory.update(self)

    def evict(self, reason: str) -> None:
        """Closes the connection; subclasses send an error first."""
        self.close()

    def close(self) -> None:
        """Closes the stream and releases its memory.

        The parser is emptied here, as the objects of a closed connection can stay for a while: the exception
        that ends its task refers to them.
        """
        self.stream.close()
        self._buffering.discard()
        self._memory.remove(self)

    def _count_unread(self, size_bytes: int) -> None:
        self.usage.unread_bytes += size_bytes
        self._memory.update(self)
