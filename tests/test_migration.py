"""The migration protocol: every order of messages and crashes in the small; many seeds in the larger."""

from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from gradehoist.cells.assignment import TenantAssignment, TenantDirectory
from gradehoist.cells.migration import Migration, MigrationStep
from tests.support.migration_model import (
    GOVERNORS,
    REPLICAS_BY_CELL,
    TENANT,
    Bounds,
    Model,
    Weakness,
    first_migration,
    initial_world,
    run_randomly,
    run_to,
    search,
)


@pytest.mark.parametrize(
    ("bounds", "proxy_count"),
    [
        (Bounds(writes=2), 2),
        (Bounds(writes=1, crashes=1), 1),
        (Bounds(writes=1, undos=1), 1),
        (Bounds(writes=1, ticks=1), 1),
    ],
    ids=["two writes", "a crash", "an undo", "passing time"],
)
def test_no_order_in_the_small_violates_the_protocol(bounds: Bounds, proxy_count: int) -> None:
    """Each search ends by itself: it has seen every world that its bounds allow."""
    max_worlds = 20_000

    found = search(Model(bounds), initial_world(proxy_count=proxy_count), max_worlds)

    assert not found.steps, "\n".join(found.steps)
    assert 1_000 < found.world_count < max_worlds


@pytest.mark.parametrize(
    ("weakness", "undos", "ticks"),
    [
        (Weakness.NO_WAIT, 0, 0),
        (Weakness.NO_LEASE, 0, 1),
        (Weakness.BUSY_REPLICAS_CONFIRM, 0, 0),
        (Weakness.COMPLETED_KEYS_LOST, 0, 0),
        (Weakness.UNDO_WITHOUT_CLOSING, 1, 0),
    ],
)
def test_the_search_finds_each_protocol_that_is_weakened(weakness: Weakness, undos: int, ticks: int) -> None:
    world = initial_world(proxy_count=1)
    if ticks:  # the target's lease is renewed meanwhile, which would take a step more
        fence = replace(world.fences["b1"], lease_until_us=10**9)
        world = replace(world, fences={**world.fences, "b1": fence})
    model = Model(Bounds(writes=2, undos=undos, ticks=ticks), weakness=weakness)

    found = search(model, world, 60_000)

    assert found.steps
    assert found.steps[-1].startswith("WRONG")


def test_no_random_run_in_the_larger_violates_the_protocol() -> None:
    ends = set()
    for seed in range(250):
        run = run_randomly(seed)
        assert not run.violation, f"seed {seed}: {run.violation}\n" + "\n".join(run.steps)
        migration = run.world.migration
        ends.add((migration.step, migration.is_undo) if migration else None)
    assert {(MigrationStep.DONE, False), (MigrationStep.DONE, True)} <= ends


@pytest.mark.parametrize("seed", range(3))
def test_a_seed_replays_the_same_run(seed: int) -> None:
    assert run_randomly(seed).steps == run_randomly(seed).steps


def test_a_migration_goes_through_and_says_what_it_waits_for() -> None:
    model = Model(Bounds())
    world = run_to(MigrationStep.CLOSE, initial_world(), model)
    assert world.migration is not None
    wait = world.migration.describe_wait(0, GOVERNORS, REPLICAS_BY_CELL, 25_000_000)
    assert wait == "a1 to confirm; or governors g1, then 25 s"

    world = run_to(MigrationStep.DONE, world, model)
    assert world.directories["g1"].route(TENANT, "A") == ("B", 2)


def test_a_second_migration_of_one_generation_is_stopped_where_the_first_is_known() -> None:
    directory, _ = TenantDirectory("g1").apply_assignment(TenantAssignment(TENANT, 2, "first"))
    directory, ack = directory.apply_assignment(TenantAssignment(TENANT, 2, "second"))
    second = Migration(id="second", tenant=TENANT, source="A", target="C", generation=2)

    after = second.with_acknowledgement(0, ack, GOVERNORS)

    assert "first" in after.conflict
    assert after.pending_recipients(GOVERNORS, {"A": ("a1",), "C": ("c1",)}) == []


def test_a_migration_that_is_done_is_not_undone() -> None:
    done = msgspec.structs.replace(first_migration(), step=MigrationStep.DONE)

    with pytest.raises(ValueError, match="order a move back"):
        done.undo()


def test_an_undo_is_not_undone_again() -> None:
    with pytest.raises(ValueError, match="already"):
        first_migration().undo().undo()
