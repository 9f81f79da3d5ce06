"""Tests of the report and the counts of a scenario run, and of the management of its processes."""

from __future__ import annotations

import asyncio
import shutil
from pathlib import Path

import msgspec
import pytest

from gradehoist.scenario.checks.records import load_records
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.counts import RunCounts, count_events
from gradehoist.scenario.errors import ProcessExitError, ProcessStartError
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.scenario.processes import ProcessGroup
from gradehoist.scenario.report import write_report
from gradehoist.scenario.run_folder import RunFolder

DATA = Path(__file__).parent / "data"
EXITING_MODULE = ("this", "--unused")  # The module `this` prints a text and exits.


def start_and_wait_for_exit(folder: Path, name: str) -> ProcessGroup:
    processes = ProcessGroup(RunFolder(folder))
    processes.start(name, *EXITING_MODULE)
    processes._processes[name].wait(20)
    return processes


def test_the_report_of_a_run_contains_its_verdict_and_charts(tmp_path: Path) -> None:
    folder = Path(shutil.copytree(DATA / "run-broken", tmp_path / "run"))
    plan, verdict = check_run_folder(folder)
    page_path = write_report(folder, plan, verdict)
    page = page_path.read_text()
    assert msgspec.json.decode((folder / "verdict.json").read_bytes(), type=Verdict) == verdict
    assert page.count("<img ") == 3
    assert all(result.title in page for result in verdict.results)
    assert "c1.1 took effect twice" in page


def test_the_events_of_a_run_are_counted() -> None:
    counts = count_events(load_records(DATA / "run"))
    assert counts == RunCounts(
        requests=24, attempts=16, messages=12, feed_bytes=3_091, rejected=16, lost_streams=4
    )


def test_a_process_that_exits_at_its_start_raises_an_error_with_the_end_of_its_log(tmp_path: Path) -> None:
    processes = ProcessGroup(RunFolder(tmp_path))
    (port,) = find_free_ports(1)
    processes.start("roster", "no_such_module")
    with pytest.raises(ProcessStartError, match="roster did not start: .*no_such_module") as caught:
        asyncio.run(processes.wait_until_ready("roster", port, "POST", "/", b""))
    processes.stop_all()
    assert caught.value.name == "roster"


def test_a_process_that_exits_during_the_run_raises_an_error_with_its_exit_code(tmp_path: Path) -> None:
    processes = start_and_wait_for_exit(tmp_path, "clients")
    with pytest.raises(
        ProcessExitError, match=r"exited unexpectedly with code 0; see clients\.log"
    ) as caught:
        processes.check_running()
    assert caught.value.exit_code == 0


@pytest.mark.parametrize("name", ["mover", "release"])
def test_a_command_may_exit_during_the_run(tmp_path: Path, name: str) -> None:
    start_and_wait_for_exit(tmp_path, name).check_running()
