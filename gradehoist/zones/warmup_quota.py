"""Allocation of a quota among processes, so that what is in use never exceeds the whole. Free of I/O.

An allocation is a record with a generation: the quota of each member, and the upper bound of what each may
still use. A quota grows only by what is certainly free. One that shrinks is free only once its member has
confirmed the allocation, as until then its tables may hold the larger one. A member that has left keeps its
quota until its tables can no longer be used: its proxies have joined others, or the drain timeout has passed
since its session was seen to end. Members are incarnations, so a process that starts anew is another member
and begins with nothing.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import msgspec

# Shares that differ by less than this part of themselves count as equal: traffic is never steady, and each
# allocation is a record of the fleet's size that all processes read.
SIMILARITY_TOLERANCE = 0.1


class QuotaAllocation(msgspec.Struct, frozen=True):
    """One allocation, a record of the coordination store.

    Attributes:
        generation: Counts the allocations.
        leader: Incarnation of the process that made it.
        quotas: Share of each member, 1.0 in all.
        upper_bounds: The most that each member may use by any allocation since the last that it confirmed.
    """

    generation: int = msgspec.field(name="gen")
    leader: str = msgspec.field(name="holder")
    quotas: dict[str, float] = msgspec.field(default_factory=dict, name="parts")
    upper_bounds: dict[str, float] = msgspec.field(default_factory=dict, name="at_most")


def next_allocation(
    current: QuotaAllocation,
    leader: str,
    requests_per_s: Mapping[str, float],
    confirmed: Mapping[str, int],
    departed: Collection[str],
) -> QuotaAllocation | None:
    """The next allocation in proportion to traffic, or None where nothing would change.

    Args:
        current: The allocation in force.
        leader: Incarnation of the process that makes the next one.
        requests_per_s: Traffic by member; every member is listed.
        confirmed: By member, the generation that its tables follow.
        departed: Members whose tables can no longer be used.
    """
    reserved = _reserved_shares(current, confirmed, departed)
    wanted = _wanted_shares(requests_per_s)
    available = max(0.0, 1.0 - sum(reserved.values()))
    missing = sum(max(0.0, share - reserved.get(member, 0.0)) for member, share in wanted.items())
    granted_part = min(1.0, available / missing) if missing > 0 else 0.0
    quotas = dict[str, float]()
    for member, share in wanted.items():
        held = reserved.get(member, 0.0)
        quotas[member] = min(share, held) + granted_part * max(0.0, share - held)
    upper_bounds = _upper_bounds(reserved, quotas)
    if _are_similar(quotas, current.quotas) and _are_similar(upper_bounds, current.upper_bounds):
        return None
    return QuotaAllocation(
        generation=current.generation + 1, leader=leader, quotas=quotas, upper_bounds=upper_bounds
    )


def _reserved_shares(
    current: QuotaAllocation, confirmed: Mapping[str, int], departed: Collection[str]
) -> dict[str, float]:
    """What each member may still use: its quota once confirmed, else its upper bound."""
    reserved = dict[str, float]()
    for member, upper_bound in current.upper_bounds.items():
        if member in departed:
            continue
        is_confirmed = confirmed.get(member, -1) == current.generation
        reserved[member] = current.quotas.get(member, 0.0) if is_confirmed else upper_bound
    return reserved


def _wanted_shares(requests_per_s: Mapping[str, float]) -> dict[str, float]:
    total = sum(requests_per_s.values())
    if total <= 0:
        return {member: 1 / len(requests_per_s) for member in requests_per_s}
    return {member: traffic / total for member, traffic in requests_per_s.items()}


def _upper_bounds(reserved: Mapping[str, float], quotas: Mapping[str, float]) -> dict[str, float]:
    bounds = {
        member: max(reserved.get(member, 0.0), quotas.get(member, 0.0))
        for member in reserved.keys() | quotas.keys()
    }
    return {member: bound for member, bound in bounds.items() if bound > 0 or member in quotas}


def _are_similar(shares: Mapping[str, float], others: Mapping[str, float]) -> bool:
    return shares.keys() == others.keys() and all(
        abs(share - others[member]) <= SIMILARITY_TOLERANCE * max(share, others[member])
        for member, share in shares.items()
    )
