"""The platform's node on loopback: start, memory, and the time from a drain listed to the last order read."""

from __future__ import annotations

import asyncio
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path
from statistics import median
from typing import Any

import psutil

from gradehoist.testbed.platform import NodeProcess, ProxyStream, build_member

ROUNDS = 9
SIZES = ((60, 30), (150, 30), (400, 30))


@dataclass(frozen=True)
class Figures:
    """What one play measured."""

    proxies: int
    start: float  # s
    bound: float  # s from the first joining to the last table
    drain: float  # s, median: from the list's line written to the last proxy's order read
    worst: float
    memory: float  # MB resident


def settings(proxies: int) -> dict[str, Any]:
    """A queue with room for all tables at once, so that the node alone takes time."""
    classes = [{"name": c, "aim": 1.0, "deadline": 2.0, "idempotency": "free"} for c in ("read", "write")]
    channel = {"pending-max": 1e6, "push-rate": 1e6, "fixed-cost": 4.0, "pushes-allowed": 0}
    specifics = {"period": 1.0, "proxies": proxies, "blackhole": 4.0, "admission": "share"}
    return {
        "azs": ["a", "b", "c"],
        "kinds": ["k"],
        "classes": classes,
        "specifics": specifics | channel,
        "guarantees": {"drain-grace": 2.0, "cold": 10.0, "cold-share": 0.2},
    }


async def play(proxies: int, replicas: int) -> Figures:
    """Starts a node, joins proxies, and drains replicas one after the other."""
    members = [build_member(f"s-{n}", locality="abc"[n % 3]) for n in range(replicas)]
    with tempfile.TemporaryDirectory() as folder:
        node = NodeProcess(Path(folder), settings(proxies), members, sockets=1_024)
        try:
            start = await node.start()
            began = time.monotonic()
            peers = [await ProxyStream(node, n, "abc"[n % 3]).connect() for n in range(proxies)]
            await asyncio.gather(*(peer.read_until("whole=1") for peer in peers))
            bound, took = time.monotonic() - began, []
            for n in range(ROUNDS):
                await asyncio.sleep(0.5)
                began = time.monotonic()
                node.discovery_servers[0].update_member(
                    build_member(f"s-{n}", "leaving", locality="abc"[n % 3])
                )
                await asyncio.gather(*(peer.read_until(f"out=s-{n}") for peer in peers))
                took.append(time.monotonic() - began)
            assert node.child is not None
            memory = psutil.Process(node.child.pid).memory_info().rss / 2**20
            return Figures(proxies, start, bound, median(took), max(took), memory)
        finally:
            node.kill()


def figures() -> list[Figures]:
    """The figures of each size."""
    return [asyncio.run(play(*size)) for size in SIZES]
