"""The share of requests completed in time on the bad day, by who decides the weights."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec

from bench.output import print_row
from gradehoist.protocol import feed
from gradehoist.protocol.proxy_state import ProxyState, TableKey
from gradehoist.scenario.checks.records import MessageApplied, StreamBegan, load_records
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.definition import Scenario
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan
from gradehoist.scenario.runner import ScenarioRun

SCENARIO = Path("scenarios/bad-day.kdl")
SEEDS = (1, 2, 3)
WAYS = {"governed": (True, False), "standing": (False, False), "even": (False, True)}


def _run_folder(seed: int, way: str) -> Path:
    return Path("found") / f"bench-{seed}-{way}"


async def _run_all_ways(scenario: Scenario, seed: int) -> None:
    runs = [
        ScenarioRun(scenario, build_plan(scenario, seed, *flags), _run_folder(seed, way))
        for way, flags in WAYS.items()
    ]
    await asyncio.gather(*(run.execute() for run in runs))


def measure_shares() -> None:
    """Runs the scenario with governors, default tables and equal weights at once, for each seed."""
    print_row("seed", "governed", "standing tables", "equal weights", "rules, governed")
    scenario = read_scenario(SCENARIO)
    for seed in SEEDS:
        asyncio.run(_run_all_ways(scenario, seed))
        verdicts = [check_run_folder(_run_folder(seed, way))[1] for way in WAYS]
        rules = " ".join(result.state for result in verdicts[0].results)
        print_row(seed, *(f"{100 * verdict.completed_share:.1f}%" for verdict in verdicts), rules)
        print_message_sizes(_run_folder(seed, "governed"))


def print_message_sizes(folder: Path) -> None:
    """Prints the bytes of a run's messages, and of complete snapshots in their place."""
    states: dict[str, ProxyState] = {}
    delta_bytes = snapshot_bytes = 0
    for record in load_records(folder):
        event = record.event
        if isinstance(event, StreamBegan):
            states.setdefault(event.proxy, ProxyState()).begin_stream()
        elif isinstance(event, MessageApplied):
            state = states.setdefault(event.proxy, ProxyState())
            state.apply(event.message)
            delta_bytes += len(msgspec.json.encode(event.message))
            snapshot_bytes += _snapshot_size(state)
    print_row("deltas, bytes", "whole pictures, bytes", "ratio")
    print_row(delta_bytes, snapshot_bytes, f"{snapshot_bytes / delta_bytes:.1f}")


def _snapshot_size(state: ProxyState) -> int:
    """The bytes of a message with all that a proxy holds."""
    classes_by_table: dict[TableKey, list[str]] = {}
    for class_name, key in state.table_by_class.items():
        classes_by_table.setdefault(key, []).append(class_name)
    deltas: list[feed.Delta] = [
        feed.BindDelta(key[1], tuple(classes), state.tables.get(key, {}))
        for key, classes in classes_by_table.items()
    ]
    deltas += [feed.WithdrawalDelta(replica) for replica in state.withdrawn]
    deltas += [
        feed.AdmissionDelta(table, (class_name,), share, attempts)
        for (table, class_name), (share, attempts) in state.admission.items()
    ]
    return len(msgspec.json.encode(feed.Message(1, 1, 10**9, 1.0, tuple(deltas), 1, True)))
