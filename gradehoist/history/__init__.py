"""Histories of the requests, responses and effects of processes, and checkers that read only these."""
