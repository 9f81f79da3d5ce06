"""The node's real shell on loopback sockets in the test's own loop, and places where a test may step in."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import msgspec
from tornado.iostream import IOStream

from gradehoist.node import config
from gradehoist.node.log import NodeLog
from gradehoist.node.service import Connection, NodeService
from gradehoist.testbed.platform import LOCAL, PATIENCE, Discovery, Node, entry
from tests.support.platform_proxies import SETTINGS

MEMBERS = [entry(f"s-{n}", locality="ab"[n % 2]) for n in range(4)]
CHUNKED = Discovery.HEAD


async def until(what: Callable[[], Any], seconds: float = PATIENCE) -> None:
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


class Script(Discovery):
    """Says on each watch what the test writes, and nothing else."""

    def __init__(self, port: int) -> None:
        super().__init__(port, MEMBERS, b"")
        self.opened = list[asyncio.StreamWriter]()

    def _write(self, writer: asyncio.StreamWriter, members: list[Any], complete: bool) -> None:
        self.opened.append(writer)

    async def watch(self, number: int) -> asyncio.StreamWriter:
        """The so-manieth watch, once it is open."""
        await until(lambda: len(self.opened) > number)
        return self.opened[number]


class Wire:
    """A blocking socket at the governor's address: what it sends is there before the loop goes on."""

    def __init__(self, port: int, buffer: int = 0) -> None:
        self.sock = socket.socket()
        if buffer:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        self.sock.connect((LOCAL, port))
        self.address, self.text = self.sock.getsockname(), b""

    def say(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def hello(self, proxy: int = 0, new: int = 1) -> None:
        self.say(f"hello id={proxy} site=a rps=5 new={new}")

    @property
    def ended(self) -> bool:
        """Takes what there is; whether the other side has closed."""
        self.sock.setblocking(False)
        try:
            while data := self.sock.recv(1 << 16):
                self.text += data
            return True
        except BlockingIOError:
            return False
        except ConnectionError:
            return True


class Crossing(IOStream):
    """`meet` runs once, between a read that is done and who awaits it."""

    meet: Callable[[Crossing, bytes], bool] | None = None  # False: this was not the one

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Any:
        inner = super().read_bytes(num_bytes, partial=partial)

        async def handed() -> bytes:
            data = await inner
            if Crossing.meet is not None and Crossing.meet(self, data):
                Crossing.meet = None
            return data

        task = asyncio.ensure_future(handed())
        # Its fault is looked at here too: one that is cancelled at the end has nobody else who asks.
        task.add_done_callback(lambda done: None if done.cancelled() else done.exception())
        return task


class Told(NodeLog):
    """Keeps the lines for the test."""

    def __init__(self, lines: list[str]) -> None:
        self.lines = lines

    def __call__(self, text: str) -> None:
        self.lines.append(text)

    def close(self) -> None:
        pass


class Shell:
    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.node = Node(folder, settings, MEMBERS)
        self.node.configure(0)
        self.port, self.path = self.node.port, self.node.path
        self.scripts = [Script(place.port) for place in self.node.discoveries]
        self.service = NodeService(config.load_config(self.path), self.path)
        self.told = list[str]()
        self.service.log = Told(self.told)

    async def met(self, wire: Wire) -> Connection:
        """The shell's own side of a connection."""

        def found() -> list[Connection]:
            return [p for p in self.service._peers if p.stream.socket.getpeername() == wire.address]

        await until(found)
        return found()[0]

    def heard(self, text: str) -> bool:
        return any(text in line for line in self.told)


@contextlib.asynccontextmanager
async def shell(
    folder: Path, settings: dict[str, Any] = SETTINGS, spoken: bool = True
) -> AsyncIterator[Shell]:
    """A governor that is alive; `spoken`: discovery has told its list."""
    found = Shell(folder, settings)
    for script in found.scripts:
        await script.start()
    running = asyncio.ensure_future(found.service.run())
    try:
        await until(lambda: found.service._watching is not None)  # it listens
        if spoken:
            (await found.scripts[0].watch(0)).write(CHUNKED + whole(1, *MEMBERS))
            await until(lambda: found.service._ready)
        yield found
        assert not running.done(), "it has ended by itself"
    finally:
        Crossing.meet = None
        found.service._ended.set()
        assert await asyncio.wait_for(running, PATIENCE) == 0
        assert not found.service._tasks, "no task is left behind"
        for script in found.scripts:
            script.end()
