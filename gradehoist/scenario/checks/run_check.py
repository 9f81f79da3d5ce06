"""Runs all checkers on the records of a run and builds the verdict.

The verdict depends only on the plan and the records.
"""

from __future__ import annotations

from pathlib import Path

import msgspec

from gradehoist.scenario.checks.channel import ChannelChecker
from gradehoist.scenario.checks.checker import Checker, RunContext
from gradehoist.scenario.checks.completion import CompletedWeight, completed_by_class
from gradehoist.scenario.checks.drain import DrainChecker
from gradehoist.scenario.checks.duplicate_effects import DuplicateEffectsChecker
from gradehoist.scenario.checks.migrations import MigrationsChecker
from gradehoist.scenario.checks.overload import OverloadChecker
from gradehoist.scenario.checks.placement import PlacementChecker
from gradehoist.scenario.checks.records import (
    ProcessEnded,
    ProcessFailed,
    Record,
    RequestCompleted,
    find_begin_us,
    load_records,
)
from gradehoist.scenario.checks.replay import Fleet, Replay
from gradehoist.scenario.checks.unroutable import UnroutableChecker
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.testbed.scenario_plan import Plan

# This is also the order of the results in the verdict.
CHECKERS: tuple[type[Checker], ...] = (
    UnroutableChecker,
    DuplicateEffectsChecker,
    DrainChecker,
    OverloadChecker,
    MigrationsChecker,
    ChannelChecker,
    PlacementChecker,
)


def check_records(plan: Plan, records: list[Record]) -> Verdict:
    """Checks all rules on the records, which must be in order of time.

    Raises:
        KeyError: a record contains a replica, proxy or class that is not in the plan.
    """
    replay = Replay()
    begin_us = find_begin_us(records, default=records[0].time_us if records else 0)
    context = RunContext(plan=plan, fleet=Fleet(plan), replay=replay, begin_us=begin_us)
    checkers = [checker(context) for checker in CHECKERS]
    for record in records:
        replay.apply(record)
        for checker in checkers:
            checker.on_record(record)
    end_us = records[-1].time_us if records else 0
    replay.end()
    for checker in checkers:
        checker.finish(end_us)
    return _build_verdict(plan, records, checkers)


def _build_verdict(plan: Plan, records: list[Record], checkers: list[Checker]) -> Verdict:
    missing = _find_missing_records(plan, records)
    by_class = completed_by_class(plan, records)
    total = CompletedWeight(
        completed=sum(weight.completed for weight in by_class.values()),
        requested=sum(weight.requested for weight in by_class.values()),
    )
    return Verdict(
        is_complete=not missing,
        reason=missing,
        results=[checker.build_result(missing) for checker in checkers],
        completed_share=total.share,
        completed_share_by_class={name: weight.share for name, weight in by_class.items()},
        requests=sum(isinstance(record.event, RequestCompleted) for record in records),
    )


def _find_missing_records(plan: Plan, records: list[Record]) -> str:
    """Returns why the records are incomplete, or an empty string if they are complete."""
    for record in records:
        if isinstance(record.event, ProcessFailed):
            return f"{record.role} failed: {record.event.reason}"
    ended = {record.role for record in records if isinstance(record.event, ProcessEnded)}
    unfinished = set(plan.control_ports) - ended
    if unfinished:
        return "no end in the records of " + ", ".join(sorted(unfinished))
    return ""


def check_run_folder(folder: Path) -> tuple[Plan, Verdict]:
    """Reads and checks a run folder.

    Raises:
        ValueError: the plan or a record is invalid, or they do not match.
        OSError: a file is missing or can't be read.
    """
    plan_path = folder / "plan.json"
    try:
        plan: Plan = msgspec.json.decode(plan_path.read_bytes(), type=Plan)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{plan_path}: {error}") from None
    records = load_records(folder)
    try:
        return plan, check_records(plan, records)
    except KeyError as error:
        raise ValueError(
            f"{folder}: the records are inconsistent or do not match the plan: unknown key {error}"
        ) from None
