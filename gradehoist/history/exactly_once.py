"""What takers of effects did: generations only grow, each item once, one key's items in their order."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gradehoist.history.records import Effect, HistoryEntry


class EffectViolation(NamedTuple):
    """`stretch` is the shortest run of lines that shows it."""

    description: str
    effects: tuple[Effect, ...]

    def __str__(self) -> str:
        return "\n".join(
            [
                self.description,
                *(
                    f"  {e.time_us / 1e6:.6f} s {e.process}: "
                    f"{e.resource} generation {e.generation} of {e.holder}: {e.item}"
                    for e in self.effects
                ),
            ]
        )


def find_fencing_violations(lines: Iterable[HistoryEntry]) -> list[EffectViolation]:
    """At one taker a right's generations only grow, and each has one holder."""
    last = dict[tuple[str, str], Effect]()
    out = []
    for e in lines:
        if not isinstance(e, Effect):
            continue
        known = last.get((e.process, e.resource))
        if known is not None and e.generation < known.generation:
            out.append(
                EffectViolation(
                    f"{e.resource}: generation {e.generation} took effect after {known.generation}",
                    (known, e),
                )
            )
        elif known is not None and e.generation == known.generation and e.holder != known.holder:
            out.append(
                EffectViolation(
                    f"{e.resource}: generation {e.generation} took effect for two holders", (known, e)
                )
            )
        last[e.process, e.resource] = e
    return out


def find_duplicate_effects(lines: Iterable[HistoryEntry]) -> list[EffectViolation]:
    """No item took effect twice, at whichever takers."""
    first = dict[str, Effect]()
    out = []
    for e in lines:
        if isinstance(e, Effect):
            if e.item in first:
                out.append(EffectViolation(f"{e.item} took effect twice", (first[e.item], e)))
            first.setdefault(e.item, e)
    return out
