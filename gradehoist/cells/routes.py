"""The cell in which a tenant lives: even ranges of a hash, with exceptions by name. Free of I/O."""

from __future__ import annotations

import zlib
from collections.abc import Mapping, Sequence
from typing import TypeVar

CellT = TypeVar("CellT")

HASH_BITS = 32  # of CRC-32


def home_cell(tenant: str, cells: Sequence[CellT], exceptions: Mapping[str, CellT]) -> CellT:
    """The cell of a tenant: its exception, or the cell of the range that its hash falls into."""
    named = exceptions.get(tenant)
    if named is not None:
        return named
    return cells[zlib.crc32(tenant.encode()) * len(cells) >> HASH_BITS]


def class_label(cell: str, request_class: str) -> str:
    """The name of a request class in the tables of a cell; without cells it is the class's own."""
    return f"{cell}/{request_class}" if cell else request_class
