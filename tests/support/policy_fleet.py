"""A small model of what proxies hold, fed by orders, with the rules checked on it after every step."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from gradehoist import interface as i
from gradehoist.policy.planner import Planner

SECOND = 1_000_000
ANY = i.RequestClass(SECOND, 2 * SECOND, 1.0, 0.1, i.Idempotency.IDEMPOTENT, None, None, False)
BOUND = i.RequestClass(SECOND, 2 * SECOND, 3.0, 0.1, i.Idempotency.NOT_IDEMPOTENT, (0, 1), None, False)
LOCAL = i.RequestClass(SECOND, 2 * SECOND, 3.0, 0.1, i.Idempotency.NOT_IDEMPOTENT, None, None, True)


def start(
    classes: tuple[i.RequestClass, ...] = (ANY, BOUND, LOCAL),
    queue: float = 2000.0,
    limit: int = 20,
    seed: int = 7,
    probes: bool = True,
    rate: float = 1e6,
    proxies: int = 6,
) -> i.PolicyConfig:
    rules = i.SafetyLimits(2 * SECOND, 10 * SECOND, 0.2, 3.0, 3 * SECOND, 4 * SECOND, False)
    reports = i.LoadReporting(SECOND, True, True, probes, False)
    channel = i.ChannelLimits(queue, rate, 4.0, limit, 10 * SECOND)
    return i.PolicyConfig(seed, 3, proxies, 0, True, classes, rules, channel, reports)


def entry(n: int, phase: i.Phase = i.Phase.READY, started: int = 0, size: float = 1.0) -> i.Endpoint:
    return i.Endpoint(n, n % 3, 0, 0, phase, size, started)


@dataclass
class World:
    settings: i.PolicyConfig = field(default_factory=start)
    now: int = 100 * SECOND
    tables: dict[int, dict[int, float]] = field(default_factory=dict)
    proxies: dict[int, int] = field(default_factory=dict)  # zone by proxy
    bound: dict[int, dict[int, int]] = field(default_factory=dict)  # table by class
    shut: set[int] = field(default_factory=set)
    known: dict[int, i.Endpoint] = field(default_factory=dict)
    queue: deque[tuple[int, int, float]] = field(default_factory=deque)  # proxy, mark, lines
    wakes: list[int] = field(default_factory=list)
    sent: dict[int, list[int]] = field(default_factory=dict)
    log: list[i.Order] = field(default_factory=list)
    bare: dict[tuple[int, int, int], int] = field(default_factory=dict)  # since when a class has no line

    def __post_init__(self) -> None:
        self.module = Planner(self.settings, self.now)

    def step(self, *events: i.Event, wait: int = 0) -> list[i.Order]:
        self.now += wait
        for e in events:
            if isinstance(e, i.EndpointsListed):
                if e.kind is not i.EndpointListKind.DELTA:
                    left = set(self.known) - {x.replica for x in e.endpoints}
                    for n in left:
                        self.known[n] = entry(n, i.Phase.GONE, self.known[n].started_us)
                self.known |= {x.replica: x for x in e.endpoints}
            elif isinstance(e, i.ProxyJoined):
                self.proxies[e.proxy], self.bound[e.proxy], self.sent[e.proxy] = e.zone, {}, []
            elif isinstance(e, i.ProxyLeft):
                del self.proxies[e.proxy], self.bound[e.proxy]
                self.queue = deque(q for q in self.queue if q[0] != e.proxy)
        orders = self.module.handle(self.now, list(events))
        self.take(orders)
        self.check()
        return orders

    def take(self, orders: list[i.Order]) -> None:
        self.log += orders
        lines: dict[int, float] = {}
        mark, to_all = next(
            ((o.revision, o.to_all) for o in orders if isinstance(o, i.RequestAcknowledgement)), (-1, False)
        )
        lines |= dict.fromkeys(self.proxies if to_all else [], 0)
        for o in orders:
            users = [p for p, by in self.bound.items() if getattr(o, "table", None) in by.values()]
            if isinstance(o, i.SetWeight):
                assert o.weight >= 0 and o.replica in self.known, "a weight of a replica never listed"
                self.tables.setdefault(o.table, {})[o.replica] = o.weight
                if not o.weight:
                    del self.tables[o.table][o.replica]
            elif isinstance(o, i.BindProxy):
                assert o.proxy in self.proxies and o.classes
                self.bound[o.proxy] |= dict.fromkeys(o.classes, o.table)
                users = [o.proxy]
                lines[o.proxy] = lines.get(o.proxy, 0) + len(self.tables.get(o.table, {})) + len(self.shut)
            elif isinstance(o, i.WithdrawReplica):
                (self.shut.add if o.withdrawn else self.shut.discard)(o.replica)
                users = [
                    p
                    for p, b in self.bound.items()
                    if any(o.replica in self.tables.get(t, {}) for t in b.values())
                ]
            elif isinstance(o, i.SetAdmission):
                assert 0 < o.admitted_share <= 1 and o.retry_policy <= 1, "a further try that might run twice"
                users = list(self.proxies)
            elif isinstance(o, i.SetTimer):
                self.wakes.append(self.now + o.delay_us)
            for p in users:
                lines[p] = lines.get(p, 0) + 1
        for p, n in lines.items():
            assert mark >= 0, "lines that nobody will acknowledge"
            self.queue.append((p, mark, n + 1 + self.settings.channel.message_overhead_lines))
            self.sent[p].append(self.now)

    def check(self) -> None:
        """Queue and message caps, drains, placement, and a line to pick for every class that has a server."""
        channel, rules = self.settings.channel, self.settings.safety
        assert sum(n for _, _, n in self.queue) <= channel.queue_limit_lines
        for p, times in self.sent.items():
            recent = [t for t in times if t > self.now - channel.message_window_us]
            assert (
                not channel.messages_per_window or len(recent) <= channel.messages_per_window
            ), f"too often to {p}"
        for p, zone in self.proxies.items():
            for k, table in self.bound[p].items():
                c = self.settings.classes[k]
                for n in self.tables.get(table, {}):
                    assert (
                        c.allowed_zones is None or self.known[n].zone in c.allowed_zones
                    ), "outside its zones"
                    assert not c.zone_local or self.known[n].zone == zone, "outside its own zone"
                warm = [
                    n
                    for n, x in self.known.items()
                    if x.phase is i.Phase.READY
                    and x.started_us <= self.now - rules.warmup_us
                    and (c.allowed_zones is None or x.zone in c.allowed_zones)
                    and (not c.zone_local or x.zone == zone)
                ]
                bare = self.bare.pop((p, k, table), self.now)
                if warm and not self.open(table):
                    self.bare[p, k, table] = bare
                    assert (
                        self.now - bare <= rules.unroutable_limit_us
                    ), f"class {k} of proxy {p} has nothing to pick"
        if not self.queue and all(len(b) == len(self.settings.classes) for b in self.bound.values()):
            for n, x in self.known.items():
                held = any(n in self.tables.get(t, {}) for b in self.bound.values() for t in b.values())
                assert x.phase is i.Phase.READY or not held or n in self.shut, "sent to a drained server"

    def open(self, table: int) -> dict[int, float]:
        return {n: w for n, w in self.tables.get(table, {}).items() if n not in self.shut}

    def share(self, proxy: int, cls: int, replica: int) -> float:
        lines = self.open(self.bound[proxy][cls])
        return lines.get(replica, 0.0) / sum(lines.values())

    def acks(self, most: int = 1000) -> list[i.Event]:
        done = [self.queue.popleft() for _ in range(min(most, len(self.queue)))]
        return [i.UpdateAcknowledged(p, m, 1000) for p, m, _ in done if p in self.proxies]

    def run(
        self, seconds: float, report: Mapping[int, tuple[int, int, i.LoadReport | None]] | None = None
    ) -> None:
        """Time goes on: timers fire, messages are acknowledged, each second the replicas report."""
        end, next_report = self.now + int(seconds * SECOND), self.now + SECOND
        while self.wakes and min(self.wakes) <= end:
            due = min(self.wakes)
            self.wakes.remove(due)
            events: list[i.Event] = self.acks()
            if due >= next_report:
                next_report += SECOND
                events += [
                    i.AttemptsReported(z, n, tries, bad, 200_000, SECOND, load)
                    for z in range(3)
                    for n, (tries, bad, load) in (report or {}).items()
                ]
            self.step(*events, i.TimerFired(0), wait=due - self.now)
        self.now = max(self.now, end)


def running(count: int = 9, proxies: int = 4, settings: i.PolicyConfig | None = None) -> World:
    world = World(settings or start())
    world.step(i.EndpointsListed(i.EndpointListKind.CACHED, tuple(entry(n) for n in range(count))))
    world.step(*(i.ProxyJoined(p, p % 3, 5.0) for p in range(proxies)))
    world.run(1)
    return world
