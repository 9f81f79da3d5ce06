"""Staged releases: harm is told from a rush and from chance, and a runner that is killed goes on."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from gradehoist.cells.rollout import (
    Rollout,
    RolloutStep,
    TrafficCounts,
    are_other_cells_stable,
    describe_regression,
)
from gradehoist.migration import rollout as releasing
from gradehoist.net.server import Connection, HttpServer, ServerResponse, json_response
from gradehoist.protocol import feed, http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement
from tests.support.governed_fleet import on_sockets

CELLS = {"A": ("a1", "a2"), "B": ("b1", "b2"), "C": ("c1", "c2")}
LOCAL = "127.0.0.1"


def seen(came: int, failing: float, ms: float = 200.0) -> TrafficCounts:
    good = came - round(came * failing)
    return TrafficCounts(came, came - good, good, round(good * ms * 1e3))


def test_harm_is_the_cell_s_own_and_more_than_chance() -> None:
    usual = {c: seen(400, 0.01) for c in CELLS}
    assert "12.0% of 300 transactions of A" in describe_regression(
        "A", usual, {**usual, "A": seen(300, 0.12)}
    )
    assert not describe_regression("A", usual, {**usual, "B": seen(300, 0.5)})
    assert not describe_regression("A", usual, {c: seen(300, 0.12) for c in CELLS})  # a rush over all
    assert describe_regression("A", usual, {**{c: seen(300, 0.12) for c in CELLS}, "A": seen(300, 0.5)})
    assert not describe_regression("A", usual, {**usual, "A": seen(30, 1.0)})  # too few to say
    slow = {**usual, "A": seen(300, 0.01, 400)}
    assert "take 400 ms, 200 before" in describe_regression("A", usual, slow)
    assert not describe_regression("A", usual, {c: seen(300, 0.01, 400) for c in CELLS})
    assert are_other_cells_stable("A", usual, slow) and not are_other_cells_stable(
        "A", usual, {**usual, "C": seen(300, 0.2)}
    )


def test_chance_alone_halts_hardly_ever() -> None:
    dice = random.Random(5)

    def draw(came: int) -> TrafficCounts:
        bad = sum(dice.random() < 0.03 for _ in range(came))
        return TrafficCounts(came, bad, came - bad, (came - bad) * 200_000)

    days = [({c: draw(200) for c in CELLS}, {c: draw(200) for c in CELLS}) for _ in range(400)]
    assert sum(bool(describe_regression("A", *day)) for day in days) <= 1


class Site:
    """A governor that counts, a roster whose workers have lives, and a command that renews by touching a
    file. `bad`: the workers whose new life fails half of its cell's work."""

    def __init__(self, folder: Path, bad: tuple[str, ...] = (), returns: bool = True) -> None:
        self.patience = 20.0 if returns else 0.5
        self.folder, self.bad, self.returns = folder, bad, returns
        roster, port = self.ports = find_free_ports(2)
        self.counts = {c: Counter(came=0, unanswered=0, tries=0, bad=0, elapsed=0) for c in CELLS}
        workers = {w: c for c, ws in CELLS.items() for w in ws}
        self.settings = on_sockets(folder, roster, port, CellPlacement(tuple(CELLS), workers))
        self.said: list[str] = []
        self.silent = 0  # calls that the roster does not answer
        self.deaf: Callable[[], bool] = lambda: False

    def renewed(self) -> list[str]:
        path = self.folder / "renewed"
        return path.read_text().split() if path.exists() else []

    async def roster(self, request: http.Request, connection: Connection) -> ServerResponse:
        if self.silent > 0:
            self.silent -= 1
            return ServerResponse(503)
        lives = self.renewed() if self.returns else []
        return json_response(
            feed.EndpointListUpdate(
                "l",
                1,
                tuple(
                    feed.EndpointRecord(w, "x", incarnation=f"{w}/{lives.count(w)}")
                    for ws in CELLS.values()
                    for w in ws
                ),
                True,
            )
        )

    async def status(self, request: http.Request, connection: Connection) -> ServerResponse:
        if self.deaf():
            return ServerResponse(503)
        for cell, count in self.counts.items():
            hurt = bool(set(CELLS[cell]) & set(self.bad) & set(self.renewed()))
            count.update(Counter(came=60, unanswered=30 * hurt, tries=60, elapsed=60 * 200_000))
        return json_response({"epoch": "e", "cells": self.counts})

    def tell(self, release: Rollout, text: str) -> None:
        self.said.append(text)

    def play(self, release: Rollout) -> Rollout:
        async def work() -> Rollout:
            servers = [HttpServer(self.roster), HttpServer(self.status)]
            for server, port in zip(servers, self.ports, strict=True):
                server.listen(port, LOCAL)
            runner = releasing.RolloutRunner(self.settings, self.folder, 0.3, self.patience, self.tell)
            try:
                return await asyncio.wait_for(runner.run(release), 30)
            finally:
                for server in servers:
                    server.abort()

        return asyncio.run(work())

    def release(self) -> Rollout:
        command = f"/bin/sh -c 'echo {{worker}} >> {self.folder}/{{}}'"
        return Rollout(
            "000001",
            tuple(CELLS),
            CELLS,
            1,
            command.replace("{}", "renewed", 1),
            command.replace("{}", "back", 1),
        )


@pytest.fixture(autouse=True)
def quick(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(releasing, "LOOK", 0.05)


def test_a_good_release_renews_cell_after_cell_each_worker_once(tmp_path: Path) -> None:
    site = Site(tmp_path)
    assert site.play(site.release()).step is RolloutStep.DONE
    assert site.renewed() == ["a1", "a2", "b1", "b2", "c1", "c2"]


def test_a_bad_one_halts_in_its_cell_and_what_was_touched_is_put_back(tmp_path: Path) -> None:
    site = Site(tmp_path, bad=("b1",))
    ended = site.play(site.release())
    assert ended.step is RolloutStep.HALTED and "transactions of B were not answered" in ended.why
    assert site.renewed()[:3] == ["a1", "a2", "b1"] and "c1" not in site.renewed()
    put_back = (tmp_path / "back").read_text().split()
    assert "b1" in put_back and set(put_back) <= {"b1", "b2"}
    assert releasing.load_rollout(tmp_path) == ended


@pytest.mark.parametrize("step", [RolloutStep.UPDATE, RolloutStep.ROLL_BACK])
def test_killed_in_a_harmed_cell_it_knows_what_was_usual_and_puts_back(
    tmp_path: Path, step: RolloutStep
) -> None:
    """Begun again it took the harmed cell for the usual; killed while it put back it left the rest."""
    (tmp_path / "renewed").write_text("b1\n")
    usual = {c: TrafficCounts(600, 0, 600, 600 * 200_000) for c in CELLS}
    site = Site(tmp_path, bad=("b1",))
    ended = site.play(replace(site.release(), at=1, step=step, touched=frozenset({"b1"}), before=usual))
    assert ended.step is RolloutStep.HALTED and (tmp_path / "back").read_text().split()[0] == "b1"
    assert "c1" not in site.renewed()


def test_while_a_governor_is_silent_no_further_cell_is_begun(tmp_path: Path) -> None:
    site = Site(tmp_path)
    site.deaf = lambda: "a2" in site.renewed() and not any("nobody can say" in x for x in site.said)
    assert site.play(site.release()).step is RolloutStep.DONE
    waited = next(n for n, x in enumerate(site.said) if "nobody can say" in x)
    assert waited < next(n for n, x in enumerate(site.said) if "B: renews b1" in x)


def test_a_worker_that_does_not_return_and_a_command_that_fails_halt_it(tmp_path: Path) -> None:
    site = Site(tmp_path, returns=False)
    ended = site.play(site.release())
    assert ended.step is RolloutStep.HALTED and ended.why == "a1 did not come back within 0.5 s"
    for command, code in (("/bin/sh -c 'exit 3'", 3), ("/no/such/command {worker}", 127)):
        ended = site.play(Rollout("000002", ("A",), CELLS, 1, command))
        assert ended.why == f"the command for a1 ended with {code}"


def test_killed_after_any_record_it_goes_on_where_it_was(tmp_path: Path) -> None:
    whole = Site(tmp_path)
    records: list[Rollout] = []
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(releasing, "save", lambda store, record: records.append(record))
        whole.play(whole.release())
    assert len(records) > 12
    for n, record in enumerate(records[::5]):
        folder = tmp_path / str(n)
        folder.mkdir()
        site = Site(folder)
        (folder / "renewed").write_text(
            "\n".join(w for c in CELLS.values() for w in c if w in record.touched) + "\n"
        )
        releasing.save(folder, record)
        again = releasing.load_rollout(folder)
        assert again == record
        ended = site.play(replace(again, run=site.release().run, back=""))
        assert ended.step is RolloutStep.DONE and ended.renewed == {w for c in CELLS.values() for w in c}
        assert not set(site.renewed()) - ended.renewed
        assert all(site.renewed().count(w) == 1 for w in record.renewed)


@pytest.mark.parametrize(("silent", "why"), [(2, "a1 did not come back"), (999, "the roster did not answer")])
def test_a_roster_that_is_silent_when_a_worker_goes_down_passes_for_no_return(
    tmp_path: Path, silent: int, why: str
) -> None:
    site = Site(tmp_path, returns=False)
    site.silent = silent
    ended = site.play(site.release())
    assert ended.step is RolloutStep.HALTED and why in ended.why
    assert "a2" not in site.renewed()
