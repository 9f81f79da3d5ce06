"""Outlier detection: when a replica is ejected, for how long, and how many may be ejected at a time."""

from collections.abc import Iterator

from gradehoist.actors import SECOND
from gradehoist.messages import AttemptTotals

MIN_ATTEMPTS = 4.0  # With fewer, a failure share says nothing; four failures in a row are rarely chance.
FAILURE_SHARE = 0.8  # Clients with short time-outs fail half the attempts at a slow replica that responds.
OUTLIER_MULTIPLE = 2  # Of the pool's failure share, so that a fault common to all replicas ejects none.
PANIC_THRESHOLD = 0.5  # The usual value; with fewer peers open, cold ones would be overloaded instead.
MAX_DOUBLINGS = 3  # Of the ejection time of a replica that is ejected again and again.


def is_failing(totals: AttemptTotals) -> bool:
    """Return whether a replica fails enough of its recent attempts to be ejected."""
    return totals.attempts >= MIN_ATTEMPTS and totals.failures > FAILURE_SHARE * totals.attempts


def may_eject(failure_share: float, pool_share: float, peers: Iterator[dict[int, bool]]) -> bool:
    """Return whether a replica fails far more than the pool, and enough of its peers stay open."""
    is_outlier = failure_share >= OUTLIER_MULTIPLE * pool_share
    return is_outlier and all(len(p) - sum(p.values()) + 1 <= PANIC_THRESHOLD * len(p) for p in peers)


def ejection_time_us(ejections: int, period_us: int) -> int:
    """Return how long the latest of `ejections` ejections lasts."""
    return max(2 * period_us, 2 * SECOND) << min(ejections - 1, MAX_DOUBLINGS)
