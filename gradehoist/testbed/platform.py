"""Test doubles of the platform around a node, on loopback: discovery servers and proxies.

`NodeProcess` runs a node itself as a child process against them.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

LOOPBACK = "127.0.0.1"
# Everything that a test waits for takes less than this, even on a loaded machine.
TIMEOUT_S = 30.0
START_POLL_PERIOD_S = 0.01
DISCOVERY_SERVER_COUNT = 2
TICKET_PREFIX = "ticket="


def find_free_ports(count: int) -> list[int]:
    """Returns ports that are free now; another program may bind one of them before it is used."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def build_member(name: str, phase: str = "active", **overrides: Any) -> dict[str, Any]:
    """Builds a member in the form in which discovery lists it; `overrides` replaces or adds fields."""
    member = {
        "id": name,
        "host_port": f"{LOOPBACK}:1",
        "locality": "a",
        "flavor": "k",
        "cell": 3,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    }
    return member | overrides


class DiscoveryServer:
    """Serves watches of one list of members on one port.

    Each line is split into two HTTP chunks. While `is_silent` is set, the server accepts watches and sends
    nothing.
    """

    HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    def __init__(self, port: int, members: list[dict[str, Any]], head: bytes = HEAD) -> None:
        """Creates the server; `head` is the head of the HTTP response to each watch."""
        self.port = port
        self.revision = 1
        self.is_silent = False
        self.head = head
        self.members = {member["id"]: member for member in members}
        self.watches: list[asyncio.StreamWriter] = []
        self.requested_paths: list[str] = []

    async def start(self) -> None:
        """Starts to listen. Raises OSError if the port is in use."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def stop_accepting(self) -> None:
        """Stops accepting new watches; open ones continue."""
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # The handler is cancelled if the loop ends while watches are open. Asyncio's streams would log the
        # cancellation as an error.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            self.requested_paths.append(request.split(" ")[1])
            if not self.is_silent:
                writer.write(self.head)
                self.watches.append(writer)
                self._write_update(writer, list(self.members.values()), True)
            await reader.read()
        if writer in self.watches:
            self.watches.remove(writer)
        writer.close()

    def _write_update(self, writer: asyncio.StreamWriter, members: list[Any], complete: bool) -> None:
        document = {"revision": self.revision, "complete": complete, "members": members}
        data = msgspec.json.encode(document) + b"\n"
        half = len(data) // 2
        for piece in (data[:half], data[half:]):
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))

    def update_member(self, member: dict[str, Any]) -> None:
        """Adds or replaces a member at a new revision and sends it on all open watches."""
        self.revision += 1
        self.members[member["id"]] = member
        for writer in self.watches:
            self._write_update(writer, [member], False)


DEFAULT_MEMORY_MB = 192


class NodeProcess:
    """A node as a child process, with two discovery servers; it starts with the first one configured."""

    def __init__(
        self, folder: Path, settings: dict[str, Any], members: list[dict[str, Any]], sockets: int = 128
    ) -> None:
        """Chooses the ports; the configuration and the log are written to the folder."""
        self.port, *discovery_ports = find_free_ports(1 + DISCOVERY_SERVER_COUNT)
        self.path = folder / "config.json"
        self.log = folder / "log"
        self.sockets = sockets
        self.memory_mb = DEFAULT_MEMORY_MB
        self.settings = settings
        self.discovery_servers = [DiscoveryServer(port, members) for port in discovery_ports]
        self.child: subprocess.Popen[bytes] | None = None

    def write_config(self, discovery_index: int) -> None:
        """Writes the configuration file with the address of the given discovery server."""
        known_members = list(self.discovery_servers[0].members.values())
        config = {
            "name": "n1",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery_servers[discovery_index].port}",
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "known": {"revision": 1, "complete": True, "members": known_members},
            "settings": self.settings,
        }
        self.path.write_bytes(msgspec.json.encode(config))

    async def start(self) -> float:
        """Starts the discovery servers and the node.

        Returns:
            The seconds from the start of the node to its first successful health check.

        Raises:
            AssertionError: no health check succeeded within `TIMEOUT_S`.
        """
        for discovery in self.discovery_servers:
            await discovery.start()
        self.write_config(0)
        began_s = time.monotonic()
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "gradehoist.node"],
                stderr=log,
                env=os.environ | {"ROUTER_CONFIG": str(self.path)},
            )
        while time.monotonic() < began_s + TIMEOUT_S:
            with contextlib.suppress(OSError):
                if await self.exchange(b"probe\r\n", b"alive") == b"alive\r\n":
                    return time.monotonic() - began_s
            await asyncio.sleep(START_POLL_PERIOD_S)
        raise AssertionError(
            f"no health check succeeded within {TIMEOUT_S} s; log of the node: {self.log.read_text()}"
        )

    async def exchange(self, data: bytes, expected: bytes) -> bytes:
        """Sends bytes on a new connection and returns the first line that contains `expected`.

        The result is empty if the connection ends before such a line.

        Raises:
            OSError: the node does not accept connections.
            TimeoutError: no such line came within `TIMEOUT_S`.
        """
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        try:
            writer.write(data)
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    line = await reader.readline()
                    if expected in line or not line:
                        return line
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """Sends a signal to the node and returns its exit status."""
        assert self.child is not None
        self.child.send_signal(signal_number)
        return await asyncio.to_thread(self.child.wait, TIMEOUT_S)

    def kill(self) -> None:
        """Kills the node if it is running."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class ProxyStream:
    """The stream of one proxy to a node; it acknowledges every line with a ticket that it reads."""

    def __init__(self, node: NodeProcess, number: int = 0, zone: str = "a") -> None:
        """Creates the stream; `connect` opens it."""
        self.node = node
        self.number = number
        self.zone = zone

    async def connect(self) -> ProxyStream:
        """Connects to the node and sends the proxy's hello line. Raises OSError."""
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.node.port)
        self.writer.write(f"hello id={self.number} site={self.zone} rps=5 new=1\r\n".encode())
        return self

    async def read_until(self, text: str) -> str:
        """Returns the first line that contains the text.

        Raises:
            AssertionError: the stream ended before such a line.
            TimeoutError: no such line came within `TIMEOUT_S`.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while line := (await self.reader.readline()).decode():
                self._acknowledge(line)
                if text in line:
                    return line
        raise AssertionError(
            f"the stream ended before {text!r} came; log of the node: {self.node.log.read_text()}"
        )

    def _acknowledge(self, line: str) -> None:
        for part in line.split():
            if part.startswith(TICKET_PREFIX):
                sequence = part.removeprefix(TICKET_PREFIX)
                self.writer.write(f"ack id={self.number} seq={sequence} ms=1\r\n".encode())
