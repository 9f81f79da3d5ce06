"""Admission of tenants at one relay: each has a rate of its own, and borrows what its cell leaves unused.

A cell's rate at a relay is a bucket; so is each tenant's. A transaction within its tenant's rate is let in
while the cell has any token; beyond it, only while the cell's bucket is over its reserve, so that what was
lent is given back as soon as owners come. A flood is refused at the door of its own cell. Times in µs.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice


@dataclass
class TokenBucket:
    """`rate` tokens a second, up to `burst`."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_us: int

    def refill(self, now: int) -> None:
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * max(0, now - self.refilled_us) / 1e6)
        self.refilled_us = max(self.refilled_us, now)

    def wait_us(self, want: float) -> int:
        """Until `want` tokens are there, µs."""
        return (
            max(0, round((want - self.tokens) / self.rate_per_s * 1e6)) if self.rate_per_s > 0 else 60_000_000
        )


@dataclass(frozen=True, slots=True)
class RateLimits:
    """Per relay: a cell's and a tenant's transactions a second; `burst` in seconds of them; `held` in hand at
    once from one tenant and `cell_held` from a whole cell, 0: any number."""

    cell: float
    tenant: float
    burst: float = 2.0
    held: int = 0
    cell_held: int = 0


@dataclass(frozen=True, slots=True)
class Rejection:
    """Final at once; `after` µs it is worth coming back."""

    reason: str
    retry_after_us: int


class RateLimiter:
    """One relay's limits. The tenants longest unseen are forgotten, so that names made up by a flood cost no
    memory."""

    OWNER_RESERVE_SHARE = (
        0.5  # of the cell's burst stays with owners: half serves both a rush of theirs and a borrower
    )
    MAX_TENANTS = 10_000  # tenants remembered: far more than a relay sees within the time of a burst

    def __init__(self, limits: RateLimits) -> None:
        self.limits = limits
        self._cells: dict[str, TokenBucket] = {}
        self._tenants: dict[str, TokenBucket] = {}
        self.tenant_in_flight: dict[str, int] = {}
        self.cell_in_flight: dict[str, int] = {}

    def _bucket(self, among: dict[str, TokenBucket], name: str, rate: float, now: int) -> TokenBucket:
        found = among.get(name)
        if found is None:
            burst = max(1.0, rate * self.limits.burst)
            found = among[name] = TokenBucket(rate, burst, burst, now)
        found.refill(now)
        return found

    def admit(self, now: int, tenant: str, cell: str) -> Rejection | None:
        """None lets it in, and `done` is due when it ends."""
        whole = self._bucket(self._cells, cell, self.limits.cell, now)
        own = self._bucket(self._tenants, tenant, self.limits.tenant, now)
        self._tenants[tenant] = self._tenants.pop(tenant)  # seen last; refused ones count too
        if len(self._tenants) > self.MAX_TENANTS:
            self._forget()
        if self.limits.held and self.tenant_in_flight.get(tenant, 0) >= self.limits.held:
            return Rejection(f"{self.limits.held} of this tenant are in hand", own.wait_us(1.0))
        if self.limits.cell_held and self.cell_in_flight.get(cell, 0) >= self.limits.cell_held:
            return Rejection(f"{self.limits.cell_held} of this cell are in hand", own.wait_us(1.0))
        borrows = own.tokens < 1
        least = 1 + self.OWNER_RESERVE_SHARE * whole.burst if borrows else 1.0
        if whole.tokens < least:
            wait = min(own.wait_us(1.0), whole.wait_us(least)) if borrows else whole.wait_us(1.0)
            return Rejection("over the tenant's rate" if borrows else "over the cell's rate", wait)
        whole.tokens -= 1
        own.tokens -= not borrows
        self.tenant_in_flight[tenant] = self.tenant_in_flight.get(tenant, 0) + 1
        self.cell_in_flight[cell] = self.cell_in_flight.get(cell, 0) + 1
        return None

    def _forget(self) -> None:
        """The one longest unseen, unless it has something in hand. A look at all of them for each that came
        took milliseconds, and refused ones, never looked at, were kept for good."""
        for name in list(islice(self._tenants, 8)):
            bucket = self._tenants.pop(name)
            if name not in self.tenant_in_flight:
                return
            self._tenants[name] = bucket

    def finish(self, tenant: str, cell: str) -> None:
        for among, name in ((self.tenant_in_flight, tenant), (self.cell_in_flight, cell)):
            left = among.get(name, 0) - 1
            if left > 0:
                among[name] = left
            else:
                among.pop(name, None)
