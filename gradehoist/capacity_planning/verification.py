"""Checks of a plan outside the solver, in exact arithmetic. Free of I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from fractions import Fraction

from gradehoist.capacity_planning.problem import Flow, Group, Problem


def faults(problem: Problem, slot: int, lost: frozenset[str], flows: Mapping[Flow, Fraction]) -> list[str]:
    """Every bound that the flows break, in words; none for a plan that holds."""
    out: list[str] = []
    load: dict[Group, Fraction] = defaultdict(Fraction)
    served: dict[tuple[str, str], Fraction] = defaultdict(Fraction)
    allowed = set(problem.flows(lost))
    for flow, rate in flows.items():
        if rate < 0:
            out.append(f"{flow}: a rate below zero")
        if rate and flow not in allowed:
            out.append(f"{flow.cls} from {flow.origin} is not open at {flow.group.zone}/{flow.group.kind}")
            continue
        load[flow.group] += rate * problem.load(flow) if rate else 0
        served[flow.cls, flow.origin] += rate
    out += [
        f"{g.zone}/{g.kind} carries {float(x):.6g} workers' worth, {float(problem.room(g)):.6g} may be"
        for g, x in load.items()
        if x > problem.room(g)
    ]
    out += [
        f"{k} from {o}: {float(x):.6g} served of {float(problem.demand[k, o][slot]):.6g}"
        for (k, o), x in served.items()
        if x > problem.demand[k, o][slot]
    ]
    return out


def gain(problem: Problem, flows: Mapping[Flow, Fraction]) -> Fraction:
    return sum((rate * problem.classes[f.cls].gain for f, rate in flows.items()), Fraction(0))


def rounding(problem: Problem, lost: frozenset[str], grid: int) -> Fraction:
    """What rounding flows to a grid may cost: two steps of each, once rounded and once mended."""
    dearest = max((c.gain for c in problem.classes.values()), default=Fraction(0))
    return 2 * len(problem.flows(lost)) * dearest / grid


def most(problem: Problem, slot: int, lost: frozenset[str], prices: Mapping[Group, Fraction]) -> Fraction:
    """No plan gains more than this, whatever the prices of load (each at least 0): by weak duality, with the
    least price of demand that they allow. The nearer the prices are to the solver's own, the nearer it is."""
    worth: dict[tuple[str, str], Fraction] = defaultdict(Fraction)
    for f in problem.flows(lost):
        left = problem.classes[f.cls].gain - prices.get(f.group, Fraction(0)) * problem.load(f)
        worth[f.cls, f.origin] = max(worth[f.cls, f.origin], left)
    total = sum((x * problem.demand[key][slot] for key, x in worth.items()), Fraction(0))
    return total + sum(
        (prices.get(g, Fraction(0)) * problem.room(g) for g in problem.workers if g.zone not in lost),
        Fraction(0),
    )
