"""Cells: routes to them, settings of a placement, drains, and a governor with a policy for each."""

from __future__ import annotations

import dataclasses
from collections import Counter
from pathlib import Path
from typing import Any

import pytest

from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.cells.routes import class_label, home_cell
from gradehoist.migration.planning import create_migrations, pending_migrations, plan_cell_drain
from gradehoist.migration.records import load_draining_cells, load_migrations, save_draining_cells
from gradehoist.settings.fleet import CellPlacement
from gradehoist.settings.fleet_parser import read_settings
from gradehoist.settings.reader import SettingsError
from tests.support.cell_fleet import fleet_with_cells
from tests.support.governed_fleet import SECOND_US, make_endpoint, make_loopback_settings

EXAMPLE = Path(__file__).parent.parent / "deploy" / "example.kdl"


def test_routes_are_even() -> None:
    cells = tuple(f"c{n}" for n in range(8))

    found = Counter(home_cell(f"inn{n}", cells, {}) for n in range(8_000))

    assert set(found) == set(cells)
    assert max(found.values()) < 1.15 * min(found.values())


def test_an_exception_overrides_the_route() -> None:
    assert home_cell("inn1", ("c0", "c1"), {"inn1": "c9"}) == "c9"


def test_a_class_has_a_label_of_its_own_in_each_cell() -> None:
    assert class_label("c1", "write") == "c1/write"
    assert class_label("", "write") == "write"


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    """Settings that name the placement file `p.json` beside them."""
    path = tmp_path / "s.kdl"
    text = EXAMPLE.read_text().replace("    probes", '    cells placement="p.json"\n    probes')
    path.write_text(text)
    (tmp_path / "p.json").write_bytes(b'{"cells":["a"],"workers":{"w":"a"}}')
    return path


def test_settings_take_a_placement(settings_file: Path) -> None:
    expected = CellPlacement(cells=("a",), cell_by_replica={"w": "a"}, cell_by_tenant={})

    assert read_settings(settings_file).fleet.placement == expected


@pytest.mark.parametrize(
    ("content", "problem"),
    [
        (b"", "is not a placement"),
        (b'{"cells":["a"],"workers":{"w":"b"}}', "does not list: b"),
        (b'{"cells":["a","b"],"workers":{"w":"b"}}', "cells without workers: a"),
    ],
    ids=["empty", "unknown cell", "empty cell"],
)
def test_settings_reject_a_placement_that_cannot_stand(
    settings_file: Path, content: bytes, problem: str
) -> None:
    settings_file.with_name("p.json").write_bytes(content)

    with pytest.raises(SettingsError) as caught:
        read_settings(settings_file)

    assert problem in str(caught.value)
    assert "fleet > cells > placement" in str(caught.value)


@pytest.mark.parametrize(
    ("inside", "place"),
    [
        ("limits cell=0 tenant=1", "limits > cell"),
        ("limits cell=1", "limits > tenant"),
        ("limits cell=1 tenant=1 held=-1", "limits > held"),
        ("limits cell=1 tenant=1 rush=3", "limits"),
        ("door 3", "door"),
    ],
)
def test_settings_reject_limits_with_their_place(settings_file: Path, inside: str, place: str) -> None:
    text = settings_file.read_text().replace('"p.json"', f'"p.json" {{\n {inside}\n }}')
    settings_file.write_text(text)

    with pytest.raises(SettingsError) as caught:
        read_settings(settings_file)

    assert f"fleet > cells > {place}" in str(caught.value)
    assert "s.kdl:" in str(caught.value)


DRAINED = CellPlacement(
    cells=("A", "B", "C"),
    cell_by_replica={"a": "A", "b1": "B", "b2": "B", "c": "C"},
    cell_by_tenant={f"t{n}": "A" for n in range(9)} | {"u": "B"},
)
MIGRATED = Migration(id="0", tenant="u", source="B", target="A", generation=2, step=MigrationStep.DONE)


def test_a_drained_cell_s_tenants_go_to_the_others_by_their_replicas() -> None:
    targets = plan_cell_drain("A", [], DRAINED, ("A",))

    assert Counter(targets.values()) == {"B": 6, "C": 3}
    assert set(targets) == {f"t{n}" for n in range(9)}


def test_a_tenant_that_was_migrated_into_a_drained_cell_leaves_it_too() -> None:
    assert "u" in plan_cell_drain("A", [MIGRATED], DRAINED, ("A",))


def test_the_last_cell_that_takes_tenants_is_not_drained() -> None:
    with pytest.raises(ValueError, match="no other cell"):
        plan_cell_drain("A", [], DRAINED, ("A", "B", "C"))


def test_a_migration_that_was_undone_is_not_pending() -> None:
    """Taken for one on its way, it kept a drain going round for ever."""
    undone = [
        Migration(id="0", tenant="t0", source="A", target="B", generation=2),
        Migration(
            id="0-undo",
            tenant="t0",
            source="B",
            target="A",
            generation=3,
            step=MigrationStep.DONE,
            is_undo=True,
        ),
    ]

    assert not pending_migrations(undone)


def test_no_tenant_is_migrated_into_a_draining_cell(tmp_path: Path) -> None:
    save_draining_cells(tmp_path, ("B",))
    assert load_draining_cells(tmp_path) == ("B",)
    settings = make_loopback_settings(tmp_path, 7000, 7101, DRAINED)

    with pytest.raises(ValueError, match="cell B is draining"):
        create_migrations(tmp_path, settings, {"t1": "C", "t2": "B"})
    assert not load_migrations(tmp_path)  # none of them was begun


def test_a_file_that_is_no_list_of_cells_is_named(tmp_path: Path) -> None:
    (tmp_path / "draining.json").write_bytes(b"[3]")

    with pytest.raises(ValueError, match="draining.json"):
        load_draining_cells(tmp_path)


def test_a_governor_with_twelve_cells_keeps_to_the_messages_a_proxy_may_get() -> None:
    found = fleet_with_cells(12, 20, 48)
    stamps: dict[str, list[int]] = {r.name: [] for r in found.proxies}
    put = found.core.publisher.channel.put

    def counted(now: int, proxy: int, *rest: Any) -> str | None:
        rejection: str | None = put(now, proxy, *rest)
        if not rejection:
            stamps[found.core.identifiers.proxies.names[proxy]].append(now)
        return rejection

    found.core.publisher.channel.put = counted  # type: ignore[method-assign,assignment]
    found.connect()
    found.run(4)
    labels = {class_label(f"c{n}", c) for n in range(12) for c in ("read", "write")}
    for relay in found.proxies:
        assert labels <= set(relay.state.table_by_class)
        assert relay.state.routes is not None
        assert relay.state.routes.cell_by_tenant == {"big": "c1"}
        assert set(relay.state.weights_for("c3/read")) == {"w6", "w7", "w30", "w31"}
    found.update_endpoints(make_endpoint(7, "draining"), make_endpoint(30, "gone"), make_endpoint(99))
    found.run(3)  # the simulation checks the grace over the labels of every cell
    assert all(set(r.state.weights_for("c3/write")) == {"w6", "w31"} for r in found.proxies)
    assert any(x.name == "replica_ignored" and x.fields["replica"] == "w99" for x in found.core.log.pending)
    for n in range(30):
        found.update_endpoints(make_endpoint(n % 40 + 1, "ready" if n % 2 else "draining"))
        found.run(0.3)
    for times in stamps.values():
        assert all(sum(t - 10 * SECOND_US < x <= t for x in times) <= 20 for t in times)
    assert not any(x.name == "message_rejected" for x in found.core.log.pending)


def test_a_cell_without_a_replica_stays_without_and_borrows_from_no_other() -> None:
    """The border holds: with none of its own ready there is nothing to pick, and rule 1 does not run."""
    found = fleet_with_cells(3, 6, 12)
    found.connect()
    found.run(4)
    own = [n for n in range(12) if n // 2 % 3 == 1]
    before = {r.name: r.state.weights_for("c0/write") for r in found.proxies}
    found.update_endpoints(*(make_endpoint(n, "gone") for n in own))
    found.run(3)
    for relay in found.proxies:
        assert not relay.state.weights_for("c1/read")
        assert not relay.state.weights_for("c1/write")
        assert set(relay.state.weights_for("c0/write")) == set(before[relay.name])
    found.update_endpoints(make_endpoint(own[0], "ready", boot_number=2, age_us=0))
    found.run(8)  # back cold: alone in its cell it is used all the same, or the cell would stay unroutable
    assert all(set(r.state.weights_for("c1/write")) == {f"w{own[0]}"} for r in found.proxies)


def test_a_governor_with_a_split_placement_serves_the_new_cell_and_moves_no_tenant() -> None:
    found = fleet_with_cells(2, 4, 12)
    old = found.settings.fleet.placement
    assert old is not None
    names = [f"inn{n}" for n in range(200)]
    split_off = sorted(old.replicas_of("c0"))[:2]
    split = CellPlacement(
        cells=("c0", "c1", "new"),
        cell_by_replica={**old.cell_by_replica, **dict.fromkeys(split_off, "new")},
        cell_by_tenant=old.cell_by_tenant,
        cell_by_range=old.cells,
    )
    fleet = dataclasses.replace(found.settings.fleet, placement=split)
    found.settings = dataclasses.replace(found.settings, fleet=fleet)
    found.start_governor("split")
    found.connect()
    found.run(4)
    for relay in found.proxies:
        routes = relay.state.routes
        assert routes is not None
        homes = [home_cell(name, routes.cells, routes.cell_by_tenant) for name in names]
        assert homes == [old.home_cell(name) for name in names]
        assert set(relay.state.weights_for("new/write")) == set(split_off)
        assert set(relay.state.weights_for("c0/write")) == set(old.replicas_of("c0")) - set(split_off)
    found.core.handle_migration("inn3", "new", 2)
    found.run(2)
    for relay in found.proxies:
        routes = relay.state.routes
        assert routes is not None
        assert home_cell("inn3", routes.cells, routes.cell_by_tenant) == "new"
        assert routes.generations["inn3"] == 2
        assert home_cell("inn4", routes.cells, routes.cell_by_tenant) == old.home_cell("inn4")
