"""Links: every connection of relays and governors runs through one, where the day cuts, delays or loses it.

A link carries bytes and knows no protocol. Its ways to injure: `refuse` (no listener, open ones reset),
`hole` (takes all, carries nothing), `delay` (each way), `lose` (a share of answers is cut off after the work
was asked for), `pace` (bytes a second, shared by all links of one target). Role `links`.
"""

from __future__ import annotations

import asyncio
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from gradehoist.testbed import scenario_plan as p
from gradehoist.testbed.process import Process, create_random, read_monotonic_us


@dataclass
class LinkFaults:
    refuse: bool = False
    hole: bool = False
    delay: float = 0.0  # seconds each way
    lose: float = 0.0  # part of the exchanges whose answer is lost
    reset: float = 0.0  # part of the exchanges that are reset before they reach the target


@dataclass
class Bandwidth:
    """Bytes a second to the readers of one target; 0: no limit."""

    rate: float = 0.0
    free_at: int = 0

    async def pay(self, size: int) -> None:
        if self.rate > 0:
            self.free_at = max(self.free_at, read_monotonic_us()) + int(size / self.rate * 1e6)
            await asyncio.sleep(max(0.0, (self.free_at - read_monotonic_us()) / 1e6))


class Listener(TCPServer):
    """A listener that can be taken away, so that a dial is refused by the system as for a dead process."""

    def __init__(self, link: Link) -> None:
        super().__init__()
        self._link = link
        self.listen(link.plan.port, "127.0.0.1", backlog=1024)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        await self._link.handle(stream)


class Link:
    def __init__(self, plan: p.LinkPlan, owner: LinkProcess) -> None:
        self.plan, self.owner, self.harm = plan, owner, LinkFaults()
        self.open: set[tuple[IOStream, IOStream]] = set()
        self.mended = asyncio.Event()
        self.door: Listener | None = None

    def listen(self) -> None:
        self.door = self.door or Listener(self)

    def injure(self, **harm: Any) -> None:
        self.harm = LinkFaults(**harm)
        self.mended.set()
        self.mended = asyncio.Event()
        if self.harm.refuse and self.door:
            self.door.stop()
            self.door = None
            self.reset()
        elif not self.harm.refuse:
            self.listen()

    def reset(self) -> None:
        for near, far in list(self.open):
            for stream in (near, far):
                _abort(stream)

    async def handle(self, near: IOStream) -> None:
        far = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        pair = (near, far)
        self.open.add(pair)
        try:
            if self.harm.hole:
                await self.mended.wait()
                return
            await far.connect(self.plan.address)
            near.set_nodelay(True)
            far.set_nodelay(True)
            there = asyncio.ensure_future(self._carry(near, far, answers=False))
            back = asyncio.ensure_future(self._carry(far, near, answers=True))
            await asyncio.wait((there, back), return_when=asyncio.FIRST_COMPLETED)
            there.cancel()
            back.cancel()
        except (StreamClosedError, OSError):
            _abort(near)  # the target does not listen: what dialled shall see a reset, not an end
        finally:
            self.open.discard(pair)
            near.close()
            far.close()

    async def _carry(self, source: IOStream, sink: IOStream, answers: bool) -> None:
        chance = self.owner.chance
        try:
            while True:
                data = await source.read_bytes(1 << 16, partial=True)
                if self.harm.hole:
                    await self.mended.wait()
                    _abort(source)
                    return
                if self.harm.delay:
                    await asyncio.sleep(self.harm.delay)
                if not answers and chance.random() < self.harm.reset:
                    _abort(source)
                    return
                if answers and chance.random() < self.harm.lose:
                    _abort(sink)
                    return
                if answers:
                    await self.owner.pace[self.plan.target].pay(len(data))
                await sink.write(data)
        except (StreamClosedError, OSError):
            pass


def _abort(stream: IOStream) -> None:
    if not stream.closed() and stream.socket is not None:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    stream.close()


class LinkProcess(Process):
    def __init__(self, plan: p.Plan, role: str, folder: Path) -> None:
        super().__init__(plan, role, folder)
        self.chance = create_random(plan.seed, "links")
        self.pace = {link.target: Bandwidth() for link in plan.links}
        self.all = [Link(link, self) for link in plan.links]

    async def start(self) -> None:
        for link in self.all:
            link.listen()

    def _chosen(self, do: dict[str, Any]) -> list[Link]:
        """Links that fit every part named: `zones`, `targets`, `relays`, and `across` a zone's border."""
        out = []
        for link in self.all:
            fits = (
                ("zones" not in do or link.plan.zone in do["zones"])
                and ("targets" not in do or link.plan.target in do["targets"])
                and ("relays" not in do or link.plan.proxy in do["relays"])
                and (
                    "across" not in do
                    or (link.plan.zone == do["across"]) != (link.plan.target_zone == do["across"])
                )
            )
            if fits:
                out.append(link)
        return out

    def on_command(self, do: dict[str, Any]) -> None:
        chosen = self._chosen(do)
        self.record("told", do=do["do"], links=len(chosen))
        match do["do"]:
            case "injure":
                for link in chosen:
                    link.injure(**do["harm"])
            case "reset":
                for link in chosen:
                    link.reset()
            case "pace":
                for target in do["targets"]:
                    self.pace[target].rate = float(do["value"])
            case _:
                raise ValueError(f"unknown order {do['do']!r}")
