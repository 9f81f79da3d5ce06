"""`python -m bench.plays BENCH SITE OUT --why TEXT [--day D ...] [--seeds 1-10] [--nodes N] [--at-once N]
[--bound S]`: small days of the platform's bench, a few at once. It keeps each report in OUT and holds no
verdict: the words of the rows are the bench's own, but for `ended`, `failed` (an exit code but 0), `no end`
(stopped after the bound by its own process id), `stopped` and `not run` (this program was, in or before the
play's turn)."""

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

TOLD = ("rules ", "BROKEN", "broken", "nodes: ready", "crash", "GATE")  # parts of lines that a row keeps


def seeds(text: str) -> list[int]:
    """`3`, `1-10`, `1,4,7-9`. Raises ValueError."""
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found


def end(process: subprocess.Popen[bytes]) -> None:
    """Ends the play and what it started, by the id of the group that is its own."""
    for sign in (signal.SIGTERM, signal.SIGKILL):
        try:
            os.killpg(process.pid, sign)
            process.wait(5)
        except ProcessLookupError:
            return
        except subprocess.TimeoutExpired:
            continue


def play(command: list[str], report: Path, bound: float, stopped: Event) -> str:
    """The row of one play."""
    if stopped.is_set():
        return "not run"
    began = time.monotonic()
    with report.open("wb") as out:
        process = subprocess.Popen(command, stdout=out, stderr=subprocess.STDOUT, start_new_session=True)
        while process.poll() is None:
            if stopped.wait(0.2) or time.monotonic() - began > bound:
                end(process)
                return "stopped" if stopped.is_set() else f"no end in {bound:g} s"
    text = report.read_text(errors="replace").splitlines()
    told = [line.strip() for line in text if any(word in line for word in TOLD) or " score " in line]
    state = "ended" if process.returncode == 0 else f"failed, exit {process.returncode}"
    return f"{state}, {time.monotonic() - began:.0f} s | {' | '.join(told)}"


def main() -> int:
    """Plays all days with all seeds; returns the exit code, 1 where a play did not end well."""
    parser = argparse.ArgumentParser(prog="python -m bench.plays")
    parser.add_argument("bench")
    parser.add_argument("site")
    parser.add_argument("out", type=Path)
    parser.add_argument("--why", required=True)
    parser.add_argument("--day", action="append")
    parser.add_argument("--seeds", type=seeds, default=seeds("1-10"))
    parser.add_argument("--nodes", type=int, default=30)
    parser.add_argument("--at-once", type=int, default=3)
    parser.add_argument("--bound", type=float, default=600.0, help="seconds after which a play is ended")
    told = parser.parse_args()
    told.out.mkdir(parents=True, exist_ok=True)
    stopped, bad = Event(), 0
    signal.signal(signal.SIGTERM, lambda *_: stopped.set())
    signal.signal(signal.SIGINT, lambda *_: stopped.set())
    with ThreadPoolExecutor(told.at_once) as pool:
        plays = []
        for day in told.day or ["roll+mass", "split+mass", "join+mass"]:
            for seed in told.seeds:
                why = ["--nodes", str(told.nodes), "--seed", str(seed), "--why", told.why]
                command = [told.bench, told.site, "--rough", day, *why]
                report = told.out / f"{day}-{seed}.txt"
                plays.append((day, seed, pool.submit(play, command, report, told.bound, stopped)))
        for day, seed, row in plays:
            bad += not row.result().startswith("ended")
            print(f"| {day} | {seed} | {told.nodes} | {row.result()} |", flush=True)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
