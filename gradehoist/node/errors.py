"""The base error of the node package."""

from __future__ import annotations


class NodeError(Exception):
    """Base class of the errors raised in this package."""
