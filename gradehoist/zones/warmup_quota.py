"""An allowance dealt among processes so that the sum of what is in use never passes it. Free of I/O.

A deal is a record with a generation: each member's part, and what each may still have in use. A part that
grows is taken from what is free for certain; one that shrinks is free only once its member has confirmed the
deal, as until then its tables may hold the larger one. A member that has gone keeps its part until its tables
can no longer send: its relays have joined others, or the grace has passed since its session was seen to end.
Members are runs of processes, so one that starts anew is another member and begins with nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import msgspec

SIMILARITY_TOLERANCE = (
    0.1  # parts that differ by less of themselves are the same: traffic is never steady, and each deal is
)
# a record of the fleet's size that all read


class QuotaAllocation(msgspec.Struct, frozen=True):
    """`parts` of the allowance, 1.0 in all; `at_most` what each member may have in use, by any deal since the
    last that it confirmed."""

    generation: int = msgspec.field(name="gen")
    leader: str = msgspec.field(name="holder")
    quotas: dict[str, float] = msgspec.field(default_factory=dict, name="parts")
    upper_bounds: dict[str, float] = msgspec.field(default_factory=dict, name="at_most")


def next_allocation(
    deal: QuotaAllocation,
    holder: str,
    traffic: Mapping[str, float],
    confirmed: Mapping[str, int],
    gone: Collection[str],
) -> QuotaAllocation | None:
    """The next deal for members with `traffic`, or None where nothing would change. `confirmed`: by member,
    the generation that its tables hold; `gone`: those whose tables can no longer send."""
    base = {
        m: deal.quotas.get(m, 0.0) if confirmed.get(m, -1) == deal.generation else most
        for m, most in deal.upper_bounds.items()
        if m not in gone
    }
    total = sum(traffic.values())
    wish = {m: traffic.get(m, 0.0) / total if total > 0 else 1 / len(traffic) for m in traffic}
    free = max(0.0, 1.0 - sum(base.values()))
    more = sum(max(0.0, w - base.get(m, 0.0)) for m, w in wish.items())
    part = min(1.0, free / more) if more > 0 else 0.0
    parts = {m: min(w, have := base.get(m, 0.0)) + part * max(0.0, w - have) for m, w in wish.items()}
    at_most = {m: max(base.get(m, 0.0), parts.get(m, 0.0)) for m in base.keys() | parts.keys()}
    at_most = {m: x for m, x in at_most.items() if x > 0 or m in parts}
    if _alike(parts, deal.quotas) and _alike(at_most, deal.upper_bounds):
        return None
    return QuotaAllocation(deal.generation + 1, holder, parts, at_most)


def _alike(some: Mapping[str, float], others: Mapping[str, float]) -> bool:
    return some.keys() == others.keys() and all(
        abs(x - others[m]) <= SIMILARITY_TOLERANCE * max(x, others[m]) for m, x in some.items()
    )
