"""Runs the health checks that the policies order, with a limit on concurrent checks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from gradehoist.clock import monotonic_us
from gradehoist.governor.health_checks import check_health
from gradehoist.governor.replica_clients import replica_address
from gradehoist.governor.shell_state import ShellState
from gradehoist.governor.zone_coordination import ZoneCoordination
from gradehoist.interface import HealthCheckOutcome, LoadReport
from gradehoist.protocol import http, orca
from gradehoist.protocol.feed import EndpointRecord

PATH = "/healthz"


class HealthChecker:
    """Runs health checks and gives the core their outcomes. The service owns it."""

    def __init__(self, shell: ShellState, zones: ZoneCoordination | None) -> None:
        """Creates a checker; `zones`, if given, counts the outcomes by zone."""
        self._core = shell.core
        self._signals = shell.signals
        self._clients = shell.clients
        self._tasks = shell.tasks
        self._log = shell.log
        self._zones = zones
        self._semaphore = asyncio.Semaphore(shell.core.fleet.max_health_checks)

    def start(self, replicas: Iterable[int]) -> None:
        """Starts a background check of each replica."""
        for replica in replicas:
            self._tasks.start(self._check(replica))

    async def _check(self, replica: int) -> None:
        """Checks one replica; the timeout includes the wait for a free slot."""
        began_us = monotonic_us()
        name = self._core.identifiers.replicas.names[replica]
        endpoint = self._core.endpoint_list.endpoints.get(name)
        outcome, load = await self._request(name, endpoint)
        self._core.handle_health_check(replica, outcome, monotonic_us() - began_us, load)
        if self._zones is not None and endpoint is not None:
            is_healthy = outcome is HealthCheckOutcome.HEALTHY
            self._zones.stats.add_health_check(monotonic_us(), endpoint.zone, is_healthy)
        self._log.info("health_check_completed", replica=name, outcome=outcome.value)
        self._signals.events_pending.set()

    async def _request(
        self, name: str, endpoint: EndpointRecord | None
    ) -> tuple[HealthCheckOutcome, LoadReport | None]:
        """Returns the outcome and the load that the ORCA header of the response reports."""
        address = replica_address(endpoint) if endpoint else name
        timeout_s = self._core.fleet.health_check_timeout_us / 1e6
        try:
            client = self._clients.get(address)
            result = await check_health(client, PATH, timeout_s, self._semaphore)
            return result.outcome, _read_load(result.response)
        except ValueError as error:  # the address or the load report is malformed
            self._log.warning("health_check_aborted", replica=name, reason=str(error))
            return HealthCheckOutcome.OTHER, None


def _read_load(response: http.Response | None) -> LoadReport | None:
    text = http.get_header(response.headers, orca.HEADER_NAME) if response else None
    report = orca.parse_report(text) if text else None
    if not report:
        return None
    return LoadReport(busy_share=report.busy_share, in_flight=report.in_flight, service_ms=report.service_ms)
