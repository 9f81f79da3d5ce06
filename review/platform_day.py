"""Stand-ins of the operators' platform: discovery, proxies, collectors, replicas and clients.

All of them run on one event loop, on loopback addresses and the real clock. The governors are processes of
their own, started by the line `run` of the deploy file. Proxies follow their tables as they are told; the
channel of each governor has the pace and the delays that the settings state. `Day` counts what the rules of
the pages are about.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import subprocess
import tempfile
import time
import tomllib
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
# The protocol page gives the time limits on sockets this much more.
SOCKET_SLACK_S = 0.3
# The time limits begin no sooner than this after the governor first answered.
START_SLACK_S = 1.0
# The protocol page: from SIGHUP on, time limits wait this long.
RELOAD_SLACK_S = 4.0
# Whatever discovery has to tell counts as told this much later at the latest.
TOLD_AT_LATEST_S = 6.0
HEARTBEAT_S = 2.0
READY_TIMEOUT_S = 30.0


def build_settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment; `changes` replaces figures by their names."""
    specifics = {
        "admission": "share",
        "blackhole": 4.6,
        "choice": "weighted",
        "fixed-cost": 4.0,
        "homed-by-zone": True,
        "ingest-rate": 100.0,
        "lease": 2.5,
        "mutating": [False, True],
        "one-owner": False,
        "pending-max": 3500.0,
        "period": 1.0,
        "proxies": 60,
        "push-delay": 0.134,
        "push-price": 0.12,
        "push-rate": 3500.0,
        "pushes-allowed": 20,
        "retry-default": 1,
        "settle": 5.02,
        "shards": 0,
        "shift-fee": 0.01,
        "smallest-conn-table": 318.0,
        "standing": 6,
        "stays-local": [False, False],
        "strikes": 8,
        "try-factor": 0.8,
        "update-window": 10.0,
        "waits-for-table": 0.3,
        "warm-keys": False,
        "worst-transit": 0.335,
    }
    guarantees = {
        "cold": 16.0,
        "cold-share": 0.2,
        "drain-grace": 2.0,
        "fall-multiple": 4.0,
        "full-may-have-run": True,
        "must-ask-in": 10.0,
        "tip-after": 3.0,
    }
    classes = [
        {
            "name": "check",
            "aim": 1.0,
            "deadline": 2.5,
            "worth": 2.0,
            "late-worth": 0.2,
            "idempotency": "free",
            "group": "all",
            "repeat-window": 5.0,
        },
        {
            "name": "commit",
            "aim": 2.0,
            "deadline": 5.0,
            "worth": 6.0,
            "late-worth": 0.2,
            "idempotency": "single_shot",
            "group": "all",
            "repeat-window": 5.0,
        },
    ]
    settings: dict[str, Any] = {
        "azs": ["a", "b", "c"],
        "classes": classes,
        "discovery": "push",
        "goal": {"whole": 0.7, "worst-class": 0.1, "worst-tenant": 0.0, "worst-window": 0.2},
        "guarantees": guarantees,
        "kind-of-service": "control",
        "kinds": ["large", "small"],
        "limits": {
            "conn-idle": 15.0,
            "connect-timeout": 0.25,
            "cpu-us-per-s": 375000,
            "max-streams": 100,
            "peer-messages": False,
            "probes": True,
        },
        "locality": "a",
        "replicas-of-me": 1,
        "report": {"fields": ["utilization", "outstanding", "recent_ms"], "how": "inline"},
        "resolution": 0.002,
        "self-index": 0,
        "specifics": specifics,
        "weights": "rough",
        "worth-by": "request",
    }
    for name, value in changes.items():
        key = name.replace("_", "-")
        for place in (specifics, guarantees, settings):
            if key in place:
                place[key] = value
                break
        else:
            raise KeyError(key)
    return settings


@dataclass(slots=True)
class RequestKind:
    """What one class of requests asks of a replica."""

    share: float
    work_s: float


class Replica:
    """A replica with some cores that serves requests in order, and answers health checks.

    Its capacity is the seconds of work that it does in a second. From its start it grows evenly from the
    stated share to all of it within `cold_s`. It falls over if within a span of `tip_after` it is sent more
    than `fall_multiple` times what it can do in that span.
    """

    def __init__(self, day: Day, name: str, zone: str, cores: int = 2, speed: float = 1.0) -> None:
        """Create a replica that has run for long."""
        self.day = day
        self.name = name
        self.zone = zone
        self.cores = cores
        self.speed = speed
        self.port = 0
        self.phase = "active"
        self.up = True
        self.hung = False
        self.fallen = False
        self.started_s = -1e9
        self.up_since_ms = 0
        self.waiting: deque[tuple[float, Callable[[bool], None]]] = deque()
        self.running = 0
        self.busy_s = 0.0
        self.busy_since_s = 0.0
        self.incarnation = 0
        self.sent_work: deque[tuple[float, float]] = deque()
        self.util = 0.0
        self.worst_tip = 0.0  # the largest share of what would push it over, while cold
        self._util_mark = (0.0, 0.0)

    def member(self) -> dict[str, Any]:
        """Return its entry in the list of discovery."""
        return {
            "id": self.name,
            "host_port": f"{LOOPBACK}:{self.port}",
            "locality": self.zone,
            "flavor": "large" if self.cores > 2 else "small",
            "cell": 0,
            "phase": self.phase,
            "size": round(self.cores * self.speed, 2),
            "up_since_ms": self.up_since_ms,
        }

    def warmth(self) -> float:
        """Return the share of its capacity that it has now."""
        guarantees = self.day.guarantees
        age = (self.day.now() - self.started_s) / self.day.cold_s
        start = guarantees["cold-share"]
        return min(1.0, start + (1 - start) * max(0.0, age))

    def is_cold(self) -> bool:
        """Return whether it may still be cold by the settings."""
        return self.day.now() - self.started_s < self.day.guarantees["cold"]

    def die(self) -> None:
        """End the process: what it holds is lost at once."""
        self.up = False
        self.incarnation += 1
        lost = list(self.waiting)
        self.waiting.clear()
        self.running = 0
        for _, done in lost:
            done(False)

    def start(self) -> None:
        """Start anew, cold."""
        self.up, self.hung, self.fallen = True, False, False
        self.started_s = self.day.now()
        self.up_since_ms = int(time.time() * 1000)
        self.phase = "active"
        self.sent_work.clear()

    def send(self, work_s: float, done: Callable[[bool], None]) -> str:
        """Take a request; returns `taken`, `refused` (never ran) or `silent`."""
        if not self.up or self.fallen:
            return "refused"
        self._count_work(work_s)
        if self.hung:
            return "silent"
        if len(self.waiting) > 20 * self.cores:
            return "refused"
        self.waiting.append((work_s, done))
        self._run_next()
        return "taken"

    def _count_work(self, work_s: float) -> None:
        if not self.is_cold():
            return
        now_s = self.day.now()
        span_s = self.day.guarantees["tip-after"]
        self.sent_work.append((now_s, work_s))
        while self.sent_work[0][0] < now_s - span_s:
            self.sent_work.popleft()
        sent = sum(work for _, work in self.sent_work)
        can = self.cores * self.speed * self.warmth() * span_s
        tip = sent / (can * self.day.guarantees["fall-multiple"])
        self.worst_tip = max(self.worst_tip, tip)
        if tip > 1 and not self.fallen:
            self.fallen = True
            self.day.record(
                "fell", f"{self.name} fell over: sent {sent:.1f} s of work in {span_s} s, can {can:.1f}"
            )

    def _run_next(self) -> None:
        while self.running < self.cores and self.waiting:
            work_s, done = self.waiting.popleft()
            self.running += 1
            duration_s = work_s / self.speed / self.warmth()
            self.day.loop.call_later(duration_s, self._finish, self.incarnation, duration_s, done)

    def _finish(self, incarnation: int, duration_s: float, done: Callable[[bool], None]) -> None:
        if incarnation != self.incarnation:
            done(False)
            return
        self.running -= 1
        self.busy_s += duration_s
        done(True)
        self._run_next()

    def refresh_util(self) -> None:
        """Measure how busy its cores were since the last call."""
        now_s = self.day.now()
        then_s, busy_s = self._util_mark
        self.util = min(1.0, (self.busy_s - busy_s) / max(1e-3, self.cores * (now_s - then_s)))
        self._util_mark = (now_s, self.busy_s)

    def report(self) -> str:
        """Return its load report."""
        inflight = self.running + len(self.waiting)
        return f"util:{self.util:.3f},inflight:{inflight},latency_ms:{200 / self.speed:.0f}"

    async def serve_probe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer health checks on its address."""
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                if self.hung:
                    await asyncio.sleep(60)
                if not self.up or self.fallen:
                    break
                inflight = self.running + len(self.waiting)
                body = f"TEXT inflight={inflight}, util={self.util:.3f}".encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()


class Discovery:
    """The agent of discovery on one governor's machine: watches of one list that all agents share."""

    def __init__(self, day: Day, governor: Governor) -> None:
        """Create an agent that knows the current list."""
        self.day = day
        self.governor = governor
        self.port = 0
        self.silent = False
        self.watches: set[asyncio.StreamWriter] = set()
        self.revision = day.revision
        self.members = {m["id"]: m for m in day.members()}
        self.log: list[tuple[int, list[dict[str, Any]]]] = []
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self._beat = asyncio.create_task(self._heartbeat())

    async def _heartbeat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._write_all(b"\n")

    def _write_all(self, data: bytes) -> None:
        if self.silent:
            return
        for writer in list(self.watches):
            with contextlib.suppress(ConnectionError, RuntimeError):
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    def _document(self, members: Iterable[dict[str, Any]], complete: bool) -> bytes:
        document = {"revision": self.revision, "complete": complete, "members": list(members)}
        return json.dumps(document).encode() + b"\n"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, ValueError):
            request = (await reader.readuntil(b"\r\n\r\n")).decode()
            path = request.split(" ")[1]
            while self.silent:
                await asyncio.sleep(0.02)
            if "watch=1" not in path:
                body = self._document(self.members.values(), True)
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body))
                return
            after = int(path.rpartition("from=")[2] or 0)
            writer.write(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")
            if self.log and after >= self.log[0][0] - 1 and after <= self.revision:
                missed: dict[str, dict[str, Any]] = {}
                for revision, members in self.log:
                    if revision > after:
                        missed |= {m["id"]: m for m in members}
                data = self._document(missed.values(), False)
            else:
                data = self._document(self.members.values(), True)
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            self.watches.add(writer)
            await reader.read()
        self.watches.discard(writer)
        writer.close()

    def push(self, members: list[dict[str, Any]]) -> None:
        """Take changed entries in, and write them to the watches; they count as told now."""
        self.revision += 1
        self.log.append((self.revision, members))
        for member in members:
            if member["phase"] == "left":
                self.members.pop(member["id"], None)
            else:
                self.members[member["id"]] = member
        self._write_all(self._document(members, False))
        self.governor.tell(members, self.revision, at_latest=self.silent or not self.watches)

    def stop(self) -> None:
        """Take no new connection and close the open ones."""
        assert self.server is not None
        self.server.close()
        self._beat.cancel()
        for writer in list(self.watches):
            writer.close()


class Governor:
    """One governor: its process, its channel, and what it has been told."""

    def __init__(self, day: Day, name: str, index: int, zone: str) -> None:
        """Create a governor that is not started."""
        self.day = day
        self.name = name
        self.index = index
        self.zone = zone
        self.port = 0
        self.folder = day.folder / name
        self.child: subprocess.Popen[bytes] | None = None
        self.discovery = Discovery(day, self)
        self.ready_s = -1.0
        self.limits_from_s = 1e18
        self.told: dict[str, tuple[float, str]] = {}  # by replica: when it was told, and the phase
        self.known: dict[str, dict[str, Any]] = {}
        self.told_revisions: dict[str, int] = {}  # by replica: the revision of the last change that was told
        self.proxies: dict[int, Proxy] = {}
        self.queue: deque[Message] = deque()
        self.waiting_lines = 0.0
        self.pace = 1.0
        self.sums: dict[tuple[str, str], Sum] = {}
        self.unsent: dict[tuple[str, ...], Sum] = {}
        self.collectors: dict[str, asyncio.StreamWriter] = {}
        self.tasks: list[asyncio.Task[None]] = []
        self.is_up = False
        self.stopped = False
        self._wake = asyncio.Event()

    async def start(self, known: dict[str, Any] | None = None) -> None:
        """Start the process and wait until it answers a sign of life."""
        if not self.port:
            with contextlib.closing(__import__("socket").create_server((LOOPBACK, 0))) as taken:
                self.port = taken.getsockname()[1]
            await self.discovery.start()
        self.folder.mkdir(exist_ok=True)
        self.stopped = False
        self.queue.clear()
        self.waiting_lines = 0.0
        self.sums.clear()
        self.unsent.clear()
        self.write_config(known)
        (self.folder / "tmp").mkdir(exist_ok=True)
        environment = {
            "PATH": os.environ.get("PATH", "/usr/bin:/bin"),
            "TMPDIR": str(self.folder / "tmp"),
            "ROUTER_NAME": self.name,
            "ROUTER_LISTEN": f"{LOOPBACK}:{self.port}",
            "ROUTER_DISCOVERY": f"{LOOPBACK}:{self.discovery.port}",
            "ROUTER_CONFIG": str(self.folder / "config.json"),
        }
        with (self.folder / "log").open("ab") as log:
            self.child = subprocess.Popen(
                ["/bin/sh", "-c", self.day.run_line], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.day.children.append(self.child)
        began_s = self.day.now()
        while True:
            with contextlib.suppress(OSError, ConnectionError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"probe\r\n")
                line = await asyncio.wait_for(reader.readline(), 5)
                writer.close()
                if line.startswith(b"alive"):
                    break
            if self.child.poll() is not None or self.day.now() - began_s > READY_TIMEOUT_S:
                raise RuntimeError(f"governor {self.name} did not become ready")
            await asyncio.sleep(0.02)
        self.ready_s = self.day.now()
        self.limits_from_s = self.ready_s + START_SLACK_S
        self.is_up = True
        told_s = self.day.now()
        self.known = dict(self.discovery.members)
        self.told = {n: (told_s, m["phase"]) for n, m in self.known.items()}
        self.told_revisions = dict.fromkeys(self.known, self.discovery.revision)
        self.day.record("ready", f"governor {self.name} after {self.ready_s - began_s:.2f} s")
        for task in self.tasks:
            task.cancel()
        self.tasks = [
            asyncio.create_task(self._send_lines()),
            asyncio.create_task(self._watch_child(self.child)),
        ]
        self.tasks += [asyncio.create_task(self._collect(zone)) for zone in self.day.settings["azs"]]
        self.tasks.append(asyncio.create_task(self._report()))

    def read_log(self) -> list[str]:
        """Return the lines that the process wrote, with its name."""
        path = self.folder / "log"
        lines = path.read_text(errors="replace").splitlines() if path.exists() else []
        return [f"{self.name}: {line}" for line in lines]

    def write_config(self, known: dict[str, Any] | None = None) -> None:
        """Write the configuration whole."""
        settings = json.loads(json.dumps(self.day.settings))
        settings["locality"] = self.zone
        settings["self-index"] = self.index
        settings["replicas-of-me"] = len(self.day.governors)
        members = known or {
            "revision": self.discovery.revision,
            "complete": True,
            "members": list(self.discovery.members.values()),
        }
        document = {
            "name": self.name,
            "listen": f"{LOOPBACK}:{self.port}",
            "discovery": f"{LOOPBACK}:{self.discovery.port}",
            "seed": f"{self.day.random.getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": members,
            "settings": settings,
        }
        path = self.folder / "config.json"
        part = path.with_suffix(".part")
        part.write_text(json.dumps(document))
        part.replace(path)

    async def move_discovery(self) -> None:
        """Name another address in the configuration, send SIGHUP, and close the old address 1.5 s later."""
        old = self.discovery
        self.discovery = Discovery(self.day, self)
        self.discovery.revision, self.discovery.log = old.revision, list(old.log)
        self.discovery.members = dict(old.members)
        await self.discovery.start()
        self.write_config()
        assert self.child is not None
        assert old.server is not None
        old.server.close()
        self.child.send_signal(signal.SIGHUP)
        self.day.record("reload", f"{self.name}: discovery moves to another address")
        self.limits_from_s = max(self.limits_from_s, self.day.now() + RELOAD_SLACK_S)
        self.day.loop.call_later(1.5, old.stop)

    def tell(self, members: list[dict[str, Any]], revision: int, at_latest: bool) -> None:
        """Record what the governor has been told; what could not be written counts as told 6 s later."""
        if at_latest:
            self.day.loop.call_later(TOLD_AT_LATEST_S, self._told, members, revision)
        else:
            self._told(members, revision)

    def _told(self, members: list[dict[str, Any]], revision: int) -> None:
        now_s = self.day.now()
        for member in members:
            name, phase = member["id"], member["phase"]
            if revision < self.told_revisions.get(name, 0):
                continue  # a later change of it has been told meanwhile
            self.told_revisions[name] = revision
            before = self.told.get(name)
            restarted = self.known.get(name, {}).get("up_since_ms") != member["up_since_ms"]
            if before is None or restarted or (before[1] == "active") != (phase == "active"):
                self.told[name] = (now_s, phase)
            else:
                self.told[name] = (before[0], phase)
            self.known[name] = member

    async def _watch_child(self, child: subprocess.Popen[bytes]) -> None:
        while child.poll() is None:
            await asyncio.sleep(0.05)
        self.is_up = False
        if not self.stopped:
            self.day.crashes.append(f"governor {self.name} ended by itself with {child.returncode}")
            self.day.record("crash", self.day.crashes[-1])

    async def stop(self, number: int = signal.SIGTERM) -> None:
        """End the process."""
        assert self.child is not None
        self.stopped = True
        self.is_up = False
        self.child.send_signal(number)
        await asyncio.to_thread(self.child.wait, 10)
        self.queue.clear()
        self.waiting_lines = 0.0
        for task in self.tasks:
            task.cancel()

    # The channel

    def enter(self, message: Message) -> None:
        """Take a message into the channel."""
        self.queue.append(message)
        self.waiting_lines += message.lines
        limit = self.day.specifics["pending-max"]
        if self.waiting_lines > self.day.most_waiting.get(self.name, 0.0):
            self.day.most_waiting[self.name] = self.waiting_lines
            if self.waiting_lines > limit:
                self.day.record("queue", f"{self.name}: {self.waiting_lines:.0f} lines wait, {limit:.0f} may")
        self._wake.set()

    async def _send_lines(self) -> None:
        specifics = self.day.specifics
        free_s = self.day.now()
        while True:
            if not self.queue:
                self._wake.clear()
                await self._wake.wait()
                free_s = max(free_s, self.day.now())
            message = self.queue[0]
            free_s += message.lines / (specifics["push-rate"] * self.pace)
            await asyncio.sleep(max(0.0, free_s - self.day.now()))
            if self.queue and self.queue[0] is message:
                self.queue.popleft()
                self.waiting_lines -= message.lines
                mean_s, most_s = specifics["push-delay"], specifics["worst-transit"]
                delay_s = min(most_s, self.day.random.gauss(mean_s, mean_s / 4))
                message.proxy.receive(message, max(0.005, delay_s))

    # Reports

    async def _collect(self, zone: str) -> None:
        while True:
            with contextlib.suppress(OSError, ConnectionError):
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(f"agent site={zone}\r\n".encode())
                self.collectors[zone] = writer
                await reader.read()
            await asyncio.sleep(0.2)

    async def _report(self) -> None:
        specifics = self.day.specifics
        period_s = specifics["period"]
        while True:
            await asyncio.sleep(period_s)
            now_s = self.day.now()
            sums, self.sums = self.sums, {}
            late_s = self.day.report_delay_s
            self.day.loop.call_later(late_s, self._queue_reports, sums)
            await self._write_reports(now_s, period_s, specifics["ingest-rate"])

    def _queue_reports(self, sums: dict[tuple[str, str], Sum]) -> None:
        for key, total in sums.items():
            old = self.unsent.get(("outcomes", *key))
            self.unsent[("outcomes", *key)] = total if old is None else old.plus(total)
        for proxy in list(self.proxies.values()):
            for name, total in proxy.take_demand().items():
                key = ("demand", str(proxy.number), name)
                old = self.unsent.get(key)
                self.unsent[key] = total if old is None else old.plus(total)

    async def _write_reports(self, now_s: float, period_s: float, rate: float) -> None:
        budget = int(rate * period_s)
        for key in list(self.unsent)[:budget]:
            total = self.unsent.pop(key)
            over_ms = max(1.0, total.window_s * 1000)
            if key[0] == "outcomes":
                _, zone, target = key
                replica = self.day.replicas.get(target)
                writer = self.collectors.get(zone)
                mean_ms = total.elapsed_s / max(1, total.count - total.fail) * 1000
                util = f" util={replica.report()}" if replica is not None and total.count > total.fail else ""
                line = (
                    f"outcomes site={zone} target={target} count={total.count} fail={total.fail} "
                    f"mean={mean_ms:.1f} over={over_ms:.1f}{util}\r\n"
                )
            else:
                _, number, name = key
                proxy = self.proxies.get(int(number))
                writer = proxy.writer if proxy is not None else None
                line = (
                    f"demand id={number} lane={name} count={total.count} fail={total.fail} "
                    f"over={over_ms:.1f}\r\n"
                )
            if writer is not None and not writer.is_closing():
                with contextlib.suppress(ConnectionError, RuntimeError):
                    writer.write(line.encode())


@dataclass(slots=True)
class Sum:
    """Counts over a window."""

    count: int = 0
    fail: int = 0
    elapsed_s: float = 0.0
    window_s: float = 1.0

    def plus(self, other: Sum) -> Sum:
        """Return the sum of two windows."""
        return Sum(
            self.count + other.count,
            self.fail + other.fail,
            self.elapsed_s + other.elapsed_s,
            self.window_s + other.window_s,
        )


@dataclass(slots=True)
class Message:
    """One message of the channel, for one proxy."""

    proxy: Proxy
    stream: int
    parts: list[dict[str, str]]
    lines: float
    entered_s: float


class Proxy:
    """A proxy: follows its tables as written, and keeps tables and withdrawals when its stream breaks."""

    def __init__(self, day: Day, number: int, zone: str, rate: float) -> None:
        """Create a proxy with its standing table."""
        self.day = day
        self.number = number
        self.zone = zone
        self.rate = rate
        self.classes = [c["name"] for c in day.settings["classes"]]
        local = [r for r in day.replicas.values() if r.zone == zone and r.phase == "active"]
        pool = local if len(local) >= 3 else list(day.replicas.values())
        chosen = day.random.sample(pool, min(len(pool), day.specifics["standing"]))
        self.tables = {
            name: {r.name: 1.0 for r in chosen if day.may_use(name, r, zone)} for name in self.classes
        }
        self.levels: dict[str, tuple[float, int]] = {}
        self.out: set[str] = set()
        self.is_new = True
        self.governor: Governor | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.stream = 0
        self.joined_s = 0.0
        self.message_times: deque[float] = deque()
        self.free_s = 0.0
        self.demand: dict[str, Sum] = {}
        self.demand_since_s = 0.0
        self.empty_since: dict[str, float | None] = dict.fromkeys(self.classes)
        self.blocked_until_s = 0.0
        self.silenced = asyncio.Event()
        self.avoid: dict[str, float] = {}
        self.strikes: dict[str, int] = {}

    async def run(self) -> None:
        """Keep a stream to a governor open."""
        while True:
            governor = self.day.choose_governor(self)
            if governor is None or self.day.now() < self.blocked_until_s:
                await asyncio.sleep(0.1)
                continue
            with contextlib.suppress(OSError, ConnectionError, asyncio.IncompleteReadError):
                await self._stream(governor)
            self._left()
            await asyncio.sleep(self.day.random.uniform(*self.day.redial_s))

    async def _stream(self, governor: Governor) -> None:
        reader, writer = await asyncio.open_connection(LOOPBACK, governor.port, limit=1 << 21)
        self.stream += 1
        self.governor, self.writer = governor, writer
        self.joined_s = self.day.now()
        self.message_times.clear()
        governor.proxies[self.number] = self
        self.demand, self.demand_since_s = {}, self.joined_s
        self.empty_since = dict.fromkeys(self.classes)
        hello = f"hello id={self.number} site={self.zone} rps={self.rate:.2f} new={int(self.is_new)}\r\n"
        writer.write(hello.encode())
        parts: list[dict[str, str]] = []
        self.silenced.clear()
        while line := await self._read_line(reader):
            text = line.decode().strip()
            kind, *words = text.split(" ")
            if kind != "push":
                if kind == "error":
                    self.day.record("error", f"proxy {self.number} got {text}")
                continue
            fields = dict(word.split("=", 1) for word in words)
            parts.append(fields)
            if fields.get("more") != "1":
                self._enter(governor, parts)
                parts = []

    async def _read_line(self, reader: asyncio.StreamReader) -> bytes:
        """Return the next line; nothing once the stream has ended or fallen silent."""
        reading = asyncio.ensure_future(reader.readline())
        silence = asyncio.ensure_future(self.silenced.wait())
        await asyncio.wait((reading, silence), return_when=asyncio.FIRST_COMPLETED)
        silence.cancel()
        if not reading.done():
            reading.cancel()
            return b""
        return reading.result()

    def fall_silent(self, for_s: float) -> None:
        """Let the stream fall silent: it stays open, and neither side hears of the other."""
        if self.writer is None:
            return
        self.day.loop.call_later(for_s, self.writer.close)
        self.writer = None
        self.silenced.set()

    def _enter(self, governor: Governor, parts: list[dict[str, str]]) -> None:
        now_s = self.day.now()
        lines = self.day.specifics["fixed-cost"] + sum(_count_lines(part) for part in parts)
        self.message_times.append(now_s)
        window_s = self.day.specifics["update-window"]
        while self.message_times[0] <= now_s - window_s:
            self.message_times.popleft()
        most = self.day.specifics["pushes-allowed"]
        self.day.most_messages = max(self.day.most_messages, len(self.message_times))
        if most and len(self.message_times) > most:
            self.day.record(
                "messages", f"proxy {self.number}: {len(self.message_times)} messages in {window_s} s"
            )
        governor.enter(Message(self, self.stream, parts, lines, now_s))

    def receive(self, message: Message, delay_s: float) -> None:
        """Apply a message that has left the channel, after its way here, in order."""
        at_s = max(self.day.now() + delay_s, self.free_s) + message.lines * self.day.apply_s
        self.free_s = at_s
        self.day.loop.call_later(at_s - self.day.now(), self._apply, message)

    def _apply(self, message: Message) -> None:
        if message.stream != self.stream or self.governor is None:
            return
        for part in message.parts:
            self._apply_part(part)
        self.is_new = False
        ticket = [part["ticket"] for part in message.parts if "ticket" in part]
        if ticket and self.writer is not None and not self.writer.is_closing() and self.day.acks(self):
            elapsed_ms = (self.day.now() - message.entered_s) * 1000
            self.writer.write(f"ack id={self.number} seq={ticket[-1]} ms={elapsed_ms:.1f}\r\n".encode())
        self.check_lines()

    def _apply_part(self, part: dict[str, str]) -> None:
        names = part["classes"].split("+") if "classes" in part else self.classes
        lines = [pair.rsplit(":", 1) for pair in part.get("lines", "").split(",") if pair]
        for replica, _ in lines:
            if replica not in self.day.ever_listed:
                self.day.record("unknown", f"proxy {self.number} was sent {replica}")
        for name in names:
            if part.get("whole") == "1":
                self.tables[name] = {}
                self.levels.pop(name, None)
            for replica, weight in lines:
                if float(weight) > 0:
                    self.tables[name][replica] = float(weight)
                else:
                    self.tables[name].pop(replica, None)
            if "level" in part:
                self.levels[name] = (float(part["level"]), int(part["retry"]))
        self.out |= {name for name in part.get("out", "").split(",") if name}
        self.out -= {name for name in part.get("back", "").split(",") if name}

    def usable(self, name: str) -> dict[str, float]:
        """Return the lines of a class that may be picked."""
        return {replica: w for replica, w in self.tables[name].items() if replica not in self.out}

    def check_lines(self) -> None:
        """Watch the rule on proxies with nothing to pick."""
        now_s = self.day.now()
        governor = self.governor
        for name in self.classes:
            if governor is None or self.usable(name) or not self.day.has_warm(governor, name, self.zone):
                self.empty_since[name] = None
                continue
            if self.empty_since[name] is None:
                self.empty_since[name] = now_s
            since_s = max(self.empty_since[name] or now_s, governor.limits_from_s, self.joined_s)
            for_s = now_s - since_s
            self.day.longest_empty_s = max(self.day.longest_empty_s, for_s)
            if for_s > self.day.specifics["blackhole"] + SOCKET_SLACK_S:
                self.day.record("empty", f"proxy {self.number}: nothing to pick for {name} for {for_s:.2f} s")

    def _left(self) -> None:
        if self.governor is not None and self.governor.proxies.get(self.number) is self:
            del self.governor.proxies[self.number]
        if self.writer is not None:
            self.writer.close()
        self.governor, self.writer = None, None

    def take_demand(self) -> dict[str, Sum]:
        """Return what came to it since the last call."""
        demand, self.demand = self.demand, {}
        window_s = self.day.now() - self.demand_since_s
        self.demand_since_s = self.day.now()
        for total in demand.values():
            total.window_s = window_s
        return demand

    def take(self, name: str, work_s: float) -> None:
        """Take one request of a client."""
        total = self.demand.setdefault(name, Sum())
        total.count += 1
        self.day.asked += 1
        level, retry = self.levels.get(name, (1.0, self.day.specifics["retry-default"]))
        if level < 1 and self.day.random.random() > level:
            self.day.refused += 1
            return
        if not self._try(name, work_s, None) and retry in (1, 2, 3) and not self._try(name, work_s, None):
            total.fail += 1

    def _try(self, name: str, work_s: float, _: None) -> bool:
        now_s = self.day.now()
        lines = self.usable(name)
        chosen = {r: w for r, w in lines.items() if self.avoid.get(r, 0.0) <= now_s} or lines
        if not chosen:
            self.day.refused += 1
            return True
        target = self.day.random.choices(list(chosen), list(chosen.values()))[0]
        replica = self.day.replicas[target]
        self.day.check_send(self, target, name)
        governor = self.governor
        sums = governor.sums.setdefault((self.zone, target), Sum()) if governor is not None else Sum()
        sums.window_s = self.day.specifics["period"]
        sums.count += 1

        def done(served: bool) -> None:
            if served:
                sums.elapsed_s += self.day.now() - now_s
                self.strikes[target] = 0
                self.day.answered += 1
            else:
                sums.fail += 1
                self._strike(target)

        outcome = replica.send(work_s, done)
        if outcome == "refused":
            sums.fail += 1
            self._strike(target)
            return False
        if outcome == "silent":
            sums.fail += 1
            self._strike(target)
        return True

    def _strike(self, target: str) -> None:
        self.strikes[target] = self.strikes.get(target, 0) + 1
        if self.day.specifics["strikes"] and self.strikes[target] >= self.day.specifics["strikes"]:
            self.strikes[target] = 0
            self.avoid[target] = self.day.now() + self.day.random.uniform(2.4, 7.1)


def _count_lines(part: dict[str, str]) -> int:
    names = part.get("classes", "").count("+") + 1 if "classes" in part else 1
    lists = sum(
        len([word for word in part.get(key, "").split(",") if word]) for key in ("lines", "out", "back")
    )
    return lists + ("whole" in part) + ("ticket" in part) + (names if "level" in part else 0)


@dataclass
class Day:
    """One run: the parts, what they did, and which rules were broken."""

    settings: dict[str, Any]
    seed: int = 1
    requests_per_s: float = 120.0
    kinds: dict[str, RequestKind] = field(default_factory=dict)
    cold_s: float = 16.0
    report_delay_s: float = 0.6
    apply_s: float = 40e-6
    redial_s: tuple[float, float] = (0.2, 2.4)
    record_file: Path | None = None

    def __post_init__(self) -> None:
        """Create the parts that do not need an event loop."""
        self.random = random.Random(self.seed)
        self.began_s = time.monotonic()
        self.specifics = self.settings["specifics"]
        self.guarantees = self.settings["guarantees"]
        self.kinds = self.kinds or {"check": RequestKind(0.7, 0.23), "commit": RequestKind(0.3, 0.39)}
        self.run_line = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        self.replicas: dict[str, Replica] = {}
        self.governors: list[Governor] = []
        self.proxies: list[Proxy] = []
        self.children: list[subprocess.Popen[bytes]] = []
        self.ever_listed: set[str] = set()
        self.revision = 1
        self.crashes: list[str] = []
        self.events: list[str] = []
        self.broken: dict[str, int] = {}
        self.most_waiting: dict[str, float] = {}
        self.most_messages = 0
        self.longest_empty_s = 0.0
        self.latest_send_s = 0.0
        self.late_sends: dict[str, list[float]] = {}
        self.asked = self.answered = self.refused = 0
        self.acks: Callable[[Proxy], bool] = lambda _: True
        self.tasks: list[asyncio.Task[None]] = []
        self.background = set[asyncio.Task[Any]]()
        self.load = 1.0

    def now(self) -> float:
        """Return the seconds since the day began."""
        return time.monotonic() - self.began_s

    def record(self, kind: str, text: str) -> None:
        """Keep one line for the record; counts by kind."""
        self.broken[kind] = self.broken.get(kind, 0) + 1
        if self.broken[kind] <= 400:
            self.events.append(f"{self.now():8.3f} {kind}: {text}")

    def members(self) -> list[dict[str, Any]]:
        """Return the list of discovery at the start."""
        return [replica.member() for replica in self.replicas.values()]

    def may_use(self, name: str, replica: Replica, zone: str) -> bool:
        """Return whether a class may go to a replica from a zone."""
        names = [c["name"] for c in self.settings["classes"]]
        row = self.settings["classes"][names.index(name)]
        if "only-zones" in row and replica.zone not in row["only-zones"]:
            return False
        return not self.specifics["stays-local"][names.index(name)] or replica.zone == zone

    def has_warm(self, governor: Governor, name: str, zone: str) -> bool:
        """Return whether the governor's list shows a ready, open replica that is warm."""
        oldest_ms = (time.time() - self.guarantees["cold"]) * 1000
        return any(
            told[1] == "active"
            and governor.known[replica]["up_since_ms"] <= oldest_ms
            and self.may_use(name, self.replicas[replica], zone)
            for replica, told in governor.told.items()
        )

    def check_send(self, proxy: Proxy, target: str, name: str) -> None:
        """Watch the rule on drains, and that on places."""
        governor = proxy.governor
        if not self.may_use(name, self.replicas[target], proxy.zone):
            self.record("place", f"proxy {proxy.number} sent {name} to {target}")
        if governor is None:
            return
        told_s, phase = governor.told.get(target, (0.0, "active"))
        if phase == "active":
            return
        late_s = self.now() - max(told_s, proxy.joined_s, governor.limits_from_s)
        self.latest_send_s = max(self.latest_send_s, late_s)
        if late_s > self.guarantees["drain-grace"] + SOCKET_SLACK_S:
            self.late_sends.setdefault(target, []).append(late_s)
            self.record(
                "drain", f"proxy {proxy.number} sent {name} to {target}, {late_s:.2f} s after the telling"
            )

    def choose_governor(self, proxy: Proxy) -> Governor | None:
        """Return the governor that a proxy dials."""
        up = [governor for governor in self.governors if governor.is_up]
        own = [governor for governor in up if governor.zone == proxy.zone]
        choices = own if own and self.specifics["homed-by-zone"] else up
        return self.random.choice(choices) if choices else None

    async def add_replica(
        self, name: str, zone: str, cores: int = 2, speed: float = 1.0, fresh: bool = False
    ) -> Replica:
        """Add a replica with a listening address; a `fresh` one has just started."""
        replica = Replica(self, name, zone, cores, speed)
        server = await asyncio.start_server(replica.serve_probe, LOOPBACK, 0)
        replica.port = server.sockets[0].getsockname()[1]
        self.replicas[name] = replica
        self.ever_listed.add(name)
        if fresh:
            replica.start()
        return replica

    def list_change(self, replicas: Iterable[Replica], delays_s: tuple[float, float] = (0.0, 0.0)) -> None:
        """Tell all governors of the present state of these replicas."""
        members = [replica.member() for replica in replicas]
        for member in members:
            self.record("list", f"{member['id']} {member['phase']}")
        for governor in self.governors:
            delay_s = self.random.uniform(*delays_s)
            self.loop.call_later(delay_s, lambda g=governor: g.discovery.push(members))

    async def begin(self, zones_of_governors: list[str]) -> None:
        """Start governors, proxies and clients."""
        self.loop = asyncio.get_running_loop()
        for index, zone in enumerate(zones_of_governors):
            self.governors.append(Governor(self, f"g{index}", index, zone))
        await asyncio.gather(*(governor.start() for governor in self.governors))
        self.tasks += [asyncio.create_task(proxy.run()) for proxy in self.proxies]
        self.tasks += [asyncio.create_task(self._clients()), asyncio.create_task(self._watch())]

    def add_proxies(self, count: int, zones: list[str]) -> None:
        """Add proxies; a few carry far more traffic than most."""
        sizes = [self.random.lognormvariate(0, 0.9) for _ in range(count)]
        total = sum(sizes)
        for number in range(count):
            rate = self.requests_per_s * sizes[number] / total
            self.proxies.append(Proxy(self, number, zones[number % len(zones)], rate))

    async def _clients(self) -> None:
        rates = [proxy.rate for proxy in self.proxies]
        names = list(self.kinds)
        shares = [kind.share for kind in self.kinds.values()]
        next_s = self.now()
        while True:
            next_s += self.random.expovariate(self.requests_per_s * self.load)
            if next_s > self.now():
                await asyncio.sleep(next_s - self.now())
            proxy = self.random.choices(self.proxies, rates)[0]
            name = self.random.choices(names, shares)[0]
            work_s = self.kinds[name].work_s * self.random.lognormvariate(-0.1, 0.45)
            proxy.take(name, work_s)

    async def _watch(self) -> None:
        count = 0
        while True:
            await asyncio.sleep(0.05)
            count += 1
            for proxy in self.proxies:
                proxy.check_lines()
            if count % 10 == 0:
                for replica in self.replicas.values():
                    replica.refresh_util()

    async def end(self) -> None:
        """End all that was started, and write the record."""
        for task in self.tasks:
            task.cancel()
        for governor in self.governors:
            for task in governor.tasks:
                task.cancel()
        for child in self.children:
            if child.poll() is None:
                child.terminate()
                try:
                    child.wait(3)
                except subprocess.TimeoutExpired:
                    child.kill()
                    child.wait()

    def summary(self) -> list[str]:
        """Return what was measured."""
        worst_tip = max((r.worst_tip for r in self.replicas.values()), default=0.0)
        return [
            f"asked {self.asked}, answered {self.answered}, refused {self.refused}",
            f"latest send after a telling {self.latest_send_s:.2f} s, "
            f"grace {self.guarantees['drain-grace']} + {SOCKET_SLACK_S} s",
            f"longest without a line {self.longest_empty_s:.2f} s, limit {self.specifics['blackhole']} s",
            f"most messages to one proxy in {self.specifics['update-window']} s: {self.most_messages}, "
            f"limit {self.specifics['pushes-allowed']}",
            f"most lines waiting {max(self.most_waiting.values(), default=0):.0f}, "
            f"limit {self.specifics['pending-max']:.0f}",
            f"worst load of a cold replica, as a share of what pushes it over: {worst_tip:.2f}",
            f"counts {self.broken}",
        ]
