"""Cells: tenants confined to subsets of workers. Free of I/O; clock and chance are given in."""
