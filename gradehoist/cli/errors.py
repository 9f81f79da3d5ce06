"""Errors of the command line."""

from __future__ import annotations

import click


class InputError(click.ClickException):
    """Bad use, settings or input: one clear line or more for the user, exit 2."""

    exit_code = 2
