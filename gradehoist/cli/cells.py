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

from gradehoist.cells.migration import Migration, MigrationStep
from gradehoist.cells.placement import (
    Placement,
    PlacementRequirements,
    Replica,
    Tenant,
    plan_placement,
    split_replicas,
    stable_hash,
)
from gradehoist.cells.rollout import Rollout
from gradehoist.cells.rollout import RolloutStep as Staged
from gradehoist.migration.queries import fetch_governor_status
from gradehoist.migration.rollout import RolloutRunner, load_rollout
from gradehoist.migration.runner import (
    MigrationRunner,
    create_migrations,
    load_draining_cells,
    load_migrations,
    pending_migrations,
    plan_cell_drain,
    save_draining_cells,
    tenant_cells,
)
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import CellPlacement, GovernorSettings, Settings
from gradehoist.store.folder_lock import FolderLock, FolderLockedError


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


def workers_of(path: Path) -> list[Replica]:
    return [
        Replica(r["worker"], r["zone"], r["kind"], figure(path, n, "size", r["size"]))
        for n, r in enumerate(rows(path, ("worker", "zone", "kind", "size")), 2)
    ]


def make(
    tenants: Path, workers: Path, wanted: PlacementRequirements, before: Path | None
) -> tuple[CellPlacement, tuple[str, ...]]:
    """The placement and what could not be had. Raises Bad."""
    people = [
        Tenant(r["tenant"], figure(tenants, n, "demand", r["demand"]))
        for n, r in enumerate(rows(tenants, ("tenant", "demand")), 2)
    ]
    crew = workers_of(workers)
    names = tuple(f"c{n}" for n in range(wanted.cell_count))
    old = None
    if before is not None:
        held = read(before)
        numbers = {c: n for n, c in enumerate(held.cells)}
        names = held.cells[: wanted.cell_count] + names[len(held.cells) :]
        old = Placement(
            {w: numbers[c] for w, c in held.cell_by_replica.items()},
            {t: numbers[c] for t, c in held.cell_by_tenant.items()},
        )
    try:
        found = plan_placement(people, crew, wanted, old)
    except ValueError as fault:
        raise Bad(f"{workers}: {fault}; change --cells or the files") from None
    return CellPlacement(
        names,
        {w: names[c] for w, c in sorted(found.replicas.items())},
        {t: names[c] for t, c in sorted(found.tenants.items())},
    ), found.unmet_requirements


def split(placed: CellPlacement, workers: Path, cell: str, new: str) -> CellPlacement:
    """The placement with a cell's workers dealt to it and a new cell, which has no tenants yet. Ranges of the
    hash stay, or tenants that nobody named would change their cell without a move. Raises Bad."""
    if cell not in placed.cells or new in placed.cells:
        known = ", ".join(placed.cells)
        raise Bad(f"{cell} has to be a cell and {new} a new name; the placement has {known}")
    crew = workers_of(workers)
    mine = [w for w in crew if placed.cell_by_replica.get(w.name) == cell]
    if len(mine) < 2 or len(mine) < len(placed.replicas_of(cell)):
        raise Bad(
            f"{workers}: names {len(mine)} of the {len(placed.replicas_of(cell))} workers of {cell}; a split "
            "needs all of them, and two at least"
        )
    _, go = split_replicas(mine)
    return CellPlacement(
        (*placed.cells, new),
        {**placed.cell_by_replica, **{w.name: new for w in go}},
        placed.cell_by_tenant,
        placed.cell_by_range or placed.cells,
    )


def read(path: Path) -> CellPlacement:
    try:
        placed: CellPlacement = msgspec.json.decode(path.read_bytes(), type=CellPlacement)
    except (OSError, msgspec.MsgspecError) as fault:
        raise Bad(f"{path}: no placement: {fault}; make one with gradehoist cells place") from None
    return placed


def show(placed: CellPlacement, store: Path | None = None, live: Live | None = None) -> None:
    """A placement; with a store and what governors say also moves, load and headroom. Raises Bad."""
    tenants, shut, moves = defaultdict[str, list[str]](list), tuple[str, ...](), list[Migration]()
    try:
        if store is not None:
            moves, shut = load_migrations(store), load_draining_cells(store)
    except ValueError as fault:
        raise Bad(str(fault)) from None
    under_way = pending_migrations(moves)
    for name, cell in tenant_cells(moves, placed).items():
        tenants[cell].append(name)
    out = Table(title=f"{len(placed.cells)} cells", title_justify="left")
    heads = ["cell", "workers", "tenants"]
    if live is not None:
        heads += ["ready", "load", "headroom", "came", "unanswered", "leaving", "coming"]
    for head in (*heads, ""):
        out.add_column(head, justify="left" if head in ("cell", "workers", "") else "right")
    for cell in placed.cells:
        here = sorted(tenants[cell])
        workers = sorted(placed.replicas_of(cell))
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

    async def one(governor: GovernorSettings) -> Live | None:
        client = HttpClient(*governor.listen_address, connect_timeout_s=0.5)
        try:
            found = await fetch_governor_status(client)
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


def placement(settings: Settings) -> CellPlacement:
    if settings.fleet.placement is None:
        raise Bad("fleet > cells: missing; name a placement")
    return settings.fleet.placement


def half(settings: Settings, store: Path, cell: str) -> tuple[str, ...]:
    """Every other tenant of a cell, as after a split. Raises Bad."""
    try:
        now = tenant_cells(load_migrations(store), placement(settings))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    return tuple(sorted((t for t, c in now.items() if c == cell), key=lambda t: (stable_hash(t), t))[::2])


def drain(settings: Settings, store: Path, cell: str, end: bool) -> bool:
    """Shuts a cell to moves and moves its tenants away, or opens it again. Raises Bad."""
    placed = placement(settings)
    if cell not in placed.cells:
        raise Bad(f"no cell {cell!r}; the placement has {', '.join(placed.cells)}")
    try:
        shut = load_draining_cells(store)
        if end:
            save_draining_cells(store, tuple(c for c in shut if c != cell))
            return True
        save_draining_cells(store, tuple(dict.fromkeys((*shut, cell))))
        good, late = True, True
        while good and late:  # those on their way into the cell, or out and turned back, follow once there
            moves = load_migrations(store)
            there = plan_cell_drain(cell, moves, placed, (*shut, cell))
            under_way = {m.tenant for m in pending_migrations(moves)}
            late = bool(there.keys() & under_way)
            good = move(settings, store, {t: c for t, c in there.items() if t not in under_way})
    except ValueError as fault:
        raise Bad(str(fault)) from None
    if cell in (placed.cell_by_range or placed.cells):
        print(f"{cell} still gets tenants that nobody named, by their hash; name them in the placement")
    return good


def move(settings: Settings, store: Path, tenants: Mapping[str, str]) -> bool:
    """Moves tenants to cells, with what was under way; True where every move came to its end. Raises Bad."""
    placement(settings)
    try:
        lock = FolderLock(store)
    except FolderLockedError as fault:
        raise Bad(f"{fault}; one mover at a time, wait for it or end it") from None
    try:
        if tenants:
            create_migrations(store, settings, tenants)
        due = pending_migrations(load_migrations(store))
        ended = asyncio.run(MigrationRunner(settings, store, _say).run(due))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    finally:
        lock.release()
    return all(m.step is MigrationStep.DONE for m in ended)


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
        lock = FolderLock(store, "release.lock")
    except FolderLockedError as fault:
        raise Bad(f"{fault}; one release at a time, wait for it or end it") from None
    try:
        last = load_rollout(store)
        open_one = last is not None and last.step not in (Staged.DONE, Staged.HALTED)
        if run:
            if last is not None and open_one:
                raise Bad(f"release {last.id} is under way in {last.cell}; leave out --run to go on with it")
            number = int(last.id) + 1 if last else 1
            cells = some or placed.cells
            workers = {c: tuple(sorted(placed.replicas_of(c))) for c in cells}
            last = Rollout(f"{number:06d}", cells, workers, batch, run, back)
        elif last is None or not open_one:
            raise Bad("no release is under way; begin one with --run COMMAND")
        told = asyncio.run(RolloutRunner(settings, store, soak, patience, _say_release).run(last))
    except ValueError as fault:
        raise Bad(str(fault)) from None
    finally:
        lock.release()
    return told.step is Staged.DONE


def _say_release(release: Rollout, text: str) -> None:
    print(f"release {release.id} {release.step.value}: {text}", flush=True)


def _say(move: Migration, waits: str) -> None:
    print(
        f"{move.id} {move.tenant} {move.source} -> {move.target}: {move.step.value}; waits for {waits}",
        flush=True,
    )


def show_moves(store: Path) -> None:
    try:
        moves = load_migrations(store)
    except ValueError as fault:
        raise Bad(str(fault)) from None
    due = {m.id for m in pending_migrations(moves)}
    out = Table(title=f"{len(moves)} moves", title_justify="left")
    for head in ("move", "tenant", "from", "to", "generation", "step", ""):
        out.add_column(head)
    for m in moves:
        note = m.conflict or (
            ""
            if m.step is MigrationStep.DONE
            else "undone"
            if m.id not in due
            else "confirmed by " + (", ".join(sorted(m.known | m.shut)) or "nobody yet")
        )
        out.add_row(m.id, m.tenant, m.source, m.target, str(m.gen), m.step.value, note)
    Console().print(out)
