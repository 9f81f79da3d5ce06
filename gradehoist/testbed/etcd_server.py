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

from gradehoist.testbed.etcd_keyspace import (
    Change,
    Entry,
    Keyspace,
    LeaseNotFoundError,
    RevisionCompactedError,
)
from gradehoist.testbed.process import read_monotonic_us

TICK = 0.02  # seconds between looks at leases


class ServerFaults(msgspec.Struct):
    """The injected faults, as `POST /fault` orders them.

    Attributes:
        seed: seed of the random generator that decides which calls are hit.
        is_unavailable: no call is answered, and open watches end.
        lost_response_share: share of calls that take effect and are not answered.
        dropped_call_share: share of calls that neither take effect nor are answered.
        stale_revisions: how many revisions back a range reads.
        messages_per_watch: a watch ends after so many messages; 0 means no limit.
        repeats_messages: whether a watch sends each message twice.
        rejects_writes: whether writes are rejected, as by a full database.
        response_delay_s: delay before each call.
    """

    seed: int = 1
    is_unavailable: bool = msgspec.field(default=False, name="away")
    lost_response_share: float = msgspec.field(default=0.0, name="lose")
    dropped_call_share: float = msgspec.field(default=0.0, name="drop")
    stale_revisions: int = msgspec.field(default=0, name="stale")
    messages_per_watch: int = msgspec.field(default=0, name="cut")
    repeats_messages: bool = msgspec.field(default=False, name="repeat")
    rejects_writes: bool = msgspec.field(default=False, name="full")
    response_delay_s: float = msgspec.field(default=0.0, name="slow")


def text(data: bytes) -> str:
    return b64encode(data).decode()


def shown(e: Entry) -> dict[str, str]:
    out = {
        "key": text(e.key),
        "create_revision": str(e.create_revision),
        "mod_revision": str(e.mod_revision),
        "version": str(e.version),
        "value": text(e.value),
    }
    return out | ({"lease": str(e.lease_id)} if e.lease_id else {})


def event(p: Change) -> dict[str, Any]:
    if p.entry is None:
        return {"type": "DELETE", "kv": {"key": text(p.key), "mod_revision": str(p.revision)}}
    return {"kv": shown(p.entry)}


class EtcdServer:
    def __init__(self, cluster: str = "1234567890123456789") -> None:
        self.keyspace, self.faults, self.cluster = Keyspace(), ServerFaults(), cluster
        self.random, self.saved_keyspace = random.Random(1), Keyspace()
        self.calls = dict[str, int]()
        self.change_event = asyncio.Event()

    def header(self, revision: int = 0) -> dict[str, str]:
        return {
            "cluster_id": self.cluster,
            "member_id": "1",
            "raft_term": "2",
            "revision": str(revision or self.keyspace.revision),
        }

    def notify_watches(self) -> None:
        self.change_event.set()
        self.change_event = asyncio.Event()

    def apply_command(self, body: dict[str, Any]) -> None:
        """Raises KeyError, ValueError for an order that it does not know."""
        match body.pop("do", "faults"):
            case "faults":
                self.faults = msgspec.convert(body, ServerFaults)
                self.random = random.Random(self.faults.seed)
            case "snapshot":
                self.saved_keyspace = self.keyspace.snapshot()
            case "restore":
                self.keyspace = self.saved_keyspace.snapshot()
                self.keyspace.extend_leases(read_monotonic_us())
            case "compact":
                self.keyspace.compact(int(body.get("keep", 0)))
            case "extend":
                self.keyspace.extend_leases(read_monotonic_us())
            case other:
                raise ValueError(f"no order {other!r}")
        self.notify_watches()

    def call(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """A unary call: status and answer."""
        space = self.keyspace
        space.expire_leases(read_monotonic_us())
        match path:
            case "kv/range":
                return self._range(body)
            case "kv/txn":
                return self._txn(body)
            case "lease/grant":
                lease = space.grant_lease(read_monotonic_us(), int(body["TTL"]) * 1_000_000)
                return 200, {"header": self.header(), "ID": str(lease), "TTL": body["TTL"]}
            case "lease/keepalive":
                lease = int(body["ID"])
                ttl = (
                    {"TTL": str(space.leases[lease].ttl_us // 1_000_000)}
                    if space.renew_lease(read_monotonic_us(), lease)
                    else {}
                )
                return 200, {"result": {"header": self.header(), "ID": str(lease)} | ttl}
            case "lease/revoke":
                if int(body["ID"]) not in space.leases:
                    return self._error(404, 5, "etcdserver: requested lease not found")
                space.revoke_lease(int(body["ID"]))
                self.notify_watches()
                return 200, {"header": self.header()}
        return self._error(404, 12, "Not Found")

    @staticmethod
    def _error(status: int, code: int, message: str) -> tuple[int, dict[str, Any]]:
        return status, {"error": message, "code": code, "message": message}

    def _range(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        at = (
            max(1, self.keyspace.revision - self.faults.stale_revisions) if self.faults.stale_revisions else 0
        )
        try:
            found = self.keyspace.read_range(b64decode(body["key"]), b64decode(body.get("range_end", "")), at)
        except RevisionCompactedError:
            found, at = (
                self.keyspace.read_range(b64decode(body["key"]), b64decode(body.get("range_end", ""))),
                0,
            )
        return 200, {"header": self.header(at), "kvs": [shown(e) for e in found], "count": str(len(found))}

    def _txn(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        space = self.keyspace
        good = all(
            space.find_mod_revision(b64decode(c["key"])) == int(c["modRevision"]) for c in body["compare"]
        )
        if not good:
            kvs = [
                [shown(e) for e in space.read_range(b64decode(f["requestRange"]["key"]))]
                for f in body["failure"]
            ]
            return 200, {
                "header": self.header(),
                "responses": [
                    {"response_range": {"header": self.header(), "kvs": some, "count": str(len(some))}}
                    for some in kvs
                ],
            }
        if self.faults.rejects_writes:
            return self._error(429, 8, "etcdserver: mvcc: database space exceeded")
        puts = [
            (b64decode(p["key"]), b64decode(p["value"]), int(p.get("lease", "0")))
            for one in body["success"]
            if (p := one.get("requestPut"))
        ]
        deletes = [b64decode(d["key"]) for one in body["success"] if (d := one.get("requestDeleteRange"))]
        try:
            revision = space.write(puts, deletes)
        except LeaseNotFoundError:
            return self._error(404, 5, "etcdserver: requested lease not found")
        self.notify_watches()
        return 200, {"header": self.header(revision), "succeeded": True, "responses": []}


def reset(handler: RequestHandler) -> None:
    """Ends the connection without an answer."""
    if handler.request.connection is not None:
        handler.request.connection.stream.close()  # type: ignore[attr-defined]


class Call(RequestHandler):
    engine: EtcdServer

    def initialize(self, engine: EtcdServer) -> None:
        self.engine = engine

    async def post(self, path: str) -> None:
        engine, faults = self.engine, self.engine.faults
        engine.calls[path] = engine.calls.get(path, 0) + 1
        if faults.is_unavailable or engine.random.random() < faults.dropped_call_share:
            reset(self)
            return
        if faults.response_delay_s:
            await asyncio.sleep(faults.response_delay_s)
        status, answer = engine.call(path, msgspec.json.decode(self.request.body))
        if engine.random.random() < faults.lost_response_share:
            reset(self)
            return
        self.set_status(status)
        self.set_header("content-type", "application/json")
        self.finish(msgspec.json.encode(answer))


class Watch(RequestHandler):
    engine: EtcdServer

    def initialize(self, engine: EtcdServer) -> None:
        self.engine = engine

    async def post(self) -> None:
        engine = self.engine
        engine.calls["watch"] = engine.calls.get("watch", 0) + 1
        if engine.faults.is_unavailable:
            reset(self)
            return
        create = msgspec.json.decode(self.request.body)["create_request"]
        first, end = b64decode(create["key"]), b64decode(create["range_end"])
        at, sent = int(create["start_revision"]), 0
        with contextlib.suppress(StreamClosedError):
            await self._say({"header": engine.header(), "created": True})
            while not engine.faults.is_unavailable:
                news = engine.change_event
                try:
                    some = engine.keyspace.find_changes(at, first, end)
                except RevisionCompactedError:
                    await self._say(
                        {
                            "header": engine.header(),
                            "canceled": True,
                            "compact_revision": str(engine.keyspace.compacted_revision),
                        }
                    )
                    return
                if some:
                    message = {"header": engine.header(), "events": [event(p) for p in some]}
                    for _ in range(2 if engine.faults.repeats_messages else 1):
                        await self._say(message)
                    at, sent = some[-1].revision + 1, sent + 1
                    if engine.faults.messages_per_watch and sent >= engine.faults.messages_per_watch:
                        return
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await news.wait()
            reset(self)

    async def _say(self, result: dict[str, Any]) -> None:
        self.write(msgspec.json.encode({"result": result}) + b"\n")
        await self.flush()


class Order(RequestHandler):
    engine: EtcdServer

    def initialize(self, engine: EtcdServer) -> None:
        self.engine = engine

    def get(self) -> None:
        self.finish({"calls": self.engine.calls, "revision": self.engine.keyspace.revision})

    def post(self) -> None:
        try:
            self.engine.apply_command(msgspec.json.decode(self.request.body))
        except (KeyError, ValueError) as fault:
            self.set_status(400)
            self.finish({"error": str(fault)})
            return
        self.set_status(204)


def serve(port: int, engine: EtcdServer | None = None) -> tuple[EtcdServer, HTTPServer]:
    """Listens on loopback; raises OSError."""
    engine = engine or EtcdServer()
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
        revision = engine.keyspace.revision
        if not engine.faults.is_unavailable:  # an engine that is away ends nobody
            engine.keyspace.expire_leases(read_monotonic_us())
        if engine.keyspace.revision != revision:
            engine.notify_watches()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK):
                await stop.wait()
    server.stop()
