"""Runs moves to their end. It may be killed anywhere: started again it reads its records and goes on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from gradehoist.cells.migration import Confirm, Move, Step
from gradehoist.cells.placement import lot
from gradehoist.migration import queries
from gradehoist.net.client import Client
from gradehoist.settings import reader
from gradehoist.settings.fleet import Placed, Settings
from gradehoist.store import atomic_file

AGAIN = 0.3  # seconds between words that were not confirmed, twice as long each time
LATER = 5.0  # seconds at most: a dead worker was asked three times a second to the end of its move
AT_ONCE = 8  # moves under way together: each is a message to every relay


def now() -> int:
    return time.monotonic_ns() // 1_000


def load(store: Path) -> list[Move]:
    """All records, oldest first. Raises ValueError naming a file that is no record."""
    out = []
    for path in sorted(store.glob("*.move")):
        try:
            move: Move = msgspec.json.decode(path.read_bytes(), type=Move)
            out.append(move.restarted())
        except msgspec.MsgspecError as fault:
            raise ValueError(f"{path}: no record of a move: {fault}; put back a copy or remove it") from None
    return out


def save(store: Path, move: Move) -> None:
    atomic_file.write(store / f"{move.id}.move", msgspec.json.encode(move))


def draining(store: Path) -> tuple[str, ...]:
    """Cells that take no tenants. Raises ValueError for a file that does not say so."""
    path = store / "draining.json"
    try:
        cells: tuple[str, ...] = msgspec.json.decode(path.read_bytes(), type=tuple[str, ...])
    except FileNotFoundError:
        return ()
    except msgspec.MsgspecError as fault:
        raise ValueError(f"{path}: no list of cells: {fault}; put back a copy or remove it") from None
    return cells


def drain(store: Path, cells: tuple[str, ...]) -> None:
    atomic_file.write(store / "draining.json", msgspec.json.encode(cells))


def under_way(moves: list[Move]) -> list[Move]:
    """Those to be carried on; one that is undone gave way to its undoing, and its record ends as it was."""
    undone = {m.id.removesuffix("-undo") for m in moves if m.undone}
    return [m for m in moves if m.step is not Step.DONE and m.id not in undone]


def lives(moves: list[Move], placed: Placed) -> dict[str, str]:
    """Where each tenant that is named or was moved lives, or is on its way to."""
    out = dict(placed.named)
    for move in sorted(moves, key=lambda m: m.gen):
        out[move.tenant] = move.target
    return out


def away(cell: str, moves: list[Move], placed: Placed, shut: tuple[str, ...]) -> dict[str, str]:
    """A new cell for each tenant of one: dealt to the cell with fewest for its workers. Raises ValueError."""
    now = lives(moves, placed)
    others = [c for c in placed.cells if c != cell and c not in shut]
    if not others:
        raise ValueError(f"no other cell takes the tenants of {cell}; end the draining of one")
    load = {c: sum(x == c for x in now.values()) / len(placed.of(c)) for c in others}
    out = {}
    for tenant in sorted((t for t, c in now.items() if c == cell), key=lambda t: (lot(t), t)):
        best = min(others, key=lambda c: (load[c], c))
        load[best] += 1 / len(placed.of(best))
        out[tenant] = best
    return out


def order(store: Path, settings: Settings, tenants: Mapping[str, str]) -> list[Move]:
    """Makes and keeps a record for each tenant, by its new cell. Raises ValueError, and then none is made."""
    placed, shut = settings.fleet.cells, draining(store)
    assert placed is not None
    moves = load(store)
    out = []
    for n, (tenant, to) in enumerate(tenants.items()):
        if to not in placed.cells:
            raise ValueError(f"no cell {to!r}; the placement has {', '.join(placed.cells)}")
        if to in shut:
            raise ValueError(f"cell {to} is draining and takes no tenants; move {tenant} elsewhere")
        last = max((m for m in moves if m.tenant == tenant), key=lambda m: m.gen, default=None)
        if last is not None and last.step is not Step.DONE:
            raise ValueError(f"tenant {tenant} is on its way by move {last.id}; undo that first")
        source, gen = (last.target, last.gen) if last else (placed.home(tenant), 1)
        if source == to:
            raise ValueError(f"tenant {tenant} lives in {to}")
        out.append(Move(f"{len(moves) + n:06d}-{gen + 1}", tenant, source, to, gen + 1))
    for move in out:
        save(store, move)
    return out


def undo(store: Path, id: str) -> Move:
    """Raises ValueError where that can't be."""
    known = {m.id: m for m in load(store)}
    if id not in known:
        raise ValueError(f"no move {id}; known are {', '.join(sorted(known)) or 'none'}")
    back = known[id].undo()
    if back.id not in known:
        save(store, back)
    return known.get(back.id, back)


class Mover:
    """`told` hears of each change of a record, with what it waits for."""

    def __init__(self, settings: Settings, store: Path, told: Callable[[Move, str], None]) -> None:
        assert settings.fleet.cells is not None
        self.settings, self.store, self.told = settings, store, told
        self.placed = settings.fleet.cells
        self.governors = tuple(g.name for g in settings.governors)
        self.cells = {c: tuple(sorted(self.placed.of(c))) for c in self.placed.cells}
        self.wait = self.placed.lease + self.placed.settle
        self._clients = {g.name: Client(*g.listen, connect_timeout=0.5) for g in settings.governors}
        self._addresses: dict[str, str] = {}
        self._room = asyncio.Semaphore(AT_ONCE)

    async def run(self, moves: list[Move]) -> list[Move]:
        """All of them to their end or a conflict; one that is undone meanwhile gives way to its undoing."""
        follow = asyncio.ensure_future(self._roster())
        try:
            return list(await asyncio.gather(*(self._one(m) for m in moves)))
        finally:
            follow.cancel()
            for client in self._clients.values():
                client.close()

    async def _one(self, move: Move) -> Move:
        async with self._room:
            said, pause = "", AGAIN
            while move.step is not Step.DONE and not move.conflict:
                if not move.undone and (self.store / f"{move.id}-undo.move").exists():
                    self.told(move, "undone")
                    return move
                step = move.step
                answers = await asyncio.gather(
                    *(self._say(to, move) for to in move.sends(self.governors, self.cells))
                )
                after = move
                for answer in answers:
                    if answer is not None:
                        after = after.confirmed(now(), answer, self.governors)
                after = after.advance(now(), self.governors, self.cells, self.wait)
                if after.restarted() != move.restarted():  # what is not kept needs no keeping
                    save(self.store, after)  # before anything of a new step is sent
                    pause = AGAIN
                move = after
                waits = move.waits(now(), self.governors, self.cells, self.wait)
                if waits != said:
                    said = waits
                    self.told(move, waits)
                if move.step is step and move.step is not Step.DONE:
                    await asyncio.sleep(min(pause, self._wait(move)))
                    pause = min(LATER, 2 * pause)
            return move

    def _wait(self, move: Move) -> float:
        """Seconds until the lease and settle time are over, where only they are still waited for."""
        left = (move.since + self.wait - now()) / 1e6 if move.since >= 0 else LATER
        return left + 0.01 if left > 0 else AGAIN

    async def _say(self, to: str, move: Move) -> Confirm | None:
        """One word to a governor or worker; None where no answer came."""
        target = "/v1/cells/word" if to in self.governors else "/cell/word"
        # By address: one that came back elsewhere was asked where it had been, to the end of the move.
        where = to if to in self.governors else self._addresses.get(to, "")
        try:
            client = self._clients.get(where) or Client(*reader.address(where), connect_timeout=0.5)
        except ValueError:
            return None
        self._clients[where] = client
        try:
            response = await client.exchange("POST", target, msgspec.json.encode(move.word()), timeout=1.0)
            if response.status == 200:
                answer: Confirm = msgspec.json.decode(response.body, type=Confirm)
                return answer
        except queries.FAULTS:
            pass
        return None

    async def _roster(self) -> None:
        """Where workers are reached; the last list stands while the roster does not answer."""
        client = Client(*self.settings.fleet.roster)
        zone = self.settings.governors[0].zone
        while True:
            if (entries := await queries.listed(client, zone)) is not None:
                self._addresses = {e.replica: e.address or e.replica for e in entries}
            await asyncio.sleep(1.0)
