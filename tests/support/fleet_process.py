"""A process of a test fleet: `python -m tests.support.fleet_process FILE`. FILE holds its `ProcessSpec`.

There are two roles. An actor joins the fleet and is a candidate in an election. While it is the leader, it
requests effects of a ledger, one after the other. All actors also increment a counter in the coordination
store. A ledger applies effects, and persists the fencing token of each effect in the same line as the effect.
Both write histories, and both shut down gracefully on SIGTERM.
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

from gradehoist.clock import monotonic_us
from gradehoist.coordination.fencing import Fence, FencingToken
from gradehoist.coordination.notifications import CommitOutcome
from gradehoist.coordination.records import ProcessIdentity
from gradehoist.history.recorder import HistoryRecorder
from gradehoist.history.records import Effect, HistoryWriter, ProcessEvent, RejectedEffect, load_history
from gradehoist.membership.service import Membership
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.server import Connection, HttpServer, ServerResponse, error_response, json_response
from gradehoist.protocol import http
from gradehoist.settings.fleet import CoordinationSettings

LOCAL = "127.0.0.1"
COUNTER_KEY = "counter"
ELECTION = "job"


class ProcessSpec(msgspec.Struct):
    """The role and the settings of a process. Times are in seconds.

    Attributes:
        role: `actor` or `ledger`.
        name: Name of the process.
        port: Port at which the process listens.
        history: Path of its history.
        store_folder: Folder of the coordination store, if it is not etcd.
        etcd_port: Port of etcd; 0 if the coordination store is a folder.
        ledger_port: Port of the ledger; 0 if the actor requests no effects.
        session_s: Lifetime of a session that is not renewed.
        lost_after_s: How long health checks of a member fail before it counts as unreachable.
        takeover_delay_s: How long the leader's member record is missing before another actor takes over.
        effect_interval_s: Time between two effects of an actor.
        effect_delay_s: Time from reading the fencing token to requesting the effect.
        uses_counter: Whether an actor increments the shared counter.
        checks_tokens: Whether a ledger rejects effects of older tokens.
        clock_jumps: Whether the wall clock jumps by hours, forwards and backwards.
    """

    role: str
    name: str
    port: int
    history: str
    store_folder: str = ""
    etcd_port: int = 0
    ledger_port: int = 0
    session_s: float = 2.0
    lost_after_s: float = 1.0
    takeover_delay_s: float = 0.2
    effect_interval_s: float = 0.05
    effect_delay_s: float = 0.0
    uses_counter: bool = True
    checks_tokens: bool = True
    clock_jumps: bool = False


class EffectRequest(msgspec.Struct):
    """The request of an actor to apply an effect under its fencing token."""

    resource: str
    generation: int
    holder: str
    item: str
    key: str = ""


class EffectResponse(msgspec.Struct):
    """Whether the effect was applied. If not, `known` is the token because of which it was rejected."""

    taken: bool
    known: FencingToken | None = None


def coordination_settings(spec: ProcessSpec) -> CoordinationSettings:
    return CoordinationSettings(
        folder=Path(spec.store_folder) if spec.store_folder else None,
        etcd_address=(LOCAL, spec.etcd_port) if spec.etcd_port else None,
        key_prefix="fleet/",
        session_ttl_us=int(spec.session_s * 1e6),
        lost_after_us=int(spec.lost_after_s * 1e6),
        contact_interval_us=100_000,
        fallback_hold_us=60_000_000,
        fallback_ramp_us=30_000_000,
    )


class Ledger:
    """Applies effects. Its history is its only state: one write stores an effect and its token."""

    def __init__(self, spec: ProcessSpec) -> None:
        self.spec = spec
        self.fence = Fence()
        path = Path(spec.history)
        for entry in load_history([path]) if path.exists() else []:
            if isinstance(entry, Effect):
                token = FencingToken(entry.generation, entry.holder)
                self.fence = self.fence.present(entry.resource, token).fence
        self.write = HistoryWriter(path, spec.name)

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        if request.method == "GET":
            return ServerResponse(204)
        effect_request: EffectRequest = msgspec.json.decode(request.body, type=EffectRequest)
        token = FencingToken(effect_request.generation, effect_request.holder)
        decision = self.fence.present(effect_request.resource, token)
        if decision.rejected_by is not None and self.spec.checks_tokens:
            self.write(
                RejectedEffect(
                    time_us=monotonic_us(),
                    process=self.spec.name,
                    resource=effect_request.resource,
                    generation=effect_request.generation,
                    holder=effect_request.holder,
                    item=effect_request.item,
                    highest_generation=decision.rejected_by.generation,
                )
            )
            return json_response(EffectResponse(taken=False, known=decision.rejected_by))
        self.fence = decision.fence
        self.write(
            Effect(
                time_us=monotonic_us(),
                process=self.spec.name,
                resource=effect_request.resource,
                generation=effect_request.generation,
                holder=effect_request.holder,
                item=effect_request.item,
                key=effect_request.key,
            )
        )
        return json_response(EffectResponse(taken=True))

    async def run(self, stop: asyncio.Event) -> None:
        server = HttpServer(self.handle)
        server.listen(self.spec.port, LOCAL)
        await stop.wait()


class Actor:
    """Requests effects while it is the leader."""

    def __init__(self, spec: ProcessSpec) -> None:
        self.spec = spec
        incarnation = f"{spec.name}-{os.getpid()}"
        identity = ProcessIdentity(
            role="actor",
            name=spec.name,
            zone="x",
            incarnation=incarnation,
            address=f"{LOCAL}:{spec.port}",
        )
        self.write = HistoryWriter(Path(spec.history), incarnation)
        self.membership = Membership(
            coordination_settings(spec),
            identity,
            seed=1,
            log=self.log,
            recorder=HistoryRecorder(self.write, incarnation),
        )
        self.election = self.membership.join_election(ELECTION, int(spec.takeover_delay_s * 1e6))
        self.membership.proposal_listeners.append(self.on_commit_settled)
        self.counter_commit_id = ""
        self.effect_count = 0

    def log(self, event: str, is_warning: bool, **fields: Any) -> None:
        texts = {name: str(value) for name, value in fields.items()}
        self.write(
            ProcessEvent(time_us=monotonic_us(), process=self.write.process, event=event, fields=texts)
        )

    def on_commit_settled(self, commit_id: str, outcome: CommitOutcome) -> None:
        if commit_id == self.counter_commit_id:
            self.counter_commit_id = ""

    async def handle(self, request: http.Request, connection: Connection) -> ServerResponse:
        path, _, query = request.target.partition("?")
        if path == "/healthz":
            return self.membership.answer_health_check(query)
        if path == "/status":
            return json_response(self.status())
        return error_response(404, "not found")

    def status(self) -> dict[str, Any]:
        return self.membership.status() | {
            "counter": self.counter(),
            "effects": self.effect_count,
            "idle": not self.membership.participant.has_pending_commits,
        }

    def counter(self) -> int:
        counter: int | None = self.membership.participant.decode_record(COUNTER_KEY, int)
        return counter or 0

    async def request_effects(self) -> None:
        client = HttpClient(LOCAL, self.spec.ledger_port)
        participant = self.membership.participant
        while True:
            await asyncio.sleep(self.spec.effect_interval_s)
            token = self.election.fencing_token
            if self.spec.uses_counter and participant.is_joined and not self.counter_commit_id:
                self.counter_commit_id = self.membership.propose(
                    participant.build_put(COUNTER_KEY, self.counter() + 1)
                )
            if token is not None and participant.is_joined and self.spec.ledger_port:
                await self.request_effect(client, token)

    async def request_effect(self, client: HttpClient, token: FencingToken) -> None:
        self.effect_count += 1
        effect_request = EffectRequest(
            resource=ELECTION,
            generation=token.generation,
            holder=token.holder,
            item=f"{self.membership.participant.identity.incarnation}:{self.effect_count}",
        )
        if self.spec.effect_delay_s:
            await asyncio.sleep(self.spec.effect_delay_s)
        with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError):
            response = await client.request(
                "POST", "/effect", msgspec.json.encode(effect_request), timeout_s=2.0
            )
            effect_response: EffectResponse = msgspec.json.decode(response.body, type=EffectResponse)
            if effect_response.known is not None:
                self.election.on_token_rejected(self.membership.participant, effect_response.known)

    async def run(self, stop: asyncio.Event) -> None:
        server = HttpServer(self.handle)
        server.listen(self.spec.port, LOCAL)
        membership = asyncio.ensure_future(self.membership.run())
        requesting = asyncio.ensure_future(self.request_effects())
        await stop.wait()
        requesting.cancel()
        await self.membership.leave()
        await asyncio.gather(membership, requesting, return_exceptions=True)


def install_jumping_clock() -> None:
    """Replaces the wall clock by one that jumps twice a second.

    If it jumped at every call, the timeouts of the HTTP client would not work at all, because the client
    computes a deadline from the wall clock and compares it with the wall clock some milliseconds later.
    """

    def jumping_time() -> float:
        half_second = time.monotonic_ns() // 500_000_000
        return 1_800_000_000 + random.Random(half_second).uniform(-1e6, 1e6)

    time.time = jumping_time


async def main() -> None:
    spec: ProcessSpec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ProcessSpec)
    if spec.clock_jumps:
        install_jumping_clock()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    process = Ledger(spec) if spec.role == "ledger" else Actor(spec)
    await process.run(stop)


if __name__ == "__main__":
    asyncio.run(main())
