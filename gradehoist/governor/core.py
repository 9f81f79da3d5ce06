"""The state machine of one governor, which does no I/O.

Its inputs are polls, load reports, endpoint lists, health checks and the time; its outputs are answers to
polls and log events. The caller runs the policies: `take_batches` returns their pending events, and
`apply_replies` takes their orders. All times are integer microseconds of one monotonic clock.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gradehoist.governor.cell_stats import CellStats
from gradehoist.governor.core_state import make_core_state, make_policy_configs, slot_us
from gradehoist.governor.endpoint_events import EndpointEvents, ListChange
from gradehoist.governor.order_log import log_order
from gradehoist.governor.policy_instances import PolicyBatch, PolicyReply
from gradehoist.governor.proxy_sessions import FeedPoll, ProxySessions
from gradehoist.governor.proxy_streams import ProxyStream
from gradehoist.governor.stream_monitor import StreamMonitor
from gradehoist.interface import (
    AttemptsReported,
    CheckHealth,
    HealthChecked,
    HealthCheckOutcome,
    LoadReport,
    LogRemark,
    Order,
    QuotasAgreed,
    RequestAcknowledgement,
    RequestEndpoints,
    SetTimer,
    SubscribeEndpoints,
    TimerFired,
)
from gradehoist.protocol.feed import EndpointListUpdate, EndpointRecord, PollResponse, ProxyLoadReport
from gradehoist.settings.fleet import FleetSettings, GovernorSettings


@dataclass(frozen=True, slots=True, order=True)
class _Timer:
    """A timer of a policy; timers that are due at the same time fire in the order of policy and token."""

    due_us: int
    policy: int
    token: int


class GovernorCore:
    """The state of one governor. The service calls `advance` at the time that `next_due_us` returns.

    Attributes:
        epoch: identifier of this run of the governor.
        slot_us: length of a publishing time slot; 0 without cells.
        has_urgent_change: whether a list update reported a replica as draining or gone, which must not wait
            for the slot; the service clears it.
        endpoints_subscribed: whether the policies want each change of the endpoint list.
        endpoints_requested: whether the policies want the complete list.
        pending_health_checks: replicas to check; the service clears it.
        log: events that have not been written yet.
    """

    def __init__(self, fleet: FleetSettings, settings: GovernorSettings, epoch: str, now_us: int) -> None:
        """Creates the state of a governor that has just started and has no state of an earlier run."""
        state = make_core_state(fleet, epoch, now_us)
        self.fleet = fleet
        self.epoch = epoch
        self.log = state.log
        self.identifiers = state.identifiers
        self.policies = state.policies
        self.publisher = state.publisher
        self.endpoint_list = state.endpoint_list
        self.load_reports = state.load_reports
        self.policy_configs = make_policy_configs(fleet, state.identifiers, settings.seed)
        self.slot_us = slot_us(fleet)
        placement = fleet.placement
        self.cell_stats = CellStats(placement.cells, placement.cell_by_replica) if placement else None
        self.has_urgent_change = False
        self.endpoints_subscribed = not fleet.load_reporting.must_subscribe
        self.endpoints_requested = False
        self.pending_health_checks: list[int] = []
        self._sessions = ProxySessions(state)
        self._endpoint_events = EndpointEvents(state)
        self._monitor = StreamMonitor(state, self.remove_proxy, now_us)
        self._timers: list[_Timer] = []

    @property
    def streams(self) -> Mapping[int, ProxyStream]:
        """The streams of the connected proxies, by proxy."""
        return self.publisher.streams

    # Proxies

    def handle_poll(self, now_us: int, poll: FeedPoll) -> PollResponse | None:
        """Returns the answer to a poll, or None while there are no messages for the proxy.

        Raises:
            RequestRejectedError: this governor can't serve the proxy.
        """
        return self._sessions.handle_poll(now_us, poll)

    def remove_proxy(self, proxy: int, reason: str, stream_number: int | None = None) -> None:
        """Ends a proxy's stream; with `stream_number`, only if the proxy has not rejoined since."""
        self._sessions.remove_proxy(proxy, reason, stream_number)

    def handle_load_report(self, report: ProxyLoadReport) -> None:
        """Accepts a proxy's load report.

        Raises:
            RequestRejectedError: the proxy has no stream of this epoch, or the report is invalid. None of the
                report has been used.
        """
        self._sessions.handle_load_report(report)
        if self.cell_stats:
            self.cell_stats.add(report)

    # The endpoint list and health checks

    def handle_endpoint_list(self, now_us: int, update: EndpointListUpdate) -> bool:
        """Applies an update of the endpoint list; returns False if it contains no change.

        Raises:
            EndpointListGapError: the update does not follow the known version; request the complete list.
            InconsistentEndpointListError: the update contradicts the known list.
        """
        change = self._endpoint_events.apply(now_us, update)
        if change is ListChange.URGENT:
            self.has_urgent_change = True
        return change is not ListChange.NONE

    def load_cached_endpoints(self, now_us: int, records: tuple[EndpointRecord, ...]) -> None:
        """Loads a list that an earlier run persisted."""
        self._endpoint_events.load_cached(now_us, records)

    def handle_endpoint_request_failed(self) -> None:
        """Notifies the policies that the requested list could not be obtained."""
        self._endpoint_events.report_failure()

    def handle_health_check(
        self, replica: int, outcome: HealthCheckOutcome, elapsed_us: int, load: LoadReport | None
    ) -> None:
        """Passes the outcome of a health check, with the load that the replica reported, to its policies."""
        event = HealthChecked(replica=replica, outcome=outcome, elapsed_us=elapsed_us, load=load)
        self.policies.send_to_owner(self.identifiers.replicas.names[replica], event)

    # Decisions of the whole fleet

    def set_quotas(
        self,
        zone_quotas: Mapping[str, float],
        warmup_quotas: Mapping[str, float],
        admission_limits: Mapping[str, float],
    ) -> None:
        """Gives the policies all quotas that the fleet agreed on; unknown names are skipped."""
        zones = self.identifiers.zones
        replicas = self.identifiers.replicas
        class_names = [request_class.name for request_class in self.fleet.classes]
        event = QuotasAgreed(
            zone_quotas=tuple((zones[z], quota) for z, quota in zone_quotas.items() if z in zones),
            warmup_quotas=tuple((replicas[r], quota) for r, quota in warmup_quotas.items() if r in replicas),
            admission_limits=tuple(
                (class_names.index(c), limit) for c, limit in admission_limits.items() if c in class_names
            ),
        )
        self.policies.broadcast(event)

    def warming_up_replicas(self, now_us: int) -> tuple[str, ...]:
        """Returns the sorted names of the replicas that are listed as ready and still warming up."""
        started_us = self.endpoint_list.start_times_us()
        warm_since_us = max(0, now_us - self.fleet.safety.warmup_us)
        return tuple(
            sorted(
                replica
                for replica, endpoint in self.endpoint_list.endpoints.items()
                if endpoint.phase == "ready" and started_us.get(replica, 0) > warm_since_us
            )
        )

    def is_acknowledged(self, since_us: int) -> bool:
        """Returns whether no events are pending and every order given up to `since_us` is acknowledged."""
        if self.has_pending_events:
            return False
        return not any(
            stream.pending and stream.pending[0].ordered_us <= since_us for stream in self.streams.values()
        )

    def handle_migration(self, tenant: str, cell: str, generation: int) -> None:
        """Opens a tenant in a cell, or closes the tenant if the cell is empty."""
        if self.publisher.migrate_tenant(tenant, cell, generation):
            self.log.info(
                "tenant_migrated" if cell else "tenant_closed",
                tenant=tenant,
                cell=cell,
                generation=generation,
                reason="an assignment of the migration runner",
            )

    # Time

    def advance(self, now_us: int) -> set[int]:
        """Processes everything that is due; returns the proxies whose poll can now be answered."""
        self.publisher.send_resyncs(now_us)
        self._monitor.advance(now_us)
        ready = self.publisher.take_released(now_us)
        self._fire_timers(now_us)
        for report in self.load_reports.take_due(now_us):
            if isinstance(report, AttemptsReported):
                self.policies.send_to_owner(self.identifiers.replicas.names[report.replica], report)
            else:
                self.policies.send_offered(report)
        return ready

    def next_due_us(self) -> int:
        """Returns when `advance` has to be called next."""
        due_us = self.load_reports.next_due_us()
        if self._timers:
            due_us = min(due_us, self._timers[0].due_us)
        release_us = self.publisher.channel.next_release_us()
        return due_us if release_us is None else min(due_us, release_us)

    # Policies

    @property
    def has_pending_events(self) -> bool:
        """Whether any policy has pending events."""
        return self.policies.has_pending_events

    def take_batches(self, urgent_only: bool = False) -> list[PolicyBatch]:
        """Removes and returns the pending events; with `urgent_only`, only of policies with a list update."""
        return self.policies.take_batches(urgent_only)

    def apply_replies(self, now_us: int, replies: Iterable[PolicyReply]) -> None:
        """Applies the orders that the policies gave at one time; sends those that need no slot."""
        self.publisher.begin_replies()
        for reply in replies:
            self._apply_reply(now_us, reply)
        self.publisher.finish_replies(now_us)

    def publish_slot(self, now_us: int, is_continuation: bool = False) -> bool:
        """Sends the messages of a time slot; returns True if it has to be called again as a continuation."""
        return self.publisher.publish_slot(
            now_us,
            replica_count=len(self.endpoint_list.endpoints),
            is_continuation=is_continuation,
        )

    def _fire_timers(self, now_us: int) -> None:
        while self._timers and self._timers[0].due_us <= now_us:
            timer = heapq.heappop(self._timers)
            self.policies[timer.policy].events.append(TimerFired(timer.token))

    def _apply_reply(self, now_us: int, reply: PolicyReply) -> None:
        policy = self.policies[reply.policy]
        request: RequestAcknowledgement | None = None
        for position, order in enumerate(reply.orders):
            if isinstance(order, RequestAcknowledgement):
                request = order
            elif not self._apply_local(now_us, reply.policy, order):
                global_order = policy.to_global(order)
                if self.publisher.apply(reply.policy, global_order):
                    reason = reply.reasons.get(position, "")
                    log_order(self.log, self.identifiers, global_order, reason)
        self.publisher.finish_reply(reply.policy, request, now_us)

    def _apply_local(self, now_us: int, policy: int, order: Order) -> bool:
        """Applies an order that affects only this governor; returns False if proxies have to be sent it."""
        match order:
            case CheckHealth(replica=replica):
                self.pending_health_checks.append(replica)
            case SetTimer(token=token, delay_us=delay_us):
                heapq.heappush(self._timers, _Timer(now_us + delay_us, policy, token))
            case SubscribeEndpoints(subscribed=subscribed):
                self.endpoints_subscribed = subscribed
            case RequestEndpoints():
                self.endpoints_requested = True
            case LogRemark(text=text):
                self.log.info("policy_remarked", reason=text)
            case _:
                return False
        return True
