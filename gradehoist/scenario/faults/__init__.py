"""Fault injection: plans the faults of a scenario as timed commands to the test doubles.

Nothing here does I/O: `kinds` converts the faults of a scenario into the steps of a run. The kinds have the
names that operators use, and each behaves as the incident records of the deployments describe it. `replica`,
`network`, `control_plane` and `traffic` contain the kinds, grouped by the affected part of the system, and
`steps` contains what they share.
"""
