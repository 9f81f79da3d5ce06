"""A governor and proxies on sockets: malformed requests, policy failures, lost answers, a scenario run."""

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
from gradehoist.testbed import scenario_plan
from gradehoist.testbed.proxy import Proxy
from gradehoist.testbed.proxy_process import ProxyProcess
from tests.support.governed_fleet import make_endpoint, make_loopback_settings

REPOSITORY = Path(__file__).parent.parent
LOOPBACK = "127.0.0.1"


def run_async(main: Callable[[], Awaitable[None]]) -> None:
    asyncio.run(asyncio.wait_for(main(), 60))


class FakeEndpointList:
    """A test double of the endpoint list service in this process; its attributes define its answers."""

    def __init__(self) -> None:
        (self.port,) = find_free_ports(1)
        self.version, self.records, self.status, self.request_count = (
            1,
            [make_endpoint(n) for n in range(4)],
            200,
            0,
        )
        self.server = HttpServer(self.handle)
        self.server.listen(self.port, LOOPBACK)

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        self.request_count += 1
        if "after=-1" not in request.target:
            await asyncio.sleep(0.1)
        if self.status != 200:
            return ServerResponse(self.status)
        return ServerResponse(
            200, msgspec.json.encode(feed.EndpointListUpdate("l", self.version, tuple(self.records), True))
        )


@contextlib.asynccontextmanager
async def run_governor(
    tmp_path: Path, timeouts: ServerTimeouts | None = None
) -> AsyncIterator[tuple[GovernorService, HttpClient]]:
    endpoint_list = FakeEndpointList()
    (port,) = find_free_ports(1)
    settings = make_loopback_settings(tmp_path, endpoint_list.port, port)
    service = GovernorService(settings.fleet, settings.governors[0])
    if timeouts:
        service._server._timeouts = timeouts
    service.endpoint_list_double = endpoint_list  # type: ignore[attr-defined]
    running = asyncio.ensure_future(service.run())
    client = HttpClient(LOOPBACK, port)
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
        endpoint_list.server.stop()


async def send_raw(port: int, data: bytes, timeout_s: float = 5.0) -> bytes:
    """Sends raw bytes and returns the response up to the close of the connection or the timeout."""
    reader, writer = await asyncio.open_connection(LOOPBACK, port)
    writer.write(data)
    with contextlib.suppress(TimeoutError, ConnectionError):
        received = b""
        async with asyncio.timeout(timeout_s):
            while chunk := await reader.read(65536):
                received += chunk
    writer.close()
    return received


REQUEST_SUFFIX = b" HTTP/1.1\r\nhost: a\r\nconnection: close\r\n"


def load_report_request(text: bytes) -> bytes:
    return b"POST /v1/sums" + REQUEST_SUFFIX + b"content-length: %d\r\n\r\n" % len(text) + text


def decode_answer(response: http.Response) -> feed.PollResponse:
    answer: feed.PollResponse = msgspec.json.decode(response.body, type=feed.PollResponse)
    return answer


def test_malformed_requests_get_an_error_response_and_the_governor_keeps_serving(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_governor(tmp_path, ServerTimeouts(idle_s=1.0, request_s=0.4, write_s=0.4)) as (
            service,
            client,
        ):
            port = service.settings.listen_address[1]
            process = psutil.Process()
            joined = decode_answer(await client.request("GET", "/v1/feed?relay=r&zone=x"))
            prefix = b'{"relay":"r","epoch":"%s","window":1,' % joined.epoch.encode()
            cases = [
                (b"GET /v1/feed HTTP/1.1\r\nho", 408),
                (b"GET /" + REQUEST_SUFFIX + b"x: " + b"y" * 99999, 431),
                (b"GET /" + b"y" * 9999, 414),
                (b"POST /v1/sums" + REQUEST_SUFFIX + b"content-length: 9999999\r\n\r\n", 413),
                (b"POST /v1/sums" + REQUEST_SUFFIX + b"content-length: 50\r\n\r\nshort", 408),
                (load_report_request(b"\xff\xfe"), 400),
                (load_report_request(b'{"relay":"r"}'), 400),
                (load_report_request(b"[" * 5000), 400),
                (load_report_request(prefix + b'"tries":[{"replica":"w1","tries":NaN}]}'), 400),
                (load_report_request(prefix + b'"tries":[{"replica":"w1","tries":1,"busy":-1}]}'), 400),
                (load_report_request(prefix + b'"tries":[{"replica":"w1","tries":1,"busy":1e999}]}'), 400),
                (load_report_request(prefix + b'"tries":[{"replica":"w1","tries":99999999999}]}'), 400),
                (load_report_request(prefix + b'"tries":[{"replica":"w1","tries":1,"bad":2}]}'), 422),
                (load_report_request(prefix + b'"came":[{"cls":"none","number":1}]}'), 422),
                (load_report_request(b'{"relay":"stranger","epoch":"e","window":1}'), 409),
                (b"GET /v1/feed?relay=&zone=x" + REQUEST_SUFFIX + b"\r\n", 400),
                (b"GET /v1/feed?relay=q&zone=z" + REQUEST_SUFFIX + b"\r\n", 422),
                (b"GET /v1/feed?relay=q&zone=x&rate=nan" + REQUEST_SUFFIX + b"\r\n", 400),
                (b"DELETE /v1/feed" + REQUEST_SUFFIX + b"\r\n", 405),
                (b"GET /other" + REQUEST_SUFFIX + b"\r\n", 404),
                (b"GET //[x" + REQUEST_SUFFIX + b"\r\n", 400),
            ]
            for data, status in cases:
                answer = await send_raw(port, data)
                assert answer.startswith(b"HTTP/1.1 %d " % status), (data[:80], answer[:80])
                assert b'{"error":"' in answer
            before = process.memory_info().rss
            for _ in range(3):
                await asyncio.gather(*(send_raw(port, data) for data, _ in cases))
            assert process.memory_info().rss - before < 30_000_000
            load_report = prefix + b'"tries":[{"replica":"w1","tries":1}]}'
            accepted = await client.request("POST", "/v1/sums", load_report)
            assert accepted.status == 204

    run_async(work)


def test_the_published_api_document_matches_the_program_and_its_responses(tmp_path: Path) -> None:
    written = msgspec.json.decode((REPOSITORY / "docs" / "openapi.json").read_bytes())
    assert written == msgspec.json.decode(msgspec.json.encode(document()))

    async def work() -> None:
        async with run_governor(tmp_path) as (_, client):
            requests = {
                ("/v1/feed", "get"): ["?relay=r&zone=x", "?zone=x", "?relay=r&zone=q"],
                ("/v1/sums", "post"): [""],
                ("/v1/status", "get"): [""],
                ("/v1/cells/word", "post"): [""],
            }
            for path, methods in written["paths"].items():
                for method, operation in methods.items():
                    for query in requests.pop((path, method)):
                        response = await client.request(method.upper(), path + query)
                        content = operation["responses"][str(response.status)].get("content")
                        assert bool(content) == bool(response.body)
                        if response.status == 200 and path == "/v1/feed":
                            # Decoding checks the answer against the type of the schema.
                            decode_answer(response)
                    rejected = await client.request("PATCH", path)
                    assert str(rejected.status) in operation["responses"]
            assert not requests

    run_async(work)


def test_a_request_sent_byte_by_byte_times_out(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_governor(tmp_path, ServerTimeouts(request_s=0.5)) as (service, _):
            reader, writer = await asyncio.open_connection(LOOPBACK, service.settings.listen_address[1])

            async def send_bytes() -> None:
                with contextlib.suppress(ConnectionError):
                    for byte in b"GET /v1/status HTTP/1.1\r\n" + b"x: 1\r\n" * 1000:
                        writer.write(bytes([byte]))
                        await asyncio.sleep(0.02)

            task = asyncio.ensure_future(send_bytes())
            assert b" 408 " in await asyncio.wait_for(reader.readline(), 10)
            task.cancel()
            writer.close()

    run_async(work)


def test_a_later_poll_replaces_the_earlier_and_stopping_answers_held_polls(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_governor(tmp_path) as (service, client):
            port = service.settings.listen_address[1]
            first = decode_answer(await client.request("GET", "/v1/feed?relay=r&zone=x"))
            assert first.is_new_stream
            target = f"/v1/feed?relay=r&zone=x&epoch={first.epoch}&stream={first.stream}&after="
            after = 0
            for _ in range(20):  # until all messages are read and the poll is held
                answer = decode_answer(await client.request("GET", target + str(after)))
                if not answer.messages:
                    break
                after = answer.messages[-1].seq
            assert after and not answer.is_new_stream
            polls = [asyncio.ensure_future(HttpClient(LOOPBACK, port).request("GET", target + str(after)))]
            await asyncio.sleep(0.2)
            polls.append(
                asyncio.ensure_future(HttpClient(LOOPBACK, port).request("GET", target + str(after)))
            )
            assert (await polls[0]).status == 409
            unsent = await client.request("GET", target + str(after + 7))
            assert unsent.status == 409 and b"was not sent" in unsent.body
            await asyncio.sleep(0.1)
            assert (await polls[1]).status in (200, 409)
            last = asyncio.ensure_future(HttpClient(LOOPBACK, port).request("GET", target + str(after)))
            await asyncio.sleep(0.2)
            service.stop()
            assert (await last).status == 503

    run_async(work)


def test_a_poll_is_rejected_while_there_is_no_endpoint_list(tmp_path: Path) -> None:
    async def work() -> None:
        async with run_governor(tmp_path) as (service, client):
            service.core.endpoint_list.endpoints.clear()
            assert (await client.request("GET", "/v1/feed?relay=q&zone=x")).status == 503
        cached: list[feed.EndpointRecord] = msgspec.json.decode(
            (service.settings.state_folder / "roster.json").read_bytes(), type=list[feed.EndpointRecord]
        )
        assert len(cached) == 4

    run_async(work)


def test_a_failed_policy_ends_held_polls_and_the_governor(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def fail(self: Any, now: int, batches: list[Any], timers: bool) -> Any:
        if any(isinstance(event, ProxyJoined) for batch in batches for event in batch.events):
            raise PolicyProcessError("ValueError: made up")
        return []

    async def work() -> None:
        monkeypatch.setattr(PolicyProcess, "handle", fail)
        async with run_governor(tmp_path) as (service, client):
            answer = decode_answer(await client.request("GET", "/v1/feed?relay=r&zone=x"))
            with contextlib.suppress(ConnectionLostError, ResponseTimeoutError):
                target = f"/v1/feed?relay=r&zone=x&epoch={answer.epoch}&stream={answer.stream}&after=0"
                ended = await client.request("GET", target)
                assert ended.status == 503 and b"messages" not in ended.body
            await asyncio.wait_for(service._stopping.wait(), 5)
            assert service._has_failed

    run_async(work)


def test_the_policy_host_reports_an_exception_without_replies() -> None:
    class Faulty:
        def __init__(self, start: Any, now: int) -> None: ...

        def handle(self, now: int, events: Any) -> Any:
            raise RuntimeError("made up")

    governor_end, host_end = socket.socketpair()
    with governor_end, host_end, host_end.makefile("rwb") as pipe, governor_end.makefile("rwb") as end:
        none: Any = None
        end.write(encode_frame(StartPolicies([none], 0, False)))
        end.write(encode_frame(HandleBatches(0, [PolicyBatch(0, [])], True)))
        end.flush()
        governor_end.shutdown(socket.SHUT_WR)
        serve(pipe, Faulty)  # type: ignore[arg-type]
        (size,) = FRAME_LENGTH.unpack(end.read(4))
        answer: BatchesHandled = pickle.loads(end.read(size))
    assert answer.failure == "RuntimeError: made up" and answer.replies == []


def test_a_request_that_is_not_idempotent_is_not_retried_after_a_lost_response(tmp_path: Path) -> None:
    """The proxy may retry, the replica has done the work, and the connection breaks within the response."""
    plan = build_plan(read_scenario(REPOSITORY / "scenarios" / "short.kdl"), 1)
    executed: list[str] = []

    async def cut_response(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        request = await stream.readuntil(b"\r\n\r\n")
        executed.append(request.decode().partition("x-transaction: ")[2].split("\r\n")[0])
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 20\r\n\r\nhalf")
        await writer.drain()
        writer.close()

    async def work() -> None:
        process = ProxyProcess(plan, "relays-hall-a", tmp_path)
        proxy: Proxy = next(iter(process.proxies.values()))
        servers = [await asyncio.start_server(cut_response, LOOPBACK, 0) for _ in plan.replicas]
        ports = [s.sockets[0].getsockname()[1] for s in servers]
        proxy.sender.replica_ports = {x.name: port for x, port in zip(plan.replicas, ports, strict=True)}
        classes: list[scenario_plan.RequestClassPlan] = [c for c in plan.classes if c.idempotency == "single"]
        # This retry policy allows one retry, only if the first attempt provably did not run.
        admission = feed.AdmissionDelta(None, (classes[0].name,), 1.0, 1)
        proxy.state.apply(feed.Message(1, 1, 0, 1, (admission,)))
        proxy.server = HttpServer(proxy.handle)
        proxy.server.listen(proxy.plan.port, LOOPBACK)
        headers = (("x-transaction", "c1.1"), ("x-class", classes[0].name), ("x-work", "5"))
        answer = await HttpClient(LOOPBACK, proxy.plan.port).request("POST", "/", b"", headers)
        assert answer.status == 502 and executed == ["c1.1"]  # no retry, and one effect
        # A refused connection proves that the attempt did not run, so the proxy retries.
        for server in servers:
            server.close()
        answer = await HttpClient(LOOPBACK, proxy.plan.port).request("POST", "/", b"", headers)
        assert answer.status == 502 and len(executed) == 1
        process.record.flush()
        events = [record.event for record in load_records(tmp_path)]
        attempts = [event for event in events if isinstance(event, AttemptSent)]
        assert [attempt.number for attempt in attempts] == [0, 0, 1]
        assert attempts[1].replica != attempts[2].replica
        proxy.stop()

    run_async(work)


def test_a_lost_response_without_another_replica_is_not_reported_as_never_run(tmp_path: Path) -> None:
    """Retries are allowed, but the table has only one replica; after a 503 the client would retry."""
    plan = build_plan(read_scenario(REPOSITORY / "scenarios" / "short.kdl"), 1)

    async def answer(request: http.Request, connection: Connection) -> ServerResponse | None:
        if (http.get_header(request.headers, "x-transaction") or "").startswith("cut"):
            return None  # the work is done and the response is lost
        return ServerResponse(200, b"", (("endpoint-load-metrics", "TEXT cpu_utilization=much"),))

    async def work() -> None:
        proxy: Proxy = next(iter(ProxyProcess(plan, "relays-hall-a", tmp_path).proxies.values()))
        (port,) = find_free_ports(1)
        server = HttpServer(answer)
        server.listen(port, LOOPBACK)
        name, request_class = (
            plan.replicas[0].name,
            next(c.name for c in plan.classes if c.idempotency == "single"),
        )
        proxy.sender.replica_ports = {name: port}
        proxy.state.apply(
            feed.Message(
                1,
                1,
                0,
                1,
                (
                    feed.BindDelta(1, (request_class,), {name: 1.0}),
                    feed.AdmissionDelta(None, (request_class,), 1.0, 2),
                ),
            )
        )
        proxy.server = HttpServer(proxy.handle)
        proxy.server.listen(proxy.plan.port, LOOPBACK)
        client = HttpClient(LOOPBACK, proxy.plan.port)
        # The second request checks that a malformed load report does not invalidate the response.
        for request_id, status in (
            ("cut.1", 502),
            ("whole.1", 200),
        ):
            headers = (("x-transaction", request_id), ("x-class", request_class), ("x-work", "5"))
            assert (await client.request("POST", "/", b"", headers)).status == status
        proxy.stop()
        server.abort()

    run_async(work)


def test_a_partial_answer_changes_nothing_at_a_proxy_wherever_it_is_cut(tmp_path: Path) -> None:
    """The answer is cut at each byte and the connection is reset, as by a kill.

    Then a governor of a new epoch answers completely.
    """
    plan = build_plan(read_scenario(REPOSITORY / "scenarios" / "short.kdl"), 1)
    plan = msgspec.structs.replace(plan, reconnect_range_us=(0, 0))
    lines = {"w1": 1.0, "w2": 2.5}
    deltas = (feed.BindDelta(7, tuple(c.name for c in plan.classes), lines), feed.WithdrawalDelta("w3"))
    body = msgspec.json.encode(feed.PollResponse("first", 1, (feed.Message(1, 1, 1, 9.0, deltas, 1),)))
    full_response = http.format_response(200, body, (("content-type", "application/json"),))

    def join(epoch: str) -> bytes:
        return http.format_response(200, msgspec.json.encode(feed.PollResponse(epoch, 1, is_new_stream=True)))

    async def check_cut(cut_at: int) -> None:
        process = ProxyProcess(plan, "relays-hall-a", tmp_path)
        proxy: Proxy = next(iter(process.proxies.values()))
        requests: list[str] = []
        ended = asyncio.Event()
        before: list[str] = []

        def state() -> str:
            return repr((vars(proxy.state), proxy.feed.acknowledged_seq))

        async def first_governor(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await stream.readuntil(b"\r\n\r\n")
            writer.write(join("first"))
            await stream.readuntil(b"\r\n\r\n")
            before.append(state())
            writer.write(full_response[:cut_at])
            await writer.drain()
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0"
            )
            writer.close()

        async def second_governor(stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            with contextlib.suppress(asyncio.IncompleteReadError):
                while True:
                    request = (await stream.readuntil(b"\r\n\r\n")).decode()
                    requests.append(request.split(" ")[1])
                    if len(requests) == 1:
                        before.append(state())
                        writer.write(join("again"))
                    elif len(requests) == 2:
                        writer.write(full_response.replace(b"first", b"again"))
                    else:
                        ended.set()
            writer.close()

        servers = [
            await asyncio.start_server(handle, LOOPBACK, 0) for handle in (first_governor, second_governor)
        ]
        governors = [("g", (LOOPBACK, s.sockets[0].getsockname()[1])) for s in servers]
        proxy.context.plan = msgspec.structs.replace(proxy.plan, governors=tuple(governors))
        following = asyncio.ensure_future(proxy.feed.follow())
        await ended.wait()
        following.cancel()
        await asyncio.gather(following, return_exceptions=True)
        for server in servers:
            server.close()
        assert before[0] == before[1], f"cut at byte {cut_at}"
        assert "epoch=first" in requests[0] and "after=0" in requests[0] and "epoch=again" in requests[1]
        assert (
            proxy.feed.epoch == "again"
            and proxy.feed.acknowledged_seq == 1
            and proxy.state.weights_for("rate-check") == lines
        )

    async def work() -> None:
        for cut_at in range(len(full_response)):
            await check_cut(cut_at)

    run_async(work)


def test_an_assignment_that_cannot_be_saved_is_rejected_and_a_damaged_file_prevents_the_start(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def work() -> None:
        async with run_governor(tmp_path) as (service, client):
            service._api._assignments = service.assignments  # as in a fleet with cells
            assignment = msgspec.json.encode(TenantAssignment("inn", 2, "m"))

            def raise_no_space(path: Path, data: bytes) -> None:
                raise OSError(28, "No space left on device")

            with monkeypatch.context() as patch:
                patch.setattr("gradehoist.store.atomic_file.write_file", raise_no_space)
                rejected = await client.request("POST", "/v1/cells/word", assignment)
                assert (
                    rejected.status == 503
                    and b"No space" in rejected.body
                    and not service.assignments.directory.assignments
                )
            assert (await client.request("POST", "/v1/cells/word", assignment)).status == 200
            await service.leases.renew("no address", b"")  # the failure does not affect the governor
            assert not service._has_failed
        (service.settings.state_folder / "cells.json").write_bytes(b"[[")
        with pytest.raises(OSError, match="put back a copy"):
            GovernorService(service.fleet, service.settings).load_state()

    run_async(work)


def test_a_second_governor_on_the_same_address_fails_and_sigterm_stops_the_first(tmp_path: Path) -> None:
    text = (REPOSITORY / "deploy" / "example.kdl").read_text()
    first_port, second_port = find_free_ports(2)
    path = tmp_path / "s.kdl"
    path.write_text(text.replace("7101", str(first_port)).replace("7102", str(second_port)))
    command = [sys.executable, "-m", "gradehoist", "governor", str(path), "--name", "a", "--log", "json"]
    first = subprocess.Popen(command, stderr=subprocess.PIPE, cwd=REPOSITORY)
    assert first.stderr is not None
    line = b""
    while b'"governor_started"' not in line:
        line = first.stderr.readline()
        assert line
    # The second governor gets another state folder, so that only the address is in use.
    path.write_text(path.read_text().replace('state="var/a"', 'state="var/other"'))
    second = subprocess.run(command, capture_output=True, cwd=REPOSITORY, timeout=30)
    assert second.returncode == 2 and b"listen" in second.stderr and b"Traceback" not in second.stderr
    children = psutil.Process(first.pid).children()
    first.send_signal(signal.SIGTERM)
    assert first.wait(20) == 0 and b'"governor_stopped"' in first.stderr.read()
    assert children and not any(os.path.exists(f"/proc/{c.pid}") for c in children)


def test_a_short_scenario_run_through_all_processes_keeps_the_rules(tmp_path: Path) -> None:
    definition = read_scenario(REPOSITORY / "scenarios" / "short.kdl")
    scenario_run = ScenarioRun(definition, build_plan(definition, 1), tmp_path)
    assert asyncio.run(scenario_run.execute())
    _, verdict = check_run_folder(tmp_path)
    states = {rule.rule: rule.state for rule in verdict.results}
    assert states.pop(Rule.MIGRATIONS) == "not judged"  # the scenario has no cells
    assert verdict.has_passed and set(states.values()) == {"kept"}, verdict
    assert verdict.requests > 200 and verdict.completed_share > 0.5
    assert not [x for x in psutil.Process().children(recursive=True) if x.status() != psutil.STATUS_ZOMBIE]
