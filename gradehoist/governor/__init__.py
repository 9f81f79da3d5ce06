"""The governor process: it runs the decision policies and publishes their tables to the proxies.

The decisions come from `gradehoist.policy`. This package turns what a governor receives (the endpoint list,
load reports, polls, health checks) into events for the policies, and their orders into messages of the
feed. `core` and what it imports do no I/O; `service` is the shell that does.
"""
