"""Test doubles around a real governor process: an endpoint list service and proxies that tests control."""

from __future__ import annotations

import asyncio
import contextlib
import os
import resource
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Iterable
from pathlib import Path
from typing import IO, Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import feed, http
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.scenario.free_ports import find_free_ports
from tests.support.governed_fleet import SETTINGS_TEMPLATE, make_endpoint

LOOPBACK = "127.0.0.1"
REPOSITORY = Path(__file__).parent.parent.parent
DRAIN_GRACE_S = 2.0  # as in SETTINGS_TEMPLATE


class FakeEndpointList:
    """A test double of the endpoint list service, which always answers with a snapshot.

    With `holds_requests` it holds a request for the current version until the list changes.
    """

    def __init__(self, count: int = 4) -> None:
        (self.port,) = find_free_ports(1)
        self.incarnation, self.version, self.request_count, self.holds_requests = "l", 1, 0, True
        self.records: dict[str, dict[str, Any]] = {}
        for n in range(count):
            self.put(make_endpoint(n))
        self.changed = asyncio.Event()
        self.server = HttpServer(self._handle)
        self.server.listen(self.port, LOOPBACK)

    def put(self, record: feed.EndpointRecord, **overrides: Any) -> None:
        self.records[record.replica] = msgspec.to_builtins(record) | overrides

    def publish(self, *changed: feed.EndpointRecord, **overrides: Any) -> None:
        for record in changed:
            self.put(record, **overrides)
        self.version += 1
        self.answer_held_requests()

    def answer_held_requests(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    async def _handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        self.request_count += 1
        query = {k: v[-1] for k, v in parse_qs(urlsplit(request.target).query).items()}
        if (
            self.holds_requests
            and query.get("after") == str(self.version)
            and query.get("life") == self.incarnation
        ):
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.changed.wait()
        return ServerResponse(
            200,
            msgspec.json.encode(
                {
                    "life": self.incarnation,
                    "version": self.version,
                    "whole": True,
                    "entries": list(self.records.values()),
                }
            ),
        )


class FakeProxy:
    """A test double of a proxy, which follows one governor and applies its messages.

    With `withholds_acknowledgements` it applies all messages and never acknowledges one.
    """

    def __init__(
        self, port: int, name: str, withholds_acknowledgements: bool = False, zone: str = "x"
    ) -> None:
        self.port, self.name, self.withholds_acknowledgements, self.zone = (
            port,
            name,
            withholds_acknowledgements,
            zone,
        )
        self.state, self.epoch, self.stream, self.applied_seq = ProxyState(), "", 0, 0
        self.is_joined, self.join_count, self.rejection = False, 0, ""
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        client = HttpClient(LOOPBACK, self.port)
        while True:
            try:
                await self._poll(client)
            except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                self.is_joined = False
                await asyncio.sleep(0.05)

    async def _poll(self, client: HttpClient) -> None:
        acknowledged_seq = 0 if self.withholds_acknowledgements else self.applied_seq
        response = await client.request(
            "GET",
            f"/v1/feed?relay={self.name}&zone={self.zone}&rate=1"
            f"&epoch={self.epoch}"
            f"&stream={self.stream}&after={acknowledged_seq}",
        )
        if response.status != 200:
            self.is_joined, self.rejection = False, f"{response.status} {response.body.decode()}"
            await asyncio.sleep(0.05)
            return
        answer: feed.PollResponse = msgspec.json.decode(response.body, type=feed.PollResponse)
        if (answer.epoch, answer.stream) != (self.epoch, self.stream):
            self.epoch, self.stream, self.applied_seq = answer.epoch, answer.stream, 0
            self.join_count += 1
            self.state.begin_stream()
        self.is_joined = True
        for message in answer.messages:
            if message.seq > self.applied_seq:
                self.state.apply(message)
                self.applied_seq = message.seq
        if self.withholds_acknowledgements:
            await asyncio.sleep(0.05)

    def sends_to(self, replica: str, request_class: str = "read") -> bool:
        return replica in self.state.weights_for(request_class)


async def wait_until(condition: Callable[[], Any], timeout_s: float) -> bool:
    """Waits for the condition; returns False if it has not become true within the timeout."""
    deadline = asyncio.get_running_loop().time() + timeout_s
    while not condition():
        if asyncio.get_running_loop().time() > deadline:
            return False
        await asyncio.sleep(0.02)
    return True


def write_settings(
    folder: Path, endpoint_list_port: int, governor_port: int, replacements: Iterable[tuple[str, str]] = ()
) -> Path:
    text = SETTINGS_TEMPLATE.format(relays=4, queue=2000, rate=2000).replace(
        ":7000", f":{endpoint_list_port}"
    )
    text = text.replace(":7101", f":{governor_port}")
    for old, new in replacements:
        assert old in text
        text = text.replace(old, new)
    path = folder / "s.kdl"
    path.write_text(text)
    return path


class GovernorProcess:
    """A governor as a process of its own; its log goes to a file unless `stderr` is given."""

    def __init__(
        self,
        path: Path,
        port: int,
        name: str = "a",
        stderr: int | IO[Any] | None = None,
        resource_limits: Iterable[tuple[int, int]] = (),
    ) -> None:
        self.port, self.log_path = port, path.parent / f"{name}.log"
        limits = tuple(resource_limits)

        def set_limits() -> None:
            for resource_kind, limit in limits:
                resource.setrlimit(resource_kind, (limit, limit))

        with self.log_path.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gradehoist", "governor", str(path), "--name", name, "--log", "json"],
                cwd=REPOSITORY,
                stderr=file if stderr is None else stderr,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
                preexec_fn=set_limits if limits else None,
            )
        self.client = HttpClient(LOOPBACK, port)

    async def status(self) -> dict[str, Any]:
        response = await self.client.request("GET", "/v1/status", timeout_s=2.0)
        status: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
        return status

    async def wait_until_serving(self) -> dict[str, Any]:
        for _ in range(400):
            assert self.process.poll() is None, self.log_path.read_text()
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                if not (status := await self.status())["roster_old"]:
                    return status
            await asyncio.sleep(0.05)
        raise AssertionError("the governor did not start serving")

    async def wait_for_exit(self, timeout_s: float) -> int | None:
        await wait_until(lambda: self.process.poll() is not None, timeout_s)
        return self.process.poll()

    def kill(self) -> None:
        self.client.close()
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
        self.process.wait()


@contextlib.asynccontextmanager
async def run_fleet(
    folder: Path, proxy_count: int = 1, replacements: Iterable[tuple[str, str]] = (), **governor_options: Any
) -> AsyncIterator[tuple[FakeEndpointList, GovernorProcess, list[FakeProxy]]]:
    """Starts an endpoint list, one governor, and proxies that it has bound."""
    endpoint_list = FakeEndpointList()
    (port,) = find_free_ports(1)
    governor = GovernorProcess(
        write_settings(folder, endpoint_list.port, port, replacements), port, **governor_options
    )
    proxies: list[FakeProxy] = []
    try:
        await governor.wait_until_serving()
        proxies += [FakeProxy(port, f"r{n}") for n in range(proxy_count)]
        assert await wait_until(
            lambda: all(proxy.state.is_bound for proxy in proxies), 10
        ), governor.log_path.read_text()
        yield endpoint_list, governor, proxies
    finally:
        for proxy in proxies:
            proxy.task.cancel()
        governor.kill()
        endpoint_list.server.abort()


def run_async(main: Callable[[], Any]) -> None:
    asyncio.run(asyncio.wait_for(main(), 60))
