"""What each stand-in process has: a record of what crossed its sockets, and a control port."""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import time
import zlib
from collections.abc import Callable
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response
from gradehoist.protocol import http
from gradehoist.testbed.scenario_plan import Plan

ENCODER = msgspec.json.Encoder()


def read_monotonic_us() -> int:
    """µs of the machine's monotonic clock, the same for all processes of a run."""
    return time.monotonic_ns() // 1_000


def create_random(seed: int, *name: object) -> random.Random:
    """A stream of chance of its own for each part of a run."""
    return random.Random(zlib.crc32(repr((seed, *name)).encode()))


class EventRecorder:
    """JSON lines, each with its time `t` and event `e`; written out a few times a second."""

    def __init__(self, path: Path) -> None:
        self._file: BinaryIO = path.open("ab")
        self._lines: list[bytes] = []

    def __call__(self, event: str, **fields: Any) -> None:
        self._lines.append(ENCODER.encode({"t": read_monotonic_us(), "e": event, **fields}))

    def flush(self) -> None:
        if self._lines:
            lines, self._lines = self._lines, []
            self._file.write(b"\n".join(lines) + b"\n")
            self._file.flush()


class Process:
    """Runs a role until SIGTERM: `begin` starts its parts, `control` takes the day's orders."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        self.plan, self.role = plan, role
        self.record = EventRecorder(folder / f"{role}.jsonl")
        self.tasks = set[asyncio.Task[Any]]()
        self._stop = asyncio.Event()

    def start_task(self, work: Any) -> asyncio.Task[Any]:
        task: asyncio.Task[Any] = asyncio.ensure_future(work)
        self.tasks.add(task)

        def ended(done: asyncio.Task[Any]) -> None:
            self.tasks.discard(done)
            if not done.cancelled() and (fault := done.exception()):
                # A stand-in that fails makes the record useless: the run must not pass for a good one.
                print(f"{self.role}: {fault!r}", file=sys.stderr, flush=True)
                self.record("stand_in_failed", reason=repr(fault))
                self._stop.set()

        task.add_done_callback(ended)
        return task

    async def start(self) -> None:
        raise NotImplementedError

    def on_command(self, do: dict[str, Any]) -> None:
        """Carries out an order of the day. Raises KeyError or ValueError for one it can't."""
        raise NotImplementedError

    async def _control(self, request: http.Request, connection: Connection) -> ServerResponse:
        try:
            do: dict[str, Any] = msgspec.json.decode(request.body, type=dict[str, Any])
            if do["do"] != "ping":
                self.on_command(do)
        except (KeyError, ValueError, TypeError) as fault:
            return error_response(400, repr(fault))
        return ServerResponse(204)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self.start()
        control = HttpServer(self._control)
        control.listen(self.plan.control_ports[self.role], "127.0.0.1")
        while not self._stop.is_set():
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.2):
                    await self._stop.wait()
            self.record.flush()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.record("ended")
        self.record.flush()


ProcessFactory = Callable[[Plan, str, Path], Process]
