"""Runs the real node service on loopback sockets in the test's event loop, with hooks for race conditions."""

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
CHUNKED_RESPONSE_HEAD = DiscoveryServer.HEAD


async def wait_until(condition: Callable[[], Any], timeout_s: float = TIMEOUT_S) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.005)


def update_line(revision: int, *members: dict[str, Any], complete: bool = False) -> bytes:
    """Encodes one line of a discovery watch."""
    return msgspec.json.encode({"revision": revision, "complete": complete, "members": list(members)}) + b"\n"


def encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def update_chunk(revision: int, *members: dict[str, Any], complete: bool = True) -> bytes:
    return encode_chunk(update_line(revision, *members, complete=complete))


class ScriptedDiscovery(DiscoveryServer):
    """A discovery server that sends only what the test writes to the watches."""

    def __init__(self, port: int) -> None:
        super().__init__(port, MEMBERS, b"")
        self.opened_watches = list[asyncio.StreamWriter]()

    def _write_update(self, writer: asyncio.StreamWriter, members: list[Any], complete: bool) -> None:
        self.opened_watches.append(writer)

    async def wait_for_watch(self, index: int) -> asyncio.StreamWriter:
        """Waits until watch number `index`, counted from 0, is open and returns its writer."""
        await wait_until(lambda: len(self.opened_watches) > index)
        return self.opened_watches[index]


class RawConnection:
    """A blocking socket connected to the node.

    Data that it sends has arrived at the node before the event loop continues.
    """

    def __init__(self, port: int, receive_buffer_bytes: int = 0) -> None:
        self.sock = socket.socket()
        if receive_buffer_bytes:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        self.sock.connect((LOOPBACK, port))
        self.local_address, self.received = self.sock.getsockname(), b""

    def send_lines(self, *lines: str) -> None:
        self.sock.sendall("".join(line + "\r\n" for line in lines).encode())

    def send_hello(self, proxy: int = 0, is_new: int = 1) -> None:
        self.send_lines(f"hello id={proxy} site=a rps=5 new={is_new}")

    @property
    def is_closed(self) -> bool:
        """Reads the available data into `received`; whether the node has closed the connection."""
        self.sock.setblocking(False)
        try:
            while data := self.sock.recv(1 << 16):
                self.received += data
            return True
        except BlockingIOError:
            return False
        except ConnectionError:
            return True


class InterleavedStream(IOStream):
    """Runs `interleave` between the completion of a read and the coroutine that awaits it.

    `interleave` is called after each read until it returns True.
    """

    interleave: Callable[[InterleavedStream, bytes], bool] | None = None

    def read_bytes(self, num_bytes: int, partial: bool = False) -> Any:
        inner = super().read_bytes(num_bytes, partial=partial)

        async def read_and_interleave() -> bytes:
            data = await inner
            interleave = InterleavedStream.interleave
            if interleave is not None and interleave(self, data):
                InterleavedStream.interleave = None
            return data

        task = asyncio.ensure_future(read_and_interleave())
        # Retrieve the exception here as well: if the awaiting task is cancelled at the end, nobody else does.
        task.add_done_callback(lambda done: None if done.cancelled() else done.exception())
        return task


class RecordingLog(NodeLog):
    """Keeps the log lines in memory."""

    def __init__(self) -> None:
        self.lines = list[str]()

    def write(self, text: str) -> None:
        self.lines.append(text)

    def close(self) -> None:
        pass


class NodeHarness:
    """A node service in this process with scripted discovery servers."""

    def __init__(self, folder: Path, settings: dict[str, Any]) -> None:
        self.node = NodeProcess(folder, settings, MEMBERS)
        self.node.write_config(0)
        self.port, self.path = self.node.port, self.node.path
        self.discoveries = [ScriptedDiscovery(server.port) for server in self.node.discovery_servers]
        self.log = RecordingLog()
        self.service = NodeService(load_config(self.path), self.path, self.log)

    async def wait_for_connection(self, client: RawConnection) -> Connection:
        """Returns the node's side of a client's connection."""

        def matching() -> list[Connection]:
            connections = self.service.connections._connections
            return [c for c in connections if c.stream.socket.getpeername() == client.local_address]

        await wait_until(matching)
        return matching()[0]

    def has_logged(self, text: str) -> bool:
        return any(text in line for line in self.log.lines)


@contextlib.asynccontextmanager
async def run_node(
    folder: Path, settings: dict[str, Any] = SETTINGS, wait_ready: bool = True
) -> AsyncIterator[NodeHarness]:
    """Runs a node that listens; with `wait_ready`, discovery has sent its list and the node is ready."""
    harness = NodeHarness(folder, settings)
    for discovery in harness.discoveries:
        await discovery.start()
    running = asyncio.ensure_future(harness.service.run())
    try:
        await wait_until(lambda: harness.service.discovery.is_watching)  # the node listens by then
        if wait_ready:
            (await harness.discoveries[0].wait_for_watch(0)).write(
                CHUNKED_RESPONSE_HEAD + update_chunk(1, *MEMBERS)
            )
            await wait_until(lambda: harness.service.connections.is_ready)
        yield harness
        assert not running.done(), "the node stopped by itself"
    finally:
        InterleavedStream.interleave = None
        harness.service.stopping.set()
        assert await asyncio.wait_for(running, TIMEOUT_S) == 0
        assert not list(harness.service.tasks), "tasks are left running"
        for discovery in harness.discoveries:
            discovery.stop_accepting()
