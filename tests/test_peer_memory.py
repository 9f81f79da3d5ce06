"""Memory and turns of hostile peers: the process keeps its limit, and other peers are served meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from gradehoist.identifiers import Interner
from gradehoist.net.client import HttpClient, ResponseTimeoutError
from gradehoist.net.peer_memory import CONNECTION_BYTES, PeerMemory, PeerUsage
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.node.health_checker import CHECK_TIMEOUT_S
from gradehoist.protocol import http
from gradehoist.protocol.http import Role
from gradehoist.protocol.http_parser import Parser
from gradehoist.protocol.line_parser import LineParser
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.testbed.platform import LOOPBACK, NodeProcess, ProxyStream, build_member
from tests.support.governor_process import run_fleet
from tests.support.hostile_peers import ROOT, HostileProcess
from tests.support.node_harness import MEMBERS, wait_until
from tests.support.platform_proxies import SETTINGS

GOVERNOR_MEMORY_MB = 192
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


def test_the_budget_does_not_depend_on_the_memory_of_the_process_that_started_this_one() -> None:
    """The peak that the system tells includes the parent's memory, and a node of 64 MB took 70 MB."""
    ballast = bytearray(b"x") * (200 << 20)
    code = "from gradehoist.net.process_memory import used_memory_bytes; print(used_memory_bytes())"
    output = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True).stdout
    assert 1 << 20 < int(output) < len(ballast)


def test_the_memory_limit_follows_from_the_resource_limits_of_the_process() -> None:
    code = (
        "import resource; from gradehoist.net.process_memory import memory_limit_bytes\n"
        "resource.setrlimit(resource.RLIMIT_DATA, (300 << 20, 300 << 20)); print(memory_limit_bytes())"
    )
    output = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True).stdout
    assert 0 < int(output) <= 300 << 20


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


@pytest.mark.parametrize(("attack", "count", "memory_mb"), [
    ("half_of_a_line", 400, 192),
    ("half_of_a_line", 600, 64),
    ("half_of_a_line_by_a_proxy", 1, 64),
    ("health_checks_that_are_not_read", 1, 64),
    ("health_checks_that_are_not_read", 200, 192),
    ("large_lines_of_many_fields", 200, 192),
    ("large_lines_of_many_figures", 200, 64),
    ("outcomes_of_new_names", 1, 64),
    ("unsound_lines", 1, 64),
])  # fmt: skip
def test_a_node_keeps_its_memory_limit_and_serves_others(
    tmp_path: Path, attack: str, count: int, memory_mb: int
) -> None:
    """Hundreds of half lines took 600 MB, unread responses 400 MB, and others waited for seconds."""

    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS, sockets=1_024)
        node.memory_mb = memory_mb
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
            assert peak_mb < memory_mb
            assert longest_s < CHECK_TIMEOUT_S
            assert drain_s < MAX_DRAIN_S
        finally:
            node.kill()

    asyncio.run(run())


@pytest.mark.parametrize(("attack", "count"), [
    ("half_of_a_body", 200),
    ("half_of_a_chunked_body", 50),
    ("most_of_a_head_of_short_fields", 400),
    ("held_polls_with_requests_behind", 200),
    ("status_requests_that_are_not_read", 1),
    ("status_requests_that_are_not_read", 200),
    ("joins_under_new_names", 1),
    ("unsound_requests", 1),
])  # fmt: skip
def test_a_governor_keeps_its_memory_limit_and_serves_others(tmp_path: Path, attack: str, count: int) -> None:
    """Hundreds of half bodies took 650 MB, and requests behind others kept other clients waiting."""
    limit = ('zone="x"', f'zone="x" memory-mb={GOVERNOR_MEMORY_MB}')

    async def run() -> None:
        async with run_fleet(tmp_path, 1, [limit]) as (endpoint_list, governor, (proxy,)):
            client = HttpClient("127.0.0.1", governor.port)
            with HostileProcess(attack, governor.port, count):
                longest_s = await longest_response_s(lambda: client.request("GET", "/v1/status"))
                peak_mb = peak_memory_mb(governor.process.pid)
                assert governor.process.poll() is None, governor.log_path.read_text()
            client.close()
            assert peak_mb < GOVERNOR_MEMORY_MB
            assert longest_s < CHECK_TIMEOUT_S
            assert proxy.is_joined

    asyncio.run(run())


def test_a_client_with_many_requests_in_one_piece_takes_turns_with_others() -> None:
    """All requests that had arrived were handled before any other client's."""

    async def run() -> None:
        served = list[str]()

        async def handle(request: http.Request, connection: Connection) -> ServerResponse:
            served.append(request.target)
            return ServerResponse()

        (port,) = find_free_ports(1)
        server = HttpServer(handle)
        server.listen(port, LOOPBACK)
        with (
            socket.create_connection((LOOPBACK, port)) as flooding,
            socket.create_connection((LOOPBACK, port)) as other,
        ):
            for client, target, count in ((flooding, "/many", 1_000), (other, "/one", 1)):
                client.sendall(f"GET {target} HTTP/1.1\r\nhost: a\r\n\r\n".encode() * count)
            await wait_until(lambda: "/one" in served)
            assert served.index("/one") < 100
        server.abort()

    asyncio.run(run())


def test_a_server_that_answers_without_end_does_not_hold_up_the_client() -> None:
    """A client handled all that it had read, interim responses for example, before anything else."""

    async def run() -> None:
        endless = b"HTTP/1.1 100 Continue\r\n\r\n" * 100_000
        lags_s = list[float]()

        async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(ConnectionError):
                while True:
                    writer.write(endless)
                    await writer.drain()

        async def measure_lag() -> None:
            while True:
                began_s = time.monotonic()
                await asyncio.sleep(0)
                lags_s.append(time.monotonic() - began_s)

        server = await asyncio.start_server(answer, LOOPBACK, 0)
        client = HttpClient(LOOPBACK, server.sockets[0].getsockname()[1])
        measuring = asyncio.ensure_future(measure_lag())
        with pytest.raises(ResponseTimeoutError):
            await client.request("GET", "/", timeout_s=1.0)
        measuring.cancel()
        client.close()
        server.close()
        assert len(lags_s) > 1_000

    asyncio.run(run())


def test_a_line_parser_pauses_after_a_number_of_messages_wherever_the_data_is_cut() -> None:
    data = b"probe\r\n" * 10 + b"pro"
    for cut in range(len(data)):
        parser = LineParser()
        counts = [len(parser.receive(piece, max_messages=4)) for piece in (data[:cut], data[cut:])]
        while parser.is_paused:
            counts.append(len(parser.receive(b"", max_messages=4)))
        assert sum(counts) == 10 and max(counts) <= 4
        assert parser.buffered_bytes == len(b"pro")
        assert len(parser.receive(b"be\r\n")) == 1


def test_an_http_parser_pauses_after_a_number_of_steps_and_keeps_no_finished_body() -> None:
    chunked = (
        b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * 50
        + b"0\r\n\r\n"
    )
    parser = Parser(Role.SERVER)
    events, calls = parser.receive(chunked * 3, max_steps=7), 1
    while parser.is_paused:
        new_events = parser.receive(b"", max_steps=7)
        assert len(new_events) <= 1
        events, calls = events + new_events, calls + 1
    assert len(events) == 3 and calls > 3 * 100 / 7
    assert parser.buffered_bytes == 0


def test_names_of_proxies_that_left_are_replaced_at_the_limit() -> None:
    """Each name that a client chose was kept for good."""
    names = Interner(capacity=2)
    assert [names.intern(name) for name in ("a", "b", "a")] == [0, 1, 0]
    names.release("a")
    assert names.intern("a") == 0, "a name that comes back soon keeps its index"
    for number in range(1_000):
        names.release("b" if not number else f"c{number - 1}")
        assert names.intern(f"c{number}") == 1
    assert len(names) == 2 and "b" not in names and names["a"] == 0
    assert names.intern("d") == 2, "names in use are never replaced"
