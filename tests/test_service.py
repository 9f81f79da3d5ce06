"""Governor and stand-ins on sockets: hostile senders, a failing module, lost answers, a short day."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pickle
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import psutil
import pytest

from gradehoist.cells.assignment import TenantAssignment
from gradehoist.governor.openapi import document
from gradehoist.governor.policy_frames import (
    FRAME_LENGTH,
    BatchesHandled,
    HandleBatches,
    StartPolicies,
    encode_frame,
)
from gradehoist.governor.policy_host import serve
from gradehoist.governor.policy_instances import PolicyBatch
from gradehoist.governor.policy_process import PolicyProcess, PolicyProcessError
from gradehoist.governor.service import GovernorService
from gradehoist.interface import ProxyJoined
from gradehoist.net.client import ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse, ServerTimeouts
from gradehoist.protocol import feed, http
from gradehoist.scenario.checks.records import AttemptSent, load_records
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.checks.verdict import Rule
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.scenario.runner import ScenarioRun
from gradehoist.testbed import scenario_plan as p
from gradehoist.testbed.proxy import Proxy
from gradehoist.testbed.proxy_process import ProxyProcess
from tests.support.governed_fleet import make_endpoint, make_loopback_settings

ROOT = Path(__file__).parent.parent
LOCAL = "127.0.0.1"


def run(work: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(work(), 60))


class Roster:
    """A roster in this process: says what it is told to say."""

    def __init__(self) -> None:
        (self.port,) = find_free_ports(1)
        self.version, self.entries, self.status, self.calls = 1, [make_endpoint(n) for n in range(4)], 200, 0
        self.server = HttpServer(self.handle)
        self.server.listen(self.port, LOCAL)

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        self.calls += 1
        if "after=-1" not in request.target:
            await asyncio.sleep(0.1)
        if self.status != 200:
            return ServerResponse(self.status)
        return ServerResponse(
            200, msgspec.json.encode(feed.EndpointListUpdate("l", self.version, tuple(self.entries), True))
        )


@contextlib.asynccontextmanager
async def governor(
    tmp_path: Path, patience: ServerTimeouts | None = None
) -> AsyncIterator[tuple[GovernorService, HttpClient]]:
    roster = Roster()
    (port,) = find_free_ports(1)
    found = make_loopback_settings(tmp_path, roster.port, port)
    service = GovernorService(found.fleet, found.governors[0])
    if patience:
        service._server._timeouts = patience
    service.roster_stand_in = roster  # type: ignore[attr-defined]
    running = asyncio.ensure_future(service.run())
    client = HttpClient(LOCAL, port)
    for _ in range(200):
        if not service.core.endpoint_list.is_stale:
            break
        await asyncio.sleep(0.05)
    try:
        yield service, client
    finally:
        service.stop()
        await running
        client.close()
        roster.server.stop()


async def say(port: int, data: bytes, wait: float = 5.0) -> bytes:
    """What the server answers to raw bytes until it closes, or until `wait`."""
    reader, writer = await asyncio.open_connection(LOCAL, port)
    writer.write(data)
    with contextlib.suppress(TimeoutError, ConnectionError):
        got = b""
        async with asyncio.timeout(wait):
            while piece := await reader.read(65536):
                got += piece
    writer.close()
    return got


TAIL = b" HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"


def body(text: bytes) -> bytes:
    return b"POST /v1/sums" + TAIL + b"content-length: %d\r\n\r\n" % len(text) + text


def read(response: http.Response) -> feed.PollResponse:
    answer: feed.PollResponse = msgspec.json.decode(response.body, type=feed.PollResponse)
    return answer


def test_hostile_senders_get_a_clear_answer_and_the_governor_goes_on(tmp_path: Path) -> None:
    async def work() -> None:
        async with governor(tmp_path, ServerTimeouts(idle_s=1.0, request_s=0.4, write_s=0.4)) as (
            service,
            client,
        ):
            port = service.settings.listen_address[1]
            process = psutil.Process()
            joined = read(await client.request("GET", "/v1/feed?relay=r&zone=x"))
            prefix = b'{"relay":"r","epoch":"%s","window":1,' % joined.epoch.encode()
            cases = [
                (b"GET /v1/feed HTTP/1.1\r\nho", 408),
                (b"GET /" + TAIL + b"x: " + b"y" * 99999, 431),
                (b"GET /" + b"y" * 9999, 414),
                (b"POST /v1/sums" + TAIL + b"content-length: 9999999\r\n\r\n", 413),
                (b"POST /v1/sums" + TAIL + b"content-length: 50\r\n\r\nshort", 408),
                (body(b"\xff\xfe"), 400),
                (body(b'{"relay":"r"}'), 400),
                (body(b"[" * 5000), 400),
                (body(prefix + b'"tries":[{"replica":"w1","tries":NaN}]}'), 400),
                (body(prefix + b'"tries":[{"replica":"w1","tries":1,"busy":-1}]}'), 400),
                (body(prefix + b'"tries":[{"replica":"w1","tries":1,"busy":1e999}]}'), 400),
                (body(prefix + b'"tries":[{"replica":"w1","tries":99999999999}]}'), 400),
                (body(prefix + b'"tries":[{"replica":"w1","tries":1,"bad":2}]}'), 422),
                (body(prefix + b'"came":[{"cls":"none","number":1}]}'), 422),
                (body(b'{"relay":"stranger","epoch":"e","window":1}'), 409),
                (b"GET /v1/feed?relay=&zone=x" + TAIL + b"\r\n", 400),
                (b"GET /v1/feed?relay=q&zone=z" + TAIL + b"\r\n", 422),
                (b"GET /v1/feed?relay=q&zone=x&rate=nan" + TAIL + b"\r\n", 400),
                (b"DELETE /v1/feed" + TAIL + b"\r\n", 405),
                (b"GET /other" + TAIL + b"\r\n", 404),
                (b"GET //[x" + TAIL + b"\r\n", 400),
            ]
            for data, status in cases:
                answer = await say(port, data)
                assert answer.startswith(b"HTTP/1.1 %d " % status), (data[:80], answer[:80])
                assert b'{"error":"' in answer
            before = process.memory_info().rss
            for _ in range(3):
                await asyncio.gather(*(say(port, data) for data, _ in cases))
            assert process.memory_info().rss - before < 30_000_000
            sums = prefix + b'"tries":[{"replica":"w1","tries":1}]}'
            good = await client.request("POST", "/v1/sums", sums)
            assert good.status == 204

    run(work)


def test_the_api_document_is_that_of_the_program_and_holds_on_the_server(tmp_path: Path) -> None:
    written = msgspec.json.decode((ROOT / "docs" / "openapi.json").read_bytes())
    assert written == msgspec.json.decode(msgspec.json.encode(document()))

    async def work() -> None:
        async with governor(tmp_path) as (_, client):
            asked = {
                ("/v1/feed", "get"): ["?relay=r&zone=x", "?zone=x", "?relay=r&zone=q"],
                ("/v1/sums", "post"): [""],
                ("/v1/status", "get"): [""],
                ("/v1/cells/word", "post"): [""],
            }
            for path, methods in written["paths"].items():
                for method, operation in methods.items():
                    for tail in asked.pop((path, method)):
                        response = await client.request(method.upper(), path + tail)
                        content = operation["responses"][str(response.status)].get("content")
                        assert bool(content) == bool(response.body)
                        if response.status == 200 and path == "/v1/feed":
                            read(response)  # strict: the schema is this type's
                    refused = await client.request("PATCH", path)
                    assert str(refused.status) in operation["responses"]
            assert not asked

    run(work)


def test_one_byte_at_a_time_is_cut_off_though_it_never_pauses(tmp_path: Path) -> None:
    async def work() -> None:
        async with governor(tmp_path, ServerTimeouts(request_s=0.5)) as (service, _):
            reader, writer = await asyncio.open_connection(LOCAL, service.settings.listen_address[1])

            async def drip() -> None:
                with contextlib.suppress(ConnectionError):
                    for byte in b"GET /v1/status HTTP/1.1\r\n" + b"x: 1\r\n" * 1000:
                        writer.write(bytes([byte]))
                        await asyncio.sleep(0.02)

            task = asyncio.ensure_future(drip())
            assert b" 408 " in await asyncio.wait_for(reader.readline(), 10)
            task.cancel()
            writer.close()

    run(work)


def test_the_later_of_two_polls_wins_and_stopping_ends_the_feeds(tmp_path: Path) -> None:
    async def work() -> None:
        async with governor(tmp_path) as (service, client):
            port = service.settings.listen_address[1]
            first = read(await client.request("GET", "/v1/feed?relay=r&zone=x"))
            assert first.is_new_stream
            target = f"/v1/feed?relay=r&zone=x&epoch={first.epoch}&stream={first.stream}&after="
            after = 0
            for _ in range(20):  # until nothing is left to read and the poll is held
                answer = read(await client.request("GET", target + str(after)))
                if not answer.messages:
                    break
                after = answer.messages[-1].seq
            assert after and not answer.is_new_stream
            held = [asyncio.ensure_future(HttpClient(LOCAL, port).request("GET", target + str(after)))]
            await asyncio.sleep(0.2)
            held.append(asyncio.ensure_future(HttpClient(LOCAL, port).request("GET", target + str(after))))
            assert (await held[0]).status == 409
            never = await client.request("GET", target + str(after + 7))
            assert never.status == 409 and b"was not sent" in never.body
            await asyncio.sleep(0.1)
            assert (await held[1]).status in (200, 409)
            last = asyncio.ensure_future(HttpClient(LOCAL, port).request("GET", target + str(after)))
            await asyncio.sleep(0.2)
            service.stop()
            assert (await last).status == 503

    run(work)


def test_without_any_list_a_relay_is_told_to_go_on_with_what_it_holds(tmp_path: Path) -> None:
    async def work() -> None:
        async with governor(tmp_path) as (service, client):
            service.core.endpoint_list.endpoints.clear()
            assert (await client.request("GET", "/v1/feed?relay=q&zone=x")).status == 503
        saved: list[feed.EndpointRecord] = msgspec.json.decode(
            (service.settings.state_folder / "roster.json").read_bytes(), type=list[feed.EndpointRecord]
        )
        assert len(saved) == 4

    run(work)


def test_a_module_that_raises_ends_the_feeds_and_the_governor_with_1(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(self: Any, now: int, batches: list[Any], timers: bool) -> Any:
        if any(isinstance(event, ProxyJoined) for batch in batches for event in batch.events):
            raise PolicyProcessError("ValueError: made up")
        return []

    async def work() -> None:
        monkeypatch.setattr(PolicyProcess, "handle", fail)
        async with governor(tmp_path) as (service, client):
            answer = read(await client.request("GET", "/v1/feed?relay=r&zone=x"))
            with contextlib.suppress(ConnectionLostError, ResponseTimeoutError):
                target = f"/v1/feed?relay=r&zone=x&epoch={answer.epoch}&stream={answer.stream}&after=0"
                ended = await client.request("GET", target)
                assert ended.status == 503 and b"messages" not in ended.body
            await asyncio.wait_for(service._stopping.wait(), 5)
            assert service._has_failed

    run(work)


def test_the_planner_s_child_tells_a_fault_as_such_and_nothing_of_the_answer() -> None:
    class Faulty:
        def __init__(self, start: Any, now: int) -> None: ...

        def handle(self, now: int, events: Any) -> Any:
            raise RuntimeError("made up")

    ours, theirs = socket.socketpair()
    with ours, theirs, theirs.makefile("rwb") as pipe, ours.makefile("rwb") as end:
        none: Any = None
        end.write(encode_frame(StartPolicies([none], 0, False)))
        end.write(encode_frame(HandleBatches(0, [PolicyBatch(0, [])], True)))
        end.flush()
        ours.shutdown(socket.SHUT_WR)
        serve(pipe, Faulty)  # type: ignore[arg-type]
        (size,) = FRAME_LENGTH.unpack(end.read(4))
        answer: BatchesHandled = pickle.loads(end.read(size))
    assert answer.failure == "RuntimeError: made up" and answer.replies == []


def test_an_answer_lost_after_the_work_is_not_repeated_for_what_must_never_run_twice(tmp_path: Path) -> None:
    """The repeat order stands at the relay, the work is done, and its answer is cut off half way."""
    plan = build_plan(read_scenario(ROOT / "scenarios" / "short.kdl"), 1)
    done: list[str] = []

    async def cut(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await stream.readuntil(b"\r\n\r\n")
        done.append(request.decode().partition("x-transaction: ")[2].split("\r\n")[0])
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf")
        await writer.drain()
        writer.close()

    async def work() -> None:
        process = ProxyProcess(plan, "relays-hall-a", tmp_path)
        relay: Proxy = next(iter(process.proxies.values()))
        servers = [await asyncio.start_server(cut, LOCAL, 0) for _ in plan.replicas]
        ports = [s.sockets[0].getsockname()[1] for s in servers]
        relay.sender.replica_ports = {x.name: port for x, port in zip(plan.replicas, ports, strict=True)}
        classes: list[p.RequestClassPlan] = [c for c in plan.classes if c.idempotency == "single"]
        everywhere = feed.AdmissionDelta(None, (classes[0].name,), 1.0, 1)  # one more try, on proof alone
        relay.state.apply(feed.Message(1, 1, 0, 1, (everywhere,)))
        relay.server = HttpServer(relay.handle)
        relay.server.listen(relay.plan.port, LOCAL)
        headers = (("x-transaction", "c1.1"), ("x-class", classes[0].name), ("x-work", "5"))
        answer = await HttpClient(LOCAL, relay.plan.port).request("POST", "/", b"", headers)
        assert answer.status == 502 and done == ["c1.1"]  # its final answer at once, and one effect
        for server in servers:  # nobody listens: proof that it never ran, so the second try is due
            server.close()
        answer = await HttpClient(LOCAL, relay.plan.port).request("POST", "/", b"", headers)
        assert answer.status == 502 and len(done) == 1
        process.record.flush()
        events = [record.event for record in load_records(tmp_path)]
        attempts = [event for event in events if isinstance(event, AttemptSent)]
        assert [attempt.number for attempt in attempts] == [0, 0, 1]
        assert attempts[1].replica != attempts[2].replica
        relay.stop()

    run(work)


def test_no_line_left_after_a_try_that_may_have_run_is_not_told_as_never_run(tmp_path: Path) -> None:
    """Further tries are ordered and the table has one line: a 503 would have the client send it again."""
    plan = build_plan(read_scenario(ROOT / "scenarios" / "short.kdl"), 1)

    async def answer(request: http.Request, connection: Connection) -> ServerResponse | None:
        if (http.get_header(request.headers, "x-transaction") or "").startswith("cut"):
            return None  # the work is done, the answer lost
        return ServerResponse(200, b"", (("endpoint-load-metrics", "TEXT cpu_utilization=much"),))

    async def work() -> None:
        relay: Proxy = next(iter(ProxyProcess(plan, "relays-hall-a", tmp_path).proxies.values()))
        (port,) = find_free_ports(1)
        server = HttpServer(answer)
        server.listen(port, LOCAL)
        name, cls = plan.replicas[0].name, next(c.name for c in plan.classes if c.idempotency == "single")
        relay.sender.replica_ports = {name: port}
        relay.state.apply(
            feed.Message(
                1,
                1,
                0,
                1,
                (feed.BindDelta(1, (cls,), {name: 1.0}), feed.AdmissionDelta(None, (cls,), 1.0, 2)),
            )
        )
        relay.server = HttpServer(relay.handle)
        relay.server.listen(relay.plan.port, LOCAL)
        client = HttpClient(LOCAL, relay.plan.port)
        for tx, status in ("cut.1", 502), ("whole.1", 200):  # nor does a spoilt load report spoil an answer
            headers = (("x-transaction", tx), ("x-class", cls), ("x-work", "5"))
            assert (await client.request("POST", "/", b"", headers)).status == status
        relay.stop()
        server.abort()

    run(work)


def test_half_an_answer_changes_nothing_at_a_relay_whatever_byte_the_governor_died_at(tmp_path: Path) -> None:
    """Cut at each byte and reset, as by a kill; then a governor of a new epoch answers whole."""
    plan = build_plan(read_scenario(ROOT / "scenarios" / "short.kdl"), 1)
    plan = msgspec.structs.replace(plan, reconnect_range_us=(0, 0))
    lines = {"w1": 1.0, "w2": 2.5}
    deltas = (feed.BindDelta(7, tuple(c.name for c in plan.classes), lines), feed.WithdrawalDelta("w3"))
    body = msgspec.json.encode(feed.PollResponse("first", 1, (feed.Message(1, 1, 1, 9.0, deltas, 1),)))
    whole = http.format_response(200, body, (("content-type", "application/json"),))

    def join(epoch: str) -> bytes:
        return http.format_response(200, msgspec.json.encode(feed.PollResponse(epoch, 1, is_new_stream=True)))

    async def one(cut: int) -> None:
        process = ProxyProcess(plan, "relays-hall-a", tmp_path)
        relay: Proxy = next(iter(process.proxies.values()))
        asked: list[str] = []
        ended = asyncio.Event()
        before: list[str] = []

        def state() -> str:
            return repr((vars(relay.state), relay.feed.acknowledged_seq))

        async def dying(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await stream.readuntil(b"\r\n\r\n")
            writer.write(join("first"))
            await stream.readuntil(b"\r\n\r\n")
            before.append(state())
            writer.write(whole[:cut])
            await writer.drain()
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            writer.close()

        async def next_one(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    request = (await stream.readuntil(b"\r\n\r\n")).decode()
                    asked.append(request.split(" ")[1])
                    if len(asked) == 1:
                        before.append(state())
                        writer.write(join("again"))
                    elif len(asked) == 2:
                        writer.write(whole.replace(b"first", b"again"))
                    else:
                        ended.set()
            writer.close()

        servers = [await asyncio.start_server(handle, LOCAL, 0) for handle in (dying, next_one)]
        ways = [("g", (LOCAL, s.sockets[0].getsockname()[1])) for s in servers]
        relay.context.plan = msgspec.structs.replace(relay.plan, governors=tuple(ways))
        following = asyncio.ensure_future(relay.feed.follow())
        await ended.wait()
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        for server in servers:
            server.close()
        assert before[0] == before[1], f"cut at byte {cut}"
        assert "epoch=first" in asked[0] and "after=0" in asked[0] and "epoch=again" in asked[1]
        assert (
            relay.feed.epoch == "again"
            and relay.feed.acknowledged_seq == 1
            and relay.state.weights_for("rate-check") == lines
        )

    async def work() -> None:
        for cut in range(len(whole)):
            await one(cut)

    run(work)


def test_a_word_that_cannot_be_kept_is_not_confirmed_and_a_spoilt_book_stops_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with governor(tmp_path) as (service, client):
            service._api._assignments = service.assignments  # as with cells
            word = msgspec.json.encode(TenantAssignment("inn", 2, "m"))

            def full(path: Path, data: bytes) -> None:
                raise OSError(28, "No space left on device")

            with monkeypatch.context() as patch:
                patch.setattr("gradehoist.store.atomic_file.write_file", full)
                refused = await client.request("POST", "/v1/cells/word", word)
                assert (
                    refused.status == 503
                    and b"No space" in refused.body
                    and not service.assignments.directory.assignments
                )
            assert (await client.request("POST", "/v1/cells/word", word)).status == 200
            await service.leases.renew("no address", b"")  # fails by itself, not the governor
            assert not service._has_failed
        (service.settings.state_folder / "cells.json").write_bytes(b"[[")
        with pytest.raises(OSError, match="put back a copy"):
            GovernorService(service.fleet, service.settings).load_state()

    run(work)


def test_sigterm_and_a_taken_address(tmp_path: Path) -> None:
    text = (ROOT / "deploy" / "example.kdl").read_text()
    one, two = find_free_ports(2)
    path = tmp_path / "s.kdl"
    path.write_text(text.replace("7101", str(one)).replace("7102", str(two)))
    command = [sys.executable, "-m", "gradehoist", "governor", str(path), "--name", "a", "--log", "json"]
    first = subprocess.Popen(command, stderr=subprocess.PIPE, cwd=ROOT)
    assert first.stderr is not None
    line = b""
    while b'"governor_started"' not in line:
        line = first.stderr.readline()
        assert line
    path.write_text(path.read_text().replace('state="var/a"', 'state="var/other"'))  # whose lock is free
    second = subprocess.run(command, capture_output=True, cwd=ROOT, timeout=30)
    assert second.returncode == 2 and b"listen" in second.stderr and b"Traceback" not in second.stderr
    children = psutil.Process(first.pid).children()
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0 and b'"governor_stopped"' in first.stderr.read()
    assert children and not any(os.path.exists(f"/proc/{c.pid}") for c in children)


def test_a_short_day_through_all_processes_keeps_the_rules(tmp_path: Path) -> None:
    script = read_scenario(ROOT / "scenarios" / "short.kdl")
    day = ScenarioRun(script, build_plan(script, 1), tmp_path)
    assert asyncio.run(day.execute())
    _, verdict = check_run_folder(tmp_path)
    states = {rule.rule: rule.state for rule in verdict.results}
    assert states.pop(Rule.MIGRATIONS) == "not judged"  # a day without cells
    assert verdict.has_passed and set(states.values()) == {"kept"}, verdict
    assert verdict.requests > 200 and verdict.completed_share > 0.5
    assert not [x for x in psutil.Process().children(recursive=True) if x.status() != psutil.STATUS_ZOMBIE]
