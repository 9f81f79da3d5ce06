"""TCP links between proxies, replicas and governors, on which a run injects network faults; role `links`.

A link forwards bytes without interpreting any protocol. The faults are:

- refused connections: the link has no listener, and open connections are reset;
- a blackhole: connections are accepted and nothing is forwarded;
- delay, lost responses, and connections that are reset before the request reaches the target;
- a bandwidth limit on responses, which all links of one target share.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from gradehoist.testbed.process import LOOPBACK, Process, create_random, read_monotonic_us
from gradehoist.testbed.scenario_plan import LinkPlan, Plan

LISTEN_BACKLOG = 1024
READ_SIZE = 1 << 16  # bytes
# SO_LINGER enabled with a timeout of 0 s, which makes close() send a reset.
LINGER_RESET = b"\1\0\0\0\0\0\0\0"


@dataclass(frozen=True)
class LinkFaults:
    """The faults of a link; the fields have the names that the command `injure` uses.

    The shares are probabilities for each chunk of bytes that the link reads.

    Attributes:
        refuse: Whether connections are refused and the open ones are reset.
        hole: Whether connections are accepted and nothing is forwarded.
        delay: Seconds of delay in each direction.
        lose: Share of responses that are lost; the client's connection is reset instead.
        reset: Share of requests whose connection is reset before they reach the target.
    """

    refuse: bool = False
    hole: bool = False
    delay: float = 0.0
    lose: float = 0.0
    reset: float = 0.0


@dataclass
class Bandwidth:
    """The bandwidth that all responses from one target share.

    Attributes:
        bytes_per_s: The limit; 0 means that there is none.
        free_at_us: When the transfers that were started so far are finished.
    """

    bytes_per_s: float = 0.0
    free_at_us: int = 0

    async def wait_for_transfer(self, size: int) -> None:
        """Waits until this many bytes are transferred, after all earlier transfers."""
        if self.bytes_per_s <= 0:
            return
        transfer_us = int(size / self.bytes_per_s * 1e6)
        self.free_at_us = max(self.free_at_us, read_monotonic_us()) + transfer_us
        await asyncio.sleep(max(0.0, (self.free_at_us - read_monotonic_us()) / 1e6))


class Listener(TCPServer):
    """The listener of a link; without it, the kernel refuses connections as if no process were running."""

    def __init__(self, link: Link) -> None:
        """Listens on the link's port. Raises OSError."""
        super().__init__()
        self._link = link
        self.listen(link.plan.port, LOOPBACK, backlog=LISTEN_BACKLOG)

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Forwards an accepted connection until it ends."""
        await self._link.forward(stream)


class Link:
    """One link with its open connections and its injected faults."""

    def __init__(self, plan: LinkPlan, owner: LinkProcess) -> None:
        """Creates the link without a listener."""
        self.plan = plan
        self.owner = owner
        self.faults = LinkFaults()
        self.connections: set[tuple[IOStream, IOStream]] = set()
        self.faults_changed = asyncio.Event()
        self.listener: Listener | None = None

    def listen(self) -> None:
        """Starts to accept connections unless the link already does."""
        if self.listener is None:
            self.listener = Listener(self)

    def inject(self, faults: LinkFaults) -> None:
        """Replaces the faults of the link and ends the connections that a blackhole held."""
        self.faults = faults
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()
        if not faults.refuse:
            self.listen()
        elif self.listener is not None:
            self.listener.stop()
            self.listener = None
            self.reset()

    def reset(self) -> None:
        """Resets all open connections."""
        for client, target in list(self.connections):
            _reset_stream(client)
            _reset_stream(target)

    async def forward(self, client: IOStream) -> None:
        """Forwards a connection in both directions until one side closes it."""
        target = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        connection = (client, target)
        self.connections.add(connection)
        try:
            if self.faults.hole:
                await self.faults_changed.wait()
                return
            await target.connect(self.plan.address)
            client.set_nodelay(True)
            target.set_nodelay(True)
            requests = asyncio.ensure_future(self._forward_requests(client, target))
            responses = asyncio.ensure_future(self._forward_responses(target, client))
            await asyncio.wait((requests, responses), return_when=asyncio.FIRST_COMPLETED)
            requests.cancel()
            responses.cancel()
        except (StreamClosedError, OSError):
            # The connection to the target failed: the client must see a reset, not an orderly close.
            _reset_stream(client)
        finally:
            self.connections.discard(connection)
            client.close()
            target.close()

    async def _forward_requests(self, client: IOStream, target: IOStream) -> None:
        with contextlib.suppress(StreamClosedError, OSError):
            while (data := await self._read(client)) is not None:
                if self.owner.random.random() < self.faults.reset:
                    _reset_stream(client)
                    return
                await target.write(data)

    async def _forward_responses(self, target: IOStream, client: IOStream) -> None:
        with contextlib.suppress(StreamClosedError, OSError):
            while (data := await self._read(target)) is not None:
                if self.owner.random.random() < self.faults.lose:
                    _reset_stream(client)
                    return
                await self.owner.bandwidth[self.plan.target].wait_for_transfer(len(data))
                await client.write(data)

    async def _read(self, source: IOStream) -> bytes | None:
        """Reads the next bytes and applies the delay.

        Returns:
            The bytes, or None if they were read during a blackhole, at whose end the source is reset.
        """
        data: bytes = await source.read_bytes(READ_SIZE, partial=True)
        if self.faults.hole:
            await self.faults_changed.wait()
            _reset_stream(source)
            return None
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        return data


def _reset_stream(stream: IOStream) -> None:
    if not stream.closed() and stream.socket is not None:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    stream.close()


class LinkProcess(Process):
    """Runs all links of the plan."""

    def __init__(self, plan: Plan, role: str, folder: Path) -> None:
        """Creates the links of the plan."""
        super().__init__(plan, role, folder)
        self.random = create_random(plan.seed, "links")
        self.bandwidth = {link.target: Bandwidth() for link in plan.links}
        self.links = [Link(link, self) for link in plan.links]

    async def start(self) -> None:
        """Listens on all links."""
        for link in self.links:
            link.listen()

    def on_command(self, command: dict[str, Any]) -> None:
        """Executes a command of the run.

        `injure` replaces the faults of the selected links, `reset` resets their connections, and `pace` sets
        the bandwidth limit of the named targets.
        """
        selected = [link for link in self.links if _is_selected(link.plan, command)]
        self.record("told", do=command["do"], links=len(selected))
        match command["do"]:
            case "injure":
                for link in selected:
                    link.inject(LinkFaults(**command["harm"]))
            case "reset":
                for link in selected:
                    link.reset()
            case "pace":
                for target in command["targets"]:
                    self.bandwidth[target].bytes_per_s = float(command["value"])
            case _:
                raise ValueError(f"unknown command {command['do']!r} for the links")


def _is_selected(plan: LinkPlan, command: dict[str, Any]) -> bool:
    """Returns whether a link matches all criteria that the command has.

    `zones`, `targets` and `relays` list what the link must belong to. `across` names a zone and matches links
    that have exactly one end in it.
    """
    if "zones" in command and plan.zone not in command["zones"]:
        return False
    if "targets" in command and plan.target not in command["targets"]:
        return False
    if "relays" in command and plan.proxy not in command["relays"]:
        return False
    if "across" not in command:
        return True
    zone = command["across"]
    return bool((plan.zone == zone) != (plan.target_zone == zone))
