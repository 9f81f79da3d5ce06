"""Runs migrations until they are done.

The process may be killed at any point: a new run resumes from the records.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from gradehoist.cells.assignment import AssignmentAck
from gradehoist.cells.migration import UNDO_SUFFIX, Migration, MigrationStep
from gradehoist.migration.queries import CONNECT_TIMEOUT_S, QUERY_ERRORS, fetch_endpoints
from gradehoist.migration.records import migration_path, save_migration
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import Settings
from gradehoist.settings.reader import parse_address

# The delay before a notification is repeated. It doubles after each round without progress, up to the
# maximum: without that, a failed replica was notified three times a second until the end of its migration.
MIN_RETRY_DELAY_S = 0.3
MAX_RETRY_DELAY_S = 5.0
# The migrations that run at the same time. Each of them sends a message to every proxy.
MAX_CONCURRENT_MIGRATIONS = 8
NOTIFY_TIMEOUT_S = 1.0
ENDPOINT_LIST_INTERVAL_S = 1.0
# Added to the delay until a point in time, so that the timer never fires before it.
TIMER_MARGIN_S = 0.01

GOVERNOR_PATH = "/v1/cells/word"
REPLICA_PATH = "/cell/word"


def monotonic_us() -> int:
    """Returns the time of the machine's monotonic clock."""
    return time.monotonic_ns() // 1_000


class MigrationRunner:
    """Runs migrations. The command that creates the runner holds the lock of the record store."""

    def __init__(self, settings: Settings, folder: Path, on_change: Callable[[Migration, str], None]) -> None:
        """Creates a runner.

        Args:
            settings: The fleet with its placement.
            folder: The record store.
            on_change: Called with a migration and a description of what it waits for, whenever that changes.
        """
        placement = settings.fleet.placement
        assert placement is not None
        self._settings = settings
        self._folder = folder
        self._on_change = on_change
        self._governors = tuple(governor.name for governor in settings.governors)
        self._replicas_by_cell = {
            cell: tuple(sorted(placement.replicas_of(cell))) for cell in placement.cells
        }
        self._fencing_wait_us = placement.lease_us + placement.settle_us
        # The key is the name of a governor or the address of a replica.
        self._clients = {
            governor.name: HttpClient(*governor.listen_address, connect_timeout_s=CONNECT_TIMEOUT_S)
            for governor in settings.governors
        }
        self._replica_addresses: dict[str, str] = {}
        self._slots = asyncio.Semaphore(MAX_CONCURRENT_MIGRATIONS)

    async def run(self, migrations: list[Migration]) -> list[Migration]:
        """Runs migrations until each is done or has a conflict; one that is undone is left to its undo."""
        poll_task = asyncio.ensure_future(self._poll_endpoint_list())
        try:
            return list(await asyncio.gather(*(self._run_in_slot(m) for m in migrations)))
        finally:
            poll_task.cancel()
            await asyncio.gather(poll_task, return_exceptions=True)
            for client in self._clients.values():
                client.close()

    async def _run_in_slot(self, migration: Migration) -> Migration:
        async with self._slots:
            return await self._run_migration(migration)

    async def _run_migration(self, migration: Migration) -> Migration:
        described_wait = ""
        retry_delay_s = MIN_RETRY_DELAY_S
        while migration.step is not MigrationStep.DONE and not migration.conflict:
            if self._is_undone(migration):
                self._on_change(migration, "undone")
                return migration
            before = migration
            migration = await self._run_round(before)
            if migration.restarted() != before.restarted():
                retry_delay_s = MIN_RETRY_DELAY_S
            wait = migration.describe_wait(
                monotonic_us(), self._governors, self._replicas_by_cell, self._fencing_wait_us
            )
            if wait != described_wait:
                described_wait = wait
                self._on_change(migration, wait)
            if migration.step is before.step:
                await asyncio.sleep(min(retry_delay_s, self._fencing_delay_s(migration)))
                retry_delay_s = min(MAX_RETRY_DELAY_S, 2 * retry_delay_s)
        return migration

    async def _run_round(self, migration: Migration) -> Migration:
        """Notifies all recipients that have not confirmed yet; returns the migration after their answers."""
        recipients = migration.pending_recipients(self._governors, self._replicas_by_cell)
        acks = await asyncio.gather(*(self._notify(name, migration) for name in recipients))
        after = migration
        for ack in acks:
            if ack is not None:
                after = after.with_acknowledgement(monotonic_us(), ack, self._governors)
        after = after.advance(monotonic_us(), self._governors, self._replicas_by_cell, self._fencing_wait_us)
        # The time of the last confirmation is not used after a restart and need not be persisted.
        if after.restarted() != migration.restarted():
            # The record has to be persisted before any message of a new step is sent.
            save_migration(self._folder, after)
        return after

    def _is_undone(self, migration: Migration) -> bool:
        return not migration.is_undo and migration_path(self._folder, migration.id + UNDO_SUFFIX).exists()

    def _fencing_delay_s(self, migration: Migration) -> float:
        """Returns the time until lease and settle time have passed, if all governors have confirmed."""
        if migration.governors_confirmed_us < 0:
            return MAX_RETRY_DELAY_S + TIMER_MARGIN_S
        end_us = migration.governors_confirmed_us + self._fencing_wait_us
        remaining_s = (end_us - monotonic_us()) / 1e6
        return remaining_s + TIMER_MARGIN_S if remaining_s > 0 else MIN_RETRY_DELAY_S

    async def _notify(self, recipient: str, migration: Migration) -> AssignmentAck | None:
        """Sends the assignment to a governor or replica; returns None if there is no usable response."""
        is_governor = recipient in self._governors
        try:
            client = self._governor_client(recipient) if is_governor else self._replica_client(recipient)
        except ValueError:
            return None
        try:
            response = await client.request(
                "POST",
                GOVERNOR_PATH if is_governor else REPLICA_PATH,
                msgspec.json.encode(migration.assignment()),
                timeout_s=NOTIFY_TIMEOUT_S,
            )
            if response.status != 200:
                return None
            ack: AssignmentAck = msgspec.json.decode(response.body, type=AssignmentAck)
        except QUERY_ERRORS:
            return None
        return ack

    def _governor_client(self, name: str) -> HttpClient:
        return self._clients[name]

    def _replica_client(self, name: str) -> HttpClient:
        """Returns a client of a replica's current address. Raises ValueError if that is not a valid address.

        Clients are stored by address, not by name: otherwise, a replica that returned at another address was
        notified at its old one until the end of the migration.
        """
        address = self._replica_addresses.get(name, "")
        if address not in self._clients:
            self._clients[address] = HttpClient(*parse_address(address), connect_timeout_s=CONNECT_TIMEOUT_S)
        return self._clients[address]

    async def _poll_endpoint_list(self) -> None:
        """Updates the addresses of replicas; the last ones hold while the endpoint list does not answer."""
        client = HttpClient(*self._settings.fleet.endpoint_list_address)
        zone = self._settings.governors[0].zone
        try:
            while True:
                endpoints = await fetch_endpoints(client, zone)
                if endpoints is not None:
                    self._replica_addresses = {
                        endpoint.replica: endpoint.address or endpoint.replica for endpoint in endpoints
                    }
                await asyncio.sleep(ENDPOINT_LIST_INTERVAL_S)
        finally:
            client.close()
