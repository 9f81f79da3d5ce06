"""The pool of replicas: tracks the endpoint list, paces the control loop, and plans the tables."""

from gradehoist import messages
from gradehoist.actors import SECOND, Actor
from gradehoist.fleet_state import Fleet, ReplicaRetention, failure_share
from gradehoist.interface import EndpointsListed, QuotasAgreed
from gradehoist.numeric import clamp, mean_or_one, mean_or_zero
from gradehoist.policy.admission import measure_saturation
from gradehoist.policy.locality import LocalityBalancer
from gradehoist.policy.outlier import may_eject
from gradehoist.policy.replica import MAX_WEIGHT, MIN_WEIGHT, ReplicaController, relative_utilization
from gradehoist.policy.subsetting import Subsetting

MAX_STALE_SHARE = 0.15  # The design's limit: with more reports missing, the weight update is skipped.
STALE_PERIODS = 3  # Report periods without a load report after which it counts as missing.
OVERLOAD_SATURATION = 1.2  # Above it cold replicas are held back: a fifth more load than warm ones can take.
READMISSION_DELAY_US = 3 * SECOND  # Without overload, before a cold replica that is held back is readmitted.
REQUEST_DECAY = 0.9  # Per period: sums over some ten seconds show the mix of classes from few requests.
# Far longer than an endpoint list flaps. With 3,000 replaced replicas kept, a step took 27 times as long.
RETENTION_US = 3600 * SECOND
MIN_WARMUP_QUOTA = 1e-3  # Of a cold replica's weight: shares of a total weight of 0 are undefined.


class Pool(Actor):
    """All replicas of a policy, and the layers that plan their tables."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a pool without replicas."""
        super().__init__(fleet.loop)
        self.fleet = fleet
        self.replicas = fleet.replicas
        self.locality = LocalityBalancer(fleet.replicas)
        self.subsetting = Subsetting(fleet)
        self.retention = ReplicaRetention(fleet.loop, fleet.replicas, RETENTION_US, self._replan)
        self.period_us = fleet.config.load_reporting.period_us
        self.calm_us = 0  # time since the last overload
        self.warmup_quotas = dict[int, float]()  # by cold replica, as the governors have agreed

    def _replan(self) -> None:
        self.defer_once(messages.PlanDue())  # All changes of a batch are planned for at once.

    def _on_endpoints_listed(self, listed: EndpointsListed) -> None:
        changed = self.replicas.update_endpoints(listed)
        mean_size = self.replicas.mean_size()
        for endpoint in changed:
            if endpoint.replica not in self.replicas.actors:
                weight = clamp(endpoint.size / mean_size, MIN_WEIGHT, MAX_WEIGHT)
                state = messages.ReplicaState(endpoint, weight, self.period_us)
                self.replicas.add(ReplicaController(self.loop, state, self.fleet.config))
            self.replicas.send(endpoint.replica, messages.EndpointChanged(endpoint))

    def _on_replica_changed(self, changed: messages.ReplicaChanged) -> None:
        state = changed.state
        old = self.replicas.states.get(state.endpoint.replica)
        if self.replicas.update(state):
            self._readmit_last_peers(state)
            self._replan()
            self.retention.track(state)
            # Restarted replicas are withdrawn first: the low weights of many would take too long to write.
            is_held_back = self._update_held_back(state, is_restart=state.is_restart_of(old))
            availability = messages.Availability.DRAINING if is_held_back else state.availability
            if old is not None or availability is not messages.Availability.AVAILABLE:
                self._set_availability(state.endpoint.replica, availability)  # New ones come with the tables.

    def _readmit_last_peers(self, state: messages.ReplicaState) -> None:
        # If the endpoint list removes a class's last open replicas, ejected ones must serve it.
        for peers in [] if state.is_open else self.replicas.peers(state.endpoint):
            for n in [] if any(peers.values()) else peers:
                self.replicas.send(n, messages.Readmit())

    def _set_availability(self, n: int, availability: messages.Availability) -> None:
        if availability is messages.Availability.AVAILABLE:
            self.replicas.readmission_pending.add(n)
        self.loop.publish(messages.SetAvailability(n, availability))

    def _update_held_back(self, state: messages.ReplicaState, is_restart: bool = False) -> bool:
        # In an overload a cold replica gets more than its weight; the first one of a class gets all requests.
        n = state.endpoint.replica
        is_held_back = state.is_open and self.replicas.is_cold(n) and self.replicas.has_warm_open()
        if is_held_back and not is_restart and not self.replicas.has_capacity_shortage(state.endpoint):
            is_held_back = self.calm_us < (READMISSION_DELAY_US if n in self.replicas.held_back else 1)
        self.replicas.set_held_back(n, is_held_back)
        return is_held_back

    def _on_replica_failing(self, failing: messages.ReplicaFailing) -> None:
        state = self.replicas.states.get(failing.replica)
        shares = failing.failure_share, failure_share(self.replicas.ready())
        if state and state.is_open and may_eject(*shares, self.replicas.peers(state.endpoint)):
            self.replicas.mark_ejecting(failing.replica)
            self.replicas.send(failing.replica, messages.Eject())

    def _on_replicas_readmitted(self, readmitted: messages.ReplicasReadmitted) -> None:
        self.replicas.readmission_pending.difference_update(readmitted.replicas)
        self._on_plan_due(messages.PlanDue())  # Once for all: a hundred plans made a step take 1.3 s.
        self.fleet.write_replicas(readmitted.replicas)  # The low weight goes with the readmission.

    def _on_quotas_agreed(self, quotas: QuotasAgreed) -> None:
        self.locality.quotas = dict(quotas.zone_quotas)
        self.warmup_quotas = dict(quotas.warmup_quotas)
        self._replan()

    def _on_period_elapsed(self, period: messages.PeriodElapsed) -> None:
        self.replicas.send_all(period)
        self.defer_once(messages.PoolAssessmentDue())  # It follows the states that the replicas send now.

    def _on_pool_assessment_due(self, _: messages.PoolAssessmentDue) -> None:
        self.period_us = self.replicas.median_period_us(self.fleet.config.load_reporting.period_us)
        in_use = self.replicas.in_use()
        pool_saturation = measure_saturation(in_use, self.fleet.latency_objective_us)
        is_calm = pool_saturation <= OVERLOAD_SATURATION and any(state.totals.attempts for state in in_use)
        self.calm_us = self.calm_us + self.period_us if is_calm else 0
        self._review_held_back()
        assessed = messages.PoolAssessed(
            saturation=pool_saturation,
            success_share=1 - failure_share(in_use),
            requests=self.fleet.rates.take_recent_requests(REQUEST_DECAY),
            period_us=self.period_us,
            is_subsetting=self.subsetting.size < len(self.replicas.actors),
        )
        self.loop.publish(assessed)
        for zone in range(self.replicas.zone_count):
            members = [state for state in in_use if state.endpoint.zone == zone]
            self.locality.set_saturation(zone, measure_saturation(members, self.fleet.latency_objective_us))
        self._replan()

    def _review_held_back(self) -> None:
        for n, state in self.replicas.open().items():
            was_held_back = n in self.replicas.held_back
            is_held_back = self._update_held_back(state)
            if was_held_back != is_held_back:
                self._set_availability(
                    n, messages.Availability.DRAINING if is_held_back else messages.Availability.AVAILABLE
                )

    def _on_weight_step_due(self, _: messages.WeightStepDue) -> None:
        live = self.replicas.open()
        reported = {n: state for n, state in live.items() if state.reported_us}
        oldest_us = self.loop.now_us - STALE_PERIODS * self.period_us
        stale = {n for n, state in reported.items() if state.reported_us < oldest_us}
        if not reported or len(stale) > MAX_STALE_SHARE * len(reported):
            return
        utilization = relative_utilization(reported)
        average = mean_or_one(utilization.values())
        scale = 1 / (self.replicas.mean_weight() or 1.0)
        for zone in range(self.replicas.zone_count):
            members = self.replicas.open_by_zone(zone)
            mean = mean_or_zero([utilization[n] for n in members if n in utilization])
            target = self.locality.target_utilization(zone, mean, average)
            for n in members:
                error = target - utilization.get(n, target)
                self.replicas.send(n, messages.AdjustWeight(error, n in stale, scale))
        self._replan()

    def _on_plan_due(self, _: messages.PlanDue) -> None:
        ready = self.replicas.candidates(self.warmup_quotas, MIN_WARMUP_QUOTA)
        # Replicas held back are no capacity yet, or the first ones readmitted would get the load of all.
        live = self.replicas.live(ready)
        demand = self.fleet.rates.demand(self.replicas.zone_count)
        tables = self.locality.plan(ready, live, demand.shares)
        self.subsetting.set_widths(demand.group_loads)
        planned = list[messages.Tables]()
        for group, zone in enumerate(self.fleet.proxies.zones):
            planned.append({k: self.subsetting.subset(t, group) for k, t in tables[zone].items()})
        self.fleet.send_tables(planned, live, demand.proxy_zones)
