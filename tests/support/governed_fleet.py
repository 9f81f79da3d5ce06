"""A governor core with real policies and simulated proxies, under a virtual clock."""

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
from gradehoist.settings import reader as settings_reader
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
    reader = settings_reader.SettingsReader("test")
    root = reader.parse(
        SETTINGS_TEMPLATE.format(relays=proxy_count, queue=queue_limit_lines, rate=lines_per_s)
    )
    settings = parse_settings(root, Path("."))
    reader.raise_errors()
    return settings


def make_loopback_settings(
    folder: Path,
    endpoint_list_port: int,
    governor_port: int,
    placement: CellPlacement | None = None,
    extra_cell_settings: str = "",
) -> Settings:
    """Returns settings of one governor on loopback ports.

    With a placement, `extra_cell_settings` are added to the line that names its file.
    """
    text = SETTINGS_TEMPLATE.format(relays=4, queue=2000, rate=2000)
    text = text.replace(":7000", f":{endpoint_list_port}").replace(":7101", f":{governor_port}")
    if placement is not None:
        (folder / "p.json").write_bytes(msgspec.json.encode(placement))
        text = text.replace("    reports", f'    cells placement="p.json" {extra_cell_settings}\n    reports')
    reader = settings_reader.SettingsReader("test")
    settings = parse_settings(reader.parse(text), folder)
    reader.raise_errors()
    return settings


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
    applied_count: int = 0  # number of messages applied
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
        for proxy in self.proxies:
            proxy.state.install_default_tables({c: {"w0": 1.0, "w1": 1.0} for c in ("read", "write")})
        self.unavailable_since_us: dict[str, int] = {}  # when the list first had the replica draining or gone
        self.scheduled: list[tuple[int, int, SimulatedProxy, feed.PollResponse | None]] = []
        self.scheduled_count = 0
        self.peak_lines = 0.0
        self.start_governor("one")

    def start_governor(self, epoch: str) -> None:
        """Starts a governor without any state of an earlier one, as after a kill."""
        self.core = GovernorCore(self.settings.fleet, self.settings.governors[0], epoch, self.now_us)
        self.policies = PolicyHost(self.core.policy_configs, self.now_us, bool(self.core.slot_us))
        self.scheduled = []
        for proxy in self.proxies:
            proxy.is_polling = False
        self.update_endpoints(is_snapshot=True)

    def update_endpoints(self, *changed: feed.EndpointRecord, is_snapshot: bool = False) -> None:
        self.version += 1
        for e in changed:
            self.endpoints[e.replica] = e
            if e.phase == "ready":
                self.unavailable_since_us.pop(e.replica, None)
            else:
                self.unavailable_since_us.setdefault(e.replica, self.now_us)
        records = tuple(e for e in self.endpoints.values() if e.phase != "gone") if is_snapshot else changed
        update = feed.EndpointListUpdate(
            "life", self.version, records, is_snapshot, 0 if is_snapshot else self.version - 1
        )
        self.core.handle_endpoint_list(self.now_us, update)

    def connect(self, *proxies: SimulatedProxy) -> None:
        for proxy in proxies or self.proxies:
            self._schedule(proxy, None, 0)

    def _schedule(self, proxy: SimulatedProxy, answer: feed.PollResponse | None, delay_us: int) -> None:
        self.scheduled_count += 1
        heapq.heappush(self.scheduled, (self.now_us + delay_us, self.scheduled_count, proxy, answer))

    def _poll(self, proxy: SimulatedProxy) -> None:
        try:
            answer = self.core.handle_poll(self.now_us, proxy.make_poll())
        except RequestRejectedError as error:
            assert error.status in (409, 503)
            proxy.epoch, proxy.is_polling = "", False
            return
        proxy.is_polling = answer is None
        if answer is not None:
            self._schedule(proxy, answer, self.latency_us)

    def _apply_answer(self, proxy: SimulatedProxy, answer: feed.PollResponse) -> None:
        if (answer.epoch, answer.stream) != (proxy.epoch, proxy.stream):
            proxy.epoch, proxy.stream, proxy.applied_seq = answer.epoch, answer.stream, 0
            proxy.state.begin_stream()
        for message in answer.messages:
            if message.seq > proxy.applied_seq:
                proxy.state.apply(message)
                proxy.applied_seq, proxy.applied_count = message.seq, proxy.applied_count + 1
                proxy.resync_count += message.is_snapshot

    def run(self, seconds: float) -> None:
        """Runs in steps of 5 ms, and checks after each that the governor keeps its limits and the grace."""
        for _ in range(int(seconds * 200)):
            self.now_us += 5_000
            while self.scheduled and self.scheduled[0][0] <= self.now_us:
                _, _, proxy, answer = heapq.heappop(self.scheduled)
                if proxy.is_dead:
                    continue
                if answer is not None:
                    self._apply_answer(proxy, answer)
                self._poll(proxy)
            ready = self.core.advance(self.now_us)
            for proxy in self.proxies:
                if proxy.is_polling and self.core.identifiers.proxies.get(proxy.name, -1) in ready:
                    self._poll(proxy)
                elif proxy.is_polling and (
                    stream := self.core.streams.get(self.core.identifiers.proxies[proxy.name])
                ):
                    stream.last_poll_us = self.now_us  # in place of the next poll, which would arrive in time
            is_slot = not self.core.slot_us or self.now_us % self.core.slot_us < 5_000
            is_urgent, self.core.has_urgent_change = self.core.has_urgent_change and not is_slot, False
            if is_slot or is_urgent:
                batches = self.core.take_batches(is_urgent)
                if batches or self.core.slot_us:
                    self.core.apply_replies(
                        self.now_us, self.policies.handle(self.now_us, batches, not is_urgent)
                    )
                if self.core.slot_us and is_slot:
                    must_continue = self.core.publish_slot(self.now_us)
                    while must_continue:
                        must_continue = self.core.publish_slot(self.now_us, must_continue)
            self.check_invariants()

    def check_invariants(self) -> None:
        channel = self.core.publisher.channel
        self.peak_lines = max(self.peak_lines, channel.waiting_lines)
        assert channel.waiting_lines <= channel.queue_limit_lines
        assert abs(channel.waiting_lines - sum(item.message.cost_lines for item in channel._queue)) < 1e-6
        for name, since_us in self.unavailable_since_us.items():
            if self.now_us - since_us > self.settings.fleet.safety.drain_grace_us:
                senders = [
                    r.name
                    for r in self.proxies
                    if r.stream
                    and not r.is_dead
                    and any(name in r.state.weights_for(c) for c in r.state.table_by_class)
                ]
                assert not senders, f"replica {name} is still used by {senders}"
