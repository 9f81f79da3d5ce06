"""Finds the fewest replicas to add so that a slot's demand is met, as an integer program solved by HiGHS."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

import highspy

from gradehoist.capacity_planning.errors import SolverError
from gradehoist.capacity_planning.problem import CapacityProblem, Flow, ReplicaGroup
from gradehoist.capacity_planning.solver import INFINITY, TIME_LIMIT_S, add_row, create_solver

# Added to the cost of a replica for each position in the sorted list of groups. Of several additions with the
# same number of replicas, the solver then always takes the one whose groups come first.
TIE_BREAK_COST = 1e-6


def find_replicas_to_add(
    problem: CapacityProblem, slot: int, lost_zones: frozenset[str] = frozenset()
) -> dict[ReplicaGroup, int] | None:
    """Finds the fewest additional replicas, of existing kinds and zones, that let a slot's demand be met.

    Returns:
        The number to add to each group. None if no number of replicas is enough, for example for a class
        whose allowed zones are all lost.

    Raises:
        SolverError: The solver found no minimum within its time limit.
    """
    extensible = sorted({(g.zone, g.kind) for g in problem.replica_counts if g.zone not in lost_zones})
    extended = _extend_fleet(problem, extensible)
    flows = extended.allowed_flows(lost_zones)
    highs = create_solver()
    for _ in flows:
        highs.addVar(0.0, INFINITY)
    _add_replica_columns(highs, len(flows), len(extensible))
    if not _add_demand_rows(highs, extended, slot, flows):
        return None
    _add_capacity_rows(highs, problem, extended, flows, extensible)
    highs.run()
    status = highs.getModelStatus()
    if status == highspy.HighsModelStatus.kTimeLimit:
        raise SolverError(slot, f"the solver found no minimal addition of replicas within {TIME_LIMIT_S:g} s")
    if status != highspy.HighsModelStatus.kOptimal:
        return None
    values = highs.getSolution().col_value
    additions = {}
    for column, (zone, kind) in enumerate(extensible, len(flows)):
        count = round(values[column])
        if count:
            additions[ReplicaGroup(zone, kind)] = count
    return additions


def _extend_fleet(problem: CapacityProblem, extensible: list[tuple[str, str]]) -> CapacityProblem:
    """Returns the problem with at least one replica in each group without a cell, so that it allows flows."""
    counts = dict(problem.replica_counts)
    for zone, kind in extensible:
        group = ReplicaGroup(zone, kind)
        counts[group] = max(1, counts.get(group, 0))
    return replace(problem, replica_counts=counts, current_flows={})


def _add_replica_columns(highs: Any, first_column: int, count: int) -> None:
    """Adds an integer variable for each zone and kind: the number of new replicas."""
    for position in range(count):
        highs.addVar(0.0, INFINITY)
        highs.changeColCost(first_column + position, 1.0 + TIE_BREAK_COST * position)
        highs.changeColIntegrality(first_column + position, highspy.HighsVarType.kInteger)


def _add_demand_rows(highs: Any, problem: CapacityProblem, slot: int, flows: list[Flow]) -> bool:
    """Requires that all demand is met; returns False if no flow can serve some of it."""
    for key in sorted(problem.demand):
        columns = [n for n, flow in enumerate(flows) if (flow.request_class, flow.origin) == key]
        demand = float(problem.demand[key][slot])
        if demand and not columns:
            return False
        add_row(highs, demand, INFINITY, columns, [1.0] * len(columns))
    return True


def _add_capacity_rows(
    highs: Any,
    problem: CapacityProblem,
    extended: CapacityProblem,
    flows: list[Flow],
    extensible: list[tuple[str, str]],
) -> None:
    """Limits the load of each group to its present capacity plus that of the replicas added to it."""
    for group in sorted(extended.replica_counts):
        columns = [n for n, flow in enumerate(flows) if flow.group == group]
        values = [float(extended.load_per_request(flows[n])) for n in columns]
        if not group.cell and (group.zone, group.kind) in extensible:
            columns.append(len(flows) + extensible.index((group.zone, group.kind)))
            values.append(-float(1 - extended.reserved_share))
        capacity = problem.replica_counts.get(group, 0) * (1 - problem.reserved_share)
        add_row(highs, -INFINITY, float(capacity), columns, values)
