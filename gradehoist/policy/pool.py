"""The pool of replicas: follows the endpoint list, paces the control loop, and has tables planned."""

from gradehoist import messages
from gradehoist.actors import SECOND, Actor
from gradehoist.fleet_state import Fleet, ReplicaRetention, failure_share
from gradehoist.interface import EndpointsListed, QuotasAgreed
from gradehoist.numeric import clamp, mean_or_one, mean_or_zero
from gradehoist.policy.admission import stress
from gradehoist.policy.locality import Locality
from gradehoist.policy.outlier import may_eject
from gradehoist.policy.replica import MAX_WEIGHT, MIN_WEIGHT, Replica, relative_utilization
from gradehoist.policy.subsetting import Subsetting

MAX_MISSING = 0.15  # the design's share of missing reports that skips an update
STALE_PERIODS = 3  # without a report, after which a replica counts as missing
OVERLOAD = 1.2  # stress from which cold replicas wait: a fifth more than their like can do
CALM = 3 * SECOND  # without overload before a cold replica that waits is readmitted
RECENT = 0.9  # of requests, kept each period: some ten seconds' sums, by which a few tell classes apart
FORGET = 3600 * SECOND  # long past any flapping list: 3,000 replaced replicas made a step 27 times as long
MIN_QUOTA = 1e-3  # of a cold replica's weight: weights of nothing have no shares


class Pool(Actor):
    """All replicas of a policy, and the layers that plan tables of them."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a pool without replicas."""
        super().__init__(fleet.loop)
        self.fleet = fleet
        self.replicas = fleet.replicas
        self.locality = Locality(fleet.replicas)
        self.subsetting = Subsetting(fleet)
        self.retention = ReplicaRetention(fleet.loop, fleet.replicas, FORGET, self._replan)
        self.period_us = fleet.config.load_reporting.period_us
        self.calm_us = 0  # time since the last overload
        self.warmup_quotas = dict[int, float]()  # agreed by the fleet, by cold replica

    def _replan(self) -> None:
        self.defer_once(messages.PlanDue())  # once for all that a batch brings

    def _on_endpoints_listed(self, listed: EndpointsListed) -> None:
        changed = self.replicas.update_endpoints(listed)
        mean_size = self.replicas.mean_size()
        for endpoint in changed:
            if endpoint.replica not in self.replicas.actors:
                weight = clamp(endpoint.size / mean_size, MIN_WEIGHT, MAX_WEIGHT)
                state = messages.ReplicaState(endpoint, weight, self.period_us)
                self.replicas.add(Replica(self.loop, state, self.fleet.config))
            self.replicas.send(endpoint.replica, messages.EndpointChanged(endpoint))

    def _on_replica_changed(self, changed: messages.ReplicaChanged) -> None:
        state = changed.state
        old = self.replicas.states.get(state.endpoint.replica)
        if self.replicas.update(state):
            self._readmit_last_peers(state)
            self._replan()
            self.retention.follow(state)
            # Many restarted at once are withdrawn first: their low lines alone would take too long.
            must_wait = self._must_wait(state, is_restart=state.is_restart_of(old))
            availability = messages.Availability.DRAINING if must_wait else state.availability
            if old is not None or availability is not messages.Availability.AVAILABLE:
                self._set(state.endpoint.replica, availability)  # else a first line comes with the tables

    def _readmit_last_peers(self, state: messages.ReplicaState) -> None:
        # Ejection must not leave a class without an open replica once the list takes the others.
        for peers in [] if state.is_open else self.replicas.peers(state.endpoint):
            for n in [] if any(peers.values()) else peers:
                self.replicas.send(n, messages.Readmit())

    def _set(self, n: int, availability: messages.Availability) -> None:
        if availability is messages.Availability.AVAILABLE:
            self.replicas.returning.add(n)
        self.loop.publish(messages.SetAvailability(n, availability))

    def _must_wait(self, state: messages.ReplicaState, is_restart: bool = False) -> bool:
        # In an overload a cold one gets far more than its weight, the first of a class with few all of it.
        n = state.endpoint.replica
        must_wait = state.is_open and self.replicas.is_cold(n) and self.replicas.has_warm_open()
        if must_wait and not is_restart and not self.replicas.is_scarce(state.endpoint):
            must_wait = self.calm_us < (CALM if n in self.replicas.held_back else 1)
        self.replicas.set_waiting(n, must_wait)
        return must_wait

    def _on_replica_failing(self, failing: messages.ReplicaFailing) -> None:
        state = self.replicas.states.get(failing.replica)
        shares = failing.failure_share, failure_share(self.replicas.ready())
        if state and state.is_open and may_eject(*shares, self.replicas.peers(state.endpoint)):
            self.replicas.mark_ejecting(failing.replica)
            self.replicas.send(failing.replica, messages.Eject())

    def _on_replicas_readmitted(self, readmitted: messages.ReplicasReadmitted) -> None:
        self.replicas.returning.difference_update(readmitted.replicas)
        self._on_plan_due(messages.PlanDue())  # once: a hundred that came back at a time were a step of 1.3 s
        self.fleet.write_replicas(readmitted.replicas)  # low, with their return, not at full weight

    def _on_quotas_agreed(self, quotas: QuotasAgreed) -> None:
        self.locality.quotas = dict(quotas.zone_quotas)
        self.warmup_quotas = dict(quotas.warmup_quotas)
        self._replan()

    def _on_period_elapsed(self, period: messages.PeriodElapsed) -> None:
        self.replicas.send_all(period)
        self.defer_once(messages.PoolAssessmentDue())  # behind the states that the replicas send now

    def _on_pool_assessment_due(self, _: messages.PoolAssessmentDue) -> None:
        self.period_us = self.replicas.median_period_us(self.fleet.config.load_reporting.period_us)
        named = self.replicas.named()
        pool_stress = stress(named, self.fleet.latency_objective_us)
        is_calm = pool_stress <= OVERLOAD and any(state.totals.attempts for state in named)
        self.calm_us = self.calm_us + self.period_us if is_calm else 0
        self._review_waiting()
        assessed = messages.PoolAssessed(
            stress=pool_stress,
            success_share=1 - failure_share(named),
            requests=self.fleet.rates.take_recent(RECENT),
            period_us=self.period_us,
            is_subsetting=self.subsetting.size < len(self.replicas.actors),
        )
        self.loop.publish(assessed)
        for zone in range(self.replicas.zone_count):
            members = [state for state in named if state.endpoint.zone == zone]
            self.locality.set_stress(zone, stress(members, self.fleet.latency_objective_us))
        self._replan()

    def _review_waiting(self) -> None:
        for n, state in self.replicas.open().items():
            has_waited = n in self.replicas.held_back
            must_wait = self._must_wait(state)
            if has_waited != must_wait:
                self._set(n, messages.Availability.DRAINING if must_wait else messages.Availability.AVAILABLE)

    def _on_weight_step_due(self, _: messages.WeightStepDue) -> None:
        live = self.replicas.open()
        reported = {n: state for n, state in live.items() if state.reported_us}
        oldest_us = self.loop.now_us - STALE_PERIODS * self.period_us
        stale = {n for n, state in reported.items() if state.reported_us < oldest_us}
        if not reported or len(stale) > MAX_MISSING * len(reported):
            return
        utilization = relative_utilization(reported)
        average = mean_or_one(utilization.values())
        scale = 1 / (self.replicas.mean_weight() or 1.0)
        for zone in range(self.replicas.zone_count):
            members = self.replicas.open_by_zone(zone)
            mean = mean_or_zero([utilization[n] for n in members if n in utilization])
            target = self.locality.target(zone, mean, average)
            for n in members:
                error = target - utilization.get(n, target)
                self.replicas.send(n, messages.AdjustWeight(error, n in stale, scale))
        self._replan()

    def _on_plan_due(self, _: messages.PlanDue) -> None:
        ready = self.replicas.candidates(self.warmup_quotas, MIN_QUOTA)
        # Those that wait are no capacity yet: a zone's first ones back would get what it keeps for all.
        live = self.replicas.live(ready)
        demand = self.fleet.rates.demand(self.replicas.zone_count)
        tables = self.locality.plan(ready, live, demand.shares)
        self.subsetting.set_widths(demand.group_loads)
        planned = list[messages.Tables]()
        for group, zone in enumerate(self.fleet.proxies.zones):
            planned.append({k: self.subsetting.subset(t, group) for k, t in tables[zone].items()})
        self.fleet.send_tables(planned, live, demand.proxy_zones)
