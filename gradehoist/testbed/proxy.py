"""Proxies, which admit requests and send them to replicas according to the tables of a governor.

While no governor responds, a proxy continues with the tables that it has. Until it has received any, it uses
default tables.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

from gradehoist.cells.rate_limits import Rejection
from gradehoist.cells.routes import class_label, home_cell
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import http
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.testbed.process import LOOPBACK, Process, create_random, read_monotonic_us
from gradehoist.testbed.proxy_attempts import AttemptSender, RoutedRequest
from gradehoist.testbed.proxy_context import ClassLoad, ProxyContext
from gradehoist.testbed.proxy_feed import ProxyFeed
from gradehoist.testbed.scenario_plan import Plan, ProxyPlan, ReplicaPlan, RequestClassPlan

LISTEN_BACKLOG = 1024
# With fewer allowed replicas in its own zone, a default table is sampled from all zones.
MIN_LOCAL_REPLICAS = 3


@dataclass(frozen=True)
class Route:
    """Where a request is sent.

    Attributes:
        cell: The tenant's cell; empty while the tenant migrates, and if requests are not routed by cell.
        generation: The generation of the tenant's assignment; 0 if requests are not routed by cell.
        label: The name of the request class in the tables of the cell.
        is_migrating: Whether the tenant migrates, so that the request is rejected.
    """

    cell: str
    generation: int
    label: str
    is_migrating: bool


class Proxy:
    """One proxy with its server, which exists while the proxy runs, its feed and its attempts."""

    def __init__(self, process: Process, plan: ProxyPlan, run_plan: Plan) -> None:
        """Creates the proxy with default tables; `start` starts it."""
        self.classes = {request_class.name: request_class for request_class in run_plan.classes}
        self.context = ProxyContext(
            process=process,
            plan=plan,
            run_plan=run_plan,
            random=create_random(run_plan.seed, "relay", plan.name),
        )
        self.feed = ProxyFeed(self.context)
        self.sender = AttemptSender(self.context)
        self.server: HttpServer | None = None
        self.tasks: list[asyncio.Task[Any]] = []
        self._reset()

    @property
    def plan(self) -> ProxyPlan:
        """The proxy's part of the plan."""
        return self.context.plan

    @property
    def state(self) -> ProxyState:
        """The tables and limits by which it routes and admits requests."""
        return self.context.state

    def _reset(self) -> None:
        self.context.state = ProxyState()
        self.context.reset_loads()
        self.feed.reset()
        self.sender.reset()
        tables = {name: self._sample_default_table(c) for name, c in self.classes.items()}
        self.state.install_default_tables(tables)

    def _sample_default_table(self, request_class: RequestClassPlan) -> dict[str, float]:
        """Returns a table of replicas that may serve the class.

        They are a sample of the listed ones, from the proxy's own zone if it has enough of them. With
        `even_weights` the table holds all listed ones, weighted by size.
        """
        run_plan = self.context.run_plan
        allowed = [r for r in run_plan.replicas if r.is_listed and self._is_allowed(request_class, r)]
        if run_plan.even_weights:
            return {replica.name: replica.size for replica in allowed}
        local = [replica for replica in allowed if replica.zone == self.plan.zone]
        pool = local if len(local) >= MIN_LOCAL_REPLICAS or request_class.zone_local else allowed
        size = min(run_plan.default_table_size, len(pool))
        return {replica.name: 1.0 for replica in self.context.random.sample(pool, size)}

    def _is_allowed(self, request_class: RequestClassPlan, replica: ReplicaPlan) -> bool:
        if request_class.allowed_zones is not None and replica.zone not in request_class.allowed_zones:
            return False
        if request_class.allowed_kinds is not None and replica.kind not in request_class.allowed_kinds:
            return False
        return not request_class.zone_local or replica.zone == self.plan.zone

    def start(self) -> None:
        """Starts to listen, and to follow a governor if the plan says so. Raises OSError."""
        self.server = HttpServer(self.handle)
        self.server.listen(self.plan.port, LOOPBACK, backlog=LISTEN_BACKLOG)
        process = self.context.process
        default_tables = {name: self.state.weights_for(name) for name in self.classes}
        process.record("relay_up", relay=self.plan.name, standing=default_tables)
        if self.context.run_plan.follow_governors:
            self.tasks = [
                process.start_task(self.feed.follow()),
                process.start_task(self.feed.report_load()),
            ]

    def stop(self) -> None:
        """Stops as a killed process does: connections are reset and all state is lost."""
        if self.server is not None:
            self.context.process.record("relay_down", relay=self.plan.name)
            self.server.abort()
            self.server = None
        for task in self.tasks:
            task.cancel()
        self.sender.close()
        self._reset()

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        """Handles a request; returns None if the client disconnected."""
        time_us = read_monotonic_us()
        request_class = self.classes.get(http.get_header(request.headers, "x-class") or "")
        if request_class is None:
            return ServerResponse(400, b"no such class")
        tenant = http.get_header(request.headers, "x-tenant") or ""
        route = self._find_route(tenant, request_class.name)
        routed = RoutedRequest(
            request_id=http.get_header(request.headers, "x-transaction") or "",
            request_class=request_class,
            label=route.label,
            tenant=tenant,
            work=http.get_header(request.headers, "x-work") or "",
            cell=route.cell,
            generation=route.generation,
        )
        load = self.context.class_loads[route.label]
        load.requests += 1
        if route.is_migrating:
            self._record_rejected(routed, "moving", tenant=tenant)
            return ServerResponse(503, b"moving", (("retry-after", "1"),))
        limiter = self.feed.rate_limiter
        rejection = limiter.admit(time_us, tenant, route.cell) if limiter else None
        if rejection is not None:
            return self._reject_by_rate(routed, rejection)
        try:
            return await self._send_admitted(routed, load, request, connection, time_us)
        finally:
            # The limiter may have been replaced since the request was admitted, if the limits changed.
            if self.feed.rate_limiter:
                self.feed.rate_limiter.finish(tenant, route.cell)

    def _find_route(self, tenant: str, class_name: str) -> Route:
        routes = self.state.routes
        if routes is None:
            return Route(cell="", generation=0, label=class_label("", class_name), is_migrating=False)
        cell = home_cell(tenant, routes.cells, routes.cell_by_tenant)
        return Route(
            cell=cell,
            generation=routes.generations.get(tenant, 1),
            label=class_label(cell or routes.cells[0], class_name),
            is_migrating=not cell,
        )

    def _record_rejected(self, request: RoutedRequest, reason: str, **fields: str) -> None:
        self.context.process.record(
            "refused",
            relay=self.plan.name,
            tx=request.request_id,
            cls=request.request_class.name,
            reason=reason,
            **fields,
        )

    def _reject_by_rate(self, request: RoutedRequest, rejection: Rejection) -> ServerResponse:
        self._record_rejected(request, rejection.reason, tenant=request.tenant, cell=request.cell)
        retry_after_s = max(1, round(rejection.retry_after_us / 1e6))
        return ServerResponse(429, rejection.reason.encode(), (("retry-after", f"{retry_after_s}"),))

    async def _send_admitted(
        self,
        routed: RoutedRequest,
        load: ClassLoad,
        request: http.Request,
        connection: Connection,
        time_us: int,
    ) -> ServerResponse | None:
        """Sends the request if admission allows it, and cancels its attempts if the client disconnects."""
        admission = self.state.admission_for(routed.label, self.context.run_plan.retry_policy)
        if self.context.random.random() >= admission.admitted_share:
            self._record_rejected(routed, "level")
            return ServerResponse(429, b"not let in")
        timeout_us = int(http.get_header(request.headers, "x-patience") or routed.request_class.deadline_us)
        sending = asyncio.ensure_future(
            self.sender.send(routed, time_us + timeout_us, admission.retry_policy)
        )
        closed = asyncio.ensure_future(connection.closed.wait())
        try:
            await asyncio.wait((sending, closed), return_when=asyncio.FIRST_COMPLETED)
        finally:
            closed.cancel()
            if not sending.done():
                sending.cancel()
        if not sending.done() or sending.cancelled():
            load.incomplete += 1
            return None
        status = sending.result()
        if status != 200:
            load.incomplete += 1
        return ServerResponse(status)
