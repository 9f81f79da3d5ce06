"""A test fleet of processes: actors that share a coordination store, and a ledger for their effects."""

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
    """A process that a test starts, sends signals to, and reads the status of."""

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
        """Returns the status, which is empty while the process does not respond."""
        with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
            response = await self.client.request("GET", "/status", timeout_s=0.5)
            if response.status == 200:
                status: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
                return status
        return {}

    def send_signal(self, signal_number: int) -> None:
        os.kill(self.process.pid, signal_number)

    def kill(self) -> None:
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


class Fleet:
    """Actors and a ledger. The store is a folder ("embedded") or an etcd test double ("engine")."""

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
        """Injects a fault into the etcd test double. Without arguments, all faults end."""
        await self._etcd_client.request("POST", "/fault", msgspec.json.encode(fault))

    async def statuses(self) -> list[dict[str, Any]]:
        return list(await asyncio.gather(*(actor.status() for actor in self.actors)))

    async def leader(self) -> ProcessHandle | None:
        """Returns the actor that considers itself the leader, or None if there is not exactly one."""
        statuses = await self.statuses()
        leading = [
            actor
            for actor, status in zip(self.actors, statuses, strict=True)
            if status.get("joined") and status["rights"]
        ]
        return leading[0] if len(leading) == 1 else None

    async def wait_until(self, condition: Callable[[], Awaitable[Any]], seconds: float = 30.0) -> Any:
        deadline = asyncio.get_running_loop().time() + seconds
        while not (result := await condition()):
            assert asyncio.get_running_loop().time() < deadline, [
                await self.statuses(),
                self.process_events(),
            ]
            await asyncio.sleep(0.05)
        return result

    async def wait_until_settled(self) -> None:
        """Waits until all actors have joined and one is the leader.

        Tests wait for this at their end to make sure that no process is stuck.
        """

        async def is_settled() -> bool:
            statuses = await self.statuses()
            all_see_each_other = all(
                status.get("joined") and status["members"].get("here", 0) >= len(statuses)
                for status in statuses
            )
            return all_see_each_other and sum(bool(status["rights"]) for status in statuses) == 1

        await self.wait_until(is_settled, 60)

    def history(self) -> list[HistoryEntry]:
        return load_history(self.folder.glob("*.jsonl"))

    def process_events(self) -> list[ProcessEvent]:
        return [entry for entry in self.history() if isinstance(entry, ProcessEvent)]

    def check_history(self) -> list[HistoryEntry]:
        """Checks the history for violations and returns it."""
        history = self.history()
        store_violations = linearizability.find_linearizability_violations(history)
        assert not store_violations, "\n".join(map(str, store_violations))
        violations = find_fencing_violations(history) + find_duplicate_effects(history)
        assert not violations, "\n".join(map(str, violations))
        return history

    def stop(self) -> None:
        for process in (*self.actors, self.ledger):
            process.kill()
        if self.etcd is not None:
            self.etcd.kill()
            self.etcd.wait()


def run_fleet(
    folder: Path, store: str, actor_count: int, steps: Callable[[Fleet], Awaitable[None]], **options: Any
) -> Fleet:
    """Starts a fleet, runs the steps of a test, stops the fleet and returns it with its history."""

    async def run() -> Fleet:
        fleet = Fleet(folder, store, actor_count, **options)
        try:
            await steps(fleet)
        finally:
            fleet.stop()
        return fleet

    return asyncio.run(asyncio.wait_for(run(), 120))
