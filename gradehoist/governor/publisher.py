"""The base class of both publishers, with the streams, the channel and the full resync.

A publisher sends the policies' orders to the proxies. `DirectPublisher` serves a single policy and sends each
reply at once; `CellPublisher` serves many policies and sends changes once per time slot. This module does no
I/O.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable

from gradehoist.governor.channel import Channel
from gradehoist.governor.event_log import EventLog
from gradehoist.governor.policy_instances import PolicyRevision, PolicySet
from gradehoist.governor.proxy_streams import ProxyStream
from gradehoist.governor.tables import PricedDeltas, PublishedTables
from gradehoist.interface import Order, ProxyLeft, RequestAcknowledgement
from gradehoist.protocol.feed import Delta, Message, RestorationDelta, WithdrawalDelta


class Publisher(ABC):
    """Sends the orders of the policies to the proxies. The core owns it.

    Attributes:
        streams: the streams of the connected proxies, by proxy.
        channel: the queue of messages to all proxies.
        tables: the tables, withdrawals and admissions that the policies have ordered.
        reply_count: number of times at which orders were sent; messages carry it as their reply number.
    """

    def __init__(self, tables: PublishedTables, channel: Channel, policies: PolicySet, log: EventLog) -> None:
        """Creates a publisher without proxies."""
        self.streams: dict[int, ProxyStream] = {}
        self.channel = channel
        self.tables = tables
        self.reply_count = 0
        self._policies = policies
        self._log = log
        self._resync_due: dict[int, None] = {}  # a set of proxies, in order

    def add_proxy(self, stream: ProxyStream, request_rate: float) -> None:
        """Adds a proxy that has joined, with the requests per second that it expects."""
        self.streams[stream.proxy] = stream
        self.channel.add_proxy(stream.proxy)
        self.tables.add_proxy(stream.proxy)
        self._policies.introduce_proxy(stream.proxy, stream.zone, request_rate)

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        del self.streams[proxy]
        self.channel.remove_proxy(proxy)
        self.tables.remove_proxy(proxy)
        self._resync_due.pop(proxy, None)
        self._policies.broadcast(ProxyLeft(proxy))

    def begin_replies(self) -> None:
        """Begins the replies that the policies gave at one time."""
        self.reply_count += 1

    @abstractmethod
    def apply(self, policy: int, order: Order) -> bool:
        """Applies an order that uses the governor's indices; returns False if it has no effect."""

    @abstractmethod
    def finish_reply(self, policy: int, request: RequestAcknowledgement | None, now_us: int) -> None:
        """Ends the reply of one policy, with the acknowledgement that it requests, if any."""

    @abstractmethod
    def finish_replies(self, now_us: int) -> None:
        """Ends the replies of one time and sends the changes that do not wait for a time slot."""

    @abstractmethod
    def maintain_backlog(self) -> None:
        """Does periodic maintenance; called about once a second."""

    def publish_slot(self, now_us: int, *, replica_count: int, is_continuation: bool) -> bool:
        """Sends the messages of a time slot; returns True if it has to be called again to continue."""
        return False

    def migrate_tenant(self, tenant: str, cell: str, generation: int) -> bool:
        """Changes a tenant's route; returns False if this publisher has no routes."""
        return False

    def request_resync(self, proxy: int) -> None:
        """Schedules the resync of a proxy whose stream requires it."""
        self._resync_due[proxy] = None

    def send_resyncs(self, now_us: int) -> None:
        """Sends the pending full resyncs for which the channel has capacity."""
        for proxy in list(self._resync_due):
            stream = self.streams.get(proxy)
            if stream is None or not stream.resync_reason:
                self._resync_due.pop(proxy, None)
            else:
                self._send_resync(now_us, stream)

    def take_released(self, now_us: int) -> set[int]:
        """Moves released messages to their streams; returns the proxies whose poll can be answered."""
        ready: set[int] = set()
        for item in self.channel.take_released(now_us):
            stream = self.streams.get(item.proxy)
            if stream is None or stream.number != item.stream:
                continue
            if stream.add_released(item.message):
                ready.add(item.proxy)
                if item.message.is_snapshot or not stream.unacknowledged_since_us:
                    stream.unacknowledged_since_us = now_us
            elif stream.resync_reason:
                self._resync_due[item.proxy] = None
        return ready

    def _resynced_revisions(self, proxy: int) -> tuple[PolicyRevision, ...]:
        """Returns queued revisions that the acknowledgement of a full resync also covers."""
        return ()

    def _send_resync(self, now_us: int, stream: ProxyStream) -> None:
        """Sends the full state, or only withdrawals if the proxy's tables exceed the queue limit."""
        snapshot = self.tables.proxy_snapshot(stream.proxy)
        is_complete = snapshot.cost_lines <= self.channel.queue_limit_lines
        if is_complete:
            stream.is_oversized = False
        else:
            snapshot = self._reduce_to_withdrawals(stream, snapshot.deltas, snapshot.cost_lines)
        if self.channel.rejection_reason(now_us, stream.proxy, snapshot.cost_lines) is not None:
            return
        message = Message(
            seq=stream.allocate_seq(),
            reply_number=self.reply_count,
            created_us=now_us,
            cost_lines=snapshot.cost_lines,
            deltas=tuple(snapshot.deltas),
            is_snapshot=is_complete,
        )
        self.channel.put(now_us, stream.proxy, stream.number, message)
        stream.expect_acknowledgement(message.seq, self._resynced_revisions(stream.proxy), now_us)
        self._log.info(
            "proxy_resynced",
            proxy=stream.proxy_name,
            lines=snapshot.cost_lines,
            reason=stream.resync_reason,
        )
        stream.resync_reason = ""
        stream.resync_seq = message.seq
        self._resync_due.pop(stream.proxy, None)

    def _reduce_to_withdrawals(
        self, stream: ProxyStream, deltas: Iterable[Delta], snapshot_lines: float
    ) -> PricedDeltas:
        """Returns the withdrawals and restorations among the deltas, for a proxy with oversized tables.

        The tables of such a proxy exceed the queue limit, so it keeps the tables that it has. While it waited
        for a resync that never fitted, it was not notified of any withdrawal.
        """
        if not stream.is_oversized:
            stream.is_oversized = True
            self._log.warning(
                "table_size_exceeded",
                proxy=stream.proxy_name,
                lines=snapshot_lines,
                reason=f"queue-limit is {self.channel.queue_limit_lines:g}; raise it, or divide the fleet",
            )
        kept: list[Delta] = [
            delta for delta in deltas if isinstance(delta, WithdrawalDelta | RestorationDelta)
        ]
        return PricedDeltas(kept, self.tables.message_overhead_lines + 1 + len(kept))
