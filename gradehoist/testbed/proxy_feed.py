"""The feed of a proxy, which follows one governor, applies its messages and sends it load reports."""

from __future__ import annotations

import asyncio
from typing import NoReturn
from urllib.parse import quote

import msgspec

from gradehoist.cells.rate_limits import RateLimiter, RateLimits
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import feed, http
from gradehoist.testbed.process import ENCODER
from gradehoist.testbed.proxy_context import ProxyContext

DECODER: msgspec.json.Decoder[feed.PollResponse] = msgspec.json.Decoder(feed.PollResponse)
MAX_RESPONSE_BYTES = 1 << 26
# A poll times out this long after the time for which the governor may hold it.
POLL_MARGIN_S = 1.0
REPORT_TIMEOUT_S = 1.0
# The expected statuses of load reports: accepted, sent for another epoch, and governor not ready.
REPORT_STATUSES = (204, 409, 503)


def _convert_limits(delta: feed.RateLimitsDelta) -> RateLimits:
    return RateLimits(
        delta.cell_rate, delta.tenant_rate, delta.burst_s, delta.tenant_in_flight, delta.cell_in_flight
    )


class ProxyFeed:
    """Follows the governors of a proxy, one at a time."""

    def __init__(self, context: ProxyContext) -> None:
        """Starts without a stream, at the first governor of the plan."""
        self.context = context
        self.reset()

    def reset(self) -> None:
        """Clears the stream, the rate limits and the choice of the governor, as a restart would."""
        self.rate_limiter: RateLimiter | None = None
        self.epoch = ""
        self.stream = 0
        self.acknowledged_seq = 0
        self.governor_index = 0

    def select_governor(self, name: str, after_reconnect: bool) -> None:
        """Selects the governor to connect to next.

        A proxy that reconnects advances to the next governor of the plan. With `after_reconnect`, the index
        is set so that this next one is the named governor.
        """
        index = [governor for governor, _ in self.context.plan.governors].index(name)
        self.governor_index = index - 1 if after_reconnect else index

    def _current_governor(self) -> tuple[str, tuple[str, int]]:
        governors = self.context.plan.governors
        return governors[self.governor_index % len(governors)]

    async def follow(self) -> NoReturn:
        """Polls one governor until it fails, then continues with the next one after a random delay."""
        limits = http.Limits(max_body_bytes=MAX_RESPONSE_BYTES)
        context = self.context
        while True:
            name, (host, port) = self._current_governor()
            client = HttpClient(host, port, limits=limits)
            reason = ""
            try:
                while not reason:
                    reason = await self._poll(client, name)
            except (ConnectError, ConnectionLostError, ResponseTimeoutError, msgspec.MsgspecError) as error:
                reason = f"{type(error).__name__}: {error}"
            finally:
                client.close()
            context.process.record("lost", relay=context.plan.name, governor=name, reason=reason)
            self.governor_index += 1
            await asyncio.sleep(context.random.uniform(*context.run_plan.reconnect_range_us) / 1e6)

    async def _poll(self, client: HttpClient, governor: str) -> str:
        """Polls once and applies the messages; returns an empty string, or the reason if the poll failed."""
        timeout_s = self.context.run_plan.poll_hold_us / 1e6 + POLL_MARGIN_S
        response = await client.request("GET", self._build_target(), timeout_s=timeout_s)
        if response.status != 200:
            return f"status {response.status}"
        update = DECODER.decode(response.body)
        if update.is_new_stream or (update.epoch, update.stream) != (self.epoch, self.stream):
            self._begin_stream(update, governor)
        for message in update.messages:
            if message.seq > self.acknowledged_seq:
                self._apply(message, governor, len(response.body))
        return ""

    def _build_target(self) -> str:
        plan = self.context.plan
        request_rate = self.context.run_plan.requests_per_s * plan.traffic_share
        return (
            f"/v1/feed?relay={quote(plan.name)}&zone={quote(plan.zone)}"
            f"&rate={request_rate:.3f}&epoch={self.epoch}&stream={self.stream}"
            f"&after={self.acknowledged_seq}"
        )

    def _begin_stream(self, update: feed.PollResponse, governor: str) -> None:
        self.epoch = update.epoch
        self.stream = update.stream
        self.acknowledged_seq = 0
        self.context.state.begin_stream()
        self.context.process.record(
            "joined",
            relay=self.context.plan.name,
            governor=governor,
            epoch=self.epoch,
            stream=self.stream,
        )

    def _apply(self, message: feed.Message, governor: str, response_bytes: int) -> None:
        self.context.state.apply(message)
        self._update_rate_limiter()
        self.acknowledged_seq = message.seq
        self.context.process.record(
            "applied",
            relay=self.context.plan.name,
            governor=governor,
            epoch=self.epoch,
            stream=self.stream,
            bytes=response_bytes,
            message=message,
        )

    def _update_rate_limiter(self) -> None:
        delta = self.context.state.rate_limits
        if not delta:
            return
        limits = _convert_limits(delta)
        if self.rate_limiter is None or self.rate_limiter.limits != limits:
            self.rate_limiter = RateLimiter(limits)

    async def report_load(self) -> NoReturn:
        """Sends a load report every period in which the proxy has a stream."""
        context = self.context
        while True:
            await asyncio.sleep(context.run_plan.load_report_period_us / 1e6)
            replica_loads = context.replica_loads
            class_loads = context.class_loads
            context.reset_loads()
            if not self.epoch:
                continue
            report = feed.ProxyLoadReport(
                proxy=context.plan.name,
                epoch=self.epoch,
                window_us=context.run_plan.load_report_period_us,
                attempts=tuple(load.build_record(replica) for replica, load in replica_loads.items()),
                requests=tuple(
                    feed.ClassRequests(name, load.requests, load.incomplete)
                    for name, load in class_loads.items()
                ),
            )
            context.process.start_task(self._send_report(report))

    async def _send_report(self, report: feed.ProxyLoadReport) -> None:
        context = self.context
        await asyncio.sleep(context.random.uniform(*context.run_plan.report_delay_range_us) / 1e6)
        name, (host, port) = self._current_governor()
        client = HttpClient(host, port)
        try:
            body = ENCODER.encode(report)
            response = await client.request("POST", "/v1/sums", body, timeout_s=REPORT_TIMEOUT_S)
        except (ConnectError, ConnectionLostError, ResponseTimeoutError):
            # A lost report is not repeated, because the next one follows soon.
            return
        finally:
            client.close()
        if response.status not in REPORT_STATUSES:
            context.process.record(
                "sums_refused",
                relay=context.plan.name,
                governor=name,
                status=response.status,
                body=response.body.decode("utf-8", "replace"),
            )
