"""Simulated replicas, with cores shared by the running requests, a queue, a warm-up and injected faults.

Work is simulated by the clock and uses no CPU time: each step of a few milliseconds reduces the remaining
work of each running request. A dozen replicas therefore fit into one process, and load on the machine does
not appear as load on a replica.
"""

from __future__ import annotations

import asyncio
from collections import deque

import msgspec

from gradehoist.cells.assignment import ReplicaFence, TenantAssignment, WriteDecision
from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response
from gradehoist.protocol import http, orca
from gradehoist.testbed.process import LOOPBACK, Process, create_random, read_monotonic_us
from gradehoist.testbed.replica_job import FencedWrite, Job
from gradehoist.testbed.scenario_plan import Plan, ReplicaPlan

# With more requests in flight per core than this, a replica slows down.
OVERLOAD_REQUESTS_PER_CORE = 3
# The slowdown factor grows by this for each further request per core.
OVERLOAD_SLOWDOWN = 0.03
BUSY_SMOOTHING_S = 0.7  # time constant of the reported utilization
SERVICE_TIME_SAMPLES = 50  # number of latest responses whose mean service time is reported
HEALTH_CHECK_WORK_MS = 5.0
HEALTH_CHECK_TIMEOUT_S = 2.0
MAX_WORK_MS = 1e6
LISTEN_BACKLOG = 1024
NO_EFFECT_HEADERS = (("x-never-ran", "1"),)


class Replica:
    """One replica with its server, which exists while it runs, its jobs, its faults and its fence."""

    def __init__(self, process: Process, plan: ReplicaPlan, run_plan: Plan) -> None:
        """Creates the replica; `start` starts it."""
        self.process = process
        self.plan = plan
        self.run_plan = run_plan
        self.fenced_classes = {c.name for c in run_plan.classes if c.idempotency == "single"}
        self.random = create_random(run_plan.seed, "fails", plan.name)
        # A real replica persists its fence. This one keeps it in memory across its incarnations.
        self.fence = ReplicaFence(plan.name, run_plan.cell_by_replica.get(plan.name, ""))
        self.incarnation_number = 0
        self.server: HttpServer | None = None
        self.started_us = 0  # 0 if it warmed up before the run began
        self.running: list[Job] = []
        self.waiting: deque[Job] = deque()
        self.connections: set[Connection] = set()
        # Time and work in milliseconds of the recent arrivals during the warm-up.
        self.warmup_arrivals: deque[tuple[int, float]] = deque()
        self.slowdown = 1.0
        self.stolen_share = 0.0  # share of the cores that another program uses
        self.reported_factor = 1.0  # factor on the actual load in load reports
        self.is_hung = False
        self.failure_share = 0.0  # share of requests that the deployed release fails
        self.busy_share = 0.0
        self.report = orca.OrcaReport()
        self.service_times_ms: deque[float] = deque(maxlen=SERVICE_TIME_SAMPLES)

    def start(self, needs_warmup: bool) -> None:
        """Starts a new incarnation, warming up if needed. Raises OSError if its port is in use."""
        self.fence = self.fence.restarted()
        self.incarnation_number += 1
        self.started_us = read_monotonic_us() if needs_warmup else 0
        self.running = []
        self.waiting = deque()
        self.warmup_arrivals.clear()
        self.is_hung = False
        self.slowdown = 1.0
        self.failure_share = 0.0
        self.server = HttpServer(self.handle)
        self.server.listen(self.plan.port, LOOPBACK, backlog=LISTEN_BACKLOG)
        self.process.record("up", replica=self.plan.name, boot=self.incarnation_number, cold=needs_warmup)

    def stop(self, reason: str) -> None:
        """Ends the incarnation, if one runs, as a kill would: jobs are lost and connections are reset."""
        if self.server is None:
            return
        self.server.abort()
        self.server = None
        for job in (*self.running, *self.waiting):
            if not job.done.done():
                job.done.cancel()
        self.running = []
        self.waiting = deque()
        self.connections.clear()
        self.process.record("down", replica=self.plan.name, reason=reason)

    def capacity_share(self, time_us: int) -> float:
        """Returns the share of the full speed, which grows linearly to 1 during the warm-up."""
        if not self.started_us or self.plan.warmup_us <= 0:
            return 1.0
        progress = (time_us - self.started_us) / self.plan.warmup_us
        start = self.plan.start_capacity
        return min(1.0, start + (1 - start) * progress)

    @property
    def in_flight(self) -> int:
        """The number of jobs that run or wait."""
        return len(self.running) + len(self.waiting)

    def advance(self, elapsed_s: float) -> None:
        """Simulates the given time: starts waiting jobs, works on the running ones and completes them."""
        time_us = read_monotonic_us()
        while self.waiting and len(self.running) < self.plan.slots:
            self.running.append(self.waiting.popleft())
        if self.running and not self.is_hung:
            self._work_on_jobs(time_us, elapsed_s)
        utilization = 0.0 if self.is_hung else min(1.0, len(self.running) / self.plan.cores)
        smoothing = min(1.0, elapsed_s / BUSY_SMOOTHING_S)
        self.busy_share += smoothing * (max(utilization, self.stolen_share) - self.busy_share)

    def _work_on_jobs(self, time_us: int, elapsed_s: float) -> None:
        cores = self.plan.cores
        excess = max(0.0, self.in_flight / cores - OVERLOAD_REQUESTS_PER_CORE)
        speed = self.plan.speed * self.capacity_share(time_us) * (1 - self.stolen_share)
        speed = speed / self.slowdown / (1 + OVERLOAD_SLOWDOWN * excess)
        work_ms = elapsed_s * 1e3 * speed * min(1.0, cores / len(self.running))
        for job in self.running:
            job.remaining_ms -= work_ms
        for job in [job for job in self.running if job.remaining_ms <= 0]:
            self.running.remove(job)
            self._complete(job)

    def _complete(self, job: Job) -> None:
        if job.write is not None:
            self.fence = self.fence.complete_write(job.write.tenant, job.idempotency_key)
            self.process.record(
                "effect",
                replica=self.plan.name,
                tx=job.request_id,
                tenant=job.write.tenant,
                cell=job.write.cell,
                gen=job.write.generation,
            )
        elif job.request_id:
            self.process.record("effect", replica=self.plan.name, tx=job.request_id)
        if not job.done.done():
            job.done.set_result(None)

    def update_report(self) -> None:
        """Updates the load report that responses carry to the current load."""
        samples = self.service_times_ms
        mean_ms = sum(samples) / len(samples) if samples else 0.0
        self.report = orca.OrcaReport(
            self.busy_share * self.reported_factor, self.in_flight * self.reported_factor, mean_ms
        )

    def _load_headers(self) -> tuple[tuple[str, str], ...]:
        return ((orca.HEADER_NAME, orca.format_report(self.report)),)

    def _add_warmup_arrival(self, time_us: int, work_ms: float) -> None:
        """Counts work that arrives during the warm-up; the replica crashes if the window holds too much."""
        rules = self.run_plan.rules
        self.warmup_arrivals.append((time_us, work_ms))
        while self.warmup_arrivals[0][0] < time_us - rules.overload_window_us:
            self.warmup_arrivals.popleft()
        capacity_ms_per_us = self.plan.cores * self.plan.speed * self.capacity_share(time_us) * 1e-3
        arrived_ms = sum(arrived_ms for _, arrived_ms in self.warmup_arrivals)
        if arrived_ms > rules.overload_multiple * capacity_ms_per_us * rules.overload_window_us:
            self.process.record("fell", replica=self.plan.name)
            self.stop("pushed over while cold")

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        """Handles a request; returns None if the connection ends without a response."""
        time_us = read_monotonic_us()
        if connection not in self.connections:
            self._add_connection(connection)
        match request.target:
            case "/healthz":
                return await self._handle_health_check(connection)
            case "/cell/word":
                return self._handle_assignment(request)
            case "/cell/lease":
                return self._handle_lease(request, time_us)
        return await self._handle_work(request, connection, time_us)

    def _add_connection(self, connection: Connection) -> None:
        open_connections = {known for known in self.connections if not known.closed.is_set()}
        self.connections = open_connections | {connection}
        self.running.append(self._create_job(self.run_plan.handshake_work_ms))

    @staticmethod
    def _create_job(work_ms: float, request_id: str = "") -> Job:
        done = asyncio.get_running_loop().create_future()
        return Job(remaining_ms=work_ms, done=done, request_id=request_id)

    async def _handle_health_check(self, connection: Connection) -> ServerResponse | None:
        headers = self._load_headers()
        if self.is_hung:
            await connection.closed.wait()
            return None
        job = self._create_job(HEALTH_CHECK_WORK_MS)
        self.waiting.append(job)
        await asyncio.wait((job.done,), timeout=HEALTH_CHECK_TIMEOUT_S)
        if not job.done.done():
            return error_response(503, "too busy")
        return ServerResponse(200, b"", headers)

    def _handle_assignment(self, request: http.Request) -> ServerResponse:
        assignment: TenantAssignment = msgspec.json.decode(request.body, type=TenantAssignment)
        self.fence, acknowledgement = self.fence.apply_assignment(assignment)
        self.process.record(
            "word",
            replica=self.plan.name,
            word=assignment,
            busy=acknowledgement.has_writes_in_flight,
        )
        return ServerResponse(200, msgspec.json.encode(acknowledgement))

    def _handle_lease(self, request: http.Request, time_us: int) -> ServerResponse:
        renewal: tuple[int, list[TenantAssignment]] = msgspec.json.decode(
            request.body, type=tuple[int, list[TenantAssignment]]
        )
        self.fence = self.fence.renew_lease(time_us, *renewal)
        return ServerResponse(204)

    async def _handle_work(
        self, request: http.Request, connection: Connection, time_us: int
    ) -> ServerResponse | None:
        headers = self._load_headers()
        request_id = http.get_header(request.headers, "x-transaction") or ""
        work_ms = _parse_work_ms(request)
        if work_ms is None:
            return error_response(400, "x-work: expected milliseconds")
        capacity_share = self.capacity_share(time_us)
        self.process.record(
            "arrive",
            replica=self.plan.name,
            relay=http.get_header(request.headers, "x-relay") or "",
            tx=request_id,
            work=work_ms,
            warmth=round(capacity_share, 4),
            boot=self.incarnation_number,
        )
        if capacity_share < 1:
            self._add_warmup_arrival(time_us, work_ms)
            if self.server is None:
                return None
        if len(self.waiting) >= self.plan.queue_limit:
            self.process.record("turned_away", replica=self.plan.name, tx=request_id)
            proof = NO_EFFECT_HEADERS if self.run_plan.rejection_proves_no_effect else ()
            return ServerResponse(503, b"", headers + proof)
        if self.failure_share and self.random.random() < self.failure_share:
            return ServerResponse(500, b"a bad release", headers)
        job = self._create_job(work_ms, request_id)
        if self.run_plan.cells and http.get_header(request.headers, "x-class") in self.fenced_classes:
            rejection = self._check_fence(job, request, time_us, headers)
            if rejection is not None:
                return rejection
        self.waiting.append(job)
        return await self._wait_for_job(job, connection, time_us)

    def _check_fence(
        self, job: Job, request: http.Request, time_us: int, headers: tuple[tuple[str, str], ...]
    ) -> ServerResponse | None:
        """Checks a write against the fence; returns None if it may run, otherwise the response to send."""
        write = FencedWrite(
            tenant=http.get_header(request.headers, "x-tenant") or "",
            cell=http.get_header(request.headers, "x-cell") or "",
            generation=int(http.get_header(request.headers, "x-generation") or 0),
        )
        job.write = write
        self.fence, decision = self.fence.check_write(
            time_us, write.tenant, write.cell, write.generation, job.idempotency_key
        )
        if decision is WriteDecision.ACCEPT:
            return None
        self.process.record(
            "fenced", replica=self.plan.name, tx=job.request_id, tenant=write.tenant, why=decision.value
        )
        if decision is WriteDecision.DUPLICATE:
            return ServerResponse(200, b"done before", headers)
        proof = () if decision is WriteDecision.IN_FLIGHT else NO_EFFECT_HEADERS
        return ServerResponse(503, decision.value.encode(), headers + proof)

    async def _wait_for_job(self, job: Job, connection: Connection, time_us: int) -> ServerResponse | None:
        closed = asyncio.ensure_future(connection.closed.wait())
        try:
            await asyncio.wait((job.done, closed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            closed.cancel()
        if not job.done.done():
            self._abandon(job)
            return None
        if job.done.cancelled():
            return None
        self.service_times_ms.append((read_monotonic_us() - time_us) / 1e3)
        return ServerResponse(200, b"ok", self._load_headers())

    def _abandon(self, job: Job) -> None:
        """Drops a waiting job whose proxy disconnected, if the plan says so; a running job continues."""
        if not self.run_plan.drops_abandoned_requests or job not in self.waiting:
            return
        self.waiting.remove(job)
        if job.write is not None:
            self.fence = self.fence.abandon_write(job.write.tenant, job.idempotency_key)


def _parse_work_ms(request: http.Request) -> float | None:
    """Parses the work of a request; returns None if it is missing, malformed or out of range."""
    try:
        work_ms = float(http.get_header(request.headers, "x-work") or "nan")
    except ValueError:
        return None
    return work_ms if 0 < work_ms < MAX_WORK_MS else None
