"""Solves one time slot as a sequence of linear programs with HiGHS.

The objectives are optimized one after another on the same model, so that each starts from the basis of the
previous one: the greatest weighted rate, then the least crossing cost, then the least change from the present
flows, then a fixed rule for ties. The result is rounded to whole units and repaired in exact arithmetic;
`verification` checks it independently.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction
from typing import Any

import highspy
import numpy as np

from gradehoist.capacity_planning.errors import SolverError
from gradehoist.capacity_planning.problem import CapacityProblem, Flow, ReplicaGroup
from gradehoist.capacity_planning.rounding import repair_rounded_flows, round_rate
from gradehoist.capacity_planning.verification import calculate_weighted_rate, find_violations

# How much of an earlier objective a later one may give up. It is greater than the solver's tolerance and much
# less than a rate unit.
OBJECTIVE_SLACK = 1e-6
# The number of price units in a price of 1; prices of load are rounded to whole units. Rounding is harmless:
# any prices give a valid upper bound, and prices near the exact ones give one that is nearly as tight.
PRICE_UNITS = 10**9
# The time limit of one program. A slot with 118 replicas takes some hundredths of a second.
TIME_LIMIT_S = 300.0
# The seed is fixed, so that every governor computes the same plan.
RANDOM_SEED = 1
# A prime. Tie-break weights are multiples of 1 / TIE_BREAK_MODULUS, greater than 0 and at most 1.
TIE_BREAK_MODULUS = 9973
INFINITY = highspy.kHighsInf


@dataclass(frozen=True, slots=True)
class Solution:
    """The best flows of one slot with some zones lost.

    Attributes:
        slot: The time slot.
        lost_zones: The zones whose replicas are unavailable.
        flows: Requests per second of each flow that is not 0.
        shortfalls: Requests per second that are not served, by class and zone of origin.
        weighted_rate: The value of the first objective.
        prices: The prices of load, from which `verification.calculate_upper_bound` computes a bound that no
            plan exceeds.
        crossing_cost: The value of the second objective.
    """

    slot: int
    lost_zones: frozenset[str]
    flows: Mapping[Flow, Fraction]
    shortfalls: Mapping[tuple[str, str], Fraction]
    weighted_rate: Fraction
    prices: Mapping[ReplicaGroup, Fraction]
    crossing_cost: Fraction


def create_solver() -> Any:
    """Creates a deterministic HiGHS solver that prints nothing.

    The public wrapper class prints a banner to standard output when it is constructed, before any option can
    be set. Its base class does not.
    """
    highs = highspy._core._Highs()  # noqa: SLF001 - the public class prints a banner that can't be turned off
    highs.setOptionValue("output_flag", False)
    highs.setOptionValue("threads", 1)
    highs.setOptionValue("random_seed", RANDOM_SEED)
    highs.setOptionValue("time_limit", TIME_LIMIT_S)
    # The default gap would accept a number of replicas that is only close to the minimum.
    highs.setOptionValue("mip_rel_gap", 0.0)
    return highs


def add_row(highs: Any, low: float, high: float, columns: list[int], values: list[float]) -> None:
    """Adds the constraint `low <= sum of values times columns <= high`."""
    highs.addRow(low, high, len(columns), np.array(columns, np.int32), np.array(values))


def tie_break_weight(flow: Flow) -> float:
    """Returns the cost of a flow in the last objective, which depends on names alone.

    It makes every governor choose the same one of equally good plans.
    """
    names = (flow.request_class, flow.origin, *flow.group)
    return (zlib.crc32(repr(names).encode()) % TIE_BREAK_MODULUS + 1) / TIE_BREAK_MODULUS


class SlotProgram:
    """The linear program of one slot.

    Its columns are the flows, followed by the change of each from its present rate.
    """

    def __init__(self, problem: CapacityProblem, slot: int, lost_zones: frozenset[str]) -> None:
        """Builds the program with its bounds; `minimize` sets an objective."""
        self.problem = problem
        self.slot = slot
        self.flows = problem.allowed_flows(lost_zones)
        self._groups = sorted({flow.group for flow in self.flows})
        self._demand_keys = sorted(problem.demand)
        self._highs = create_solver()
        for _ in self.flows:
            self._highs.addVar(0.0, INFINITY)
        self._add_demand_rows()
        self._add_capacity_rows()

    def _add_demand_rows(self) -> None:
        columns_by_key: dict[tuple[str, str], list[int]] = {}
        for column, flow in enumerate(self.flows):
            columns_by_key.setdefault((flow.request_class, flow.origin), []).append(column)
        for key in self._demand_keys:
            columns = columns_by_key.get(key, [])
            demand = float(self.problem.demand[key][self.slot])
            add_row(self._highs, -INFINITY, demand, columns, [1.0] * len(columns))

    def _add_capacity_rows(self) -> None:
        columns_by_group: dict[ReplicaGroup, list[int]] = {}
        for column, flow in enumerate(self.flows):
            columns_by_group.setdefault(flow.group, []).append(column)
        for group in self._groups:
            columns = columns_by_group[group]
            loads = [float(self.problem.load_per_request(self.flows[column])) for column in columns]
            add_row(self._highs, -INFINITY, float(self.problem.capacity(group)), columns, loads)

    def minimize(self, costs: list[float]) -> float:
        """Minimizes the sum of costs times columns and returns the minimum.

        Raises:
            SolverError: The solver found no optimum.
        """
        column_count = self._highs.getNumCol()
        padded = costs + [0.0] * (column_count - len(costs))
        self._highs.changeColsCost(column_count, np.arange(column_count, dtype=np.int32), np.array(padded))
        self._highs.run()
        status = self._highs.getModelStatus()
        if status != highspy.HighsModelStatus.kOptimal:
            raise SolverError(self.slot, self._highs.modelStatusToString(status))
        return float(self._highs.getInfo().objective_function_value)

    def minimize_and_keep(self, costs: list[float]) -> None:
        """Minimizes the costs and adds a constraint that keeps later objectives at the minimum.

        Raises:
            SolverError: The solver found no optimum.
        """
        minimum = self.minimize(costs)
        columns = [column for column, cost in enumerate(costs) if cost]
        values = [costs[column] for column in columns]
        add_row(self._highs, -INFINITY, minimum + OBJECTIVE_SLACK, columns, values)

    def add_change_columns(self) -> list[float]:
        """Adds a column for the change of each flow, and returns the costs that minimize the changes."""
        for column, flow in enumerate(self.flows):
            change = self._highs.getNumCol()
            current = float(self.problem.current_flows.get(flow, Fraction(0)))
            self._highs.addVar(0.0, INFINITY)
            add_row(self._highs, -current, INFINITY, [change, column], [1.0, -1.0])
            add_row(self._highs, current, INFINITY, [change, column], [1.0, 1.0])
        return [0.0] * len(self.flows) + [1.0] * len(self.flows)

    def rounded_flows(self) -> dict[Flow, Fraction]:
        """Returns the last objective's flows in whole rate units; rounding may exceed a bound by a unit."""
        values = self._highs.getSolution().col_value
        return {flow: round_rate(values[column]) for column, flow in enumerate(self.flows)}

    def load_prices(self) -> dict[ReplicaGroup, Fraction]:
        """Returns the prices of one replica's load: the capacities' dual values for the last objective."""
        duals = self._highs.getSolution().row_dual
        first_row = len(self._demand_keys)
        prices = {}
        for row, group in enumerate(self._groups, first_row):
            prices[group] = Fraction(max(0, -round(duals[row] * PRICE_UNITS)), PRICE_UNITS)
        return prices


def solve(problem: CapacityProblem, slot: int, lost_zones: frozenset[str] = frozenset()) -> Solution:
    """Finds the best flows of one slot. Demand that can't be met becomes a shortfall, not an error.

    Raises:
        SolverError: The solver found no optimum, or its flows violate a bound.
    """
    program = SlotProgram(problem, slot, lost_zones)
    flows: dict[Flow, Fraction] = {}
    prices: dict[ReplicaGroup, Fraction] = {}
    if program.flows:
        weights = [float(problem.classes[flow.request_class].priority_weight) for flow in program.flows]
        program.minimize_and_keep([-weight for weight in weights])
        prices = program.load_prices()
        program.minimize_and_keep([float(problem.crossing_cost(flow)) for flow in program.flows])
        if problem.current_flows:
            program.minimize_and_keep(program.add_change_columns())
        program.minimize([tie_break_weight(flow) for flow in program.flows])
        flows = program.rounded_flows()
        repair_rounded_flows(problem, slot, flows)
    if violations := find_violations(problem, slot, lost_zones, flows):
        raise SolverError(slot, violations[0].description)
    shortfalls = {key: problem.demand[key][slot] for key in sorted(problem.demand)}
    for flow, rate in flows.items():
        shortfalls[flow.request_class, flow.origin] -= rate
    crossing_cost = sum((rate * problem.crossing_cost(flow) for flow, rate in flows.items()), Fraction(0))
    return Solution(
        slot=slot,
        lost_zones=lost_zones,
        flows={flow: rate for flow, rate in flows.items() if rate},
        shortfalls=shortfalls,
        weighted_rate=calculate_weighted_rate(problem, flows),
        prices=prices,
        crossing_cost=crossing_cost,
    )
