"""The real node as a process on loopback: start, orders, unknown peers, signals, invalid configuration."""

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

from gradehoist.testbed.platform import TIMEOUT_S, NodeProcess, ProxyStream, build_member
from tests.support.node_harness import MEMBERS, wait_until
from tests.support.platform_proxies import SETTINGS


@contextlib.asynccontextmanager
async def running(folder: Path, sockets: int = 128) -> AsyncIterator[NodeProcess]:
    node = NodeProcess(folder, SETTINGS, MEMBERS, sockets)
    try:
        await node.start()
        yield node
    finally:
        node.kill()


def test_a_node_serves_proxies_follows_a_moved_discovery_and_stops_promptly(tmp_path: Path) -> None:
    async def run() -> None:
        async with running(tmp_path) as node:
            first, second = node.discovery_servers
            proxy = await ProxyStream(node).connect()
            assert "s-0:" in await proxy.read_until("whole=1")
            first.update_member(build_member("s-0", "leaving"))
            await proxy.read_until("out=s-0")
            second.revision, second.members = first.revision, dict(first.members)
            node.path.write_text("{")  # half written: the previous configuration stays in effect
            assert node.child is not None
            node.child.send_signal(signal.SIGHUP)
            await wait_until(lambda: "the previous configuration stays" in node.log.read_text())
            node.write_config(1)
            for _ in range(3):
                node.child.send_signal(signal.SIGHUP)
            await wait_until(lambda: second.watches)
            assert second.requested_paths[0] == f"/registry/instances?watch=1&from={first.revision}"
            for writer in list(first.watches):
                writer.close()
            second.update_member(build_member("s-2", "leaving"))
            await proxy.read_until("out=s-2")
            # Discovery moves back: there must be one watch, not a second one beside the earlier one.
            node.write_config(0)
            request_count = len(first.requested_paths)
            node.child.send_signal(signal.SIGHUP)
            await wait_until(lambda: first.watches)
            for writer in list(first.watches + second.watches):
                writer.close()
            await wait_until(lambda: len(first.requested_paths) > request_count + 1)
            await asyncio.sleep(0.5)  # a second watch would be reopened within 0.1 s
            assert len(first.watches) == 1
            assert not second.watches
            assert await node.stop() == 0

    asyncio.run(run())


def test_a_watch_on_a_silent_discovery_is_reopened_until_it_answers(tmp_path: Path) -> None:
    async def run() -> None:
        async with running(tmp_path) as node:
            first, proxy = node.discovery_servers[0], await ProxyStream(node).connect()
            await proxy.read_until("whole=1")
            first.is_silent = True
            for writer in list(first.watches):
                writer.close()
            await wait_until(lambda: "closed; retry" in node.log.read_text())
            await wait_until(lambda: "silent; retry" in node.log.read_text())
            first.update_member(build_member("s-0", "leaving"))  # not sent while discovery is silent
            first.is_silent = False
            await proxy.read_until("out=s-0")
            assert len(first.requested_paths) >= 3

    asyncio.run(run())


def test_hundreds_of_unknown_peers_take_no_descriptor_from_proxies(tmp_path: Path) -> None:
    async def run() -> None:
        async with running(tmp_path, sockets=72) as node:
            silent_peers = []
            for n in range(200):
                reader, writer = await asyncio.open_connection("127.0.0.1", node.port)
                writer.write(b"" if n % 2 else b"hel")
                silent_peers.append((reader, writer))
            proxies = [await ProxyStream(node, n).connect() for n in range(8)]
            for proxy in proxies:
                await proxy.read_until("whole=1")
            async with asyncio.timeout(TIMEOUT_S):
                for reader, _ in silent_peers:
                    with contextlib.suppress(ConnectionError):
                        data = await reader.read()
                        assert not data or data.startswith(b"error")
            assert node.child is not None
            assert node.child.poll() is None

    asyncio.run(run())


INVALID_INPUTS = [
    b"GET /x HTTP/1.1\r\nhost: a\r\n\r\n", b"\x00\xff" * 50, b"x" * 100_000,
    b"hello id=99 site=a rps=1 new=1\r\n",
    b"agent site=nowhere\r\n", b"ack id=1 seq=1 ms=1\r\n", b"push out=s-1\r\n",
    b"hello id=1 site=z rps=1 new=1\r\n", b"demand " + b"y" * 9_000,
    b"outcomes site=a target=s-1 count=1 fail=0 mean=1 over=1\r\n", b"",
]  # fmt: skip


def test_unreadable_input_closes_its_connection_and_other_peers_continue(tmp_path: Path) -> None:
    async def run() -> None:
        async with running(tmp_path) as node:
            proxy = await ProxyStream(node).connect()
            await proxy.read_until("whole=1")
            responses = await asyncio.gather(*(node.exchange(data, b"error") for data in INVALID_INPUTS))
            assert all(a == b"" or a.startswith(b"error ") for a in responses)
            proxy.writer.write(b"ack id=0 seq=x ms=1\r\ndemand id=0 lane=read count=-1 fail=0 over=1\r\n")
            node.discovery_servers[0].update_member(build_member("s-2", "leaving"))
            await proxy.read_until("out=s-2")
            proxy.writer.write(b"\x01\x02\r\n")  # a protocol error: the connection is closed
            with contextlib.suppress(ConnectionError):
                assert await proxy.reader.read() == b""

    asyncio.run(run())


@pytest.mark.parametrize(("text", "message"), [
    (None, "ROUTER_CONFIG"), ("{", "not valid JSON"), ("[]", "not a JSON object"),
    ('{"listen": "x"}', "listen: 'x'"),
    ('{"listen": "127.0.0.1:1"}', "discovery: 'discovery' is missing"),
    ('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {}}', "settings: 'classes' is"),
    ('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "limits": {"memory_mb": 3}}',
     "limits.memory_mb: 3 is too low; allow at least 16"),
    ('{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"classes": [{"name": "a",'
     ' "aim": "x"}]}}', "settings: could not convert"),
])  # fmt: skip
def test_an_invalid_configuration_gives_a_one_line_error_and_exit_code_2(
    tmp_path: Path, text: str | None, message: str
) -> None:
    path = tmp_path / "config.json"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "gradehoist.node"],
        capture_output=True,
        text=True,
        env=os.environ | {"ROUTER_CONFIG": str(path)},
        timeout=TIMEOUT_S,
    )
    assert done.returncode == 2
    assert message in done.stderr
    assert done.stderr.count("\n") == 1


def test_a_failure_of_the_policy_ends_the_node_with_its_traceback(tmp_path: Path) -> None:
    """The event loop only logged an exception in a timer callback, and no further step was scheduled."""
    node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
    node.write_config(0)
    code = (
        "from gradehoist.policy.planner import Planner\nfrom gradehoist.node.__main__ import main\n"
        "def broken(self, now, events): raise RuntimeError('planted')\n"
        "Planner.handle = broken\nraise SystemExit(main())"
    )
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        env=os.environ | {"ROUTER_CONFIG": str(node.path)},
    )
    assert done.returncode == 1
    assert "RuntimeError: planted" in done.stderr
    assert "in broken" in done.stderr
