"""Tests that the history checkers detect a missing guard.

Each scenario disables one guard, and a checker has to detect that within the stated number of seeds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

import pytest

from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.linearizability import find_linearizability_violations
from gradehoist.history.records import HistoryEntry
from gradehoist.settings.reader import (
    choice_parser,
    integer_parser,
    load_document,
    number_parser,
    parse_duration_us,
    parse_text,
)
from tests.support.simulated_store import Faults, Guard
from tests.support.store_simulation import StoreSimulation

SCENARIOS = sorted((Path(__file__).parent.parent / "scenarios/processes/broken").glob("*.kdl"))
CHECKERS: dict[str, Callable[[list[HistoryEntry]], Sequence[object]]] = {
    "generations": find_fencing_violations,
    "linear": find_linearizability_violations,
}
STEPS = 200


class Scenario:
    """A scenario file: the guard that it disables, the checker that has to detect it, and the faults."""

    def __init__(self, path: Path) -> None:
        reader, root = load_document(path)
        broken_node = root.require_child("broken")
        step_node = root.child("step")
        watch_node = root.child("cut")
        pause_node = root.child("stand-still")
        self.guard = Guard(broken_node.get("guard", parse_text))
        self.seeds = broken_node.get("seeds", integer_parser(1, 100))
        self.checker = CHECKERS[broken_node.get("caught", choice_parser(CHECKERS))]
        self.process_count = integer_parser(1, 100)(root.require_child("processes").args[0])
        self.max_step_us = parse_duration_us(step_node.args[0]) if step_node else 0
        self.broken_watches = number_parser(0, 1)(watch_node.args[0]) if watch_node else 0.0
        self.pause_interval_us = pause_node.get("every", parse_duration_us) if pause_node else 0
        self.max_pause_us = pause_node.get("up-to", parse_duration_us) if pause_node else 0
        for node in (broken_node, pause_node):
            if node:
                node.reject_unread()
        root.reject_unread()
        reader.raise_errors()

    def run(self, seed: int, disabled_guard: Guard | None) -> list[HistoryEntry]:
        """Returns the history of one run."""
        simulation = StoreSimulation(seed, self.process_count, disabled_guard=disabled_guard)
        simulation.store.faults = Faults(broken_watches=self.broken_watches)
        simulation.run_for(10)
        next_pause_us = simulation.now_us + self.pause_interval_us
        for _ in range(STEPS):
            paused = simulation.random.choice(simulation.processes)
            if self.pause_interval_us and simulation.now_us >= next_pause_us:
                next_pause_us = simulation.now_us + self.pause_interval_us
                simulation.pause(paused)
                pause_us = simulation.random.randrange(1, self.max_pause_us)
                simulation.schedule(pause_us, partial(simulation.resume, paused))
            if self.broken_watches:
                simulation.keyspace.compact(2)
            for process in simulation.processes:
                simulation.increment_counter(process)
                simulation.act_as_leader(process, simulation.random.randrange(self.max_step_us + 1))
            simulation.run_for(0.5)
        simulation.run_for(40)
        return simulation.entries


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_the_checker_detects_a_disabled_guard_and_no_checker_reports_a_history_with_all_guards(
    path: Path,
) -> None:
    scenario = Scenario(path)
    detecting_seeds = [
        seed
        for seed in range(scenario.seeds)
        if scenario.checker(scenario.run(seed, disabled_guard=scenario.guard))
    ]
    assert detecting_seeds, f"{scenario.guard}: not detected in {scenario.seeds} seeds"

    for seed in range(scenario.seeds):
        entries = scenario.run(seed, disabled_guard=None)
        assert not find_linearizability_violations(entries)
        assert not find_fencing_violations(entries)
        assert not find_duplicate_effects(entries)


def test_each_guard_of_the_simulation_has_a_scenario() -> None:
    assert {Scenario(path).guard for path in SCENARIOS} == set(Guard)
