"""Checks the effects in a history: generations never decrease, and no item takes effect twice."""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from gradehoist.history.records import Effect, HistoryEntry

US_PER_S = 1e6


class EffectViolation(NamedTuple):
    """A violation of a rule. `effects` is the shortest sequence of effects that shows it."""

    description: str
    effects: tuple[Effect, ...]

    def __str__(self) -> str:
        """Returns the description and the effects, one per line."""
        return "\n".join([self.description, *(f"  {_describe(effect)}" for effect in self.effects)])


def _describe(effect: Effect) -> str:
    return (
        f"{effect.time_us / US_PER_S:.6f} s {effect.process}: {effect.resource} "
        f"generation {effect.generation} of {effect.holder}: {effect.item}"
    )


def find_fencing_violations(entries: Iterable[HistoryEntry]) -> list[EffectViolation]:
    """Finds where, at one process, a resource's generation decreases or one generation has two holders."""
    latest: dict[tuple[str, str], Effect] = {}
    violations = []
    for effect in entries:
        if not isinstance(effect, Effect):
            continue
        known = latest.get((effect.process, effect.resource))
        latest[effect.process, effect.resource] = effect
        if known is None:
            continue
        prefix = f"{effect.resource}: generation {effect.generation} took effect"
        if effect.generation < known.generation:
            violations.append(EffectViolation(f"{prefix} after {known.generation}", (known, effect)))
        elif effect.generation == known.generation and effect.holder != known.holder:
            violations.append(EffectViolation(f"{prefix} for two holders", (known, effect)))
    return violations


def find_duplicate_effects(entries: Iterable[HistoryEntry]) -> list[EffectViolation]:
    """Finds items that took effect more than once, at the same process or at different ones."""
    first: dict[str, Effect] = {}
    violations = []
    for effect in entries:
        if not isinstance(effect, Effect):
            continue
        earlier = first.get(effect.item)
        if earlier is None:
            first[effect.item] = effect
        else:
            violations.append(EffectViolation(f"{effect.item} took effect twice", (earlier, effect)))
    return violations
