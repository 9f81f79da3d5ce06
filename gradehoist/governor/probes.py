"""One probe of a replica over HTTP, and what its answer means."""

from __future__ import annotations

import asyncio

from gradehoist import interface as i
from gradehoist.net.client import Broken, Client, TimedOut, Unreachable
from gradehoist.protocol import http

STATUS = {200: i.Outcome.ANSWERED, 503: i.Outcome.TURNED_AWAY}


async def ask(
    client: Client, target: str, deadline: float, gate: asyncio.Semaphore
) -> tuple[i.Outcome, http.Response | None]:
    """Within `deadline` seconds, the wait at `gate` for its turn included."""
    try:
        async with asyncio.timeout(deadline), gate:
            response = await client.exchange("GET", target, timeout=deadline)
    except (TimeoutError, TimedOut):
        return i.Outcome.TIMED_OUT, None
    except Unreachable:
        return i.Outcome.UNREACHABLE, None
    except Broken:
        return i.Outcome.BROKEN, None
    return STATUS.get(response.status, i.Outcome.ERROR), response
