"""Simulated platform proxies under a virtual clock, with their own message parser."""

from __future__ import annotations

from dataclasses import dataclass, field

from gradehoist.interface import Phase
from gradehoist.node.core import NodeCore
from gradehoist.node.discovery import DiscoveredEndpoint, EndpointListUpdate
from gradehoist.protocol import lines
from gradehoist.settings import platform

SECOND = 1_000_000
SETTINGS = {
    "azs": ["a", "b"], "kinds": ["k"],
    "classes": [
        {"name": "read", "aim": 1.0, "deadline": 2.0, "idempotency": "free", "worth": 1.0},
        {"name": "write", "aim": 1.0, "deadline": 2.0, "idempotency": "single_shot", "worth": 3.0,
         "only-zones": ["a"]},
    ],
    "specifics": {"period": 1.0, "proxies": 8, "pending-max": 1500.0, "push-rate": 1500.0, "fixed-cost": 4.0,
                  "pushes-allowed": 20, "update-window": 10.0, "blackhole": 4.0, "admission": "share"},
    "guarantees": {"drain-grace": 2.0, "cold": 10.0, "cold-share": 0.2, "fall-multiple": 4.0,
                   "tip-after": 3.0},
    "report": {"how": "inline", "fields": ["utilization", "outstanding", "recent_ms"]},
    "limits": {"probes": True},
}  # fmt: skip
CLASSES = ("read", "write")
MESSAGE_OVERHEAD_LINES = 4
REQUEST_RATE = 5.0


def discovered(number: int, phase: Phase = Phase.READY, started_us: int = 0) -> DiscoveredEndpoint:
    """Returns replica s-NUMBER as listed by discovery."""
    return DiscoveredEndpoint(
        replica=f"s-{number}",
        address=f"127.0.0.1:{7000 + number}",
        zone="ab"[number % 2],
        kind="k",
        cell=0,
        phase=phase,
        size=1.0,
        started_us=started_us,
    )


@dataclass
class Proxy:
    """The tables, admission limits and withdrawals of one proxy, independent of the encoder's code."""

    number: int
    zone: str
    stream_id: int = 0
    tables: dict[str, dict[str, float]] = field(default_factory=lambda: {name: {} for name in CLASSES})
    admission: dict[str, tuple[float, int]] = field(default_factory=dict)
    withdrawn: set[str] = field(default_factory=set)
    unacknowledged: list[int] = field(default_factory=list)
    message_count: int = 0
    is_stalled: bool = False  # a stalled proxy neither reads nor acknowledges messages

    def read(self, data: bytes) -> int:
        """Applies one message and returns its cost in lines."""
        parts = data.decode().split("\r\n")
        assert parts.pop() == ""
        assert len(parts) <= 64
        cost_lines = MESSAGE_OVERHEAD_LINES
        for position, part in enumerate(parts):
            kind, *words = part.split(" ")
            fields = dict(word.split("=", 1) for word in words)
            assert kind == "push"
            assert ("more" in fields) == (position + 1 < len(parts))
            cost_lines += self._apply_tables(fields) + self._apply_withdrawals(fields)
            if "ticket" in fields:
                self.unacknowledged.append(int(fields["ticket"]))
                cost_lines += 1
        self.message_count += 1
        return cost_lines

    def _apply_tables(self, fields: dict[str, str]) -> int:
        classes = fields["classes"].split("+") if "classes" in fields else list(CLASSES)
        lines = [line.rsplit(":", 1) for line in fields["lines"].split(",")] if "lines" in fields else []
        for name in classes:
            table = self.tables[name]
            if "whole" in fields:
                table.clear()
                self.admission.pop(name, None)
            for replica, weight in lines:
                table[replica] = float(weight)
                if float(weight) == 0:
                    del table[replica]
            if "level" in fields:
                self.admission[name] = float(fields["level"]), int(fields["retry"])
        return len(lines) + ("whole" in fields) + ("level" in fields)

    def _apply_withdrawals(self, fields: dict[str, str]) -> int:
        withdrawn = fields["out"].split(",") if "out" in fields else []
        restored = fields["back"].split(",") if "back" in fields else []
        self.withdrawn.update(withdrawn)
        self.withdrawn.difference_update(restored)
        return len(withdrawn) + len(restored)

    def available(self, request_class: str) -> dict[str, float]:
        """Returns the weights in a class's table, without withdrawn replicas."""
        table = self.tables[request_class]
        return {replica: weight for replica, weight in table.items() if replica not in self.withdrawn}


class Site:
    """A node core with joined proxies, three seconds after the start."""

    def __init__(self, replicas: int = 6, proxies: int = 4) -> None:
        self.now_us = 1_800_000_000 * SECOND
        identifiers = platform.parse_identifiers(SETTINGS)
        cached = EndpointListUpdate(
            revision=1, is_snapshot=True, endpoints=tuple(discovered(number) for number in range(replicas))
        )
        self.core = NodeCore(
            identifiers=identifiers,
            policy_config=platform.parse_config(SETTINGS, identifiers, 7),
            cached_endpoints=cached,
            now_us=self.now_us,
        )
        self.revision = 1
        self.sent = list[bytes]()
        self.proxies = [Proxy(number, "ab"[number % 2]) for number in range(proxies)]
        for proxy in self.proxies:
            self.join(proxy)
        self.run(3)

    def join(self, proxy: Proxy, is_new: bool = True) -> None:
        """Opens a new stream of a proxy."""
        hello = lines.ProxyHello(
            proxy=proxy.number, zone=proxy.zone, request_rate=REQUEST_RATE, is_new=is_new
        )
        proxy.unacknowledged = []
        proxy.stream_id = self.core.on_proxy_joined(self.now_us, hello)

    def join_late(self, proxy: Proxy, is_new: bool = True) -> Proxy:
        """Adds a proxy after the start and joins it."""
        self.proxies.append(proxy)
        self.join(proxy, is_new)
        return proxy

    def update(self, *endpoints: DiscoveredEndpoint) -> None:
        """Sends the core a delta of the endpoint list."""
        self.revision += 1
        self.core.on_endpoint_update(
            EndpointListUpdate(revision=self.revision, is_snapshot=False, endpoints=endpoints)
        )

    def step(self) -> None:
        """Runs one step of the core; proxies read its messages immediately."""
        self.core.advance(self.now_us)
        messages, self.core.outbound = self.core.outbound, []
        for message in messages:
            self.sent.append(message.data)
            for proxy in self.proxies:
                is_current = (proxy.number, proxy.stream_id) == (message.proxy, message.stream_id)
                if is_current and not proxy.is_stalled:
                    proxy.read(message.data)

    def acknowledge(self, proxy: Proxy, revision: int, stream_id: int | None = None) -> None:
        """Sends an acknowledgement on a stream of the proxy, by default the current one."""
        acknowledgement = lines.Acknowledgement(proxy=proxy.number, revision=revision, elapsed_us=1_000)
        stream = proxy.stream_id if stream_id is None else stream_id
        self.core.on_acknowledged(self.now_us, proxy.number, stream, acknowledgement)

    def acknowledge_all(self) -> None:
        """Acknowledges the messages that the proxies have read, except those of stalled proxies."""
        for proxy in self.proxies:
            for revision in proxy.unacknowledged if not proxy.is_stalled else []:
                self.core.on_stream_active(self.now_us, proxy.number, proxy.stream_id)
                self.acknowledge(proxy, revision)
            proxy.unacknowledged = []

    def run(self, seconds: float) -> None:
        """Advances the time in 20 steps a second, each followed by acknowledgements."""
        end_us = self.now_us + int(seconds * SECOND)
        while self.now_us < end_us:
            self.now_us += SECOND // 20
            self.step()
            self.acknowledge_all()
