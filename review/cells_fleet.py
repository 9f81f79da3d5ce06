"""Stand-ins around governors with cells: the list of workers, the workers, the relays and the clients.

They run on the loop of the test's process, on loopback addresses and the real clock. The governors and the
commands are the project's own programs, each a process. A worker decides by the project's `ReplicaFence`
which bookings it runs, as the protocol of the cells asks of it.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

import msgspec

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from gradehoist.cells.assignment import ReplicaFence, TenantAssignment, WriteDecision  # noqa: E402
from gradehoist.cells.routes import home_cell  # noqa: E402
from gradehoist.net.client import HttpClient, HttpClientError  # noqa: E402
from gradehoist.net.server import Connection, HttpServer, ServerResponse, json_response  # noqa: E402
from gradehoist.protocol import feed, http  # noqa: E402
from gradehoist.protocol.proxy_state import ProxyState  # noqa: E402

LOOPBACK = "127.0.0.1"
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
COMMAND = [str(ROOT / ".venv/bin/python"), "-m", "gradehoist"]
HALLS = ("hall-a", "hall-b")
REDIAL_S = (0.2, 2.4)  # how long after its stream broke a relay dials again, by the brief
GO_BACK_S = (3.0, 12.0)  # when a relay goes back to its own hall's governor, by the site file of kushiro-akan
STANDING = 6  # lines of the table that a relay starts with, by the brief
REQUEST_CLASS = "booking-commit"
WORK_S = 0.05
START_TIMEOUT_S = 30.0
# A worker takes messages of any size that a governor or a move may send.
WORKER_LIMITS = http.Limits(max_body_bytes=1 << 26)
EXIT_KEPT, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self) -> None:
        """Start the clock."""
        self._began_s = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began_s

    def add(self, text: str) -> None:
        """Add one line."""
        self.lines.append(f"{self.now():8.3f} {text}")


class Run(msgspec.Struct, frozen=True):
    """A booking that ran."""

    at_s: float
    hotel: str
    cell: str
    generation: int
    key: str
    worker: str

    def __str__(self) -> str:
        """Return its line for the record."""
        where = f"{self.worker} of {self.cell}, generation {self.generation}"
        return f"{self.at_s:8.3f} ran {self.key} of {self.hotel} at {where}"


def free_port() -> int:
    """Return a port that is free now."""
    with contextlib.closing(socket.create_server((LOOPBACK, 0))) as taken:
        port: int = taken.getsockname()[1]
        return port


class Worker:
    """A worker with its fence, which it keeps as long as this process runs."""

    def __init__(self, fleet: Fleet, name: str, hall: str, cell: str) -> None:
        """Create a worker of a cell, and listen."""
        self.fleet = fleet
        self.name = name
        self.hall = hall
        self.fence = ReplicaFence(name, cell)
        self.port = free_port()
        self.began_s = time.monotonic()
        self.boot = 1
        self.is_new = False
        self.is_listed = True
        self.is_going = asyncio.Event()  # not set while it takes requests and answers none
        self.is_going.set()
        self.listen()

    def listen(self) -> None:
        """Take connections."""
        self.server = HttpServer(self.handle, WORKER_LIMITS)
        self.server.listen(self.port, LOOPBACK)

    def die(self) -> None:
        """End as a killed process does: connections are reset."""
        self.server.abort()

    def restart(self) -> None:
        """Start again, with what it has kept: its assignments and completed bookings."""
        self.fence = self.fence.restarted()
        self.boot += 1
        self.began_s = time.monotonic()
        self.is_new = True
        self.listen()

    async def handle(self, request: http.Request, _: Connection) -> ServerResponse | None:
        """Answer the governors, the runner of moves and the relays."""
        await self.is_going.wait()
        now_us = time.monotonic_ns() // 1000
        if request.target == "/cell/word":
            assignment = msgspec.json.decode(request.body, type=TenantAssignment)
            self.fence, acknowledgement = self.fence.apply_assignment(assignment)
            return json_response(acknowledgement)
        if request.target == "/cell/lease":
            lease = msgspec.json.decode(request.body, type=tuple[int, list[TenantAssignment]])
            self.fence = self.fence.renew_lease(now_us, *lease)
            return ServerResponse(204)
        if request.target == "/healthz":
            return ServerResponse(200)
        return await self._book(json.loads(request.body), now_us)

    async def _book(self, booking: dict[str, str], now_us: int) -> ServerResponse:
        hotel, key, generation = booking["hotel"], booking["key"], int(booking["generation"])
        self.fence, decision = self.fence.check_write(now_us, hotel, booking["cell"], generation, key)
        if decision is not WriteDecision.ACCEPT:
            return json_response({"error": decision.value}, 503)
        await asyncio.sleep(WORK_S)
        self.fence = self.fence.complete_write(hotel, key)
        run = Run(self.fleet.record.now(), hotel, self.fence.cell, generation, key, self.name)
        self.fleet.runs.append(run)
        return json_response({"cell": self.fence.cell})


class Roster:
    """The list of workers, which governors and moves follow by long polls."""

    def __init__(self, workers: list[Worker]) -> None:
        """List these workers, and listen."""
        self.workers = list(workers)
        self.version = 1
        self.changed = asyncio.Event()
        self.port = free_port()
        self.server = HttpServer(self.handle)
        self.server.listen(self.port, LOOPBACK)

    def add(self, worker: Worker) -> None:
        """List one more worker."""
        self.workers.append(worker)
        self.change()

    def change(self) -> None:
        """Tell the readers of a change."""
        self.version += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request: http.Request, _: Connection) -> ServerResponse | None:
        """Answer a poll with the whole list once it is newer than what the reader knows."""
        query = {key: values[-1] for key, values in parse_qs(urlsplit(request.target).query).items()}
        wait_s = min(10.0, float(query.get("wait", 0)))
        is_whole = int(query.get("after", -1)) < 0 or query.get("life") != "roster"
        if not is_whole and int(query["after"]) >= self.version:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
        return json_response(
            feed.EndpointListUpdate(
                incarnation="roster",
                version=self.version,
                endpoints=tuple(self.entry(worker) for worker in self.workers if worker.is_listed),
                is_snapshot=True,
            )
        )

    @staticmethod
    def entry(worker: Worker) -> feed.EndpointRecord:
        """Return a worker's entry."""
        age_s = time.monotonic() - worker.began_s if worker.is_new else 3600.0
        return feed.EndpointRecord(
            replica=worker.name,
            zone=worker.hall,
            address=f"{LOOPBACK}:{worker.port}",
            kind="large-4c",
            size=1.0,
            incarnation=f"{worker.name}/{worker.boot}",
            age_us=int(age_s * 1e6),
        )


class Governor:
    """A governor's process."""

    def __init__(self, fleet: Fleet, name: str, port: int) -> None:
        """Create a governor that is not started."""
        self.fleet = fleet
        self.name = name
        self.port = port
        self.child: subprocess.Popen[bytes] | None = None

    async def start(self) -> None:
        """Start it, and wait until it answers."""
        with (self.fleet.folder / f"{self.name}.log").open("ab") as log:
            self.child = subprocess.Popen(
                [*COMMAND, "governor", str(self.fleet.settings), "--name", self.name],
                cwd=ROOT,
                stdout=log,
                stderr=log,
            )
        end_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < end_s and self.child.poll() is None:
            with (
                contextlib.suppress(HttpClientError),
                contextlib.closing(HttpClient(LOOPBACK, self.port)) as client,
            ):
                response = await client.request("GET", "/v1/status", timeout_s=1.0)
                if response.status == 200:
                    self.fleet.record.add(f"governor {self.name} answers")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"governor {self.name} did not start")

    async def stop(self) -> None:
        """End it with SIGTERM."""
        assert self.child is not None
        self.child.send_signal(signal.SIGTERM)
        await asyncio.to_thread(self.child.wait, 10)
        self.fleet.record.add(f"governor {self.name} ended after SIGTERM")

    def kill(self) -> None:
        """End it, whatever it does."""
        if self.child is not None and self.child.poll() is None:
            self.child.kill()
            self.child.wait()


class Relay:
    """A relay: follows the feed of its own hall's governor, or else of the other, and routes by it."""

    def __init__(self, fleet: Fleet, name: str, own: int, seed: int) -> None:
        """Create a relay; `own` is the number of its own hall's governor."""
        self.fleet = fleet
        self.name = name
        self.hall = HALLS[own]
        self.governors = [fleet.governors[own], fleet.governors[1 - own]]
        self.chance = random.Random(seed)
        self.served_s = -1.0  # when a booking of its was last answered as run
        self.clients: dict[int, HttpClient] = {}
        self.start()

    def start(self) -> None:
        """Begin with a standing table of up to six workers of its own hall, and with no routes."""
        self.state = ProxyState()
        self.applied = 0
        self.governor: Governor | None = None
        self.joined_s = 0.0
        local = [name for name, worker in self.fleet.workers.items() if worker.hall == self.hall]
        chosen = self.chance.sample(local, min(len(local), STANDING))
        self.state.install_default_tables({REQUEST_CLASS: dict.fromkeys(chosen, 1.0)})

    def lines(self, hotel: str) -> tuple[str, dict[str, float]]:
        """Return the cell of a hotel by what the relay was told, and the lines that it may pick from."""
        routes = self.state.routes
        if routes is None:
            return "", self.state.weights_for(REQUEST_CLASS)
        cell = home_cell(hotel, routes.cells, routes.cell_by_tenant)
        return cell, self.state.weights_for(f"{cell}/{REQUEST_CLASS}") if cell else {}

    async def follow(self) -> None:
        """Keep a stream to a governor; after a break, dial again, one's own governor first."""
        while True:
            for governor in self.governors:
                with (
                    contextlib.suppress(HttpClientError, msgspec.MsgspecError),
                    contextlib.closing(HttpClient(LOOPBACK, governor.port)) as client,
                ):
                    await self._stream(client, governor)
                    break
            self.governor = None
            await asyncio.sleep(self.chance.uniform(*REDIAL_S))

    async def _stream(self, client: HttpClient, governor: Governor) -> None:
        epoch, stream, self.applied = "", 0, 0
        stay_s = 1e9 if governor is self.governors[0] else self.chance.uniform(*GO_BACK_S)
        end_s = time.monotonic() + stay_s
        while time.monotonic() < end_s:
            target = (
                f"/v1/feed?relay={self.name}&zone={self.hall}&rate=3.0&epoch={epoch}&stream={stream}"
                f"&after={self.applied}"
            )
            response = await client.request("GET", target, timeout_s=4.0)
            if response.status != 200:
                if epoch:
                    return
                raise HttpClientError(LOOPBACK, governor.port, f"status {response.status}")
            update = msgspec.json.decode(response.body, type=feed.PollResponse)
            if update.is_new_stream or (update.epoch, update.stream) != (epoch, stream):
                epoch, stream, self.applied = update.epoch, update.stream, 0
                self.state.begin_stream()
                self.governor, self.joined_s = governor, self.fleet.record.now()
                self.fleet.record.add(f"relay {self.name} joined governor {governor.name}")
            for message in update.messages:
                if message.seq > self.applied:
                    self.state.apply(message)
                    self.applied = message.seq

    async def book(self, hotel: str, key: str) -> None:
        """Send one booking to a worker of the cell that the relay was told; never a second time."""
        record = self.fleet.record
        cell, weights = self.lines(hotel)
        if not weights:
            where = f"nobody to pick in {cell}" if cell else "no cell is open"
            record.add(f"booking {key} of {hotel}: relay {self.name} refuses it, {where}")
            return
        worker = self.fleet.workers[self.chance.choices(list(weights), list(weights.values()))[0]]
        generation = self.state.routes.generations.get(hotel, 1) if self.state.routes else 0
        client = self.clients.setdefault(worker.port, HttpClient(LOOPBACK, worker.port))
        body = json.dumps({"hotel": hotel, "key": key, "cell": cell, "generation": generation}).encode()
        try:
            response = await client.request("POST", "/", body, timeout_s=5.0)
        except HttpClientError as error:
            record.add(f"booking {key} of {hotel}: {error}")
            return
        by = f"relay {self.name}, worker {worker.name} of {cell or 'no cell'}"
        record.add(f"booking {key} of {hotel}: {by}: {response.status}")
        if response.status == 200:
            self.served_s = record.now()


class Fleet:
    """Two governors with cells, and all that is around them."""

    def __init__(self, folder: Path, seed: int, hotels: list[str], bookings_per_s: float) -> None:
        """Create a fleet without workers, governors and relays; its files are in the folder."""
        self.folder = folder
        self.seed = seed
        self.hotels = hotels
        self.bookings_per_s = bookings_per_s
        self.chance = random.Random(seed)
        self.settings = folder / "settings.kdl"
        self.record = Record()
        self.runs: list[Run] = []
        self.workers: dict[str, Worker] = {}
        self.governors: list[Governor] = []
        self.relays: list[Relay] = []
        self.followers: dict[Relay, asyncio.Task[None]] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.roster: Roster

    def run_command(self, *words: str) -> None:
        """Run one command of the project; raises RuntimeError if it fails."""
        done = subprocess.run(
            [*COMMAND, *words], cwd=ROOT, capture_output=True, text=True, timeout=60, check=False
        )
        shown = " ".join(Path(word).name if "/" in word else word for word in words)
        self.record.add(f"gradehoist {shown}: exit {done.returncode}")
        if done.returncode:
            raise RuntimeError(f"{shown}: {done.stderr.strip()[-300:]}")

    def write_tables(self, workers: int, tenants: dict[str, float]) -> None:
        """Write the CSV files of workers, named w0 and so on, and of tenants with their demand."""
        rows = [f"w{number},{HALLS[number % 2]},large-4c,1" for number in range(workers)]
        (self.folder / "workers.csv").write_text("\n".join(["worker,zone,kind,size", *rows]) + "\n")
        rows = [f"{name},{demand}" for name, demand in tenants.items()]
        (self.folder / "tenants.csv").write_text("\n".join(["tenant,demand", *rows]) + "\n")

    def file(self, name: str) -> str:
        """Return the path of a file of the fleet."""
        return str(self.folder / name)

    def placed(self) -> dict[str, str]:
        """Return the cell of each worker by the placement in force."""
        return self._placement("workers")

    def named(self) -> dict[str, str]:
        """Return the cell of each tenant that the placement in force names."""
        return self._placement("named")

    def _placement(self, part: str) -> dict[str, str]:
        placement: dict[str, dict[str, str]] = json.loads((self.folder / "cells.json").read_text())
        return placement[part]

    async def start(self, relays: int) -> None:
        """Start workers as they are placed, two governors and the relays."""
        for number, (name, cell) in enumerate(sorted(self.placed().items())):
            self.workers[name] = Worker(self, name, HALLS[number % 2], cell)
        self.roster = Roster(list(self.workers.values()))
        ports = [free_port(), free_port()]
        self._write_settings(ports, relays)
        self.governors = [Governor(self, name, port) for name, port in zip("ab", ports, strict=True)]
        for governor in self.governors:
            await governor.start()
        followers = [Relay(self, f"r{n}", n % 2, self.seed + n) for n in range(relays)]
        self.relays = followers
        self.followers = {relay: asyncio.create_task(relay.follow()) for relay in followers}
        self.tasks += self.followers.values()

    def stop_relay(self, relay: Relay) -> None:
        """End a relay: its connections close, and it keeps nothing."""
        self.followers.pop(relay).cancel()
        relay.governor = None

    def restart_relay(self, relay: Relay) -> None:
        """Start a relay again."""
        relay.start()
        self.followers[relay] = asyncio.create_task(relay.follow())
        self.tasks.append(self.followers[relay])

    def start_bookings(self) -> None:
        """Let clients book from now on, each booking once."""
        self.tasks.append(asyncio.create_task(self._send_bookings()))

    async def _send_bookings(self) -> None:
        number = 0
        tasks = set[asyncio.Task[None]]()
        while True:
            await asyncio.sleep(self.chance.expovariate(self.bookings_per_s))
            number += 1
            relay, hotel = self.chance.choice(self.relays), self.chance.choice(self.hotels)
            if relay not in self.followers:
                continue  # it is down, and so are its clients
            task = asyncio.create_task(relay.book(hotel, f"k{number}"))
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    def _write_settings(self, ports: list[int], relays: int) -> None:
        self.settings.write_text(
            f"""fleet relays={relays} roster="{LOOPBACK}:{self.roster.port}" {{
    zones "{HALLS[0]}" "{HALLS[1]}"
    kinds "large-4c"
    class "{REQUEST_CLASS}" goal="2s" cutoff="5s" gain=6 late-gain=0.2 repeat="single"
    rules grace="2s" cold-time="16s" cold-share=0.18 fall-multiple=4 fall-span="3s" bare-limit="4600ms"
    channel queue-limit=3500 line-rate=3500 message-head=4 message-limit=20 message-window="10s"
    reports period="1s" intake=100
    feed hold="2s" silence="3s"
    cells placement="cells.json" lease="3s" settle="10s"
}}
governor "a" zone="{HALLS[0]}" listen="{LOOPBACK}:{ports[0]}" state="a"
governor "b" zone="{HALLS[1]}" listen="{LOOPBACK}:{ports[1]}" state="b"
"""
        )

    def end(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        for governor in self.governors:
            governor.kill()

    def write_record(self, path: Path, summary: list[str]) -> None:
        """Write what was found, sent, answered and run."""
        runs = [str(run) for run in self.runs]
        path.write_text("\n".join([*summary, "", *self.record.lines, "", *runs]) + "\n")
