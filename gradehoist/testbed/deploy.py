"""An operator's deployment of one worker: listed as draining, started anew with a release, listed as ready.

`python -m gradehoist.testbed.deploy PLAN WORKER FAILS SLOW`: the share of its work that the release fails,
and how many times as long the rest takes.
"""

from __future__ import annotations

import asyncio
import sys

import msgspec

from gradehoist.net.client import HttpClient
from gradehoist.testbed import scenario_plan as p

DRAIN = 1.5  # seconds: what is in hand ends meanwhile


async def deploy(plan: p.Plan, worker: str, fails: float, slow: float) -> None:
    zone = next(r.zone for r in plan.replicas if r.name == worker)

    async def tell(role: str, **do: object) -> None:
        client = HttpClient("127.0.0.1", plan.control_ports[role])
        try:
            response = await client.request("POST", "/", msgspec.json.encode(do), timeout_s=5.0)
        finally:
            client.close()
        if response.status != 204:
            raise SystemExit(f"{role} refused {do}")

    await tell("roster", do="list", replicas=[worker], phase="draining")
    await asyncio.sleep(DRAIN)
    await tell(f"replicas-{zone}", do="start", replicas=[worker])
    await tell(f"replicas-{zone}", do="fails", replicas=[worker], value=fails)
    await tell(f"replicas-{zone}", do="slow", replicas=[worker], value=slow)
    await tell("roster", do="list", replicas=[worker], phase="ready", restarted=True)


if __name__ == "__main__":
    asyncio.run(deploy(p.load_plan(sys.argv[1]), sys.argv[2], float(sys.argv[3]), float(sys.argv[4])))
