"""Faults that a scenario injects, planned as timed orders to the test doubles.

Nothing here does I/O: `kinds` takes a plan and the faults of a scenario and returns the steps of the run.
The names of the kinds are the operators' own, and each strikes as the deployments' records describe it.
`replica`, `network`, `control_plane` and `traffic` hold the kinds by what they strike, `steps` what they
share.
"""
