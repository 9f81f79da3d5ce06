"""Measures many members that share one coordination store: joins, delay of a change, idle cost, an outage.

All of them share the cores of one machine, so times with 230 processes are those of an overloaded machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.scenario.free_ports import find_free_ports

PrintRow = Callable[..., None]
# Three times the TTL of a session.
OUTAGE_S = 30.0
PROBE_COUNT = 20


class Fleet:
    """Member processes that share one coordination store; the caller stops them."""

    def __init__(self, folder: Path, kind: str, count: int) -> None:
        """Starts the members, and the store if it is a separate server."""
        server_port, *ports = find_free_ports(count + 1)
        self.kind, self.folder, self.server_port = kind, folder / "register", server_port
        self.server = (
            subprocess.Popen([sys.executable, "-m", "gradehoist.testbed", "engine", str(server_port)])
            if kind == "engine"
            else None
        )
        store = str(server_port) if kind == "engine" else str(self.folder)
        self.members = [
            subprocess.Popen([sys.executable, "-m", "bench.member", store, str(p), f"m{n}"])
            for n, p in enumerate(ports)
        ]
        self.clients = [HttpClient("127.0.0.1", p) for p in ports]

    async def fetch_statuses(self) -> list[dict[str, Any]]:
        """Returns the status of each member; empty for a member that does not answer."""

        async def fetch(client: HttpClient) -> dict[str, Any]:
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                response = await client.request("GET", "/status", timeout_s=5.0)
                status: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
                return status
            return {}

        return list(await asyncio.gather(*(fetch(c) for c in self.clients)))

    async def wait_until_joined(self, timeout_s: float) -> float:
        """Waits until all members have joined; returns how long it took, in seconds.

        Raises:
            TimeoutError: Some have not joined within the timeout.
        """
        started = time.monotonic()
        while sum(bool(s.get("joined")) for s in await self.fetch_statuses()) < len(self.clients):
            if time.monotonic() - started > timeout_s:
                raise TimeoutError(f"not all members joined within {timeout_s:g} s")
            await asyncio.sleep(0.2)
        return time.monotonic() - started

    async def inject_fault(self, **fault: Any) -> None:
        """Injects a fault into the store's server."""
        client = HttpClient("127.0.0.1", self.server_port)
        await client.request("POST", "/fault", msgspec.json.encode(fault))
        client.close()

    async def make_store_unavailable(self) -> None:
        """Makes the store unavailable."""
        if self.server is not None:
            await self.inject_fault(away=True)
        else:
            self.folder.rename(self.folder.with_name("aside"))
            self.folder.write_text("in the way")

    async def restore_store(self) -> None:
        """Makes the store available again."""
        if self.server is not None:
            await self.inject_fault(do="extend")
            await self.inject_fault()
        else:
            self.folder.unlink()
            self.folder.with_name("aside").rename(self.folder)

    def stop(self) -> None:
        """Kills all processes."""
        for process in [*self.members, *([self.server] if self.server else [])]:
            process.kill()
            process.wait()


async def _measure(folder: Path, kind: str, count: int, print_row: PrintRow) -> None:
    fleet = Fleet(folder, kind, count)
    try:
        joined_s = await fleet.wait_until_joined(180)
        await asyncio.sleep(10)
        before, started = await fleet.fetch_statuses(), time.monotonic()
        await asyncio.sleep(15)
        after, span_s = await fleet.fetch_statuses(), time.monotonic() - started
        cores = sum(b["cpu"] - a["cpu"] for a, b in zip(before, after, strict=True)) / span_s
        for n in range(PROBE_COUNT):
            await fleet.clients[n % count].request("POST", "/probe")
            await asyncio.sleep(0.5)
        delays_ms = sorted(x for s in await fleet.fetch_statuses() for x in s["late"])
        generations = [s["generation"] for s in await fleet.fetch_statuses()]
        await fleet.make_store_unavailable()
        await asyncio.sleep(OUTAGE_S)
        lost_count = sum(not s.get("joined") for s in await fleet.fetch_statuses())
        await fleet.restore_store()
        rejoined_s = await fleet.wait_until_joined(120)
        kept_session_count = sum(
            s["generation"] == g for s, g in zip(await fleet.fetch_statuses(), generations, strict=True)
        )
        median_ms, p99_ms = statistics.median(delays_ms), delays_ms[int(0.99 * len(delays_ms))]
        print_row(
            kind,
            count,
            f"{joined_s:.1f}",
            f"{median_ms:.0f}",
            f"{p99_ms:.0f}",
            f"{len(delays_ms) / PROBE_COUNT / count:.3f}",
            f"{cores:.2f}",
            lost_count,
            f"{rejoined_s:.1f}",
            kept_session_count,
        )
    finally:
        fleet.stop()


def measure_coordination(print_row: PrintRow, sizes: tuple[int, ...] = (8, 60, 230)) -> None:
    """Prints a row for each kind of store and each number of members."""
    print_row(
        "home",
        "processes",
        "all joined s",
        "a change, p50 ms",
        "p99 ms",
        "seen by",
        "cores at rest",
        "in doubt after 30 s away",
        "all back s",
        "kept their session",
    )
    for kind in ("embedded", "engine"):
        for count in sizes:
            with tempfile.TemporaryDirectory() as folder:
                asyncio.run(_measure(Path(folder), kind, count, print_row))
