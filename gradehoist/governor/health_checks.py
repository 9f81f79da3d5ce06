"""One probe of a replica over HTTP, and what its answer means."""

from __future__ import annotations

import asyncio

from gradehoist import interface as i
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import http

STATUS = {200: i.HealthCheckOutcome.HEALTHY, 503: i.HealthCheckOutcome.REJECTED}


async def ask(
    client: HttpClient, target: str, deadline: float, gate: asyncio.Semaphore
) -> tuple[i.HealthCheckOutcome, http.Response | None]:
    """Within `deadline` seconds, the wait at `gate` for its turn included."""
    try:
        async with asyncio.timeout(deadline), gate:
            response = await client.request("GET", target, timeout_s=deadline)
    except (TimeoutError, ResponseTimeoutError):
        return i.HealthCheckOutcome.TIMED_OUT, None
    except ConnectError:
        return i.HealthCheckOutcome.UNREACHABLE, None
    except ConnectionLostError:
        return i.HealthCheckOutcome.CONNECTION_RESET, None
    return STATUS.get(response.status, i.HealthCheckOutcome.ERROR), response
