"""A fleet of processes for tests: actors over one coordination store, and a ledger that takes effects."""

from __future__ import annotations

import asyncio
import contextlib
import os
import subprocess
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.history import linearizability
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.records import HistoryEntry, ProcessEvent, load_history
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.scenario.free_ports import find_free_ports
from tests.support.fleet_process import LOCAL, ProcessSpec

ROOT = Path(__file__).parent.parent.parent


class ProcessHandle:
    """One process that a test starts, signals and asks."""

    def __init__(self, folder: Path, spec: ProcessSpec) -> None:
        self.spec = spec
        self.path = folder / f"{spec.name}.json"
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
    """Actors and a ledger; `store` is "embedded" for a folder, or "engine" for an etcd test double."""

    def __init__(
        self,
        folder: Path,
        store: str,
        actor_count: int,
        *,
        checks_tokens: bool = True,
        effect_delay_s: float = 0.0,
        session_s: float = 2.0,
    ) -> None:
        self.folder = folder
        ledger_port, etcd_port, *ports = find_free_ports(actor_count + 2)
        uses_etcd = store == "engine"
        self.etcd = self._start_etcd(etcd_port) if uses_etcd else None
        self._etcd_client = HttpClient(LOCAL, etcd_port)
        self.ledger = ProcessHandle(
            folder,
            ProcessSpec(
                role="ledger",
                name="ledger",
                port=ledger_port,
                history=str(folder / "ledger.jsonl"),
                checks_tokens=checks_tokens,
            ),
        )
        self.actors = [
            ProcessHandle(
                folder,
                ProcessSpec(
                    role="actor",
                    name=f"p{number}",
                    port=port,
                    history=str(folder / f"p{number}.jsonl"),
                    ledger_port=ledger_port,
                    effect_delay_s=effect_delay_s,
                    clock_jumps=number % 2 == 1,
                    session_s=session_s,
                    etcd_port=etcd_port if uses_etcd else 0,
                    store_folder="" if uses_etcd else str(folder / "register"),
                ),
            )
            for number, port in enumerate(ports)
        ]

    @staticmethod
    def _start_etcd(port: int) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-m", "gradehoist.testbed", "engine", str(port)],
            cwd=ROOT,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )

    async def inject_fault(self, **fault: Any) -> None:
        """Order a fault of the etcd test double; without arguments all faults end."""
        await self._etcd_client.request("POST", "/fault", msgspec.json.encode(fault))

    async def statuses(self) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(actor.status() for actor in self.actors)))

    async def leader(self) -> ProcessHandle | None:
        """The one actor that says it leads, if there is one."""
        statuses = await self.statuses()
        leading = [
            actor
            for actor, status in zip(self.actors, statuses, strict=True)
            if status.get("joined") and status["rights"]
        ]
        return leading[0] if len(leading) == 1 else None

    async def until(self, condition: Callable[[], Awaitable[Any]], seconds: float = 30.0) -> Any:
        end = asyncio.get_running_loop().time() + seconds
        while not (found := await condition()):
            assert asyncio.get_running_loop().time() < end, [await self.statuses(), self.process_events()]
            await asyncio.sleep(0.05)
        return found

    async def until_settled(self) -> None:
        """Wait until all have joined and one leads: awaited at the end, so that nothing is stuck."""

        async def is_settled() -> bool:
            statuses = await self.statuses()
            all_see_all = all(
                status.get("joined") and status["members"].get("here", 0) >= len(statuses)
                for status in statuses
            )
            return all_see_all and sum(bool(status["rights"]) for status in statuses) == 1

        await self.until(is_settled, 60)

    def history(self) -> list[HistoryEntry]:
        return load_history(self.folder.glob("*.jsonl"))

    def process_events(self) -> list[ProcessEvent]:
        return [entry for entry in self.history() if isinstance(entry, ProcessEvent)]

    def check_history(self) -> list[HistoryEntry]:
        """The history, once the checkers have found nothing in it."""
        history = self.history()
        not_linearizable = linearizability.find_linearizability_violations(history)
        assert not not_linearizable, "\n".join(map(str, not_linearizable))
        violations = find_fencing_violations(history) + find_duplicate_effects(history)
        assert not violations, "\n".join(map(str, violations))
        return history

    def end(self) -> None:
        for process in (*self.actors, self.ledger):
            process.kill()
        if self.etcd is not None:
            self.etcd.kill()
            self.etcd.wait()


def run_fleet(
    folder: Path, store: str, actor_count: int, work: Callable[[Fleet], Awaitable[None]], **options: Any
) -> Fleet:
    """Run a fleet while `work` does; return it ended, with its history."""

    async def run() -> Fleet:
        fleet = Fleet(folder, store, actor_count, **options)
        try:
            await work(fleet)
        finally:
            fleet.end()
        return fleet

    return asyncio.run(asyncio.wait_for(run(), 120))
