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

# The design's limit: if more than this share of the load reports is missing, the weight update is skipped.
MAX_STALE_SHARE = 0.15

# A replica's load report counts as missing after this many report periods without one.
STALE_PERIODS = 3

# Above this saturation, the pool is overloaded, and cold replicas are held back. The load is then a fifth
# more than warm replicas can take.
OVERLOAD_SATURATION = 1.2

# A cold replica that is held back is readmitted after this time without an overload.
READMISSION_DELAY_US = 3 * SECOND

# Share of the recent requests that is kept each period. The sums thus cover some ten seconds, which shows the
# mix of request classes even if there are few requests.
REQUEST_DECAY = 0.9

# A replica that has been gone for this long is removed. No endpoint list flaps for so long. With 3,000
# replaced replicas kept, a step took 27 times as long.
RETENTION_US = 3600 * SECOND

# The lowest quota of a cold replica's weight, as shares of a total weight of 0 are undefined.
MIN_WARMUP_QUOTA = 1e-3


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
        # Share of its weight that each cold replica gets, as the governors have agreed.
        self.warmup_quotas = dict[int, float]()
        self.zone_tables = list[messages.Tables]()  # the last plan, by zone of the proxies

    def _replan(self) -> None:
        # All changes of a batch result in one plan.
        self.defer_once(messages.PlanDue())

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
            # A restarted replica is withdrawn first: if many restart at once, it would take too long to write
            # their low weights alone.
            is_held_back = self._update_held_back(state, is_restart=state.is_restart_of(old))
            availability = messages.Availability.DRAINING if is_held_back else state.availability
            # A new replica that is available needs no order, as its first line comes with the tables.
            if old is not None or availability is not messages.Availability.AVAILABLE:
                self._set_availability(state.endpoint.replica, availability)

    def _readmit_last_peers(self, state: messages.ReplicaState) -> None:
        # If the endpoint list takes the last open replicas of a class, ejected ones must serve it.
        for peers in [] if state.is_open else self.replicas.peers(state.endpoint):
            for replica in [] if any(peers.values()) else peers:
                self.replicas.send(replica, messages.Readmit())

    def _set_availability(self, replica: int, availability: messages.Availability) -> None:
        if availability is messages.Availability.AVAILABLE:
            self.replicas.readmission_pending.add(replica)
        self.loop.publish(messages.SetAvailability(replica, availability))

    def _update_held_back(self, state: messages.ReplicaState, is_restart: bool = False) -> bool:
        """Decide whether a cold replica is held back, and record and return the decision.

        While any warm replica is open, a cold one is held back when it has just restarted, when a class set
        that may use it has too little capacity, and during an overload; in the last case until the overload
        has been over for `READMISSION_DELAY_US`. In an overload, a cold replica gets far more requests than
        its weight stands for, and the first one of a class with few replicas gets all requests of the class.
        """
        replica = state.endpoint.replica
        reason = None
        if state.is_open and self.replicas.is_cold(replica) and self.replicas.has_warm_open():
            reason = self._hold_back_reason(state, is_restart)
        self.replicas.set_held_back(replica, reason)
        return reason is not None

    def _hold_back_reason(
        self, state: messages.ReplicaState, is_restart: bool
    ) -> messages.HoldBackReason | None:
        if is_restart:
            return messages.HoldBackReason.RESTARTED
        if self.replicas.has_capacity_shortage(state.endpoint):
            return messages.HoldBackReason.CAPACITY_SHORTAGE
        is_held_back = state.endpoint.replica in self.replicas.held_back
        is_calm = self.calm_us >= (READMISSION_DELAY_US if is_held_back else 1)
        return None if is_calm else messages.HoldBackReason.OVERLOAD

    def _on_replica_failing(self, failing: messages.ReplicaFailing) -> None:
        state = self.replicas.states.get(failing.replica)
        shares = failing.failure_share, failure_share(self.replicas.ready())
        if state and state.is_open and may_eject(*shares, self.replicas.peers(state.endpoint)):
            self.replicas.mark_ejecting(failing.replica)
            self.replicas.send(failing.replica, messages.Eject())

    def _on_replicas_readmitted(self, readmitted: messages.ReplicasReadmitted) -> None:
        self.replicas.readmission_pending.difference_update(readmitted.replicas)
        # One plan is made for all of them: a plan for each of a hundred replicas made a step take 1.3 s.
        self._on_plan_due(messages.PlanDue())
        # A readmitted replica's low weight is written together with the readmission, or it would get requests
        # by its full weight.
        self.fleet.write_replicas(readmitted.replicas)

    def _on_quotas_agreed(self, quotas: QuotasAgreed) -> None:
        self.locality.quotas = dict(quotas.zone_quotas)
        self.warmup_quotas = dict(quotas.warmup_quotas)
        self._replan()

    def _on_period_elapsed(self, period: messages.PeriodElapsed) -> None:
        self.replicas.send_all(period)
        # The assessment is deferred so that it follows the states that the replicas send now.
        self.defer_once(messages.PoolAssessmentDue())

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
        for replica, state in self.replicas.open().items():
            was_held_back = replica in self.replicas.held_back
            is_held_back = self._update_held_back(state)
            if was_held_back != is_held_back:
                self._set_availability(
                    replica,
                    messages.Availability.DRAINING if is_held_back else messages.Availability.AVAILABLE,
                )

    def _on_weight_step_due(self, _: messages.WeightStepDue) -> None:
        live = self.replicas.open()
        reported = {replica: state for replica, state in live.items() if state.reported_us}
        oldest_us = self.loop.now_us - STALE_PERIODS * self.period_us
        stale = {replica for replica, state in reported.items() if state.reported_us < oldest_us}
        if not reported or len(stale) > MAX_STALE_SHARE * len(reported):
            return
        utilization = relative_utilization(reported)
        average = mean_or_one(utilization.values())
        scale = 1 / (self.replicas.mean_weight() or 1.0)
        for zone in range(self.replicas.zone_count):
            members = self.replicas.open_by_zone(zone)
            mean = mean_or_zero([utilization[replica] for replica in members if replica in utilization])
            target = self.locality.target_utilization(zone, mean, average)
            for replica in members:
                error = target - utilization.get(replica, target)
                self.replicas.send(replica, messages.AdjustWeight(error, replica in stale, scale))
        self._replan()

    def _on_plan_due(self, _: messages.PlanDue) -> None:
        ready = self.replicas.candidates(self.warmup_quotas, MIN_WARMUP_QUOTA)
        # Replicas that are held back or still to be readmitted do not count as capacity. Otherwise, a zone
        # would keep traffic for all of its replicas, and the first ones readmitted would get all of it.
        live = self.replicas.live(ready)
        demand = self.fleet.rates.demand(self.replicas.zone_count)
        self.zone_tables = tables = self.locality.plan(ready, live, demand.shares)
        self.subsetting.set_widths(demand.group_loads)
        planned = list[messages.Tables]()
        for group, zone in enumerate(self.fleet.proxies.zones):
            planned.append(
                {class_set: self.subsetting.subset(table, group) for class_set, table in tables[zone].items()}
            )
        self.fleet.send_tables(planned, live, demand.proxy_zones)
