"""Measures the platform's node on loopback: its start, its memory, and the delay of drains.

The delay of a drain is the time from its listing until the last proxy has read the order.
"""

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
# Proxies and replicas.
SIZES = ((60, 30), (150, 30), (400, 30))


@dataclass(frozen=True)
class NodeFigures:
    """The results of one run.

    Attributes:
        proxies: The number of proxies.
        start_s: The time that the node took to start.
        bound_s: The time from the first join until the last proxy had its tables.
        median_drain_s: The median delay of a drain.
        worst_drain_s: The greatest delay of a drain.
        memory_mb: The resident memory of the node.
    """

    proxies: int
    start_s: float
    bound_s: float
    median_drain_s: float
    worst_drain_s: float
    memory_mb: float


def create_settings(proxies: int) -> dict[str, Any]:
    """Returns settings whose queue has room for all tables at once, so that only the node causes delays."""
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


async def measure(proxies: int, replicas: int) -> NodeFigures:
    """Starts a node, lets proxies join, and drains replicas one after another."""
    members = [build_member(f"s-{n}", locality="abc"[n % 3]) for n in range(replicas)]
    with tempfile.TemporaryDirectory() as folder:
        node = NodeProcess(Path(folder), create_settings(proxies), members, sockets=1_024)
        try:
            start_s = await node.start()
            started = time.monotonic()
            peers = [await ProxyStream(node, n, "abc"[n % 3]).connect() for n in range(proxies)]
            await asyncio.gather(*(peer.read_until("whole=1") for peer in peers))
            bound_s, delays_s = time.monotonic() - started, []
            for n in range(ROUNDS):
                await asyncio.sleep(0.5)
                started = time.monotonic()
                node.discoveries[0].update_member(build_member(f"s-{n}", "leaving", locality="abc"[n % 3]))
                await asyncio.gather(*(peer.read_until(f"out=s-{n}") for peer in peers))
                delays_s.append(time.monotonic() - started)
            assert node.child is not None
            memory_mb = psutil.Process(node.child.pid).memory_info().rss / 2**20
            return NodeFigures(proxies, start_s, bound_s, median(delays_s), max(delays_s), memory_mb)
        finally:
            node.kill()


def measure_sizes() -> list[NodeFigures]:
    """Returns the results for each size."""
    return [asyncio.run(measure(*size)) for size in SIZES]
