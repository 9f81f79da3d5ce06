"""Fencing tokens, which the receiver of an effect checks before it applies the effect. Free of I/O.

A fencing token consists of a generation, which only grows, and a holder. The receiver of effects on a
resource (a replica, a delivery queue, an event sink) stores the highest token that it has been presented,
together with the effect, and rejects all lower tokens. Two holders can have the same generation only if the
store was rolled back. The receiver then accepts the one that was presented first, and the other has to
acquire a higher generation. The check uses no clock, lease or failure detection. It therefore also holds for
a process that was suspended for half a minute between reading its token and requesting the effect.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple


class FencingToken(NamedTuple):
    """Authorizes effects on a resource.

    Attributes:
        generation: Generation of the resource's ownership.
        holder: The incarnation of a process, or the id of a record. It is never reused.
    """

    generation: int
    holder: str


class TokenOrder(Enum):
    """How a presented token compares with the known token."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICTING = "conflicting"
    """The generation is the same and the holder differs."""


def compare_tokens(presented: FencingToken, known: FencingToken | None) -> TokenOrder:
    """Compares a presented token with the known one. If none is known, the presented token is newer."""
    if known is None or presented.generation > known.generation:
        return TokenOrder.NEWER
    if presented.generation < known.generation:
        return TokenOrder.OLDER
    return TokenOrder.SAME if presented.holder == known.holder else TokenOrder.CONFLICTING


@dataclass(frozen=True, slots=True)
class FenceDecision:
    """The decision whether an effect may be applied.

    Attributes:
        fence: The fence after the decision. It has to be stored atomically with the effect.
        rejected_by: The known token because of which the effect is rejected, or None if it may be applied.
    """

    fence: Fence
    rejected_by: FencingToken | None = None

    @property
    def is_admitted(self) -> bool:
        """Whether the effect may be applied."""
        return self.rejected_by is None


@dataclass(frozen=True, slots=True)
class Fence:
    """The highest token presented for each resource, stored by the receiver of effects."""

    highest_tokens: Mapping[str, FencingToken] = field(default_factory=dict)

    def present(self, resource: str, token: FencingToken) -> FenceDecision:
        """Decides whether an effect on `resource` under `token` may be applied."""
        known = self.highest_tokens.get(resource)
        match compare_tokens(token, known):
            case TokenOrder.NEWER:
                return FenceDecision(Fence({**self.highest_tokens, resource: token}))
            case TokenOrder.SAME:
                return FenceDecision(self)
            case TokenOrder.OLDER | TokenOrder.CONFLICTING:
                return FenceDecision(self, rejected_by=known)
