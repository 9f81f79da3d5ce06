"""What movers and releases ask of governors and the roster; None where no answer came."""

from __future__ import annotations

from typing import Any

import msgspec

from gradehoist.net.client import Broken, Client, TimedOut, Unreachable
from gradehoist.protocol import feed

FAULTS = (Unreachable, Broken, TimedOut, msgspec.MsgspecError)


async def status(client: Client) -> dict[str, Any] | None:
    """A governor's figures; its `cells` are those of `gradehoist.governor.cell_stats`."""
    try:
        response = await client.exchange("GET", "/v1/status", timeout=2.0)
        found: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
    except FAULTS:
        return None
    return found if response.status == 200 else None


async def listed(client: Client, zone: str) -> tuple[feed.Replica, ...] | None:
    """The roster's whole list, with addresses as `zone` reaches them."""
    try:
        response = await client.exchange("GET", f"/v1/roster?zone={zone}&after=-1&reader=", timeout=2.0)
        found: feed.Roster = msgspec.json.decode(response.body, type=feed.Roster)
    except FAULTS:
        return None
    return found.entries
