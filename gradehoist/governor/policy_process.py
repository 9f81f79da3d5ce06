"""The decision modules in a process of their own, so that feeds and withdrawals never wait for a plan.

Frames are a length of 4 bytes and a pickle; both ends are this program. A module is used as it is; beside
its orders the child tells why it gave them, read from the module's own state. With several modules, one a
cell, they are asked together once a slot; the child then runs their timers at their own times up to now.
"""

from __future__ import annotations

import asyncio
import heapq
import os
import pickle
import signal
import socket
import struct
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, BinaryIO

from tornado.iostream import IOStream, StreamClosedError

from gradehoist import interface as i
from gradehoist.governor.policy_instances import Batch, Reply
from gradehoist.messages import Availability
from gradehoist.policy.planner import Planner

FRAME_LENGTH = struct.Struct("!I")
Reasons = dict[int, str]  # by the order's place in the reply
FIRST_REPLY_TIMEOUT_S = 20.0  # seconds for the first answer: a loaded machine's Python start
REPLY_TIMEOUT_S = 10.0  # seconds of work for one answer: ten times what a hundred cells have needed


class PolicyProcessError(Exception):
    """The module raised, or its process ended; nothing of its last answer is used."""


class PolicyProcess:
    """Owns the child. `handle` takes what is due for all parts at one time; a child that stands still is
    given up within three quarters of `grace` (µs), as a drain may wait behind it."""

    def __init__(self, starts: list[i.PolicyConfig], now: int, slotted: bool, grace: int) -> None:
        ours, theirs = socket.socketpair()
        self._child = subprocess.Popen(
            [sys.executable, "-m", "gradehoist.governor.policy_process", str(theirs.fileno())],
            pass_fds=[theirs.fileno()],
            stdin=subprocess.DEVNULL,
        )
        theirs.close()
        self._stream = IOStream(ours, max_buffer_size=1 << 30)
        self._first: Any = (starts, now, slotted)
        self.cpu_s = 0.0  # seconds of CPU that the module has taken
        self._look = max(0.05, grace / 4e6)  # seconds between looks at a child that owes an answer
        self._asked, self._since, self._fault = 0, 0.0, ""  # since: when what is owed was asked, or 0
        self._watching: asyncio.Task[None] | None = None

    async def handle(self, now: int, batches: list[Batch], timers: bool = True) -> list[Reply]:
        """Raises PlannerFailed. Without `timers` only what the batches say is done, not what is due."""
        self._watching = self._watching or asyncio.ensure_future(self._watch())
        self._asked, self._since = self._asked + 1, time.monotonic()
        try:
            for frame in ([self._first] if self._first else []) + [(now, batches, timers)]:
                data = pickle.dumps(frame, pickle.HIGHEST_PROTOCOL)
                self._stream.write(FRAME_LENGTH.pack(len(data)) + data)
            self._first = None
            (size,) = FRAME_LENGTH.unpack(await self._stream.read_bytes(FRAME_LENGTH.size))
            fault, replies, cpu = pickle.loads(await self._stream.read_bytes(size))
        except StreamClosedError:
            raise PolicyProcessError(self._fault or "the planner's process ended") from None
        finally:
            self._since = 0.0
        if fault:
            raise PolicyProcessError(fault)
        self.cpu_s += cpu
        return [
            (part, [i.SetWeight(*o) if type(o) is tuple else o for o in orders], why)
            for part, orders, why in replies
        ]

    async def _watch(self) -> None:
        """Closes the socket of a child that stands still while it owes an answer, or works at it too long: a
        stopped planner kept drains waiting for ever, and nothing told so."""
        looked, still, before = 0, 0, ""
        while True:
            await asyncio.sleep(self._look)
            if not self._since:
                continue
            at, waited = self._at_work(), time.monotonic() - self._since
            still = still + 1 if (looked, before) == (self._asked, at) else 0
            looked, before = self._asked, at
            # Not before the first answer: a start may wait for its disk, and holds no drain up.
            first = self._asked == 1
            if (still >= 2 and not first) or waited > (FIRST_REPLY_TIMEOUT_S if first else REPLY_TIMEOUT_S):
                why = "stands still" if still >= 2 else "is at it"
                self._fault = f"the planner's process owes an answer for {waited:.1f} s and {why}"
                self._stream.close()
                return

    def _at_work(self) -> str:
        """Something that changes while the child works or waits for a core; where the system does not tell,
        the longest time alone counts."""
        try:
            fields = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
        except OSError:
            return f"{time.monotonic()}"
        return f"{time.monotonic()}" if fields[0] == "R" else " ".join(fields[11:13])  # state, CPU times

    @property
    def pid(self) -> int:
        return self._child.pid

    async def close(self) -> None:
        """Ends the child, by its id if it does not go by itself."""
        if self._watching:
            self._watching.cancel()
        self._stream.close()
        for _ in range(100):
            if self._child.poll() is not None:
                return
            await asyncio.sleep(0.01)
        self._child.kill()
        self._child.wait()


def explain_orders(policy: Planner, orders: list[i.Order]) -> Reasons:
    """Return why the policy gave its withdrawals, admission rates and binds, as its own state has it."""
    reasons: Reasons = {}
    for index, order in enumerate(orders):
        match order:
            case i.WithdrawReplica(replica, True):
                reasons[index] = _explain_withdrawal(policy, replica)
            case i.WithdrawReplica(replica, False):
                reasons[index] = _explain_return(policy, replica)
            case i.SetAdmission():
                share = policy.admission.admitted_share
                reasons[index] = f"let in {share:.3g} of all, by what the pool can answer"
            case i.BindProxy(proxy):
                reasons[index] = f"joined, group {policy.fleet.proxies.group_by_proxy.get(proxy, -1)}"
    return reasons


def _explain_withdrawal(policy: Planner, replica: int) -> str:
    actor = policy.fleet.replicas.actors[replica]
    kind = policy.fleet.withdrawals.withdrawn.get(replica)
    if kind is Availability.GONE:
        return "listed as gone"
    if kind is Availability.EJECTED:
        return f"ejected: most of its tries fail, {actor.ejections} times now"
    if replica in policy.fleet.replicas.waiting:
        return "cold, waits while the pool is full or too few are back"
    if actor.state.endpoint.phase is i.Phase.DRAINING:
        return "listed as draining"
    return "not open"


def _explain_return(policy: Planner, replica: int) -> str:
    actor = policy.fleet.replicas.actors.get(replica)
    if actor is None:
        return "forgotten: gone for long"
    if actor.state.slow_start < 1:
        return "open again: ramps up from its low start"
    return "open again: at full ramp"


class PolicyHost:
    """All modules of one governor. `slotted`: their timers are run here, at their own times."""

    def __init__(self, starts: list[i.PolicyConfig], now: int, slotted: bool, make: Any = None) -> None:
        self.policies = [(make or Planner)(start, now) for start in starts]
        self._slotted = slotted
        self._wakes: list[tuple[int, int, int, int]] = []
        self._count = 0

    def handle(self, now: int, batches: list[Batch], timers: bool = True) -> list[Reply]:
        replies: list[Reply] = []
        while timers and self._wakes and self._wakes[0][0] <= now:
            at, _, part, token = heapq.heappop(self._wakes)
            self._one(at, part, [i.TimerFired(token)], replies)
        for part, events in batches:
            self._one(now, part, events, replies)
        return replies

    def _one(self, at: int, part: int, events: list[i.Event], replies: list[Reply]) -> None:
        module = self.policies[part]
        orders: list[i.Order] = module.handle(at, events)
        if self._slotted:
            for order in orders:
                if isinstance(order, i.SetTimer):
                    self._count += 1
                    heapq.heappush(self._wakes, (at + order.delay_us, self._count, part, order.token))
            orders = [order for order in orders if not isinstance(order, i.SetTimer)]
        if orders:
            replies.append(
                (part, orders, explain_orders(module, orders) if isinstance(module, Planner) else {})
            )


def serve(pipe: BinaryIO, make: Any = Planner) -> None:
    """The child's loop: until the other end closes."""
    modules: PolicyHost | None = None

    def read() -> Any:
        head = pipe.read(FRAME_LENGTH.size)
        if len(head) < FRAME_LENGTH.size:
            raise EOFError
        (size,) = FRAME_LENGTH.unpack(head)
        return pickle.loads(pipe.read(size))

    while True:
        try:
            frame = read()
        except (EOFError, pickle.UnpicklingError, ConnectionError):
            return
        began = time.process_time()
        answer: tuple[str, list[Any], float]
        try:
            if modules is None:
                modules = PolicyHost(frame[0], frame[1], frame[2], make)
                continue
            # Lines are by far the most: as tuples they are read back in half the time.
            replies = [
                (part, [(o.table, o.replica, o.weight) if type(o) is i.SetWeight else o for o in orders], why)
                for part, orders, why in modules.handle(*frame)
            ]
            answer = ("", replies, time.process_time() - began)
        except Exception as fault:  # whatever a module raises is told to the governor, which then stops
            answer = (f"{type(fault).__name__}: {fault}", [], 0.0)
        data = pickle.dumps(answer, pickle.HIGHEST_PROTOCOL)
        pipe.write(FRAME_LENGTH.pack(len(data)) + data)
        pipe.flush()


if __name__ == "__main__":
    # Both reach the whole group; a child that went first passed for a failed module. The governor ends us.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    with socket.socket(fileno=int(sys.argv[1])) as end, end.makefile("rwb") as both:
        os.set_inheritable(end.fileno(), False)
        serve(both)  # type: ignore[arg-type]
