"""Runs moves to their end. It may be killed anywhere: started again it reads its records and goes on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from pathlib import Path

import msgspec

from gradehoist.cells.migration import AssignmentAck, Migration, MigrationStep
from gradehoist.cells.placement import stable_hash
from gradehoist.migration.queries import QUERY_ERRORS, fetch_endpoints
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import CellPlacement, Settings
from gradehoist.settings.reader import parse_address
from gradehoist.store.atomic_file import write_file

MIN_RETRY_DELAY_S = 0.3  # seconds between words that were not confirmed, twice as long each time
MAX_RETRY_DELAY_S = (
    5.0  # seconds at most: a dead worker was asked three times a second to the end of its move
)
MAX_CONCURRENT_MIGRATIONS = 8  # moves under way together: each is a message to every relay


def monotonic_us() -> int:
    return time.monotonic_ns() // 1_000


def load_migrations(store: Path) -> list[Migration]:
    """All records, oldest first. Raises ValueError naming a file that is no record."""
    out = []
    for path in sorted(store.glob("*.move")):
        try:
            move: Migration = msgspec.json.decode(path.read_bytes(), type=Migration)
            out.append(move.restarted())
        except msgspec.MsgspecError as fault:
            raise ValueError(f"{path}: no record of a move: {fault}; put back a copy or remove it") from None
    return out


def save(store: Path, move: Migration) -> None:
    write_file(store / f"{move.id}.move", msgspec.json.encode(move))


def load_draining_cells(store: Path) -> tuple[str, ...]:
    """Cells that take no tenants. Raises ValueError for a file that does not say so."""
    path = store / "draining.json"
    try:
        cells: tuple[str, ...] = msgspec.json.decode(path.read_bytes(), type=tuple[str, ...])
    except FileNotFoundError:
        return ()
    except msgspec.MsgspecError as fault:
        raise ValueError(f"{path}: no list of cells: {fault}; put back a copy or remove it") from None
    return cells


def save_draining_cells(store: Path, cells: tuple[str, ...]) -> None:
    write_file(store / "draining.json", msgspec.json.encode(cells))


def pending_migrations(moves: list[Migration]) -> list[Migration]:
    """Those to be carried on; one that is undone gave way to its undoing, and its record ends as it was."""
    undone = {m.id.removesuffix("-undo") for m in moves if m.undone}
    return [m for m in moves if m.step is not MigrationStep.DONE and m.id not in undone]


def tenant_cells(moves: list[Migration], placed: CellPlacement) -> dict[str, str]:
    """Where each tenant that is named or was moved lives, or is on its way to."""
    out = dict(placed.cell_by_tenant)
    for move in sorted(moves, key=lambda m: m.gen):
        out[move.tenant] = move.target
    return out


def plan_cell_drain(
    cell: str, moves: list[Migration], placed: CellPlacement, shut: tuple[str, ...]
) -> dict[str, str]:
    """A new cell for each tenant of one: dealt to the cell with fewest for its workers. Raises ValueError."""
    now = tenant_cells(moves, placed)
    others = [c for c in placed.cells if c != cell and c not in shut]
    if not others:
        raise ValueError(f"no other cell takes the tenants of {cell}; end the draining of one")
    load = {c: sum(x == c for x in now.values()) / len(placed.replicas_of(c)) for c in others}
    out = {}
    for tenant in sorted((t for t, c in now.items() if c == cell), key=lambda t: (stable_hash(t), t)):
        best = min(others, key=lambda c: (load[c], c))
        load[best] += 1 / len(placed.replicas_of(best))
        out[tenant] = best
    return out


def create_migrations(store: Path, settings: Settings, tenants: Mapping[str, str]) -> list[Migration]:
    """Makes and keeps a record for each tenant, by its new cell. Raises ValueError, and then none is made."""
    placed, shut = settings.fleet.placement, load_draining_cells(store)
    assert placed is not None
    moves = load_migrations(store)
    out = []
    for n, (tenant, to) in enumerate(tenants.items()):
        if to not in placed.cells:
            raise ValueError(f"no cell {to!r}; the placement has {', '.join(placed.cells)}")
        if to in shut:
            raise ValueError(f"cell {to} is draining and takes no tenants; move {tenant} elsewhere")
        last = max((m for m in moves if m.tenant == tenant), key=lambda m: m.gen, default=None)
        if last is not None and last.step is not MigrationStep.DONE:
            raise ValueError(f"tenant {tenant} is on its way by move {last.id}; undo that first")
        source, gen = (last.target, last.gen) if last else (placed.home_cell(tenant), 1)
        if source == to:
            raise ValueError(f"tenant {tenant} lives in {to}")
        out.append(Migration(f"{len(moves) + n:06d}-{gen + 1}", tenant, source, to, gen + 1))
    for move in out:
        save(store, move)
    return out


def undo_migration(store: Path, id: str) -> Migration:
    """Raises ValueError where that can't be."""
    known = {m.id: m for m in load_migrations(store)}
    if id not in known:
        raise ValueError(f"no move {id}; known are {', '.join(sorted(known)) or 'none'}")
    back = known[id].undo()
    if back.id not in known:
        save(store, back)
    return known.get(back.id, back)


class MigrationRunner:
    """`told` hears of each change of a record, with what it waits for."""

    def __init__(self, settings: Settings, store: Path, on_change: Callable[[Migration, str], None]) -> None:
        assert settings.fleet.placement is not None
        self.settings, self.store, self.on_change = settings, store, on_change
        self.placement = settings.fleet.placement
        self.governors = tuple(g.name for g in settings.governors)
        self.cells = {c: tuple(sorted(self.placement.replicas_of(c))) for c in self.placement.cells}
        self.fencing_wait_us = self.placement.lease_us + self.placement.settle_us
        self._clients = {
            g.name: HttpClient(*g.listen_address, connect_timeout_s=0.5) for g in settings.governors
        }
        self._addresses: dict[str, str] = {}
        self._room = asyncio.Semaphore(MAX_CONCURRENT_MIGRATIONS)

    async def run(self, moves: list[Migration]) -> list[Migration]:
        """All of them to their end or a conflict; one that is undone meanwhile gives way to its undoing."""
        follow = asyncio.ensure_future(self._roster())
        try:
            return list(await asyncio.gather(*(self._one(m) for m in moves)))
        finally:
            follow.cancel()
            for client in self._clients.values():
                client.close()

    async def _one(self, move: Migration) -> Migration:
        async with self._room:
            said, pause = "", MIN_RETRY_DELAY_S
            while move.step is not MigrationStep.DONE and not move.conflict:
                if not move.undone and (self.store / f"{move.id}-undo.move").exists():
                    self.on_change(move, "undone")
                    return move
                step = move.step
                answers = await asyncio.gather(
                    *(self._say(to, move) for to in move.pending_recipients(self.governors, self.cells))
                )
                after = move
                for answer in answers:
                    if answer is not None:
                        after = after.acknowledged(monotonic_us(), answer, self.governors)
                after = after.advance(monotonic_us(), self.governors, self.cells, self.fencing_wait_us)
                if after.restarted() != move.restarted():  # what is not kept needs no keeping
                    save(self.store, after)  # before anything of a new step is sent
                    pause = MIN_RETRY_DELAY_S
                move = after
                waits = move.describe_wait(monotonic_us(), self.governors, self.cells, self.fencing_wait_us)
                if waits != said:
                    said = waits
                    self.on_change(move, waits)
                if move.step is step and move.step is not MigrationStep.DONE:
                    await asyncio.sleep(min(pause, self._wait(move)))
                    pause = min(MAX_RETRY_DELAY_S, 2 * pause)
            return move

    def _wait(self, move: Migration) -> float:
        """Seconds until the lease and settle time are over, where only they are still waited for."""
        left = (
            (move.since + self.fencing_wait_us - monotonic_us()) / 1e6
            if move.since >= 0
            else MAX_RETRY_DELAY_S
        )
        return left + 0.01 if left > 0 else MIN_RETRY_DELAY_S

    async def _say(self, to: str, move: Migration) -> AssignmentAck | None:
        """One word to a governor or worker; None where no answer came."""
        target = "/v1/cells/word" if to in self.governors else "/cell/word"
        # By address: one that came back elsewhere was asked where it had been, to the end of the move.
        where = to if to in self.governors else self._addresses.get(to, "")
        try:
            client = self._clients.get(where) or HttpClient(*parse_address(where), connect_timeout_s=0.5)
        except ValueError:
            return None
        self._clients[where] = client
        try:
            response = await client.request(
                "POST", target, msgspec.json.encode(move.assignment()), timeout_s=1.0
            )
            if response.status == 200:
                answer: AssignmentAck = msgspec.json.decode(response.body, type=AssignmentAck)
                return answer
        except QUERY_ERRORS:
            pass
        return None

    async def _roster(self) -> None:
        """Where workers are reached; the last list stands while the roster does not answer."""
        client = HttpClient(*self.settings.fleet.endpoint_list_address)
        zone = self.settings.governors[0].zone
        while True:
            if (entries := await fetch_endpoints(client, zone)) is not None:
                self._addresses = {e.replica: e.address or e.replica for e in entries}
            await asyncio.sleep(1.0)
