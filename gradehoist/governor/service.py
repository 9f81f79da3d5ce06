"""The governor process, which connects the core with sockets, files, the policy process and the fleet.

`GovernorService` starts and stops the components that do I/O. Each of them runs one task or handles one kind
of request.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import uuid
from typing import Any

import structlog

from gradehoist.clock import monotonic_us
from gradehoist.coordination.records import ProcessIdentity
from gradehoist.governor.core import GovernorCore
from gradehoist.governor.endpoint_cache import EndpointCache
from gradehoist.governor.endpoint_watch import EndpointWatch
from gradehoist.governor.errors import StateError
from gradehoist.governor.feed_polls import FeedPolls
from gradehoist.governor.health_checker import HealthChecker
from gradehoist.governor.http_api import HttpApi
from gradehoist.governor.policy_loop import PolicyLoop
from gradehoist.governor.policy_process import PolicyProcess
from gradehoist.governor.replica_clients import ReplicaClients
from gradehoist.governor.replica_leases import ReplicaLeases
from gradehoist.governor.shell_state import ShellState, Signals
from gradehoist.governor.status import core_status
from gradehoist.governor.tenant_assignments import TenantAssignments
from gradehoist.governor.zone_coordination import ZoneCoordination
from gradehoist.membership.service import Membership, new_incarnation
from gradehoist.net.background_tasks import BackgroundTasks
from gradehoist.net.peer_memory import PeerMemory, peer_budget_bytes
from gradehoist.net.process_memory import memory_limit_bytes, used_memory_bytes
from gradehoist.net.server import HttpServer
from gradehoist.protocol.feed import ProxyLoadReport
from gradehoist.settings.fleet import FleetSettings, GovernorSettings
from gradehoist.store.folder_lock import FolderLock, FolderLockedError

MAX_CONNECTIONS = 20_000
MIN_CONNECTIONS = 16
LISTEN_BACKLOG = 4096
MAX_CLOCK_WAIT_S = 0.5  # between checks whether the core has something due
FINAL_RESPONSES_S = 0.05  # time to send the last responses before the connections are closed
GC_THRESHOLDS = (50_000, 20, 1_000)


class GovernorService:
    """One governor process.

    Attributes:
        core: the state machine of the governor.
        settings: the settings of this governor.
    """

    def __init__(self, fleet: FleetSettings, settings: GovernorSettings) -> None:
        """Creates all components; `run` starts them."""
        now_us = monotonic_us()
        self.fleet = fleet
        self.settings = settings
        self.core = GovernorCore(fleet, settings, uuid.uuid4().hex[:12], now_us)
        self._log = structlog.get_logger().bind(governor=settings.name)
        self._signals = Signals()
        self._tasks = BackgroundTasks(self._handle_task_failure)
        shell = ShellState(
            core=self.core,
            settings=settings,
            signals=self._signals,
            clients=ReplicaClients(),
            tasks=self._tasks,
            log=self._log,
        )
        self._shell = shell
        self._membership = self._make_membership()
        self._zones = self._make_zone_coordination(now_us)
        self._polls = FeedPolls(shell)
        self._health_checker = HealthChecker(shell, self._zones)
        self._endpoint_cache = EndpointCache(shell)
        self._endpoint_watch = EndpointWatch(shell, self._endpoint_cache, self._zones)
        self.assignments = TenantAssignments(shell)
        self.leases = ReplicaLeases(shell, self.assignments)
        self._api = HttpApi(
            polls=self._polls,
            take_load_report=self._take_load_report,
            status=self.status,
            assignments=self.assignments if fleet.placement else None,
            membership=self._membership,
        )
        self._peer_memory = PeerMemory(
            peer_budget_bytes(settings.memory_limit_bytes or memory_limit_bytes(), used_memory_bytes())
        )
        self._logged_evictions = 0
        self._server = HttpServer(
            self._api.handle, max_connections=_max_connections(), memory=self._peer_memory
        )
        self._process: PolicyProcess | None = None
        self._stopping = asyncio.Event()
        self._has_failed = False
        self._max_clock_lag_s = 0.0  # maximum delay of the clock task since the last status request

    async def run(self) -> int:
        """Serves until `stop` is called, or a task or a policy fails; returns the exit code.

        Raises:
            StateError: the state folder can't be used.
            OSError: the address can't be bound.
        """
        # Nearly all objects are long-lived: with the default thresholds, full collections stop the event loop
        # for tens of milliseconds at a thousand proxies.
        gc.set_threshold(*GC_THRESHOLDS)
        lock = self._lock_state_folder()
        try:
            return await self._run()
        finally:
            if lock:
                lock.release()

    def stop(self) -> None:
        """Makes `run` shut down and return."""
        self._stopping.set()

    def status(self) -> dict[str, Any]:
        """Returns the answer to `GET /v1/status`; `lag_ms` is the maximum since the last call."""
        max_lag_s = self._max_clock_lag_s
        self._max_clock_lag_s = 0.0
        process = self._process
        return {
            "governor": self.settings.name,
            **core_status(self.core),
            "planner_cpu": round(process.cpu_s, 3) if process else 0.0,
            "planner_pid": process.pid if process else 0,
            "lag_ms": round(max_lag_s * 1e3, 3),
            "peers": {
                "held_bytes": self._peer_memory.used_bytes,
                "limit_bytes": self._peer_memory.limit_bytes,
                "evicted": self._peer_memory.evicted_count,
            },
            "fleet": self._membership.status() if self._membership is not None else {},
            "zones": self._zones.status() if self._zones is not None else {},
        }

    def load_state(self) -> None:
        """Loads the state that an earlier run persisted.

        Raises:
            StateError: the tenants' assignments can't be read.
        """
        self._endpoint_cache.load()
        self.assignments.load()
        self._signals.events_pending.set()

    def _make_membership(self) -> Membership | None:
        if self.fleet.coordination is None:
            return None
        host, port = self.settings.listen_address
        identity = ProcessIdentity(
            role="governor",
            name=self.settings.name,
            zone=self.settings.zone,
            incarnation=new_incarnation(self.settings.name),
            address=f"{host}:{port}",
        )
        return Membership(self.fleet.coordination, identity, self.settings.seed, self._log_event)

    def _make_zone_coordination(self, now_us: int) -> ZoneCoordination | None:
        coordination = self.fleet.coordination
        if self._membership is None or coordination is None or coordination.zones is None:
            return None
        return ZoneCoordination(self._shell, coordination.zones, self._membership, now_us)

    def _lock_state_folder(self) -> FolderLock | None:
        """Locks the state folder; if the file system does not support locks, the governor runs without one.

        Two governors with one folder would each miss the assignments that the other has accepted, and would
        renew leases for tenants that have migrated.
        """
        folder = self.settings.state_folder
        try:
            return FolderLock(folder)
        except FolderLockedError as error:
            raise StateError(f"{error}; use another folder, or stop that process") from None
        except OSError as error:
            self._log.warning("state_lock_failed", path=str(folder), reason=str(error))
            return None

    async def _run(self) -> int:
        self.load_state()
        process = PolicyProcess(
            self.core.policy_configs,
            monotonic_us(),
            runs_timers=bool(self.core.slot_us),
            drain_grace_us=self.fleet.safety.drain_grace_us,
        )
        self._process = process
        host, port = self.settings.listen_address
        self._server.listen(port, host, backlog=LISTEN_BACKLOG)
        self._log.info(
            "governor_started", epoch=self.core.epoch, listen=f"{host}:{port}", zone=self.settings.zone
        )
        self._start_tasks(process)
        await self._stopping.wait()
        await self._shut_down(process)
        self._log.info("governor_stopped", reason="a failure" if self._has_failed else "requested")
        return 1 if self._has_failed else 0

    def _start_tasks(self, process: PolicyProcess) -> None:
        policies = PolicyLoop(self._shell, process, self._fail)
        self._tasks.start(self._run_clock())
        self._tasks.start(policies.run())
        self._tasks.start(self._endpoint_watch.run())
        self._tasks.start(self._endpoint_cache.run())
        if self.fleet.placement:
            self._tasks.start(self.leases.run(self.fleet.placement.lease_us))
            self._tasks.start(policies.run_publishing(self.core.slot_us))
        if self._membership is not None:
            self._tasks.start(self._membership.run())

    async def _shut_down(self, process: PolicyProcess) -> None:
        self._server.stop()
        self._polls.stop()
        await asyncio.sleep(FINAL_RESPONSES_S)
        if self._membership is not None:
            await self._membership.leave()
        await self._tasks.cancel()
        for connection in list(self._server.connections):
            connection.abort()
        await process.close()

    async def _run_clock(self) -> None:
        """Advances the core whenever something is due, and carries out the resulting effects."""
        while True:
            due_us = self.core.next_due_us()
            await self._wait_until(due_us)
            self._signals.core_changed.clear()
            now_us = monotonic_us()
            self._max_clock_lag_s = max(self._max_clock_lag_s, (now_us - due_us) / 1e6)
            self._polls.wake(self.core.advance(now_us))
            if self.core.has_pending_events:
                self._signals.events_pending.set()
            self._carry_out_effects()

    async def _wait_until(self, due_us: int) -> None:
        """Waits until `due_us`, until the core changes, or for the maximum wait."""
        wait_s = max(0.0, (due_us - monotonic_us()) / 1e6)
        if not wait_s:
            await asyncio.sleep(0)
            return
        # asyncio.wait_for is not used: before Python 3.12 it loses a cancellation that coincides with the
        # event, and a busy governor then never stopped.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(wait_s, MAX_CLOCK_WAIT_S)):
                await self._signals.core_changed.wait()

    def _carry_out_effects(self) -> None:
        for event in self.core.log.take():
            self._log_event(event.name, event.is_warning, **event.fields)
        self._log_evictions()
        replicas = self.core.pending_health_checks
        self.core.pending_health_checks = []
        self._health_checker.start(replicas)

    def _log_evictions(self) -> None:
        evicted = self._peer_memory.evicted_count - self._logged_evictions
        if evicted:
            self._logged_evictions += evicted
            self._log.warning("peers_evicted", peers=evicted, limit_bytes=self._peer_memory.limit_bytes)

    def _take_load_report(self, report: ProxyLoadReport) -> None:
        self.core.handle_load_report(report)
        if self._zones is not None:
            self._zones.add_load_report(monotonic_us(), report)
        self._signals.core_changed.set()

    def _log_event(self, event: str, is_warning: bool, **fields: Any) -> None:
        if is_warning:
            self._log.warning(event, **fields)
        else:
            self._log.info(event, **fields)

    def _handle_task_failure(self, failure: BaseException) -> None:
        self._log.error("task_failed", reason=repr(failure))
        self._fail()

    def _fail(self) -> None:
        """Makes `run` return exit code 1."""
        self._has_failed = True
        self._stopping.set()


def _max_connections() -> int:
    """Returns how many connections proxies may keep open.

    The limit on open files is raised to its hard limit. A quarter of it is reserved for the list service,
    leases, health checks, the policy process, state files and the log.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        soft = hard
    if soft == resource.RLIM_INFINITY:
        return MAX_CONNECTIONS
    return max(MIN_CONNECTIONS, min(MAX_CONNECTIONS, soft * 3 // 4))
