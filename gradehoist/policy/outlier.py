"""Outlier detection: when a replica is ejected, for how long, and how many may be."""

from collections.abc import Iterator

from gradehoist.actors import SECOND
from gradehoist.messages import AttemptTotals

MIN_ATTEMPTS = 4.0  # below it a failing share says nothing: four in a row by chance are rare
FAILURE_SHARE = 0.8  # impatient clients fail half the attempts at a slow replica that still responds
OUTLIER_MULTIPLE = 2  # of the pool's failure share: a fault that all share ejects nobody
PANIC_THRESHOLD = 0.5  # the usual one: with fewer left, cold ones would be overloaded instead
MAX_DOUBLINGS = 3  # of the ejection time of a flapping replica


def is_failing(totals: AttemptTotals) -> bool:
    """Whether a replica fails enough of its recent attempts to be ejected."""
    return totals.attempts >= MIN_ATTEMPTS and totals.failures > FAILURE_SHARE * totals.attempts


def may_eject(failure_share: float, pool_share: float, peers: Iterator[dict[int, bool]]) -> bool:
    """Whether a replica fails far more than the pool, and enough of its peers stay open."""
    is_outlier = failure_share >= OUTLIER_MULTIPLE * pool_share
    return is_outlier and all(len(p) - sum(p.values()) + 1 <= PANIC_THRESHOLD * len(p) for p in peers)


def ejection_time_us(ejections: int, period_us: int) -> int:
    """Return how long the latest of `ejections` lasts."""
    return max(2 * period_us, 2 * SECOND) << min(ejections - 1, MAX_DOUBLINGS)
