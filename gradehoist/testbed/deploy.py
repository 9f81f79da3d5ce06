"""Deploys a release to one replica as an operator would: drains it, restarts it and lists it as ready.

Usage: `python -m gradehoist.testbed.deploy PLAN REPLICA FAILS SLOW`. FAILS is the share of its requests that
the new release fails. SLOW is the factor by which the release slows down the other requests.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec

from gradehoist.net.client import HttpClient
from gradehoist.testbed.process import LOOPBACK
from gradehoist.testbed.scenario_plan import Plan, load_plan

DRAIN_S = 1.5  # time for the requests in flight to end
COMMAND_TIMEOUT_S = 5.0


async def send_command(plan: Plan, role: str, **command: object) -> None:
    """Sends a command to the control port of a role.

    Raises:
        SystemExit: the process rejected the command.
    """
    client = HttpClient(LOOPBACK, plan.control_ports[role])
    try:
        body = msgspec.json.encode(command)
        response = await client.request("POST", "/", body, timeout_s=COMMAND_TIMEOUT_S)
    finally:
        client.close()
    if response.status != 204:
        raise SystemExit(f"{role} rejected the command {command}: status {response.status}")


async def deploy(plan: Plan, replica: str, failure_share: float, slowdown: float) -> None:
    """Drains and restarts the replica, then lists it as ready.

    Args:
        plan: The plan of the run that the replica belongs to.
        replica: The name of the replica.
        failure_share: The share of requests that the new release fails.
        slowdown: The factor by which the new release slows down requests.
    """
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
