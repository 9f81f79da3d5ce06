"""Checks a run: replays its records through all checkers and builds the verdict.

A pure function of plan and records, apart from reading the run folder.
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

# In the order of the verdict.
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
    """Judges every rule from the records, which are in order of time.

    Raises:
        KeyError: a record names a replica, proxy or class that the plan does not have.
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
    """Which process failed or did not record to its end; empty where all did."""
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
        ValueError: the plan or a record cannot be read, or they do not belong together.
        OSError: a file is missing or cannot be read.
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
        raise ValueError(f"{folder}: a record without what it should tell: {error!r}") from None
