"""The process that runs the replicas of one zone and executes the run's commands for them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from gradehoist.testbed.process import Process, create_random, read_monotonic_us
from gradehoist.testbed.replica import Replica
from gradehoist.testbed.scenario_plan import Plan

STEP_S = 0.004  # far under any latency objective
REPORT_JITTER = (0.7, 1.3)  # factors on the period of load reports


class ReplicaProcess(Process):
    """The replicas of one zone: role `replicas-ZONE`."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Creates the replicas of the role's zone."""
        super().__init__(plan, role, folder)
        zone = role.removeprefix("replicas-")
        self.replicas = {
            replica.name: Replica(self, replica, plan) for replica in plan.replicas if replica.zone == zone
        }

    async def start(self) -> None:
        """Starts the listed replicas, warmed up, and the time steps of all."""
        for replica in self.replicas.values():
            if replica.plan.is_listed:
                replica.start(is_cold=False)
            self.start_task(self._update_reports(replica))
        self.start_task(self._advance_replicas())

    async def _advance_replicas(self) -> None:
        last_us = read_monotonic_us()
        while True:
            await asyncio.sleep(STEP_S)
            time_us = read_monotonic_us()
            for replica in self.replicas.values():
                if replica.server is not None:
                    replica.advance((time_us - last_us) / 1e6)
            last_us = time_us

    async def _update_reports(self, replica: Replica) -> None:
        random = create_random(self.plan.seed, "reports", replica.plan.name)
        while True:
            await asyncio.sleep(self.plan.replica_report_period_us / 1e6 * random.uniform(*REPORT_JITTER))
            replica.update_report()

    def on_command(self, do: dict[str, Any]) -> None:
        """Executes a command for each replica that it names: `die`, `start` or a fault."""
        for name in do["replicas"]:
            replica = self.replicas[name]
            self.record("told", replica=name, do=do["do"], value=do.get("value"))
            _execute(replica, do)


def _execute(replica: Replica, command: dict[str, Any]) -> None:
    match command["do"]:
        case "die":
            replica.stop("killed")
        case "start":
            replica.stop("started anew")
            replica.start(is_cold=True)
        case "slow":
            replica.slowdown = float(command["value"])
        case "taken":
            replica.stolen_share = float(command["value"])
        case "shown":
            replica.reported_factor = float(command["value"])
        case "fails":
            replica.failure_share = float(command["value"])
        case "hang":
            replica.is_hung = bool(command["value"])
        case _:
            raise ValueError(f"unknown order {command['do']!r}")
