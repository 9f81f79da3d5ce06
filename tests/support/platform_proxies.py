"""Proxies of the platform under a virtual clock: they hold what the bytes say, and read them on their own."""

from __future__ import annotations

from dataclasses import dataclass, field

from gradehoist.identifiers import Identifiers
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


def member(n: int, phase: str = "active", started: int = 0) -> DiscoveredEndpoint:
    return DiscoveredEndpoint(f"s-{n}", f"127.0.0.1:{7000 + n}", "ab"[n % 2], "k", 0, phase, 1.0, started)


@dataclass
class Proxy:
    """Tables, levels, what is shut out: by the page's words alone."""

    number: int
    zone: str
    stream: int = 0
    tables: dict[str, dict[str, float]] = field(default_factory=lambda: {c: {} for c in CLASSES})
    levels: dict[str, tuple[float, int]] = field(default_factory=dict)
    out: set[str] = field(default_factory=set)
    due: list[int] = field(default_factory=list)
    messages: int = 0
    deaf: bool = False

    def read(self, data: bytes) -> int:
        """Takes one message; how many lines it counts."""
        cost, parts = 0, data.decode().split("\r\n")
        assert parts.pop() == "" and len(parts) <= 64
        for n, part in enumerate(parts):
            kind, *words = part.split(" ")
            f = dict(word.split("=", 1) for word in words)
            assert kind == "push" and ("more" in f) == (n + 1 < len(parts))
            classes = f["classes"].split("+") if "classes" in f else list(CLASSES)
            rows = [row.rsplit(":", 1) for row in f["lines"].split(",")] if "lines" in f else []
            cost += len(rows) + ("whole" in f) + ("level" in f)
            for c in classes:
                if "whole" in f:
                    self.tables[c] = {}
                    self.levels.pop(c, None)
                for name, weight in rows:
                    self.tables[c][name] = float(weight)
                    if float(weight) == 0:
                        del self.tables[c][name]
                if "level" in f:
                    self.levels[c] = float(f["level"]), int(f["retry"])
            for name in f["out"].split(",") if "out" in f else []:
                self.out.add(name)
                cost += 1
            for name in f["back"].split(",") if "back" in f else []:
                self.out.discard(name)
                cost += 1
            if "ticket" in f:
                self.due.append(int(f["ticket"]))
                cost += 1
        self.messages += 1
        return cost + 4

    def open(self, cls: str) -> dict[str, float]:
        return {n: w for n, w in self.tables[cls].items() if n not in self.out}


class Site:
    def __init__(self, replicas: int = 6, proxies: int = 4) -> None:
        self.now = 1_800_000_000 * SECOND
        names = platform.parse_identifiers(SETTINGS)
        saved = EndpointListUpdate(1, True, tuple(member(n) for n in range(replicas)))
        self.core = NodeCore(names, platform.parse_config(SETTINGS, names, 7), saved, self.now)
        self.revision, self.waiting, self.bytes = 1, 0, list[bytes]()
        self.proxies = [Proxy(n, "ab"[n % 2]) for n in range(proxies)]
        for proxy in self.proxies:
            self.join(proxy)
        self.run(3)

    @property
    def names(self) -> Identifiers:
        return self.core.identifiers

    def join(self, proxy: Proxy, fresh: bool = True) -> None:
        proxy.due = []
        proxy.stream = self.core.on_proxy_joined(
            self.now, lines.ProxyHello(proxy.number, proxy.zone, 5.0, fresh)
        )

    def list(self, *members: DiscoveredEndpoint) -> None:
        self.revision += 1
        self.core.on_endpoint_update(EndpointListUpdate(self.revision, False, members))

    def step(self) -> None:
        self.core.advance(self.now)
        out, self.core.outbound = self.core.outbound, []
        for number, stream, data in out:
            self.bytes.append(data)
            for proxy in self.proxies:
                if (proxy.number, proxy.stream) == (number, stream) and not proxy.deaf:
                    proxy.read(data)

    def answer(self) -> None:
        for proxy in self.proxies:
            for mark in proxy.due if not proxy.deaf else []:
                self.core.on_stream_active(self.now, proxy.number, proxy.stream)
                self.core.on_acknowledged(
                    self.now, proxy.number, proxy.stream, lines.Acknowledgement(proxy.number, mark, 1_000)
                )
            proxy.due = []

    def run(self, seconds: float) -> None:
        end = self.now + int(seconds * SECOND)
        while self.now < end:
            self.now += SECOND // 20
            self.step()
            self.answer()
