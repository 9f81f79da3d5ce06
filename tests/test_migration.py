"""The move protocol: every order of messages, losses and deaths in the small; many seeds in the larger."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field, replace
from typing import Any

import pytest

from gradehoist.cells.migration import (
    AssignmentAck,
    Keys,
    Migration,
    MigrationStep,
    ReplicaFence,
    TenantAssignment,
    TenantDirectory,
    WriteDecision,
)

T = "inn"
LEASE, WAIT = 10, 25  # ticks: the wait covers lease, settle and repeat


@dataclass(frozen=True)
class World:
    """Two cells, one governor or more, relays that hold a route, one tenant. What is never delivered is lost,
    what is sent again is the same. `taken` holds the acceptances in their true order."""

    fences: dict[str, ReplicaFence]
    books: dict[str, TenantDirectory]
    move: Migration | None = None
    kept: Migration | None = None  # the record as kept
    routes: dict[str, tuple[str, int] | None] = field(default_factory=dict)
    net: tuple[tuple[Any, ...], ...] = ()
    now: int = 0
    taken: tuple[tuple[str, int], ...] = ()  # cell and generation of each acceptance
    effects: tuple[str, ...] = ()
    writes: int = 0
    deaths: int = 0
    undos: int = 0
    ticks: int = 0
    fresh: str = ""  # the first key sent since time passed: no client repeats one that is older than the wait

    def key(self) -> Any:
        fences = tuple(
            (
                max(-1, f.lease_until_us - self.now),
                f.in_flight.get(T),
                f.completed.get(T),
                f.assignments.get(T),
            )
            for f in self.fences.values()
        )
        m = self.move
        move = m and (
            m.id,
            m.step,
            m.known,
            m.shut,
            m.keys,
            max(-1, m.since - self.now) if m.since < 0 else self.now - m.since,
            m.fenced,
        )
        k = self.kept
        kept = k and (k.id, k.step, k.known, k.shut, k.keys)
        return (
            fences,
            tuple(b.assignments.get(T) for b in self.books.values()),
            move,
            kept,
            tuple(self.routes.values()),
            frozenset(self.net),
            self.taken[-1:],
            self.effects,
            self.writes,
            self.deaths,
            self.undos,
            self.ticks,
            self.fresh,
        )


GOVERNORS: tuple[str, ...] = ("g1",)
CELLS: dict[str, tuple[str, ...]] = {"A": ("a1",), "B": ("b1",)}


def begin(
    governors: tuple[str, ...] = GOVERNORS, cells: dict[str, tuple[str, ...]] = CELLS, relays: int = 2
) -> World:
    fences = {w: ReplicaFence(w, c, lease_until_us=LEASE) for c, ws in cells.items() for w in ws}
    books = {g: TenantDirectory(g) for g in governors}
    return World(fences, books, routes={f"r{n}": ("A", 1) for n in range(relays)})


def put(net: tuple[Any, ...], *messages: Any) -> tuple[Any, ...]:
    return net + tuple(m for m in messages if m not in net)


class Play:
    """What may happen next in a world, each as a name and the world after it. Every rule of the protocol
    is the shipped code's; this only carries messages and lets things die."""

    def __init__(
        self,
        governors: tuple[str, ...],
        cells: dict[str, tuple[str, ...]],
        writes: int,
        deaths: int,
        undos: int,
        ticks: int,
        mutant: str = "",
    ) -> None:
        self.governors, self.cells, self.mutant = governors, cells, mutant
        self.most = (writes, deaths, undos, ticks)

    def home(self, worker: str) -> str:
        return next(c for c, ws in self.cells.items() if worker in ws)

    def kept(self, w: World, move: Migration) -> World:
        return replace(w, move=move, kept=move)

    def moves(self, w: World) -> list[tuple[str, World]]:
        out: list[tuple[str, World]] = []
        writes, deaths, undos, ticks = self.most
        if w.move is None and w.kept is None:
            out.append(("order the move", self.kept(w, Migration("m", T, "A", "B", 2))))
        if w.move is not None:
            word = w.move.assignment()
            sent = [("word", to, word) for to in w.move.pending_recipients(self.governors, self.cells)]
            if any(m not in w.net for m in sent):
                out.append(("the mover sends", replace(w, net=put(w.net, *sent))))
            after = w.move.advance(w.now, self.governors, self.cells, 0 if self.mutant == "no wait" else WAIT)
            if after != w.move:
                out.append((f"the mover goes to {after.step.value}", self.kept(w, after)))
            if w.undos < undos and w.move.step is not MigrationStep.DONE and not w.move.undone:
                back = w.move.undo()
                if self.mutant == "careless undo":
                    back = replace(back, fenced=False)
                out.append(("undo", replace(self.kept(w, back), undos=w.undos + 1)))
            if w.deaths < deaths:
                out.append(("the mover dies", replace(w, move=None, deaths=w.deaths + 1)))
        elif w.kept is not None:
            out.append(("the mover starts again", replace(w, move=w.kept.restarted())))
        for message in w.net:
            out.append((f"delivered {message}", self.deliver(w, message)))
        for g, book in w.books.items():
            for worker in w.fences:
                beat = ("beat", worker, book.heartbeat_assignments())
                if beat not in w.net and w.ticks < ticks:
                    out.append(
                        (f"{g} heartbeats {worker}", replace(w, net=put(w.net, beat), ticks=w.ticks + 1))
                    )
            for relay, held in w.routes.items():
                if book.route(T, "A") != held:
                    routes = {**w.routes, relay: book.route(T, "A")}
                    out.append((f"{g} routes {relay}", replace(w, routes=routes)))
        if w.writes < writes:
            for relay, held in w.routes.items():
                if held is not None:
                    for worker in self.cells[held[0]]:
                        # A new one, or a client's repeat: longer than the settle time none is repeated.
                        for key in dict.fromkeys((f"k{w.writes}", w.fresh or f"k{w.writes}")):
                            write = ("write", worker, held, key)
                            out.append(
                                (
                                    f"{relay} sends {write}",
                                    replace(
                                        w, net=put(w.net, write), writes=w.writes + 1, fresh=w.fresh or key
                                    ),
                                )
                            )
        for name, fence in w.fences.items():
            for key in sorted(fence.in_flight.get(T, Keys())):
                out.append((f"{name} finishes {key}", self.finished(w, name, key)))
            if w.deaths < deaths:
                out.append(
                    (
                        f"{name} restarts",
                        replace(w, fences={**w.fences, name: fence.restarted()}, deaths=w.deaths + 1),
                    )
                )
        if w.ticks < ticks:
            # Leases run out and what is in hand is settled well within the wait.
            later = replace(
                w,
                now=w.now + WAIT + 1,
                ticks=w.ticks + 1,
                fresh="",
                net=tuple(m for m in w.net if m[0] != "write"),
            )
            for name, fence in w.fences.items():
                for key in sorted(fence.in_flight.get(T, Keys())):
                    later = self.finished(later, name, key)
            out.append(("time passes", later))
        return out

    def finished(self, w: World, name: str, key: str) -> World:
        """The effect of a write. Within a cell its ledger takes a key once; between cells the moves must."""
        fences = {**w.fences, name: w.fences[name].complete_write(T, key)}
        cell = self.cells[self.home(name)]
        if any(key in w.fences[x].completed.get(T, Keys()) for x in cell):
            return replace(w, fences=fences)
        return replace(w, fences=fences, effects=tuple(sorted((*w.effects, key))))

    def lean(self, w: World) -> World:
        """Leaves out messages that can change nothing any more: what is held only ever grows newer."""

        def idle(message: tuple[Any, ...]) -> bool:
            kind, to, *rest = message
            if kind == "answer" and w.move is not None:
                return w.move.acknowledged(w.now, rest[0], self.governors) == w.move
            if kind == "word" and w.move is not None:
                known = (w.books.get(to) or w.fences[to]).assignments.get(T)
                return rest[0] != w.move.assignment() and not rest[0].supersedes(known)
            return False

        net = tuple(m for m in w.net if not idle(m))
        return w if len(net) == len(w.net) else replace(w, net=net)

    def deliver(self, w: World, message: tuple[Any, ...]) -> World:
        kind, to, *rest = message
        left = replace(w, net=tuple(m for m in w.net if m != message))
        if kind == "beat":
            fence = w.fences[to].renew_lease(w.now, LEASE, rest[0])
            return replace(left, fences={**w.fences, to: fence})
        if kind == "write":
            (cell, gen), key = rest
            fence, verdict = w.fences[to].check_write(w.now, T, cell, gen, key)
            if self.mutant == "no lease" and verdict is WriteDecision.NO_LEASE:
                fence, verdict = replace(w.fences[to], lease_until_us=w.now + 1).check_write(
                    w.now, T, cell, gen, key
                )
            after = replace(left, fences={**w.fences, to: fence})
            return replace(after, taken=(*w.taken, (cell, gen))) if verdict is WriteDecision.ACCEPT else after
        if kind == "word":
            word: TenantAssignment = rest[0]
            if to in w.books:
                book, answer = w.books[to].apply_assignment(word)
                after = replace(left, books={**w.books, to: book})
            else:
                fence, answer = w.fences[to].apply_assignment(word)
                if self.mutant == "busy confirms":
                    answer = answer._replace(has_writes_in_flight=False)
                if self.mutant == "keys lost":
                    answer = answer._replace(completed_keys=Keys())
                after = replace(left, fences={**w.fences, to: fence})
            return replace(after, net=put(after.net, ("answer", "mover", answer)))
        answer_: AssignmentAck = rest[0]
        if w.move is None:
            return left
        return self.kept(left, w.move.acknowledged(w.now, answer_, self.governors))


def wrong(before: World, after: World) -> str:
    """What must never be. A write is settled when it has taken effect."""
    if len(set(after.effects)) < len(after.effects):
        return f"a key took effect twice: {after.effects}"
    if len(after.taken) > len(before.taken):
        cell, gen = after.taken[-1]
        if any(g > gen and c != cell for c, g in after.taken):
            return f"a write at {cell}, generation {gen}, after a later cell took one"
        others = [f.name for f in after.fences.values() if f.cell != cell and f.in_flight.get(T)]
        if others:
            return f"a write taken at {cell} while {others} has one in hand"
    return ""


def explore(play: Play, world: World, most: int) -> tuple[int, list[str]]:
    """Breadth first through all worlds; how many there are, and the steps to the first wrong one."""
    seen: dict[Any, tuple[Any, str]] = {world.key(): (None, "")}
    queue = deque([world])
    while queue:
        here = queue.popleft()
        for name, after in play.moves(here):
            after = play.lean(after)
            key = after.key()
            fault = wrong(here, after)
            if fault:
                steps, at = [f"WRONG: {fault}", name], here.key()
                while at is not None:
                    at, said = seen[at]
                    steps.append(said)
                return len(seen), steps[::-1]
            if key not in seen:
                seen[key] = (here.key(), name)
                if len(seen) > most:
                    return len(seen), []
                queue.append(after)
    return len(seen), []


def chance(seed: int, length: int = 120) -> tuple[list[str], World, str]:
    """One long random play with two governors, two workers a cell, deaths, undos and time."""
    governors = ("g1", "g2")
    cells: dict[str, tuple[str, ...]] = {"A": ("a1", "a2"), "B": ("b1", "b2")}
    play = Play(governors, cells, writes=12, deaths=5, undos=seed % 2, ticks=14)
    world, dice, steps = begin(governors, cells, 3), random.Random(seed), list[str]()
    for _ in range(length):
        options = play.moves(world)
        if not options:
            break
        kind = dice.choice(sorted({tuple(name.split()[:2]) for name, _ in options}))
        name, after = dice.choice([o for o in options if tuple(o[0].split()[:2]) == kind])
        steps.append(name)
        if fault := wrong(world, after):
            return steps, after, fault
        world = after
    return steps, world, ""


@pytest.mark.parametrize(
    ("writes", "deaths", "undos", "ticks", "relays"),
    [(2, 0, 0, 0, 2), (1, 1, 0, 0, 1), (1, 0, 1, 0, 1), (1, 0, 0, 1, 1)],
)
def test_every_order_in_the_small(writes: int, deaths: int, undos: int, ticks: int, relays: int) -> None:
    """Each search ends by itself: it has seen every world that its bounds allow."""
    most = 20_000
    seen, steps = explore(Play(GOVERNORS, CELLS, writes, deaths, undos, ticks), begin(relays=relays), most)
    assert not steps, "\n".join(steps)
    assert 1_000 < seen < most


@pytest.mark.parametrize(
    ("mutant", "undos", "ticks"),
    [
        ("no wait", 0, 0),
        ("no lease", 0, 1),
        ("busy confirms", 0, 0),
        ("keys lost", 0, 0),
        ("careless undo", 1, 0),
    ],
)
def test_the_search_finds_each_protocol_that_is_weakened(mutant: str, undos: int, ticks: int) -> None:
    world = begin(relays=1)
    if ticks:  # the new cell's lease is renewed meanwhile, which would take a step more
        world = replace(
            world, fences={**world.fences, "b1": replace(world.fences["b1"], lease_until_us=10**9)}
        )
    _, found = explore(Play(GOVERNORS, CELLS, 2, 0, undos, ticks, mutant), world, 60_000)
    assert found and found[-1].startswith("WRONG")


def test_many_seeds_in_the_larger() -> None:
    ends = set()
    for seed in range(250):
        steps, world, fault = chance(seed)
        assert not fault, f"seed {seed}: {fault}\n" + "\n".join(steps)
        assert chance(seed)[0] == steps if seed < 3 else True
        ends.add((world.move.step, world.move.undone) if world.move else None)
    assert {(MigrationStep.DONE, False), (MigrationStep.DONE, True)} <= ends


def run_to(step: MigrationStep, world: World, play: Play) -> World:
    for _ in range(200):
        if world.move and world.move.step is step:
            return world
        options = play.moves(world)
        world = next(
            x
            for start in ("the mover goes", "delivered", "the mover sends", "order")
            for name, x in options
            if name.startswith(start)
        )
    raise AssertionError(f"never came to {step}")


def test_a_move_goes_through_and_says_what_it_waits_for() -> None:
    play = Play(GOVERNORS, CELLS, 0, 0, 0, 0)
    world = run_to(MigrationStep.CLOSE, begin(), play)
    assert world.move is not None
    assert (
        world.move.describe_wait(0, GOVERNORS, CELLS, 25_000_000)
        == "a1 to confirm; or governors g1, then 25 s"
    )
    assert run_to(MigrationStep.DONE, world, play).books["g1"].route(T, "A") == ("B", 2)


def test_a_second_mover_with_the_same_generation_is_stopped_where_the_first_is_known() -> None:
    book, _ = TenantDirectory("g1").apply_assignment(TenantAssignment(T, 2, "first"))
    book, answer = book.apply_assignment(TenantAssignment(T, 2, "second"))
    second = Migration("second", T, "A", "C", 2).acknowledged(0, answer, GOVERNORS)
    assert (
        "first" in second.conflict
        and second.pending_recipients(GOVERNORS, {"A": ("a1",), "C": ("c1",)}) == []
    )


def test_a_done_move_is_not_undone_and_an_undo_is_not_undone_again() -> None:
    move = Migration("m", T, "A", "B", 2)
    with pytest.raises(ValueError, match="order a move back"):
        replace(move, step=MigrationStep.DONE).undo()
    with pytest.raises(ValueError, match="already"):
        move.undo().undo()
