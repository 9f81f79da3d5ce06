"""What is done for a client that has left, and when the same request arrives a second time."""

from __future__ import annotations

import asyncio
import socket
import threading
from pathlib import Path

import msgspec
import pytest

from gradehoist.cells.assignment import ReplicaFence, TenantAssignment, WriteDecision
from gradehoist.governor.service import GovernorService
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.store import atomic_file
from tests.support.node_harness import wait_until
from tests.test_service import LOOPBACK, run_async, run_governor

HELD_REQUEST = b"GET /held HTTP/1.1\r\nhost: a\r\n\r\n"
EFFECT_REQUEST = b"POST /effect HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n"


@pytest.mark.parametrize("requests_behind", [10, 1_000, 10_000])
def test_requests_behind_one_whose_client_has_left_are_not_handled(requests_behind: int) -> None:
    """With much unread, the end of the connection was not noticed, and a request was handled after it."""

    async def work() -> None:
        started, ended = asyncio.Event(), asyncio.Event()
        effects = list[str]()

        async def handle(request: http.Request, connection: Connection) -> ServerResponse:
            if request.target == "/held":
                started.set()
                await asyncio.wait([asyncio.ensure_future(connection.closed.wait())], timeout=1.0)
                ended.set()
            else:
                effects.append(request.target)
            return ServerResponse()

        (port,) = find_free_ports(1)
        server = HttpServer(handle)
        server.listen(port, LOOPBACK)
        client = socket.create_connection((LOOPBACK, port))
        client.setblocking(False)
        client.send(HELD_REQUEST + EFFECT_REQUEST * requests_behind)
        await started.wait()
        client.close()
        await ended.wait()
        await wait_until(lambda: not server.connections)
        assert effects == []
        server.abort()

    run_async(work)


def test_the_handler_of_a_client_that_left_with_requests_unread_is_notified() -> None:
    async def work() -> None:
        closed = asyncio.Event()

        async def handle(request: http.Request, connection: Connection) -> ServerResponse:
            await connection.closed.wait()
            closed.set()
            return ServerResponse()

        (port,) = find_free_ports(1)
        server = HttpServer(handle)
        server.listen(port, LOOPBACK)
        client = socket.create_connection((LOOPBACK, port))
        client.sendall(HELD_REQUEST + EFFECT_REQUEST * 1_800)
        await wait_until(lambda: server.connections)
        client.close()
        await asyncio.wait_for(closed.wait(), 5)
        server.abort()

    run_async(work)


def assignment_request(assignment: TenantAssignment) -> bytes:
    body = msgspec.json.encode(assignment)
    head = f"POST /v1/cells/word HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}\r\n\r\n"
    return head.encode() + body


def test_an_assignment_that_comes_again_after_its_client_left_takes_effect_once(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The second arrival comes while the first one still runs, after it, and after a restart."""
    assignment = TenantAssignment("inn", 2, "m")
    may_write, saved, migrated = threading.Event(), list[bytes](), list[str]()
    write_file = atomic_file.write_file

    def write_when_allowed(path: Path, data: bytes) -> None:
        if path.name == "cells.json":
            saved.append(data)
            may_write.wait(10)
        write_file(path, data)

    monkeypatch.setattr(atomic_file, "write_file", write_when_allowed)

    async def work() -> None:
        async with run_governor(tmp_path) as (service, client):
            service._api._assignments = service.assignments  # as in a fleet with cells
            monkeypatch.setattr(
                service.core, "handle_migration", lambda tenant, *_: migrated.append(tenant), raising=True
            )
            first = socket.create_connection((LOOPBACK, service.settings.listen_address[1]))
            first.sendall(assignment_request(assignment))
            await wait_until(lambda: saved)
            first.close()
            body = msgspec.json.encode(assignment)
            second = asyncio.ensure_future(client.request("POST", "/v1/cells/word", body))
            await asyncio.sleep(0.1)
            may_write.set()
            assert (await second).status == 200
            assert (await client.request("POST", "/v1/cells/word", body)).status == 200
            assert (len(saved), migrated) == (1, ["inn"])
            settings, fleet = service.settings, service.fleet
        restarted = GovernorService(fleet, settings)
        restarted.load_state()
        await restarted.assignments.accept(assignment)
        assert len(saved) == 1
        assert restarted.assignments.directory.assignments == {"inn": assignment}

    run_async(work)


def test_a_write_that_comes_again_at_its_replica_runs_once_unless_it_was_abandoned() -> None:
    def check(fence: ReplicaFence) -> tuple[ReplicaFence, WriteDecision]:
        return fence.check_write(0, "inn", "m", 1, "key")

    fence, first = check(ReplicaFence("w", "m", lease_until_us=1))
    assert first is WriteDecision.ACCEPT
    assert check(fence)[1] is WriteDecision.IN_FLIGHT
    assert check(fence.abandon_write("inn", "key"))[1] is WriteDecision.ACCEPT
    completed = fence.complete_write("inn", "key")
    assert check(completed)[1] is WriteDecision.DUPLICATE
    restarted = completed.restarted()
    assert check(restarted)[1] is WriteDecision.NO_LEASE
    assert check(restarted.renew_lease(0, 1, []))[1] is WriteDecision.DUPLICATE
