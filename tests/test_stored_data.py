"""What the version at commit 88767ee stored is read by this one: a sample of each kind lies in `tests/data/`.

`tests/data/README.md` says how the samples were made. Tests that open one for writing work on a copy. Keys,
file names and words that are spelled out here are those of the stored data; they stay when code is renamed.
"""

from __future__ import annotations

import asyncio
import contextlib
import shutil
import time
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from pathlib import Path
from typing import Any

import msgspec
import pytest
from click.testing import CliRunner, Result

from gradehoist.capacity_planning.plan import CapacityPlan, PlannedCase, ServedRate
from gradehoist.cells.assignment import AssignmentAck, TenantAssignment
from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.cells.rollout import Rollout, TrafficCounts
from gradehoist.cells.rollout import RolloutStep as ReleaseStep
from gradehoist.cli.main import main
from gradehoist.cli.placement_files import load_placement as read_placement
from gradehoist.cli.plan import load_plan
from gradehoist.coordination.election import LeaderElection
from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.members import ReachabilityReport as MembersView
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import MemberRecord, OwnershipRecord, ProcessIdentity
from gradehoist.coordination.store import CommitRejected, Committed, Put
from gradehoist.governor.service import GovernorService
from gradehoist.history import linearizability, records
from gradehoist.history.exactly_once import find_duplicate_effects, find_fencing_violations
from gradehoist.migration import rollout as releasing
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
from gradehoist.settings import reader
from gradehoist.settings.fleet import CellPlacement
from gradehoist.settings.fleet_parser import parse_settings
from gradehoist.store.sqlite_store import SqliteStore
from gradehoist.testbed import scenario_plan as scripted
from gradehoist.zones.evacuation import EvacuationPlan as ZonesPlan
from gradehoist.zones.evacuation import ZoneEvacuation
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
    """Copies a folder of samples, so that what opens it may write there."""

    def copy(name: str) -> Path:
        return Path(shutil.copytree(DATA / name, tmp_path / name))

    return copy


def command(*words: str | Path) -> Result:
    return CliRunner().invoke(main, [str(word) for word in words])


def within_a_minute(work: Coroutine[Any, Any, None]) -> None:
    asyncio.run(asyncio.wait_for(work, 60))


# The register

LINEAGE = "07158ab795f3"
REVISION = 15
SESSION_A, SESSION_B = "9584375618334edc", "18b3cf3527a240cc"
A_IS_HERE = MemberRecord(
    role="governor", name="a", zone="hall-a", incarnation="a-second", generation=2, address="127.0.0.1:7101"
)
B_IS_HERE = MemberRecord(
    role="governor", name="b", zone="hall-b", incarnation="b-first", generation=1, address="127.0.0.1:7102"
)
ZONES_SEEN_BY_A = HealthReport(
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
# By key: the version, the commit that wrote it, the session that it goes with, and what it says.
REGISTER: dict[str, tuple[int, str, str, Any]] = {
    "floors": (4, "a-second:1", "", {"rights/release": 6}),
    "members/governor/a": (4, "a-second:1", SESSION_A, A_IS_HERE),
    "members/governor/b": (5, "b-first:1", SESSION_B, B_IS_HERE),
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
    "views/governor/a": (12, "a-second:6", SESSION_A, MembersView()),
    "views/governor/b": (
        11,
        "b-first:3",
        SESSION_B,
        MembersView(unreachable=("members/governor/c",), is_isolated=True),
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
        ZonesPlan(
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
    "zones/views/a": (9, "a-second:5", SESSION_A, ZONES_SEEN_BY_A),
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
STRANGE = "zones/views/strange"  # bytes that are no record, at version 13


@contextlib.asynccontextmanager
async def opened(folder: Path) -> AsyncIterator[SqliteStore]:
    register = SqliteStore(folder)
    try:
        yield register
    finally:
        await register.close()


@contextlib.asynccontextmanager
async def joined(folder: Path, name: str, run: str) -> AsyncIterator[tuple[Participant, CoordinationClient]]:
    """A process that has joined the register in `folder`, with its copy of all records."""
    agent = Participant(
        ProcessIdentity("governor", name, "hall-a", run, "127.0.0.1:7103"), 10 * SECOND, seed=1
    )
    coordinator = CoordinationClient(agent, SqliteStore(folder), lambda news: None)
    running = asyncio.create_task(coordinator.run())
    try:
        while not agent.is_joined:
            await asyncio.sleep(0.02)
        yield agent, coordinator
    finally:
        await coordinator.leave(running)


def test_a_register_folder_has_its_records_with_versions_writers_and_sessions(sample: Sample) -> None:
    async def work() -> None:
        async with opened(sample("register")) as register:
            snapshot = await register.read("")
        assert (snapshot.store_id, snapshot.revision) == (LINEAGE, REVISION)
        found = {record.key: record for record in snapshot.records}
        strange = found.pop(STRANGE)
        assert (strange.value, strange.version) == (b"no record of ours", 13)
        assert list(found) == list(REGISTER)
        for key, (version, token, session, value) in REGISTER.items():
            record = found[key]
            assert (record.version, record.commit_id, record.session_id) == (version, token, session)
            assert msgspec.json.decode(record.value, type=type(value)) == value
            assert msgspec.json.encode(value) == record.value
            assert not record.malformed

    within_a_minute(work())


def test_a_watch_of_a_register_folder_begins_in_its_stored_log(sample: Sample) -> None:
    async def work() -> None:
        async with opened(sample("register")) as register:
            batch = await register.watch("", 9, 0)
        assert (batch.store_id, batch.after_revision, batch.revision) == (LINEAGE, 9, REVISION)
        assert [(event.revision, event.key, event.record is not None) for event in batch.events] == [
            (10, "zones/views/b", True),
            (11, "views/governor/b", True),
            (12, "views/governor/a", True),
            (13, STRANGE, True),
            (14, "gone/soon", True),
            (15, "gone/soon", False),
        ]

    within_a_minute(work())


def test_a_commit_to_a_register_folder_is_checked_against_its_stored_versions(sample: Sample) -> None:
    async def work() -> None:
        async with opened(sample("register")) as register:
            late = await register.commit((Put("floors", b"{}", 3),), "late:1")
            assert isinstance(late, CommitRejected)
            assert [(record.key, record.version) for record in late.records] == [("floors", 4)]
            assert await register.commit((Put("floors", b"{}", 4),), "good:1") == Committed(REVISION + 1)

    within_a_minute(work())


def test_stored_sessions_live_on_and_their_records_go_with_them(sample: Sample) -> None:
    async def work() -> None:
        async with opened(sample("register")) as register:
            assert await register.renew_session(SESSION_A) == REVISION
            assert await register.renew_session(SESSION_B) == REVISION
            await register.end_session(SESSION_A)
            snapshot = await register.read("")
        gone = {key for key, (_, _, session, _) in REGISTER.items() if session == SESSION_A}
        assert gone == {"members/governor/a", "views/governor/a", "zones/views/a"}
        assert {record.key for record in snapshot.records} == {*REGISTER, STRANGE} - gone

    within_a_minute(work())


def test_an_agent_that_joins_reads_members_rights_and_zones(sample: Sample) -> None:
    async def work() -> None:
        async with joined(sample("register"), "c", "c-first") as (agent, _):
            for key, (version, _, _, value) in REGISTER.items():
                assert agent.decode_record(key, type(value)) == value
                assert agent.records.version(key) == version
            assert agent.decode_record(STRANGE, HealthReport) is None  # it costs itself alone
            assert agent.fencing_token == FencingToken(1, "c-first")
            assert agent.records.generation_floors == {"rights/release": 6}
            assert (agent.next_generation("rights/release"), agent.next_generation("rights/zones")) == (7, 2)
            claim = LeaderElection("zones", takeover_delay_us=0)
            claim.advance(time.monotonic_ns() // 1_000, agent)
            assert claim.fencing_token is None
            assert not agent.has_pending_commits  # a is there and holds it

    within_a_minute(work())


def test_the_next_life_of_a_name_goes_on_from_its_stored_generation(sample: Sample) -> None:
    async def work() -> None:
        async with joined(sample("register"), "a", "a-third") as (agent, _):
            assert agent.fencing_token == FencingToken(3, "a-third")
            while agent.decode_record("members/governor/a", MemberRecord) == A_IS_HERE:
                await asyncio.sleep(0.02)  # the copy follows the commit
            assert agent.decode_record("members/governor/a", MemberRecord) == MemberRecord(
                role="governor",
                name="a",
                zone="hall-a",
                incarnation="a-third",
                generation=3,
                address="127.0.0.1:7103",
            )

    within_a_minute(work())


def test_a_stored_right_whose_holder_has_left_is_claimed_by_the_next_generation(sample: Sample) -> None:
    async def work() -> None:
        folder = sample("register")
        async with opened(folder) as register:
            await register.renew_session(SESSION_A)
            await register.end_session(SESSION_A)
        async with joined(folder, "c", "c-first") as (agent, coordinator):
            claim = LeaderElection("zones", takeover_delay_us=0)
            while agent.decode_record("rights/zones", OwnershipRecord) != OwnershipRecord(
                2, "c-first", "members/governor/c"
            ):
                claim.advance(time.monotonic_ns() // 1_000, agent)
                coordinator.wake()
                await asyncio.sleep(0.02)
            claim.advance(time.monotonic_ns() // 1_000, agent)
            assert claim.fencing_token == FencingToken(2, "c-first")

    within_a_minute(work())


# Tenants: placement, moves, releases


def test_a_placement_file_is_read_and_made_again_to_the_byte(sample: Sample, tmp_path: Path) -> None:
    folder, again = sample("placement"), tmp_path / "again.json"
    placed = read_placement(folder / "placement.json")
    assert placed == CellPlacement(
        cells=("c0", "c1"),
        cell_by_replica={"w1": "c1", "w2": "c0", "w3": "c0", "w4": "c1", "w5": "c0", "w6": "c1"},
        cell_by_tenant={"cabin": "c0", "hostel": "c0", "inn": "c1", "lodge": "c1", "villa": "c0"},
        cell_by_range=(),
        lease_us=3_000_000,
        settle_us=10_000_000,
        limits=None,
    )
    assert [placed.home_cell(tenant) for tenant in ("inn", "motel", "palace")] == ["c1", "c1", "c0"]
    files = folder / "tenants.csv", folder / "workers.csv"
    made = command("cells", "place", *files, "--cells", "2", "--out", again)
    assert made.exit_code == 0
    assert again.read_bytes() == (folder / "placement.json").read_bytes()


def test_a_split_placement_keeps_its_ranges_and_is_made_again_to_the_byte(
    sample: Sample, tmp_path: Path
) -> None:
    folder, again = sample("placement"), tmp_path / "again.json"
    placed = read_placement(folder / "split.json")
    assert (placed.cells, placed.cell_by_range) == (("c0", "c1", "c2"), ("c0", "c1"))
    assert (placed.replicas_of("c0"), placed.replicas_of("c2")) == (
        frozenset({"w2"}),
        frozenset({"w3", "w5"}),
    )
    files = folder / "placement.json", folder / "workers.csv"
    made = command("cells", "split", *files, "c0", "--into", "c2", "--out", again)
    assert made.exit_code == 0
    assert again.read_bytes() == (folder / "split.json").read_bytes()


CELLS = {"A": ("a1", "a2"), "B": ("b1", "b2")}
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
SHUT = Migration(
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
UNDOING = Migration(
    id="000003-2-undo",
    tenant="villa",
    source="B",
    target="A",
    generation=3,
    must_close_source=False,
    is_undo=True,
)
UNDONE = Migration(id="000003-2", tenant="villa", source="A", target="B", generation=2)


def test_a_mover_s_records_are_read_with_their_steps() -> None:
    moves = load_migrations(DATA / "moves")
    assert moves == [DONE, SHUT, OPEN, UNDOING, UNDONE]
    assert pending_migrations(moves) == [SHUT, OPEN, UNDOING]
    assert load_draining_cells(DATA / "moves") == ("B",)


@pytest.mark.parametrize(
    ("move", "to_tell", "word"),
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
        (SHUT, ["b2"], TenantAssignment(tenant="inn", generation=3, migration_id="000001-3")),
        (
            OPEN,
            ["a", "b1", "b2"],
            TenantAssignment(tenant="hostel", generation=2, migration_id="000002-2", cell="B"),
        ),
        (UNDOING, ["a"], TenantAssignment(tenant="villa", generation=3, migration_id="000003-2-undo")),
    ],
    ids=["done", "shut", "open", "undoing"],
)
def test_a_move_says_next_to_whom_its_record_still_owes_it(
    move: Migration, to_tell: list[str], word: TenantAssignment
) -> None:
    (stored,) = (found for found in load_migrations(DATA / "moves") if found.id == move.id)
    assert stored.pending_recipients(("a",), CELLS) == to_tell
    assert stored.assignment() == word


def test_a_mover_goes_on_from_its_stored_records_to_their_end(sample: Sample, tmp_path: Path) -> None:
    async def work() -> None:
        store, site = sample("moves"), MigrationSite(tmp_path)
        try:
            due = pending_migrations(load_migrations(store))
            ended = await MigrationRunner(site.settings, store, lambda move, waits: None).run(due)
        finally:
            site.close()
        assert [(move.id, move.step) for move in ended] == [
            ("000001-3", MigrationStep.DONE),
            ("000002-2", MigrationStep.DONE),
            ("000003-2-undo", MigrationStep.DONE),
        ]
        routes = {tenant: site.directory.route(tenant, "A") for tenant in ("inn", "hostel", "villa")}
        assert routes == {"inn": ("A", 3), "hostel": ("B", 2), "villa": ("A", 3)}
        assert pending_migrations(load_migrations(store)) == []

    within_a_minute(work())


@pytest.mark.parametrize("name", ["000001-3", "000002-2", "000003-2-undo", "000003-2"])
def test_a_move_s_record_is_written_again_to_the_byte(tmp_path: Path, name: str) -> None:
    """Those of one name a set: sets have no order."""
    stored = (DATA / "moves" / f"{name}.move").read_bytes()
    save_migration(tmp_path, msgspec.json.decode(stored, type=Migration))
    assert (tmp_path / f"{name}.move").read_bytes() == stored


def test_the_list_of_draining_cells_is_written_again_to_the_byte(tmp_path: Path) -> None:
    save_draining_cells(tmp_path, ("B",))
    assert (tmp_path / "draining.json").read_bytes() == (DATA / "moves" / "draining.json").read_bytes()


USUAL = TrafficCounts(requests=240, incomplete=0, successes=240, elapsed_us=48_000_000)
HALTED = Rollout(
    id="000001",
    cells=("A", "B", "C"),
    replicas={"A": ("a1", "a2"), "B": ("b1", "b2"), "C": ("c1", "c2")},
    batch_size=1,
    command="/bin/sh -c 'echo {worker} >> renewed'",
    rollback_command="/bin/sh -c 'echo {worker} >> back'",
    cell_index=1,
    step=ReleaseStep.HALTED,
    started_replicas=frozenset({"a1", "a2", "b1"}),
    updated_replicas=frozenset({"a1", "a2"}),
    halt_reason="50.0% of 60 transactions of B were not answered, 0.0% before; elsewhere 0.0%",
    baseline={"A": USUAL, "B": USUAL, "C": USUAL},
)
UNDER_WAY = Rollout(
    id="000002",
    cells=HALTED.cells,
    replicas=HALTED.replicas,
    batch_size=1,
    command=HALTED.command,
    rollback_command=HALTED.rollback_command,
    cell_index=1,
    step=ReleaseStep.UPDATE,
    started_replicas=frozenset({"a1", "a2", "b1", "b2"}),
    updated_replicas=frozenset({"a1", "a2", "b1"}),
    baseline=HALTED.baseline,
)


def test_a_rollout_s_record_is_read_with_its_next_worker(sample: Sample) -> None:
    store = sample("releases")
    last = load_rollout(store)
    assert last == UNDER_WAY
    assert (last.cell, last.next_batch()) == ("B", ("b2",))
    (store / "000002.release").unlink()
    before = load_rollout(store)
    assert before == HALTED
    assert before.next_batch() == ()


@pytest.mark.parametrize("release", [HALTED, UNDER_WAY], ids=["halted", "under way"])
def test_a_rollout_s_record_is_written_again_with_the_same_fields(tmp_path: Path, release: Rollout) -> None:
    """Its sets of several names have no order; `test_encoded_forms.py` compares bytes."""
    save_rollout(tmp_path, release)
    name = f"{release.id}.release"
    written: dict[str, Any] = msgspec.json.decode((tmp_path / name).read_bytes())
    stored: dict[str, Any] = msgspec.json.decode((DATA / "releases" / name).read_bytes())
    for record in (written, stored):
        record["touched"].sort()
        record["renewed"].sort()
    assert list(written.items()) == list(stored.items())


@pytest.fixture
def quick_looks() -> Iterator[None]:
    usual, releasing.POLL_INTERVAL_S = releasing.POLL_INTERVAL_S, 0.05
    yield
    releasing.POLL_INTERVAL_S = usual


def test_a_rollout_goes_on_from_its_stored_record_to_its_end(
    sample: Sample, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, quick_looks: None
) -> None:
    monkeypatch.chdir(tmp_path)  # the stored command writes where it runs
    (tmp_path / "renewed").write_text("a1 a2 b1 b2\n")  # b2 was begun
    last = load_rollout(sample("releases"))
    assert last is not None
    ended = RolloutSite(tmp_path).run(last)
    assert ended.step is ReleaseStep.DONE
    assert (tmp_path / "renewed").read_text().split() == ["a1", "a2", "b1", "b2", "b2", "c1", "c2"]


# Plans for events

FESTIVAL = PlannedCase(
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


def test_a_plan_file_is_read_and_still_fits_its_event() -> None:
    plan: CapacityPlan = load_plan(DATA / "plan" / "plan.json")
    assert (plan.version, plan.event, plan.starts_at) == (1, "snow-festival", "2027-02-05T09:00:00+09:00")
    assert (plan.time_zone, plan.slot_s, plan.fleet_checksum) == ("Asia/Tokyo", 3600, "08d663ca")
    assert [(case.slot, case.lost_zones) for case in plan.cases] == [
        (slot, lost) for slot in (0, 1) for lost in ((), ("hall-a",), ("hall-b",))
    ]
    assert plan.cases[0] == FESTIVAL
    checked = command("plan", "check", DATA / "plan" / "events.kdl", DATA / "plan" / "plan.json")
    assert (checked.exit_code, checked.output.endswith("fits and holds\n")) == (0, True)


def test_a_plan_file_is_made_and_written_again_to_the_byte(tmp_path: Path) -> None:
    stored = (DATA / "plan" / "plan.json").read_bytes()
    plan: CapacityPlan = msgspec.json.decode(stored, type=CapacityPlan)
    assert msgspec.json.format(msgspec.json.encode(plan), indent=1) == stored
    again = tmp_path / "again.json"
    made = command("plan", "make", DATA / "plan" / "events.kdl", "--out", again)
    assert made.exit_code == 1  # a lost hall leaves too little
    assert again.read_bytes() == stored


# A governor's state: the saved list of endpoints, and its book of moved tenants

LISTED = (
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
BOOK = (TenantAssignment(tenant="inn3", generation=2, migration_id="000000-2", cell="c1"),)
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


def test_a_governor_s_state_files_are_read_and_written_again_to_the_byte() -> None:
    stored = (DATA / "governor" / "roster.json").read_bytes()
    assert msgspec.json.decode(stored, type=tuple[feed.EndpointRecord, ...]) == LISTED
    assert msgspec.json.encode(LISTED) == stored
    stored = (DATA / "governor" / "cells.json").read_bytes()
    assert msgspec.json.decode(stored, type=tuple[TenantAssignment, ...]) == BOOK
    assert msgspec.json.encode(BOOK) == stored


def test_a_governor_begins_with_its_saved_list_and_its_book_while_no_roster_answers(tmp_path: Path) -> None:
    shutil.copytree(DATA / "governor", tmp_path / "state")
    placed = CellPlacement(
        cells=("c0", "c1"),
        cell_by_replica={"w1": "c1", "w2": "c0", "w3": "c1", "w4": "c0"},
        cell_by_tenant={"inn3": "c0"},
    )
    (tmp_path / "cells.json").write_bytes(msgspec.json.encode(placed))
    roster, port = find_free_ports(2)
    text = reader.SettingsReader("settings")
    settings = parse_settings(text.parse(SETTINGS.format(roster=roster, governor=port)), tmp_path)
    text.raise_errors()

    async def work() -> None:
        service = GovernorService(settings.fleet, settings.governor("a"))
        running, client = asyncio.create_task(service.run()), HttpClient(LOCAL, port)
        late = TenantAssignment(tenant="inn3", generation=2, migration_id="another", cell="c0")
        try:
            while not service.core.endpoint_list.endpoints:
                await asyncio.sleep(0.02)
            assert service.core.endpoint_list.endpoints == {entry.replica: entry for entry in LISTED}
            assert service.core.endpoint_list.is_stale
            assert service.assignments.directory.assignments == {word.tenant: word for word in BOOK}
            assert service.assignments.directory.route("inn3", "c0") == ("c1", 2)
            answer = await client.request("POST", "/v1/cells/word", msgspec.json.encode(late), timeout_s=30)
            confirm: AssignmentAck = msgspec.json.decode(answer.body, type=AssignmentAck)
            assert confirm.assignment == BOOK[0]  # what it knew before stands against another move
        finally:
            service.stop()
            assert await running == 0
            client.close()

    within_a_minute(work())


# Histories


def history(name: str) -> list[Path]:
    return sorted((DATA / "history" / name).glob("*.jsonl"))


def test_a_history_is_read_with_calls_answers_and_effects() -> None:
    lines = records.load_history(history("whole"))
    assert [
        sum(isinstance(line, kind) for line in lines) for kind in (records.Invocation, records.Completion)
    ] == [
        82,
        82,
    ]
    answers = [line.outcome.value for line in lines if isinstance(line, records.Completion)]
    assert {how: answers.count(how) for how in answers} == {
        "read": 3,
        "watched": 63,
        "done": 12,
        "none": 1,
        "unknown": 1,
        "refused": 2,
    }
    wrote = records.RequestedChange(key="views/governor/b", expected_version=0, session_id=SESSION_B)
    saw = records.ObservedRecord(key="views/governor/b", version=11, commit_id="b-first:3")
    assert [line for line in lines if 105_000 <= line.time_us <= 110_000] == [
        records.Invocation(
            time_us=105_000,
            process="b-first",
            call_id=15,
            operation=records.StoreCall.COMMIT,
            commit_id="b-first:3",
            changes=(wrote,),
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
            observed=(records.ObservedRecord(key="zones/views/b", version=10, commit_id="b-first:2"), saw),
        ),
        records.Invocation(
            time_us=109_000,
            process="b-first",
            call_id=17,
            operation=records.StoreCall.COMMIT,
            commit_id="b-first:3",
            changes=(wrote,),
        ),
        records.Completion(
            time_us=110_000,
            process="b-first",
            call_id=17,
            outcome=records.CallOutcome.REJECTED,
            revision=11,
            observed=(saw,),
        ),
    ]
    assert lines[-4:] == [
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


def test_a_history_in_order_is_linearizable_and_each_effect_was_taken_once() -> None:
    lines = records.load_history(history("whole"))
    assert linearizability.find_linearizability_violations(lines) == []
    assert find_fencing_violations(lines) == []
    assert find_duplicate_effects(lines) == []


def test_a_history_out_of_order_shows_the_same_breaches() -> None:
    lines = records.load_history(history("broken"))
    (stale,) = linearizability.find_linearizability_violations(lines)
    assert str(stale) == (
        "k: no linearizable order of these operations exists:\n"
        "  0.000003 to 0.000004 s a: commit a:2 version 2 -> (3, 'a:2')\n"
        "  0.000005 to 0.000006 s b: read saw (2, 'a:1')"
    )
    (older,) = find_fencing_violations(lines)
    assert str(older) == (
        "job: generation 1 took effect after 2\n"
        "  0.000007 s ledger: job generation 2 of b: x\n"
        "  0.000008 s ledger: job generation 1 of a: y"
    )
    (twice,) = find_duplicate_effects(lines)
    assert str(twice) == (
        "x took effect twice\n"
        "  0.000007 s ledger: job generation 2 of b: x\n"
        "  0.000009 s ledger: job generation 2 of b: x"
    )


def test_a_history_cut_by_its_bound_gives_no_verdict() -> None:
    with pytest.raises(
        records.IncompleteHistoryError, match="history truncated at its maximum number of entries"
    ):
        records.load_history(history("cut"))


@pytest.mark.parametrize("path", [*history("whole"), *history("broken")], ids=lambda path: path.stem)
def test_a_history_is_written_again_to_the_byte(path: Path, tmp_path: Path) -> None:
    writer = records.HistoryWriter(tmp_path / path.name, path.stem)
    for line in records.load_history([path]):
        writer(line)
    writer.close()
    assert (tmp_path / path.name).read_bytes() == path.read_bytes()


# Run folders of scripted days

Break = tuple[float, str, str, str]  # when, at which relay and replica, what


def figures(verdict: Verdict) -> dict[str, tuple[str, float, int, list[Break]]]:
    return {
        rule.rule: (
            rule.state,
            rule.limit_used,
            rule.occasions,
            [(found.at_s, found.proxy, found.replica, found.description) for found in rule.violations],
        )
        for rule in verdict.results
    }


def test_a_run_folder_is_judged_as_before() -> None:
    plan, verdict = check_run_folder(DATA / "run")
    assert (plan.name, plan.seed, plan.length_us) == ("tiny", 1, 3_500_000)
    assert figures(verdict) == {
        "line": ("kept", 0.0, 96, []),
        "twice": ("kept", 0.0, 6, []),
        "drain": ("kept", 0.0, 2, []),
        "cold": ("not judged", 0.0, 0, []),
        "moves": ("kept", 0.0, 6, []),
        "queue": ("kept", 0.2, 12, []),
        "placement": ("kept", 0.0, 16, []),
    }
    assert (verdict.is_complete, verdict.reason, verdict.is_passed) == (True, "", True)
    assert (verdict.completed_share, verdict.requests) == (0.6087, 24)
    assert verdict.completed_share_by_class == {"rate-check": 0.7692, "booking-commit": 0.5455}
    assert command("audit", DATA / "run").exit_code == 0


def test_a_run_folder_that_broke_every_rule_is_judged_as_before() -> None:
    _, verdict = check_run_folder(DATA / "run-broken")
    assert figures(verdict) == {
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
    assert (verdict.is_complete, verdict.is_passed) == (True, False)
    assert command("audit", DATA / "run-broken").exit_code == 1


def test_the_plan_of_a_run_folder_is_read_and_written_again_to_the_byte() -> None:
    stored = DATA / "run" / "plan.json"
    plan = scripted.load_plan(str(stored))
    assert msgspec.json.encode(plan) == stored.read_bytes()
    assert plan.cells == ("c0", "c1")
    assert plan.cell_by_replica == {"w2": "c0", "w4": "c0", "w1": "c1", "w3": "c1"}
    assert plan.steps[0] == scripted.Step(
        at_us=500_000, role="day", command={"do": "move", "governor": "", "tenants": ["inn3"], "to": "c1"}
    )
    assert plan.replicas[0] == scripted.ReplicaPlan(
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
