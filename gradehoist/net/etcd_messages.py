"""The JSON messages of etcd's v3 API that the coordination store uses.

Requests are encoded with the field names and field order of the API documentation. In JSON, 64-bit integers
are strings and byte strings are base64.
"""

from __future__ import annotations

import binascii
from base64 import b64decode
from typing import Any

import msgspec

# gRPC status codes
NOT_FOUND = 5
RESOURCE_EXHAUSTED = 8
OUT_OF_RANGE = 11

NO_LEASE = "0"


class EtcdError(Exception):
    """An error response of etcd; `code` is its gRPC status code."""

    def __init__(self, code: int, message: str) -> None:
        """Takes the code and the text of the response."""
        super().__init__(message)
        self.code = code
        self.message = message


class KeyRange(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A single key, or all keys from `key` up to but not including `range_end`."""

    key: bytes
    range_end: bytes | None = None


class PutRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Writes a value and attaches it to `lease`."""

    key: bytes
    value: bytes
    lease: str


class Operation(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename="camel"):
    """One operation of a transaction; exactly one field is set."""

    request_range: KeyRange | None = None
    request_put: PutRequest | None = None
    request_delete_range: KeyRange | None = None


class CompareRevision(msgspec.Struct, frozen=True, kw_only=True, rename="camel"):
    """A condition of a transaction: the key was last modified at this revision (0 if it must not exist)."""

    key: bytes
    target: str = "MOD"
    result: str = "EQUAL"
    mod_revision: str


class TransactionRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Runs `success` if all conditions in `compare` hold, otherwise `failure`."""

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
    """Watches a range of keys, starting at a revision."""

    key: bytes
    range_end: bytes
    start_revision: str


class WatchRequest(msgspec.Struct, frozen=True):
    """Opens a watch stream with one watch."""

    create_request: WatchCreateRequest


class ResponseHeader(msgspec.Struct, frozen=True):
    """The cluster that responded and its revision at that time."""

    revision: int
    cluster_id: str | int = ""


class WatchResponseHeader(msgspec.Struct, frozen=True):
    """Like `ResponseHeader`, but some watch messages omit fields."""

    revision: int | None = None
    cluster_id: str | int | None = None


class KeyValue(msgspec.Struct, frozen=True):
    """A stored key and its value, both in base64."""

    key: str
    mod_revision: int
    value: str = ""
    lease: str | int = NO_LEASE


class RangeResponse(msgspec.Struct, frozen=True):
    """The keys and values of a range."""

    header: ResponseHeader
    kvs: list[KeyValue] = []


class OperationRange(msgspec.Struct, frozen=True):
    """The keys and values read by one operation of a transaction."""

    kvs: list[KeyValue] = []


class OperationResponse(msgspec.Struct, frozen=True):
    """The result of one operation of a transaction."""

    response_range: OperationRange = OperationRange()


class TransactionResponse(msgspec.Struct, frozen=True):
    """Whether the conditions held, and the results of the operations that were run."""

    header: ResponseHeader
    succeeded: bool = False
    responses: list[OperationResponse] = []


class LeaseGrantResponse(msgspec.Struct, frozen=True):
    """The new lease."""

    lease_id: str | int = msgspec.field(name="ID")


class KeepAliveHeader(msgspec.Struct, frozen=True):
    """The revision at the renewal, 0 if omitted."""

    revision: int = 0


class KeepAliveResult(msgspec.Struct, frozen=True):
    """The lease's remaining time in seconds, 0 if the lease has ended."""

    ttl_s: int = msgspec.field(name="TTL", default=0)
    header: KeepAliveHeader = KeepAliveHeader()


class KeepAliveResponse(msgspec.Struct, frozen=True):
    """The response to a lease renewal."""

    result: KeepAliveResult = KeepAliveResult()


class LeaseRevokeResponse(msgspec.Struct, frozen=True):
    """The response to a lease revocation."""


class Event(msgspec.Struct, frozen=True):
    """A change of one key."""

    kv: KeyValue
    type: str = "PUT"


class WatchResult(msgspec.Struct, frozen=True):
    """A watch message: the creation or cancellation of the watch, or events."""

    header: WatchResponseHeader = WatchResponseHeader()
    created: bool = False
    canceled: bool = False
    cancel_reason: str = ""
    compact_revision: int = 0
    events: list[Event] = []


class WatchMessage(msgspec.Struct, frozen=True):
    """One line of a watch stream."""

    result: WatchResult | None = None


def parse_error(document: dict[str, Any]) -> EtcdError:
    """Returns the error of a response; its fields are beside `error`, or inside it in streams."""
    error = document.get("error", document)
    fields = error if isinstance(error, dict) else document
    code = fields.get("code", fields.get("grpc_code", 0)) or 0
    return EtcdError(int(code), str(fields.get("message", error)))


def decode_bytes(text: str) -> bytes | None:
    """Decodes base64; returns None if the text is invalid."""
    try:
        return b64decode(text)
    except (binascii.Error, ValueError):
        return None
