"""Membership of a process in its fleet: session, elections, failure detection and log events on one clock.

Nothing in this package may interrupt the process' actual work. A coordination store that is unavailable,
full, slow or rolled back only affects coordination. A bug in this package is logged, and ends nothing but
coordination.
"""

from __future__ import annotations

import asyncio
import dataclasses
import uuid
import zlib
from collections.abc import Callable, Mapping
from typing import Any

from gradehoist.clock import monotonic_us
from gradehoist.coordination.election import LeaderElection
from gradehoist.coordination.members import FailureDetector, MemberState, MemberStatus, ReachabilityReport
from gradehoist.coordination.notifications import (
    CommitOutcome,
    CommitSettled,
    Notification,
    ProcessFenced,
    RecordsChanged,
    SessionEnded,
)
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import MEMBERS_PREFIX, MemberRecord, ProcessIdentity
from gradehoist.coordination.store import Change, CoordinationStore, RecordTooLargeError
from gradehoist.membership.health_checks import MemberHealthChecker
from gradehoist.membership.log_events import LOG_EVENTS
from gradehoist.net.coordination_client import CallRecorder, CoordinationClient
from gradehoist.net.etcd import EtcdStore
from gradehoist.net.server import ServerResponse, error_response
from gradehoist.settings.fleet import CoordinationSettings
from gradehoist.store.sqlite_store import SqliteStore

# Time between two assessments of all members. An assessment takes time in proportion to the size of the
# fleet, so there is not one for each change in the store. No member becomes suspected in a shorter time.
ASSESSMENT_INTERVAL_US = 200_000

REACHABILITY_PREFIX = "views/"


def open_store(settings: CoordinationSettings) -> CoordinationStore:
    """Open the coordination store of the settings: an etcd server or a folder on this machine."""
    if settings.etcd_address is not None:
        return EtcdStore(*settings.etcd_address, settings.key_prefix)
    assert settings.folder is not None
    return SqliteStore(settings.folder)


def new_incarnation(name: str) -> str:
    """Return a unique id for one run of the process `name`."""
    return f"{name}-{uuid.uuid4().hex[:8]}"


class Membership:
    """One process as a member of its fleet. The service of the process' role owns it.

    Attributes:
        settings: The settings of coordination.
        participant: The session with the coordination store, and the cached records.
        members: The failure detector for all members.
        elections: The leader elections in which this process is a candidate.
        key_listeners: Called with the key of each record that changed in the store.
        proposal_listeners: Called with the id and the outcome of each commit that this process proposed.
        tick_listeners: Called at the end of each tick with the time in µs.
        failure_listeners: Called once if a bug ended coordination, after which there are no more ticks.
    """

    def __init__(
        self,
        settings: CoordinationSettings,
        identity: ProcessIdentity,
        seed: int,
        log: Callable[..., None],
        recorder: CallRecorder | None = None,
    ) -> None:
        """Create a membership that has not joined. `run` joins the fleet.

        Args:
            settings: Where the coordination store is, and the times of coordination.
            identity: Role, name, zone, incarnation and address of this process.
            seed: The seed from the settings for random choices.
            log: Called with the name of a log event, whether it is a warning, and its fields.
            recorder: Records a history of all calls to the store, if given.
        """
        self.settings = settings
        # With the same seed, all processes with the same settings would retry at the same time.
        process_seed = zlib.crc32(f"{seed}:{identity.incarnation}".encode())
        self.participant = Participant(identity, settings.session_ttl_us, process_seed)
        self.members = FailureDetector(
            identity.member_key, settings.lost_after_us, settings.contact_interval_us, process_seed
        )
        self.elections = list[LeaderElection]()
        self.key_listeners: list[Callable[[str], None]] = []
        self.proposal_listeners: list[Callable[[str, CommitOutcome], None]] = []
        self.tick_listeners: list[Callable[[int], None]] = []
        self.failure_listeners: list[Callable[[], None]] = []
        self._log = log
        self._client = CoordinationClient(
            self.participant, open_store(settings), self._on_notification, self._on_tick, recorder
        )
        self._checker = MemberHealthChecker(self._on_health_checked)
        self._running: asyncio.Task[None] | None = None
        self._states = dict[str, MemberState]()
        self._is_isolated = False
        self._next_assessment_us = 0
        self._written_report = ReachabilityReport()
        self._proposed_report = ReachabilityReport()
        self._report_commit_id = ""  # the id of the commit of the proposed report; empty if none is pending

    async def run(self) -> None:
        """Take part in the fleet until `leave` is called or the task is cancelled.

        A bug in coordination is logged and also ends this call.
        """
        self._running = asyncio.ensure_future(self._client.run())
        try:
            await asyncio.wait([self._running])
            error = self._running.exception()
            if error is not None:
                self._on_failure(error)
        finally:
            self._running.cancel()
            await asyncio.gather(self._running, return_exceptions=True)
            await self._checker.close()

    async def leave(self) -> None:
        """End the session, so that the other processes need not wait for its expiry."""
        if self._running is not None and not self._running.done():
            await self._client.leave(self._running)

    def join_election(self, name: str, takeover_delay_us: int) -> LeaderElection:
        """Become a candidate in the leader election `name`.

        Args:
            name: Name of the election.
            takeover_delay_us: How long the leader's member record is missing before the first candidate
                claims.
        """
        rank = zlib.crc32(f"{self.participant.identity.incarnation}:{name}".encode()) / 2**32
        election = LeaderElection(name, takeover_delay_us, rank)
        self.elections.append(election)
        return election

    def propose(self, *changes: Change) -> str:
        """Propose a commit and return its id. If a record is too large, log that and return ""."""
        try:
            commit_id = self.participant.propose(*changes)
        except RecordTooLargeError as error:
            self._log("record_rejected", True, reason=str(error))
            return ""
        self._client.wake()
        return commit_id

    def status(self) -> dict[str, Any]:
        """Return the state of the membership for the HTTP status."""
        counts = dict[str, int]()
        for state in self._states.values():
            counts[state.value] = counts.get(state.value, 0) + 1
        return {
            "joined": self.participant.is_joined,
            "generation": self.participant.fencing_token.generation,
            "revision": self.participant.cache.revision,
            "members": counts,
            "cut_off": self._is_isolated,
            "rights": {
                election.name: election.fencing_token.generation
                for election in self.elections
                if election.fencing_token is not None
            },
        }

    def answer_health_check(self, query: str) -> ServerResponse:
        """Answer 204 to a health check of this incarnation, and 410 to one of an earlier incarnation."""
        incarnation = self.participant.identity.incarnation
        if query == f"run={incarnation}":
            return ServerResponse(204)
        return error_response(410, f"this is {incarnation}")

    def _on_failure(self, error: BaseException) -> None:
        """Log a bug in coordination, which must not end a process that works without it."""
        self._log("coordination_failed", True, reason=repr(error))
        for on_failure in self.failure_listeners:
            on_failure()

    def _on_notification(self, notification: Notification) -> None:
        log_event = LOG_EVENTS.get(type(notification))
        if log_event is not None:
            self._log(log_event.name, log_event.is_warning, **dataclasses.asdict(notification))
        match notification:
            case CommitSettled(commit_id, outcome, _):
                self._on_commit_settled(commit_id, outcome)
            case RecordsChanged(keys):
                for key in keys:
                    self._on_key_changed(key)
            case SessionEnded() | ProcessFenced():
                # The store deletes the report together with the session.
                self._written_report = ReachabilityReport()

    def _on_commit_settled(self, commit_id: str, outcome: CommitOutcome) -> None:
        if commit_id == self._report_commit_id:
            self._report_commit_id = ""
            if outcome is CommitOutcome.COMMITTED:
                self._written_report = self._proposed_report
        for election in self.elections:
            election.on_commit_settled(commit_id, outcome)
        for on_settled in self.proposal_listeners:
            on_settled(commit_id, outcome)

    def _on_key_changed(self, key: str) -> None:
        if key.startswith(MEMBERS_PREFIX):
            self.members.update_member(monotonic_us(), key, self.participant.decode_record(key, MemberRecord))
        elif key.startswith(REACHABILITY_PREFIX):
            member_key = MEMBERS_PREFIX + key.removeprefix(REACHABILITY_PREFIX)
            self.members.update_report(member_key, self.participant.decode_record(key, ReachabilityReport))
        for on_changed in self.key_listeners:
            on_changed(key)

    def _on_tick(self, now_us: int) -> None:
        for election in self.elections:
            self._advance_election(now_us, election)
        if now_us >= self._next_assessment_us:
            interval_us = min(ASSESSMENT_INTERVAL_US, self.settings.contact_interval_us)
            self._next_assessment_us = now_us + interval_us
            self._assess_members(self.members.evaluate(now_us))
            self._publish_reachability(self.members.build_report(now_us))
        member = self.members.next_member_to_check(now_us)
        if member is not None:
            self._checker.start_check(member)
        for on_tick in self.tick_listeners:
            on_tick(now_us)

    def _advance_election(self, now_us: int, election: LeaderElection) -> None:
        previous = election.fencing_token
        election.advance(now_us, self.participant)
        current = election.fencing_token
        if current == previous:
            return
        token = current or previous or self.participant.fencing_token
        self._log(
            "leadership_lost" if current is None else "leadership_acquired",
            current is None,
            election=election.name,
            generation=token.generation,
        )

    def _publish_reachability(self, report: ReachabilityReport) -> None:
        """Write the reachability report to the store if it has changed."""
        if report == self._written_report or self._report_commit_id or not self.participant.is_joined:
            return
        key = REACHABILITY_PREFIX + self.participant.identity.member_key.removeprefix(MEMBERS_PREFIX)
        self._proposed_report = report
        self._report_commit_id = self.propose(self.participant.build_put(key, report, owned_by_session=True))

    def _assess_members(self, statuses: Mapping[str, MemberStatus]) -> None:
        for key, status in statuses.items():
            if self._states.get(key, MemberState.ALIVE) is not status.state:
                self._log(
                    "member_state_changed",
                    status.state is not MemberState.ALIVE,
                    member=key.removeprefix(MEMBERS_PREFIX),
                    state=status.state.value,
                )
        self._states = {key: status.state for key, status in statuses.items()}
        self._update_isolation()
        if self._checker.connection_count > len(statuses):
            addresses = {tracked.member.address for tracked in self.members.tracked.values()}
            self._checker.retain_connections(addresses)

    def _update_isolation(self) -> None:
        is_isolated = self.members.is_isolated()
        if is_isolated is self._is_isolated:
            return
        self._is_isolated = is_isolated
        self._log("isolation_detected" if is_isolated else "isolation_ended", is_isolated)

    def _on_health_checked(self, member: MemberRecord, is_reached: bool) -> None:
        self.members.record_health_check(monotonic_us(), member.key, member.generation, is_reached)
