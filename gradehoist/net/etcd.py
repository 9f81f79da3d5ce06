"""The coordination store on an etcd cluster that exists already, through its v3 interface over HTTP and JSON.

All keys lie below one prefix. etcd has no commit ids, so that a record's value is stored together with the
id of its commit: `[commit_id, value]` in JSON, the value in base 64. Sessions are leases. Reads are
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
    """A `CoordinationStore` on the etcd server at `host`:`port`, below `key_prefix`.

    Its methods raise the errors that `gradehoist.coordination.store` names. One watch stream is kept over
    many calls of `watch`, and opened again where a call does not go on from the one before.
    """

    def __init__(self, host: str, port: int, key_prefix: str = "gradehoist/") -> None:
        """Opens no connection yet."""
        self._client = EtcdClient(f"http://{host}:{port}")
        self._key_prefix = key_prefix.encode()
        self._store_id = ""  # as last seen by the watch
        self._watch: _PrefixWatch | None = None

    async def read(self, prefix: str) -> StoreSnapshot:
        """Returns all records below `prefix`, none older than a commit that ended before the call."""
        try:
            found = await self._client.call("/v3/kv/range", self._key_range(prefix), RangeResponse)
        except EtcdError as error:
            raise StoreUnavailableError(error.message) from None
        return StoreSnapshot(
            store_id=str(found.header.cluster_id),
            revision=found.header.revision,
            records=tuple(self._record(key_value) for key_value in found.kvs),
        )

    async def commit(self, changes: tuple[Change, ...], commit_id: str) -> Committed | CommitRejected:
        """Writes all changes, or none where one expects another version than its record has."""
        check_sizes(changes)
        request = self._transaction(changes, commit_id)
        try:
            found = await self._client.call("/v3/kv/txn", request, TransactionResponse, is_write=True)
        except EtcdError as error:
            raise self._commit_error(error) from None
        if found.succeeded:
            return Committed(found.header.revision)
        records = [
            self._record(key_value)
            for response in found.responses
            for key_value in response.response_range.kvs
        ]
        return CommitRejected(found.header.revision, tuple(records))

    async def open(self, ttl_us: int) -> str:
        """Returns the id of a new session; its time is rounded up to whole seconds."""
        ttl_s = -(-ttl_us // _US_PER_S)
        request = LeaseGrantRequest(str(ttl_s))
        try:
            found = await self._client.call("/v3/lease/grant", request, LeaseGrantResponse, is_write=True)
        except EtcdError as error:
            raise StoreUnavailableError(error.message) from None
        return str(found.lease_id)

    async def keep(self, session_id: str) -> int:
        """Renews a session and returns the store's revision."""
        try:
            found = await self._client.call(
                "/v3/lease/keepalive", LeaseRequest(session_id), KeepAliveResponse
            )
        except EtcdError as error:
            if error.code == NOT_FOUND:
                raise SessionEndedError(error.message) from None
            raise StoreUnavailableError(error.message) from None
        if found.result.ttl_s <= 0:
            raise SessionEndedError(f"session {session_id} has ended")
        return found.result.header.revision

    async def end(self, session_id: str) -> None:
        """Ends a session; one that has ended already is no error."""
        with contextlib.suppress(EtcdError):
            await self._client.call(
                "/v3/lease/revoke", LeaseRequest(session_id), LeaseRevokeResponse, is_write=True
            )

    async def watch(self, prefix: str, after_revision: int, wait_us: int) -> WatchBatch:
        """Returns the changes below `prefix` since a revision; waits up to `wait_us` for the first one."""
        watch = self._watch_from(prefix, after_revision)
        clock = asyncio.get_running_loop().time
        deadline = clock() + wait_us / _US_PER_S
        try:
            while True:
                line = await watch.stream.read_line(max(0.0, deadline - clock()))
                batch = self._batch_from_line(line, after_revision)
                if batch is not None:
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
        """Ends the watch stream and closes all connections."""
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
            return StoreFullError(f"{self._client.base_url}: {error.message}; free some of its space")
        return StoreUnavailableError(f"{self._client.base_url}: {error.message}")

    # The watch

    def _watch_from(self, prefix: str, after_revision: int) -> _PrefixWatch:
        """Returns the open watch, or a new one where it does not continue at this prefix and revision."""
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
        """Returns the batch of a line of the stream, or None for one that brings no change."""
        try:
            document: dict[str, msgspec.Raw] = msgspec.json.decode(line, type=dict[str, msgspec.Raw])
            if "error" in document:
                raise classify_error(msgspec.json.decode(line), HTTP_OK, StoreUnavailableError)
            message: WatchMessage = msgspec.json.decode(line, type=WatchMessage, strict=False)
        except msgspec.MsgspecError:
            raise StoreUnavailableError(
                f"{self._client.base_url}: a line of the watch that is not JSON"
            ) from None
        if message.result is None:
            return None
        return self._batch_from_result(message.result, after_revision)

    def _batch_from_result(self, result: WatchResult, after_revision: int) -> WatchBatch | None:
        if result.header.cluster_id is not None:
            self._store_id = str(result.header.cluster_id)
        if result.compact_revision:
            raise HistoryCompactedError(f"changes up to {result.compact_revision} are not kept")
        if result.canceled:
            raise StoreUnavailableError(f"{self._client.base_url}: watch cancelled: {result.cancel_reason}")
        events = [self._event(event) for event in result.events]
        # A watch may repeat events that it brought already.
        new_events = tuple(event for event in events if event.revision > after_revision)
        if new_events:
            return self._watch_batch(after_revision, new_events[-1].revision, new_events)
        revision = result.header.revision
        if result.created and revision is not None and revision < after_revision:
            return self._watch_batch(after_revision, revision, ())  # the store went back
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
    """A watch stream; `revision` is the one up to which it has been read."""

    stream: WatchStream
    prefix: str
    revision: int


def _write_operation(key: bytes, change: Change, commit_id: str) -> Operation:
    if not isinstance(change, Put):
        return Operation(request_delete_range=KeyRange(key=key))
    value = msgspec.json.encode((commit_id, change.value))
    return Operation(request_put=PutRequest(key=key, value=value, lease=change.session_id or NO_LEASE))


def _end_of_prefix(prefix: bytes) -> bytes:
    r"""Returns the first key behind all that begin with `prefix`; b"\0" stands for the end of all keys."""
    stem = prefix.rstrip(b"\xff")
    if not stem:
        return b"\0"
    return stem[:-1] + bytes([stem[-1] + 1])
