"""Runs moves to their end. It may be killed anywhere: started again it reads its records and goes on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from gradehoist.cells.moves import Confirm, Move, Step
from gradehoist.net.client import Broken, Client, TimedOut, Unreachable
from gradehoist.protocol import feed
from gradehoist.settings.fleet import Settings
from gradehoist.store import keep

AGAIN = 0.3  # seconds between words that were not confirmed
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
    keep.write(store / f"{move.id}.move", msgspec.json.encode(move))


def order(store: Path, settings: Settings, tenants: tuple[str, ...], to: str, home: Callable[[str], str]
          ) -> list[Move]:
    """Makes and keeps a record for each tenant. Raises ValueError, and then none is made."""
    placed = settings.fleet.cells
    if placed is None or to not in placed.cells:
        known = ", ".join(placed.cells) if placed else "none"
        raise ValueError(f"no cell {to!r}; the placement has {known}")
    moves = load(store)
    out = []
    for n, tenant in enumerate(dict.fromkeys(tenants)):
        last = max((m for m in moves if m.tenant == tenant), key=lambda m: m.gen, default=None)
        if last is not None and last.step is not Step.DONE:
            raise ValueError(f"tenant {tenant} is on its way by move {last.id}; undo that first")
        source, gen = (last.target, last.gen) if last else (home(tenant), 1)
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
            said = ""
            while move.step is not Step.DONE and not move.conflict:
                if not move.undone and (self.store / f"{move.id}-undo.move").exists():
                    self.told(move, "undone")
                    return move
                step = move.step
                answers = await asyncio.gather(*(
                    self._say(to, move) for to in move.sends(self.governors, self.cells)))
                after = move
                for answer in answers:
                    if answer is not None:
                        after = after.confirmed(now(), answer, self.governors)
                after = after.advance(now(), self.governors, self.cells, self.wait)
                if after.restarted() != move.restarted():  # what is not kept needs no keeping
                    save(self.store, after)  # before anything of a new step is sent
                move = after
                waits = move.waits(now(), self.governors, self.cells, self.wait)
                if waits != said:
                    said = waits
                    self.told(move, waits)
                if move.step is step and move.step is not Step.DONE:
                    await asyncio.sleep(AGAIN)
            return move

    async def _say(self, to: str, move: Move) -> Confirm | None:
        """One word to a governor or worker; None where no answer came."""
        target = "/v1/cells/word" if to in self.governors else "/cell/word"
        client = self._clients.get(to)
        if client is None:
            address = self._addresses.get(to, "")
            if not address:
                return None
            host, _, port = address.rpartition(":")
            client = self._clients[to] = Client(host, int(port), connect_timeout=0.5)
        try:
            response = await client.exchange("POST", target, msgspec.json.encode(move.word()), timeout=1.0)
            if response.status == 200:
                answer: Confirm = msgspec.json.decode(response.body, type=Confirm)
                return answer
        except (Unreachable, Broken, TimedOut, msgspec.MsgspecError):
            pass
        return None

    async def _roster(self) -> None:
        """Where workers are reached; the last list stands while the roster does not answer."""
        client = Client(*self.settings.fleet.roster)
        zone = self.settings.governors[0].zone
        while True:
            try:
                target = f"/v1/roster?zone={zone}&after=-1&reader="
                response = await client.exchange("GET", target, timeout=2.0)
                listed: feed.Roster = msgspec.json.decode(response.body, type=feed.Roster)
                self._addresses = {e.replica: e.address or e.replica for e in listed.entries}
            except (Unreachable, Broken, TimedOut, msgspec.MsgspecError):
                pass
            await asyncio.sleep(1.0)
