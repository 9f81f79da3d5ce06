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
from gradehoist.settings.fleet import CellPlacement, Settings
from gradehoist.settings.fleet_parser import parse_settings

SECOND_US = 1_000_000
SETTINGS_TEMPLATE = """
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


def make_settings(
    proxy_count: int = 10, queue_limit_lines: float = 2000, lines_per_s: float = 2000
) -> Settings:
    reader = r.SettingsReader("test")
    root = reader.parse(
        SETTINGS_TEMPLATE.format(relays=proxy_count, queue=queue_limit_lines, rate=lines_per_s)
    )
    found = parse_settings(root, Path("."))
    reader.raise_errors()
    return found


def make_loopback_settings(
    folder: Path,
    endpoint_list_port: int,
    governor_port: int,
    placement: CellPlacement | None = None,
    extra_cell_settings: str = "",
) -> Settings:
    """Settings of one governor on loopback ports; with a placement, `more` beside its file's name."""
    text = SETTINGS_TEMPLATE.format(relays=4, queue=2000, rate=2000)
    text = text.replace(":7000", f":{endpoint_list_port}").replace(":7101", f":{governor_port}")
    if placement is not None:
        (folder / "p.json").write_bytes(msgspec.json.encode(placement))
        text = text.replace("    reports", f'    cells placement="p.json" {extra_cell_settings}\n    reports')
    reader = r.SettingsReader("test")
    found = parse_settings(reader.parse(text), folder)
    reader.raise_errors()
    return found


def make_endpoint(
    number: int, phase: str = "ready", boot_number: int = 1, age_us: int = 10**9
) -> feed.EndpointRecord:
    return feed.EndpointRecord(
        f"w{number}", "xy"[number % 2], "", "k", 0, phase, 1.0, f"w{number}/{boot_number}", age_us
    )


@dataclass
class SimulatedProxy:
    name: str
    zone: str
    state: ProxyState = field(default_factory=ProxyState)
    epoch: str = ""
    stream: int = 0
    applied_seq: int = 0
    is_polling: bool = False
    applied_count: int = 0  # messages applied
    resync_count: int = 0
    is_dead: bool = False

    def make_poll(self) -> FeedPoll:
        return FeedPoll(self.name, self.zone, 1.0, self.epoch, self.stream, self.applied_seq)


class GovernedFleet:
    def __init__(
        self,
        proxy_count: int = 10,
        replica_count: int = 8,
        queue_limit_lines: float = 2000,
        lines_per_s: float = 2000,
        latency_us: int = 20_000,
    ) -> None:
        self.settings = make_settings(proxy_count, queue_limit_lines, lines_per_s)
        self.now_us, self.latency_us = 100 * SECOND_US, latency_us
        self.endpoints = {f"w{n}": make_endpoint(n) for n in range(replica_count)}
        self.version = 0
        self.proxies = [SimulatedProxy(f"r{n}", "xy"[n % 2]) for n in range(proxy_count)]
        for relay in self.proxies:
            relay.state.install_default_tables({c: {"w0": 1.0, "w1": 1.0} for c in ("read", "write")})
        self.withdrawn_since_us: dict[str, int] = {}  # since when a replica is told to be shut
        self.scheduled: list[tuple[int, int, SimulatedProxy, feed.PollResponse | None]] = []
        self.scheduled_count = 0
        self.peak_lines = 0.0
        self.start_governor("one")

    def start_governor(self, epoch: str) -> None:
        """A governor starts, as after a kill: nothing of an earlier one is known to it."""
        self.core = GovernorCore(self.settings.fleet, self.settings.governors[0], epoch, self.now_us)
        self.policies = PolicyHost(self.core.policy_configs, self.now_us, bool(self.core.slot_us))
        self.scheduled = []
        for relay in self.proxies:
            relay.is_polling = False
        self.update_endpoints(is_snapshot=True)

    def update_endpoints(self, *changed: feed.EndpointRecord, is_snapshot: bool = False) -> None:
        self.version += 1
        for e in changed:
            self.endpoints[e.replica] = e
            if e.phase == "ready":
                self.withdrawn_since_us.pop(e.replica, None)
            else:
                self.withdrawn_since_us.setdefault(e.replica, self.now_us)
        entries = tuple(e for e in self.endpoints.values() if e.phase != "gone") if is_snapshot else changed
        document = feed.EndpointListUpdate(
            "life", self.version, entries, is_snapshot, 0 if is_snapshot else self.version - 1
        )
        self.core.handle_endpoint_list(self.now_us, document)

    def connect(self, *relays: SimulatedProxy) -> None:
        for relay in relays or self.proxies:
            self._schedule(relay, None, 0)

    def _schedule(self, relay: SimulatedProxy, answer: feed.PollResponse | None, wait: int) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (self.now_us + wait, self.scheduled_count, relay, answer))

    def _ask(self, relay: SimulatedProxy) -> None:
        try:
            answer = self.core.handle_poll(self.now_us, relay.make_poll())
        except RequestRejectedError as fault:
            assert fault.status in (409, 503)
            relay.epoch, relay.is_polling = "", False
            return
        relay.is_polling = answer is None
        if answer is not None:
            self._schedule(relay, answer, self.latency_us)

    def _take(self, relay: SimulatedProxy, answer: feed.PollResponse) -> None:
        if (answer.epoch, answer.stream) != (relay.epoch, relay.stream):
            relay.epoch, relay.stream, relay.applied_seq = answer.epoch, answer.stream, 0
            relay.state.begin_stream()
        for message in answer.messages:
            if message.seq > relay.applied_seq:
                relay.state.apply(message)
                relay.applied_seq, relay.applied_count = message.seq, relay.applied_count + 1
                relay.resync_count += message.is_snapshot

    def run(self, seconds: float) -> None:
        """Steps of 5 ms; the rules that a governor keeps are checked after each."""
        for _ in range(int(seconds * 200)):
            self.now_us += 5_000
            while self.scheduled and self.scheduled[0][0] <= self.now_us:
                _, _, relay, answer = heapq.heappop(self.scheduled)
                if relay.is_dead:
                    continue
                if answer is not None:
                    self._take(relay, answer)
                self._ask(relay)
            ready = self.core.advance(self.now_us)
            for relay in self.proxies:
                if relay.is_polling and self.core.identifiers.proxies.get(relay.name, -1) in ready:
                    self._ask(relay)
                elif relay.is_polling and (
                    s := self.core.streams.get(self.core.identifiers.proxies[relay.name])
                ):
                    s.last_poll_us = self.now_us  # a held poll is renewed in time
            slot = not self.core.slot_us or self.now_us % self.core.slot_us < 5_000
            hurry, self.core.has_urgent_change = self.core.has_urgent_change and not slot, False
            if slot or hurry:
                batches = self.core.take_batches(hurry)
                if batches or self.core.slot_us:
                    self.core.apply_replies(
                        self.now_us, self.policies.handle(self.now_us, batches, not hurry)
                    )
                if self.core.slot_us and slot:
                    more = self.core.publish_slot(self.now_us)
                    while more:
                        more = self.core.publish_slot(self.now_us, more)
            self.check()

    def check(self) -> None:
        channel = self.core.publisher.channel
        self.peak_lines = max(self.peak_lines, channel.waiting_lines)
        assert channel.waiting_lines <= channel.queue_limit_lines
        assert abs(channel.waiting_lines - sum(x.message.cost_lines for x in channel._queue)) < 1e-6
        for name, since in self.withdrawn_since_us.items():
            if self.now_us - since > self.settings.fleet.safety.drain_grace_us:
                held = [
                    r.name
                    for r in self.proxies
                    if r.stream
                    and not r.is_dead
                    and any(name in r.state.weights_for(c) for c in r.state.table_by_class)
                ]
                assert not held, f"{name} still picked by {held}"
