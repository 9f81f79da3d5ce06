"""The commands `gradehoist check`, `gradehoist governor` and `gradehoist openapi`."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import click

from gradehoist.cli.errors import InputError
from gradehoist.cli.options import FILE, load_settings


@click.command()
@click.argument("path", metavar="SETTINGS", type=FILE)
def check(path: Path) -> None:
    """Checks the settings and reports every error, without starting anything."""
    settings = load_settings(path)
    names = ", ".join(governor.name for governor in settings.governors)
    click.echo(
        f"{path}: in order; governors {names}; {len(settings.fleet.classes)} classes, "
        f"{len(settings.fleet.zones)} zones"
    )


@click.command()
@click.argument("path", metavar="SETTINGS", type=FILE)
@click.option("--name", required=True, help="The name of this governor in the settings.")
@click.option(
    "--log",
    "log_format",
    type=click.Choice(["auto", "json", "plain"]),
    default="auto",
    show_default=True,
    help="One JSON line per event, or readable text; auto writes text to a terminal and JSON elsewhere.",
)
def governor(path: Path, name: str, log_format: str) -> None:
    """Runs one governor until SIGTERM or Ctrl-C."""
    settings = load_settings(path)
    try:
        governor_settings = settings.governor(name)
    except KeyError as error:
        raise InputError(f"{path}: {error.args[0]}; give one of them with --name") from None
    from gradehoist.cli.logs import configure_logging
    from gradehoist.governor.errors import StateError
    from gradehoist.governor.service import GovernorService

    configure_logging(log_format)

    async def serve() -> int:
        service = GovernorService(settings.fleet, governor_settings)
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, service.stop)
        return await service.run()

    try:
        sys.exit(asyncio.run(serve()))
    except StateError as error:
        raise InputError(f"{path}: governor {name!r} > state: {error}") from None
    except OSError as error:
        raise InputError(
            f"{path}: governor {name!r} > listen: {error.strerror or error}; "
            "free the address or configure another one"
        ) from None


@click.command()
def openapi() -> None:
    """Prints the governor's API as an OpenAPI document."""
    import msgspec

    from gradehoist.governor.openapi import document

    click.echo(msgspec.json.format(msgspec.json.encode(document()), indent=1).decode())
