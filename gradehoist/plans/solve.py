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

import highspy
import numpy as np

from gradehoist.plans import proof
from gradehoist.plans.problem import Flow, Group, Problem

GRID = 10_000  # flows are whole parts of it of a transaction a second: finer than any weight can tell
SLACK = 1e-6  # of an earlier aim that a later one may use: over the solver's tolerance, well under the grid
INF = highspy.kHighsInf


@dataclass(frozen=True, slots=True)
class Answer:
    """One slot with some halls lost. `short` by class and origin; no plan can gain more than `bound`."""

    slot: int
    lost: frozenset[str]
    flows: Mapping[Flow, Fraction]
    short: Mapping[tuple[str, str], Fraction]
    gain: Fraction
    bound: Fraction
    crossing: Fraction

    @property
    def gap(self) -> Fraction:
        return self.bound - self.gain


class Unsolved(Exception):
    """The solver gave no answer to a program that has one: a fault of the program, never a plan."""


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
        self.highs = highspy.Highs()  # type: ignore[no-untyped-call]
        self.highs.setOptionValue("output_flag", False)
        self.highs.setOptionValue("threads", 1)
        self.highs.setOptionValue("random_seed", 1)
        for _ in self.flows:
            self.highs.addVar(0.0, INF)
        for key in self.keys:
            mine = [n for n, f in enumerate(self.flows) if (f.cls, f.origin) == key]
            self._row(-INF, float(problem.demand[key][slot]), mine, [1.0] * len(mine))
        for g in self.groups:
            mine = [n for n, f in enumerate(self.flows) if f.group == g]
            self._row(-INF, float(problem.room(g)), mine, [float(problem.load(self.flows[n])) for n in mine])

    def _row(self, low: float, high: float, columns: list[int], values: list[float]) -> None:
        self.highs.addRow(low, high, len(columns), np.array(columns, np.int32), np.array(values))

    def aim(self, costs: list[float], keep: bool) -> float:
        """The least of the costs; with `keep` later aims may not lose it."""
        size = self.highs.getNumCol()
        costs = costs + [0.0] * (size - len(costs))
        for n, cost in enumerate(costs):
            self.highs.changeColCost(n, cost)
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
        return {g: max(Fraction(0), -Fraction(dual[len(self.keys) + n])) for n, g in enumerate(self.groups)}


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
    if broken := proof.faults(problem, slot, lost, flows):
        raise Unsolved(f"slot {slot}: {broken[0]}")
    short = {key: problem.demand[key][slot] - sum((x for f, x in flows.items() if (f.cls, f.origin) == key),
                                                  Fraction(0)) for key in sorted(problem.demand)}
    return Answer(slot, lost, {f: x for f, x in flows.items() if x}, short, proof.gain(problem, flows),
                  proof.most(problem, slot, lost, prices),
                  sum((x * problem.cost(f) for f, x in flows.items()), Fraction(0)))


def _mended(problem: Problem, slot: int, flows: dict[Flow, Fraction]) -> dict[Flow, Fraction]:
    """What rounding leaves over a bound is taken off the flows with least gain for their load."""
    for key in sorted(problem.demand):
        over = sum((x for f, x in flows.items() if (f.cls, f.origin) == key), Fraction(0)
                   ) - problem.demand[key][slot]
        for f in [f for f in flows if (f.cls, f.origin) == key]:
            cut = min(flows[f], max(Fraction(0), over))
            flows[f] -= cut
            over -= cut
    for group in {f.group for f in flows}:
        mine = sorted((f for f in flows if f.group == group),
                      key=lambda f: (problem.classes[f.cls].gain / problem.load(f), f))
        over = sum((flows[f] * problem.load(f) for f in mine), Fraction(0)) - problem.room(group)
        for f in mine:
            if over <= 0:
                break
            cut = min(flows[f], Fraction(ceil(over / problem.load(f) * GRID), GRID))
            flows[f] -= cut
            over -= cut * problem.load(f)
    return flows


def addition(problem: Problem, slot: int, lost: frozenset[str] = frozenset()) -> dict[Group, int] | None:
    """The fewest workers, of kinds and halls that stand, with which all demand is met; None where no number
    of them would do, as for a class whose only halls are lost."""
    kinds = sorted({(g.zone, g.kind) for g in problem.workers if g.zone not in lost})
    wide = dict(problem.workers)
    for zone, kind in kinds:
        wide[Group(zone, kind)] = max(1, wide.get(Group(zone, kind), 0))
    full = Problem(problem.zones, problem.kinds, problem.classes, wide, problem.demand, problem.cross,
                   problem.spare)
    flows, highs = full.flows(lost), highspy.Highs()  # type: ignore[no-untyped-call]
    highs.setOptionValue("output_flag", False)
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
    if highs.getModelStatus() != highspy.HighsModelStatus.kOptimal:
        return None
    found = highs.getSolution().col_value
    return {Group(*kind): round(found[len(flows) + n]) for n, kind in enumerate(kinds)
            if round(found[len(flows) + n])}
