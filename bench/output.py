"""Rows of figures on standard output, as a Markdown table."""

from __future__ import annotations


def print_row(*cells: object) -> None:
    """Prints a row at once, so that a long measurement shows what it has."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)
