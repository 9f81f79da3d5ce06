"""The publisher of a governor with cells: the policies of all cells share the channel. No I/O.

Withdrawals go at once. All else is sent slot by slot, to the proxies that have waited longest, as far as the
shares of the channel allow.
"""

from __future__ import annotations

from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.governor.channel import Channel
from gradehoist.governor.delivery_queue import Delivery, DeliveryQueue
from gradehoist.governor.event_log import EventLog
from gradehoist.governor.policy_instances import PolicyRevision, PolicySet
from gradehoist.governor.proxy_streams import ProxyStream
from gradehoist.governor.publisher import Publisher
from gradehoist.governor.tables import PublishedTables
from gradehoist.interface import Order, ProxyLeft, RequestAcknowledgement
from gradehoist.protocol.feed import Message, TenantMigrated, apply_migration

MESSAGES_PER_CALL = 16  # 5 ms on average while a hundred cells bind a thousand proxies


class CellPublisher(Publisher):
    """Sends each proxy what has changed in its cells since the last message.

    Attributes:
        delivery_queue: what each proxy has yet to be sent.
        unintroduced: proxies that the policies do not know yet, with their requests a second.
    """

    def __init__(
        self,
        tables: PublishedTables,
        channel: Channel,
        policies: PolicySet,
        log: EventLog,
        budget: ChannelShares,
    ) -> None:
        """`budget` shares the channel among the cells."""
        super().__init__(tables, channel, policies, log)
        self.delivery_queue = DeliveryQueue(tables, policies, budget)
        self.unintroduced: dict[int, float] = {}
        self._served: set[int] = set()  # proxies that were sent a message in this slot
        self._concerned: dict[int, None] = {}  # proxies that the current reply concerns

    def add_proxy(self, stream: ProxyStream, request_rate: float) -> None:
        """Adds a proxy that has joined; the policies learn of it in one of the next slots."""
        self.streams[stream.proxy] = stream
        self.channel.add_proxy(stream.proxy)
        self.tables.add_proxy(stream.proxy)
        self.delivery_queue.add_proxy(stream.proxy)
        self.unintroduced[stream.proxy] = request_rate

    def remove_proxy(self, proxy: int) -> None:
        """Removes a proxy that has left."""
        del self.streams[proxy]
        self.channel.remove_proxy(proxy)
        self.tables.remove_proxy(proxy)
        self.delivery_queue.remove_proxy(proxy)
        self._resync_due.pop(proxy, None)
        if self.unintroduced.pop(proxy, None) is None:
            self._policies.broadcast(ProxyLeft(proxy))

    def apply(self, policy: int, order: Order) -> bool:
        """Applies an order in the governor's indices."""
        self._concerned.update(dict.fromkeys(self.delivery_queue.apply(policy, order)))
        return True

    def finish_reply(self, policy: int, request: RequestAcknowledgement | None, now_us: int) -> None:
        """Ends the reply of one policy: the proxies concerned, or all, wait for its cell."""
        self.delivery_queue.finish_reply(policy, request, self._concerned, now_us)
        self._concerned = {}

    def finish_replies(self, now_us: int) -> None:
        """Sends withdrawals at once."""
        self._send_withdrawals(now_us)

    def tend_backlog(self) -> None:
        """Forgets changes that no proxy waits for any more."""
        self.delivery_queue.drop_delivered()

    def migrate_tenant(self, tenant: str, cell: str, generation: int) -> bool:
        """Opens a tenant in a cell, or closes it if that is empty.

        Every proxy waits for the change, so that fifty migrations at once are still one message.
        """
        if self.tables.route is None:
            return False
        migration = TenantMigrated(tenant=tenant, cell=cell, generation=generation)
        self.tables.route = apply_migration(self.tables.route, migration)
        self.delivery_queue.add_migration(tenant)
        return True

    def publish_slot(self, now_us: int, *, replica_count: int, is_continuation: bool) -> bool:
        """Sends what proxies wait for, in turn, as far as the budget allows.

        Returns True if it stopped half way, so that others can run; it has to be called again as a
        continuation.
        """
        if not is_continuation:
            self._begin_slot(now_us, replica_count)
        sent = 0
        for proxy in self.delivery_queue.pending_proxies():
            if not self._may_send(now_us, proxy):
                continue
            if sent == MESSAGES_PER_CALL:
                return True
            if not self._send_ordinary(now_us, proxy):
                break
            sent += 1
        return False

    def _resynced_revisions(self, proxy: int) -> tuple[PolicyRevision, ...]:
        return self.delivery_queue.mark_resynced(proxy)

    def _begin_slot(self, now_us: int, replica_count: int) -> None:
        self.reply_count += 1
        self._served.clear()
        if reason := self._send_withdrawals(now_us):
            proxies = len(self.delivery_queue.urgent_proxies())
            self._log.warning("message_rejected", proxies=proxies, reason=reason)
        self._introduce_proxies(replica_count)
        self.delivery_queue.budget.decay_usage()

    def _introduce_proxies(self, replica_count: int) -> None:
        """Introduces proxies that have joined to the policies, those with most traffic first.

        A proxy that joins takes a table from each cell. The policies learn of no more at once than the
        channel can bind: with a thousand, each planned for all of them at every step, ten seconds long.
        Until then a proxy is sent withdrawals, and keeps the tables that it has.
        """
        backlogs = self.delivery_queue.backlogs
        class_count = len(self.tables.identifiers.classes)
        being_bound = sum(
            backlog.is_introduced
            and (bool(backlog.pending_binds) or len(self.tables.bindings[proxy]) < class_count)
            for proxy, backlog in backlogs.items()
        )
        room = max(0, self._max_being_bound(replica_count) - being_bound)
        by_traffic = sorted(self.unintroduced, key=lambda proxy: -self.unintroduced[proxy])
        for proxy in by_traffic[:room]:
            zone = self.streams[proxy].zone
            self._policies.introduce_proxy(proxy, zone, self.unintroduced.pop(proxy))
            backlogs[proxy].is_introduced = True

    def _max_being_bound(self, replica_count: int) -> int:
        """How many proxies may wait for their tables at one time: twice as many as the channel holds."""
        class_count = len(self.tables.identifiers.classes)
        lines_per_proxy = (replica_count * self._policies.class_count + class_count) or 1
        available_lines = self.delivery_queue.budget.available_lines(len(self.streams), 0.0)
        return max(1, int(2 * available_lines / lines_per_proxy))

    def _send_withdrawals(self, now_us: int) -> str:
        """Sends withdrawals to all proxies, with whatever else fits; empty, or why one was rejected."""
        rejection = ""
        for proxy in self.delivery_queue.urgent_proxies():
            delivery = self.delivery_queue.next_delivery(
                proxy, urgent=True, available_lines=self._available_lines()
            )
            rejection = self._send(now_us, proxy, delivery) or rejection
        return rejection

    def _may_send(self, now_us: int, proxy: int) -> bool:
        if proxy in self._served or self.streams[proxy].resync_reason:
            return False
        return self.delivery_queue.budget.allows_message(self.channel.count_messages(now_us, proxy))

    def _send_ordinary(self, now_us: int, proxy: int) -> bool:
        """Sends a proxy its next message; False if the channel has no room for it in this slot."""
        available_lines = self._available_lines()
        if available_lines <= self.tables.message_overhead_lines and self.channel.waiting_lines:
            return False
        delivery = self.delivery_queue.next_delivery(proxy, urgent=False, available_lines=available_lines)
        if delivery.cost_lines > available_lines and self.channel.waiting_lines:
            return False  # a message that is larger than the room goes alone, when its turn comes
        self._send(now_us, proxy, delivery)
        self._served.add(proxy)
        return True

    def _available_lines(self) -> float:
        budget = self.delivery_queue.budget
        return budget.available_lines(len(self.streams), self.channel.waiting_lines)

    def _send(self, now_us: int, proxy: int, delivery: Delivery) -> str:
        """Puts a message on the channel; empty, or why it is rejected. What is rejected stays due."""
        stream = self.streams[proxy]
        if stream.resync_reason:
            return ""  # the resync that is due holds all of it
        if delivery.deltas or delivery.revisions:
            rejection = self.channel.rejection_reason(now_us, proxy, delivery.cost_lines)
            if rejection is not None:
                return rejection
            self._put(now_us, stream, delivery)
        self.delivery_queue.mark_delivered(proxy, delivery)
        return ""

    def _put(self, now_us: int, stream: ProxyStream, delivery: Delivery) -> None:
        revisions = tuple(pending.revision for pending in delivery.revisions)
        ordered_us = min((pending.ordered_us for pending in delivery.revisions), default=now_us)
        message = Message(
            seq=stream.allocate_seq(),
            reply_number=self.reply_count,
            created_us=now_us,
            cost_lines=delivery.cost_lines,
            deltas=tuple(delivery.deltas),
            revision=revisions[-1].revision if revisions else None,
        )
        stream.expect_acknowledgement(message.seq, revisions, ordered_us)
        self.channel.put(now_us, stream.proxy, stream.number, message)
