"""The platform's other parties on loopback, by its protocol: discovery, proxies, the process of a node."""

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
TIMEOUT_S = 30.0  # seconds that anything may take on a loaded machine


def find_free_ports(count: int) -> list[int]:
    held = [socket.create_server((LOOPBACK, 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


def build_member(name: str, phase: str = "active", **more: Any) -> dict[str, Any]:
    return {
        "id": name,
        "host_port": f"{LOOPBACK}:1",
        "locality": "a",
        "flavor": "k",
        "cell": 3,
        "phase": phase,
        "size": 1.0,
        "up_since_ms": 0,
    } | more


class DiscoveryServer:
    """Serves one list and its changes on one port, each line in two chunks; `mute` keeps it silent."""

    HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

    def __init__(self, port: int, members: list[dict[str, Any]], head: bytes = HEAD) -> None:
        self.port, self.revision, self.is_silent, self.head = port, 1, False, head
        self.members = {member["id"]: member for member in members}
        self.watches: list[asyncio.StreamWriter] = []
        self.requested_paths: list[str] = []

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def stop_accepting(self) -> None:
        """Takes no new watch; those that are open go on."""
        self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled: the loop ends with watches still open, which asyncio's streams would tell as a fault.
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.requested_paths.append((await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1])
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
        self.revision += 1
        self.members[member["id"]] = member
        for writer in self.watches:
            self._write_update(writer, [member], False)


class NodeProcess:
    """A node's process with two places that discovery may have, the first of them named at its start."""

    def __init__(
        self, folder: Path, settings: dict[str, Any], members: list[dict[str, Any]], sockets: int = 128
    ) -> None:
        self.port, *places = find_free_ports(3)
        self.path, self.log = folder / "config.json", folder / "log"
        self.sockets, self.settings = sockets, settings
        self.discoveries = [DiscoveryServer(port, members) for port in places]
        self.child: subprocess.Popen[bytes] | None = None

    def configure(self, place: int) -> None:
        first = self.discoveries[0]
        self.path.write_bytes(
            msgspec.json.encode(
                {
                    "name": "n1",
                    "listen": f"{LOOPBACK}:{self.port}",
                    "discovery": f"{LOOPBACK}:{self.discoveries[place].port}",
                    "seed": "8c1f",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
                    "known": {"revision": 1, "complete": True, "members": list(first.members.values())},
                    "settings": self.settings,
                }
            )
        )

    async def start(self) -> float:
        """Seconds from the start of the process to its first sign of life."""
        for discovery in self.discoveries:
            await discovery.start()
        self.configure(0)
        began = time.monotonic()
        with self.log.open("wb") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "gradehoist.node"],
                stderr=log,
                env=os.environ | {"ROUTER_CONFIG": str(self.path)},
            )
        while time.monotonic() < began + TIMEOUT_S:
            with contextlib.suppress(OSError):
                if await self.exchange(b"probe\r\n", b"alive") == b"alive\r\n":
                    return time.monotonic() - began
            await asyncio.sleep(0.01)
        raise AssertionError(f"not alive: {self.log.read_text()}")

    async def exchange(self, data: bytes, until: bytes) -> bytes:
        """What comes back to these bytes on a new connection, until a line with `until`, or the end."""
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
        assert self.child is not None
        self.child.send_signal(sign)
        return await asyncio.to_thread(self.child.wait, TIMEOUT_S)

    def kill(self) -> None:
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class ProxyStream:
    """One proxy's stream; it answers every mark that it reads."""

    def __init__(self, node: NodeProcess, number: int = 0, zone: str = "a") -> None:
        self.node, self.number, self.zone = node, number, zone

    async def connect(self) -> ProxyStream:
        self.reader, self.writer = await asyncio.open_connection(LOOPBACK, self.node.port)
        self.writer.write(f"hello id={self.number} site={self.zone} rps=5 new=1\r\n".encode())
        return self

    async def read_until(self, word: str) -> str:
        """The first order with this word in it."""
        async with asyncio.timeout(TIMEOUT_S):
            while line := (await self.reader.readline()).decode():
                for part in line.split():
                    if part.startswith("ticket="):
                        self.writer.write(f"ack id={self.number} seq={part[7:]} ms=1\r\n".encode())
                if word in line:
                    return line
        raise AssertionError(f"the stream ended before {word}: {self.node.log.read_text()}")
