"""`gradehoist cells`: making a placement file, and reading it."""

from __future__ import annotations

import csv
from collections import defaultdict
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from gradehoist.cells.assign import Placement, Tenant, Wanted, Worker, place
from gradehoist.settings.fleet import Placed


class Bad(Exception):
    """Input that can't be used: one line for the person, exit 2."""


def rows(path: Path, columns: tuple[str, ...]) -> list[dict[str, str]]:
    """A CSV file with a head line. Raises Bad with file, line and remedy."""
    try:
        with path.open(encoding="utf-8", newline="") as file:
            reader = csv.DictReader(file)
            missing = [c for c in columns if c not in (reader.fieldnames or ())]
            if missing:
                raise Bad(f"{path}:1: no column {', '.join(missing)}; the head line is {','.join(columns)}")
            return list(reader)
    except (OSError, UnicodeDecodeError) as fault:
        raise Bad(f"{path}: can't be read: {fault}; name a CSV file in UTF-8") from None


def figure(path: Path, line: int, name: str, text: str | None) -> float:
    try:
        value = float(text or "")
        if not 0 <= value < 1e12:
            raise ValueError
    except ValueError:
        raise Bad(f"{path}:{line}: {name}: expected a number from 0 up, got {text!r}; correct it") from None
    return value


def make(tenants: Path, workers: Path, wanted: Wanted, before: Path | None) -> tuple[Placed, tuple[str, ...]]:
    """The placement and what could not be had. Raises Bad."""
    people = [Tenant(r["tenant"], figure(tenants, n, "demand", r["demand"]))
              for n, r in enumerate(rows(tenants, ("tenant", "demand")), 2)]
    crew = [Worker(r["worker"], r["zone"], r["kind"], figure(workers, n, "size", r["size"]))
            for n, r in enumerate(rows(workers, ("worker", "zone", "kind", "size")), 2)]
    names = tuple(f"c{n}" for n in range(wanted.cells))
    old = None
    if before is not None:
        held = read(before)
        numbers = {c: n for n, c in enumerate(held.cells)}
        names = held.cells[: wanted.cells] + names[len(held.cells):]
        old = Placement({w: numbers[c] for w, c in held.workers.items()},
                        {t: numbers[c] for t, c in held.named.items()})
    try:
        found = place(people, crew, wanted, old)
    except ValueError as fault:
        raise Bad(f"{workers}: {fault}; change --cells or the files") from None
    return Placed(names, {w: names[c] for w, c in sorted(found.workers.items())},
                  {t: names[c] for t, c in sorted(found.tenants.items())}), found.faults


def read(path: Path) -> Placed:
    try:
        placed: Placed = msgspec.json.decode(path.read_bytes(), type=Placed)
    except (OSError, msgspec.MsgspecError) as fault:
        raise Bad(f"{path}: no placement: {fault}; make one with gradehoist cells place") from None
    return placed


def show(placed: Placed) -> None:
    workers, tenants = defaultdict[str, list[str]](list), defaultdict[str, list[str]](list)
    for name, cell in placed.workers.items():
        workers[cell].append(name)
    for name, cell in placed.named.items():
        tenants[cell].append(name)
    out = Table(title=f"{len(placed.cells)} cells", title_justify="left")
    for head in ("cell", "workers", "tenants named", ""):
        out.add_column(head, justify="right" if head == "tenants named" else "left")
    for cell in placed.cells:
        some = ", ".join(sorted(tenants[cell])[:6]) + (", …" if len(tenants[cell]) > 6 else "")
        out.add_row(cell, ", ".join(sorted(workers[cell])), str(len(tenants[cell])), some)
    Console().print(out)
