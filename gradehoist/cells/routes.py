"""Routes tenants to cells by equal ranges of a hash, with exceptions by name. This module does no I/O."""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from typing import TypeVar

CellT = TypeVar("CellT")

HASH_BITS = 32  # of CRC-32


def home_cell(tenant: str, cells: Sequence[CellT], exceptions: Mapping[str, CellT]) -> CellT:
    """Returns the exception for a tenant, or else the cell of the range that the tenant's hash falls into."""
    named = exceptions.get(tenant)
    if named is not None:
        return named
    return cells[zlib.crc32(tenant.encode()) * len(cells) >> HASH_BITS]


def class_label(cell: str, request_class: str) -> str:
    """Returns the name of a request class in the tables of a cell; without cells, the class's own name."""
    return f"{cell}/{request_class}" if cell else request_class
