"""Admission of cold replicas: which of them may get requests, decided for all of them together.

A cold replica breaks down if all proxies together send it a multiple of what it can do at that moment. Its
load depends on which other replicas get requests: the first one of a class gets all requests of that class.
Therefore, the load of each replica is predicted for the whole set that would get requests, and it must be low
enough without those that may follow: the next readmission can be seconds away.
"""

from collections.abc import Collection, Set
from dataclasses import dataclass

from gradehoist.actors import SECOND
from gradehoist.fleet_state import Candidates, Fleet, RateSmoothing
from gradehoist.messages import AdmissionForecast, HoldBackReason
from gradehoist.numeric import clamp
from gradehoist.policy.capacity import CapacityEstimator
from gradehoist.policy.locality import LocalityBalancer
from gradehoist.policy.replica import SMOOTHING

# A cold replica is admitted if its predicted load is at most this share of the load that would overload it.
# The rest is for chance, for classes whose requests are more work than the average, and for a slow warm-up.
ADMISSION_LOAD_SHARE = 0.5

# A cold replica that gets requests is withdrawn again above this share.
WITHDRAWAL_LOAD_SHARE = 0.8

# A cold replica that is held back is readmitted after this time without an overload.
READMISSION_DELAY_US = 3 * SECOND

# Request rates follow the reports of proxies like load signals. Clients repeat requests that are not served,
# so the rates count as usual while nearly all are served. Otherwise, the usual rates follow within minutes.
RATE_SMOOTHING = RateSmoothing(weight=SMOOTHING, served_share=0.9, unserved_weight=0.02)

# The lowest quota of a cold replica's weight, as shares of a total weight of 0 are undefined.
MIN_WARMUP_QUOTA = 1e-3


@dataclass(frozen=True, slots=True)
class PredictedLoad:
    """The load of a cold replica as last predicted, and the highest load that admits it."""

    requests_per_s: float
    limit_per_s: float

    @property
    def is_too_high(self) -> bool:
        """Whether the replica may not get requests."""
        return self.requests_per_s > self.limit_per_s


class WarmupAdmission:
    """Decides which cold replicas may get requests; owned by the policy instance."""

    def __init__(self, fleet: Fleet, locality: LocalityBalancer) -> None:
        """Create an instance that has no estimate of the replicas' capacity."""
        # Share of its weight that each cold replica gets, as the governors have agreed.
        self.quotas = dict[int, float]()
        self.predicted_loads = dict[int, PredictedLoad]()  # of cold replicas
        all_admitted = [1.0] * len(fleet.config.classes)
        self.admission = AdmissionForecast(current=all_admitted, highest=all_admitted)
        self._replicas = fleet.replicas
        self._rates = fleet.rates
        self._safety = fleet.config.safety
        self._loop = fleet.loop
        self._locality = locality
        self._capacity = CapacityEstimator(fleet, locality)

    def candidates(self) -> Candidates:
        """Return the open replicas with their weights, which slow start and quotas reduce."""
        return self._replicas.candidates(self.quotas, MIN_WARMUP_QUOTA)

    def on_period_elapsed(self) -> None:
        """Estimate the replicas' capacity from the reports of the period, and drop outdated predictions."""
        cold = self._replicas.open_cold()
        self.predicted_loads = {n: load for n, load in self.predicted_loads.items() if n in cold}
        self._capacity.observe(self._replicas.live(self.candidates()), self.admission)

    def review(self, cold: Set[int], calm_us: int) -> dict[int, HoldBackReason | None]:
        """Decide for these cold replicas together which are held back, and why.

        In an overload, which ended `calm_us` ago, a cold replica gets far more requests than its weight
        stands for, so it is held back.
        """
        waiting = {replica for replica in cold if self._waits_for_calm(replica, calm_us)}
        admitted = self.admissible(cold - waiting)
        reasons: dict[int, HoldBackReason | None] = dict.fromkeys(sorted(cold), HoldBackReason.LOAD)
        reasons |= dict.fromkeys(waiting, HoldBackReason.OVERLOAD)
        return reasons | dict.fromkeys(admitted)

    def _waits_for_calm(self, replica: int, calm_us: int) -> bool:
        reason = self._replicas.held_back.get(replica)
        is_held_back = reason not in (None, HoldBackReason.UNDECIDED)
        delay_us = READMISSION_DELAY_US if is_held_back else 1
        return calm_us < delay_us and self._replicas.has_warm_open()

    def admissible(self, cold: Set[int], readmitted: Collection[int] = ()) -> set[int]:
        """Return those of the cold replicas that may get requests at the same time.

        All others that are in use get requests too, and those that are `readmitted` with them. A replica
        that would be overloaded is left out, which adds to the load of the rest, until the rest is not
        overloaded, or none is left. Without an open warm replica all of them are admitted, as nothing else
        can serve.
        """
        admitted = set(cold)
        if not admitted or not self._replicas.has_warm_open():
            return admitted
        candidates = self.candidates()
        others = {n for n in candidates if n in readmitted or self._replicas.is_in_use(n)} - cold
        demand = self._rates.demand(self._replicas.zone_count)
        usual_demand = self._rates.usual_demand(self._replicas.zone_count)
        rates = self._rates.admitted_rates(usual_demand, self.admission.highest)
        capacity_per_s = self._capacity.capacity_per_s(demand)
        while admitted:
            live = {n: c for n, c in candidates.items() if n in others or n in admitted}
            loads = self._locality.predict_loads(live, demand.shares, rates)
            predicted = {n: PredictedLoad(loads[n], self._load_limit(n) * capacity_per_s) for n in admitted}
            self.predicted_loads |= predicted
            overloaded = {n for n, load in predicted.items() if load.is_too_high}
            if not overloaded:
                break
            admitted -= overloaded
        return admitted

    def _load_limit(self, replica: int) -> float:
        """Return the load that a cold replica may be sent now, as a multiple of the capacity of weight 1."""
        safety = self._safety
        state = self._replicas.states[replica]
        age = clamp((self._loop.now_us - state.endpoint.started_us) / max(1, safety.warmup_us), 0.0, 1.0)
        capacity_share = safety.warmup_start_capacity + (1 - safety.warmup_start_capacity) * age
        load_share = WITHDRAWAL_LOAD_SHARE if self._replicas.is_in_use(replica) else ADMISSION_LOAD_SHARE
        return load_share * safety.overload_multiple * capacity_share * state.weight
