"""A role's membership: agent, members and claims on one clock, contacts over HTTP, news as log lines.

It never ends the role: a register that is away, full, slow or gone back costs coordination alone, and so does
a fault of this module, which is told as a bug.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import uuid
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from gradehoist.clock import monotonic_us
from gradehoist.coordination.election import LeaderElection
from gradehoist.coordination.members import FailureDetector, MemberState, ReachabilityReport
from gradehoist.coordination.notifications import (
    CommitOutcome,
    CommitSettled,
    FleetJoined,
    Notification,
    ProcessFenced,
    ProcessSuperseded,
    RecordDecodeFailed,
    RecordsChanged,
    SessionEnded,
    SessionRestored,
    SessionSuspended,
    StoreCapacityExhausted,
    StoreConnectionLost,
    StoreConnectionRestored,
)
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import MEMBERS_PREFIX, MemberRecord, ProcessIdentity
from gradehoist.coordination.store import Change, CoordinationStore, RecordTooLargeError
from gradehoist.net.client import ConnectError, ConnectionLostError, HttpClient, ResponseTimeoutError
from gradehoist.net.coordination_client import CallRecorder, CoordinationClient
from gradehoist.net.etcd import EtcdStore
from gradehoist.net.server import ServerResponse, error_response
from gradehoist.settings.fleet import CoordinationSettings
from gradehoist.settings.reader import parse_address
from gradehoist.store.sqlite_store import SqliteStore

ASSESSMENT_INTERVAL_US = (
    200_000  # µs between looks at all members: at each change of the register it would cost the fleet's
)
# size; nobody is suspected for less
CONTACT_TIMEOUT_S = 0.5  # seconds for a contact: within a site it takes milliseconds
LOG_EVENTS: dict[type[Any], str] = {
    FleetJoined: "fleet_joined",
    SessionRestored: "session_restored",
    SessionSuspended: "session_suspended",
    SessionEnded: "session_ended",
    ProcessSuperseded: "process_superseded",
    StoreConnectionLost: "store_connection_lost",
    StoreConnectionRestored: "store_connection_restored",
    ProcessFenced: "process_fenced",
    StoreCapacityExhausted: "store_capacity_exhausted",
    RecordDecodeFailed: "record_decode_failed",
}
"""Notifications that are logged; their fields are those of the type."""

INFORMATIVE_EVENTS = (FleetJoined, SessionRestored, StoreConnectionRestored)
"""Notifications that are no warning."""


def open_store(settings: CoordinationSettings) -> CoordinationStore:
    if settings.etcd_address is not None:
        return EtcdStore(*settings.etcd_address, settings.key_prefix)
    assert settings.folder is not None
    return SqliteStore(settings.folder)


class Membership:
    """`log` takes an event, whether it is a warning, and fields. `changed` hears keys of the register that
    changed; `settled` how a proposal ended; `ticked` is called after each turn; `failed` where none will come
    any more."""

    def __init__(
        self,
        settings: CoordinationSettings,
        role: str,
        name: str,
        zone: str,
        address: str,
        seed: int,
        log: Callable[..., None],
        recorder: CallRecorder | None = None,
        incarnation: str = "",
    ) -> None:
        self.settings = settings
        me = ProcessIdentity(role, name, zone, incarnation or f"{name}-{uuid.uuid4().hex[:8]}", address)
        # Chance of a process' own, or many started from one file would come back at one time.
        own = zlib.crc32(f"{seed}:{me.incarnation}".encode())
        self.agent = Participant(me, settings.session_ttl_us, own)
        self.members = FailureDetector(
            me.member_key, settings.lost_after_us, settings.contact_interval_us, own
        )
        self.elections = list[LeaderElection]()
        self.key_listeners: list[Callable[[str], None]] = []
        self.proposal_listeners: list[Callable[[str, CommitOutcome], None]] = []
        self.tick_listeners: list[Callable[[int], None]] = []
        self.failure_listeners: list[Callable[[], None]] = []
        self._log = log
        self._coordinator = CoordinationClient(
            self.agent, open_store(settings), self._news, self._tick, recorder
        )
        self._states = dict[str, MemberState]()
        self._contacts = set[asyncio.Task[None]]()
        self._clients = dict[str, HttpClient]()
        self._task: asyncio.Task[None] | None = None
        self._view, self._asked_view, self._viewing = ReachabilityReport(), ReachabilityReport(), ""
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
            for failed in self.failure_listeners:
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

    def join_election(self, name: str, takeover_delay_us: int) -> LeaderElection:
        rank = zlib.crc32(f"{self.agent.identity.incarnation}:{name}".encode()) / 2**32
        self.elections.append(LeaderElection(name, takeover_delay_us, rank))
        return self.elections[-1]

    def propose(self, *changes: Change) -> str:
        """The proposal's token; empty, with a line in the log, for a record beyond the register's bounds."""
        try:
            token = self.agent.propose(*changes)
        except RecordTooLargeError as fault:
            self._log("register_too_large", True, reason=str(fault))
            return ""
        self._coordinator.wake()
        return token

    def status(self) -> dict[str, Any]:
        counts = dict[str, int]()
        for state in self._states.values():
            counts[state.value] = counts.get(state.value, 0) + 1
        return {
            "joined": self.agent.is_joined,
            "generation": self.agent.fencing_token.generation,
            "revision": self.agent.cache.revision,
            "members": counts,
            "cut_off": self._cut,
            "rights": {
                c.name: c.fencing_token.generation for c in self.elections if c.fencing_token is not None
            },
        }

    def answer_health_check(self, query: str) -> ServerResponse:
        """A contact's answer: 204 if it means this run of the process, and not an earlier one."""
        good = query == f"run={self.agent.identity.incarnation}"
        return (
            ServerResponse(204) if good else error_response(410, f"this is {self.agent.identity.incarnation}")
        )

    # Inside

    def _news(self, notification: Notification) -> None:
        event = LOG_EVENTS.get(type(notification))
        if event is not None:
            fields = dataclasses.asdict(notification)
            self._log(event, not isinstance(notification, INFORMATIVE_EVENTS), **fields)
        match notification:
            case CommitSettled(commit_id, outcome, _):
                self._on_commit_settled(commit_id, outcome)
            case RecordsChanged(keys):
                for key in keys:
                    self._on_record_changed(key)
            case SessionEnded() | ProcessFenced():
                self._view = ReachabilityReport()  # its record went with the session

    def _on_commit_settled(self, commit_id: str, outcome: CommitOutcome) -> None:
        if commit_id == self._viewing:
            self._viewing = ""
            if outcome is CommitOutcome.COMMITTED:
                self._view = self._asked_view
        for election in self.elections:
            election.on_commit_settled(commit_id, outcome)
        for listener in self.proposal_listeners:
            listener(commit_id, outcome)

    def _on_record_changed(self, key: str) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self.members.update_member(monotonic_us(), key, self.agent.decode_record(key, MemberRecord))
        elif key.startswith("views/"):
            report = self.agent.decode_record(key, ReachabilityReport)
            self.members.update_report(MEMBERS_PREFIX + key.removeprefix("views/"), report)
        for listener in self.key_listeners:
            listener(key)

    def _tick(self, at: int) -> None:
        for claim in self.elections:
            had = claim.fencing_token
            claim.advance(at, self.agent)
            if claim.fencing_token != had:
                held = claim.fencing_token is not None
                self._log(
                    "right_held" if held else "right_lost",
                    not held,
                    right=claim.name,
                    gen=(claim.fencing_token or had or self.agent.fencing_token).generation,
                )
        if at >= self._judge_at:
            self._judge_at = at + min(ASSESSMENT_INTERVAL_US, self.settings.contact_interval_us)
            self._judge(self.members.evaluate(at))
            self._say(self.members.build_report(at))
        if (member := self.members.next_contact(at)) is not None:
            task = asyncio.ensure_future(self._contact(member))
            self._contacts.add(task)
            task.add_done_callback(self._contacts.discard)
        for ticked in self.tick_listeners:
            ticked(at)

    def _say(self, view: ReachabilityReport) -> None:
        """Writes whom this process can't reach, where that has changed."""
        if view != self._view and not self._viewing and self.agent.is_joined:
            key = "views/" + self.agent.identity.member_key.removeprefix(MEMBERS_PREFIX)
            self._asked_view = view
            self._viewing = self.propose(self.agent.build_put(key, view, owned_by_session=True))

    def _judge(self, seen: Mapping[str, Any]) -> None:
        for key, one in seen.items():
            if self._states.get(key, MemberState.ALIVE) is not one.state:
                self._log(
                    "member",
                    one.state is not MemberState.ALIVE,
                    member=key.removeprefix(MEMBERS_PREFIX),
                    state=one.state.value,
                )
        self._states = {k: v.state for k, v in seen.items()}
        if self.members.is_isolated() is not self._cut:
            self._cut = not self._cut
            self._log("cut_off" if self._cut else "cut_off_ended", self._cut)
        if len(self._clients) > len(seen):
            known = {m.member.address for m in self.members.tracked.values()}
            for gone in self._clients.keys() - known:
                self._clients.pop(gone).close()

    async def _contact(self, member: MemberRecord) -> None:
        good = False
        with contextlib.suppress(ConnectError, ConnectionLostError, ResponseTimeoutError, ValueError):
            if member.address not in self._clients:
                self._clients[member.address] = HttpClient(*parse_address(member.address))
            client = self._clients[member.address]
            response = await client.request(
                "GET", f"/healthz?run={member.incarnation}", timeout_s=CONTACT_TIMEOUT_S
            )
            good = response.status == 204
        self.members.record_contact(monotonic_us(), member.key, member.generation, good)
