"""Publishing: what is written when, by urgency, within the limits of the channel's queue and messages."""

from collections.abc import Collection, Iterable
from math import isfinite

from gradehoist import messages
from gradehoist.actors import Actor
from gradehoist.fleet_state import Fleet, PeriodTimer
from gradehoist.interface import ProxyJoined, TimerFired, WithdrawReplica

QUEUE_SHARE = 0.5  # Of the queue limit, for binds and lines: the design's value.
URGENT_QUEUE_SHARE = 0.85  # Drains may use more, but leave a margin for lines that are not counted exactly.
MESSAGE_SHARE = 0.6  # Of a proxy's message limit; the rest is reserved for drains.
BROADCAST_MESSAGE_SHARE = 0.3  # Of a proxy's message limit, for ejections, readmissions and admission.
READMISSION_LINES = 3  # For each holder: the lifted withdrawal, the low line, and a line that it replaces.
MIN_TURN_INTERVAL_US = 20_000
BIND_SLOTS = 4  # Per drain grace; proxies that joined within the same slot are bound in order of traffic.
URGENT = (messages.Availability.DRAINING, messages.Availability.GONE)


class Publisher(Actor):
    """Writes withdrawals, readmissions, binds and admission rates, and gives groups their turns to write."""

    def __init__(self, fleet: Fleet) -> None:
        """Create a publisher with nothing to write, and start its timer."""
        self.flow = fleet.flow
        self.proxies = fleet.proxies
        self.withdrawals = fleet.withdrawals
        self.bind_slot_us = max(1, fleet.config.safety.drain_grace_us // BIND_SLOTS)
        self.is_subsetting = False
        period_us = fleet.config.load_reporting.period_us
        self.last_turn_us = [-period_us] * len(fleet.groups)
        self.last_step_us = 0
        self.next_broadcast_us = 0
        interval_us = max(period_us // len(fleet.groups), MIN_TURN_INTERVAL_US)
        first_us = int(interval_us * (0.5 + fleet.loop.random()))
        self.timer = PeriodTimer(fleet.loop, fleet.flow, first_us, interval_us, period_us)
        super().__init__(fleet.loop)  # Last, so that the timer receives its events first.

    def _capacity(self, proxies: Iterable[int], lines: float = 0, queue_share: float = QUEUE_SHARE) -> float:
        return self.flow.available_lines(proxies, lines, queue_share, max(MESSAGE_SHARE, queue_share))

    def _on_proxy_joined(self, joined: ProxyJoined) -> None:
        # Proxies with the most traffic are bound first, but all within a drain's grace of joining.
        slot = self.loop.now_us // self.bind_slot_us
        group = self.proxies.smallest_group(joined.zone)
        self.proxies.add_proxy(joined.proxy, group, slot, joined.request_rate)

    def _on_pool_assessed(self, pool: messages.PoolAssessed) -> None:
        self.is_subsetting = pool.is_subsetting

    def write_pending(self) -> None:
        """Write the changes of availability, binds and admission rates that fit, the most urgent first."""
        all_proxies = list(self.proxies.group_by_proxy)
        is_broadcast_due = self.loop.now_us >= self.next_broadcast_us
        if is_broadcast_due:  # First: after ejections and readmissions, an outdated rate stayed for 5 s more.
            self._write_admission(all_proxies)
        self._write_withdrawals(URGENT, URGENT_QUEUE_SHARE)
        if is_broadcast_due:  # With a larger share, ejections would use up the messages that drains need.
            self._write_withdrawals((messages.Availability.EJECTED,), QUEUE_SHARE)
        has_readmissions = is_broadcast_due and self._write_readmissions(all_proxies)
        self._write_binds()
        if is_broadcast_due and (len(self.flow.pending) >= len(all_proxies) or has_readmissions):
            interval_us = self.flow.message_window_us / self.flow.message_limit / BROADCAST_MESSAGE_SHARE
            self.next_broadcast_us = self.loop.now_us + int(interval_us)

    def _write_admission(self, all_proxies: list[int]) -> None:
        lines = len(self.flow.admission_orders)
        if lines and not self.withdrawals.has_pending(URGENT) and self._capacity(all_proxies, lines) >= 0:
            self.flow.write_admission(all_proxies)

    def _write_withdrawals(self, kinds: Collection[messages.Availability], queue_share: float) -> None:
        due = self.withdrawals.due(kinds)
        if not due:
            return  # This saves counting the capacity of a thousand proxies at each message of each cell.
        holders = {n: self.proxies.holders(n) for n in due}
        proxies = dict.fromkeys(proxy for some in holders.values() for proxy in some)
        lines = sum(map(len, holders.values()))
        fitting = self._capacity(proxies, queue_share=queue_share) * len(due) / max(1, lines)
        # A message with few of many due lines waits, as drains written a few at a time came too late.
        is_worth_it = fitting >= min(len(due), 2 * self.flow.overhead_lines)
        if fitting >= 1 and (is_worth_it or not self.flow.unacknowledged_lines):
            for n in due[: int(fitting)]:
                self.withdrawals.withdraw(n)
                self.flow.write([WithdrawReplica(n, withdrawn=True)], holders[n], lines=1)

    def _write_readmissions(self, all_proxies: list[int]) -> bool:
        due = self.withdrawals.due((messages.Availability.AVAILABLE,))
        # Lines also go to proxies without one so far; counting only the holders broke message limits.
        capacity = self._capacity(all_proxies) if due else 0.0
        mean_holders = self.proxies.mean_holders() if due else 0.0
        readmitted = list[int]()
        for n in due:
            holders = self.proxies.holders(n)
            cost = READMISSION_LINES * max(len(holders), mean_holders)
            # Proxies that wait for new tables would send a cold replica too much by their old ones.
            is_ejected = self.withdrawals.withdrawn.get(n) is messages.Availability.EJECTED
            if capacity >= cost and (is_ejected or not self.proxies.pending_binds):
                capacity -= cost
                self.flow.reserved_lines += cost - READMISSION_LINES * len(holders)
                lift = [WithdrawReplica(n, withdrawn=False)] if self.withdrawals.readmit(n) else []
                self.flow.write(lift, holders, READMISSION_LINES)
                readmitted.append(n)
        if readmitted:
            self.loop.publish(messages.ReplicasReadmitted(readmitted))
        return bool(readmitted)

    def _write_binds(self) -> None:
        # A proxy that joins may hold outdated tables and withdrawals, so it is bound as soon as its bind
        # fits, but after drains: binds kept taking their place, and 1,382 messages were late (hd28492).
        while self.proxies.pending_binds:
            unacknowledged = self.flow.unacknowledged_lines
            if unacknowledged and self.withdrawals.has_pending(URGENT):
                return
            bind = self.proxies.next_bind(self.withdrawals.withdrawn.keys())
            if self._capacity(()) < bind.lines and unacknowledged + self.flow.reserved_lines:
                return  # A bind that needs more than half the queue is written on its own.
            self.proxies.bind_next(bind)

    def _on_timer_fired(self, _: TimerFired) -> None:
        now_us = self.loop.now_us
        outdated = [group for group, is_outdated in enumerate(self.proxies.is_outdated) if is_outdated]
        # No weights go while a withdrawal waits: their message would count as sent knowing of the restart.
        # With subsets, ejections go first too, as the channel is slow; elsewhere that starved the weights.
        is_narrow = self.is_subsetting and now_us >= self.next_broadcast_us
        if not self.withdrawals.has_pending(
            (*URGENT, messages.Availability.EJECTED) if is_narrow else URGENT
        ):
            self._give_turn(outdated)
        if not outdated and self.flow.is_idle() and now_us - self.last_step_us >= self.timer.period_us:
            self.last_step_us = now_us
            self.loop.publish(messages.WeightStepDue())

    def _give_turn(self, outdated: list[int]) -> None:
        # Groups have a turn a period, by waiting time and by how few lines are open. With turns by number and
        # capacity for a quarter of the groups, the last one had none, and one had a single cold replica.
        waited = {g: (self.loop.now_us - self.last_turn_us[g]) / self.timer.period_us for g in outdated}
        due = [g for g in outdated if waited[g] >= 1]
        withdrawn = self.withdrawals.withdrawn.keys()
        for group in sorted(due, key=lambda g: (-waited[g] / self.proxies.open_share(g, withdrawn), g)):
            bound = self.proxies.bound[group]
            capacity = self._capacity(bound)
            if capacity >= len(bound):
                self.last_turn_us[group] = self.loop.now_us
                self.proxies.send(group, messages.WriteTurn(capacity, periods=int(waited[group])))
            if isfinite(capacity):
                return  # It waits for the queue; a group at its message limit, in contrast, is passed over.
