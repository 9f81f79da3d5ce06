"""One health check of a replica over HTTP, and the outcome for each kind of response."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from gradehoist.interface import HealthCheckOutcome
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.protocol import http

OUTCOME_BY_STATUS = {200: HealthCheckOutcome.HEALTHY, 503: HealthCheckOutcome.REJECTED}


class HealthCheckResult(NamedTuple):
    """The outcome of a health check, and the response if one was received."""

    outcome: HealthCheckOutcome
    response: http.Response | None


async def check_health(
    client: HttpClient, target: str, timeout_s: float, semaphore: asyncio.Semaphore
) -> HealthCheckResult:
    """Requests `target` within `timeout_s`, which includes the wait for `semaphore`."""
    try:
        async with asyncio.timeout(timeout_s), semaphore:
            response = await client.request("GET", target, timeout_s=timeout_s)
    except (TimeoutError, ResponseTimeoutError):
        return HealthCheckResult(HealthCheckOutcome.TIMED_OUT, None)
    except ConnectError:
        return HealthCheckResult(HealthCheckOutcome.UNREACHABLE, None)
    except ConnectionLostError:
        return HealthCheckResult(HealthCheckOutcome.CONNECTION_RESET, None)
    outcome = OUTCOME_BY_STATUS.get(response.status, HealthCheckOutcome.ERROR)
    return HealthCheckResult(outcome, response)
