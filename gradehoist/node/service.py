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
from gradehoist.governor import probes
from gradehoist.net.client import Client
from gradehoist.net.listener import Listener
from gradehoist.net.reading import part
from gradehoist.node import config, discovery
from gradehoist.node.core import Core, Refused
from gradehoist.node.log import Log
from gradehoist.protocol import lines, orca
from gradehoist.settings import platform

JOIN = 1.5  # seconds to join in: after one a connection may be closed, and its hello may have been held up
SWEEP = 0.1  # seconds between looks at those that have not joined
STEP = 0.004  # seconds in which what comes in is gathered for one step of the module
KEPT = 24  # descriptors for the loop, the log, the listener, watches and probes
UNREAD = 1 << 20  # bytes that a stream may leave unread: several tables of a large site
CONNECT = 1.0  # seconds for a connection to discovery
SILENT = 3 * discovery.BEAT / 2e6  # seconds without a sign of life after which a new watch is opened
RETRY = 0.1, 1.0  # seconds from the end of a watch to the next: at first, at most
READY = 0.7  # seconds that the first answer waits for discovery's first word
PROBE = 1.0  # seconds for a probe
PROBES = 4  # at once
TURN = 16_384  # bytes taken from one peer before all others have their turn: a flood of them takes 3 ms
HELD = 5.0, 0.05  # seconds in which an address that another process still holds is tried, and between tries
AGAIN = 10, 0.2  # readings of a wrong file after SIGHUP, and seconds between: it may be half written


class Peer:
    """One connection at the governor's address, and who it said it is."""

    def __init__(self, stream: IOStream, since: float) -> None:
        self.stream, self.since, self.door = stream, since, lines.Door()
        self.collector, self.asked = False, 0  # asked: for signs of life before there was one
        self.proxy, self.number = -1, 0  # of a proxy's stream

    @property
    def joined(self) -> bool:
        return self.collector or self.proxy >= 0


class Service:
    def __init__(self, conf: config.Config, path: Path) -> None:
        self.conf, self._path = conf, path
        # Unix time that never steps back: entries tell their starts in it, and delays are measured by it.
        self._epoch = time.time_ns() - time.monotonic_ns()
        self._trace = bool(os.environ.get("GRADEHOIST_TRACE"))
        self.core = Core(conf.names, conf.start, conf.saved, self.now(), self._trace)
        self.log = Log(sys.stderr.fileno(), 1_000.0 if self._trace else Log.RATE)
        self._most = min(conf.sockets, resource.getrlimit(resource.RLIMIT_NOFILE)[0]) - KEPT
        self._peers: dict[Peer, None] = {}
        self._strange: dict[Peer, None] = {}  # those that have not joined, the oldest first
        self._by_proxy: dict[int, Peer] = {}
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
                self._say(peer, lines.ALIVE * peer.asked)

    # Connections

    def _accepted(self, sock: socket.socket) -> None:
        if len(self._peers) >= self._most:
            if not self._strange:
                sock.close()
                return
            self._turn_away(next(iter(self._strange)), "no descriptor left for it")
        stream = IOStream(sock, max_buffer_size=2 * lines.MOST, max_write_buffer_size=UNREAD)
        stream.set_nodelay(True)
        peer = Peer(stream, time.monotonic())
        self._peers[peer] = self._strange[peer] = None
        self._own(self._connected(peer))

    async def _connected(self, peer: Peer) -> None:
        try:
            while True:
                data = await part(peer.stream, TURN)
                if peer not in self._peers:
                    # Turned away or replaced since the read was done: its hello would have ended the stream
                    # that its proxy has now.
                    return
                self._received(peer, data)
        except (StreamClosedError, ConnectionError):
            pass
        except lines.Unreadable as fault:
            self._refuse(peer, str(fault))
        finally:
            self._gone(peer)

    def _received(self, peer: Peer, data: bytes) -> None:
        if peer.proxy >= 0:
            self.core.heard(self.now(), peer.proxy, peer.number)
        try:
            for message in peer.door.receive(data):
                self._take(peer, message)
        finally:  # what was good counts at once, whatever came behind it
            if self.core.events:
                self._soon()
        if peer.door.fault:
            raise lines.Unreadable(peer.door.fault)

    def _take(self, peer: Peer, message: lines.Message) -> None:
        match message:
            case lines.Probe():
                if self._ready:
                    self._say(peer, lines.ALIVE)
                else:
                    peer.asked += 1
            case lines.Agent(zone) if not peer.joined:
                if zone not in self.core.names.zones:
                    raise lines.Unreadable(f"no zone {zone}")
                peer.collector = True
                self._known(peer)
            case lines.Hello() if not peer.joined:
                self._hello(peer, message)
            case lines.Outcomes() if peer.collector:
                self.core.met(message)
            case lines.Demand() if peer.joined:
                self.core.demanded(message, None if peer.collector else peer.proxy)
            case lines.Ack() if peer.proxy >= 0:
                self.core.acked(self.now(), peer.proxy, peer.number, message)
            case lines.Spoilt() if peer.joined:
                self.core.dropped(message)
            case _ if peer.joined:
                self.core.dropped(lines.Spoilt(type(message).__name__.lower(), "not from such a peer"))
            case _:
                raise lines.Unreadable("no joining")

    def _known(self, peer: Peer) -> None:
        peer.door.known = True
        self._strange.pop(peer, None)

    def _hello(self, peer: Peer, hello: lines.Hello) -> None:
        try:
            peer.number = self.core.joined(self.now(), hello)
        except Refused as fault:
            raise lines.Unreadable(str(fault)) from None
        peer.proxy = hello.proxy
        old = self._by_proxy.get(hello.proxy)
        self._by_proxy[hello.proxy] = peer
        self._known(peer)
        if old is not None:
            self._gone(old)  # nothing that it said counts from here on

    def _say(self, peer: Peer, data: bytes) -> bool:
        try:
            peer.stream.write(data)
        except StreamClosedError:
            return False
        except StreamBufferFullError:
            self.log(f"proxy {peer.proxy}: left {UNREAD} bytes unread")
            peer.stream.close()
            return False
        return True

    def _refuse(self, peer: Peer, why: str) -> None:
        if peer.joined:
            self.log(f"unreadable from {'a collector' if peer.collector else f'proxy {peer.proxy}'}: {why}")
        else:
            self._turn_away(peer, why)

    def _turn_away(self, peer: Peer, why: str) -> None:
        self._turned_away += 1
        self._say(peer, lines.error(why))
        self._gone(peer)

    def _gone(self, peer: Peer) -> None:
        peer.stream.close()
        self._peers.pop(peer, None)
        self._strange.pop(peer, None)
        if peer.proxy >= 0 and self._by_proxy.get(peer.proxy) is peer:
            del self._by_proxy[peer.proxy]
            self.core.left(peer.proxy, peer.number, "its stream ended")
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
        spoilt, self.core.spoilt = self.core.spoilt, type(self.core.spoilt)()
        for what, times in spoilt.items():
            self.log(f"spoilt, {times} times: {what}")
        if self.core.unanswered:
            self.log(f"unanswered, {self.core.unanswered} times: lost, or its stream is cut off")
            self.core.unanswered = 0
        self.log(
            f"holds {len(self.core.streams)} streams, {len(self._peers)} connections, "
            f"{len(self.core.held.members)} replicas, {self._turned_away} turned away, "
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
        out, self.core.out = self.core.out, []
        for proxy, number, data in out:
            peer = self._by_proxy.get(proxy)
            if peer is not None and peer.number == number:
                self._say(peer, data)
        due, self.core.probes = self.core.probes, []
        for replica in due:
            self._own(self._probe(replica))
        logs, self.core.logs = self.core.logs, []
        for text in logs:
            self.log(text)
        self.longest = max(self.longest, time.monotonic() - began)
        at = self.core.due()
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
        watch, loop = discovery.Watch(), asyncio.get_running_loop()
        self._watches_opened += 1
        number = self._watches_opened
        try:
            own = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as fault:
            return f"{fault.strerror}", False
        self._open_watches[number] = stream = IOStream(own, max_buffer_size=2 * discovery.LINE)
        try:
            await gen.with_timeout(
                timedelta(seconds=CONNECT),
                stream.connect(address),
                quiet_exceptions=(StreamClosedError, OSError),
            )
            stream.write(watch.request(f"{address[0]}:{address[1]}", self.core.held.revision))
            asked = loop.time()
            while True:
                async with asyncio.timeout(SILENT):
                    data = await part(stream, 1 << 18)
                try:
                    found, lost = watch.receive(data), None
                except discovery.Lost as fault:
                    found, lost = list(fault.found), str(fault)
                for change in found:
                    self.core.listed(change, number)
                if watch.opened:
                    self._spoken.set()
                if self.core.events:
                    self._soon(0.0)  # a drain waits for nothing
                if lost is not None:
                    return lost, watch.opened
                if not watch.opened and loop.time() > asked + SILENT:
                    return "no watch", False  # bytes, but no answer of the kind: it went on so for good
        except TimeoutError:
            return "silent", watch.opened
        except (StreamClosedError, OSError):
            return "closed", watch.opened
        finally:
            stream.close()
            del self._open_watches[number]
            for behind in self.core.held.ended(number):
                self._open_watches[behind].close()

    def _reload(self, left: int = AGAIN[0]) -> None:
        """SIGHUP: discovery may have moved. What is wrong with the file leaves all as it is; as it may have
        been caught half written, and nobody need send the signal twice, it is read again for a while."""
        if self._again is not None:
            self._again.cancel()
            self._again = None
        try:
            found = config.load(self._path)
        except config.Faulty as fault:
            if left in (0, AGAIN[0]):
                self.log(f"reload: {fault}; the old configuration stays")
            if left:
                self._again = asyncio.get_running_loop().call_later(AGAIN[1], self._reload, left - 1)
            return
        if any(getattr(found, f) != getattr(self.conf, f) for f in ("listen", "sockets", "settings")):
            self.log("reload: listen, limits and settings can't change while running; they stay")
        moved = found.discovery != self.conf.discovery
        self.conf = replace(self.conf, discovery=found.discovery)
        self.log(f"reload: discovery at {found.discovery[0]}:{found.discovery[1]}")
        if moved:
            self._watch()  # the old watch goes on until it ends

    # Probes

    async def _probe(self, replica: int) -> None:
        name = self.core.names.replicas.names[replica]
        member = self.core.held.members.get(name)
        began, outcome, load = self.now(), i.Outcome.UNREACHABLE, None
        try:
            client = Client(*config.address(member.address if member else ""))
            try:
                outcome, response = await probes.ask(client, "/stats", PROBE, self._probing)
            finally:
                client.close()
            if response and response.body:
                report = orca.read(response.body.decode("latin-1"), platform.LOAD)
                load = i.Load(report.busy, report.in_flight, report.service_ms) if report else None
        except ValueError as fault:  # no address, or a body that is no report
            self.log(f"probe of {name}: {fault}")
        now = self.core.held.members.get(name)
        if (now and (now.address, now.started)) != (member and (member.address, member.started)):
            # That was an earlier life, or who had its address. The module waits for an answer all the same:
            # without one, a replica that left and came back would stay ejected.
            return await self._probe(replica)
        self.core.probed(replica, outcome, self.now() - began, load)
        self._soon()
