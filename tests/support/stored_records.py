"""Builds records like those that the test doubles of a scenario run store, for tests of the checkers.

Keys and event names are those of the stored data. Times are in seconds after `BEGIN_US`. The proxy is `r1`
and its governor is `a`.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.protocol import feed
from gradehoist.scenario.checks.records import StoredRecord, parse_record
from gradehoist.scenario.checks.run_check import check_records
from gradehoist.scenario.checks.verdict import RuleResult, Verdict
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.testbed.scenario_plan import Plan

SCENARIOS = Path(__file__).parent.parent.parent / "scenarios"
SECOND_US = 1_000_000
BEGIN_US = 1_000 * SECOND_US
PLAN = build_plan(read_scenario(SCENARIOS / "short.kdl"), 1)
RULES = PLAN.rules
GRACE_S = RULES.drain_grace_us / SECOND_US
W1 = "w1"  # a replica in hall-a
W4 = "w4"  # a replica in hall-b
PROXIES = "relays-hall-a"
REPLICAS = "replicas-hall-a"


@dataclass(frozen=True)
class Work:
    """The work of an attempt, and the warmth and incarnation of the replica that receives it."""

    work_ms: float
    warmth: float
    incarnation: int


def stored(at_s: float, event: str, role: str, **fields: Any) -> StoredRecord:
    """Returns a record of an event in the process `role`."""
    return {"t": BEGIN_US + round(at_s * SECOND_US), "e": event, "role": role, **fields}


def notified(at_s: float, endpoints: dict[str, tuple[str, int]], is_snapshot: bool = False) -> StoredRecord:
    """The governor is notified of the phase and incarnation of each replica in `endpoints`."""
    entries = {replica: list(entry) for replica, entry in endpoints.items()}
    return stored(at_s, "told", "roster", reader="a", whole=is_snapshot, version=1, entries=entries)


def notified_of_all(at_s: float, phase: str, incarnation: int = 1, is_snapshot: bool = False) -> StoredRecord:
    """The governor is notified of the same phase and incarnation for all replicas."""
    return notified(at_s, {replica.name: (phase, incarnation) for replica in PLAN.replicas}, is_snapshot)


def applied(
    at_s: float, seq: int, *deltas: feed.Delta, created_s: float | None = None, reply: int = 0
) -> StoredRecord:
    """The proxy applies a message, which was created 0.1 s earlier unless `created_s` is given."""
    cost_lines = RULES.message_overhead_lines + len(deltas)
    cost_lines += sum(len(delta.weights) for delta in deltas if isinstance(delta, feed.BindDelta))
    if created_s is None:
        created_s = at_s - 0.1
    message = feed.Message(
        seq=seq,
        reply_number=reply or seq,
        created_us=BEGIN_US + round(created_s * SECOND_US),
        cost_lines=cost_lines,
        deltas=tuple(deltas),
    )
    return stored(
        at_s,
        "applied",
        PROXIES,
        relay="r1",
        governor="a",
        epoch="e",
        stream=1,
        bytes=9,
        message=msgspec.to_builtins(message),
    )


def joined(at_s: float, stream: int = 1) -> StoredRecord:
    """The proxy begins a stream."""
    return stored(at_s, "joined", PROXIES, relay="r1", governor="a", epoch="e", stream=stream)


def lost(at_s: float) -> StoredRecord:
    """The proxy loses its stream."""
    return stored(at_s, "lost", PROXIES, relay="r1", governor="a", reason="")


def started_run() -> list[StoredRecord]:
    """A proxy has a stream and weights for W1 and W4; its governor knows all replicas as ready."""
    weights = {W1: 1.0, W4: 1.0}
    tables = {request_class.name: weights for request_class in PLAN.classes}
    return [
        stored(0, "day_begins", "day"),
        stored(0, "relay_up", PROXIES, relay="r1", standing=tables),
        notified_of_all(0, "ready", is_snapshot=True),
        joined(0.1),
    ]


def sent(
    at_s: float, request: str, replica: str, number: int = 0, request_class: str = "booking-commit"
) -> list[StoredRecord]:
    """The proxy sends an attempt, which arrives 0.01 s later."""
    return [
        stored(
            at_s,
            "try",
            PROXIES,
            relay="r1",
            tx=request,
            n=number,
            cls=request_class,
            replica=replica,
            way=1,
            after_unproven=number > 0,
        ),
        arrived(at_s + 0.01, request, replica, Work(work_ms=100.0, warmth=1.0, incarnation=1)),
    ]


def arrived(at_s: float, request: str, replica: str, work: Work) -> StoredRecord:
    """A replica receives an attempt."""
    return stored(
        at_s,
        "arrive",
        REPLICAS,
        replica=replica,
        relay="r1",
        tx=request,
        work=work.work_ms,
        warmth=work.warmth,
        boot=work.incarnation,
    )


def effect(at_s: float, request: str, replica: str, **write: Any) -> StoredRecord:
    """A request takes effect; for a tenant's write, `write` contains `tenant`, `cell` and `gen`."""
    return stored(at_s, "effect", REPLICAS, replica=replica, tx=request, **write)


def ended(at_s: float, plan: Plan = PLAN) -> list[StoredRecord]:
    """All processes end normally."""
    return [stored(at_s, "ended", role) for role in plan.control_ports]


def check_stored(plan: Plan, records: list[StoredRecord]) -> Verdict:
    """Returns the verdict on records, which may be in any order."""
    parsed = [parse_record(record, record["role"]) for record in records]
    return check_records(plan, sorted(parsed, key=lambda record: record.time_us))


def check_complete(*records: StoredRecord, plan: Plan = PLAN) -> dict[str, RuleResult]:
    """Returns the result of each rule for a run of 30 s in which all processes ended normally."""
    verdict = check_stored(plan, [*records, *ended(30, plan)])
    assert verdict.is_complete
    return {result.rule: result for result in verdict.results}
