"""Errors of the command line."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import click


class InputError(click.ClickException):
    """Invalid arguments, settings or input; the message is printed for the user, and the exit code is 2."""

    exit_code = 2


@contextmanager
def errors_located_in(path: Path) -> Iterator[None]:
    """Prefixes the messages of input errors with the path of a file."""
    try:
        yield
    except InputError as error:
        raise InputError(f"{path}: {error}") from None
