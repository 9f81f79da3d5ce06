"""A tiny fleet under a virtual clock, on the governor's core, the module and the relays' real feed state.

The checker keeps its own books: what the roster told and when, what relays hold, what they would send, what
was put into each channel. It asks neither module nor core. `explore` plays all orders of some events.
"""

from __future__ import annotations

import pickle
from collections import defaultdict, deque
from collections.abc import Callable, Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from itertools import chain

from gradehoist import interface as i
from gradehoist.governor.channel import Channel
from gradehoist.governor.core import GovernorCore
from gradehoist.governor.errors import RequestRejectedError
from gradehoist.governor.policy_host import PolicyHost
from gradehoist.governor.policy_instances import PolicyReply
from gradehoist.governor.proxy_sessions import FeedPoll
from gradehoist.protocol import feed
from gradehoist.protocol.proxy_state import ProxyState
from tests.support.governed_fleet import SECOND_US, make_endpoint, make_settings

TICK = 50_000
GAP = 400_000  # between events: shorter than a period, longer than a message's way
TAIL = 5 * SECOND_US  # after the last one: grace and bare limit can both run out
QUEUE, RATE = 150.0, 500.0
DEMAND = 0.9  # of one warm replica's capacity, from each relay
CLASSES = ("read", "write")
Spoil = Callable[["Site", list[i.Order]], list[i.Order]]


class Broken(AssertionError):
    pass


class Watched(Channel):
    """The real channel, with a book of its own of what was put: the limits come from the settings."""

    def watch(self, most: float, rate: float, number: int, window: int) -> Watched:
        self.told = (most, rate, number, window)
        self.book: list[tuple[float, int, float, int]] = []  # out at, proxy, lines, put at
        self.put_at: dict[int, list[int]] = {}
        self.out_at = 0.0
        return self

    def _out(self, put: int, cost: float) -> float:
        self.out_at = max(self.out_at, put) + cost / self.told[1] * 1e6
        return self.out_at

    def add_proxy(self, proxy: int) -> None:
        super().add_proxy(proxy)
        self.put_at[proxy] = []

    def remove_proxy(self, proxy: int) -> None:
        super().remove_proxy(proxy)
        if self.book:  # those behind move up
            out, first, cost, _ = self.book[0]
            self.out_at = 0.0 if first == proxy else out - cost / self.told[1] * 1e6
        self.book = [b for b in self.book if b[1] != proxy]
        self.book = [(self._out(b[3], b[2]), *b[1:]) for b in self.book]

    def put(self, now_us: int, proxy: int, stream: int, message: feed.Message) -> str | None:
        now = now_us
        why = super().put(now, proxy, stream, message)
        if why:
            return why
        most, _, number, window = self.told
        lines = 4 + sum(1 + len(d.weights) if isinstance(d, feed.BindDelta) else 1 for d in message.deltas)
        cost = max(message.cost_lines, lines)
        self.book = [b for b in self.book if b[0] > now]
        self.book.append((self._out(now, cost), proxy, cost, now))
        self.put_at[proxy] = [t for t in self.put_at[proxy] if t > now - window] + [now]
        if (waits := sum(b[2] for b in self.book)) > most:
            raise Broken(f"rule 5: {waits:g} lines wait, {most:g} may")
        if number and len(self.put_at[proxy]) > number:
            raise Broken(f"rule 5: {len(self.put_at[proxy])} messages to proxy {proxy} within the window")
        return None


@dataclass
class Governor:
    core: GovernorCore
    modules: PolicyHost
    phase: dict[str, tuple[str, int]] = field(default_factory=dict)  # as the roster told it, since when
    start: dict[str, tuple[int, int]] = field(default_factory=dict)  # its start, and when that was told
    probes: list[tuple[int, int]] = field(default_factory=list)


@dataclass
class Relay:
    name: str
    zone: str
    at: int  # the governor that it follows
    holdings: ProxyState = field(default_factory=ProxyState)
    epoch: str = ""
    stream: int = 0
    after: int = 0
    joined: int = -1  # since when, by its own knowledge
    last: int = 0  # the order time of the last message applied
    way: int = 20_000
    deaf: bool = False
    answer: tuple[int, feed.PollResponse] | None = None
    dials: int = 0
    bare: dict[str, int] = field(default_factory=dict)


class Site:
    def __init__(self, governors: int, spoil: Spoil | None = None) -> None:
        found = make_settings(2, QUEUE, RATE)
        # A short span and a long cold time: otherwise no weights could push over what so small a fleet has.
        rules = replace(found.fleet.safety, warmup_us=10 * SECOND_US, overload_window_us=SECOND_US)
        self.settings = replace(found, fleet=replace(found.fleet, safety=rules))
        self.rules, self.spoil = rules, spoil
        self.now, self.lives, self.done = 100 * SECOND_US, 0, list[str]()
        self.replicas = {f"w{n}": make_endpoint(n) for n in range(3)}
        self.started = dict.fromkeys(self.replicas, 0)
        self.failing: set[str] = set()
        self.sent: dict[str, deque[tuple[int, float, bool]]] = defaultdict(deque)
        self.governors = [self._governor() for _ in range(governors)]
        self.relays = [Relay(f"r{n}", "xy"[n % 2], n % governors) for n in range(2)]
        for relay in self.relays:
            relay.holdings.install_default_tables({c: {"w0": 1.0, "w1": 1.0} for c in CLASSES})
        self.run(3 * SECOND_US)
        for relay in self.relays:
            if not relay.holdings.is_bound:
                raise Broken("not bound")

    def _governor(self) -> Governor:
        self.lives += 1
        fleet = self.settings.fleet
        core = GovernorCore(fleet, self.settings.governors[0], f"e{self.lives}", self.now)
        ch = fleet.channel
        core.publisher.channel = Watched(
            queue_limit_lines=ch.queue_limit_lines,
            lines_per_s=ch.lines_per_s,
            messages_per_window=ch.messages_per_window,
            window_us=ch.message_window_us,
        ).watch(ch.queue_limit_lines, ch.lines_per_s, ch.messages_per_window, ch.message_window_us)
        made = Governor(core, PolicyHost(core.policy_configs, self.now, False))
        self._tell(made)
        return made

    def _tell(self, governor: Governor) -> None:
        """The whole list, of a life of the roster for each time: what is left out has gone."""
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
                self.now - self.started[e.replica] if self.started[e.replica] else 10**9,
            )
            for e in self.replicas.values()
            if e.phase != "gone"
        )
        self.lives += 1
        governor.core.handle_endpoint_list(
            self.now, feed.EndpointListUpdate(f"l{self.lives}", 1, listed, True)
        )
        for name, e in self.replicas.items():
            if governor.phase.get(name, ("", 0))[0] != e.phase:
                shut = governor.phase.get(name, ("ready", 0))
                since = shut[1] if shut[0] != "ready" and e.phase != "ready" else self.now
                governor.phase[name] = (e.phase, since)
            if governor.start.get(name, (-1, 0))[0] != self.started[name]:
                governor.start[name] = (self.started[name], self.now)

    # Events

    def event(self, word: str) -> None:
        self.done.append(word)
        what, _, name = word.partition(" ")
        relay = next((r for r in self.relays if r.name == name), self.relays[0])
        match what:
            case "drain" | "gone":
                self._list(name, "draining" if what == "drain" else "gone")
            case "back":  # also a restart that was never seen to go
                self.started[name] = self.now
                self._list(name, "ready", int(self.replicas[name].incarnation.partition("/")[2]) + 1)
            case "fails":
                self.failing ^= {name}
            case "deaf":
                relay.deaf = not relay.deaf
            case "late":
                relay.way = 500_000
            case "redial":
                self._lost(relay)
                relay.at = (relay.at + 1) % len(self.governors)
            case "leaves":
                self._lost(relay)
                relay.dials = self.now + SECOND_US
            case "restart":
                for one in [r for r in self.relays if r.at == int(name)]:
                    one.joined, one.answer, one.dials = -1, None, self.now + 100_000
                self.governors[int(name)] = self._governor()
            case "period":
                self.run(SECOND_US)
            case _:
                raise ValueError(word)
        self.run(GAP)

    def _list(self, name: str, phase: str, boot: int = 0) -> None:
        old = self.replicas[name]
        number = boot or int(old.incarnation.partition("/")[2])
        self.replicas[name] = make_endpoint(int(name[1:]), phase, number)
        for governor in self.governors:
            self._tell(governor)

    def _lost(self, relay: Relay) -> None:
        core = self.governors[relay.at].core
        core.remove_proxy(core.identifiers.proxies.get(relay.name, -1), "its connection closed")
        relay.joined, relay.answer, relay.dials = -1, None, self.now + 100_000

    # Time

    def run(self, span: int) -> None:
        end = self.now + span
        while self.now < end:
            self.now += TICK
            for relay in self.relays:
                self._relay(relay)
            for governor in self.governors:
                self._govern(governor)
            self._check()

    def _relay(self, relay: Relay) -> None:
        if relay.answer and relay.answer[0] <= self.now:
            self._take(relay, relay.answer[1])
            relay.answer = None
        if relay.answer is None and relay.dials <= self.now:
            after = 0 if relay.deaf else relay.after
            poll = FeedPoll(relay.name, relay.zone, 5.0, relay.epoch, relay.stream, after)
            try:
                answer = self.governors[relay.at].core.handle_poll(self.now, poll)
            except RequestRejectedError:
                relay.joined, relay.epoch, relay.dials = -1, "", self.now + 100_000
                return
            if answer is not None:
                relay.answer = (self.now + relay.way, answer)
        if self.now % SECOND_US < TICK and relay.joined >= 0:
            tries = tuple(
                feed.ReplicaAttempts(w, 6, 6 * (w in self.failing), 200_000, 0.5, 2.0)
                for w in relay.holdings.weights_for("read")
            )
            came = tuple(feed.ClassRequests(c, 10) for c in CLASSES)
            with suppress(RequestRejectedError):
                self.governors[relay.at].core.handle_load_report(
                    feed.ProxyLoadReport(relay.name, relay.epoch, SECOND_US, tries, came)
                )

    def _take(self, relay: Relay, answer: feed.PollResponse) -> None:
        if (answer.epoch, answer.stream) != (relay.epoch, relay.stream):
            relay.epoch, relay.stream, relay.after, relay.joined = answer.epoch, answer.stream, 0, self.now
            relay.holdings.begin_stream()
        for message in answer.messages:
            if message.seq > relay.after:
                relay.holdings.apply(message)
                relay.after, relay.last = message.seq, message.created_us

    def _govern(self, g: Governor) -> None:
        for at, replica in [p for p in g.probes if p[0] <= self.now]:
            name = g.core.identifiers.replicas.names[replica]
            good = name not in self.failing and self.replicas[name].phase == "ready"
            g.core.handle_health_check(
                replica,
                i.HealthCheckOutcome.HEALTHY if good else i.HealthCheckOutcome.TIMED_OUT,
                self.now - at,
                None,
            )
            g.probes.remove((at, replica))
        g.core.advance(self.now)
        if batches := g.core.take_batches():
            replies = [
                PolicyReply(
                    policy=reply.policy,
                    orders=self.spoil(self, reply.orders) if self.spoil else reply.orders,
                    reasons=reply.reasons,
                )
                for reply in g.modules.handle(self.now, batches)
            ]
            g.core.apply_replies(self.now, replies)
        g.probes += [(self.now + 100_000, n) for n in g.core.pending_health_checks]
        g.core.pending_health_checks.clear()
        g.core.log.take()

    # The rules, by what was told, held and sent

    def warm(self, g: Governor, but: str = "") -> bool:
        return any(
            phase == "ready" and n != but and g.start[n][0] <= self.now - self.rules.warmup_us
            for n, (phase, _) in g.phase.items()
        )

    def _check(self) -> None:
        for relay in self.relays:
            g = self.governors[relay.at]
            for cls in CLASSES:
                lines = relay.holdings.weights_for(cls)
                if relay.joined >= 0:
                    self._rules_1_and_3(relay, g, cls, lines)
                share, way = relay.holdings.admission_for(cls, 1)
                # The first try's answer is lost after the work: another one only where that was ordered.
                if cls == "write" and way >= 2 and len(lines) > 1 and relay.holdings.is_bound:
                    raise Broken(f"rule 2: a write of {relay.name} takes effect twice by way {way}")
                total = sum(lines.values())
                for name, weight in lines.items():
                    knows = relay.joined >= 0 and self._knows(relay, g, name)
                    work = DEMAND / len(CLASSES) * min(1.0, share) * TICK * weight / total
                    self.sent[name].append((self.now, work, knows))
        for name, some in self.sent.items():
            self._rule_4(name, some)

    def _rules_1_and_3(self, relay: Relay, g: Governor, cls: str, lines: dict[str, float]) -> None:
        for name in lines:
            phase, since = g.phase.get(name, ("ready", 0))
            late = self.now - max(since, relay.joined)
            if phase != "ready" and late > self.rules.drain_grace_us:
                raise Broken(f"rule 3: {relay.name} still sends to {name}, {phase} for {late / 1e6:.2f} s")
        if lines or not self.warm(g):
            relay.bare.pop(cls, None)
        elif self.now - relay.bare.setdefault(cls, self.now) > self.rules.unroutable_limit_us:
            raise Broken(f"rule 1: {relay.name} has had nothing to pick for {cls} for over the limit")

    def _knows(self, relay: Relay, g: Governor, name: str) -> bool:
        told = g.start[name][1]
        return relay.last > told or self.now - max(told, relay.joined) > self.rules.drain_grace_us

    def _rule_4(self, name: str, some: deque[tuple[int, float, bool]]) -> None:
        while some and some[0][0] <= self.now - self.rules.overload_window_us:
            some.popleft()
        age = self.now - self.started[name]
        if (
            not self.started[name]
            or age >= self.rules.warmup_us
            or not all(self.warm(g, name) for g in self.governors)
        ):
            return  # warm, or nothing else is there to send to
        mine = [x for x in some if x[0] > self.started[name]]
        cold = self.rules.warmup_start_capacity
        budget = (
            self.rules.overload_multiple
            * (cold + (1 - cold) * age / self.rules.warmup_us)
            * self.rules.overload_window_us
        )
        work = sum(x[1] for x in mine)
        if work > budget and sum(x[1] for x in mine if x[2]) >= work * 2 / 3:
            raise Broken(
                f"rule 4: {name}, cold for {age / 1e6:.2f} s, is sent {work / budget:.2f} of what "
                "pushes it over"
            )


def explore(governors: int, events: Iterable[str], depth: int, spoil: Spoil | None = None) -> int:
    """Plays all orders of `depth` different events and checks the rules at each step; how many orders.
    Raises Broken with the order's steps."""
    words, count = tuple(events), 0

    def go(state: bytes, left: tuple[str, ...], depth: int) -> None:
        nonlocal count
        for word in left:
            site: Site = pickle.loads(state)
            try:
                site.event(word)
                if depth > 1:
                    go(pickle.dumps(site), tuple(w for w in left if w != word), depth - 1)
                else:
                    site.run(TAIL)
                    count += 1
            except Broken as fault:
                if "order:" in str(fault):
                    raise
                raise Broken(f"{fault}; order: {', '.join(site.done)}") from None

    try:
        start = pickle.dumps(Site(governors, spoil))
    except Broken as fault:
        raise Broken(f"{fault}; order: none yet") from None
    go(start, words, depth)
    return count


def play(governors: int, *events: str, spoil: Spoil | None = None) -> Site:
    """One order, as a plain test of what `explore` found."""
    site = Site(governors, spoil)
    for word in chain(events):
        site.event(word)
    site.run(TAIL)
    return site
