"""Clients that send requests at a planned rate, with their own timeouts and retries; role `clients`.

The load is open-loop: requests start on schedule whether or not earlier ones have been answered. A proxy sees
each retry of a client as a separate request. The checkers count a request and its retries as one request,
which is completed within its latency objective, completed late, or given up.
"""

from __future__ import annotations

import asyncio
import math
from pathlib import Path
from random import Random
from typing import Any

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.testbed.process import LOOPBACK, Process, create_random, read_monotonic_us
from gradehoist.testbed.scenario_plan import Plan, RequestClassPlan

# Recorded in place of an HTTP status for attempts that got no response.
STATUS_CONNECT_FAILED = -1
STATUS_CONNECTION_LOST = -2
STATUS_TIMED_OUT = -3
# After these statuses the request is known to have had no effect.
RETRYABLE_STATUSES = (429, 503, STATUS_CONNECT_FAILED)
# The exponential distribution of the times between arrivals requires a rate above 0.
MIN_REQUESTS_PER_S = 1e-3


class ClientProcess(Process):
    """Generates the traffic of a run, with one HTTP client for each proxy."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Creates the clients; they send nothing before the command `begin`."""
        super().__init__(plan, role, folder)
        self.clients = {proxy.name: HttpClient(LOOPBACK, proxy.port) for proxy in plan.proxies}
        self.proxy_factors = {proxy.name: 1.0 for proxy in plan.proxies}
        self.total_factor = 1.0
        self.tenant_factors: dict[str, float] = {}

    async def start(self) -> None:
        """Does nothing, because arrivals start at the command `begin`, when the clock of the run starts."""

    def on_command(self, command: dict[str, Any]) -> None:
        """Executes a command of the run.

        `begin` starts the arrivals. The others set a factor on the request rate: `factor` for the named
        proxies, `louder` for one tenant, `whole` for all traffic.
        """
        match command["do"]:
            case "begin":
                self.began_us = read_monotonic_us()
                self.start_task(self._generate_arrivals())
            case "factor":
                for name in command["relays"]:
                    self.proxy_factors[name] = float(command["value"])
            case "louder":
                self.tenant_factors[command["tenant"]] = float(command["value"])
            case "whole":
                self.total_factor = float(command["value"])
            case _:
                raise ValueError(f"unknown command {command['do']!r} for the clients")

    def _rate_factor(self, elapsed_us: int) -> float:
        """Returns the factor on the request rate, interpolated linearly between the points of the plan."""
        points = self.plan.rate_factors or ((0, 1.0),)
        if elapsed_us <= points[0][0]:
            return points[0][1]
        for (start_us, start_factor), (end_us, end_factor) in zip(points, points[1:], strict=False):
            if start_us <= elapsed_us < end_us:
                slope = (end_factor - start_factor) * (elapsed_us - start_us) / (end_us - start_us)
                return start_factor + slope
        return points[-1][1]

    def _proxy_weights(self) -> dict[str, float]:
        return {
            proxy.name: proxy.traffic_share * self.proxy_factors[proxy.name] for proxy in self.plan.proxies
        }

    def _tenant_weights(self) -> list[float]:
        return [share * self.tenant_factors.get(tenant, 1.0) for tenant, share in self.plan.tenant_shares]

    async def _generate_arrivals(self) -> None:
        """Starts requests as a Poisson process until the planned length of the run is over."""
        random = create_random(self.plan.seed, "arrivals")
        number = 0
        scheduled_s = 0.0
        while True:
            elapsed_us = read_monotonic_us() - self.began_us
            if elapsed_us >= self.plan.length_us:
                return
            proxy_weights = self._proxy_weights()
            rate = (
                self.plan.requests_per_s
                * self.total_factor
                * self._rate_factor(elapsed_us)
                * sum(proxy_weights.values())
                * sum(self._tenant_weights())
            )
            scheduled_s += random.expovariate(max(rate, MIN_REQUESTS_PER_S))
            wait_s = scheduled_s - (read_monotonic_us() - self.began_us) / 1e6
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            proxy = random.choices(list(proxy_weights), list(proxy_weights.values()))[0]
            class_shares = [request_class.traffic_share for request_class in self.plan.classes]
            request_class = random.choices(self.plan.classes, class_shares)[0]
            work_ms = _sample_work_ms(request_class, random)
            tenants = [tenant for tenant, _ in self.plan.tenant_shares]
            tenant = random.choices(tenants, self._tenant_weights())[0]
            number += 1
            self.start_task(self._send_request(f"c{number}", proxy, request_class, work_ms, tenant))

    async def _send_request(
        self, request_id: str, proxy: str, request_class: RequestClassPlan, work_ms: float, tenant: str
    ) -> None:
        """Sends a request and its retries, and records the last status and the number of attempts."""
        began_us = read_monotonic_us()
        attempts = 0
        status = 0
        try:
            while True:
                timeout_us = self._attempt_timeout_us(request_class, began_us)
                if timeout_us <= 0:
                    break
                attempts += 1
                headers = (
                    ("x-transaction", f"{request_id}.{attempts}"),
                    ("x-class", request_class.name),
                    ("x-work", f"{work_ms:.3f}"),
                    ("x-patience", str(timeout_us)),
                    ("x-tenant", tenant),
                )
                status = await self._send_attempt(proxy, headers, timeout_us)
                if not _is_retryable(request_class, status) or attempts > self.plan.retries:
                    break
                await asyncio.sleep(self.plan.backoff_us / 1e6)
        finally:
            self.record(
                "transaction",
                tx=request_id,
                relay=proxy,
                cls=request_class.name,
                began=began_us,
                status=status,
                sends=attempts,
                tenant=tenant,
            )

    def _attempt_timeout_us(self, request_class: RequestClassPlan, began_us: int) -> int:
        remaining_us = began_us + request_class.deadline_us - read_monotonic_us()
        return min(remaining_us, int(self.plan.attempt_share * request_class.deadline_us))

    async def _send_attempt(self, proxy: str, headers: tuple[tuple[str, str], ...], timeout_us: int) -> int:
        """Sends one attempt and returns the HTTP status, or a negative status if there was no response."""
        try:
            response = await self.clients[proxy].request("POST", "/", b"", headers, timeout_us / 1e6)
        except ConnectError:
            return STATUS_CONNECT_FAILED
        except ConnectionLostError:
            return STATUS_CONNECTION_LOST
        except ResponseTimeoutError:
            return STATUS_TIMED_OUT
        return response.status


def _sample_work_ms(request_class: RequestClassPlan, random: Random) -> float:
    """Samples a log-normal distribution with the mean and the coefficient of variation of the class."""
    sigma = math.sqrt(math.log(1 + request_class.work_variation**2))
    return request_class.work_ms * random.lognormvariate(-(sigma**2) / 2, sigma)


def _is_retryable(request_class: RequestClassPlan, status: int) -> bool:
    """Returns whether the attempt failed and either had no effect or may safely take effect twice."""
    if status == 200:
        return False
    return status in RETRYABLE_STATUSES or request_class.idempotency == "free"
