"""The real node service on loopback sockets in the test's own loop, with places where a test may step in."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado.iostream import IOStream

from gradehoist.node.config import load_config
from gradehoist.node.connections import Connection
from gradehoist.node.log import NodeLog
from gradehoist.node.service import NodeService
from gradehoist.testbed.platform import LOOPBACK, TIMEOUT_S, DiscoveryServer, NodeProcess, build_member
from tests.support.platform_proxies import SETTINGS

MEMBERS = [build_member(f"s-{n}", locality="ab"[n % 2]) for n in range(4)]
CHUNKED = DiscoveryServer.HEAD


async def until(what: Callable[[], Any], seconds: float = TIMEOUT_S) -> None:
    async with asyncio.timeout(seconds):
        while not what():
            await asyncio.sleep(0.005)


def line(revision: int, *members: dict[str, Any], complete: bool = False) -> bytes:
    """One line of discovery."""
    return msgspec.json.encode({"revision": revision, "complete": complete, "members": list(members)}) + b"\n"


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def whole(revision: int, *members: dict[str, Any], complete: bool = True) -> bytes:
    return chunk(line(revision, *members, complete=complete))


class Script(DiscoveryServer):
    """Sends on each watch what the test writes, and nothing else."""

    def __init__(self, port: int) -> None:
        super().__init__(port, MEMBERS, b"")
        self.opened = list[asyncio.StreamWriter]()

    def _write_update(self, writer: asyncio.StreamWriter, members: list[Any], complete: bool) -> None:
        self.opened.append(writer)

    async def watch(self, number: int) -> asyncio.StreamWriter:
        """The watch of this number, counted from 0, once it is open."""
        await until(lambda: len(self.opened) > number)
        return self.opened[number]


class Wire:
    """A blocking socket at the node's address: what it sends has arrived before the loop goes on."""

    def __init__(self, port: int, buffer: int = 0) -> None:
        self.sock = socket.socket()
        if buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.sock.connect((LOOPBACK, port))
        self.address, self.text = self.sock.getsockname(), b""

    def say(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def hello(self, proxy: int = 0, new: int = 1) -> None:
        self.say(f"hello id={proxy} site=a rps=5 new={new}")

    @property
    def ended(self) -> bool:
        """Reads what there is; whether the other side has closed."""
        self.sock.setblocking(False)
        try:
            while data := self.sock.recv(1 << 16):
                self.text += data
            return True
        except BlockingIOError:
            return False
        except ConnectionError:
            return True


class InterleavedStream(IOStream):
    """`interleave` runs once, between a read that is done and the coroutine that awaits it."""

    interleave: Callable[[InterleavedStream, bytes], bool] | None = (
        None  # False: not yet, another read follows
    )

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Any:
        inner = super().read_bytes(num_bytes, partial=partial)

        async def read_and_interleave() -> bytes:
            data = await inner
            interleave = InterleavedStream.interleave
            if interleave is not None and interleave(self, data):
                InterleavedStream.interleave = None
            return data

        task = asyncio.ensure_future(read_and_interleave())
        # Its exception is retrieved here too: where the task is cancelled at the end, nobody else does.
        task.add_done_callback(lambda done: None if done.cancelled() else done.exception())
        return task


class RecordingLog(NodeLog):
    """Keeps the lines for the test."""

    def __init__(self) -> None:
        self.lines = list[str]()

    def write(self, text: str) -> None:
        self.lines.append(text)

    def close(self) -> None:
        pass


class Shell:
    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.node = NodeProcess(folder, settings, MEMBERS)
        self.node.configure(0)
        self.port, self.path = self.node.port, self.node.path
        self.scripts = [Script(place.port) for place in self.node.discovery_servers]
        self.log = RecordingLog()
        self.service = NodeService(load_config(self.path), self.path, self.log)

    async def connection_of(self, wire: Wire) -> Connection:
        """The node's own side of a connection."""

        def found() -> list[Connection]:
            connections = self.service.connections._connections
            return [c for c in connections if c.stream.socket.getpeername() == wire.address]

        await until(found)
        return found()[0]

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log.lines)


@contextlib.asynccontextmanager
async def shell(
    folder: Path, settings: dict[str, Any] = SETTINGS, spoken: bool = True
) -> AsyncIterator[Shell]:
    """A node that listens; `spoken`: discovery has sent its list, and the node is ready."""
    found = Shell(folder, settings)
    for script in found.scripts:
        await script.start()
    running = asyncio.ensure_future(found.service.run())
    try:
        await until(lambda: found.service.discovery.is_watching)  # it listens
        if spoken:
            (await found.scripts[0].watch(0)).write(CHUNKED + whole(1, *MEMBERS))
            await until(lambda: found.service.connections.is_ready)
        yield found
        assert not running.done(), "it has ended by itself"
    finally:
        InterleavedStream.interleave = None
        found.service.stopping.set()
        assert await asyncio.wait_for(running, TIMEOUT_S) == 0
        assert not list(found.service.tasks), "no task is left behind"
        for script in found.scripts:
            script.stop_accepting()
