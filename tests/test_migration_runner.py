"""The mover over HTTP: killed after each record that it keeps, stopped, turned back, one at a time."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace
from pathlib import Path

import msgspec
import pytest

from gradehoist.cells.migration import (
    Migration,
    MigrationStep,
    ReplicaFence,
    TenantAssignment,
    TenantDirectory,
    WriteDecision,
)
from gradehoist.migration import runner as mover
from gradehoist.net.server import Connection, HttpServer, ServerResponse, json_response
from gradehoist.protocol import feed, http
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement
from gradehoist.store.atomic_file import write_file
from gradehoist.store.folder_lock import FolderLock, FolderLockedError
from tests.support.governed_fleet import on_sockets

LOCAL = "127.0.0.1"
CELLS = {"a1": "A", "a2": "A", "b1": "B", "b2": "B"}


class Site:
    """A governor's book, four workers' fences and a roster, each on a port of its own."""

    def __init__(self, folder: Path, deaf: str = "") -> None:
        found = find_free_ports(6)
        self.at = dict(zip(("roster", "g", *CELLS), found, strict=True))
        self.book = TenantDirectory("a")
        self.fences = {w: ReplicaFence(w, c, lease_until_us=1 << 60) for w, c in CELLS.items()}
        self.asked = Counter[str]()
        self.deaf, self.moved = deaf, dict[str, str]()  # moved: addresses that the roster tells instead
        self.servers = []
        for name, port in self.at.items():
            server = HttpServer(lambda q, c, name=name: self.handle(name, q, c))  # type: ignore[misc]
            server.listen(port, LOCAL)
            self.servers.append(server)
        self.settings = on_sockets(
            folder,
            self.at["roster"],
            self.at["g"],
            CellPlacement(("A", "B"), CELLS, {"inn": "A"}),
            'lease="50ms" settle="100ms"',
        )

    async def handle(self, name: str, request: http.Request, connection: Connection) -> ServerResponse | None:
        if name == "roster":
            entries = tuple(
                feed.EndpointRecord(w, "x", self.moved.get(w, f"{LOCAL}:{self.at[w]}")) for w in CELLS
            )
            return json_response(feed.EndpointListUpdate("l", 1, entries, True))
        self.asked[name] += 1
        if name == self.deaf:
            return None
        word: TenantAssignment = msgspec.json.decode(request.body, type=TenantAssignment)
        if name == "g":
            self.book, answer = self.book.apply_assignment(word)
        else:
            self.fences[name], answer = self.fences[name].apply_assignment(word)
        return json_response(answer)

    def takes(self, worker: str, gen: int) -> bool:
        fence = self.fences[worker]
        return fence.check_write(0, "inn", fence.cell, gen, "new")[1] is WriteDecision.ACCEPT

    def settle_in_a_minute(self) -> None:
        """Longer than a test waits: only the workers' own words end the step."""
        fleet = self.settings.fleet
        assert fleet.placement is not None
        cells = msgspec.structs.replace(fleet.placement, settle_us=60_000_000)
        self.settings = replace(self.settings, fleet=replace(fleet, placement=cells))

    def close(self) -> None:
        for server in self.servers:
            server.abort()


def order(site: Site, store: Path) -> list[Migration]:
    return mover.create_migrations(store, site.settings, {"inn": "B"})


async def carry(site: Site, store: Path, said: list[str] | None = None) -> list[Migration]:
    told = [] if said is None else said
    one = mover.MigrationRunner(
        site.settings, store, lambda m, waits: told.append(f"{m.step.value}: {waits}")
    )
    return await asyncio.wait_for(
        one.run([m for m in mover.load_migrations(store) if m.step is not MigrationStep.DONE]), 20
    )


@pytest.mark.parametrize("deaf", ["", "a2"])
def test_killed_after_each_record_it_goes_on_to_the_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, deaf: str
) -> None:
    class Killed(Exception): ...

    async def work() -> None:
        site, lives, keep = Site(tmp_path, deaf), 0, mover.save
        try:
            order(site, tmp_path / "s")
            while lives < 20:
                lives += 1

                def save(store: Path, move: Migration) -> None:
                    keep(store, move)
                    raise Killed

                monkeypatch.setattr(mover, "save", save)
                try:
                    ended = await carry(site, tmp_path / "s")
                except Killed:
                    (move,) = mover.load_migrations(tmp_path / "s")
                    if move.step is MigrationStep.CLOSE:  # not one of the new cell's may take a write yet
                        assert not any(site.takes(w, 2) for w in ("b1", "b2"))
                    if move.step is not MigrationStep.CLOSE:
                        assert not any(site.takes(w, 1) for w in ("a1", "a2") if w != deaf)
                    if move.step is MigrationStep.DONE:
                        break
                    continue
                assert not ended
                break
            assert lives >= 3 and site.book.route("inn", "A") == ("B", 2)
            for name in ("b1", "b2"):  # a worker that missed the mover's word has it from the next heartbeat
                site.fences[name] = site.fences[name].renew_lease(
                    0, 1 << 60, site.book.heartbeat_assignments()
                )
                assert site.takes(name, 2)
        finally:
            site.close()

    asyncio.run(work())


def test_a_move_says_what_it_waits_for_and_an_undo_takes_its_place(tmp_path: Path) -> None:
    async def work() -> None:
        site, said, store = Site(tmp_path, deaf="g"), list[str](), tmp_path / "s"
        # A write in hand that never ends.
        site.fences["a2"], _ = site.fences["a2"].check_write(0, "inn", "A", 1, "k1")
        try:
            (move,) = order(site, store)
            running = asyncio.ensure_future(carry(site, store, said))
            for _ in range(100):
                await asyncio.sleep(0.05)
                if any("a2 to confirm" in s and "governors a" in s for s in said):
                    break
            with pytest.raises(ValueError, match="undo that first"):
                order(site, store)
            back = mover.undo_migration(store, move.id)
            (ended,) = await running
            assert ended.step is MigrationStep.CLOSE and said[-1] == "shut: undone"
            site.deaf = ""
            assert (await carry(site, store, said))[
                -1
            ].step is MigrationStep.DONE or back.step is MigrationStep.CLOSE
        finally:
            site.close()
        assert site.book.route("inn", "A") == ("A", 3)
        assert site.takes("a1", 3) and not site.takes("b1", 2) and not site.takes("a1", 1)
        with pytest.raises(ValueError, match="no move"):
            mover.undo_migration(store, "nothing")

    asyncio.run(work())


def test_a_generation_that_another_move_holds_stops_this_one(tmp_path: Path) -> None:
    async def work() -> None:
        site = Site(tmp_path)
        try:
            site.book, _ = site.book.apply_assignment(TenantAssignment("inn", 2, "another"))
            order(site, tmp_path / "s")
            (ended,) = await carry(site, tmp_path / "s")
            assert "another" in ended.conflict and ended.step is MigrationStep.CLOSE
            assert not any(site.takes(w, 2) for w in CELLS)
        finally:
            site.close()

    asyncio.run(work())


def test_one_writer_a_store_and_files_old_or_new(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    lock = FolderLock(tmp_path)
    with pytest.raises(FolderLockedError, match="in use by pid"):
        FolderLock(tmp_path)
    lock.release()
    FolderLock(tmp_path).release()
    write_file(tmp_path / "x", b"old")

    def full(fd: int) -> None:
        raise OSError(28, "No space left on device")

    monkeypatch.setattr("os.fsync", full)
    with pytest.raises(OSError):
        write_file(tmp_path / "x", b"new")
    assert (tmp_path / "x").read_bytes() == b"old"
    (tmp_path / "000000-2.move").write_bytes(b"{")
    with pytest.raises(ValueError, match="000000-2.move"):
        mover.load_migrations(tmp_path)


@pytest.mark.parametrize("first", ["127.0.0.1:99999", "nowhere", "127.0.0.1:9"])
def test_a_worker_is_asked_where_it_is_now_and_an_address_that_is_none_ends_no_mover(
    tmp_path: Path, first: str
) -> None:
    async def work() -> None:
        site = Site(tmp_path)
        site.moved["a2"] = first
        site.settle_in_a_minute()
        order(site, tmp_path / "moves")
        carried = asyncio.ensure_future(carry(site, tmp_path / "moves"))
        await asyncio.sleep(0.7)
        assert not carried.done()  # a2 has not confirmed, and the wait without it is a minute
        site.moved.clear()
        (move,) = await carried
        assert move.step is MigrationStep.DONE and not site.takes("a2", 1)
        site.close()

    asyncio.run(asyncio.wait_for(work(), 30))


def test_a_worker_that_does_not_answer_is_asked_less_and_less(tmp_path: Path) -> None:
    async def work() -> None:
        site = Site(tmp_path, deaf="a2")
        site.settle_in_a_minute()
        order(site, tmp_path / "moves")
        carried = asyncio.ensure_future(carry(site, tmp_path / "moves"))
        await asyncio.sleep(4.0)
        carried.cancel()
        await asyncio.gather(carried, return_exceptions=True)
        assert 3 <= site.asked["a2"] <= 5, site.asked  # at 0, 0.3, 0.9, 2.1 s, and not fourteen times
        site.close()

    asyncio.run(asyncio.wait_for(work(), 30))
