"""The coordination store on an existing etcd cluster, through etcd's v3 API over HTTP and JSON.

All keys have a common prefix. etcd has no commit ids, so a record's value is stored together with the id of
its commit as the JSON array `[commit_id, value]`, with the value in base64. Sessions are leases. Reads are
linearizable.
"""

from __future__ import annotations

import asyncio
import contextlib
from base64 import b64decode
from dataclasses import dataclass

import msgspec

from gradehoist.coordination.store import (
    Change,
    CommitRejected,
    Committed,
    CoordinationError,
    HistoryCompactedError,
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
from gradehoist.net.etcd_client import HTTP_OK, EtcdClient, WatchStream, classify_error
from gradehoist.net.etcd_messages import (
    NO_LEASE,
    NOT_FOUND,
    OUT_OF_RANGE,
    RESOURCE_EXHAUSTED,
    CompareRevision,
    EtcdError,
    Event,
    KeepAliveResponse,
    KeyRange,
    KeyValue,
    LeaseGrantRequest,
    LeaseGrantResponse,
    LeaseRequest,
    LeaseRevokeResponse,
    Operation,
    PutRequest,
    RangeResponse,
    TransactionRequest,
    TransactionResponse,
    WatchCreateRequest,
    WatchMessage,
    WatchRequest,
    WatchResult,
    decode_bytes,
)

_US_PER_S = 1_000_000
_STORED_VALUE: msgspec.json.Decoder[tuple[str, bytes]] = msgspec.json.Decoder(tuple[str, bytes])


class EtcdStore:
    """A `CoordinationStore` on the etcd server at `host`:`port`, with all keys below `key_prefix`.

    Its methods raise the errors defined in `gradehoist.coordination.store`. One watch stream serves
    successive calls of `watch`; it is reopened if a call does not continue where the previous one ended.
    """

    def __init__(self, host: str, port: int, key_prefix: str = "gradehoist/") -> None:
        """Creates a client; connections are opened on demand."""
        self._client = EtcdClient(f"http://{host}:{port}")
        self._key_prefix = key_prefix.encode()
        self._store_id = ""  # the cluster id last seen by the watch
        self._watch: _PrefixWatch | None = None

    async def read(self, prefix: str) -> StoreSnapshot:
        """Returns all records below `prefix`, including every commit that completed before the call."""
        try:
            response = await self._client.call("/v3/kv/range", self._key_range(prefix), RangeResponse)
        except EtcdError as error:
            raise StoreUnavailableError(error.message) from None
        return StoreSnapshot(
            store_id=str(response.header.cluster_id),
            revision=response.header.revision,
            records=tuple(self._record(key_value) for key_value in response.kvs),
        )

    async def commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        """Writes all changes, or none if a record's version is not the one that its change expects."""
        check_sizes(changes)
        request = self._transaction(changes, commit_id)
        try:
            response = await self._client.call("/v3/kv/txn", request, TransactionResponse, is_write=True)
        except EtcdError as error:
            raise self._commit_error(error) from None
        if response.succeeded:
            return Committed(response.header.revision)
        records = [
            self._record(key_value)
            for operation in response.responses
            for key_value in operation.response_range.kvs
        ]
        return CommitRejected(response.header.revision, tuple(records))

    async def open_session(self, ttl_us: int) -> str:
        """Opens a session and returns its id; the time to live is rounded up to whole seconds."""
        ttl_s = -(-ttl_us // _US_PER_S)
        request = LeaseGrantRequest(str(ttl_s))
        try:
            response = await self._client.call("/v3/lease/grant", request, LeaseGrantResponse, is_write=True)
        except EtcdError as error:
            raise StoreUnavailableError(error.message) from None
        return str(response.lease_id)

    async def renew_session(self, session_id: str) -> int:
        """Renews a session and returns the store's revision."""
        try:
            response = await self._client.call(
                "/v3/lease/keepalive", LeaseRequest(session_id), KeepAliveResponse
            )
        except EtcdError as error:
            if error.code == NOT_FOUND:
                raise SessionEndedError(error.message) from None
            raise StoreUnavailableError(error.message) from None
        if response.result.ttl_s <= 0:
            raise SessionEndedError(f"session {session_id} has ended")
        return response.result.header.revision

    async def end_session(self, session_id: str) -> None:
        """Ends a session; it is not an error if it has ended already."""
        with contextlib.suppress(EtcdError):
            await self._client.call(
                "/v3/lease/revoke", LeaseRequest(session_id), LeaseRevokeResponse, is_write=True
            )

    async def watch(self, prefix: str, after_revision: int, wait_us: int) -> WatchBatch:
        """Returns the changes below `prefix` after a revision; waits up to `wait_us` for the first one."""
        watch = self._watch_from(prefix, after_revision)
        clock = asyncio.get_running_loop().time
        deadline = clock() + wait_us / _US_PER_S
        try:
            while True:
                line = await watch.stream.read_line(max(0.0, deadline - clock()))
                batch = self._batch_from_line(line, after_revision)
                if batch is None:
                    continue
                if batch.revision < after_revision:
                    # The store's revision is behind the requested one, so the store was rolled back. The
                    # stream would skip all changes up to the requested revision; the next watch opens a new
                    # stream.
                    self._close_watch()
                    return batch
                watch.revision = batch.revision
                return batch
        except TimeoutError:
            return self._watch_batch(after_revision, after_revision, ())
        except EtcdError as error:
            self._close_watch()
            if error.code == OUT_OF_RANGE:
                raise HistoryCompactedError(error.message) from None
            raise StoreUnavailableError(f"{self._client.base_url}: {error.message}") from None
        except CoordinationError:
            self._close_watch()
            raise

    async def close(self) -> None:
        """Closes the watch stream and all connections."""
        self._close_watch()
        self._client.close()

    # Requests

    def _key_range(self, prefix: str) -> KeyRange:
        first_key = self._key_prefix + prefix.encode()
        return KeyRange(key=first_key, range_end=_end_of_prefix(first_key))

    def _transaction(self, changes: tuple[Change, ...], commit_id: str) -> TransactionRequest:
        request = TransactionRequest(compare=[], success=[], failure=[])
        for change in changes:
            key = self._key_prefix + change.key.encode()
            request.compare.append(CompareRevision(key=key, mod_revision=str(change.expected_version)))
            request.success.append(_write_operation(key, change, commit_id))
            request.failure.append(Operation(request_range=KeyRange(key=key)))
        return request

    def _commit_error(self, error: EtcdError) -> CoordinationError:
        if error.code == NOT_FOUND:
            return SessionEndedError(error.message)
        if error.code == RESOURCE_EXHAUSTED and "space" in error.message:
            return StoreFullError(f"{self._client.base_url}: {error.message}; free up space in it")
        return StoreUnavailableError(f"{self._client.base_url}: {error.message}")

    # Watch

    def _watch_from(self, prefix: str, after_revision: int) -> _PrefixWatch:
        """Returns the open watch, or a new one if the open one is for another prefix or revision."""
        watch = self._watch
        if watch is not None and watch.prefix == prefix and watch.revision == after_revision:
            return watch
        self._close_watch()
        key_range = self._key_range(prefix)
        create_request = WatchCreateRequest(
            key=key_range.key,
            range_end=key_range.range_end or b"",
            start_revision=str(after_revision + 1),
        )
        stream = self._client.open_watch(WatchRequest(create_request))
        self._watch = _PrefixWatch(stream=stream, prefix=prefix, revision=after_revision)
        return self._watch

    def _close_watch(self) -> None:
        if self._watch is not None:
            self._watch.stream.close()
            self._watch = None

    def _batch_from_line(self, line: bytes, after_revision: int) -> WatchBatch | None:
        """Returns the batch of a line of the stream, or None if the line has no changes."""
        try:
            document: dict[str, msgspec.Raw] = msgspec.json.decode(line, type=dict[str, msgspec.Raw])
            if "error" in document:
                raise classify_error(msgspec.json.decode(line), HTTP_OK, StoreUnavailableError)
            message: WatchMessage = msgspec.json.decode(line, type=WatchMessage, strict=False)
        except msgspec.MsgspecError:
            raise StoreUnavailableError(f"{self._client.base_url}: watch line is not valid JSON") from None
        if message.result is None:
            return None
        return self._batch_from_result(message.result, after_revision)

    def _batch_from_result(self, result: WatchResult, after_revision: int) -> WatchBatch | None:
        if result.header.cluster_id is not None:
            self._store_id = str(result.header.cluster_id)
        if result.compact_revision:
            raise HistoryCompactedError(
                f"changes up to revision {result.compact_revision} have been compacted"
            )
        if result.canceled:
            raise StoreUnavailableError(f"{self._client.base_url}: watch cancelled: {result.cancel_reason}")
        events = [self._event(event) for event in result.events]
        # A watch may repeat events that it has already delivered.
        new_events = tuple(event for event in events if event.revision > after_revision)
        if new_events:
            return self._watch_batch(after_revision, new_events[-1].revision, new_events)
        revision = result.header.revision
        if result.created and revision is not None and revision < after_revision:
            return self._watch_batch(after_revision, revision, ())  # the store was rolled back
        return None

    def _watch_batch(self, after_revision: int, revision: int, events: tuple[WatchEvent, ...]) -> WatchBatch:
        return WatchBatch(
            store_id=self._store_id, after_revision=after_revision, revision=revision, events=events
        )

    # Records

    def _event(self, event: Event) -> WatchEvent:
        is_deletion = event.type == "DELETE"
        return WatchEvent(
            key=self._record_key(event.kv),
            revision=event.kv.mod_revision,
            record=None if is_deletion else self._record(event.kv),
        )

    def _record(self, key_value: KeyValue) -> Record:
        key = self._record_key(key_value)
        try:
            commit_id, value = _STORED_VALUE.decode(decode_bytes(key_value.value) or b"")
        except (msgspec.MsgspecError, ValueError):
            return Record(key=key, value=b"", version=key_value.mod_revision, malformed=True)
        session_id = str(key_value.lease)
        return Record(
            key=key,
            value=value,
            version=key_value.mod_revision,
            commit_id=commit_id,
            session_id="" if session_id == NO_LEASE else session_id,
        )

    def _record_key(self, key_value: KeyValue) -> str:
        return b64decode(key_value.key)[len(self._key_prefix) :].decode("utf-8", "replace")


@dataclass
class _PrefixWatch:
    """A watch stream that has been read up to `revision`."""

    stream: WatchStream
    prefix: str
    revision: int


def _write_operation(key: bytes, change: Change, commit_id: str) -> Operation:
    if not isinstance(change, Put):
        return Operation(request_delete_range=KeyRange(key=key))
    value = msgspec.json.encode((commit_id, change.value))
    return Operation(request_put=PutRequest(key=key, value=value, lease=change.session_id or NO_LEASE))


def _end_of_prefix(prefix: bytes) -> bytes:
    r"""Returns the first key after all keys with `prefix`; b"\0" means the end of the key space."""
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return b"\0"
    return stem[:-1] + bytes([stem[-1] + 1])
