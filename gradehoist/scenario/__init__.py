"""Scenarios: scripted runs of a whole fleet on loopback sockets.

`definition` reads a scenario, `faults` plans its injected faults, `plan_builder` draws the plan of a run,
`runner` plays it with real processes, `checks` judges what these recorded, and `report` draws the result.
"""
