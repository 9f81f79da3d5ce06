"""Plays a scene: starts every process, carries out the day's orders, ends each process by its id."""

from __future__ import annotations

import asyncio
import os
import shlex
import shutil
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.scenario.checks.records import (
    AttemptSent,
    MessageApplied,
    RequestCompleted,
    RequestRejected,
    StreamLost,
    load_records,
)
from gradehoist.scenario.checks.records import Record as StoredEvent
from gradehoist.scenario.checks.run_check import check_records
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.definition import Scenario
from gradehoist.scenario.governor_settings import format_settings
from gradehoist.settings.fleet import CellPlacement
from gradehoist.testbed.process import Record, now
from gradehoist.testbed.scenario_plan import Plan, Step

READY = 20.0  # seconds that a process may take to come up: a loaded machine's Python start
TAIL = 1.5  # seconds after the last cut-off: sums and records settle

Progress = Callable[[float, str, Verdict | None], None]


class StartFailed(Exception):
    """A process did not come up; `reason` tells which, with the end of its log."""


class Run:
    """One run in `folder`, which holds plan, settings, logs and records afterwards."""

    def __init__(
        self, scene: Scenario, plan: Plan, folder: Path, progress: Progress | None = None, look: float = 0.0
    ) -> None:
        self.scene, self.plan, self.folder = scene, plan, folder
        self.progress = progress or (lambda done, text, verdict: None)
        self.look = look  # seconds between looks at the rules while the day runs; 0: none
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.stop = asyncio.Event()

    def _start(self, name: str, *args: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *args], stdout=log, stderr=log, stdin=subprocess.DEVNULL
            )

    def _governor(self, name: str) -> None:
        settings = str(self.folder / "settings.kdl")
        self._start(f"governor-{name}", "gradehoist", "governor", settings, "--name", name, "--log", "json")

    async def _answers(self, name: str, port: int, method: str, target: str, body: bytes) -> None:
        client, end = HttpClient("127.0.0.1", port), asyncio.get_running_loop().time() + READY
        try:
            while True:
                if self.processes[name].poll() is not None or asyncio.get_running_loop().time() > end:
                    log = (self.folder / f"{name}.log").read_text(errors="replace").strip().splitlines()
                    raise StartFailed(f"{name} did not come up: {' | '.join(log[-3:]) or 'it said nothing'}")
                try:
                    response = await client.request(method, target, body, timeout_s=1.0)
                    if response.status < 300:
                        return
                except (ConnectError, ConnectionLostError, ResponseTimeoutError):
                    pass
                await asyncio.sleep(0.05)
        finally:
            client.close()

    async def _ready(self, roles: list[str]) -> None:
        await asyncio.gather(
            *(self._answers(r, self.plan.controls[r], "POST", "/", b'{"do":"ping"}') for r in roles)
        )

    async def play(self) -> bool:
        """Plays the day; False where it was stopped before its end. Raises StartFailed."""
        self.folder.mkdir(parents=True, exist_ok=True)
        for old in (*self.folder.glob("*.jsonl"), *self.folder.glob("*.log")):
            old.unlink()
        for kept in ("var", "moves"):  # what an earlier day's governors and mover kept is not this day's
            shutil.rmtree(self.folder / kept, ignore_errors=True)
        (self.folder / "plan.json").write_bytes(msgspec.json.encode(self.plan))
        (self.folder / "settings.kdl").write_text(format_settings(self.scene, self.plan), encoding="utf-8")
        if self.plan.cells:
            placed = CellPlacement(self.plan.cells, self.plan.workers, self.plan.named)
            (self.folder / "cells.json").write_bytes(msgspec.json.encode(placed))
        self.record = Record(self.folder / "day.jsonl")
        plan = str(self.folder / "plan.json")
        try:
            first = [r for r in self.plan.controls if r.partition("-")[0] in ("links", "replicas", "roster")]
            for role in first:
                self._start(role, "gradehoist.testbed", plan, role, str(self.folder))
            await self._ready(first)
            if self.plan.follow_governors:
                for name, _, _ in self.plan.governors:
                    self._governor(name)
                for name, _, address in self.plan.governors:
                    await self._answers(f"governor-{name}", address[1], "GET", "/v1/status", b"")
            relays = [r for r in self.plan.controls if r.startswith("relays-")]
            for role in [*relays, "clients"]:
                if role == "clients":
                    await asyncio.sleep(1.0)  # relays join before the first transaction comes
                self._start(role, "gradehoist.testbed", plan, role, str(self.folder))
                await self._ready([role])
            self.began = now()
            self.record("day_begins", scene=self.plan.name, seed=self.plan.seed)
            await self._step(Step(0, "clients", {"do": "begin"}))
            return await self._day()
        finally:
            self.record.flush()
            self._end_all()
            self.record("ended")
            self.record.flush()

    async def _day(self) -> bool:
        end = self.plan.length + max(c.cutoff for c in self.plan.classes) + int(TAIL * 1e6)
        steps = list(self.plan.steps)
        looked, verdict, looking = 0.0, None, None
        text = "begins"
        while not self.stop.is_set():
            at = now() - self.began
            while steps and steps[0].at <= at:
                step = steps.pop(0)
                await self._step(step)
                text = (
                    str(step.do["do"])
                    + " "
                    + ",".join(
                        map(
                            str,
                            next(
                                (v for v in step.do.values() if isinstance(v, list)),
                                [step.do.get("governor", "")],
                            ),
                        )
                    )
                )
            if at >= end:
                return True
            for name, process in self.processes.items():
                fine = {"mover": (0,), "release": (0, 1)}.get(name, ())
                if process.poll() is not None and process.returncode not in fine:
                    raise StartFailed(f"{name} ended by itself, exit {process.returncode}; see {name}.log")
            if self.look and looking is None and at / 1e6 - looked > self.look:
                looked = at / 1e6
                looking = asyncio.ensure_future(asyncio.to_thread(self._look))
            if looking is not None and looking.done():
                verdict, looking = looking.result(), None
            self.progress(min(1.0, at / end), text, verdict)
            wait = min(0.1, max(0.0, (steps[0].at - at) / 1e6) if steps else 0.1)
            await asyncio.sleep(wait)
        return False

    def _look(self) -> Verdict | None:
        try:
            return check_records(self.plan, load_records(self.folder))
        except ValueError:
            return None  # a line half written

    async def _step(self, step: Step) -> None:
        self.record("step", at=step.at, target=step.role, do=step.do)
        self.record.flush()
        if step.role == "day":
            name = str(step.do["governor"])
            if not self.plan.follow_governors:
                return
            if step.do["do"] == "move":
                tenants = step.do["tenants"]
                assert isinstance(tenants, list)
                self._start(
                    "mover",
                    "gradehoist",
                    "cells",
                    "move",
                    str(self.folder / "settings.kdl"),
                    *tenants,
                    "--to",
                    str(step.do["to"]),
                    "--store",
                    str(self.folder / "moves"),
                )
                return
            if step.do["do"] == "release":
                self._release(step.do)
                return
            if step.do["do"] == "kill":
                self.processes[f"governor-{name}"].kill()
                self.processes.pop(f"governor-{name}").wait()
                self.record("killed", governor=name)
            else:
                self._governor(name)
                self.record("started", governor=name)
            return
        client = HttpClient("127.0.0.1", self.plan.controls[step.role])
        try:
            response = await client.request("POST", "/", msgspec.json.encode(step.do), timeout_s=5.0)
        finally:
            client.close()
        if response.status != 204:
            raise StartFailed(f"{step.role} refused {step.do}: {response.body.decode(errors='replace')}")

    def _release(self, do: dict[str, object]) -> None:
        def command(fails: object, slow: object) -> str:
            return shlex.join(
                [
                    sys.executable,
                    "-m",
                    "gradehoist.testbed.deploy",
                    str(self.folder / "plan.json"),
                    "{worker}",
                    str(fails),
                    str(slow),
                ]
            )

        self._start(
            "release",
            "gradehoist",
            "cells",
            "release",
            str(self.folder / "settings.kdl"),
            "--run",
            command(do["fails"], do["slow"]),
            "--back",
            command(0.0, 1.0),
            "--soak",
            str(do["soak"]),
            "--store",
            str(self.folder / "moves"),
        )

    def _end_all(self) -> None:
        """Clients and relays first, so that nothing is sent into the end of the others."""

        def rank(name: str) -> int:
            order = ("clients", "relays", "mover", "release", "governor", "replicas", "roster", "links")
            return next((n for n, part in enumerate(order) if name.startswith(part)), 9)

        for name in sorted(self.processes, key=rank):
            process = self.processes[name]
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
            try:
                process.wait(5.0)
            except subprocess.TimeoutExpired:
                os.kill(process.pid, signal.SIGKILL)
                process.wait()


def figures(plan: Plan, records: list[StoredEvent]) -> dict[str, int]:
    """What the day's page and the measurements show beside the verdict, all from the records."""
    events = [record.event for record in records]
    applied = [event for event in events if isinstance(event, MessageApplied)]
    response_bytes = {
        (event.proxy, event.stream, event.epoch, event.message.seq): event.response_bytes for event in applied
    }
    return {
        "transactions": sum(isinstance(event, RequestCompleted) for event in events),
        "tries": sum(isinstance(event, AttemptSent) for event in events),
        "messages": len(applied),
        "feed_bytes": sum(response_bytes.values()),
        "refused": sum(isinstance(event, RequestRejected) for event in events),
        "lost_streams": sum(isinstance(event, StreamLost) for event in events),
    }
