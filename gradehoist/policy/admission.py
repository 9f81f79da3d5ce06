"""Admission control: a saturated pool gets fewer requests, and low-priority classes are cut first."""

from gradehoist import messages
from gradehoist.actors import SECOND, Actor
from gradehoist.fleet_state import Fleet, saturation
from gradehoist.interface import QuotasAgreed, SetAdmission
from gradehoist.numeric import clamp

# Cold replicas are reviewed once a report period, and a withdrawal takes effect in the next one.
FORECAST_PERIODS = 2

# After a cut, the admitted share stays unchanged for this time plus two report periods: load reports that
# arrive earlier do not show the effect of the cut yet.
HOLD_AFTER_CUT_US = 2 * SECOND

# The admitted share grows by this much a second, times 1 - saturation. A pool that is half idle regains a
# tenth of all requests a second.
RECOVERY_PER_S = 0.2

# Some requests are always admitted, as the replicas' load reports come with them.
MIN_ADMITTED_SHARE = 0.05

# A cut multiplies the admitted share by the success share of the pool, limited to this range.
MIN_CUT_FACTOR, MAX_CUT_FACTOR = 0.5, 0.9

# A smaller change of an admission rate is not written, unless the rate changes to or from 1.
MIN_RATE_CHANGE = 0.05

# Added to admission rates, so that rounding errors do not admit slightly less than all requests.
ROUNDING_MARGIN = 1e-6

# A pool is saturated when the median replica exceeds one of the following three limits. From this busy share
# on, queues delay requests beyond their latency objectives. A whole pool is never this busy by chance.
BUSY_LIMIT = 0.92

# Mean latency, relative to the objective. Above this, the slowest tenth of the requests miss the objective.
LATENCY_LIMIT = 0.6

# Share of failed attempts. A few outliers cannot raise that of the median replica this far.
FAILURE_LIMIT = 0.25


class AdmissionController(Actor):
    """Sets the admitted share of all requests, and divides it among the request classes."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a controller that admits all requests."""
        super().__init__(fleet.loop)
        self.is_enabled = fleet.config.admission_enabled
        self.admitted_share = 1.0
        self._hold_until_us = 0
        self._written_rates = [1.0] * len(fleet.config.classes)
        # The highest admission rate of each request class, as the governors have agreed.
        self._admission_limits = dict[int, float]()
        # Priority is the priority weight per unit of the latency objective; the highest comes first.
        priority = [c.priority_weight / c.latency_objective_us for c in fleet.config.classes]
        self._by_priority = sorted(range(len(priority)), key=lambda request_class: -priority[request_class])

    def _on_quotas_agreed(self, quotas: QuotasAgreed) -> None:
        self._admission_limits = dict(quotas.admission_limits)

    def _on_pool_assessed(self, pool: messages.PoolAssessed) -> None:
        self._adjust(pool)
        rates = self._admission_rates(pool.requests, self.admitted_share)
        changes = zip(rates, self._written_rates, strict=True)
        if any(abs(new - old) > MIN_RATE_CHANGE or (new == 1.0) != (old == 1.0) for new, old in changes):
            self._written_rates = rates
            # Retries are allowed only while all requests are admitted, as they would add to an overload.
            retries = int(self.admitted_share == 1.0)
            orders = [
                SetAdmission(None, (request_class,), rate, retries)
                for request_class, rate in enumerate(rates)
            ]
            self.loop.publish(messages.AdmissionChanged(orders))
        self._publish_forecast(pool)

    def _publish_forecast(self, pool: messages.PoolAssessed) -> None:
        increase = RECOVERY_PER_S * FORECAST_PERIODS * pool.period_us / SECOND
        highest = self._admission_rates(pool.requests, min(1.0, self.admitted_share + increase))
        self.loop.publish(messages.AdmissionForecast(self._written_rates, highest))

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

    def _admission_rates(self, requests: list[float], admitted_share: float) -> list[float]:
        """Return the admission rates by class; high-priority classes use up the admitted share first."""
        remaining = admitted_share
        rates = [1.0] * len(requests)
        for request_class in self._by_priority:
            share = max(1e-9, requests[request_class] / max(1e-9, sum(requests)))
            limit = max(MIN_ADMITTED_SHARE, self._admission_limits.get(request_class, 1.0))
            rates[request_class] = min(
                clamp(remaining / share + ROUNDING_MARGIN, MIN_ADMITTED_SHARE, 1.0), limit
            )
            remaining = max(0.0, remaining - share)
        return rates


def measure_saturation(states: list[messages.ReplicaState], latency_objective_us: int) -> float:
    """Return the saturation of replicas: 1 means that the median replica is just at one of its limits."""
    return saturation(states, BUSY_LIMIT, FAILURE_LIMIT, latency_objective_us, LATENCY_LIMIT)
