"""Runs a scenario: starts all processes, executes the steps of the plan, and stops the processes."""

from __future__ import annotations

import asyncio
import shlex
import sys
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from gradehoist.net.client import HttpClient
from gradehoist.scenario.checks.records import load_records
from gradehoist.scenario.checks.run_check import check_records
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.definition import Scenario
from gradehoist.scenario.errors import CommandRejectedError
from gradehoist.scenario.faults.steps import CLIENTS_ROLE, RUNNER_ROLE
from gradehoist.scenario.processes import HOST, ProcessGroup
from gradehoist.scenario.run_folder import RunFolder
from gradehoist.testbed.process import EventRecorder, read_monotonic_us
from gradehoist.testbed.scenario_plan import Plan, Step

PROXY_PREFIX = "relays-"
# These are started before the governors, which connect to them.
FIRST_ROLES = ("links", "replicas", "roster")
# The run continues so long after the last deadline, so that delayed load reports and records still arrive.
SETTLING_TIME_US = 1_500_000
STREAM_START_PAUSE_S = 1.0  # The proxies begin their streams before the first request arrives.
MAX_POLL_INTERVAL_S = 0.1  # The maximum time between two checks of the processes.
COMMAND_TIMEOUT_S = 5.0
COMMAND_ACCEPTED_STATUS = 204


@dataclass(frozen=True)
class RunProgress:
    """The progress of a run: the completed share, the last step in words, and the verdict so far."""

    share: float
    last_step: str
    verdict: Verdict | None


ProgressListener = Callable[[RunProgress], None]


class ScenarioRun:
    """One run of a scenario; its folder contains the plan, settings, logs and records."""

    def __init__(
        self,
        scenario: Scenario,
        plan: Plan,
        folder: Path,
        on_progress: ProgressListener | None = None,
        check_interval_s: float = 0.0,
    ) -> None:
        """Creates a run without starting it.

        Args:
            scenario: the scenario that the plan was generated from.
            plan: the plan to execute.
            folder: the folder of the run; the files of an earlier run in it are removed.
            on_progress: called several times a second.
            check_interval_s: the time between two checks of the records during the run; 0 for no checks.
        """
        self.scenario = scenario
        self.plan = plan
        self.folder = RunFolder(folder)
        self.stop = asyncio.Event()
        self._on_progress = on_progress
        self._checker = _PeriodicChecker(plan, folder, check_interval_s)
        self._processes = ProcessGroup(self.folder)

    async def execute(self) -> bool:
        """Executes the plan; returns False if `stop` was set before its end.

        Raises:
            ScenarioRunError: a process did not start, exited during the run, or rejected a command.
            OSError: the folder can't be written.
        """
        self.folder.prepare(self.scenario, self.plan)
        record = EventRecorder(self.folder.records)
        try:
            await self._start_processes()
            begin_us = read_monotonic_us()
            record("day_begins", scene=self.plan.name, seed=self.plan.seed)
            await self._execute_step(Step(at_us=0, role=CLIENTS_ROLE, command={"do": "begin"}), record)
            return await self._execute_steps(begin_us, record)
        finally:
            self._checker.close()
            record.flush()
            self._processes.stop_all()
            record("ended")
            record.flush()

    async def _start_processes(self) -> None:
        first_roles = [role for role in self.plan.control_ports if role.partition("-")[0] in FIRST_ROLES]
        for role in first_roles:
            self._start_test_double(role)
        await asyncio.gather(*(self._wait_for_test_double(role) for role in first_roles))
        if self.plan.follow_governors:
            await self._start_governors()
        for role in self.plan.control_ports:
            if role.startswith(PROXY_PREFIX):
                self._start_test_double(role)
                await self._wait_for_test_double(role)
        await asyncio.sleep(STREAM_START_PAUSE_S)
        self._start_test_double(CLIENTS_ROLE)
        await self._wait_for_test_double(CLIENTS_ROLE)

    async def _start_governors(self) -> None:
        for name, _, _ in self.plan.governors:
            self._start_governor(name)
        for name, _, (_, port) in self.plan.governors:
            process = _governor_process(name)
            await self._processes.wait_until_ready(process, port, "GET", "/v1/status", b"")

    def _start_test_double(self, role: str) -> None:
        self._processes.start(role, "gradehoist.testbed", str(self.folder.plan), role, str(self.folder.path))

    async def _wait_for_test_double(self, role: str) -> None:
        port = self.plan.control_ports[role]
        await self._processes.wait_until_ready(role, port, "POST", "/", b'{"do":"ping"}')

    def _start_governor(self, name: str) -> None:
        settings = str(self.folder.settings)
        process = _governor_process(name)
        self._processes.start(process, "gradehoist", "governor", settings, "--name", name, "--log", "json")

    async def _execute_steps(self, begin_us: int, record: EventRecorder) -> bool:
        last_deadline_us = max(request_class.deadline_us for request_class in self.plan.classes)
        end_us = self.plan.length_us + last_deadline_us + SETTLING_TIME_US
        steps = deque(self.plan.steps)
        last_step = "started"
        while not self.stop.is_set():
            elapsed_us = read_monotonic_us() - begin_us
            while steps and steps[0].at_us <= elapsed_us:
                step = steps.popleft()
                await self._execute_step(step, record)
                last_step = _describe_step(step)
            if elapsed_us >= end_us:
                return True
            self._processes.check_running()
            self._checker.update(elapsed_us / 1e6)
            if self._on_progress is not None:
                share = min(1.0, elapsed_us / end_us)
                self._on_progress(RunProgress(share, last_step, self._checker.verdict))
            pause_s = MAX_POLL_INTERVAL_S
            if steps:
                pause_s = min(pause_s, max(0.0, (steps[0].at_us - elapsed_us) / 1e6))
            await asyncio.sleep(pause_s)
        return False

    async def _execute_step(self, step: Step, record: EventRecorder) -> None:
        record("step", at=step.at_us, target=step.role, do=step.command)
        record.flush()
        if step.role != RUNNER_ROLE:
            await self._send_command(step)
        elif self.plan.follow_governors:
            self._execute_runner_command(step.command, record)

    async def _send_command(self, step: Step) -> None:
        client = HttpClient(HOST, self.plan.control_ports[step.role])
        try:
            body = msgspec.json.encode(step.command)
            response = await client.request("POST", "/", body, timeout_s=COMMAND_TIMEOUT_S)
        finally:
            client.close()
        if response.status != COMMAND_ACCEPTED_STATUS:
            raise CommandRejectedError(step.role, step.command, response.body.decode(errors="replace"))

    def _execute_runner_command(self, command: dict[str, object], record: EventRecorder) -> None:
        """Executes a command that is meant for the runner itself."""
        governor = str(command["governor"])
        match command["do"]:
            case "move":
                self._start_migration(command)
            case "release":
                self._start_rollout(command)
            case "kill":
                self._processes.kill(_governor_process(governor))
                record("killed", governor=governor)
            case _:
                self._start_governor(governor)
                record("started", governor=governor)

    def _start_migration(self, command: dict[str, object]) -> None:
        tenants = msgspec.convert(command["tenants"], list[str])
        arguments = [*tenants, "--to", str(command["to"]), "--store", str(self.folder.migrations)]
        self._processes.start("mover", "gradehoist", "cells", "move", str(self.folder.settings), *arguments)

    def _start_rollout(self, command: dict[str, object]) -> None:
        arguments = [
            "--run",
            self._deploy_command(fails=command["fails"], slow=command["slow"]),
            "--back",
            self._deploy_command(fails=0.0, slow=1.0),
            "--soak",
            str(command["soak"]),
            "--store",
            str(self.folder.migrations),
        ]
        settings = str(self.folder.settings)
        self._processes.start("release", "gradehoist", "cells", "release", settings, *arguments)

    def _deploy_command(self, fails: object, slow: object) -> str:
        """Returns the command that deploys a version; the rollout replaces `{worker}` with a replica."""
        module = "gradehoist.testbed.deploy"
        plan = str(self.folder.plan)
        return shlex.join([sys.executable, "-m", module, plan, "{worker}", str(fails), str(slow)])


class _PeriodicChecker:
    """Checks the records of a run at intervals, in a thread and one check at a time."""

    def __init__(self, plan: Plan, folder: Path, interval_s: float) -> None:
        self.verdict: Verdict | None = None
        self._plan = plan
        self._folder = folder
        self._interval_s = interval_s
        self._last_s = 0.0
        self._task: asyncio.Task[Verdict | None] | None = None

    def update(self, elapsed_s: float) -> None:
        """Starts a check if one is due, and stores the verdict of a completed one."""
        if self._interval_s and self._task is None and elapsed_s - self._last_s > self._interval_s:
            self._last_s = elapsed_s
            self._task = asyncio.create_task(asyncio.to_thread(self._check))
        if self._task is not None and self._task.done():
            self.verdict = self._task.result()
            self._task = None

    def close(self) -> None:
        """Abandons a running check; its thread runs to its end, but its verdict is dropped."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def _check(self) -> Verdict | None:
        try:
            return check_records(self._plan, load_records(self._folder))
        except ValueError:
            return None  # A process was writing a record, which was incomplete.


def _governor_process(name: str) -> str:
    return f"governor-{name}"


def _describe_step(step: Step) -> str:
    """Returns the command's name and its targets: its first list, or else its governor."""
    targets: list[object] = [step.command.get("governor", "")]
    for value in step.command.values():
        if isinstance(value, list):
            targets = value
            break
    return f"{step.command['do']} {','.join(map(str, targets))}"
