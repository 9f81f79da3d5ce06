"""The register's two homes: the same promises of both, and each one's own faults."""

from __future__ import annotations

import asyncio
import contextlib
import os
import shutil
import sqlite3
from collections.abc import AsyncIterator, Awaitable, Callable
from pathlib import Path
from typing import Any

import pytest

from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationStore,
    Delete,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    RecordTooLargeError,
    SessionEndedError,
    StoreFullError,
    StoreUnavailableError,
)
from gradehoist.net.etcd import EtcdStore
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.store.sqlite_store import SqliteStore
from gradehoist.testbed import etcd_server as standin

SECOND = 1_000_000
Test = Callable[[CoordinationStore, Any], Awaitable[None]]


@contextlib.asynccontextmanager
async def home(kind: str, folder: Path) -> AsyncIterator[tuple[CoordinationStore, Any]]:
    """A home, and the stand-in behind it or the folder."""
    if kind == "embedded":
        own: CoordinationStore = SqliteStore(folder / "register", change_log_length=50)
        try:
            yield own, folder / "register"
        finally:
            await own.close()
        return
    (port,) = find_free_ports(1)
    engine, server = standin.serve(port)
    own = EtcdStore("127.0.0.1", port)
    try:
        yield own, engine
    finally:
        await own.close()
        server.stop()
        await server.close_all_connections()


def play(kind: str, folder: Path, test: Test) -> None:
    async def run() -> None:
        async with home(kind, folder) as (own, behind):
            await test(own, behind)

    asyncio.run(asyncio.wait_for(run(), 30))


BOTH = pytest.mark.parametrize("kind", ["embedded", "engine"])


async def done(own: CoordinationStore, *changes: Change, token: str = "t") -> int:
    answer = await own.commit(changes, token)
    assert isinstance(answer, Committed), answer
    return answer.revision


@BOTH
def test_a_commit_is_whole_or_not_and_tells_what_stands_against_it(kind: str, tmp_path: Path) -> None:
    async def test(own: CoordinationStore, _: Any) -> None:
        one = await done(own, Put("a", b"1", 0), Put("b", b"2", 0), token="x:1")
        found = await own.read("")
        assert [(x.key, x.value, x.version, x.commit_id) for x in found.records] == [
            ("a", b"1", one, "x:1"),
            ("b", b"2", one, "x:1"),
        ]
        refused = await own.commit((Put("a", b"3", one), Put("b", b"3", 0)), "x:2")
        assert isinstance(refused, CommitRejected) and {x.key: x.commit_id for x in refused.records} == {
            "a": "x:1",
            "b": "x:1",
        }
        assert (await own.read("a")).records[0].value == b"1"
        two = await done(own, Put("a", b"3", one), Delete("b", one), token="x:3")
        assert two > one and [x.key for x in (await own.read("")).records] == ["a"]
        with pytest.raises(RecordTooLargeError):
            await own.commit((Put("c", b"x" * 262_145, 0),), "x:4")

    play(kind, tmp_path, test)


@BOTH
def test_a_watch_brings_every_change_in_order_waits_and_says_where_history_ends(
    kind: str, tmp_path: Path
) -> None:
    async def test(own: CoordinationStore, behind: Any) -> None:
        first = await done(own, Put("a", b"0", 0))
        quiet = await own.watch("", first, SECOND // 5)
        assert quiet.events == () and quiet.after_revision == quiet.revision == first
        waiting = asyncio.ensure_future(own.watch("a", first, 5 * SECOND))
        await asyncio.sleep(0.1)
        second = await done(own, Put("a", b"1", first), token="y")
        batch = await waiting
        (event,) = batch.events
        assert (event.key, event.revision, event.record and event.record.commit_id) == ("a", second, "y")
        third = await done(own, Delete("a", second))
        batch = await own.watch("", first, SECOND)
        got = list(batch.events)
        if batch.revision < third:
            got += (await own.watch("", batch.revision, SECOND)).events
        assert [(e.revision, e.record is None) for e in got] == [(second, False), (third, True)]
        version = 0
        for n in range(150 if kind == "embedded" else 3):
            version = await done(own, Put("z", str(n).encode(), version))
        if kind == "engine":
            behind.space.compact(0)
        with pytest.raises(HistoryCompactedError):
            await own.watch("", first, SECOND)

    play(kind, tmp_path, test)


@BOTH
def test_a_session_takes_its_records_along_and_is_never_taken_up_again(kind: str, tmp_path: Path) -> None:
    async def test(own: CoordinationStore, _: Any) -> None:
        session, other = await own.open_session(SECOND), await own.open_session(30 * SECOND)
        await done(own, Put("m", b"1", 0, session), Put("n", b"1", 0, other), Put("o", b"1", 0))
        for _ in range(4):
            await asyncio.sleep(0.4)
            await own.renew_session(session)
            await own.renew_session(other)
        assert len((await own.read("")).records) == 3
        for _ in range(6):
            await asyncio.sleep(0.4)
            await own.renew_session(other)
        assert [x.key for x in (await own.read("")).records] == ["n", "o"]
        with pytest.raises(SessionEndedError):
            await own.renew_session(session)
        with pytest.raises(SessionEndedError):
            await own.commit((Put("m", b"2", 0, session),), "t")
        await own.end_session(other)
        assert [x.key for x in (await own.read("")).records] == ["o"]

    play(kind, tmp_path, test)


def test_a_disk_without_room_refuses_plainly_and_takes_commits_again(tmp_path: Path) -> None:
    async def test(own: CoordinationStore, _: Any) -> None:
        assert isinstance(own, SqliteStore)
        version = await done(own, Put("a", b"1", 0))
        await own._calls.run(lambda: own._records.connect().execute("PRAGMA max_page_count = 1"))
        with pytest.raises(StoreFullError, match="free some"):
            for n in range(100):
                await own.commit((Put(f"k{n}", b"x" * 4_000, 0),), "t")
        assert (await own.read("a")).records[0].version == version  # reopened, with all that stood
        await done(own, Put("a", b"2", version))

    play("embedded", tmp_path, test)


def test_an_older_folder_put_in_place_is_a_fault_first_and_then_another_history(tmp_path: Path) -> None:
    async def test(own: CoordinationStore, folder: Path) -> None:
        one = await done(own, Put("a", b"1", 0))
        copy = tmp_path / "copy"
        copy.mkdir()
        with sqlite3.connect(folder / "register.db") as source, sqlite3.connect(copy / "register.db") as kept:
            source.backup(kept)
        two = await done(own, Put("a", b"2", one))
        waiting = asyncio.ensure_future(own.watch("", two, 5 * SECOND))
        await asyncio.sleep(0.2)
        os.rename(folder, tmp_path / "old")
        os.rename(copy, folder)
        with pytest.raises(StoreUnavailableError, match="another"):
            await waiting
        found = None
        for _ in range(2):
            with contextlib.suppress(StoreUnavailableError):
                found = await own.read("")
        assert found is not None and found.revision == one and found.records[0].value == b"1"
        assert (await own.watch("", two, SECOND)).revision == one

    play("embedded", tmp_path, test)


def test_a_folder_that_went_and_one_that_is_no_database_are_told_and_nothing_else(tmp_path: Path) -> None:
    async def test(own: CoordinationStore, folder: Path) -> None:
        lineage = (await own.read("")).store_id
        shutil.rmtree(folder)
        with pytest.raises(StoreUnavailableError):
            await own.read("")
        assert (await own.read("")).store_id != lineage  # another register, and it says so
        shutil.rmtree(folder)
        folder.mkdir()
        (folder / "register.db").write_bytes(b"no database at all" * 100)
        for _ in range(3):
            with pytest.raises(StoreUnavailableError):
                await own.read("")

    play("embedded", tmp_path, test)


def test_sessions_have_their_time_anew_after_a_standstill_of_the_register(tmp_path: Path) -> None:
    """Nobody renewed for longer than a session's time: the machine stood still, not each of them."""

    async def test(own: CoordinationStore, _: Any) -> None:
        session, other = await own.open_session(SECOND), await own.open_session(SECOND)
        await asyncio.sleep(1.5)
        await own.renew_session(session)
        await own.renew_session(other)

    play("embedded", tmp_path, test)


def test_a_write_that_was_taken_and_not_answered_is_unknown_and_one_not_sent_is_not(tmp_path: Path) -> None:
    async def test(own: CoordinationStore, behind: Any) -> None:
        behind.order({"lose": 1.0})
        with pytest.raises(OutcomeUnknownError):
            await own.commit((Put("a", b"1", 0),), "x:1")
        assert behind.space.modified(b"gradehoist/a")
        behind.order({"away": True})
        with pytest.raises(OutcomeUnknownError):
            await own.commit((Put("a", b"1", 0),), "x:1")
        with pytest.raises(StoreUnavailableError):
            await own.read("")
        behind.order({"full": True})
        with pytest.raises(StoreFullError):
            await own.commit((Put("b", b"1", 0),), "x:2")
        (port,) = find_free_ports(1)
        nobody = EtcdStore("127.0.0.1", port)
        with pytest.raises(StoreUnavailableError):
            await nobody.commit((Put("b", b"1", 0),), "x:2")
        await nobody.close()

    play("engine", tmp_path, test)


def test_a_watch_cut_repeated_and_gone_back_brings_each_change_once(tmp_path: Path) -> None:
    async def test(own: CoordinationStore, behind: Any) -> None:
        behind.order({"cut": 1, "repeat": True})
        at, got, version = (await own.read("")).revision, list[bytes](), 0
        for n in range(6):
            version = await done(own, Put("a", str(n).encode(), version))
            for _ in range(20):
                if len(got) > n:
                    break
                with contextlib.suppress(StoreUnavailableError):
                    batch = await own.watch("", at, SECOND // 2)
                    at = batch.revision
                    got += [e.record.value for e in batch.events if e.record]
        assert got == [str(n).encode() for n in range(6)]
        behind.order({"do": "snapshot"})
        last = await done(own, Put("a", b"late", version))
        behind.order({"do": "restore"})
        own._watch = None  # type: ignore[attr-defined]  # an engine that went back has cut its streams
        assert (await own.watch("", last, SECOND)).revision < last

    play("engine", tmp_path, test)


def test_a_value_that_is_no_record_costs_itself_alone(tmp_path: Path) -> None:
    async def test(own: CoordinationStore, behind: Any) -> None:
        await done(own, Put("a", b"1", 0))
        behind.space.write([(b"gradehoist/odd", b"\xff\x00", 0)], [])
        found = {x.key: x.malformed for x in (await own.read("")).records}
        assert found == {"a": False, "odd": True}

    play("engine", tmp_path, test)
