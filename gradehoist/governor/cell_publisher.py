"""The publisher of a governor with cells, whose policies share the channel. This module does no I/O.

Withdrawals are sent at once, or gathered within the drain grace while a proxy's messages are scarce. All
other changes are sent once per time slot, first to the proxies that have waited longest, as far as each
cell's share of the channel allows.
"""

from __future__ import annotations

from gradehoist.cells.channel_shares import ChannelShares
from gradehoist.governor.channel import Channel
from gradehoist.governor.delivery_queue import DeliveryQueue, PendingDelivery
from gradehoist.governor.event_log import EventLog
from gradehoist.governor.policy_instances import PolicyRevision, PolicySet
from gradehoist.governor.proxy_streams import ProxyStream
from gradehoist.governor.publisher import Publisher
from gradehoist.governor.tables import PublishedTables
from gradehoist.interface import Order, ProxyLeft, RequestAcknowledgement
from gradehoist.protocol.feed import Message, TenantMigrated, apply_migration

# A call of this many messages takes 5 ms on average while a hundred cells bind a thousand proxies.
MESSAGES_PER_CALL = 16


class CellPublisher(Publisher):
    """Sends each proxy the changes of its cells since the last message.

    Attributes:
        delivery_queue: the changes that each proxy has not been sent yet.
        unintroduced: the requests per second of the proxies that the policies do not know yet.
    """

    def __init__(
        self,
        tables: PublishedTables,
        channel: Channel,
        policies: PolicySet,
        log: EventLog,
        budget: ChannelShares,
    ) -> None:
        """Creates a publisher without proxies; `budget` divides the channel among the cells."""
        super().__init__(tables, channel, policies, log)
        self.delivery_queue = DeliveryQueue(tables, policies, budget)
        self.unintroduced: dict[int, float] = {}
        self._sent_this_slot: set[int] = set()  # proxies that have been sent a message in this slot
        self._affected: dict[int, None] = {}  # proxies that the current reply affects
        self._urgent_since_us: dict[int, int] = {}  # by proxy that was not sent the latest withdrawals

    def add_proxy(self, stream: ProxyStream, request_rate: float) -> None:
        """Adds a proxy that has joined; the policies are notified of it in one of the next slots."""
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
        """Applies an order that uses the governor's indices."""
        self._affected.update(dict.fromkeys(self.delivery_queue.apply(policy, order)))
        return True

    def finish_reply(self, policy: int, request: RequestAcknowledgement | None, now_us: int) -> None:
        """Ends the reply of one policy and queues its cell for the affected proxies, or for all proxies."""
        self.delivery_queue.finish_reply(policy, request, self._affected, now_us)
        self._affected = {}

    def finish_replies(self, now_us: int) -> None:
        """Ends the replies of one time and sends their withdrawals at once."""
        self._send_withdrawals(now_us)

    def maintain_backlog(self) -> None:
        """Drops changes that no proxy is waiting for any more; called about once a second."""
        self.delivery_queue.drop_delivered()

    def migrate_tenant(self, tenant: str, cell: str, generation: int) -> bool:
        """Opens a tenant in a cell, or closes the tenant if the cell is empty.

        The change is queued for every proxy, so fifty simultaneous migrations still need only one message.
        """
        if self.tables.route is None:
            return False
        migration = TenantMigrated(tenant=tenant, cell=cell, generation=generation)
        self.tables.route = apply_migration(self.tables.route, migration)
        self.delivery_queue.add_migration(tenant)
        return True

    def publish_slot(self, now_us: int, *, replica_count: int, is_continuation: bool) -> bool:
        """Sends queued changes to the proxies in turn, as far as the budget allows.

        Returns True if it stopped early so that other tasks can run. The caller then has to call it again
        with `is_continuation`.
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
        self._sent_this_slot.clear()
        if reason := self._send_withdrawals(now_us):
            proxies = len(self.delivery_queue.urgent_proxies())
            self._log.warning("message_rejected", proxies=proxies, reason=reason)
        self._introduce_proxies(replica_count)
        self.delivery_queue.budget.decay_usage()

    def _introduce_proxies(self, replica_count: int) -> None:
        """Introduces proxies that have joined to the policies, those with the most traffic first.

        A proxy that joins is sent a table of each cell. The policies are notified of no more proxies at a
        time than the channel can bind: when they were notified of a thousand at once, every policy planned
        for all of them at each step, and a step took ten seconds. Until it is introduced, a proxy is sent
        withdrawals and keeps the tables that it has.
        """
        backlogs = self.delivery_queue.backlogs
        class_count = len(self.tables.identifiers.classes)
        binding_count = sum(
            backlog.is_introduced
            and (bool(backlog.pending_binds) or len(self.tables.bindings[proxy]) < class_count)
            for proxy, backlog in backlogs.items()
        )
        room = max(0, self._max_binding_count(replica_count) - binding_count)
        by_traffic = sorted(self.unintroduced, key=lambda proxy: -self.unintroduced[proxy])
        for proxy in by_traffic[:room]:
            zone = self.streams[proxy].zone
            self._policies.introduce_proxy(proxy, zone, self.unintroduced.pop(proxy))
            backlogs[proxy].is_introduced = True

    def _max_binding_count(self, replica_count: int) -> int:
        """Returns how many proxies may be waiting for tables: twice as many as the channel can hold."""
        class_count = len(self.tables.identifiers.classes)
        lines_per_proxy = (replica_count * self._policies.class_count + class_count) or 1
        available_lines = self.delivery_queue.budget.available_lines(len(self.streams), 0.0)
        return max(1, int(2 * available_lines / lines_per_proxy))

    def _send_withdrawals(self, now_us: int) -> str:
        """Sends withdrawals to the proxies that they are due at, with other changes that fit.

        Returns why the channel rejected a message, or an empty string if it rejected none.
        """
        rejection = ""
        proxies = self.delivery_queue.urgent_proxies()
        self._urgent_since_us = {proxy: self._urgent_since_us.get(proxy, now_us) for proxy in proxies}
        for proxy in proxies:
            if not self._is_withdrawal_due(now_us, proxy):
                continue
            delivery = self.delivery_queue.next_delivery(
                proxy, urgent=True, available_lines=self._available_lines()
            )
            rejection = self._send(now_us, proxy, delivery) or rejection
        return rejection

    def _is_withdrawal_due(self, now_us: int, proxy: int) -> bool:
        wait_us = self._max_withdrawal_wait_us()
        if now_us >= self._urgent_since_us[proxy] + wait_us:
            return True
        sent_us = self.channel.recent_messages(now_us, proxy)
        return self.delivery_queue.budget.allows_withdrawals(sent_us, now_us, wait_us)

    def _max_withdrawal_wait_us(self) -> int:
        budget = self.delivery_queue.budget
        return budget.max_withdrawal_wait_us(len(self.streams), self.channel.waiting_lines)

    def _may_send(self, now_us: int, proxy: int) -> bool:
        if proxy in self._sent_this_slot or self.streams[proxy].resync_reason:
            return False
        sent_us = self.channel.recent_messages(now_us, proxy)
        return self.delivery_queue.budget.allows_message(sent_us, now_us, self._max_withdrawal_wait_us())

    def _send_ordinary(self, now_us: int, proxy: int) -> bool:
        """Sends a proxy its next message; returns False if the channel has no room for it in this slot."""
        available_lines = self._available_lines()
        if available_lines <= self.tables.message_overhead_lines and self.channel.waiting_lines:
            return False
        delivery = self.delivery_queue.next_delivery(proxy, urgent=False, available_lines=available_lines)
        if delivery.cost_lines > available_lines and self.channel.waiting_lines:
            # A message larger than the available capacity is sent alone, once the channel is empty.
            return False
        self._send(now_us, proxy, delivery)
        self._sent_this_slot.add(proxy)
        return True

    def _available_lines(self) -> float:
        budget = self.delivery_queue.budget
        return budget.available_lines(len(self.streams), self.channel.waiting_lines)

    def _send(self, now_us: int, proxy: int, delivery: PendingDelivery) -> str:
        """Puts a message on the channel; returns why it was rejected, or an empty string.

        The changes of a rejected message stay queued.
        """
        stream = self.streams[proxy]
        if stream.resync_reason:
            return ""  # the pending resync will include these changes
        if delivery.deltas or delivery.revisions:
            rejection = self.channel.rejection_reason(now_us, proxy, delivery.cost_lines)
            if rejection is not None:
                return rejection
            self._put(now_us, stream, delivery)
        self.delivery_queue.mark_delivered(proxy, delivery)
        return ""

    def _put(self, now_us: int, stream: ProxyStream, delivery: PendingDelivery) -> None:
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
