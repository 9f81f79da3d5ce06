"""The solver: gain lost first, then crossing, then moves from what stands, then the stated rule for ties.

Linear programs over HiGHS, one after the other on one model, so that each starts from the last one's basis.
What comes out is rounded to a grid and mended in exact arithmetic; `proof` checks it apart.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction
from math import ceil
from typing import Any

import highspy
import numpy as np

from gradehoist.capacity_planning import verification
from gradehoist.capacity_planning.problem import Flow, Group, Problem

GRID = 10_000  # flows are whole parts of it of a transaction a second: finer than any weight can tell
SLACK = 1e-6  # of an earlier aim that a later one may use: over the solver's tolerance, well under the grid
PRICES = 10**9  # prices of load are whole parts of it: any price bounds, a near one nearly as well
LONGEST = 300.0  # seconds for one program: a slot of 118 workers takes some hundredths
INF = highspy.kHighsInf


@dataclass(frozen=True, slots=True)
class Answer:
    """One slot with some halls lost. `short` by class and origin; by `prices` of load `proof.most` bounds
    what any plan could gain."""

    slot: int
    lost: frozenset[str]
    flows: Mapping[Flow, Fraction]
    short: Mapping[tuple[str, str], Fraction]
    gain: Fraction
    prices: Mapping[Group, Fraction]
    crossing: Fraction


class Unsolved(Exception):
    """The solver gave no answer to a program that has one: a fault of the program, never a plan."""


def quiet() -> Any:
    """A solver that says nothing and always goes the same way. The wrapper class writes a banner to standard
    output when it is made, before any option can be set; its base does not."""
    highs = highspy._core._Highs()
    highs.setOptionValue("output_flag", False)
    highs.setOptionValue("threads", 1)
    highs.setOptionValue("random_seed", 1)
    highs.setOptionValue("time_limit", LONGEST)
    highs.setOptionValue("mip_rel_gap", 0.0)  # the fewest workers, not nearly the fewest
    return highs


def tie(flow: Flow) -> float:
    """Of plans equal in all else the one with the least sum of flow times this stands: a number from the
    names alone, so that equal plans are one and the same at every governor."""
    return (zlib.crc32(repr((flow.cls, flow.origin, *flow.group)).encode()) % 9973 + 1) / 9973


class Model:
    """One slot's program. Columns: flows, then how much each differs from what stands."""

    def __init__(self, problem: Problem, slot: int, lost: frozenset[str]) -> None:
        self.problem, self.slot, self.lost = problem, slot, lost
        self.flows = problem.flows(lost)
        self.groups = sorted({f.group for f in self.flows})
        self.keys = sorted(problem.demand)
        self.highs = quiet()
        for _ in self.flows:
            self.highs.addVar(0.0, INF)
        loads = [float(problem.load(f)) for f in self.flows]
        by_key, by_group = _by(self.flows)
        for key in self.keys:
            mine = by_key.get(key, [])
            self._row(-INF, float(problem.demand[key][slot]), mine, [1.0] * len(mine))
        for g in self.groups:
            self._row(-INF, float(problem.room(g)), by_group[g], [loads[n] for n in by_group[g]])

    def _row(self, low: float, high: float, columns: list[int], values: list[float]) -> None:
        self.highs.addRow(low, high, len(columns), np.array(columns, np.int32), np.array(values))

    def aim(self, costs: list[float], keep: bool) -> float:
        """The least of the costs; with `keep` later aims may not lose it."""
        size = self.highs.getNumCol()
        costs = costs + [0.0] * (size - len(costs))
        self.highs.changeColsCost(size, np.arange(size, dtype=np.int32), np.array(costs))
        self.highs.run()
        if self.highs.getModelStatus() != highspy.HighsModelStatus.kOptimal:
            raise Unsolved(f"slot {self.slot}: {self.highs.modelStatusToString(self.highs.getModelStatus())}")
        value = float(self.highs.getInfo().objective_function_value)
        if keep:
            used = [n for n, cost in enumerate(costs) if cost]
            self._row(-INF, value + SLACK, used, [costs[n] for n in used])
        return value

    def differ(self) -> list[float]:
        """Columns for the distance of each flow from what stands; their costs."""
        first = len(self.flows)
        for n, f in enumerate(self.flows):
            at = self.highs.getNumCol()
            was = float(self.problem.today.get(f, Fraction(0)))
            self.highs.addVar(0.0, INF)
            self._row(-was, INF, [at, n], [1.0, -1.0])
            self._row(was, INF, [at, n], [1.0, 1.0])
        return [0.0] * first + [1.0] * first

    def values(self) -> dict[Flow, Fraction]:
        found = self.highs.getSolution().col_value
        return {f: Fraction(max(0, round(found[n] * GRID)), GRID) for n, f in enumerate(self.flows)}

    def prices(self) -> dict[Group, Fraction]:
        """Of a worker's worth of load, from the last aim."""
        dual = self.highs.getSolution().row_dual
        first = len(self.keys)
        return {
            g: Fraction(max(0, -round(dual[first + n] * PRICES)), PRICES) for n, g in enumerate(self.groups)
        }


def solve(problem: Problem, slot: int, lost: frozenset[str] = frozenset()) -> Answer:
    """Raises Unsolved. Demand that can't be met is never a fault: it is the answer's `short`."""
    model = Model(problem, slot, lost)
    flows: dict[Flow, Fraction] = {}
    prices: dict[Group, Fraction] = {}
    if model.flows:
        model.aim([-float(problem.classes[f.cls].gain) for f in model.flows], keep=True)
        prices = model.prices()
        model.aim([float(problem.cost(f)) for f in model.flows], keep=True)
        if problem.today:
            model.aim(model.differ(), keep=True)
        model.aim([tie(f) for f in model.flows], keep=False)
        flows = _mended(problem, slot, model.values())
    if broken := verification.faults(problem, slot, lost, flows):
        raise Unsolved(f"slot {slot}: {broken[0]}")
    short = {key: problem.demand[key][slot] for key in sorted(problem.demand)}
    for f, x in flows.items():
        short[f.cls, f.origin] -= x
    crossing = sum((x * problem.cost(f) for f, x in flows.items()), Fraction(0))
    served = {f: x for f, x in flows.items() if x}
    return Answer(slot, lost, served, short, verification.gain(problem, flows), prices, crossing)


def _mended(problem: Problem, slot: int, flows: dict[Flow, Fraction]) -> dict[Flow, Fraction]:
    """What rounding leaves over a bound is taken off the flows with least gain for their load."""
    names = list(flows)
    by_key, by_group = _by(names)
    for key, some in by_key.items():
        over = sum((flows[names[n]] for n in some), Fraction(0)) - problem.demand[key][slot]
        for n in some:
            if over <= 0:
                break
            cut = min(flows[names[n]], over)
            flows[names[n]] -= cut
            over -= cut
    for group, some in by_group.items():
        mine = [names[n] for n in some if flows[names[n]]]
        over = sum((flows[f] * problem.load(f) for f in mine), Fraction(0)) - problem.room(group)
        if over <= 0:
            continue
        for f in sorted(mine, key=lambda f: (problem.classes[f.cls].gain / problem.load(f), f)):
            if over <= 0:
                break
            cut = min(flows[f], Fraction(ceil(over / problem.load(f) * GRID), GRID))
            flows[f] -= cut
            over -= cut * problem.load(f)
    return flows


def _by(flows: list[Flow]) -> tuple[dict[tuple[str, str], list[int]], dict[Group, list[int]]]:
    """Places of flows by class and origin, and by group."""
    by_key: dict[tuple[str, str], list[int]] = {}
    by_group: dict[Group, list[int]] = {}
    for n, f in enumerate(flows):
        by_key.setdefault((f.cls, f.origin), []).append(n)
        by_group.setdefault(f.group, []).append(n)
    return by_key, by_group


def addition(problem: Problem, slot: int, lost: frozenset[str] = frozenset()) -> dict[Group, int] | None:
    """The fewest workers, of kinds and halls that stand, with which all demand is met; None where no number
    of them would do, as for a class whose only halls are lost. Raises Unsolved."""
    kinds = sorted({(g.zone, g.kind) for g in problem.workers if g.zone not in lost})
    wide = dict(problem.workers)
    for zone, kind in kinds:
        wide[Group(zone, kind)] = max(1, wide.get(Group(zone, kind), 0))
    full = Problem(
        problem.zones, problem.kinds, problem.classes, wide, problem.demand, problem.cross, problem.spare
    )
    flows, highs = full.flows(lost), quiet()
    for _ in flows:
        highs.addVar(0.0, INF)
    for n in range(len(kinds)):
        highs.addVar(0.0, INF)
        highs.changeColCost(len(flows) + n, 1.0 + 1e-6 * n)  # of equal numbers the first by name
        highs.changeColIntegrality(len(flows) + n, highspy.HighsVarType.kInteger)
    for key in sorted(full.demand):
        mine = [n for n, f in enumerate(flows) if (f.cls, f.origin) == key]
        want = float(full.demand[key][slot])
        if want and not mine:
            return None
        highs.addRow(want, INF, len(mine), np.array(mine, np.int32), np.ones(len(mine)))
    for g in sorted(wide):
        mine = [n for n, f in enumerate(flows) if f.group == g]
        values = [float(full.load(flows[n])) for n in mine]
        if not g.cell and (g.zone, g.kind) in kinds:
            mine.append(len(flows) + kinds.index((g.zone, g.kind)))
            values.append(-float(1 - full.spare))
        have = problem.workers.get(g, 0) * (1 - problem.spare)
        highs.addRow(-INF, float(have), len(mine), np.array(mine, np.int32), np.array(values))
    highs.run()
    if highs.getModelStatus() == highspy.HighsModelStatus.kTimeLimit:
        raise Unsolved(f"slot {slot}: no fewest addition within {LONGEST:g} s")
    if highs.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        return None
    found = highs.getSolution().col_value
    return {
        Group(*kind): round(found[len(flows) + n])
        for n, kind in enumerate(kinds)
        if round(found[len(flows) + n])
    }
