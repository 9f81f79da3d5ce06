"""Relays: plain proxies. They pick by weight from a governor's tables, strike replicas that fail them,
try again as they are told, and stand on what they hold while no governor answers. Role `relays-ZONE`."""

from __future__ import annotations

import asyncio
import contextlib
from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import quote

import msgspec

from gradehoist.cells.rate_limits import RateLimiter, RateLimits
from gradehoist.cells.routes import class_label, home_cell
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse
from gradehoist.protocol import feed, http, orca
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.testbed import scenario_plan as p
from gradehoist.testbed.process import ENCODER, Process, dice, now

FEED: msgspec.json.Decoder[feed.PollResponse] = msgspec.json.Decoder(feed.PollResponse)
LEAST_LEFT = 30_000  # µs: with less time left no further try is made


def _limits(told: feed.RateLimitsDelta) -> RateLimits:
    return RateLimits(
        told.cell_rate, told.tenant_rate, told.burst_s, told.tenant_in_flight, told.cell_in_flight
    )


@dataclass
class Met:
    tries: int = 0
    bad: int = 0
    elapsed: int = 0
    report: orca.OrcaReport | None = None


@dataclass
class Relay:
    process: Process
    plan: p.Relay
    whole: p.Plan
    tasks: list[asyncio.Task[Any]] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.chance = dice(self.whole.seed, "relay", self.plan.name)
        self.classes = {c.name: c for c in self.whole.classes}
        self.via = {
            link.target: link.port
            for link in self.whole.links
            if not link.relay and link.zone == self.plan.zone
        }
        self.server: HttpServer | None = None
        self.clients: dict[str, HttpClient] = {}
        self.fresh()

    def fresh(self) -> None:
        self.holdings = ProxyState()
        self.strikes: dict[str, int] = defaultdict(int)
        self.avoid: dict[str, int] = {}
        self.met: dict[str, Met] = defaultdict(Met)
        self.came: dict[str, list[int]] = defaultdict(lambda: [0, 0])
        self.door: RateLimiter | None = None
        self.epoch, self.stream, self.after, self.at_governor = "", 0, 0, 0
        self.holdings.install_default_tables({c: self._standing(c) for c in self.classes})

    def _standing(self, name: str) -> dict[str, float]:
        """A few listed replicas by chance, of its own zone if there are three; placement limits hold."""
        c = self.classes[name]
        fit = [r for r in self.whole.replicas if r.listed and self._allowed(c, r)]
        if self.whole.even:
            return {r.name: r.size for r in fit}
        near = [r for r in fit if r.zone == self.plan.zone]
        pool = near if len(near) >= 3 or c.stays_local else fit
        return {r.name: 1.0 for r in self.chance.sample(pool, min(self.whole.standing, len(pool)))}

    def _allowed(self, c: p.Class, r: p.Replica) -> bool:
        return (
            (c.only_zones is None or r.zone in c.only_zones)
            and (c.only_kinds is None or r.kind in c.only_kinds)
            and (not c.stays_local or r.zone == self.plan.zone)
        )

    def start(self) -> None:
        self.server = HttpServer(self.handle)
        self.server.listen(self.plan.port, "127.0.0.1", backlog=1024)
        standing = {c: self.holdings.weights_for(c) for c in self.classes}
        self.process.record("relay_up", relay=self.plan.name, standing=standing)
        if self.whole.follow_governors:
            self.tasks = [self.process.task(self._feed()), self.process.task(self._sums())]

    def die(self) -> None:
        if self.server is not None:
            self.process.record("relay_down", relay=self.plan.name)
            self.server.abort()
            self.server = None
        for task in self.tasks:
            task.cancel()
        for client in self.clients.values():
            client.close()
        self.clients.clear()
        self.fresh()

    # The feed

    async def _feed(self) -> None:
        """Follows one governor; after a failure the next, with a pause by chance before it dials."""
        limits = http.Limits(max_body_bytes=1 << 26)
        while True:
            name, (host, port) = self.plan.governors[self.at_governor % len(self.plan.governors)]
            client = HttpClient(host, port, limits=limits)
            reason = ""
            try:
                while not reason:
                    reason = await self._one_poll(client, name)
            except (ConnectError, ConnectionLostError, ResponseTimeoutError, msgspec.MsgspecError) as fault:
                reason = f"{type(fault).__name__}: {fault}"
            finally:
                client.close()
            self.process.record("lost", relay=self.plan.name, governor=name, reason=reason)
            self.at_governor += 1
            await asyncio.sleep(self.chance.uniform(*self.whole.redial) / 1e6)

    async def _one_poll(self, client: HttpClient, governor: str) -> str:
        target = (
            f"/v1/feed?relay={quote(self.plan.name)}&zone={quote(self.plan.zone)}"
            f"&rate={self.whole.rate * self.plan.share:.3f}&epoch={self.epoch}&stream={self.stream}"
            f"&after={self.after}"
        )
        response = await client.request("GET", target, timeout_s=self.whole.hold / 1e6 + 1.0)
        if response.status != 200:
            return f"status {response.status}"
        answer = FEED.decode(response.body)
        if answer.is_new_stream or (answer.epoch, answer.stream) != (self.epoch, self.stream):
            self.epoch, self.stream, self.after = answer.epoch, answer.stream, 0
            self.holdings.begin_stream()
            self.process.record(
                "joined", relay=self.plan.name, governor=governor, epoch=self.epoch, stream=self.stream
            )
        for message in answer.messages:
            if message.seq <= self.after:
                continue
            self.holdings.apply(message)
            if (limits := self.holdings.rate_limits) and (
                not self.door or self.door.limits != _limits(limits)
            ):
                self.door = RateLimiter(_limits(limits))
            self.after = message.seq
            self.process.record(
                "applied",
                relay=self.plan.name,
                governor=governor,
                epoch=self.epoch,
                stream=self.stream,
                bytes=len(response.body),
                message=message,
            )
        return ""

    async def _sums(self) -> None:
        while True:
            await asyncio.sleep(self.whole.period / 1e6)
            met, self.met = self.met, defaultdict(Met)
            came, self.came = self.came, defaultdict(lambda: [0, 0])
            tries = tuple(
                feed.ReplicaAttempts(
                    r,
                    m.tries,
                    m.bad,
                    m.elapsed // max(1, m.tries - m.bad),
                    *(msgspec.structs.astuple(m.report) if m.report else ()),
                )
                for r, m in met.items()
            )
            if self.epoch:
                sums = feed.ProxyLoadReport(
                    self.plan.name,
                    self.epoch,
                    self.whole.period,
                    tries,
                    tuple(feed.ClassRequests(c, n, u) for c, (n, u) in came.items()),
                )
                self.process.task(self._send_sums(sums))

    async def _send_sums(self, sums: feed.ProxyLoadReport) -> None:
        await asyncio.sleep(self.chance.uniform(*self.whole.sums_late) / 1e6)
        name, (host, port) = self.plan.governors[self.at_governor % len(self.plan.governors)]
        client = HttpClient(host, port)
        try:
            response = await client.request("POST", "/v1/sums", ENCODER.encode(sums), timeout_s=1.0)
            if response.status not in (204, 409, 503):
                self.process.record(
                    "sums_refused",
                    relay=self.plan.name,
                    governor=name,
                    status=response.status,
                    body=response.body.decode("utf-8", "replace"),
                )
        except (ConnectError, ConnectionLostError, ResponseTimeoutError):
            pass
        finally:
            client.close()

    # Transactions

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        came, cls = now(), self.classes.get(http.get_header(request.headers, "x-class") or "")
        tenant = http.get_header(request.headers, "x-tenant") or ""
        tx = http.get_header(request.headers, "x-transaction") or ""
        if cls is None:
            return ServerResponse(400, b"no such class")
        route = self.holdings.routes
        cell = home_cell(tenant, route.cells, route.cell_by_tenant) if route else ""
        gen = route.generations.get(tenant, 1) if route else 0
        name = class_label(cell, cls.name) if cell or not route else class_label(route.cells[0], cls.name)
        count = self.came[name]
        count[0] += 1
        if route and not cell:
            self.process.record(
                "refused", relay=self.plan.name, tx=tx, cls=cls.name, reason="moving", tenant=tenant
            )
            return ServerResponse(503, b"moving", (("retry-after", "1"),))
        if self.door and (no := self.door.admit(came, tenant, cell)):
            self.process.record(
                "refused",
                relay=self.plan.name,
                tx=tx,
                cls=cls.name,
                reason=no.reason,
                tenant=tenant,
                cell=cell,
            )
            return ServerResponse(
                429, no.reason.encode(), (("retry-after", f"{max(1, round(no.retry_after_us / 1e6))}"),)
            )
        try:
            return await self._let_in(tx, cls, (cell, gen), name, count, request, connection, came)
        finally:
            if self.door:
                self.door.finish(tenant, cell)

    async def _let_in(
        self,
        tx: str,
        cls: p.Class,
        at: tuple[str, int],
        name: str,
        count: list[int],
        request: http.Request,
        connection: Connection,
        came: int,
    ) -> ServerResponse | None:
        share, way = self.holdings.admission_for(name, self.whole.usual_way)
        if self.chance.random() >= share:
            self.process.record("refused", relay=self.plan.name, tx=tx, cls=cls.name, reason="level")
            return ServerResponse(429, b"not let in")
        patience = int(http.get_header(request.headers, "x-patience") or cls.cutoff)
        work = asyncio.ensure_future(self._try(tx, cls, at, request, came + patience, way))
        gone = asyncio.ensure_future(connection.closed.wait())
        try:
            await asyncio.wait((work, gone), return_when=asyncio.FIRST_COMPLETED)
        finally:
            gone.cancel()
            if not work.done():  # the client has left: its tries end with it
                work.cancel()
        if not work.done() or work.cancelled():
            count[1] += 1
            return None
        status = work.result()
        count[1] += status != 200
        return ServerResponse(status)

    def _pick(self, cls: str, cell: str, but: set[str]) -> str | None:
        name = class_label(cell, cls)
        # A cell whose table has not come yet stands on what the relay began with.
        at, lines = now(), self.holdings.weights_for(name if name in self.holdings.table_by_class else cls)
        fit = {r: w for r, w in lines.items() if r not in but and self.avoid.get(r, 0) <= at}
        fit = fit or {r: w for r, w in lines.items() if r not in but}  # all avoided: better one of them
        if not fit:
            return None
        return self.chance.choices(list(fit), list(fit.values()))[0]

    async def _try(
        self, tx: str, cls: p.Class, at: tuple[str, int], request: http.Request, until: int, way: int
    ) -> int:
        """One transaction with the tries after it; the status to answer with, at once when given up."""
        used: set[str] = set()
        further = (0, 1, 1, 2)[way]
        unproven = False
        for number in range(1 + further):
            replica = self._pick(cls.name, at[0], used)  # never another cell than the first
            if replica is None:
                if not number:
                    self.process.record(
                        "refused", relay=self.plan.name, tx=tx, cls=cls.name, reason="no line"
                    )
                return 502 if unproven else 503  # clients repeat after 503 what must never run twice
            used.add(replica)
            left = until - now()
            last = number == further
            wait = left if way < 2 or last else min(left, int(self.whole.try_factor * cls.goal))
            ended, proof = await self._send(tx, number, cls, at, replica, request, wait, way, unproven)
            if ended == 200:
                return 200
            unproven |= not proof
            if last or until - now() < LEAST_LEFT or (way == 1 and not proof):
                return 504 if ended == 504 else 502
        return 502

    async def _send(
        self,
        tx: str,
        number: int,
        cls: p.Class,
        at: tuple[str, int],
        replica: str,
        request: http.Request,
        wait: int,
        way: int,
        unproven: bool,
    ) -> tuple[int, bool]:
        """Status and whether it is proven that the try never ran."""
        client = self.clients.get(replica)
        if client is None:
            client = self.clients[replica] = HttpClient("127.0.0.1", self.via[replica])
        met, began = self.met[replica], now()
        self.process.record(
            "try",
            relay=self.plan.name,
            tx=tx,
            n=number,
            cls=cls.name,
            replica=replica,
            way=way,
            after_unproven=unproven,
            cell=at[0],
        )
        headers = (
            ("x-transaction", f"{tx}"),
            ("x-relay", self.plan.name),
            ("x-class", cls.name),
            ("x-work", http.get_header(request.headers, "x-work") or ""),
            ("x-tenant", http.get_header(request.headers, "x-tenant") or ""),
            ("x-cell", at[0]),
            ("x-generation", f"{at[1]}"),
        )
        status, proof = 0, False
        try:
            response = await client.request("POST", "/work", b"", headers, timeout_s=max(0.001, wait / 1e6))
            status = response.status
            proof = status == 503 and http.get_header(response.headers, "x-never-ran") == "1"
            if text := http.get_header(response.headers, orca.HEADER_NAME):
                with contextlib.suppress(ValueError):  # a spoilt report must not spoil the answer
                    met.report = orca.parse_report(text)
        except ConnectError:
            status, proof = 502, True
        except ResponseTimeoutError:
            status = 504
        except ConnectionLostError:
            status = 502
        finally:
            met.tries += 1
            good = status == 200
            met.bad += not good
            met.elapsed += (now() - began) * good
            self.strikes[replica] = 0 if good else self.strikes[replica] + 1
            if self.whole.strikes and self.strikes[replica] >= self.whole.strikes:
                self.strikes[replica] = 0
                self.avoid[replica] = now() + int(self.whole.avoid * self.chance.uniform(0.8, 1.2))
            self.process.record(
                "tried", relay=self.plan.name, tx=tx, n=number, replica=replica, status=status
            )
        return status, proof


class Relays(Process):
    """The relays of one zone."""

    def __init__(self, plan: p.Plan, role: str, folder: Path) -> None:
        super().__init__(plan, role, folder)
        zone = role.removeprefix("relays-")
        self.all = {r.name: Relay(self, r, plan) for r in plan.relays if r.zone == zone}

    async def begin(self) -> None:
        for relay in self.all.values():
            relay.start()

    def control(self, do: dict[str, Any]) -> None:
        for name in do["relays"]:
            relay = self.all[name]
            match do["do"]:
                case "die":
                    relay.die()
                case "start":
                    relay.start()
                case "aim":  # the next dial goes to this governor
                    wanted = [g for g, _ in relay.plan.governors].index(do["governor"])
                    relay.at_governor = wanted - 1 if do.get("next") else wanted
                case _:
                    raise ValueError(f"unknown order {do['do']!r}")
