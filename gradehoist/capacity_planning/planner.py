"""Makes a capacity plan: every slot of an event, with all zones and with zones lost. Free of I/O."""

from __future__ import annotations

from collections.abc import Callable
from fractions import Fraction
from itertools import combinations

from gradehoist.capacity_planning.additions import find_replicas_to_add
from gradehoist.capacity_planning.event_file import DemandEvent
from gradehoist.capacity_planning.plan import (
    PLAN_VERSION,
    CapacityPlan,
    LoadPrice,
    PlannedCase,
    ReplicaAddition,
    ServedRate,
    Shortfall,
    calculate_fleet_checksum,
)
from gradehoist.capacity_planning.problem import CapacityProblem
from gradehoist.capacity_planning.rounding import RATE_UNITS
from gradehoist.capacity_planning.solver import PRICE_UNITS, Solution, solve

# Requests per second below which unserved demand is no shortfall, because rounding alone can cause it.
SHORTFALL_TOLERANCE = Fraction(1, 1000)

# Called with the number of cases done and the number of all cases.
ProgressCallback = Callable[[int, int], None]


def _ignore_progress(done: int, total: int) -> None:
    pass


def make_plan(
    event: DemandEvent, include_zone_pairs: bool = False, on_progress: ProgressCallback = _ignore_progress
) -> CapacityPlan:
    """Plans each slot of an event with no zone lost and with each zone lost.

    Args:
        event: The event with its demand and fleet.
        include_zone_pairs: Whether to plan also for the simultaneous loss of any two zones.
        on_progress: Called after each case with the number of cases done and the number of all cases.

    Raises:
        SolverError: The solver found no solution of a case.
    """
    losses = _list_losses(event.problem.zones, include_zone_pairs)
    case_count = event.problem.slot_count * len(losses)
    cases: list[PlannedCase] = []
    for slot in range(event.problem.slot_count):
        for lost_zones in losses:
            cases.append(_plan_case(event.problem, slot, lost_zones))
            on_progress(len(cases), case_count)
    return CapacityPlan(
        version=PLAN_VERSION,
        event=event.name,
        starts_at=event.starts_at.isoformat(),
        time_zone=str(event.starts_at.tzinfo),
        slot_s=event.slot_s,
        fleet_checksum=calculate_fleet_checksum(event.problem),
        cases=tuple(cases),
    )


def _list_losses(zones: tuple[str, ...], include_pairs: bool) -> list[frozenset[str]]:
    losses = [frozenset[str](), *(frozenset({zone}) for zone in sorted(zones))]
    if include_pairs:
        losses += [frozenset(pair) for pair in combinations(sorted(zones), 2)]
    return losses


def _plan_case(problem: CapacityProblem, slot: int, lost_zones: frozenset[str]) -> PlannedCase:
    solution = solve(problem, slot, lost_zones)
    shortfalls = tuple(
        Shortfall(class_name, origin, str(rate))
        for (class_name, origin), rate in solution.shortfalls.items()
        if rate > SHORTFALL_TOLERANCE
    )
    replicas_to_add: tuple[ReplicaAddition, ...] | None = ()
    if shortfalls:
        replicas_to_add = _list_additions(problem, slot, lost_zones)
    return PlannedCase(
        slot=slot,
        lost_zones=tuple(sorted(lost_zones)),
        served=_list_served_rates(solution),
        shortfalls=shortfalls,
        replicas_to_add=replicas_to_add,
        prices=tuple(
            LoadPrice(*group, int(price * PRICE_UNITS))
            for group, price in sorted(solution.prices.items())
            if price
        ),
    )


def _list_additions(
    problem: CapacityProblem, slot: int, lost_zones: frozenset[str]
) -> tuple[ReplicaAddition, ...] | None:
    additions = find_replicas_to_add(problem, slot, lost_zones)
    if additions is None:
        return None
    return tuple(ReplicaAddition(group.zone, group.kind, n) for group, n in sorted(additions.items()))


def _list_served_rates(solution: Solution) -> tuple[ServedRate, ...]:
    return tuple(
        ServedRate(
            request_class=flow.request_class,
            origin=flow.origin,
            zone=flow.group.zone,
            kind=flow.group.kind,
            cell=flow.group.cell,
            rate_units=int(rate * RATE_UNITS),
        )
        for flow, rate in sorted(solution.flows.items())
    )
