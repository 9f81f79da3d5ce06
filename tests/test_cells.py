"""Cells: routes of tenants, settings of a placement, drains, and a governor with one policy per cell."""

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


def test_tenants_are_spread_evenly_over_the_cells() -> None:
    cells = tuple(f"c{n}" for n in range(8))

    counts = Counter(home_cell(f"inn{n}", cells, {}) for n in range(8_000))

    assert set(counts) == set(cells)
    assert max(counts.values()) < 1.15 * min(counts.values())


def test_an_exception_overrides_the_hash_of_a_tenant() -> None:
    assert home_cell("inn1", ("c0", "c1"), {"inn1": "c9"}) == "c9"


def test_a_request_class_has_a_separate_label_in_each_cell() -> None:
    assert class_label("c1", "write") == "c1/write"
    assert class_label("", "write") == "write"


@pytest.fixture
def settings_file(tmp_path: Path) -> Path:
    """Settings that refer to the placement file `p.json` in the same folder."""
    path = tmp_path / "s.kdl"
    text = EXAMPLE.read_text().replace("    probes", '    cells placement="p.json"\n    probes')
    path.write_text(text)
    (tmp_path / "p.json").write_bytes(b'{"cells":["a"],"workers":{"w":"a"}}')
    return path


def test_settings_contain_the_placement(settings_file: Path) -> None:
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
def test_settings_reject_an_invalid_placement(settings_file: Path, content: bytes, problem: str) -> None:
    settings_file.with_name("p.json").write_bytes(content)

    with pytest.raises(SettingsError) as caught:
        read_settings(settings_file)

    assert problem in str(caught.value)
    assert "fleet > cells > placement" in str(caught.value)


@pytest.mark.parametrize(
    ("node", "path"),
    [
        ("limits cell=0 tenant=1", "limits > cell"),
        ("limits cell=1", "limits > tenant"),
        ("limits cell=1 tenant=1 held=-1", "limits > held"),
        ("limits cell=1 tenant=1 rush=3", "limits"),
        ("door 3", "door"),
    ],
)
def test_errors_in_limits_contain_their_path(settings_file: Path, node: str, path: str) -> None:
    text = settings_file.read_text().replace('"p.json"', f'"p.json" {{\n {node}\n }}')
    settings_file.write_text(text)

    with pytest.raises(SettingsError) as caught:
        read_settings(settings_file)

    assert f"fleet > cells > {path}" in str(caught.value)
    assert "s.kdl:" in str(caught.value)


THREE_CELLS = CellPlacement(
    cells=("A", "B", "C"),
    cell_by_replica={"a": "A", "b1": "B", "b2": "B", "c": "C"},
    cell_by_tenant={f"t{n}": "A" for n in range(9)} | {"u": "B"},
)
MIGRATED = Migration(id="0", tenant="u", source="B", target="A", generation=2, step=MigrationStep.DONE)


def test_a_drain_distributes_tenants_by_the_number_of_replicas_in_the_other_cells() -> None:
    targets = plan_cell_drain("A", [], THREE_CELLS, ("A",))

    assert Counter(targets.values()) == {"B": 6, "C": 3}
    assert set(targets) == {f"t{n}" for n in range(9)}


def test_a_drain_includes_tenants_that_were_migrated_into_the_cell() -> None:
    assert "u" in plan_cell_drain("A", [MIGRATED], THREE_CELLS, ("A",))


def test_the_last_cell_that_takes_tenants_cannot_be_drained() -> None:
    with pytest.raises(ValueError, match="no other cell"):
        plan_cell_drain("A", [], THREE_CELLS, ("A", "B", "C"))


def test_a_migration_that_was_undone_is_not_pending() -> None:
    """When an undone migration counted as pending, a drain never ended."""
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
    settings = make_loopback_settings(tmp_path, 7000, 7101, THREE_CELLS)

    with pytest.raises(ValueError, match="cell B is draining"):
        create_migrations(tmp_path, settings, {"t1": "C", "t2": "B"})
    assert not load_migrations(tmp_path)  # the migration of t1 was not created either


def test_an_invalid_list_of_draining_cells_is_reported_with_its_file(tmp_path: Path) -> None:
    (tmp_path / "draining.json").write_bytes(b"[3]")

    with pytest.raises(ValueError, match="draining.json"):
        load_draining_cells(tmp_path)


def test_a_governor_with_twelve_cells_keeps_the_message_limit_of_each_proxy() -> None:
    fleet = fleet_with_cells(12, 20, 48)
    message_times: dict[str, list[int]] = {proxy.name: [] for proxy in fleet.proxies}
    put = fleet.core.publisher.channel.put

    def put_and_record(now: int, proxy: int, *rest: Any) -> str | None:
        rejection: str | None = put(now, proxy, *rest)
        if not rejection:
            message_times[fleet.core.identifiers.proxies.names[proxy]].append(now)
        return rejection

    fleet.core.publisher.channel.put = put_and_record  # type: ignore[method-assign,assignment]
    fleet.connect()
    fleet.run(4)
    labels = {class_label(f"c{n}", name) for n in range(12) for name in ("read", "write")}
    for proxy in fleet.proxies:
        assert labels <= set(proxy.state.table_by_class)
        assert proxy.state.routes is not None
        assert proxy.state.routes.cell_by_tenant == {"big": "c1"}
        assert set(proxy.state.weights_for("c3/read")) == {"w6", "w7", "w30", "w31"}
    fleet.update_endpoints(make_endpoint(7, "draining"), make_endpoint(30, "gone"), make_endpoint(99))
    fleet.run(3)  # the simulation checks the drain grace for the labels of all cells
    assert all(set(proxy.state.weights_for("c3/write")) == {"w6", "w31"} for proxy in fleet.proxies)
    assert any(
        event.name == "replica_ignored" and event.fields["replica"] == "w99"
        for event in fleet.core.log.pending
    )
    for n in range(30):
        fleet.update_endpoints(make_endpoint(n % 40 + 1, "ready" if n % 2 else "draining"))
        fleet.run(0.3)
    for times in message_times.values():
        assert all(sum(end - 10 * SECOND_US < time <= end for time in times) <= 20 for end in times)
    assert not any(event.name == "message_rejected" for event in fleet.core.log.pending)


def test_a_cell_without_ready_replicas_uses_no_replica_of_another_cell() -> None:
    """The cell's proxies then have no replica to choose.

    That does not violate rule 1 of the scenario checks, which applies only while a warm replica is open.
    """
    fleet = fleet_with_cells(3, 6, 12)
    fleet.connect()
    fleet.run(4)
    own = [n for n in range(12) if n // 2 % 3 == 1]
    before = {proxy.name: proxy.state.weights_for("c0/write") for proxy in fleet.proxies}
    fleet.update_endpoints(*(make_endpoint(n, "gone") for n in own))
    fleet.run(3)
    for proxy in fleet.proxies:
        assert not proxy.state.weights_for("c1/read")
        assert not proxy.state.weights_for("c1/write")
        assert set(proxy.state.weights_for("c0/write")) == set(before[proxy.name])
    fleet.update_endpoints(make_endpoint(own[0], "ready", boot_number=2, age_us=0))
    # The replica is used although it is not warmed up: otherwise the cell would have no replica to choose.
    fleet.run(8)
    assert all(set(proxy.state.weights_for("c1/write")) == {f"w{own[0]}"} for proxy in fleet.proxies)


def test_a_governor_with_a_split_placement_serves_the_new_cell_and_moves_no_tenant() -> None:
    fleet = fleet_with_cells(2, 4, 12)
    old = fleet.settings.fleet.placement
    assert old is not None
    names = [f"inn{n}" for n in range(200)]
    split_off = sorted(old.replicas_of("c0"))[:2]
    split = CellPlacement(
        cells=("c0", "c1", "new"),
        cell_by_replica={**old.cell_by_replica, **dict.fromkeys(split_off, "new")},
        cell_by_tenant=old.cell_by_tenant,
        cell_by_range=old.cells,
    )
    fleet_settings = dataclasses.replace(fleet.settings.fleet, placement=split)
    fleet.settings = dataclasses.replace(fleet.settings, fleet=fleet_settings)
    fleet.start_governor("split")
    fleet.connect()
    fleet.run(4)
    for proxy in fleet.proxies:
        routes = proxy.state.routes
        assert routes is not None
        homes = [home_cell(name, routes.cells, routes.cell_by_tenant) for name in names]
        assert homes == [old.home_cell(name) for name in names]
        assert set(proxy.state.weights_for("new/write")) == set(split_off)
        assert set(proxy.state.weights_for("c0/write")) == set(old.replicas_of("c0")) - set(split_off)
    fleet.core.handle_migration("inn3", "new", 2)
    fleet.run(2)
    for proxy in fleet.proxies:
        routes = proxy.state.routes
        assert routes is not None
        assert home_cell("inn3", routes.cells, routes.cell_by_tenant) == "new"
        assert routes.generations["inn3"] == 2
        assert home_cell("inn4", routes.cells, routes.cell_by_tenant) == old.home_cell("inn4")
