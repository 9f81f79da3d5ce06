"""Zones left and taken back by all governors together: evidence, steps, allowances for the return."""
