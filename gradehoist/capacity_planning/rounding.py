"""Rounds the solver's flows to whole units and repairs the bounds that rounding violates. Free of I/O."""

from __future__ import annotations

from fractions import Fraction
from math import ceil

from gradehoist.capacity_planning.problem import CapacityProblem, Flow, ReplicaGroup

# The number of rate units in one request per second. A unit is finer than any weight can express.
RATE_UNITS = 10_000


def round_rate(rate: float) -> Fraction:
    """Rounds a rate to whole units. The solver's tolerance allows slightly negative rates; they become 0."""
    return Fraction(max(0, round(rate * RATE_UNITS)), RATE_UNITS)


def repair_rounded_flows(problem: CapacityProblem, slot: int, flows: dict[Flow, Fraction]) -> None:
    """Lowers rounded flows until no demand and no capacity is exceeded."""
    _trim_to_demand(problem, slot, flows)
    _trim_to_capacity(problem, flows)


def _trim_to_demand(problem: CapacityProblem, slot: int, flows: dict[Flow, Fraction]) -> None:
    flows_by_demand: dict[tuple[str, str], list[Flow]] = {}
    for flow in flows:
        flows_by_demand.setdefault((flow.request_class, flow.origin), []).append(flow)
    for key, members in flows_by_demand.items():
        excess = sum((flows[flow] for flow in members), Fraction(0)) - problem.demand[key][slot]
        for flow in members:
            if excess <= 0:
                break
            cut = min(flows[flow], excess)
            flows[flow] -= cut
            excess -= cut


def _trim_to_capacity(problem: CapacityProblem, flows: dict[Flow, Fraction]) -> None:
    """Takes excess load from the flows with the least priority weight per load."""

    def weight_per_load(flow: Flow) -> tuple[Fraction, Flow]:
        weight = problem.classes[flow.request_class].priority_weight
        return weight / problem.load_per_request(flow), flow

    flows_by_group: dict[ReplicaGroup, list[Flow]] = {}
    for flow in flows:
        flows_by_group.setdefault(flow.group, []).append(flow)
    for group, members in flows_by_group.items():
        load = sum((flows[flow] * problem.load_per_request(flow) for flow in members), Fraction(0))
        excess = load - problem.capacity(group)
        for flow in sorted((flow for flow in members if flows[flow]), key=weight_per_load):
            if excess <= 0:
                break
            load_per_request = problem.load_per_request(flow)
            cut = min(flows[flow], Fraction(ceil(excess / load_per_request * RATE_UNITS), RATE_UNITS))
            flows[flow] -= cut
            excess -= cut * load_per_request
