"""A small fleet under a virtual clock: the real governor core, policies and feed state of the proxies.

The checker keeps its own records: what the endpoint list said and when, which tables the proxies hold, what
they would send, and what was put into each channel. It queries neither the policies nor the core.
`explore_orders` runs every order of the given events and checks the rules after each step.
"""

from __future__ import annotations

import pickle
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import chain

from gradehoist import interface
from gradehoist.governor.channel import Channel
from gradehoist.governor.core import GovernorCore
from gradehoist.governor.errors import RequestRejectedError
from gradehoist.governor.policy_host import PolicyHost
from gradehoist.governor.policy_instances import PolicyReply
from gradehoist.governor.proxy_sessions import FeedPoll
from gradehoist.protocol import feed
from gradehoist.protocol.proxy_state import ProxyState
from tests.support.governed_fleet import SECOND_US, make_endpoint, make_settings

TICK_US = 50_000
EVENT_INTERVAL_US = 400_000  # shorter than a load report period, longer than a message takes to a proxy
FINAL_RUN_US = 5 * SECOND_US  # after the last event; longer than the grace period and the unroutable limit
QUEUE_LIMIT_LINES, LINES_PER_S = 150.0, 500.0
DEMAND = 0.9  # load from each proxy, as a share of the capacity of one warm replica
CLASSES = ("read", "write")
OrderFault = Callable[["InterleavedFleet", list[interface.Order]], list[interface.Order]]


class RuleViolation(AssertionError):
    pass


class AuditedChannel(Channel):
    """The real channel, with independent records of all queued messages and the limits of the settings."""

    def start_audit(
        self, queue_limit_lines: float, lines_per_s: float, messages_per_window: int, window_us: int
    ) -> AuditedChannel:
        self.limits = (queue_limit_lines, lines_per_s, messages_per_window, window_us)
        # Release time, proxy, lines and queueing time of each message in the queue.
        self.records: list[tuple[float, int, float, int]] = []
        self.audited_put_times_us: dict[int, list[int]] = {}
        self.last_release_us = 0.0
        return self

    def _schedule_release(self, queued_us: int, cost_lines: float) -> float:
        self.last_release_us = max(self.last_release_us, queued_us) + cost_lines / self.limits[1] * 1e6
        return self.last_release_us

    def add_proxy(self, proxy: int) -> None:
        super().add_proxy(proxy)
        self.audited_put_times_us[proxy] = []

    def remove_proxy(self, proxy: int) -> None:
        super().remove_proxy(proxy)
        if self.records:  # the remaining messages are released earlier
            release_us, first, cost_lines, _ = self.records[0]
            self.last_release_us = 0.0 if first == proxy else release_us - cost_lines / self.limits[1] * 1e6
        self.records = [record for record in self.records if record[1] != proxy]
        self.records = [
            (self._schedule_release(record[3], record[2]), *record[1:]) for record in self.records
        ]

    def put(self, now_us: int, proxy: int, stream: int, message: feed.Message) -> str | None:
        time_us = now_us
        rejection = super().put(time_us, proxy, stream, message)
        if rejection:
            return rejection
        queue_limit_lines, _, messages_per_window, window_us = self.limits
        lines = 4 + sum(1 + len(d.weights) if isinstance(d, feed.BindDelta) else 1 for d in message.deltas)
        cost_lines = max(message.cost_lines, lines)
        self.records = [record for record in self.records if record[0] > time_us]
        self.records.append((self._schedule_release(time_us, cost_lines), proxy, cost_lines, time_us))
        self.audited_put_times_us[proxy] = [
            put_us for put_us in self.audited_put_times_us[proxy] if put_us > time_us - window_us
        ] + [time_us]
        if (waiting_lines := sum(record[2] for record in self.records)) > queue_limit_lines:
            raise RuleViolation(
                f"rule 5: {waiting_lines:g} lines are queued, the limit is {queue_limit_lines:g}"
            )
        if messages_per_window and len(self.audited_put_times_us[proxy]) > messages_per_window:
            raise RuleViolation(
                f"rule 5: {len(self.audited_put_times_us[proxy])} messages to proxy {proxy} within the window"
            )
        return None


@dataclass
class AuditedGovernor:
    core: GovernorCore
    policies: PolicyHost
    # The phase of each replica in the lists that this governor was sent, and the time since when.
    phase: dict[str, tuple[str, int]] = field(default_factory=dict)
    # The start time of each replica, and the time when this governor was notified of it.
    start: dict[str, tuple[int, int]] = field(default_factory=dict)
    health_checks: list[tuple[int, int]] = field(default_factory=list)  # due time and replica


@dataclass
class AuditedProxy:
    name: str
    zone: str
    governor_index: int  # the governor that it follows
    state: ProxyState = field(default_factory=ProxyState)
    epoch: str = ""
    stream: int = 0
    applied_seq: int = 0
    joined_us: int = -1  # when it joined, by its own knowledge; -1 while it has no stream
    last_message_us: int = 0  # creation time of the last message that it applied
    latency_us: int = 20_000
    withholds_acknowledgements: bool = False
    answer: tuple[int, feed.PollResponse] | None = None  # with its arrival time
    next_poll_us: int = 0
    unroutable_since_us: dict[str, int] = field(default_factory=dict)  # by request class


class InterleavedFleet:
    def __init__(self, governor_count: int, fault: OrderFault | None = None) -> None:
        settings = make_settings(2, QUEUE_LIMIT_LINES, LINES_PER_S)
        # A short overload window and a long warm-up: otherwise no weights could overload so small a fleet.
        safety = replace(settings.fleet.safety, warmup_us=10 * SECOND_US, overload_window_us=SECOND_US)
        self.settings = replace(settings, fleet=replace(settings.fleet, safety=safety))
        self.safety, self.fault = safety, fault
        self.now_us, self.incarnation_count, self.events = 100 * SECOND_US, 0, list[str]()
        self.endpoints = {f"w{n}": make_endpoint(n) for n in range(3)}
        self.started_us = dict.fromkeys(self.endpoints, 0)
        self.failing: set[str] = set()
        # The recent load on each replica: time, work, and whether the proxy could know of its last start.
        self.sent_work: dict[str, deque[tuple[int, float, bool]]] = defaultdict(deque)
        self.governors = [self._start_governor() for _ in range(governor_count)]
        self.proxies = [AuditedProxy(f"r{n}", "xy"[n % 2], n % governor_count) for n in range(2)]
        for proxy in self.proxies:
            proxy.state.install_default_tables({c: {"w0": 1.0, "w1": 1.0} for c in CLASSES})
        self.run(3 * SECOND_US)
        for proxy in self.proxies:
            if not proxy.state.is_bound:
                raise RuleViolation(f"{proxy.name} was not bound")

    def _start_governor(self) -> AuditedGovernor:
        self.incarnation_count += 1
        fleet = self.settings.fleet
        core = GovernorCore(fleet, self.settings.governors[0], f"e{self.incarnation_count}", self.now_us)
        limits = fleet.channel
        core.publisher.channel = AuditedChannel(
            queue_limit_lines=limits.queue_limit_lines,
            lines_per_s=limits.lines_per_s,
            messages_per_window=limits.messages_per_window,
            window_us=limits.message_window_us,
        ).start_audit(
            limits.queue_limit_lines, limits.lines_per_s, limits.messages_per_window, limits.message_window_us
        )
        governor = AuditedGovernor(core, PolicyHost(core.policy_configs, self.now_us, False))
        self._send_endpoints(governor)
        return governor

    def _send_endpoints(self, governor: AuditedGovernor) -> None:
        """Sends a snapshot, each time of a new incarnation of the list service; a missing replica is gone."""
        listed = tuple(
            feed.EndpointRecord(
                e.replica,
                e.zone,
                "",
                e.kind,
                0,
                e.phase,
                1.0,
                e.incarnation,
                self.now_us - self.started_us[e.replica] if self.started_us[e.replica] else 10**9,
            )
            for e in self.endpoints.values()
            if e.phase != "gone"
        )
        self.incarnation_count += 1
        governor.core.handle_endpoint_list(
            self.now_us, feed.EndpointListUpdate(f"l{self.incarnation_count}", 1, listed, True)
        )
        for name, e in self.endpoints.items():
            if governor.phase.get(name, ("", 0))[0] != e.phase:
                known = governor.phase.get(name, ("ready", 0))
                since_us = known[1] if known[0] != "ready" and e.phase != "ready" else self.now_us
                governor.phase[name] = (e.phase, since_us)
            if governor.start.get(name, (-1, 0))[0] != self.started_us[name]:
                governor.start[name] = (self.started_us[name], self.now_us)

    # Events

    def apply_event(self, event: str) -> None:
        self.events.append(event)
        kind, _, name = event.partition(" ")
        proxy = next((p for p in self.proxies if p.name == name), self.proxies[0])
        match kind:
            case "drain" | "gone":
                self._update_endpoint(name, "draining" if kind == "drain" else "gone")
            case "return":  # this includes a restart during which the replica was never listed as gone
                self.started_us[name] = self.now_us
                self._update_endpoint(
                    name, "ready", int(self.endpoints[name].incarnation.partition("/")[2]) + 1
                )
            case "toggle-failure":
                self.failing ^= {name}
            case "toggle-acknowledgements":
                proxy.withholds_acknowledgements = not proxy.withholds_acknowledgements
            case "slow-down":
                proxy.latency_us = 500_000
            case "change-governor":
                self._disconnect(proxy)
                proxy.governor_index = (proxy.governor_index + 1) % len(self.governors)
            case "disconnect":
                self._disconnect(proxy)
                proxy.next_poll_us = self.now_us + SECOND_US
            case "restart-governor":
                for follower in [p for p in self.proxies if p.governor_index == int(name)]:
                    follower.joined_us, follower.answer, follower.next_poll_us = (
                        -1,
                        None,
                        self.now_us + 100_000,
                    )
                self.governors[int(name)] = self._start_governor()
            case "wait":
                self.run(SECOND_US)
            case _:
                raise ValueError(event)
        self.run(EVENT_INTERVAL_US)

    def _update_endpoint(self, name: str, phase: str, boot_number: int = 0) -> None:
        old = self.endpoints[name]
        number = boot_number or int(old.incarnation.partition("/")[2])
        self.endpoints[name] = make_endpoint(int(name[1:]), phase, number)
        for governor in self.governors:
            self._send_endpoints(governor)

    def _disconnect(self, proxy: AuditedProxy) -> None:
        core = self.governors[proxy.governor_index].core
        core.remove_proxy(core.identifiers.proxies.get(proxy.name, -1), "its connection closed")
        proxy.joined_us, proxy.answer, proxy.next_poll_us = -1, None, self.now_us + 100_000

    # Time

    def run(self, duration_us: int) -> None:
        end_us = self.now_us + duration_us
        while self.now_us < end_us:
            self.now_us += TICK_US
            for proxy in self.proxies:
                self._run_proxy(proxy)
            for governor in self.governors:
                self._run_governor(governor)
            self._check_rules()

    def _run_proxy(self, proxy: AuditedProxy) -> None:
        if proxy.answer and proxy.answer[0] <= self.now_us:
            self._apply_answer(proxy, proxy.answer[1])
            proxy.answer = None
        if proxy.answer is None and proxy.next_poll_us <= self.now_us:
            acknowledged_seq = 0 if proxy.withholds_acknowledgements else proxy.applied_seq
            poll = FeedPoll(proxy.name, proxy.zone, 5.0, proxy.epoch, proxy.stream, acknowledged_seq)
            try:
                answer = self.governors[proxy.governor_index].core.handle_poll(self.now_us, poll)
            except RequestRejectedError:
                proxy.joined_us, proxy.epoch, proxy.next_poll_us = -1, "", self.now_us + 100_000
                return
            if answer is not None:
                proxy.answer = (self.now_us + proxy.latency_us, answer)
        if self.now_us % SECOND_US < TICK_US and proxy.joined_us >= 0:
            attempts = tuple(
                feed.ReplicaAttempts(w, 6, 6 * (w in self.failing), 200_000, 0.5, 2.0)
                for w in proxy.state.weights_for("read")
            )
            requests = tuple(feed.ClassRequests(c, 10) for c in CLASSES)
            with suppress(RequestRejectedError):
                self.governors[proxy.governor_index].core.handle_load_report(
                    feed.ProxyLoadReport(proxy.name, proxy.epoch, SECOND_US, attempts, requests)
                )

    def _apply_answer(self, proxy: AuditedProxy, answer: feed.PollResponse) -> None:
        if (answer.epoch, answer.stream) != (proxy.epoch, proxy.stream):
            proxy.epoch, proxy.stream, proxy.applied_seq, proxy.joined_us = (
                answer.epoch,
                answer.stream,
                0,
                self.now_us,
            )
            proxy.state.begin_stream()
        for message in answer.messages:
            if message.seq > proxy.applied_seq:
                proxy.state.apply(message)
                proxy.applied_seq, proxy.last_message_us = message.seq, message.created_us

    def _run_governor(self, governor: AuditedGovernor) -> None:
        for due_us, replica in [check for check in governor.health_checks if check[0] <= self.now_us]:
            name = governor.core.identifiers.replicas.names[replica]
            is_healthy = name not in self.failing and self.endpoints[name].phase == "ready"
            governor.core.handle_health_check(
                replica,
                interface.HealthCheckOutcome.HEALTHY
                if is_healthy
                else interface.HealthCheckOutcome.TIMED_OUT,
                self.now_us - due_us,
                None,
            )
            governor.health_checks.remove((due_us, replica))
        governor.core.advance(self.now_us)
        if batches := governor.core.take_batches():
            replies = [
                PolicyReply(
                    policy=reply.policy,
                    orders=self.fault(self, reply.orders) if self.fault else reply.orders,
                    reasons=reply.reasons,
                )
                for reply in governor.policies.handle(self.now_us, batches)
            ]
            governor.core.apply_replies(self.now_us, replies)
        governor.health_checks += [(self.now_us + 100_000, n) for n in governor.core.pending_health_checks]
        governor.core.pending_health_checks.clear()
        governor.core.log.take()

    # The five safety rules, checked on what was listed, held by the proxies and sent

    def has_warm_replica(self, governor: AuditedGovernor, excluded: str = "") -> bool:
        return any(
            phase == "ready" and n != excluded and governor.start[n][0] <= self.now_us - self.safety.warmup_us
            for n, (phase, _) in governor.phase.items()
        )

    def _check_rules(self) -> None:
        for proxy in self.proxies:
            governor = self.governors[proxy.governor_index]
            for request_class in CLASSES:
                weights = proxy.state.weights_for(request_class)
                if proxy.joined_us >= 0:
                    self._check_rules_1_and_3(proxy, governor, request_class, weights)
                share, retry_policy = proxy.state.admission_for(request_class, 1)
                # If the answer to an attempt is lost after the work was done, the write must not be retried.
                if (
                    request_class == "write"
                    and retry_policy >= 2
                    and len(weights) > 1
                    and proxy.state.is_bound
                ):
                    raise RuleViolation(
                        f"rule 2: a write of {proxy.name} takes effect twice with retry policy {retry_policy}"
                    )
                total = sum(weights.values())
                for name, weight in weights.items():
                    knows_start = proxy.joined_us >= 0 and self._knows_start(proxy, governor, name)
                    work = DEMAND / len(CLASSES) * min(1.0, share) * TICK_US * weight / total
                    self.sent_work[name].append((self.now_us, work, knows_start))
        for name, samples in self.sent_work.items():
            self._check_rule_4(name, samples)

    def _check_rules_1_and_3(
        self, proxy: AuditedProxy, governor: AuditedGovernor, request_class: str, weights: dict[str, float]
    ) -> None:
        for name in weights:
            phase, since_us = governor.phase.get(name, ("ready", 0))
            late_us = self.now_us - max(since_us, proxy.joined_us)
            if phase != "ready" and late_us > self.safety.drain_grace_us:
                raise RuleViolation(
                    f"rule 3: {proxy.name} still sends to {name}, {phase} for {late_us / 1e6:.2f} s"
                )
        if weights or not self.has_warm_replica(governor):
            proxy.unroutable_since_us.pop(request_class, None)
        elif (
            self.now_us - proxy.unroutable_since_us.setdefault(request_class, self.now_us)
            > self.safety.unroutable_limit_us
        ):
            raise RuleViolation(
                f"rule 1: {proxy.name} has had no replica for {request_class} for longer than the limit"
            )

    def _knows_start(self, proxy: AuditedProxy, governor: AuditedGovernor, name: str) -> bool:
        """Whether the proxy could know of the last start, by a message or after the grace period."""
        notified_us = governor.start[name][1]
        return (
            proxy.last_message_us > notified_us
            or self.now_us - max(notified_us, proxy.joined_us) > self.safety.drain_grace_us
        )

    def _check_rule_4(self, name: str, samples: deque[tuple[int, float, bool]]) -> None:
        while samples and samples[0][0] <= self.now_us - self.safety.overload_window_us:
            samples.popleft()
        age_us = self.now_us - self.started_us[name]
        if (
            not self.started_us[name]
            or age_us >= self.safety.warmup_us
            or not all(self.has_warm_replica(governor, name) for governor in self.governors)
        ):
            return  # the replica is warm, or there is no other warm replica
        since_start = [sample for sample in samples if sample[0] > self.started_us[name]]
        start_capacity = self.safety.warmup_start_capacity
        work_limit = (
            self.safety.overload_multiple
            * (start_capacity + (1 - start_capacity) * age_us / self.safety.warmup_us)
            * self.safety.overload_window_us
        )
        work = sum(sample[1] for sample in since_start)
        if work > work_limit and sum(sample[1] for sample in since_start if sample[2]) >= work * 2 / 3:
            raise RuleViolation(
                f"rule 4: {name}, started {age_us / 1e6:.2f} s ago, is sent {work / work_limit:.2f} times "
                "the work that overloads it"
            )


def explore_orders(
    governor_count: int, events: Iterable[str], depth: int, fault: OrderFault | None = None
) -> int:
    """Runs all orders of `depth` different events, checks the rules at each step and returns their number.

    Raises RuleViolation with the steps of the order.
    """
    all_events, count = tuple(events), 0

    def extend(state: bytes, remaining: tuple[str, ...], depth: int) -> None:
        nonlocal count
        for event in remaining:
            fleet: InterleavedFleet = pickle.loads(state)
            try:
                fleet.apply_event(event)
                if depth > 1:
                    extend(pickle.dumps(fleet), tuple(e for e in remaining if e != event), depth - 1)
                else:
                    fleet.run(FINAL_RUN_US)
                    count += 1
            except RuleViolation as violation:
                if "order:" in str(violation):
                    raise
                raise RuleViolation(f"{violation}; order: {', '.join(fleet.events)}") from None

    try:
        start = pickle.dumps(InterleavedFleet(governor_count, fault))
    except RuleViolation as violation:
        raise RuleViolation(f"{violation}; order: none yet") from None
    extend(start, all_events, depth)
    return count


def run_events(governor_count: int, *events: str, fault: OrderFault | None = None) -> InterleavedFleet:
    """Runs one order of events, to turn a violation that `explore_orders` found into a plain test."""
    fleet = InterleavedFleet(governor_count, fault)
    for event in chain(events):
        fleet.apply_event(event)
    fleet.run(FINAL_RUN_US)
    return fleet
