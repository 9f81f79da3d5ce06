"""Admission control: a saturated pool gets fewer requests, and low-priority classes are cut first."""

from gradehoist import messages
from gradehoist.actors import SECOND, Actor
from gradehoist.fleet_state import Fleet, saturation
from gradehoist.interface import QuotasAgreed, SetAdmission
from gradehoist.numeric import clamp

HOLD_AFTER_CUT_US = 2 * SECOND  # Plus two report periods: earlier reports do not show the effect of a cut.
RECOVERY_PER_S = 0.2  # Times 1 - saturation: a half-idle pool regains a tenth of all requests a second.
MIN_ADMITTED_SHARE = 0.05  # Never 0: the replicas' load reports come with the requests that are admitted.
MIN_CUT_FACTOR, MAX_CUT_FACTOR = 0.5, 0.9  # A cut multiplies by the success share, within these bounds.
MIN_RATE_CHANGE = 0.05  # A smaller change of an admission rate is not written, unless it is to or from 1.
ROUNDING_MARGIN = 1e-6  # Keeps rounding errors from admitting slightly less than all requests.
BUSY_LIMIT = 0.92  # Busy share at which queues outgrow the objectives; a pool is never this busy by chance.
LATENCY_LIMIT = 0.6  # Mean latency as a part of the objective; above it, the slowest tenth is late.
FAILURE_LIMIT = 0.25  # Failure share of the median replica, which no outlier can raise.


class AdmissionController(Actor):
    """Sets the admitted share of all requests, and divides it among the request classes."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a controller that admits all requests."""
        super().__init__(fleet.loop)
        self.is_enabled = fleet.config.admission_enabled
        self.admitted_share = 1.0
        self._hold_until_us = 0
        self._written = [1.0] * len(fleet.config.classes)
        self._limits = dict[int, float]()  # highest share by class, as the governors have agreed
        priority = [c.priority_weight / c.latency_objective_us for c in fleet.config.classes]
        self._by_priority = sorted(range(len(priority)), key=lambda k: -priority[k])

    def _on_quotas_agreed(self, quotas: QuotasAgreed) -> None:
        self._limits = dict(quotas.admission_limits)

    def _on_pool_assessed(self, pool: messages.PoolAssessed) -> None:
        self._adjust(pool)
        rates = self._rates(pool.requests)
        changes = zip(rates, self._written, strict=True)
        if any(abs(new - old) > MIN_RATE_CHANGE or (new == 1.0) != (old == 1.0) for new, old in changes):
            self._written = rates
            retries = int(self.admitted_share == 1.0)  # Retries would add to an overload.
            orders = [SetAdmission(None, (k,), rate, retries) for k, rate in enumerate(rates)]
            self.loop.publish(messages.AdmissionChanged(orders))

    def _adjust(self, pool: messages.PoolAssessed) -> None:
        if self.loop.now_us < self._hold_until_us:
            return
        if pool.saturation > 1 and self.is_enabled:
            self._hold_until_us = self.loop.now_us + HOLD_AFTER_CUT_US + 2 * pool.period_us
            cut = clamp(pool.success_share, MIN_CUT_FACTOR, MAX_CUT_FACTOR)
            self.admitted_share = max(MIN_ADMITTED_SHARE, self.admitted_share * cut)
        else:
            increase = RECOVERY_PER_S * (1 - pool.saturation) * pool.period_us / SECOND
            self.admitted_share = min(1.0, self.admitted_share + increase)

    def _rates(self, requests: list[float]) -> list[float]:
        remaining = self.admitted_share
        rates = [1.0] * len(requests)
        for k in self._by_priority:
            share = max(1e-9, requests[k] / max(1e-9, sum(requests)))
            limit = max(MIN_ADMITTED_SHARE, self._limits.get(k, 1.0))
            rates[k] = min(clamp(remaining / share + ROUNDING_MARGIN, MIN_ADMITTED_SHARE, 1.0), limit)
            remaining = max(0.0, remaining - share)
        return rates


def measure_saturation(states: list[messages.ReplicaState], latency_objective_us: int) -> float:
    """Return how saturated replicas are: 1 where the median one is at its limit."""
    return saturation(states, BUSY_LIMIT, FAILURE_LIMIT, latency_objective_us, LATENCY_LIMIT)
