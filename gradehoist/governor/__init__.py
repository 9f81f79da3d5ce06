"""The governor process: it runs the decision policies and publishes their tables to the proxies.

The decisions come from `gradehoist.policy`. This package turns what a governor receives (the endpoint list,
load reports, polls, health checks) into events for the policies, and converts their orders into messages of
the feed. `core` and the modules that it imports do no I/O; `service` does the I/O around them.
"""
