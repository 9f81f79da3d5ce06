"""The two backends of the coordination store: the guarantees of both, and the faults of each."""

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

SECOND = 1_000_000  # in microseconds
StoreTest = Callable[[CoordinationStore, Any], Awaitable[None]]


@contextlib.asynccontextmanager
async def open_store(kind: str, folder: Path) -> AsyncIterator[tuple[CoordinationStore, Any]]:
    """Yields a store, and its folder or the state of the etcd server that it uses."""
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


def run_with_store(kind: str, folder: Path, test: StoreTest) -> None:
    """Runs a test with an open store of a kind."""

    async def run() -> None:
        async with open_store(kind, folder) as (store, backend):
            await test(store, backend)

    asyncio.run(asyncio.wait_for(run(), 30))


both_backends = pytest.mark.parametrize("kind", ["sqlite", "etcd"])


async def commit(store: CoordinationStore, *changes: Change, commit_id: str = "t") -> int:
    answer = await store.commit(changes, commit_id)
    assert isinstance(answer, Committed), answer
    return answer.revision


@both_backends
def test_a_commit_is_atomic_and_a_rejection_contains_the_conflicting_records(
    kind: str, tmp_path: Path
) -> None:
    async def test(store: CoordinationStore, _: Any) -> None:
        first = await commit(store, Put("a", b"1", 0), Put("b", b"2", 0), commit_id="x:1")
        snapshot = await store.read("")
        assert [(x.key, x.value, x.version, x.commit_id) for x in snapshot.records] == [
            ("a", b"1", first, "x:1"),
            ("b", b"2", first, "x:1"),
        ]
        rejected = await store.commit((Put("a", b"3", first), Put("b", b"3", 0)), "x:2")
        assert isinstance(rejected, CommitRejected)
        assert {x.key: x.commit_id for x in rejected.records} == {"a": "x:1", "b": "x:1"}
        assert (await store.read("a")).records[0].value == b"1"
        second = await commit(store, Put("a", b"3", first), Delete("b", first), commit_id="x:3")
        assert second > first
        assert [x.key for x in (await store.read("")).records] == ["a"]
        with pytest.raises(RecordTooLargeError):
            await store.commit((Put("c", b"x" * 262_145, 0),), "x:4")

    run_with_store(kind, tmp_path, test)


@both_backends
def test_a_watch_waits_returns_every_change_in_order_and_reports_compaction(
    kind: str, tmp_path: Path
) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        first = await commit(store, Put("a", b"0", 0))
        unchanged = await store.watch("", first, SECOND // 5)
        assert unchanged.events == ()
        assert unchanged.after_revision == unchanged.revision == first
        waiting = asyncio.ensure_future(store.watch("a", first, 5 * SECOND))
        await asyncio.sleep(0.1)
        second = await commit(store, Put("a", b"1", first), commit_id="y")
        batch = await waiting
        (event,) = batch.events
        assert (event.key, event.revision, event.record and event.record.commit_id) == ("a", second, "y")
        third = await commit(store, Delete("a", second))
        batch = await store.watch("", first, SECOND)
        events = list(batch.events)
        if batch.revision < third:
            events += (await store.watch("", batch.revision, SECOND)).events
        assert [(event.revision, event.record is None) for event in events] == [
            (second, False),
            (third, True),
        ]
        version = 0
        for n in range(150 if kind == "sqlite" else 3):
            version = await commit(store, Put("z", str(n).encode(), version))
        if kind == "etcd":
            backend.keyspace.compact(0)
        with pytest.raises(HistoryCompactedError):
            await store.watch("", first, SECOND)

    run_with_store(kind, tmp_path, test)


@both_backends
def test_an_expired_session_loses_its_records_and_cannot_be_renewed(kind: str, tmp_path: Path) -> None:
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

    run_with_store(kind, tmp_path, test)


def test_a_full_database_rejects_commits_until_there_is_space(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, _: Any) -> None:
        assert isinstance(store, SqliteStore)
        version = await commit(store, Put("a", b"1", 0))
        await store._calls.run(lambda: store._records.connect().execute("PRAGMA max_page_count = 1"))
        with pytest.raises(StoreFullError, match="free some"):
            for n in range(100):
                await store.commit((Put(f"k{n}", b"x" * 4_000, 0),), "t")
        # The error closed the connection and with it the page limit; the earlier records are still there.
        assert (await store.read("a")).records[0].version == version
        await commit(store, Put("a", b"2", version))

    run_with_store("sqlite", tmp_path, test)


def test_a_restored_older_folder_is_an_error_first_and_is_then_read(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, folder: Path) -> None:
        first = await commit(store, Put("a", b"1", 0))
        copy = tmp_path / "copy"
        copy.mkdir()
        with (
            sqlite3.connect(folder / "register.db") as source,
            sqlite3.connect(copy / "register.db") as backup,
        ):
            source.backup(backup)
        second = await commit(store, Put("a", b"2", first))
        waiting = asyncio.ensure_future(store.watch("", second, 5 * SECOND))
        await asyncio.sleep(0.2)
        os.rename(folder, tmp_path / "old")
        os.rename(copy, folder)
        with pytest.raises(StoreUnavailableError, match="replaced by another file"):
            await waiting
        snapshot = None
        for _ in range(2):
            with contextlib.suppress(StoreUnavailableError):
                snapshot = await store.read("")
        assert snapshot is not None
        assert snapshot.revision == first
        assert snapshot.records[0].value == b"1"
        assert (await store.watch("", second, SECOND)).revision == first

    run_with_store("sqlite", tmp_path, test)


def test_a_missing_folder_and_a_damaged_database_make_the_store_unavailable(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, folder: Path) -> None:
        store_id = (await store.read("")).store_id
        shutil.rmtree(folder)
        with pytest.raises(StoreUnavailableError):
            await store.read("")
        assert (await store.read("")).store_id != store_id  # a new store was created
        shutil.rmtree(folder)
        folder.mkdir()
        (folder / "register.db").write_bytes(b"no database at all" * 100)
        for _ in range(3):
            with pytest.raises(StoreUnavailableError):
                await store.read("")

    run_with_store("sqlite", tmp_path, test)


def test_sessions_are_extended_after_a_stall_of_the_store(tmp_path: Path) -> None:
    """If no session at all is renewed for longer than its time to live, the machine has stalled."""

    async def test(store: CoordinationStore, _: Any) -> None:
        session, other = await store.open_session(SECOND), await store.open_session(SECOND)
        await asyncio.sleep(1.5)
        await store.renew_session(session)
        await store.renew_session(other)

    run_with_store("sqlite", tmp_path, test)


def test_the_outcome_of_a_commit_is_unknown_only_if_its_response_was_lost(tmp_path: Path) -> None:
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
        without_server = EtcdStore("127.0.0.1", port)
        with pytest.raises(StoreUnavailableError):
            await without_server.commit((Put("b", b"1", 0),), "x:2")
        await without_server.close()

    run_with_store("etcd", tmp_path, test)


def test_a_watch_returns_each_change_once_despite_interruptions_and_repetitions(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        backend.apply_command({"cut": 1, "repeat": True})
        watched_revision, values, version = (await store.read("")).revision, list[bytes](), 0
        for n in range(6):
            version = await commit(store, Put("a", str(n).encode(), version))
            for _ in range(20):
                if len(values) > n:
                    break
                with contextlib.suppress(StoreUnavailableError):
                    batch = await store.watch("", watched_revision, SECOND // 2)
                    watched_revision = batch.revision
                    values += [event.record.value for event in batch.events if event.record]
        assert values == [str(n).encode() for n in range(6)]
        backend.apply_command({"do": "snapshot"})
        last = await commit(store, Put("a", b"late", version))
        backend.apply_command({"do": "restore"})
        store._watch = None  # type: ignore[attr-defined]  # a server that was restored has closed its streams
        assert (await store.watch("", last, SECOND)).revision < last

    run_with_store("etcd", tmp_path, test)


def test_a_watch_after_a_rollback_misses_no_change_written_since(tmp_path: Path) -> None:
    """After a rollback the watch has to be opened again at the older revision.

    The stream that revealed the rollback starts at a later revision and skips all changes up to that one.
    """

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

    run_with_store("etcd", tmp_path, test)


def test_a_malformed_value_affects_only_its_own_record(tmp_path: Path) -> None:
    async def test(store: CoordinationStore, backend: Any) -> None:
        await commit(store, Put("a", b"1", 0))
        backend.keyspace.write([(b"gradehoist/odd", b"\xff\x00", 0)], [])
        malformed = {record.key: record.malformed for record in (await store.read("")).records}
        assert malformed == {"a": False, "odd": True}

    run_with_store("etcd", tmp_path, test)
