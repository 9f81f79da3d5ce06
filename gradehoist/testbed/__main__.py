"""Runs one stand-in process: `python -m gradehoist.testbed PLAN ROLE FOLDER`, or `... engine PORT`."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from gradehoist.testbed import clients, endpoint_list, etcd_server, fault_link, proxy, replica, scenario_plan
from gradehoist.testbed.process import Process, ProcessFactory


def make(role: str) -> ProcessFactory:
    makers: dict[str, type[Process]] = {
        "clients": clients.ClientProcess,
        "links": fault_link.LinkProcess,
        "roster": endpoint_list.EndpointListProcess,
        "relays": proxy.ProxyProcess,
        "replicas": replica.ReplicaProcess,
    }
    return makers[role.partition("-")[0]]


def main() -> None:
    if sys.argv[1] == "engine":
        asyncio.run(etcd_server.run(int(sys.argv[2])))
        return
    path, role, folder = sys.argv[1:]
    asyncio.run(make(role)(scenario_plan.load_plan(path), role, Path(folder)).run())


if __name__ == "__main__":
    main()
