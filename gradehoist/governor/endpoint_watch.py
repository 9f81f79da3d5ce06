"""Keeps the endpoint list up to date by long polls of the list service, while the policies request it."""

from __future__ import annotations

import asyncio

import msgspec

from gradehoist.clock import monotonic_us
from gradehoist.governor.endpoint_cache import EndpointCache
from gradehoist.governor.endpoint_list import EndpointListGapError
from gradehoist.governor.shell_state import ShellState
from gradehoist.governor.zone_coordination import ZoneCoordination
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol.feed import EndpointListUpdate

HOLD_S = 5.0  # how long the service may hold a request; short enough to notice a broken connection
RESPONSE_MARGIN_S = 2.0  # added to the hold time for the request timeout
MIN_INTERVAL_S = 0.05  # between requests; small compared to any grace period
IDLE_INTERVAL_S = 0.05  # between checks whether the policies want the list
FIRST_BACKOFF_S = 0.2
MAX_BACKOFF_S = 2.0
SNAPSHOT_VERSION = -1  # the query value that requests the complete list
_DECODER: msgspec.json.Decoder[EndpointListUpdate] = msgspec.json.Decoder(EndpointListUpdate)


class EndpointWatch:
    """The task that keeps the core's endpoint list up to date. The service owns it."""

    def __init__(self, shell: ShellState, cache: EndpointCache, zones: ZoneCoordination | None) -> None:
        """Creates the task's state; `cache` is notified of changes, and `zones` of confirmations."""
        self._core = shell.core
        self._settings = shell.settings
        self._signals = shell.signals
        self._clients = shell.clients
        self._log = shell.log
        self._cache = cache
        self._zones = zones
        self._client = HttpClient(*shell.core.fleet.endpoint_list_address)
        self._needs_snapshot = True
        self._is_failing = False
        self._backoff_s = FIRST_BACKOFF_S

    async def run(self) -> None:
        """Requests the list repeatedly until the task is cancelled."""
        while True:
            if not (self._core.endpoints_subscribed or self._core.endpoints_requested):
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            began_us = monotonic_us()
            try:
                self._apply(await self._request())
            except EndpointListGapError as error:
                await self._handle_gap(error)
            except (
                ConnectError,
                ConnectionLostError,
                ResponseTimeoutError,
                ValueError,
                msgspec.MsgspecError,
            ) as error:
                await self._handle_failure(error)
            else:
                # Without this pause, a service that does not hold requests would receive a thousand a second.
                elapsed_s = (monotonic_us() - began_us) / 1e6
                await asyncio.sleep(max(0.0, MIN_INTERVAL_S - elapsed_s))

    async def _request(self) -> EndpointListUpdate:
        endpoint_list = self._core.endpoint_list
        wants_snapshot = self._needs_snapshot or self._core.endpoints_requested
        version = SNAPSHOT_VERSION if wants_snapshot else endpoint_list.version
        target = (
            f"/v1/roster?zone={self._settings.zone}&life={endpoint_list.incarnation}&after={version}"
            f"&wait={HOLD_S:g}&reader={self._settings.name}"
        )
        response = await self._client.request("GET", target, timeout_s=HOLD_S + RESPONSE_MARGIN_S)
        if response.status != 200:
            raise ValueError(f"status {response.status}")
        return _DECODER.decode(response.body)

    def _apply(self, update: EndpointListUpdate) -> None:
        has_changed = self._core.handle_endpoint_list(monotonic_us(), update)
        if self._zones is not None:
            self._zones.confirm_endpoint_list(monotonic_us())
        if self._is_failing:
            self._log.info("endpoint_list_recovered")
        self._is_failing = False
        self._needs_snapshot = False
        self._backoff_s = FIRST_BACKOFF_S
        self._core.endpoints_requested = False
        if has_changed:
            self._announce_change()

    def _announce_change(self) -> None:
        self._clients.close_unlisted(self._core.endpoint_list.endpoints.values())
        self._signals.events_pending.set()
        if self._core.has_urgent_change:
            self._core.has_urgent_change = False
            self._signals.urgent_change.set()
        self._cache.mark_changed()

    async def _handle_gap(self, error: EndpointListGapError) -> None:
        """Schedules a request for the complete list, after a backoff if the last request was one already."""
        self._log.info("endpoint_list_gap_detected", reason=str(error))
        await asyncio.sleep(self._backoff_s if self._needs_snapshot else 0.0)
        self._needs_snapshot = True

    async def _handle_failure(self, error: Exception) -> None:
        if not self._is_failing:
            self._log.warning("endpoint_list_request_failed", reason=str(error))
        if self._core.fleet.load_reporting.must_subscribe:
            self._core.handle_endpoint_request_failed()
            self._core.endpoints_subscribed = False
            self._core.endpoints_requested = False
            self._signals.events_pending.set()
        self._is_failing = True
        await asyncio.sleep(self._backoff_s)
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)
