"""Capacity planning for announced events, with the loss of zones included.

`event_file` reads the problem, `solver` computes the flows, `verification` checks them exactly, and
`planner` combines them into a plan, which the command line stores. Only `event_file` does any I/O.
"""
