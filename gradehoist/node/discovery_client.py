"""Keeps a discovery watch open and passes its updates to the core."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta
from typing import NamedTuple

from tornado import gen
from tornado.iostream import IOStream, StreamClosedError

from gradehoist.net.background_tasks import BackgroundTasks
from gradehoist.net.listener import read_available
from gradehoist.node.config import Address
from gradehoist.node.discovery import HEARTBEAT_PERIOD_US, MAX_LINE_BYTES, DiscoveryWatch, WatchLostError
from gradehoist.node.log import NodeLog
from gradehoist.node.policy_runner import PolicyRunner
from gradehoist.protocol.http_parser import STEPS_PER_TURN

MICROSECONDS_PER_SECOND = 1e6
CONNECT_TIMEOUT_S = 1.0
SILENCE_TIMEOUT_S = 3 * HEARTBEAT_PERIOD_US / 2 / MICROSECONDS_PER_SECOND  # one and a half heartbeat periods
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 1.0
READ_CHUNK_BYTES = 1 << 18


class WatchEnd(NamedTuple):
    """Why a watch ended, and whether discovery had accepted it before that."""

    reason: str
    was_open: bool


class DiscoveryClient:
    """Watches one discovery address.

    After a change of the address the previous watch stays open until it ends by itself.
    """

    def __init__(
        self,
        runner: PolicyRunner,
        tasks: BackgroundTasks,
        log: NodeLog,
    ) -> None:
        """Creates a client that is idle until `watch` is called."""
        self._runner = runner
        self._core = runner.core
        self._tasks = tasks
        self._log = log
        self._current: asyncio.Task[None] | None = None
        self._watches_opened = 0
        self._streams: dict[int, IOStream] = {}  # of the open watches, by watch id
        self.has_answered = asyncio.Event()

    @property
    def is_watching(self) -> bool:
        """Whether `watch` has been called."""
        return self._current is not None

    def watch(self, address: Address) -> None:
        """Starts watching this address instead of the previous one."""
        self._current = self._tasks.start(self._keep_watching(address))

    async def _keep_watching(self, address: Address) -> None:
        # Compare tasks, not addresses: after a change to another address and back, comparing addresses left
        # two tasks that watched the same address indefinitely.
        delay_s = MIN_RETRY_DELAY_S
        while self._current is asyncio.current_task():
            end = await self._watch_once(address)
            delay_s = MIN_RETRY_DELAY_S if end.was_open else min(MAX_RETRY_DELAY_S, 2 * delay_s)
            self._log.write(f"discovery {address}: {end.reason}; retry in {delay_s:g} s")
            await asyncio.sleep(delay_s)

    async def _watch_once(self, address: Address) -> WatchEnd:
        watch = DiscoveryWatch()
        self._watches_opened += 1
        watch_id = self._watches_opened
        try:
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            return WatchEnd(f"{error.strerror}", was_open=False)
        stream = IOStream(sock, max_buffer_size=2 * MAX_LINE_BYTES)
        self._streams[watch_id] = stream
        try:
            await self._open(stream, address, watch)
            reason = await self._read_updates(stream, watch, watch_id)
        except TimeoutError:
            reason = "silent"
        except (StreamClosedError, OSError):
            reason = "closed"
        finally:
            stream.close()
            del self._streams[watch_id]
            for stale_watch_id in self._core.endpoint_list.end_watch(watch_id):
                self._streams[stale_watch_id].close()
        return WatchEnd(reason, watch.is_open)

    async def _open(self, stream: IOStream, address: Address, watch: DiscoveryWatch) -> None:
        await gen.with_timeout(
            timedelta(seconds=CONNECT_TIMEOUT_S),
            stream.connect(address),
            quiet_exceptions=(StreamClosedError, OSError),
        )
        stream.write(watch.request(str(address), self._core.endpoint_list.revision))

    async def _read_updates(self, stream: IOStream, watch: DiscoveryWatch, watch_id: int) -> str:
        """Reads updates until the watch is lost and returns the reason.

        Raises:
            StreamClosedError: The stream was closed.
            TimeoutError: No data arrived within SILENCE_TIMEOUT_S.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + SILENCE_TIMEOUT_S
        while True:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                data = await read_available(stream, READ_CHUNK_BYTES)
            reason = self._receive(data, watch, watch_id)
            while reason is None and watch.is_paused:
                await asyncio.sleep(0)
                reason = self._receive(b"", watch, watch_id)
            if reason is not None:
                return reason
            if not watch.is_open and loop.time() > deadline_s:
                # Data arrives, but no watch response. Without this check such data counted as heartbeats.
                return "no watch response"

    def _receive(self, data: bytes, watch: DiscoveryWatch, watch_id: int) -> str | None:
        """Processes received bytes; returns the reason if the watch is lost, or None."""
        reason = None
        try:
            updates = watch.receive(data, STEPS_PER_TURN)
        except WatchLostError as error:
            updates = list(error.updates)
            reason = str(error)
        for update in updates:
            self._core.on_endpoint_update(update, watch_id)
        if watch.is_open:
            self.has_answered.set()
        if self._core.pending_events:
            self._runner.schedule(0.0)  # a drain must not wait for the batching delay
        return reason
