"""Capacity planning: the solver compared with an exhaustive search in exact arithmetic."""

from __future__ import annotations

import contextlib
import itertools
import random
import re
from collections.abc import Callable, Mapping
from fractions import Fraction
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import pytest
from click.testing import CliRunner, Result

from gradehoist.capacity_planning import solver, verification
from gradehoist.capacity_planning.additions import find_replicas_to_add
from gradehoist.capacity_planning.event_file import DemandEvent, read_events
from gradehoist.capacity_planning.plan import CapacityPlan, PlannedCase, Shortfall
from gradehoist.capacity_planning.plan_check import check_plan
from gradehoist.capacity_planning.planner import make_plan
from gradehoist.capacity_planning.problem import (
    CapacityProblem,
    Flow,
    ReplicaGroup,
    ReplicaKind,
    RequestClass,
)
from gradehoist.capacity_planning.rounding import RATE_UNITS
from gradehoist.capacity_planning.solver import solve, tie_break_weight
from gradehoist.cli.main import main
from gradehoist.settings.reader import SettingsError

K = TypeVar("K")
V = TypeVar("V")
ZONES = ("a", "b", "c")
EVENTS = Path(__file__).parent.parent / "deploy" / "events.kdl"


def random_problem(seed: int, classes: int = 1) -> CapacityProblem:
    """Up to six replicas in three zones, with small whole numbers, so that many solutions tie."""
    rng = random.Random(seed)
    kinds = {
        "k": ReplicaKind("k", {"read": Fraction(2), "write": Fraction(1)}),
        "l": ReplicaKind("l", {"read": Fraction(3)}),
    }
    names = ("read", "write")[:classes]
    request_classes = {
        n: RequestClass(
            n,
            Fraction(rng.choice([1, 2, 6])),
            rng.choice([None, None, ("a", "b")]),
            None,
            rng.random() < 0.15,
        )
        for n in names
    }
    replica_counts = {ReplicaGroup(z, rng.choice(["k", "k", "l"])): rng.randrange(3) for z in ZONES}
    origins = ZONES[:2] if classes == 1 else ZONES[:1]
    demand = {(n, z): (Fraction(rng.choice([0, 1, 2, 4, 7])),) for n in names for z in origins}
    crossing_costs = {(o, z): Fraction(rng.choice([1, 1, 2])) for o in ZONES for z in ZONES if o != z}
    return CapacityProblem(
        ZONES,
        kinds,
        request_classes,
        replica_counts,
        demand,
        crossing_costs,
        rng.choice([Fraction(0), Fraction(1, 4)]),
    )


def solve_equations(rows: list[list[Fraction]]) -> list[Fraction] | None:
    """Solves a square system of linear equations; each row ends with its right side.

    Returns None if there is no solution or more than one.
    """
    size = len(rows)
    rows = [row[:] for row in rows]
    for n in range(size):
        pivot_row = next((k for k in range(n, size) if rows[k][n]), None)
        if pivot_row is None:
            return None
        rows[n], rows[pivot_row] = rows[pivot_row], rows[n]
        pivot = rows[n][n]
        rows[n] = [x / pivot for x in rows[n]]
        for k in range(size):
            if k != n and rows[k][n]:
                factor = rows[k][n]
                rows[k] = [x - factor * y for x, y in zip(rows[k], rows[n], strict=True)]
    return [row[-1] for row in rows]


def search_exhaustively(
    problem: CapacityProblem, lost_zones: frozenset[str]
) -> tuple[tuple[Fraction, Fraction, Fraction], dict[Flow, Fraction]]:
    """Finds the best solution by enumerating every vertex of the feasible region.

    Each demand and each group is one constraint with a slack variable. A vertex has as many basic variables,
    flows or slacks, as there are constraints. Vertices are ranked by weighted rate, crossing cost and
    tie-break weight. The allowed flows are derived here again, independently of the code under test.
    """
    flows: list[Flow] = []
    for (k, o), g in itertools.product(problem.demand, problem.replica_counts):
        request_class, kind = problem.classes[k], problem.kinds[g.kind]
        is_allowed = (request_class.allowed_zones is None or g.zone in request_class.allowed_zones) and (
            not request_class.zone_local or g.zone == o
        )
        if g.zone not in lost_zones and k in kind.requests_per_s and is_allowed and problem.replica_counts[g]:
            flows.append(Flow(k, o, g))
    groups = [g for g in problem.replica_counts if any(f.group == g for f in flows)]
    keys = list(problem.demand)
    size = len(keys) + len(groups)
    constraints = [[Fraction((f.request_class, f.origin) == key) for f in flows] for key in keys]
    loads = [1 / problem.kinds[f.group.kind].requests_per_s[f.request_class] for f in flows]
    constraints += [
        [x if f.group == g else Fraction(0) for f, x in zip(flows, loads, strict=True)] for g in groups
    ]
    limits = [problem.demand[key][0] for key in keys] + [
        problem.replica_counts[g] * (1 - problem.reserved_share) for g in groups
    ]
    constraints = [row + [Fraction(n == k) for k in range(size)] for n, row in enumerate(constraints)]
    best: tuple[tuple[Fraction, Fraction, Fraction], dict[Flow, Fraction]] | None = None
    for basis in itertools.combinations(range(len(flows) + size), size):
        values = solve_equations(
            [[row[k] for k in basis] + [r] for row, r in zip(constraints, limits, strict=True)]
        )
        if values is None or min(values, default=Fraction(0)) < 0:
            continue
        vertex = {flows[k]: x for k, x in zip(basis, values, strict=True) if k < len(flows) and x}
        rank = (
            -sum(
                (x * problem.classes[f.request_class].priority_weight for f, x in vertex.items()), Fraction(0)
            ),
            sum(
                (
                    x * problem.crossing_costs[f.origin, f.group.zone]
                    for f, x in vertex.items()
                    if f.origin != f.group.zone
                ),
                Fraction(0),
            ),
            sum((x * Fraction(tie_break_weight(f)) for f, x in vertex.items()), Fraction(0)),
        )
        if best is None or rank < best[0]:
            best = rank, vertex
    assert best is not None
    return best


@pytest.mark.parametrize("block", range(6))
def test_the_solver_matches_exhaustive_search_ties_included(block: int) -> None:
    for seed in range(block * 70, block * 70 + 70):
        problem = random_problem(seed, classes=1 + seed % 2)
        for lost_zones in (frozenset[str](), frozenset({"abc"[seed % 3]})):
            solution = solve(problem, 0, lost_zones)
            rank, flows = search_exhaustively(problem, lost_zones)
            assert abs(solution.weighted_rate + rank[0]) < Fraction(1, 100), f"seed {seed}"
            assert abs(solution.crossing_cost - rank[1]) < Fraction(1, 100), f"seed {seed}"
            for f in {*flows, *solution.flows}:
                difference = solution.flows.get(f, Fraction(0)) - flows.get(f, Fraction(0))
                assert abs(difference) < Fraction(1, 100), f"seed {seed}: {f}"
            gap = (
                verification.calculate_upper_bound(problem, 0, lost_zones, solution.prices)
                - solution.weighted_rate
            )
            assert 0 <= gap <= verification.calculate_rounding_tolerance(problem, lost_zones, RATE_UNITS)


def test_the_order_of_input_does_not_change_the_solution() -> None:
    for seed in range(30):
        problem, rng = random_problem(seed, classes=2), random.Random(seed)

        def shuffle_items(d: Mapping[K, V], rng: random.Random = rng) -> dict[K, V]:
            return dict(rng.sample(list(d.items()), len(d)))

        reordered = CapacityProblem(
            problem.zones[::-1],
            problem.kinds,
            shuffle_items(problem.classes),
            shuffle_items(problem.replica_counts),
            shuffle_items(problem.demand),
            shuffle_items(problem.crossing_costs),
            problem.reserved_share,
        )
        assert solve(problem, 0) == solve(reordered, 0)


def create_problem(
    replica_counts: dict[ReplicaGroup, int],
    demand: dict[tuple[str, str], int],
    current_flows: Mapping[Flow, Fraction] | None = None,
) -> CapacityProblem:
    """One slot; `read` may run everywhere, `write` only in zone b and with a higher priority weight."""
    return CapacityProblem(
        zones=ZONES,
        kinds={"k": ReplicaKind("k", {"read": Fraction(2), "write": Fraction(1)})},
        classes={
            "read": RequestClass("read", Fraction(1)),
            "write": RequestClass("write", Fraction(6), ("b",)),
        },
        replica_counts=replica_counts,
        demand={key: (Fraction(rate),) for key, rate in demand.items()},
        current_flows=current_flows or {},
    )


def test_a_lost_zone_leaves_shortfalls_and_the_replicas_that_would_mend_them() -> None:
    p = create_problem(
        {ReplicaGroup("a", "k"): 2, ReplicaGroup("b", "k"): 2}, {("read", "a"): 6, ("write", "a"): 1}
    )
    all_zones, without_a = solve(p, 0), solve(p, 0, frozenset({"a"}))
    assert not any(all_zones.shortfalls.values())
    assert find_replicas_to_add(p, 0) == {}
    # The class with the least priority weight per load is left unserved.
    assert without_a.shortfalls == {
        ("read", "a"): Fraction(4),
        ("write", "a"): Fraction(0),
    }
    assert find_replicas_to_add(p, 0, frozenset({"a"})) == {ReplicaGroup("b", "k"): 2}
    without_b = solve(p, 0, frozenset({"b"}))
    assert without_b.shortfalls["write", "a"] == 1
    assert find_replicas_to_add(p, 0, frozenset({"b"})) is None


def test_capacity_that_a_class_may_not_use_and_an_empty_fleet_leave_shortfalls() -> None:
    p = create_problem({ReplicaGroup("a", "k"): 9}, {("write", "a"): 1})
    assert solve(p, 0).shortfalls["write", "a"] == 1
    assert find_replicas_to_add(p, 0) is None
    for p in (
        create_problem({}, {("read", "a"): 3}),
        create_problem({ReplicaGroup("a", "k"): 0}, {("read", "a"): 3}),
    ):
        assert solve(p, 0).shortfalls["read", "a"] == 3
        assert not solve(p, 0).flows
    assert not solve(create_problem({ReplicaGroup("a", "k"): 1}, {("read", "a"): 0}), 0).flows


def test_of_equal_plans_the_one_that_changes_least_from_today_is_chosen() -> None:
    replica_counts, demand = {ReplicaGroup("b", "k"): 2, ReplicaGroup("c", "k"): 2}, {("read", "a"): 4}
    for zone in "bc":
        today = {Flow("read", "a", ReplicaGroup(zone, "k")): Fraction(4)}
        assert solve(create_problem(replica_counts, demand, current_flows=today), 0).flows == today


def test_verification_finds_each_broken_bound() -> None:
    p = create_problem(
        {ReplicaGroup("a", "k"): 1, ReplicaGroup("b", "k"): 1}, {("read", "a"): 3, ("write", "a"): 1}
    )
    a, b = ReplicaGroup("a", "k"), ReplicaGroup("b", "k")
    none = frozenset[str]()
    assert not verification.find_violations(p, 0, none, {Flow("read", "a", a): Fraction(2)})
    broken = (
        ({Flow("read", "a", a): Fraction(2) + Fraction(1, 10**9)}, "carries"),
        ({Flow("read", "a", a): Fraction(2), Flow("read", "a", b): Fraction(3, 2)}, "served of"),
        ({Flow("write", "a", a): Fraction(1)}, "may not be served by"),
        ({Flow("read", "a", a): Fraction(-1)}, "below"),
    )
    for flows, message in broken:
        assert any(message in str(x) for x in verification.find_violations(p, 0, none, flows))
    assert verification.find_violations(p, 0, frozenset({"a"}), {Flow("read", "a", a): Fraction(1)})
    # Any prices give an upper bound of the weighted rate.
    for price in (Fraction(0), Fraction(1), Fraction(7)):
        assert (
            verification.calculate_upper_bound(p, 0, none, {a: price, b: price}) >= solve(p, 0).weighted_rate
        )


def run_plan_command(*arguments: object) -> Result:
    return CliRunner().invoke(main, ["plan", *map(str, arguments)])


@pytest.fixture(scope="module")
def event() -> DemandEvent:
    (only_event,) = read_events(EVENTS)
    return only_event


@pytest.fixture(scope="module")
def plan(event: DemandEvent) -> CapacityPlan:
    return make_plan(event)


def test_a_plan_is_made_shown_and_checked_by_the_command_line(tmp_path: Path, plan: CapacityPlan) -> None:
    path = tmp_path / "p.json"
    made = run_plan_command("make", EVENTS, "--out", path)
    # The loss of a zone leaves too little capacity.
    assert made.exit_code == 1
    assert "add 2 large-4c in" in made.output
    assert run_plan_command("check", EVENTS, path).exit_code == 0
    assert run_plan_command("show", path).exit_code == 0
    stored: CapacityPlan = msgspec.json.decode(path.read_bytes(), type=CapacityPlan)
    assert stored == plan
    assert len(stored.cases) == 4 * 4
    assert stored.starts_at == "2027-02-05T09:00:00+09:00"


def test_a_plan_file_is_the_same_to_the_byte_whatever_the_order_of_nodes(tmp_path: Path) -> None:
    events, first, second = tmp_path / "e.kdl", tmp_path / "first.json", tmp_path / "second.json"
    lines = EVENTS.read_text().splitlines(keepends=True)
    moved = [line for line in lines if line.startswith(("workers", "cross"))]
    events.write_text("".join([*(line for line in lines if line not in moved), *moved[::-1]]))
    assert run_plan_command("make", EVENTS, "--out", first).exit_code == 1
    assert run_plan_command("make", events, "--out", second).exit_code == 1
    assert second.read_bytes() == first.read_bytes()


def test_a_plan_is_rejected_when_the_fleet_has_changed(tmp_path: Path, plan: CapacityPlan) -> None:
    events, path = tmp_path / "e.kdl", tmp_path / "p.json"
    path.write_bytes(msgspec.json.encode(plan))
    events.write_text(EVENTS.read_text().replace("count=3", "count=2"))
    assert "fleet has changed" in run_plan_command("check", events, path).output


def test_a_plan_file_that_was_cut_is_reported_in_one_line(tmp_path: Path, plan: CapacityPlan) -> None:
    path = tmp_path / "p.json"
    path.write_bytes(msgspec.json.format(msgspec.json.encode(plan), indent=1)[:200])
    checked = run_plan_command("check", EVENTS, path)
    assert checked.exit_code == 2
    assert "no plan" in checked.output


def scale_first_rate(case: PlannedCase, factor: int) -> PlannedCase:
    first = msgspec.structs.replace(case.served[0], rate_units=case.served[0].rate_units * factor)
    return msgspec.structs.replace(case, served=(first, *case.served[1:]))


def serve_nothing(case: PlannedCase, event: DemandEvent) -> PlannedCase:
    """Returns a case that serves nothing: it states its shortfalls correctly, but they are avoidable."""
    shortfalls = tuple(Shortfall(*key, str(rates[0])) for key, rates in event.problem.demand.items())
    return msgspec.structs.replace(case, served=(), shortfalls=shortfalls)


@pytest.mark.parametrize(
    ("changes", "defect"),
    [
        ({"version": 2}, "version 2"),
        ({"starts_at": "2027-02-06T09:00:00+09:00"}, "made for"),
        ({"event": "other"}, "made for other"),
        ({"fleet_checksum": "00000000"}, "the fleet has changed"),
    ],
)
def test_a_plan_that_was_made_for_something_else_is_rejected(
    plan: CapacityPlan, event: DemandEvent, changes: dict[str, Any], defect: str
) -> None:
    (found,) = check_plan(msgspec.structs.replace(plan, **changes), event)
    assert defect in str(found)


def test_a_plan_that_lacks_a_case_is_rejected(plan: CapacityPlan, event: DemandEvent) -> None:
    found = check_plan(msgspec.structs.replace(plan, cases=plan.cases[1:]), event)
    assert "slot 0, lost none: missing" in map(str, found)


@pytest.mark.parametrize(
    ("falsify", "defect"),
    [
        (lambda case, event: scale_first_rate(case, 9), "served of"),
        (lambda case, event: scale_first_rate(case, -1), "cell='')): a rate below zero"),
        (
            lambda case, event: msgspec.structs.replace(case, served=case.served[1:]),
            "the stated shortfall differs from that of the flows",
        ),
        (serve_nothing, "less weighted requests per second than possible"),
    ],
    ids=["more than demanded", "below zero", "unstated shortfall", "needless shortfall"],
)
def test_a_plan_with_a_falsified_case_is_rejected(
    plan: CapacityPlan,
    event: DemandEvent,
    falsify: Callable[[PlannedCase, DemandEvent], PlannedCase],
    defect: str,
) -> None:
    cases = (falsify(plan.cases[0], event), *plan.cases[1:])
    found = check_plan(msgspec.structs.replace(plan, cases=cases), event)
    assert any(defect in str(one) for one in found)


def test_a_solver_over_its_time_limit_is_reported_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(solver, "TIME_LIMIT_S", 0.0)
    result = CliRunner().invoke(main, ["plan", "make", str(EVENTS), "--out", str(tmp_path / "p.json")])
    assert result.exit_code == 2
    assert "no plan" in result.output
    assert not (tmp_path / "p.json").exists()


def test_every_error_of_an_event_file_names_its_line_and_clock_changes_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "e.kdl"

    def read_errors(old: str, new: str) -> str:
        path.write_text(EVENTS.read_text().replace(old, new))
        with pytest.raises(SettingsError) as caught:
            read_events(path)
        return str(caught.value)

    assert "e.kdl:20: event" in read_errors('rates="20 30 40 20"', 'rates="20 30"')
    assert "expected rates of at least 0" in read_errors("rates=6", 'rates="6 x"')
    # Computing the exact value of this number did not end in any reasonable time.
    assert "expected rates of at least 0" in read_errors("rates=6", 'rates="1e99999999"')
    assert "Asia/Tokyo" in read_errors('zone="Asia/Tokyo"', 'zone="Sapporo"')
    assert "local time without offset" in read_errors("T09:00", "T09:00+09:00")
    # The clock change of that night skips this time.
    skipped = 'begins="2027-03-28T02:30" zone="Europe/Berlin"'
    assert "clock change" in read_errors('begins="2027-02-05T09:00" zone="Asia/Tokyo"', skipped)
    # The clock change of that night repeats this time.
    assert "clock change" in read_errors(
        'begins="2027-02-05T09:00" zone="Asia/Tokyo"', 'begins="2027-10-31T02:30" zone="Europe/Berlin"'
    )
    text = EVENTS.read_text()
    # Whichever property is missing, the only exception is SettingsError.
    for m in re.finditer(r'\S+=("[^"]*"|\S+)', text):
        path.write_text(text[: m.start()] + text[m.end() :])
        with contextlib.suppress(SettingsError):
            read_events(path)
    overlapping = text[text.index('event "') :].replace("snow-festival", "late").replace("T09:00", "T11:00")
    path.write_text(text + overlapping)
    with pytest.raises(SettingsError, match="snow-festival and late overlap"):
        read_events(path)
