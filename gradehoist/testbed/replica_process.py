"""The process that runs the replicas of one zone and executes the commands of the run for them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from gradehoist.testbed.process import Process, create_random, read_monotonic_us
from gradehoist.testbed.replica import Replica
from gradehoist.testbed.scenario_plan import Plan

# The period of the simulation, which is far below any latency objective.
STEP_S = 0.004
# Range of the random factor on the period of load reports.
REPORT_JITTER = (0.7, 1.3)


class ReplicaProcess(Process):
    """Runs the replicas of one zone; role `replicas-ZONE`."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Creates the replicas of the zone that the role names."""
        super().__init__(plan, role, folder)
        zone = role.removeprefix("replicas-")
        self.replicas = {
            replica.name: Replica(self, replica, plan) for replica in plan.replicas if replica.zone == zone
        }

    async def start(self) -> None:
        """Starts the listed replicas as warmed up, and the simulation of all replicas."""
        for replica in self.replicas.values():
            if replica.plan.is_listed:
                replica.start(needs_warmup=False)
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

    def on_command(self, command: dict[str, Any]) -> None:
        """Executes a command of the run for each replica that it names.

        `die` stops a replica and `start` restarts it, warming up. The others inject a fault: `slow` a
        slowdown, `taken` the use of the cores by another program, `shown` a false load report, `fails` a
        release that fails requests, and `hang` a replica that neither works nor answers health checks.
        """
        for name in command["replicas"]:
            replica = self.replicas[name]
            self.record("told", replica=name, do=command["do"], value=command.get("value"))
            _execute(replica, command)


def _execute(replica: Replica, command: dict[str, Any]) -> None:
    match command["do"]:
        case "die":
            replica.stop("killed")
        case "start":
            replica.stop("started anew")
            replica.start(needs_warmup=True)
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
            raise ValueError(f"unknown command {command['do']!r} for a replica")
