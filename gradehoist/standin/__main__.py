"""Runs one stand-in process: `python -m gradehoist.standin PLAN ROLE FOLDER`, or `... engine PORT`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from gradehoist.standin import clients, engine, link, plan, relay, replica, roster
from gradehoist.standin.process import Make, Process


def make(role: str) -> Make:
    makers: dict[str, type[Process]] = {
        "clients": clients.Clients,
        "links": link.Links,
        "roster": roster.Roster,
        "relays": relay.Relays,
        "replicas": replica.Replicas,
    }
    return makers[role.partition("-")[0]]


def main() -> None:
    if sys.argv[1] == "engine":
        asyncio.run(engine.run(int(sys.argv[2])))
        return
    path, role, folder = sys.argv[1:]
    asyncio.run(make(role)(plan.load(path), role, Path(folder)).run())


if __name__ == "__main__":
    main()
