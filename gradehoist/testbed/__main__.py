"""Runs one process of the testbed.

`python -m gradehoist.testbed PLAN ROLE FOLDER` runs a role of a scenario run, with its event file in FOLDER.
`python -m gradehoist.testbed engine PORT` runs the etcd test double, which needs no plan.
"""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

from gradehoist.testbed import etcd_server
from gradehoist.testbed.clients import ClientProcess
from gradehoist.testbed.endpoint_list import EndpointListProcess
from gradehoist.testbed.fault_link import LinkProcess
from gradehoist.testbed.process import Process, ProcessFactory
from gradehoist.testbed.proxy_process import ProxyProcess
from gradehoist.testbed.replica_process import ReplicaProcess
from gradehoist.testbed.scenario_plan import load_plan

ETCD_ROLE = "engine"


def find_factory(role: str) -> ProcessFactory:
    """Returns the process type for a role, which has the form `NAME` or `NAME-ZONE`.

    Raises:
        KeyError: no process type has this name.
    """
    factories: dict[str, type[Process]] = {
        "clients": ClientProcess,
        "links": LinkProcess,
        "roster": EndpointListProcess,
        "relays": ProxyProcess,
        "replicas": ReplicaProcess,
    }
    return factories[role.partition("-")[0]]


def main() -> None:
    """Runs the process that the command line names until SIGTERM or SIGINT."""
    if sys.argv[1] == ETCD_ROLE:
        asyncio.run(etcd_server.run(int(sys.argv[2])))
        return
    plan_path, role, folder = sys.argv[1:]
    process = find_factory(role)(load_plan(plan_path), role, Path(folder))
    asyncio.run(process.run())


if __name__ == "__main__":
    main()
