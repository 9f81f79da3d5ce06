"""Runs small days of the platform's bench, a few at a time, and prints a row for each run.

Usage: `python -m bench.plays BENCH SITE OUT --why TEXT [--day D ...] [--seeds 1-10] [--nodes N] [--at-once N]
[--bound S]`.

The report of each run is stored in OUT. This program does not judge the runs: the texts of the rows come from
the bench, except for the state of the run. The states are `ended`; `failed` (with an exit code other than 0);
`no end` (its process group was ended after the time limit); and `stopped` and `not run` (this program was
stopped during the run, or before it started).
"""

from __future__ import annotations

import argparse
import os
import signal
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from threading import Event

# A row includes the lines of a report that contain one of these phrases, or a score.
KEPT_PHRASES = ("rules ", "BROKEN", "broken", "nodes: ready", "crash", "GATE")


def parse_seeds(text: str) -> list[int]:
    """Parses a list of seeds and ranges, such as `3`, `1-10` or `1,4,7-9`.

    Raises:
        ValueError: The text is not such a list.
    """
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def end_process_group(process: subprocess.Popen[bytes]) -> None:
    """Ends a run and all processes that it started, by the id of its own process group."""
    for signal_number in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(process.pid, signal_number)
            process.wait(5)
        except ProcessLookupError:
            return
        except subprocess.TimeoutExpired:
            continue


def run_day(command: list[str], report: Path, timeout_s: float, stopped: Event) -> str:
    """Runs one day and returns its row."""
    if stopped.is_set():
        return "not run"
    started = time.monotonic()
    with report.open("wb") as out:
        process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT, start_new_session=True)
        while process.poll() is None:
            if stopped.wait(0.2) or time.monotonic() - started > timeout_s:
                end_process_group(process)
                return "stopped" if stopped.is_set() else f"no end in {timeout_s:g} s"
    lines = report.read_text(errors="replace").splitlines()
    kept_lines = [
        line.strip() for line in lines if any(phrase in line for phrase in KEPT_PHRASES) or " score " in line
    ]
    state = "ended" if process.returncode == 0 else f"failed, exit {process.returncode}"
    return f"{state}, {time.monotonic() - started:.0f} s | {' | '.join(kept_lines)}"


def main() -> int:
    """Runs all days with all seeds; returns the exit code, which is 1 if a run did not end with code 0."""
    parser = argparse.ArgumentParser(prog="python -m bench.plays")
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("out", type=Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--day", action="append")
    parser.add_argument("--seeds", type=parse_seeds, default=parse_seeds("1-10"))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--bound", type=float, default=600.0, help="seconds after which a run is ended")
    options = parser.parse_args()
    options.out.mkdir(parents=True, exist_ok=True)
    stopped, failed_count = Event(), 0
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    with ThreadPoolExecutor(options.at_once) as pool:
        runs = []
        for day in options.day or ["roll+mass", "split+mass", "join+mass"]:
            for seed in options.seeds:
                arguments = ["--nodes", str(options.nodes), "--seed", str(seed), "--why", options.why]
                command = [options.bench, options.site, "--rough", day, *arguments]
                report = options.out / f"{day}-{seed}.txt"
                runs.append((day, seed, pool.submit(run_day, command, report, options.bound, stopped)))
        for day, seed, result in runs:
            failed_count += not result.result().startswith("ended")
            print(f"| {day} | {seed} | {options.nodes} | {result.result()} |", flush=True)
    return 1 if failed_count else 0


if __name__ == "__main__":
    sys.exit(main())
