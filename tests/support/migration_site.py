"""Test doubles of the servers that a migration runner calls: a governor, replicas, an endpoint list."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from pathlib import Path

import msgspec

from gradehoist.cells.assignment import ReplicaFence, TenantAssignment, TenantDirectory, WriteDecision
from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.migration.planning import create_migrations
from gradehoist.migration.records import load_migrations
from gradehoist.migration.runner import MigrationRunner
from gradehoist.net.server import Connection, HttpServer, ServerResponse, json_response
from gradehoist.protocol import feed, http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement
from tests.support.governed_fleet import make_loopback_settings

LOCAL = "127.0.0.1"
TENANT = "inn"
GOVERNOR = "g"
CELL_BY_REPLICA = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}
FOREVER_US = 1 << 60


class MigrationSite:
    """Servers of a governor's directory, of four replicas' fences and of an endpoint list.

    Attributes:
        unresponsive: The name of the governor or replica that does not answer, or "".
        listed_addresses: Addresses that the endpoint list contains instead of the actual ones, by replica.
        request_counts: The number of requests received, by governor or replica.
    """

    def __init__(self, folder: Path, unresponsive: str = "") -> None:
        names = ("roster", GOVERNOR, *CELL_BY_REPLICA)
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        self.directory = TenantDirectory("a")
        self.fences = {
            name: ReplicaFence(name, cell, lease_until_us=FOREVER_US)
            for name, cell in CELL_BY_REPLICA.items()
        }
        self.request_counts = Counter[str]()
        self.unresponsive = unresponsive
        self.listed_addresses = dict[str, str]()
        self.servers = [self._serve(name, port) for name, port in self.ports.items()]
        self.settings = make_loopback_settings(
            folder,
            self.ports["roster"],
            self.ports[GOVERNOR],
            CellPlacement(("A", "B"), CELL_BY_REPLICA, {TENANT: "A"}),
            'lease="50ms" settle="100ms"',
        )

    def _serve(self, name: str, port: int) -> HttpServer:
        async def handle(request: http.Request, connection: Connection) -> ServerResponse | None:
            return self.handle(name, request)

        server = HttpServer(handle)
        server.listen(port, LOCAL)
        return server

    def handle(self, name: str, request: http.Request) -> ServerResponse | None:
        if name == "roster":
            return json_response(
                feed.EndpointListUpdate("l", 1, tuple(map(self._endpoint, CELL_BY_REPLICA)), True)
            )
        self.request_counts[name] += 1
        if name == self.unresponsive:
            return None
        assignment: TenantAssignment = msgspec.json.decode(request.body, type=TenantAssignment)
        if name == GOVERNOR:
            self.directory, ack = self.directory.apply_assignment(assignment)
        else:
            self.fences[name], ack = self.fences[name].apply_assignment(assignment)
        return json_response(ack)

    def _endpoint(self, replica: str) -> feed.EndpointRecord:
        address = self.listed_addresses.get(replica, f"{LOCAL}:{self.ports[replica]}")
        return feed.EndpointRecord(replica, "x", address)

    def accepts_write(self, replica: str, generation: int) -> bool:
        fence = self.fences[replica]
        _, decision = fence.check_write(0, TENANT, fence.cell, generation, "new")
        return decision is WriteDecision.ACCEPT

    def use_settle_time_of_a_minute(self) -> None:
        """Makes the wait longer than any test, so that only the replicas' confirmations end a step."""
        fleet = self.settings.fleet
        assert fleet.placement is not None
        placement = msgspec.structs.replace(fleet.placement, settle_us=60_000_000)
        self.settings = replace(self.settings, fleet=replace(fleet, placement=placement))

    def create_migration(self, folder: Path) -> Migration:
        (migration,) = create_migrations(folder, self.settings, {TENANT: "B"})
        return migration

    async def run_pending_migrations(self, folder: Path, waits: list[str] | None = None) -> list[Migration]:
        """Runs all migrations that are not done; appends each step and what it waits for to `waits`."""
        changes: list[str] = [] if waits is None else waits

        def on_change(migration: Migration, wait: str) -> None:
            changes.append(f"{migration.step.value}: {wait}")

        runner = MigrationRunner(self.settings, folder, on_change)
        pending = [m for m in load_migrations(folder) if m.step is not MigrationStep.DONE]
        return await asyncio.wait_for(runner.run(pending), 20)

    def close(self) -> None:
        for server in self.servers:
            server.abort()
