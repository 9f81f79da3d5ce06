"""`gradehoist cells`: making a placement file, and reading it."""

from __future__ import annotations

import asyncio
import csv
import shlex
from collections import defaultdict
from collections.abc import Mapping
from pathlib import Path

import msgspec
from rich.console import Console
from rich.table import Table

from gradehoist.cells.migration import Move, Step
from gradehoist.cells.placement import Placement, Tenant, Wanted, Worker, halves, lot, place
from gradehoist.cells.rollout import Release
from gradehoist.cells.rollout import Step as Staged
from gradehoist.migration import queries
from gradehoist.migration import rollout as releasing
from gradehoist.migration import runner as mover
from gradehoist.net.client import Client
from gradehoist.settings.fleet import Governor, Placed, Settings
from gradehoist.store.atomic_file import Held, Lock


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


def workers_of(path: Path) -> list[Worker]:
    return [
        Worker(r["worker"], r["zone"], r["kind"], figure(path, n, "size", r["size"]))
        for n, r in enumerate(rows(path, ("worker", "zone", "kind", "size")), 2)
    ]


def make(tenants: Path, workers: Path, wanted: Wanted, before: Path | None) -> tuple[Placed, tuple[str, ...]]:
    """The placement and what could not be had. Raises Bad."""
    people = [
        Tenant(r["tenant"], figure(tenants, n, "demand", r["demand"]))
        for n, r in enumerate(rows(tenants, ("tenant", "demand")), 2)
    ]
    crew = workers_of(workers)
    names = tuple(f"c{n}" for n in range(wanted.cells))
    old = None
    if before is not None:
        held = read(before)
        numbers = {c: n for n, c in enumerate(held.cells)}
        names = held.cells[: wanted.cells] + names[len(held.cells) :]
        old = Placement(
            {w: numbers[c] for w, c in held.workers.items()}, {t: numbers[c] for t, c in held.named.items()}
        )
    try:
        found = place(people, crew, wanted, old)
    except ValueError as fault:
        raise Bad(f"{workers}: {fault}; change --cells or the files") from None
    return Placed(
        names,
        {w: names[c] for w, c in sorted(found.workers.items())},
        {t: names[c] for t, c in sorted(found.tenants.items())},
    ), found.faults


def split(placed: Placed, workers: Path, cell: str, new: str) -> Placed:
    """The placement with a cell's workers dealt to it and a new cell, which has no tenants yet. Ranges of the
    hash stay, or tenants that nobody named would change their cell without a move. Raises Bad."""
    if cell not in placed.cells or new in placed.cells:
        known = ", ".join(placed.cells)
        raise Bad(f"{cell} has to be a cell and {new} a new name; the placement has {known}")
    crew = workers_of(workers)
    mine = [w for w in crew if placed.workers.get(w.name) == cell]
    if len(mine) < 2 or len(mine) < len(placed.of(cell)):
        raise Bad(
            f"{workers}: names {len(mine)} of the {len(placed.of(cell))} workers of {cell}; a split "
            "needs all of them, and two at least"
        )
    _, go = halves(mine)
    return Placed(
        (*placed.cells, new),
        {**placed.workers, **{w.name: new for w in go}},
        placed.named,
        placed.ranges or placed.cells,
    )


def read(path: Path) -> Placed:
    try:
        placed: Placed = msgspec.json.decode(path.read_bytes(), type=Placed)
    except (OSError, msgspec.MsgspecError) as fault:
        raise Bad(f"{path}: no placement: {fault}; make one with gradehoist cells place") from None
    return placed


def show(placed: Placed, store: Path | None = None, live: Live | None = None) -> None:
    """A placement; with a store and what governors say also moves, load and headroom. Raises Bad."""
    tenants, shut, moves = defaultdict[str, list[str]](list), tuple[str, ...](), list[Move]()
    try:
        if store is not None:
            moves, shut = mover.load(store), mover.draining(store)
    except ValueError as fault:
        raise Bad(str(fault)) from None
    under_way = mover.under_way(moves)
    for name, cell in mover.lives(moves, placed).items():
        tenants[cell].append(name)
    out = Table(title=f"{len(placed.cells)} cells", title_justify="left")
    heads = ["cell", "workers", "tenants"]
    if live is not None:
        heads += ["ready", "load", "headroom", "came", "unanswered", "leaving", "coming"]
    for head in (*heads, ""):
        out.add_column(head, justify="left" if head in ("cell", "workers", "") else "right")
    for cell in placed.cells:
        here = sorted(tenants[cell])
        workers = sorted(placed.of(cell))
        cells = [cell, ", ".join(workers[:4]) + (", …" if len(workers) > 4 else ""), str(len(here))]
        if live is not None:
            x = live.get(cell)
            cells += (
                [
                    f"{x['ready']:.0f} of {x['workers']:.0f}",
                    f"{x['load']:.0%}",
                    f"{x['headroom']:.0%}",
                    f"{x['came']:.0f}",
                    f"{x['unanswered']:.0f}",
                ]
                if x
                else ["?"] * 5
            )
            cells += [
                str(sum(m.source == cell for m in under_way)),
                str(sum(m.target == cell for m in under_way)),
            ]
        some = ", ".join(here[:4]) + (", …" if len(here) > 4 else "")
        out.add_row(*cells, "draining" if cell in shut else some)
    Console().print(out)


Live = dict[str, dict[str, float]]


def figures(settings: Settings) -> tuple[Live, list[str]]:
    """What governors have heard of each cell, counts added up and loads averaged; and who did not answer."""

    async def one(governor: Governor) -> Live | None:
        client = Client(*governor.listen, connect_timeout=0.5)
        try:
            found = await queries.status(client)
            return found["cells"] if found else None
        finally:
            client.close()

    async def everyone() -> list[Live | None]:
        return list(await asyncio.gather(*(one(g) for g in settings.governors)))

    answers = asyncio.run(everyone())
    silent = [g.name for g, x in zip(settings.governors, answers, strict=True) if x is None]
    out: Live = {}
    known = [x for x in answers if x is not None]
    for cell in {c for x in known for c in x}:
        some = [x[cell] for x in known if cell in x]
        out[cell] = {
            key: sum(x[key] for x in some) / (1 if key in ("came", "unanswered") else len(some))
            for key in some[0]
        }
    return out, silent


def placement(settings: Settings) -> Placed:
    if settings.fleet.cells is None:
        raise Bad("fleet > cells: missing; name a placement")
    return settings.fleet.cells


def half(settings: Settings, store: Path, cell: str) -> tuple[str, ...]:
    """Every other tenant of a cell, as after a split. Raises Bad."""
    try:
        now = mover.lives(mover.load(store), placement(settings))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    return tuple(sorted((t for t, c in now.items() if c == cell), key=lambda t: (lot(t), t))[::2])


def drain(settings: Settings, store: Path, cell: str, end: bool) -> bool:
    """Shuts a cell to moves and moves its tenants away, or opens it again. Raises Bad."""
    placed = placement(settings)
    if cell not in placed.cells:
        raise Bad(f"no cell {cell!r}; the placement has {', '.join(placed.cells)}")
    try:
        shut = mover.draining(store)
        if end:
            mover.drain(store, tuple(c for c in shut if c != cell))
            return True
        mover.drain(store, tuple(dict.fromkeys((*shut, cell))))
        good, late = True, True
        while good and late:  # those on their way into the cell, or out and turned back, follow once there
            moves = mover.load(store)
            there = mover.away(cell, moves, placed, (*shut, cell))
            under_way = {m.tenant for m in mover.under_way(moves)}
            late = bool(there.keys() & under_way)
            good = move(settings, store, {t: c for t, c in there.items() if t not in under_way})
    except ValueError as fault:
        raise Bad(str(fault)) from None
    if cell in (placed.ranges or placed.cells):
        print(f"{cell} still gets tenants that nobody named, by their hash; name them in the placement")
    return good


def move(settings: Settings, store: Path, tenants: Mapping[str, str]) -> bool:
    """Moves tenants to cells, with what was under way; True where every move came to its end. Raises Bad."""
    placement(settings)
    try:
        lock = Lock(store)
    except Held as fault:
        raise Bad(f"{fault}; one mover at a time, wait for it or end it") from None
    try:
        if tenants:
            mover.order(store, settings, tenants)
        due = mover.under_way(mover.load(store))
        ended = asyncio.run(mover.Mover(settings, store, _say).run(due))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    finally:
        lock.free()
    return all(m.step is Step.DONE for m in ended)


def release(
    settings: Settings,
    store: Path,
    run: str,
    back: str,
    some: tuple[str, ...],
    batch: int,
    soak: float,
    patience: float,
) -> bool:
    """A new release, or without a command the one that was under way; True where it came to its end without
    harm. Raises Bad."""
    placed = placement(settings)
    for command in (run, back):
        try:
            shlex.split(command)
        except ValueError as fault:
            raise Bad(f"{command!r} is no command: {fault}; correct its quotes") from None
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
    print(
        f"{move.id} {move.tenant} {move.source} -> {move.target}: {move.step.value}; waits for {waits}",
        flush=True,
    )


def show_moves(store: Path) -> None:
    try:
        moves = mover.load(store)
    except ValueError as fault:
        raise Bad(str(fault)) from None
    due = {m.id for m in mover.under_way(moves)}
    out = Table(title=f"{len(moves)} moves", title_justify="left")
    for head in ("move", "tenant", "from", "to", "generation", "step", ""):
        out.add_column(head)
    for m in moves:
        note = m.conflict or (
            ""
            if m.step is Step.DONE
            else "undone"
            if m.id not in due
            else "confirmed by " + (", ".join(sorted(m.known | m.shut)) or "nobody yet")
        )
        out.add_row(m.id, m.tenant, m.source, m.target, str(m.gen), m.step.value, note)
    Console().print(out)
