"""Implements `gradehoist plan`: makes, shows and checks capacity plans for events."""

from __future__ import annotations

from collections import defaultdict
from fractions import Fraction
from pathlib import Path

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from gradehoist.capacity_planning.errors import SolverError
from gradehoist.capacity_planning.event_file import DemandEvent, read_events
from gradehoist.capacity_planning.plan import CapacityPlan, PlannedCase
from gradehoist.capacity_planning.plan_check import PlanDefect, check_plan
from gradehoist.capacity_planning.planner import make_plan
from gradehoist.capacity_planning.rounding import RATE_UNITS
from gradehoist.cli.errors import InputError
from gradehoist.settings.reader import SettingsError
from gradehoist.store.atomic_file import write_file


def load_event(path: Path, name: str) -> DemandEvent:
    """Loads the event with a name, or the only event of a file if the name is empty.

    Raises:
        InputError: The file has errors, has no event of that name, or has several and the name is empty.
    """
    try:
        events = read_events(path)
    except SettingsError as error:
        raise InputError(str(error)) from None
    matching = [event for event in events if not name or event.name == name]
    if len(matching) != 1:
        problem = "no such event" if name else "more than one event"
        known = ", ".join(event.name for event in events)
        raise InputError(f"{path}: {problem}; name one with --event: {known}")
    return matching[0]


def load_plan(path: Path) -> CapacityPlan:
    """Reads a plan file.

    Raises:
        InputError: The file can't be read, or is not a plan file.
    """
    try:
        plan: CapacityPlan = msgspec.json.decode(path.read_bytes(), type=CapacityPlan)
    except (OSError, msgspec.MsgspecError) as error:
        raise InputError(f"{path}: no plan: {error}; make one with gradehoist plan make") from None
    return plan


def make_plan_file(events_path: Path, event_name: str, plan_path: Path, include_zone_pairs: bool) -> bool:
    """Makes, writes and shows a plan; returns whether all demand is met in every case.

    Raises:
        InputError: An input has errors, the solver failed, or the file can't be written.
    """
    event = load_event(events_path, event_name)
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(f"plan for {event.name}", total=None)

        def show_progress(done: int, total: int) -> None:
            bar.update(task, completed=done, total=total)

        try:
            plan = make_plan(event, include_zone_pairs, show_progress)
        except SolverError as error:
            raise InputError(
                f"{events_path}: no plan: {error}; shorten the event, or reduce the number of groups"
            ) from None
    try:
        write_file(plan_path, msgspec.json.format(msgspec.json.encode(plan), indent=1))
    except OSError as error:
        raise InputError(f"{plan_path}: {error.strerror or error}; name a file that can be written") from None
    show_plan(plan)
    return not any(case.shortfalls for case in plan.cases)


def show_plan(plan: CapacityPlan) -> None:
    """Prints a table of what each zone serves in each slot, followed by each case with a shortfall."""
    zones = sorted({served.zone for case in plan.cases for served in case.served})
    table = Table(
        title=f"{plan.event}, from {plan.starts_at} ({plan.time_zone}), {plan.slot_s} s a slot",
        title_justify="left",
    )
    for heading in ("slot", *zones, "crossing", "short", "worst loss", "short then"):
        table.add_column(heading, justify="left" if heading == "worst loss" else "right")
    cases_by_slot: dict[int, list[PlannedCase]] = defaultdict(list)
    for case in plan.cases:
        cases_by_slot[case.slot].append(case)
    for slot, cases in sorted(cases_by_slot.items()):
        table.add_row(*_slot_row(slot, cases, zones))
    Console().print(table)
    for case in plan.cases:
        if case.shortfalls:
            print(f"{case.describe()}: {_describe_shortfalls(case)}")


def _slot_row(slot: int, cases: list[PlannedCase], zones: list[str]) -> list[str]:
    """Returns the columns of one slot: the rates with all zones, and the loss that leaves most unserved."""
    intact = next(case for case in cases if not case.lost_zones)
    crossing = sum(s.rate_units for s in intact.served if s.zone != s.origin) / RATE_UNITS
    worst = max(cases, key=lambda case: (bool(case.lost_zones) and _missing_rate(case), case.lost_zones))
    hurts = worst.lost_zones and worst.shortfalls
    return [
        str(slot),
        *(f"{sum(s.rate_units for s in intact.served if s.zone == zone) / RATE_UNITS:.1f}" for zone in zones),
        f"{crossing:.1f}",
        f"{float(_missing_rate(intact)):.1f}",
        ", ".join(worst.lost_zones) if hurts else "none",
        f"{float(_missing_rate(worst)):.1f}",
    ]


def _missing_rate(case: PlannedCase) -> Fraction:
    return sum((Fraction(shortfall.requests_per_s) for shortfall in case.shortfalls), Fraction(0))


def _describe_shortfalls(case: PlannedCase) -> str:
    shortfalls = ", ".join(
        f"{float(Fraction(s.requests_per_s)):.1f}/s {s.request_class} of {s.origin}" for s in case.shortfalls
    )
    if case.replicas_to_add is None:
        return shortfalls + "; no number of additional workers is enough"
    additions = ", ".join(f"{a.replica_count} {a.kind} in {a.zone}" for a in case.replicas_to_add)
    return f"{shortfalls}; add {additions}"


def check_plan_file(events_path: Path, event_name: str, plan_path: Path) -> list[PlanDefect]:
    """Returns the reasons why a plan file may not be used for an event.

    Raises:
        InputError: One of the files can't be read or has errors.
    """
    plan = load_plan(plan_path)
    return check_plan(plan, load_event(events_path, event_name))
