"""The tasks that run the policies and publish what they order."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from gradehoist.clock import monotonic_us
from gradehoist.governor.policy_instances import PolicyBatch, PolicyReply
from gradehoist.governor.policy_process import PolicyProcess, PolicyProcessError
from gradehoist.governor.shell_state import ShellState
from gradehoist.interface import WithdrawReplica

REPLIES_PER_STEP = 8  # replies that are applied before other tasks may run


class PolicyLoop:
    """Gives the policies their events and applies their orders. The service owns it.

    Without cells, this happens whenever events are pending. With cells, it happens once per time slot, and at
    once for the cells of a replica that is listed as draining or gone.
    """

    def __init__(self, shell: ShellState, process: PolicyProcess, on_failure: Callable[[], None]) -> None:
        """Creates the loop; `on_failure` is called when the policies can't run any more."""
        self._core = shell.core
        self._signals = shell.signals
        self._log = shell.log
        self._process = process
        self._on_failure = on_failure

    async def run(self) -> None:
        """Runs the policies until they fail or the task is cancelled."""
        try:
            while True:
                if self._core.slot_us:
                    await self._run_slot(self._core.slot_us)
                else:
                    await self._run_events()
        except PolicyProcessError as error:
            # Published orders stay in effect, and none of the failed reply is published.
            self._log.error("policy_failed", reason=str(error))
            self._on_failure()

    async def run_publishing(self, slot_us: int) -> None:
        """Publishes once per time slot, also while the policies are computing."""
        while True:
            await asyncio.sleep(_until_next_slot_s(slot_us))
            must_continue = self._core.publish_slot(monotonic_us())
            while must_continue:
                await asyncio.sleep(0)
                must_continue = self._core.publish_slot(monotonic_us(), is_continuation=True)
            self._signals.core_changed.set()

    async def _run_events(self) -> None:
        """Waits for events and has the policies handle them."""
        await self._signals.events_pending.wait()
        self._signals.events_pending.clear()
        batches = self._core.take_batches()
        if batches:
            replies = await self._process.handle(monotonic_us(), batches, True)
            self._core.apply_replies(monotonic_us(), replies)
            self._signals.core_changed.set()

    async def _run_slot(self, slot_us: int) -> None:
        """Waits for the next slot or an urgent change; timers fire only at a slot."""
        is_urgent = await self._wait_for_slot(slot_us)
        batches = self._core.take_batches(is_urgent)
        if not batches and is_urgent:
            return
        await self._handle_slot(batches, fires_timers=not is_urgent)
        self._signals.core_changed.set()

    async def _handle_slot(self, batches: list[PolicyBatch], fires_timers: bool) -> None:
        """Has the policies handle the events, and applies the replies, those with withdrawals first.

        Other tasks run between the steps: applying the replies of a hundred cells without a break would delay
        polls by a tenth of a second.
        """
        replies = await self._process.handle(monotonic_us(), batches, fires_timers)
        replies.sort(key=_has_no_withdrawal)
        for start in range(0, len(replies), REPLIES_PER_STEP):
            self._core.apply_replies(monotonic_us(), replies[start : start + REPLIES_PER_STEP])
            await asyncio.sleep(0)

    async def _wait_for_slot(self, slot_us: int) -> bool:
        """Waits until the slot ends; returns True if an urgent change came first."""
        urgent_change = self._signals.urgent_change
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_until_next_slot_s(slot_us)):
                await urgent_change.wait()
                urgent_change.clear()
                return True
        return False


def _until_next_slot_s(slot_us: int) -> float:
    return (slot_us - monotonic_us() % slot_us) / 1e6


def _has_no_withdrawal(reply: PolicyReply) -> bool:
    return not any(isinstance(order, WithdrawReplica) and order.withdrawn for order in reply.orders)
