"""The encoded form of everything that is stored or sent, compared byte by byte with that of commit 88767ee.

Each line of `tests/data/encoded.txt` holds a name, a colon, and the JSON that that version wrote for the
value of that name in `VALUES`. When a class or field is renamed in the code, its encoded name stays, and with
it the file. Sets have no order, so each set in `VALUES` has at most one member.
"""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Any, get_args

import msgspec
import pytest

from gradehoist import interface
from gradehoist.capacity_planning.plan import (
    CapacityPlan,
    LoadPrice,
    PlannedCase,
    ReplicaAddition,
    ServedRate,
    Shortfall,
)
from gradehoist.cells import assignment, migration, rate_limits, rollout
from gradehoist.coordination import members
from gradehoist.coordination import records as coordination_records
from gradehoist.governor import http_api, openapi
from gradehoist.history import records
from gradehoist.protocol import feed, orca
from gradehoist.scenario.checks import records as run_records
from gradehoist.scenario.checks.verdict import Rule, RuleResult, RuleState, Verdict, Violation
from gradehoist.settings.fleet import CellPlacement
from gradehoist.testbed import endpoint_list, etcd_calls, scenario_plan
from gradehoist.zones import evacuation, health, warmup_quota

ENCODED_FORMS = Path(__file__).parent / "data" / "encoded.txt"
# These types are only decoded; the samples in `tests/data/run` cover their keys.
READ_ONLY = {run_records.RecordHeader, *get_args(run_records.Event)}
# The field names of these types are not part of any encoded form.
NEVER_ENCODED = {
    orca.OrcaReport,
    etcd_calls.ServerFaults,
    endpoint_list.EndpointState,
    *READ_ONLY,
}
ETCD_MESSAGES = "gradehoist.net.etcd_messages"  # the messages of etcd's interface, covered by test_etcd.py

ALL_DELTAS: tuple[feed.Delta, ...] = (
    feed.WeightDelta(table=3, replica="w1", weight=0.5),
    feed.ClearDelta(table=4),
    feed.BindDelta(table=5, classes=("read", "write"), weights={"w1": 1.0, "w2": 2.5}),
    feed.WithdrawalDelta(replica="w3"),
    feed.RestorationDelta(replica="w4"),
    feed.AdmissionDelta(table=None, classes=("read",), admitted_share=0.25, retry_policy=2),
    feed.TenantRoutes(cells=("A", "B"), cell_by_tenant={"inn": "B"}, generations={"inn": 2}),
    feed.TenantMigrated(tenant="inn", cell="", generation=3),
    feed.RateLimitsDelta(cell_rate=10.0, tenant_rate=2.0, burst_s=1.5, tenant_in_flight=7, cell_in_flight=9),
)
ALL_HISTORY_ENTRIES: tuple[records.HistoryEntry, ...] = (
    records.Invocation(
        time_us=1,
        process="a",
        call_id=2,
        operation=records.StoreCall.COMMIT,
        commit_id="a:1",
        prefix="zones/",
        after_revision=3,
        changes=(records.RequestedChange(key="k", expected_version=4, session_id="s", is_deletion=True),),
    ),
    records.Completion(
        time_us=5,
        process="a",
        call_id=2,
        outcome=records.CallOutcome.COMMITTED,
        revision=6,
        observed=(records.ObservedRecord(key="k", version=6, commit_id="a:1"),),
    ),
    records.Effect(time_us=7, process="ledger", resource="job", generation=2, holder="a", item="x", key="k"),
    records.RejectedEffect(
        time_us=8, process="ledger", resource="job", generation=1, holder="b", item="y", highest_generation=2
    ),
    records.ProcessEvent(time_us=9, process="a", event="joined", fields={"gen": 2}),
    records.HistoryTruncated(time_us=10, process="a"),
)
ENDPOINT = feed.EndpointRecord(
    replica="w1",
    zone="hall-a",
    address="127.0.0.1:9001",
    kind="large-4c",
    cell=2,
    phase="draining",
    size=1.5,
    incarnation="w1/3",
    age_us=77,
)
MESSAGE = feed.Message(
    seq=1, reply_number=2, created_us=3, cost_lines=14.0, deltas=ALL_DELTAS, revision=4, is_snapshot=True
)
ZONE_OBSERVATION = health.ZoneObservation(
    attempts=9.0,
    failures=1.0,
    late_responses=2.0,
    ready_replicas=4,
    silent_replicas=1,
    health_checks=3,
    failed_health_checks=2,
    busy_share=0.5,
    sustainable_share=0.25,
)
ZONE_EVACUATION = evacuation.ZoneEvacuation(
    traffic_share=0.5, reason="failing", is_recovering=True, relapses=2, required_healthy_us=20_000_000
)
SERVED_RATE = ServedRate(
    request_class="read", origin="hall-a", zone="hall-b", kind="large-4c", cell="A", rate_units=12_345
)
PLANNED_CASE = PlannedCase(
    slot=1,
    lost_zones=("hall-a",),
    served=(SERVED_RATE,),
    shortfalls=(Shortfall("read", "hall-a", "7/3"),),
    replicas_to_add=(ReplicaAddition("hall-b", "large-4c", 2),),
    prices=(LoadPrice("hall-b", "large-4c", "A", 5),),
)
ADDRESS = ("127.0.0.1", 9001)
SCENARIO_PLAN = scenario_plan.Plan(
    name="day",
    seed=1,
    length_us=2,
    zones=("hall-a",),
    classes=(
        scenario_plan.RequestClassPlan(
            name="read",
            traffic_share=1.0,
            work_ms=100.0,
            work_variation=0.6,
            latency_objective_us=1,
            deadline_us=2,
            priority_weight=3.0,
            late_priority_factor=0.5,
            idempotency="free",
            allowed_zones=("hall-a",),
            allowed_kinds=None,
            zone_local=True,
        ),
    ),
    rules=scenario_plan.SafetyRules(
        drain_grace_us=1,
        warmup_us=2,
        overload_multiple=3.0,
        overload_window_us=4,
        unroutable_limit_us=5,
        gone_is_advisory=True,
        queue_limit_lines=6.0,
        lines_per_s=7.0,
        message_overhead_lines=8.0,
        messages_per_window=9,
        message_window_us=10,
    ),
    replicas=(
        scenario_plan.ReplicaPlan(
            name="w1",
            zone="hall-a",
            kind="large-4c",
            cell=0,
            port=9001,
            cores=4,
            speed=1.5,
            slots=12,
            queue_limit=48,
            size=6.0,
            start_capacity=0.25,
            warmup_us=11,
            is_listed=False,
        ),
    ),
    proxies=(
        scenario_plan.ProxyPlan(
            name="r1", zone="hall-a", port=9002, traffic_share=1.0, governors=(("a", ADDRESS),)
        ),
    ),
    governors=(("a", "hall-a", ADDRESS),),
    links=(
        scenario_plan.LinkPlan(
            port=9003, zone="hall-a", target="w1", target_zone="hall-b", address=ADDRESS, proxy="r1"
        ),
    ),
    endpoint_list=ADDRESS,
    control_ports={"clients": 9004},
    steps=(scenario_plan.Step(at_us=12, role="clients", command={"do": "begin"}),),
    requests_per_s=13.0,
    rate_factors=((14, 1.5),),
    retries=1,
    attempt_share=0.8,
    backoff_us=15,
    failures_to_avoid=16,
    avoid_us=17,
    retry_policy=2,
    attempt_factor=0.7,
    default_table_size=18,
    reconnect_range_us=(19, 20),
    report_delay_range_us=(21, 22),
    load_report_period_us=23,
    poll_hold_us=24,
    replica_report_period_us=25,
    handshake_work_ms=3.5,
    drops_abandoned_requests=True,
    rejection_proves_no_effect=False,
    follow_governors=False,
    tenant_shares=(("inn", 1.0),),
    cells=("A",),
    cell_by_replica={"w1": "A"},
    cell_by_tenant={"inn": "A"},
    limits=scenario_plan.RateLimitPlan(
        cell_requests_per_s=1.0, tenant_requests_per_s=2.0, burst_s=3.0, tenant_in_flight=4
    ),
    even_weights=True,
)
ASSIGNMENT = assignment.TenantAssignment(
    tenant="inn", generation=3, migration_id="000001-3", cell="B", completed_keys=frozenset({"k1"})
)
MIGRATION = migration.Migration(
    id="000001-3",
    tenant="inn",
    source="A",
    target="B",
    generation=3,
    step=migration.MigrationStep.OPEN,
    must_close_source=False,
    confirmed_governors=frozenset({"a"}),
    confirmed_replicas=frozenset({"a1"}),
    completed_keys=frozenset({"k1"}),
    governors_confirmed_us=8,
    is_undo=True,
    conflict="b holds generation 4",
)
TRAFFIC_COUNTS = rollout.TrafficCounts(requests=40, incomplete=1, successes=39, elapsed_us=7_800_000)
ROLLOUT = rollout.Rollout(
    id="000002",
    cells=("A", "B"),
    replicas={"A": ("a1", "a2"), "B": ("b1",)},
    batch_size=1,
    command="renew {worker}",
    rollback_command="put-back {worker}",
    cell_index=1,
    step=rollout.RolloutStep.ROLL_BACK,
    started_replicas=frozenset({"b1"}),
    updated_replicas=frozenset({"a1"}),
    halt_reason="harm",
    baseline={"A": TRAFFIC_COUNTS},
)
PLACEMENT = CellPlacement(
    cells=("A", "B"),
    cell_by_replica={"a1": "A"},
    cell_by_tenant={"inn": "B"},
    cell_by_range=("A", "B"),
    lease_us=1,
    settle_us=2,
    limits=rate_limits.RateLimits(
        cell_rate_per_s=1.0,
        tenant_rate_per_s=2.0,
        burst_s=3.0,
        tenant_in_flight_limit=4,
        cell_in_flight_limit=5,
    ),
)

VALUES: dict[str, Any] = {
    # The feed of the governors' HTTP API, endpoint lists and load reports
    "line": ALL_DELTAS[0],
    "clear": ALL_DELTAS[1],
    "bind": ALL_DELTAS[2],
    "out": ALL_DELTAS[3],
    "back": ALL_DELTAS[4],
    "level": ALL_DELTAS[5],
    "route": ALL_DELTAS[6],
    "moved": ALL_DELTAS[7],
    "limits": ALL_DELTAS[8],
    "message": MESSAGE,
    "shortest message": feed.Message(seq=1, reply_number=2, created_us=3, cost_lines=4.0, deltas=()),
    "feed": feed.PollResponse(epoch="e", stream=1, messages=(MESSAGE,), is_new_stream=True),
    "sums": feed.ProxyLoadReport(
        proxy="r1",
        epoch="e",
        window_us=500_000,
        attempts=(
            feed.ReplicaAttempts(
                replica="w1",
                attempts=5,
                failures=1,
                elapsed_us=9_000,
                busy_share=0.5,
                in_flight=2.0,
                service_ms=3.5,
            ),
            feed.ReplicaAttempts(replica="w2", attempts=1),
        ),
        requests=(feed.ClassRequests(request_class="read", requests=6, incomplete=1),),
    ),
    "poll": http_api.PollQuery(
        proxy_name="r1", zone="hall-a", request_rate=9.5, epoch="e", stream=1, acknowledged_seq=2
    ),
    "error": openapi.ErrorBody(error="not understood"),
    "replica": ENDPOINT,
    "roster": feed.EndpointListUpdate(
        incarnation="l", version=7, endpoints=(ENDPOINT,), is_snapshot=True, since_version=6
    ),
    # Histories
    "asked": ALL_HISTORY_ENTRIES[0],
    "answered": ALL_HISTORY_ENTRIES[1],
    "effect": ALL_HISTORY_ENTRIES[2],
    "turned": ALL_HISTORY_ENTRIES[3],
    "told": ALL_HISTORY_ENTRIES[4],
    "cut": ALL_HISTORY_ENTRIES[5],
    # Records of the coordination store
    "member": coordination_records.MemberRecord(
        role="governor", name="a", zone="hall-a", incarnation="a-1", generation=2, address="127.0.0.1:7101"
    ),
    "named": coordination_records.OwnershipRecord(
        generation=2, holder="a-1", member_key="members/governor/a"
    ),
    "view of members": members.ReachabilityReport(unreachable=("members/governor/b",), is_isolated=True),
    "view of zones": health.HealthReport(
        zone="hall-a",
        requests_per_s=12.5,
        list_age_us=400_000,
        observations={"hall-b": ZONE_OBSERVATION},
        window_us=9_000_000,
        offered_by_zone={"hall-a": {"read": 9.5}},
        incarnation="a-1",
        applied_plan=health.PlanVersion(1, 2),
        applied_allocation=3,
    ),
    "plan of zones": evacuation.EvacuationPlan(
        generation=1, leader="a-1", step=2, zones={"hall-b": ZONE_EVACUATION}, admission_limits={"read": 0.8}
    ),
    "deal": warmup_quota.QuotaAllocation(
        generation=3, leader="a-1", quotas={"a-1": 0.75}, upper_bounds={"a-1": 1.0}
    ),
    # Placement, assignments of tenants, and records of migrations and rollouts
    "placement": PLACEMENT,
    "word": ASSIGNMENT,
    "confirm": assignment.AssignmentAck(
        sender="a", assignment=ASSIGNMENT, has_writes_in_flight=True, completed_keys=frozenset({"k2"})
    ),
    "move": MIGRATION,
    "shortest move": migration.Migration(id="000000-2", tenant="inn", source="A", target="B", generation=2),
    "release": ROLLOUT,
    "shortest release": rollout.Rollout(
        id="000001", cells=("A",), replicas={"A": ("a1",)}, batch_size=1, command="renew"
    ),
    # Capacity plans, and plans and verdicts of scenario runs
    "plan of an event": CapacityPlan(
        version=1,
        event="fair",
        starts_at="2027-02-05T09:00:00+09:00",
        time_zone="Asia/Tokyo",
        slot_s=3600,
        fleet_checksum="08d663ca",
        cases=(PLANNED_CASE,),
    ),
    "plan of a day": SCENARIO_PLAN,
    "verdict": Verdict(
        is_complete=False,
        reason="no end",
        results=[
            RuleResult(
                rule=Rule.UNROUTABLE,
                title="1 a line",
                state=RuleState.BROKEN,
                limit_used=1.5,
                occasions=2,
                reason="",
                violations=[
                    Violation(at_s=0.5, proxy="r1", replica="w1", description="no line", evidence=[{"t": 1}])
                ],
            )
        ],
        completed_share=0.5,
        completed_share_by_class={"read": 0.5},
        requests=6,
    ),
}


def read_encoded_forms() -> dict[str, bytes]:
    lines = ENCODED_FORMS.read_bytes().splitlines()
    return {name.decode(): data for name, _, data in (line.partition(b": ") for line in lines)}


@pytest.mark.parametrize("name", list(VALUES))
def test_a_value_is_encoded_as_before_and_decoded_again(name: str) -> None:
    encoded = read_encoded_forms()[name]
    value = VALUES[name]
    assert msgspec.json.encode(value) == encoded
    assert msgspec.json.decode(encoded, type=type(value)) == value


def test_each_encoded_form_has_a_value() -> None:
    assert list(read_encoded_forms()) == list(VALUES)


def test_each_tag_of_feeds_and_histories_is_among_the_values() -> None:
    assert {type(delta) for delta in ALL_DELTAS} == set(get_args(feed.Delta))
    assert {type(entry) for entry in ALL_HISTORY_ENTRIES} == set(get_args(records.HistoryEntry))
    decoded: feed.Message = msgspec.json.decode(read_encoded_forms()["message"], type=feed.Message)
    assert decoded.deltas == ALL_DELTAS  # each tag is decoded to its own type


def contained_types(value: Any) -> set[type]:
    """Returns the types of a value and of all values that it contains."""
    own_type = {type(value)}
    if isinstance(value, msgspec.Struct):
        parts: Any = msgspec.structs.asdict(value).values()
    elif isinstance(value, dict):
        parts = value.values()
    elif isinstance(value, list | tuple):
        parts = value
    else:
        parts = ()
    return own_type.union(*(contained_types(part) for part in parts))


def loaded_subclasses(base: type[msgspec.Struct]) -> set[type]:
    """Returns the imported subclasses of `base` in this program, except the messages of etcd's interface."""
    subclasses = {kind for sub in base.__subclasses__() for kind in (sub, *loaded_subclasses(sub))}
    own = {kind for kind in subclasses if kind.__module__.startswith("gradehoist.")}
    return {kind for kind in own if kind.__module__ != ETCD_MESSAGES}


def test_each_encoded_type_is_among_the_values() -> None:
    assert loaded_subclasses(msgspec.Struct) - contained_types(VALUES) == NEVER_ENCODED


@pytest.mark.parametrize(
    ("enumeration", "values"),
    [
        (migration.MigrationStep, ["shut", "open", "done"]),
        (assignment.WriteDecision, ["take", "known", "busy", "moved", "no lease"]),
        (rollout.RolloutStep, ["renew", "soak", "done", "putting back", "halted"]),
        (interface.Phase, ["ready", "draining", "gone"]),
        (interface.Idempotency, ["free", "guarded", "single"]),
        (members.MemberState, ["here", "suspected", "lost to me", "lost to most", "ended"]),
        (health.ZoneState, ["well", "slow but alive", "failing", "cut off from the others", "not seen"]),
        (
            health.FleetFault,
            ["none", "discovery lost", "most zones fail for all: a release, or the observers"],
        ),
    ],
)
def test_an_enumeration_keeps_its_stored_values(enumeration: type[Enum], values: list[str]) -> None:
    assert [member.value for member in enumeration] == values
