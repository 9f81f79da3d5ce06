"""Measurements of one governor with many proxies: drains, cost by size, cells, idle polls."""

from __future__ import annotations

import asyncio
import tempfile
import time
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import numpy as np

from bench.feeders import FeedClient, Governor, GovernorOptions
from bench.output import print_row
from gradehoist.net.client import HttpClient

# The number of binds after which a proxy has all tables: one for each class of the settings.
BIND_COUNT = 2
BIND_TIMEOUT_S = 180.0
CELLS_BIND_TIMEOUT_S = 240.0
# The time between the last bind and a measurement.
SETTLE_S = 5.0
# The time over which CPU time and traffic are measured.
WINDOW_S = 20.0
# The percentiles that are printed.
QUANTILES = (50, 99, 100)
# A limit, in lines or lines per second, that no measurement reaches.
UNLIMITED = 1e6
# Proxies, replicas and lines per second.
SIZES = ((286, 118, 3500), (1000, 500, 12000))
SIZE_HEADINGS = (
    "relays",
    "replicas",
    "program",
    "CPU loop",
    "CPU planner",
    "answer p50 ms",
    "p99 ms",
    "worst ms",
    "MB loop",
    "MB planner",
)


@dataclass
class Fleet:
    """A governor with the feeds of its proxies; `start_fleet` owns the tasks and stops everything.

    Attributes:
        governor: The governor process.
        bytes_before_joins: The resident bytes of the event loop's process before any proxy joined.
        clients: The feeds of the proxies.
        tasks: The tasks of the feeds and load reports.
    """

    governor: Governor
    bytes_before_joins: int
    clients: list[FeedClient] = field(default_factory=list)
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def report_loads(self, replicas: int, cells: int = 0, load_swing: float = 0.0) -> None:
        """Starts to send a load report of each proxy once per second."""
        for client in self.clients:
            reports = client.send_load_reports(replicas, 1.0, cells, load_swing)
            self.tasks.append(asyncio.ensure_future(reports))

    async def wait_until(self, is_bound: Callable[[FeedClient], bool], timeout_s: float) -> None:
        """Waits until all proxies are bound.

        Raises:
            RuntimeError: Some are not bound within the timeout.
        """
        end = time.monotonic() + timeout_s
        while not all(is_bound(client) for client in self.clients):
            if time.monotonic() > end:
                unbound = sum(not is_bound(client) for client in self.clients)
                raise RuntimeError(f"{unbound} of {len(self.clients)} proxies are not bound")
            await asyncio.sleep(0.1)

    async def drain_replica(self, timeout_s: float, poll_s: float) -> list[float]:
        """Drains a replica; returns the seconds after which each proxy received the withdrawal.

        Proxies that do not receive it within the timeout are left out.
        """
        self.governor.endpoint_list.drain()
        end = time.monotonic() + timeout_s
        while not all(client.withdrawn_at for client in self.clients) and time.monotonic() < end:
            await asyncio.sleep(poll_s)
        notified_at = self.governor.endpoint_list.notified_at
        return [client.withdrawn_at - notified_at for client in self.clients if client.withdrawn_at]


@asynccontextmanager
async def start_fleet(options: GovernorOptions, joins_per_pause: int = 0) -> AsyncIterator[Fleet]:
    """Starts a governor and its proxies, and stops them at the end.

    With `joins_per_pause`, there is a pause whenever so many proxies have joined.
    """
    with tempfile.TemporaryDirectory() as folder:
        governor = Governor(Path(folder), options)
        tasks: list[asyncio.Task[None]] = []
        try:
            await governor.wait_until_ready()
            _, resident_bytes = governor.process_usage()
            fleet = Fleet(governor, resident_bytes, tasks=tasks)
            fleet.clients += [FeedClient(n, governor.port) for n in range(options.proxies)]
            for n, client in enumerate(fleet.clients, 1):
                fleet.tasks.append(asyncio.ensure_future(client.follow()))
                if joins_per_pause and n % joins_per_pause == 0:
                    await asyncio.sleep(0.1)
            yield fleet
        finally:
            for task in tasks:
                task.cancel()
            governor.close()


def is_bound(client: FeedClient) -> bool:
    """Whether a proxy has the tables of all classes."""
    return client.binds >= BIND_COUNT


@dataclass(frozen=True)
class Usage:
    """The CPU seconds and resident bytes of the governor's two processes at one moment."""

    at_s: float
    loop_cpu_s: float
    loop_bytes: int
    policy_cpu_s: float
    policy_bytes: int

    @classmethod
    def measure(cls, governor: Governor) -> Usage:
        """Measures both processes."""
        loop_cpu_s, loop_bytes = governor.process_usage()
        policy_cpu_s, policy_bytes = governor.policy_usage()
        return cls(time.monotonic(), loop_cpu_s, loop_bytes, policy_cpu_s, policy_bytes)

    def format_cpu_since(self, earlier: Usage) -> tuple[str, str]:
        """Returns the CPU shares of the loop and policy processes since an earlier measurement."""
        span = self.at_s - earlier.at_s
        loop = (self.loop_cpu_s - earlier.loop_cpu_s) / span
        policy = (self.policy_cpu_s - earlier.policy_cpu_s) / span
        return f"{100 * loop:.0f}%", f"{100 * policy:.0f}%"

    def format_memory(self) -> tuple[str, str]:
        """Returns the memory of the loop and policy processes in megabytes."""
        return f"{self.loop_bytes / 1e6:.0f}", f"{self.policy_bytes / 1e6:.0f}"


async def _measure_drain(proxies: int, replicas: int, lines_per_s: float) -> None:
    # As in an installation, the queue holds twice what can't be deferred. A withdrawal costs six lines per
    # proxy.
    queue_lines = max(lines_per_s, 12 * proxies)
    async with start_fleet(GovernorOptions(proxies, replicas, lines_per_s, queue_lines)) as fleet:
        await fleet.wait_until(is_bound, BIND_TIMEOUT_S)
        await asyncio.sleep(SETTLE_S)
        delays_s = await fleet.drain_replica(timeout_s=60, poll_s=0.05)
        quantiles = (f"{1e3 * np.percentile(delays_s, q):.0f}" for q in QUANTILES)
        print_row(proxies, replicas, f"{lines_per_s:g}", *quantiles, proxies - len(delays_s))


def measure_drains() -> None:
    """Prints the time until the withdrawal of a draining replica reaches the proxies."""
    print_row("relays", "replicas", "lines a second", "p50 ms", "p99 ms", "worst ms", "never told")
    for size in ((15, 12, 3500), (300, 118, 3500), (1000, 118, 3500), (1000, 118, 12000)):
        asyncio.run(_measure_drain(*size))


async def _measure_size(proxies: int, replicas: int, lines_per_s: float, module: str = "gradehoist") -> None:
    options = GovernorOptions(proxies, replicas, lines_per_s, lines_per_s, module=module)
    async with start_fleet(options) as fleet:
        await fleet.wait_until(is_bound, BIND_TIMEOUT_S)
        fleet.report_loads(replicas)
        await asyncio.sleep(SETTLE_S)
        before = Usage.measure(fleet.governor)
        delays_ms = await _measure_status(fleet.governor)
        after = Usage.measure(fleet.governor)
        quantiles = (f"{np.percentile(delays_ms, q):.1f}" for q in QUANTILES)
        cpu = after.format_cpu_since(before)
        print_row(proxies, replicas, module, *cpu, *quantiles, *after.format_memory())


async def _measure_status(governor: Governor) -> list[float]:
    """Returns the response time of each status request within the window, in milliseconds."""
    client = HttpClient("127.0.0.1", governor.port)
    delays_ms: list[float] = []
    end = time.monotonic() + WINDOW_S
    while time.monotonic() < end:
        started = time.perf_counter()
        await client.request("GET", "/v1/status", timeout_s=30)
        delays_ms.append(1e3 * (time.perf_counter() - started))
        await asyncio.sleep(0.01)
    return delays_ms


def measure_sizes() -> None:
    """Prints the governor's cost and response times at two sizes of fleet."""
    print_row(*SIZE_HEADINGS)
    for size in SIZES:
        asyncio.run(_measure_size(*size))


def compare_with_inline_policy() -> None:
    """Compares the cost with that of running the policies in the event loop's process, twice in turns."""
    print_row(*SIZE_HEADINGS)
    for size in SIZES:
        for module in ("bench.inline", "gradehoist", "bench.inline", "gradehoist"):
            asyncio.run(_measure_size(*size, module))


async def _measure_cells(proxies: int, replicas: int, cells: int, lines_per_s: float) -> None:
    queue_lines = max(lines_per_s, 12 * proxies)
    options = GovernorOptions(proxies, replicas, lines_per_s, queue_lines, cells=cells)
    async with start_fleet(options) as fleet:
        started = time.monotonic()
        fleet.report_loads(replicas, cells, load_swing=0.3)
        class_count = BIND_COUNT * max(1, cells)
        await fleet.wait_until(lambda client: len(client.classes) >= class_count, CELLS_BIND_TIMEOUT_S)
        bound_s = time.monotonic() - started
        await asyncio.sleep(SETTLE_S)
        traffic = await _measure_traffic(fleet)
        delays_s = await fleet.drain_replica(timeout_s=30, poll_s=0.02)
        quantiles = (f"{1e3 * np.percentile(delays_s, q):.0f}" for q in QUANTILES)
        print_row(
            proxies,
            replicas,
            cells,
            f"{bound_s:.1f}",
            *traffic.after.format_cpu_since(traffic.before),
            f"{traffic.messages_per_s:.0f}",
            f"{traffic.lines_per_s:.0f}",
            f"{traffic.bytes_per_s / 1e3:.0f}",
            *traffic.after.format_memory(),
            traffic.lag_ms,
            *quantiles,
            proxies - len(delays_s),
        )


@dataclass(frozen=True)
class Traffic:
    """What the governor sent within a window, its loop's greatest lag, and its usage before and after."""

    messages_per_s: float
    lines_per_s: float
    bytes_per_s: float
    lag_ms: float
    before: Usage
    after: Usage


async def _measure_traffic(fleet: Fleet) -> Traffic:
    before = Usage.measure(fleet.governor)
    bytes_before = sum(client.received_bytes for client in fleet.clients)
    messages_before = sum(client.messages for client in fleet.clients)
    earlier: dict[str, Any] = await fleet.governor.status()
    await asyncio.sleep(WINDOW_S)
    after = Usage.measure(fleet.governor)
    status: dict[str, Any] = await fleet.governor.status()
    span = after.at_s - before.at_s
    messages = sum(client.messages for client in fleet.clients) - messages_before
    received = sum(client.received_bytes for client in fleet.clients) - bytes_before
    lines = status["channel"]["sent"] - earlier["channel"]["sent"]
    return Traffic(
        messages_per_s=messages / span,
        lines_per_s=lines / span,
        bytes_per_s=received / span,
        lag_ms=status["lag_ms"],
        before=before,
        after=after,
    )


def measure_cells() -> None:
    """Compares one cell with many for the same proxies and replicas; one replica of one cell is drained."""
    print_row(
        "relays",
        "replicas",
        "cells",
        "all bound s",
        "CPU loop",
        "CPU planner",
        "messages/s",
        "lines/s",
        "kB/s",
        "MB loop",
        "MB planner",
        "worst lag ms",
        "drain p50 ms",
        "p99 ms",
        "worst ms",
        "never told",
    )
    for proxies, replicas, cells in ((300, 120, 1), (300, 120, 40), (1000, 300, 1), (1000, 300, 100)):
        asyncio.run(_measure_cells(proxies, replicas, cells, 12000))


async def _measure_idle_polls(proxies: int) -> None:
    options = GovernorOptions(proxies, 12, UNLIMITED, UNLIMITED, poll_hold="50s")
    async with start_fleet(options, joins_per_pause=100) as fleet:
        await fleet.wait_until(is_bound, BIND_TIMEOUT_S)
        await asyncio.sleep(3)
        _, resident_bytes = fleet.governor.process_usage()
        bytes_per_connection = (resident_bytes - fleet.bytes_before_joins) / proxies
        delays_s = await fleet.drain_replica(timeout_s=60, poll_s=0.02)
        print_row(
            proxies,
            f"{bytes_per_connection / 1e3:.1f}",
            f"{np.percentile(delays_s, 50):.2f}",
            f"{max(delays_s):.2f}",
            proxies - len(delays_s),
        )


def measure_idle_polls() -> None:
    """Prints the memory per idle poll, and the time until a change reaches 5000 of them."""
    print_row("idle polls", "kB a connection", "change to half, s", "change to all, s", "never told")
    asyncio.run(_measure_idle_polls(5000))
