"""The governor on sockets, the core's shell: a task for the clock, the module, the roster, each poll."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import resource
import time
import uuid
from collections.abc import Coroutine
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

import msgspec
import structlog

from gradehoist import interface as i
from gradehoist.cells.assignment import AssignmentAck, TenantAssignment, TenantDirectory
from gradehoist.coordination.agent import ProcessIdentity
from gradehoist.governor import health_checks
from gradehoist.governor.core import GovernorCore, Poll, RequestRejectedError
from gradehoist.governor.endpoint_list import EndpointListGapError
from gradehoist.governor.policy_process import PolicyProcess, PolicyProcessError
from gradehoist.governor.zone_coordination import ZoneCoordination
from gradehoist.membership.service import Membership, new_incarnation
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response, json_response
from gradehoist.protocol import feed, http, orca
from gradehoist.settings.fleet import FleetSettings, GovernorSettings
from gradehoist.settings.reader import parse_address
from gradehoist.store.atomic_file import FolderLock, FolderLockedError, write_file_in_thread

SUMS: msgspec.json.Decoder[feed.ProxyLoadReport] = msgspec.json.Decoder(feed.ProxyLoadReport)
ROSTER: msgspec.json.Decoder[feed.EndpointListUpdate] = msgspec.json.Decoder(feed.EndpointListUpdate)
SAVED: msgspec.json.Decoder[tuple[feed.EndpointRecord, ...]] = msgspec.json.Decoder(
    tuple[feed.EndpointRecord, ...]
)
WORD: msgspec.json.Decoder[TenantAssignment] = msgspec.json.Decoder(TenantAssignment)
WORDS: msgspec.json.Decoder[list[TenantAssignment]] = msgspec.json.Decoder(list[TenantAssignment])
ENCODER = msgspec.json.Encoder()
AT_ONE_GO = 8  # cells whose orders are taken in before others run
ROSTER_WAIT = 5.0  # seconds that a roster call is held: short enough to notice a dead path
ROSTER_PACE = 0.05  # seconds from one call to the next: small beside any grace


class PollQuery(msgspec.Struct, frozen=True):
    relay: feed.Name
    zone: feed.Name
    rate: feed.Weight = 0.0
    epoch: str = ""
    stream: feed.Count = 0
    after: feed.Count = 0


def now() -> int:
    return time.monotonic_ns() // 1_000


def _connections() -> int:
    """Those that relays may hold open: as the limit on open files allows, which is raised as far as it goes,
    less what roster, leases, probes, planner, state and log need."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with contextlib.suppress(ValueError, OSError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
        soft = hard
    return max(16, min(20_000, soft * 3 // 4)) if soft != resource.RLIM_INFINITY else 20_000


class StateError(OSError):
    """The state folder can't be used; the text says why, and the remedy."""


class GovernorService:
    """`run` serves until `stop` is called or the module fails; it returns the exit code. Raises StateFault;
    OSError for an address that can't be had."""

    def __init__(self, fleet: FleetSettings, own: GovernorSettings) -> None:
        self.fleet, self.settings = fleet, own
        self.core = GovernorCore(fleet, own, uuid.uuid4().hex[:12], now())
        self.log = structlog.get_logger().bind(governor=own.name)
        self._server = HttpServer(self._handle, max_connections=_connections())
        self._waiters: dict[int, asyncio.Future[str]] = {}
        self._kick, self._told, self._hurry = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self._stopping = asyncio.Event()
        self._tasks = set[asyncio.Task[None]]()
        self._probing = asyncio.Semaphore(fleet.max_health_checks)
        self._clients: dict[str, HttpClient] = {}
        self._leasing = set[str]()  # addresses that owe an answer
        self._failed = False
        self.migration_records = TenantDirectory(own.name)
        self._saved_path, self._unsaved = own.state_folder / "roster.json", asyncio.Event()
        self._booking = asyncio.Lock()
        self.membership = self._membership(fleet, own)
        self.zoning = self._zoning(fleet, own)
        self.lag = 0.0  # worst lateness of the clock task since the last status call, seconds

    def _membership(self, fleet: FleetSettings, own: GovernorSettings) -> Membership | None:
        if fleet.coordination is None:
            return None

        address = f"{own.listen_address[0]}:{own.listen_address[1]}"
        identity = ProcessIdentity(
            role="governor",
            name=own.name,
            zone=own.zone,
            incarnation=new_incarnation(own.name),
            address=address,
        )
        return Membership(fleet.coordination, identity, own.seed, self._event)

    def _zoning(self, fleet: FleetSettings, own: GovernorSettings) -> ZoneCoordination | None:
        if self.membership is None or fleet.coordination is None or fleet.coordination.zones is None:
            return None

        return ZoneCoordination(
            fleet,
            fleet.coordination.zones,
            own.zone,
            self.core,
            self.membership,
            self._told.set,
            self._event,
            now(),
        )

    def _event(self, event: str, warn: bool, **fields: Any) -> None:
        (self.log.warning if warn else self.log.info)(event, **fields)

    async def run(self) -> int:
        # Nearly all that lives here lives long: full collections at the usual rate stop the loop for tens of
        # milliseconds at a thousand relays.
        gc.set_threshold(50_000, 20, 1_000)
        lock = self._lock()
        try:
            return await self._run()
        finally:
            if lock:
                lock.release()

    def _lock(self) -> FolderLock | None:
        """Two governors of one state would each keep a book without the other's words, and lease workers for
        tenants that have moved. On a disk that takes no lock a governor serves all the same."""
        try:
            return FolderLock(self.settings.state_folder)
        except FolderLockedError as fault:
            raise StateError(f"{fault}; name another folder, or end that process") from None
        except OSError as fault:
            self.log.warning("state_not_locked", path=str(self.settings.state_folder), reason=str(fault))
            return None

    async def _run(self) -> int:
        self._load()
        self.planner = PolicyProcess(
            self.core.policy_configs, now(), bool(self.core.slot_us), self.fleet.safety.drain_grace_us
        )
        self._server.listen(self.settings.listen_address[1], self.settings.listen_address[0], backlog=4096)
        host, port = self.settings.listen_address
        self.log.info("started", epoch=self.core.epoch, listen=f"{host}:{port}", zone=self.settings.zone)
        for task in (self._clock(), self._plan(), self._roster(), self._save()):
            self._own(task)
        if self.fleet.placement:
            self._own(self._leases(self.fleet.placement.lease_us))
            self._own(self._slots(self.core.slot_us))
        if self.membership is not None:
            self._own(self.membership.run())
        await self._stopping.wait()
        self._server.stop()
        for waiter in list(self._waiters.values()):
            if not waiter.done():
                waiter.set_result("stop")
        await asyncio.sleep(0.05)  # the last answers leave
        if self.membership is not None:
            await self.membership.leave()
        for running in list(self._tasks):
            running.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for connection in list(self._server.connections):
            connection.abort()
        await self.planner.close()
        self.log.info("stopped", reason="the module failed" if self._failed else "asked to")
        return 1 if self._failed else 0

    def stop(self) -> None:
        self._stopping.set()

    def _own(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def ended(done: asyncio.Task[None]) -> None:
            self._tasks.discard(done)
            if not done.cancelled() and (fault := done.exception()):
                self._failed = True
                self._stopping.set()
                self.log.error("task_failed", reason=repr(fault))

        task.add_done_callback(ended)

    # Requests

    async def _handle(self, request: http.Request, connection: Connection) -> ServerResponse | None:
        try:
            path = urlsplit(request.target)
            match request.method, path.path:
                case "GET", "/v1/feed":
                    pairs = dict(parse_qsl(path.query, keep_blank_values=True))
                    query = msgspec.convert(pairs, PollQuery, strict=False)
                    return await self._poll(Poll(**msgspec.structs.asdict(query)), connection)
                case "POST", "/v1/sums":
                    self._sums(SUMS.decode(request.body))
                    self._kick.set()
                    return ServerResponse(204)
                case "GET", "/v1/status":
                    return json_response(self.status())
                case "GET", "/healthz" if self.membership is not None:
                    return self.membership.answer_health_check(path.query)
                case "POST", "/v1/cells/word" if self.fleet.placement:
                    return json_response(await self._word(WORD.decode(request.body)))
                case _, "/v1/cells/word" if not self.fleet.placement:
                    return error_response(404, "this fleet has no cells")
                case _, "/v1/feed" | "/v1/sums" | "/v1/status" | "/v1/cells/word":
                    return error_response(405, f"{path.path} does not take {request.method}")
            return error_response(404, f"nothing at {path.path}")
        except RequestRejectedError as fault:
            return error_response(fault.status, fault.reason)
        except (msgspec.DecodeError, ValueError) as fault:
            return error_response(400, f"not understood: {fault}")

    async def _poll(self, poll: Poll, connection: Connection) -> ServerResponse | None:
        answer = self.core.handle_poll(now(), poll)
        proxy = self.core.identifiers.proxies[poll.relay]
        if (earlier := self._waiters.pop(proxy, None)) and not earlier.done():
            earlier.set_result("superseded")
        self._kick.set()
        end = asyncio.get_running_loop().time() + self.fleet.poll_hold_us / 1e6
        while answer is None:
            waiter: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            self._waiters[proxy] = waiter
            gone = asyncio.ensure_future(connection.closed.wait())
            left = end - asyncio.get_running_loop().time()
            await asyncio.wait((waiter, gone), timeout=max(0.0, left), return_when=asyncio.FIRST_COMPLETED)
            gone.cancel()
            if self._waiters.get(proxy) is waiter:
                del self._waiters[proxy]
            word = waiter.result() if waiter.done() else "gone" if connection.closed.is_set() else "time"
            match word:
                case "superseded":
                    return error_response(409, "a later poll of this relay has taken over")
                case "stop":
                    return error_response(503, "the governor stops")
                case "gone":
                    self.core.remove_proxy(proxy, "its connection closed", poll.stream)
                    self._kick.set()
                    return None
                case "time":
                    answer = feed.PollResponse(self.core.epoch, poll.stream)
                case _:
                    answer = self.core.handle_poll(now(), poll)
        return ServerResponse(200, ENCODER.encode(answer), (("content-type", "application/json"),))

    def _sums(self, sums: feed.ProxyLoadReport) -> None:
        self.core.handle_load_report(sums)
        if self.zoning is not None:
            stream = self.core.streams[self.core.identifiers.proxies[sums.proxy]]
            self.zoning.stats.add_load_report(
                now(), self.core.identifiers.zones.names[stream.zone], sums, self.core.endpoint_list.endpoints
            )

    def status(self) -> dict[str, Any]:
        """What a person or a check may want to know; `lag_ms` is the worst since the last call."""
        core, lag, self.lag = self.core, self.lag, 0.0
        return {
            "governor": self.settings.name,
            "epoch": core.epoch,
            "relays": len(core.streams),
            "replicas": len(core.endpoint_list.endpoints),
            "roster_old": core.endpoint_list.is_stale,
            "channel": {
                "waiting": core.channel.waiting_lines,
                "most": core.channel.peak_lines,
                "limit": core.channel.queue_limit_lines,
                "sent": core.channel.sent_lines,
                "pace": round(core.channel.measured_lines_per_s),
            },
            "intake_waiting": core.load_reports.waiting_count,
            "withdrawn": [core.identifiers.replicas.names[n] for n in core.tables.withdrawn],
            "cells": core.cell_stats.status(core.endpoint_list.endpoints) if core.cell_stats else {},
            "planner_cpu": round(self.planner.cpu_s, 3),
            "planner_pid": self.planner.pid,
            "lag_ms": round(lag * 1e3, 3),
            "fleet": self.membership.status() if self.membership is not None else {},
            "zones": self.zoning.status() if self.zoning is not None else {},
        }

    async def _word(self, word: TenantAssignment) -> AssignmentAck:
        """A mover's word: kept before it is confirmed."""
        async with self._booking:
            book, answer = self.migration_records.apply_assignment(word)
            if book is not self.migration_records:
                try:
                    await write_file_in_thread(
                        self.settings.state_folder / "cells.json",
                        ENCODER.encode(list(book.assignments.values())),
                    )
                except OSError as fault:
                    self.log.error("word_not_kept", tenant=word.tenant, reason=str(fault))
                    raise RequestRejectedError(
                        503, f"the word can't be kept: {fault.strerror or fault}"
                    ) from None
                self.migration_records = book
                self.core.handle_migration(word.tenant, word.cell, word.generation)
                self._kick.set()
        return answer

    # Tasks

    async def _leases(self, lease: int) -> None:
        """Heartbeats to every worker of a cell, three in a lease, each with the whole book."""
        while True:
            body = ENCODER.encode((lease, self.migration_records.heartbeat_assignments()))
            workers = list(self.core.endpoint_list.endpoints.values())
            for address in {e.address or e.replica for e in workers} - self._leasing:
                self._own(self._lease(address, body))
            await asyncio.sleep(lease / 3e6)

    async def _lease(self, address: str, body: bytes) -> None:
        self._leasing.add(address)  # one at a time: to one that hangs they were made faster than they end
        try:
            # An address that is none fails that worker's lease alone, not the governor.
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError, ValueError):
                await self._client(address).request("POST", "/cell/lease", body, timeout_s=0.5)
        finally:
            self._leasing.discard(address)

    def _client(self, address: str) -> HttpClient:
        """Raises ValueError for what is no address."""
        if address not in self._clients:
            # Dotted: a name would be looked up on the loop, and a port out of range ended the governor.
            self._clients[address] = HttpClient(*parse_address(address))
        return self._clients[address]

    def _forget(self) -> None:
        """Connections to replicas that left the list: kept, each cost a file for good."""
        listed = {e.address or e.replica for e in self.core.endpoint_list.endpoints.values()}
        for gone in [a for a in self._clients if a not in listed]:
            self._clients.pop(gone).close()

    async def _clock(self) -> None:
        while True:
            due = self.core.next_due_us()
            wait = max(0.0, (due - now()) / 1e6)
            if wait:
                # Not wait_for: before Python 3.12 it loses a cancellation that meets the event, and a busy
                # governor then never stopped.
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(min(wait, 0.5)):
                        await self._kick.wait()
            else:
                await asyncio.sleep(0)
            self._kick.clear()
            at = now()
            self.lag = max(self.lag, (at - due) / 1e6)
            for proxy in self.core.advance(at):
                if (waiter := self._waiters.get(proxy)) and not waiter.done():
                    waiter.set_result("news")
            if self.core.has_pending_events:
                self._told.set()
            self._effects()

    async def _plan(self) -> None:
        while True:
            hurry = False
            if self.core.slot_us:
                hurry = await self._next_slot(self.core.slot_us)
            else:
                await self._told.wait()
                self._told.clear()
            batches = self.core.take_batches(hurry)
            if not batches and (hurry or not self.core.slot_us):
                continue
            at = now()
            try:
                replies = await self.planner.handle(at, batches, not hurry)
            except PolicyProcessError as fault:
                # What was published stands; nothing of a broken answer goes out. Relays redial on the end.
                self.log.error("module_failed", reason=str(fault))
                self._failed = True
                self._stopping.set()
                return
            if not self.core.slot_us:
                self.core.apply_replies(now(), replies)
            else:
                # Drains first; others run between, or feeds wait a tenth of a second for a hundred cells.
                replies.sort(
                    key=lambda reply: not any(
                        isinstance(o, i.WithdrawReplica) and o.withdrawn for o in reply[1]
                    )
                )
                for n in range(0, len(replies), AT_ONE_GO):
                    self.core.apply_replies(now(), replies[n : n + AT_ONE_GO])
                    await asyncio.sleep(0)
            self._kick.set()

    async def _next_slot(self, length: int) -> bool:
        """Until the slot ends, or (True) until a drain or exit is listed."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout((length - now() % length) / 1e6):
                await self._hurry.wait()
                self._hurry.clear()
                return True
        return False

    async def _slots(self, length: int) -> None:
        """What relays are owed leaves slot by slot, also while the planner thinks."""
        while True:
            await asyncio.sleep((length - now() % length) / 1e6)
            more = self.core.publish_slot(now())
            while more:
                await asyncio.sleep(0)
                more = self.core.publish_slot(now(), more)
            self._kick.set()

    def _effects(self) -> None:
        logs, self.core.pending_logs = self.core.pending_logs, []
        for entry in logs:
            self._event(entry.name, entry.is_warning, **entry.fields)
        due, self.core.pending_health_checks = self.core.pending_health_checks, []
        for replica in due:
            self._own(self._probe(replica))

    async def _probe(self, replica: int) -> None:
        """One probe within the deadline, the wait for its turn included."""
        began, deadline = now(), self.fleet.health_check_timeout_us / 1e6
        outcome, load = i.HealthCheckOutcome.OTHER, None
        name = self.core.identifiers.replicas.names[replica]
        entry = self.core.endpoint_list.endpoints.get(name)
        address = (entry.address if entry else "") or name
        try:
            outcome, response = await health_checks.ask(
                self._client(address), "/healthz", deadline, self._probing
            )
            text = http.get_header(response.headers, orca.HEADER_NAME) if response else None
            if text and (report := orca.parse_report(text)):
                load = i.LoadReport(report.busy_share, report.in_flight, report.service_ms)
        except ValueError as fault:
            self.log.warning("bad_probe", replica=name, reason=str(fault))
            outcome = i.HealthCheckOutcome.OTHER
        self.core.handle_health_check(replica, outcome, now() - began, load)
        if self.zoning is not None and entry is not None:
            self.zoning.stats.add_health_check(now(), entry.zone, outcome is i.HealthCheckOutcome.HEALTHY)
        self.log.info("probed", replica=name, reason=outcome.value)
        self._told.set()

    async def _roster(self) -> None:
        client = HttpClient(*self.fleet.endpoint_list_address)
        whole, pause, down = True, 0.2, False
        while True:
            if not (self.core.endpoints_subscribed or self.core.endpoints_requested):
                await asyncio.sleep(0.05)
                continue
            began, view = now(), self.core.endpoint_list
            after = -1 if whole or self.core.endpoints_requested else view.version
            target = (
                f"/v1/roster?zone={self.settings.zone}&life={view.incarnation}&after={after}"
                f"&wait={ROSTER_WAIT:g}&reader={self.settings.name}"
            )
            try:
                response = await client.request("GET", target, timeout_s=ROSTER_WAIT + 2)
                if response.status != 200:
                    raise ValueError(f"status {response.status}")
                news = self.core.handle_endpoint_list(now(), ROSTER.decode(response.body))
                if self.zoning is not None:
                    self.zoning.list_confirmed_us = now()
                if down:
                    self.log.info("roster_back")
                whole, pause, down, self.core.endpoints_requested = False, 0.2, False, False
                if news:
                    self._forget()
                    self._told.set()
                    if self.core.has_urgent_change:
                        self.core.has_urgent_change = False
                        self._hurry.set()
                    self._unsaved.set()
                # One that holds no call was asked a thousand times a second.
                await asyncio.sleep(max(0.0, ROSTER_PACE - (now() - began) / 1e6))
            except EndpointListGapError as fault:
                self.log.info("roster_gap", reason=str(fault))
                await asyncio.sleep(0.0 if not whole else pause)  # changes where the whole was asked for
                whole = True
            except (
                ConnectError,
                ConnectionLostError,
                ResponseTimeoutError,
                ValueError,
                msgspec.MsgspecError,
            ) as fault:
                if not down:
                    self.log.warning("roster_down", reason=str(fault))
                if self.fleet.load_reporting.must_subscribe:
                    self.core.handle_endpoint_request_failed()
                    self.core.endpoints_subscribed = self.core.endpoints_requested = False
                    self._told.set()
                down = True
                await asyncio.sleep(pause)
                pause = min(2.0, pause * 2)

    async def _save(self) -> None:
        """The list as last held, for a start without a roster; an old file or a new one, never a part."""
        while True:
            await self._unsaved.wait()
            self._unsaved.clear()
            try:
                await write_file_in_thread(
                    self._saved_path, ENCODER.encode(tuple(self.core.endpoint_list.endpoints.values()))
                )
            except OSError as fault:
                self.log.warning("roster_not_saved", path=str(self._saved_path), reason=str(fault))

    def _load(self) -> None:
        entries: tuple[feed.EndpointRecord, ...] = ()
        try:
            entries = SAVED.decode(Path(self._saved_path).read_bytes())
            self.log.info("roster_saved", replicas=len(entries), reason="old until the roster answers")
        except FileNotFoundError:
            pass
        except (OSError, msgspec.MsgspecError) as fault:
            self.log.warning("saved_roster_unread", path=str(self._saved_path), reason=str(fault))
        self.core.load_cached_endpoints(now(), entries)
        path = self.settings.state_folder / "cells.json"
        with contextlib.suppress(FileNotFoundError):
            try:
                words = WORDS.decode(path.read_bytes())
            except msgspec.MsgspecError as fault:
                # Started without it, this governor would lease workers for tenants that have moved away.
                raise StateError(f"{path} can't be read ({fault}); put back a copy") from None
            except FileNotFoundError:
                raise
            except OSError as fault:
                raise StateError(f"{path} can't be read ({fault.strerror}); see to the folder") from None
            for word in words:
                self.migration_records, _ = self.migration_records.apply_assignment(word)
                self.core.handle_migration(word.tenant, word.cell, word.generation)
        self._told.set()
