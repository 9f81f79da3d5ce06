"""The roster service: which processes run, late. It holds calls until there is news; role `roster`."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec

from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response, json_response
from gradehoist.protocol import feed, http
from gradehoist.testbed.process import Process, read_monotonic_us

KEPT = 200  # versions that a reader may be behind before it gets the whole list


class EndpointState(msgspec.Struct):
    phase: str
    incarnation_number: int
    started_us: int  # 0: long past
    version: int


class EndpointListProcess(Process):
    async def start(self) -> None:
        self.life, self.version = str(read_monotonic_us()), 1
        self.entries = {r.name: EndpointState("ready", 1, 0, 1) for r in self.plan.replicas if r.is_listed}
        self.boots = {r.name: 1 for r in self.plan.replicas}
        self.down = ""
        self.news = asyncio.Event()
        self.known = {r.name: r for r in self.plan.replicas}
        self.via = {(link.zone, link.target): link.port for link in self.plan.links if not link.proxy}
        self.server = HttpServer(self._handle)
        self.server.listen(self.plan.endpoint_list[1], self.plan.endpoint_list[0])

    def on_command(self, do: dict[str, Any]) -> None:
        match do["do"]:
            case "list":
                self.version += 1
                for name in do["replicas"]:
                    old = self.entries.get(name)
                    phase = str(do["phase"])
                    boot, started = (old.incarnation_number, old.started_us) if old else (1, 0)
                    if do.get("restarted"):
                        boot, started = boot + 1, read_monotonic_us() - int(str(do.get("ago", 0)))
                    self.entries[name] = EndpointState(phase, boot, started, self.version)
                self.record("changed", version=self.version, replicas=do["replicas"], phase=do["phase"])
                self._wake()
            case "down":
                self.down = str(do["value"])
                self._wake()
            case "forget":  # a new life: versions start anew
                self.life, self.version = str(read_monotonic_us()), 1
                for entry in self.entries.values():
                    entry.version = 1
                self._wake()
            case _:
                raise ValueError(f"unknown order {do['do']!r}")

    def _wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    async def _handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        url = urlsplit(request.target)
        if url.path != "/v1/roster":
            return error_response(404, "only /v1/roster is here")
        query = {k: v[-1] for k, v in parse_qs(url.query).items()}
        after, zone = int(query.get("after", -1)), query.get("zone", "")
        end = asyncio.get_running_loop().time() + min(10.0, float(query.get("wait", 0)))
        while True:
            if self.down == "silent":
                await connection.closed.wait()
                return None
            if self.down:
                return error_response(503, "down")
            whole = after < 0 or query.get("life") != self.life or after < self.version - KEPT
            if whole or after < self.version:
                break
            left = end - asyncio.get_running_loop().time()
            if left <= 0:
                break
            try:
                async with asyncio.timeout(left):
                    await self.news.wait()
            except TimeoutError:
                break
        entries = tuple(
            feed.EndpointRecord(
                name,
                self.known[name].zone,
                f"127.0.0.1:{self.via[zone, name]}",
                self.known[name].kind,
                self.known[name].cell,
                e.phase,
                self.known[name].size,
                f"{name}/{e.incarnation_number}",
                (read_monotonic_us() - e.started_us) if e.started_us else 10**9,
            )
            for name, e in self.entries.items()
            if (e.phase != "gone" if whole else e.version > after)
        )
        told = {e.replica: [e.phase, e.incarnation] for e in entries}
        self.record("told", reader=query.get("reader", ""), whole=whole, version=self.version, entries=told)
        return json_response(feed.EndpointListUpdate(self.life, self.version, entries, whole, max(0, after)))
