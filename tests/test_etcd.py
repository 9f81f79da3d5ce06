"""Requests to etcd, byte for byte, and the classification of its errors."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import pytest

from gradehoist.coordination.store import (
    CoordinationError,
    Delete,
    OutcomeUnknownError,
    Put,
    StoreUnavailableError,
)
from gradehoist.net.etcd import EtcdStore
from gradehoist.net.etcd_client import classify_error
from gradehoist.net.etcd_messages import EtcdError

CHANGES = (Put("a", b"\xff1", 7, "31"), Put("b", b"", 0), Delete("c", 9))


class RecordingHttpClient:
    """Replaces Tornado's client: records the requests and fails each of them."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    async def fetch(self, request: Any, raise_error: bool) -> None:
        self.sent.append((request.url, request.body))
        raise OSError("no network here")

    def close(self) -> None:
        """Does nothing; the store calls it."""


@pytest.mark.parametrize(
    ("call", "path", "body"),
    [
        (
            lambda store: store.read("members/"),
            "/v3/kv/range",
            b'{"key":"Z3JhZGVob2lzdC9tZW1iZXJzLw==","range_end":"Z3JhZGVob2lzdC9tZW1iZXJzMA=="}',
        ),
        (
            lambda store: store.read(""),
            "/v3/kv/range",
            b'{"key":"Z3JhZGVob2lzdC8=","range_end":"Z3JhZGVob2lzdDA="}',
        ),
        (
            lambda store: store.commit(CHANGES, "x:1"),
            "/v3/kv/txn",
            b'{"compare":[{"key":"Z3JhZGVob2lzdC9h","target":"MOD","result":"EQUAL","modRevision":"7"},'
            b'{"key":"Z3JhZGVob2lzdC9i","target":"MOD","result":"EQUAL","modRevision":"0"},'
            b'{"key":"Z3JhZGVob2lzdC9j","target":"MOD","result":"EQUAL","modRevision":"9"}],'
            b'"success":[{"requestPut":{"key":"Z3JhZGVob2lzdC9h","value":"WyJ4OjEiLCIvekU9Il0=",'
            b'"lease":"31"}},{"requestPut":{"key":"Z3JhZGVob2lzdC9i","value":"WyJ4OjEiLCIiXQ==",'
            b'"lease":"0"}},{"requestDeleteRange":{"key":"Z3JhZGVob2lzdC9j"}}],'
            b'"failure":[{"requestRange":{"key":"Z3JhZGVob2lzdC9h"}},'
            b'{"requestRange":{"key":"Z3JhZGVob2lzdC9i"}},{"requestRange":{"key":"Z3JhZGVob2lzdC9j"}}]}',
        ),
        (lambda store: store.open_session(1_500_000), "/v3/lease/grant", b'{"TTL":"2"}'),
        (lambda store: store.renew_session("31"), "/v3/lease/keepalive", b'{"ID":"31"}'),
        (lambda store: store.end_session("31"), "/v3/lease/revoke", b'{"ID":"31"}'),
        (
            lambda store: store.watch("zones/", 41, 1_000),
            "/v3/watch",
            b'{"create_request":{"key":"Z3JhZGVob2lzdC96b25lcy8=",'
            b'"range_end":"Z3JhZGVob2lzdC96b25lczA=","start_revision":"42"}}',
        ),
    ],
)
def test_a_request_has_the_same_bytes_as_that_of_commit_88767ee(
    call: Callable[[EtcdStore], Awaitable[Any]], path: str, body: bytes
) -> None:
    async def send() -> list[tuple[str, bytes]]:
        store, http = EtcdStore("etcd", 2379), RecordingHttpClient()
        store._client._http = http  # type: ignore[assignment]
        with contextlib.suppress(CoordinationError):
            await call(store)
        return http.sent

    assert asyncio.run(send()) == [(f"http://etcd:2379{path}", body)]


@pytest.mark.parametrize(
    ("document", "status", "expected"),
    [
        ({"error": "lease not found", "code": 5, "message": "lease not found"}, 404, EtcdError),
        ({"error": "no space", "code": 8, "message": "no space"}, 500, EtcdError),
        ({"error": {"grpc_code": 11, "message": "compacted"}}, 200, EtcdError),
        (
            {"error": "request timed out", "code": 14, "message": "request timed out"},
            503,
            OutcomeUnknownError,
        ),
    ],
)
def test_an_error_tells_whether_the_outcome_is_known(
    document: dict[str, Any], status: int, expected: type[Exception]
) -> None:
    assert type(classify_error(document, status, OutcomeUnknownError)) is expected


def test_without_network_a_read_is_unavailable_and_a_write_has_an_unknown_outcome() -> None:
    async def send() -> None:
        store = EtcdStore("etcd", 2379)
        store._client._http = RecordingHttpClient()  # type: ignore[assignment]
        with pytest.raises(StoreUnavailableError):
            await store.read("")
        with pytest.raises(OutcomeUnknownError):
            await store.commit(CHANGES, "x:1")

    asyncio.run(send())
