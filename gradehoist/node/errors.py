"""The base error of the node package."""

from __future__ import annotations


class NodeError(Exception):
    """Base of the errors that the node's modules raise."""
