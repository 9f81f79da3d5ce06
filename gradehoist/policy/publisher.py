"""Publishing: what is written when, by urgency, within the limits of the channel's queue and messages."""

from collections.abc import Collection, Sequence
from math import inf, isfinite

from gradehoist import messages
from gradehoist.actors import Actor
from gradehoist.fleet_state import Fleet, PeriodTimer
from gradehoist.fleet_state.period_timer import PERIOD_TIMER_TOKEN
from gradehoist.interface import ProxyJoined, TimerFired, WithdrawReplica
from gradehoist.messages import URGENT
from gradehoist.policy.message_budget import MESSAGE_SHARE, WITHDRAWAL_MESSAGE_SHARE, MessageBudget
from gradehoist.policy.tables import ProxyGroup
from gradehoist.policy.warmup import WarmupAdmission
from gradehoist.policy.withdrawal_writer import URGENT_QUEUE_SHARE, WithdrawalWriter

# The share of the queue limit that binds and lines of tables may use, which the design sets.
QUEUE_SHARE = 0.5

# The share of a proxy's message limit for messages to all proxies. Ejections, readmissions and admission
# rates have it in common.
BROADCAST_MESSAGE_SHARE = 0.3

# Lines that a readmission costs for each proxy with a line for the replica: the lifted withdrawal, the line
# with the low weight, and the removal of a line that it replaces.
READMISSION_LINES = 3

# The shortest time between two turns of groups.
MIN_TURN_INTERVAL_US = 20_000

# A drain's grace is divided into this many slots. Proxies that joined within the same slot are bound in order
# of their traffic.
BIND_SLOTS_PER_GRACE = 4


class Publisher(Actor):
    """Writes withdrawals, readmissions, binds and admission rates, and gives groups their turns to write."""

    def __init__(self, fleet: Fleet, groups: Sequence[ProxyGroup], warmup: WarmupAdmission) -> None:
        """Create a publisher with nothing to write, and start its timer."""
        self.warmup = warmup
        self.budget = MessageBudget(fleet)
        self.withdrawal_writer = WithdrawalWriter(fleet, self.budget)
        self.replicas = fleet.replicas
        self.flow = fleet.flow
        self.groups = groups
        self.proxies = fleet.proxies
        self.withdrawals = fleet.withdrawals
        self.bind_slot_us = max(1, fleet.config.safety.drain_grace_us // BIND_SLOTS_PER_GRACE)
        self.is_subsetting = False
        period_us = fleet.config.load_reporting.period_us
        self.last_turn_us = [-period_us] * len(fleet.groups)  # by group
        self.last_step_us = 0
        self.next_broadcast_us = 0
        interval_us = max(period_us // len(fleet.groups), MIN_TURN_INTERVAL_US)
        first_us = int(interval_us * (0.5 + fleet.loop.random()))
        self.timer = PeriodTimer(fleet.loop, fleet.flow, first_us, interval_us, period_us)
        # The publisher subscribes last, so that the timer receives its events first.
        super().__init__(fleet.loop)

    def _capacity(self, proxies: Collection[int], lines: float = 0) -> float:
        """Return how many lines may still be written after writing `lines` to each of `proxies`.

        The result is minus infinity if the messages that one of them has left are kept for withdrawals.
        """
        if not self.budget.has_enough(proxies):
            return -inf
        return self.flow.available_lines(proxies, lines, QUEUE_SHARE, MESSAGE_SHARE)

    def _on_proxy_joined(self, joined: ProxyJoined) -> None:
        # Proxies with the most traffic are bound first. All proxies must be bound within a drain's grace,
        # which runs from their joining, so earlier slots still come first.
        slot = self.loop.now_us // self.bind_slot_us
        group = self.proxies.smallest_group(joined.zone)
        self.proxies.add_proxy(joined.proxy, group, slot, joined.request_rate)

    def _on_pool_assessed(self, pool: messages.PoolAssessed) -> None:
        self.is_subsetting = pool.is_subsetting

    def write_pending(self) -> None:
        """Write the changes of availability, binds and admission rates that fit, the most urgent first."""
        all_proxies = list(self.proxies.group_by_proxy)
        is_broadcast_due = self.loop.now_us >= self.next_broadcast_us
        # Admission rates come first. Written after ejections and readmissions, an outdated rate stayed in
        # force for 5 s more.
        if is_broadcast_due:
            self._write_admission(all_proxies)
        self.withdrawal_writer.write_urgent()
        if is_broadcast_due:
            self._write_ejections()
        has_readmissions = is_broadcast_due and self._write_readmissions(all_proxies)
        self._write_binds()
        if self.withdrawal_writer.has_ended_gathering:
            self._give_shared_turns()
        if is_broadcast_due and (len(self.flow.pending) >= len(all_proxies) or has_readmissions):
            interval_us = self.flow.message_window_us / self.flow.message_limit / BROADCAST_MESSAGE_SHARE
            self.next_broadcast_us = self.loop.now_us + int(interval_us)

    def _write_admission(self, all_proxies: list[int]) -> None:
        lines = len(self.flow.admission_orders)
        has_precedence = self.withdrawal_writer.is_gathering or not self.withdrawals.has_pending(URGENT)
        if lines and has_precedence and self._capacity(all_proxies, lines) >= 0:
            self.flow.write_admission(all_proxies)

    def _write_ejections(self) -> None:
        # With a larger share of the messages, ejections would use up those that drains need.
        due = self.withdrawal_writer.pending_holders((messages.Availability.EJECTED,))
        if self.budget.has_enough({proxy for held in due.values() for proxy in held}):
            self.withdrawal_writer.write(due, QUEUE_SHARE, MESSAGE_SHARE)

    def _write_readmissions(self, all_proxies: list[int]) -> bool:
        due = self.withdrawals.due((messages.Availability.AVAILABLE,))
        if not due:
            return False
        mean_holders = self.proxies.mean_holders()
        fitting = self._fitting_readmissions(due, all_proxies, mean_holders)
        readmitted = self._reject_overloaded(list(fitting))
        for replica in readmitted:
            holders = fitting[replica]
            self.flow.reserved_lines += READMISSION_LINES * max(0.0, mean_holders - len(holders))
            lift = [WithdrawReplica(replica, withdrawn=False)] if self.withdrawals.readmit(replica) else []
            self.flow.write(lift, holders, READMISSION_LINES)
        if readmitted:
            self.loop.publish(messages.ReplicasReadmitted(readmitted))
        return bool(readmitted)

    def _fitting_readmissions(
        self, due: list[int], all_proxies: list[int], mean_holders: float
    ) -> dict[int, list[int]]:
        """Return the due replicas whose readmission fits in a message, with the proxies that have lines."""
        # The lines of readmitted replicas also go to proxies that have none so far. When only the proxies
        # that had a line were counted, others exceeded their message limits.
        capacity = self._capacity(all_proxies)
        fitting = dict[int, list[int]]()
        for replica in due:
            holders = self.proxies.holders(replica)
            cost = READMISSION_LINES * max(len(holders), mean_holders)
            # While proxies wait to be bound, they would send too many requests to a readmitted cold replica
            # by their old tables.
            is_ejected = self.withdrawals.withdrawn.get(replica) is messages.Availability.EJECTED
            if capacity >= cost and (is_ejected or not self.proxies.pending_binds):
                capacity -= cost
                fitting[replica] = holders
        return fitting

    def _reject_overloaded(self, fitting: list[int]) -> list[int]:
        """Return the replicas that may be readmitted in one message, without those that do not fit in it.

        The next message with readmissions can be seconds away, and the first replicas of a class would get
        all of its requests until then.
        """
        cold = self.replicas.open_cold().intersection(fitting)
        rejected = cold - self.warmup.admissible(cold, readmitted=fitting)
        if rejected:
            self.loop.publish(messages.ReadmissionsRejected(rejected))
        return [replica for replica in fitting if replica not in rejected]

    def _write_binds(self) -> None:
        # A proxy that joins may hold tables and withdrawals of an earlier stream, so it is bound as soon as
        # its bind fits. No bind is written while a drain waits for space in the queue, or would be late
        # behind it: binds took up that space again and again, and 1,382 requests were sent to draining
        # replicas after the grace (run hd28492).
        while self.proxies.pending_binds:
            unacknowledged = self.flow.unacknowledged_lines
            if unacknowledged and self.withdrawal_writer.waits_for_queue:
                return
            bind = self.proxies.next_bind(self.withdrawals.withdrawn.keys())
            # A bind of more lines than `QUEUE_SHARE` of the queue is written once nothing else is in the
            # queue.
            if self._capacity(()) < bind.lines and unacknowledged + self.flow.reserved_lines:
                return
            if not self.withdrawal_writer.allows_lines(bind.lines):
                return
            self.proxies.bind_next(bind)

    def _on_timer_fired(self, timer: TimerFired) -> None:
        if timer.token != PERIOD_TIMER_TOKEN:
            return
        now_us = self.loop.now_us
        outdated = [group for group, is_outdated in enumerate(self.proxies.is_outdated) if is_outdated]
        if not self._must_wait_for_withdrawals():
            self._give_next_turn(outdated)
        if not outdated and self.flow.is_idle() and now_us - self.last_step_us >= self.timer.period_us:
            self.last_step_us = now_us
            self.loop.publish(messages.WeightStepDue())

    def _must_wait_for_withdrawals(self) -> bool:
        """Return whether no group may write weights yet.

        No weights are written while a withdrawal is pending: a message with weights would count as sent with
        knowledge of the replica's restart, although its withdrawal is not in it. A withdrawal that waits only
        for proxies at their message limits concerns their groups alone.
        """
        if any(replica not in self.withdrawal_writer.blocked for replica in self.withdrawals.due(URGENT)):
            return True
        # With subsets, weights also wait for ejections, as the channel is too narrow for both. In other
        # fleets, this starved the weights.
        must_wait_for_ejections = self.is_subsetting and self.loop.now_us >= self.next_broadcast_us
        return must_wait_for_ejections and self.withdrawals.has_pending((messages.Availability.EJECTED,))

    def _give_next_turn(self, outdated: list[int]) -> None:
        """Give the next group that is due, and that the channel has capacity for, its turn to write.

        A group has one turn a period. Groups that have waited longer, and whose tables have fewer open lines,
        come first. With turns in the order of their numbers, and a channel with capacity for a quarter of the
        groups in a period, the last group had no turn, and one group had a single cold replica left.
        """
        for group, waited in self._due_groups(outdated).items():
            bound = self.proxies.bound[group]
            # Withdrawals of all lines of a group, one message each, used up the messages for weights, and its
            # proxies had no replica for the rest of the message window.
            if self.groups[group].lacks_usable_lines():
                capacity = self.flow.available_lines(bound, 0, URGENT_QUEUE_SHARE, WITHDRAWAL_MESSAGE_SHARE)
            else:
                capacity = self._capacity(bound)
            if capacity >= len(bound):
                self._give_turn(group, capacity, waited)
            # At most one group has its turn, and if the queue has no space for it, the others wait too. Only
            # a group with a proxy at its message limit is passed over, as it held up all other groups
            # otherwise.
            if isfinite(capacity):
                return

    def _give_shared_turns(self) -> None:
        """Give the groups that are due their turns in the messages of withdrawals that were gathered.

        Weights wait while withdrawals are gathered, and their own messages would be the next ones to miss.
        """
        outdated = [group for group, is_outdated in enumerate(self.proxies.is_outdated) if is_outdated]
        for group, waited in self._due_groups(outdated).items():
            bound = self.proxies.bound[group]
            changes = sum(1 for _ in self.groups[group].changes(int(waited)))
            capacity = min(self._capacity(bound), float(changes * len(bound)))
            if self.flow.pending.keys() >= bound.keys() and capacity >= len(bound):
                self.flow.reserved_lines += capacity
                self._give_turn(group, capacity, waited)

    def _due_groups(self, outdated: list[int]) -> dict[int, float]:
        """Return the groups that may write again, in order, and for how many periods each has waited."""
        waited = {
            group: (self.loop.now_us - self.last_turn_us[group]) / self.timer.period_us for group in outdated
        }
        due = [group for group in outdated if waited[group] >= 1 and not self._has_blocked_line(group)]
        withdrawn = self.withdrawals.withdrawn.keys()
        due.sort(key=lambda group: (-waited[group] / self.proxies.open_share(group, withdrawn), group))
        return {group: waited[group] for group in due}

    def _give_turn(self, group: int, capacity: float, waited: float) -> None:
        self.last_turn_us[group] = self.loop.now_us
        self.proxies.send(group, messages.WriteTurn(capacity, periods=int(waited)))

    def _has_blocked_line(self, group: int) -> bool:
        blocked = self.withdrawal_writer.blocked
        return any(not blocked.isdisjoint(table) for table in self.proxies.replicas[group])
