"""The commands `gradehoist scenario` and `gradehoist audit`."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from gradehoist.cli.options import FILE, FOLDER


@click.command()
@click.argument("path", metavar="SCENARIO", type=FILE)
@click.option(
    "--seed",
    type=click.IntRange(0, 2**31),
    help="The seed; another one gives another run of the same scenario.",
)
@click.option("--out", type=FOLDER, help="The run folder.")
@click.option(
    "--tables",
    type=click.Choice(["governed", "standing", "even"]),
    default="governed",
    show_default=True,
    help="What sets the weights: governors, the default tables, or equal weights for all replicas.",
)
@click.option(
    "--speed",
    type=click.FloatRange(0.1, 10),
    default=1.0,
    show_default=True,
    help="The factor by which the steps are played faster; goals, grace and limits are not changed.",
)
@click.option("--quiet", is_flag=True, help="Show no progress bar.")
def scenario(  # noqa: PLR0913 - click passes each option as a parameter
    path: Path, seed: int | None, out: Path | None, tables: str, speed: float, quiet: bool
) -> None:
    """Runs a scenario on loopback sockets and checks the rules; exits with 0 only if all rules held."""
    from gradehoist.cli.scenario import RunOptions, run_scenario

    options = RunOptions(
        seed=seed,
        folder=out,
        follow_governors=tables == "governed",
        even_weights=tables == "even",
        speed=speed,
        quiet=quiet,
    )
    passed = run_scenario(path, options)
    sys.exit(0 if passed else 1)


@click.command()
@click.argument("folder", metavar="DIR", type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print the complete verdict as JSON.")
def audit(folder: Path, as_json: bool) -> None:
    """Checks the rules again on the records of a run."""
    from gradehoist.cli.scenario import check_run

    passed = check_run(folder, as_json)
    sys.exit(0 if passed else 1)
