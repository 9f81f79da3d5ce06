"""Placement of replicas and tenants in cells: balance, churn, unmet requirements, and the command line."""

from __future__ import annotations

import random
from collections import Counter, defaultdict
from collections.abc import Sequence
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner, Result
from hypothesis import given, settings
from hypothesis import strategies as st

from gradehoist.cells.placement import Placement, PlacementRequirements, Replica, Tenant
from gradehoist.cells.placement_planner import plan_placement
from gradehoist.cells.routes import home_cell
from gradehoist.cli.main import main
from gradehoist.settings.fleet import CellPlacement

ZONES = ("x", "y", "z")
THREE_CELLS = PlacementRequirements(cell_count=3, min_replicas=2, min_zones=2)


def make_replicas(count: int, generator: random.Random) -> list[Replica]:
    return [
        Replica(name=f"w{n}", zone=ZONES[n % 3], kind="k", capacity=generator.uniform(0.5, 1.5))
        for n in range(count)
    ]


def make_fleet(replica_count: int, tenant_count: int, seed: int = 1) -> tuple[list[Tenant], list[Replica]]:
    """Returns replicas, and tenants whose demand is half of the replicas' capacity."""
    generator = random.Random(seed)
    replicas = make_replicas(replica_count, generator)
    mean_demand = 0.5 * sum(replica.capacity for replica in replicas) / tenant_count
    tenants = [Tenant(f"t{n}", mean_demand * generator.uniform(0.2, 1.8)) for n in range(tenant_count)]
    return tenants, replicas


def utilization_spread(placement: Placement, tenants: Sequence[Tenant], replicas: Sequence[Replica]) -> float:
    """Returns the ratio of the highest utilization of a cell to the lowest."""
    demand = defaultdict[int, float](float)
    for tenant in tenants:
        demand[placement.tenants[tenant.name]] += tenant.demand
    capacity = defaultdict[int, float](float)
    for replica in replicas:
        capacity[placement.replicas[replica.name]] += replica.capacity
    utilization = [demand[cell] / capacity[cell] for cell in demand]
    return max(utilization) / min(utilization)


def test_cells_are_balanced_and_have_replicas_in_every_zone() -> None:
    tenants, replicas = make_fleet(60, 600)

    placement = plan_placement(
        tenants, replicas, PlacementRequirements(cell_count=10, min_replicas=4, min_zones=3)
    )

    assert not placement.unmet_requirements
    assert len(placement.replicas) == 60
    assert len(placement.tenants) == 600
    for cell in range(10):
        members = [replica for replica in replicas if placement.replicas[replica.name] == cell]
        assert {replica.zone for replica in members} == set(ZONES)
        assert len(members) >= 4
    assert utilization_spread(placement, tenants, replicas) < 1.05


@settings(deadline=None, max_examples=40)
@given(st.integers(0, 10**6), st.integers(2, 6), st.integers(10, 40))
def test_churn_is_bounded_and_the_order_of_the_input_has_no_effect(
    seed: int, cell_count: int, replica_count: int
) -> None:
    tenants, replicas = make_fleet(replica_count, 60, seed)
    requirements = PlacementRequirements(cell_count=cell_count, min_replicas=2, min_zones=2)
    first = plan_placement(tenants, replicas, requirements)
    generator = random.Random(seed)

    shuffled_tenants = generator.sample(tenants, len(tenants))
    shuffled_replicas = generator.sample(replicas, len(replicas))
    assert plan_placement(shuffled_tenants, shuffled_replicas, requirements) == first
    assert plan_placement(tenants, replicas, requirements, first) == first  # the same input moves nothing

    added = Replica(name="new", zone="x", kind="k", capacity=1.0)
    larger = plan_placement(tenants, [*replicas, added], requirements, first)
    assert all(larger.replicas[name] == cell for name, cell in first.replicas.items())
    assert larger.tenants == first.tenants

    removed = generator.choice(replicas)
    if replica_count > 2 * cell_count + 2:
        rest = [replica for replica in replicas if replica is not removed]
        check_churn_of_removal(first, plan_placement(tenants, rest, requirements, first), removed)


def check_churn_of_removal(first: Placement, smaller: Placement, removed: Replica) -> None:
    """Checks that at most one other replica moves, and that tenants leave only cells that lost a replica."""
    moved_replicas = [name for name, cell in smaller.replicas.items() if cell != first.replicas[name]]
    assert len(moved_replicas) <= 1
    moved_tenants = [name for name, cell in smaller.tenants.items() if cell != first.tenants[name]]
    smaller_cells = {first.replicas[name] for name in (removed.name, *moved_replicas)}
    assert {first.tenants[name] for name in moved_tenants} <= smaller_cells


def test_most_tenants_are_placed_in_the_cell_that_their_hash_selects() -> None:
    tenants, replicas = make_fleet(500, 10_000)

    placement = plan_placement(
        tenants, replicas, PlacementRequirements(cell_count=100, min_replicas=4, min_zones=3)
    )

    exceptions = [name for name, cell in placement.tenants.items() if cell != home_cell(name, range(100), {})]
    assert len(exceptions) < 800  # only the exceptions are sent to proxies
    assert utilization_spread(placement, tenants, replicas) < 1.05


def test_the_odd_replicas_of_the_zones_go_to_different_cells() -> None:
    replicas = [
        Replica(name=f"w{n}", zone=ZONES[n % 3], kind="k", capacity=1 + n % 5 / 100) for n in range(12)
    ]

    placement = plan_placement([Tenant("t", 1.0)], replicas, THREE_CELLS)

    assert sorted(Counter(placement.replicas.values()).values()) == [4, 4, 4]


def test_a_tenant_that_fits_into_no_cell_is_reported() -> None:
    tenants, replicas = make_fleet(12, 20)

    unmet = plan_placement([*tenants, Tenant("giant", 99.0)], replicas, THREE_CELLS).unmet_requirements

    assert any("tenant giant has a demand of 99" in text and "split the tenant" in text for text in unmet)
    assert any("load" in text and "exceeds capacity" in text for text in unmet)


def test_cells_with_too_few_zones_are_reported() -> None:
    tenants, _ = make_fleet(12, 20)
    one_zone = [Replica(name=f"w{n}", zone="x", kind="k", capacity=1.0) for n in range(6)]

    unmet = plan_placement(tenants, one_zone, THREE_CELLS).unmet_requirements

    assert len([text for text in unmet if "in 1 zones but needs 2 in 2" in text]) == 3


def test_a_tenant_that_would_use_most_of_any_cell_is_reported() -> None:
    _, replicas = make_fleet(12, 20)
    tenants = [Tenant("large", 2.0), Tenant("small", 0.1)]

    unmet = plan_placement(tenants, replicas, PlacementRequirements(3)).unmet_requirements

    assert any("over 50%" in text for text in unmet)


def test_duplicate_names_and_too_few_replicas_are_rejected() -> None:
    tenants, replicas = make_fleet(12, 20)
    requirements = PlacementRequirements(3)

    with pytest.raises(ValueError, match="worker is named twice"):
        plan_placement(tenants, [replicas[0], *replicas], requirements)
    with pytest.raises(ValueError, match="3 cells cannot be made of 2 workers"):
        plan_placement(tenants, replicas[:2], requirements)
    with pytest.raises(ValueError, match="tenant is named twice"):
        plan_placement([tenants[0], *tenants], replicas, requirements)


def test_a_cell_that_has_to_survive_the_loss_of_a_zone_has_less_capacity() -> None:
    tenants, replicas = make_fleet(30, 100)
    five_cells = PlacementRequirements(cell_count=5, min_replicas=3, min_zones=3)
    assert not plan_placement(tenants, replicas, five_cells).unmet_requirements

    surviving = PlacementRequirements(cell_count=5, min_replicas=3, min_zones=3, survives_zone_loss=True)
    more = [Tenant(tenant.name, tenant.demand * 1.3) for tenant in tenants]
    unmet = plan_placement(more, replicas, surviving).unmet_requirements
    assert unmet
    assert all("exceeds capacity" in text for text in unmet)


class PlacementCommand:
    """Runs `gradehoist cells` with files in a folder."""

    def __init__(self, folder: Path, replica_count: int) -> None:
        self.tenants = folder / "t.csv"
        self.replicas = folder / "w.csv"
        self.placement = folder / "p.json"
        self.split_placement = folder / "q.json"
        rows = "".join(f"w{n},{ZONES[n % 3]},k,1\n" for n in range(replica_count))
        self.replicas.write_text("worker,zone,kind,size\n" + rows)

    def run(self, *words: str | Path) -> Result:
        return CliRunner().invoke(main, ["cells", *map(str, words)])

    def place(self, *options: str | Path) -> Result:
        return self.run("place", self.tenants, self.replicas, "--out", self.placement, *options)

    def split(self, cell: str, into: str) -> Result:
        return self.run(
            "split", self.placement, self.replicas, cell, "--into", into, "--out", self.split_placement
        )


@pytest.fixture
def command(tmp_path: Path) -> PlacementCommand:
    """The command with files of nine replicas and twenty tenants."""
    cells = PlacementCommand(tmp_path, replica_count=9)
    cells.tenants.write_text("tenant,demand\n" + "".join(f"inn{n},0.1\n" for n in range(20)))
    return cells


def test_a_placement_is_created_kept_and_shown_from_the_command_line(command: PlacementCommand) -> None:
    assert command.place("--cells", "3").exit_code == 0
    first = command.placement.read_bytes()
    assert command.place("--cells", "3", "--before", command.placement).exit_code == 0
    assert command.placement.read_bytes() == first
    shown = command.run("show", command.placement)
    assert shown.exit_code == 0
    assert "c2" in shown.output
    assert "w8" in shown.output


def test_unmet_requirements_give_exit_code_1(command: PlacementCommand) -> None:
    result = command.place("--cells", "3", "--least-workers", "5")

    assert result.exit_code == 1
    assert "needs 5 in 1" in result.output


def test_invalid_input_gives_exit_code_2_and_leaves_the_placement_unchanged(
    command: PlacementCommand,
) -> None:
    assert command.place("--cells", "3").exit_code == 0
    before = command.placement.read_bytes()

    command.tenants.write_text("tenant,demand\ninn1,-4\n")
    negative = command.place("--cells", "3")
    assert negative.exit_code == 2
    assert "t.csv:2: demand" in negative.output
    assert command.placement.read_bytes() == before

    command.tenants.write_text("name,demand\n")
    assert "no column tenant" in command.place("--cells", "3").output
    assert command.run("show", command.tenants).exit_code == 2


SPLIT_BASE = CellPlacement(
    cells=("a", "b"),
    cell_by_replica={f"w{n}": "ab"[n // 6] for n in range(12)},
    cell_by_tenant={"inn": "a"},
)


@pytest.fixture
def split_command(tmp_path: Path) -> PlacementCommand:
    """The command with a placement of twelve replicas in two cells."""
    cells = PlacementCommand(tmp_path, replica_count=12)
    cells.placement.write_bytes(msgspec.json.encode(SPLIT_BASE))
    return cells


def test_a_split_halves_the_replicas_of_a_cell_and_moves_no_tenant(
    split_command: PlacementCommand,
) -> None:
    assert split_command.split("b", "c").exit_code == 0

    split: CellPlacement = msgspec.json.decode(split_command.split_placement.read_bytes(), type=CellPlacement)
    assert split.cells == ("a", "b", "c")
    assert len(split.replicas_of("b")) == len(split.replicas_of("c")) == 3
    for cell in "bc":
        assert {int(name[1:]) % 3 for name in split.replicas_of(cell)} == {0, 1, 2}  # in every zone
    names = [f"inn{n}" for n in range(500)]
    assert [split.home_cell(name) for name in names] == [SPLIT_BASE.home_cell(name) for name in names]


def test_a_split_of_unknown_cells_or_replicas_is_rejected(split_command: PlacementCommand) -> None:
    assert split_command.split("x", "c").exit_code == 2
    assert split_command.split("b", "a").exit_code == 2
    split_command.replicas.write_text("worker,zone,kind,size\nw7,x,k,1\n")
    assert "names 1 of the 6 workers of b" in split_command.split("b", "c").output


@pytest.mark.parametrize(("tenants", "cell_count"), [
    ("inn,0.1\n", 3),  # only a replica is added
    ("inn,0.1\n", 5),  # cells are added
    ("inn,0.1\nnew-1,0.1\nnew-2,9\n", 3),  # tenants are named that their hash selected a cell for
    ("inn,5\ninn7,4\n", 3),  # a cell exceeds its capacity
    ("", 3),  # a tenant is no longer named
])  # fmt: skip
def test_a_changed_placement_moves_no_tenant_without_a_migration(
    split_command: PlacementCommand, tenants: str, cell_count: int
) -> None:
    """A placement made after a split lost the hash ranges, and tenants wrote in two cells (`review/6`)."""
    assert split_command.split("b", "c").exit_code == 0
    split_command.tenants.write_text("tenant,demand\n" + tenants)
    with split_command.replicas.open("a") as file:
        file.write("w12,x,k,1\n")
    options = ("--cells", cell_count, "--before", split_command.split_placement)
    assert split_command.place(*map(str, options)).exit_code in (0, 1)
    changed: CellPlacement = msgspec.json.decode(split_command.placement.read_bytes(), type=CellPlacement)
    assert len(changed.cells) == cell_count and "w12" in changed.cell_by_replica
    names = ["inn", "new-1", "new-2", *(f"inn{n}" for n in range(500))]
    assert [changed.home_cell(name) for name in names] == [SPLIT_BASE.home_cell(name) for name in names]


def test_a_tenant_that_should_leave_a_full_cell_is_reported(split_command: PlacementCommand) -> None:
    split_command.tenants.write_text("tenant,demand\ninn,4\nbig,4\n")
    stored = msgspec.structs.replace(SPLIT_BASE, cell_by_tenant={"inn": "a", "big": "a"})
    split_command.placement.write_bytes(msgspec.json.encode(stored))
    result = split_command.place("--cells", "2", "--before", split_command.placement)
    assert result.exit_code == 1
    assert "should move from a to b" in result.output and "cells move" in result.output


def test_a_cell_in_use_is_not_left_out_of_a_changed_placement(split_command: PlacementCommand) -> None:
    split_command.tenants.write_text("tenant,demand\ninn,1\n")
    before = split_command.placement.read_bytes()
    result = split_command.place("--cells", "1", "--before", split_command.placement)
    assert result.exit_code == 2 and "would leave out b" in result.output
    assert split_command.placement.read_bytes() == before
