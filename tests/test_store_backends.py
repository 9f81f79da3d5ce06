"""The two backends of the coordination store: the same guarantees of both, and the faults of each."""

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
from gradehoist.testbed import etcd_server

SECOND = 1_000_000
Test = Callable[[CoordinationStore, Any], Awaitable[None]]


@contextlib.asynccontextmanager
async def open_store(kind: str, folder: Path) -> AsyncIterator[tuple[CoordinationStore, Any]]:
    """Yields a store, and the etcd server behind it or its folder."""
    if kind == "sqlite":
        store: CoordinationStore = SqliteStore(folder / "register", change_log_length=50)
        try:
            yield store, folder / "register"
        finally:
            await store.close()
        return
    (port,) = find_free_ports(1)
    server_state, server = etcd_server.serve(port)
    store = EtcdStore("127.0.0.1", port)
    try:
        yield store, server_state
    finally:
        await store.close()
        server.stop()
        await server.close_all_connections()


def play(kind: str, folder: Path, test: Test) -> None:
    async def run() -> None:
        async with open_store(kind, folder) as (store, backend):
            await test(store, backend)

    asyncio.run(asyncio.wait_for(run(), 30))


BOTH = pytest.mark.parametrize("kind", ["sqlite", "etcd"])


async def commit(store: CoordinationStore, *changes: Change, token: str = "t") -> int:
    answer = await store.commit(changes, token)
    assert isinstance(answer, Committed), answer
    return answer.revision


@BOTH
def test_a_commit_is_atomic_and_a_rejection_has_the_conflicting_records(kind: str, tmp_path: Path) -> None:
    async def test(store: CoordinationStore, _: Any) -> None:
        one = await commit(store, Put("a", b"1", 0), Put("b", b"2", 0), token="x:1")
        found = await store.read("")
        assert [(x.key, x.value, x.version, x.commit_id) for x in found.records] == [
            ("a", b"1", one, "x:1"),
            ("b", b"2", one, "x:1"),
        ]
        refused = await store.commit((Put("a", b"3", one), Put("b", b"3", 0)), "x:2")
        assert isinstance(refused, CommitRejected) and {x.key: x.commit_id for x in refused.records} == {
            "a": "x:1",
            "b": "x:1",
        }
        assert (await store.read("a")).records[0].value == b"1"
        two = await commit(store, Put("a", b"3", one), Delete("b", one), token="x:3")
        assert two > one and [x.key for x in (await store.read("")).records] == ["a"]
        with pytest.raises(RecordTooLargeError):
            await store.commit((Put("c", b"x" * 262_145, 0),), "x:4")

    play(kind, tmp_path, test)


@BOTH
def test_a_watch_returns_every_change_in_order_waits_and_reports_compaction(
    kind: str, tmp_path: Path
) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        first = await commit(store, Put("a", b"0", 0))
        quiet = await store.watch("", first, SECOND // 5)
        assert quiet.events == () and quiet.after_revision == quiet.revision == first
        waiting = asyncio.ensure_future(store.watch("a", first, 5 * SECOND))
        await asyncio.sleep(0.1)
        second = await commit(store, Put("a", b"1", first), token="y")
        batch = await waiting
        (event,) = batch.events
        assert (event.key, event.revision, event.record and event.record.commit_id) == ("a", second, "y")
        third = await commit(store, Delete("a", second))
        batch = await store.watch("", first, SECOND)
        got = list(batch.events)
        if batch.revision < third:
            got += (await store.watch("", batch.revision, SECOND)).events
        assert [(e.revision, e.record is None) for e in got] == [(second, False), (third, True)]
        version = 0
        for n in range(150 if kind == "sqlite" else 3):
            version = await commit(store, Put("z", str(n).encode(), version))
        if kind == "etcd":
            backend.keyspace.compact(0)
        with pytest.raises(HistoryCompactedError):
            await store.watch("", first, SECOND)

    play(kind, tmp_path, test)


@BOTH
def test_an_expired_session_takes_its_records_along_and_cannot_be_renewed(kind: str, tmp_path: Path) -> None:
    async def test(store: CoordinationStore, _: Any) -> None:
        session, other = await store.open_session(SECOND), await store.open_session(30 * SECOND)
        await commit(store, Put("m", b"1", 0, session), Put("n", b"1", 0, other), Put("o", b"1", 0))
        for _ in range(4):
            await asyncio.sleep(0.4)
            await store.renew_session(session)
            await store.renew_session(other)
        assert len((await store.read("")).records) == 3
        for _ in range(6):
            await asyncio.sleep(0.4)
            await store.renew_session(other)
        assert [x.key for x in (await store.read("")).records] == ["n", "o"]
        with pytest.raises(SessionEndedError):
            await store.renew_session(session)
        with pytest.raises(SessionEndedError):
            await store.commit((Put("m", b"2", 0, session),), "t")
        await store.end_session(other)
        assert [x.key for x in (await store.read("")).records] == ["o"]

    play(kind, tmp_path, test)


def test_a_full_database_rejects_commits_and_accepts_them_once_there_is_room(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, _: Any) -> None:
        assert isinstance(store, SqliteStore)
        version = await commit(store, Put("a", b"1", 0))
        await store._calls.run(lambda: store._records.connect().execute("PRAGMA max_page_count = 1"))
        with pytest.raises(StoreFullError, match="free some"):
            for n in range(100):
                await store.commit((Put(f"k{n}", b"x" * 4_000, 0),), "t")
        assert (await store.read("a")).records[0].version == version  # reopened, with all that stood
        await commit(store, Put("a", b"2", version))

    play("sqlite", tmp_path, test)


def test_an_older_folder_put_in_place_is_an_error_first_and_then_another_history(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, folder: Path) -> None:
        one = await commit(store, Put("a", b"1", 0))
        copy = tmp_path / "copy"
        copy.mkdir()
        with sqlite3.connect(folder / "register.db") as source, sqlite3.connect(copy / "register.db") as kept:
            source.backup(kept)
        two = await commit(store, Put("a", b"2", one))
        waiting = asyncio.ensure_future(store.watch("", two, 5 * SECOND))
        await asyncio.sleep(0.2)
        os.rename(folder, tmp_path / "old")
        os.rename(copy, folder)
        with pytest.raises(StoreUnavailableError, match="another"):
            await waiting
        found = None
        for _ in range(2):
            with contextlib.suppress(StoreUnavailableError):
                found = await store.read("")
        assert found is not None and found.revision == one and found.records[0].value == b"1"
        assert (await store.watch("", two, SECOND)).revision == one

    play("sqlite", tmp_path, test)


def test_a_missing_folder_and_a_damaged_database_make_the_store_unavailable(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, folder: Path) -> None:
        lineage = (await store.read("")).store_id
        shutil.rmtree(folder)
        with pytest.raises(StoreUnavailableError):
            await store.read("")
        assert (await store.read("")).store_id != lineage  # another register, and it says so
        shutil.rmtree(folder)
        folder.mkdir()
        (folder / "register.db").write_bytes(b"no database at all" * 100)
        for _ in range(3):
            with pytest.raises(StoreUnavailableError):
                await store.read("")

    play("sqlite", tmp_path, test)


def test_sessions_get_their_full_time_again_after_a_standstill_of_the_store(tmp_path: Path) -> None:
    """Nobody renewed for longer than a session's time: the machine stood still, not each of them."""

    async def test(store: CoordinationStore, _: Any) -> None:
        session, other = await store.open_session(SECOND), await store.open_session(SECOND)
        await asyncio.sleep(1.5)
        await store.renew_session(session)
        await store.renew_session(other)

    play("sqlite", tmp_path, test)


def test_a_write_without_a_response_is_of_unknown_outcome_and_one_not_sent_is_not(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        backend.apply_command({"lose": 1.0})
        with pytest.raises(OutcomeUnknownError):
            await store.commit((Put("a", b"1", 0),), "x:1")
        assert backend.keyspace.find_mod_revision(b"gradehoist/a")
        backend.apply_command({"away": True})
        with pytest.raises(OutcomeUnknownError):
            await store.commit((Put("a", b"1", 0),), "x:1")
        with pytest.raises(StoreUnavailableError):
            await store.read("")
        backend.apply_command({"full": True})
        with pytest.raises(StoreFullError):
            await store.commit((Put("b", b"1", 0),), "x:2")
        (port,) = find_free_ports(1)
        nobody = EtcdStore("127.0.0.1", port)
        with pytest.raises(StoreUnavailableError):
            await nobody.commit((Put("b", b"1", 0),), "x:2")
        await nobody.close()

    play("etcd", tmp_path, test)


def test_a_watch_that_is_cut_repeated_or_rolled_back_returns_each_change_once(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        backend.apply_command({"cut": 1, "repeat": True})
        at, got, version = (await store.read("")).revision, list[bytes](), 0
        for n in range(6):
            version = await commit(store, Put("a", str(n).encode(), version))
            for _ in range(20):
                if len(got) > n:
                    break
                with contextlib.suppress(StoreUnavailableError):
                    batch = await store.watch("", at, SECOND // 2)
                    at = batch.revision
                    got += [e.record.value for e in batch.events if e.record]
        assert got == [str(n).encode() for n in range(6)]
        backend.apply_command({"do": "snapshot"})
        last = await commit(store, Put("a", b"late", version))
        backend.apply_command({"do": "restore"})
        store._watch = None  # type: ignore[attr-defined]  # an engine that went back has cut its streams
        assert (await store.watch("", last, SECOND)).revision < last

    play("etcd", tmp_path, test)


def test_a_watch_after_a_rollback_misses_no_change_written_since(tmp_path: Path) -> None:
    """The stream that showed the rollback began behind it: used further, it skipped what came up to there."""

    async def test(store: CoordinationStore, backend: Any) -> None:
        backend.apply_command({"do": "snapshot"})
        version = 0
        for value in (b"1", b"2", b"3"):
            version = await commit(store, Put("a", value, version))
        backend.apply_command({"do": "restore"})
        rolled_back = await store.watch("", version, SECOND)
        assert rolled_back.revision < version

        await commit(store, Put("b", b"1", 0))
        batch = await store.watch("", rolled_back.revision, SECOND)

        assert [event.key for event in batch.events] == ["b"]

    play("etcd", tmp_path, test)


def test_a_malformed_value_costs_only_its_own_record(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        await commit(store, Put("a", b"1", 0))
        backend.keyspace.write([(b"gradehoist/odd", b"\xff\x00", 0)], [])
        found = {x.key: x.malformed for x in (await store.read("")).records}
        assert found == {"a": False, "odd": True}

    play("etcd", tmp_path, test)
