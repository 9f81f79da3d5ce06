"""Runs a staged rollout.

The operator's command updates each replica, the endpoint list shows when the replica is ready again, and the
governors' counts show regressions. The process may be killed at any point: a new run resumes from the record.
"""

from __future__ import annotations

import asyncio
import shlex
import sys
import time
from collections.abc import Callable
from pathlib import Path

from gradehoist.cells.rollout import (
    CountsByCell,
    Rollout,
    RolloutStep,
    are_other_cells_stable,
    describe_regression,
)
from gradehoist.migration.errors import RolloutHaltError
from gradehoist.migration.queries import CONNECT_TIMEOUT_S, fetch_endpoints
from gradehoist.migration.records import save_rollout
from gradehoist.migration.traffic_monitor import TrafficMonitor
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import Settings

COMMAND_NOT_FOUND = 127  # the exit code of shells for a command that does not exist
POLL_INTERVAL_S = 0.5  # between polls of the governors' counts and of the endpoint list
RETENTION_SOAKS = 4  # the number of soak times for which counts are kept


class RolloutRunner:
    """Runs one rollout. The command that creates the runner holds the lock of the record store."""

    def __init__(
        self,
        settings: Settings,
        folder: Path,
        soak_s: float,
        return_timeout_s: float,
        on_change: Callable[[Rollout, str], None],
    ) -> None:
        """Creates a runner.

        Args:
            settings: The fleet with its placement.
            folder: The record store.
            soak_s: How long a cell is observed after its replicas were updated.
            return_timeout_s: How long an updated replica may take until it is ready again.
            on_change: Called at each change with the record and a message for operators.
        """
        assert settings.fleet.placement is not None
        self._zone = settings.governors[0].zone
        self._folder = folder
        self._soak_s = soak_s
        self._return_timeout_s = return_timeout_s
        self._on_change = on_change
        self._monitor = TrafficMonitor(
            governors=settings.governors,
            cells=settings.fleet.placement.cells,
            retention_s=RETENTION_SOAKS * soak_s,
        )
        self._endpoint_list = HttpClient(
            *settings.fleet.endpoint_list_address, connect_timeout_s=CONNECT_TIMEOUT_S
        )
        self._stage_totals: CountsByCell = {}  # the total counts at the beginning of the stage

    async def run(self, rollout: Rollout) -> Rollout:
        """Runs a rollout until it is done or halted.

        A halt rolls back the replicas of the current cell whose update was started, if the rollout has a
        command for that.
        """
        try:
            if rollout.step is not RolloutStep.ROLL_BACK:
                await self._observe_baseline()
            while rollout.step in (RolloutStep.UPDATE, RolloutStep.SOAK):
                rollout = await self._run_stage(rollout)
            if rollout.step is RolloutStep.ROLL_BACK:
                rollout = await self._roll_back(rollout)
            return rollout
        finally:
            self._monitor.close()
            self._endpoint_list.close()

    async def _run_stage(self, rollout: Rollout) -> Rollout:
        """Updates and observes one cell; returns the record of a halt if that fails."""
        if not rollout.baseline:
            rollout = rollout.with_baseline(self._monitor.recent(self._soak_s))
        self._stage_totals = dict(self._monitor.totals)
        while rollout.step is RolloutStep.UPDATE:
            batch = rollout.next_batch()
            try:
                incarnations = await self._incarnations_before_update()
            except RolloutHaltError as halt:
                return self._halt(rollout, halt)
            rollout = self._record(
                rollout.with_batch_started(batch), f"{rollout.cell}: updating {', '.join(batch)}"
            )
            try:
                await self._update_batch(rollout, batch, incarnations)
            except RolloutHaltError as halt:
                return self._halt(rollout, halt)
            rollout = self._record(
                rollout.with_batch_updated(batch), f"{rollout.cell}: {', '.join(batch)} updated"
            )
        try:
            await self._observe(rollout, self._soak_s)
            await self._await_stability(rollout)
        except RolloutHaltError as halt:
            return self._halt(rollout, halt)
        return self._record(rollout.with_stage_completed(), f"{rollout.cell}: no regression seen")

    async def _update_batch(
        self, rollout: Rollout, batch: tuple[str, ...], incarnations: dict[str, str]
    ) -> None:
        for replica in batch:
            code = await self._run_command(rollout.command, replica, rollout.cell)
            if code:
                raise RolloutHaltError(f"the command for {replica} exited with code {code}")
        await self._await_return(rollout, batch, incarnations)
        # Load reports arrive late: without this pause after each batch, a whole cell was updated before a
        # regression was visible.
        await self._observe(rollout, self._soak_s / 2)

    async def _await_stability(self, rollout: Rollout) -> None:
        """Waits until every governor answers and the other cells fail no more than before."""
        while reason := self._reason_to_wait(rollout):
            self._on_change(rollout, f"{reason}: waits")
            await self._observe(rollout, self._soak_s)

    def _reason_to_wait(self, rollout: Rollout) -> str:
        """Returns why the next stage may not begin yet, although this one shows no regression, or ""."""
        if self._monitor.last_complete_s < time.monotonic() - self._soak_s:
            return "a governor does not answer, so its requests are not counted"
        if not are_other_cells_stable(rollout.cell, rollout.baseline, self._monitor.recent(self._soak_s)):
            return "other cells fail more than before"
        return ""

    async def _observe_baseline(self) -> None:
        end_s = time.monotonic() + self._soak_s
        while time.monotonic() < end_s:
            await self._monitor.refresh()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _observe(self, rollout: Rollout, seconds: float) -> None:
        """Observes the cell for a time. Raises RolloutHaltError as soon as there is a regression."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await self._monitor.refresh()
            self._check_regression(rollout)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _check_regression(self, rollout: Rollout) -> None:
        """Checks the counts of the whole stage, and those of the last soak time by themselves."""
        for current in (self._monitor.since(self._stage_totals), self._monitor.recent(self._soak_s)):
            regression = describe_regression(rollout.cell, rollout.baseline, current)
            if regression:
                raise RolloutHaltError(regression)

    async def _await_return(
        self, rollout: Rollout, batch: tuple[str, ...], incarnations: dict[str, str]
    ) -> None:
        """Waits until the endpoint list shows each replica as ready in a new incarnation."""
        end_s = time.monotonic() + self._return_timeout_s
        while True:
            await self._observe(rollout, POLL_INTERVAL_S)
            current = await self._ready_incarnations() or {}
            missing = [name for name in batch if current.get(name) in (None, incarnations.get(name))]
            if not missing:
                return
            if time.monotonic() > end_s:
                names = ", ".join(missing)
                raise RolloutHaltError(f"{names} did not come back within {self._return_timeout_s:g} s")

    async def _incarnations_before_update(self) -> dict[str, str]:
        """Returns the ready incarnations before a batch is updated.

        Without them, a replica still in its old incarnation was taken for one that is back, and the next was
        taken down at the same time. Therefore, a rollout halts if the endpoint list does not answer in time.
        """
        end_s = time.monotonic() + self._return_timeout_s
        while True:
            incarnations = await self._ready_incarnations()
            if incarnations is not None:
                return incarnations
            if time.monotonic() >= end_s:
                raise RolloutHaltError(f"the roster did not answer within {self._return_timeout_s:g} s")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _ready_incarnations(self) -> dict[str, str] | None:
        """Returns the incarnations of the replicas listed as ready, or None if the list does not answer."""
        endpoints = await fetch_endpoints(self._endpoint_list, self._zone)
        if endpoints is None:
            return None
        return {endpoint.replica: endpoint.incarnation for endpoint in endpoints if endpoint.phase == "ready"}

    async def _run_command(self, command: str, replica: str, cell: str) -> int:
        """Runs an operator's command for a replica and returns its exit code."""
        words = [word.replace("{worker}", replica).replace("{cell}", cell) for word in shlex.split(command)]
        try:
            process = await asyncio.create_subprocess_exec(*words)
        except OSError as error:
            print(f"{words[0]}: {error.strerror or error}", file=sys.stderr, flush=True)
            return COMMAND_NOT_FOUND
        return await process.wait()

    async def _roll_back(self, rollout: Rollout) -> Rollout:
        """Rolls back the replicas of the cell whose update was started.

        A resumed rollout rolls all of them back again.
        """
        for replica in rollout.replicas[rollout.cell]:
            if rollout.rollback_command and replica in rollout.started_replicas:
                await self._roll_back_replica(rollout, replica)
        return self._record(rollout.with_rollback_completed(), "ended, cannot be resumed")

    async def _roll_back_replica(self, rollout: Rollout, replica: str) -> None:
        self._on_change(rollout, f"{rollout.cell}: rolling back {replica}")
        code = await self._run_command(rollout.rollback_command, replica, rollout.cell)
        if code:
            self._on_change(rollout, f"{replica} was not put back: the command exited with code {code}")

    def _halt(self, rollout: Rollout, halt: RolloutHaltError) -> Rollout:
        return self._record(rollout.with_rollback_started(halt.reason), f"halted: {halt.reason}")

    def _record(self, rollout: Rollout, text: str) -> Rollout:
        """Persists the record and reports the change to operators."""
        save_rollout(self._folder, rollout)
        self._on_change(rollout, text)
        return rollout
