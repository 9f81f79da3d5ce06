"""Compatibility with data stored by the version at commit 88767ee, of which `tests/data/` holds samples.

`tests/data/README.md` describes how the samples were made. Tests that write to a sample work on a copy. The
keys, file names and enum values written out here are those of the stored data and do not change when code is
renamed.
"""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import time
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from gradehoist.capacity_planning.plan import CapacityPlan, PlannedCase, ServedRate
from gradehoist.cells.assignment import AssignmentAck, TenantAssignment
from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.cells.rollout import Rollout, RolloutStep, TrafficCounts
from gradehoist.cli.main import main
from gradehoist.cli.placement_files import load_placement
from gradehoist.cli.plan import load_plan
from gradehoist.coordination.election import LeaderElection
from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.members import ReachabilityReport
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import MemberRecord, OwnershipRecord, ProcessIdentity
from gradehoist.coordination.store import CommitRejected, Committed, Put
from gradehoist.governor.service import GovernorService
from gradehoist.history import linearizability, records
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.migration import rollout as rollout_module
from gradehoist.migration.planning import pending_migrations
from gradehoist.migration.records import (
    load_draining_cells,
    load_migrations,
    load_rollout,
    save_draining_cells,
    save_migration,
    save_rollout,
)
from gradehoist.migration.runner import MigrationRunner
from gradehoist.net.client import HttpClient
from gradehoist.net.coordination_client import CoordinationClient
from gradehoist.protocol import feed
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.settings.fleet import CellPlacement
from gradehoist.settings.fleet_parser import parse_settings
from gradehoist.settings.reader import SettingsReader
from gradehoist.store.sqlite_store import SqliteStore
from gradehoist.testbed import scenario_plan
from gradehoist.zones.evacuation import EvacuationPlan, ZoneEvacuation
from gradehoist.zones.health import HealthReport, PlanVersion, ZoneObservation
from gradehoist.zones.warmup_quota import QuotaAllocation
from tests.support.migration_site import MigrationSite
from tests.support.rollout_site import RolloutSite

DATA = Path(__file__).parent / "data"
LOCAL = "127.0.0.1"
SECOND = 1_000_000
Sample = Callable[[str], Path]


@pytest.fixture
def sample(tmp_path: Path) -> Sample:
    """A function that copies a folder of samples, so that a test may write to it, and returns the copy."""

    def copy(name: str) -> Path:
        return Path(shutil.copytree(DATA / name, tmp_path / name))

    return copy


def run_command(*arguments: str | Path) -> Result:
    """Runs `gradehoist` with these arguments."""
    return CliRunner().invoke(main, [str(argument) for argument in arguments])


def run_async(coroutine: Coroutine[Any, Any, None]) -> None:
    """Runs a coroutine for up to a minute."""
    asyncio.run(asyncio.wait_for(coroutine, 60))


# The coordination store in a folder

STORE_ID = "07158ab795f3"
REVISION = 15
SESSION_A, SESSION_B = "9584375618334edc", "18b3cf3527a240cc"
MEMBER_A = MemberRecord(
    role="governor", name="a", zone="hall-a", incarnation="a-second", generation=2, address="127.0.0.1:7101"
)
MEMBER_B = MemberRecord(
    role="governor", name="b", zone="hall-b", incarnation="b-first", generation=1, address="127.0.0.1:7102"
)
HEALTH_REPORT_A = HealthReport(
    zone="hall-a",
    requests_per_s=12.5,
    list_age_us=400_000,
    observations={
        "hall-a": ZoneObservation(
            attempts=100.0,
            failures=1.0,
            late_responses=2.0,
            ready_replicas=4,
            silent_replicas=0,
            health_checks=3,
            busy_share=0.25,
            sustainable_share=0.5,
        ),
        "hall-b": ZoneObservation(
            attempts=40.0,
            failures=30.0,
            late_responses=1.0,
            ready_replicas=4,
            silent_replicas=1,
            health_checks=3,
            failed_health_checks=2,
        ),
    },
    window_us=10_000_000,
    offered_by_zone={"hall-a": {"rate-check": 9.5, "booking-commit": 3.0}},
    incarnation="a-second",
    applied_plan=PlanVersion(1, 2),
    applied_allocation=3,
)
# By key: the version, the commit that wrote it, the session that it belongs to, and its value.
STORED_RECORDS: dict[str, tuple[int, str, str, Any]] = {
    "floors": (4, "a-second:1", "", {"rights/release": 6}),
    "members/governor/a": (4, "a-second:1", SESSION_A, MEMBER_A),
    "members/governor/b": (5, "b-first:1", SESSION_B, MEMBER_B),
    "names/governor/a": (
        4,
        "a-second:1",
        "",
        OwnershipRecord(generation=2, holder="a-second", member_key="members/governor/a"),
    ),
    "names/governor/b": (
        5,
        "b-first:1",
        "",
        OwnershipRecord(generation=1, holder="b-first", member_key="members/governor/b"),
    ),
    "rights/zones": (
        6,
        "a-second:2",
        "",
        OwnershipRecord(generation=1, holder="a-second", member_key="members/governor/a"),
    ),
    "views/governor/a": (12, "a-second:6", SESSION_A, ReachabilityReport()),
    "views/governor/b": (
        11,
        "b-first:3",
        SESSION_B,
        ReachabilityReport(unreachable=("members/governor/c",), is_isolated=True),
    ),
    "zones/deal": (
        8,
        "a-second:4",
        "",
        QuotaAllocation(
            generation=3,
            leader="a-second",
            quotas={"a-second": 0.75, "b-first": 0.25},
            upper_bounds={"a-second": 0.75, "b-first": 0.5},
        ),
    ),
    "zones/plan": (
        7,
        "a-second:3",
        "",
        EvacuationPlan(
            generation=1,
            leader="a-second",
            step=2,
            zones={
                "hall-b": ZoneEvacuation(
                    traffic_share=0.5, reason="failing", relapses=1, required_healthy_us=20_000_000
                )
            },
            admission_limits={"rate-check": 0.8},
        ),
    ),
    "zones/views/a": (9, "a-second:5", SESSION_A, HEALTH_REPORT_A),
    "zones/views/b": (
        10,
        "b-first:2",
        SESSION_B,
        HealthReport(
            zone="hall-b",
            requests_per_s=4.0,
            list_age_us=900_000,
            observations={"hall-b": ZoneObservation()},
            incarnation="b-first",
        ),
    ),
}
MALFORMED_KEY = "zones/views/strange"  # the key of a record whose value cannot be decoded, at version 13


@contextlib.asynccontextmanager
async def open_store(folder: Path) -> AsyncIterator[SqliteStore]:
    store = SqliteStore(folder)
    try:
        yield store
    finally:
        await store.close()


@contextlib.asynccontextmanager
async def join(
    folder: Path, name: str, incarnation: str
) -> AsyncIterator[tuple[Participant, CoordinationClient]]:
    """Lets a process join the fleet of the store in `folder`; its watch cache holds all records."""
    identity = ProcessIdentity("governor", name, "hall-a", incarnation, "127.0.0.1:7103")
    participant = Participant(identity, 10 * SECOND, seed=1)
    client = CoordinationClient(participant, SqliteStore(folder), lambda notifications: None)
    running = asyncio.create_task(client.run())
    try:
        while not participant.is_joined:
            await asyncio.sleep(0.02)
        yield participant, client
    finally:
        await client.leave(running)


def test_a_store_folder_is_read_with_versions_commit_ids_and_sessions(sample: Sample) -> None:
    async def check() -> None:
        async with open_store(sample("register")) as store:
            snapshot = await store.read("")
        assert (snapshot.store_id, snapshot.revision) == (STORE_ID, REVISION)
        records_by_key = {record.key: record for record in snapshot.records}
        malformed = records_by_key.pop(MALFORMED_KEY)
        assert (malformed.value, malformed.version) == (b"no record of ours", 13)
        assert list(records_by_key) == list(STORED_RECORDS)
        for key, (version, commit_id, session_id, value) in STORED_RECORDS.items():
            record = records_by_key[key]
            assert (record.version, record.commit_id, record.session_id) == (version, commit_id, session_id)
            assert msgspec.json.decode(record.value, type=type(value)) == value
            assert msgspec.json.encode(value) == record.value
            assert not record.malformed

    run_async(check())


def test_a_watch_of_a_store_folder_starts_in_its_stored_log(sample: Sample) -> None:
    async def check() -> None:
        async with open_store(sample("register")) as store:
            batch = await store.watch("", 9, 0)
        assert (batch.store_id, batch.after_revision, batch.revision) == (STORE_ID, 9, REVISION)
        assert [(event.revision, event.key, event.record is not None) for event in batch.events] == [
            (10, "zones/views/b", True),
            (11, "views/governor/b", True),
            (12, "views/governor/a", True),
            (13, MALFORMED_KEY, True),
            (14, "gone/soon", True),
            (15, "gone/soon", False),
        ]

    run_async(check())


def test_a_commit_to_a_store_folder_is_checked_against_the_stored_versions(sample: Sample) -> None:
    async def check() -> None:
        async with open_store(sample("register")) as store:
            rejected = await store.commit((Put("floors", b"{}", 3),), "late:1")
            assert isinstance(rejected, CommitRejected)
            assert [(record.key, record.version) for record in rejected.records] == [("floors", 4)]
            assert await store.commit((Put("floors", b"{}", 4),), "good:1") == Committed(REVISION + 1)

    run_async(check())


def test_stored_sessions_can_be_renewed_and_ended(sample: Sample) -> None:
    async def check() -> None:
        async with open_store(sample("register")) as store:
            assert await store.renew_session(SESSION_A) == REVISION
            assert await store.renew_session(SESSION_B) == REVISION
            await store.end_session(SESSION_A)
            snapshot = await store.read("")
        deleted = {key for key, (_, _, session, _) in STORED_RECORDS.items() if session == SESSION_A}
        assert deleted == {"members/governor/a", "views/governor/a", "zones/views/a"}
        assert {record.key for record in snapshot.records} == {*STORED_RECORDS, MALFORMED_KEY} - deleted

    run_async(check())


def test_a_process_that_joins_reads_members_ownership_and_zones(sample: Sample) -> None:
    async def check() -> None:
        async with join(sample("register"), "c", "c-first") as (participant, _):
            for key, (version, _, _, value) in STORED_RECORDS.items():
                assert participant.decode_record(key, type(value)) == value
                assert participant.records.version(key) == version
            assert participant.decode_record(MALFORMED_KEY, HealthReport) is None
            assert participant.fencing_token == FencingToken(1, "c-first")
            assert participant.records.generation_floors == {"rights/release": 6}
            assert (
                participant.next_generation("rights/release"),
                participant.next_generation("rights/zones"),
            ) == (7, 2)
            election = LeaderElection("zones", takeover_delay_us=0)
            election.advance(time.monotonic_ns() // 1_000, participant)
            assert election.fencing_token is None
            assert not participant.has_pending_commits  # governor a is alive and is the leader

    run_async(check())


def test_the_next_incarnation_of_a_process_gets_the_generation_after_the_stored_one(sample: Sample) -> None:
    async def check() -> None:
        async with join(sample("register"), "a", "a-third") as (participant, _):
            assert participant.fencing_token == FencingToken(3, "a-third")
            while participant.decode_record("members/governor/a", MemberRecord) == MEMBER_A:
                await asyncio.sleep(0.02)  # the watch cache is updated after the commit
            assert participant.decode_record("members/governor/a", MemberRecord) == MemberRecord(
                role="governor",
                name="a",
                zone="hall-a",
                incarnation="a-third",
                generation=3,
                address="127.0.0.1:7103",
            )

    run_async(check())


def test_the_leadership_of_a_stored_leader_that_has_left_passes_to_the_next_generation(
    sample: Sample,
) -> None:
    async def check() -> None:
        folder = sample("register")
        async with open_store(folder) as store:
            await store.renew_session(SESSION_A)
            await store.end_session(SESSION_A)
        async with join(folder, "c", "c-first") as (participant, client):
            election = LeaderElection("zones", takeover_delay_us=0)
            while participant.decode_record("rights/zones", OwnershipRecord) != OwnershipRecord(
                2, "c-first", "members/governor/c"
            ):
                election.advance(time.monotonic_ns() // 1_000, participant)
                client.wake()
                await asyncio.sleep(0.02)
            election.advance(time.monotonic_ns() // 1_000, participant)
            assert election.fencing_token == FencingToken(2, "c-first")

    run_async(check())


# Placement, migrations and rollouts


def test_a_placement_file_is_read_and_created_again_byte_for_byte(sample: Sample, tmp_path: Path) -> None:
    folder, again = sample("placement"), tmp_path / "again.json"
    placement = load_placement(folder / "placement.json")
    assert placement == CellPlacement(
        cells=("c0", "c1"),
        cell_by_replica={"w1": "c1", "w2": "c0", "w3": "c0", "w4": "c1", "w5": "c0", "w6": "c1"},
        cell_by_tenant={"cabin": "c0", "hostel": "c0", "inn": "c1", "lodge": "c1", "villa": "c0"},
        cell_by_range=(),
        lease_us=3_000_000,
        settle_us=10_000_000,
        limits=None,
    )
    assert [placement.home_cell(tenant) for tenant in ("inn", "motel", "palace")] == ["c1", "c1", "c0"]
    files = folder / "tenants.csv", folder / "workers.csv"
    result = run_command("cells", "place", *files, "--cells", "2", "--out", again)
    assert result.exit_code == 0
    assert again.read_bytes() == (folder / "placement.json").read_bytes()


def test_a_split_placement_keeps_its_ranges_and_is_created_again_byte_for_byte(
    sample: Sample, tmp_path: Path
) -> None:
    folder, again = sample("placement"), tmp_path / "again.json"
    placement = load_placement(folder / "split.json")
    assert (placement.cells, placement.cell_by_range) == (("c0", "c1", "c2"), ("c0", "c1"))
    assert placement.replicas_of("c0") == frozenset({"w2"})
    assert placement.replicas_of("c2") == frozenset({"w3", "w5"})
    files = folder / "placement.json", folder / "workers.csv"
    result = run_command("cells", "split", *files, "c0", "--into", "c2", "--out", again)
    assert result.exit_code == 0
    assert again.read_bytes() == (folder / "split.json").read_bytes()


REPLICAS_BY_CELL = {"A": ("a1", "a2"), "B": ("b1", "b2")}
DONE = Migration(
    id="000000-2",
    tenant="inn",
    source="A",
    target="B",
    generation=2,
    step=MigrationStep.DONE,
    confirmed_governors=frozenset({"a"}),
    confirmed_replicas=frozenset({"b1", "b2"}),
    completed_keys=frozenset({"k1"}),
)
CLOSING = Migration(
    id="000001-3",
    tenant="inn",
    source="B",
    target="A",
    generation=3,
    step=MigrationStep.CLOSE,
    confirmed_governors=frozenset({"a"}),
    confirmed_replicas=frozenset({"b1"}),
)
OPEN = Migration(
    id="000002-2", tenant="hostel", source="A", target="B", generation=2, step=MigrationStep.OPEN
)
UNDO = Migration(
    id="000003-2-undo",
    tenant="villa",
    source="B",
    target="A",
    generation=3,
    must_close_source=False,
    is_undo=True,
)
UNDONE = Migration(id="000003-2", tenant="villa", source="A", target="B", generation=2)


def test_records_of_migrations_are_read_with_their_steps() -> None:
    migrations = load_migrations(DATA / "moves")
    assert migrations == [DONE, CLOSING, OPEN, UNDO, UNDONE]
    assert pending_migrations(migrations) == [CLOSING, OPEN, UNDO]
    assert load_draining_cells(DATA / "moves") == ("B",)


@pytest.mark.parametrize(
    ("migration", "recipients", "assignment"),
    [
        (
            DONE,
            [],
            TenantAssignment(
                tenant="inn",
                generation=2,
                migration_id="000000-2",
                cell="B",
                completed_keys=frozenset({"k1"}),
            ),
        ),
        (CLOSING, ["b2"], TenantAssignment(tenant="inn", generation=3, migration_id="000001-3")),
        (
            OPEN,
            ["a", "b1", "b2"],
            TenantAssignment(tenant="hostel", generation=2, migration_id="000002-2", cell="B"),
        ),
        (UNDO, ["a"], TenantAssignment(tenant="villa", generation=3, migration_id="000003-2-undo")),
    ],
    ids=["done", "closing", "open", "undo"],
)
def test_a_stored_migration_has_its_assignment_and_pending_recipients(
    migration: Migration, recipients: list[str], assignment: TenantAssignment
) -> None:
    (stored,) = (record for record in load_migrations(DATA / "moves") if record.id == migration.id)
    assert stored.pending_recipients(("a",), REPLICAS_BY_CELL) == recipients
    assert stored.assignment() == assignment


def test_stored_migrations_are_resumed_and_completed(sample: Sample, tmp_path: Path) -> None:
    async def check() -> None:
        folder, site = sample("moves"), MigrationSite(tmp_path)
        try:
            pending = pending_migrations(load_migrations(folder))
            runner = MigrationRunner(site.settings, folder, lambda migration, wait: None)
            ended = await runner.run(pending)
        finally:
            site.close()
        assert [(migration.id, migration.step) for migration in ended] == [
            ("000001-3", MigrationStep.DONE),
            ("000002-2", MigrationStep.DONE),
            ("000003-2-undo", MigrationStep.DONE),
        ]
        routes = {tenant: site.directory.route(tenant, "A") for tenant in ("inn", "hostel", "villa")}
        assert routes == {"inn": ("A", 3), "hostel": ("B", 2), "villa": ("A", 3)}
        assert pending_migrations(load_migrations(folder)) == []

    run_async(check())


@pytest.mark.parametrize("name", ["000001-3", "000002-2", "000003-2-undo", "000003-2"])
def test_a_record_of_a_migration_is_written_again_byte_for_byte(tmp_path: Path, name: str) -> None:
    """Only records whose sets have at most one member are compared, because sets have no order."""
    stored = (DATA / "moves" / f"{name}.move").read_bytes()
    save_migration(tmp_path, msgspec.json.decode(stored, type=Migration))
    assert (tmp_path / f"{name}.move").read_bytes() == stored


def test_the_list_of_draining_cells_is_written_again_byte_for_byte(tmp_path: Path) -> None:
    save_draining_cells(tmp_path, ("B",))
    assert (tmp_path / "draining.json").read_bytes() == (DATA / "moves" / "draining.json").read_bytes()


COUNTS = TrafficCounts(requests=240, incomplete=0, successes=240, elapsed_us=48_000_000)
HALTED = Rollout(
    id="000001",
    cells=("A", "B", "C"),
    replicas={"A": ("a1", "a2"), "B": ("b1", "b2"), "C": ("c1", "c2")},
    batch_size=1,
    command="/bin/sh -c 'echo {worker} >> renewed'",
    rollback_command="/bin/sh -c 'echo {worker} >> back'",
    cell_index=1,
    step=RolloutStep.HALTED,
    started_replicas=frozenset({"a1", "a2", "b1"}),
    updated_replicas=frozenset({"a1", "a2"}),
    halt_reason="50.0% of 60 transactions of B were not answered, 0.0% before; elsewhere 0.0%",
    baseline={"A": COUNTS, "B": COUNTS, "C": COUNTS},
)
RUNNING = Rollout(
    id="000002",
    cells=HALTED.cells,
    replicas=HALTED.replicas,
    batch_size=1,
    command=HALTED.command,
    rollback_command=HALTED.rollback_command,
    cell_index=1,
    step=RolloutStep.UPDATE,
    started_replicas=frozenset({"a1", "a2", "b1", "b2"}),
    updated_replicas=frozenset({"a1", "a2", "b1"}),
    baseline=HALTED.baseline,
)


def test_a_record_of_a_rollout_is_read_with_its_next_replica(sample: Sample) -> None:
    folder = sample("releases")
    last = load_rollout(folder)
    assert last == RUNNING
    assert (last.cell, last.next_batch()) == ("B", ("b2",))
    (folder / "000002.release").unlink()
    before = load_rollout(folder)
    assert before == HALTED
    assert before.next_batch() == ()


@pytest.mark.parametrize("rollout", [HALTED, RUNNING], ids=["halted", "running"])
def test_a_record_of_a_rollout_is_written_again_with_the_same_fields(
    tmp_path: Path, rollout: Rollout
) -> None:
    """Its sets have several members and so no order; `test_encoded_forms.py` compares bytes."""
    save_rollout(tmp_path, rollout)
    name = f"{rollout.id}.release"
    written: dict[str, Any] = msgspec.json.decode((tmp_path / name).read_bytes())
    stored: dict[str, Any] = msgspec.json.decode((DATA / "releases" / name).read_bytes())
    for record in (written, stored):
        record["touched"].sort()
        record["renewed"].sort()
    assert list(written.items()) == list(stored.items())


@pytest.fixture
def frequent_polls() -> Iterator[None]:
    interval_s, rollout_module.POLL_INTERVAL_S = rollout_module.POLL_INTERVAL_S, 0.05
    yield
    rollout_module.POLL_INTERVAL_S = interval_s


def test_a_stored_rollout_is_resumed_and_completed(
    sample: Sample, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, frequent_polls: None
) -> None:
    monkeypatch.chdir(tmp_path)  # the stored command writes to the working directory
    (tmp_path / "renewed").write_text("a1 a2 b1 b2\n")  # the update of b2 was started
    last = load_rollout(sample("releases"))
    assert last is not None
    ended = RolloutSite(tmp_path).run(last)
    assert ended.step is RolloutStep.DONE
    assert (tmp_path / "renewed").read_text().split() == ["a1", "a2", "b1", "b2", "b2", "c1", "c2"]


# Capacity plans

FIRST_CASE = PlannedCase(
    slot=0,
    lost_zones=(),
    served=(
        ServedRate(
            request_class="booking-commit",
            origin="hall-b",
            zone="hall-a",
            kind="large-4c",
            cell="",
            rate_units=40_000,
        ),
        ServedRate(
            request_class="rate-check",
            origin="hall-a",
            zone="hall-a",
            kind="large-4c",
            cell="",
            rate_units=293_333,
        ),
        ServedRate(
            request_class="rate-check",
            origin="hall-a",
            zone="hall-b",
            kind="large-4c",
            cell="",
            rate_units=6_667,
        ),
    ),
)


def test_a_plan_file_is_read_and_is_valid_for_its_event() -> None:
    plan: CapacityPlan = load_plan(DATA / "plan" / "plan.json")
    assert (plan.version, plan.event, plan.starts_at) == (1, "snow-festival", "2027-02-05T09:00:00+09:00")
    assert (plan.time_zone, plan.slot_s, plan.fleet_checksum) == ("Asia/Tokyo", 3600, "08d663ca")
    assert [(case.slot, case.lost_zones) for case in plan.cases] == [
        (slot, lost) for slot in (0, 1) for lost in ((), ("hall-a",), ("hall-b",))
    ]
    assert plan.cases[0] == FIRST_CASE
    result = run_command("plan", "check", DATA / "plan" / "events.kdl", DATA / "plan" / "plan.json")
    assert (result.exit_code, result.output.endswith("fits and holds\n")) == (0, True)


def test_a_plan_file_is_written_and_created_again_byte_for_byte(tmp_path: Path) -> None:
    stored = (DATA / "plan" / "plan.json").read_bytes()
    plan: CapacityPlan = msgspec.json.decode(stored, type=CapacityPlan)
    assert msgspec.json.format(msgspec.json.encode(plan), indent=1) == stored
    again = tmp_path / "again.json"
    result = run_command("plan", "make", DATA / "plan" / "events.kdl", "--out", again)
    assert result.exit_code == 1  # after the loss of a zone, the capacity does not suffice
    assert again.read_bytes() == stored


# The state of a governor: the cached endpoint list and the assignments of tenants

ENDPOINTS = (
    feed.EndpointRecord(
        replica="w1",
        zone="hall-a",
        address="127.0.0.1:10503",
        kind="large-4c",
        size=0.604,
        incarnation="w1/1",
        age_us=1_000_000_000,
    ),
    feed.EndpointRecord(
        replica="w2",
        zone="hall-a",
        address="127.0.0.1:10504",
        kind="large-4c",
        size=0.723,
        incarnation="w2/2",
        age_us=285_981,
    ),
    feed.EndpointRecord(
        replica="w3",
        zone="hall-b",
        address="127.0.0.1:10505",
        kind="large-4c",
        size=0.744,
        incarnation="w3/1",
        age_us=1_000_000_000,
    ),
    feed.EndpointRecord(
        replica="w4",
        zone="hall-b",
        address="127.0.0.1:10506",
        kind="large-4c",
        size=0.662,
        incarnation="w4/2",
        age_us=1_183_765,
    ),
)
ASSIGNMENTS = (TenantAssignment(tenant="inn3", generation=2, migration_id="000000-2", cell="c1"),)
SETTINGS = """
fleet relays=2 roster="127.0.0.1:{roster}" {{
    zones "hall-a" "hall-b"
    kinds "large-4c"
    class "rate-check" goal="1s" cutoff="1500ms" repeat="free"
    rules grace="2s" cold-time="4s" cold-share=0.18 fall-multiple=4 fall-span="3s" bare-limit="3s"
    channel queue-limit=1500 line-rate=3000 message-limit=20 message-window="10s"
    reports period="500ms" intake=200
    cells placement="cells.json"
}}
governor "a" zone="hall-a" listen="127.0.0.1:{governor}" state="state"
"""


def test_the_state_files_of_a_governor_are_read_and_written_again_byte_for_byte() -> None:
    stored = (DATA / "governor" / "roster.json").read_bytes()
    assert msgspec.json.decode(stored, type=tuple[feed.EndpointRecord, ...]) == ENDPOINTS
    assert msgspec.json.encode(ENDPOINTS) == stored
    stored = (DATA / "governor" / "cells.json").read_bytes()
    assert msgspec.json.decode(stored, type=tuple[TenantAssignment, ...]) == ASSIGNMENTS
    assert msgspec.json.encode(ASSIGNMENTS) == stored


def test_a_governor_starts_with_its_stored_state_if_the_endpoint_list_is_unavailable(tmp_path: Path) -> None:
    shutil.copytree(DATA / "governor", tmp_path / "state")
    placement = CellPlacement(
        cells=("c0", "c1"),
        cell_by_replica={"w1": "c1", "w2": "c0", "w3": "c1", "w4": "c0"},
        cell_by_tenant={"inn3": "c0"},
    )
    (tmp_path / "cells.json").write_bytes(msgspec.json.encode(placement))
    list_port, port = find_free_ports(2)
    settings_reader = SettingsReader("settings")
    root = settings_reader.parse(SETTINGS.format(roster=list_port, governor=port))
    settings = parse_settings(root, tmp_path)
    settings_reader.raise_errors()

    async def check() -> None:
        service = GovernorService(settings.fleet, settings.governor("a"))
        running, client = asyncio.create_task(service.run()), HttpClient(LOCAL, port)
        conflicting = TenantAssignment(tenant="inn3", generation=2, migration_id="another", cell="c0")
        try:
            while not service.core.endpoint_list.endpoints:
                await asyncio.sleep(0.02)
            assert service.core.endpoint_list.endpoints == {
                endpoint.replica: endpoint for endpoint in ENDPOINTS
            }
            assert service.core.endpoint_list.is_stale
            assert service.assignments.directory.assignments == {
                assignment.tenant: assignment for assignment in ASSIGNMENTS
            }
            assert service.assignments.directory.route("inn3", "c0") == ("c1", 2)
            response = await client.request(
                "POST", "/v1/cells/word", msgspec.json.encode(conflicting), timeout_s=30
            )
            ack: AssignmentAck = msgspec.json.decode(response.body, type=AssignmentAck)
            assert ack.assignment == ASSIGNMENTS[0]  # the stored assignment wins over the conflicting one
        finally:
            service.stop()
            assert await running == 0
            client.close()

    run_async(check())


# Histories


def history(name: str) -> list[Path]:
    return sorted((DATA / "history" / name).glob("*.jsonl"))


def test_a_history_is_read_with_invocations_completions_and_effects() -> None:
    entries = records.load_history(history("whole"))
    assert sum(isinstance(entry, records.Invocation) for entry in entries) == 82
    completions = [entry for entry in entries if isinstance(entry, records.Completion)]
    assert len(completions) == 82
    assert Counter(completion.outcome.value for completion in completions) == {
        "read": 3,
        "watched": 63,
        "done": 12,
        "none": 1,
        "unknown": 1,
        "refused": 2,
    }
    change = records.RequestedChange(key="views/governor/b", expected_version=0, session_id=SESSION_B)
    observed = records.ObservedRecord(key="views/governor/b", version=11, commit_id="b-first:3")
    assert [entry for entry in entries if 105_000 <= entry.time_us <= 110_000] == [
        records.Invocation(
            time_us=105_000,
            process="b-first",
            call_id=15,
            operation=records.StoreCall.COMMIT,
            commit_id="b-first:3",
            changes=(change,),
        ),
        records.Completion(
            time_us=106_000, process="b-first", call_id=15, outcome=records.CallOutcome.UNKNOWN
        ),
        records.Invocation(
            time_us=107_000,
            process="b-first",
            call_id=16,
            operation=records.StoreCall.WATCH,
            after_revision=9,
        ),
        records.Completion(
            time_us=108_000,
            process="b-first",
            call_id=16,
            outcome=records.CallOutcome.WATCHED,
            revision=11,
            observed=(
                records.ObservedRecord(key="zones/views/b", version=10, commit_id="b-first:2"),
                observed,
            ),
        ),
        records.Invocation(
            time_us=109_000,
            process="b-first",
            call_id=17,
            operation=records.StoreCall.COMMIT,
            commit_id="b-first:3",
            changes=(change,),
        ),
        records.Completion(
            time_us=110_000,
            process="b-first",
            call_id=17,
            outcome=records.CallOutcome.REJECTED,
            revision=11,
            observed=(observed,),
        ),
    ]
    assert entries[-4:] == [
        records.Effect(
            time_us=200_000,
            process="ledger",
            resource="zones",
            generation=1,
            holder="a-second",
            item="step-1",
            key="hall-b",
        ),
        records.Effect(
            time_us=201_000, process="ledger", resource="zones", generation=2, holder="b-first", item="step-2"
        ),
        records.RejectedEffect(
            time_us=202_000,
            process="ledger",
            resource="zones",
            generation=1,
            holder="a-second",
            item="step-3",
            highest_generation=2,
        ),
        records.ProcessEvent(time_us=203_000, process="ledger", event="ended", fields={"items": 2}),
    ]


def test_a_correct_history_has_no_violations() -> None:
    entries = records.load_history(history("whole"))
    assert linearizability.find_linearizability_violations(entries) == []
    assert find_fencing_violations(entries) == []
    assert find_duplicate_effects(entries) == []


def test_an_incorrect_history_has_the_same_violations_as_before() -> None:
    entries = records.load_history(history("broken"))
    (stale_read,) = linearizability.find_linearizability_violations(entries)
    assert str(stale_read) == (
        "k: no linearizable order of these operations exists:\n"
        "  0.000003 to 0.000004 s a: commit a:2 version 2 -> (3, 'a:2')\n"
        "  0.000005 to 0.000006 s b: read saw (2, 'a:1')"
    )
    (older_generation,) = find_fencing_violations(entries)
    assert str(older_generation) == (
        "job: generation 1 took effect after 2\n"
        "  0.000007 s ledger: job generation 2 of b: x\n"
        "  0.000008 s ledger: job generation 1 of a: y"
    )
    (duplicate,) = find_duplicate_effects(entries)
    assert str(duplicate) == (
        "x took effect twice\n"
        "  0.000007 s ledger: job generation 2 of b: x\n"
        "  0.000009 s ledger: job generation 2 of b: x"
    )


def test_a_truncated_history_is_rejected() -> None:
    with pytest.raises(
        records.IncompleteHistoryError, match="history truncated at its maximum number of entries"
    ):
        records.load_history(history("cut"))


@pytest.mark.parametrize("path", [*history("whole"), *history("broken")], ids=lambda path: path.stem)
def test_a_history_is_written_again_byte_for_byte(path: Path, tmp_path: Path) -> None:
    writer = records.HistoryWriter(tmp_path / path.name, path.stem)
    for entry in records.load_history([path]):
        writer(entry)
    writer.close()
    assert (tmp_path / path.name).read_bytes() == path.read_bytes()


# Folders of scenario runs

ViolationFields = tuple[float, str, str, str]  # time in s, proxy, replica, description


def result_fields(verdict: Verdict) -> dict[str, tuple[str, float, int, list[ViolationFields]]]:
    return {
        result.rule: (
            result.state,
            result.limit_used,
            result.occasions,
            [
                (violation.at_s, violation.proxy, violation.replica, violation.description)
                for violation in result.violations
            ],
        )
        for result in verdict.results
    }


def test_a_run_folder_gets_the_same_verdict_as_before() -> None:
    plan, verdict = check_run_folder(DATA / "run")
    assert (plan.name, plan.seed, plan.length_us) == ("tiny", 1, 3_500_000)
    assert result_fields(verdict) == {
        "line": ("kept", 0.0, 96, []),
        "twice": ("kept", 0.0, 6, []),
        "drain": ("kept", 0.0, 2, []),
        "cold": ("not judged", 0.0, 0, []),
        "moves": ("kept", 0.0, 6, []),
        "queue": ("kept", 0.2, 12, []),
        "placement": ("kept", 0.0, 16, []),
    }
    assert (verdict.is_complete, verdict.reason, verdict.has_passed) == (True, "", True)
    assert (verdict.completed_share, verdict.requests) == (0.6087, 24)
    assert verdict.completed_share_by_class == {"rate-check": 0.7692, "booking-commit": 0.5455}
    assert run_command("audit", DATA / "run").exit_code == 0


def test_a_run_folder_that_breaks_almost_every_rule_gets_the_same_verdict_as_before() -> None:
    _, verdict = check_run_folder(DATA / "run-broken")
    assert result_fields(verdict) == {
        "line": (
            "broken",
            1.1667,
            24,
            [
                (5.0, "r1", "", "c0/booking-commit: no line to pick for 3.50 s"),
                (5.0, "r1", "", "c1/booking-commit: no line to pick for 3.50 s"),
            ],
        ),
        "twice": (
            "broken",
            1.0,
            4,
            [
                (0.7, "r1", "w1", "c1.1 took effect twice"),
                (0.7, "r1", "w1", "c1.1 sent again though it may have run at w2"),
            ],
        ),
        "drain": ("broken", 1.25, 1, [(4.5, "r1", "w2", "sent 2.50 s after a was told it is draining")]),
        "cold": (
            "broken",
            6.0105,
            1,
            [
                (
                    1.9,
                    "r1",
                    "w1",
                    "pushed over in boot 2: 12000 ms of work in the span, 1996 can be borne",
                )
            ],
        ),
        "moves": (
            "broken",
            0.0,
            3,
            [
                (0.92, "", "w2", "inn3: generation 1 at c0 after 2 at c1"),
                (0.8, "", "w1", "c1 was written twice"),
                (8.7, "r1", "", "c9 was answered and never written"),
            ],
        ),
        "queue": (
            "broken",
            0.15,
            3,
            [
                (4.6, "r1", "", "a message came before its order"),
                (4.6, "r1", "", "a writes faster than its stated pace"),
            ],
        ),
        "placement": ("kept", 0.0, 7, []),
    }
    assert (verdict.is_complete, verdict.has_passed) == (True, False)
    assert run_command("audit", DATA / "run-broken").exit_code == 1


def test_the_plan_of_a_run_folder_is_read_and_written_again_byte_for_byte() -> None:
    stored = DATA / "run" / "plan.json"
    plan = scenario_plan.load_plan(str(stored))
    assert msgspec.json.encode(plan) == stored.read_bytes()
    assert plan.cells == ("c0", "c1")
    assert plan.cell_by_replica == {"w2": "c0", "w4": "c0", "w1": "c1", "w3": "c1"}
    assert plan.steps[0] == scenario_plan.Step(
        at_us=500_000, role="day", command={"do": "move", "governor": "", "tenants": ["inn3"], "to": "c1"}
    )
    assert plan.replicas[0] == scenario_plan.ReplicaPlan(
        name="w1",
        zone="hall-a",
        kind="large-4c",
        cell=0,
        port=plan.replicas[0].port,
        cores=1,
        speed=0.6655,
        slots=3,
        queue_limit=12,
        size=0.604,
        start_capacity=0.25,
        warmup_us=1_000_000,
    )
