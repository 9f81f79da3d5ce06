"""Capacity planning: the solver compared with an exhaustive search in exact arithmetic."""

from __future__ import annotations

import contextlib
import itertools
import random
import re
from collections.abc import Mapping
from fractions import Fraction as F
from pathlib import Path
from typing import TypeVar

import msgspec
import pytest
from click.testing import CliRunner, Result

from gradehoist.capacity_planning import solver as solving
from gradehoist.capacity_planning import verification
from gradehoist.capacity_planning.additions import find_replicas_to_add
from gradehoist.capacity_planning.event_file import read_events
from gradehoist.capacity_planning.plan import CapacityPlan, Shortfall
from gradehoist.capacity_planning.plan_check import check_plan
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


def problem(seed: int, classes: int = 1) -> CapacityProblem:
    """Up to six workers in three halls; small whole figures, so that ties are many."""
    rng = random.Random(seed)
    kinds = {"k": ReplicaKind("k", {"read": F(2), "write": F(1)}), "l": ReplicaKind("l", {"read": F(3)})}
    names = ("read", "write")[:classes]
    some = {
        n: RequestClass(
            n, F(rng.choice([1, 2, 6])), rng.choice([None, None, ("a", "b")]), None, rng.random() < 0.15
        )
        for n in names
    }
    workers = {ReplicaGroup(z, rng.choice(["k", "k", "l"])): rng.randrange(3) for z in ZONES}
    origins = ZONES[:2] if classes == 1 else ZONES[:1]
    demand = {(n, z): (F(rng.choice([0, 1, 2, 4, 7])),) for n in names for z in origins}
    cross = {(o, z): F(rng.choice([1, 1, 2])) for o in ZONES for z in ZONES if o != z}
    return CapacityProblem(ZONES, kinds, some, workers, demand, cross, rng.choice([F(0), F(1, 4)]))


def solve_equations(rows: list[list[F]]) -> list[F] | None:
    """The one solution of square equations with their right side last, None where there is none or many."""
    size = len(rows)
    rows = [row[:] for row in rows]
    for n in range(size):
        best = next((k for k in range(n, size) if rows[k][n]), None)
        if best is None:
            return None
        rows[n], rows[best] = rows[best], rows[n]
        lead = rows[n][n]
        rows[n] = [x / lead for x in rows[n]]
        for k in range(size):
            if k != n and rows[k][n]:
                times = rows[k][n]
                rows[k] = [x - times * y for x, y in zip(rows[k], rows[n], strict=True)]
    return [row[-1] for row in rows]


def search_exhaustively(p: CapacityProblem, lost: frozenset[str]) -> tuple[tuple[F, F, F], dict[Flow, F]]:
    """Every corner of what is allowed, from the problem's text: each demand and each group is one bound, and
    a corner fixes as many of flows and rests as there are bounds. The best by gain, crossing, tie."""
    flows: list[Flow] = []
    for (k, o), g in itertools.product(p.demand, p.replica_counts):
        cls, kind = p.classes[k], p.kinds[g.kind]
        inside = (cls.allowed_zones is None or g.zone in cls.allowed_zones) and (
            not cls.zone_local or g.zone == o
        )
        if g.zone not in lost and k in kind.requests_per_s and inside and p.replica_counts[g]:
            flows.append(Flow(k, o, g))
    groups = [g for g in p.replica_counts if any(f.group == g for f in flows)]
    keys = list(p.demand)
    size = len(keys) + len(groups)
    table = [[F((f.request_class, f.origin) == key) for f in flows] for key in keys]
    loads = [1 / p.kinds[f.group.kind].requests_per_s[f.request_class] for f in flows]
    table += [[x if f.group == g else F(0) for f, x in zip(flows, loads, strict=True)] for g in groups]
    right = [p.demand[key][0] for key in keys] + [
        p.replica_counts[g] * (1 - p.reserved_share) for g in groups
    ]
    table = [row + [F(n == k) for k in range(size)] for n, row in enumerate(table)]
    best: tuple[tuple[F, F, F], dict[Flow, F]] | None = None
    for chosen in itertools.combinations(range(len(flows) + size), size):
        found = solve_equations([[row[k] for k in chosen] + [r] for row, r in zip(table, right, strict=True)])
        if found is None or min(found, default=F(0)) < 0:
            continue
        at = {flows[k]: x for k, x in zip(chosen, found, strict=True) if k < len(flows) and x}
        rank = (
            -sum((x * p.classes[f.request_class].priority_weight for f, x in at.items()), F(0)),
            sum(
                (
                    x * p.crossing_costs[f.origin, f.group.zone]
                    for f, x in at.items()
                    if f.origin != f.group.zone
                ),
                F(0),
            ),
            sum((x * F(tie_break_weight(f)) for f, x in at.items()), F(0)),
        )
        if best is None or rank < best[0]:
            best = rank, at
    assert best is not None
    return best


@pytest.mark.parametrize("block", range(6))
def test_the_solver_matches_exhaustive_search_ties_included(block: int) -> None:
    for seed in range(block * 70, block * 70 + 70):
        p = problem(seed, classes=1 + seed % 2)
        for lost in (frozenset[str](), frozenset({"abc"[seed % 3]})):
            answer = solve(p, 0, lost)
            rank, flows = search_exhaustively(p, lost)
            assert abs(answer.weighted_rate + rank[0]) < F(1, 100), f"seed {seed}"
            assert abs(answer.crossing_cost - rank[1]) < F(1, 100), f"seed {seed}"
            for f in {*flows, *answer.flows}:
                assert abs(answer.flows.get(f, F(0)) - flows.get(f, F(0))) < F(1, 100), f"seed {seed}: {f}"
            gap = verification.calculate_upper_bound(p, 0, lost, answer.prices) - answer.weighted_rate
            assert 0 <= gap <= verification.calculate_rounding_tolerance(p, lost, RATE_UNITS)


def test_the_order_of_input_does_not_change_the_solution() -> None:
    for seed in range(30):
        p, rng = problem(seed, classes=2), random.Random(seed)

        def mixed(d: Mapping[K, V], rng: random.Random = rng) -> dict[K, V]:
            return dict(rng.sample(list(d.items()), len(d)))

        q = CapacityProblem(
            p.zones[::-1],
            p.kinds,
            mixed(p.classes),
            mixed(p.replica_counts),
            mixed(p.demand),
            mixed(p.crossing_costs),
            p.reserved_share,
        )
        assert solve(p, 0) == solve(q, 0)


def base(
    workers: dict[ReplicaGroup, int], demand: dict[tuple[str, str], int], **more: object
) -> CapacityProblem:
    kinds = {"k": ReplicaKind("k", {"read": F(2), "write": F(1)})}
    classes = {"read": RequestClass("read", F(1)), "write": RequestClass("write", F(6), ("b",))}
    return CapacityProblem(ZONES, kinds, classes, workers, {k: (F(x),) for k, x in demand.items()}, **more)  # type: ignore[arg-type]


def test_a_lost_zone_leaves_shortfalls_and_the_replicas_that_would_mend_them() -> None:
    p = base({ReplicaGroup("a", "k"): 2, ReplicaGroup("b", "k"): 2}, {("read", "a"): 6, ("write", "a"): 1})
    whole, lost = solve(p, 0), solve(p, 0, frozenset({"a"}))
    assert not any(whole.shortfalls.values()) and find_replicas_to_add(p, 0) == {}
    assert lost.shortfalls == {("read", "a"): F(4), ("write", "a"): F(0)}  # the least gain is refused
    assert find_replicas_to_add(p, 0, frozenset({"a"})) == {ReplicaGroup("b", "k"): 2}
    gone = solve(p, 0, frozenset({"b"}))
    assert (
        gone.shortfalls["write", "a"] == 1 and find_replicas_to_add(p, 0, frozenset({"b"})) is None
    )  # its one hall is lost


def test_capacity_that_a_class_may_not_use_and_an_empty_fleet_leave_shortfalls() -> None:
    p = base({ReplicaGroup("a", "k"): 9}, {("write", "a"): 1})
    assert solve(p, 0).shortfalls["write", "a"] == 1 and find_replicas_to_add(p, 0) is None
    for p in (base({}, {("read", "a"): 3}), base({ReplicaGroup("a", "k"): 0}, {("read", "a"): 3})):
        assert solve(p, 0).shortfalls["read", "a"] == 3 and not solve(p, 0).flows
    assert not solve(base({ReplicaGroup("a", "k"): 1}, {("read", "a"): 0}), 0).flows


def test_of_equal_plans_the_one_that_changes_least_from_today_is_chosen() -> None:
    workers, demand = {ReplicaGroup("b", "k"): 2, ReplicaGroup("c", "k"): 2}, {("read", "a"): 4}
    for zone in "bc":
        today = {Flow("read", "a", ReplicaGroup(zone, "k")): F(4)}
        assert solve(base(workers, demand, current_flows=today), 0).flows == today


def test_verification_finds_each_broken_bound() -> None:
    p = base({ReplicaGroup("a", "k"): 1, ReplicaGroup("b", "k"): 1}, {("read", "a"): 3, ("write", "a"): 1})
    a, b = ReplicaGroup("a", "k"), ReplicaGroup("b", "k")
    none = frozenset[str]()
    assert not verification.find_violations(p, 0, none, {Flow("read", "a", a): F(2)})
    broken = (
        ({Flow("read", "a", a): F(2) + F(1, 10**9)}, "carries"),
        ({Flow("read", "a", a): F(2), Flow("read", "a", b): F(3, 2)}, "served"),
        ({Flow("write", "a", a): F(1)}, "not open"),
        ({Flow("read", "a", a): F(-1)}, "below"),
    )
    for flows, said in broken:
        assert any(said in str(x) for x in verification.find_violations(p, 0, none, flows))
    assert verification.find_violations(p, 0, frozenset({"a"}), {Flow("read", "a", a): F(1)})
    for price in (F(0), F(1), F(7)):  # any prices bound the gain from above
        assert (
            verification.calculate_upper_bound(p, 0, none, {a: price, b: price}) >= solve(p, 0).weighted_rate
        )


def test_a_plan_is_made_checked_and_rejected_when_it_no_longer_fits(tmp_path: Path) -> None:
    def run(*words: str) -> Result:
        return CliRunner().invoke(main, ["plan", *words])

    events, plan = tmp_path / "e.kdl", tmp_path / "p.json"
    events.write_text(EVENTS.read_text())
    made = run("make", str(events), "--out", str(plan))
    assert made.exit_code == 1 and "add 2 large-4c in" in made.output  # a loss leaves too little, and says so
    assert run("check", str(events), str(plan)).exit_code == 0 and run("show", str(plan)).exit_code == 0
    first = plan.read_bytes()
    found: CapacityPlan = msgspec.json.decode(first, type=CapacityPlan)
    assert len(found.cases) == 4 * 4 and found.starts_at == "2027-02-05T09:00:00+09:00"
    lines = EVENTS.read_text().splitlines(keepends=True)
    rest = [x for x in lines if x.startswith(("workers", "cross"))]
    events.write_text("".join([*(x for x in lines if x not in rest), *rest[::-1]]))
    assert run("make", str(events), "--out", str(plan)).exit_code == 1 and plan.read_bytes() == first
    events.write_text(EVENTS.read_text().replace("count=3", "count=2"))
    assert "fleet has changed" in run("check", str(events), str(plan)).output
    (event,) = read_events(EVENTS)
    case = found.cases[0]
    more = msgspec.structs.replace(case.served[0], rate_units=case.served[0].rate_units * 9)
    for bad, said in (
        (msgspec.structs.replace(found, version=2), "version 2"),
        (msgspec.structs.replace(found, starts_at="2027-02-06T09:00:00+09:00"), "made for"),
        (msgspec.structs.replace(found, cases=found.cases[1:]), "slot 0, lost none: missing"),
        (
            msgspec.structs.replace(
                found,
                cases=(msgspec.structs.replace(case, served=(more, *case.served[1:])), *found.cases[1:]),
            ),
            "served of",
        ),
        (
            msgspec.structs.replace(
                found, cases=(msgspec.structs.replace(case, served=case.served[1:]), *found.cases[1:])
            ),
            "falls short by another figure",
        ),
        (
            msgspec.structs.replace(
                found,
                cases=(
                    msgspec.structs.replace(
                        case,
                        served=(),
                        shortfalls=tuple(
                            Shortfall(*key, str(d[0])) for key, d in event.problem.demand.items()
                        ),
                    ),
                    *found.cases[1:],
                ),
            ),
            "less a second than it may",
        ),
    ):  # a shortfall truly told that need not be
        assert any(said in str(x) for x in check_plan(bad, event)), said
    plan.write_bytes(first[:200])
    cut = run("check", str(EVENTS), str(plan))
    assert cut.exit_code == 2 and "no plan" in cut.output


def test_a_solver_over_its_time_limit_is_reported_in_one_line(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(solving, "TIME_LIMIT_S", 0.0)
    told = CliRunner().invoke(main, ["plan", "make", str(EVENTS), "--out", str(tmp_path / "p.json")])
    assert told.exit_code == 2 and "no plan" in told.output and not (tmp_path / "p.json").exists()


def test_every_error_of_an_event_file_names_its_line_and_clock_changes_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "e.kdl"

    def faults(old: str, new: str) -> str:
        path.write_text(EVENTS.read_text().replace(old, new))
        with pytest.raises(SettingsError) as caught:
            read_events(path)
        return str(caught.value)

    assert "e.kdl:20: event" in faults('rates="20 30 40 20"', 'rates="20 30"')
    assert "expected rates from 0 up" in faults("rates=6", 'rates="6 x"')
    assert "expected rates from 0 up" in faults("rates=6", 'rates="1e99999999"')  # never ended
    assert "Asia/Tokyo" in faults('zone="Asia/Tokyo"', 'zone="Sapporo"')
    assert "local time without offset" in faults("T09:00", "T09:00+09:00")
    changed = 'begins="2027-03-28T02:30" zone="Europe/Berlin"'  # left out there that night
    assert "clock change" in faults('begins="2027-02-05T09:00" zone="Asia/Tokyo"', changed)
    assert "clock change" in faults(
        'begins="2027-02-05T09:00" zone="Asia/Tokyo"', 'begins="2027-10-31T02:30" zone="Europe/Berlin"'
    )  # there twice
    text = EVENTS.read_text()
    for m in re.finditer(r'\S+=("[^"]*"|\S+)', text):  # each figure left out: never a traceback
        path.write_text(text[: m.start()] + text[m.end() :])
        with contextlib.suppress(SettingsError):
            read_events(path)
    second = text[text.index('event "') :].replace("snow-festival", "late").replace("T09:00", "T11:00")
    path.write_text(text + second)
    with pytest.raises(SettingsError, match="snow-festival and late overlap"):
        read_events(path)
