"""The migration runner over HTTP: restarts after each record, conflicts, undos, unreachable replicas."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from gradehoist.cells.assignment import TenantAssignment
from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.migration import runner
from gradehoist.migration.planning import undo_migration
from gradehoist.migration.records import load_migrations, save_migration
from gradehoist.store.atomic_file import write_file
from gradehoist.store.folder_lock import FolderLock, FolderLockedError
from tests.support.migration_site import CELL_BY_REPLICA, FOREVER_US, TENANT, MigrationSite

SOURCE_REPLICAS, TARGET_REPLICAS = ("a1", "a2"), ("b1", "b2")


class KilledError(Exception):
    """The runner was killed."""


@pytest.fixture
def killed_after_each_record(monkeypatch: pytest.MonkeyPatch) -> None:
    def save_and_raise(folder: Path, migration: Migration) -> None:
        save_migration(folder, migration)
        raise KilledError

    monkeypatch.setattr(runner, "save_migration", save_and_raise)


def check_fences(site: MigrationSite, migration: Migration, unresponsive: str) -> None:
    """Checks that the source and the target never both accept a write."""
    if migration.step is MigrationStep.CLOSE:
        assert not any(site.accepts_write(name, 2) for name in TARGET_REPLICAS)
    else:
        assert not any(site.accepts_write(name, 1) for name in SOURCE_REPLICAS if name != unresponsive)


@pytest.mark.parametrize("unresponsive", ["", "a2"])
@pytest.mark.usefixtures("killed_after_each_record")
def test_a_runner_killed_after_each_record_completes_the_migration(tmp_path: Path, unresponsive: str) -> None:
    folder = tmp_path / "s"

    async def run_until_done(site: MigrationSite) -> int:
        """Returns the number of runs that were needed."""
        for run in range(1, 21):
            try:
                ended = await site.run_pending_migrations(folder)
            except KilledError:
                (migration,) = load_migrations(folder)
                check_fences(site, migration, unresponsive)
                if migration.step is MigrationStep.DONE:
                    return run
            else:
                assert not ended
                return run
        return 20

    async def check() -> None:
        site = MigrationSite(tmp_path, unresponsive)
        try:
            site.create_migration(folder)
            runs = await run_until_done(site)
            assert runs >= 3
            assert site.directory.route(TENANT, "A") == ("B", 2)
            # A replica that missed the runner's notification learns of it from the next heartbeat.
            for name in TARGET_REPLICAS:
                heartbeat = site.directory.heartbeat_assignments()
                site.fences[name] = site.fences[name].renew_lease(0, FOREVER_US, heartbeat)
                assert site.accepts_write(name, 2)
        finally:
            site.close()

    asyncio.run(check())


def test_a_waiting_migration_describes_its_wait_and_is_replaced_by_its_undo(tmp_path: Path) -> None:
    folder = tmp_path / "s"

    async def check() -> None:
        site = MigrationSite(tmp_path, unresponsive="g")
        waits = list[str]()
        # This write stays in flight, so that a2 does not confirm.
        site.fences["a2"], _ = site.fences["a2"].check_write(0, TENANT, "A", 1, "k1")
        try:
            migration = site.create_migration(folder)
            running = asyncio.ensure_future(site.run_pending_migrations(folder, waits))
            for _ in range(100):
                await asyncio.sleep(0.05)
                if any("a2 to confirm" in wait and "governors a" in wait for wait in waits):
                    break
            with pytest.raises(ValueError, match="undo that first"):
                site.create_migration(folder)
            undo = undo_migration(folder, migration.id)
            (ended,) = await running
            assert ended.step is MigrationStep.CLOSE
            assert waits[-1] == "shut: undone"
            site.unresponsive = ""
            step_by_id = {ended.id: ended.step for ended in await site.run_pending_migrations(folder, waits)}
            assert step_by_id == {migration.id: MigrationStep.CLOSE, undo.id: MigrationStep.DONE}
        finally:
            site.close()
        assert site.directory.route(TENANT, "A") == ("A", 3)
        assert site.accepts_write("a1", 3)
        assert not site.accepts_write("b1", 2)
        assert not site.accepts_write("a1", 1)

    asyncio.run(check())


def test_an_unknown_migration_cannot_be_undone(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="no move"):
        undo_migration(tmp_path, "nothing")


def test_a_migration_stops_if_another_one_has_the_same_generation(tmp_path: Path) -> None:
    async def check() -> None:
        site = MigrationSite(tmp_path)
        try:
            another = TenantAssignment(TENANT, 2, "another")
            site.directory, _ = site.directory.apply_assignment(another)
            site.create_migration(tmp_path / "s")
            (ended,) = await site.run_pending_migrations(tmp_path / "s")
            assert "another" in ended.conflict
            assert ended.step is MigrationStep.CLOSE
            assert not any(site.accepts_write(name, 2) for name in CELL_BY_REPLICA)
        finally:
            site.close()

    asyncio.run(check())


def test_a_record_store_has_one_writer_at_a_time(tmp_path: Path) -> None:
    lock = FolderLock(tmp_path)
    with pytest.raises(FolderLockedError, match="in use by pid"):
        FolderLock(tmp_path)
    lock.release()
    FolderLock(tmp_path).release()


def test_a_failed_file_replacement_keeps_the_old_content(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    def fail_for_lack_of_space(fd: int) -> None:
        raise OSError(28, "No space left on device")

    write_file(tmp_path / "x", b"old")
    monkeypatch.setattr("os.fsync", fail_for_lack_of_space)
    with pytest.raises(OSError, match="No space left"):
        write_file(tmp_path / "x", b"new")
    assert (tmp_path / "x").read_bytes() == b"old"


def test_an_invalid_record_is_reported_with_its_file(tmp_path: Path) -> None:
    (tmp_path / "000000-2.move").write_bytes(b"{")
    with pytest.raises(ValueError, match="000000-2.move"):
        load_migrations(tmp_path)


@pytest.mark.parametrize("first", ["127.0.0.1:99999", "nowhere", "127.0.0.1:9"])
def test_a_replica_is_notified_at_its_current_address(tmp_path: Path, first: str) -> None:
    """With clients kept by name, a replica that returned elsewhere was notified at its old address."""

    async def check() -> None:
        site = MigrationSite(tmp_path)
        site.use_settle_time_of_a_minute()
        site.listed_addresses["a2"] = first
        site.create_migration(tmp_path / "moves")
        running = asyncio.ensure_future(site.run_pending_migrations(tmp_path / "moves"))
        await asyncio.sleep(0.7)
        assert not running.done()  # a2 has not confirmed, and the settle time is a minute
        site.listed_addresses.clear()
        (migration,) = await running
        assert migration.step is MigrationStep.DONE
        assert not site.accepts_write("a2", 1)
        site.close()

    asyncio.run(asyncio.wait_for(check(), 30))


def test_notifications_of_an_unresponsive_replica_back_off(tmp_path: Path) -> None:
    async def check() -> None:
        site = MigrationSite(tmp_path, unresponsive="a2")
        site.use_settle_time_of_a_minute()
        site.create_migration(tmp_path / "moves")
        running = asyncio.ensure_future(site.run_pending_migrations(tmp_path / "moves"))
        await asyncio.sleep(4.0)
        running.cancel()
        await asyncio.gather(running, return_exceptions=True)
        # The notifications are sent at about 0, 0.3, 0.9 and 2.1 s; without backoff there were fourteen.
        assert 3 <= site.request_counts["a2"] <= 5, site.request_counts
        site.close()

    asyncio.run(asyncio.wait_for(check(), 30))
