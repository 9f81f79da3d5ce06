"""Runners that carry migrations and rollouts through over HTTP and persist each record first."""
