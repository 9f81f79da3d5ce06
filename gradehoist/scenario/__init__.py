"""Scenarios: scripted runs of a whole fleet on loopback sockets.

`definition` describes a scenario, which `definition_reader` reads from a file. `faults` plans the faults to
inject, `plan_builder` generates the plan of a run, and `runner` executes it with real processes. `checks`
verifies the safety rules on the events that the processes recorded, and `report` presents the results.
"""
