"""The folder of a run, with the files that its processes read and those that they write."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

import msgspec

from gradehoist.scenario.definition import Scenario
from gradehoist.scenario.governor_settings import PLACEMENT_FILE, format_settings
from gradehoist.settings.fleet import CellPlacement
from gradehoist.testbed.scenario_plan import Plan

STATE_FOLDERS = ("var", "moves")  # Governors and the migration command store their state there.


@dataclass(frozen=True)
class RunFolder:
    """The paths in the folder of a run."""

    path: Path

    @property
    def plan(self) -> Path:
        """The plan, which all test doubles read."""
        return self.path / "plan.json"

    @property
    def settings(self) -> Path:
        """The settings of the governors."""
        return self.path / "settings.kdl"

    @property
    def migrations(self) -> Path:
        """The folder in which migrations and rollouts store their steps."""
        return self.path / "moves"

    @property
    def records(self) -> Path:
        """The file of the events that the runner records."""
        return self.path / "day.jsonl"

    def log(self, process: str) -> Path:
        """Returns the file of the output of a process."""
        return self.path / f"{process}.log"

    def prepare(self, scenario: Scenario, plan: Plan) -> None:
        """Removes the files of an earlier run and writes those that the processes of this run read."""
        self.path.mkdir(parents=True, exist_ok=True)
        for left_over in (*self.path.glob("*.jsonl"), *self.path.glob("*.log")):
            left_over.unlink()
        for folder in STATE_FOLDERS:
            shutil.rmtree(self.path / folder, ignore_errors=True)
        self.plan.write_bytes(msgspec.json.encode(plan))
        self.settings.write_text(format_settings(scenario, plan), encoding="utf-8")
        if plan.cells:
            placement = CellPlacement(
                cells=plan.cells, cell_by_replica=plan.cell_by_replica, cell_by_tenant=plan.cell_by_tenant
            )
            (self.path / PLACEMENT_FILE).write_bytes(msgspec.json.encode(placement))
