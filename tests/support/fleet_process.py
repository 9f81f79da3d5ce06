"""A process of a fleet for tests: `python -m tests.support.fleet_process FILE`; FILE says in JSON what it is.

An actor joins the register, claims a right, and while it holds it orders effects of a ledger, one after the
other, and adds to a counter that all write. A ledger takes effects and keeps, in one line with each, what it
was shown. Both write histories. SIGTERM is a planned end.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import time
from pathlib import Path
from typing import Any

import msgspec

from gradehoist.coordination.fencing import Fence, FencingToken
from gradehoist.coordination.notifications import CommitOutcome
from gradehoist.history.recorder import HistoryRecorder
from gradehoist.history.records import (
    Effect,
    HistoryWriter,
    ProcessEvent,
    RejectedEffect,
    load_history,
    monotonic_us,
)
from gradehoist.membership.service import Membership
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response, json_response
from gradehoist.protocol import http
from gradehoist.settings.fleet import CoordinationSettings

LOCAL = "127.0.0.1"


class Spec(msgspec.Struct):
    """Times in seconds: `every` between effects, `step` from the look at the right to the effect. Without
    `guard` the ledger checks no generation."""

    role: str
    name: str
    port: int
    history: str
    folder: str = ""
    engine: int = 0
    ledger: int = 0
    session: float = 2.0
    lost: float = 1.0
    patience: float = 0.2
    every: float = 0.05
    step: float = 0.0
    counts: bool = True
    guard: bool = True
    jumps: bool = False  # its wall clock jumps by hours, forth and back


class Shown(msgspec.Struct):
    name: str
    gen: int
    holder: str
    item: str
    key: str = ""


def settings(spec: Spec) -> CoordinationSettings:
    return CoordinationSettings(
        Path(spec.folder) if spec.folder else None,
        (LOCAL, spec.engine) if spec.engine else None,
        "fleet/",
        int(spec.session * 1e6),
        int(spec.lost * 1e6),
        100_000,
        60_000_000,
        30_000_000,
    )


class Ledger:
    """Its history is what it keeps: a line is the effect and what it was shown, in one write."""

    def __init__(self, spec: Spec) -> None:
        self.spec, self.gate = spec, Fence()
        path = Path(spec.history)
        for line in load_history([path]) if path.exists() else []:
            if isinstance(line, Effect):
                token = FencingToken(line.generation, line.holder)
                self.gate = self.gate.present(line.resource, token).fence
        self.write = HistoryWriter(path, spec.name)

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        if request.method == "GET":
            return ServerResponse(204)
        shown: Shown = msgspec.json.decode(request.body, type=Shown)
        decision = self.gate.present(shown.name, FencingToken(shown.gen, shown.holder))
        against = decision.rejected_by
        if against is not None and self.spec.guard:
            self.write(
                RejectedEffect(
                    monotonic_us(),
                    self.spec.name,
                    shown.name,
                    shown.gen,
                    shown.holder,
                    shown.item,
                    against.generation,
                )
            )
            return json_response({"taken": False, "known": against})
        self.gate = decision.fence
        self.write(
            Effect(monotonic_us(), self.spec.name, shown.name, shown.gen, shown.holder, shown.item, shown.key)
        )
        return json_response({"taken": True})

    async def run(self, stop: asyncio.Event) -> None:
        server = HttpServer(self.handle)
        server.listen(self.spec.port, LOCAL)
        await stop.wait()


class Actor:
    def __init__(self, spec: Spec) -> None:
        self.spec = spec
        run = f"{spec.name}-{os.getpid()}"
        self.write = HistoryWriter(Path(spec.history), run)
        self.member = Membership(
            settings(spec),
            "actor",
            spec.name,
            "x",
            f"{LOCAL}:{spec.port}",
            1,
            self.log,
            HistoryRecorder(self.write, run),
            run,
        )
        self.claim = self.member.join_election("job", int(spec.patience * 1e6))
        self.member.proposal_listeners.append(self.settled)
        self.counting, self.items = "", 0

    def log(self, event: str, warn: bool, **fields: Any) -> None:
        self.write(
            ProcessEvent(monotonic_us(), self.write.process, event, {k: str(v) for k, v in fields.items()})
        )

    def settled(self, token: str, outcome: CommitOutcome) -> None:
        if token == self.counting:
            self.counting = ""

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        path, _, query = request.target.partition("?")
        if path == "/healthz":
            return self.member.answer_health_check(query)
        if path == "/status":
            agent = self.member.agent
            return json_response(
                self.member.status()
                | {
                    "counter": agent.decode_record("counter", int) or 0,
                    "items": self.items,
                    "idle": not agent.has_pending_commits,
                }
            )
        return error_response(404, "nothing here")

    async def act(self) -> None:
        """Looks at its right, takes its time, and orders an effect under what it saw."""
        client = HttpClient(LOCAL, self.spec.ledger)
        while True:
            await asyncio.sleep(self.spec.every)
            agent, right = self.member.agent, self.claim.fencing_token
            if self.spec.counts and agent.is_joined and not self.counting:
                self.counting = self.member.propose(
                    agent.build_put("counter", (agent.decode_record("counter", int) or 0) + 1)
                )
            if right is None or not agent.is_joined or not self.spec.ledger:
                continue
            self.items += 1
            item = f"{agent.identity.incarnation}:{self.items}"
            if self.spec.step:
                await asyncio.sleep(self.spec.step)
            body = msgspec.json.encode(Shown("job", right.generation, right.holder, item))
            with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
                answer = await client.request("POST", "/effect", body, timeout_s=2.0)
                found: dict[str, Any] = msgspec.json.decode(answer.body, type=dict[str, Any])
                if not found["taken"]:
                    self.claim.on_token_rejected(agent, FencingToken(*found["known"]))

    async def run(self, stop: asyncio.Event) -> None:
        server = HttpServer(self.handle)
        server.listen(self.spec.port, LOCAL)
        member, acting = asyncio.ensure_future(self.member.run()), asyncio.ensure_future(self.act())
        await stop.wait()
        acting.cancel()
        await self.member.leave()
        await asyncio.gather(member, acting, return_exceptions=True)


async def main() -> None:
    spec: Spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=Spec)
    if spec.jumps:
        # Twice a second. At every look no deadline of the HTTP client's would mean anything: it adds to the
        # wall clock and subtracts from it some milliseconds later.
        def jumping() -> float:
            return 1_800_000_000 + random.Random(time.monotonic_ns() // 500_000_000).uniform(-1e6, 1e6)

        time.time = jumping
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await (Ledger(spec) if spec.role == "ledger" else Actor(spec)).run(stop)


if __name__ == "__main__":
    asyncio.run(main())
