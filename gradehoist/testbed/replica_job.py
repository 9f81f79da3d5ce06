"""Jobs of a replica: what it works on, and the write under the fence that a job may be."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True)
class FencedWrite:
    """A write of a tenant, by the cell and the generation that the proxy routed it with."""

    tenant: str
    cell: str
    generation: int


@dataclass
class Job:
    """Work of a replica: a request, a health check or the handshake of a connection (without an id)."""

    remaining_ms: float
    done: asyncio.Future[None]
    request_id: str = ""
    write: FencedWrite | None = None

    @property
    def idempotency_key(self) -> str:
        """The id that all retries of a client's request share."""
        return self.request_id.partition(".")[0]
