"""Race conditions, each forced on the real node.

`docs/hardening-review.md` lists them by parts of the test names.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import select
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import pytest

from gradehoist.governor import health_checks
from gradehoist.interface import HealthCheckOutcome, Phase
from gradehoist.net import peer_connection
from gradehoist.net import server as http_server
from gradehoist.net.client import ConnectionLostError, HttpClient
from gradehoist.net.server import HttpServer, ServerResponse
from gradehoist.node import discovery_client, health_checker, policy_runner, service
from gradehoist.node.config import parse_address
from gradehoist.node.connections import Connection
from gradehoist.protocol import http, lines
from gradehoist.testbed.platform import (
    LOOPBACK,
    TIMEOUT_S,
    NodeProcess,
    ProxyStream,
    build_member,
    find_free_ports,
)
from tests.support.node_harness import (
    CHUNKED_RESPONSE_HEAD,
    MEMBERS,
    InterleavedStream,
    NodeHarness,
    RawConnection,
    run_node,
    update_chunk,
    wait_until,
)
from tests.support.platform_proxies import SETTINGS

ROOT = Path(__file__).parent.parent
DRAIN_UPDATE = update_chunk(2, build_member("s-0", "leaving"), complete=False)
OUTCOMES_LINE = "outcomes site=a target=s-0 count=9 fail=9 mean=0"


@pytest.fixture
def interleaved(monkeypatch: pytest.MonkeyPatch) -> Iterator[type[InterleavedStream]]:
    monkeypatch.setattr(peer_connection, "IOStream", InterleavedStream)
    yield InterleavedStream
    InterleavedStream.interleave = None


def run_with_node(
    folder: Path,
    scenario: Callable[[NodeHarness], Any],
    settings: dict[str, Any] = SETTINGS,
    wait_ready: bool = True,
) -> None:
    """Runs a scenario against a node in this process."""

    async def run() -> None:
        async with asyncio.timeout(2 * TIMEOUT_S), run_node(folder, settings, wait_ready) as harness:
            await scenario(harness)

    asyncio.run(run())


async def connect_bound_proxy(harness: NodeHarness, proxy: int = 0) -> RawConnection:
    """Connects a proxy and waits until it has received its first table."""
    client = RawConnection(harness.port)
    client.send_hello(proxy)
    await wait_until(lambda: not client.is_closed and b"whole=1" in client.received)
    return client


async def drain_and_wait(harness: NodeHarness, client: RawConnection, discovery: int = 0) -> None:
    """Lists replica s-0 as draining and waits until the client is sent the withdrawal."""
    harness.discoveries[discovery].watches[-1].write(DRAIN_UPDATE)
    await wait_until(lambda: not client.is_closed and b"out=s-0" in client.received)


# Peers and streams


def test_hello_of_a_peer_rejected_during_its_read_does_not_end_the_current_stream(
    tmp_path: Path, interleaved: type[InterleavedStream]
) -> None:
    """A peer is rejected after its hello was read and before the node processes it."""

    async def scenario(harness: NodeHarness) -> None:
        current, rejected = await connect_bound_proxy(harness), RawConnection(harness.port)
        peer, read_data = await harness.wait_for_connection(rejected), list[bytes]()

        def reject_peer(stream: InterleavedStream, data: bytes) -> bool:
            if stream is not peer.stream:
                return False
            read_data.append(data)
            harness.service.connections.reject(peer, "it has not joined")
            return True

        InterleavedStream.interleave = reject_peer
        rejected.send_hello()
        await wait_until(lambda: read_data and rejected.is_closed)
        await drain_and_wait(harness, current)
        assert read_data[0].startswith(b"hello")
        assert len(harness.service.core.streams.by_proxy) == 1

    run_with_node(tmp_path, scenario)


@pytest.mark.parametrize("last_message", [
    "demand id=0 lane=read count=50 fail=0 over=1000", "ack id=0 seq=1 ms=1", "\x01",
    "hello id=0 site=a rps=1 new=1",
])  # fmt: skip
def test_last_messages_of_a_replaced_stream_are_ignored(
    tmp_path: Path, interleaved: type[InterleavedStream], last_message: str
) -> None:
    """The stream is replaced after its last message was read and before the node processes it."""

    async def scenario(harness: NodeHarness) -> None:
        old, new, core = await connect_bound_proxy(harness), RawConnection(harness.port), harness.service.core
        peer, handled = await harness.wait_for_connection(old), list[Any]()
        new_peer = await harness.wait_for_connection(new)

        def replace_stream(stream: InterleavedStream, data: bytes) -> bool:
            if stream is not peer.stream:
                return False
            harness.service.connections.on_proxy_hello(new_peer, lines.ProxyHello(0, "a", 5.0, False))
            core.on_demand_reported = core.on_acknowledged = lambda *a: handled.append(a)  # type: ignore[method-assign,assignment]
            return True

        InterleavedStream.interleave = replace_stream
        old.send_lines(last_message)
        await wait_until(lambda: InterleavedStream.interleave is None and old.is_closed)
        await asyncio.sleep(0)
        assert not handled
        del core.on_demand_reported, core.on_acknowledged
        await wait_until(lambda: not new.is_closed and b"whole=1" in new.received)
        await drain_and_wait(harness, new)
        assert core.streams.by_proxy[0].stream_id == new_peer.stream_id

    run_with_node(tmp_path, scenario)


def test_three_hellos_of_one_proxy_in_one_loop_iteration_keep_the_last_stream(tmp_path: Path) -> None:
    async def scenario(harness: NodeHarness) -> None:
        clients = [RawConnection(harness.port) for _ in range(3)]
        peers = [await harness.wait_for_connection(client) for client in clients]
        for client in clients:
            client.send_hello()
        await wait_until(lambda: sum(peer.has_joined for peer in peers) == 3)
        last = next(c for c in clients if harness.service.connections._by_proxy[0] is peers[clients.index(c)])
        await wait_until(lambda: not last.is_closed and b"whole=1" in last.received)
        await drain_and_wait(harness, last)
        assert sum(client.is_closed for client in clients) == 2
        assert len(harness.service.core.streams.by_proxy) == 1

    run_with_node(tmp_path, scenario)


def test_valid_outcomes_before_a_protocol_error_are_processed_promptly(tmp_path: Path) -> None:
    """The outcomes were processed only at the next timer when a protocol error followed in the same read."""

    async def scenario(harness: NodeHarness) -> None:
        delays_s, loop = list[float | None](), asyncio.get_running_loop()
        handle_error = harness.service.connections._on_protocol_error

        def record_delay(connection: Connection, reason: str) -> None:
            next_step_s = harness.service.runner._next_step_s
            delays_s.append(None if next_step_s is None else next_step_s - loop.time())
            handle_error(connection, reason)

        harness.service.connections._on_protocol_error = record_delay  # type: ignore[method-assign]
        client = RawConnection(harness.port)
        client.send_lines("agent site=a", f"{OUTCOMES_LINE} over=1000", "GET / HTTP/1.1")
        await wait_until(lambda: delays_s)
        assert delays_s[0] is not None
        assert delays_s[0] <= policy_runner.BATCH_DELAY_S

    run_with_node(tmp_path, scenario)


def test_a_long_message_right_after_a_hello_is_accepted(tmp_path: Path) -> None:
    """With the hello and 4 KB of the next message in one read, the message was rejected by the size limit of
    unidentified peers."""

    async def scenario(harness: NodeHarness) -> None:
        client, handled = RawConnection(harness.port), list[lines.AttemptOutcomes]()
        peer = await harness.wait_for_connection(client)
        harness.service.core.on_outcomes_reported = handled.append  # type: ignore[method-assign,assignment]
        line = f"{OUTCOMES_LINE} over=1000 util={','.join(f'figure{n}:1' for n in range(2_000))}\r\n"
        client.sock.sendall(b"agent site=a\r\n" + line[:9_000].encode())
        await wait_until(lambda: peer.has_joined or client.is_closed)
        client.sock.sendall(line[9_000:].encode())
        await wait_until(lambda: handled)

    run_with_node(tmp_path, scenario)


def test_a_health_check_on_a_stream_that_joined_before_readiness_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "READY_TIMEOUT_S", TIMEOUT_S)

    async def scenario(harness: NodeHarness) -> None:
        clients = [RawConnection(harness.port) for _ in range(3)]
        for client, first in zip(clients, ("hello id=0 site=a rps=5 new=1", "agent site=a", ""), strict=True):
            client.send_lines(*filter(None, [first]), "probe", "probe")
        disconnecting = RawConnection(harness.port)
        disconnecting.send_lines("probe")
        await wait_until(
            lambda: sum(p.pending_health_checks for p in harness.service.connections._connections) == 7
        )
        disconnecting.sock.close()
        (await harness.discoveries[0].wait_for_watch(0)).write(
            CHUNKED_RESPONSE_HEAD + update_chunk(1, *MEMBERS)
        )
        for client in clients:
            await wait_until(lambda c=client: not c.is_closed and c.received.count(b"alive\r\n") == 2)  # type: ignore[misc]

    run_with_node(tmp_path, scenario, wait_ready=False)


def test_a_proxy_that_reads_nothing_is_disconnected_at_the_limit_and_can_rejoin(tmp_path: Path) -> None:
    async def scenario(harness: NodeHarness) -> None:
        stalled = RawConnection(harness.port, receive_buffer_bytes=4_096)
        stalled.send_hello()
        peer = await harness.wait_for_connection(stalled)
        await wait_until(lambda: peer.has_joined)
        # Before the policy's first step, proxy 0 is missing from the unacknowledged messages anyway.
        await wait_until(lambda: 0 in harness.service.core.policy.fleet.flow.unacknowledged)
        peer.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        while not peer.stream.closed():  # withdrawals are sent until the node closes the stream
            harness.service.connections.send(peer, b"push out=s-1\r\n" * 10_000)
        await wait_until(lambda: 0 not in harness.service.core.policy.fleet.flow.unacknowledged)
        assert harness.has_logged("proxy 0 closed: 1048576 bytes unread")
        assert 0 not in harness.service.core.streams.by_proxy
        assert (
            not harness.service.core.policy.fleet.flow.unacknowledged_lines
        ), "the lines still count as queued in the channel"
        await drain_and_wait(harness, await connect_bound_proxy(harness))

    run_with_node(tmp_path, scenario)


def flood(port: int, stop: threading.Event, hello: str, line: str) -> None:
    """Sends `line` repeatedly, as fast as the node reads; runs in its own thread."""
    with contextlib.suppress(OSError), socket.create_connection((LOOPBACK, port)) as sock:
        sock.sendall(hello.encode())
        sock.settimeout(0.2)
        data = line.encode() * 2_000
        while not stop.is_set():
            with contextlib.suppress(TimeoutError):
                sock.sendall(data)


def test_a_flood_of_valid_messages_delays_neither_drains_nor_shutdown(tmp_path: Path) -> None:
    """Reading from a peer that sends continuously did not yield to the event loop."""

    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
        stop, threads = threading.Event(), list[threading.Thread]()
        try:
            await node.start()
            proxy = await ProxyStream(node).connect()
            await proxy.read_until("whole=1")
            flood_arguments = node.port, stop, "agent site=a\r\n", f"{OUTCOMES_LINE} over=1000\r\n"
            for _ in range(2):
                threads.append(threading.Thread(target=flood, args=flood_arguments))
                threads[-1].start()
            reports_before = node.log.read_text().count("status: 1 proxy streams, 3 connections")
            await wait_until(
                lambda: node.log.read_text().count("status: 1 proxy streams, 3 connections") > reports_before
            )
            for n in range(3):
                node.discovery_servers[0].update_member(
                    build_member(f"s-{n}", "leaving", locality="ab"[n % 2])
                )
                async with asyncio.timeout(5):
                    await proxy.read_until(f"out=s-{n}")
            assert node.child is not None
            node.child.send_signal(signal.SIGTERM)
            assert await asyncio.to_thread(node.child.wait, 5) == 0
            assert "Traceback" not in node.log.read_text()
        finally:
            stop.set()
            node.kill()
            for thread in threads:
                thread.join()

    asyncio.run(run())


# Discovery watch


@pytest.mark.parametrize("first", [
    CHUNKED_RESPONSE_HEAD,
    CHUNKED_RESPONSE_HEAD + update_chunk(1, *MEMBERS)[:-40],
    b"",
    CHUNKED_RESPONSE_HEAD + DRAIN_UPDATE[:30],
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n",
    b"HTTP/1.1 404 No\r\ncontent-length: 2\r\n\r\nno",
    b"HTTP/1.1 301 Away\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
    CHUNKED_RESPONSE_HEAD + b"3\r\n{]\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
    CHUNKED_RESPONSE_HEAD + update_chunk(1, *MEMBERS) + b"0\r\n\r\n",
])  # fmt: skip
def test_a_watch_that_falls_silent_or_ends_at_any_point_is_reopened(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: bytes
) -> None:
    monkeypatch.setattr(discovery_client, "SILENCE_TIMEOUT_S", 0.3)

    async def scenario(harness: NodeHarness) -> None:
        discovery = harness.discoveries[0]
        (await discovery.wait_for_watch(0)).write(first)
        (await discovery.wait_for_watch(1)).write(CHUNKED_RESPONSE_HEAD + update_chunk(1, *MEMBERS))
        client = await connect_bound_proxy(harness)
        await drain_and_wait(harness, client)

    run_with_node(tmp_path, scenario, wait_ready=False)


def test_a_response_that_is_no_watch_but_sends_empty_lines_is_abandoned(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Empty lines in a response without a length were taken for the heartbeats of a watch without changes."""
    monkeypatch.setattr(discovery_client, "SILENCE_TIMEOUT_S", 0.3)

    async def scenario(harness: NodeHarness) -> None:
        writer = await harness.discoveries[0].wait_for_watch(0)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")

        def send_line_until_reopened() -> bool:
            writer.write(b"\n")
            return len(harness.discoveries[0].opened_watches) > 1

        await wait_until(send_line_until_reopened)

    run_with_node(tmp_path, scenario, wait_ready=False)


def test_a_drain_before_a_malformed_line_is_applied_even_if_discovery_then_disappears(tmp_path: Path) -> None:
    async def scenario(harness: NodeHarness) -> None:
        discovery = harness.discoveries[0]
        client = await connect_bound_proxy(harness)
        discovery.stop_accepting()  # no later watch can repeat it
        discovery.watches[0].write(DRAIN_UPDATE + b"3\r\n{]\n\r\n")
        await wait_until(lambda: not client.is_closed and b"out=s-0" in client.received)

    run_with_node(tmp_path, scenario)


def test_an_older_snapshot_from_the_previous_watch_undoes_no_drain(tmp_path: Path) -> None:
    """SIGHUP arrives while a watch is reopened; its older snapshot arrives after that of the new watch."""

    async def scenario(harness: NodeHarness) -> None:
        first, second = harness.discoveries
        client = await connect_bound_proxy(harness)
        first.watches[0].close()
        old_watch = await first.wait_for_watch(1)
        harness.node.write_config(1)
        os.kill(os.getpid(), signal.SIGHUP)
        new_watch = await second.wait_for_watch(0)
        new_watch.write(
            CHUNKED_RESPONSE_HEAD
            + update_chunk(5, build_member("s-0", "leaving"), *MEMBERS[1:], build_member("s-9"))
        )
        await wait_until(lambda: not client.is_closed and b"out=s-0" in client.received)
        old_watch.write(
            CHUNKED_RESPONSE_HEAD
            + update_chunk(4, *MEMBERS[:3], build_member("s-3", "leaving", locality="b"))
        )
        old_watch.write(update_chunk(6, build_member("s-1", "leaving", locality="b"), complete=False))
        await wait_until(lambda: not client.is_closed and b"out=s-1" in client.received)
        endpoint_list = harness.service.core.endpoint_list
        assert endpoint_list.endpoints["s-0"].phase is Phase.DRAINING
        assert "s-9" in endpoint_list.endpoints
        assert endpoint_list.revision == 6
        # Its drain at revision 4 was over at revision 5.
        assert endpoint_list.endpoints["s-3"].phase is Phase.READY
        assert b"back=s-0" not in client.received

    run_with_node(tmp_path, scenario)


def test_a_list_whose_revisions_restart_is_applied(tmp_path: Path) -> None:
    """Discovery restarts its revisions at both addresses; the new watch is reopened when the old one ends."""

    async def scenario(harness: NodeHarness) -> None:
        first, second = harness.discoveries
        first.watches[0].write(update_chunk(50, build_member("s-7"), complete=False))
        await wait_until(lambda: "s-7" in harness.service.core.endpoint_list.endpoints)
        harness.node.write_config(1)
        os.kill(os.getpid(), signal.SIGHUP)
        (await second.wait_for_watch(0)).write(CHUNKED_RESPONSE_HEAD + update_chunk(3, *MEMBERS[:2]))
        await wait_until(lambda: harness.service.core.endpoint_list._stale_watches)
        first.watches[0].close()
        (await second.wait_for_watch(1)).write(CHUNKED_RESPONSE_HEAD + update_chunk(3, *MEMBERS[:2]))
        await wait_until(lambda: list(harness.service.core.endpoint_list.endpoints) == ["s-0", "s-1"])
        assert harness.service.core.endpoint_list.revision == 3

    run_with_node(tmp_path, scenario)


def test_a_half_written_file_is_reread_without_a_second_signal(tmp_path: Path) -> None:
    async def scenario(harness: NodeHarness) -> None:
        harness.node.write_config(1)
        data = harness.path.read_bytes()
        harness.path.write_bytes(data[:100])
        for _ in range(2):  # both in one iteration of the event loop
            os.kill(os.getpid(), signal.SIGHUP)
        await wait_until(lambda: harness.has_logged("the previous configuration stays"))
        harness.path.write_bytes(data)
        (await harness.discoveries[1].wait_for_watch(0)).write(
            CHUNKED_RESPONSE_HEAD + update_chunk(1, *MEMBERS)
        )
        await drain_and_wait(harness, await connect_bound_proxy(harness), discovery=1)

    run_with_node(tmp_path, scenario)


# Startup and shutdown

SIGNAL_AT_STARTUP = """
import gc, os, signal, sys
class SignalAtImport:
    def find_spec(self, name, *rest):
        if name == "gradehoist.node.service" and {importing}:
            os.kill(os.getpid(), signal.{sign})
sys.meta_path.insert(0, SignalAtImport())
def freeze(original=gc.freeze):
    original()
    path = os.environ["ROUTER_CONFIG"]
    text = open(path).read()
    with open(path, "w") as file:
        file.write(text.replace("{old}", "{new}"))
    os.kill(os.getpid(), signal.{sign})
gc.freeze = freeze
from gradehoist.node.__main__ import main
sys.exit(main())
"""


@pytest.mark.parametrize("importing", [True, False])
def test_sigterm_before_the_handlers_are_installed_is_a_clean_exit(tmp_path: Path, importing: bool) -> None:
    node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
    node.write_config(0)
    code = SIGNAL_AT_STARTUP.format(sign="SIGTERM", importing=importing, old="", new="")
    result = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        cwd=ROOT,
        env=os.environ | {"ROUTER_CONFIG": str(node.path)},
        timeout=TIMEOUT_S,
    )
    assert (result.returncode, result.stderr) == (0, b"")


@pytest.mark.parametrize("importing", [True, False])
def test_sighup_before_the_handlers_are_installed_reloads_discovery(tmp_path: Path, importing: bool) -> None:
    """Such a SIGHUP killed the process. The file is replaced after the node has read it."""

    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
        first, second = node.discovery_servers
        for discovery in node.discovery_servers:
            await discovery.start()
        node.write_config(0)
        code = SIGNAL_AT_STARTUP.format(sign="SIGHUP", importing=importing, old=first.port, new=second.port)
        with node.log.open("wb") as log:
            node.child = subprocess.Popen(
                [sys.executable, "-c", code],
                stderr=log,
                cwd=ROOT,
                env=os.environ | {"ROUTER_CONFIG": str(node.path)},
            )
        child = node.child
        try:
            await wait_until(lambda: second.requested_paths or child.poll() is not None)
            assert second.requested_paths
            assert not first.requested_paths
            assert await node.stop() == 0
        finally:
            node.kill()

    asyncio.run(run())


def test_an_address_still_held_by_the_previous_process_is_retried(tmp_path: Path) -> None:
    """The node exited at once when its address was still in use."""

    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
        previous_socket = socket.create_server((LOOPBACK, node.port))
        starting = asyncio.ensure_future(node.start())
        try:
            await wait_until(
                lambda: node.log.exists()
                and "address in use by another process; retrying" in node.log.read_text()
            )
            previous_socket.close()
            await starting
            assert await node.stop() == 0
        finally:
            starting.cancel()
            previous_socket.close()
            node.kill()

    asyncio.run(run())


@pytest.mark.parametrize("signals", [("TERM",), ("TERM", "TERM"), ("HUP", "TERM"), ("TERM", "HUP")])
def test_sigterm_with_unread_streams_and_partial_hellos_exits_cleanly(
    tmp_path: Path, signals: tuple[str, ...]
) -> None:
    """A task left running when the event loop closes can log an exception that was never retrieved."""

    async def run() -> None:
        specifics: dict[str, Any] = SETTINGS["specifics"]  # type: ignore[assignment]
        settings = SETTINGS | {"specifics": specifics | {"proxies": 400}}
        node = NodeProcess(tmp_path, settings, MEMBERS, sockets=600)
        try:
            await node.start()
            first = await ProxyStream(node, 399).connect()
            await first.read_until("whole=1")
            clients = [RawConnection(node.port, receive_buffer_bytes=4_096) for _ in range(300)]
            for n, client in enumerate(clients):
                if n % 3:
                    client.send_hello(n)
                else:
                    client.sock.sendall(b"hello id=")
            node.discovery_servers[0].update_member(build_member("s-0", "leaving"))
            await first.read_until("out=s-0")
            assert node.child is not None
            node.write_config(1)
            for signal_name in signals:
                node.child.send_signal(signal.Signals[f"SIG{signal_name}"])
            assert await asyncio.to_thread(node.child.wait, TIMEOUT_S) == 0
            assert "Traceback" not in node.log.read_text()
            assert "never retrieved" not in node.log.read_text()
        finally:
            node.kill()

    asyncio.run(run())


# Health checks, reused connections, listeners


@pytest.mark.parametrize(("relisted", "outcome"), [
    (build_member("s-0", up_since_ms=1_700_000_000_000), HealthCheckOutcome.REJECTED),
    (build_member("s-0", host_port=f"{LOOPBACK}:2"), HealthCheckOutcome.REJECTED),
    (build_member("s-0", "left"), HealthCheckOutcome.UNREACHABLE),
])  # fmt: skip
def test_a_health_check_result_of_an_earlier_incarnation_is_discarded_and_the_check_repeated(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, relisted: dict[str, Any], outcome: HealthCheckOutcome
) -> None:
    """Without a result, a replica that left and came back during its check stayed ejected for ever."""

    async def scenario(harness: NodeHarness) -> None:
        first_results_released, results, checked_ports = (
            asyncio.Event(),
            dict[int, HealthCheckOutcome](),
            list[int](),
        )

        async def check_health(client: HttpClient, *_: Any) -> tuple[HealthCheckOutcome, None]:
            checked_ports.append(client.port)
            if len(checked_ports) > 2:
                return HealthCheckOutcome.REJECTED, None
            await first_results_released.wait()
            return HealthCheckOutcome.HEALTHY, None

        monkeypatch.setattr(health_checks, "check_health", check_health)
        core = harness.service.core
        monkeypatch.setattr(core, "on_health_checked", lambda n, outcome, *_: results.update({n: outcome}))
        replica_0, replica_2 = (core.identifiers.replicas[name] for name in ("s-0", "s-2"))
        tasks = [harness.service.health_checker.start(n) for n in (replica_0, replica_2)]
        await wait_until(lambda: len(checked_ports) == 2)
        harness.discoveries[0].watches[0].write(update_chunk(2, relisted, complete=False))
        await wait_until(lambda: core.endpoint_list.revision == 2)
        first_results_released.set()
        await asyncio.gather(*tasks)
        assert results == {replica_0: outcome, replica_2: HealthCheckOutcome.HEALTHY}

    run_with_node(tmp_path, scenario)


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: "


@pytest.mark.parametrize(("response", "outcome", "busy_share"), [
    (RESPONSE_HEAD + b"23\r\n\r\nTEXT util=0.5, queue=2.0", HealthCheckOutcome.HEALTHY, 0.5),
    (None, HealthCheckOutcome.CONNECTION_RESET, None),
    (RESPONSE_HEAD + b"30\r\n\r\nTEXT util=0.5", HealthCheckOutcome.TIMED_OUT, None),
    (RESPONSE_HEAD + b"9\r\n\r\nTEXT util", HealthCheckOutcome.HEALTHY, None),
    (RESPONSE_HEAD + b"12\r\n\r\n{\"util\": []}", HealthCheckOutcome.HEALTHY, None),
    (RESPONSE_HEAD + b"99999999\r\n\r\n", HealthCheckOutcome.CONNECTION_RESET, None),
    (b"junk\r\n\r\n", HealthCheckOutcome.CONNECTION_RESET, None),
    (b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", HealthCheckOutcome.REJECTED, None),
])  # fmt: skip
def test_a_malformed_truncated_or_too_long_health_check_response_has_its_own_outcome(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    response: bytes | None,
    outcome: HealthCheckOutcome,
    busy_share: float | None,
) -> None:
    monkeypatch.setattr(health_checker, "CHECK_TIMEOUT_S", 0.3)

    async def scenario(harness: NodeHarness) -> None:
        server, results, core = ScriptedHttpServer([response]), list[tuple[Any, ...]](), harness.service.core
        member = build_member("s-0", host_port=f"{LOOPBACK}:{await server.start()}")
        harness.discoveries[0].watches[0].write(update_chunk(2, member, complete=False))
        await wait_until(lambda: core.endpoint_list.revision == 2)
        monkeypatch.setattr(core, "on_health_checked", lambda *result: results.append(result))
        await harness.service.health_checker.start(core.identifiers.replicas["s-0"])
        assert [(result[1], result[3].busy_share if result[3] else None) for result in results] == [
            (outcome, busy_share)
        ]
        server.server.close()

    run_with_node(tmp_path, scenario)


def test_a_host_name_as_address_is_rejected_and_never_resolved(monkeypatch: pytest.MonkeyPatch) -> None:
    """Resolving a host name blocked the event loop until the resolver answered."""
    for text in ("replica.local:80", "127.0.0.1:0", "127.0.0.1:99999", ":80", "::1:80", "256.0.0.1:80"):
        with pytest.raises(ValueError, match="IPV4:PORT"):
            parse_address(text)
    assert parse_address("127.0.0.1:80") == ("127.0.0.1", 80)


class ScriptedHttpServer:
    """An HTTP server that sends scripted responses, listed by connection; None closes the connection."""

    def __init__(self, *connections: list[bytes | None]) -> None:
        self.script, self.requests = list(connections), list[bytes]()
        self.writers = list[asyncio.StreamWriter]()

    async def start(self) -> int:
        (port,) = find_free_ports(1)
        self.server = await asyncio.start_server(self._serve, LOOPBACK, port)
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            self.writers.append(writer)
            for response in self.script.pop(0):
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if response is None:
                    break
                writer.write(response)
                await writer.drain()
            else:
                await reader.read()
        writer.close()


OK_RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_reused_connection_that_closes_raises_and_the_request_is_not_repeated(method: str) -> None:
    """It is unknown whether the request took effect, and a poll of the feed is a GET that has one."""

    async def run() -> None:
        server = ScriptedHttpServer([OK_RESPONSE_HEAD + b"one", None], [OK_RESPONSE_HEAD + b"two"])
        client = HttpClient(LOOPBACK, await server.start())
        assert (await client.request(method, "/")).body == b"one"
        with pytest.raises(ConnectionLostError):
            await client.request(method, "/")
        assert len(server.requests) == 2
        assert (await client.request(method, "/")).body == b"two"
        client.close()
        server.server.close()

    asyncio.run(run())


@pytest.mark.parametrize("unsolicited", [b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n", b""])
@pytest.mark.parametrize("already_read", [True, False])
def test_unsolicited_data_on_an_idle_connection_is_not_taken_for_a_response(
    unsolicited: bytes, already_read: bool
) -> None:
    """The data was taken for the next response, whether already read or still in the socket buffer."""

    async def run() -> None:
        server = ScriptedHttpServer([OK_RESPONSE_HEAD + b"one"], [OK_RESPONSE_HEAD + b"two"])
        client = HttpClient(LOOPBACK, await server.start())
        assert (await client.request("POST", "/")).body == b"one"
        (connection,) = client._idle_connections
        writer = server.writers[0]
        writer.write(unsolicited) if unsolicited else writer.write_eof()
        assert select.select([connection.stream.socket], [], [], TIMEOUT_S)[0]
        if already_read:
            assert connection._pending_read is not None
            await wait_until(connection._pending_read.done)
        assert (await client.request("POST", "/")).body == b"two"
        client.close()
        server.server.close()

    asyncio.run(run())


def test_a_client_that_sends_continuously_does_not_delay_others() -> None:
    """Reading from a client that sent continuously did not yield to the event loop."""

    async def run() -> None:
        served = list[str]()

        async def handle(request: http.Request, connection: http_server.Connection) -> ServerResponse:
            served.append(request.target)
            return ServerResponse()

        server, (port,), stop = HttpServer(handle), find_free_ports(1), threading.Event()
        server.listen(port, LOOPBACK)
        request_text, flooding_socket = (
            "GET /f HTTP/1.1\r\nhost: a\r\n\r\n",
            socket.create_connection((LOOPBACK, port)),
        )

        def read_responses() -> None:
            """Reads the responses, because the flood would stop if they were left unread."""
            with contextlib.suppress(OSError):
                while not stop.is_set() and flooding_socket.recv(1 << 20):
                    pass

        def send_requests() -> None:
            deadline_s = time.monotonic() + TIMEOUT_S  # bounds the flood if the event loop is starved
            with contextlib.suppress(OSError):
                while not stop.is_set() and time.monotonic() < deadline_s:
                    flooding_socket.sendall(request_text.encode() * 2_000)

        threads = [threading.Thread(target=target) for target in (read_responses, send_requests)]
        try:
            for thread in threads:
                thread.start()
            await wait_until(lambda: len(served) > 5_000)
            client = HttpClient(LOOPBACK, port)
            assert (await client.request("GET", "/other", timeout_s=5.0)).status == 200
            client.close()
        finally:
            stop.set()
            server.abort()
            flooding_socket.close()
            for thread in threads:
                await asyncio.to_thread(thread.join, TIMEOUT_S)

    asyncio.run(run())
