"""Estimate of the replicas' capacity: the requests per second that a warm replica can serve."""

from collections import deque
from collections.abc import Collection, Mapping
from statistics import median

from gradehoist.fleet_state import Candidates, Demand, Fleet
from gradehoist.messages import AdmissionForecast, ReplicaState
from gradehoist.policy.locality import LocalityBalancer
from gradehoist.policy.replica import SMOOTHING

# The capacity is the median of this many estimates, one for each report period.
ESTIMATES = 5

# The lowest busy share in an estimate, as the capacity of idle replicas is unknown.
MIN_BUSY_SHARE = 0.05


class CapacityEstimator:
    """Compares the load that the tables send to warm replicas with the busy shares that these report."""

    def __init__(self, fleet: Fleet, locality: LocalityBalancer) -> None:
        """Create an estimator without estimates."""
        self._replicas = fleet.replicas
        self._rates = fleet.rates
        self._has_busy_share = fleet.config.load_reporting.has_busy_share
        self._locality = locality
        self._loads = dict[int, float]()  # of warm replicas: smoothed requests per second
        self._estimates = deque[float](maxlen=ESTIMATES)

    def observe(self, live: Candidates, admission: AdmissionForecast) -> None:
        """Add an estimate for the report period that has ended; `live` are the replicas that get requests."""
        warm = {n: self._replicas.states[n] for n in live if self._is_observed(n)}
        measured = {n: state for n, state in warm.items() if self._is_measured(state)}
        # The first replicas to report may be outliers.
        if 2 * len(measured) <= len(warm):
            return
        demand = self._rates.demand(self._replicas.zone_count)
        rates = self._rates.admitted_rates(demand, admission.current)
        self._smooth_loads(warm.keys(), self._locality.predict_loads(live, demand.shares, rates))
        served = sum(self._loads[n] * state.totals.success_share for n, state in measured.items())
        used = sum(state.weight * max(MIN_BUSY_SHARE, _busy_share(state)) for state in measured.values())
        if served:
            self._estimates.append(served / used)

    def capacity_per_s(self, demand: Demand) -> float:
        """Return the requests per second that a warm replica of weight 1 can serve.

        Without estimates, the fleet is assumed to serve its demand with nothing to spare.
        """
        if self._estimates:
            return median(self._estimates)
        return demand.requests_per_s / sum(state.weight for state in self._replicas.open().values())

    def _is_observed(self, replica: int) -> bool:
        return replica not in self._replicas.unused and not self._replicas.is_cold(replica)

    def _is_measured(self, state: ReplicaState) -> bool:
        has_signal = state.busy_share is not None or not self._has_busy_share
        return state.reported_us > 0 and has_signal

    def _smooth_loads(self, warm: Collection[int], loads: Mapping[int, float]) -> None:
        # Busy shares are smoothed, so the loads have to lag behind a change in the same way.
        self._loads = {n: self._loads.get(n, loads[n]) for n in warm}
        for replica in warm:
            self._loads[replica] += SMOOTHING * (loads[replica] - self._loads[replica])


def _busy_share(state: ReplicaState) -> float:
    # In a fleet that reports no busy shares, replicas count as fully busy.
    return 1.0 if state.busy_share is None else state.busy_share
