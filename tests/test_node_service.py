"""The real node as a process on loopback: start, orders, strangers, SIGHUP, SIGTERM, bad configuration."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator
from pathlib import Path

import pytest

from gradehoist.testbed.platform import PATIENCE, Node, Proxy, entry
from tests.support.node_shell import MEMBERS, until
from tests.support.platform_proxies import SETTINGS


@contextlib.asynccontextmanager
async def running(folder: Path, sockets: int = 128) -> AsyncIterator[Node]:
    node = Node(folder, SETTINGS, MEMBERS, sockets)
    try:
        await node.start()
        yield node
    finally:
        node.kill()


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
            await until(lambda: "the previous configuration stays" in node.log.read_text())
            node.configure(1)
            for _ in range(3):
                node.child.send_signal(signal.SIGHUP)
            await until(lambda: second.watches)
            assert second.asked[0] == f"/registry/instances?watch=1&from={first.revision}"
            for writer in list(first.watches):
                writer.close()
            second.change(entry("s-2", "leaving"))
            await proxy.until("out=s-2")
            # Back where it was: one watch there, not a second beside the one that was left.
            node.configure(0)
            asked = len(first.asked)
            node.child.send_signal(signal.SIGHUP)
            await until(lambda: first.watches)
            for writer in list(first.watches + second.watches):
                writer.close()
            await until(lambda: len(first.asked) > asked + 1)
            await asyncio.sleep(0.5)  # a second watcher would come back within 0.1 s
            assert len(first.watches) == 1
            assert not second.watches
            assert await node.end() == 0

    asyncio.run(play())


def test_a_discovery_that_falls_silent_is_watched_anew_until_it_is_back(tmp_path: Path) -> None:
    async def play() -> None:
        async with running(tmp_path) as node:
            first, proxy = node.discoveries[0], await Proxy(node).join()
            await proxy.until("whole=1")
            first.mute = True
            for writer in list(first.watches):
                writer.close()
            await until(lambda: "closed; retry" in node.log.read_text())
            await until(lambda: "silent; retry" in node.log.read_text())
            first.change(entry("s-0", "leaving"))  # nobody hears of it yet
            first.mute = False
            await proxy.until("out=s-0")
            assert len(first.asked) >= 3

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
            async with asyncio.timeout(PATIENCE):
                for reader, _ in silent:
                    with contextlib.suppress(ConnectionError):
                        data = await reader.read()
                        assert not data or data.startswith(b"error")
            assert node.child is not None
            assert node.child.poll() is None

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
    done = subprocess.run(
        [sys.executable, "-m", "gradehoist.node"],
        capture_output=True,
        text=True,
        env=os.environ | {"ROUTER_CONFIG": str(path)},
        timeout=PATIENCE,
    )
    assert done.returncode == 2
    assert place in done.stderr
    assert done.stderr.count("\n") == 1


def test_a_fault_of_the_module_ends_the_node_with_its_traceback(tmp_path: Path) -> None:
    """In the timer's callback it only reached the loop's own log, and the governor stood without a timer."""
    node = Node(tmp_path, SETTINGS, MEMBERS)
    node.configure(0)
    code = (
        "from gradehoist.policy.planner import Planner\nfrom gradehoist.node.__main__ import main\n"
        "def broken(self, now, events): raise RuntimeError('planted')\n"
        "Planner.handle = broken\nraise SystemExit(main())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=PATIENCE,
        env=os.environ | {"ROUTER_CONFIG": str(node.path)},
    )
    assert done.returncode == 1
    assert "RuntimeError: planted" in done.stderr
    assert "in broken" in done.stderr
