"""Withdrawals of draining and gone replicas: when they are written, within the drain grace.

While a proxy has messages to spare, a withdrawal is written at once. As its messages get scarce, withdrawals
are gathered, for as long as the first of them may wait, and written in one message. Each withdrawal was once
written at once: in a fleet that shrank to a third, the first 17 used up the messages of a window, and the
next ones came up to 2 s after the grace.
"""

from collections.abc import Collection, Set
from itertools import islice

from gradehoist import messages
from gradehoist.fleet_state import Fleet
from gradehoist.interface import LogRemark, SetTimer, WithdrawReplica
from gradehoist.messages import URGENT
from gradehoist.policy.message_budget import WITHDRAWAL_MESSAGE_SHARE, MessageBudget

# Drains may use more of the queue limit than other writes. The rest is a margin for lines that are not
# counted exactly.
URGENT_QUEUE_SHARE = 0.85

GATHERING_TIMER_TOKEN = 1

Holders = dict[int, list[int]]  # by replica: the proxies with a line for it


class WithdrawalWriter:
    """Writes withdrawals to the proxies that have lines for the replicas; owned by the publisher."""

    def __init__(self, fleet: Fleet, budget: MessageBudget) -> None:
        """Create a writer with nothing to write."""
        # Whether withdrawals are due that the queue has no space for.
        self.waits_for_queue = False
        # Whether withdrawals were written just now that had been gathered, and none is left.
        self.has_ended_gathering = False
        # Replicas whose withdrawal waits only for proxies that are at their message limits.
        self.blocked = set[int]()
        self._gathered_until_us: int | None = None
        self._timer_us = 0
        self._loop = fleet.loop
        self._flow = fleet.flow
        self._proxies = fleet.proxies
        self._withdrawals = fleet.withdrawals
        self._budget = budget

    @property
    def is_gathering(self) -> bool:
        """Whether all pending withdrawals wait for others to share a message with."""
        return self._gathered_until_us is not None and not self.waits_for_queue and not self.blocked

    def write_urgent(self) -> None:
        """Write the withdrawals of draining and gone replicas that are due."""
        was_blocked = bool(self.blocked)
        was_gathering = self._gathered_until_us is not None
        self.has_ended_gathering = False
        self.waits_for_queue = False
        self.blocked = set()
        self._gathered_until_us = None
        holders = self.pending_holders(URGENT)
        if not holders:
            return
        proxies = _all_proxies(holders)
        exhausted = self._budget.exhausted(proxies)
        if exhausted:
            self._set_blocked(holders, exhausted, is_new=not was_blocked)
        waiting = {replica: held for replica, held in holders.items() if replica not in self.blocked}
        due = self._due(waiting, exhausted)
        self.write(due, URGENT_QUEUE_SHARE, WITHDRAWAL_MESSAGE_SHARE)
        self.waits_for_queue = any(replica in self._withdrawals.pending for replica in due)
        is_left = any(replica in self._withdrawals.pending for replica in waiting)
        self.has_ended_gathering = was_gathering and not is_left

    def pending_holders(self, kinds: Collection[messages.Availability]) -> Holders:
        """Return the replicas with a pending change to one of `kinds`, oldest first, and their holders."""
        return {replica: self._proxies.holders(replica) for replica in self._withdrawals.due(kinds)}

    def write(self, due: Holders, queue_share: float, message_share: float) -> None:
        """Write as many withdrawals as fit into a share of the queue, the oldest first."""
        # Without this, the capacity of a thousand proxies would be counted at each message of each cell's
        # policy.
        if not due:
            return
        lines = sum(map(len, due.values()))
        available = self._flow.available_lines(_all_proxies(due), 0, queue_share, message_share)
        fitting = available * len(due) / max(1, lines)
        # While more lines are due than fit, a message with only a few of them waits: drains that were written
        # a few at a time came too late.
        is_worth_it = fitting >= min(len(due), 2 * self._flow.overhead_lines)
        if fitting >= 1 and (is_worth_it or not self._flow.unacknowledged_lines):
            for replica, proxies in islice(due.items(), int(min(fitting, len(due)))):
                self._withdrawals.withdraw(replica)
                self._flow.write([WithdrawReplica(replica, withdrawn=True)], proxies, lines=1)

    def _due(self, waiting: Holders, exhausted: set[int]) -> Holders:
        """Return the withdrawals to write now, and arrange for the others to be written by their deadlines.

        Withdrawals that may wait no longer go, and those that can share their messages. Others go only to
        proxies that have messages to spare.
        """
        if not waiting:
            return {}
        proxies = _all_proxies(waiting)
        wait_us = self._budget.max_wait_us(len(proxies))
        latest_us = {replica: self._withdrawals.urgent_since_us[replica] + wait_us for replica in waiting}
        overdue = {n: held for n, held in waiting.items() if latest_us[n] <= self._loop.now_us}
        spared = (self._budget.scarce(proxies) - _all_proxies(overdue).keys()) | exhausted
        due = _without(waiting, spared)
        rest = waiting.keys() - due.keys()
        if not exhausted.isdisjoint(_all_proxies(overdue)):
            self._remove_lines({n: held for n, held in waiting.items() if n in rest}, exhausted)
        if later_us := [latest_us[n] for n in rest if latest_us[n] > self._loop.now_us]:
            self._gather_until(min(later_us))
        return due

    def _set_blocked(self, holders: Holders, exhausted: set[int], is_new: bool) -> None:
        """Set the replicas that only groups with an exhausted proxy still have lines for."""
        stuck = set[int]()
        for members in self._proxies.bound:
            if not exhausted.isdisjoint(members):
                stuck.update(members)
        self.blocked = {replica for replica, held in holders.items() if held and stuck.issuperset(held)}
        self._wake_at(self._budget.next_message_us(exhausted))
        if self.blocked and is_new:
            text = f"{len(self.blocked)} withdrawals wait: {len(exhausted)} proxies are at the message limit"
            self._flow.orders.append(LogRemark(text))

    def allows_lines(self, lines: float) -> bool:
        """Return whether gathered withdrawals would still be in time behind this many lines."""
        if self._gathered_until_us is None:
            return True
        reserved_us = self._budget.transmission_us(self._flow.reserved_lines + lines)
        return self._loop.now_us + reserved_us < self._gathered_until_us

    def _gather_until(self, latest_us: int) -> None:
        self._gathered_until_us = latest_us
        self._wake_at(latest_us)

    def _wake_at(self, time_us: int) -> None:
        now_us = self._loop.now_us
        if now_us < self._timer_us <= time_us:
            return
        self._timer_us = time_us
        self._flow.orders.append(SetTimer(GATHERING_TIMER_TOKEN, max(0, time_us - now_us)))

    def _remove_lines(self, replicas: Collection[int], exhausted: set[int]) -> None:
        """Remove the lines of replicas from the tables of the groups that have no exhausted proxy.

        A withdrawal is written to all proxies with a line for the replica, or to none. With the lines
        removed, it is only the proxies of the other groups that have to wait.
        """
        for group, members in enumerate(self._proxies.bound):
            if not members or not exhausted.isdisjoint(members):
                continue
            for replica in replicas:
                self._remove_line(group, replica)

    def _remove_line(self, group: int, replica: int) -> None:
        tables = sum(replica in table for table in self._proxies.replicas[group])
        members = self._proxies.bound[group]
        capacity = self._flow.available_lines(members, tables, URGENT_QUEUE_SHARE, WITHDRAWAL_MESSAGE_SHARE)
        if tables and capacity >= 0:
            self._flow.reserved_lines += tables * len(members)
            self._proxies.send(group, messages.WriteReplica(replica))


def _all_proxies(holders: Holders) -> dict[int, None]:
    """Return all holders, each once, in the order of the replicas."""
    return dict.fromkeys(proxy for replica_holders in holders.values() for proxy in replica_holders)


def _without(holders: Holders, proxies: Set[int]) -> Holders:
    """Return the replicas that none of the proxies has a line for, with their holders."""
    return {replica: held for replica, held in holders.items() if proxies.isdisjoint(held)}
