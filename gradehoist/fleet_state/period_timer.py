"""The timer of a policy: fires at fixed intervals, and marks the end of each report period."""

from gradehoist.actors import Actor, MessageLoop
from gradehoist.flow_control import FlowControl
from gradehoist.interface import SetTimer, TimerFired
from gradehoist.messages import PeriodElapsed, PoolAssessed

PERIOD_TIMER_TOKEN = 0


class PeriodTimer(Actor):
    """Restarts the timer each time it fires, and publishes `PeriodElapsed` once a report period."""

    def __init__(
        self, loop: MessageLoop, flow: FlowControl, first_us: int, interval_us: int, period_us: int
    ) -> None:
        """Start a timer that fires after `first_us`, then every `interval_us`."""
        super().__init__(loop)
        self.period_us = period_us
        self._flow = flow
        self._interval_us = interval_us
        self._next_period_us = loop.now_us + period_us
        self._start(first_us)

    def _start(self, delay_us: int) -> None:
        self._flow.orders.append(SetTimer(PERIOD_TIMER_TOKEN, delay_us))

    def _on_timer_fired(self, timer: TimerFired) -> None:
        if timer.token != PERIOD_TIMER_TOKEN:
            return
        self._start(self._interval_us)
        if self.loop.now_us >= self._next_period_us:
            self._next_period_us = self.loop.now_us + self.period_us
            self.loop.publish(PeriodElapsed())

    def _on_pool_assessed(self, pool: PoolAssessed) -> None:
        self.period_us = pool.period_us
