"""The commands of `gradehoist plan`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from gradehoist.cli.options import FILE

EVENT_OPTION = click.option(
    "--event", "event_name", default="", help="The name of the event; not needed if the file has only one."
)


@click.group()
def plan() -> None:
    """Plans capacity for announced events ahead of time, including the loss of each zone."""


@plan.command("make")
@click.argument("events_path", metavar="EVENTS", type=FILE)
@click.option("--out", "plan_path", type=FILE, required=True, help="The plan file to write.")
@click.option("--pairs", is_flag=True, help="Also plan for the loss of any two zones at once.")
@EVENT_OPTION
def make_plan(events_path: Path, plan_path: Path, pairs: bool, event_name: str) -> None:
    """Makes and shows a plan.

    Exits with 1 if some demand is not met; the plan is written in this case too.
    """
    from gradehoist.cli.plan import make_plan_file

    all_demand_met = make_plan_file(events_path, event_name, plan_path, include_zone_pairs=pairs)
    sys.exit(0 if all_demand_met else 1)


@plan.command("show")
@click.argument("path", metavar="PLAN", type=FILE)
def show_plan(path: Path) -> None:
    """Shows a plan by slot and zone, and the demand that each loss of zones leaves unmet."""
    from gradehoist.cli import plan as plan_files

    plan_files.show_plan(plan_files.load_plan(path))


@plan.command("check")
@click.argument("events_path", metavar="EVENTS", type=FILE)
@click.argument("plan_path", metavar="PLAN", type=FILE)
@EVENT_OPTION
def check_plan(events_path: Path, plan_path: Path, event_name: str) -> None:
    """Checks every bound of a plan again, in exact arithmetic.

    Exits with 1 if the plan may not be used.
    """
    from gradehoist.cli.plan import check_plan_file

    defects = check_plan_file(events_path, event_name, plan_path)
    for defect in defects:
        click.echo(f"{plan_path}: {defect}")
    if not defects:
        click.echo(f"{plan_path}: fits and holds")
    sys.exit(1 if defects else 0)
