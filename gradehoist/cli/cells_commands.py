"""The commands of `gradehoist cells`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from gradehoist.cli.errors import InputError, errors_located_in
from gradehoist.cli.options import FILE, FOLDER, load_settings

STORE_OPTION = click.option(
    "--store",
    type=FOLDER,
    default=Path("var/moves"),
    show_default=True,
    help="The folder with the records of all moves; an installation has one.",
)


@click.group()
def cells() -> None:
    """Manages cells: subsets of the workers, to which tenants are confined."""


@cells.command("place")
@click.argument("tenants", metavar="TENANTS.csv", type=FILE)
@click.argument("workers", metavar="WORKERS.csv", type=FILE)
@click.option(
    "--cells", "cell_count", type=click.IntRange(1, 10_000), required=True, help="The number of cells."
)
@click.option("--out", type=FILE, required=True, help="The placement file to write, which the settings name.")
@click.option("--before", type=FILE, help="An earlier placement, which is changed as little as possible.")
@click.option("--least-workers", type=click.IntRange(1), default=2, show_default=True)
@click.option("--least-zones", type=click.IntRange(1), default=1, show_default=True)
@click.option(
    "--spare",
    type=click.FloatRange(0, 0.95),
    default=0.2,
    show_default=True,
    help="The share of each cell's capacity that is kept free.",
)
@click.option(
    "--lose-zone", is_flag=True, help="Keep enough capacity in each cell for the loss of its largest zone."
)
def place_cells(  # noqa: PLR0913 - click passes each option as a parameter
    tenants: Path,
    workers: Path,
    cell_count: int,
    out: Path,
    before: Path | None,
    least_workers: int,
    least_zones: int,
    spare: float,
    lose_zone: bool,
) -> None:
    """Makes a placement from CSV files of tenants (tenant,demand) and workers (worker,zone,kind,size).

    Exits with 1 if the placement does not meet every requirement; it is written in this case too.
    """
    from gradehoist.cells.placement import PlacementRequirements
    from gradehoist.cli.placement_files import make_placement, save_placement

    requirements = PlacementRequirements(
        cell_count=cell_count,
        min_replicas=least_workers,
        min_zones=least_zones,
        spare_share=spare,
        survives_zone_loss=lose_zone,
    )
    placement, unmet_requirements = make_placement(tenants, workers, requirements, before)
    save_placement(out, placement)
    for line in unmet_requirements:
        click.echo(line, err=True)
    click.echo(
        f"{out}: {len(placement.cells)} cells, {len(placement.cell_by_replica)} workers, "
        f"{len(placement.cell_by_tenant)} tenants"
    )
    sys.exit(1 if unmet_requirements else 0)


@cells.command("show")
@click.argument("path", metavar="SETTINGS", type=FILE)
@STORE_OPTION
def show_cells(path: Path, store: Path) -> None:
    """Shows the workers and tenants of each cell.

    For a settings file (.kdl), it also shows load, headroom and moves; for a placement file (.json), the
    placement alone.
    """
    from gradehoist.cli import cell_status
    from gradehoist.cli.placement_files import load_placement, require_placement

    if path.suffix == ".json":
        with errors_located_in(path):
            cell_status.show_placement(load_placement(path))
        return
    settings = load_settings(path)
    with errors_located_in(path):
        statuses, silent_governors = cell_status.fetch_cell_statuses(settings)
        cell_status.show_cells(require_placement(settings), store, statuses)
    for name in silent_governors:
        click.echo(f"governor {name} did not answer; the table lacks its data", err=True)
    sys.exit(1 if silent_governors else 0)


@cells.command("move")
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.argument("tenants", metavar="TENANT...", nargs=-1)
@click.option("--to", "target", default="", help="The cell to which the tenants move.")
@click.option("--half-of", default="", help="Move every other tenant of this cell, as after a split.")
@STORE_OPTION
def move_tenants(path: Path, tenants: tuple[str, ...], target: str, half_of: str, store: Path) -> None:
    """Moves tenants to another cell and waits until each move has ended.

    Without tenants, it resumes the moves that are under way, for example after this command was killed. Exits
    with 1 if a move was stopped or undone.
    """
    from gradehoist.cli import migrations

    settings = load_settings(path)
    with errors_located_in(path):
        if half_of:
            tenants += migrations.select_half_of_tenants(settings, store, half_of)
        if tenants and not target:
            raise InputError("no target cell is given; add --to CELL")
        all_done = migrations.migrate_tenants(settings, store, dict.fromkeys(tenants, target))
    sys.exit(0 if all_done else 1)


@cells.command("drain")
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.argument("cell", metavar="CELL")
@click.option("--end", is_flag=True, help="Allow moves into the cell again.")
@STORE_OPTION
def drain_cell(path: Path, cell: str, end: bool, store: Path) -> None:
    """Moves all tenants of a cell to other cells and allows no moves into it until the drain is ended.

    Exits with 1 if a move was stopped or undone.
    """
    from gradehoist.cli import migrations

    settings = load_settings(path)
    with errors_located_in(path):
        if end:
            migrations.end_cell_drain(settings, store, cell)
            all_done = True
        else:
            all_done = migrations.drain_cell(settings, store, cell)
    sys.exit(0 if all_done else 1)


@cells.command("split")
@click.argument("path", metavar="PLACEMENT", type=FILE)
@click.argument("workers", metavar="WORKERS.csv", type=FILE)
@click.argument("cell", metavar="CELL")
@click.option("--into", "new_cell", required=True, help="The new cell's name.")
@click.option("--out", type=FILE, required=True, help="The new placement file.")
def split_cell(path: Path, workers: Path, cell: str, new_cell: str, out: Path) -> None:
    """Divides the workers of a cell between it and a new cell.

    Afterwards, restart the governors with the new file, one at a time; restart the workers of the new cell;
    and run cells move --half-of CELL --to NEW.
    """
    from gradehoist.cli import placement_files

    placement = placement_files.split_cell(placement_files.load_placement(path), workers, cell, new_cell)
    placement_files.save_placement(out, placement)
    new_replicas = placement.replicas_of(new_cell)
    click.echo(
        f"{out}: {new_cell} has {len(new_replicas)} workers, "
        f"{cell} keeps {len(placement.replicas_of(cell))}; next: "
        f"restart the governors with this file, one at a time; restart {', '.join(sorted(new_replicas))}; "
        f"run gradehoist cells move SETTINGS --half-of {cell} --to {new_cell}"
    )


@cells.command("undo")
@click.argument("migration_id", metavar="MOVE")
@STORE_OPTION
def undo_move(migration_id: str, store: Path) -> None:
    """Records that a move is to be undone; `cells move SETTINGS`, also one that runs now, carries it out."""
    from gradehoist.migration.planning import undo_migration

    try:
        reverse = undo_migration(store, migration_id)
    except ValueError as error:
        raise InputError(f"{store}: {error}") from None
    click.echo(f"{reverse.id}: {reverse.tenant} goes back to {reverse.target}")


@cells.command("moves")
@STORE_OPTION
def list_moves(store: Path) -> None:
    """Lists all moves and the step that each has reached."""
    from gradehoist.cli.migrations import show_migrations

    show_migrations(store)


@cells.command("release")
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.option(
    "--run",
    "update_command",
    default="",
    help="The command that updates one worker; {worker} and {cell} are replaced in it.",
)
@click.option(
    "--back", "rollback_command", default="", help="The command that restores a worker after a halt."
)
@click.option(
    "--cell", "some_cells", multiple=True, help="A cell to update, in the order given; all cells by default."
)
@click.option(
    "--batch",
    type=click.IntRange(1),
    default=1,
    show_default=True,
    help="The number of workers updated at a time.",
)
@click.option(
    "--soak",
    "soak_s",
    type=click.FloatRange(0.5, 86_400),
    default=60.0,
    show_default=True,
    help="Seconds for which an updated cell is observed and compared with the same time before.",
)
@click.option(
    "--patience",
    "return_timeout_s",
    type=click.FloatRange(1, 86_400),
    default=120.0,
    show_default=True,
    help="Seconds within which an updated worker has to be listed as ready again.",
)
@STORE_OPTION
def release_cells(  # noqa: PLR0913 - click passes each option as a parameter
    path: Path,
    update_command: str,
    rollback_command: str,
    some_cells: tuple[str, ...],
    batch: int,
    soak_s: float,
    return_timeout_s: float,
    store: Path,
) -> None:
    """Updates the workers of one cell after another and halts if the update harms a cell.

    Without --run, it resumes the release that is under way, for example after this command was killed. Exits
    with 1 if the release halted.
    """
    from gradehoist.cli.rollouts import RolloutOptions, run_rollout

    settings = load_settings(path)
    options = RolloutOptions(
        update_command=update_command,
        rollback_command=rollback_command,
        cells=some_cells,
        batch_size=batch,
        soak_s=soak_s,
        return_timeout_s=return_timeout_s,
    )
    with errors_located_in(path):
        finished = run_rollout(settings, store, options)
    sys.exit(0 if finished else 1)
