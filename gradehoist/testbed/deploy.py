"""Deploys a release to one replica as an operator does: drain, restart with the release, list as ready.

`python -m gradehoist.testbed.deploy PLAN REPLICA FAILS SLOW`: the share of its requests that the release
fails, and how many times as long the others take.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec

from gradehoist.net.client import HttpClient
from gradehoist.testbed.process import LOOPBACK
from gradehoist.testbed.scenario_plan import Plan, load_plan

DRAIN_S = 1.5  # requests in flight end meanwhile
COMMAND_TIMEOUT_S = 5.0


async def send_command(plan: Plan, role: str, **command: object) -> None:
    """Sends a command to the process of a role. Raises SystemExit if it is rejected."""
    client = HttpClient(LOOPBACK, plan.control_ports[role])
    try:
        body = msgspec.json.encode(command)
        response = await client.request("POST", "/", body, timeout_s=COMMAND_TIMEOUT_S)
    finally:
        client.close()
    if response.status != 204:
        raise SystemExit(f"{role} refused {command}")


async def deploy(plan: Plan, replica: str, failure_share: float, slowdown: float) -> None:
    """Drains, restarts and lists the replica again; its release fails and slows requests as given."""
    zone = next(planned.zone for planned in plan.replicas if planned.name == replica)
    role = f"replicas-{zone}"
    replicas = [replica]
    await send_command(plan, "roster", do="list", replicas=replicas, phase="draining")
    await asyncio.sleep(DRAIN_S)
    await send_command(plan, role, do="start", replicas=replicas)
    await send_command(plan, role, do="fails", replicas=replicas, value=failure_share)
    await send_command(plan, role, do="slow", replicas=replicas, value=slowdown)
    await send_command(plan, "roster", do="list", replicas=replicas, phase="ready", restarted=True)


if __name__ == "__main__":
    asyncio.run(deploy(load_plan(sys.argv[1]), sys.argv[2], float(sys.argv[3]), float(sys.argv[4])))
