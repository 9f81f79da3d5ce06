"""The real node as a process on loopback: start, orders, strangers, SIGHUP, SIGTERM, bad configuration."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import pytest

from tests.node_site import SETTINGS
from tests.test_discovery import entry

LIMIT = 30.0  # seconds that anything may take on a loaded machine


def free_ports(count: int) -> list[int]:
    held = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [sock.getsockname()[1] for sock in held]
    for sock in held:
        sock.close()
    return ports


class Discovery:
    """Serves one list and its changes on one port, as the page has it; `mute` keeps it silent."""

    def __init__(self, port: int) -> None:
        self.port, self.revision, self.mute = port, 1, False
        self.members = {f"s-{n}": entry(f"s-{n}", locality="ab"[n % 2]) for n in range(4)}
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.asked: list[str] = []

    async def start(self) -> asyncio.Server:
        return await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            self.asked.append((await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1])
            if self.mute:
                return
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            self.watches[writer] = 0
            self.write(writer, list(self.members.values()), True)
            await reader.read()
        self.watches.pop(writer, None)
        writer.close()

    def write(self, writer: asyncio.StreamWriter, members: list[Any], complete: bool) -> None:
        document = {"revision": self.revision, "complete": complete, "members": members}
        data = msgspec.json.encode(document) + b"\n"
        half = len(data) // 2
        for piece in (data[:half], data[half:]):
            writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))

    def change(self, member: dict[str, Any]) -> None:
        self.revision += 1
        self.members[member["id"]] = member
        for writer in self.watches:
            self.write(writer, [member], False)


class Node:
    def __init__(self, folder: Path, sockets: int = 128) -> None:
        self.port, *self.places = free_ports(3)
        self.path, self.sockets = folder / "config.json", sockets
        self.discoveries = [Discovery(port) for port in self.places]
        self.child: subprocess.Popen[bytes] | None = None
        self.log = folder / "log"

    def configure(self, place: int) -> None:
        self.path.write_bytes(msgspec.json.encode({
            "name": "n1", "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{self.places[place]}",
            "seed": "8c1f", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "known": {"revision": 1, "complete": True, "members": list(self.discoveries[0].members.values())},
            "settings": SETTINGS}))

    async def start(self) -> None:
        for discovery in self.discoveries:
            await discovery.start()
        self.configure(0)
        with self.log.open("wb") as log:
            self.child = subprocess.Popen([sys.executable, "-m", "gradehoist.node"], stderr=log,
                                          env=os.environ | {"ROUTER_CONFIG": str(self.path)})
        end = time.monotonic() + LIMIT
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                if await self.talk(b"probe\r\n", b"alive") == b"alive\r\n":
                    return
            await asyncio.sleep(0.05)
        raise AssertionError(f"not alive: {self.log.read_text()}")

    async def talk(self, data: bytes, until: bytes) -> bytes:
        """What comes back to these bytes on a new connection, until a line with `until`, or the end."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(data)
            async with asyncio.timeout(LIMIT):
                while True:
                    line = await reader.readline()
                    if until in line or not line:
                        return line
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def end(self, sign: int = signal.SIGTERM) -> int:
        assert self.child is not None
        self.child.send_signal(sign)
        return await asyncio.to_thread(self.child.wait, LIMIT)


@contextlib.asynccontextmanager
async def running(folder: Path, sockets: int = 128) -> AsyncIterator[Node]:
    node = Node(folder, sockets)
    try:
        await node.start()
        yield node
    finally:
        if node.child is not None and node.child.poll() is None:
            node.child.kill()
            node.child.wait()


class Proxy:
    def __init__(self, node: Node, number: int = 0) -> None:
        self.node, self.number = node, number

    async def join(self) -> Proxy:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.node.port)
        self.writer.write(f"hello id={self.number} site=a rps=5 new=1\r\n".encode())
        return self

    async def until(self, word: str) -> str:
        """The first order with this word in it; marks on the way are answered."""
        async with asyncio.timeout(LIMIT):
            while line := (await self.reader.readline()).decode():
                for part in line.split():
                    if part.startswith("ticket="):
                        self.writer.write(f"ack id={self.number} seq={part[7:]} ms=1\r\n".encode())
                if word in line:
                    return line
        raise AssertionError(f"the stream ended before {word}: {self.node.log.read_text()}")


async def until(what: Any) -> None:
    async with asyncio.timeout(LIMIT):
        while not what():
            await asyncio.sleep(0.02)


def test_serves_follows_discovery_where_it_moves_and_ends_at_once(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            first, second = node.discoveries
            proxy = await Proxy(node).join()
            assert "s-0:" in await proxy.until("whole=1")
            first.change(entry("s-0", "leaving"))
            await proxy.until("out=s-0")
            second.revision, second.members = first.revision, dict(first.members)
            node.path.write_text("{")  # half written: the old one stays
            assert node.child is not None
            node.child.send_signal(signal.SIGHUP)
            await until(lambda: "the old configuration stays" in node.log.read_text())
            node.configure(1)
            for _ in range(3):
                node.child.send_signal(signal.SIGHUP)
            await until(lambda: second.watches)
            assert second.asked[0] == f"/registry/instances?watch=1&from={first.revision}"
            for writer in list(first.watches):
                writer.close()
            second.change(entry("s-2", "leaving"))
            await proxy.until("out=s-2")
            began = time.monotonic()
            assert await node.end() == 0 and time.monotonic() - began < LIMIT

    asyncio.run(play())


def test_strangers_by_the_hundreds_take_no_descriptor_from_proxies(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path, sockets=72) as node:
            silent = []
            for n in range(200):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
                writer.write(b"" if n % 2 else b"hel")
                silent.append((reader, writer))
            proxies = [await Proxy(node, n).join() for n in range(8)]
            for proxy in proxies:
                await proxy.until("whole=1")
            async with asyncio.timeout(LIMIT):
                for reader, _ in silent:
                    with contextlib.suppress(ConnectionError):
                        data = await reader.read()
                        assert not data or data.startswith(b"error")
            assert node.child is not None and node.child.poll() is None

    asyncio.run(play())


GARBAGE = [
    b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n", b"\x00\xff" * 50, b"x" * 100_000,
    b"hello id=99 site=a rps=1 new=1\r\n",
    b"agent site=nowhere\r\n", b"ack id=1 seq=1 ms=1\r\n", b"push out=s-1\r\n",
    b"hello id=1 site=z rps=1 new=1\r\n", b"demand " + b"y" * 9_000,
    b"outcomes site=a target=s-1 count=1 fail=0 mean=1 over=1\r\n", b"",
]  # fmt: skip


def test_what_cannot_be_read_gets_a_close_and_good_neighbours_go_on(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            proxy = await Proxy(node).join()
            await proxy.until("whole=1")
            answers = await asyncio.gather(*(node.talk(data, b"error") for data in GARBAGE))
            assert all(a == b"" or a.startswith(b"error ") for a in answers)
            proxy.writer.write(b"ack id=0 seq=x ms=1\r\ndemand id=0 lane=read count=-1 fail=0 over=1\r\n")
            node.discoveries[0].change(entry("s-2", "leaving"))
            await proxy.until("out=s-2")
            proxy.writer.write(b"\x01\x02\r\n")  # of no further use
            with contextlib.suppress(ConnectionError):
                assert await proxy.reader.read() == b""

    asyncio.run(play())


@pytest.mark.parametrize(("text", "place"), [
    (None, "ROUTER_CONFIG"), ("{", "no JSON"), ("[]", "no JSON object"), ('{"listen": "x"}', "listen: 'x'"),
    ('{"listen": "127.0.0.1:1"}', "discovery: 'discovery' is missing"),
    ('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}}', "settings: 'classes' is"),
    ('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"classes": [{"name": "a",'
     ' "aim": "x"}]}}', "settings: could not convert"),
])  # fmt: skip
def test_bad_configuration_is_one_line_and_exit_2(tmp_path: Path, text: str | None, place: str) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run([sys.executable, "-m", "gradehoist.node"], capture_output=True, text=True,
                          env=os.environ | {"ROUTER_CONFIG": str(path)}, timeout=LIMIT)
    assert done.returncode == 2 and place in done.stderr and done.stderr.count("\n") == 1
