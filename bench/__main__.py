"""`python -m bench [NAME …]`: parser, drains, size, inline, cells, places, plans, node, register,
idle, shares."""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import h11
import msgspec
import numpy as np

from bench import placements
from bench import plans as planning
from bench.feeders import Feeder, Governor
from bench.node import figures as node_figures
from bench.register import figures as register_figures
from gradehoist.net.client import HttpClient
from gradehoist.protocol import feed, http
from gradehoist.protocol.http_parser import Parser
from gradehoist.protocol.proxy_state import ProxyState, TableKey
from gradehoist.scenario.checks.records import MessageApplied, StreamBegan, load_records
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.scenario.runner import Run

REQUEST = (
    b"POST /v1/sums HTTP/1.1\r\nhost: 127.0.0.1:7101\r\nuser-agent: relay\r\naccept: */*\r\n"
    b"content-type: application/json\r\nx-relay: r12\r\ncontent-length: 300\r\n\r\n" + b"x" * 300
)


def row(*cells: object) -> None:
    print("| " + " | ".join(str(c) for c in cells) + " |", flush=True)


def parser() -> None:
    """Requests read and answered a second, h11 beside ours, in turns on the same bytes; an h11 connection
    can't go on without an answer, so both write one."""
    data, times = REQUEST * 50, dict[str, list[float]](ours=[], h11=[], reading=[])

    def reading() -> int:
        reader = Parser(http.Role.SERVER)
        return sum(len(reader.receive(data)) for _ in range(20))

    def ours() -> int:
        reader, count = Parser(http.Role.SERVER), 0
        for _ in range(20):
            for _event in reader.receive(data):
                http.format_response(204)
                count += 1
        return count

    def theirs() -> int:
        connection, count = h11.Connection(h11.SERVER), 0
        for _ in range(20):
            connection.receive_data(data)
            while True:
                event = connection.next_event()
                if event is h11.NEED_DATA:
                    break
                if isinstance(event, h11.EndOfMessage):
                    count += 1
                    connection.send(h11.Response(status_code=204, headers=[]))
                    connection.send(h11.EndOfMessage())
                    connection.start_next_cycle()
        return count

    for _ in range(7):
        for name, work in (("ours", ours), ("h11", theirs), ("reading", reading)):
            began = time.perf_counter()
            assert work() == 1000
            times[name].append(time.perf_counter() - began)
    mine, other, alone = (1000 / statistics.median(times[name]) for name in ("ours", "h11", "reading"))
    row("parser", "requests a second")
    row("ours, read and answered", round(mine))
    row("h11, read and answered", round(other))
    row("ratio", f"{mine / other:.1f}")
    row("ours, read only", round(alone))


async def _governed(
    relays: int,
    replicas: int,
    rate: float,
    queue: float,
    folder: str,
    module: str = "gradehoist",
    hold: str = "20s",
) -> tuple[Governor, list[Feeder], list[asyncio.Task[None]]]:
    governor = Governor(Path(folder), relays, replicas, rate, queue, hold=hold, module=module)
    await governor.ready()
    feeders = [Feeder(n, governor.port) for n in range(relays)]
    tasks = [asyncio.ensure_future(f.follow()) for f in feeders]
    end = time.monotonic() + 180
    while not all(f.bound >= 2 for f in feeders):
        if time.monotonic() > end:
            governor.close()
            raise RuntimeError(f"{sum(f.bound < 2 for f in feeders)} of {relays} relays are not bound")
        await asyncio.sleep(0.1)
    return governor, feeders, tasks


async def _drain(relays: int, replicas: int, rate: float) -> None:
    with tempfile.TemporaryDirectory() as folder:
        # A site's queue holds what can't be put off twice: a withdrawal costs each relay six lines.
        governor, feeders, tasks = await _governed(relays, replicas, rate, max(rate, 12 * relays), folder)
        await asyncio.sleep(5)
        governor.roster.drain()
        end = time.monotonic() + 60
        while not all(f.out for f in feeders) and time.monotonic() < end:
            await asyncio.sleep(0.05)
        waits = [1e3 * (f.out - governor.roster.told) for f in feeders if f.out]
        row(
            relays,
            replicas,
            f"{rate:g}",
            *(f"{np.percentile(waits, q):.0f}" for q in (50, 99, 100)),
            len(feeders) - len(waits),
        )
        for task in tasks:
            task.cancel()
        governor.close()


def drains() -> None:
    row("relays", "replicas", "lines a second", "p50 ms", "p99 ms", "worst ms", "never told")
    for relays, replicas, rate in ((15, 12, 3500), (300, 118, 3500), (1000, 118, 3500), (1000, 118, 12000)):
        asyncio.run(_drain(relays, replicas, rate))


async def _size(relays: int, replicas: int, rate: float, module: str = "gradehoist") -> None:
    with tempfile.TemporaryDirectory() as folder:
        governor, feeders, tasks = await _governed(relays, replicas, rate, rate, folder, module)
        tasks += [asyncio.ensure_future(f.sums(replicas, 1.0)) for f in feeders]
        await asyncio.sleep(5)
        client, waits = HttpClient("127.0.0.1", governor.port), []
        (cpu, _), (planner, _), began = governor.usage(), governor.planner_usage(), time.monotonic()
        while time.monotonic() - began < 20:
            asked = time.perf_counter()
            await client.request("GET", "/v1/status", timeout_s=30)
            waits.append(1e3 * (time.perf_counter() - asked))
            await asyncio.sleep(0.01)
        took = time.monotonic() - began
        (cpu2, memory), (planner2, pmemory) = governor.usage(), governor.planner_usage()
        shares = (f"{100 * (cpu2 - cpu) / took:.0f}%", f"{100 * (planner2 - planner) / took:.0f}%")
        row(
            relays,
            replicas,
            module,
            *shares,
            *(f"{np.percentile(waits, q):.1f}" for q in (50, 99, 100)),
            f"{memory / 1e6:.0f}",
            f"{pmemory / 1e6:.0f}",
        )
        for task in tasks:
            task.cancel()
        governor.close()


HEAD = (
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


def size() -> None:
    row(*HEAD)
    for relays, replicas, rate in ((286, 118, 3500), (1000, 500, 12000)):
        asyncio.run(_size(relays, replicas, rate))


def inline() -> None:
    row(*HEAD)
    for relays, replicas, rate in ((286, 118, 3500), (1000, 500, 12000)):
        for module in ("bench.inline", "gradehoist", "bench.inline", "gradehoist"):
            asyncio.run(_size(relays, replicas, rate, module))


async def _cells(relays: int, replicas: int, cells: int, rate: float) -> None:
    """One governor with so many cells: when all relays are bound, what it costs, how quick a drain is."""
    with tempfile.TemporaryDirectory() as folder:
        governor = Governor(Path(folder), relays, replicas, rate, max(rate, 12 * relays), cells=cells)
        await governor.ready()
        feeders, began = [Feeder(n, governor.port) for n in range(relays)], time.monotonic()
        tasks = [asyncio.ensure_future(f.follow()) for f in feeders]
        tasks += [asyncio.ensure_future(f.sums(replicas, 1.0, cells, 0.3)) for f in feeders]
        while not all(len(f.classes) >= 2 * max(1, cells) for f in feeders):
            if time.monotonic() > began + 240:
                governor.close()
                raise RuntimeError("not all relays are bound")
            await asyncio.sleep(0.2)
        bound = time.monotonic() - began
        await asyncio.sleep(5)
        (cpu, _), (planner, _), began = governor.usage(), governor.planner_usage(), time.monotonic()
        got, messages = sum(f.got for f in feeders), sum(f.messages for f in feeders)
        sent = (await governor.status())["channel"]["sent"]  # type: ignore[index]
        await asyncio.sleep(20)
        took = time.monotonic() - began
        (cpu2, memory), (planner2, pmemory) = governor.usage(), governor.planner_usage()
        status = await governor.status()
        lines = (status["channel"]["sent"] - sent) / took  # type: ignore[index]
        shares = (f"{100 * (cpu2 - cpu) / took:.0f}%", f"{100 * (planner2 - planner) / took:.0f}%")
        row_of = (
            f"{(sum(f.messages for f in feeders) - messages) / took:.0f}",
            f"{lines:.0f}",
            f"{(sum(f.got for f in feeders) - got) / took / 1e3:.0f}",
        )
        governor.roster.drain()
        end = time.monotonic() + 30
        while not all(f.out for f in feeders) and time.monotonic() < end:
            await asyncio.sleep(0.02)
        waits = [1e3 * (f.out - governor.roster.told) for f in feeders if f.out]
        row(
            relays,
            replicas,
            cells,
            f"{bound:.1f}",
            *shares,
            *row_of,
            f"{memory / 1e6:.0f}",
            f"{pmemory / 1e6:.0f}",
            status["lag_ms"],
            *(f"{np.percentile(waits, q):.0f}" for q in (50, 99, 100)),
            relays - len(waits),
        )
        for task in tasks:
            task.cancel()
        governor.close()


def cells() -> None:
    """One cell beside a hundred, the same relays and workers; the drain is of one worker of one cell."""
    row(
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
    for relays, replicas, number in ((300, 120, 1), (300, 120, 40), (1000, 300, 1), (1000, 300, 100)):
        asyncio.run(_cells(relays, replicas, number, 12000))


def places() -> None:
    row(
        "way",
        "s",
        "tenants that lose all",
        "that lose some",
        "moved by a lost worker",
        "their demand",
        "fullest worker over mean",
    )
    for line in placements.rows(10_000, 500):
        row(*line)


def plans() -> None:
    row("workers", "halls", "cells", "groups", "cases", "s")
    for size in planning.SIZES:
        row(*planning.size(*size))
    row("load", "gain lost, solver", "gain lost, greedy", "crossing, greedy over solver")
    for load in (0.4, 0.6, 0.8):
        row(*planning.beside(load))


async def _idle(relays: int) -> None:
    with tempfile.TemporaryDirectory() as folder:
        governor = Governor(Path(folder), relays, 12, 1e6, 1e6, hold="50s")
        await governor.ready()
        _, before = governor.usage()
        feeders = [Feeder(n, governor.port) for n in range(relays)]
        tasks = []
        for n, feeder in enumerate(feeders):
            tasks.append(asyncio.ensure_future(feeder.follow()))
            if n % 100 == 99:
                await asyncio.sleep(0.1)
        while not all(f.bound >= 2 for f in feeders):
            await asyncio.sleep(0.2)
        await asyncio.sleep(3)
        _, after = governor.usage()
        governor.roster.drain()
        end = time.monotonic() + 60
        while not all(f.out for f in feeders) and time.monotonic() < end:
            await asyncio.sleep(0.02)
        waits = [f.out - governor.roster.told for f in feeders if f.out]
        row(
            relays,
            f"{(after - before) / relays / 1e3:.1f}",
            f"{np.percentile(waits, 50):.2f}",
            f"{max(waits):.2f}",
            relays - len(waits),
        )
        for task in tasks:
            task.cancel()
        governor.close()


def idle() -> None:
    row("idle polls", "kB a connection", "change to half, s", "change to all, s", "never told")
    asyncio.run(_idle(5000))


def whole_size(held: ProxyState) -> int:
    """Bytes of a whole picture of what a relay holds."""
    tables: dict[TableKey, list[str]] = {}
    for cls, key in held.table_by_class.items():
        tables.setdefault(key, []).append(cls)
    deltas: list[feed.Delta] = [
        feed.BindDelta(k[1], tuple(c), held.tables.get(k, {})) for k, c in tables.items()
    ]
    deltas += [feed.WithdrawalDelta(x) for x in held.withdrawn]
    deltas += [feed.AdmissionDelta(t, (c,), s, n) for (t, c), (s, n) in held.admission.items()]
    return len(msgspec.json.encode(feed.Message(1, 1, 10**9, 1.0, tuple(deltas), 1, True)))


def sizes(folder: Path) -> None:
    """Bytes of the messages of a run, and of whole pictures in their place."""
    held: dict[str, ProxyState] = {}
    deltas = whole = 0
    for record in load_records(folder):
        event = record.event
        if isinstance(event, StreamBegan):
            held.setdefault(event.proxy, ProxyState()).begin_stream()
        elif isinstance(event, MessageApplied):
            message = event.message
            mine = held.setdefault(event.proxy, ProxyState())
            mine.apply(message)
            deltas += len(msgspec.json.encode(message))
            whole += whole_size(mine)
    row("deltas, bytes", "whole pictures, bytes", "ratio")
    row(deltas, whole, f"{whole / deltas:.1f}")


def shares() -> None:
    """The bad day's answered share: governed, standing tables, equal weights; three seeds."""
    row("seed", "governed", "standing tables", "equal weights", "rules, governed")
    script = read_scenario(Path("scenarios/bad-day.kdl"))
    ways = {"governed": (True, False), "standing": (False, False), "even": (False, True)}

    async def side_by_side(seed: int) -> None:
        runs = [
            Run(script, build_plan(script, seed, *way), Path("found") / f"bench-{seed}-{name}")
            for name, way in ways.items()
        ]
        await asyncio.gather(*(run.play() for run in runs))

    for seed in (1, 2, 3):
        asyncio.run(side_by_side(seed))
        verdicts = [check_run_folder(Path("found") / f"bench-{seed}-{name}")[1] for name in ways]
        rules = " ".join(r.state for r in verdicts[0].results)
        row(seed, *(f"{100 * v.completed_share:.1f}%" for v in verdicts), rules)
        sizes(Path("found") / f"bench-{seed}-governed")


def node() -> None:
    """The platform's node as a process: start, tables for all, drains from socket to socket, memory."""
    row("proxies", "start, s", "all bound, s", "drain to last order, ms", "worst, ms", "memory, MB")
    for f in node_figures():
        row(
            f.proxies,
            f"{f.start:.2f}",
            f"{f.bound:.2f}",
            f"{f.drain * 1e3:.0f}",
            f"{f.worst * 1e3:.0f}",
            f"{f.memory:.0f}",
        )


def register() -> None:
    register_figures(row)


ALL: dict[str, Callable[[], None]] = {
    "parser": parser,
    "drains": drains,
    "size": size,
    "inline": inline,
    "cells": cells,
    "places": places,
    "plans": plans,
    "node": node,
    "register": register,
    "idle": idle,
    "shares": shares,
}

if __name__ == "__main__":
    for name in sys.argv[1:] or ALL:
        print(f"\n## {name}\n", flush=True)
        ALL[name]()
