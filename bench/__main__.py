"""`python -m bench [NAME …]` runs the measurements of that name, or all: see `MEASUREMENTS`."""

from __future__ import annotations

import sys
from collections.abc import Callable

from bench import governor, http_parser, placements, plans, scenario_shares
from bench.node import figures as measure_node
from bench.output import print_row
from bench.register import figures as measure_coordination


def print_placements() -> None:
    """Prints the ways to place tenants side by side."""
    print_row(
        "way",
        "s",
        "tenants that lose all",
        "that lose some",
        "moved by a lost worker",
        "their demand",
        "fullest worker over mean",
    )
    for row in placements.rows(10_000, 500):
        print_row(*row)


def print_plans() -> None:
    """Prints the time of capacity plans by size, and the solver beside a greedy rule."""
    print_row("workers", "halls", "cells", "groups", "cases", "s")
    for size in plans.SIZES:
        print_row(*plans.measure_size(size))
    print_row("load", "gain lost, solver", "gain lost, greedy", "crossing, greedy over solver")
    for load in (0.4, 0.6, 0.8):
        print_row(*plans.compare_with_greedy(load))


def print_node() -> None:
    """Prints the platform's node as a process: start, tables for all, drains between sockets, memory."""
    print_row("proxies", "start, s", "all bound, s", "drain to last order, ms", "worst, ms", "memory, MB")
    for figures in measure_node():
        print_row(
            figures.proxies,
            f"{figures.start:.2f}",
            f"{figures.bound:.2f}",
            f"{figures.drain * 1e3:.0f}",
            f"{figures.worst * 1e3:.0f}",
            f"{figures.memory:.0f}",
        )


def print_coordination() -> None:
    """Prints many members over one coordination store."""
    measure_coordination(print_row)


MEASUREMENTS: dict[str, Callable[[], None]] = {
    "parser": http_parser.measure_parsers,
    "drains": governor.measure_drains,
    "size": governor.measure_sizes,
    "inline": governor.compare_with_inline_policy,
    "cells": governor.measure_cells,
    "places": print_placements,
    "plans": print_plans,
    "node": print_node,
    "register": print_coordination,
    "idle": governor.measure_idle_polls,
    "shares": scenario_shares.measure_shares,
}

if __name__ == "__main__":
    for name in sys.argv[1:] or MEASUREMENTS:
        print(f"\n## {name}\n", flush=True)
        MEASUREMENTS[name]()
