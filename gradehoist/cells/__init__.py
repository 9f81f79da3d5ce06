"""Cells, which confine tenants to subsets of the replicas.

The package does no I/O and reads no clock: callers pass the time in.
"""
