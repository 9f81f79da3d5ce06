"""Test doubles of what a rollout runner uses: a governor with counts, an endpoint list, and commands."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from gradehoist.cells.rollout import Rollout
from gradehoist.migration.rollout import RolloutRunner
from gradehoist.net.server import Connection, HttpServer, ServerResponse, json_response
from gradehoist.protocol import feed, http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement
from tests.support.governed_fleet import make_loopback_settings

LOCAL = "127.0.0.1"
REPLICAS_BY_CELL = {"A": ("a1", "a2"), "B": ("b1", "b2"), "C": ("c1", "c2")}
ALL_REPLICAS = tuple(name for names in REPLICAS_BY_CELL.values() for name in names)
SOAK_S = 0.3
REQUESTS = 60  # the number of requests that a cell receives between two polls
LATENCY_US = 200_000


class RolloutSite:
    """A governor and an endpoint list, and a command that updates a replica by appending its name to a file.

    Attributes:
        faulty: Replicas that, once updated, cause half of their cell's requests to fail.
        returns: Whether updated replicas become ready again, in a new incarnation.
        messages: The runner's messages for operators.
        unanswered_list_requests: How many of the next requests the endpoint list rejects.
        is_governor_silent: Returns whether the governor rejects requests at the moment.
    """

    def __init__(self, folder: Path, faulty: tuple[str, ...] = (), returns: bool = True) -> None:
        self.folder = folder
        self.faulty = faulty
        self.returns = returns
        self.return_timeout_s = 20.0 if returns else 0.5
        self.ports = find_free_ports(2)
        self.counts = {
            cell: Counter(came=0, unanswered=0, tries=0, bad=0, elapsed=0) for cell in REPLICAS_BY_CELL
        }
        cell_by_replica = {name: cell for cell, names in REPLICAS_BY_CELL.items() for name in names}
        placement = CellPlacement(tuple(REPLICAS_BY_CELL), cell_by_replica)
        list_port, governor_port = self.ports
        self.settings = make_loopback_settings(folder, list_port, governor_port, placement)
        self.messages: list[str] = []
        self.unanswered_list_requests = 0
        self.is_governor_silent: Callable[[], bool] = lambda: False

    def updated(self) -> list[str]:
        """Returns the replicas that the command has updated, in order."""
        return self._names_in("renewed")

    def restored(self) -> list[str]:
        """Returns the replicas that the rollback command has restored, in order."""
        return self._names_in("back")

    def _names_in(self, file: str) -> list[str]:
        path = self.folder / file
        return path.read_text().split() if path.exists() else []

    async def answer_list(self, request: http.Request, connection: Connection) -> ServerResponse:
        if self.unanswered_list_requests > 0:
            self.unanswered_list_requests -= 1
            return ServerResponse(503)
        updated = self.updated() if self.returns else []
        endpoints = tuple(
            feed.EndpointRecord(name, "x", incarnation=f"{name}/{updated.count(name)}")
            for name in ALL_REPLICAS
        )
        return json_response(feed.EndpointListUpdate("l", 1, endpoints, True))

    async def answer_status(self, request: http.Request, connection: Connection) -> ServerResponse:
        if self.is_governor_silent():
            return ServerResponse(503)
        for cell, count in self.counts.items():
            is_faulty = bool(set(REPLICAS_BY_CELL[cell]) & set(self.faulty) & set(self.updated()))
            incomplete = REQUESTS // 2 if is_faulty else 0
            elapsed = REQUESTS * LATENCY_US
            count.update(Counter(came=REQUESTS, unanswered=incomplete, tries=REQUESTS, elapsed=elapsed))
        return json_response({"epoch": "e", "cells": self.counts})

    def run(self, rollout: Rollout) -> Rollout:
        """Runs a rollout until it is done or halted."""

        async def run_with_servers() -> Rollout:
            servers = [HttpServer(self.answer_list), HttpServer(self.answer_status)]
            for server, port in zip(servers, self.ports, strict=True):
                server.listen(port, LOCAL)
            runner = RolloutRunner(
                self.settings,
                self.folder,
                soak_s=SOAK_S,
                return_timeout_s=self.return_timeout_s,
                on_change=lambda _, text: self.messages.append(text),
            )
            try:
                return await asyncio.wait_for(runner.run(rollout), 30)
            finally:
                for server in servers:
                    server.abort()

        return asyncio.run(run_with_servers())

    def rollout(self) -> Rollout:
        """Returns a new rollout of all cells that updates one replica at a time."""
        return Rollout(
            id="000001",
            cells=tuple(REPLICAS_BY_CELL),
            replicas=REPLICAS_BY_CELL,
            batch_size=1,
            command=f"/bin/sh -c 'echo {{worker}} >> {self.folder}/renewed'",
            rollback_command=f"/bin/sh -c 'echo {{worker}} >> {self.folder}/back'",
        )
