"""Memory and turns of hostile peers: the process keeps its limit, and other peers are served meanwhile."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from gradehoist.net.client import HttpClient
from gradehoist.net.peer_memory import CONNECTION_BYTES, PeerMemory, PeerUsage
from gradehoist.node.health_checker import CHECK_TIMEOUT_S
from gradehoist.testbed.platform import NodeProcess, ProxyStream, build_member
from tests.support.governor_process import run_fleet
from tests.support.hostile_peers import HostileProcess
from tests.support.node_harness import MEMBERS
from tests.support.platform_proxies import SETTINGS

MEMORY_LIMIT_MB = 192  # of scored days
ATTACK_S = 2.0
MAX_DRAIN_S = SETTINGS["guarantees"]["drain-grace"]  # type: ignore[index]


class FakePeer:
    def __init__(
        self, memory: PeerMemory, unfinished: int = 0, unread: int = 0, joined: bool = False
    ) -> None:
        self.usage = PeerUsage(unfinished, unread, joined)
        self.is_closed = False
        memory.add(self)

    def evict(self, reason: str) -> None:
        self.is_closed = True


def test_the_peer_that_holds_most_is_closed_first_and_peers_that_behave_last() -> None:
    memory = PeerMemory(1 << 20)
    proxies = [FakePeer(memory, unread=100_000, joined=True) for _ in range(4)]
    small = [FakePeer(memory, unfinished=4_000) for _ in range(10)]
    large = FakePeer(memory, unfinished=300_000, joined=True)
    assert not large.is_closed
    newcomer = FakePeer(memory, unfinished=400_000)
    assert newcomer.is_closed and not large.is_closed, "the newcomer holds more"
    proxies += [FakePeer(memory, unread=100_000, joined=True) for _ in range(3)]
    assert large.is_closed and not any(peer.is_closed for peer in small + proxies)
    proxies += [FakePeer(memory, unread=130_000, joined=True) for _ in range(4)]
    assert all(peer.is_closed for peer in small)
    assert memory.used_bytes <= memory.limit_bytes
    assert memory.evicted_count == sum(peer.is_closed for peer in [*proxies, *small, large, newcomer])


def test_memory_is_released_once_when_a_closed_peer_is_removed_again() -> None:
    memory = PeerMemory(1 << 20)
    peer = FakePeer(memory, unfinished=10)
    assert memory.used_bytes == CONNECTION_BYTES + 10
    for _ in range(2):
        memory.remove(peer)
        memory.update(peer)
    assert memory.used_bytes == 0


def peak_memory_mb(pid: int) -> float:
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.split("VmHWM:")[1].split()[0]) / 1024


async def longest_response_s(request: Callable[[], Awaitable[object]]) -> float:
    """Repeats a request of another peer for the time of the attack; returns the longest time that it took."""
    end_s = time.monotonic() + ATTACK_S
    longest_s = 0.0
    while time.monotonic() < end_s:
        began_s = time.monotonic()
        await asyncio.wait_for(request(), 10)
        longest_s = max(longest_s, time.monotonic() - began_s)
        await asyncio.sleep(0.02)
    return longest_s


@pytest.mark.parametrize(("attack", "count"), [
    ("half_of_a_line", 400),
    ("half_of_a_line_by_a_proxy", 1),
])  # fmt: skip
def test_a_node_keeps_its_memory_limit_and_serves_others(tmp_path: Path, attack: str, count: int) -> None:
    """Hundreds of half lines took 600 MB, unread responses 400 MB, and others waited for seconds."""

    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS, sockets=1_024)
        try:
            await node.start()
            assert node.child is not None
            proxy = await ProxyStream(node).connect()
            await proxy.read_until("whole=1")
            with HostileProcess(attack, node.port, count):
                longest_s = await longest_response_s(lambda: node.exchange(b"probe\r\n", b"alive"))
                began_s = time.monotonic()
                node.discovery_servers[0].update_member(build_member("s-1", "leaving", locality="b"))
                await proxy.read_until("out=s-1")
                drain_s = time.monotonic() - began_s
                assert node.child.poll() is None, node.log.read_text()
                peak_mb = peak_memory_mb(node.child.pid)
            assert peak_mb < MEMORY_LIMIT_MB
            assert longest_s < CHECK_TIMEOUT_S
            assert drain_s < MAX_DRAIN_S
        finally:
            node.kill()

    asyncio.run(run())


@pytest.mark.parametrize(("attack", "count"), [
    ("half_of_a_body", 200),
    ("most_of_a_head_of_short_fields", 400),
])  # fmt: skip
def test_a_governor_keeps_its_memory_limit_and_serves_others(tmp_path: Path, attack: str, count: int) -> None:
    """Hundreds of half bodies took 650 MB, and requests behind others kept other clients waiting."""
    limit = ('zone="x"', f'zone="x" memory-mb={MEMORY_LIMIT_MB}')

    async def run() -> None:
        async with run_fleet(tmp_path, 1, [limit]) as (endpoint_list, governor, (proxy,)):
            client = HttpClient("127.0.0.1", governor.port)
            with HostileProcess(attack, governor.port, count):
                longest_s = await longest_response_s(lambda: client.request("GET", "/v1/status"))
                peak_mb = peak_memory_mb(governor.process.pid)
                assert governor.process.poll() is None, governor.log_path.read_text()
            client.close()
            assert peak_mb < MEMORY_LIMIT_MB
            assert longest_s < CHECK_TIMEOUT_S
            assert proxy.is_joined

    asyncio.run(run())
