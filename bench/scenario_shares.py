"""The share of requests completed in time in the bad-day scenario, by what sets the weights."""

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
# The arguments of `build_plan` (follow_governors, even_weights) of each mode.
MODES = {"governed": (True, False), "standing": (False, False), "even": (False, True)}


def _run_folder(seed: int, mode: str) -> Path:
    return Path("found") / f"bench-{seed}-{mode}"


async def _run_all_modes(scenario: Scenario, seed: int) -> None:
    runs = [
        ScenarioRun(scenario, build_plan(scenario, seed, *flags), _run_folder(seed, mode))
        for mode, flags in MODES.items()
    ]
    await asyncio.gather(*(run.execute() for run in runs))


def measure_shares() -> None:
    """For each seed, runs the scenario with governors, default tables and equal weights at the same time."""
    print_row("seed", "governed", "standing tables", "equal weights", "rules, governed")
    scenario = read_scenario(SCENARIO)
    for seed in SEEDS:
        asyncio.run(_run_all_modes(scenario, seed))
        verdicts = [check_run_folder(_run_folder(seed, mode))[1] for mode in MODES]
        rules = " ".join(result.state for result in verdicts[0].results)
        print_row(seed, *(f"{100 * verdict.completed_share:.1f}%" for verdict in verdicts), rules)
        print_message_sizes(_run_folder(seed, "governed"))


def print_message_sizes(folder: Path) -> None:
    """Prints the size of a run's messages, and the size that complete snapshots in their place would have."""
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
    """Returns the size of a message with the complete state of a proxy."""
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
