"""Publishing: what is written when, by urgency, within the channel's queue and its cap on messages."""

from collections.abc import Collection, Iterable
from math import isfinite

from gradehoist import messages
from gradehoist.actors import Actor
from gradehoist.fleet_state import Fleet, PeriodTimer
from gradehoist.interface import ProxyJoined, TimerFired, WithdrawReplica

QUEUE_SHARE = 0.5  # the design's part of the queue limit for binds and lines
URGENT_QUEUE_SHARE = 0.85  # drains may fill more, yet leave a margin for lines not counted exactly
MESSAGE_SHARE = 0.6  # of a proxy's messages; the rest waits for drains
ROUND_SHARE = 0.3  # of a proxy's messages for what goes to all: ejections, returns and admission share them
RETURN_LINES = 3  # for each holder: the withdrawal lifted, the low line, and a line that leaves for it
MIN_TURN_INTERVAL = 20_000  # µs
BIND_SLOTS = 4  # of a drain's grace: proxies that joined in the same one are bound by traffic
URGENT = (messages.Availability.DRAINING, messages.Availability.GONE)


class Publisher(Actor):
    """Writes withdrawals, returns, binds and admission rates, and gives groups their turns for weights."""

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
        self.next_round_us = 0
        interval_us = max(period_us // len(fleet.groups), MIN_TURN_INTERVAL)
        first_us = int(interval_us * (0.5 + fleet.loop.random()))
        self.timer = PeriodTimer(fleet.loop, fleet.flow, first_us, interval_us, period_us)
        super().__init__(fleet.loop)  # behind the timer, which takes its events first

    def _room(self, proxies: Iterable[int], lines: float = 0, queue_share: float = QUEUE_SHARE) -> float:
        return self.flow.available_lines(proxies, lines, queue_share, max(MESSAGE_SHARE, queue_share))

    def _on_proxy_joined(self, joined: ProxyJoined) -> None:
        # Those with most traffic are bound first, yet all of them within the grace that runs from joining.
        slot = self.loop.now_us // self.bind_slot_us
        group = self.proxies.smallest(joined.zone)
        self.proxies.add_proxy(joined.proxy, group, slot, joined.request_rate)

    def _on_pool_assessed(self, pool: messages.PoolAssessed) -> None:
        self.is_subsetting = pool.is_subsetting

    def write_pending(self) -> None:
        """Write changes of availability, binds and admission rates that fit, the most urgent first."""
        everyone = list(self.proxies.group_by_proxy)
        is_round_due = self.loop.now_us >= self.next_round_us
        if is_round_due:  # before ejections and returns: behind them a rate over with stood for 5 s more
            self._write_admission(everyone)
        self._write_withdrawals(URGENT, URGENT_QUEUE_SHARE)
        if is_round_due:  # ejections keep to the half, or they use up the messages that a drain needs
            self._write_withdrawals((messages.Availability.EJECTED,), QUEUE_SHARE)
        has_returns = is_round_due and self._write_returns(everyone)
        self._write_binds()
        if is_round_due and (len(self.flow.pending) >= len(everyone) or has_returns):
            interval_us = self.flow.message_window_us / self.flow.message_limit / ROUND_SHARE
            self.next_round_us = self.loop.now_us + int(interval_us)

    def _write_admission(self, everyone: list[int]) -> None:
        lines = len(self.flow.admission_orders)
        if lines and not self.withdrawals.has_pending(URGENT) and self._room(everyone, lines) >= 0:
            self.flow.write_admission(everyone)

    def _write_withdrawals(self, kinds: Collection[messages.Availability], queue_share: float) -> None:
        due = self.withdrawals.due(kinds)
        if not due:
            return  # the room of a thousand proxies was counted at every message of every cell's policy
        holders = {n: self.proxies.holders(n) for n in due}
        proxies = dict.fromkeys(proxy for some in holders.values() for proxy in some)
        lines = sum(map(len, holders.values()))
        fitting = self._room(proxies, queue_share=queue_share) * len(due) / max(1, lines)
        # As long as there are more, a message of few lines waits: sent by few, drains came too late.
        is_worth_it = fitting >= min(len(due), 2 * self.flow.overhead_lines)
        if fitting >= 1 and (is_worth_it or not self.flow.unacknowledged_lines):
            for n in due[: int(fitting)]:
                self.withdrawals.withdraw(n)
                self.flow.write([WithdrawReplica(n, withdrawn=True)], holders[n], lines=1)

    def _write_returns(self, everyone: list[int]) -> bool:
        due = self.withdrawals.due((messages.Availability.AVAILABLE,))
        # Lines of a return go to other proxies too: by those shut out alone, some passed the cap on messages.
        room = self._room(everyone) if due else 0.0
        mean_holders = self.proxies.mean_holders() if due else 0.0
        returned = list[int]()
        for n in due:
            holders = self.proxies.holders(n)
            cost = RETURN_LINES * max(len(holders), mean_holders)
            # While proxies wait for tables, their old ones would give a cold replica that returns too much.
            is_ejected = self.withdrawals.withdrawn.get(n) is messages.Availability.EJECTED
            if room >= cost and (is_ejected or not self.proxies.pending_binds):
                room -= cost
                self.flow.reserved_lines += cost - RETURN_LINES * len(holders)
                lift = [WithdrawReplica(n, withdrawn=False)] if self.withdrawals.readmit(n) else []
                self.flow.write(lift, holders, RETURN_LINES)
                returned.append(n)
        if returned:
            self.loop.publish(messages.ReplicasReadmitted(returned))
        return bool(returned)

    def _write_binds(self) -> None:
        # A proxy that joins may hold tables and withdrawals of an earlier stream: bound as soon as it fits.
        # Not while a drain waits for room: binds took it again and again, 1,382 sends were late (hd28492).
        while self.proxies.pending_binds:
            unacknowledged = self.flow.unacknowledged_lines
            if unacknowledged and self.withdrawals.has_pending(URGENT):
                return
            bind = self.proxies.next_bind(self.withdrawals.withdrawn.keys())
            if self._room(()) < bind.lines and unacknowledged + self.flow.reserved_lines:
                return  # a table of more than half the queue goes alone
            self.proxies.bind_next(bind)

    def _on_timer_fired(self, _: TimerFired) -> None:
        now_us = self.loop.now_us
        outdated = [group for group, is_outdated in enumerate(self.proxies.is_outdated) if is_outdated]
        # While a withdrawal waits, another message would count as sent knowing of the restart; with subsets
        # also while an ejection does, as the channel is too narrow for both: elsewhere weights starved.
        is_narrow = self.is_subsetting and now_us >= self.next_round_us
        if not self.withdrawals.has_pending(
            (*URGENT, messages.Availability.EJECTED) if is_narrow else URGENT
        ):
            self._give_turn(outdated)
        if not outdated and self.flow.is_settled() and now_us - self.last_step_us >= self.timer.period_us:
            self.last_step_us = now_us
            self.loop.publish(messages.WeightStepDue())

    def _give_turn(self, outdated: list[int]) -> None:
        # Each group once a period, by how long it waits and how few of its lines are open: by number, with a
        # channel that brings a quarter of them a period, the last had no turn, and one a single cold replica.
        waited = {g: (self.loop.now_us - self.last_turn_us[g]) / self.timer.period_us for g in outdated}
        due = [g for g in outdated if waited[g] >= 1]
        withdrawn = self.withdrawals.withdrawn.keys()
        for group in sorted(due, key=lambda g: (-waited[g] / self.proxies.open_share(g, withdrawn), g)):
            bound = self.proxies.bound[group]
            room = self._room(bound)
            if room >= len(bound):
                self.last_turn_us[group] = self.loop.now_us
                self.proxies.send(group, messages.WriteTurn(room, periods=int(waited[group])))
            if isfinite(room):
                return  # it waits for the queue; one whose proxies may have no message yet held up all others
