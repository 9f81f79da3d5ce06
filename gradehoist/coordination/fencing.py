"""Exclusive rights as generations that only grow, checked by the one who takes the effect. Free of I/O.

A right of some name has a generation and a holder. Whoever takes an effect under it (a worker, a ledger, a
sink) keeps, together with the effect, the highest generation that it was shown, and refuses all below it. Two
holders of one generation can come only of a register that went back to an older snapshot: the first one shown
stands, the other is a rival and has to take a higher one. No clock, lease or opinion on who lives has a part
in this, so it holds for a process that stood still for half a minute in the middle of a step.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple


class FencingToken(NamedTuple):
    """`holder` is one run of one process, or a record's id: never used again for another."""

    generation: int
    holder: str


class TokenOrder(Enum):
    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICTING = "rival"  # the same generation of another holder


def compare_tokens(shown: FencingToken, known: FencingToken | None) -> TokenOrder:
    """How a right that is shown stands to the one known."""
    if known is None or shown.generation > known.generation:
        return TokenOrder.NEWER
    if shown.generation < known.generation:
        return TokenOrder.OLDER
    return TokenOrder.SAME if shown.holder == known.holder else TokenOrder.CONFLICTING


@dataclass(frozen=True, slots=True)
class Fence:
    """At the one who takes effects: `known` is kept in one step with the effect that raised it."""

    highest_tokens: Mapping[str, FencingToken] = field(default_factory=dict)

    def present(self, name: str, right: FencingToken) -> tuple[Fence, FencingToken | None]:
        """The gate after it, and None where the effect may be taken, or the right that stands against it."""
        known = self.highest_tokens.get(name)
        match compare_tokens(right, known):
            case TokenOrder.NEWER:
                return replace(self, highest_tokens={**self.highest_tokens, name: right}), None
            case TokenOrder.SAME:
                return self, None
        return self, known
