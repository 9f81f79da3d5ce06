"""The node process: wires its components together and handles signals, startup and shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import resource
import signal
import sys
import time
import traceback
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

from gradehoist.net.background_tasks import BackgroundTasks
from gradehoist.net.peer_memory import PeerMemory, peer_budget_bytes
from gradehoist.net.process_memory import peak_memory_bytes, used_memory_bytes
from gradehoist.node.clock import SteadyUnixClock
from gradehoist.node.config import BYTES_PER_MB, ConfigError, NodeConfig, load_config
from gradehoist.node.connections import ConnectionServer
from gradehoist.node.core import NodeCore
from gradehoist.node.discovery_client import DiscoveryClient
from gradehoist.node.health_checker import HealthChecker
from gradehoist.node.log import LINES_PER_S, NodeLog
from gradehoist.node.policy_runner import PolicyRunner

TRACE_VARIABLE = "GRADEHOIST_TRACE"
TRACE_LINES_PER_S = 1_000.0  # one line a second for each replica
RESERVED_DESCRIPTORS = 24  # for the loop, the log, the listener, watches and health checks
READY_TIMEOUT_S = 0.7  # how long health checks of this node wait for the first response of discovery
MAINTENANCE_PERIOD_S = 0.1
TRACE_PERIOD_S = 1.0
REPORT_PERIOD_S = 5.0
LISTEN_TIMEOUT_S = 5.0  # how long to retry an address that another process still uses
LISTEN_RETRY_DELAY_S = 0.05
RELOAD_ATTEMPTS = 10  # retries after SIGHUP if the file is invalid: it may be half written
RELOAD_RETRY_DELAY_S = 0.2
EXIT_OK = 0
EXIT_FAILED = 1
EXIT_INVALID_CONFIG = 2
BYTES_PER_KIBIBYTE = 1_024
MILLISECONDS_PER_SECOND = 1e3
# Fields of NodeConfig that need a restart to change.
FIXED_SETTINGS = ("listen", "socket_limit", "memory_limit_bytes", "settings")


class NodeService:
    """One node with its sockets. `run` serves until a signal or a failure stops it."""

    def __init__(self, config: NodeConfig, path: Path, log: NodeLog | None = None) -> None:
        """Creates a node; SIGHUP reloads the configuration from `path`."""
        self.config = config
        is_traced = bool(os.environ.get(TRACE_VARIABLE))
        self.log = log or NodeLog(sys.stderr.fileno(), TRACE_LINES_PER_S if is_traced else LINES_PER_S)
        clock = SteadyUnixClock()
        self.core = NodeCore(
            identifiers=config.identifiers,
            policy_config=config.policy_config,
            cached_endpoints=config.cached_endpoints,
            now_us=clock.now_us(),
            is_traced=is_traced,
        )
        self.stopping = asyncio.Event()
        self.tasks = BackgroundTasks(self._fail)
        self.runner = PolicyRunner(
            core=self.core,
            clock=clock,
            stopping=self.stopping,
            deliver=self._deliver,
            on_failure=self._fail,
        )
        self.peer_memory = PeerMemory(peer_budget_bytes(config.memory_limit_bytes, used_memory_bytes()))
        self.connections = ConnectionServer(
            runner=self.runner,
            tasks=self.tasks,
            log=self.log,
            max_connections=_max_connections(config.socket_limit),
            memory=self.peer_memory,
        )
        self.discovery = DiscoveryClient(self.runner, self.tasks, self.log)
        self.health_checker = HealthChecker(self.runner, self.tasks, self.log)
        self._path = path
        self._reload_timer: asyncio.TimerHandle | None = None
        self._failure: BaseException | None = None

    async def run(self, reload_requested: Callable[[], bool] = lambda: False) -> int:
        """Serves until stopped and returns the exit code.

        `reload_requested` tells whether a SIGHUP arrived before the signal handlers installed here.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        error = await self._listen()
        if error is not None:
            print(f"{self._path}: listen: {error.strerror}; free the address or change it", file=sys.stderr)
            return EXIT_INVALID_CONFIG
        if reload_requested():
            self._reload()
        if not self.discovery.is_watching:
            self.discovery.watch(self.config.discovery)
        self.tasks.start(self._maintain())
        self.tasks.start(self._become_ready())
        self.runner.step()
        await self.stopping.wait()
        return await self._stop()

    async def _stop(self) -> int:
        self.log.write("stopped by a signal" if self._failure is None else "stopped by a failure")
        self.connections.stop()
        self.runner.cancel()
        if self._reload_timer is not None:
            self._reload_timer.cancel()
        await self.tasks.cancel()
        self.log.close()
        if self._failure is None:
            return EXIT_OK
        traceback.print_exception(self._failure)
        return EXIT_FAILED

    def _fail(self, error: BaseException) -> None:
        """Stops the node after an internal error, the policy's included; the first traceback is printed."""
        self._failure = self._failure or error
        self.stopping.set()

    async def _listen(self) -> OSError | None:
        """Binds the address; retries while it is in use, as the previous process may be shutting down."""
        address = self.config.listen
        deadline_s = time.monotonic() + LISTEN_TIMEOUT_S
        is_logged = False
        while not self.stopping.is_set():
            try:
                self.connections.listen(address.host, address.port)
                break
            except OSError as error:
                if error.errno != errno.EADDRINUSE or time.monotonic() > deadline_s:
                    return error
            if not is_logged:
                is_logged = True
                self.log.write("listen: address in use by another process; retrying")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stopping.wait(), LISTEN_RETRY_DELAY_S)
        return None

    async def _become_ready(self) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(READY_TIMEOUT_S):
                await self.discovery.has_answered.wait()
        self.connections.set_ready()

    def _deliver(self) -> None:
        """Sends the messages, starts the health checks and writes the log lines of the core's last step."""
        messages, self.core.outbound = self.core.outbound, []
        for message in messages:
            self.connections.send_to_proxy(message)
        replicas, self.core.due_health_checks = self.core.due_health_checks, []
        for replica in replicas:
            self.health_checker.start(replica)
        lines, self.core.log_lines = self.core.log_lines, []
        for line in lines:
            self.log.write(line)

    # Maintenance

    async def _maintain(self) -> None:
        reported_s = traced_s = time.monotonic()
        while True:
            await asyncio.sleep(MAINTENANCE_PERIOD_S)
            now_s = time.monotonic()
            self.connections.reject_overdue()
            if now_s - traced_s >= TRACE_PERIOD_S:
                traced_s = now_s
                for line in self.core.take_trace():
                    self.log.write(line)
            if now_s - reported_s >= REPORT_PERIOD_S:
                reported_s = now_s
                self._report()

    def _report(self) -> None:
        for reason, count in self.core.malformed.take().items():
            self.log.write(f"malformed, {count} times: {reason}")
        overdue_count, self.core.streams.overdue_count = self.core.streams.overdue_count, 0
        if overdue_count:
            self.log.write(
                f"overdue acknowledgements given up, {overdue_count}: lost, or the streams are cut off"
            )
        usage = resource.getrusage(resource.RUSAGE_SELF)
        cpu_s = usage.ru_utime + usage.ru_stime
        memory_mb = peak_memory_bytes() // BYTES_PER_MB
        longest_step_ms = self.runner.take_longest_step_s() * MILLISECONDS_PER_SECOND
        self.log.write(
            f"status: {len(self.core.streams.by_proxy)} proxy streams, {len(self.connections)} connections, "
            f"{len(self.core.endpoint_list.endpoints)} replicas, {self.connections.rejected_count} rejected, "
            f"cpu {cpu_s:.2f} s, memory {memory_mb} MB, longest step {longest_step_ms:.0f} ms, "
            f"peers hold {self.peer_memory.used_bytes // BYTES_PER_KIBIBYTE} of "
            f"{self.peer_memory.limit_bytes // BYTES_PER_KIBIBYTE} KiB, "
            f"{self.peer_memory.evicted_count} evicted"
        )

    # Reload

    def _reload(self, attempts_left: int = RELOAD_ATTEMPTS) -> None:
        """Reloads the configuration after SIGHUP: the discovery address may have changed.

        An invalid file changes nothing. It may have been read while half written, and the sender need not
        repeat the signal, so reading it is retried up to RELOAD_ATTEMPTS times.
        """
        if self._reload_timer is not None:
            self._reload_timer.cancel()
            self._reload_timer = None
        try:
            config = load_config(self._path)
        except ConfigError as error:
            if attempts_left in (0, RELOAD_ATTEMPTS):
                self.log.write(f"reload: {error}; the previous configuration stays in effect")
            if attempts_left:
                loop = asyncio.get_running_loop()
                self._reload_timer = loop.call_later(RELOAD_RETRY_DELAY_S, self._reload, attempts_left - 1)
            return
        self._apply(config)

    def _apply(self, config: NodeConfig) -> None:
        if any(getattr(config, name) != getattr(self.config, name) for name in FIXED_SETTINGS):
            self.log.write(
                "reload: listen, limits and settings cannot change at run time; the old values stay"
            )
        discovery_changed = config.discovery != self.config.discovery
        self.config = replace(self.config, discovery=config.discovery)
        self.log.write(f"reload: discovery at {config.discovery}")
        if discovery_changed:
            self.discovery.watch(config.discovery)  # the previous watch stays open until it ends


def _max_connections(socket_limit: int) -> int:
    """Returns how many peers may be connected: the descriptor limit less what the node itself needs."""
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return min(socket_limit, soft_limit) - RESERVED_DESCRIPTORS
