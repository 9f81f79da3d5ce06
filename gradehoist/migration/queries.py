"""Queries of governors and of the endpoint list; None stands for a missing or unusable answer."""

from __future__ import annotations

from typing import Any

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import feed

# Errors of one exchange that mean that no usable answer came.
QUERY_ERRORS = (ConnectError, ConnectionLostError, ResponseTimeoutError, msgspec.MsgspecError)

QUERY_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5  # within a site a connection takes milliseconds


async def fetch_governor_status(client: HttpClient) -> dict[str, Any] | None:
    """A governor's status; its `cells` are those of `gradehoist.governor.cell_stats`."""
    try:
        response = await client.request("GET", "/v1/status", timeout_s=QUERY_TIMEOUT_S)
        status: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
    except QUERY_ERRORS:
        return None
    return status if response.status == 200 else None


async def fetch_endpoints(client: HttpClient, zone: str) -> tuple[feed.EndpointRecord, ...] | None:
    """A complete snapshot of the endpoint list, with addresses as `zone` reaches them."""
    try:
        response = await client.request(
            "GET", f"/v1/roster?zone={zone}&after=-1&reader=", timeout_s=QUERY_TIMEOUT_S
        )
        found: feed.EndpointListUpdate = msgspec.json.decode(response.body, type=feed.EndpointListUpdate)
    except QUERY_ERRORS:
        return None
    return found.endpoints
