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


class Right(NamedTuple):
    """`holder` is one run of one process, or a record's id: never used again for another."""

    gen: int
    holder: str


class Standing(Enum):
    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    RIVAL = "rival"  # the same generation of another holder


def standing(shown: Right, known: Right | None) -> Standing:
    """How a right that is shown stands to the one known."""
    if known is None or shown.gen > known.gen:
        return Standing.NEWER
    if shown.gen < known.gen:
        return Standing.OLDER
    return Standing.SAME if shown.holder == known.holder else Standing.RIVAL


@dataclass(frozen=True, slots=True)
class Gate:
    """At the one who takes effects: `known` is kept in one step with the effect that raised it."""

    known: Mapping[str, Right] = field(default_factory=dict)

    def show(self, name: str, right: Right) -> tuple[Gate, Right | None]:
        """The gate after it, and None where the effect may be taken, or the right that stands against it."""
        known = self.known.get(name)
        match standing(right, known):
            case Standing.NEWER:
                return replace(self, known={**self.known, name: right}), None
            case Standing.SAME:
                return self, None
        return self, known
