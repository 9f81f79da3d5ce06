"""Many processes over one register: joining, the way of a change, the cost at rest, an outage.

All of them on this one machine: its cores are shared, so times at 230 processes are of a crowded machine.
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

Row = Callable[..., None]
AWAY = 30.0  # seconds of the outage: three sessions
PROBES = 20


class Fleet:
    def __init__(self, folder: Path, kind: str, count: int) -> None:
        engine, *ports = find_free_ports(count + 1)
        self.kind, self.folder, self.engine_port = kind, folder / "register", engine
        self.engine = (
            subprocess.Popen([sys.executable, "-m", "gradehoist.testbed", "engine", str(engine)])
            if kind == "engine"
            else None
        )
        where = str(engine) if kind == "engine" else str(self.folder)
        self.children = [
            subprocess.Popen([sys.executable, "-m", "bench.member", where, str(p), f"m{n}"])
            for n, p in enumerate(ports)
        ]
        self.clients = [HttpClient("127.0.0.1", p) for p in ports]

    async def all(self) -> list[dict[str, Any]]:
        async def one(client: HttpClient) -> dict[str, Any]:
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                response = await client.request("GET", "/status", timeout_s=5.0)
                found: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
                return found
            return {}

        return list(await asyncio.gather(*(one(c) for c in self.clients)))

    async def joined(self, seconds: float) -> float:
        """Seconds until all are; raises TimeoutError."""
        began = time.monotonic()
        while sum(bool(s.get("joined")) for s in await self.all()) < len(self.clients):
            if time.monotonic() - began > seconds:
                raise TimeoutError("not all joined")
            await asyncio.sleep(0.2)
        return time.monotonic() - began

    async def fault(self, **what: Any) -> None:
        client = HttpClient("127.0.0.1", self.engine_port)
        await client.request("POST", "/fault", msgspec.json.encode(what))
        client.close()

    async def away(self) -> None:
        if self.engine is not None:
            await self.fault(away=True)
        else:
            self.folder.rename(self.folder.with_name("aside"))
            self.folder.write_text("in the way")

    async def back(self) -> None:
        if self.engine is not None:
            await self.fault(do="extend")
            await self.fault()
        else:
            self.folder.unlink()
            self.folder.with_name("aside").rename(self.folder)

    def end(self) -> None:
        for child in [*self.children, *([self.engine] if self.engine else [])]:
            child.kill()
            child.wait()


async def _play(folder: Path, kind: str, count: int, row: Row) -> None:
    fleet = Fleet(folder, kind, count)
    try:
        joined = await fleet.joined(180)
        await asyncio.sleep(10)
        before, began = await fleet.all(), time.monotonic()
        await asyncio.sleep(15)
        after, span = await fleet.all(), time.monotonic() - began
        cores = sum(b["cpu"] - a["cpu"] for a, b in zip(before, after, strict=True)) / span
        for n in range(PROBES):
            await fleet.clients[n % count].request("POST", "/probe")
            await asyncio.sleep(0.5)
        late = sorted(x for s in await fleet.all() for x in s["late"])
        generations = [s["generation"] for s in await fleet.all()]
        await fleet.away()
        await asyncio.sleep(AWAY)
        lost = sum(not s.get("joined") for s in await fleet.all())
        await fleet.back()
        returned = await fleet.joined(120)
        kept = sum(s["generation"] == g for s, g in zip(await fleet.all(), generations, strict=True))
        p50, p99 = statistics.median(late), late[int(0.99 * len(late))]
        row(
            kind,
            count,
            f"{joined:.1f}",
            f"{p50:.0f}",
            f"{p99:.0f}",
            f"{len(late) / PROBES / count:.3f}",
            f"{cores:.2f}",
            lost,
            f"{returned:.1f}",
            kept,
        )
    finally:
        fleet.end()


def figures(row: Row, sizes: tuple[int, ...] = (8, 60, 230)) -> None:
    row(
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
                asyncio.run(_play(Path(folder), kind, count, row))
