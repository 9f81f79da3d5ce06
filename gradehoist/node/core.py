"""The node's logic without I/O.

Its input is events from streams, discovery and health checks; its output is messages, health checks to start
and log lines. The core passes the events to the policy and carries out the policy's orders immediately: the
platform's channel paces the messages, and the policy tracks the channel's limits. Times are integer
microseconds of a Unix time that never steps backwards.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable

from gradehoist.governor.order_reasons import explain_hold_back, explain_order
from gradehoist.governor.tables import PublishedTables
from gradehoist.identifiers import Identifiers
from gradehoist.interface import (
    AttemptsReported,
    BindProxy,
    CheckHealth,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    HealthChecked,
    HealthCheckOutcome,
    LoadReport,
    LogRemark,
    Order,
    PolicyConfig,
    ProxyJoined,
    ProxyLeft,
    RequestAcknowledgement,
    RequestEndpoints,
    RequestsOffered,
    SetAdmission,
    SetTimer,
    SubscribeEndpoints,
    TimerFired,
    UpdateAcknowledged,
    WithdrawReplica,
)
from gradehoist.messages import HoldBackReason
from gradehoist.node.discovery import EndpointListUpdate
from gradehoist.node.endpoint_list import NO_WATCH, EndpointList, ListedEndpoint
from gradehoist.node.errors import NodeError
from gradehoist.node.malformed_input import MalformedInputCounts
from gradehoist.node.proxy_streams import ProxyStreams
from gradehoist.node.push_batch import OutboundMessage, PushBatch, TableOrder
from gradehoist.node.trace import PolicyTrace
from gradehoist.policy.planner import Planner
from gradehoist.protocol import lines
from gradehoist.settings import platform


class JoinRejectedError(NodeError):
    """A proxy's hello names a proxy or zone that does not exist. The message is sent to the peer."""


class NodeCore:
    """The state of one node.

    After each `advance` the caller takes the contents of `outbound`, `due_health_checks` and `log_lines`.
    """

    def __init__(
        self,
        identifiers: Identifiers,
        policy_config: PolicyConfig,
        cached_endpoints: EndpointListUpdate,
        now_us: int,
        is_traced: bool = False,
    ) -> None:
        """Starts the policy with the cached endpoint list."""
        self.identifiers = identifiers
        self.policy_config = policy_config
        self.policy = Planner(policy_config, now_us)
        self.tables = PublishedTables(identifiers, policy_config.channel.message_overhead_lines)
        self.streams = ProxyStreams(now_us)
        self.endpoint_list = EndpointList()
        self.malformed = MalformedInputCounts()
        self.pending_events: list[Event] = []
        self.outbound: list[OutboundMessage] = []
        self.due_health_checks: list[int] = []
        self.log_lines: list[str] = []
        self._replica_zones: dict[str, str] = {}  # by replica: its last zone that is in the settings
        self._timers: list[tuple[int, int]] = []  # heap of (due time, token)
        self._logged_hold_backs: dict[int, HoldBackReason] = {}
        self._trace = PolicyTrace(identifiers) if is_traced else None
        cached = self.endpoint_list.apply_update(cached_endpoints) or ()
        self.pending_events.append(EndpointsListed(EndpointListKind.CACHED, self._endpoints(cached)))

    # Events

    def on_endpoint_update(self, update: EndpointListUpdate, watch_id: int = NO_WATCH) -> None:
        """Handles an update from a watch. Watches opened later have higher ids."""
        known = dict(self.endpoint_list.endpoints)
        changed = self.endpoint_list.apply_update(update, watch_id)
        if changed is None:
            return
        # Only the drains of an outdated snapshot are reported: replicas missing from it are not gone.
        is_snapshot = update.is_snapshot and update.revision == self.endpoint_list.revision
        kind = EndpointListKind.SNAPSHOT if is_snapshot else EndpointListKind.DELTA
        self.pending_events.append(EndpointsListed(kind, self._endpoints(changed)))
        for endpoint in changed:
            self._log_transition(known.get(endpoint.replica), endpoint)

    def _log_transition(self, before: ListedEndpoint | None, endpoint: ListedEndpoint) -> None:
        is_same_incarnation = before is not None and before.started_us == endpoint.started_us
        if before is not None and is_same_incarnation and before.phase is endpoint.phase:
            return
        self.log_lines.append(
            f"endpoint {endpoint.replica} {endpoint.phase.value}, zone {endpoint.zone}, "
            f"started_us {endpoint.started_us}"
        )

    def _endpoints(self, listed: Iterable[ListedEndpoint]) -> tuple[Endpoint, ...]:
        endpoints = (self._endpoint(endpoint) for endpoint in listed)
        return tuple([endpoint for endpoint in endpoints if endpoint is not None])

    def _endpoint(self, listed: ListedEndpoint) -> Endpoint | None:
        zone = listed.zone
        if zone not in self.identifiers.zones:
            self.malformed.add("endpoint", f"zone {zone!r} is not in the settings")
            # An unknown zone must not hide the drain or exit of a replica that was listed before in a zone of
            # the settings.
            known_zone = self._replica_zones.get(listed.replica)
            if known_zone is None:
                return None
            zone = known_zone
        self._replica_zones[listed.replica] = zone
        return Endpoint(
            replica=self.identifiers.replicas.intern(listed.replica),
            zone=self.identifiers.zones[zone],
            kind=self.identifiers.kinds.intern(listed.kind),
            cell=listed.cell,
            phase=listed.phase,
            size=listed.size,
            started_us=listed.started_us,
        )

    def on_proxy_joined(self, now_us: int, hello: lines.ProxyHello) -> int:
        """Opens a stream for a proxy and returns its id; an earlier stream of the proxy is ended.

        Raises:
            JoinRejectedError: The proxy or zone does not exist.
        """
        if hello.proxy >= self.policy_config.proxy_count:
            raise JoinRejectedError(f"no proxy {hello.proxy}")
        if hello.zone not in self.identifiers.zones:
            raise JoinRejectedError(f"no zone {hello.zone}")
        earlier = self.streams.by_proxy.get(hello.proxy)
        if earlier is not None:
            self.on_proxy_left(hello.proxy, earlier.stream_id, "it joined on a new stream")
        stream = self.streams.open(now_us, hello, self.identifiers.zones[hello.zone])
        self.tables.add_proxy(stream.proxy)
        event = ProxyJoined(
            proxy=stream.proxy,
            zone=stream.zone,
            request_rate=stream.request_rate,
            may_hold_withdrawals=not stream.is_new,
        )
        self.pending_events.append(event)
        return stream.stream_id

    def on_proxy_left(self, proxy: int, stream_id: int, reason: str) -> None:
        """Handles the end of a stream; the late end of an earlier stream is ignored."""
        if self.streams.find(proxy, stream_id) is None:
            return
        del self.streams.by_proxy[proxy]
        self.tables.remove_proxy(proxy)
        self.pending_events.append(ProxyLeft(proxy))
        self.log_lines.append(f"proxy {proxy} left: {reason}")

    def on_stream_active(self, now_us: int, proxy: int, stream_id: int) -> None:
        """Records that data arrived on a stream."""
        stream = self.streams.find(proxy, stream_id)
        if stream is not None:
            stream.last_active_us = now_us

    def on_acknowledged(
        self, now_us: int, proxy: int, stream_id: int, acknowledgement: lines.Acknowledgement
    ) -> None:
        """Handles an acknowledgement; one from an earlier stream is ignored."""
        stream = self.streams.find(proxy, stream_id)
        if stream is None:
            return
        is_own = acknowledgement.proxy == proxy
        if not is_own or not self.streams.acknowledge(now_us, stream, acknowledgement):
            self.malformed.add("ack", "from another proxy, or for a revision that is not awaiting one")
            return
        event = UpdateAcknowledged(
            proxy=proxy, revision=acknowledgement.revision, elapsed_us=acknowledgement.elapsed_us
        )
        self.pending_events.append(event)

    def on_demand_reported(self, demand: lines.Demand, reporter: int | None) -> None:
        """Handles a report of requests offered to a proxy.

        `reporter` is the proxy that sent the report, or None for a collector.
        """
        is_authorized = reporter is None or reporter == demand.proxy
        if not is_authorized or demand.request_class not in self.identifiers.classes:
            self.malformed.add("demand", "unknown class, or a report for another proxy")
            return
        if demand.proxy not in self.streams.by_proxy:
            self.malformed.add("demand", "report for a proxy that has not joined")
            return
        event = RequestsOffered(
            proxy=demand.proxy,
            request_class=self.identifiers.classes[demand.request_class],
            requests=demand.requests,
            incomplete=demand.incomplete,
            window_us=demand.window_us,
        )
        self.pending_events.append(event)

    def on_outcomes_reported(self, outcomes: lines.AttemptOutcomes) -> None:
        """Handles the outcomes of attempts that the proxies of one zone made at a replica."""
        if outcomes.zone not in self.identifiers.zones or outcomes.replica not in self.identifiers.replicas:
            self.malformed.add("outcomes", "unknown zone or replica")
            return
        load = None if outcomes.load is None else platform.parse_load_report(outcomes.load)
        replica = self.identifiers.replicas[outcomes.replica]
        event = AttemptsReported(
            zone=self.identifiers.zones[outcomes.zone],
            replica=replica,
            attempts=outcomes.attempts,
            failures=outcomes.failures,
            mean_latency_us=outcomes.elapsed_us,
            window_us=outcomes.window_us,
            load=load,
        )
        self.pending_events.append(event)
        if self._trace is not None:
            self._trace.record(replica, outcomes, load)

    def on_health_checked(
        self, replica: int, outcome: HealthCheckOutcome, elapsed_us: int, load: LoadReport | None
    ) -> None:
        """Handles the result of a health check that the policy ordered."""
        event = HealthChecked(replica=replica, outcome=outcome, elapsed_us=elapsed_us, load=load)
        self.pending_events.append(event)

    def on_malformed_message(self, message: lines.MalformedLine) -> None:
        """Counts a malformed message from a joined peer."""
        self.malformed.add(message.kind, message.reason)

    # Time and orders

    def next_timer_us(self) -> int | None:
        """Returns when the next timer is due, or None if there is none."""
        return self._timers[0][0] if self._timers else None

    def advance(self, now_us: int) -> None:
        """Fires due timers, passes all pending events to the policy and carries out its orders."""
        while self._timers and self._timers[0][0] <= now_us:
            _, token = heapq.heappop(self._timers)
            self.pending_events.append(TimerFired(token))
        self.pending_events += self.streams.expire_overdue(now_us)
        if self.pending_events:
            events, self.pending_events = self.pending_events, []
            self._execute(now_us, self.policy.handle(now_us, events))
            self._log_hold_backs()

    def _execute(self, now_us: int, orders: list[Order]) -> None:
        batch = PushBatch(self.tables, self.streams.by_proxy)
        for order in orders:
            match order:
                case RequestAcknowledgement():
                    batch.request_acknowledgement(order)
                case CheckHealth(replica):
                    self.due_health_checks.append(replica)
                case SetTimer(token, delay_us):
                    heapq.heappush(self._timers, (now_us + delay_us, token))
                case SubscribeEndpoints() | RequestEndpoints():
                    pass  # a watch is always open, and its first line covers all changes that were missed
                case LogRemark(text):
                    self.log_lines.append(f"policy: {text}")
                case BindProxy():
                    batch.bind(order)
                case _:
                    self._publish(batch, order)
        self.outbound += batch.messages(now_us)

    def _log_hold_backs(self) -> None:
        # A replica that was withdrawn before is held back without an order.
        held_back = self.policy.fleet.replicas.held_back
        if held_back == self._logged_hold_backs:
            return
        for replica, reason in held_back.items():
            if self._logged_hold_backs.get(replica) is not reason:
                name = self.identifiers.replicas.names[replica]
                self.log_lines.append(f"replica {name}: {explain_hold_back(self.policy, replica)}")
        self._logged_hold_backs = dict(held_back)

    def _publish(self, batch: PushBatch, order: TableOrder) -> None:
        batch.publish(order)
        if isinstance(order, WithdrawReplica):
            replica = self.identifiers.replicas.names[order.replica]
            change = "withdrawn" if order.withdrawn else "restored"
            self.log_lines.append(f"replica {replica} {change}: {explain_order(self.policy, order)}")
        elif isinstance(order, SetAdmission):
            self.log_lines.append(self._admission_line(order))

    def _admission_line(self, order: SetAdmission) -> str:
        names = self.identifiers.classes.names
        classes = ",".join(names[number] for number in order.classes) or "all classes"
        table = "all tables" if order.table is None else f"table {order.table}"
        return (
            f"admission of {classes}, {table}: admitted_share {order.admitted_share:g}, "
            f"retry_policy {order.retry_policy}"
        )

    def take_trace(self) -> list[str]:
        """Returns the trace lines since the last call, or none if tracing is off."""
        if self._trace is None:
            return []
        return self._trace.take_lines(self.policy, self.endpoint_list.endpoints, self.tables.withdrawn)
