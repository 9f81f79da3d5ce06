"""The endpoint list service, which readers follow by long polls; role `roster`."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response, json_response
from gradehoist.protocol import feed, http
from gradehoist.testbed.process import LOOPBACK, Process, read_monotonic_us

# A reader that is further behind gets a complete snapshot instead of a delta.
MAX_VERSIONS_BEHIND = 200
# The longest time for which a poll is held.
MAX_WAIT_S = 10.0
# The age that is listed for a replica that has run since before the scenario began.
PRESTARTED_AGE_US = 10**9


class EndpointState(msgspec.Struct):
    """The listed state of a replica.

    Attributes:
        phase: The listed phase, such as `ready`, `draining` or `gone`.
        incarnation_number: The number of the replica's incarnation, from 1.
        started_us: When the incarnation started; 0 if it ran before the scenario began.
        version: The version of the list at which the state last changed.
    """

    phase: str
    incarnation_number: int
    started_us: int
    version: int


class EndpointListProcess(Process):
    """Serves the endpoint list; commands of the run change the list or inject an outage."""

    async def start(self) -> None:
        """Lists the replicas that the plan lists at the start, and begins to serve."""
        self.incarnation = str(read_monotonic_us())
        self.version = 1
        self.endpoints = {
            replica.name: EndpointState(phase="ready", incarnation_number=1, started_us=0, version=1)
            for replica in self.plan.replicas
            if replica.is_listed
        }
        self.outage = ""
        self.change_event = asyncio.Event()
        self.replicas = {replica.name: replica for replica in self.plan.replicas}
        self.link_ports = {(link.zone, link.target): link.port for link in self.plan.links if not link.proxy}
        self.server = HttpServer(self._handle)
        host, port = self.plan.endpoint_list
        self.server.listen(port, host)

    def on_command(self, command: dict[str, Any]) -> None:
        """Executes a command of the run and wakes the held polls.

        `list` sets the phase of the named replicas. `down` sets the outage: empty for none, `silent` to leave
        polls without a response, any other value to answer with 503. `forget` restarts the versions.
        """
        match command["do"]:
            case "list":
                self._list_replicas(command)
            case "down":
                self.outage = str(command["value"])
            case "forget":
                self._restart_versions()
            case _:
                raise ValueError(f"unknown command {command['do']!r} for the endpoint list")
        self._notify_readers()

    def _list_replicas(self, command: dict[str, Any]) -> None:
        self.version += 1
        for name in command["replicas"]:
            old = self.endpoints.get(name)
            phase = str(command["phase"])
            incarnation_number = old.incarnation_number if old else 1
            started_us = old.started_us if old else 0
            if command.get("restarted"):
                incarnation_number += 1
                started_us = read_monotonic_us() - int(str(command.get("ago", 0)))
            self.endpoints[name] = EndpointState(
                phase=phase,
                incarnation_number=incarnation_number,
                started_us=started_us,
                version=self.version,
            )
        self.record("changed", version=self.version, replicas=command["replicas"], phase=command["phase"])

    def _restart_versions(self) -> None:
        """Begins a new incarnation of the list, whose versions start again from 1."""
        self.incarnation = str(read_monotonic_us())
        self.version = 1
        for endpoint in self.endpoints.values():
            endpoint.version = 1

    def _notify_readers(self) -> None:
        self.change_event.set()
        self.change_event = asyncio.Event()

    async def _handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        url = urlsplit(request.target)
        if url.path != "/v1/roster":
            return error_response(404, "only /v1/roster is here")
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        after_version = int(query.get("after", -1))
        incarnation = query.get("life")
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + min(MAX_WAIT_S, float(query.get("wait", 0)))
        while True:
            if self.outage == "silent":
                await connection.closed.wait()
                return None
            if self.outage:
                return error_response(503, "down")
            is_snapshot = self._needs_snapshot(incarnation, after_version)
            if is_snapshot or after_version < self.version:
                break
            if not await self._wait_for_change(deadline_s - loop.time()):
                break
        endpoints = self._build_records(query.get("zone", ""), is_snapshot, after_version)
        self.record(
            "told",
            reader=query.get("reader", ""),
            whole=is_snapshot,
            version=self.version,
            entries={endpoint.replica: [endpoint.phase, endpoint.incarnation] for endpoint in endpoints},
        )
        return json_response(
            feed.EndpointListUpdate(
                incarnation=self.incarnation,
                version=self.version,
                endpoints=endpoints,
                is_snapshot=is_snapshot,
                since_version=max(0, after_version),
            )
        )

    def _needs_snapshot(self, incarnation: str | None, after_version: int) -> bool:
        return (
            after_version < 0
            or incarnation != self.incarnation
            or after_version < self.version - MAX_VERSIONS_BEHIND
        )

    async def _wait_for_change(self, timeout_s: float) -> bool:
        """Waits for a change of the list; returns False if none came within the timeout."""
        if timeout_s <= 0:
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await self.change_event.wait()
        except TimeoutError:
            return False
        return True

    def _build_records(
        self, zone: str, is_snapshot: bool, after_version: int
    ) -> tuple[feed.EndpointRecord, ...]:
        """Builds the records of a snapshot or a delta, addressed through the links from the reader's zone."""
        return tuple(
            self._build_record(zone, name, endpoint)
            for name, endpoint in self.endpoints.items()
            if (endpoint.phase != "gone" if is_snapshot else endpoint.version > after_version)
        )

    def _build_record(self, zone: str, name: str, endpoint: EndpointState) -> feed.EndpointRecord:
        replica = self.replicas[name]
        age_us = read_monotonic_us() - endpoint.started_us if endpoint.started_us else PRESTARTED_AGE_US
        return feed.EndpointRecord(
            replica=name,
            zone=replica.zone,
            address=f"{LOOPBACK}:{self.link_ports[zone, name]}",
            kind=replica.kind,
            cell=replica.cell,
            phase=endpoint.phase,
            size=replica.size,
            incarnation=f"{name}/{endpoint.incarnation_number}",
            age_us=age_us,
        )
