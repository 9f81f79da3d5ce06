"""Messages of etcd's v3 interface in JSON, as far as the coordination store uses them.

Requests are encoded with the field names and in the order that the interface documents. 64-bit integers are
strings in JSON, and byte strings are base 64.
"""

from __future__ import annotations

import binascii
from base64 import b64decode
from typing import Any

import msgspec

NOT_FOUND = 5  # status codes of gRPC
RESOURCE_EXHAUSTED = 8
OUT_OF_RANGE = 11

NO_LEASE = "0"


class EtcdError(Exception):
    """An error that etcd itself answered; `code` is its status code of gRPC."""

    def __init__(self, code: int, message: str) -> None:
        """Takes the code and text of etcd's answer."""
        super().__init__(message)
        self.code = code
        self.message = message


class KeyRange(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A single key, or all keys from `key` up to `range_end`, which is not included."""

    key: bytes
    range_end: bytes | None = None


class PutRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Writes a value that belongs to `lease`."""

    key: bytes
    value: bytes
    lease: str


class Operation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename="camel"):
    """One operation of a transaction; exactly one field is set."""

    request_range: KeyRange | None = None
    request_put: PutRequest | None = None
    request_delete_range: KeyRange | None = None


class CompareRevision(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A condition of a transaction: the key was last changed at this revision, 0 for a missing key."""

    key: bytes
    target: str = "MOD"
    result: str = "EQUAL"
    mod_revision: str


class TransactionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Runs `success` where all of `compare` hold, else `failure`."""

    compare: list[CompareRevision]
    success: list[Operation]
    failure: list[Operation]


class LeaseGrantRequest(msgspec.Struct, frozen=True):
    """Asks for a new lease that lasts `ttl_s` seconds."""

    ttl_s: str = msgspec.field(name="TTL")


class LeaseRequest(msgspec.Struct, frozen=True):
    """Renews or revokes a lease."""

    lease_id: str = msgspec.field(name="ID")


class WatchCreateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Watches a range of keys from a revision on."""

    key: bytes
    range_end: bytes
    start_revision: str


class WatchRequest(msgspec.Struct, frozen=True):
    """Opens a stream with one watch."""

    create_request: WatchCreateRequest


class ResponseHeader(msgspec.Struct, frozen=True):
    """Which cluster answered, and its revision at that time."""

    revision: int
    cluster_id: str | int = ""


class WatchResponseHeader(msgspec.Struct, frozen=True):
    """As `ResponseHeader`; some messages of a watch leave fields out."""

    revision: int | None = None
    cluster_id: str | int | None = None


class KeyValue(msgspec.Struct, frozen=True):
    """A key as it stands; `key` and `value` are base 64."""

    key: str
    mod_revision: int
    value: str = ""
    lease: str | int = NO_LEASE


class RangeResponse(msgspec.Struct, frozen=True):
    """The keys of a range."""

    header: ResponseHeader
    kvs: list[KeyValue] = []


class OperationRange(msgspec.Struct, frozen=True):
    """The keys that one operation of a transaction read."""

    kvs: list[KeyValue] = []


class OperationResponse(msgspec.Struct, frozen=True):
    """The result of one operation of a transaction."""

    response_range: OperationRange = OperationRange()


class TransactionResponse(msgspec.Struct, frozen=True):
    """Whether the conditions held, and what the operations of that branch returned."""

    header: ResponseHeader
    succeeded: bool = False
    responses: list[OperationResponse] = []


class LeaseGrantResponse(msgspec.Struct, frozen=True):
    """The new lease."""

    lease_id: str | int = msgspec.field(name="ID")


class KeepAliveHeader(msgspec.Struct, frozen=True):
    """The revision at the renewal, 0 where it is left out."""

    revision: int = 0


class KeepAliveResult(msgspec.Struct, frozen=True):
    """The lease's remaining time in seconds, 0 for one that has ended."""

    ttl_s: int = msgspec.field(name="TTL", default=0)
    header: KeepAliveHeader = KeepAliveHeader()


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """The answer to the renewal of a lease."""

    result: KeepAliveResult = KeepAliveResult()


class LeaseRevokeResponse(msgspec.Struct, frozen=True):
    """The lease was revoked."""


class Event(msgspec.Struct, frozen=True):
    """One change of a key."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """A message of a watch: its creation, its end or events."""

    header: WatchResponseHeader = WatchResponseHeader()
    created: bool = False
    canceled: bool = False
    cancel_reason: str = ""
    compact_revision: int = 0
    events: list[Event] = []


class WatchMessage(msgspec.Struct, frozen=True):
    """One line of a watch's stream."""

    result: WatchResult | None = None


def parse_error(document: dict[str, Any]) -> EtcdError:
    """Returns the error of an answer: etcd puts its fields beside `error`, or below it in streams."""
    error = document.get("error", document)
    fields = error if isinstance(error, dict) else document
    code = fields.get("code", fields.get("grpc_code", 0)) or 0
    return EtcdError(int(code), str(fields.get("message", error)))


def decode_bytes(text: str) -> bytes | None:
    """Returns the bytes of base 64, or None for text that is none."""
    try:
        return b64decode(text)
    except (binascii.Error, ValueError):
        return None
