"""Fencing tokens, whose generations only grow, checked by whoever takes an effect. Free of I/O.

A resource has a generation and a holder. Whoever takes an effect under it (a replica, a delivery queue, an
event sink) keeps, together with the effect, the highest token that it was presented, and rejects all below
it. Two holders of one generation can come only of a store that was rolled back: the first one presented
stands, and the other has to take a higher one. No clock, lease or opinion on who lives is consulted, so the
check holds for a process that was suspended for half a minute in the middle of a step.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class FencingToken(NamedTuple):
    """The right to take effects on a resource.

    `holder` is one incarnation of one process, or a record's id; it is never used again for another.
    """

    generation: int
    holder: str


class TokenOrder(Enum):
    """How a presented token compares with the known one."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICTING = "conflicting"
    """The same generation of another holder."""


def compare_tokens(presented: FencingToken, known: FencingToken | None) -> TokenOrder:
    """Compares a presented token with the one known; any is newer than none."""
    if known is None or presented.generation > known.generation:
        return TokenOrder.NEWER
    if presented.generation < known.generation:
        return TokenOrder.OLDER
    return TokenOrder.SAME if presented.holder == known.holder else TokenOrder.CONFLICTING


@dataclass(frozen=True, slots=True)
class FenceDecision:
    """Whether an effect may be taken.

    Attributes:
        fence: The fence after it, to be kept in one step with the effect.
        rejected_by: The token that stands against it; None where the effect may be taken.
    """

    fence: Fence
    rejected_by: FencingToken | None = None

    @property
    def is_admitted(self) -> bool:
        """Whether the effect may be taken."""
        return self.rejected_by is None


@dataclass(frozen=True, slots=True)
class Fence:
    """The highest token of each resource, held by whoever takes effects on it."""

    highest_tokens: Mapping[str, FencingToken] = field(default_factory=dict)

    def present(self, resource: str, token: FencingToken) -> FenceDecision:
        """Decides on an effect on `resource` under `token`."""
        known = self.highest_tokens.get(resource)
        match compare_tokens(token, known):
            case TokenOrder.NEWER:
                return FenceDecision(Fence({**self.highest_tokens, resource: token}))
            case TokenOrder.SAME:
                return FenceDecision(self)
            case TokenOrder.OLDER | TokenOrder.CONFLICTING:
                return FenceDecision(self, rejected_by=known)
