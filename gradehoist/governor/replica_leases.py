"""Renews the leases of replicas by heartbeats that carry the assignments of all tenants."""

from __future__ import annotations

import asyncio
import contextlib

import msgspec

from gradehoist.governor.replica_clients import replica_address
from gradehoist.governor.shell_state import ShellState
from gradehoist.governor.tenant_assignments import TenantAssignments
from gradehoist.net.client import ConnectError, ConnectionLostError, ResponseTimeoutError

HEARTBEATS_PER_LEASE = 3  # a lease survives the loss of two heartbeats
HEARTBEAT_TIMEOUT_S = 0.5
HEARTBEAT_PATH = "/cell/lease"
_ENCODER = msgspec.json.Encoder()


class ReplicaLeases:
    """Renews the leases of all listed replicas. The service owns it."""

    def __init__(self, shell: ShellState, assignments: TenantAssignments) -> None:
        """Creates the task's state; each heartbeat carries all of `assignments`."""
        self._core = shell.core
        self._clients = shell.clients
        self._tasks = shell.tasks
        self._assignments = assignments
        self._in_flight = set[str]()  # addresses with a heartbeat in progress

    async def run(self, lease_us: int) -> None:
        """Sends heartbeats until the task is cancelled."""
        while True:
            directory = self._assignments.directory
            body = _ENCODER.encode((lease_us, directory.heartbeat_assignments()))
            addresses = {replica_address(e) for e in self._core.endpoint_list.endpoints.values()}
            # Each replica has at most one heartbeat in progress: heartbeats to a replica that hangs were
            # started faster than they ended.
            for address in addresses - self._in_flight:
                self._tasks.start(self.renew(address, body))
            await asyncio.sleep(lease_us / (HEARTBEATS_PER_LEASE * 1e6))

    async def renew(self, address: str, body: bytes) -> None:
        """Sends one heartbeat; a failure affects only the lease of this replica."""
        self._in_flight.add(address)
        try:
            # A malformed address raises ValueError.
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError, ValueError):
                client = self._clients.get(address)
                await client.request("POST", HEARTBEAT_PATH, body, timeout_s=HEARTBEAT_TIMEOUT_S)
        finally:
            self._in_flight.discard(address)
