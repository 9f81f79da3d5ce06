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
from gradehoist.cells.migration import Book, Confirm, Word
from gradehoist.governor import probes
from gradehoist.governor.core import Core, Gap, Poll, Refused
from gradehoist.governor.policy_process import PlannerFailed, PlannerProcess
from gradehoist.governor.zone_coordination import Zoning
from gradehoist.membership.service import Membership
from gradehoist.net.client import Broken, Client, TimedOut, Unreachable
from gradehoist.net.server import Answer, Connection, Server, json, refusal
from gradehoist.protocol import feed, http, orca
from gradehoist.settings import reader
from gradehoist.settings.fleet import Fleet, Governor
from gradehoist.store import atomic_file

SUMS: msgspec.json.Decoder[feed.Sums] = msgspec.json.Decoder(feed.Sums)
ROSTER: msgspec.json.Decoder[feed.Roster] = msgspec.json.Decoder(feed.Roster)
SAVED: msgspec.json.Decoder[tuple[feed.Replica, ...]] = msgspec.json.Decoder(tuple[feed.Replica, ...])
WORD: msgspec.json.Decoder[Word] = msgspec.json.Decoder(Word)
WORDS: msgspec.json.Decoder[list[Word]] = msgspec.json.Decoder(list[Word])
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


class StateFault(OSError):
    """The state folder can't be used; the text says why, and the remedy."""


class Service:
    """`run` serves until `stop` is called or the module fails; it returns the exit code. Raises StateFault;
    OSError for an address that can't be had."""

    def __init__(self, fleet: Fleet, own: Governor) -> None:
        self.fleet, self.own = fleet, own
        self.core = Core(fleet, own, uuid.uuid4().hex[:12], now())
        self.log = structlog.get_logger().bind(governor=own.name)
        self._server = Server(self._handle, most=_connections())
        self._waiters: dict[int, asyncio.Future[str]] = {}
        self._kick, self._told, self._hurry = asyncio.Event(), asyncio.Event(), asyncio.Event()
        self._stopping = asyncio.Event()
        self._tasks = set[asyncio.Task[None]]()
        self._probing = asyncio.Semaphore(fleet.probes_at_once)
        self._clients: dict[str, Client] = {}
        self._leasing = set[str]()  # addresses that owe an answer
        self._failed = False
        self.book = Book(own.name)
        self._saved_path, self._unsaved = own.state / "roster.json", asyncio.Event()
        self._booking = asyncio.Lock()
        self.membership = self._membership(fleet, own)
        self.zoning = self._zoning(fleet, own)
        self.lag = 0.0  # worst lateness of the clock task since the last status call, seconds

    def _membership(self, fleet: Fleet, own: Governor) -> Membership | None:
        if fleet.coordination is None:
            return None

        address = f"{own.listen[0]}:{own.listen[1]}"
        return Membership(fleet.coordination, "governor", own.name, own.zone, address, own.seed, self._event)

    def _zoning(self, fleet: Fleet, own: Governor) -> Zoning | None:
        if self.membership is None or fleet.coordination is None or fleet.coordination.zones is None:
            return None

        return Zoning(
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
                lock.free()

    def _lock(self) -> atomic_file.Lock | None:
        """Two governors of one state would each keep a book without the other's words, and lease workers for
        tenants that have moved. On a disk that takes no lock a governor serves all the same."""
        try:
            return atomic_file.Lock(self.own.state)
        except atomic_file.Held as fault:
            raise StateFault(f"{fault}; name another folder, or end that process") from None
        except OSError as fault:
            self.log.warning("state_not_locked", path=str(self.own.state), reason=str(fault))
            return None

    async def _run(self) -> int:
        self._load()
        self.planner = PlannerProcess(self.core.starts, now(), bool(self.core.slot), self.fleet.rules.grace)
        self._server.listen(self.own.listen[1], self.own.listen[0], backlog=4096)
        host, port = self.own.listen
        self.log.info("started", epoch=self.core.epoch, listen=f"{host}:{port}", zone=self.own.zone)
        for task in (self._clock(), self._plan(), self._roster(), self._save()):
            self._own(task)
        if self.fleet.cells:
            self._own(self._leases(self.fleet.cells.lease))
            self._own(self._slots(self.core.slot))
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

    async def _handle(self, request: http.Request, connection: Connection) -> Answer | None:
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
                    return Answer(204)
                case "GET", "/v1/status":
                    return json(self.status())
                case "GET", "/healthz" if self.membership is not None:
                    return self.membership.healthy(path.query)
                case "POST", "/v1/cells/word" if self.fleet.cells:
                    return json(await self._word(WORD.decode(request.body)))
                case _, "/v1/cells/word" if not self.fleet.cells:
                    return refusal(404, "this fleet has no cells")
                case _, "/v1/feed" | "/v1/sums" | "/v1/status" | "/v1/cells/word":
                    return refusal(405, f"{path.path} does not take {request.method}")
            return refusal(404, f"nothing at {path.path}")
        except Refused as fault:
            return refusal(fault.status, fault.reason)
        except (msgspec.DecodeError, ValueError) as fault:
            return refusal(400, f"not understood: {fault}")

    async def _poll(self, poll: Poll, connection: Connection) -> Answer | None:
        answer = self.core.poll(now(), poll)
        proxy = self.core.names.proxies[poll.relay]
        if (earlier := self._waiters.pop(proxy, None)) and not earlier.done():
            earlier.set_result("superseded")
        self._kick.set()
        end = asyncio.get_running_loop().time() + self.fleet.hold / 1e6
        while answer is None:
            waiter: asyncio.Future[str] = asyncio.get_running_loop().create_future()
            self._waiters[proxy] = waiter
            gone = asyncio.ensure_future(connection.gone.wait())
            left = end - asyncio.get_running_loop().time()
            await asyncio.wait((waiter, gone), timeout=max(0.0, left), return_when=asyncio.FIRST_COMPLETED)
            gone.cancel()
            if self._waiters.get(proxy) is waiter:
                del self._waiters[proxy]
            word = waiter.result() if waiter.done() else "gone" if connection.gone.is_set() else "time"
            match word:
                case "superseded":
                    return refusal(409, "a later poll of this relay has taken over")
                case "stop":
                    return refusal(503, "the governor stops")
                case "gone":
                    self.core.left(proxy, "its connection closed", poll.stream)
                    self._kick.set()
                    return None
                case "time":
                    answer = feed.Feed(self.core.epoch, poll.stream)
                case _:
                    answer = self.core.poll(now(), poll)
        return Answer(200, ENCODER.encode(answer), (("content-type", "application/json"),))

    def _sums(self, sums: feed.Sums) -> None:
        self.core.sums(sums)
        if self.zoning is not None:
            stream = self.core.streams[self.core.names.proxies[sums.relay]]
            self.zoning.sights.add(
                now(), self.core.names.zones.names[stream.zone], sums, self.core.roster.entries
            )

    def status(self) -> dict[str, Any]:
        """What a person or a check may want to know; `lag_ms` is the worst since the last call."""
        core, lag, self.lag = self.core, self.lag, 0.0
        return {
            "governor": self.own.name,
            "epoch": core.epoch,
            "relays": len(core.streams),
            "replicas": len(core.roster.entries),
            "roster_old": core.roster.old,
            "channel": {
                "waiting": core.channel.waiting,
                "most": core.channel.most,
                "limit": core.channel.queue_limit,
                "sent": core.channel.sent,
                "pace": round(core.channel.pace),
            },
            "intake_waiting": core.intake.waiting,
            "withdrawn": [core.names.replicas.names[n] for n in core.tables.out],
            "cells": core.tally.status(core.roster.entries) if core.tally else {},
            "planner_cpu": round(self.planner.cpu, 3),
            "planner_pid": self.planner.pid,
            "lag_ms": round(lag * 1e3, 3),
            "fleet": self.membership.status() if self.membership is not None else {},
            "zones": self.zoning.status() if self.zoning is not None else {},
        }

    async def _word(self, word: Word) -> Confirm:
        """A mover's word: kept before it is confirmed."""
        async with self._booking:
            book, answer = self.book.told(word)
            if book is not self.book:
                try:
                    await atomic_file.write_aside(
                        self.own.state / "cells.json", ENCODER.encode(list(book.words.values()))
                    )
                except OSError as fault:
                    self.log.error("word_not_kept", tenant=word.tenant, reason=str(fault))
                    raise Refused(503, f"the word can't be kept: {fault.strerror or fault}") from None
                self.book = book
                self.core.moved(word.tenant, word.cell, word.gen)
                self._kick.set()
        return answer

    # Tasks

    async def _leases(self, lease: int) -> None:
        """Heartbeats to every worker of a cell, three in a lease, each with the whole book."""
        while True:
            body = ENCODER.encode((lease, self.book.heartbeat()))
            workers = list(self.core.roster.entries.values())
            for address in {e.address or e.replica for e in workers} - self._leasing:
                self._own(self._lease(address, body))
            await asyncio.sleep(lease / 3e6)

    async def _lease(self, address: str, body: bytes) -> None:
        self._leasing.add(address)  # one at a time: to one that hangs they were made faster than they end
        try:
            # An address that is none fails that worker's lease alone, not the governor.
            with contextlib.suppress(Unreachable, Broken, TimedOut, ValueError):
                await self._client(address).exchange("POST", "/cell/lease", body, timeout=0.5)
        finally:
            self._leasing.discard(address)

    def _client(self, address: str) -> Client:
        """Raises ValueError for what is no address."""
        if address not in self._clients:
            # Dotted: a name would be looked up on the loop, and a port out of range ended the governor.
            self._clients[address] = Client(*reader.address(address))
        return self._clients[address]

    def _forget(self) -> None:
        """Connections to replicas that left the list: kept, each cost a file for good."""
        listed = {e.address or e.replica for e in self.core.roster.entries.values()}
        for gone in [a for a in self._clients if a not in listed]:
            self._clients.pop(gone).close()

    async def _clock(self) -> None:
        while True:
            due = self.core.due()
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
            if self.core.waiting:
                self._told.set()
            self._effects()

    async def _plan(self) -> None:
        while True:
            hurry = False
            if self.core.slot:
                hurry = await self._next_slot(self.core.slot)
            else:
                await self._told.wait()
                self._told.clear()
            batches = self.core.batches(hurry)
            if not batches and (hurry or not self.core.slot):
                continue
            at = now()
            try:
                replies = await self.planner.handle(at, batches, not hurry)
            except PlannerFailed as fault:
                # What was published stands; nothing of a broken answer goes out. Relays redial on the end.
                self.log.error("module_failed", reason=str(fault))
                self._failed = True
                self._stopping.set()
                return
            if not self.core.slot:
                self.core.carry_out(now(), replies)
            else:
                # Drains first; others run between, or feeds wait a tenth of a second for a hundred cells.
                replies.sort(key=lambda reply: not any(isinstance(o, i.Withdraw) and o.out for o in reply[1]))
                for n in range(0, len(replies), AT_ONE_GO):
                    self.core.carry_out(now(), replies[n : n + AT_ONE_GO])
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
            more = self.core.spend(now())
            while more:
                await asyncio.sleep(0)
                more = self.core.spend(now(), more)
            self._kick.set()

    def _effects(self) -> None:
        logs, self.core.logs = self.core.logs, []
        for entry in logs:
            self._event(entry.event, entry.warn, **entry.fields)
        due, self.core.probes = self.core.probes, []
        for replica in due:
            self._own(self._probe(replica))

    async def _probe(self, replica: int) -> None:
        """One probe within the deadline, the wait for its turn included."""
        began, deadline = now(), self.fleet.probe_deadline / 1e6
        outcome, load = i.Outcome.OTHER, None
        name = self.core.names.replicas.names[replica]
        entry = self.core.roster.entries.get(name)
        address = (entry.address if entry else "") or name
        try:
            outcome, response = await probes.ask(self._client(address), "/healthz", deadline, self._probing)
            text = http.header(response.headers, orca.HEADER) if response else None
            if text and (report := orca.read(text)):
                load = i.Load(report.busy, report.in_flight, report.service_ms)
        except ValueError as fault:
            self.log.warning("bad_probe", replica=name, reason=str(fault))
            outcome = i.Outcome.OTHER
        self.core.probed(replica, outcome, now() - began, load)
        if self.zoning is not None and entry is not None:
            self.zoning.sights.probed(now(), entry.zone, outcome is i.Outcome.ANSWERED)
        self.log.info("probed", replica=name, reason=outcome.value)
        self._told.set()

    async def _roster(self) -> None:
        client = Client(*self.fleet.roster)
        whole, pause, down = True, 0.2, False
        while True:
            if not (self.core.follow or self.core.ask):
                await asyncio.sleep(0.05)
                continue
            began, view = now(), self.core.roster
            after = -1 if whole or self.core.ask else view.version
            target = (
                f"/v1/roster?zone={self.own.zone}&life={view.life}&after={after}"
                f"&wait={ROSTER_WAIT:g}&reader={self.own.name}"
            )
            try:
                response = await client.exchange("GET", target, timeout=ROSTER_WAIT + 2)
                if response.status != 200:
                    raise ValueError(f"status {response.status}")
                news = self.core.listed(now(), ROSTER.decode(response.body))
                if self.zoning is not None:
                    self.zoning.heard = now()
                if down:
                    self.log.info("roster_back")
                whole, pause, down, self.core.ask = False, 0.2, False, False
                if news:
                    self._forget()
                    self._told.set()
                    if self.core.hurry:
                        self.core.hurry = False
                        self._hurry.set()
                    self._unsaved.set()
                # One that holds no call was asked a thousand times a second.
                await asyncio.sleep(max(0.0, ROSTER_PACE - (now() - began) / 1e6))
            except Gap as fault:
                self.log.info("roster_gap", reason=str(fault))
                await asyncio.sleep(0.0 if not whole else pause)  # changes where the whole was asked for
                whole = True
            except (Unreachable, Broken, TimedOut, ValueError, msgspec.MsgspecError) as fault:
                if not down:
                    self.log.warning("roster_down", reason=str(fault))
                if self.fleet.reports.must_ask:
                    self.core.list_failed()
                    self.core.follow = self.core.ask = False
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
                await atomic_file.write_aside(
                    self._saved_path, ENCODER.encode(tuple(self.core.roster.entries.values()))
                )
            except OSError as fault:
                self.log.warning("roster_not_saved", path=str(self._saved_path), reason=str(fault))

    def _load(self) -> None:
        entries: tuple[feed.Replica, ...] = ()
        try:
            entries = SAVED.decode(Path(self._saved_path).read_bytes())
            self.log.info("roster_saved", replicas=len(entries), reason="old until the roster answers")
        except FileNotFoundError:
            pass
        except (OSError, msgspec.MsgspecError) as fault:
            self.log.warning("saved_roster_unread", path=str(self._saved_path), reason=str(fault))
        self.core.list_saved(now(), entries)
        path = self.own.state / "cells.json"
        with contextlib.suppress(FileNotFoundError):
            try:
                words = WORDS.decode(path.read_bytes())
            except msgspec.MsgspecError as fault:
                # Started without it, this governor would lease workers for tenants that have moved away.
                raise StateFault(f"{path} can't be read ({fault}); put back a copy") from None
            except FileNotFoundError:
                raise
            except OSError as fault:
                raise StateFault(f"{path} can't be read ({fault.strerror}); see to the folder") from None
            for word in words:
                self.book, _ = self.book.told(word)
                self.core.moved(word.tenant, word.cell, word.gen)
        self._told.set()
