"""The base class of the testbed's processes.

It provides an event recorder, a control port for the commands of the run, and ownership of tasks.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
import zlib
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response
from gradehoist.protocol import http
from gradehoist.testbed.scenario_plan import Plan

ENCODER = msgspec.json.Encoder()
LOOPBACK = "127.0.0.1"
# A process that is killed loses at most the events of this period.
FLUSH_PERIOD_S = 0.2


def read_monotonic_us() -> int:
    """Returns the time of the machine's monotonic clock, which all processes of a run share."""
    return time.monotonic_ns() // 1_000


def create_random(seed: int, *name: object) -> random.Random:
    """Creates a random generator for the named part of a run, independent of those of the other parts."""
    return random.Random(zlib.crc32(repr((seed, *name)).encode()))


class EventRecorder:
    """Appends events to a file of JSON lines; `t` is the time of an event and `e` its name."""

    def __init__(self, path: Path) -> None:
        """Opens the file for appending. Raises OSError."""
        self._file: BinaryIO = path.open("ab")
        self._lines: list[bytes] = []

    def __call__(self, event: str, **fields: Any) -> None:
        """Buffers an event with the current time."""
        self._lines.append(ENCODER.encode({"t": read_monotonic_us(), "e": event, **fields}))

    def flush(self) -> None:
        """Writes the buffered events to the file."""
        if not self._lines:
            return
        lines = self._lines
        self._lines = []
        self._file.write(b"\n".join(lines) + b"\n")
        self._file.flush()


class Process:
    """Runs one role of the plan until SIGTERM or SIGINT; each role is a subclass."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Opens the event file of the role in the folder of the run."""
        self.plan = plan
        self.role = role
        self.record = EventRecorder(folder / f"{role}.jsonl")
        self.tasks = set[asyncio.Task[Any]]()
        self._stop = asyncio.Event()

    def start_task(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Starts a task that the process owns; if it fails, the process stops."""
        task: asyncio.Task[Any] = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    def _on_task_done(self, task: asyncio.Task[Any]) -> None:
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is None:
            return
        # The events of a run in which a test double failed can't be relied on, so the run must not pass.
        print(f"{self.role}: a task failed: {error!r}", file=sys.stderr, flush=True)
        self.record("stand_in_failed", reason=repr(error))
        self._stop.set()

    async def start(self) -> None:
        """Starts the servers and tasks of the role."""
        raise NotImplementedError

    def on_command(self, command: dict[str, Any]) -> None:
        """Executes a command of the run.

        Raises:
            KeyError: the command lacks a field or names something unknown.
            ValueError: the command is unknown or a value is invalid.
        """
        raise NotImplementedError

    async def _handle_control(self, request: http.Request, connection: Connection) -> ServerResponse:
        try:
            command: dict[str, Any] = msgspec.json.decode(request.body, type=dict[str, Any])
            if command["do"] != "ping":
                self.on_command(command)
        except (KeyError, ValueError, TypeError) as error:
            return error_response(400, repr(error))
        return ServerResponse(204)

    async def run(self) -> None:
        """Runs until SIGTERM, SIGINT or the failure of a task; then cancels all tasks and flushes events."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        await self.start()
        control = HttpServer(self._handle_control)
        control.listen(self.plan.control_ports[self.role], LOOPBACK)
        while not self._stop.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(FLUSH_PERIOD_S):
                    await self._stop.wait()
            self.record.flush()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.record("ended")
        self.record.flush()


ProcessFactory = Callable[[Plan, str, Path], Process]
