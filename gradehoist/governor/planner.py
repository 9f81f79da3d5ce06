"""The decision module in a process of its own, so that feeds and withdrawals under way never wait for a plan.

Frames are a length of 4 bytes and a pickle; both ends are this program. The module is used as it is; beside
its orders the child tells why it gave them, read from the module's own state.
"""

from __future__ import annotations

import asyncio
import os
import pickle
import socket
import struct
import subprocess
import sys
import time
from typing import Any, BinaryIO

from tornado.iostream import IOStream, StreamClosedError

from gradehoist import interface as i
from gradehoist.choice import Planner

LENGTH = struct.Struct("!I")
Reasons = dict[int, str]  # by the order's place in the reply


class PlannerFailed(Exception):
    """The module raised, or its process ended; nothing of its last answer is used."""


class PlannerProcess:
    """Owns the child. `handle` takes one batch at a time."""

    def __init__(self, start: i.Start, now: int) -> None:
        ours, theirs = socket.socketpair()
        self._child = subprocess.Popen(
            [sys.executable, "-m", "gradehoist.governor.planner", str(theirs.fileno())],
            pass_fds=[theirs.fileno()], stdin=subprocess.DEVNULL)
        theirs.close()
        self._stream = IOStream(ours, max_buffer_size=1 << 30)
        self._first: Any = (start, now)
        self.cpu = 0.0  # seconds of CPU that the module has taken

    async def handle(self, now: int, events: list[i.Event]) -> tuple[list[i.Order], Reasons]:
        """Raises PlannerFailed."""
        try:
            for frame in ([self._first] if self._first else []) + [(now, events)]:
                data = pickle.dumps(frame, pickle.HIGHEST_PROTOCOL)
                self._stream.write(LENGTH.pack(len(data)) + data)
            self._first = None
            (size,) = LENGTH.unpack(await self._stream.read_bytes(LENGTH.size))
            fault, orders, reasons, cpu = pickle.loads(await self._stream.read_bytes(size))
        except StreamClosedError:
            raise PlannerFailed("the planner's process ended") from None
        if fault:
            raise PlannerFailed(fault)
        self.cpu += cpu
        return orders, reasons

    @property
    def pid(self) -> int:
        return self._child.pid

    async def close(self) -> None:
        """Ends the child, by its id if it does not go by itself."""
        self._stream.close()
        for _ in range(100):
            if self._child.poll() is not None:
                return
            await asyncio.sleep(0.01)
        self._child.kill()
        self._child.wait()


def reasons(module: Planner, orders: list[i.Order]) -> Reasons:
    """Why the module gave its withdrawals, levels and binds, as its own state has it."""
    parts: Any = module.mail.parts
    out: Reasons = {}
    for n, order in enumerate(orders):
        match order:
            case i.Withdraw(replica, True):
                out[n] = _withdrawn(parts, replica, module.publisher.shut.get(replica, ""))
            case i.Withdraw(replica, False):
                out[n] = "open again: " + ("ramps up from its low start" if parts["replica", replica].ramp < 1
                                           else "at full ramp")
            case i.Admit():
                out[n] = f"let in {parts['admission'].level:.3g} of all, by what the pool can answer"
            case i.Bind(proxy):
                out[n] = f"joined, group {module.publisher.home.get(proxy, -1)}"
    return out


def _withdrawn(parts: Any, replica: int, kind: str) -> str:
    actor = parts["replica", replica]
    if kind == "gone":
        return "listed as gone"
    if kind == "eject":
        return f"ejected: most of its tries fail, {actor.trials} times now"
    if replica in parts["pool"].held:
        return "cold, waits while the pool is full or too few are back"
    if actor.entry is not None and actor.entry.phase is i.Phase.DRAINING:
        return "listed as draining"
    return "not open"


def serve(pipe: BinaryIO, make: Any = Planner) -> None:
    """The child's loop: until the other end closes."""
    module: Any = None

    def read() -> Any:
        head = pipe.read(LENGTH.size)
        if len(head) < LENGTH.size:
            raise EOFError
        (size,) = LENGTH.unpack(head)
        return pickle.loads(pipe.read(size))

    while True:
        try:
            first, second = read()
        except (EOFError, pickle.UnpicklingError, ConnectionError):
            return
        began = time.process_time()
        answer: tuple[str, list[i.Order], Reasons, float]
        try:
            if module is None:
                module = make(first, second)
                continue
            orders = module.handle(first, second)
            why = reasons(module, orders) if isinstance(module, Planner) else {}
            answer = ("", orders, why, time.process_time() - began)
        except Exception as fault:  # whatever the module raises is told to the governor, which then stops
            answer = (f"{type(fault).__name__}: {fault}", [], {}, 0.0)
        data = pickle.dumps(answer, pickle.HIGHEST_PROTOCOL)
        pipe.write(LENGTH.pack(len(data)) + data)
        pipe.flush()


if __name__ == "__main__":
    import signal

    signal.signal(signal.SIGINT, signal.SIG_IGN)  # Ctrl-C reaches the whole group; the governor ends us
    with socket.socket(fileno=int(sys.argv[1])) as end, end.makefile("rwb") as both:
        os.set_inheritable(end.fileno(), False)
        serve(both)  # type: ignore[arg-type]
