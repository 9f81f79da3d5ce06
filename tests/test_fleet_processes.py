"""Processes of a fleet, faults between them, and their histories judged after the fact."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import subprocess
import sys
import zlib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest

from gradehoist.history import linearizability
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.records import Effect, HistoryEntry, ProcessEvent, RejectedEffect, load_history
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.scenario import definition
from tests.support.fleet_process import LOCAL, Spec

ROOT = Path(__file__).parent.parent


class Peer:
    def __init__(self, folder: Path, spec: Spec) -> None:
        self.spec, self.path = spec, folder / f"{spec.name}.json"
        self.path.write_bytes(msgspec.json.encode(spec))
        self.start()
        self.client = HttpClient(LOCAL, spec.port)

    def start(self) -> None:
        with self.path.with_suffix(".err").open("ab") as err:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "tests.support.fleet_process", str(self.path)],
                cwd=ROOT,
                stderr=err,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )

    async def status(self) -> dict[str, Any]:
        """Empty while it does not answer."""
        with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
            response = await self.client.request("GET", "/status", timeout_s=0.5)
            if response.status == 200:
                found: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
                return found
        return {}

    def send(self, number: int) -> None:
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """Actors over one register, and the ledger that takes their effects."""

    def __init__(
        self, folder: Path, kind: str, count: int, guard: bool = True, step: float = 0.0, session: float = 2.0
    ) -> None:
        self.folder = folder
        ledger, engine, *ports = definition.ports(count + 2)
        self.engine: subprocess.Popen[bytes] | None = None
        self.engine_port = engine
        if kind == "engine":
            self.engine = subprocess.Popen(
                [sys.executable, "-m", "gradehoist.testbed", "engine", str(engine)],
                cwd=ROOT,
                stdin=subprocess.DEVNULL,
                start_new_session=True,
            )
        self.ledger = Peer(
            folder, Spec("ledger", "ledger", ledger, str(folder / "ledger.jsonl"), guard=guard)
        )
        self.actors = [
            Peer(
                folder,
                Spec(
                    "actor",
                    f"p{n}",
                    port,
                    str(folder / f"p{n}.jsonl"),
                    ledger=ledger,
                    step=step,
                    jumps=n % 2 == 1,
                    session=session,
                    engine=engine if kind == "engine" else 0,
                    folder=str(folder / "register") if kind != "engine" else "",
                ),
            )
            for n, port in enumerate(ports)
        ]
        self._order = HttpClient(LOCAL, engine)

    async def fault(self, **what: Any) -> None:
        await self._order.request("POST", "/fault", msgspec.json.encode(what))

    async def holder(self) -> Peer | None:
        """The one that says it holds the right, if one does."""
        found = [
            p for p, s in zip(self.actors, await self.all(), strict=True) if s.get("joined") and s["rights"]
        ]
        return found[0] if len(found) == 1 else None

    async def all(self) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(p.status() for p in self.actors)))

    async def until(self, what: Callable[[], Awaitable[Any]], seconds: float = 30.0) -> Any:
        end = asyncio.get_running_loop().time() + seconds
        while not (found := await what()):
            assert asyncio.get_running_loop().time() < end, [await self.all(), self.told()]
            await asyncio.sleep(0.05)
        return found

    async def calm(self) -> None:
        """All joined, one holds the right, nothing waits: asked for at the end, so that nothing is stuck."""

        async def good() -> bool:
            found = await self.all()
            return (
                all(s.get("joined") and s["members"].get("here", 0) >= len(found) for s in found)
                and sum(bool(s["rights"]) for s in found) == 1
            )

        await self.until(good, 60)

    def told(self) -> list[ProcessEvent]:
        return [x for x in self.lines() if isinstance(x, ProcessEvent)]

    def lines(self) -> list[HistoryEntry]:
        return load_history(self.folder.glob("*.jsonl"))

    def end(self) -> None:
        for peer in (*self.actors, self.ledger):
            peer.kill()
        if self.engine is not None:
            self.engine.kill()
            self.engine.wait()

    def judge(self) -> list[HistoryEntry]:
        lines = self.lines()
        assert not (bad := linearizability.find_linearizability_violations(lines)), "\n".join(map(str, bad))
        wrong = find_fencing_violations(lines) + find_duplicate_effects(lines)
        assert not wrong, "\n".join(map(str, wrong))
        return lines


def play(folder: Path, kind: str, count: int, work: Callable[[Fleet], Awaitable[None]], **how: Any) -> Fleet:
    async def run() -> Fleet:
        fleet = Fleet(folder, kind, count, **how)
        try:
            await work(fleet)
        finally:
            fleet.end()
        return fleet

    return asyncio.run(asyncio.wait_for(run(), 120))


BOTH = pytest.mark.parametrize("kind", ["embedded", "engine"])


@BOTH
def test_processes_killed_stopped_and_ended_leave_one_order_of_effects(kind: str, tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.calm()
        if kind == "engine":
            await fleet.fault(lose=0.05, drop=0.05, repeat=True, cut=5, seed=3)
        for n in range(6):
            peer = (
                await fleet.until(fleet.holder, 40)
                if n % 2
                else fleet.actors[zlib.crc32(f"{kind}{n}".encode()) % len(fleet.actors)]
            )
            match n % 3:
                case 0:
                    peer.kill()
                    await asyncio.sleep(0.3)
                    peer.start()
                case 1:
                    peer.send(signal.SIGSTOP)
                    await asyncio.sleep(3.0)  # longer than a session lives
                    peer.send(signal.SIGCONT)
                case 2:
                    peer.send(signal.SIGTERM)
                    peer.process.wait(5)
                    peer.start()
            await asyncio.sleep(0.5)
        if kind == "engine":
            await fleet.fault()
        await fleet.calm()

    fleet = play(tmp_path, kind, 4, work)
    lines = fleet.judge()
    assert len({x.generation for x in lines if isinstance(x, Effect)}) >= 3


@pytest.mark.parametrize("guard", [True, False])
def test_one_stopped_in_the_middle_of_a_step_acts_late_and_is_refused_where_it_would_take_effect(
    guard: bool, tmp_path: Path
) -> None:
    """With the check taken out of the ledger, the checker shows the older generation's effect."""

    async def work(fleet: Fleet) -> None:
        await fleet.calm()
        first = await fleet.until(fleet.holder)
        await asyncio.sleep(1.0)
        first.send(signal.SIGSTOP)

        async def another() -> bool:
            return any(
                isinstance(x, Effect) and not x.holder.startswith(first.spec.name + "-")
                for x in load_history([fleet.folder / "ledger.jsonl"])
            )

        await fleet.until(another)
        first.send(signal.SIGCONT)
        await asyncio.sleep(1.5)
        await fleet.calm()

    fleet = play(tmp_path, "embedded", 2, work, guard=guard, step=0.7)
    wrong = find_fencing_violations(fleet.lines())
    turned = [x for x in fleet.lines() if isinstance(x, RejectedEffect)]
    if guard:
        assert not wrong and turned and turned[0].generation < turned[0].highest_generation
        fleet.judge()
    else:
        assert "took effect after" in str(wrong[0]) and len(wrong[0].effects) == 2


def test_the_register_gone_for_long_ends_nobody_and_all_come_back_by_themselves(tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.calm()
        holder = await fleet.until(fleet.holder)
        await fleet.fault(away=True)

        async def doubting() -> bool:
            return all(s and not s["joined"] for s in await fleet.all())

        await fleet.until(doubting)
        await asyncio.sleep(4.0)
        assert all(p.process.poll() is None for p in fleet.actors)
        await fleet.fault(do="extend")
        await fleet.fault()
        await fleet.calm()
        assert await fleet.holder() is holder

    fleet = play(tmp_path, "engine", 5, work, session=6.0)
    fleet.judge()
    kinds = [x.event for x in fleet.told()]
    assert kinds.count("session_suspended") >= 5 and "process_fenced" not in kinds


def test_the_engine_back_from_an_older_snapshot_is_told_and_generations_go_on_above(tmp_path: Path) -> None:
    async def work(fleet: Fleet) -> None:
        await fleet.calm()
        await fleet.fault(do="snapshot")
        first = await fleet.until(fleet.holder)
        first.kill()  # generations that the snapshot does not know
        await asyncio.sleep(0.2)

        async def another() -> bool:
            return (await fleet.holder()) not in (None, first)

        await fleet.until(another)
        await asyncio.sleep(1.0)
        first.start()
        await fleet.calm()
        await fleet.fault(do="restore")
        await fleet.fault(away=True)
        await asyncio.sleep(0.5)
        await fleet.fault()

        async def all_fenced() -> bool:
            return len({x.process for x in fleet.told() if x.event == "process_fenced"}) >= 3

        await fleet.until(all_fenced)
        before = max(x.generation for x in fleet.lines() if isinstance(x, Effect))

        async def higher() -> bool:
            return any(isinstance(x, Effect) and x.generation > before for x in fleet.lines())

        await fleet.until(higher)
        await fleet.calm()

    fleet = play(tmp_path, "engine", 3, work)
    lines = fleet.lines()
    assert not (wrong := find_fencing_violations(lines) + find_duplicate_effects(lines)), wrong[0]
    fenced = [x.process for x in fleet.told() if x.event == "process_fenced"]
    assert len(fenced) == len(set(fenced)), "told in one line each"
    assert linearizability.find_linearizability_violations(
        lines
    ), "a register that went back is not linearizable, and the checker sees it"


def test_a_disk_without_room_for_one_process_costs_its_own_part_alone(tmp_path: Path) -> None:
    """A limit on the size of files stands for the full disk: writes of that process fail, reads go on."""
    import resource

    async def work(fleet: Fleet) -> None:
        await fleet.calm()
        pid = fleet.actors[0].process.pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (1024, resource.RLIM_INFINITY))
        await asyncio.sleep(4.0)
        assert fleet.actors[0].process.poll() is None

        async def others() -> bool:
            found = await fleet.all()
            return all(s.get("joined") for s in found[1:]) and any(s["rights"] for s in found[1:])

        await fleet.until(others)
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
        await fleet.calm()

    play(tmp_path, "embedded", 3, work).judge()
