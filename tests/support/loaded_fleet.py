"""A simulated fleet whose proxies send requests, and the check of rule 4 by those at cold replicas."""

from __future__ import annotations

import random
from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from gradehoist.interface import (
    AttemptsReported,
    CheckHealth,
    Endpoint,
    EndpointListKind,
    EndpointsListed,
    Event,
    HealthChecked,
    HealthCheckOutcome,
    LoadReport,
    Phase,
    ProxyJoined,
    RequestClass,
    RequestsOffered,
    SetAdmission,
    TimerFired,
)
from gradehoist.policy.planner import Planner
from tests.support.policy_fleet import SECOND, UNRESTRICTED, ZONE_LOCAL, SimulatedFleet, policy_config

TICK_US = 25_000
ACKNOWLEDGEMENT_DELAY_US = 200_000
# Rule 4 allows a little slack for chance, and counts only if two thirds of the load is from informed proxies.
CHANCE_SLACK = 1.2
INFORMED_SHARE = 2 / 3


@dataclass(frozen=True)
class FleetShape:
    """The size and the load of a fleet; `zone_loads` and `class_shares` are shares of all requests."""

    zone_sizes: tuple[int, ...] = (6, 6)  # replicas by zone
    zone_loads: tuple[float, ...] = (0.59, 0.41)
    classes: tuple[RequestClass, ...] = (UNRESTRICTED, ZONE_LOCAL)
    class_shares: tuple[float, ...] = (0.63, 0.37)
    utilization: float = 0.52  # while all replicas are warm
    capacity_per_s: float = 16.7  # requests that a warm replica serves per second
    proxies_per_zone: int = 3
    messages_per_window: int = 20
    report_period_us: int = 2 * SECOND
    seed: int = 1
    spares: int = 0  # replicas of zone 0 that are not started yet
    lines_per_s: float = 1e6  # the stated rate of the channel, which sets the size of subsets
    queue_limit_lines: float = 2000.0

    @property
    def requests_per_s(self) -> float:
        """The requests per second of the whole fleet."""
        return self.utilization * self.capacity_per_s * sum(self.zone_sizes)


@dataclass
class Arrivals:
    """The recent requests to one incarnation of a cold replica: time, and whether the proxy was informed."""

    recent: deque[tuple[int, bool]] = field(default_factory=deque)
    peak_ratio: float = 0.0  # of the load to the replica's present capacity, informed loads alone


class LoadedFleet(SimulatedFleet):
    """Proxies with clients, replicas that serve their requests, and the collectors' reports."""

    def __init__(self, shape: FleetShape) -> None:
        """Create the fleet, list all replicas as warm, and let all proxies join."""
        self.shape = shape
        self.rng = random.Random(shape.seed)
        zones = len(shape.zone_sizes)
        config = policy_config(
            shape.classes,
            seed=shape.seed,
            proxies=zones * shape.proxies_per_zone,
            messages_per_window=shape.messages_per_window,
            lines_per_s=shape.lines_per_s,
            queue_limit_lines=shape.queue_limit_lines,
        )
        safety = replace(config.safety, warmup_us=12 * SECOND, warmup_start_capacity=0.21)
        safety = replace(safety, overload_multiple=2.5, overload_window_us=3 * SECOND // 2)
        reporting = replace(config.load_reporting, period_us=shape.report_period_us)
        self._sent_messages = deque[int]()  # times of the messages that await acknowledgement
        self._health_checks = list[int]()
        self.admitted = dict[int, float]()  # admitted share by class
        super().__init__(replace(config, zone_count=zones, safety=safety, load_reporting=reporting))
        self.zones = [zone for zone, size in enumerate(shape.zone_sizes) for _ in range(size)]
        self.spares = list(range(len(self.zones), len(self.zones) + shape.spares))
        self.started_us = dict.fromkeys(range(len(self.zones)), 0)
        self.zones += [0] * shape.spares
        self.down = set(self.spares)
        self.informed_us = dict.fromkeys(self.started_us, 0)
        self.arrivals = defaultdict[tuple[int, int], Arrivals](Arrivals)  # by replica and start time
        self.rates = dict[int, float]()  # requests per second by proxy
        self.outcomes = Counter[str]()
        self._next_request_us = dict[int, int]()
        self._attempts = defaultdict[tuple[int, int], Counter[str]](Counter)  # by zone and replica
        self._offered = Counter[tuple[int, int]]()  # by proxy and class
        self._next_report_us = self.now_us + shape.report_period_us
        self.list_replicas(self.started_us)
        for proxy in range(zones * shape.proxies_per_zone):
            zone = proxy % zones
            self.join(proxy, zone, shape.requests_per_s * shape.zone_loads[zone] / shape.proxies_per_zone)

    # Faults

    def join(self, proxy: int, zone: int, requests_per_s: float) -> None:
        """Let a proxy join; it sends requests once it is bound."""
        self.rates[proxy] = requests_per_s
        self._next_request_us[proxy] = self.now_us
        self.step(ProxyJoined(proxy, zone, requests_per_s))

    def list_replicas(self, replicas: Iterable[int], phase: Phase = Phase.READY) -> None:
        """Notify the policy of replicas in one batch."""
        entries = [
            Endpoint(n, self.zones[n], kind=0, cell=0, phase=phase, size=1.0, started_us=self.started_us[n])
            for n in replicas
        ]
        self.informed_us |= {entry.replica: self.now_us for entry in entries}
        self.step(EndpointsListed(EndpointListKind.DELTA, tuple(entries)))

    def end(self, replicas: Iterable[int], notice_s: float = 1.5) -> None:
        """End replica processes; the endpoint list shows it after `notice_s`."""
        ended = list(replicas)
        self.down.update(ended)
        self.advance(notice_s)
        self.list_replicas(ended, Phase.GONE)

    def start(self, replicas: Iterable[int]) -> None:
        """Start replica processes, cold; the endpoint list does not show them yet."""
        for replica in replicas:
            self.down.discard(replica)
            self.started_us[replica] = self.now_us

    def restart_governor(self) -> None:
        """Replace the policy by a new one, which knows the current endpoint list; all proxies join again."""
        self.policy = Planner(self.config, self.now_us)
        self.tables.clear()
        self.bound = {proxy: {} for proxy in self.proxies}
        self.withdrawn.clear()
        self.unacknowledged.clear()
        self._sent_messages.clear()
        self._health_checks.clear()
        self.timers.clear()
        self.step(EndpointsListed(EndpointListKind.CACHED, tuple(self.endpoints.values())))
        for proxy, zone in list(self.proxies.items()):
            self.step(ProxyJoined(proxy, zone, self.rates[proxy]))

    # Time

    def advance(self, seconds: float) -> None:
        """Let requests, reports, acknowledgements and timers take place for some time."""
        end_us = self.now_us + int(seconds * SECOND)
        while self.now_us < end_us:
            self.now_us += TICK_US
            for proxy in self.proxies:
                self._send_requests(proxy)
            due = [token for time_us, token in self.timers if time_us <= self.now_us]
            self.timers = [timer for timer in self.timers if timer[0] > self.now_us]
            events = [*self._acknowledgements(), *self._checked_health(), *self._reports()]
            events += map(TimerFired, due)
            if events:
                self.step(*events)

    def step(self, *events: Event, delay_us: int = 0) -> list[object]:  # type: ignore[override]
        """Pass events to the policy, and note when its messages were sent."""
        waiting = len(self.unacknowledged)
        orders = super().step(*events, delay_us=delay_us)
        self._sent_messages.extend([self.now_us] * (len(self.unacknowledged) - waiting))
        for order in orders:
            if isinstance(order, SetAdmission):
                self.admitted |= dict.fromkeys(order.classes, order.admitted_share)
        self._health_checks += [order.replica for order in orders if isinstance(order, CheckHealth)]
        return list(orders)

    def _checked_health(self) -> list[Event]:
        checked, self._health_checks = self._health_checks, []
        outcomes = {
            replica: HealthCheckOutcome.TIMED_OUT if replica in self.down else HealthCheckOutcome.HEALTHY
            for replica in checked
        }
        return [HealthChecked(replica, outcome, TICK_US, None) for replica, outcome in outcomes.items()]

    def _acknowledgements(self) -> list[Event]:
        count = sum(sent_us <= self.now_us - ACKNOWLEDGEMENT_DELAY_US for sent_us in self._sent_messages)
        for _ in range(count):
            self._sent_messages.popleft()
        return self.acknowledge(count)

    def _send_requests(self, proxy: int) -> None:
        while self._next_request_us[proxy] <= self.now_us:
            self._next_request_us[proxy] += int(self.rng.expovariate(self.rates[proxy]) * SECOND)
            request_class = self.rng.choices(range(len(self.shape.classes)), self.shape.class_shares)[0]
            self._offered[proxy, request_class] += 1
            if self.rng.random() >= self.admitted.get(request_class, 1.0):
                self.outcomes["rejected"] += 1
                continue
            table = self.bound[proxy].get(request_class)
            lines = {} if table is None else self.open_lines(table)
            if not lines:
                self.outcomes["rejected"] += 1
                continue
            replica = self.rng.choices(list(lines), list(lines.values()))[0]
            attempts = self._attempts[self.proxies[proxy], replica]
            attempts["attempts"] += 1
            if replica in self.down:
                attempts["failures"] += 1
                self.outcomes["failed"] += 1
            else:
                self.outcomes["served"] += 1
                self._record_arrival(proxy, replica)

    def capacity_share(self, replica: int, time_us: float) -> float:
        """Return the share of its capacity that a replica has at a time; it rises evenly from its start."""
        safety = self.config.safety
        if not self.started_us[replica]:
            return 1.0
        age = min(1.0, max(0.0, (time_us - self.started_us[replica]) / safety.warmup_us))
        return safety.warmup_start_capacity + (1 - safety.warmup_start_capacity) * age

    def _record_arrival(self, proxy: int, replica: int) -> None:
        safety = self.config.safety
        started_us = self.started_us[replica]
        if not started_us or started_us <= self.now_us - safety.warmup_us:
            return
        is_listed = self.endpoints[replica].started_us == started_us
        times = self.message_times[proxy]
        is_informed = is_listed and bool(times) and times[-1] >= self.informed_us[replica]
        is_informed |= is_listed and self.now_us - self.informed_us[replica] > safety.drain_grace_us
        arrivals = self.arrivals[replica, started_us]
        recent = arrivals.recent
        recent.append((self.now_us, is_informed))
        while recent[0][0] < self.now_us - safety.overload_window_us:
            recent.popleft()
        if sum(informed for _, informed in recent) >= INFORMED_SHARE * len(recent):
            share = self.capacity_share(replica, self.now_us - safety.overload_window_us / 2)
            able = safety.overload_window_us / SECOND * self.shape.capacity_per_s * share
            arrivals.peak_ratio = max(arrivals.peak_ratio, len(recent) / able)

    def _reports(self) -> list[Event]:
        if self.now_us < self._next_report_us:
            return []
        period_us = self.shape.report_period_us
        self._next_report_us += period_us
        sent = Counter[int]()
        for (_, replica), counts in self._attempts.items():
            sent[replica] += counts["attempts"] - counts["failures"]
        events: list[Event] = []
        for (zone, replica), counts in self._attempts.items():
            capacity = self.capacity_share(replica, self.now_us) * self.shape.capacity_per_s
            busy_share = min(1.0, sent[replica] * SECOND / period_us / capacity)
            load = LoadReport(busy_share, 4 * busy_share) if sent[replica] else None
            events.append(
                AttemptsReported(
                    zone, replica, counts["attempts"], counts["failures"], 150_000, period_us, load
                )
            )
        for (proxy, request_class), count in self._offered.items():
            events.append(RequestsOffered(proxy, request_class, count, 0, period_us))
        self._attempts.clear()
        self._offered.clear()
        return events

    # The rule

    def overloaded(self) -> list[str]:
        """Return the cold replicas that were sent more than rule 4 allows, and by how much."""
        limit = CHANCE_SLACK * self.config.safety.overload_multiple
        return [
            f"replica {replica} was sent {arrivals.peak_ratio:.2f} times its present capacity"
            for (replica, _), arrivals in self.arrivals.items()
            if arrivals.peak_ratio > limit
        ]
