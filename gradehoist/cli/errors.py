"""Errors of the command line."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click


class InputError(click.ClickException):
    """Bad use, settings or input: one clear line or more for the user, exit 2."""

    exit_code = 2


@contextmanager
def errors_located_in(path: Path) -> Iterator[None]:
    """Puts a file's path before the text of input errors."""
    try:
        yield
    except InputError as error:
        raise InputError(f"{path}: {error}") from None
