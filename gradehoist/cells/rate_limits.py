"""Admission of tenants at one proxy: each has a rate of its own and borrows what its cell leaves unused.

Both the cell's and the tenant's rate are token buckets. A request within its tenant's rate is admitted while
the cell has a token. Beyond it, only while the cell's bucket is over its reserve, so that what was lent is
returned as soon as the owners need it. A flood is rejected by the limit of its own cell.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

import msgspec

# Wait that is told for a rate of 0, which never yields a token.
NO_RATE_WAIT_US = 60_000_000


@dataclass
class TokenBucket:
    """A bucket that gains `rate_per_s` tokens a second, up to `burst`."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_us: int

    def refill(self, now_us: int) -> None:
        """Add the tokens gained since the last refill; a clock that went back adds none."""
        elapsed_us = max(0, now_us - self.refilled_us)
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * elapsed_us / 1e6)
        self.refilled_us = max(self.refilled_us, now_us)

    def wait_us(self, tokens: float) -> int:
        """Time until the bucket holds so many tokens."""
        if self.rate_per_s <= 0:
            return NO_RATE_WAIT_US
        return max(0, round((tokens - self.tokens) / self.rate_per_s * 1e6))


class RateLimits(msgspec.Struct, frozen=True):
    """Limits at each proxy, as the settings give them.

    Attributes:
        cell_rate_per_s: Requests a second of one cell.
        tenant_rate_per_s: Requests a second of one tenant.
        burst_s: Size of the buckets, in seconds of their rate.
        tenant_in_flight_limit: Requests of one tenant in flight at once; 0 means any number.
        cell_in_flight_limit: Requests of one cell in flight at once; 0 means any number.
    """

    cell_rate_per_s: float = msgspec.field(name="cell")
    tenant_rate_per_s: float = msgspec.field(name="tenant")
    burst_s: float = msgspec.field(default=2.0, name="burst")
    tenant_in_flight_limit: int = msgspec.field(default=0, name="held")
    cell_in_flight_limit: int = msgspec.field(default=0, name="cell_held")


@dataclass(frozen=True, slots=True)
class Rejection:
    """A request that was not admitted; a retry is worth while `retry_after_us` later."""

    reason: str
    retry_after_us: int


class RateLimiter:
    """The limits of one proxy.

    Tenants that were longest unseen are forgotten, so that a flood of invented names costs no memory.
    """

    # Part of the cell's burst that is kept for owners: half serves both a burst of theirs and a borrower.
    OWNER_RESERVE_SHARE = 0.5
    # Tenants remembered: far more than a proxy sees within the time of a burst.
    MAX_TENANTS = 10_000
    # Tenants looked at to forget one. A look at all of them for each new one took milliseconds.
    EVICTION_CANDIDATES = 8

    def __init__(self, limits: RateLimits) -> None:
        """Create a limiter with full buckets and nothing in flight."""
        self.limits = limits
        self.tenant_in_flight: dict[str, int] = {}
        self.cell_in_flight: dict[str, int] = {}
        self._cells: dict[str, TokenBucket] = {}
        self._tenants: dict[str, TokenBucket] = {}

    def admit(self, now_us: int, tenant: str, cell: str) -> Rejection | None:
        """Admit a request, which has to be ended by `finish`, or say why it is rejected."""
        cell_bucket = self._refilled_bucket(self._cells, cell, self.limits.cell_rate_per_s, now_us)
        tenant_bucket = self._refilled_bucket(self._tenants, tenant, self.limits.tenant_rate_per_s, now_us)
        self._note_seen(tenant)
        rejection = self._check_in_flight(tenant, cell, tenant_bucket) or self._check_rates(
            tenant_bucket, cell_bucket
        )
        if rejection is not None:
            return rejection
        cell_bucket.tokens -= 1
        if tenant_bucket.tokens >= 1:
            tenant_bucket.tokens -= 1
        self.tenant_in_flight[tenant] = self.tenant_in_flight.get(tenant, 0) + 1
        self.cell_in_flight[cell] = self.cell_in_flight.get(cell, 0) + 1
        return None

    def finish(self, tenant: str, cell: str) -> None:
        """End a request that was admitted."""
        _decrement(self.tenant_in_flight, tenant)
        _decrement(self.cell_in_flight, cell)

    def _refilled_bucket(
        self, buckets: dict[str, TokenBucket], name: str, rate_per_s: float, now_us: int
    ) -> TokenBucket:
        bucket = buckets.get(name)
        if bucket is None:
            burst = max(1.0, rate_per_s * self.limits.burst_s)
            bucket = TokenBucket(rate_per_s=rate_per_s, burst=burst, tokens=burst, refilled_us=now_us)
            buckets[name] = bucket
        bucket.refill(now_us)
        return bucket

    def _check_in_flight(self, tenant: str, cell: str, tenant_bucket: TokenBucket) -> Rejection | None:
        tenant_limit = self.limits.tenant_in_flight_limit
        if tenant_limit and self.tenant_in_flight.get(tenant, 0) >= tenant_limit:
            return Rejection(f"{tenant_limit} of this tenant are in hand", tenant_bucket.wait_us(1.0))
        cell_limit = self.limits.cell_in_flight_limit
        if cell_limit and self.cell_in_flight.get(cell, 0) >= cell_limit:
            return Rejection(f"{cell_limit} of this cell are in hand", tenant_bucket.wait_us(1.0))
        return None

    def _check_rates(self, tenant_bucket: TokenBucket, cell_bucket: TokenBucket) -> Rejection | None:
        if tenant_bucket.tokens >= 1:
            if cell_bucket.tokens >= 1:
                return None
            return Rejection("over the cell's rate", cell_bucket.wait_us(1.0))
        # It borrows: only what the cell holds beyond its reserve is lent.
        required = 1 + self.OWNER_RESERVE_SHARE * cell_bucket.burst
        if cell_bucket.tokens >= required:
            return None
        wait_us = min(tenant_bucket.wait_us(1.0), cell_bucket.wait_us(required))
        return Rejection("over the tenant's rate", wait_us)

    def _note_seen(self, tenant: str) -> None:
        """Make a tenant the last one seen; rejected ones count too, or they would be kept for good."""
        self._tenants[tenant] = self._tenants.pop(tenant)
        if len(self._tenants) > self.MAX_TENANTS:
            self._forget_one_tenant()

    def _forget_one_tenant(self) -> None:
        """Forget the tenant longest unseen that has nothing in flight, among a few candidates."""
        for name in list(islice(self._tenants, self.EVICTION_CANDIDATES)):
            bucket = self._tenants.pop(name)
            if name not in self.tenant_in_flight:
                return
            self._tenants[name] = bucket


def _decrement(counts: dict[str, int], name: str) -> None:
    remaining = counts.get(name, 0) - 1
    if remaining > 0:
        counts[name] = remaining
    else:
        counts.pop(name, None)
