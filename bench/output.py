"""Prints results on standard output as rows of a Markdown table."""

from __future__ import annotations


def print_row(*cells: object) -> None:
    """Prints a row and flushes it, so that a long measurement shows its results as they come."""
    print("| " + " | ".join(str(cell) for cell in cells) + " |", flush=True)
