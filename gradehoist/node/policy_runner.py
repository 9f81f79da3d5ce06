"""Runs the core: at most so often, as its timers fall due and as events come in."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from gradehoist.node.clock import SteadyUnixClock
from gradehoist.node.core import NodeCore

GATHER_S = 0.004  # what comes in within this time is gathered for one step of the policy
MAX_STEP_INTERVAL_S = 0.25
MIN_TIMER_GAIN_S = 1e-4  # a timer is not set anew to run earlier by less than this
MICROSECONDS_PER_SECOND = 1e6


class PolicyRunner:
    """Owns the timer of the next step. A failure of the policy is reported to the owner and not raised."""

    def __init__(
        self,
        core: NodeCore,
        clock: SteadyUnixClock,
        stopping: asyncio.Event,
        deliver: Callable[[], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        """`deliver` takes the core's output after each step; nothing is scheduled once `stopping` is set."""
        self.core = core
        self.clock = clock
        self._stopping = stopping
        self._deliver = deliver
        self._on_failure = on_failure
        self._next_step_s: float | None = None  # in the loop's time
        self._timer: asyncio.TimerHandle | None = None
        self._longest_step_s = 0.0

    def schedule(self, delay_s: float = GATHER_S) -> None:
        """Has a step run after `delay_s` at the latest."""
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
        except Exception as error:  # noqa: BLE001 - process boundary: the node ends, and logs the traceback
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
        """The duration of the longest step since the last call."""
        longest_s, self._longest_step_s = self._longest_step_s, 0.0
        return longest_s
