"""Stand-ins of the operators' platform on loopback: discovery, replicas, proxies and collectors.

They speak the platform's published line protocol and use the standard library alone. Each case starts a
governor by the line `run` of the deploy file, lets these stand-ins play a small deployment, and judges what
they saw.
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
import tempfile
import time
import tomllib
from collections import Counter, defaultdict, deque
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
EXIT_HELD, EXIT_BROKEN, EXIT_UNUSABLE = 0, 1, 2
READY_LIMIT_S = 30.0
# The protocol page lengthens the limits on sockets by this.
SLACK_S = 0.3
# The limits begin no sooner than this after the governor first answered.
GRACE_AFTER_READY_S = 1.0
HEARTBEAT_S = 2.0
KNOWN_SHARE = 2 / 3  # of the load on a cold replica, which has to come from proxies that know of it
LINE_LIMIT = 1 << 20
PORTS = 20_000, 32_000
_TAKEN = set[int]()
SHOWN = 4  # broken rules that are printed
Tables = dict[str, dict[str, float]]  # weights by class and replica


def free_port() -> int:
    """Returns a port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if port in _TAKEN:
            continue
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            _TAKEN.add(port)
            return port


def unix_ms() -> int:
    """Returns the Unix time in milliseconds."""
    return time.time_ns() // 1_000_000


class Capacity(NamedTuple):
    """What a replica can do: a request takes one core for `work_s` once the replica is warm."""

    cores: int
    work_s: float
    cold_s: float
    cold_share: float


class Record:
    """Writes what happens to `record.txt`, one line an event, with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Opens the file and empties it."""
        self._file = path.open("w", encoding="utf-8")
        self.began_s = time.monotonic()

    def __call__(self, kind: str, text: str) -> None:
        """Writes one event."""
        self._file.write(f"{time.monotonic() - self.began_s:8.3f} {kind:10} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Replica:
    """A replica process: serves requests and health checks on one port; it can die and start again.

    It is cold after each start: its capacity rises evenly from the cold share to the whole.
    """

    def __init__(self, name: str, zone: str, capacity: Capacity) -> None:
        """Creates a replica that does not run yet."""
        self.name, self.zone, self.capacity = name, zone, capacity
        self.port = free_port()
        # Called with the replica and the number of the proxy, before a request is worked on.
        self.on_arrival: Callable[[Replica, int], None] = lambda replica, proxy: None
        self._started_s = float("-inf")
        self.started_ms = 0  # long ago
        self.phase = "active"
        self.inflight = 0
        self.served = 0
        self._free_at_s = [0.0] * capacity.cores
        self._busy = deque[tuple[float, float]]()
        self._server: asyncio.Server | None = None
        self._writers = set[asyncio.StreamWriter]()

    @property
    def is_up(self) -> bool:
        """Whether the process runs."""
        return self._server is not None

    async def start(self) -> None:
        """Starts the process."""
        self._free_at_s = [0.0] * self.capacity.cores
        self._busy.clear()
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def die(self) -> None:
        """Ends the process: connections are reset and new ones are refused."""
        if self._server is None:
            return
        self._server.close()
        self._server = None
        for writer in self._writers:
            writer.transport.abort()
        self._writers.clear()
        self.inflight = 0

    def member(self) -> dict[str, Any]:
        """Returns the replica's entry in discovery's form."""
        return {
            "id": self.name, "host_port": f"{HOST}:{self.port}", "locality": self.zone, "flavor": "two-core",
            "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_ms,
        }  # fmt: skip

    def utilization(self) -> float:
        """Returns the share of the cores that was busy in the last second."""
        now_s = time.monotonic()
        while self._busy and self._busy[0][1] < now_s - 1.0:
            self._busy.popleft()
        busy_s = sum(max(0.0, min(end, now_s) - max(begin, now_s - 1.0)) for begin, end in self._busy)
        return min(1.0, busy_s / self.capacity.cores)

    def restart(self) -> Coroutine[Any, Any, None]:
        """Starts the process again, cold."""
        self.started_ms = unix_ms()
        self._started_s = time.monotonic()
        self.phase = "active"
        return self.start()

    def present_capacity(self, at_s: float) -> float:
        """Returns the core seconds that the replica can do a second at a time."""
        age = max(0.0, min(1.0, (at_s - self._started_s) / self.capacity.cold_s))
        share = self.capacity.cold_share
        return self.capacity.cores * (share + (1 - share) * age)

    @property
    def is_cold(self) -> bool:
        """Whether the replica has started too recently to be warm."""
        return time.monotonic() < self._started_s + self.capacity.cold_s

    def report(self) -> str:
        """Returns the load report."""
        return f"inflight:{self.inflight},util:{self.utilization():.3f}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while line := await reader.readline():
                if line.startswith(b"GET "):
                    while (await reader.readline()).strip():
                        pass
                    body = f"TEXT inflight={self.inflight}, util={self.utilization():.3f}\r\n".encode()
                    head = f"HTTP/1.1 200 OK\r\ncontent-length: {len(body)}\r\n\r\n".encode()
                    writer.write(head + body)
                else:
                    self.on_arrival(self, int(line.split()[1]))
                    await self._work()
                    writer.write(f"done {self.report()}\n".encode())
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _work(self) -> None:
        now_s = time.monotonic()
        cores = self.capacity.cores
        core = min(range(cores), key=lambda number: self._free_at_s[number])
        begin_s = max(now_s, self._free_at_s[core])
        end_s = begin_s + self.capacity.work_s * cores / self.present_capacity(begin_s)
        self._free_at_s[core] = end_s
        self._busy.append((begin_s, end_s))
        self.inflight += 1
        await asyncio.sleep(end_s - now_s)
        self.inflight = max(0, self.inflight - 1)
        self.served += 1


class Discovery:
    """Discovery: the whole list, and watches that hold one line per change."""

    def __init__(self, record: Record, replicas: dict[str, Replica]) -> None:
        """Creates discovery for the replicas that it lists from the start."""
        self.port = free_port()
        self.revision = 41
        self.members = {name: replica.member() for name, replica in replicas.items()}
        # By replica: since when the governor counts as told of its entry, and the entry. It starts with the
        # list that its configuration names.
        self.told = {name: (time.monotonic(), member) for name, member in self.members.items()}
        self._record = record
        self._changes: list[tuple[int, dict[str, Any]]] = []
        self._watches = set[asyncio.StreamWriter]()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    def snapshot(self) -> dict[str, Any]:
        """Returns the whole list in discovery's form."""
        return {"revision": self.revision, "complete": True, "members": list(self.members.values())}

    def change(self, *members: dict[str, Any]) -> None:
        """Changes entries at a new version and tells all watches."""
        self.revision += 1
        for member in members:
            self._changes.append((self.revision, member))
            if member["phase"] == "left":
                self.members.pop(member["id"], None)
            else:
                self.members[member["id"]] = member
        text = ", ".join(f"{m['id']} {m['phase']} up_since_ms={m['up_since_ms']}" for m in members)
        self._record("discovery", f"revision {self.revision}: {text}")
        for writer in self._watches:
            self._write(writer, list(members), complete=False)

    def _write(self, writer: asyncio.StreamWriter, members: list[dict[str, Any]], complete: bool) -> None:
        now_s = time.monotonic()
        for member in members:
            earlier = self.told.get(member["id"])
            if earlier is None or earlier[1] != member:
                self.told[member["id"]] = (now_s, member)
        document = {"revision": self.revision, "complete": complete, "members": members}
        self._chunk(writer, json.dumps(document).encode() + b"\n")

    @staticmethod
    def _chunk(writer: asyncio.StreamWriter, data: bytes) -> None:
        if not writer.is_closing():
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            target = (await reader.readuntil(b"\r\n\r\n")).decode().split(" ")[1]
            if "watch=1" not in target:
                body = json.dumps(self.snapshot()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
                await reader.read()
                return
            after = int(target.split("from=")[1].split("&")[0])
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            changed = {member["id"]: member for revision, member in self._changes if revision > after}
            if 41 <= after <= self.revision:
                self._write(writer, list(changed.values()), complete=False)
            else:
                self._write(writer, list(self.members.values()), complete=True)
            self._watches.add(writer)
            while not reader.at_eof():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(reader.read(1), HEARTBEAT_S)
                self._chunk(writer, b"\n")
        self._watches.discard(writer)
        writer.close()


class Governor:
    """A governor, started by the line `run` of the deploy file."""

    def __init__(self, record: Record, folder: Path, name: str, settings: dict[str, Any]) -> None:
        """Creates a governor that does not run yet; its files lie in `folder`."""
        self.name, self.settings = name, settings
        self.port = free_port()
        self.path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.ready_s = float("inf")
        self._record = record
        self._folder = folder
        self._child: subprocess.Popen[bytes] | None = None

    def write_config(self, discovery: Discovery, seed: str, sockets: int = 1024) -> None:
        """Writes the configuration file."""
        config = {
            "name": self.name, "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:{discovery.port}",
            "seed": seed, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
            "known": discovery.snapshot(), "settings": self.settings,
        }  # fmt: skip
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(config))
        temporary.replace(self.path)

    async def start(self, discovery: Discovery) -> None:
        """Starts the process and waits for its first `alive`; raises RuntimeError if there is none."""
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        environment = os.environ | {
            "ROUTER_NAME": self.name, "ROUTER_LISTEN": f"{HOST}:{self.port}",
            "ROUTER_DISCOVERY": f"{HOST}:{discovery.port}", "ROUTER_CONFIG": str(self.path),
            "TMPDIR": str(self._folder),
        }  # fmt: skip
        with self.log.open("ab") as log:
            self._child = subprocess.Popen(
                ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record("governor", f"{self.name} started")
        deadline_s = time.monotonic() + READY_LIMIT_S
        while time.monotonic() < deadline_s and self.is_running:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"probe\r\n")
                answer = await reader.readuntil(b"\r\n")
                writer.close()
                if answer == b"alive\r\n":
                    self.ready_s = time.monotonic()
                    self._record("governor", f"{self.name} answered alive")
                    return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} did not become ready: {self.log.read_text()[-500:]}")

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self._child is not None and self._child.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._child is not None
        self._record("governor", f"{self.name} gets {number.name}")
        self._child.send_signal(number)

    def end(self) -> None:
        """Ends the process if it runs."""
        if self._child is not None and self._child.poll() is None:
            self._child.kill()
            self._child.wait()


class Proxy:
    """A plain proxy: follows its tables, and dials again when its stream breaks."""

    def __init__(self, record: Record, number: int, zone: str, rate: float, tables: Tables) -> None:
        """Creates a proxy; `tables` are its standing ones."""
        self.number, self.zone, self.rate, self.tables = number, zone, rate, tables
        self.classes = list(tables)
        self.levels: dict[str, tuple[float, int]] = {}
        self.withdrawn = set[str]()
        self.is_new = True
        self.joined_s: float | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.message_times_s = deque[float]()
        self.sums: dict[str, list[float]] = {}  # by replica: tries, failures, time of the good ones
        self.reports: dict[str, str] = {}
        self.offered = Counter[str]()
        self.unserved = Counter[str]()
        self._record = record

    def available(self, name: str) -> dict[str, float]:
        """Returns the lines to pick from for a class."""
        return {r: w for r, w in self.tables[name].items() if w > 0 and r not in self.withdrawn}

    async def follow(self, governor: Governor, rng: random.Random, late_s: tuple[float, float]) -> None:
        """Keeps a stream to the governor; a message is applied after a time drawn from `late_s`."""
        while True:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                reader, self.writer = await asyncio.open_connection(HOST, governor.port, limit=LINE_LIMIT)
                hello = f"hello id={self.number} site={self.zone} rps={self.rate:.1f} new={int(self.is_new)}"
                self.writer.write(f"{hello}\r\n".encode())
                self.joined_s = time.monotonic()
                self._record("hello", f"proxy {self.number}: {hello}")
                while True:
                    parts = []
                    while True:
                        parts.append((await reader.readuntil(b"\r\n")).decode().strip())
                        if " more=1" not in parts[-1]:
                            break
                    received_s = time.monotonic()
                    await asyncio.sleep(rng.uniform(*late_s))
                    self._apply(parts, received_s)
            self.joined_s = None
            self._record("stream", f"proxy {self.number}: stream ended")
            if self.writer is not None:
                self.writer.close()
            await asyncio.sleep(rng.uniform(0.2, 2.4))

    def _apply(self, parts: list[str], received_s: float) -> None:
        self.is_new = False
        self.message_times_s.append(received_s)
        ticket = None
        for part in parts:
            self._record("push", f"proxy {self.number}: {part}")
            kind, *words = part.split(" ")
            if kind != "push":
                continue
            fields = dict(word.split("=", 1) for word in words)
            classes = fields["classes"].split("+") if "classes" in fields else self.classes
            lines = [line.rsplit(":", 1) for line in fields.get("lines", "").split(",") if line]
            for name in classes:
                if fields.get("whole") == "1":
                    self.tables[name] = {}
                    self.levels.pop(name, None)
                for replica, weight in lines:
                    if float(weight) > 0:
                        self.tables[name][replica] = float(weight)
                    else:
                        self.tables[name].pop(replica, None)
                if "level" in fields:
                    self.levels[name] = float(fields["level"]), int(fields["retry"])
            self.withdrawn |= set(fields.get("out", "").split(",")) - {""}
            self.withdrawn -= set(fields.get("back", "").split(","))
            ticket = fields.get("ticket", ticket)
        if ticket is not None and self.writer is not None:
            took_ms = 1_000 * (time.monotonic() - received_s)
            self.writer.write(f"ack id={self.number} seq={ticket} ms={took_ms:.1f}\r\n".encode())


class Deployment:
    """A governor and the stand-ins of a small deployment, with clients' requests and the rules' checks."""

    def __init__(self, folder: Path, settings: dict[str, Any], seed: int) -> None:
        """Creates a deployment whose record lies in `folder`."""
        self.record = Record(folder / "record.txt")
        self.rng = random.Random(seed)
        self.settings = settings
        self.classes = [row["name"] for row in settings["classes"]]
        self.shares = dict.fromkeys(self.classes, 1.0)  # of the traffic
        self.replicas: dict[str, Replica] = {}
        self.proxies: list[Proxy] = []
        self.outcomes = Counter[str]()
        self.broken: list[str] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._requests = set[asyncio.Task[None]]()
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    def add_replicas(self, names: list[str], zone: str, cores: int, work_s: float) -> None:
        """Adds replicas of one zone."""
        figures = self.settings["guarantees"]
        for name in names:
            capacity = Capacity(cores, work_s, figures["cold"], figures["cold-share"])
            self.replicas[name] = Replica(name, zone, capacity)

    def add_proxy(self, zone: str, rate: float) -> None:
        """Adds a proxy; its standing table has up to five replicas of its zone."""
        own = [replica.name for replica in self.replicas.values() if replica.zone == zone]
        standing = self.rng.sample(own, min(5, len(own)))
        tables = {name: dict.fromkeys(standing, 1.0) for name in self.classes}
        self.proxies.append(Proxy(self.record, len(self.proxies), zone, rate, tables))

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Starts a task that runs until the deployment ends."""
        self._tasks.append(asyncio.ensure_future(work))

    async def open(self) -> None:
        """Starts replicas, discovery and the governor, then proxies, collectors and clients."""
        for replica in self.replicas.values():
            await replica.start()
        self.discovery = Discovery(self.record, self.replicas)
        await self.discovery.start()
        self.governor = Governor(self.record, self.folder, "n1", self.settings)
        self.governor.write_config(self.discovery, f"{self.rng.getrandbits(64):016x}")
        await self.governor.start(self.discovery)
        delay_s = self.settings["specifics"]["push-delay"]
        for proxy in self.proxies:
            own = random.Random(self.rng.random())
            self.start(proxy.follow(self.governor, own, (delay_s / 2, delay_s * 3 / 2)))
            self.start(self._send_requests(proxy))
        for zone in self.settings["azs"]:
            self.start(self._collect(zone))

    async def close(self) -> None:
        """Ends everything that was started."""
        for task in [*self._tasks, *self._requests]:
            task.cancel()
        await asyncio.gather(*self._tasks, *self._requests, return_exceptions=True)
        for replica in self.replicas.values():
            replica.die()
        if hasattr(self, "governor"):
            self.governor.end()
            for line in self.governor.log.read_text(errors="replace").splitlines():
                self.record("log", line)
        self.record("summary", f"requests: {dict(sorted(self.outcomes.items()))}")
        served = {name: replica.served for name, replica in self.replicas.items()}
        self.record("summary", f"run by the replicas: {served}")
        for text in self.broken:
            self.record("BROKEN", text)
        self.record.close()
        self._temporary.cleanup()

    def break_rule(self, text: str) -> None:
        """Notes that the rule was broken."""
        self.record("BROKEN", text)
        self.broken.append(text)

    # Requests

    async def _send_requests(self, proxy: Proxy) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(proxy.rate))
            name = self.rng.choices(self.classes, [self.shares[name] for name in self.classes])[0]
            task = asyncio.ensure_future(self._request(proxy, name))
            self._requests.add(task)
            task.add_done_callback(self._requests.discard)

    async def _request(self, proxy: Proxy, name: str) -> None:
        proxy.offered[name] += 1
        level, retry = proxy.levels.get(name, (1.0, 1))
        if self.rng.random() >= level:
            self.outcomes[f"{name} zone {proxy.zone} not admitted"] += 1
            return
        outcome, tried = "no replica to pick", set[str]()
        for _ in range(2 if retry else 1):
            lines = {r: w for r, w in proxy.available(name).items() if r not in tried}
            if not lines:
                break
            replica = self.rng.choices(list(lines), list(lines.values()))[0]
            tried.add(replica)
            outcome = await self._try(proxy, replica)
            if outcome != "refused":
                break
        if outcome != "answered":
            proxy.unserved[name] += 1
        self.record("request", f"proxy {proxy.number} {name}: sent to {sorted(tried)}, {outcome}")
        self.outcomes[f"{name} zone {proxy.zone} {outcome}"] += 1

    async def _try(self, proxy: Proxy, replica: str) -> str:
        began_s = time.monotonic()
        sums = proxy.sums.setdefault(replica, [0, 0, 0.0])
        sums[0] += 1
        try:
            async with asyncio.timeout(2.5):
                reader, writer = await asyncio.open_connection(HOST, self.replicas[replica].port)
        except (OSError, TimeoutError):
            sums[1] += 1
            return "refused"
        try:
            async with asyncio.timeout(2.5):
                writer.write(f"run {proxy.number}\n".encode())
                answer = (await reader.readline()).decode().split()
            if not answer:
                raise ConnectionError
            proxy.reports[replica] = answer[1]
            sums[2] += time.monotonic() - began_s
            return "answered"
        except (OSError, TimeoutError):
            sums[1] += 1
            return "failed"
        finally:
            writer.close()

    async def _collect(self, zone: str) -> None:
        """Plays a zone's collector, which hands on what the zone's proxies met once a period."""
        period_s = self.settings["specifics"]["period"]
        reader, writer = await asyncio.open_connection(HOST, self.governor.port)
        writer.write(f"agent site={zone}\r\n".encode())
        while True:
            await asyncio.sleep(period_s)
            sums: dict[str, list[float]] = defaultdict(lambda: [0, 0, 0.0])
            reports: dict[str, str] = {}
            lines = []
            for proxy in self.proxies:
                if proxy.zone != zone:
                    continue
                for replica, counts in proxy.sums.items():
                    sums[replica] = [a + b for a, b in zip(sums[replica], counts, strict=True)]
                reports |= proxy.reports
                for name in self.classes if proxy.joined_s is not None else []:
                    lines.append(
                        f"demand id={proxy.number} lane={name} count={proxy.offered[name]} "
                        f"fail={proxy.unserved[name]} over={period_s * 1e3:.1f}"
                    )
                proxy.sums, proxy.reports = {}, {}
                proxy.offered, proxy.unserved = Counter(), Counter()
            for replica, (tries, failures, good_s) in sums.items():
                if tries:
                    mean_ms = 1e3 * good_s / max(1, tries - failures)
                    util = f" util={reports[replica]}" if replica in reports else ""
                    lines.append(
                        f"outcomes site={zone} target={replica} count={tries} fail={failures} "
                        f"mean={mean_ms:.1f} over={period_s * 1e3:.1f}{util}"
                    )
            await asyncio.sleep(self.rng.uniform(0.23, 0.8))
            for line in lines:
                self.record("report", line)
            writer.write("".join(line + "\r\n" for line in lines).encode())

    # The rules

    def may_use(self, name: str, replica_zone: str, proxy_zone: str) -> bool:
        """Whether a proxy's requests of a class may go to a zone."""
        index = self.classes.index(name)
        row = self.settings["classes"][index]
        if self.settings["specifics"]["stays-local"][index] and replica_zone != proxy_zone:
            return False
        return replica_zone in row.get("only-zones", self.settings["azs"])

    async def check_blackhole(self) -> None:
        """Checks the rule on proxies with no replica to pick, as the wire and protocol pages state it."""
        limit_s = self.settings["specifics"]["blackhole"] + SLACK_S
        bare_since: dict[tuple[int, str], float] = {}
        noted = set[tuple[int, str, float]]()
        while True:
            await asyncio.sleep(0.05)
            now_s = time.monotonic()
            for proxy in self.proxies:
                for name in self.classes:
                    key = proxy.number, name
                    is_bare = proxy.joined_s is not None and not proxy.available(name)
                    if not (is_bare and self._warm_listed(name, proxy.zone)):
                        bare_since.pop(key, None)
                        continue
                    begin_s = max(now_s, self.governor.ready_s + GRACE_AFTER_READY_S)
                    since_s = bare_since.setdefault(key, begin_s)
                    if now_s - since_s > limit_s and (*key, since_s) not in noted:
                        noted.add((*key, since_s))
                        self.break_rule(
                            f"proxy {proxy.number} of zone {proxy.zone} has had no replica to pick for "
                            f"{name} for {now_s - since_s:.2f} s (limit {limit_s:.2f} s), while discovery "
                            f"has told of active, warm replicas: {self._warm_listed(name, proxy.zone)}; "
                            f"table {sorted(proxy.tables[name])}, shut out {sorted(proxy.withdrawn)}"
                        )

    def check_failback(self, chance: float) -> None:
        """Checks the rule on cold replicas from now on, with a share of slack for chance.

        What is sent within any span of the stated length has to stay under the multiple of what the replica
        can do in it. The rule is broken if two thirds of that came from proxies whose last message was sent
        after the governor had been told of the start.
        """
        figures = self.settings["guarantees"]
        span_s = figures["tip-after"]
        arrivals: dict[str, deque[tuple[float, bool]]] = defaultdict(deque)
        fallen = set[tuple[str, int]]()

        def on_arrival(replica: Replica, number: int) -> None:
            now_s = time.monotonic()
            told_s, member = self.discovery.told.get(replica.name, (float("inf"), {}))
            proxy = self.proxies[number]
            is_told = member.get("up_since_ms") == replica.started_ms
            knows = is_told and bool(proxy.message_times_s) and proxy.message_times_s[-1] >= told_s
            recent = arrivals[replica.name]
            recent.append((now_s, knows))
            while recent[0][0] < now_s - span_s:
                recent.popleft()
            life = replica.name, replica.started_ms
            if not replica.is_cold or life in fallen:
                return
            sent_s = len(recent) * replica.capacity.work_s
            able_s = span_s * replica.present_capacity(now_s - span_s / 2)
            ratio = sent_s / able_s
            known_share = sum(known for _, known in recent) / len(recent)
            if ratio > figures["fall-multiple"] * (1 + chance) and known_share >= KNOWN_SHARE:
                fallen.add(life)
                age_s = (unix_ms() - life[1]) / 1e3
                limit = figures["fall-multiple"]
                self.break_rule(
                    f"{replica.name} of zone {replica.zone}, started {age_s:.2f} s ago, was sent "
                    f"{sent_s:.2f} s of work in {span_s:.1f} s: {ratio:.2f} times the {able_s:.2f} s that it "
                    f"can do (limit {limit}); {known_share:.0%} of it from proxies written to since the "
                    "governor was told of the start; it falls over"
                )
                replica.die()

        for replica in self.replicas.values():
            replica.on_arrival = on_arrival

    def _warm_listed(self, name: str, zone: str) -> list[str]:
        warm_ms = unix_ms() - 1_000 * self.settings["guarantees"]["cold"]
        return [
            member["id"]
            for _, member in self.discovery.told.values()
            if member["phase"] == "active"
            and member["up_since_ms"] <= warm_ms
            and self.may_use(name, member["locality"], zone)
        ]


def run_case(folder: Path, play: Callable[[Path, bool], Coroutine[Any, Any, list[str]]]) -> int:
    """Plays a case and returns its exit code: 1 if the rule was broken, 0 if it held, 2 if it can't run."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Runs side by side need folders of their own for their records.
    folder = Path(os.environ.get("RECORD_DIR", folder))
    # A run that takes too long ends what it has started.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        broken = asyncio.run(play(folder, has_trouble))
    except KeyboardInterrupt:
        print("the case was stopped", file=sys.stderr)
        return EXIT_UNUSABLE
    except Exception as error:  # noqa: BLE001 - whatever keeps a case from running has the same exit code
        print(f"the case could not run: {error!r}", file=sys.stderr)
        return EXIT_UNUSABLE
    for text in broken[:SHOWN]:
        print(f"broken: {text}")
    if len(broken) > SHOWN:
        print(f"broken: {len(broken)} times in all; record.txt has the rest")
    print(f"{'disruption' if has_trouble else 'no disruption'}: {'BROKEN' if broken else 'held'}")
    return EXIT_BROKEN if broken else EXIT_HELD
