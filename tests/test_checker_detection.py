"""Scenes with one guard taken out, each of which its checker must catch in the stated number of seeds."""

from __future__ import annotations

from functools import partial
from pathlib import Path

import pytest

from gradehoist.history import linearizability
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.history.records import HistoryEntry
from gradehoist.settings.reader import (
    choice_parser,
    integer_parser,
    load_document,
    number_parser,
    parse_duration_us,
    parse_text,
)
from tests.support.store_simulation import Faults, World

SCENES = sorted((Path(__file__).parent.parent / "scenarios/processes/broken").glob("*.kdl"))
CHECKS = {"generations": find_fencing_violations, "linear": linearizability.find_linearizability_violations}


class Scene:
    def __init__(self, path: Path) -> None:
        reader, root = load_document(path)
        broken, step, cut = root.require_child("broken"), root.child("step"), root.child("cut")
        self.guard = broken.get("guard", parse_text)
        self.seeds = broken.get("seeds", integer_parser(1, 100))
        self.caught = broken.get("caught", choice_parser(CHECKS))
        self.count = integer_parser(1, 100)(root.require_child("processes").args[0])
        self.step = parse_duration_us(step.args[0]) if step else 0
        self.cut = number_parser(0, 1)(cut.args[0]) if cut else 0.0
        still = root.child("stand-still")
        self.every = still.get("every", parse_duration_us) if still else 0
        self.longest = still.get("up-to", parse_duration_us) if still else 0
        for node in (broken, still):
            if node:
                node.reject_unread()
        root.reject_unread()
        reader.raise_errors()

    def play(self, seed: int, guard: str) -> list[HistoryEntry]:
        world = World(seed, self.count, without=guard)
        world.faults = Faults(cut=self.cut)
        world.run(10)
        still = world.now + self.every
        for _ in range(200):
            p = world.dice.choice(world.processes)
            if self.every and world.now >= still:
                still = world.now + self.every
                world.stop(p)
                world.later(world.dice.randrange(1, self.longest), partial(world.go_on, p))
            if self.cut:
                world.space.compact(2)
            for q in world.processes:
                world.count(q)
                world.act(q, world.dice.randrange(self.step + 1))
            world.run(0.5)
        world.run(40)
        return world.lines


@pytest.mark.parametrize("path", SCENES, ids=lambda p: p.stem)
def test_a_guard_taken_out_is_caught_and_with_it_nothing_is(path: Path) -> None:
    scene = Scene(path)
    check = CHECKS[scene.caught]
    caught = [seed for seed in range(scene.seeds) if check(scene.play(seed, scene.guard))]
    assert caught, f"{scene.guard}: not caught in {scene.seeds} seeds"
    for seed in range(scene.seeds):
        lines = scene.play(seed, "")
        assert (
            not linearizability.find_linearizability_violations(lines)
            and not find_fencing_violations(lines)
            and not find_duplicate_effects(lines)
        )


def test_there_is_a_scene_for_each_guard_that_the_world_can_take_out() -> None:
    assert {Scene(p).guard for p in SCENES} == set(World.GUARDS)
