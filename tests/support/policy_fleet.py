"""A simulated fleet that executes a policy's orders, and checks the safety rules after each step."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from gradehoist.interface import (
    AttemptsReported,
    BindProxy,
    ChannelLimits,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    Idempotency,
    LoadReport,
    LoadReporting,
    Order,
    Phase,
    PolicyConfig,
    ProxyJoined,
    ProxyLeft,
    RequestAcknowledgement,
    RequestClass,
    SafetyLimits,
    SetAdmission,
    SetTimer,
    SetWeight,
    TimerFired,
    UpdateAcknowledged,
    WithdrawReplica,
)
from gradehoist.policy.planner import Planner

SECOND = 1_000_000
UNRESTRICTED = RequestClass(
    latency_objective_us=SECOND,
    deadline_us=2 * SECOND,
    priority_weight=1.0,
    late_priority_factor=0.1,
    idempotency=Idempotency.IDEMPOTENT,
    allowed_zones=None,
    allowed_kinds=None,
    zone_local=False,
)
ZONE_LOCAL = replace(
    UNRESTRICTED, priority_weight=3.0, idempotency=Idempotency.NOT_IDEMPOTENT, zone_local=True
)
TWO_ZONES = replace(ZONE_LOCAL, allowed_zones=(0, 1), zone_local=False)

CHANNEL = ChannelLimits(
    queue_limit_lines=2000.0,
    lines_per_s=1e6,
    message_overhead_lines=4.0,
    messages_per_window=20,
    message_window_us=10 * SECOND,
    worst_transit_us=SECOND // 5,
)

# What one replica reports: attempts, failures and load.
Report = tuple[int, int, LoadReport | None]


def policy_config(
    classes: tuple[RequestClass, ...] = (UNRESTRICTED, TWO_ZONES, ZONE_LOCAL),
    seed: int = 7,
    health_checks: bool = True,
    proxies: int = 6,
    **channel_limits: Any,
) -> PolicyConfig:
    """Return the configuration of a fleet with three zones; `channel_limits` override fields of `CHANNEL`."""
    safety = SafetyLimits(
        drain_grace_us=2 * SECOND,
        warmup_us=10 * SECOND,
        warmup_start_capacity=0.2,
        overload_multiple=3.0,
        overload_window_us=3 * SECOND,
        unroutable_limit_us=4 * SECOND,
        gone_is_advisory=False,
    )
    load_reporting = LoadReporting(
        period_us=SECOND,
        has_busy_share=True,
        has_in_flight=True,
        health_checks_allowed=health_checks,
        must_subscribe=False,
    )
    return PolicyConfig(
        seed=seed,
        zone_count=3,
        proxy_count=proxies,
        key_range_count=0,
        admission_enabled=True,
        classes=classes,
        safety=safety,
        channel=replace(CHANNEL, **channel_limits),
        load_reporting=load_reporting,
    )


def endpoint(n: int, phase: Phase = Phase.READY, started_us: int = 0, size: float = 1.0) -> Endpoint:
    """Return the endpoint list entry of replica `n`, which is in zone `n % 3`."""
    return Endpoint(replica=n, zone=n % 3, kind=0, cell=0, phase=phase, size=size, started_us=started_us)


@dataclass
class SimulatedFleet:
    """Proxies with the tables that they were sent, and a channel whose messages await acknowledgement."""

    config: PolicyConfig = field(default_factory=policy_config)
    now_us: int = 100 * SECOND
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    proxies: dict[int, int] = field(default_factory=dict)  # zone by proxy
    # The table of each class, by proxy.
    bound: dict[int, dict[int, int]] = field(default_factory=dict)
    withdrawn: set[int] = field(default_factory=set)
    endpoints: dict[int, Endpoint] = field(default_factory=dict)
    # Messages in the order of sending: (proxy, revision, lines).
    unacknowledged: deque[tuple[int, int, float]] = field(default_factory=deque)
    timers: list[tuple[int, int]] = field(default_factory=list)  # due time and token
    message_times: dict[int, list[int]] = field(default_factory=dict)  # by proxy
    orders: list[Order] = field(default_factory=list)
    drain_listed_us: dict[int, int] = field(default_factory=dict)  # by replica that drains or is gone
    # Since when a class has had no usable replica, by (proxy, class, table).
    unroutable_since: dict[tuple[int, int, int], int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.policy = Planner(self.config, self.now_us)

    def step(self, *events: Event, delay_us: int = 0) -> list[Order]:
        """Pass events to the policy after `delay_us`; execute its orders and check the rules."""
        self.now_us += delay_us
        for event in events:
            self._record(event)
        orders = self.policy.handle(self.now_us, list(events))
        self.apply(orders)
        self.check()
        return orders

    def _record(self, event: Event) -> None:
        match event:
            case EndpointsListed(kind, endpoints):
                if kind is not EndpointListKind.DELTA:
                    for n in set(self.endpoints) - {entry.replica for entry in endpoints}:
                        self.endpoints[n] = endpoint(n, Phase.GONE, self.endpoints[n].started_us)
                self.endpoints |= {entry.replica: entry for entry in endpoints}
                self._record_drains()
            case ProxyJoined(proxy, zone):
                self.proxies[proxy] = zone
                self.bound[proxy] = {}
                self.message_times[proxy] = []
            case ProxyLeft(proxy):
                del self.proxies[proxy]
                del self.bound[proxy]
                self.unacknowledged = deque(sent for sent in self.unacknowledged if sent[0] != proxy)

    def _record_drains(self) -> None:
        for n, entry in self.endpoints.items():
            if entry.phase is Phase.READY:
                self.drain_listed_us.pop(n, None)
            else:
                self.drain_listed_us.setdefault(n, self.now_us)

    def apply(self, orders: list[Order]) -> None:
        """Execute orders, and queue one message for each proxy that they apply to."""
        self.orders += orders
        acknowledgement = next((o for o in orders if isinstance(o, RequestAcknowledgement)), None)
        lines: dict[int, float] = {}
        if acknowledgement and acknowledgement.to_all:
            lines = dict.fromkeys(self.proxies, 0.0)
        for order in orders:
            for proxy, count in self._execute(order).items():
                lines[proxy] = lines.get(proxy, 0) + count
        for proxy, count in lines.items():
            assert acknowledgement, "lines without a request for acknowledgement"
            cost = count + 1 + self.config.channel.message_overhead_lines
            self.unacknowledged.append((proxy, acknowledgement.revision, cost))
            self.message_times[proxy].append(self.now_us)

    def _execute(self, order: Order) -> dict[int, float]:
        """Apply an order; return the number of lines that it costs, by proxy."""
        match order:
            case SetWeight(table, replica, weight):
                assert weight >= 0
                assert replica in self.endpoints, "weight of a replica that was never listed"
                self.tables.setdefault(table, {})[replica] = weight
                if not weight:
                    del self.tables[table][replica]
                return dict.fromkeys([p for p, by in self.bound.items() if table in by.values()], 1.0)
            case BindProxy(proxy, table, classes):
                assert proxy in self.proxies
                assert classes
                self.bound[proxy] |= dict.fromkeys(classes, table)
                return {proxy: 1.0 + len(self.tables.get(table, {})) + len(self.withdrawn)}
            case WithdrawReplica(replica, withdrawn):
                if withdrawn:
                    self.withdrawn.add(replica)
                else:
                    self.withdrawn.discard(replica)
                return dict.fromkeys([p for p in self.bound if self._has_line(p, replica)], 1.0)
            case SetAdmission(_, _, admitted_share, retry_policy):
                assert 0 < admitted_share <= 1
                assert retry_policy <= 1, "retry that might execute a request twice"
                return dict.fromkeys(self.proxies, 1.0)
            case SetTimer(token, delay_us):
                self.timers.append((self.now_us + delay_us, token))
        return {}

    def _has_line(self, proxy: int, replica: int) -> bool:
        return any(replica in self.tables.get(table, {}) for table in self.bound[proxy].values())

    def check(self) -> None:
        """Check all rules: limits of queue and messages, placement, a usable replica per class, drains."""
        self._check_channel()
        for proxy in self.proxies:
            for class_index, table in self.bound[proxy].items():
                self._check_placement(proxy, class_index, table)
                self._check_routable(proxy, class_index, table)
        if not self.unacknowledged and all(
            len(by_class) == len(self.config.classes) for by_class in self.bound.values()
        ):
            self._check_drains()

    def _check_channel(self) -> None:
        channel = self.config.channel
        assert sum(lines for _, _, lines in self.unacknowledged) <= channel.queue_limit_lines
        window_start = self.now_us - channel.message_window_us
        for proxy, times in self.message_times.items():
            recent = sum(time > window_start for time in times)
            assert recent <= (
                channel.messages_per_window or recent
            ), f"message limit of proxy {proxy} exceeded"

    def _check_placement(self, proxy: int, class_index: int, table: int) -> None:
        limits = self.config.classes[class_index]
        for n in self.tables.get(table, {}):
            zone = self.endpoints[n].zone
            assert (
                limits.allowed_zones is None or zone in limits.allowed_zones
            ), "outside the zones of the class"
            assert not limits.zone_local or zone == self.proxies[proxy], "outside the zone of the proxy"

    def _check_routable(self, proxy: int, class_index: int, table: int) -> None:
        limits, safety = self.config.classes[class_index], self.config.safety
        warm = [
            entry
            for entry in self.endpoints.values()
            if entry.phase is Phase.READY
            and entry.started_us <= self.now_us - safety.warmup_us
            and (limits.allowed_zones is None or entry.zone in limits.allowed_zones)
            and (not limits.zone_local or entry.zone == self.proxies[proxy])
        ]
        since = self.unroutable_since.pop((proxy, class_index, table), self.now_us)
        if warm and not self.open_lines(table):
            self.unroutable_since[proxy, class_index, table] = since
            unroutable = self.now_us - since
            assert (
                unroutable <= safety.unroutable_limit_us
            ), f"class {class_index} of proxy {proxy} has no usable replica"

    def _check_drains(self) -> None:
        """Check that drains are written at once, or at least in time while messages to proxies are scarce."""
        for n, listed_us in self.drain_listed_us.items():
            holders = self.holders(n)
            assert (
                not holders or self.now_us <= listed_us + self.max_drain_wait_us
            ), "table has a line for a drained replica"
            assert not holders or any(map(self._has_scarce_messages, holders)), "a drain waits for no reason"

    def holders(self, replica: int) -> list[int]:
        """Return the proxies that may send requests to a replica by their tables."""
        return [p for p in self.bound if replica not in self.withdrawn and self._has_line(p, replica)]

    @property
    def max_drain_wait_us(self) -> int:
        """How long a drain may wait to be written, so that it reaches the proxies within the grace."""
        return self.config.safety.drain_grace_us - self.config.channel.worst_transit_us

    def _has_scarce_messages(self, proxy: int) -> bool:
        """Return whether a withdrawal may wait: messages for a window of gathered ones might not be left."""
        channel = self.config.channel
        recent = sum(t > self.now_us - channel.message_window_us for t in self.message_times[proxy])
        spare = 0.85 * channel.messages_per_window - 1 - recent
        return (
            channel.messages_per_window > 0 and spare * self.max_drain_wait_us < 2 * channel.message_window_us
        )

    def open_lines(self, table: int) -> dict[int, float]:
        """Return the lines of a table whose replica is not withdrawn."""
        return {n: w for n, w in self.tables.get(table, {}).items() if n not in self.withdrawn}

    def traffic_share(self, proxy: int, request_class: int, replica: int) -> float:
        """Return the share of a proxy's requests of a class that goes to a replica."""
        lines = self.open_lines(self.bound[proxy][request_class])
        return lines.get(replica, 0.0) / sum(lines.values())

    def acknowledge(self, most: int = 1000) -> list[Event]:
        """Return acknowledgements of the oldest messages, at most `most`."""
        done = [self.unacknowledged.popleft() for _ in range(min(most, len(self.unacknowledged)))]
        return [UpdateAcknowledged(p, revision, 1000) for p, revision, _ in done if p in self.proxies]

    def run(self, seconds: float, report: Mapping[int, Report] | None = None) -> None:
        """Advance the time: timers fire, messages are acknowledged, and replicas report each second."""
        end = self.now_us + int(seconds * SECOND)
        next_report = self.now_us + SECOND
        while self.timers and min(self.timers)[0] <= end:
            timer = min(self.timers)
            self.timers.remove(timer)
            due, token = timer
            events = self.acknowledge()
            if due >= next_report:
                next_report += SECOND
                events += load_reports(report or {})
            self.step(*events, TimerFired(token), delay_us=due - self.now_us)
        self.now_us = max(self.now_us, end)


def load_reports(reports: Mapping[int, Report]) -> list[Event]:
    """Return the load reports of one second, from the proxies of each zone."""
    return [
        AttemptsReported(
            zone=zone,
            replica=n,
            attempts=attempts,
            failures=failures,
            mean_latency_us=200_000,
            window_us=SECOND,
            load=load,
        )
        for zone in range(3)
        for n, (attempts, failures, load) in reports.items()
    ]


def running_fleet(
    replica_count: int = 9, proxies: int = 4, config: PolicyConfig | None = None
) -> SimulatedFleet:
    """Return a fleet whose replicas are listed and whose proxies are bound."""
    fleet = SimulatedFleet(config or policy_config())
    fleet.step(EndpointsListed(EndpointListKind.CACHED, tuple(endpoint(n) for n in range(replica_count))))
    fleet.step(*(ProxyJoined(p, p % 3, 5.0) for p in range(proxies)))
    fleet.run(1)
    return fleet
