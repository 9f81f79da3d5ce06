"""HTTP queries to governors and to the endpoint list.

The functions return None if there is no response or an unusable one.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import feed

# Errors of an HTTP exchange that mean that there is no usable response.
QUERY_ERRORS = (ConnectError, ConnectionLostError, ResponseTimeoutError, msgspec.MsgspecError)

QUERY_TIMEOUT_S = 2.0
CONNECT_TIMEOUT_S = 0.5  # within a site, a connection is established in milliseconds


async def fetch_governor_status(client: HttpClient) -> dict[str, Any] | None:
    """Returns a governor's status. `gradehoist.governor.cell_stats` describes its field `cells`."""
    try:
        response = await client.request("GET", "/v1/status", timeout_s=QUERY_TIMEOUT_S)
        status: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
    except QUERY_ERRORS:
        return None
    return status if response.status == 200 else None


async def fetch_endpoints(client: HttpClient, zone: str) -> tuple[feed.EndpointRecord, ...] | None:
    """Returns a complete snapshot of the endpoint list, with the addresses that `zone` uses."""
    try:
        response = await client.request(
            "GET", f"/v1/roster?zone={zone}&after=-1&reader=", timeout_s=QUERY_TIMEOUT_S
        )
        update: feed.EndpointListUpdate = msgspec.json.decode(response.body, type=feed.EndpointListUpdate)
    except QUERY_ERRORS:
        return None
    return update.endpoints
