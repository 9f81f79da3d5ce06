"""Small numeric helpers."""

from __future__ import annotations

from collections.abc import Collection, Mapping, Sequence
from statistics import fmean


def clamp(value: float, lowest: float, highest: float) -> float:
    """Return `value` limited to the range from `lowest` to `highest`."""
    return max(lowest, min(highest, value))


def mean_or_one(values: Collection[float]) -> float:
    """Return the mean, or 1.0 if it is 0 or there are no values, so that it can be a divisor."""
    return sum(values) / max(1, len(values)) or 1.0


def relative_to_mean(values: Mapping[int, float]) -> dict[int, float]:
    """Return each value as a multiple of the mean of all values."""
    mean = mean_or_one(values.values())
    return {key: value / mean for key, value in values.items()}


def majority_median(values: Sequence[float], population: int) -> float:
    """Return the upper median, or 0.0 unless more than half of the population has a value."""
    return sorted(values)[len(values) // 2] if 2 * len(values) > population else 0.0


def mean_or_zero(values: Collection[float]) -> float:
    """Return the mean, or 0.0 if there are no values."""
    return fmean(values or [0.0])


def max_by_key(first: Mapping[int, float], second: Mapping[int, float]) -> dict[int, float]:
    """Return the larger value for each key, at least 0.0; the keys of `first` come first."""
    return {key: max(first.get(key, 0.0), second.get(key, 0.0)) for key in {**first, **second}}
