"""Implements `gradehoist scenario` and `gradehoist audit`: runs a scenario and shows its verdict."""

from __future__ import annotations

import asyncio
import signal
from dataclasses import dataclass
from pathlib import Path

import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeRemainingColumn
from rich.table import Table

from gradehoist.cli.errors import InputError
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.checks.verdict import RuleResult, RuleState, Verdict
from gradehoist.scenario.definition import Scenario
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.errors import ScenarioRunError
from gradehoist.scenario.plan_builder import build_plan, speed_up_plan
from gradehoist.scenario.report import write_report
from gradehoist.scenario.runner import RunProgress, ScenarioRun
from gradehoist.settings.reader import SettingsError
from gradehoist.testbed.scenario_plan import Plan

COLOUR_BY_STATE = {
    RuleState.KEPT: "green",
    RuleState.BROKEN: "bold red",
    RuleState.INCONCLUSIVE: "yellow",
}
RIGHT_COLUMNS = ("limit used", "occasions")
PROGRESS_COLUMNS = (
    TextColumn("[bold]{task.fields[scenario]}"),
    BarColumn(),
    TaskProgressColumn(),
    TimeRemainingColumn(),
    TextColumn("{task.fields[rules]}"),
    TextColumn("{task.fields[text]}"),
)
# The number of characters of the last step that are shown. The other columns need the rest of the line.
PROGRESS_TEXT_WIDTH = 48
# The interval between checks of the rules during a run, whose results the progress bar shows.
CHECK_INTERVAL_S = 4.0


@dataclass(frozen=True, slots=True)
class RunOptions:
    """The options of a run.

    Attributes:
        seed: The seed; None for the seed of the scenario.
        folder: The folder of records; None for a folder in `found`, named after scenario and seed.
        follow_governors: Whether the proxies poll a governor. Otherwise they keep their default tables.
        even_weights: Whether all replicas have the same weight.
        speed: The factor by which the scenario's steps are played faster.
        quiet: Whether to show no progress bar.
    """

    seed: int | None
    folder: Path | None
    follow_governors: bool
    even_weights: bool
    speed: float
    quiet: bool


def run_scenario(path: Path, options: RunOptions) -> bool:
    """Runs a scenario, checks the rules and writes the report; returns whether all rules held.

    Raises:
        InputError: The file has errors, or the run could not start, write its records or finish.
    """
    try:
        scenario = read_scenario(path)
    except SettingsError as error:
        raise InputError(str(error)) from None
    seed = scenario.seed if options.seed is None else options.seed
    plan = build_plan(scenario, seed, options.follow_governors, options.even_weights)
    plan = speed_up_plan(plan, options.speed)
    folder = options.folder or Path("found") / f"{plan.name}-{plan.seed}"
    try:
        finished = _run_with_progress(scenario, plan, folder, options.quiet)
    except ScenarioRunError as error:
        raise InputError(f"{path}: {error}") from None
    except OSError as error:
        raise InputError(f"{folder}: {error.strerror or error}; name a folder that can be written") from None
    if not finished:
        raise InputError(
            f"{path}: the run was stopped before its end and all its processes were ended; records: {folder}"
        )
    plan, verdict = check_run_folder(folder)
    page = write_report(folder, plan, verdict)
    show_verdict(plan, verdict)
    Console().print(f"page: {page}")
    return verdict.has_passed


def _run_with_progress(scenario: Scenario, plan: Plan, folder: Path, quiet: bool) -> bool:
    """Runs a plan with a progress bar on standard error; returns False if a signal stopped it."""
    with Progress(*PROGRESS_COLUMNS, console=Console(stderr=True), disable=quiet) as bar:
        task = bar.add_task("scenario", total=1.0, scenario=plan.name, rules="", text="starting")

        def show_progress(progress: RunProgress) -> None:
            bar.update(
                task,
                completed=progress.share,
                text=progress.last_step[:PROGRESS_TEXT_WIDTH],
                rules=_format_initials(progress.verdict),
            )

        check_interval_s = 0.0 if quiet else CHECK_INTERVAL_S
        run = ScenarioRun(scenario, plan, folder, show_progress, check_interval_s)
        return asyncio.run(_play_until_signal(run))


async def _play_until_signal(run: ScenarioRun) -> bool:
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, run.stop.set)
    return await run.execute()


def _format_initials(verdict: Verdict | None) -> str:
    """Returns the number that starts each rule's title, coloured by whether it has been broken so far."""
    if verdict is None:
        return ""
    initials = []
    for result in verdict.results:
        state = RuleState.BROKEN if result.violations else RuleState.KEPT
        initials.append(f"[{COLOUR_BY_STATE[state]}]{result.title[0]}[/]")
    return " ".join(initials)


def show_verdict(plan: Plan, verdict: Verdict) -> None:
    """Prints the results of all rules, and the share of requests completed in time."""
    console = Console()
    console.print(_build_table(plan, verdict))
    if not verdict.is_complete:
        console.print(f"[bold red]the records are incomplete: {verdict.reason}[/]")
    shares = ", ".join(
        f"{name} {100 * share:.1f}%" for name, share in verdict.completed_share_by_class.items()
    )
    console.print(
        f"{verdict.requests} transactions; gain answered within the latency goal "
        f"{100 * verdict.completed_share:.1f}% ({shares})"
    )


def _build_table(plan: Plan, verdict: Verdict) -> Table:
    table = Table(title=f"{plan.name}, seed {plan.seed}", title_justify="left")
    for heading in ("rule", "state", "limit used", "occasions", ""):
        table.add_column(heading, justify="right" if heading in RIGHT_COLUMNS else "left")
    for result in verdict.results:
        table.add_row(
            result.title,
            f"[{COLOUR_BY_STATE[result.state]}]{result.state}[/]",
            f"{100 * result.limit_used:.0f}%",
            str(result.occasions),
            _describe_result(result),
        )
    return table


def _describe_result(result: RuleResult) -> str:
    """Returns the reason for the state, or else the first violation."""
    if result.reason or not result.violations:
        return result.reason
    violation = result.violations[0]
    return f"{violation.description} ({violation.at_s:.1f} s)"


def check_run(folder: Path, as_json: bool) -> bool:
    """Checks the rules on the records of a run and prints the verdict; returns whether all rules held.

    Raises:
        InputError: The folder contains no run, or its records can't be read.
    """
    try:
        plan, verdict = check_run_folder(folder)
    except FileNotFoundError as error:
        raise InputError(
            f"{error.filename}: no run is here; name the folder of a run of `gradehoist scenario`"
        ) from None
    except (ValueError, OSError) as error:
        raise InputError(f"{error}; run the scenario again") from None
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(verdict), indent=1).decode())
    else:
        show_verdict(plan, verdict)
    return verdict.has_passed
