"""Admission control: a saturated pool gets fewer requests, and those of least priority are rejected first."""

from gradehoist import messages
from gradehoist.actors import SECOND, Actor
from gradehoist.fleet_state import Fleet, saturation
from gradehoist.interface import QuotasAgreed, SetAdmission
from gradehoist.numeric import clamp

HOLD = 2 * SECOND  # and two report periods after a cut: only then do reports show what it did
RECOVERY = 0.2  # per second, of what the stress is under 1: a tenth a second where replicas are half idle
MIN_SHARE = 0.05  # never all is rejected: what is admitted keeps the reports coming
MIN_FACTOR, MAX_FACTOR = 0.5, 0.9  # what a cut leaves of what was admitted, by the share of successes
MIN_CHANGE = 0.05  # of an admission rate that is written; a return to 1 always is
MARGIN = 1e-6  # keeps rounding from admitting less than all
FULL = 0.92  # busy share at which queues outgrow the objectives; replicas are never all this busy by chance
LATE = 0.6  # mean latency as a part of the objective: beyond it the slowest tenth is late
FAILING = 0.25  # failing part of the attempts at the median replica, which no outlier can bring about


class Admission(Actor):
    """The share of all requests that is admitted, and its division among classes."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a controller that admits all."""
        super().__init__(fleet.loop)
        self.is_enabled = fleet.config.admission_enabled
        self.admitted_share = 1.0
        self._hold_until_us = 0
        self._written = [1.0] * len(fleet.config.classes)
        self._limits = dict[int, float]()  # the fleet's agreed share of each class
        value = [c.priority_weight / c.latency_objective_us for c in fleet.config.classes]
        self._by_priority = sorted(range(len(value)), key=lambda k: -value[k])

    def _on_quotas_agreed(self, quotas: QuotasAgreed) -> None:
        self._limits = dict(quotas.admission_limits)

    def _on_pool_assessed(self, pool: messages.PoolAssessed) -> None:
        self._adjust(pool)
        rates = self._rates(pool.requests)
        changes = zip(rates, self._written, strict=True)
        if any(abs(new - old) > MIN_CHANGE or (new == 1.0) != (old == 1.0) for new, old in changes):
            self._written = rates
            retries = int(self.admitted_share == 1.0)  # retries only make an overload worse
            orders = [SetAdmission(None, (k,), rate, retries) for k, rate in enumerate(rates)]
            self.loop.publish(messages.AdmissionChanged(orders))

    def _adjust(self, pool: messages.PoolAssessed) -> None:
        if self.loop.now_us < self._hold_until_us:
            return
        if pool.stress > 1 and self.is_enabled:
            self._hold_until_us = self.loop.now_us + HOLD + 2 * pool.period_us
            cut = clamp(pool.success_share, MIN_FACTOR, MAX_FACTOR)
            self.admitted_share = max(MIN_SHARE, self.admitted_share * cut)
        else:
            increase = RECOVERY * (1 - pool.stress) * pool.period_us / SECOND
            self.admitted_share = min(1.0, self.admitted_share + increase)

    def _rates(self, requests: list[float]) -> list[float]:
        left = self.admitted_share
        rates = [1.0] * len(requests)
        for k in self._by_priority:
            share = max(1e-9, requests[k] / max(1e-9, sum(requests)))
            limit = max(MIN_SHARE, self._limits.get(k, 1.0))
            rates[k] = min(clamp(left / share + MARGIN, MIN_SHARE, 1.0), limit)
            left = max(0.0, left - share)
        return rates


def stress(states: list[messages.ReplicaState], latency_objective_us: int) -> float:
    """Return how saturated replicas are: 1 where the median one is."""
    return saturation(states, FULL, FAILING, latency_objective_us, LATE)
