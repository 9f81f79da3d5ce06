"""Relays reduced to their polls: thousands of feeds in one process, and a roster that speaks when told."""

from __future__ import annotations

import asyncio
import contextlib
import math
import subprocess
import sys
import time
from pathlib import Path

import msgspec
import psutil

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import feed, http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement

LOCAL = "127.0.0.1"
ZONES = ("hall-a", "hall-b", "hall-c")
DECODER: msgspec.json.Decoder[feed.PollResponse] = msgspec.json.Decoder(feed.PollResponse)
SETTINGS = """
fleet relays={relays} roster="127.0.0.1:{roster}" {{
    zones "hall-a" "hall-b" "hall-c"
    kinds "k"
    class "rate-check" goal="1s" cutoff="2500ms" gain=2 late-gain=0.2 repeat="free"
    class "booking-commit" goal="2s" cutoff="5s" gain=6 repeat="single" only-zones="hall-a hall-b"
    rules grace="2s" cold-time="16s" cold-share=0.18 fall-multiple=4 fall-span="3s" bare-limit="4600ms"
    channel queue-limit={queue} line-rate={rate} message-head=4 message-limit=20 message-window="10s"
    reports period="1s" intake={intake}
    feed hold="{hold}" silence="10s"{cells}
    probes deadline="500ms" at-once=8
}}
governor "a" zone="hall-a" listen="127.0.0.1:{port}"
"""


def entry(n: int, phase: str = "ready") -> feed.EndpointRecord:
    return feed.EndpointRecord(f"w{n}", ZONES[n % 3], "", "k", n // 5, phase, 1.0, f"w{n}/1", 10**9)


class Roster:
    def __init__(self, replicas: int, port: int) -> None:
        self.version, self.told = 1, 0.0
        self.entries, self.changed = [entry(n) for n in range(replicas)], asyncio.Event()
        self.server = HttpServer(self.handle)
        self.server.listen(port, LOCAL)

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        whole = "after=-1" in request.target
        if not whole and f"after={self.version}&" in request.target:
            try:
                await asyncio.wait_for(self.changed.wait(), 4.0)
            except TimeoutError:
                return self._answer((), False)
            self.changed.clear()
            self.told = time.monotonic()
        return self._answer(tuple(self.entries) if whole else (self.entries[0],), whole)

    def _answer(self, entries: tuple[feed.EndpointRecord, ...], whole: bool) -> ServerResponse:
        after = self.version - bool(entries)
        return ServerResponse(
            200, msgspec.json.encode(feed.EndpointListUpdate("l", self.version, entries, whole, after))
        )

    def drain(self) -> None:
        self.entries[0] = entry(0, "draining")
        self.version += 1
        self.changed.set()


class Feeder:
    """One relay's feed; `out` is when it applied the withdrawal of the first replica."""

    def __init__(self, n: int, port: int) -> None:
        self.n, self.port = n, port
        self.name, self.zone = f"r{n}", ZONES[n % 3]
        self.epoch, self.stream, self.after, self.out, self.bound = "", 0, 0, 0.0, 0
        self.got = self.messages = 0
        self.classes = set[str]()

    async def follow(self) -> None:
        client = HttpClient(
            LOCAL, self.port, connect_timeout_s=10.0, limits=http.Limits(max_body_bytes=1 << 26)
        )
        while True:
            target = (
                f"/v1/feed?relay={self.name}&zone={self.zone}&rate=3&epoch={self.epoch}"
                f"&stream={self.stream}&after={self.after}"
            )
            try:
                response = await client.request("GET", target, timeout_s=120)
            except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                await asyncio.sleep(0.2)
                continue
            if response.status != 200:
                await asyncio.sleep(0.2)
                continue
            self.got += len(response.body)
            if b'"out","w0"' in response.body and not self.out:
                self.out = time.monotonic()
            answer = DECODER.decode(response.body)
            self.messages += len(answer.messages)
            if answer.is_new_stream:
                self.epoch, self.stream, self.after = answer.epoch, answer.stream, 0
            for message in answer.messages:
                self.after = message.seq
                for delta in message.deltas:
                    if isinstance(delta, feed.BindDelta):
                        self.bound += 1
                        self.classes.update(delta.classes)

    async def sums(self, replicas: int, period: float, cells: int = 0, sway: float = 0.0) -> None:
        """Each period, tries at some thirty replicas, with load reports that wander a little; with `sway`
        each replica's load goes up and down by so much within a minute, at a time of its own."""
        client = HttpClient(LOCAL, self.port)
        await asyncio.sleep(period * (self.n % 97) / 97)
        beat = 0
        while True:
            beat += 1
            tries = tuple(
                feed.ReplicaAttempts(
                    f"w{(self.n * 7 + k * 5) % replicas}",
                    3,
                    0,
                    250_000,
                    0.5
                    + 0.2 * ((k * 31 + beat * 17 + self.n) % 10) / 10
                    + sway * math.sin((self.n * 7 + k * 5) % replicas + time.monotonic() / 9),
                    2.0,
                )
                for k in range(30)
            )
            cell = f"c{(self.n + beat) % cells}/" if cells else ""
            came = (
                feed.ClassRequests(cell + "rate-check", 6),
                feed.ClassRequests(cell + "booking-commit", 3),
            )
            sums = feed.ProxyLoadReport(self.name, self.epoch, int(period * 1e6), tries, came)
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                await client.request("POST", "/v1/sums", msgspec.json.encode(sums), timeout_s=5)
            await asyncio.sleep(period)


class Governor:
    """A governor's process with a roster in this one."""

    def __init__(
        self,
        folder: Path,
        relays: int,
        replicas: int,
        rate: float,
        queue: float,
        intake: int = 100,
        hold: str = "20s",
        module: str = "gradehoist",
        cells: int = 0,
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self.port, roster = find_free_ports(2)
        self.roster = Roster(replicas, roster)
        path = folder / "settings.kdl"
        if cells:
            names = tuple(f"c{n}" for n in range(cells))
            placed = CellPlacement(names, {f"w{n}": names[n // 3 % cells] for n in range(replicas)})
            (folder / "cells.json").write_bytes(msgspec.json.encode(placed))
        path.write_text(
            SETTINGS.format(
                relays=relays,
                roster=roster,
                queue=queue,
                rate=rate,
                intake=intake,
                hold=hold,
                port=self.port,
                cells='\n    cells placement="cells.json"' if cells else "",
            )
        )
        self.log = (folder / "governor.log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, "governor", str(path), "--name", "a", "--log", "json"],
            stderr=self.log,
        )
        self.client = HttpClient(LOCAL, self.port)

    async def ready(self) -> None:
        for _ in range(200):
            try:
                if (await self.status())["replicas"]:
                    return
            except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the governor did not come up")

    async def status(self) -> dict[str, object]:
        response = await self.client.request("GET", "/v1/status", timeout_s=10)
        out: dict[str, object] = msgspec.json.decode(response.body)
        return out

    def usage(self) -> tuple[float, int]:
        """CPU seconds and resident bytes of the loop's process, without the planner's."""
        process = psutil.Process(self.process.pid)
        times = process.cpu_times()
        return times.user + times.system, process.memory_info().rss

    def planner_usage(self) -> tuple[float, int]:
        for child in psutil.Process(self.process.pid).children():
            times = child.cpu_times()
            return times.user + times.system, child.memory_info().rss
        return 0.0, 0

    def close(self) -> None:
        self.process.terminate()
        self.process.wait(20)
        self.roster.server.stop()
        self.log.close()
