"""Checks the safety rules of a scenario run on the events that the test doubles recorded.

`records` reads the events, and `replay` reconstructs the state of the run from them. Each rule has a module
with its checker. `run_check` runs all checkers and builds the verdict, whose types are in `verdict`. Nothing
here starts a process or relies on what a governor reports about itself.
"""
