"""The timer of a policy: fires at even intervals, and begins the pool's report periods."""

from gradehoist.actors import Actor, MessageLoop
from gradehoist.flow_control import FlowControl
from gradehoist.interface import SetTimer, TimerFired
from gradehoist.messages import PeriodElapsed, PoolAssessed


class PeriodTimer(Actor):
    """Sets the timer anew each time it fires."""

    def __init__(
        self, loop: MessageLoop, flow: FlowControl, first_us: int, interval_us: int, period_us: int
    ) -> None:
        """Set the timer to fire after `first_us`, then every `interval_us`."""
        super().__init__(loop)
        self.period_us = period_us
        self._flow = flow
        self._interval_us = interval_us
        self._next_period_us = loop.now_us + period_us
        self._set(first_us)

    def _set(self, delay_us: int) -> None:
        self._flow.orders.append(SetTimer(token=0, delay_us=delay_us))

    def _on_timer_fired(self, _: TimerFired) -> None:
        self._set(self._interval_us)
        if self.loop.now_us >= self._next_period_us:
            self._next_period_us = self.loop.now_us + self.period_us
            self.loop.publish(PeriodElapsed())

    def _on_pool_assessed(self, pool: PoolAssessed) -> None:
        self.period_us = pool.period_us
