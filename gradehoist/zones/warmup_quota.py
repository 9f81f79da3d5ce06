"""Allocates a quota among processes such that their total use never exceeds the whole. Free of I/O.

An allocation is a record with a generation. It holds the quota of each member, and an upper bound of what
each member may still use. A member's quota grows only by what is certainly unused. What a member has to give
back becomes available only when the member has confirmed the allocation, because its tables may follow the
previous, larger quota until then. A member that has left keeps its quota until its tables can no longer be
used, which is when its proxies have joined other governors, or when the drain timeout has passed since its
session was seen to end. Members are incarnations: a process that restarts is a new member, and begins without
a quota.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

import msgspec

# Shares with a smaller relative difference than this count as equal. The traffic varies all the time, and
# each allocation is a record that grows with the fleet and is read by all processes.
SIMILARITY_TOLERANCE = 0.1


class QuotaAllocation(msgspec.Struct, frozen=True):
    """One allocation, a record of the coordination store.

    Attributes:
        generation: Number of the allocation.
        leader: Incarnation of the leader that wrote it.
        quotas: Quota of each member. The sum is at most 1.0.
        upper_bounds: The largest quota that each member may have in use, according to all allocations since
            the last one that it confirmed.
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
    """Return the next allocation in proportion to traffic, or None if it is similar to the current one.

    Args:
        current: The allocation in force.
        leader: Incarnation of the leader that writes the next allocation.
        requests_per_s: Traffic of every member.
        confirmed: Generation of the allocation that a member's tables follow, by member.
        departed: Members whose tables can no longer be used.
    """
    reserved = _reserved_shares(current, confirmed, departed)
    wanted = _wanted_shares(requests_per_s)
    available = max(0.0, 1.0 - sum(reserved.values()))
    missing = sum(max(0.0, share - reserved.get(member, 0.0)) for member, share in wanted.items())
    granted_fraction = min(1.0, available / missing) if missing > 0 else 0.0
    quotas = dict[str, float]()
    for member, share in wanted.items():
        held = reserved.get(member, 0.0)
        quotas[member] = min(share, held) + granted_fraction * max(0.0, share - held)
    upper_bounds = _upper_bounds(reserved, quotas)
    if _are_similar(quotas, current.quotas) and _are_similar(upper_bounds, current.upper_bounds):
        return None
    return QuotaAllocation(
        generation=current.generation + 1, leader=leader, quotas=quotas, upper_bounds=upper_bounds
    )


def _reserved_shares(
    current: QuotaAllocation, confirmed: Mapping[str, int], departed: Collection[str]
) -> dict[str, float]:
    """Return what each member may still use: its quota if it has confirmed that, else its upper bound."""
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
