"""Argument types that several groups of commands share, and loading of the settings file."""

from __future__ import annotations

from pathlib import Path

import click

from gradehoist.cli.errors import InputError
from gradehoist.settings.fleet import Settings
from gradehoist.settings.fleet_parser import read_settings
from gradehoist.settings.reader import SettingsError

FILE = click.Path(dir_okay=False, path_type=Path)
FOLDER = click.Path(file_okay=False, path_type=Path)


def load_settings(path: Path) -> Settings:
    """Reads the settings of a fleet.

    Raises:
        InputError: The file can't be read or has errors; the message lists all of them.
    """
    try:
        return read_settings(path)
    except SettingsError as error:
        raise InputError(str(error)) from None
