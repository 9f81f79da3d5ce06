"""The pool of replicas: tracks the endpoint list, paces the control loop, and plans the tables."""

from gradehoist import messages
from gradehoist.actors import SECOND, Actor
from gradehoist.fleet_state import Fleet, ReplicaRetention, failure_share
from gradehoist.interface import EndpointsListed, QuotasAgreed
from gradehoist.messages import HoldBackReason
from gradehoist.numeric import clamp, mean_or_one, mean_or_zero
from gradehoist.policy.admission import measure_saturation
from gradehoist.policy.locality import LocalityBalancer
from gradehoist.policy.outlier import may_eject
from gradehoist.policy.replica import MAX_WEIGHT, MIN_WEIGHT, ReplicaController, relative_utilization
from gradehoist.policy.subsetting import Subsetting
from gradehoist.policy.warmup import WarmupAdmission

# The design's limit: if more than this share of the load reports is missing, the weight update is skipped.
MAX_STALE_SHARE = 0.15

# A replica's load report counts as missing after this many report periods without one.
STALE_PERIODS = 3

# Above this saturation, the pool is overloaded, and cold replicas are held back. The load is then a fifth
# more than warm replicas can take.
OVERLOAD_SATURATION = 1.2

# Share of the recent requests that is kept each period. The sums thus cover some ten seconds, which shows the
# mix of request classes even if there are few requests.
REQUEST_DECAY = 0.9

# A replica that has been gone for this long is removed. No endpoint list flaps for so long. With 3,000
# replaced replicas kept, a step took 27 times as long.
RETENTION_US = 3600 * SECOND

# The state of replicas that get requests, or whose decision in this batch is still due.
NOT_HELD_BEFORE = (None, HoldBackReason.UNDECIDED)


class Pool(Actor):
    """All replicas of a policy, and the layers that plan their tables."""

    def __init__(self, fleet: Fleet, locality: LocalityBalancer, warmup: WarmupAdmission) -> None:
        """Create a pool without replicas."""
        super().__init__(fleet.loop)
        self.fleet = fleet
        self.replicas = fleet.replicas
        self.locality = locality
        self.warmup = warmup
        self.subsetting = Subsetting(fleet)
        self.retention = ReplicaRetention(fleet.loop, fleet.replicas, RETENTION_US, self._replan)
        self.period_us = fleet.config.load_reporting.period_us
        self.calm_us = 0  # time since the last overload
        # Replicas that started later were still cold at the last assessment.
        self.assessed_warm_since_us = self.replicas.warm_since_us()
        # Cold replicas that this batch lists for the first time.
        self.new_replicas = set[int]()
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
        replica = state.endpoint.replica
        old = self.replicas.states.get(replica)
        if not self.replicas.update(state):
            return
        self._readmit_last_peers(state)
        self.retention.track(state)
        if state.is_open and self.replicas.is_cold(replica):
            self._hold_until_decided(state, old)
        else:
            self.replicas.set_held_back(replica, None)
            # A new replica that is available needs no order, as its first line comes with the tables.
            if old is not None or state.availability is not messages.Availability.AVAILABLE:
                self._set_availability(replica, state.availability)
        # Cold replicas that get requests get more of them if others leave, so these are reviewed as well.
        self.defer_once(messages.ColdReplicasDue())
        self._replan()

    def _hold_until_decided(self, state: messages.ReplicaState, old: messages.ReplicaState | None) -> None:
        replica = state.endpoint.replica
        if old is None:
            self.new_replicas.add(replica)
        if state.is_restart_of(old) and self.replicas.has_warm_open():
            # A restarted replica is withdrawn first: if many restart at once, it would take too long to write
            # their low weights alone.
            self.new_replicas.discard(replica)
            self.replicas.set_held_back(replica, HoldBackReason.RESTARTED)
            self._set_availability(replica, messages.Availability.DRAINING)
        else:
            self.replicas.set_held_back(replica, HoldBackReason.UNDECIDED)

    def _on_cold_replicas_due(self, _: messages.ColdReplicasDue) -> None:
        """Decide which cold replicas of this batch get requests; those that were held back before stay so."""
        undecided = {n for n, reason in self.replicas.held_back.items() if reason is HoldBackReason.UNDECIDED}
        cold = self.replicas.open_cold()
        self._review_cold({n for n in cold if n in undecided or self.replicas.is_in_use(n)})
        self.new_replicas.clear()

    def _readmit_last_peers(self, state: messages.ReplicaState) -> None:
        # If the endpoint list takes the last open replicas of a class, ejected ones must serve it.
        for peers in [] if state.is_open else self.replicas.peers(state.endpoint):
            for replica in [] if any(peers.values()) else peers:
                self.replicas.send(replica, messages.Readmit())

    def _readmit_last_warm(self) -> None:
        # An ejected replica that has just warmed up may be the only warm one of a class, which must serve it.
        warm_since_us = self.replicas.warm_since_us()
        for state in self.replicas.ready():
            if state.is_ejected and self.assessed_warm_since_us < state.endpoint.started_us <= warm_since_us:
                self._readmit_last_peers(state)
        self.assessed_warm_since_us = warm_since_us

    def _set_availability(self, replica: int, availability: messages.Availability) -> None:
        if availability is messages.Availability.AVAILABLE:
            self.replicas.readmission_pending.add(replica)
        self.loop.publish(messages.SetAvailability(replica, availability))

    def _review_cold(self, cold: set[int]) -> None:
        for replica, reason in self.warmup.review(cold, self.calm_us).items():
            self._set_held_back(replica, reason)

    def _set_held_back(self, replica: int, reason: HoldBackReason | None) -> None:
        old_reason = self.replicas.held_back.get(replica)
        self.replicas.set_held_back(replica, reason)
        if reason is not None and old_reason in NOT_HELD_BEFORE:
            self._set_availability(replica, messages.Availability.DRAINING)
        # The first line of a new replica comes with the tables, and needs no order.
        if reason is None and old_reason is not None and replica not in self.new_replicas:
            self._set_availability(replica, messages.Availability.AVAILABLE)
        self._replan()

    def _on_readmissions_rejected(self, rejected: messages.ReadmissionsRejected) -> None:
        for replica in rejected.replicas & self.replicas.open_cold():
            self._set_held_back(replica, HoldBackReason.LOAD)

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
        self.warmup.quotas = dict(quotas.warmup_quotas)
        self._replan()

    def _on_admission_forecast(self, forecast: messages.AdmissionForecast) -> None:
        self.warmup.admission = forecast

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
        self.warmup.on_period_elapsed()
        self._review_held_back()
        self._readmit_last_warm()
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
        for replica in [n for n in self.replicas.held_back if not self.replicas.is_cold(n)]:
            self._set_held_back(replica, None)
        self._review_cold(self.replicas.open_cold())

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
        # Replicas that are held back or still to be readmitted do not count as capacity. Otherwise, a zone
        # would keep traffic for all of its replicas, and the first ones readmitted would get all of it.
        live = self.replicas.live(self.warmup.candidates())
        demand = self.fleet.rates.demand(self.replicas.zone_count)
        self.zone_tables = tables = self.locality.plan(live, demand.shares)
        self.subsetting.set_widths(demand.group_loads)
        planned = list[messages.Tables]()
        for group, zone in enumerate(self.fleet.proxies.zones):
            planned.append(
                {class_set: self.subsetting.subset(table, group) for class_set, table in tables[zone].items()}
            )
        self.fleet.send_tables(planned, live, demand.proxy_zones)
