"""What the drills share: a governor as a process of its own, a roster and relays that do as they are told."""

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
from tests.support.governed_fleet import TEXT, entry

LOCAL = "127.0.0.1"
ROOT = Path(__file__).parent.parent.parent
GRACE = 2.0  # as the settings of `TEXT` say


class Roster:
    """Answers with the whole list; holds a call that has it, unless it is to answer at once."""

    def __init__(self, count: int = 4) -> None:
        (self.port,) = find_free_ports(1)
        self.life, self.version, self.calls, self.hold = "l", 1, 0, True
        self.entries: dict[str, dict[str, Any]] = {}
        for n in range(count):
            self.put(entry(n))
        self.news = asyncio.Event()
        self.server = HttpServer(self._handle)
        self.server.listen(self.port, LOCAL)

    def put(self, e: feed.EndpointRecord, **other: Any) -> None:
        self.entries[e.replica] = msgspec.to_builtins(e) | other

    def list(self, *changed: feed.EndpointRecord, **other: Any) -> None:
        for e in changed:
            self.put(e, **other)
        self.version += 1
        self.wake()

    def wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    async def _handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        self.calls += 1
        query = {k: v[-1] for k, v in parse_qs(urlsplit(request.target).query).items()}
        if self.hold and query.get("after") == str(self.version) and query.get("life") == self.life:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(1.0):
                    await self.news.wait()
        return ServerResponse(
            200,
            msgspec.json.encode(
                {
                    "life": self.life,
                    "version": self.version,
                    "whole": True,
                    "entries": list(self.entries.values()),
                }
            ),
        )


class Relay:
    """Follows one governor and holds what it is told; a deaf one applies all and never says so."""

    def __init__(self, port: int, name: str, deaf: bool = False, zone: str = "x") -> None:
        self.port, self.name, self.deaf, self.zone = port, name, deaf, zone
        self.holdings, self.epoch, self.stream, self.after = ProxyState(), "", 0, 0
        self.joined, self.joins, self.refused = False, 0, ""
        self.task = asyncio.ensure_future(self._run())

    async def _run(self) -> None:
        client = HttpClient(LOCAL, self.port)
        while True:
            try:
                await self._poll(client)
            except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                self.joined = False
                await asyncio.sleep(0.05)

    async def _poll(self, client: HttpClient) -> None:
        after = 0 if self.deaf else self.after
        response = await client.request(
            "GET",
            f"/v1/feed?relay={self.name}&zone={self.zone}&rate=1"
            f"&epoch={self.epoch}"
            f"&stream={self.stream}&after={after}",
        )
        if response.status != 200:
            self.joined, self.refused = False, f"{response.status} {response.body.decode()}"
            await asyncio.sleep(0.05)
            return
        answer: feed.PollResponse = msgspec.json.decode(response.body, type=feed.PollResponse)
        if (answer.epoch, answer.stream) != (self.epoch, self.stream):
            self.epoch, self.stream, self.after = answer.epoch, answer.stream, 0
            self.joins += 1
            self.holdings.begin_stream()
        self.joined = True
        for message in answer.messages:
            if message.seq > self.after:
                self.holdings.apply(message)
                self.after = message.seq
        if self.deaf:
            await asyncio.sleep(0.05)

    def sends_to(self, replica: str, cls: str = "read") -> bool:
        return replica in self.holdings.weights_for(cls)


async def until(what: Callable[[], Any], seconds: float) -> bool:
    """Whether it came true within so long."""
    end = asyncio.get_running_loop().time() + seconds
    while not what():
        if asyncio.get_running_loop().time() > end:
            return False
        await asyncio.sleep(0.02)
    return True


def settings(folder: Path, roster: int, port: int, change: Iterable[tuple[str, str]] = ()) -> Path:
    text = TEXT.format(relays=4, queue=2000, rate=2000).replace(":7000", f":{roster}")
    text = text.replace(":7101", f":{port}")
    for old, new in change:
        assert old in text
        text = text.replace(old, new)
    path = folder / "s.kdl"
    path.write_text(text)
    return path


class Governor:
    """A process; its log goes to a file unless told otherwise."""

    def __init__(
        self,
        path: Path,
        port: int,
        name: str = "a",
        log: int | IO[Any] | None = None,
        limits: Iterable[tuple[int, int]] = (),
    ) -> None:
        self.port, self.log = port, path.parent / f"{name}.log"
        some = tuple(limits)

        def limit() -> None:
            for kind, most in some:
                resource.setrlimit(kind, (most, most))

        with self.log.open("ab") as file:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "gradehoist", "governor", str(path), "--name", name, "--log", "json"],
                cwd=ROOT,
                stderr=file if log is None else log,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
                preexec_fn=limit if some else None,
            )
        self.client = HttpClient(LOCAL, port)

    async def status(self) -> dict[str, Any]:
        response = await self.client.request("GET", "/v1/status", timeout_s=2.0)
        found: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
        return found

    async def up(self) -> dict[str, Any]:
        for _ in range(400):
            assert self.process.poll() is None, self.log.read_text()
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                if not (found := await self.status())["roster_old"]:
                    return found
            await asyncio.sleep(0.05)
        raise AssertionError("the governor did not come up")

    async def ended(self, seconds: float) -> int | None:
        await until(lambda: self.process.poll() is not None, seconds)
        return self.process.poll()

    def kill(self) -> None:
        self.client.close()
        if self.process.poll() is None:
            os.kill(self.process.pid, signal.SIGCONT)
            self.process.kill()
        self.process.wait()


@contextlib.asynccontextmanager
async def fleet(
    folder: Path, relays: int = 1, change: Iterable[tuple[str, str]] = (), **how: Any
) -> AsyncIterator[tuple[Roster, Governor, list[Relay]]]:
    """A roster, one governor, and relays that it has bound."""
    roster = Roster()
    (port,) = find_free_ports(1)
    governor = Governor(settings(folder, roster.port, port, change), port, **how)
    some: list[Relay] = []
    try:
        await governor.up()
        some += [Relay(port, f"r{n}") for n in range(relays)]
        assert await until(lambda: all(r.holdings.is_bound for r in some), 10), governor.log.read_text()
        yield roster, governor, some
    finally:
        for relay in some:
            relay.task.cancel()
        governor.kill()
        roster.server.abort()


def play(work: Callable[[], Any]) -> None:
    asyncio.run(asyncio.wait_for(work(), 60))
