"""Race conditions, each forced on the real node; `docs/hardening-review.md` lists them by these names."""

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
from gradehoist.net import server as http_server
from gradehoist.net.client import ConnectionLostError, HttpClient
from gradehoist.net.server import HttpServer, ServerResponse
from gradehoist.node import connections, discovery_client, health_checker, policy_runner, service
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
from tests.support.node_shell import CHUNKED, MEMBERS, InterleavedStream, Shell, Wire, shell, until, whole
from tests.support.platform_proxies import SETTINGS

ROOT = Path(__file__).parent.parent
DRAIN = whole(2, build_member("s-0", "leaving"), complete=False)
SUM = "outcomes site=a target=s-0 count=9 fail=9 mean=0"


@pytest.fixture
def interleaved(monkeypatch: pytest.MonkeyPatch) -> Iterator[type[InterleavedStream]]:
    monkeypatch.setattr(connections, "IOStream", InterleavedStream)
    yield InterleavedStream
    InterleavedStream.interleave = None


def play(
    folder: Path, work: Callable[[Shell], Any], settings: dict[str, Any] = SETTINGS, spoken: bool = True
) -> None:
    async def run() -> None:
        async with asyncio.timeout(2 * TIMEOUT_S), shell(folder, settings, spoken) as found:
            await work(found)

    asyncio.run(run())


async def bound(found: Shell, proxy: int = 0) -> Wire:
    """The connection of a proxy that has its first table."""
    wire = Wire(found.port)
    wire.hello(proxy)
    await until(lambda: not wire.ended and b"whole=1" in wire.text)
    return wire


async def drained(found: Shell, wire: Wire, place: int = 0) -> None:
    """A drain listed now reaches this stream."""
    found.scripts[place].watches[-1].write(DRAIN)
    await until(lambda: not wire.ended and b"out=s-0" in wire.text)


# Peers and streams


def test_the_hello_of_a_peer_turned_away_as_it_was_read_ends_no_live_stream(
    tmp_path: Path, interleaved: type[InterleavedStream]
) -> None:
    async def work(found: Shell) -> None:
        live, late = await bound(found), Wire(found.port)
        peer, met = await found.connection_of(late), list[bytes]()

        def turned_away(stream: InterleavedStream, data: bytes) -> bool:
            if stream is not peer.stream:
                return False
            met.append(data)
            found.service.connections.reject(peer, "it has not joined")
            return True

        InterleavedStream.interleave = turned_away
        late.hello()
        await until(lambda: met and late.ended)
        await drained(found, live)
        assert met[0].startswith(b"hello")
        assert len(found.service.core.streams.by_proxy) == 1

    play(tmp_path, work)


@pytest.mark.parametrize("said", [
    "demand id=0 lane=read count=50 fail=0 over=1000", "ack id=0 seq=1 ms=1", "\x01",
    "hello id=0 site=a rps=1 new=1",
])  # fmt: skip
def test_what_a_replaced_stream_said_last_counts_no_more(
    tmp_path: Path, interleaved: type[InterleavedStream], said: str
) -> None:
    async def work(found: Shell) -> None:
        old, new, core = await bound(found), Wire(found.port), found.service.core
        peer, counted = await found.connection_of(old), list[Any]()
        new_peer = await found.connection_of(new)

        def replaced(stream: InterleavedStream, data: bytes) -> bool:
            if stream is not peer.stream:
                return False
            found.service.connections.on_proxy_hello(new_peer, lines.ProxyHello(0, "a", 5.0, False))
            core.on_demand_reported = core.on_acknowledged = lambda *a: counted.append(a)  # type: ignore[method-assign,assignment]
            return True

        InterleavedStream.interleave = replaced
        old.say(said)
        await until(lambda: InterleavedStream.interleave is None and old.ended)
        await asyncio.sleep(0)
        assert not counted
        del core.on_demand_reported, core.on_acknowledged
        await until(lambda: not new.ended and b"whole=1" in new.text)
        await drained(found, new)
        assert core.streams.by_proxy[0].stream_id == new_peer.stream_id

    play(tmp_path, work)


def test_three_joinings_of_one_proxy_in_one_pass_leave_the_last(tmp_path: Path) -> None:
    async def work(found: Shell) -> None:
        wires = [Wire(found.port) for _ in range(3)]
        order = [await found.connection_of(wire) for wire in wires]
        for wire in wires:
            wire.hello()
        await until(lambda: sum(peer.has_joined for peer in order) == 3)
        last = next(w for w in wires if found.service.connections._by_proxy[0] is order[wires.index(w)])
        await until(lambda: not last.ended and b"whole=1" in last.text)
        await drained(found, last)
        assert sum(wire.ended for wire in wires) == 2
        assert len(found.service.core.streams.by_proxy) == 1

    play(tmp_path, work)


def test_good_sums_before_what_cannot_be_read_count_at_once(tmp_path: Path) -> None:
    async def work(found: Shell) -> None:
        due, loop = list[float | None](), asyncio.get_running_loop()
        refuse = found.service.connections._on_protocol_error

        def refused(connection: Connection, reason: str) -> None:
            next_step_s = found.service.runner._next_step_s
            due.append(None if next_step_s is None else next_step_s - loop.time())
            refuse(connection, reason)

        found.service.connections._on_protocol_error = refused  # type: ignore[method-assign]
        wire = Wire(found.port)
        wire.say("agent site=a", f"{SUM} over=1000", "GET / HTTP/1.1")
        await until(lambda: due)
        assert due[0] is not None
        assert due[0] <= policy_runner.BATCH_DELAY_S

    play(tmp_path, work)


def test_a_long_message_right_behind_a_joining_is_no_stranger_s(tmp_path: Path) -> None:
    """One read brought the hello and 4 KB of the next message, which was rejected as of an unknown peer."""

    async def work(found: Shell) -> None:
        wire, counted = Wire(found.port), list[lines.AttemptOutcomes]()
        peer = await found.connection_of(wire)
        found.service.core.on_outcomes_reported = counted.append  # type: ignore[method-assign,assignment]
        line = f"{SUM} over=1000 util={','.join(f'figure{n}:1' for n in range(2_000))}\r\n"
        wire.sock.sendall(b"agent site=a\r\n" + line[:9_000].encode())
        await until(lambda: peer.has_joined or wire.ended)
        wire.sock.sendall(line[9_000:].encode())
        await until(lambda: counted)

    play(tmp_path, work)


def test_a_probe_on_a_stream_that_joined_before_readiness_is_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(service, "READY_TIMEOUT_S", TIMEOUT_S)

    async def work(found: Shell) -> None:
        wires = [Wire(found.port) for _ in range(3)]
        for wire, first in zip(wires, ("hello id=0 site=a rps=5 new=1", "agent site=a", ""), strict=True):
            wire.say(*filter(None, [first]), "probe", "probe")
        gone = Wire(found.port)
        gone.say("probe")
        await until(
            lambda: sum(p.deferred_health_checks for p in found.service.connections._connections) == 7
        )
        gone.sock.close()
        (await found.scripts[0].watch(0)).write(CHUNKED + whole(1, *MEMBERS))
        for wire in wires:
            await until(lambda w=wire: not w.ended and w.text.count(b"alive\r\n") == 2)  # type: ignore[misc]

    play(tmp_path, work, spoken=False)


def test_a_proxy_that_reads_nothing_is_given_up_at_the_limit_and_taken_back(tmp_path: Path) -> None:
    async def work(found: Shell) -> None:
        deaf = Wire(found.port, buffer=4_096)
        deaf.hello()
        peer = await found.connection_of(deaf)
        await until(lambda: peer.has_joined)
        peer.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        while not peer.stream.closed():  # withdrawals without end
            found.service.connections.send(peer, b"push out=s-1\r\n" * 10_000)
        await until(lambda: 0 not in found.service.core.policy.fleet.flow.unacknowledged)
        assert found.has_logged("proxy 0 closed: 1048576 bytes unread")
        assert 0 not in found.service.core.streams.by_proxy
        assert (
            not found.service.core.policy.fleet.flow.unacknowledged_lines
        ), "its lines have left the channel's account"
        await drained(found, await bound(found))

    play(tmp_path, work)


def flood(port: int, stop: threading.Event, hello: str, line: str) -> None:
    """Writes as fast as the peer reads, on a thread of its own."""
    with contextlib.suppress(OSError), socket.create_connection((LOOPBACK, port)) as sock:
        sock.sendall(hello.encode())
        sock.settimeout(0.2)
        data = line.encode() * 2_000
        while not stop.is_set():
            with contextlib.suppress(TimeoutError):
                sock.sendall(data)


def test_a_flood_of_good_messages_holds_up_no_drain_and_no_end(tmp_path: Path) -> None:
    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
        stop, threads = threading.Event(), list[threading.Thread]()
        try:
            await node.start()
            proxy = await ProxyStream(node).connect()
            await proxy.read_until("whole=1")
            told = node.port, stop, "agent site=a\r\n", f"{SUM} over=1000\r\n"
            for _ in range(2):
                threads.append(threading.Thread(target=flood, args=told))
                threads[-1].start()
            seen = node.log.read_text().count("status: 1 proxy streams, 3 connections")
            await until(lambda: node.log.read_text().count("status: 1 proxy streams, 3 connections") > seen)
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


# Discovery's watch


@pytest.mark.parametrize("first", [
    CHUNKED, CHUNKED + whole(1, *MEMBERS)[:-40], b"", CHUNKED + DRAIN[:30], b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 500 No\r\ncontent-length: 0\r\n\r\n", b"HTTP/1.1 404 No\r\ncontent-length: 2\r\n\r\nno",
    b"HTTP/1.1 301 Away\r\nlocation: /\r\ncontent-length: 0\r\n\r\n", CHUNKED + b"3\r\n{]\n\r\n",
    b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}", CHUNKED + whole(1, *MEMBERS) + b"0\r\n\r\n",
])  # fmt: skip
def test_a_watch_that_falls_silent_or_ends_anywhere_is_opened_again(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, first: bytes
) -> None:
    monkeypatch.setattr(discovery_client, "SILENCE_TIMEOUT_S", 0.3)

    async def work(found: Shell) -> None:
        script = found.scripts[0]
        (await script.watch(0)).write(first)
        (await script.watch(1)).write(CHUNKED + whole(1, *MEMBERS))
        wire = await bound(found)
        await drained(found, wire)

    play(tmp_path, work, spoken=False)


def test_a_watch_that_drips_and_never_answers_is_given_up(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A response without a length that brought an empty line now and then passed for a watch without news."""
    monkeypatch.setattr(discovery_client, "SILENCE_TIMEOUT_S", 0.3)

    async def work(found: Shell) -> None:
        writer = await found.scripts[0].watch(0)
        writer.write(b"HTTP/1.1 200 OK\r\n\r\n")

        def dripped() -> bool:
            writer.write(b"\n")
            return len(found.scripts[0].opened) > 1

        await until(dripped)

    play(tmp_path, work, spoken=False)


def test_a_drain_before_a_spoilt_line_counts_though_discovery_is_gone_then(tmp_path: Path) -> None:
    async def work(found: Shell) -> None:
        script = found.scripts[0]
        wire = await bound(found)
        script.stop_accepting()  # no later watch can repeat it
        script.watches[0].write(DRAIN + b"3\r\n{]\n\r\n")
        await until(lambda: not wire.ended and b"out=s-0" in wire.text)

    play(tmp_path, work)


def test_an_older_whole_list_over_the_watch_that_was_left_undoes_no_drain(tmp_path: Path) -> None:
    """SIGHUP as a watch was being opened again: its older snapshot came after the new watch's."""

    async def work(found: Shell) -> None:
        first, second = found.scripts
        wire = await bound(found)
        first.watches[0].close()
        slow = await first.watch(1)
        found.node.configure(1)
        os.kill(os.getpid(), signal.SIGHUP)
        fast = await second.watch(0)
        fast.write(CHUNKED + whole(5, build_member("s-0", "leaving"), *MEMBERS[1:], build_member("s-9")))
        await until(lambda: not wire.ended and b"out=s-0" in wire.text)
        slow.write(CHUNKED + whole(4, *MEMBERS[:3], build_member("s-3", "leaving", locality="b")))
        slow.write(whole(6, build_member("s-1", "leaving", locality="b"), complete=False))
        await until(lambda: not wire.ended and b"out=s-1" in wire.text)
        held = found.service.core.endpoint_list
        assert held.endpoints["s-0"].phase is Phase.DRAINING
        assert "s-9" in held.endpoints
        assert held.revision == 6
        assert held.endpoints["s-3"].phase is Phase.READY  # its earlier drain was over by then
        assert b"back=s-0" not in wire.text

    play(tmp_path, work)


def test_a_list_that_goes_back_for_good_is_taken(tmp_path: Path) -> None:
    """Discovery started over behind both addresses: the new watch is opened again once the old one ended."""

    async def work(found: Shell) -> None:
        first, second = found.scripts
        first.watches[0].write(whole(50, build_member("s-7"), complete=False))
        await until(lambda: "s-7" in found.service.core.endpoint_list.endpoints)
        found.node.configure(1)
        os.kill(os.getpid(), signal.SIGHUP)
        (await second.watch(0)).write(CHUNKED + whole(3, *MEMBERS[:2]))
        await until(lambda: found.service.core.endpoint_list._stale_watches)
        first.watches[0].close()
        (await second.watch(1)).write(CHUNKED + whole(3, *MEMBERS[:2]))
        await until(lambda: list(found.service.core.endpoint_list.endpoints) == ["s-0", "s-1"])
        assert found.service.core.endpoint_list.revision == 3

    play(tmp_path, work)


def test_a_file_caught_half_written_is_read_again_without_a_second_signal(tmp_path: Path) -> None:
    async def work(found: Shell) -> None:
        found.node.configure(1)
        data = found.path.read_bytes()
        found.path.write_bytes(data[:100])
        for _ in range(2):  # two in one loop pass
            os.kill(os.getpid(), signal.SIGHUP)
        await until(lambda: found.has_logged("the previous configuration stays"))
        found.path.write_bytes(data)
        (await found.scripts[1].watch(0)).write(CHUNKED + whole(1, *MEMBERS))
        await drained(found, await bound(found), place=1)

    play(tmp_path, work)


# Start and end

EARLY = """
import gc, os, signal, sys
class At:
    def find_spec(self, name, *rest):
        if name == "gradehoist.node.service" and {importing}:
            os.kill(os.getpid(), signal.{sign})
sys.meta_path.insert(0, At())
def freeze(plain=gc.freeze):
    plain()
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
def test_sigterm_before_the_handlers_stand_is_a_planned_end(tmp_path: Path, importing: bool) -> None:
    node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
    node.configure(0)
    code = EARLY.format(sign="SIGTERM", importing=importing, old="", new="")
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        cwd=ROOT,
        env=os.environ | {"ROUTER_CONFIG": str(node.path)},
        timeout=TIMEOUT_S,
    )
    assert (done.returncode, done.stderr) == (0, b"")


@pytest.mark.parametrize("importing", [True, False])
def test_sighup_before_the_handlers_stand_moves_discovery(tmp_path: Path, importing: bool) -> None:
    """The signal ended the process before. The file is replaced after it was read."""

    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
        first, second = node.discovery_servers
        for place in node.discovery_servers:
            await place.start()
        node.configure(0)
        code = EARLY.format(sign="SIGHUP", importing=importing, old=first.port, new=second.port)
        with node.log.open("wb") as log:
            node.child = subprocess.Popen(
                [sys.executable, "-c", code],
                stderr=log,
                cwd=ROOT,
                env=os.environ | {"ROUTER_CONFIG": str(node.path)},
            )
        child = node.child
        try:
            await until(lambda: second.requested_paths or child.poll() is not None)
            assert second.requested_paths
            assert not first.requested_paths
            assert await node.stop() == 0
        finally:
            node.kill()

    asyncio.run(run())


def test_an_address_that_the_process_before_still_holds_is_waited_for(tmp_path: Path) -> None:
    async def run() -> None:
        node = NodeProcess(tmp_path, SETTINGS, MEMBERS)
        held = socket.create_server((LOOPBACK, node.port))
        starting = asyncio.ensure_future(node.start())
        try:
            await until(
                lambda: node.log.exists()
                and "address in use by another process; retrying" in node.log.read_text()
            )
            held.close()
            await starting
            assert await node.stop() == 0
        finally:
            starting.cancel()
            held.close()
            node.kill()

    asyncio.run(run())


@pytest.mark.parametrize("signs", [("TERM",), ("TERM", "TERM"), ("HUP", "TERM"), ("TERM", "HUP")])
def test_sigterm_with_streams_unread_and_joins_half_done_leaves_nothing(
    tmp_path: Path, signs: tuple[str, ...]
) -> None:
    async def run() -> None:
        specifics: dict[str, Any] = SETTINGS["specifics"]  # type: ignore[assignment]
        settings = SETTINGS | {"specifics": specifics | {"proxies": 400}}
        node = NodeProcess(tmp_path, settings, MEMBERS, sockets=600)
        try:
            await node.start()
            first = await ProxyStream(node, 399).connect()
            await first.read_until("whole=1")
            wires = [Wire(node.port, buffer=4_096) for _ in range(300)]
            for n, wire in enumerate(wires):
                if n % 3:
                    wire.hello(n)
                else:
                    wire.sock.sendall(b"hello id=")
            node.discovery_servers[0].update_member(build_member("s-0", "leaving"))
            await first.read_until("out=s-0")
            assert node.child is not None
            node.configure(1)
            for sign in signs:
                node.child.send_signal(signal.Signals[f"SIG{sign}"])
            assert await asyncio.to_thread(node.child.wait, TIMEOUT_S) == 0
            assert "Traceback" not in node.log.read_text()
            assert "never retrieved" not in node.log.read_text()
        finally:
            node.kill()

    asyncio.run(run())


# Health checks, kept connections, listeners


@pytest.mark.parametrize(("returned", "outcome"), [
    (build_member("s-0", up_since_ms=1_700_000_000_000), HealthCheckOutcome.REJECTED),
    (build_member("s-0", host_port=f"{LOOPBACK}:2"), HealthCheckOutcome.REJECTED),
    (build_member("s-0", "left"), HealthCheckOutcome.UNREACHABLE),
])  # fmt: skip
def test_a_probe_s_answer_from_an_earlier_life_is_no_word_on_this_one_which_is_asked(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, returned: dict[str, Any], outcome: HealthCheckOutcome
) -> None:
    """Without a result, a replica that left and came back during its check stayed ejected for good."""

    async def work(found: Shell) -> None:
        held, heard, asked = asyncio.Event(), dict[int, HealthCheckOutcome](), list[int]()

        async def ask(client: HttpClient, *_: Any) -> tuple[HealthCheckOutcome, None]:
            asked.append(client.port)
            if len(asked) > 2:
                return HealthCheckOutcome.REJECTED, None
            await held.wait()
            return HealthCheckOutcome.HEALTHY, None

        monkeypatch.setattr(health_checks, "check_health", ask)
        core = found.service.core
        monkeypatch.setattr(core, "on_health_checked", lambda n, outcome, *_: heard.update({n: outcome}))
        s0, s2 = (core.identifiers.replicas[name] for name in ("s-0", "s-2"))
        tasks = [found.service.health_checker.start(n) for n in (s0, s2)]
        await until(lambda: len(asked) == 2)
        found.scripts[0].watches[0].write(whole(2, returned, complete=False))
        await until(lambda: core.endpoint_list.revision == 2)
        held.set()
        await asyncio.gather(*tasks)
        assert heard == {s0: outcome, s2: HealthCheckOutcome.HEALTHY}

    play(tmp_path, work)


ASKED = b"HTTP/1.1 200 OK\r\ncontent-length: "


@pytest.mark.parametrize(("answer", "outcome", "busy"), [
    (ASKED + b"23\r\n\r\nTEXT util=0.5, queue=2.0", HealthCheckOutcome.HEALTHY, 0.5),
    (None, HealthCheckOutcome.CONNECTION_RESET, None),
    (ASKED + b"30\r\n\r\nTEXT util=0.5", HealthCheckOutcome.TIMED_OUT, None),
    (ASKED + b"9\r\n\r\nTEXT util", HealthCheckOutcome.HEALTHY, None),
    (ASKED + b"12\r\n\r\n{\"util\": []}", HealthCheckOutcome.HEALTHY, None),
    (ASKED + b"99999999\r\n\r\n", HealthCheckOutcome.CONNECTION_RESET, None),
    (b"junk\r\n\r\n", HealthCheckOutcome.CONNECTION_RESET, None),
    (b"HTTP/1.1 503 No\r\ncontent-length: 0\r\n\r\n", HealthCheckOutcome.REJECTED, None),
])  # fmt: skip
def test_a_malformed_truncated_or_too_long_health_check_response_has_its_own_outcome(
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    answer: bytes | None,
    outcome: HealthCheckOutcome,
    busy: float | None,
) -> None:
    monkeypatch.setattr(health_checker, "CHECK_TIMEOUT_S", 0.3)

    async def work(found: Shell) -> None:
        server, heard, core = Cutting([answer]), list[tuple[Any, ...]](), found.service.core
        here = build_member("s-0", host_port=f"{LOOPBACK}:{await server.start()}")
        found.scripts[0].watches[0].write(whole(2, here, complete=False))
        await until(lambda: core.endpoint_list.revision == 2)
        monkeypatch.setattr(core, "on_health_checked", lambda *told: heard.append(told))
        await found.service.health_checker.start(core.identifiers.replicas["s-0"])
        assert [(told[1], told[3].busy_share if told[3] else None) for told in heard] == [(outcome, busy)]
        server.server.close()

    play(tmp_path, work)


def test_an_address_by_name_is_refused_and_never_looked_up(monkeypatch: pytest.MonkeyPatch) -> None:
    """Resolving a name blocked the event loop for as long as it took."""
    for text in ("replica.local:80", "127.0.0.1:0", "127.0.0.1:99999", ":80", "::1:80", "256.0.0.1:80"):
        with pytest.raises(ValueError, match="IPV4:PORT"):
            parse_address(text)
    assert parse_address("127.0.0.1:80") == ("127.0.0.1", 80)


class Cutting:
    """A scripted HTTP server: the response to each request of each connection; None closes the connection."""

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
            for answer in self.script.pop(0):
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                if answer is None:
                    break
                writer.write(answer)
                await writer.drain()
            else:
                await reader.read()
        writer.close()


OK = b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n"


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_a_kept_connection_closed_as_it_is_used_again_is_told_and_nothing_asked_twice(method: str) -> None:
    """Whether the request took effect is not known, and a poll of the feed is a GET with an effect."""

    async def run() -> None:
        server = Cutting([OK + b"one", None], [OK + b"two"])
        client = HttpClient(LOOPBACK, await server.start())
        assert (await client.request(method, "/")).body == b"one"
        with pytest.raises(ConnectionLostError):
            await client.request(method, "/")
        assert len(server.requests) == 2
        assert (await client.request(method, "/")).body == b"two"
        client.close()
        server.server.close()

    asyncio.run(run())


@pytest.mark.parametrize("unasked", [b"HTTP/1.1 408 Request Timeout\r\ncontent-length: 0\r\n\r\n", b""])
@pytest.mark.parametrize("seen", [True, False])
def test_what_comes_unasked_on_a_kept_connection_answers_nothing(unasked: bytes, seen: bool) -> None:
    """Whether the loop has read it or it lies in the socket, it was taken for the next response."""

    async def run() -> None:
        server = Cutting([OK + b"one"], [OK + b"two"])
        client = HttpClient(LOOPBACK, await server.start())
        assert (await client.request("POST", "/")).body == b"one"
        (link,) = client._idle_connections
        writer = server.writers[0]
        writer.write(unasked) if unasked else writer.write_eof()
        assert select.select([link.stream.socket], [], [], TIMEOUT_S)[0]
        if seen:
            assert link._pending_read is not None
            await until(link._pending_read.done)
        assert (await client.request("POST", "/")).body == b"two"
        client.close()
        server.server.close()

    asyncio.run(run())


def test_one_who_always_has_more_to_ask_holds_up_no_other() -> None:
    async def run() -> None:
        served = list[str]()

        async def handle(request: http.Request, connection: http_server.Connection) -> ServerResponse:
            served.append(request.target)
            return ServerResponse()

        server, (port,), stop = HttpServer(handle), find_free_ports(1), threading.Event()
        server.listen(port, LOOPBACK)
        ask, asker = "GET /f HTTP/1.1\r\nhost: a\r\n\r\n", socket.create_connection((LOOPBACK, port))

        def reads() -> None:
            """Reads the responses to the flood, which unread would stop it."""
            with contextlib.suppress(OSError):
                while not stop.is_set() and asker.recv(1 << 20):
                    pass

        def asks() -> None:
            end = time.monotonic() + TIMEOUT_S  # held up, the loop itself has no bound
            with contextlib.suppress(OSError):
                while not stop.is_set() and time.monotonic() < end:
                    asker.sendall(ask.encode() * 2_000)

        threads = [threading.Thread(target=work) for work in (reads, asks)]
        try:
            for thread in threads:
                thread.start()
            await until(lambda: len(served) > 5_000)
            client = HttpClient(LOOPBACK, port)
            assert (await client.request("GET", "/other", timeout_s=5.0)).status == 200
            client.close()
        finally:
            stop.set()
            server.abort()
            asker.close()
            for thread in threads:
                await asyncio.to_thread(thread.join, TIMEOUT_S)

    asyncio.run(run())
