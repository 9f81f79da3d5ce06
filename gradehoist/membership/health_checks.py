"""Health checks of other members over HTTP, with one request per check over reused connections."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection

from gradehoist.coordination.records import MemberRecord
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.settings.reader import parse_address

# Timeout of one health check. Within a site, a response takes milliseconds.
CHECK_TIMEOUT_S = 0.5


class MemberHealthChecker:
    """Sends health checks in background tasks and passes each result to a callback.

    `close` waits for the tasks and closes the connections.
    """

    def __init__(self, on_result: Callable[[MemberRecord, bool], None]) -> None:
        """Create a checker without connections.

        Args:
            on_result: Called with the member and whether it was reached.
        """
        self._on_result = on_result
        self._checks = set[asyncio.Task[None]]()
        self._clients = dict[str, HttpClient]()

    @property
    def connection_count(self) -> int:
        """The number of members to which a connection is kept."""
        return len(self._clients)

    def start_check(self, member: MemberRecord) -> None:
        """Start one health check of a member in the background."""
        task = asyncio.ensure_future(self._check(member))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def retain_connections(self, addresses: Collection[str]) -> None:
        """Close all connections except those to these addresses."""
        for address in self._clients.keys() - addresses:
            self._clients.pop(address).close()

    async def close(self) -> None:
        """Wait until the running checks complete or time out, and close all connections."""
        await asyncio.gather(*self._checks, return_exceptions=True)
        for client in self._clients.values():
            client.close()

    async def _check(self, member: MemberRecord) -> None:
        is_reached = False
        # A ValueError means that the address in the member's record is invalid.
        with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError, ValueError):
            if member.address not in self._clients:
                self._clients[member.address] = HttpClient(*parse_address(member.address))
            response = await self._clients[member.address].request(
                "GET", f"/healthz?run={member.incarnation}", timeout_s=CHECK_TIMEOUT_S
            )
            is_reached = response.status == 204
        self._on_result(member, is_reached)
