"""Runs the health checks of replicas that the policy orders, over HTTP."""

from __future__ import annotations

import asyncio
import contextlib

from gradehoist.governor import health_checks
from gradehoist.interface import HealthCheckOutcome, LoadReport
from gradehoist.net.background_tasks import BackgroundTasks
from gradehoist.net.client import HttpClient
from gradehoist.node.config import parse_address
from gradehoist.node.endpoint_list import ListedEndpoint
from gradehoist.node.log import NodeLog
from gradehoist.node.policy_runner import PolicyRunner
from gradehoist.protocol import orca
from gradehoist.settings import platform

CHECK_TIMEOUT_S = 1.0
MAX_CONCURRENT_CHECKS = 4
STATS_TARGET = "/stats"


class HealthChecker:
    """Runs each health check in its own task and reports the result to the core."""

    def __init__(
        self,
        runner: PolicyRunner,
        tasks: BackgroundTasks,
        log: NodeLog,
    ) -> None:
        """Creates a checker that runs at most MAX_CONCURRENT_CHECKS checks at once."""
        self._runner = runner
        self._core = runner.core
        self._clock = runner.clock
        self._tasks = tasks
        self._log = log
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_CHECKS)

    def start(self, replica: int) -> asyncio.Task[None]:
        """Starts a check of a replica and returns its task."""
        return self._tasks.start(self._check(replica))

    async def _check(self, replica: int) -> None:
        """Repeats the check until the endpoint did not change while the check ran.

        If it changed, the result may belong to an earlier incarnation or to the previous user of the address.
        The policy has to get a result in the end: without one, a replica that left and came back during its
        check would stay ejected.
        """
        name = self._core.identifiers.replicas.names[replica]
        while True:
            checked = self._core.endpoint_list.endpoints.get(name)
            started_us = self._clock.now_us()
            outcome, load = await self._request(name, checked)
            if _is_same_incarnation(checked, self._core.endpoint_list.endpoints.get(name)):
                break
        elapsed_us = self._clock.now_us() - started_us
        self._core.on_health_checked(replica, outcome, elapsed_us, load)
        self._runner.schedule()

    async def _request(
        self, name: str, endpoint: ListedEndpoint | None
    ) -> tuple[HealthCheckOutcome, LoadReport | None]:
        outcome = HealthCheckOutcome.UNREACHABLE
        try:
            address = parse_address(endpoint.address if endpoint is not None else "")
            with contextlib.closing(HttpClient(address.host, address.port)) as client:
                outcome, response = await health_checks.check_health(
                    client, STATS_TARGET, CHECK_TIMEOUT_S, self._slots
                )
            if response is not None and response.body:
                return outcome, _parse_load(response.body)
        except ValueError as error:  # the address is missing or invalid, or the body is not a load report
            self._log.write(f"health check of {name}: {error}")
        return outcome, None


def _is_same_incarnation(before: ListedEndpoint | None, after: ListedEndpoint | None) -> bool:
    if before is None or after is None:
        return before is after
    return (before.address, before.started_us) == (after.address, after.started_us)


def _parse_load(body: bytes) -> LoadReport | None:
    """Parses the load report in a response body; raises ValueError if it is malformed."""
    report = orca.parse_report(body.decode("latin-1"), platform.FIELD_BY_METRIC)
    if report is None:
        return None
    return LoadReport(busy_share=report.busy_share, in_flight=report.in_flight, service_ms=report.service_ms)
