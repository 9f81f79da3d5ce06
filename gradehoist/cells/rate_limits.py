"""Admission of tenants at one relay: each has a rate of its own, and borrows what its cell leaves unused.

A cell's rate at a relay is a bucket; so is each tenant's. A transaction within its tenant's rate is let in
while the cell has any token; beyond it, only while the cell's bucket is over its reserve, so that what was
lent is given back as soon as owners come. A flood is refused at the door of its own cell. Times in µs.
"""

from __future__ import annotations

from dataclasses import dataclass
from itertools import islice


@dataclass
class Bucket:
    """`rate` tokens a second, up to `burst`."""

    rate: float
    burst: float
    tokens: float
    at: int

    def fill(self, now: int) -> None:
        self.tokens = min(self.burst, self.tokens + self.rate * max(0, now - self.at) / 1e6)
        self.at = max(self.at, now)

    def wait(self, want: float) -> int:
        """Until `want` tokens are there, µs."""
        return max(0, round((want - self.tokens) / self.rate * 1e6)) if self.rate > 0 else 60_000_000


@dataclass(frozen=True, slots=True)
class Limits:
    """Per relay: a cell's and a tenant's transactions a second; `burst` in seconds of them; `held` in hand at
    once from one tenant and `cell_held` from a whole cell, 0: any number."""

    cell: float
    tenant: float
    burst: float = 2.0
    held: int = 0
    cell_held: int = 0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Final at once; `after` µs it is worth coming back."""

    reason: str
    after: int


class Door:
    """One relay's limits. The tenants longest unseen are forgotten, so that names made up by a flood cost no
    memory."""

    RESERVE = 0.5  # of the cell's burst stays with owners: half serves both a rush of theirs and a borrower
    KEPT = 10_000  # tenants remembered: far more than a relay sees within the time of a burst

    def __init__(self, limits: Limits) -> None:
        self.limits = limits
        self._cells: dict[str, Bucket] = {}
        self._tenants: dict[str, Bucket] = {}
        self.hand: dict[str, int] = {}
        self.cell_hand: dict[str, int] = {}

    def _bucket(self, among: dict[str, Bucket], name: str, rate: float, now: int) -> Bucket:
        found = among.get(name)
        if found is None:
            burst = max(1.0, rate * self.limits.burst)
            found = among[name] = Bucket(rate, burst, burst, now)
        found.fill(now)
        return found

    def admit(self, now: int, tenant: str, cell: str) -> Refusal | None:
        """None lets it in, and `done` is due when it ends."""
        whole = self._bucket(self._cells, cell, self.limits.cell, now)
        own = self._bucket(self._tenants, tenant, self.limits.tenant, now)
        self._tenants[tenant] = self._tenants.pop(tenant)  # seen last; refused ones count too
        if len(self._tenants) > self.KEPT:
            self._forget()
        if self.limits.held and self.hand.get(tenant, 0) >= self.limits.held:
            return Refusal(f"{self.limits.held} of this tenant are in hand", own.wait(1.0))
        if self.limits.cell_held and self.cell_hand.get(cell, 0) >= self.limits.cell_held:
            return Refusal(f"{self.limits.cell_held} of this cell are in hand", own.wait(1.0))
        borrows = own.tokens < 1
        least = 1 + self.RESERVE * whole.burst if borrows else 1.0
        if whole.tokens < least:
            wait = min(own.wait(1.0), whole.wait(least)) if borrows else whole.wait(1.0)
            return Refusal("over the tenant's rate" if borrows else "over the cell's rate", wait)
        whole.tokens -= 1
        own.tokens -= not borrows
        self.hand[tenant] = self.hand.get(tenant, 0) + 1
        self.cell_hand[cell] = self.cell_hand.get(cell, 0) + 1
        return None

    def _forget(self) -> None:
        """The one longest unseen, unless it has something in hand. A look at all of them for each that came
        took milliseconds, and refused ones, never looked at, were kept for good."""
        for name in list(islice(self._tenants, 8)):
            bucket = self._tenants.pop(name)
            if name not in self.hand:
                return
            self._tenants[name] = bucket

    def done(self, tenant: str, cell: str) -> None:
        for among, name in ((self.hand, tenant), (self.cell_hand, cell)):
            left = among.get(name, 0) - 1
            if left > 0:
                among[name] = left
            else:
                among.pop(name, None)
