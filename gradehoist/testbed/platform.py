"""Test doubles of a node's platform on loopback: discovery and proxies, and the process of a node itself."""

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
TIMEOUT_S = 30.0  # whatever a test waits for takes less, also on a loaded machine
START_POLL_PERIOD_S = 0.01
DISCOVERY_COUNT = 2
TICKET = "ticket="


def find_free_ports(count: int) -> list[int]:
    """Finds ports that are free now; another program may still take one before it is used."""
    sockets = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [opened.getsockname()[1] for opened in sockets]
    for opened in sockets:
        opened.close()
    return ports


def build_member(name: str, phase: str = "active", **more: Any) -> dict[str, Any]:
    """Builds a member as discovery lists it; `more` replaces or adds fields."""
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
    return member | more


class DiscoveryServer:
    """Serves one list of members and its changes on one port, each line in two chunks.

    While `is_silent` is set, it accepts watches and sends nothing.
    """

    HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    def __init__(self, port: int, members: list[dict[str, Any]], head: bytes = HEAD) -> None:
        """Creates the server; `head` is what it sends first on each watch."""
        self.port = port
        self.revision = 1
        self.is_silent = False
        self.head = head
        self.members = {member["id"]: member for member in members}
        self.watches: list[asyncio.StreamWriter] = []
        self.requested_paths: list[str] = []

    async def start(self) -> None:
        """Begins to listen. Raises OSError if the port is taken."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def stop_accepting(self) -> None:
        """Accepts no further watch; those that are open continue."""
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled: the loop ends while watches are open, which asyncio's streams would log as an error.
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
        """Adds or replaces a member at a new revision, and sends it on all watches."""
        self.revision += 1
        self.members[member["id"]] = member
        for writer in self.watches:
            self._write_update(writer, [member], False)


class NodeProcess:
    """A process of a node, with two discovery servers; its configuration names the first at the start."""

    def __init__(
        self, folder: Path, settings: dict[str, Any], members: list[dict[str, Any]], sockets: int = 128
    ) -> None:
        """Chooses the ports; configuration and log go to the folder."""
        self.port, *discovery_ports = find_free_ports(1 + DISCOVERY_COUNT)
        self.path = folder / "config.json"
        self.log = folder / "log"
        self.sockets = sockets
        self.settings = settings
        self.discoveries = [DiscoveryServer(port, members) for port in discovery_ports]
        self.child: subprocess.Popen[bytes] | None = None

    def configure(self, place: int) -> None:
        """Writes the configuration, which names the discovery server of this index."""
        known_members = list(self.discoveries[0].members.values())
        config = {
            "name": "n1",
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discoveries[place].port}",
            "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"revision": 1, "complete": True, "members": known_members},
            "settings": self.settings,
        }
        self.path.write_bytes(msgspec.json.encode(config))

    async def start(self) -> float:
        """Starts everything and returns the seconds from the node's start to its first health response.

        Raises:
            AssertionError: the node did not answer within `TIMEOUT_S`.
        """
        for discovery in self.discoveries:
            await discovery.start()
        self.configure(0)
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
        raise AssertionError(f"not alive: {self.log.read_text()}")

    async def exchange(self, data: bytes, until: bytes) -> bytes:
        """Sends bytes on a new connection and returns the first line with `until`, or nothing at its end."""
        reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
        try:
            writer.write(data)
            async with asyncio.timeout(TIMEOUT_S):
                while True:
                    line = await reader.readline()
                    if until in line or not line:
                        return line
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def stop(self, sign: int = signal.SIGTERM) -> int:
        """Sends a signal to the node and returns its exit status."""
        assert self.child is not None
        self.child.send_signal(sign)
        return await asyncio.to_thread(self.child.wait, TIMEOUT_S)

    def kill(self) -> None:
        """Kills the node if it runs."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class ProxyStream:
    """The stream of one proxy to a node; it acknowledges every ticket that it reads."""

    def __init__(self, node: NodeProcess, number: int = 0, zone: str = "a") -> None:
        """Creates the stream; `connect` opens it."""
        self.node = node
        self.number = number
        self.zone = zone

    async def connect(self) -> ProxyStream:
        """Connects to the node and announces the proxy. Raises OSError."""
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.node.port)
        self.writer.write(f"hello id={self.number} site={self.zone} rps=5 new=1\r\n".encode())
        return self

    async def read_until(self, word: str) -> str:
        """Returns the first line with this word in it.

        Raises:
            AssertionError: the stream ended before.
            TimeoutError: no such line came within `TIMEOUT_S`.
        """
        async with asyncio.timeout(TIMEOUT_S):
            while line := (await self.reader.readline()).decode():
                self._acknowledge(line)
                if word in line:
                    return line
        raise AssertionError(f"the stream ended before {word}: {self.node.log.read_text()}")

    def _acknowledge(self, line: str) -> None:
        for part in line.split():
            if part.startswith(TICKET):
                sequence = part.removeprefix(TICKET)
                self.writer.write(f"ack id={self.number} seq={sequence} ms=1\r\n".encode())
