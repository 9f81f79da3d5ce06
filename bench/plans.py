"""Plans made ahead: time by size, and the solver beside a greedy rule on the same fleets."""

from __future__ import annotations

import random
import time
from datetime import datetime
from fractions import Fraction as F
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

SIZES = (
    (6, 3, 1),
    (40, 3, 1),
    (118, 3, 1),
    (118, 3, 10),
    (118, 10, 1),
    (500, 3, 1),
    (500, 10, 1),
    (2000, 3, 1),
)


def fleet(
    workers: int, halls: int, slots: int, cells: int = 1, seed: int = 1, load: float = 0.6
) -> CapacityProblem:
    """Four kinds, four classes of which one may not go to the last hall, uneven demand."""
    dice, zones = random.Random(seed), tuple(f"z{n}" for n in range(halls))
    names = [f"c{c}" for c in range(4)]
    kinds = {f"k{n}": ReplicaKind(f"k{n}", {c: F(dice.randrange(5, 30)) for c in names}) for n in range(4)}
    classes = {
        c: RequestClass(c, F(dice.randrange(1, 9)), None if c != "c0" else zones[: max(2, halls - 1)])
        for c in names
    }
    crew: dict[ReplicaGroup, int] = {}
    for n in range(workers):
        cell = f"cell{n // halls // 4 % cells}" if cells > 1 else ""
        group = ReplicaGroup(zones[n % halls], f"k{n // halls % 4}", cell)
        crew[group] = crew.get(group, 0) + 1
    mean = workers * 15 * load / len(names) / halls
    demand = {
        (c, z): tuple(F(round(mean * dice.uniform(0.3, 1.7), 2)) for _ in range(slots))
        for c in names
        for z in zones
    }
    return CapacityProblem(zones, kinds, classes, crew, demand, {}, F(1, 10))


def greedy(p: CapacityProblem, slot: int, lost: frozenset[str]) -> dict[Flow, F]:
    """The most gain first, each at home while there is room, then wherever most is free."""
    room = {g: p.capacity(g) for g in p.replica_counts if g.zone not in lost}
    left = {key: d[slot] for key, d in p.demand.items()}
    out: dict[Flow, F] = {}
    for f in sorted(
        p.allowed_flows(lost),
        key=lambda f: (-p.classes[f.request_class].priority_weight, p.crossing_cost(f), -room[f.group], f),
    ):
        rate = min(left[f.request_class, f.origin], room[f.group] / p.load_per_request(f))
        out[f] = rate
        left[f.request_class, f.origin] -= rate
        room[f.group] -= rate * p.load_per_request(f)
    return out


def size(workers: int, halls: int, cells: int) -> tuple[object, ...]:
    p = fleet(workers, halls, 24, cells)
    began = time.perf_counter()
    plan = make_plan(DemandEvent("e", datetime(2027, 2, 5, tzinfo=ZoneInfo("Asia/Tokyo")), 3600, p))
    return workers, halls, cells, len(p.replica_counts), len(plan.cases), f"{time.perf_counter() - began:.2f}"


def beside(load: float) -> tuple[object, ...]:
    """Over 60 fleets of 40 workers, whole and with each hall lost: gain lost, as a part of what was asked,
    and crossing where both lose nothing."""
    lost_solver, lost_greedy, asked, cross = F(0), F(0), F(0), [F(0), F(0)]
    for seed in range(60):
        p = fleet(40, 3, 1, seed=seed, load=load)
        want = sum((d[0] * p.classes[c].priority_weight for (c, _), d in p.demand.items()), F(0))
        for lost in (frozenset[str](), *(frozenset({z}) for z in p.zones)):
            ours, other = solve(p, 0, lost), greedy(p, 0, lost)
            assert not verification.find_violations(p, 0, lost, other)
            gained = verification.calculate_weighted_rate(p, other)
            asked += want
            lost_solver += want - ours.weighted_rate
            lost_greedy += want - gained
            if gained > want - F(1, 100) and ours.weighted_rate > want - F(1, 100):
                cross[0] += ours.crossing_cost
                cross[1] += sum((x * p.crossing_cost(f) for f, x in other.items()), F(0))
    ratio = f"{float(cross[1] / cross[0]):.2f}" if cross[0] else "-"
    return load, f"{float(100 * lost_solver / asked):.2f}%", f"{float(100 * lost_greedy / asked):.2f}%", ratio
