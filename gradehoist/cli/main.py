"""`gradehoist`: each command imports what it needs when it runs, so that help and checks are quick."""

from __future__ import annotations

import asyncio
import errno
import signal
import sys
from pathlib import Path
from types import MappingProxyType
from typing import Any

import click

from gradehoist.settings.fleet import Settings, read_settings
from gradehoist.settings.reader import SettingsError


class Fail(click.ClickException):
    """Bad use, settings or input: one clear line or more, exit 2."""

    exit_code = 2


def settings(path: Path) -> Settings:
    try:
        return read_settings(path)
    except SettingsError as fault:
        raise Fail(str(fault)) from None


class Commands(click.Group):
    """The root command: earlier names of commands, and one line for a folder or disk that fails."""

    ALIASES = MappingProxyType({"day": "scenario"})  # the name before this one stays in use in scripts

    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        """The command called `name` now or earlier."""
        return super().get_command(context, self.ALIASES.get(name, name))

    def invoke(self, context: click.Context) -> Any:
        """A folder that can't be written, or a disk that is full on the way, is told in a line of its own:
        moves and releases gave a traceback. Their records are whole, so that they can be run again."""
        try:
            return super().invoke(context)
        except OSError as fault:
            if fault.errno == errno.EPIPE:
                raise  # click's own: who read our output has left
            raise Fail(
                f"{fault.filename or context.invoked_subcommand}: {fault.strerror or fault}; "
                "see to the folder and its disk, then run it again"
            ) from None


@click.group(cls=Commands, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(package_name=None, version="0.2.0", prog_name="gradehoist")
def main() -> None:
    """A central planner that publishes weights, withdrawals and admission shares to plain proxies.

    Exit codes: 0 all well, 1 a rule or an expectation does not hold, 2 bad use, settings or input.
    """


FILE = click.Path(dir_okay=False, path_type=Path)


@main.command()
@click.argument("path", metavar="SETTINGS", type=FILE)
def check(path: Path) -> None:
    """Reads the settings, reports every error, starts nothing."""
    found = settings(path)
    names = ", ".join(g.name for g in found.governors)
    click.echo(
        f"{path}: in order; governors {names}; {len(found.fleet.classes)} classes, "
        f"{len(found.fleet.zones)} zones"
    )


@main.command()
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.option("--name", required=True, help="Which governor of the settings this process is.")
@click.option(
    "--log",
    "form",
    type=click.Choice(["auto", "json", "plain"]),
    default="auto",
    show_default=True,
    help="One JSON line an event, or text for a person (auto: on a terminal).",
)
def governor(path: Path, name: str, form: str) -> None:
    """Runs one governor until SIGTERM or Ctrl-C."""
    found = settings(path)
    try:
        own = found.governor(name)
    except KeyError as fault:
        raise Fail(f"{path}: {fault.args[0]}; give one of them with --name") from None
    from gradehoist.cli.logs import set_up
    from gradehoist.governor.errors import StateError
    from gradehoist.governor.service import GovernorService

    set_up(form)

    async def serve() -> int:
        service = GovernorService(found.fleet, own)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, service.stop)
        return await service.run()

    try:
        sys.exit(asyncio.run(serve()))
    except StateError as fault:
        raise Fail(f"{path}: governor {name!r} > state: {fault}") from None
    except OSError as fault:
        raise Fail(
            f"{path}: governor {name!r} > listen: {fault.strerror or fault}; "
            "free the address or name another"
        ) from None


@main.command()
@click.argument("path", metavar="SCENARIO", type=FILE)
@click.option("--seed", type=click.IntRange(0, 2**31), help="Plays another run of the same scenario.")
@click.option("--out", type=click.Path(file_okay=False, path_type=Path), help="The run folder.")
@click.option(
    "--tables",
    type=click.Choice(["governed", "standing", "even"]),
    default="governed",
    show_default=True,
    help="Who decides: governors, nobody, or equal weights for all.",
)
@click.option(
    "--speed",
    type=click.FloatRange(0.1, 10),
    default=1.0,
    show_default=True,
    help="Plays the script that much faster; goals, grace and every limit stay as they are.",
)
@click.option("--quiet", is_flag=True, help="No progress bar.")
def scenario(path: Path, seed: int | None, out: Path | None, tables: str, speed: float, quiet: bool) -> None:
    """Plays a scenario on loopback sockets and checks the rules; exit 0 only if they held."""
    from gradehoist.cli import scenario as view

    try:
        good = view.play(path, seed, out, tables == "governed", tables == "even", speed, quiet)
    except view.Failed as fault:
        raise Fail(str(fault)) from None
    sys.exit(0 if good else 1)


@main.command()
@click.argument("folder", metavar="DIR", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="The whole verdict for machines.")
def audit(folder: Path, as_json: bool) -> None:
    """Judges the rules afresh from the records of a run."""
    from gradehoist.cli import scenario as view

    try:
        good = view.judge(folder, as_json)
    except view.Failed as fault:
        raise Fail(str(fault)) from None
    sys.exit(0 if good else 1)


@main.group()
def cells() -> None:
    """Tenants confined to subsets of workers."""


@cells.command("place")
@click.argument("tenants", metavar="TENANTS.csv", type=FILE)
@click.argument("workers", metavar="WORKERS.csv", type=FILE)
@click.option("--cells", "number", type=click.IntRange(1, 10_000), required=True, help="Cells wanted.")
@click.option("--out", type=FILE, required=True, help="The placement file that the settings name.")
@click.option("--before", type=FILE, help="An earlier placement, kept as far as it can be.")
@click.option("--least-workers", type=click.IntRange(1), default=2, show_default=True)
@click.option("--least-zones", type=click.IntRange(1), default=1, show_default=True)
@click.option(
    "--spare",
    type=click.FloatRange(0, 0.95),
    default=0.2,
    show_default=True,
    help="Part of each cell that is kept free.",
)
@click.option("--lose-zone", is_flag=True, help="Leave room in each cell for the loss of its largest zone.")
def place_cells(
    tenants: Path,
    workers: Path,
    number: int,
    out: Path,
    before: Path | None,
    least_workers: int,
    least_zones: int,
    spare: float,
    lose_zone: bool,
) -> None:
    """Makes a placement from tenants (tenant,demand) and workers (worker,zone,kind,size); exit 1 if something
    asked for could not be had, with the placement written all the same."""
    import msgspec

    from gradehoist.cells.placement import PlacementRequirements
    from gradehoist.cli import cells as view
    from gradehoist.store import atomic_file

    wanted = PlacementRequirements(
        number, least_workers, least_zones, spare_share=spare, survives_zone_loss=lose_zone
    )
    try:
        placed, faults = view.make(tenants, workers, wanted, before)
    except view.Bad as fault:
        raise Fail(str(fault)) from None
    try:
        atomic_file.write_file(out, msgspec.json.format(msgspec.json.encode(placed), indent=1))
    except OSError as fault:
        raise Fail(f"{out}: {fault.strerror or fault}; name a file that can be written") from None
    for fault_line in faults:
        click.echo(fault_line, err=True)
    click.echo(
        f"{out}: {len(placed.cells)} cells, {len(placed.cell_by_replica)} workers, "
        f"{len(placed.cell_by_tenant)} tenants"
    )
    sys.exit(1 if faults else 0)


STORE = click.option(
    "--store",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("var/moves"),
    show_default=True,
    help="The folder of all moves' records; one for an installation.",
)


@cells.command("show")
@click.argument("path", metavar="SETTINGS", type=FILE)
@STORE
def show_cells(path: Path, store: Path) -> None:
    """Shows who lives where; of settings (.kdl) also load, headroom and moves, of a placement (.json) that
    alone."""
    from gradehoist.cli import cells as view

    try:
        if path.suffix == ".json":
            return view.show(view.read(path))
        found = settings(path)
        live, silent = view.figures(found)
        view.show(view.placement(found), store, live)
    except view.Bad as fault:
        raise Fail(f"{path}: {fault}") from None
    for name in silent:
        click.echo(f"governor {name} did not answer; its part is missing above", err=True)
    sys.exit(1 if silent else 0)


@cells.command("move")
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.argument("tenants", metavar="TENANT...", nargs=-1)
@click.option("--to", default="", help="The cell they move to.")
@click.option("--half-of", default="", help="Every other tenant of this cell, as after a split.")
@STORE
def move_tenants(path: Path, tenants: tuple[str, ...], to: str, half_of: str, store: Path) -> None:
    """Moves tenants to another cell and follows each to its end. Without tenants it goes on with what is
    under way, as after a kill. Exit 1 where a move was stopped or undone."""
    from gradehoist.cli import cells as view

    found = settings(path)
    try:
        if half_of:
            tenants += view.half(found, store, half_of)
        if tenants and not to:
            raise view.Bad("no cell to move to; say --to CELL")
        good = view.move(found, store, dict.fromkeys(tenants, to))
    except view.Bad as fault:
        raise Fail(f"{path}: {fault}") from None
    sys.exit(0 if good else 1)


@cells.command("drain")
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.argument("cell", metavar="CELL")
@click.option("--end", is_flag=True, help="Opens the cell to moves again.")
@STORE
def drain_cell(path: Path, cell: str, end: bool, store: Path) -> None:
    """Moves all tenants of a cell to the others and lets none in until it is ended. Exit 1 where a move was
    stopped or undone."""
    from gradehoist.cli import cells as view

    found = settings(path)
    try:
        good = view.drain(found, store, cell, end)
    except view.Bad as fault:
        raise Fail(f"{path}: {fault}") from None
    sys.exit(0 if good else 1)


@cells.command("split")
@click.argument("path", metavar="PLACEMENT", type=FILE)
@click.argument("workers", metavar="WORKERS.csv", type=FILE)
@click.argument("cell", metavar="CELL")
@click.option("--into", "new", required=True, help="The new cell's name.")
@click.option("--out", type=FILE, required=True, help="The new placement file.")
def split_cell(path: Path, workers: Path, cell: str, new: str, out: Path) -> None:
    """Deals a cell's workers to it and a new cell. Then: governors anew with the new file, one at a time; the
    new cell's workers anew; cells move --half-of CELL --to NEW."""
    import msgspec

    from gradehoist.cli import cells as view
    from gradehoist.store import atomic_file

    try:
        placed = view.split(view.read(path), workers, cell, new)
    except view.Bad as fault:
        raise Fail(str(fault)) from None
    try:
        atomic_file.write_file(out, msgspec.json.format(msgspec.json.encode(placed), indent=1))
    except OSError as fault:
        raise Fail(f"{out}: {fault.strerror or fault}; name a file that can be written") from None
    click.echo(
        f"{out}: {new} has {len(placed.replicas_of(new))} workers, "
        f"{cell} keeps {len(placed.replicas_of(cell))}; next: "
        f"governors with this file, one at a time; {', '.join(sorted(placed.replicas_of(new)))} anew; "
        f"gradehoist cells move SETTINGS --half-of {cell} --to {new}"
    )


@cells.command("undo")
@click.argument("id", metavar="MOVE")
@STORE
def undo_move(id: str, store: Path) -> None:
    """Turns a move back; `cells move SETTINGS` carries it out, also one that runs now."""
    from gradehoist.migration import runner as mover

    try:
        back = mover.undo_migration(store, id)
    except ValueError as fault:
        raise Fail(f"{store}: {fault}") from None
    click.echo(f"{back.id}: {back.tenant} goes back to {back.target}")


@cells.command("moves")
@STORE
def list_moves(store: Path) -> None:
    """Lists all moves and where they stand."""
    from gradehoist.cli import cells as view

    try:
        view.show_moves(store)
    except view.Bad as fault:
        raise Fail(str(fault)) from None


@cells.command("release")
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.option("--run", default="", help="The command that renews one worker, with {worker} and {cell} in it.")
@click.option("--back", default="", help="The command that puts a worker back after a halt.")
@click.option("--cell", "some", multiple=True, help="A cell to renew, in this order; all if none is named.")
@click.option("--batch", type=click.IntRange(1), default=1, show_default=True, help="Workers at a time.")
@click.option(
    "--soak",
    type=click.FloatRange(0.5, 86_400),
    default=60.0,
    show_default=True,
    help="Seconds that a renewed cell is watched, and compared with as many before.",
)
@click.option(
    "--patience",
    type=click.FloatRange(1, 86_400),
    default=120.0,
    show_default=True,
    help="Seconds for a renewed worker to be listed as ready again.",
)
@STORE
def release_cells(
    path: Path,
    run: str,
    back: str,
    some: tuple[str, ...],
    batch: int,
    soak: float,
    patience: float,
    store: Path,
) -> None:
    """Renews the workers of one cell after another and halts where a cell is harmed. Without --run it goes on
    with what is under way, as after a kill. Exit 1 where it halted."""
    from gradehoist.cli import cells as view

    found = settings(path)
    try:
        good = view.release(found, store, run, back, some, batch, soak, patience)
    except view.Bad as fault:
        raise Fail(f"{path}: {fault}") from None
    sys.exit(0 if good else 1)


@main.group()
def plan() -> None:
    """Shares for announced events, made before the rush, with the loss of each hall."""


EVENT = click.option("--event", "name", default="", help="Which event of the file; not needed for only one.")


@plan.command("make")
@click.argument("path", metavar="EVENTS", type=FILE)
@click.option("--out", type=FILE, required=True, help="The plan's file.")
@click.option("--pairs", is_flag=True, help="Also the loss of each two halls together.")
@EVENT
def make_plan(path: Path, out: Path, pairs: bool, name: str) -> None:
    """Makes and shows a plan; exit 1 where something falls short, with the plan written all the same."""
    from gradehoist.cli.plan import make_plan_file

    all_demand_met = make_plan_file(path, name, out, pairs)
    sys.exit(0 if all_demand_met else 1)


@plan.command("show")
@click.argument("path", metavar="PLAN", type=FILE)
def show_plan(path: Path) -> None:
    """Shows a plan by slot and hall, and what each loss leaves short."""
    from gradehoist.cli import plan as plan_files

    plan_files.show_plan(plan_files.load_plan(path))


@plan.command("check")
@click.argument("path", metavar="EVENTS", type=FILE)
@click.argument("plan", metavar="PLAN", type=FILE)
@EVENT
def check_plan(path: Path, plan: Path, name: str) -> None:
    """Checks every bound of a plan afresh, in exact arithmetic; exit 1 where it may not be used."""
    from gradehoist.cli.plan import check_plan_file

    defects = check_plan_file(path, name, plan)
    for defect in defects:
        click.echo(f"{plan}: {defect}")
    if not defects:
        click.echo(f"{plan}: fits and holds")
    sys.exit(1 if defects else 0)


@main.command()
def openapi() -> None:
    """Prints the governor's API as an OpenAPI document."""
    import msgspec

    from gradehoist.governor.openapi import document

    click.echo(msgspec.json.format(msgspec.json.encode(document()), indent=1).decode())


if __name__ == "__main__":
    main()
