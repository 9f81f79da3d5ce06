"""The state and the unary calls of the etcd test double; `etcd_server` does the I/O."""

from __future__ import annotations

import asyncio
import random
from base64 import b64decode, b64encode
from typing import Any

import msgspec

from gradehoist.testbed.etcd_keyspace import (
    Change,
    Entry,
    Keyspace,
    LeaseNotFoundError,
    RevisionCompactedError,
)
from gradehoist.testbed.process import read_monotonic_us

CLUSTER_ID = "1234567890123456789"

# gRPC status codes, which etcd's HTTP interface returns in the bodies of its errors.
GRPC_NOT_FOUND = 5
GRPC_RESOURCE_EXHAUSTED = 8
GRPC_UNIMPLEMENTED = 12


class ServerFaults(msgspec.Struct):
    """The injected faults, as `POST /fault` sets them.

    Attributes:
        seed: Seed of the random generator that decides which calls are affected.
        is_unavailable: Whether calls get no response and open watches end.
        lost_response_share: Share of calls that take effect but get no response.
        dropped_call_share: Share of calls that neither take effect nor get a response.
        stale_revisions: Number of revisions by which range reads lag behind the current one.
        messages_per_watch: Number of messages after which a watch ends; 0 means no limit.
        repeats_messages: Whether a watch sends each message twice.
        rejects_writes: Whether writes are rejected as if the database were full.
        response_delay_s: Delay before each call is executed.
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


class EtcdServer:
    """The state of the server: its keyspace, its injected faults and its counts of calls by path."""

    def __init__(self, cluster: str = CLUSTER_ID) -> None:
        """Creates an empty server without faults."""
        self.keyspace = Keyspace()
        self.saved_keyspace = Keyspace()
        self.faults = ServerFaults()
        self.random = random.Random(self.faults.seed)
        self.cluster = cluster
        self.calls = dict[str, int]()
        self.change_event = asyncio.Event()

    def build_header(self, revision: int = 0) -> dict[str, str]:
        """Builds the header of a response, at the current revision unless one is given."""
        return {
            "cluster_id": self.cluster,
            "member_id": "1",
            "raft_term": "2",
            "revision": str(revision or self.keyspace.revision),
        }

    def notify_watches(self) -> None:
        """Wakes all watches so that they send new changes or notice an outage."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def apply_command(self, body: dict[str, Any]) -> None:
        """Executes a command of `POST /fault`; see `etcd_server` for the commands.

        Raises:
            ValueError: the command or a fault is unknown or invalid.
        """
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
                raise ValueError(f"unknown command {other!r} for the etcd test double")
        self.notify_watches()

    def call(self, path: str, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Executes a unary call and returns the status and the body of its response."""
        self.keyspace.expire_leases(read_monotonic_us())
        match path:
            case "kv/range":
                return self._read_range(body)
            case "kv/txn":
                return self._commit(body)
            case "lease/grant":
                return self._grant_lease(body)
            case "lease/keepalive":
                return self._renew_lease(body)
            case "lease/revoke":
                return self._revoke_lease(body)
        return _build_error(404, GRPC_UNIMPLEMENTED, "Not Found")

    def _grant_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        lease_id = self.keyspace.grant_lease(read_monotonic_us(), int(body["TTL"]) * 1_000_000)
        return 200, {"header": self.build_header(), "ID": str(lease_id), "TTL": body["TTL"]}

    def _renew_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        lease_id = int(body["ID"])
        result: dict[str, Any] = {"header": self.build_header(), "ID": str(lease_id)}
        if self.keyspace.renew_lease(read_monotonic_us(), lease_id):
            result["TTL"] = str(self.keyspace.leases[lease_id].ttl_us // 1_000_000)
        return 200, {"result": result}

    def _revoke_lease(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        lease_id = int(body["ID"])
        if lease_id not in self.keyspace.leases:
            return _build_lease_error()
        self.keyspace.revoke_lease(lease_id)
        self.notify_watches()
        return 200, {"header": self.build_header()}

    def _read_range(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        first = b64decode(body["key"])
        end = b64decode(body.get("range_end", ""))
        at_revision = 0
        if self.faults.stale_revisions:
            at_revision = max(1, self.keyspace.revision - self.faults.stale_revisions)
        try:
            entries = self.keyspace.read_range(first, end, at_revision)
        except RevisionCompactedError:
            # The stale revision is no longer in the history, so the current state is returned.
            at_revision = 0
            entries = self.keyspace.read_range(first, end)
        return 200, self._build_range_response(entries, at_revision)

    def _build_range_response(self, entries: list[Entry], revision: int = 0) -> dict[str, Any]:
        return {
            "header": self.build_header(revision),
            "kvs": [_build_key_value(entry) for entry in entries],
            "count": str(len(entries)),
        }

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Executes a transaction: its writes if all compared revisions match, otherwise its reads."""
        is_unchanged = all(
            self.keyspace.find_mod_revision(b64decode(compare["key"])) == int(compare["modRevision"])
            for compare in body["compare"]
        )
        if not is_unchanged:
            keys = [b64decode(operation["requestRange"]["key"]) for operation in body["failure"]]
            responses = [
                {"response_range": self._build_range_response(self.keyspace.read_range(key))} for key in keys
            ]
            return 200, {"header": self.build_header(), "responses": responses}
        if self.faults.rejects_writes:
            return _build_error(429, GRPC_RESOURCE_EXHAUSTED, "etcdserver: mvcc: database space exceeded")
        puts = [
            (b64decode(put["key"]), b64decode(put["value"]), int(put.get("lease", "0")))
            for operation in body["success"]
            if (put := operation.get("requestPut"))
        ]
        deletes = [
            b64decode(delete["key"])
            for operation in body["success"]
            if (delete := operation.get("requestDeleteRange"))
        ]
        try:
            revision = self.keyspace.write(puts, deletes)
        except LeaseNotFoundError:
            return _build_lease_error()
        self.notify_watches()
        return 200, {"header": self.build_header(revision), "succeeded": True, "responses": []}


def _encode_text(data: bytes) -> str:
    return b64encode(data).decode()


def _build_key_value(entry: Entry) -> dict[str, str]:
    key_value = {
        "key": _encode_text(entry.key),
        "create_revision": str(entry.create_revision),
        "mod_revision": str(entry.mod_revision),
        "version": str(entry.version),
        "value": _encode_text(entry.value),
    }
    if entry.lease_id:
        key_value["lease"] = str(entry.lease_id)
    return key_value


def build_event(change: Change) -> dict[str, Any]:
    """Builds the watch event for a change."""
    if change.entry is None:
        key_value = {"key": _encode_text(change.key), "mod_revision": str(change.revision)}
        return {"type": "DELETE", "kv": key_value}
    return {"kv": _build_key_value(change.entry)}


def _build_error(status: int, code: int, message: str) -> tuple[int, dict[str, Any]]:
    return status, {"error": message, "code": code, "message": message}


def _build_lease_error() -> tuple[int, dict[str, Any]]:
    return _build_error(404, GRPC_NOT_FOUND, "etcdserver: requested lease not found")
