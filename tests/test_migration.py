"""The migration protocol: exhaustive search of small models, and random runs of a larger one."""

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
    Mutation,
    first_migration,
    initial_state,
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
def test_no_reachable_state_of_a_small_model_violates_the_protocol(bounds: Bounds, proxy_count: int) -> None:
    """Each search visits every state within its bounds, as it ends before it reaches `max_states`."""
    max_states = 20_000

    result = search(Model(bounds), initial_state(proxy_count=proxy_count), max_states)

    assert not result.steps, "\n".join(result.steps)
    assert 1_000 < result.state_count < max_states


@pytest.mark.parametrize(
    ("mutation", "undos", "ticks"),
    [
        (Mutation.NO_WAIT, 0, 0),
        (Mutation.NO_LEASE, 0, 1),
        (Mutation.BUSY_REPLICAS_CONFIRM, 0, 0),
        (Mutation.COMPLETED_KEYS_LOST, 0, 0),
        (Mutation.UNDO_WITHOUT_CLOSING, 1, 0),
    ],
)
def test_the_search_finds_a_violation_without_one_rule(mutation: Mutation, undos: int, ticks: int) -> None:
    state = initial_state(proxy_count=1)
    if ticks:  # a renewal of the target's lease after the tick would need another tick
        fence = replace(state.fences["b1"], lease_until_us=10**9)
        state = replace(state, fences={**state.fences, "b1": fence})
    model = Model(Bounds(writes=2, undos=undos, ticks=ticks), mutation=mutation)

    result = search(model, state, 60_000)

    assert result.steps
    assert result.steps[-1].startswith("VIOLATION")


def test_no_random_run_of_a_larger_model_violates_the_protocol() -> None:
    ends = set()
    for seed in range(250):
        run = run_randomly(seed)
        assert not run.violation, f"seed {seed}: {run.violation}\n" + "\n".join(run.steps)
        migration = run.state.migration
        ends.add((migration.step, migration.is_undo) if migration else None)
    assert {(MigrationStep.DONE, False), (MigrationStep.DONE, True)} <= ends


@pytest.mark.parametrize("seed", range(3))
def test_a_seed_replays_the_same_run(seed: int) -> None:
    assert run_randomly(seed).steps == run_randomly(seed).steps


def test_a_migration_completes_and_describes_what_it_waits_for() -> None:
    model = Model(Bounds())
    state = run_to(MigrationStep.CLOSE, initial_state(), model)
    assert state.migration is not None
    wait = state.migration.describe_wait(0, GOVERNORS, REPLICAS_BY_CELL, 25_000_000)
    assert wait == "a1 to confirm; or governors g1, then 25 s"

    state = run_to(MigrationStep.DONE, state, model)
    assert state.directories["g1"].route(TENANT, "A") == ("B", 2)


def test_a_second_migration_of_the_same_generation_is_stopped() -> None:
    directory, _ = TenantDirectory("g1").apply_assignment(TenantAssignment(TENANT, 2, "first"))
    directory, ack = directory.apply_assignment(TenantAssignment(TENANT, 2, "second"))
    second = Migration(id="second", tenant=TENANT, source="A", target="C", generation=2)

    after = second.with_acknowledgement(0, ack, GOVERNORS)

    assert "first" in after.conflict
    assert after.pending_recipients(GOVERNORS, {"A": ("a1",), "C": ("c1",)}) == []


def test_a_completed_migration_cannot_be_undone() -> None:
    done = msgspec.structs.replace(first_migration(), step=MigrationStep.DONE)

    with pytest.raises(ValueError, match="order a move back"):
        done.undo()


def test_an_undo_cannot_be_undone() -> None:
    with pytest.raises(ValueError, match="is an undo and cannot be undone"):
        first_migration().undo().undo()
