"""The node on sockets, the core's shell: one loop, one task a connection, the watch, probes, signals."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import resource
import signal
import socket
import sys
import time
import traceback
from collections.abc import Callable, Coroutine
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from typing import Any

from tornado import gen
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from gradehoist import interface as i
from gradehoist.governor import health_checks
from gradehoist.net.client import HttpClient
from gradehoist.net.listener import Listener, read_available
from gradehoist.node import config, discovery
from gradehoist.node.core import JoinRejectedError, NodeCore
from gradehoist.node.log import NodeLog
from gradehoist.protocol import lines, orca
from gradehoist.protocol.line_parser import MAX_MESSAGE_BYTES, LineParser
from gradehoist.settings import platform

JOIN = 1.5  # seconds to join in: after one a connection may be closed, and its hello may have been held up
SWEEP = 0.1  # seconds between looks at those that have not joined
STEP = 0.004  # seconds in which what comes in is gathered for one step of the module
KEPT = 24  # descriptors for the loop, the log, the listener, watches and probes
UNREAD = 1 << 20  # bytes that a stream may leave unread: several tables of a large site
CONNECT = 1.0  # seconds for a connection to discovery
SILENT = (
    3 * discovery.HEARTBEAT_PERIOD_US / 2e6
)  # seconds without a sign of life after which a new watch is opened
RETRY = 0.1, 1.0  # seconds from the end of a watch to the next: at first, at most
READY = 0.7  # seconds that the first answer waits for discovery's first word
PROBE = 1.0  # seconds for a probe
PROBES = 4  # at once
TURN = 16_384  # bytes taken from one peer before all others have their turn: a flood of them takes 3 ms
HELD = 5.0, 0.05  # seconds in which an address that another process still holds is tried, and between tries
AGAIN = 10, 0.2  # readings of a wrong file after SIGHUP, and seconds between: it may be half written


class Connection:
    """One connection at the governor's address, and who it said it is."""

    def __init__(self, stream: IOStream, since: float) -> None:
        self.stream, self.since, self.door = stream, since, LineParser()
        self.collector, self.asked = False, 0  # asked: for signs of life before there was one
        self.proxy, self.number = -1, 0  # of a proxy's stream

    @property
    def joined(self) -> bool:
        return self.collector or self.proxy >= 0


class NodeService:
    def __init__(self, conf: config.NodeConfig, path: Path) -> None:
        self.conf, self._path = conf, path
        # Unix time that never steps back: entries tell their starts in it, and delays are measured by it.
        self._epoch = time.time_ns() - time.monotonic_ns()
        self._trace = bool(os.environ.get("GRADEHOIST_TRACE"))
        self.core = NodeCore(
            conf.identifiers, conf.policy_config, conf.cached_endpoints, self.now(), self._trace
        )
        self.log = NodeLog(sys.stderr.fileno(), 1_000.0 if self._trace else NodeLog.RATE)
        self._most = min(conf.socket_limit, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - KEPT
        self._peers: dict[Connection, None] = {}
        self._strange: dict[Connection, None] = {}  # those that have not joined, the oldest first
        self._by_proxy: dict[int, Connection] = {}
        self._tasks = set[asyncio.Task[None]]()
        self._watching: asyncio.Task[None] | None = None  # the one that watches where discovery is now
        self._watches_opened = 0
        self._open_watches: dict[int, IOStream] = {}
        self._again: asyncio.TimerHandle | None = None  # a further reading of the configuration
        self._step_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._listener = Listener(self._accepted)
        self._probing = asyncio.Semaphore(PROBES)
        self._ended = asyncio.Event()
        self._spoken = asyncio.Event()  # discovery has said something
        self._ready = False
        self._fault: BaseException | None = None
        self._turned_away = 0
        self.longest = 0.0

    def now(self) -> int:
        return (time.monotonic_ns() + self._epoch) // 1_000

    async def run(self, reload: Callable[[], bool] = lambda: False) -> int:
        """The exit code. `reload`: whether a SIGHUP came before this one's handlers stood."""
        loop = asyncio.get_running_loop()
        for sign in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sign, self._ended.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        if (fault := await self._listen()) is not None:
            print(f"{self._path}: listen: {fault.strerror}; free the address or change it", file=sys.stderr)
            return 2
        if reload():
            self._reload()
        if self._watching is None:
            self._watch()
        self._own(self._sweeps())
        self._own(self._readiness())
        self._step()
        await self._ended.wait()
        self.log("ends: told to" if self._fault is None else "ends: it failed")
        self._listener.stop()
        for timer in filter(None, (self._timer, self._again)):
            timer.cancel()
        for task in (tasks := list(self._tasks)):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self.log.close()
        if self._fault is None:
            return 0
        traceback.print_exception(self._fault)
        return 1

    async def _listen(self) -> OSError | None:
        """Waits for an address that the process before still holds: it may be ending."""
        most, rest = HELD
        end, waits = time.monotonic() + most, False
        while not self._ended.is_set():
            try:
                self._listener.listen(self.conf.listen[1], self.conf.listen[0], backlog=1_024)
                break
            except OSError as fault:
                if fault.errno != errno.EADDRINUSE or time.monotonic() > end:
                    return fault
                if not waits:
                    waits = True
                    self.log("listen: another process still has the address; waits for it")
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._ended.wait(), rest)
        return None

    def _fail(self, fault: BaseException) -> None:
        """A bug of ours, the module's included: it ends the governor, and its traceback is in the log."""
        self._fault = self._fault or fault
        self._ended.set()

    def _own(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)

        def ended(done: asyncio.Task[None]) -> None:
            self._tasks.discard(done)
            if not done.cancelled() and (fault := done.exception()) is not None:
                self._fail(fault)

        task.add_done_callback(ended)
        return task

    async def _readiness(self) -> None:
        try:
            async with asyncio.timeout(READY):
                await self._spoken.wait()
        except TimeoutError:
            pass
        self._ready = True
        for peer in list(self._peers):  # those that have joined meanwhile among them
            if peer.asked:
                self._say(peer, lines.HEALTHY_RESPONSE * peer.asked)

    # Connections

    def _accepted(self, sock: socket.socket) -> None:
        if len(self._peers) >= self._most:
            if not self._strange:
                sock.close()
                return
            self._turn_away(next(iter(self._strange)), "no descriptor left for it")
        stream = IOStream(sock, max_buffer_size=2 * MAX_MESSAGE_BYTES, max_write_buffer_size=UNREAD)
        stream.set_nodelay(True)
        peer = Connection(stream, time.monotonic())
        self._peers[peer] = self._strange[peer] = None
        self._own(self._connected(peer))

    async def _connected(self, peer: Connection) -> None:
        try:
            while True:
                data = await read_available(peer.stream, TURN)
                if peer not in self._peers:
                    # Turned away or replaced since the read was done: its hello would have ended the stream
                    # that its proxy has now.
                    return
                self._received(peer, data)
        except (StreamClosedError, ConnectionError):
            pass
        except lines.LineProtocolError as fault:
            self._refuse(peer, str(fault))
        finally:
            self._gone(peer)

    def _received(self, peer: Connection, data: bytes) -> None:
        if peer.proxy >= 0:
            self.core.on_stream_active(self.now(), peer.proxy, peer.number)
        try:
            for message in peer.door.receive(data):
                self._take(peer, message)
        finally:  # what was good counts at once, whatever came behind it
            if self.core.pending_events:
                self._soon()
        if peer.door.failure:
            raise lines.LineProtocolError(peer.door.failure)

    def _take(self, peer: Connection, message: lines.Message) -> None:
        match message:
            case lines.HealthCheck():
                if self._ready:
                    self._say(peer, lines.HEALTHY_RESPONSE)
                else:
                    peer.asked += 1
            case lines.CollectorHello(zone) if not peer.joined:
                if zone not in self.core.identifiers.zones:
                    raise lines.LineProtocolError(f"no zone {zone}")
                peer.collector = True
                self._known(peer)
            case lines.ProxyHello() if not peer.joined:
                self._hello(peer, message)
            case lines.AttemptOutcomes() if peer.collector:
                self.core.on_outcomes_reported(message)
            case lines.Demand() if peer.joined:
                self.core.on_demand_reported(message, None if peer.collector else peer.proxy)
            case lines.Acknowledgement() if peer.proxy >= 0:
                self.core.on_acknowledged(self.now(), peer.proxy, peer.number, message)
            case lines.MalformedLine() if peer.joined:
                self.core.on_malformed_message(message)
            case _ if peer.joined:
                self.core.on_malformed_message(
                    lines.MalformedLine(type(message).__name__.lower(), "not from such a peer")
                )
            case _:
                raise lines.LineProtocolError("no joining")

    def _known(self, peer: Connection) -> None:
        peer.door.is_identified = True
        self._strange.pop(peer, None)

    def _hello(self, peer: Connection, hello: lines.ProxyHello) -> None:
        try:
            peer.number = self.core.on_proxy_joined(self.now(), hello)
        except JoinRejectedError as fault:
            raise lines.LineProtocolError(str(fault)) from None
        peer.proxy = hello.proxy
        old = self._by_proxy.get(hello.proxy)
        self._by_proxy[hello.proxy] = peer
        self._known(peer)
        if old is not None:
            self._gone(old)  # nothing that it said counts from here on

    def _say(self, peer: Connection, data: bytes) -> bool:
        try:
            peer.stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            self.log(f"proxy {peer.proxy}: left {UNREAD} bytes unread")
            peer.stream.close()
            return False
        return True

    def _refuse(self, peer: Connection, why: str) -> None:
        if peer.joined:
            self.log(f"unreadable from {'a collector' if peer.collector else f'proxy {peer.proxy}'}: {why}")
        else:
            self._turn_away(peer, why)

    def _turn_away(self, peer: Connection, why: str) -> None:
        self._turned_away += 1
        self._say(peer, lines.format_error(why))
        self._gone(peer)

    def _gone(self, peer: Connection) -> None:
        peer.stream.close()
        self._peers.pop(peer, None)
        self._strange.pop(peer, None)
        if peer.proxy >= 0 and self._by_proxy.get(peer.proxy) is peer:
            del self._by_proxy[peer.proxy]
            self.core.on_proxy_left(peer.proxy, peer.number, "its stream ended")
            self._soon()

    async def _sweeps(self) -> None:
        told = traced = time.monotonic()
        while True:
            await asyncio.sleep(SWEEP)
            now = time.monotonic()
            while self._strange and (peer := next(iter(self._strange))).since < now - JOIN:
                self._turn_away(peer, "it has not joined")
            if self._trace and now - traced >= 1.0:
                traced = now
                for text in self.core.beliefs():
                    self.log(text)
            if now - told >= 5.0:
                told = now
                self._report()

    def _report(self) -> None:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        spoilt, self.core.malformed_counts = self.core.malformed_counts, type(self.core.malformed_counts)()
        for what, times in spoilt.items():
            self.log(f"spoilt, {times} times: {what}")
        if self.core.unacknowledged_count:
            self.log(f"unanswered, {self.core.unacknowledged_count} times: lost, or its stream is cut off")
            self.core.unacknowledged_count = 0
        self.log(
            f"holds {len(self.core.streams)} streams, {len(self._peers)} connections, "
            f"{len(self.core.endpoint_list.endpoints)} replicas, {self._turned_away} turned away, "
            f"cpu {usage.ru_utime + usage.ru_stime:.2f} s, memory {usage.ru_maxrss // 1024} MB, "
            f"longest step {self.longest * 1e3:.0f} ms"
        )
        self.longest = 0.0

    # The module

    def _soon(self, wait: float = STEP) -> None:
        if self._ended.is_set():
            return
        at = asyncio.get_running_loop().time() + wait
        if self._step_at is None or at < self._step_at - 1e-4:
            if self._timer is not None:
                self._timer.cancel()
            self._step_at = at
            self._timer = asyncio.get_running_loop().call_at(at, self._step)

    def _step(self) -> None:
        began = time.monotonic()
        self._step_at, self._timer = None, None
        try:
            self.core.advance(self.now())
        except Exception as fault:
            return self._fail(fault)
        out, self.core.outbound = self.core.outbound, []
        for proxy, number, data in out:
            peer = self._by_proxy.get(proxy)
            if peer is not None and peer.number == number:
                self._say(peer, data)
        due, self.core.due_health_checks = self.core.due_health_checks, []
        for replica in due:
            self._own(self._probe(replica))
        logs, self.core.log_lines = self.core.log_lines, []
        for text in logs:
            self.log(text)
        self.longest = max(self.longest, time.monotonic() - began)
        at = self.core.next_timer_us()
        self._soon(0.25 if at is None else min(0.25, max(0.0, (at - self.now()) / 1e6)))

    # Discovery

    def _watch(self) -> None:
        self._watching = self._own(self._watches(self.conf.discovery))

    async def _watches(self, address: config.Address) -> None:
        """Watches one address until a later task does: by the address alone, one that was left and came back
        had two for good."""
        wait = RETRY[0]
        while self._watching is asyncio.current_task():
            why, heard = await self._one_watch(address)
            wait = RETRY[0] if heard else min(RETRY[1], 2 * wait)
            self.log(f"discovery {address[0]}:{address[1]}: {why}; anew in {wait:g} s")
            await asyncio.sleep(wait)

    async def _one_watch(self, address: config.Address) -> tuple[str, bool]:
        """Why it ended, and whether it ever said anything."""
        watch, loop = discovery.DiscoveryWatch(), asyncio.get_running_loop()
        self._watches_opened += 1
        number = self._watches_opened
        try:
            own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as fault:
            return f"{fault.strerror}", False
        self._open_watches[number] = stream = IOStream(own, max_buffer_size=2 * discovery.MAX_LINE_BYTES)
        try:
            await gen.with_timeout(
                timedelta(seconds=CONNECT),
                stream.connect(address),
                quiet_exceptions=(StreamClosedError, OSError),
            )
            stream.write(watch.request(f"{address[0]}:{address[1]}", self.core.endpoint_list.revision))
            asked = loop.time()
            while True:
                async with asyncio.timeout(SILENT):
                    data = await read_available(stream, 1 << 18)
                try:
                    found, lost = watch.receive(data), None
                except discovery.WatchLostError as fault:
                    found, lost = list(fault.updates), str(fault)
                for change in found:
                    self.core.on_endpoint_update(change, number)
                if watch.is_open:
                    self._spoken.set()
                if self.core.pending_events:
                    self._soon(0.0)  # a drain waits for nothing
                if lost is not None:
                    return lost, watch.is_open
                if not watch.is_open and loop.time() > asked + SILENT:
                    return "no watch", False  # bytes, but no answer of the kind: it went on so for good
        except TimeoutError:
            return "silent", watch.is_open
        except (StreamClosedError, OSError):
            return "closed", watch.is_open
        finally:
            stream.close()
            del self._open_watches[number]
            for behind in self.core.endpoint_list.end_watch(number):
                self._open_watches[behind].close()

    def _reload(self, left: int = AGAIN[0]) -> None:
        """SIGHUP: discovery may have moved. What is wrong with the file leaves all as it is; as it may have
        been caught half written, and nobody need send the signal twice, it is read again for a while."""
        if self._again is not None:
            self._again.cancel()
            self._again = None
        try:
            found = config.load_config(self._path)
        except config.ConfigError as fault:
            if left in (0, AGAIN[0]):
                self.log(f"reload: {fault}; the old configuration stays")
            if left:
                self._again = asyncio.get_running_loop().call_later(AGAIN[1], self._reload, left - 1)
            return
        if any(getattr(found, f) != getattr(self.conf, f) for f in ("listen", "socket_limit", "settings")):
            self.log("reload: listen, limits and settings can't change while running; they stay")
        moved = found.discovery != self.conf.discovery
        self.conf = replace(self.conf, discovery=found.discovery)
        self.log(f"reload: discovery at {found.discovery[0]}:{found.discovery[1]}")
        if moved:
            self._watch()  # the old watch goes on until it ends

    # Probes

    async def _probe(self, replica: int) -> None:
        name = self.core.identifiers.replicas.names[replica]
        member = self.core.endpoint_list.endpoints.get(name)
        began, outcome, load = self.now(), i.HealthCheckOutcome.UNREACHABLE, None
        try:
            client = HttpClient(*config.parse_address(member.address if member else ""))
            try:
                outcome, response = await health_checks.check_health(client, "/stats", PROBE, self._probing)
            finally:
                client.close()
            if response and response.body:
                report = orca.parse_report(response.body.decode("latin-1"), platform.FIELD_BY_METRIC)
                load = (
                    i.LoadReport(report.busy_share, report.in_flight, report.service_ms) if report else None
                )
        except ValueError as fault:  # no address, or a body that is no report
            self.log(f"probe of {name}: {fault}")
        now = self.core.endpoint_list.endpoints.get(name)
        if (now and (now.address, now.started_us)) != (member and (member.address, member.started_us)):
            # That was an earlier life, or who had its address. The module waits for an answer all the same:
            # without one, a replica that left and came back would stay ejected.
            return await self._probe(replica)
        self.core.on_health_checked(replica, outcome, self.now() - began, load)
        self._soon()
