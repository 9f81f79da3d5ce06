"""`gradehoist`: each command imports what it needs when it runs, so that help and checks are quick."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import click

from gradehoist.settings import fleet
from gradehoist.settings.reader import SettingsError


class Fail(click.ClickException):
    """Bad use, settings or input: one clear line or more, exit 2."""

    exit_code = 2


def settings(path: Path) -> fleet.Settings:
    try:
        return fleet.read(path)
    except SettingsError as fault:
        raise Fail(str(fault)) from None


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
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
    click.echo(f"{path}: in order; governors {names}; {len(found.fleet.classes)} classes, "
               f"{len(found.fleet.zones)} zones")


@main.command()
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.option("--name", required=True, help="Which governor of the settings this process is.")
@click.option("--log", "form", type=click.Choice(["auto", "json", "plain"]), default="auto",
              show_default=True, help="One JSON line an event, or text for a person (auto: on a terminal).")
def governor(path: Path, name: str, form: str) -> None:
    """Runs one governor until SIGTERM or Ctrl-C."""
    found = settings(path)
    try:
        own = found.governor(name)
    except KeyError as fault:
        raise Fail(f"{path}: {fault.args[0]}; give one of them with --name") from None
    from gradehoist.cli.logs import set_up
    from gradehoist.governor.service import Service

    set_up(form)

    async def serve() -> int:
        service = Service(found.fleet, own)
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, service.stop)
        return await service.run()

    try:
        sys.exit(asyncio.run(serve()))
    except OSError as fault:
        raise Fail(f"{path}: governor {name!r} > listen: {fault.strerror or fault}; "
                   "free the address or name another") from None




if __name__ == "__main__":
    main()
