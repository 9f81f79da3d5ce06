"""Checks flows independently of the solver, in exact arithmetic. Free of I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from fractions import Fraction

from gradehoist.capacity_planning.problem import CapacityProblem, Flow, ReplicaGroup


@dataclass(frozen=True, slots=True)
class BoundViolation:
    """A bound of the problem that flows violate; the description says which one and by how much."""

    description: str

    def __str__(self) -> str:
        """Returns the description, as the command line prints it."""
        return self.description


def find_violations(
    problem: CapacityProblem, slot: int, lost_zones: frozenset[str], flows: Mapping[Flow, Fraction]
) -> list[BoundViolation]:
    """Returns every bound that the flows violate; empty for valid flows."""
    violations: list[BoundViolation] = []
    load: dict[ReplicaGroup, Fraction] = defaultdict(Fraction)
    served: dict[tuple[str, str], Fraction] = defaultdict(Fraction)
    allowed = set(problem.allowed_flows(lost_zones))
    for flow, rate in flows.items():
        if rate < 0:
            violations.append(BoundViolation(f"{_describe_flow(flow)}: a rate below zero"))
        if rate and flow not in allowed:
            violations.append(
                BoundViolation(
                    f"{flow.request_class} from {flow.origin} may not be served by "
                    f"{flow.group.zone}/{flow.group.kind}"
                )
            )
            continue
        load[flow.group] += rate * problem.load_per_request(flow) if rate else 0
        served[flow.request_class, flow.origin] += rate
    violations += _find_overloads(problem, load)
    violations += _find_excess_service(problem, slot, served)
    return violations


def _find_overloads(
    problem: CapacityProblem, load_by_group: Mapping[ReplicaGroup, Fraction]
) -> list[BoundViolation]:
    return [
        BoundViolation(
            f"{group.zone}/{group.kind} carries the load of {float(load):.6g} workers, "
            f"but may carry only {float(problem.capacity(group)):.6g}"
        )
        for group, load in load_by_group.items()
        if load > problem.capacity(group)
    ]


def _find_excess_service(
    problem: CapacityProblem, slot: int, served: Mapping[tuple[str, str], Fraction]
) -> list[BoundViolation]:
    violations = []
    for (class_name, origin), rate in served.items():
        demand = problem.demand[class_name, origin][slot]
        if rate > demand:
            text = f"{class_name} from {origin}: {float(rate):.6g} served of {float(demand):.6g}"
            violations.append(BoundViolation(text))
    return violations


def _describe_flow(flow: Flow) -> str:
    """Returns a flow as the command line prints it; `cls` and `Group` are part of that output."""
    return f"Flow(cls={flow.request_class!r}, origin={flow.origin!r}, group={_describe_group(flow.group)})"


def _describe_group(group: ReplicaGroup) -> str:
    return f"Group(zone={group.zone!r}, kind={group.kind!r}, cell={group.cell!r})"


def calculate_weighted_rate(problem: CapacityProblem, flows: Mapping[Flow, Fraction]) -> Fraction:
    """Returns the solver's first objective: the sum of rates times the priority weights of their classes."""
    weighted = (rate * problem.classes[flow.request_class].priority_weight for flow, rate in flows.items())
    return sum(weighted, Fraction(0))


def calculate_rounding_tolerance(
    problem: CapacityProblem, lost_zones: frozenset[str], units_per_request: int
) -> Fraction:
    """Returns the weighted rate that rounding may cost.

    Each flow may lose two rate units: one to rounding and one to the repair of bounds.
    """
    largest_weight = max((c.priority_weight for c in problem.classes.values()), default=Fraction(0))
    return 2 * len(problem.allowed_flows(lost_zones)) * largest_weight / units_per_request


def calculate_upper_bound(
    problem: CapacityProblem, slot: int, lost_zones: frozenset[str], prices: Mapping[ReplicaGroup, Fraction]
) -> Fraction:
    """Returns a bound that the weighted rate of no plan exceeds, for any prices of load that are at least 0.

    It follows from weak duality, with the least prices of demand that the prices of load allow. The closer
    the prices of load are to the solver's dual values, the tighter the bound.
    """
    demand_price: dict[tuple[str, str], Fraction] = defaultdict(Fraction)
    for flow in problem.allowed_flows(lost_zones):
        load_price = prices.get(flow.group, Fraction(0)) * problem.load_per_request(flow)
        surplus = problem.classes[flow.request_class].priority_weight - load_price
        key = flow.request_class, flow.origin
        demand_price[key] = max(demand_price[key], surplus)
    bound = Fraction(0)
    for key, price in demand_price.items():
        bound += price * problem.demand[key][slot]
    for group in problem.replica_counts:
        if group.zone not in lost_zones:
            bound += prices.get(group, Fraction(0)) * problem.capacity(group)
    return bound
