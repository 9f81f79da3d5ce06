"""Replicas: cores that share their speed among the work in hand, a waiting room, a cold start, failures.

Work is not burned but timed: a step each few milliseconds takes from what is left of each job, so that a
dozen replicas fit one process and a busy machine does not look like a busy replica.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.cells.assignment import ReplicaFence, TenantAssignment, WriteDecision
from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response
from gradehoist.protocol import http, orca
from gradehoist.testbed import scenario_plan as p
from gradehoist.testbed.process import Process, dice, now

STEP = 0.004  # seconds between steps: far under any latency goal
THRASH = 0.03  # part of its speed that a replica loses for each held transaction beyond three a core


@dataclass
class Job:
    work: float  # milliseconds at speed 1 still to do
    done: asyncio.Future[None]
    connection: Connection | None = None
    tx: str = ""
    write: tuple[str, str, int] | None = None  # tenant, cell, generation: a write under the fence

    @property
    def key(self) -> str:
        """A client's repeats share it."""
        return self.tx.partition(".")[0]


@dataclass
class Replica:
    process: Process
    plan: p.Replica
    whole: p.Plan
    boot: int = 0
    server: HttpServer | None = None
    started: int = 0  # 0: long past
    running: list[Job] = field(default_factory=list)
    waiting: deque[Job] = field(default_factory=deque)
    slow: float = 1.0
    taken: float = 0.0
    shown: float = 1.0
    hung: bool = False
    fails: float = 0.0  # the share of its work that its release fails
    draining: bool = False
    arrived: deque[tuple[int, float]] = field(default_factory=deque)
    busy: float = 0.0
    report: orca.OrcaReport = field(default_factory=orca.OrcaReport)
    served: deque[float] = field(default_factory=lambda: deque(maxlen=50))
    connections: set[Connection] = field(default_factory=set)

    @property
    def writes(self) -> set[str]:
        return {c.name for c in self.whole.classes if c.repeat == "single"}

    def __post_init__(self) -> None:
        self.chance = dice(self.whole.seed, "fails", self.plan.name)
        # What the fence keeps outlives the process, here as this object does.
        self.fence = ReplicaFence(self.plan.name, self.whole.workers.get(self.plan.name, ""))

    def start(self, cold: bool) -> None:
        self.fence = self.fence.restarted()
        self.boot += 1
        self.started = now() if cold else 0
        self.running, self.waiting = [], deque()
        self.arrived.clear()
        self.hung = self.draining = False
        self.slow, self.fails = 1.0, 0.0
        self.server = HttpServer(self.handle)
        self.server.listen(self.plan.port, "127.0.0.1", backlog=1024)
        self.process.record("up", replica=self.plan.name, boot=self.boot, cold=cold)

    def die(self, why: str) -> None:
        if self.server is None:
            return
        self.server.abort()
        self.server = None
        for job in (*self.running, *self.waiting):
            if not job.done.done():
                job.done.cancel()
        self.running, self.waiting = [], deque()
        self.connections.clear()
        self.process.record("down", replica=self.plan.name, reason=why)

    def warmth(self, at: int) -> float:
        """The part of its full speed that it has: from `cold_from` evenly to 1."""
        if not self.started or self.plan.cold <= 0:
            return 1.0
        age = (at - self.started) / self.plan.cold
        return min(1.0, self.plan.cold_from + (1 - self.plan.cold_from) * age)

    def step(self, elapsed: float) -> None:
        at = now()
        while self.waiting and len(self.running) < self.plan.slots:
            self.running.append(self.waiting.popleft())
        held = len(self.running) + len(self.waiting)
        cores = self.plan.cores
        if self.running and not self.hung:
            over = max(0.0, held / cores - 3)
            speed = self.plan.speed * self.warmth(at) * (1 - self.taken) / self.slow / (1 + THRASH * over)
            each = elapsed * 1e3 * speed * min(1.0, cores / len(self.running))
            for job in self.running:
                job.work -= each
            for job in [j for j in self.running if j.work <= 0]:
                self.running.remove(job)
                if job.write:
                    tenant, cell, gen = job.write
                    self.fence = self.fence.complete_write(tenant, job.key)
                    self.process.record(
                        "effect", replica=self.plan.name, tx=job.tx, tenant=tenant, cell=cell, gen=gen
                    )
                elif job.tx:
                    self.process.record("effect", replica=self.plan.name, tx=job.tx)
                if not job.done.done():
                    job.done.set_result(None)
        use = min(1.0, len(self.running) / cores) if not self.hung else 0.0
        self.busy += min(1.0, elapsed / 0.7) * (max(use, self.taken) - self.busy)

    def refresh(self) -> None:
        mean = sum(self.served) / len(self.served) if self.served else 0.0
        held = len(self.running) + len(self.waiting)
        self.report = orca.OrcaReport(self.busy * self.shown, held * self.shown, mean)

    def cold_load(self, at: int, work: float) -> None:
        """A cold replica that is sent too much within the span falls over, and stays down."""
        rules, span = self.whole.rules, self.whole.rules.fall_span
        self.arrived.append((at, work))
        while self.arrived[0][0] < at - span:
            self.arrived.popleft()
        capacity = self.plan.cores * self.plan.speed * self.warmth(at) * 1e-3  # work a µs
        if sum(w for _, w in self.arrived) > rules.fall_multiple * capacity * span:
            self.process.record("fell", replica=self.plan.name)
            self.die("pushed over while cold")

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        name, at = self.plan.name, now()
        load = ((orca.HEADER_NAME, orca.format_report(self.report)),)
        if connection not in self.connections:
            self.connections = {c for c in self.connections if not c.closed.is_set()} | {connection}
            self.running.append(Job(self.whole.handshake, asyncio.get_running_loop().create_future()))
        if request.target == "/healthz":
            if self.hung:
                await connection.closed.wait()
                return None
            done = asyncio.get_running_loop().create_future()
            self.waiting.append(Job(5.0, done, connection))
            await asyncio.wait((done,), timeout=2.0)
            return ServerResponse(200, b"", load) if done.done() else error_response(503, "too busy")
        if request.target == "/cell/word":
            word: TenantAssignment = msgspec.json.decode(request.body, type=TenantAssignment)
            self.fence, answer = self.fence.apply_assignment(word)
            self.process.record("word", replica=name, word=word, busy=answer.has_writes_in_flight)
            return ServerResponse(200, msgspec.json.encode(answer))
        if request.target == "/cell/lease":
            beat: tuple[int, list[TenantAssignment]] = msgspec.json.decode(
                request.body, type=tuple[int, list[TenantAssignment]]
            )
            self.fence = self.fence.renew_lease(at, *beat)
            return ServerResponse(204)
        tx = http.get_header(request.headers, "x-transaction") or ""
        relay = http.get_header(request.headers, "x-relay") or ""
        try:
            work = float(http.get_header(request.headers, "x-work") or "nan")
            if not 0 < work < 1e6:
                raise ValueError
        except ValueError:
            return error_response(400, "x-work: expected milliseconds")
        warmth = self.warmth(at)
        self.process.record(
            "arrive", replica=name, relay=relay, tx=tx, work=work, warmth=round(warmth, 4), boot=self.boot
        )
        if warmth < 1:
            self.cold_load(at, work)
            if self.server is None:
                return None
        if len(self.waiting) >= self.plan.queue:
            self.process.record("turned_away", replica=name, tx=tx)
            proof = (("x-never-ran", "1"),) if self.whole.full_is_proof else ()
            return ServerResponse(503, b"", load + proof)
        if self.fails and self.chance.random() < self.fails:
            return ServerResponse(500, b"a bad release", load)
        job = Job(work, asyncio.get_running_loop().create_future(), connection, tx)
        if self.whole.cells and http.get_header(request.headers, "x-class") in self.writes:
            job.write = (
                (http.get_header(request.headers, "x-tenant") or ""),
                http.get_header(request.headers, "x-cell") or "",
                int(http.get_header(request.headers, "x-generation") or 0),
            )
            self.fence, verdict = self.fence.check_write(at, *job.write, job.key)
            if verdict is not WriteDecision.ACCEPT:
                self.process.record("fenced", replica=name, tx=tx, tenant=job.write[0], why=verdict.value)
                if verdict is WriteDecision.DUPLICATE:
                    return ServerResponse(200, b"done before", load)
                proof = (("x-never-ran", "1"),) if verdict is not WriteDecision.IN_FLIGHT else ()
                return ServerResponse(503, verdict.value.encode(), load + proof)
        self.waiting.append(job)
        gone = asyncio.ensure_future(connection.closed.wait())
        try:
            await asyncio.wait((job.done, gone), return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
        if not job.done.done():  # the relay gave up: what runs goes on, what waits may be dropped
            if self.whole.drops_waiting and job in self.waiting:
                self.waiting.remove(job)
                if job.write:
                    self.fence = self.fence.drop_write(job.write[0], job.key)
            return None
        if job.done.cancelled():
            return None
        self.served.append((now() - at) / 1e3)
        return ServerResponse(200, b"ok", ((orca.HEADER_NAME, orca.format_report(self.report)),))


class Replicas(Process):
    """The replicas of one zone: role `replicas-ZONE`."""

    def __init__(self, plan: p.Plan, role: str, folder: Path) -> None:
        super().__init__(plan, role, folder)
        zone = role.removeprefix("replicas-")
        self.all = {r.name: Replica(self, r, plan) for r in plan.replicas if r.zone == zone}

    async def begin(self) -> None:
        for replica in self.all.values():
            if replica.plan.listed:
                replica.start(cold=False)
            self.task(self._reports(replica))
        self.task(self._steps())

    async def _steps(self) -> None:
        last = now()
        while True:
            await asyncio.sleep(STEP)
            at = now()
            for replica in self.all.values():
                if replica.server is not None:
                    replica.step((at - last) / 1e6)
            last = at

    async def _reports(self, replica: Replica) -> None:
        chance = dice(self.plan.seed, "reports", replica.plan.name)
        while True:
            await asyncio.sleep(self.plan.report_period / 1e6 * chance.uniform(0.7, 1.3))
            replica.refresh()

    def control(self, do: dict[str, Any]) -> None:
        for name in do["replicas"]:
            replica = self.all[name]
            self.record("told", replica=name, do=do["do"], value=do.get("value"))
            match do["do"]:
                case "die":
                    replica.die("killed")
                case "start":
                    replica.die("started anew")
                    replica.start(cold=True)
                case "slow":
                    replica.slow = float(do["value"])
                case "taken":
                    replica.taken = float(do["value"])
                case "shown":
                    replica.shown = float(do["value"])
                case "fails":
                    replica.fails = float(do["value"])
                case "hang":
                    replica.hung = bool(do["value"])
                case _:
                    raise ValueError(f"unknown order {do['do']!r}")
