"""A governor's core with the real module and simple relays under a virtual clock."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from pathlib import Path

import msgspec

from gradehoist.governor.core import GovernorCore
from gradehoist.governor.errors import RequestRejectedError
from gradehoist.governor.policy_host import PolicyHost
from gradehoist.governor.proxy_sessions import FeedPoll
from gradehoist.protocol import feed
from gradehoist.protocol.proxy_state import ProxyState
from gradehoist.settings import reader as r
from gradehoist.settings.fleet import CellPlacement, Settings, parse_settings

SECOND = 1_000_000
TEXT = """
fleet relays={relays} roster="127.0.0.1:7000" {{
    zones "x" "y"
    kinds "k"
    class "read" goal="1s" cutoff="2s" repeat="free"
    class "write" goal="1s" cutoff="2s" repeat="single"
    rules grace="2s" cold-time="5s" cold-share=0.2 fall-multiple=3 fall-span="3s" bare-limit="4s"
    channel queue-limit={queue} line-rate={rate} message-limit=20 message-window="10s"
    reports period="1s" intake=100
}}
governor "a" zone="x" listen="127.0.0.1:7101"
"""


def settings(relays: int = 10, queue: float = 2000, rate: float = 2000) -> Settings:
    reader = r.SettingsReader("test")
    root = reader.parse(TEXT.format(relays=relays, queue=queue, rate=rate))
    found = parse_settings(root, Path("."))
    reader.raise_errors()
    return found


def on_sockets(
    folder: Path, roster: int, port: int, placed: CellPlacement | None = None, more: str = ""
) -> Settings:
    """Settings of one governor on loopback ports; with a placement, `more` beside its file's name."""
    text = TEXT.format(relays=4, queue=2000, rate=2000)
    text = text.replace(":7000", f":{roster}").replace(":7101", f":{port}")
    if placed is not None:
        (folder / "p.json").write_bytes(msgspec.json.encode(placed))
        text = text.replace("    reports", f'    cells placement="p.json" {more}\n    reports')
    reader = r.SettingsReader("test")
    found = parse_settings(reader.parse(text), folder)
    reader.raise_errors()
    return found


def entry(n: int, phase: str = "ready", boot: int = 1, age: int = 10**9) -> feed.EndpointRecord:
    return feed.EndpointRecord(f"w{n}", "xy"[n % 2], "", "k", 0, phase, 1.0, f"w{n}/{boot}", age)


@dataclass
class Relay:
    name: str
    zone: str
    holdings: ProxyState = field(default_factory=ProxyState)
    epoch: str = ""
    stream: int = 0
    after: int = 0
    polling: bool = False
    seen: int = 0  # messages applied
    pictures: int = 0
    dead: bool = False

    def poll(self) -> FeedPoll:
        return FeedPoll(self.name, self.zone, 1.0, self.epoch, self.stream, self.after)


class World:
    def __init__(
        self,
        relays: int = 10,
        replicas: int = 8,
        queue: float = 2000,
        rate: float = 2000,
        latency: int = 20_000,
    ) -> None:
        self.settings = settings(relays, queue, rate)
        self.now, self.latency = 100 * SECOND, latency
        self.replicas = {f"w{n}": entry(n) for n in range(replicas)}
        self.version = 0
        self.relays = [Relay(f"r{n}", "xy"[n % 2]) for n in range(relays)]
        for relay in self.relays:
            relay.holdings.install_default_tables({c: {"w0": 1.0, "w1": 1.0} for c in ("read", "write")})
        self.told: dict[str, int] = {}  # since when a replica is told to be shut
        self.calls: list[tuple[int, int, Relay, feed.PollResponse | None]] = []
        self.count = 0
        self.most = 0.0
        self.begin("one")

    def begin(self, epoch: str) -> None:
        """A governor starts, as after a kill: nothing of an earlier one is known to it."""
        self.core = GovernorCore(self.settings.fleet, self.settings.governors[0], epoch, self.now)
        self.modules = PolicyHost(self.core.policy_configs, self.now, bool(self.core.slot_us))
        self.calls = []
        for relay in self.relays:
            relay.polling = False
        self.list(whole=True)

    def list(self, *changed: feed.EndpointRecord, whole: bool = False) -> None:
        self.version += 1
        for e in changed:
            self.replicas[e.replica] = e
            if e.phase == "ready":
                self.told.pop(e.replica, None)
            else:
                self.told.setdefault(e.replica, self.now)
        entries = tuple(e for e in self.replicas.values() if e.phase != "gone") if whole else changed
        document = feed.EndpointListUpdate(
            "life", self.version, entries, whole, 0 if whole else self.version - 1
        )
        self.core.handle_endpoint_list(self.now, document)

    def dial(self, *relays: Relay) -> None:
        for relay in relays or self.relays:
            self._later(relay, None, 0)

    def _later(self, relay: Relay, answer: feed.PollResponse | None, wait: int) -> None:
        self.count += 1
        heapq.heappush(self.calls, (self.now + wait, self.count, relay, answer))

    def _ask(self, relay: Relay) -> None:
        try:
            answer = self.core.handle_poll(self.now, relay.poll())
        except RequestRejectedError as fault:
            assert fault.status in (409, 503)
            relay.epoch, relay.polling = "", False
            return
        relay.polling = answer is None
        if answer is not None:
            self._later(relay, answer, self.latency)

    def _take(self, relay: Relay, answer: feed.PollResponse) -> None:
        if (answer.epoch, answer.stream) != (relay.epoch, relay.stream):
            relay.epoch, relay.stream, relay.after = answer.epoch, answer.stream, 0
            relay.holdings.begin_stream()
        for message in answer.messages:
            if message.seq > relay.after:
                relay.holdings.apply(message)
                relay.after, relay.seen = message.seq, relay.seen + 1
                relay.pictures += message.is_snapshot

    def run(self, seconds: float) -> None:
        """Steps of 5 ms; the rules that a governor keeps are checked after each."""
        for _ in range(int(seconds * 200)):
            self.now += 5_000
            while self.calls and self.calls[0][0] <= self.now:
                _, _, relay, answer = heapq.heappop(self.calls)
                if relay.dead:
                    continue
                if answer is not None:
                    self._take(relay, answer)
                self._ask(relay)
            ready = self.core.advance(self.now)
            for relay in self.relays:
                if relay.polling and self.core.identifiers.proxies.get(relay.name, -1) in ready:
                    self._ask(relay)
                elif relay.polling and (
                    s := self.core.streams.get(self.core.identifiers.proxies[relay.name])
                ):
                    s.last_poll_us = self.now  # a held poll is renewed in time
            slot = not self.core.slot_us or self.now % self.core.slot_us < 5_000
            hurry, self.core.has_urgent_change = self.core.has_urgent_change and not slot, False
            if slot or hurry:
                batches = self.core.take_batches(hurry)
                if batches or self.core.slot_us:
                    self.core.apply_replies(self.now, self.modules.handle(self.now, batches, not hurry))
                if self.core.slot_us and slot:
                    more = self.core.publish_slot(self.now)
                    while more:
                        more = self.core.publish_slot(self.now, more)
            self.check()

    def check(self) -> None:
        channel = self.core.publisher.channel
        self.most = max(self.most, channel.waiting_lines)
        assert channel.waiting_lines <= channel.queue_limit_lines
        assert abs(channel.waiting_lines - sum(x.message.cost_lines for x in channel._queue)) < 1e-6
        for name, since in self.told.items():
            if self.now - since > self.settings.fleet.safety.drain_grace_us:
                held = [
                    r.name
                    for r in self.relays
                    if r.stream
                    and not r.dead
                    and any(name in r.holdings.weights_for(c) for c in r.holdings.table_by_class)
                ]
                assert not held, f"{name} still picked by {held}"
