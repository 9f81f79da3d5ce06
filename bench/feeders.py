"""Test doubles of the endpoint list and of proxies.

The proxies only poll and report loads, so that thousands of them fit in one process.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import msgspec
import psutil

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import feed, http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement

LOCAL = "127.0.0.1"
# The lines of load reports per second that the settings admit.
REPORT_LINES_PER_S = 100
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


def create_endpoint(n: int, phase: str = "ready") -> feed.EndpointRecord:
    """Returns the endpoint of the replica with a number."""
    return feed.EndpointRecord(f"w{n}", ZONES[n % 3], "", "k", n // 5, phase, 1.0, f"w{n}/1", 10**9)


class EndpointList:
    """The endpoint list of a fleet.

    Attributes:
        notified_at: When it sent its change (s, monotonic); 0 before.
    """

    def __init__(self, replicas: int, port: int) -> None:
        """Starts to listen, with all replicas listed as ready."""
        self.version = 1
        self.notified_at = 0.0
        self.endpoints = [create_endpoint(n) for n in range(replicas)]
        self._changed = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.server.listen(port, LOCAL)

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        """Answers with a snapshot, or waits for a change and answers with it."""
        is_snapshot = "after=-1" in request.target
        if not is_snapshot and f"after={self.version}&" in request.target:
            try:
                await asyncio.wait_for(self._changed.wait(), 4.0)
            except TimeoutError:
                return self._answer((), False)
            self._changed.clear()
            self.notified_at = time.monotonic()
        return self._answer(tuple(self.endpoints) if is_snapshot else (self.endpoints[0],), is_snapshot)

    def _answer(self, entries: tuple[feed.EndpointRecord, ...], is_snapshot: bool) -> ServerResponse:
        after = self.version - bool(entries)
        return ServerResponse(
            200, msgspec.json.encode(feed.EndpointListUpdate("l", self.version, entries, is_snapshot, after))
        )

    def drain(self) -> None:
        """Lists the first replica as draining."""
        self.endpoints[0] = create_endpoint(0, "draining")
        self.version += 1
        self._changed.set()


class FeedClient:
    """The feed of one proxy.

    Attributes:
        withdrawn_at: When it received the withdrawal of the first replica (s, monotonic); 0 before.
        binds: The number of binds that it received.
        classes: The request classes that it has bound.
        received_bytes: The size of all responses.
        messages: The number of messages that it received.
    """

    def __init__(self, n: int, port: int) -> None:
        """Creates the feed of the proxy with a number, from the governor at a port."""
        self.n = n
        self.port = port
        self.name = f"r{n}"
        self.zone = ZONES[n % 3]
        self.epoch = ""
        self.stream = 0
        self.acknowledged_seq = 0
        self.withdrawn_at = 0.0
        self.binds = 0
        self.received_bytes = 0
        self.messages = 0
        self.classes = set[str]()

    async def follow(self) -> None:
        """Polls the feed until it is cancelled."""
        client = HttpClient(
            LOCAL, self.port, connect_timeout_s=10.0, limits=http.Limits(max_body_bytes=1 << 26)
        )
        while True:
            target = (
                f"/v1/feed?relay={self.name}&zone={self.zone}&rate=3&epoch={self.epoch}"
                f"&stream={self.stream}&after={self.acknowledged_seq}"
            )
            try:
                response = await client.request("GET", target, timeout_s=120)
            except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                await asyncio.sleep(0.2)
                continue
            if response.status != 200:
                await asyncio.sleep(0.2)
                continue
            self.received_bytes += len(response.body)
            if b'"out","w0"' in response.body and not self.withdrawn_at:
                self.withdrawn_at = time.monotonic()
            answer = DECODER.decode(response.body)
            self.messages += len(answer.messages)
            if answer.is_new_stream:
                self.epoch = answer.epoch
                self.stream = answer.stream
                self.acknowledged_seq = 0
            for message in answer.messages:
                self.acknowledged_seq = message.seq
                for delta in message.deltas:
                    if isinstance(delta, feed.BindDelta):
                        self.binds += 1
                        self.classes.update(delta.classes)

    async def send_load_reports(
        self, replicas: int, period_s: float, cells: int = 0, load_swing: float = 0.0
    ) -> None:
        """Reports attempts at up to thirty replicas in each period, until it is cancelled.

        Their load varies slightly. With `load_swing`, the load of each replica also oscillates with this
        amplitude and a period of about a minute; each replica has its own phase.
        """
        client = HttpClient(LOCAL, self.port)
        await asyncio.sleep(period_s * (self.n % 97) / 97)
        report_number = 0
        while True:
            report_number += 1
            attempts = tuple(
                feed.ReplicaAttempts(
                    f"w{(self.n * 7 + k * 5) % replicas}",
                    3,
                    0,
                    250_000,
                    0.5
                    + 0.2 * ((k * 31 + report_number * 17 + self.n) % 10) / 10
                    + load_swing * math.sin((self.n * 7 + k * 5) % replicas + time.monotonic() / 9),
                    2.0,
                )
                for k in range(30)
            )
            cell = f"c{(self.n + report_number) % cells}/" if cells else ""
            requests = (
                feed.ClassRequests(cell + "rate-check", 6),
                feed.ClassRequests(cell + "booking-commit", 3),
            )
            report = feed.ProxyLoadReport(self.name, self.epoch, int(period_s * 1e6), attempts, requests)
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                await client.request("POST", "/v1/sums", msgspec.json.encode(report), timeout_s=5)
            await asyncio.sleep(period_s)


@dataclass(frozen=True)
class GovernorOptions:
    """The fleet that a measured governor serves, and the limits of its channel.

    Attributes:
        proxies: The number of proxies.
        replicas: The number of replicas.
        lines_per_s: The line rate of the channel.
        queue_lines: The limit of the channel's queue.
        poll_hold: How long a poll is held open, as the settings write it.
        module: The module that is run with `python -m`.
        cells: The number of cells; 0 for a fleet without cells.
    """

    proxies: int
    replicas: int
    lines_per_s: float
    queue_lines: float
    poll_hold: str = "20s"
    module: str = "gradehoist"
    cells: int = 0


class Governor:
    """A governor process, whose endpoint list runs in this process. The caller closes it."""

    def __init__(self, folder: Path, options: GovernorOptions) -> None:
        """Writes the settings to a folder and starts the governor."""
        folder.mkdir(parents=True, exist_ok=True)
        self.port, endpoint_list_port = find_free_ports(2)
        self.endpoint_list = EndpointList(options.replicas, endpoint_list_port)
        path = folder / "settings.kdl"
        if options.cells:
            names = tuple(f"c{n}" for n in range(options.cells))
            placement = CellPlacement(
                names, {f"w{n}": names[n // 3 % options.cells] for n in range(options.replicas)}
            )
            (folder / "cells.json").write_bytes(msgspec.json.encode(placement))
        path.write_text(
            SETTINGS.format(
                relays=options.proxies,
                roster=endpoint_list_port,
                queue=options.queue_lines,
                rate=options.lines_per_s,
                intake=REPORT_LINES_PER_S,
                hold=options.poll_hold,
                port=self.port,
                cells='\n    cells placement="cells.json"' if options.cells else "",
            )
        )
        self.log = (folder / "governor.log").open("wb")
        self.process = subprocess.Popen(
            [sys.executable, "-m", options.module, "governor", str(path), "--name", "a", "--log", "json"],
            stderr=self.log,
        )
        self.client = HttpClient(LOCAL, self.port)

    async def wait_until_ready(self) -> None:
        """Waits until the governor has loaded the endpoint list.

        Raises:
            RuntimeError: It was not ready within some ten seconds.
        """
        for _ in range(200):
            try:
                if (await self.status())["replicas"]:
                    return
            except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the governor was not ready within 200 checks at intervals of 50 ms")

    async def status(self) -> dict[str, object]:
        """Requests the status of the governor."""
        response = await self.client.request("GET", "/v1/status", timeout_s=10)
        status: dict[str, object] = msgspec.json.decode(response.body)
        return status

    def process_usage(self) -> tuple[float, int]:
        """Returns the CPU seconds and resident bytes of the event loop's process, not the policy's."""
        process = psutil.Process(self.process.pid)
        times = process.cpu_times()
        return times.user + times.system, process.memory_info().rss

    def policy_usage(self) -> tuple[float, int]:
        """Returns the CPU seconds and resident bytes of the policy process; zeros if there is none."""
        for child in psutil.Process(self.process.pid).children():
            times = child.cpu_times()
            return times.user + times.system, child.memory_info().rss
        return 0.0, 0

    def close(self) -> None:
        """Stops the governor and the endpoint list."""
        self.process.terminate()
        self.process.wait(20)
        self.endpoint_list.server.stop()
        self.log.close()
