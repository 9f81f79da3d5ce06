"""Placement of workers and tenants in cells: balance, stability, faults said plainly."""

from __future__ import annotations

import random
from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.cells.assign import Placement, Tenant, Wanted, Worker, place

ZONES = ("x", "y", "z")


def fleet(workers: int, tenants: int, seed: int = 1) -> tuple[list[Tenant], list[Worker]]:
    dice = random.Random(seed)
    crew = [Worker(f"w{n}", ZONES[n % 3], "k", dice.uniform(0.5, 1.5)) for n in range(workers)]
    part = 0.5 * sum(w.size for w in crew) / tenants
    return [Tenant(f"t{n}", part * dice.uniform(0.2, 1.8)) for n in range(tenants)], crew


def loads(p: Placement, tenants: list[Tenant]) -> Counter[int]:
    out: Counter[int] = Counter()
    for t in tenants:
        out[p.tenants[t.name]] += t.demand  # type: ignore[assignment]
    return out


def test_cells_are_balanced_and_stand_in_every_zone_they_can() -> None:
    tenants, crew = fleet(60, 600)
    found = place(tenants, crew, Wanted(10, 4, 3))
    assert not found.faults and len(found.workers) == 60 and len(found.tenants) == 600
    for cell in range(10):
        here = [w for w in crew if found.workers[w.name] == cell]
        assert {w.zone for w in here} == set(ZONES) and len(here) >= 4
    shares = [load / sum(w.size for w in crew if found.workers[w.name] == c)
              for c, load in loads(found, tenants).items()]
    assert max(shares) / min(shares) < 1.05


@settings(deadline=None, max_examples=40)
@given(st.integers(0, 10**6), st.integers(2, 6), st.integers(10, 40))
def test_churn_stays_under_the_bound_and_order_does_not_show(seed: int, cells: int, workers: int) -> None:
    tenants, crew = fleet(workers, 60, seed)
    wanted = Wanted(cells, 2, 2)
    first = place(tenants, crew, wanted)
    dice = random.Random(seed)
    mixed = place(dice.sample(tenants, len(tenants)), dice.sample(crew, len(crew)), wanted)
    assert mixed == first
    assert place(tenants, crew, wanted, first) == first  # nothing moves without a cause
    more = place(tenants, [*crew, Worker("new", "x", "k", 1.0)], wanted, first)
    assert all(more.workers[w] == c for w, c in first.workers.items()) and more.tenants == first.tenants
    gone = dice.choice(crew)
    if workers > 2 * cells + 2:
        less = place(tenants, [w for w in crew if w is not gone], wanted, first)
        assert sum(less.workers[w] != first.workers[w] for w in less.workers) <= 1
        left = {t.name: t.demand for t in tenants if less.tenants[t.name] != first.tenants[t.name]}
        assert {first.tenants[t] for t in left} <= {first.workers[gone.name],
                                                     *(first.workers[w] for w in less.workers
                                                       if less.workers[w] != first.workers[w])}


def test_what_cannot_be_had_is_said_by_name() -> None:
    tenants, crew = fleet(12, 20)
    giant = Tenant("giant", 99.0)
    faults = place([*tenants, giant], crew, Wanted(3, 2, 2)).faults
    assert any("tenant giant asks for 99" in f and "split it" in f for f in faults)
    assert any("carries" in f and "room for" in f for f in faults)
    faults = place(tenants, [Worker(f"w{n}", "x", "k", 1.0) for n in range(6)], Wanted(3, 2, 2)).faults
    assert len([f for f in faults if "in 1 zones; 2 in 2 are wanted" in f]) == 3
    large = [Tenant("large", 2.0), Tenant("small", 0.1)]
    assert any("over 50%" in f for f in place(large, crew, Wanted(3)).faults)
    for bad in ([crew[0], *crew], crew[:2]):
        with pytest.raises(ValueError):
            place(tenants, bad, Wanted(3))
    with pytest.raises(ValueError, match="tenant is named twice"):
        place([tenants[0], *tenants], crew, Wanted(3))


def test_with_a_zone_to_lose_less_is_put_into_each_cell() -> None:
    tenants, crew = fleet(30, 100)
    assert not place(tenants, crew, Wanted(5, 3, 3)).faults
    more = [Tenant(t.name, t.demand * 1.3) for t in tenants]
    faults = place(more, crew, Wanted(5, 3, 3, lose_zone=True)).faults
    assert faults and all("room for" in f for f in faults)
