"""`gradehoist plan`: making, showing and checking plans for events."""

from __future__ import annotations

from collections import defaultdict
from fractions import Fraction
from pathlib import Path

import msgspec
from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from gradehoist.capacity_planning import planner as making
from gradehoist.capacity_planning.event_file import Event, read
from gradehoist.capacity_planning.solver import GRID, Unsolved
from gradehoist.settings.reader import SettingsError
from gradehoist.store.atomic_file import write_file


class Bad(Exception):
    """Input that can't be used: one line or more for the person, exit 2."""


def event(path: Path, name: str) -> Event:
    """The event named, or the only one. Raises Bad."""
    try:
        events = read(path)
    except SettingsError as fault:
        raise Bad(str(fault)) from None
    found = [e for e in events if not name or e.name == name]
    if len(found) != 1:
        raise Bad(
            f"{path}: {'no such event' if name else 'more than one event'}; name one with --event: "
            + ", ".join(e.name for e in events)
        )
    return found[0]


def load(path: Path) -> making.Plan:
    try:
        plan: making.Plan = msgspec.json.decode(path.read_bytes(), type=making.Plan)
    except (OSError, msgspec.MsgspecError) as fault:
        raise Bad(f"{path}: no plan: {fault}; make one with gradehoist plan make") from None
    return plan


def make(path: Path, name: str, out: Path, pairs: bool) -> bool:
    """Writes the plan; True where nothing falls short. Raises Bad."""
    one = event(path, name)
    with Progress(console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task(f"plan for {one.name}", total=None)
        try:
            plan = making.make(one, pairs, lambda done, all: bar.update(task, completed=done, total=all))
        except Unsolved as fault:
            raise Bad(f"{path}: no plan: {fault}; make the event smaller, or its groups fewer") from None
    try:
        write_file(out, msgspec.json.format(msgspec.json.encode(plan), indent=1))
    except OSError as fault:
        raise Bad(f"{out}: {fault.strerror or fault}; name a file that can be written") from None
    show(plan)
    return not any(case.short for case in plan.cases)


def show(plan: making.Plan) -> None:
    """Served by hall in each slot; below it, all that falls short."""
    zones = sorted({s.zone for c in plan.cases for s in c.served})
    out = Table(
        title=f"{plan.event}, from {plan.begins} ({plan.zone}), {plan.slot} s a slot", title_justify="left"
    )
    for head in ("slot", *zones, "crossing", "short", "worst loss", "short then"):
        out.add_column(head, justify="left" if head == "worst loss" else "right")
    by_slot: dict[int, list[making.Case]] = defaultdict(list)
    for case in plan.cases:
        by_slot[case.slot].append(case)
    for slot, cases in sorted(by_slot.items()):
        whole = next(c for c in cases if not c.lost)
        rate = {z: sum(s.rate for s in whole.served if s.zone == z) / GRID for z in zones}
        across = sum(s.rate for s in whole.served if s.zone != s.origin) / GRID
        worst = max(cases, key=lambda c: (bool(c.lost) and _missing(c), c.lost))
        text = ", ".join(worst.lost) if worst.lost and worst.short else "none hurts"
        out.add_row(
            str(slot),
            *(f"{rate[z]:.1f}" for z in zones),
            f"{across:.1f}",
            f"{float(_missing(whole)):.1f}",
            text,
            f"{float(_missing(worst)):.1f}",
        )
    Console().print(out)
    for case in plan.cases:
        if case.short:
            print(f"slot {case.slot}, lost {', '.join(case.lost) or 'none'}: {_short(case)}")


def _missing(case: making.Case) -> Fraction:
    return sum((Fraction(x) for _, _, x in case.short), Fraction(0))


def _short(case: making.Case) -> str:
    if not case.short:
        return ""
    lacks = ", ".join(f"{float(Fraction(x)):.1f}/s {k} of {o}" for k, o, x in case.short)
    if case.add is None:
        return lacks + "; no number of workers mends it"
    return lacks + "; add " + ", ".join(f"{n} {kind} in {zone}" for zone, kind, n in case.add)


def check(path: Path, name: str, plan: Path) -> list[str]:
    """Raises Bad."""
    return making.check(load(plan), event(path, name))
