"""Runs the steps of the core when timers fall due or events arrive; gathers events to limit the step rate."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gradehoist.node.clock import SteadyUnixClock
from gradehoist.node.core import NodeCore

BATCH_DELAY_S = 0.004  # events that arrive within this time are processed in one step of the policy
MAX_STEP_INTERVAL_S = 0.25
MIN_TIMER_GAIN_S = 1e-4  # a scheduled step is not brought forward by less than this
MICROSECONDS_PER_SECOND = 1e6


class PolicyRunner:
    """Schedules and runs the steps of the core.

    An exception from the policy is passed to `on_failure` and not raised.
    """

    def __init__(
        self,
        core: NodeCore,
        clock: SteadyUnixClock,
        stopping: asyncio.Event,
        deliver: Callable[[], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        """Calls `deliver` after each step, and schedules no step once `stopping` is set."""
        self.core = core
        self.clock = clock
        self._stopping = stopping
        self._deliver = deliver
        self._on_failure = on_failure
        self._next_step_s: float | None = None  # event loop time
        self._timer: asyncio.TimerHandle | None = None
        self._longest_step_s = 0.0

    def schedule(self, delay_s: float = BATCH_DELAY_S) -> None:
        """Schedules a step in `delay_s`, unless one is scheduled for about that time or earlier."""
        if self._stopping.is_set():
            return
        loop = asyncio.get_running_loop()
        step_s = loop.time() + delay_s
        if self._next_step_s is not None and step_s >= self._next_step_s - MIN_TIMER_GAIN_S:
            return
        if self._timer is not None:
            self._timer.cancel()
        self._next_step_s = step_s
        self._timer = loop.call_at(step_s, self.step)

    def step(self) -> None:
        """Advances the core, delivers its output and schedules the next step."""
        started_s = time.monotonic()
        self._next_step_s = None
        self._timer = None
        try:
            self.core.advance(self.clock.now_us())
        except Exception as error:  # noqa: BLE001 - process boundary: the node ends and prints the traceback
            self._on_failure(error)
            return
        self._deliver()
        self._longest_step_s = max(self._longest_step_s, time.monotonic() - started_s)
        self.schedule(self._delay_to_next_timer_s())

    def _delay_to_next_timer_s(self) -> float:
        timer_us = self.core.next_timer_us()
        if timer_us is None:
            return MAX_STEP_INTERVAL_S
        delay_s = (timer_us - self.clock.now_us()) / MICROSECONDS_PER_SECOND
        return min(MAX_STEP_INTERVAL_S, max(0.0, delay_s))

    def cancel(self) -> None:
        """Cancels the scheduled step."""
        if self._timer is not None:
            self._timer.cancel()

    def take_longest_step_s(self) -> float:
        """Returns the duration of the longest step since the last call."""
        longest_s, self._longest_step_s = self._longest_step_s, 0.0
        return longest_s
