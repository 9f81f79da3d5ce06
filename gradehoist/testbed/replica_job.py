"""The jobs of a replica, and the fenced write that a job may perform."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class FencedWrite:
    """A tenant's write, with the cell and the generation by which the proxy routed it."""

    tenant: str
    cell: str
    generation: int


@dataclass
class Job:
    """A unit of work of a replica: a request, a health check or the handshake of a connection.

    Attributes:
        remaining_ms: The work that remains, in milliseconds on a core of speed 1.
        done: Is set when the work is done, and cancelled if the replica stops before.
        request_id: The id of the request; empty for health checks and handshakes.
        write: The write that the request performs if it is subject to the fence.
    """

    remaining_ms: float
    done: asyncio.Future[None]
    request_id: str = ""
    write: FencedWrite | None = None

    @property
    def idempotency_key(self) -> str:
        """The part of the id that all retries of a client's request share."""
        return self.request_id.partition(".")[0]
