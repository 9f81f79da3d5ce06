"""Connections to the node's address: proxies, load report collectors, and peers that have not joined.

A peer that has not joined may hold a descriptor for at most JOIN_TIMEOUT_S, and if descriptors run out, the
oldest such peer is closed first. A joined stream is never closed for being slow or silent, because its proxy
would be left without a governor. If the data that peers have sent or left unread exceeds the memory budget,
joined peers that behave are closed last.
"""

from __future__ import annotations

import asyncio
import socket
import time

from tornado.iostream import StreamBufferFullError, StreamClosedError

from gradehoist.net.background_tasks import BackgroundTasks
from gradehoist.net.listener import Listener
from gradehoist.net.peer_connection import PeerConnection
from gradehoist.net.peer_memory import PeerMemory
from gradehoist.node.core import JoinRejectedError
from gradehoist.node.log import NodeLog
from gradehoist.node.policy_runner import PolicyRunner
from gradehoist.node.push_batch import OutboundMessage
from gradehoist.protocol import lines
from gradehoist.protocol.line_parser import LineParser

# Longer than the one second after which a peer may close a connection, as its hello may be delayed.
JOIN_TIMEOUT_S = 1.5
# The most messages of one peer that are processed before the others get their turn.
MESSAGES_PER_TURN = 32
# The most that may be queued for a peer that does not read: several tables of a large site.
MAX_UNREAD_BYTES = 1 << 20
LISTEN_BACKLOG = 1_024
NO_PROXY = -1


class Connection(PeerConnection):
    """A peer's connection and the identity that the peer has announced."""

    def __init__(self, sock: socket.socket, memory: PeerMemory, server: ConnectionServer) -> None:
        """Starts with a peer that has not joined."""
        self.parser = LineParser()
        super().__init__(sock, memory, self.parser, MAX_UNREAD_BYTES)
        self.accepted_s = time.monotonic()
        self.is_collector = False
        self.pending_health_checks = 0  # received in this turn, or before the node was ready
        self.proxy = NO_PROXY
        self.stream_id = 0  # set for proxies only
        self._server = server

    def evict(self, reason: str) -> None:
        """Closes the connection as the peers hold too much memory."""
        self._server.evict(self, reason)

    @property
    def is_proxy(self) -> bool:
        """Whether this is the stream of a proxy."""
        return self.proxy != NO_PROXY

    @property
    def has_joined(self) -> bool:
        """Whether the peer has announced itself as a proxy or a collector."""
        return self.is_collector or self.is_proxy

    def __str__(self) -> str:
        """Returns a description of the peer for the log."""
        if self.is_proxy:
            return f"proxy {self.proxy}"
        return "a collector" if self.is_collector else "a peer that has not joined"


class ConnectionServer:
    """Accepts peers, passes their messages to the core and writes to proxies."""

    def __init__(
        self,
        runner: PolicyRunner,
        tasks: BackgroundTasks,
        log: NodeLog,
        max_connections: int,
        memory: PeerMemory,
    ) -> None:
        """Creates a server for at most `max_connections` concurrent peers; it does not listen yet."""
        self._runner = runner
        self._core = runner.core
        self._clock = runner.clock
        self._tasks = tasks
        self._log = log
        self._max_connections = max_connections
        self._memory = memory
        self._listener = Listener(self._accept)
        self._connections: dict[Connection, None] = {}
        self._unjoined: dict[Connection, None] = {}  # oldest first
        self._by_proxy: dict[int, Connection] = {}
        self.is_ready = False
        self.rejected_count = 0

    def __len__(self) -> int:
        """Returns the number of open connections."""
        return len(self._connections)

    def listen(self, host: str, port: int) -> None:
        """Starts accepting connections.

        Raises:
            OSError: The address cannot be bound.
        """
        self._listener.listen(port, host, backlog=LISTEN_BACKLOG)

    def stop(self) -> None:
        """Stops accepting connections."""
        self._listener.stop()

    def set_ready(self) -> None:
        """Answers the deferred health checks; from now on each health check is answered at once."""
        self.is_ready = True
        for connection in list(self._connections):
            self._answer_health_checks(connection)

    def reject_overdue(self) -> None:
        """Closes connections whose peers did not join within JOIN_TIMEOUT_S."""
        deadline_s = time.monotonic() - JOIN_TIMEOUT_S
        while self._unjoined:
            oldest = next(iter(self._unjoined))
            if oldest.accepted_s >= deadline_s:
                return
            self.reject(oldest, "it has not joined")

    # Reading

    def _accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= self._max_connections:
            if not self._unjoined:
                sock.close()
                return
            self.reject(next(iter(self._unjoined)), "no descriptor left for it")
        connection = Connection(sock, self._memory, self)
        self._connections[connection] = None
        self._unjoined[connection] = None
        self._tasks.start(self._serve(connection))
        self._memory.add(connection)

    async def _serve(self, connection: Connection) -> None:
        try:
            while True:
                data = await connection.read()
                # The connection may have been rejected or replaced after the read completed. A hello in this
                # data would end the proxy's current stream.
                while connection in self._connections:
                    self._receive(connection, data)
                    if not connection.parser.is_paused:
                        break
                    data = b""
                    await asyncio.sleep(0)
        except (StreamClosedError, ConnectionError):
            pass
        except lines.LineProtocolError as error:
            self._on_protocol_error(connection, str(error))
        finally:
            self.close(connection)

    def _receive(self, connection: Connection, data: bytes) -> None:
        """Processes received data and the messages that a paused parser still holds, for one turn.

        Raises:
            lines.LineProtocolError: The peer violated the protocol.
        """
        if connection.is_proxy:
            self._core.on_stream_active(self._clock.now_us(), connection.proxy, connection.stream_id)
        try:
            for message in connection.parser.receive(data, MESSAGES_PER_TURN):
                self._on_message(connection, message)
        finally:
            # Events of valid messages are processed promptly even if later data is malformed.
            if self._core.pending_events:
                self._runner.schedule()
            if self.is_ready:
                self._answer_health_checks(connection)
        connection.count_unfinished()
        if connection.parser.failure and connection in self._connections:
            raise lines.LineProtocolError(connection.parser.failure)

    def _on_message(self, connection: Connection, message: lines.Message) -> None:
        match message:
            case lines.HealthCheck():
                connection.pending_health_checks += 1
            case lines.CollectorHello() if not connection.has_joined:
                self._on_collector_hello(connection, message)
            case lines.ProxyHello() if not connection.has_joined:
                self.on_proxy_hello(connection, message)
            case lines.AttemptOutcomes() if connection.is_collector:
                self._core.on_outcomes_reported(message)
            case lines.Demand() if connection.has_joined:
                self._core.on_demand_reported(message, None if connection.is_collector else connection.proxy)
            case lines.Acknowledgement() if connection.is_proxy:
                now_us = self._clock.now_us()
                self._core.on_acknowledged(now_us, connection.proxy, connection.stream_id, message)
            case lines.MalformedLine() if connection.has_joined:
                self._core.on_malformed_message(message)
            case _ if connection.has_joined:
                kind = type(message).__name__.lower()
                self._core.on_malformed_message(
                    lines.MalformedLine(kind, "not allowed for this kind of peer")
                )
            case _:
                raise lines.LineProtocolError("no joining")

    def _answer_health_checks(self, connection: Connection) -> None:
        # One write for all of them: a peer that sent health checks without a pause caused a system call each.
        count, connection.pending_health_checks = connection.pending_health_checks, 0
        if count:
            self.send(connection, lines.HEALTHY_RESPONSE * count)

    def _on_collector_hello(self, connection: Connection, hello: lines.CollectorHello) -> None:
        if hello.zone not in self._core.identifiers.zones:
            raise lines.LineProtocolError(f"no zone {hello.zone}")
        connection.is_collector = True
        self._mark_joined(connection)

    def on_proxy_hello(self, connection: Connection, hello: lines.ProxyHello) -> None:
        """Makes the connection the current stream of a proxy and closes the proxy's earlier stream, if any.

        Raises:
            lines.LineProtocolError: The proxy or zone does not exist.
        """
        try:
            connection.stream_id = self._core.on_proxy_joined(self._clock.now_us(), hello)
        except JoinRejectedError as error:
            raise lines.LineProtocolError(str(error)) from None
        connection.proxy = hello.proxy
        replaced = self._by_proxy.get(hello.proxy)
        self._by_proxy[hello.proxy] = connection
        self._mark_joined(connection)
        if replaced is not None:
            self.close(replaced)  # anything still unread from it is ignored

    def _mark_joined(self, connection: Connection) -> None:
        connection.parser.is_identified = True
        connection.usage.is_established = True
        self._unjoined.pop(connection, None)

    # Writing and closing

    def send_to_proxy(self, message: OutboundMessage) -> None:
        """Writes to a proxy's stream if the message was addressed to the current one."""
        connection = self._by_proxy.get(message.proxy)
        if connection is not None and connection.stream_id == message.stream_id:
            self.send(connection, message.data)

    def send(self, connection: Connection, data: bytes) -> None:
        """Writes to a connection; closes it if the peer leaves more than MAX_UNREAD_BYTES unread."""
        try:
            connection.write(data)
        except StreamClosedError:
            return
        except StreamBufferFullError:
            self._log.write(f"connection of {connection} closed: {MAX_UNREAD_BYTES} bytes unread")
            connection.stream.close()

    def _on_protocol_error(self, connection: Connection, reason: str) -> None:
        if not connection.has_joined:
            self.reject(connection, reason)
            return
        self._log.write(f"protocol error from {connection}: {reason}")

    def reject(self, connection: Connection, reason: str) -> None:
        """Sends an error to a peer and closes its connection."""
        self.rejected_count += 1
        self.send(connection, lines.format_error(reason))
        self.close(connection)

    def evict(self, connection: Connection, reason: str) -> None:
        """Sends an error to any peer and closes its connection, as the peers hold too much memory."""
        self._log.write(f"connection of {connection} closed: {reason}")
        self.reject(connection, reason)

    def close(self, connection: Connection) -> None:
        """Closes a connection; if it is the current stream of a proxy, the proxy has left."""
        connection.close()
        self._connections.pop(connection, None)
        self._unjoined.pop(connection, None)
        if connection.is_proxy and self._by_proxy.get(connection.proxy) is connection:
            del self._by_proxy[connection.proxy]
            self._core.on_proxy_left(connection.proxy, connection.stream_id, "its stream ended")
            self._runner.schedule()
