"""Checkers of a scenario run: each judges one safety rule from what the test doubles recorded.

`records` reads the recorded events, `replay` reconstructs the state of the run from them, one module a rule
holds its checker, and `run_check` runs them all and builds the verdict of `verdict`. Nothing here starts a
process or trusts what a governor says of itself.
"""
