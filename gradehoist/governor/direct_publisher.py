"""The publisher of a governor with one policy, which sends each reply at once. This module does no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from gradehoist.governor.channel import Channel
from gradehoist.governor.event_log import EventLog
from gradehoist.governor.policy_instances import PolicyRevision, PolicySet
from gradehoist.governor.proxy_streams import ProxyStream
from gradehoist.governor.publisher import Publisher
from gradehoist.governor.tables import PublishedTables
from gradehoist.interface import BindProxy, Order, RequestAcknowledgement
from gradehoist.protocol.feed import Delta, Message


@dataclass
class PendingMessage:
    """The deltas for one proxy from the replies of one time, and the revisions to acknowledge with them."""

    deltas: list[Delta] = field(default_factory=list)
    cost_lines: float = 0.0
    revisions: list[PolicyRevision] = field(default_factory=list)


class DirectPublisher(Publisher):
    """Sends each affected proxy one message for all replies that the policies gave at one time.

    The deltas of a message are in the order in which the policies gave the orders.
    """

    def __init__(self, tables: PublishedTables, channel: Channel, policies: PolicySet, log: EventLog) -> None:
        """Creates a publisher without proxies."""
        super().__init__(tables, channel, policies, log)
        self._messages: dict[int, PendingMessage] = {}  # by proxy
        self._affected: dict[int, None] = {}  # proxies that the current reply affects

    def begin_replies(self) -> None:
        """Begins the replies that the policies gave at one time."""
        super().begin_replies()
        self._messages = {}
        self._affected = {}

    def apply(self, policy: int, order: Order) -> bool:
        """Applies an order in the governor's indices; returns False if it binds a proxy that has left."""
        if isinstance(order, BindProxy):
            table = self.tables.bind(order.proxy, order.table, order.classes)
            if not table.deltas:
                return False
            self._add([order.proxy], table.deltas, table.cost_lines)
        else:
            update = self.tables.apply(order)
            self._add(update.proxies, [update.delta], update.cost_lines)
        return True

    def finish_reply(self, policy: int, request: RequestAcknowledgement | None, now_us: int) -> None:
        """Ends the reply of one policy, whose revision the affected proxies, or all, have to acknowledge."""
        if request is not None:
            if request.to_all:
                self._add([proxy for proxy in self.streams if proxy not in self._affected], [], 0.0)
            for proxy in self._affected:
                self._messages[proxy].revisions.append(PolicyRevision(policy, request.revision))
        self._affected = {}

    def finish_replies(self, now_us: int) -> None:
        """Ends the replies of one time and sends their messages."""
        for proxy, pending in self._messages.items():
            if stream := self.streams.get(proxy):
                self._send(now_us, stream, pending)
        self._messages = {}

    def maintain_backlog(self) -> None:
        """Resyncs proxies whose tables were larger than the channel's queue limit and now fit.

        Called about once a second.
        """
        for stream in self.streams.values():
            if not stream.is_oversized:
                continue
            if self.tables.proxy_snapshot(stream.proxy).cost_lines <= self.channel.queue_limit_lines:
                stream.require_resync("its tables fit into the queue limit now")
                self.request_resync(stream.proxy)

    def _add(self, proxies: Iterable[int], deltas: list[Delta], cost_lines: float) -> None:
        for proxy in proxies:
            pending = self._messages.setdefault(proxy, PendingMessage())
            pending.deltas.extend(deltas)
            pending.cost_lines += cost_lines
            self._affected[proxy] = None

    def _send(self, now_us: int, stream: ProxyStream, pending: PendingMessage) -> None:
        seq = stream.allocate_seq()
        stream.expect_acknowledgement(seq, tuple(pending.revisions), now_us)
        if stream.resync_reason:
            return  # the pending resync will include these changes
        cost_lines = self._cost_lines(pending)
        deltas = pending.deltas
        if cost_lines > self.channel.queue_limit_lines:
            snapshot_lines = self.tables.proxy_snapshot(stream.proxy).cost_lines
            if snapshot_lines > self.channel.queue_limit_lines:
                deltas, cost_lines = self._reduce_to_withdrawals(stream, deltas, snapshot_lines)
        message = Message(
            seq=seq,
            reply_number=self.reply_count,
            created_us=now_us,
            cost_lines=cost_lines,
            deltas=tuple(deltas),
            revision=pending.revisions[-1].revision if pending.revisions else None,
        )
        rejection = self.channel.put(now_us, stream.proxy, stream.number, message)
        if rejection is None:
            return
        stream.require_resync(rejection)
        self.request_resync(stream.proxy)
        self._log.warning("message_rejected", proxy=stream.proxy_name, lines=cost_lines, reason=rejection)

    def _cost_lines(self, pending: PendingMessage) -> float:
        overhead_lines = self.tables.message_overhead_lines + self.tables.count_common_admission()
        return overhead_lines + bool(pending.revisions) + pending.cost_lines
