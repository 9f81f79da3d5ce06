"""Capacity planning for announced events, with the loss of zones included.

`event_file` reads the problem, `solver` finds the flows, `verification` checks them in exact arithmetic and
`planner` combines them into a plan that is stored. Only `event_file` does any I/O.
"""
