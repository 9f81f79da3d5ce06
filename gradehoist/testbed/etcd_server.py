"""A stand-in for an engine with etcd's published interface over HTTP and JSON, with faults to order.

`POST /fault` takes what is to go wrong from now on; see `Faults`. `restore` puts the snapshot back that
`snapshot` took, `compact` drops history, `extend` gives leases their time anew. The process ends by SIGTERM.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
from base64 import b64decode, b64encode
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

from gradehoist.testbed.etcd_keyspace import Entry, Gone, Keyspace, NoLease, Past
from gradehoist.testbed.process import now

TICK = 0.02  # seconds between looks at leases


class Faults(msgspec.Struct):
    """Shares are of calls, drawn from `seed`. `away` answers none; `lose` acts and does not answer; `drop`
    does neither; `stale` reads that many revisions back; `cut` ends watches after so many messages; `repeat`
    sends a watch's message twice; `full` refuses writes; `slow` seconds before each answer."""

    seed: int = 1
    away: bool = False
    lose: float = 0.0
    drop: float = 0.0
    stale: int = 0
    cut: int = 0
    repeat: bool = False
    full: bool = False
    slow: float = 0.0


def text(data: bytes) -> str:
    return b64encode(data).decode()


def shown(e: Entry) -> dict[str, str]:
    out = {
        "key": text(e.key),
        "create_revision": str(e.created),
        "mod_revision": str(e.modified),
        "version": str(e.version),
        "value": text(e.value),
    }
    return out | ({"lease": str(e.lease)} if e.lease else {})


def event(p: Past) -> dict[str, Any]:
    if p.entry is None:
        return {"type": "DELETE", "kv": {"key": text(p.key), "mod_revision": str(p.revision)}}
    return {"kv": shown(p.entry)}


class Engine:
    def __init__(self, cluster: str = "1234567890123456789") -> None:
        self.space, self.faults, self.cluster = Keyspace(), Faults(), cluster
        self.dice, self.kept = random.Random(1), Keyspace()
        self.calls = dict[str, int]()
        self.news = asyncio.Event()

    def header(self, revision: int = 0) -> dict[str, str]:
        return {
            "cluster_id": self.cluster,
            "member_id": "1",
            "raft_term": "2",
            "revision": str(revision or self.space.revision),
        }

    def changed(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    def order(self, body: dict[str, Any]) -> None:
        """Raises KeyError, ValueError for an order that it does not know."""
        match body.pop("do", "faults"):
            case "faults":
                self.faults = msgspec.convert(body, Faults)
                self.dice = random.Random(self.faults.seed)
            case "snapshot":
                self.kept = self.space.snapshot()
            case "restore":
                self.space = self.kept.snapshot()
                self.space.extend(now())
            case "compact":
                self.space.compact(int(body.get("keep", 0)))
            case "extend":
                self.space.extend(now())
            case other:
                raise ValueError(f"no order {other!r}")
        self.changed()

    def call(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """A unary call: status and answer."""
        space = self.space
        space.expire(now())
        match path:
            case "kv/range":
                return self._range(body)
            case "kv/txn":
                return self._txn(body)
            case "lease/grant":
                lease = space.grant(now(), int(body["TTL"]) * 1_000_000)
                return 200, {"header": self.header(), "ID": str(lease), "TTL": body["TTL"]}
            case "lease/keepalive":
                lease = int(body["ID"])
                ttl = {"TTL": str(space.leases[lease].ttl // 1_000_000)} if space.renew(now(), lease) else {}
                return 200, {"result": {"header": self.header(), "ID": str(lease)} | ttl}
            case "lease/revoke":
                if int(body["ID"]) not in space.leases:
                    return self._error(404, 5, "etcdserver: requested lease not found")
                space.revoke(int(body["ID"]))
                self.changed()
                return 200, {"header": self.header()}
        return self._error(404, 12, "Not Found")

    @staticmethod
    def _error(status: int, code: int, message: str) -> tuple[int, dict[str, Any]]:
        return status, {"error": message, "code": code, "message": message}

    def _range(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        at = max(1, self.space.revision - self.faults.stale) if self.faults.stale else 0
        try:
            found = self.space.range(b64decode(body["key"]), b64decode(body.get("range_end", "")), at)
        except Gone:
            found, at = self.space.range(b64decode(body["key"]), b64decode(body.get("range_end", ""))), 0
        return 200, {"header": self.header(at), "kvs": [shown(e) for e in found], "count": str(len(found))}

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        space = self.space
        good = all(space.modified(b64decode(c["key"])) == int(c["modRevision"]) for c in body["compare"])
        if not good:
            kvs = [
                [shown(e) for e in space.range(b64decode(f["requestRange"]["key"]))] for f in body["failure"]
            ]
            return 200, {
                "header": self.header(),
                "responses": [
                    {"response_range": {"header": self.header(), "kvs": some, "count": str(len(some))}}
                    for some in kvs
                ],
            }
        if self.faults.full:
            return self._error(429, 8, "etcdserver: mvcc: database space exceeded")
        puts = [
            (b64decode(p["key"]), b64decode(p["value"]), int(p.get("lease", "0")))
            for one in body["success"]
            if (p := one.get("requestPut"))
        ]
        deletes = [b64decode(d["key"]) for one in body["success"] if (d := one.get("requestDeleteRange"))]
        try:
            revision = space.write(puts, deletes)
        except NoLease:
            return self._error(404, 5, "etcdserver: requested lease not found")
        self.changed()
        return 200, {"header": self.header(revision), "succeeded": True, "responses": []}


def reset(handler: RequestHandler) -> None:
    """Ends the connection without an answer."""
    if handler.request.connection is not None:
        handler.request.connection.stream.close()  # type: ignore[attr-defined]


class Call(RequestHandler):
    engine: Engine

    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    async def post(self, path: str) -> None:
        engine, faults = self.engine, self.engine.faults
        engine.calls[path] = engine.calls.get(path, 0) + 1
        if faults.away or engine.dice.random() < faults.drop:
            reset(self)
            return
        if faults.slow:
            await asyncio.sleep(faults.slow)
        status, answer = engine.call(path, msgspec.json.decode(self.request.body))
        if engine.dice.random() < faults.lose:
            reset(self)
            return
        self.set_status(status)
        self.set_header("content-type", "application/json")
        self.finish(msgspec.json.encode(answer))


class Watch(RequestHandler):
    engine: Engine

    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    async def post(self) -> None:
        engine = self.engine
        engine.calls["watch"] = engine.calls.get("watch", 0) + 1
        if engine.faults.away:
            reset(self)
            return
        create = msgspec.json.decode(self.request.body)["create_request"]
        first, end = b64decode(create["key"]), b64decode(create["range_end"])
        at, sent = int(create["start_revision"]), 0
        with contextlib.suppress(StreamClosedError):
            await self._say({"header": engine.header(), "created": True})
            while not engine.faults.away:
                news = engine.news
                try:
                    some = engine.space.since(at, first, end)
                except Gone:
                    await self._say(
                        {
                            "header": engine.header(),
                            "canceled": True,
                            "compact_revision": str(engine.space.compacted),
                        }
                    )
                    return
                if some:
                    message = {"header": engine.header(), "events": [event(p) for p in some]}
                    for _ in range(2 if engine.faults.repeat else 1):
                        await self._say(message)
                    at, sent = some[-1].revision + 1, sent + 1
                    if engine.faults.cut and sent >= engine.faults.cut:
                        return
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await news.wait()
            reset(self)

    async def _say(self, result: dict[str, Any]) -> None:
        self.write(msgspec.json.encode({"result": result}) + b"\n")
        await self.flush()


class Order(RequestHandler):
    engine: Engine

    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def get(self) -> None:
        self.finish({"calls": self.engine.calls, "revision": self.engine.space.revision})

    def post(self) -> None:
        try:
            self.engine.order(msgspec.json.decode(self.request.body))
        except (KeyError, ValueError) as fault:
            self.set_status(400)
            self.finish({"error": str(fault)})
            return
        self.set_status(204)


def serve(port: int, engine: Engine | None = None) -> tuple[Engine, HTTPServer]:
    """Listens on loopback; raises OSError."""
    engine = engine or Engine()
    args = {"engine": engine}
    server = HTTPServer(
        Application([("/v3/watch", Watch, args), ("/v3/(.+)", Call, args), ("/fault", Order, args)])
    )
    server.listen(port, "127.0.0.1")
    return engine, server


async def run(port: int) -> None:
    """Until SIGTERM."""
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    engine, server = serve(port)
    while not stop.is_set():
        revision = engine.space.revision
        if not engine.faults.away:  # an engine that is away ends nobody
            engine.space.expire(now())
        if engine.space.revision != revision:
            engine.changed()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK):
                await stop.wait()
    server.stop()
