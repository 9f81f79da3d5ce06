"""A role's membership: agent, members and claims on one clock, contacts over HTTP, news as log lines.

It never ends the role: a register that is away, full, slow or gone back costs coordination alone, and so does
a fault of this module, which is told as a bug.
"""

from __future__ import annotations

import asyncio
import contextlib
import uuid
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from gradehoist.coordination import store as r
from gradehoist.coordination.agent import Agent, Me, Member, News
from gradehoist.coordination.election import Claim
from gradehoist.coordination.members import Members, State, View
from gradehoist.net.client import Broken, Client, TimedOut, Unreachable
from gradehoist.net.coordination_client import Coordinator, Scribe, now
from gradehoist.net.etcd import Engine
from gradehoist.net.server import Answer, refusal
from gradehoist.settings import reader
from gradehoist.settings.fleet import Coordination
from gradehoist.store.sqlite_store import Embedded

JUDGE = 200_000  # µs between looks at all members: at each change of the register it would cost the fleet's
# size; nobody is suspected for less
CONTACT = 0.5  # seconds for a contact: within a site it takes milliseconds
QUIET = ("changed", "settled")  # news that are no log lines
WARNINGS = ("away", "doubt", "ended", "fenced", "outrun", "full", "unread")


def home(settings: Coordination) -> r.Home:
    if settings.engine is not None:
        return Engine(*settings.engine, settings.prefix)
    assert settings.folder is not None
    return Embedded(settings.folder)


class Membership:
    """`log` takes an event, whether it is a warning, and fields. `changed` hears keys of the register that
    changed; `settled` how a proposal ended; `ticked` is called after each turn; `failed` where none will come
    any more."""

    def __init__(
        self,
        settings: Coordination,
        role: str,
        name: str,
        zone: str,
        address: str,
        seed: int,
        log: Callable[..., None],
        scribe: Scribe | None = None,
        run: str = "",
    ) -> None:
        self.settings = settings
        me = Me(role, name, zone, run or f"{name}-{uuid.uuid4().hex[:8]}", address)
        # Chance of a process' own, or many started from one file would come back at one time.
        own = zlib.crc32(f"{seed}:{me.run}".encode())
        self.agent = Agent(me, settings.session, own)
        self.members = Members(me.member, settings.lost, settings.contact, own)
        self.claims = list[Claim]()
        self.changed: list[Callable[[str], None]] = []
        self.settled: list[Callable[[str, str], None]] = []
        self.ticked: list[Callable[[int], None]] = []
        self.failed: list[Callable[[], None]] = []
        self._log = log
        self._coordinator = Coordinator(self.agent, home(settings), self._news, self._tick, scribe)
        self._states = dict[str, State]()
        self._contacts = set[asyncio.Task[None]]()
        self._clients = dict[str, Client]()
        self._task: asyncio.Task[None] | None = None
        self._view, self._asked_view, self._viewing = View(), View(), ""
        self._cut, self._judge_at = False, 0

    async def run(self) -> None:
        """Until `leave`, or cancelled."""
        self._task = asyncio.ensure_future(self._coordinator.run())
        try:
            await asyncio.shield(self._task)
        except asyncio.CancelledError:
            raise
        except Exception as fault:  # a bug here must not take down what keeps the rules without it
            self._log("coordination_failed", True, reason=repr(fault))
            for failed in self.failed:
                failed()
        finally:
            self._task.cancel()
            await asyncio.gather(self._task, *self._contacts, return_exceptions=True)
            for client in self._clients.values():
                client.close()

    async def leave(self) -> None:
        """A planned end: others need not wait for the session to run out."""
        if self._task is not None and not self._task.done():
            await self._coordinator.leave(self._task)

    def claim(self, name: str, patience: int) -> Claim:
        rank = zlib.crc32(f"{self.agent.me.run}:{name}".encode()) / 2**32
        self.claims.append(Claim(name, patience, rank))
        return self.claims[-1]

    def propose(self, *changes: r.Change) -> str:
        """The proposal's token; empty, with a line in the log, for a record beyond the register's bounds."""
        try:
            token = self.agent.propose(*changes)
        except r.TooLarge as fault:
            self._log("register_too_large", True, reason=str(fault))
            return ""
        self._coordinator.kick()
        return token

    def status(self) -> dict[str, Any]:
        counts = dict[str, int]()
        for state in self._states.values():
            counts[state.value] = counts.get(state.value, 0) + 1
        return {
            "joined": self.agent.joined,
            "generation": self.agent.right.gen,
            "revision": self.agent.mirror.revision,
            "members": counts,
            "cut_off": self._cut,
            "rights": {c.name: c.right.gen for c in self.claims if c.right is not None},
        }

    def healthy(self, query: str) -> Answer:
        """A contact's answer: 204 if it means this run of the process, and not an earlier one."""
        good = query == f"run={self.agent.me.run}"
        return Answer(204) if good else refusal(410, f"this is {self.agent.me.run}")

    # Inside

    def _news(self, one: News) -> None:
        if one.kind not in QUIET:
            self._log(f"register_{one.kind}", one.kind in WARNINGS, **one.fields)
        if one.kind == "settled":
            token, how = one.fields["token"], one.fields["how"]
            if token == self._viewing:
                self._viewing = ""
                if how == "done":
                    self._view = self._asked_view
            for claim in self.claims:
                claim.settled(token, how)
            for settled in self.settled:
                settled(token, how)
        for key in one.fields["keys"] if one.kind == "changed" else ():
            if key.startswith("members/"):
                self.members.record(now(), key, self.agent.value(key, Member))
            elif key.startswith("views/"):
                self.members.view("members/" + key.removeprefix("views/"), self.agent.value(key, View))
            for changed in self.changed:
                changed(key)
        if one.kind in ("ended", "fenced"):
            self._view = View()  # its record went with the session

    def _tick(self, at: int) -> None:
        for claim in self.claims:
            had = claim.right
            claim.step(at, self.agent)
            if claim.right != had:
                held = claim.right is not None
                self._log(
                    "right_held" if held else "right_lost",
                    not held,
                    right=claim.name,
                    gen=(claim.right or had or self.agent.right).gen,
                )
        if at >= self._judge_at:
            self._judge_at = at + min(JUDGE, self.settings.contact)
            self._judge(self.members.judge(at))
            self._say(self.members.own_view(at))
        if (member := self.members.next(at)) is not None:
            task = asyncio.ensure_future(self._contact(member))
            self._contacts.add(task)
            task.add_done_callback(self._contacts.discard)
        for ticked in self.ticked:
            ticked(at)

    def _say(self, view: View) -> None:
        """Writes whom this process can't reach, where that has changed."""
        if view != self._view and not self._viewing and self.agent.joined:
            key = "views/" + self.agent.me.member.removeprefix("members/")
            self._asked_view = view
            self._viewing = self.propose(self.agent.put(key, view, own=True))

    def _judge(self, seen: Mapping[str, Any]) -> None:
        for key, one in seen.items():
            if self._states.get(key, State.HERE) is not one.state:
                self._log(
                    "member",
                    one.state is not State.HERE,
                    member=key.removeprefix("members/"),
                    state=one.state.value,
                )
        self._states = {k: v.state for k, v in seen.items()}
        if self.members.cut_off() is not self._cut:
            self._cut = not self._cut
            self._log("cut_off" if self._cut else "cut_off_ended", self._cut)
        if len(self._clients) > len(seen):
            known = {m.member.address for m in self.members.known.values()}
            for gone in self._clients.keys() - known:
                self._clients.pop(gone).close()

    async def _contact(self, member: Member) -> None:
        good = False
        with contextlib.suppress(Unreachable, Broken, TimedOut, ValueError):
            if member.address not in self._clients:
                self._clients[member.address] = Client(*reader.address(member.address))
            client = self._clients[member.address]
            response = await client.exchange("GET", f"/healthz?run={member.run}", timeout=CONTACT)
            good = response.status == 204
        key = f"members/{member.role}/{member.name}"
        self.members.contact(now(), key, member.gen, good)
