"""Staged rollouts: detection of regressions, halts, and resumption after the runner was killed."""

from __future__ import annotations

import random
from pathlib import Path

import msgspec
import pytest

from gradehoist.cells.rollout import (
    Rollout,
    RolloutStep,
    TrafficCounts,
    are_other_cells_stable,
    describe_regression,
)
from gradehoist.migration import rollout as rollout_module
from gradehoist.migration.records import load_rollout, save_rollout
from tests.support.rollout_site import ALL_REPLICAS, LATENCY_US, REPLICAS_BY_CELL, RolloutSite


def counts(requests: int, failure_rate: float, latency_ms: float = 200.0) -> TrafficCounts:
    successes = requests - round(requests * failure_rate)
    return TrafficCounts(
        requests=requests,
        incomplete=requests - successes,
        successes=successes,
        elapsed_us=round(successes * latency_ms * 1e3),
    )


BASELINE = {cell: counts(400, 0.01) for cell in REPLICAS_BY_CELL}
SURGE = {cell: counts(300, 0.12) for cell in REPLICAS_BY_CELL}
ALL_SLOW = {cell: counts(300, 0.01, 400) for cell in REPLICAS_BY_CELL}


@pytest.mark.parametrize(
    ("current", "regression"),
    [
        ({**BASELINE, "A": counts(300, 0.12)}, "12.0% of 300 transactions of A"),
        ({**SURGE, "A": counts(300, 0.5)}, "transactions of A were not answered"),
        ({**BASELINE, "A": counts(300, 0.01, 400)}, "take 400 ms, 200 before"),
    ],
    ids=["more failures", "more failures than a surge brings", "slower"],
)
def test_a_regression_of_a_cell_is_described(current: dict[str, TrafficCounts], regression: str) -> None:
    assert regression in describe_regression("A", BASELINE, current)


@pytest.mark.parametrize(
    "current",
    [{**BASELINE, "B": counts(300, 0.5)}, SURGE, {**BASELINE, "A": counts(30, 1.0)}, ALL_SLOW],
    ids=["another cell fails", "a surge over all", "too few requests", "all are slower"],
)
def test_changes_that_the_update_did_not_cause_are_no_regression(current: dict[str, TrafficCounts]) -> None:
    assert not describe_regression("A", BASELINE, current)


def test_other_cells_are_stable_unless_they_fail_more_than_before() -> None:
    assert are_other_cells_stable("A", BASELINE, {**BASELINE, "A": counts(300, 0.01, 400)})
    assert not are_other_cells_stable("A", BASELINE, {**BASELINE, "C": counts(300, 0.2)})


def test_random_variation_is_not_taken_for_a_regression() -> None:
    generator = random.Random(5)

    def sample(requests: int) -> TrafficCounts:
        failed = sum(generator.random() < 0.03 for _ in range(requests))
        successes = requests - failed
        return TrafficCounts(
            requests=requests, incomplete=failed, successes=successes, elapsed_us=successes * LATENCY_US
        )

    days = [
        ({cell: sample(200) for cell in REPLICAS_BY_CELL}, {cell: sample(200) for cell in REPLICAS_BY_CELL})
        for _ in range(400)
    ]

    assert sum(bool(describe_regression("A", before, now)) for before, now in days) <= 1


@pytest.fixture(autouse=True)
def _frequent_polls(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(rollout_module, "POLL_INTERVAL_S", 0.05)


def test_a_rollout_without_regressions_updates_each_replica_once_cell_by_cell(tmp_path: Path) -> None:
    site = RolloutSite(tmp_path)

    assert site.run(site.rollout()).step is RolloutStep.DONE

    assert site.updated() == ["a1", "a2", "b1", "b2", "c1", "c2"]


def test_a_regression_halts_the_rollout_and_rolls_back_the_updated_replicas(tmp_path: Path) -> None:
    site = RolloutSite(tmp_path, faulty=("b1",))

    ended = site.run(site.rollout())

    assert ended.step is RolloutStep.HALTED
    assert "transactions of B were not answered" in ended.halt_reason
    assert site.updated()[:3] == ["a1", "a2", "b1"]
    assert "c1" not in site.updated()
    assert "b1" in site.restored()
    assert set(site.restored()) <= {"b1", "b2"}
    assert load_rollout(tmp_path) == ended


@pytest.mark.parametrize("step", [RolloutStep.UPDATE, RolloutStep.ROLL_BACK])
def test_a_rollout_resumed_in_an_affected_cell_keeps_its_baseline_and_rolls_back(
    tmp_path: Path, step: RolloutStep
) -> None:
    """A resumed rollout must neither measure a new baseline in the affected cell nor skip the rollback.

    Both happened: after a restart, the affected cell's counts became the baseline, and a runner killed during
    the rollback left the other replicas updated.
    """
    (tmp_path / "renewed").write_text("b1\n")
    site = RolloutSite(tmp_path, faulty=("b1",))
    killed = msgspec.structs.replace(
        site.rollout(),
        cell_index=1,
        step=step,
        started_replicas=frozenset({"b1"}),
        baseline={cell: counts(600, 0.0) for cell in REPLICAS_BY_CELL},
    )

    ended = site.run(killed)

    assert ended.step is RolloutStep.HALTED
    assert site.restored()[0] == "b1"
    assert "c1" not in site.updated()


def test_the_next_cell_is_not_updated_while_a_governor_does_not_answer(tmp_path: Path) -> None:
    site = RolloutSite(tmp_path)

    def has_waited() -> bool:
        return any("a governor does not answer" in message for message in site.messages)

    site.is_governor_silent = lambda: "a2" in site.updated() and not has_waited()

    assert site.run(site.rollout()).step is RolloutStep.DONE

    wait = next(n for n, message in enumerate(site.messages) if "a governor does not answer" in message)
    next_cell = next(n for n, message in enumerate(site.messages) if "B: updating b1" in message)
    assert wait < next_cell


def test_a_replica_that_does_not_become_ready_again_halts_the_rollout(tmp_path: Path) -> None:
    site = RolloutSite(tmp_path, returns=False)

    ended = site.run(site.rollout())

    assert ended.step is RolloutStep.HALTED
    assert ended.halt_reason == "a1 did not come back within 0.5 s"


@pytest.mark.parametrize(
    ("command", "code"), [("/bin/sh -c 'exit 3'", 3), ("/no/such/command {worker}", 127)]
)
def test_a_failed_command_halts_the_rollout(tmp_path: Path, command: str, code: int) -> None:
    site = RolloutSite(tmp_path, returns=False)
    rollout = Rollout(id="000002", cells=("A",), replicas=REPLICAS_BY_CELL, batch_size=1, command=command)

    assert site.run(rollout).halt_reason == f"the command for a1 exited with code {code}"


def test_a_rollout_can_be_resumed_from_its_records(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    records: list[Rollout] = []
    with monkeypatch.context() as patch:
        patch.setattr(rollout_module, "save_rollout", lambda folder, record: records.append(record))
        complete = RolloutSite(tmp_path)
        complete.run(complete.rollout())
    assert len(records) > 12
    for number, record in enumerate(records[::5]):
        folder = tmp_path / str(number)
        folder.mkdir()
        check_resumed(folder, record)


def check_resumed(folder: Path, record: Rollout) -> None:
    """Checks that a run from this record updates the remaining replicas and repeats no completed update."""
    site = RolloutSite(folder)
    started = [name for name in ALL_REPLICAS if name in record.started_replicas]
    (folder / "renewed").write_text("\n".join(started) + "\n")
    save_rollout(folder, record)
    loaded = load_rollout(folder)
    assert loaded == record

    resumed = msgspec.structs.replace(loaded, command=site.rollout().command, rollback_command="")
    ended = site.run(resumed)

    assert ended.step is RolloutStep.DONE
    assert ended.updated_replicas == set(ALL_REPLICAS)
    assert not set(site.updated()) - ended.updated_replicas
    assert all(site.updated().count(name) == 1 for name in record.updated_replicas)


@pytest.mark.parametrize(
    ("unanswered", "reason"), [(2, "a1 did not come back"), (999, "the roster did not answer")]
)
def test_a_rollout_waits_for_the_endpoint_list_before_an_update(
    tmp_path: Path, unanswered: int, reason: str
) -> None:
    """Without the list from before an update, the old incarnation was taken for the updated replica."""
    site = RolloutSite(tmp_path, returns=False)
    site.unanswered_list_requests = unanswered

    ended = site.run(site.rollout())

    assert ended.step is RolloutStep.HALTED
    assert reason in ended.halt_reason
    assert "a2" not in site.updated()
