"""`gradehoist day` and `gradehoist audit`: what a person sees of a run."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

import msgspec
from rich.console import Console
from rich.progress import BarColumn, Progress, TaskProgressColumn, TextColumn, TimeRemainingColumn
from rich.table import Table

from gradehoist.scenario import report
from gradehoist.scenario.checks.run_check import check_run_folder
from gradehoist.scenario.checks.verdict import Verdict
from gradehoist.scenario.definition_reader import read_scenario
from gradehoist.scenario.plan_builder import build_plan, speed_up_plan
from gradehoist.scenario.runner import Run, StartFailed
from gradehoist.settings.reader import SettingsError
from gradehoist.testbed.scenario_plan import Plan

COLOUR = {"kept": "green", "broken": "bold red", "not judged": "yellow"}


class Failed(Exception):
    """Bad input, or a run that could not be played: one line for the person, exit 2."""


def table(plan: Plan, verdict: Verdict) -> Table:
    out = Table(title=f"{plan.name}, seed {plan.seed}", title_justify="left")
    for head in ("rule", "state", "limit used", "occasions", ""):
        out.add_column(head, justify="right" if head in ("limit used", "occasions") else "left")
    for r in verdict.results:
        text = r.reason or (
            r.violations[0].description + f" ({r.violations[0].at_s:.1f} s)" if r.violations else ""
        )
        out.add_row(
            r.title, f"[{COLOUR[r.state]}]{r.state}[/]", f"{100 * r.limit_used:.0f}%", str(r.occasions), text
        )
    return out


def _line(verdict: Verdict | None) -> str:
    if verdict is None:
        return ""
    return " ".join(
        f"[{COLOUR['broken' if r.violations else 'kept']}]{r.title[0]}[/]" for r in verdict.results
    )


def play(
    path: Path, seed: int | None, out: Path | None, follow: bool, even: bool, speed: float, quiet: bool
) -> bool:
    """Plays and judges a scene; True where all rules held. Raises Failed."""
    console = Console(stderr=True)
    try:
        script = read_scenario(path)
    except SettingsError as fault:
        raise Failed(str(fault)) from None
    plan = build_plan(script, script.seed if seed is None else seed, follow, even)
    plan = speed_up_plan(plan, speed)
    folder = out or Path("found") / f"{plan.name}-{plan.seed}"
    columns = (
        TextColumn("[bold]{task.fields[scene]}"),
        BarColumn(),
        TaskProgressColumn(),
        TimeRemainingColumn(),
        TextColumn("{task.fields[rules]}"),
        TextColumn("{task.fields[text]}"),
    )
    with Progress(*columns, console=console, disable=quiet) as bar:
        task = bar.add_task("day", total=1.0, scene=plan.name, rules="", text="starting")

        def show(done: float, text: str, verdict: Verdict | None) -> None:
            bar.update(task, completed=done, text=text[:48], rules=_line(verdict))

        run = Run(script, plan, folder, show, look=0.0 if quiet else 4.0)

        async def whole() -> bool:
            loop = asyncio.get_running_loop()
            for number in (signal.SIGTERM, signal.SIGINT):
                loop.add_signal_handler(number, run.stop.set)
            return await run.play()

        try:
            finished = asyncio.run(whole())
        except StartFailed as fault:
            raise Failed(f"{path}: {fault}") from None
        except OSError as fault:
            raise Failed(f"{folder}: {fault.strerror or fault}; give a folder that can be written") from None
    if not finished:
        raise Failed(f"{path}: stopped before its end; every process was ended; records: {folder}")
    plan, verdict = check_run_folder(folder)
    page = report.write(folder, plan, verdict)
    show_verdict(plan, verdict)
    Console().print(f"page: {page}")
    return verdict.is_passed


def show_verdict(plan: Plan, verdict: Verdict) -> None:
    console = Console()
    console.print(table(plan, verdict))
    if not verdict.is_complete:
        console.print(f"[bold red]the records are not whole: {verdict.reason}[/]")
    shares = ", ".join(
        f"{name} {100 * share:.1f}%" for name, share in verdict.completed_share_by_class.items()
    )
    console.print(
        f"{verdict.requests} transactions; gain answered within the latency goal "
        f"{100 * verdict.completed_share:.1f}% ({shares})"
    )


def judge(folder: Path, as_json: bool) -> bool:
    """Judges a run folder afresh. Raises Failed."""
    try:
        plan, verdict = check_run_folder(folder)
    except FileNotFoundError as fault:
        raise Failed(f"{fault.filename}: no run is here; name a folder of `gradehoist day`") from None
    except (ValueError, OSError) as fault:
        raise Failed(f"{fault}; play the day again") from None
    if as_json:
        print(msgspec.json.format(msgspec.json.encode(verdict), indent=1).decode())
    else:
        show_verdict(plan, verdict)
    return verdict.is_passed
