"""The register's home on an existing engine, through etcd's published v3 interface over HTTP and JSON.

Keys lie below one prefix of the engine. A record's value is stored with the token of its commit, as the
engine knows no tokens: `[token, value]` in JSON, the value in base 64. Leases are sessions. Reads are
linearizable. A watch is one streamed call kept over many `watch` calls; it is opened anew where those go on
elsewhere. What the engine says of an outcome is taken at its word and no further: a write that was sent and
not answered is unknown.
"""

from __future__ import annotations

import asyncio
import contextlib
from base64 import b64decode, b64encode
from collections.abc import Mapping
from typing import Any

import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError, SimpleAsyncHTTPClient

from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    HistoryCompactedError,
    OutcomeUnknownError,
    Put,
    Record,
    SessionEndedError,
    StoreFullError,
    StoreSnapshot,
    StoreUnavailableError,
    WatchBatch,
    WatchEvent,
    check_sizes,
)

CONNECT_TIMEOUT_S = 1.0  # seconds for a connection: on a network of one site it takes milliseconds
RESPONSE_TIMEOUT_S = 2.0  # seconds for an answer; the engine gives up a write of its own after more than that
NOT_FOUND, EXHAUSTED, OUT_OF_RANGE = 5, 8, 11  # the engine's codes, those of gRPC
STORED: msgspec.json.Decoder[tuple[str, bytes]] = msgspec.json.Decoder(tuple[str, bytes])


class _EtcdError(Exception):
    """An error that the engine itself answered."""

    def __init__(self, code: int, message: str) -> None:
        super().__init__(message)
        self.code = code


def _text(data: bytes) -> str:
    return b64encode(data).decode()


def _events(found: Mapping[str, Any], cut: int) -> list[WatchEvent]:
    out = []
    for e in found.get("events", ()):
        kv = e["kv"]
        gone = e.get("type", "PUT") == "DELETE"
        key = b64decode(kv["key"])[cut:].decode("utf-8", "replace")
        out.append(WatchEvent(key, int(kv["mod_revision"]), None if gone else _record(kv, cut)))
    return out


def _record(kv: Mapping[str, Any], cut: int) -> Record:
    key, version = b64decode(kv["key"])[cut:].decode("utf-8", "replace"), int(kv["mod_revision"])
    session = kv.get("lease", "0")
    token: str
    value: bytes
    try:
        token, value = STORED.decode(b64decode(kv.get("value", "")))
    except (msgspec.MsgspecError, ValueError):
        return Record(key, b"", version, "", "", True)
    return Record(key, value, version, token, "" if session == "0" else str(session))


class _WatchStream:
    """One streamed watch; `at` is the revision up to which it has been read."""

    def __init__(self, client: AsyncHTTPClient, url: str, body: bytes, prefix: str, at: int) -> None:
        self.prefix, self.at = prefix, at
        self._lines: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._rest = b""
        self._task = asyncio.ensure_future(
            client.fetch(
                HTTPRequest(
                    url,
                    "POST",
                    {"content-type": "application/json"},
                    body,
                    connect_timeout=CONNECT_TIMEOUT_S,
                    request_timeout=0,
                    streaming_callback=self._came,
                ),
                raise_error=False,
            )
        )
        self._task.add_done_callback(self._over)

    def _came(self, data: bytes) -> None:
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            if line.strip():
                self._lines.put_nowait(line)

    def _over(self, _: Any) -> None:
        if self._rest.strip():
            self._lines.put_nowait(self._rest)
        self._lines.put_nowait(None)

    async def line(self, wait: float) -> bytes | None:
        """The next one, b"" where none came in time, None at the stream's end."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait):
                return await self._lines.get()
        return b""

    @property
    def reason(self) -> str:
        if not self._task.done() or self._task.cancelled():
            return "the watch ended"
        fault = self._task.exception()
        if fault is not None:
            return str(fault) or type(fault).__name__
        response: HTTPResponse = self._task.result()
        return f"status {response.code}" if response.code != 200 else "the watch ended"

    def close(self) -> None:
        self._task.cancel()


class EtcdStore:
    """A `register.Home` at `host`:`port`, below `prefix`."""

    def __init__(self, host: str, port: int, key_prefix: str = "gradehoist/") -> None:
        self._url, self._prefix = f"http://{host}:{port}", key_prefix.encode()
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(force_instance=True, max_clients=20)
        self._stream: _WatchStream | None = None

    def _range(self, prefix: str) -> dict[str, str]:
        first = self._prefix + prefix.encode()
        end = first.rstrip(b"\xff")
        after = end[:-1] + bytes([end[-1] + 1]) if end else b"\0"
        return {"key": _text(first), "range_end": _text(after)}

    async def _call(self, path: str, body: Mapping[str, Any], writes: bool = False) -> dict[str, Any]:
        """Raises _Answered, Unreachable; Unknown where a call that `writes` may have been taken."""
        data = msgspec.json.encode(body)
        lost: type[CoordinationError] = OutcomeUnknownError if writes else StoreUnavailableError
        try:
            response = await self._client.fetch(
                HTTPRequest(
                    self._url + path,
                    "POST",
                    {"content-type": "application/json"},
                    data,
                    connect_timeout=CONNECT_TIMEOUT_S,
                    request_timeout=RESPONSE_TIMEOUT_S,
                ),
                raise_error=False,
            )
        except HTTPTimeoutError as fault:
            connecting = "connecting" in str(fault)
            raise (StoreUnavailableError if connecting else lost)(f"{self._url}: {fault}") from None
        except HTTPStreamClosedError as fault:
            raise lost(f"{self._url}: {fault}") from None
        except ConnectionRefusedError as fault:
            raise StoreUnavailableError(f"{self._url}: {fault.strerror}") from None
        except OSError as fault:
            raise lost(f"{self._url}: {fault}") from None
        if response.code == 599:
            refused = "connecting" in str(response.error)
            raise (StoreUnavailableError if refused else lost)(f"{self._url}: {response.error}")
        try:
            found: dict[str, Any] = msgspec.json.decode(response.body, type=dict[str, Any])
        except msgspec.MsgspecError:
            raise lost(f"{self._url}: status {response.code}, no answer of the engine's") from None
        if response.code == 200 and "error" not in found:
            return found
        self._refuse(found, response.code, lost)
        return found

    @staticmethod
    def _refuse(found: Mapping[str, Any], status: int, lost: type[CoordinationError]) -> None:
        error = found.get("error", found)
        told = error if isinstance(error, dict) else found
        code, message = int(told.get("code", told.get("grpc_code", 0)) or 0), str(told.get("message", error))
        if status >= 500 and code not in (NOT_FOUND, EXHAUSTED, OUT_OF_RANGE):
            raise lost(message)  # the engine itself does not know: it timed out, or its leader changed
        raise _EtcdError(code, message)

    async def read(self, prefix: str) -> StoreSnapshot:
        try:
            found = await self._call("/v3/kv/range", self._range(prefix))
        except _EtcdError as fault:
            raise StoreUnavailableError(str(fault)) from None
        head = found["header"]
        records = tuple(_record(kv, len(self._prefix)) for kv in found.get("kvs", ()))
        return StoreSnapshot(str(head.get("cluster_id", "")), int(head["revision"]), records)

    async def commit(self, changes: tuple[Change, ...], token: str) -> Committed | CommitRejected:
        check_sizes(changes)
        compare, success, failure = list[Any](), list[Any](), list[Any]()
        for c in changes:
            key = _text(self._prefix + c.key.encode())
            compare.append(
                {"key": key, "target": "MOD", "result": "EQUAL", "modRevision": str(c.expected_version)}
            )
            failure.append({"requestRange": {"key": key}})
            if isinstance(c, Put):
                value = _text(msgspec.json.encode((token, c.value)))
                success.append({"requestPut": {"key": key, "value": value, "lease": c.session_id or "0"}})
            else:
                success.append({"requestDeleteRange": {"key": key}})
        try:
            found = await self._call(
                "/v3/kv/txn", {"compare": compare, "success": success, "failure": failure}, writes=True
            )
        except _EtcdError as fault:
            if fault.code == NOT_FOUND:
                raise SessionEndedError(str(fault)) from None
            if fault.code == EXHAUSTED and "space" in str(fault):
                raise StoreFullError(f"{self._url}: {fault}; free some of its space") from None
            raise StoreUnavailableError(f"{self._url}: {fault}") from None
        revision = int(found["header"]["revision"])
        if found.get("succeeded", False):
            return Committed(revision)
        records = [
            _record(kv, len(self._prefix))
            for one in found.get("responses", ())
            for kv in one.get("response_range", {}).get("kvs", ())
        ]
        return CommitRejected(revision, tuple(records))

    async def open_session(self, ttl: int) -> str:
        try:
            found = await self._call("/v3/lease/grant", {"TTL": str(-(-ttl // 1_000_000))}, writes=True)
        except _EtcdError as fault:
            raise StoreUnavailableError(str(fault)) from None
        return str(found["ID"])

    async def renew_session(self, session: str) -> int:
        try:
            found = (await self._call("/v3/lease/keepalive", {"ID": session})).get("result", {})
        except _EtcdError as fault:
            if fault.code == NOT_FOUND:
                raise SessionEndedError(str(fault)) from None
            raise StoreUnavailableError(str(fault)) from None
        if int(found.get("TTL", "0")) <= 0:
            raise SessionEndedError(f"session {session} has ended")
        return int(found.get("header", {}).get("revision", "0"))

    async def end_session(self, session: str) -> None:
        with contextlib.suppress(_EtcdError):
            await self._call("/v3/lease/revoke", {"ID": session}, writes=True)

    async def watch(self, prefix: str, after: int, wait: int) -> WatchBatch:
        stream = self._stream
        if stream is None or stream.prefix != prefix or stream.at != after:
            if stream is not None:
                stream.close()
            create = self._range(prefix) | {"start_revision": str(after + 1)}
            stream = self._stream = _WatchStream(
                self._client,
                self._url + "/v3/watch",
                msgspec.json.encode({"create_request": create}),
                prefix,
                after,
            )
        end = asyncio.get_running_loop().time() + wait / 1e6
        while True:
            line = await stream.line(max(0.0, end - asyncio.get_running_loop().time()))
            if line == b"":
                return WatchBatch(self._cluster, after, after, ())
            try:
                if line is None:
                    raise StoreUnavailableError(f"{self._url}: {stream.reason}")
                found = self._watched(line)
                if found is not None:
                    batch = self._batch(found, prefix, after)
                    if batch is not None:
                        stream.at = batch.revision
                        return batch
            except (CoordinationError, _EtcdError) as fault:
                self._stream = None
                stream.close()
                if isinstance(fault, CoordinationError):
                    raise
                if fault.code == OUT_OF_RANGE:
                    raise HistoryCompactedError(str(fault)) from None
                raise StoreUnavailableError(f"{self._url}: {fault}") from None

    _cluster = ""

    def _watched(self, line: bytes) -> dict[str, Any] | None:
        try:
            found: dict[str, Any] = msgspec.json.decode(line, type=dict[str, Any])
        except msgspec.MsgspecError:
            raise StoreUnavailableError(f"{self._url}: a watch's line that is none") from None
        if "error" in found:
            self._refuse(found, 200, StoreUnavailableError)
        result: dict[str, Any] | None = found.get("result")
        return result

    def _batch(self, found: dict[str, Any], prefix: str, after: int) -> WatchBatch | None:
        head = found.get("header", {})
        self._cluster = str(head.get("cluster_id", self._cluster))
        if int(found.get("compact_revision", "0")):
            raise HistoryCompactedError(f"changes up to {found['compact_revision']} are not kept")
        if found.get("canceled", False):
            raise StoreUnavailableError(f"{self._url}: watch cancelled: {found.get('cancel_reason', '')}")
        # Below revisions that a watch brought already, it may repeat what it brought.
        events = [e for e in _events(found, len(self._prefix)) if e.revision > after]
        if events:
            return WatchBatch(self._cluster, after, events[-1].revision, tuple(events))
        if found.get("created") and int(head.get("revision", after)) < after:
            return WatchBatch(self._cluster, after, int(head["revision"]), ())
        return None

    async def close(self) -> None:
        if self._stream is not None:
            self._stream.close()
        self._client.close()
