"""Membership of one process in its fleet, which is the same for processes of all roles."""
