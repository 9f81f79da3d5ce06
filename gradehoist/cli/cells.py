"""`gradehoist cells`: making a placement file, and reading it."""

from __future__ import annotations

import asyncio
import csv
from collections import defaultdict
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from gradehoist.cells.assign import Placement, Tenant, Wanted, Worker, place
from gradehoist.cells.moves import Move, Step
from gradehoist.cells.release import Release
from gradehoist.cells.release import Step as Staged
from gradehoist.cells.routes import home
from gradehoist.mover import release as releasing
from gradehoist.mover import run as mover
from gradehoist.settings.fleet import Placed, Settings
from gradehoist.store.keep import Held, Lock


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


def move(settings: Settings, store: Path, tenants: tuple[str, ...], to: str | None) -> bool:
    """True where every move came to its end. Raises Bad."""
    placed = settings.fleet.cells
    if placed is None:
        raise Bad("fleet > cells: missing; name a placement to move tenants in")
    if tenants and not to:
        raise Bad("no cell to move to; say --to CELL")
    try:
        lock = Lock(store)
    except Held as fault:
        raise Bad(f"{fault}; one mover at a time, wait for it or end it") from None
    try:
        if tenants:
            mover.order(store, settings, tenants, to or "", lambda t: home(t, placed.cells, placed.named))
        moves = mover.load(store)
        undone = {m.id.removesuffix("-undo") for m in moves if m.undone}
        due = [m for m in moves if m.step is not Step.DONE and m.id not in undone]
        ended = asyncio.run(mover.Mover(settings, store, _say).run(due))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    finally:
        lock.free()
    return all(m.step is Step.DONE for m in ended)


def release(settings: Settings, store: Path, run: str, back: str, some: tuple[str, ...], batch: int,
            soak: float, patience: float) -> bool:
    """A new release, or without a command the one that was under way; True where it came to its end without
    harm. Raises Bad."""
    placed = settings.fleet.cells
    if placed is None:
        raise Bad("fleet > cells: missing; name a placement to release in")
    if strange := [c for c in some if c not in placed.cells]:
        raise Bad(f"no cell {', '.join(strange)}; the placement has {', '.join(placed.cells)}")
    try:
        lock = Lock(store, "release.lock")
    except Held as fault:
        raise Bad(f"{fault}; one release at a time, wait for it or end it") from None
    try:
        last = releasing.load(store)
        open_one = last is not None and last.step not in (Staged.DONE, Staged.HALTED)
        if run:
            if last is not None and open_one:
                raise Bad(f"release {last.id} is under way in {last.cell}; leave out --run to go on with it")
            number = int(last.id) + 1 if last else 1
            cells = some or placed.cells
            workers = {c: tuple(sorted(placed.of(c))) for c in cells}
            last = Release(f"{number:06d}", cells, workers, batch, run, back)
        elif last is None or not open_one:
            raise Bad("no release is under way; begin one with --run COMMAND")
        told = asyncio.run(releasing.Runner(settings, store, soak, patience, _say_release).run(last))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    finally:
        lock.free()
    return told.step is Staged.DONE


def _say_release(release: Release, text: str) -> None:
    print(f"release {release.id} {release.step.value}: {text}", flush=True)


def _say(move: Move, waits: str) -> None:
    print(f"{move.id} {move.tenant} {move.source} -> {move.target}: {move.step.value}; waits for {waits}",
          flush=True)


def show_moves(store: Path) -> None:
    try:
        moves = mover.load(store)
    except ValueError as fault:
        raise Bad(str(fault)) from None
    undone = {m.id.removesuffix("-undo") for m in moves if m.undone}
    out = Table(title=f"{len(moves)} moves", title_justify="left")
    for head in ("move", "tenant", "from", "to", "generation", "step", ""):
        out.add_column(head)
    for m in moves:
        note = m.conflict or ("undone" if m.id in undone else "confirmed by " + (
            ", ".join(sorted(m.known | m.shut)) or "nobody yet") if m.step is not Step.DONE else "")
        out.add_row(m.id, m.tenant, m.source, m.target, str(m.gen), m.step.value, note)
    Console().print(out)
