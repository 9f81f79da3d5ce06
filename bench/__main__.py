"""`python -m bench [NAME …]` runs the measurements with these names, or all of `MEASUREMENTS`."""

from __future__ import annotations

import sys
from collections.abc import Callable

from bench import governor, http_parser, placements, plans, scenario_shares
from bench.node import measure_sizes as measure_node_sizes
from bench.output import print_row
from bench.register import measure_coordination


def print_placements() -> None:
    """Compares methods of placing tenants."""
    print_row(
        "way",
        "s",
        "tenants that lose all",
        "that lose some",
        "moved by a lost worker",
        "their demand",
        "fullest worker over mean",
    )
    for row in placements.compare_methods(10_000, 500):
        print_row(*row)


def print_plans() -> None:
    """Prints the time that capacity plans take by size, and compares the solver with a greedy rule."""
    print_row("workers", "halls", "cells", "groups", "cases", "s")
    for size in plans.SIZES:
        print_row(*plans.measure_size(size))
    print_row("load", "gain lost, solver", "gain lost, greedy", "crossing, greedy over solver")
    for load in (0.4, 0.6, 0.8):
        print_row(*plans.compare_with_greedy(load))


def print_node() -> None:
    """Measures the platform's node as a process: its start, the delivery of all tables, drains, memory."""
    print_row("proxies", "start, s", "all bound, s", "drain to last order, ms", "worst, ms", "memory, MB")
    for figures in measure_node_sizes():
        print_row(
            figures.proxies,
            f"{figures.start_s:.2f}",
            f"{figures.bound_s:.2f}",
            f"{figures.median_drain_s * 1e3:.0f}",
            f"{figures.worst_drain_s * 1e3:.0f}",
            f"{figures.memory_mb:.0f}",
        )


def print_coordination() -> None:
    """Measures many members that share one coordination store."""
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
