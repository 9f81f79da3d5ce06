"""Health checks of other members over HTTP: one request per check, and the connections that they reuse."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable, Collection

from gradehoist.coordination.records import MemberRecord
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.settings.reader import parse_address

CHECK_TIMEOUT_S = 0.5  # within a site an answer takes milliseconds


class MemberHealthChecker:
    """Sends health checks in tasks of its own and reports each result to `on_result`.

    `close` ends the tasks and connections.
    """

    def __init__(self, on_result: Callable[[MemberRecord, bool], None]) -> None:
        """Create a checker without connections; `on_result` gets the member and whether it was reached."""
        self._on_result = on_result
        self._checks = set[asyncio.Task[None]]()
        self._clients = dict[str, HttpClient]()

    @property
    def connection_count(self) -> int:
        """Members to which a connection is held."""
        return len(self._clients)

    def start_check(self, member: MemberRecord) -> None:
        """Begin one health check of a member in the background."""
        task = asyncio.ensure_future(self._check(member))
        self._checks.add(task)
        task.add_done_callback(self._checks.discard)

    def retain_connections(self, addresses: Collection[str]) -> None:
        """Close the connections to all but these addresses."""
        for address in self._clients.keys() - addresses:
            self._clients.pop(address).close()

    async def close(self) -> None:
        """Wait for the checks under way, each within its timeout, and close all connections."""
        await asyncio.gather(*self._checks, return_exceptions=True)
        for client in self._clients.values():
            client.close()

    async def _check(self, member: MemberRecord) -> None:
        is_reached = False
        # A ValueError means that the member's record holds no usable address.
        with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError, ValueError):
            if member.address not in self._clients:
                self._clients[member.address] = HttpClient(*parse_address(member.address))
            response = await self._clients[member.address].request(
                "GET", f"/healthz?run={member.incarnation}", timeout_s=CHECK_TIMEOUT_S
            )
            is_reached = response.status == 204
        self._on_result(member, is_reached)
