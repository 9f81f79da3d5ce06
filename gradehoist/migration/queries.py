"""What movers and releases ask of governors and the roster; None where no answer came."""

from __future__ import annotations

from typing import Any

import msgspec

from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import feed

QUERY_ERRORS = (ConnectError, ConnectionLostError, ResponseTimeoutError, msgspec.MsgspecError)


async def fetch_governor_status(client: HttpClient) -> dict[str, Any] | None:
    """A governor's figures; its `cells` are those of `gradehoist.governor.cell_stats`."""
    try:
        response = await client.request("GET", "/v1/status", timeout_s=2.0)
        found: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
    except QUERY_ERRORS:
        return None
    return found if response.status == 200 else None


async def fetch_endpoints(client: HttpClient, zone: str) -> tuple[feed.EndpointRecord, ...] | None:
    """The roster's whole list, with addresses as `zone` reaches them."""
    try:
        response = await client.request("GET", f"/v1/roster?zone={zone}&after=-1&reader=", timeout_s=2.0)
        found: feed.EndpointListUpdate = msgspec.json.decode(response.body, type=feed.EndpointListUpdate)
    except QUERY_ERRORS:
        return None
    return found.endpoints
