"""Measurements of capacity planning: time by size, and the solver compared with a greedy rule."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from datetime import datetime
from fractions import Fraction
from zoneinfo import ZoneInfo

from gradehoist.capacity_planning import verification
from gradehoist.capacity_planning.event_file import DemandEvent
from gradehoist.capacity_planning.planner import make_plan
from gradehoist.capacity_planning.problem import (
    CapacityProblem,
    Flow,
    ReplicaGroup,
    ReplicaKind,
    RequestClass,
)
from gradehoist.capacity_planning.solver import solve

CLASS_COUNT = 4
KIND_COUNT = 4
# Requests per second: close to the mean rate at which a replica of `create_problem` completes one class.
MEAN_REPLICA_RATE = 15
# The number of time slots of a measured plan.
HOURS = 24
# The number of random fleets on which the solver and the greedy rule are compared.
COMPARED_FLEETS = 60


@dataclass(frozen=True)
class FleetSize:
    """The size of a random fleet, and its demand as a share of its capacity."""

    replicas: int
    zones: int
    cells: int = 1
    load: float = 0.6


SIZES = (
    FleetSize(replicas=6, zones=3),
    FleetSize(replicas=40, zones=3),
    FleetSize(replicas=118, zones=3),
    FleetSize(replicas=118, zones=3, cells=10),
    FleetSize(replicas=118, zones=10),
    FleetSize(replicas=500, zones=3),
    FleetSize(replicas=500, zones=10),
    FleetSize(replicas=2000, zones=3),
)


def create_problem(size: FleetSize, slots: int, seed: int = 1) -> CapacityProblem:
    """Creates a random fleet with uneven demand, four kinds and four classes.

    One class may not use the last zone, unless there are only two.
    """
    rng = random.Random(seed)
    zones = tuple(f"z{n}" for n in range(size.zones))
    names = [f"c{n}" for n in range(CLASS_COUNT)]
    kinds = {
        f"k{n}": ReplicaKind(f"k{n}", {name: Fraction(rng.randrange(5, 30)) for name in names})
        for n in range(KIND_COUNT)
    }
    some_zones = zones[: max(2, size.zones - 1)]
    classes = {
        name: RequestClass(name, Fraction(rng.randrange(1, 9)), some_zones if name == "c0" else None)
        for name in names
    }
    mean = size.replicas * MEAN_REPLICA_RATE * size.load / CLASS_COUNT / size.zones
    demand = {
        (name, zone): tuple(Fraction(round(mean * rng.uniform(0.3, 1.7), 2)) for _ in range(slots))
        for name in names
        for zone in zones
    }
    return CapacityProblem(
        zones=zones,
        kinds=kinds,
        classes=classes,
        replica_counts=_count_replicas(size, zones),
        demand=demand,
        reserved_share=Fraction(1, 10),
    )


def _count_replicas(size: FleetSize, zones: tuple[str, ...]) -> dict[ReplicaGroup, int]:
    counts: dict[ReplicaGroup, int] = {}
    for n in range(size.replicas):
        cell = f"cell{n // size.zones // KIND_COUNT % size.cells}" if size.cells > 1 else ""
        group = ReplicaGroup(zones[n % size.zones], f"k{n // size.zones % KIND_COUNT}", cell)
        counts[group] = counts.get(group, 0) + 1
    return counts


def plan_greedily(problem: CapacityProblem, slot: int, lost_zones: frozenset[str]) -> dict[Flow, Fraction]:
    """Plans greedily: highest priority weight first, in its zone while it has capacity, then elsewhere."""
    capacity = {g: problem.capacity(g) for g in problem.replica_counts if g.zone not in lost_zones}
    demand = {key: rates[slot] for key, rates in problem.demand.items()}

    def preference(flow: Flow) -> tuple[Fraction, Fraction, Fraction, Flow]:
        weight = problem.classes[flow.request_class].priority_weight
        return -weight, problem.crossing_cost(flow), -capacity[flow.group], flow

    flows: dict[Flow, Fraction] = {}
    for flow in sorted(problem.allowed_flows(lost_zones), key=preference):
        key = flow.request_class, flow.origin
        load = problem.load_per_request(flow)
        rate = min(demand[key], capacity[flow.group] / load)
        flows[flow] = rate
        demand[key] -= rate
        capacity[flow.group] -= rate * load
    return flows


def measure_size(size: FleetSize) -> tuple[object, ...]:
    """Makes a plan with 24 slots; returns the row with its size and duration."""
    problem = create_problem(size, HOURS)
    started = time.perf_counter()
    plan = make_plan(DemandEvent("e", datetime(2027, 2, 5, tzinfo=ZoneInfo("Asia/Tokyo")), 3600, problem))
    duration = f"{time.perf_counter() - started:.2f}"
    return size.replicas, size.zones, size.cells, len(problem.replica_counts), len(plan.cases), duration


def compare_with_greedy(load: float) -> tuple[object, ...]:
    """Compares the solver with the greedy rule on 60 fleets of 40 replicas, with each loss of one zone.

    Returns:
        The load, the shares of weighted demand that the solver and the greedy rule leave unserved, and the
        ratio of their crossing costs where both serve all demand.
    """
    lost_by_solver = lost_by_greedy = demanded = Fraction(0)
    solver_crossing = greedy_crossing = Fraction(0)
    for seed in range(COMPARED_FLEETS):
        problem = create_problem(FleetSize(replicas=40, zones=3, load=load), slots=1, seed=seed)
        weighted = (
            rates[0] * problem.classes[name].priority_weight for (name, _), rates in problem.demand.items()
        )
        demand = sum(weighted, Fraction(0))
        for lost_zones in (frozenset[str](), *(frozenset({zone}) for zone in problem.zones)):
            solution = solve(problem, 0, lost_zones)
            greedy = plan_greedily(problem, 0, lost_zones)
            assert not verification.find_violations(problem, 0, lost_zones, greedy)
            greedy_rate = verification.calculate_weighted_rate(problem, greedy)
            demanded += demand
            lost_by_solver += demand - solution.weighted_rate
            lost_by_greedy += demand - greedy_rate
            if min(greedy_rate, solution.weighted_rate) > demand - Fraction(1, 100):
                solver_crossing += solution.crossing_cost
                costs = (rate * problem.crossing_cost(flow) for flow, rate in greedy.items())
                greedy_crossing += sum(costs, Fraction(0))
    ratio = f"{float(greedy_crossing / solver_crossing):.2f}" if solver_crossing else "-"
    solver_share = f"{float(100 * lost_by_solver / demanded):.2f}%"
    greedy_share = f"{float(100 * lost_by_greedy / demanded):.2f}%"
    return load, solver_share, greedy_share, ratio
