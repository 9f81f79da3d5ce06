"""Outlier detection: when a replica is ejected, for how long, and how many may be ejected at a time."""

from collections.abc import Iterator

from gradehoist.actors import SECOND
from gradehoist.messages import AttemptTotals

# With fewer attempts, the failure share of a replica says nothing. Four failures in a row are rarely chance.
MIN_ATTEMPTS = 4.0

# A replica fails if more than this share of its attempts fail. Half of them fail at a slow replica that still
# responds, if clients have short time-outs.
FAILURE_SHARE = 0.8

# A replica is an outlier only if its failure share is at least this multiple of the pool's, so that a fault
# common to all replicas ejects none.
OUTLIER_MULTIPLE = 2

# At most this share of the warm replicas that a class may use may be ejected at a time. This is the usual
# value. With fewer of them open, cold replicas would be overloaded instead.
PANIC_THRESHOLD = 0.5

# The ejection time doubles at most this often for a replica that is ejected again and again.
MAX_DOUBLINGS = 3


def is_failing(totals: AttemptTotals) -> bool:
    """Return whether a replica fails enough of its recent attempts to be ejected."""
    return totals.attempts >= MIN_ATTEMPTS and totals.failures > FAILURE_SHARE * totals.attempts


def may_eject(failure_share: float, pool_share: float, peers: Iterator[dict[int, bool]]) -> bool:
    """Return whether a replica fails far more than the pool, and enough of its peers stay open.

    `peers` has an entry for each class set and zone that may use the replica: the warm replicas that these
    may use, and whether each of them is open.
    """
    is_outlier = failure_share >= OUTLIER_MULTIPLE * pool_share
    return is_outlier and all(
        len(is_open) - sum(is_open.values()) + 1 <= PANIC_THRESHOLD * len(is_open) for is_open in peers
    )


def ejection_time_us(ejections: int, period_us: int) -> int:
    """Return how long an ejection lasts, if it is the replica's ejection number `ejections`."""
    return max(2 * period_us, 2 * SECOND) << min(ejections - 1, MAX_DOUBLINGS)
