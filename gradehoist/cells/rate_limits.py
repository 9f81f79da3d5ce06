"""Rate limits of cells and tenants at one proxy.

Each cell and each tenant has a token bucket. A request within its tenant's rate is admitted while the cell's
bucket has a token. A tenant may exceed its rate by borrowing unused capacity of its cell, but only while the
cell's bucket holds more than a reserve, so that tenants within their rates get it back as soon as they need
it. A flood of requests is limited by the rate of its own cell and leaves other cells unaffected.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice

import msgspec

# The retry delay at a rate of 0, which never yields a token.
NO_RATE_WAIT_US = 60_000_000


@dataclass
class TokenBucket:
    """A bucket that gains `rate_per_s` tokens a second, up to `burst`."""

    rate_per_s: float
    burst: float
    tokens: float
    refilled_us: int

    def refill(self, now_us: int) -> None:
        """Adds the tokens gained since the last refill; none if the clock went backwards."""
        elapsed_us = max(0, now_us - self.refilled_us)
        self.tokens = min(self.burst, self.tokens + self.rate_per_s * elapsed_us / 1e6)
        self.refilled_us = max(self.refilled_us, now_us)

    def wait_us(self, tokens: float) -> int:
        """Returns the time until the bucket holds `tokens` tokens."""
        if self.rate_per_s <= 0:
            return NO_RATE_WAIT_US
        return max(0, round((tokens - self.tokens) / self.rate_per_s * 1e6))


class RateLimits(msgspec.Struct, frozen=True):
    """The limits that the settings define for each proxy.

    Attributes:
        cell_rate_per_s: The requests per second to one cell.
        tenant_rate_per_s: The requests per second of one tenant.
        burst_s: The size of the buckets, in seconds at their rate.
        tenant_in_flight_limit: The requests of one tenant in flight at once; 0 means no limit.
        cell_in_flight_limit: The requests to one cell in flight at once; 0 means no limit.
    """

    cell_rate_per_s: float = msgspec.field(name="cell")
    tenant_rate_per_s: float = msgspec.field(name="tenant")
    burst_s: float = msgspec.field(default=2.0, name="burst")
    tenant_in_flight_limit: int = msgspec.field(default=0, name="held")
    cell_in_flight_limit: int = msgspec.field(default=0, name="cell_held")


@dataclass(frozen=True, slots=True)
class Rejection:
    """Why a request was not admitted, and the delay after which a retry may be admitted."""

    reason: str
    retry_after_us: int


class RateLimiter:
    """Enforces the rate limits of one proxy.

    The buckets of the least recently seen tenants are evicted, so that a flood of invented names does not
    exhaust the memory.
    """

    # The share of a cell's burst that is not lent. Half of it leaves enough both for a burst of the tenants
    # within their rates and for a borrower.
    RESERVE_SHARE = 0.5
    # The number of tenants with a bucket, far more than a proxy sees within the time of a burst.
    MAX_TENANTS = 10_000
    # The tenants examined to evict one. Examining all of them for each new tenant took milliseconds.
    EVICTION_CANDIDATES = 8

    def __init__(self, limits: RateLimits) -> None:
        """Starts with full buckets and no requests in flight."""
        self.limits = limits
        self.tenant_in_flight: dict[str, int] = {}
        self.cell_in_flight: dict[str, int] = {}
        self._cells: dict[str, TokenBucket] = {}
        self._tenants: dict[str, TokenBucket] = {}

    def admit(self, now_us: int, tenant: str, cell: str) -> Rejection | None:
        """Admits a request and returns None, or returns why the request is rejected.

        The caller calls `finish` at the end of each admitted request.
        """
        cell_bucket = self._refilled_bucket(self._cells, cell, self.limits.cell_rate_per_s, now_us)
        tenant_bucket = self._refilled_bucket(self._tenants, tenant, self.limits.tenant_rate_per_s, now_us)
        self._mark_recently_seen(tenant)
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
        """Records the end of a request that was admitted."""
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
            return Rejection(f"{tenant_limit} requests of the tenant in flight", tenant_bucket.wait_us(1.0))
        cell_limit = self.limits.cell_in_flight_limit
        if cell_limit and self.cell_in_flight.get(cell, 0) >= cell_limit:
            return Rejection(f"{cell_limit} requests to the cell in flight", tenant_bucket.wait_us(1.0))
        return None

    def _check_rates(self, tenant_bucket: TokenBucket, cell_bucket: TokenBucket) -> Rejection | None:
        if tenant_bucket.tokens >= 1:
            if cell_bucket.tokens >= 1:
                return None
            return Rejection("over the cell's rate", cell_bucket.wait_us(1.0))
        # The tenant exceeds its own rate and has to borrow a token, which the cell lends only above its
        # reserve.
        required = 1 + self.RESERVE_SHARE * cell_bucket.burst
        if cell_bucket.tokens >= required:
            return None
        wait_us = min(tenant_bucket.wait_us(1.0), cell_bucket.wait_us(required))
        return Rejection("over the tenant's rate", wait_us)

    def _mark_recently_seen(self, tenant: str) -> None:
        """Makes a tenant the most recently seen one, and evicts another if there are too many.

        This also has to be done for rejected requests: otherwise their tenants are never evicted.
        """
        self._tenants[tenant] = self._tenants.pop(tenant)
        if len(self._tenants) > self.MAX_TENANTS:
            self._evict_tenant()

    def _evict_tenant(self) -> None:
        """Evicts the least recently seen tenant without requests in flight, among a few candidates."""
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
