"""Converts a batch of the policy's orders into one message for each affected proxy."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from gradehoist.governor.tables import PublishedTables
from gradehoist.interface import (
    BindProxy,
    ClearTable,
    RequestAcknowledgement,
    SetAdmission,
    SetWeight,
    WithdrawReplica,
)
from gradehoist.node.proxy_streams import ProxyStream, SentRevision
from gradehoist.node.push_contents import PushContents
from gradehoist.protocol.feed import BindDelta, Delta, RestorationDelta, WeightDelta, WithdrawalDelta
from gradehoist.protocol.lines import format_push

TableOrder = SetWeight | ClearTable | WithdrawReplica | SetAdmission


class OutboundMessage(NamedTuple):
    """Bytes for one stream; dropped if it is no longer the current stream of its proxy."""

    proxy: int
    stream_id: int
    data: bytes


class PushBatch:
    """The messages of one batch. Proxies with equal messages share the encoded bytes."""

    def __init__(self, tables: PublishedTables, streams: Mapping[int, ProxyStream]) -> None:
        """Creates an empty batch; `streams` maps each proxy to its current stream."""
        self._tables = tables
        self._replicas = tables.identifiers.replicas
        self._streams = streams
        self._deltas: dict[int, list[Delta]] = {}  # by proxy
        self._acknowledgement: RequestAcknowledgement | None = None
        self._encoded: dict[object, bytes] = {}

    def request_acknowledgement(self, order: RequestAcknowledgement) -> None:
        """Requests an acknowledgement of this batch; the last request in a batch takes effect."""
        self._acknowledgement = order

    def bind(self, order: BindProxy) -> None:
        """Sends a proxy the full table without withdrawn replicas.

        The proxy then needs no withdrawals. Sending all of them doubled the cost of a bind in a large fleet,
        and the time that proxies waited for it.
        """
        if order.proxy not in self._streams:
            return
        deltas = self._deltas.setdefault(order.proxy, [])
        for delta in self._tables.bind(order.proxy, order.table, order.classes).deltas:
            if isinstance(delta, BindDelta):
                weights = {
                    replica: weight
                    for replica, weight in delta.weights.items()
                    if self._replicas[replica] not in self._tables.withdrawn
                }
                deltas.append(BindDelta(table=delta.table, classes=delta.classes, weights=weights))
            elif not isinstance(delta, WithdrawalDelta):
                deltas.append(delta)

    def publish(self, order: TableOrder) -> None:
        """Applies an order to the tables and sends its delta to the affected proxies."""
        update = self._tables.apply(order)
        proxies = update.proxies
        if isinstance(order, WithdrawReplica):
            proxies = self._proxies_to_notify(order)
        for proxy in proxies:
            self._deltas.setdefault(proxy, []).append(update.delta)

    def _proxies_to_notify(self, order: WithdrawReplica) -> list[int]:
        """Returns the proxies that a withdrawal or its end affects.

        A withdrawal is sent to the proxies whose tables contain the replica; other proxies get it once their
        tables contain the replica. The end is sent to the proxies that were sent the withdrawal.
        """
        replica = order.replica
        if not order.withdrawn:
            streams = [s for s in self._streams.values() if replica in s.withdrawn_replicas]
            for stream in streams:
                stream.withdrawn_replicas.discard(replica)
            return [stream.proxy for stream in streams]
        tables_with_replica = {table for table, weights in self._tables.weights.items() if replica in weights}
        streams = [
            stream
            for stream in self._streams.values()
            if not tables_with_replica.isdisjoint(self._tables.bindings[stream.proxy].values())
        ]
        for stream in streams:
            stream.withdrawn_replicas.add(replica)
        return [stream.proxy for stream in streams]

    def messages(self, now_us: int) -> list[OutboundMessage]:
        """Encodes the batch and records on each stream the message that has to be acknowledged."""
        if self._acknowledgement is not None and self._acknowledgement.to_all:
            for proxy in self._streams:
                self._deltas.setdefault(proxy, [])
        messages = []
        for proxy, deltas in self._deltas.items():
            stream = self._streams[proxy]
            data = self._encode(stream, deltas)
            if self._acknowledgement is not None:
                stream.unacknowledged.append(SentRevision(self._acknowledgement.revision, now_us))
            messages.append(OutboundMessage(proxy, stream.stream_id, data))
        return messages

    def _encode(self, stream: ProxyStream, deltas: list[Delta]) -> bytes:
        bindings = self._tables.bindings[stream.proxy]
        restored = () if stream.is_new else self._restorations(stream, deltas)
        key = (_deltas_key(deltas), _relevant_bindings(deltas, bindings), restored)
        data = self._encoded.get(key)
        if data is None:
            contents = PushContents(self._tables, bindings, restored)
            for delta in deltas:
                contents.apply(delta)
            revision = None if self._acknowledgement is None else self._acknowledgement.revision
            data = format_push(contents.parts(revision))
            self._encoded[key] = data
        return data

    def _restorations(self, stream: ProxyStream, deltas: list[Delta]) -> tuple[str, ...]:
        """Returns replicas new to the stream's tables that another node may have withdrawn from this proxy.

        A proxy keeps withdrawals when it changes streams. Unless they are ended explicitly, it avoids those
        replicas for ever.
        """
        for delta in deltas:
            if isinstance(delta, WithdrawalDelta | RestorationDelta):
                stream.notified_replicas.add(self._replicas[delta.replica])
        restored = []
        for name in _added_replicas(deltas):
            replica = self._replicas[name]
            if replica not in stream.notified_replicas and replica not in self._tables.withdrawn:
                restored.append(name)
        stream.notified_replicas.update(self._replicas[name] for name in restored)
        return tuple(restored)


def _deltas_key(deltas: list[Delta]) -> object:
    """Returns a key that identifies deltas within a batch.

    Shared deltas are the same object. Bind deltas are created for each proxy but are equal for all proxies
    with the same bindings, so their number is a sufficient key in combination with the bindings.
    """
    if any(isinstance(delta, BindDelta) for delta in deltas):
        return len(deltas)
    return tuple(map(id, deltas))


def _relevant_bindings(deltas: list[Delta], bindings: Mapping[int, int]) -> tuple[tuple[int, int], ...]:
    """Returns the bindings, or none if no delta concerns a table: all proxies then share one message."""
    if any(getattr(delta, "table", None) is not None for delta in deltas):
        return tuple(bindings.items())
    return ()


def _added_replicas(deltas: Iterable[Delta]) -> dict[str, None]:
    """Returns the replicas that these deltas add to tables, each once, in order."""
    added: dict[str, None] = {}
    for delta in deltas:
        if isinstance(delta, BindDelta):
            added |= dict.fromkeys(delta.weights)
        elif isinstance(delta, WeightDelta) and delta.weight > 0:
            added[delta.replica] = None
    return added
