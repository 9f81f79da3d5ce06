"""Cells: placement and its faults, routes, limits at the door, and a governor with a module for each."""

from __future__ import annotations

import dataclasses
import random
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.cells.placement import Placement, PlacementRequirements, Replica, Tenant, plan_placement
from gradehoist.cells.rate_limits import RateLimiter, RateLimits
from gradehoist.cells.routes import class_label, home_cell
from gradehoist.cli.main import main
from gradehoist.migration.runner import (
    create_migrations,
    load_draining_cells,
    load_migrations,
    pending_migrations,
    plan_cell_drain,
    save_draining_cells,
)
from gradehoist.settings.fleet import CellPlacement
from gradehoist.settings.fleet_parser import read_settings as settings_of
from gradehoist.settings.reader import SettingsError
from tests.support.governed_fleet import SECOND, World, entry, on_sockets

ZONES = ("x", "y", "z")


def fleet(workers: int, tenants: int, seed: int = 1) -> tuple[list[Tenant], list[Replica]]:
    dice = random.Random(seed)
    crew = [Replica(f"w{n}", ZONES[n % 3], "k", dice.uniform(0.5, 1.5)) for n in range(workers)]
    part = 0.5 * sum(w.capacity for w in crew) / tenants
    return [Tenant(f"t{n}", part * dice.uniform(0.2, 1.8)) for n in range(tenants)], crew


def loads(p: Placement, tenants: list[Tenant]) -> Counter[int]:
    out: Counter[int] = Counter()
    for t in tenants:
        out[p.tenants[t.name]] += t.demand  # type: ignore[assignment]
    return out


def test_cells_are_balanced_and_stand_in_every_zone_they_can() -> None:
    tenants, crew = fleet(60, 600)
    found = plan_placement(tenants, crew, PlacementRequirements(10, 4, 3))
    assert not found.unmet_requirements and len(found.replicas) == 60 and len(found.tenants) == 600
    for cell in range(10):
        here = [w for w in crew if found.replicas[w.name] == cell]
        assert {w.zone for w in here} == set(ZONES) and len(here) >= 4
    shares = [
        load / sum(w.capacity for w in crew if found.replicas[w.name] == c)
        for c, load in loads(found, tenants).items()
    ]
    assert max(shares) / min(shares) < 1.05


@settings(deadline=None, max_examples=40)
@given(st.integers(0, 10**6), st.integers(2, 6), st.integers(10, 40))
def test_churn_stays_under_the_bound_and_order_does_not_show(seed: int, cells: int, workers: int) -> None:
    tenants, crew = fleet(workers, 60, seed)
    wanted = PlacementRequirements(cells, 2, 2)
    first = plan_placement(tenants, crew, wanted)
    dice = random.Random(seed)
    mixed = plan_placement(dice.sample(tenants, len(tenants)), dice.sample(crew, len(crew)), wanted)
    assert mixed == first
    assert plan_placement(tenants, crew, wanted, first) == first  # nothing moves without a cause
    more = plan_placement(tenants, [*crew, Replica("new", "x", "k", 1.0)], wanted, first)
    assert all(more.replicas[w] == c for w, c in first.replicas.items()) and more.tenants == first.tenants
    gone = dice.choice(crew)
    if workers > 2 * cells + 2:
        less = plan_placement(tenants, [w for w in crew if w is not gone], wanted, first)
        assert sum(less.replicas[w] != first.replicas[w] for w in less.replicas) <= 1
        left = {t.name: t.demand for t in tenants if less.tenants[t.name] != first.tenants[t.name]}
        assert {first.tenants[t] for t in left} <= {
            first.replicas[gone.name],
            *(first.replicas[w] for w in less.replicas if less.replicas[w] != first.replicas[w]),
        }


def test_most_tenants_live_where_their_hash_says() -> None:
    tenants, crew = fleet(500, 10_000)
    found = plan_placement(tenants, crew, PlacementRequirements(100, 4, 3))
    strayed = [t for t, c in found.tenants.items() if c != home_cell(t, range(100), {})]
    assert len(strayed) < 800  # relays are told of these alone
    shares = [
        load / sum(w.capacity for w in crew if found.replicas[w.name] == c)
        for c, load in loads(found, tenants).items()
    ]
    assert max(shares) / min(shares) < 1.05


def test_the_odd_workers_of_each_zone_do_not_gather_in_one_cell() -> None:
    crew = [Replica(f"w{n}", ZONES[n % 3], "k", 1 + n % 5 / 100) for n in range(12)]
    found = plan_placement([Tenant("t", 1.0)], crew, PlacementRequirements(3, 2, 2))
    assert sorted(Counter(found.replicas.values()).values()) == [4, 4, 4]


def test_routes_are_even_and_exceptions_hold() -> None:
    cells = tuple(f"c{n}" for n in range(8))
    found = Counter(home_cell(f"inn{n}", cells, {}) for n in range(8_000))
    assert set(found) == set(cells) and max(found.values()) < 1.15 * min(found.values())
    assert home_cell("inn1", cells, {"inn1": "c9"}) == "c9"
    assert class_label("c1", "write") == "c1/write" and class_label("", "write") == "write"


def test_a_flood_is_refused_at_the_door_of_its_cell_and_what_was_lent_comes_back() -> None:
    door, let = RateLimiter(RateLimits(cell=10.0, tenant=2.0, burst=2.0)), Counter[str]()
    for tick in range(20_000):  # 20 s; the flood alone at first, then two owners at their rate
        now = tick * 1_000
        if tick % 5 == 0:
            no = door.admit(now, "flood", "a")
            let["flood", tick >= 10_000] += no is None  # type: ignore[index]
            assert no is None or (no.retry_after_us > 0 and "rate" in no.reason)
        if tick >= 10_000 and tick % 500 == 0:
            let["owner"] += door.admit(now, "one", "a") is None
            let["owner"] += door.admit(now, "two", "a") is None
        if tick % 500 == 0:
            let["other"] += door.admit(now, "three", "b") is None
    assert let["owner"] == 40 and let["other"] == 40  # none of theirs was refused, in its cell or another
    assert 95 <= let["flood", False] <= 125 and 55 <= let["flood", True] <= 70  # type: ignore[index]


def test_a_tenant_may_hold_so_many_and_made_up_names_cost_no_memory() -> None:
    door = RateLimiter(RateLimits(cell=1e6, tenant=1e6, held=2))
    assert [door.admit(0, "t", "a") is None for _ in range(3)] == [True, True, False]
    door.finish("t", "a")
    assert door.admit(0, "t", "a") is None
    door = RateLimiter(RateLimits(cell=1e6, tenant=1e6, cell_held=3))
    assert [door.admit(0, f"t{n}", "a") is None for n in range(4)] == [True, True, True, False]
    assert door.admit(0, "t9", "b") is None  # the other cell does not feel it
    door.finish("t1", "a")
    assert door.admit(0, "t7", "a") is None
    door = RateLimiter(RateLimits(cell=1e6, tenant=5.0))
    for n in range(30_000):
        door.admit(n * 1_000, f"made-up-{n}", "a")
        door.finish(f"made-up-{n}", "a")
    assert len(door._tenants) <= door.MAX_TENANTS + 1 and not door.tenant_in_flight
    door = RateLimiter(RateLimits(cell=10.0, tenant=2.0, burst=2.0))
    assert door.admit(0, "busy", "a") is None
    for n in range(2 * door.MAX_TENANTS):  # nearly all refused, and all at once: none has a full bucket yet
        if door.admit(0, f"refused-{n}", "a") is None:
            door.finish(f"refused-{n}", "a")
    assert (
        len(door._tenants) == door.MAX_TENANTS
        and "busy" in door._tenants
        and door.tenant_in_flight == {"busy": 1}
    )


def world(cells: int, relays: int, workers: int, queue: int = 40_000, rate: int = 20_000) -> World:
    found = World(relays=relays, replicas=workers, queue=queue, rate=rate)
    names = tuple(f"c{n}" for n in range(cells))
    placed = CellPlacement(names, {f"w{n}": names[n // 2 % cells] for n in range(workers)}, {"big": "c1"})
    fleet = dataclasses.replace(found.settings.fleet, placement=placed)
    found.settings = dataclasses.replace(found.settings, fleet=fleet)
    found.begin("cells")
    return found


def test_a_governor_with_twelve_cells_keeps_to_the_messages_a_relay_may_get() -> None:
    found = world(12, 20, 48)
    stamps: dict[str, list[int]] = {r.name: [] for r in found.relays}
    put = found.core.publisher.channel.put

    def counted(now: int, proxy: int, *rest: Any) -> str | None:
        said = put(now, proxy, *rest)
        if not said:
            stamps[found.core.identifiers.proxies.names[proxy]].append(now)
        return said

    found.core.publisher.channel.put = counted  # type: ignore[method-assign,assignment]
    found.dial()
    found.run(4)
    labels = {class_label(f"c{n}", c) for n in range(12) for c in ("read", "write")}
    for relay in found.relays:
        assert labels <= set(relay.holdings.table_by_class)
        assert relay.holdings.routes and relay.holdings.routes.cell_by_tenant == {"big": "c1"}
        assert set(relay.holdings.weights_for("c3/read")) == {"w6", "w7", "w30", "w31"}
    found.list(entry(7, "draining"), entry(30, "gone"), entry(99))
    found.run(3)  # the world checks the grace over the labels of every cell
    assert all(set(r.holdings.weights_for("c3/write")) == {"w6", "w31"} for r in found.relays)
    assert any(x.name == "replica_ignored" and x.fields["replica"] == "w99" for x in found.core.log.pending)
    for n in range(30):
        found.list(entry(n % 40 + 1, "ready" if n % 2 else "draining"))
        found.run(0.3)
    for times in stamps.values():
        assert all(sum(t - 10 * SECOND < x <= t for x in times) <= 20 for t in times)
    assert not any(x.name == "message_rejected" for x in found.core.log.pending)


def test_what_cannot_be_had_is_said_by_name() -> None:
    tenants, crew = fleet(12, 20)
    giant = Tenant("giant", 99.0)
    faults = plan_placement([*tenants, giant], crew, PlacementRequirements(3, 2, 2)).unmet_requirements
    assert any("tenant giant asks for 99" in f and "split it" in f for f in faults)
    assert any("carries" in f and "room for" in f for f in faults)
    faults = plan_placement(
        tenants, [Replica(f"w{n}", "x", "k", 1.0) for n in range(6)], PlacementRequirements(3, 2, 2)
    ).unmet_requirements
    assert len([f for f in faults if "in 1 zones; 2 in 2 are wanted" in f]) == 3
    large = [Tenant("large", 2.0), Tenant("small", 0.1)]
    assert any(
        "over 50%" in f for f in plan_placement(large, crew, PlacementRequirements(3)).unmet_requirements
    )
    for bad in ([crew[0], *crew], crew[:2]):
        with pytest.raises(ValueError):
            plan_placement(tenants, bad, PlacementRequirements(3))
    with pytest.raises(ValueError, match="tenant is named twice"):
        plan_placement([tenants[0], *tenants], crew, PlacementRequirements(3))


def test_with_a_zone_to_lose_less_is_put_into_each_cell() -> None:
    tenants, crew = fleet(30, 100)
    assert not plan_placement(tenants, crew, PlacementRequirements(5, 3, 3)).unmet_requirements
    more = [Tenant(t.name, t.demand * 1.3) for t in tenants]
    faults = plan_placement(
        more, crew, PlacementRequirements(5, 3, 3, survives_zone_loss=True)
    ).unmet_requirements
    assert faults and all("room for" in f for f in faults)


def test_a_placement_is_made_kept_and_shown_from_the_command_line(tmp_path: Path) -> None:
    tenants, workers, out = tmp_path / "t.csv", tmp_path / "w.csv", tmp_path / "p.json"
    tenants.write_text("tenant,demand\n" + "".join(f"inn{n},0.1\n" for n in range(20)))
    workers.write_text("worker,zone,kind,size\n" + "".join(f"w{n},{ZONES[n % 3]},k,1\n" for n in range(9)))

    def run(*more: str) -> Result:
        words = ["cells", "place", str(tenants), str(workers), "--out", str(out), *more]
        return CliRunner().invoke(main, words)

    assert run("--cells", "3").exit_code == 0
    first = out.read_bytes()
    assert run("--cells", "3", "--before", str(out)).exit_code == 0 and out.read_bytes() == first
    shown = CliRunner().invoke(main, ["cells", "show", str(out)])
    assert shown.exit_code == 0 and "c2" in shown.output and "w8" in shown.output
    hungry = run("--cells", "3", "--least-workers", "5")
    assert hungry.exit_code == 1 and "5 in 1 are wanted" in hungry.output
    kept = out.read_bytes()
    tenants.write_text("tenant,demand\ninn1,-4\n")
    bad = run("--cells", "3")
    assert bad.exit_code == 2 and "t.csv:2: demand" in bad.output and out.read_bytes() == kept
    tenants.write_text("name,demand\n")
    assert "no column tenant" in run("--cells", "3").output
    assert CliRunner().invoke(main, ["cells", "show", str(tenants)]).exit_code == 2


def test_settings_refuse_a_placement_that_cannot_stand(tmp_path: Path) -> None:
    text = (Path(__file__).parent.parent / "deploy" / "example.kdl").read_text()
    path, placed = tmp_path / "s.kdl", tmp_path / "p.json"
    path.write_text(text.replace("    probes", '    cells placement="p.json"\n    probes'))
    for content, said in (
        (b"", "is no placement"),
        (b'{"cells":["a"],"workers":{"w":"b"}}', "does not list: b"),
        (b'{"cells":["a","b"],"workers":{"w":"b"}}', "cells without workers: a"),
    ):
        placed.write_bytes(content)
        with pytest.raises(SettingsError) as caught:
            settings_of(path)
        assert said in str(caught.value) and "fleet > cells > placement" in str(caught.value)
    good = path.read_text()
    placed.write_bytes(b'{"cells":["a"],"workers":{"w":"a"}}')
    for inside, where in (
        ("limits cell=0 tenant=1", "limits > cell"),
        ("limits cell=1", "limits > tenant"),
        ("limits cell=1 tenant=1 held=-1", "limits > held"),
        ("limits cell=1 tenant=1 rush=3", "limits"),
        ("door 3", "door"),
    ):
        path.write_text(good.replace('"p.json"', f'"p.json" {{\n {inside}\n }}'))
        with pytest.raises(SettingsError) as caught:
            settings_of(path)
        assert f"fleet > cells > {where}" in str(caught.value) and "s.kdl:" in str(caught.value)
    path.write_text(good)
    placed.write_bytes(b'{"cells":["a"],"workers":{"w":"a"}}')
    assert settings_of(path).fleet.placement == CellPlacement(("a",), {"w": "a"}, {})


def test_a_cell_without_a_worker_stays_without_and_borrows_from_no_other() -> None:
    """The border holds: with none of its own ready there is nothing to pick, and rule 1 does not run."""
    found = world(3, 6, 12)
    found.dial()
    found.run(4)
    mine = [n for n in range(12) if n // 2 % 3 == 1]
    before = {r.name: r.holdings.weights_for("c0/write") for r in found.relays}
    found.list(*(entry(n, "gone") for n in mine))
    found.run(3)
    for relay in found.relays:
        assert not relay.holdings.weights_for("c1/read") and not relay.holdings.weights_for("c1/write")
        assert set(relay.holdings.weights_for("c0/write")) == set(before[relay.name])
    found.list(entry(mine[0], "ready", boot=2, age=0))
    found.run(8)  # back cold: alone in its cell it is taken all the same, or the cell would stay bare
    assert all(set(r.holdings.weights_for("c1/write")) == {f"w{mine[0]}"} for r in found.relays)


def test_a_drained_cell_s_tenants_are_dealt_evenly_and_none_may_move_in(tmp_path: Path) -> None:
    placed = CellPlacement(
        ("A", "B", "C"),
        {"a": "A", "b1": "B", "b2": "B", "c": "C"},
        {f"t{n}": "A" for n in range(9)} | {"u": "B"},
    )
    there = plan_cell_drain("A", [], placed, ("A",))
    assert Counter(there.values()) == {"B": 6, "C": 3} and set(there) == {f"t{n}" for n in range(9)}
    done = Migration("0", "u", "B", "A", 2, MigrationStep.DONE)
    assert "u" in plan_cell_drain("A", [done], placed, ("A",))
    with pytest.raises(ValueError, match="no other cell"):
        plan_cell_drain("A", [], placed, ("A", "B", "C"))
    undone = [
        Migration("0", "t0", "A", "B", 2),
        Migration("0-undo", "t0", "B", "A", 3, MigrationStep.DONE, undone=True),
    ]
    assert not pending_migrations(undone)  # taken for one on its way, it kept a drain going round for ever
    save_draining_cells(tmp_path, ("B",))
    assert load_draining_cells(tmp_path) == ("B",)
    site = on_sockets(tmp_path, 7000, 7101, placed)
    with pytest.raises(ValueError, match="cell B is draining"):
        create_migrations(tmp_path, site, {"t1": "C", "t2": "B"})
    assert not load_migrations(tmp_path)  # none of them was begun
    (tmp_path / "draining.json").write_bytes(b"[3]")
    with pytest.raises(ValueError, match="draining.json"):
        load_draining_cells(tmp_path)


def test_a_split_deals_workers_and_leaves_every_tenant_where_it_is(tmp_path: Path) -> None:
    workers, old, new = tmp_path / "w.csv", tmp_path / "p.json", tmp_path / "q.json"
    workers.write_text("worker,zone,kind,size\n" + "".join(f"w{n},{ZONES[n % 3]},k,1\n" for n in range(12)))
    placed = CellPlacement(("a", "b"), {f"w{n}": "ab"[n // 6] for n in range(12)}, {"inn": "a"})
    old.write_bytes(msgspec.json.encode(placed))

    def split(cell: str, into: str) -> Result:
        return CliRunner().invoke(
            main, ["cells", "split", str(old), str(workers), cell, "--into", into, "--out", str(new)]
        )

    assert split("b", "c").exit_code == 0
    found: CellPlacement = msgspec.json.decode(new.read_bytes(), type=CellPlacement)
    assert found.cells == ("a", "b", "c") and len(found.replicas_of("b")) == len(found.replicas_of("c")) == 3
    for cell in "bc":
        assert {int(w[1:]) % 3 for w in found.replicas_of(cell)} == {0, 1, 2}  # each half in every zone
    names = [f"inn{n}" for n in range(500)]
    assert [found.home_cell(t) for t in names] == [placed.home_cell(t) for t in names]
    assert split("x", "c").exit_code == 2 and split("b", "a").exit_code == 2
    workers.write_text("worker,zone,kind,size\nw7,x,k,1\n")
    assert "names 1 of the 6 workers of b" in split("b", "c").output


def test_a_governor_started_with_a_split_placement_serves_the_new_cell_and_moves_none_by_itself() -> None:
    found = world(2, 4, 12)
    old = found.settings.fleet.placement
    assert old is not None
    names = [f"inn{n}" for n in range(200)]
    go = sorted(old.replicas_of("c0"))[:2]
    split = CellPlacement(
        ("c0", "c1", "new"),
        {**old.cell_by_replica, **dict.fromkeys(go, "new")},
        old.cell_by_tenant,
        old.cells,
    )
    found.settings = dataclasses.replace(
        found.settings, fleet=dataclasses.replace(found.settings.fleet, placement=split)
    )
    found.begin("split")
    found.dial()
    found.run(4)
    for relay in found.relays:
        assert (route := relay.holdings.routes) is not None
        assert [home_cell(t, route.cells, route.cell_by_tenant) for t in names] == [
            old.home_cell(t) for t in names
        ]
        assert set(relay.holdings.weights_for("new/write")) == set(go)
        assert set(relay.holdings.weights_for("c0/write")) == set(old.replicas_of("c0")) - set(go)
    found.core.handle_migration("inn3", "new", 2)
    found.run(2)
    for relay in found.relays:
        assert (route := relay.holdings.routes) and home_cell(
            "inn3", route.cells, route.cell_by_tenant
        ) == "new"
        assert route.generations["inn3"] == 2 and home_cell(
            "inn4", route.cells, route.cell_by_tenant
        ) == old.home_cell("inn4")
