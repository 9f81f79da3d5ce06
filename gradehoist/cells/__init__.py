"""Cells: tenants confined to subsets of the replicas. Free of I/O; time and random numbers are passed in."""
