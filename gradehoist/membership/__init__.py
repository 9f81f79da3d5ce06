"""Membership of one process in its fleet, shared by all roles."""
