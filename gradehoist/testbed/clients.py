"""Clients: transactions by chance at a stated rate, with patience and repeats of their own; role `clients`.

Arrivals do not wait for answers. A repeat of a client is a transaction of its own to the relay, and the same
one to the books: answered once, within its latency goal or not, or given up.
"""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from typing import Any

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.testbed import scenario_plan as p
from gradehoist.testbed.process import Process, create_random, read_monotonic_us


class ClientProcess(Process):
    def __init__(self, plan: p.Plan, role: str, folder: Path) -> None:
        super().__init__(plan, role, folder)
        self.clients = {r.name: HttpClient("127.0.0.1", r.port) for r in plan.proxies}
        self.factor = {r.name: 1.0 for r in plan.proxies}  # by relay: hot callers, zones that traffic leaves
        self.whole = 1.0
        self.louder: dict[str, float] = {}  # by tenant: how many times its share
        self.open = 0

    async def start(self) -> None:
        """Arrivals wait for the day's order, so that its clock and theirs are one."""

    def on_command(self, do: dict[str, Any]) -> None:
        match do["do"]:
            case "begin":
                self.began = read_monotonic_us()
                self.start_task(self._arrivals())
            case "factor":
                for name in do["relays"]:
                    self.factor[name] = float(do["value"])
            case "louder":
                self.louder[do["tenant"]] = float(do["value"])
            case "whole":
                self.whole = float(do["value"])
            case _:
                raise ValueError(f"unknown order {do['do']!r}")

    def _shape(self, at: int) -> float:
        points = self.plan.rate_factors or ((0, 1.0),)
        if at <= points[0][0]:
            return points[0][1]
        for (a, x), (b, y) in zip(points, points[1:], strict=False):
            if a <= at < b:
                return x + (y - x) * (at - a) / (b - a)
        return points[-1][1]

    async def _arrivals(self) -> None:
        chance = create_random(self.plan.seed, "arrivals")
        number, due = 0, 0.0
        while True:
            at = read_monotonic_us() - self.began
            if at >= self.plan.length_us:
                return
            weights = {r.name: r.traffic_share * self.factor[r.name] for r in self.plan.proxies}
            loud = sum(s * self.louder.get(t, 1.0) for t, s in self.plan.tenant_shares)
            rate = self.plan.requests_per_s * self.whole * self._shape(at) * sum(weights.values()) * loud
            due += chance.expovariate(max(rate, 1e-3))
            if (wait := due - (read_monotonic_us() - self.began) / 1e6) > 0:
                await asyncio.sleep(wait)
            relay = chance.choices(list(weights), list(weights.values()))[0]
            cls = chance.choices(self.plan.classes, [c.traffic_share for c in self.plan.classes])[0]
            spread = math.sqrt(math.log(1 + cls.work_variation**2))
            work = cls.work_ms * chance.lognormvariate(-(spread**2) / 2, spread)
            names = [t for t, _ in self.plan.tenant_shares]
            tenant = chance.choices(names, [s * self.louder.get(t, 1.0) for t, s in self.plan.tenant_shares])[
                0
            ]
            number += 1
            self.start_task(self._send_request(f"c{number}", relay, cls, work, tenant))

    async def _send_request(
        self, tx: str, relay: str, cls: p.RequestClassPlan, work: float, tenant: str
    ) -> None:
        began, sends, status = read_monotonic_us(), 0, 0
        self.open += 1
        try:
            while True:
                left = began + cls.deadline_us - read_monotonic_us()
                patience = min(left, int(self.plan.attempt_share * cls.deadline_us))
                if patience <= 0:
                    break
                sends += 1
                headers = (
                    ("x-transaction", f"{tx}.{sends}"),
                    ("x-class", cls.name),
                    ("x-work", f"{work:.3f}"),
                    ("x-patience", str(patience)),
                    ("x-tenant", tenant),
                )
                try:
                    response = await self.clients[relay].request("POST", "/", b"", headers, patience / 1e6)
                    status = response.status
                except ConnectError:
                    status = -1
                except ConnectionLostError:
                    status = -2
                except ResponseTimeoutError:
                    status = -3
                # What may have run is not sent again unless a second run is harmless.
                again = status in (429, 503, -1) or (cls.idempotency == "free" and status != 200)
                if status == 200 or not again or sends > self.plan.retries:
                    break
                await asyncio.sleep(self.plan.backoff_us / 1e6)
        finally:
            self.open -= 1
            self.record(
                "transaction",
                tx=tx,
                relay=relay,
                cls=cls.name,
                began=began,
                status=status,
                sends=sends,
                tenant=tenant,
            )
