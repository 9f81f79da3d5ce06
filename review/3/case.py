"""Case 3: a zone is lost and comes back cold; one of its replicas is readmitted alone and pushed over."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from standins import Deployment, run_case

FOLDER = Path(__file__).resolve().parent
SEED = 40
# A small deployment of two zones. The figures lie in the ranges of the operators' site files.
SETTINGS = {
    "azs": ["east", "west"],
    "kinds": ["two-core"],
    "classes": [
        {"name": "look", "aim": 1.0, "deadline": 3.0, "idempotency": "free", "group": "all",
         "repeat-window": 2.0, "worth": 1.0, "late-worth": 0.1},
        {"name": "charge", "aim": 1.0, "deadline": 3.0, "idempotency": "single_shot", "group": "all",
         "repeat-window": 2.0, "worth": 5.0, "late-worth": 0.1},
    ],
    "guarantees": {"cold": 12.0, "cold-share": 0.21, "drain-grace": 3.0, "fall-multiple": 2.5,
                   "full-may-have-run": True, "must-ask-in": 10.0, "tip-after": 1.5},
    "discovery": "push", "kind-of-service": "control", "replicas-of-me": 1, "self-index": 0,
    "limits": {"conn-idle": 15.0, "connect-timeout": 0.25, "cpu-us-per-s": 400000, "max-streams": 100,
               "peer-messages": False, "probes": True},
    "report": {"fields": ["utilization", "outstanding"], "how": "inline"},
    "specifics": {"admission": "share", "blackhole": 4.6, "choice": "weighted", "fixed-cost": 6.0,
                  "homed-by-zone": False, "ingest-rate": 150.0, "one-owner": False, "pending-max": 6750.0,
                  "period": 2.0, "proxies": 6, "push-delay": 0.15, "push-price": 0.04, "push-rate": 4500.0,
                  "pushes-allowed": 20, "update-window": 10.0, "retry-default": 1, "shards": 0,
                  "standing": 5, "stays-local": [False, True], "strikes": 0, "worst-transit": 0.4},
    "weights": "none", "worth-by": "request",
}  # fmt: skip
SHARES = {"look": 0.63, "charge": 0.37}
RATES = {"east": 20.5, "west": 14.2}  # requests a second of each proxy: 104 in all
ZONE = "east"
FIRST_LOSS_S = 6.0
LOSS_S = 10.0  # the site files give 8 to 24 s
LOSSES = 2  # at most: the case ends with the first broken rule
CYCLE_S = 30.0
DEATH_NOTICE_S = 1.5  # after which discovery knows that a process has ended
START_NOTICE_S = (0.6, 0.65, 0.7, 0.75, 0.8, 0.85)  # after which it knows that each of them has started
CHANCE = 0.2  # slack on the multiple; the wire page allows "a little slack for chance"


async def lose_zone(deployment: Deployment) -> None:
    """Ends all replica processes of the zone, and starts them again after the time of a loss."""
    members = [replica for replica in deployment.replicas.values() if replica.zone == ZONE]
    deployment.record("trouble", f"zone {ZONE} is lost")
    for replica in members:
        replica.die()
    await asyncio.sleep(DEATH_NOTICE_S)
    for replica in members:
        replica.phase = "left"
    deployment.discovery.change(*[replica.member() for replica in members])
    await asyncio.sleep(LOSS_S - DEATH_NOTICE_S)
    for replica in members:
        await replica.restart()
    deployment.record("trouble", f"zone {ZONE} is back, cold")
    told_s = 0.0
    for notice_s in sorted(set(START_NOTICE_S)):
        await asyncio.sleep(notice_s - told_s)
        told_s = notice_s
        known = [m for m, own in zip(members, START_NOTICE_S, strict=True) if own == notice_s]
        deployment.discovery.change(*[replica.member() for replica in known])


async def note_tables(deployment: Deployment) -> None:
    """Records twice a second what one proxy of the zone may pick from."""
    proxy = next(proxy for proxy in deployment.proxies if proxy.zone == ZONE)
    while True:
        await asyncio.sleep(0.5)
        deployment.record("table", f"proxy {proxy.number} charge: {proxy.available('charge')}")


async def play(folder: Path, has_trouble: bool) -> list[str]:
    """Plays the case and returns how the rule was broken."""
    deployment = Deployment(folder, SETTINGS, SEED)
    for zone in SETTINGS["azs"]:
        names = [f"s-{zone[0]}{number}" for number in range(6)]
        deployment.add_replicas(names, zone, cores=2, work_s=0.12)
    for number in range(SETTINGS["specifics"]["proxies"]):
        zone = SETTINGS["azs"][number % 2]
        deployment.add_proxy(zone, RATES[zone])
    deployment.shares = SHARES
    try:
        await deployment.open()
        deployment.check_failback(CHANCE)
        deployment.start(note_tables(deployment))
        await asyncio.sleep(FIRST_LOSS_S)
        for _ in range(LOSSES):
            if has_trouble:
                deployment.start(lose_zone(deployment))
            await asyncio.sleep(CYCLE_S)
            if deployment.broken:
                break
        if not deployment.governor.is_running:
            raise RuntimeError("the governor has ended")
        return deployment.broken
    finally:
        await deployment.close()


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, play))
