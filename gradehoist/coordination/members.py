"""Which members of the fleet are there: a failure detector that suspects before it declares. Free of I/O.

It has three sources, none of them proof: the store (a member's record goes with its session), contacts of
this process' own (one member at a time, in an order shuffled for each round, so that the cost does not grow
with the fleet), and the reports of other members on whom they can't reach. A member whose record is there and
that this process can't reach is unreachable locally; if most of the others that reach anybody report the
same, it is unreachable by majority. A process that has lost most of the members listed in the store is itself
isolated, and its report does not count. No effect rests on a member being dead: that is what fencing tokens
are for.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgspec

from gradehoist.coordination.records import MemberRecord

SUSPECT_AFTER_MISSES = 2
"""Contacts missed in a row before a member is suspected: one is lost now and then."""

ISOLATED_MIN_OTHERS = 2
"""With fewer other members, one that can't be reached says nothing of who is cut off."""

FORGET_AFTER_LOST_TIMES = 10
"""An ended member is forgotten after so many times the period after which a suspect counts as lost."""


class MemberState(Enum):
    """What is known of a member. The values appear in the HTTP status and in the log."""

    ALIVE = "here"
    SUSPECTED = "suspected"
    UNREACHABLE_LOCALLY = "lost to me"
    UNREACHABLE_BY_MAJORITY = "lost to most"
    ENDED = "ended"


class MemberStatus(NamedTuple):
    """A member's state; `since_us` is when it began."""

    state: MemberState
    since_us: int


class ReachabilityReport(msgspec.Struct, frozen=True):
    """A member's report on others, written to the store only when it changes.

    Attributes:
        unreachable: Keys of the members that it can't reach.
        is_isolated: Whether it has lost most of all members, so that its report does not count.
    """

    unreachable: tuple[str, ...] = msgspec.field(name="lost", default=())
    is_isolated: bool = msgspec.field(name="cut", default=False)


@dataclass
class _TrackedMember:
    member: MemberRecord
    status: MemberStatus
    missed_contacts: int = 0
    missed_since_us: int = 0
    record_gone_since_us: int | None = None

    @property
    def is_listed(self) -> bool:
        """Whether its record is in the store."""
        return self.record_gone_since_us is None

    @property
    def misses_contacts(self) -> bool:
        return self.missed_contacts >= SUSPECT_AFTER_MISSES


class FailureDetector:
    """Follows all members of the fleet for one process, whose member key is `own_key`."""

    def __init__(self, own_key: str, lost_after_us: int, contact_interval_us: int, seed: int) -> None:
        """Takes its periods.

        A suspect that was missed for `lost_after_us` is unreachable; as long after its record went, a member
        without contact has ended. `seed` orders the contacts.
        """
        self.own_key = own_key
        self.lost_after_us = lost_after_us
        self.contact_interval_us = contact_interval_us
        self.seed = seed
        self.tracked: dict[str, _TrackedMember] = {}
        self.reports: dict[str, ReachabilityReport] = {}
        self._round: list[str] = []
        self._rounds = 0
        self._next_contact_us = 0

    def update_member(self, now_us: int, key: str, member: MemberRecord | None) -> None:
        """Takes a member's record as the store has it; None where it went."""
        tracked = self.tracked.get(key)
        if member is None:
            if tracked is not None and tracked.is_listed:
                tracked.record_gone_since_us = now_us
        elif tracked is None or member.generation > tracked.member.generation:
            # A higher generation is a new incarnation: contacts missed by the old one say nothing of it.
            self.tracked[key] = _TrackedMember(member, MemberStatus(MemberState.ALIVE, now_us))
        elif (
            member.generation == tracked.member.generation
            and member.incarnation == tracked.member.incarnation
        ):
            tracked.record_gone_since_us = None
        # A lower generation is an old record that was read late.

    def update_report(self, key: str, report: ReachabilityReport | None) -> None:
        """Takes the report of the member under `key`; None where it went."""
        if report is None:
            self.reports.pop(key, None)
        else:
            self.reports[key] = report

    def record_contact(self, now_us: int, key: str, generation: int, succeeded: bool) -> None:
        """Takes the end of a contact; one with another incarnation of the member does not count."""
        tracked = self.tracked.get(key)
        if tracked is None or tracked.member.generation != generation:
            return
        if succeeded:
            tracked.missed_contacts = 0
            return
        if tracked.missed_contacts == 0:
            tracked.missed_since_us = now_us
        tracked.missed_contacts += 1

    def next_contact(self, now_us: int) -> MemberRecord | None:
        """The member to contact now, if it is time for one."""
        if now_us < self._next_contact_us:
            return None
        self._next_contact_us = now_us + self.contact_interval_us
        others = [
            key for key, tracked in self.tracked.items() if key != self.own_key and tracked.member.address
        ]
        if not others:
            return None
        self._round = [key for key in self._round if key in self.tracked]
        if not self._round:
            self._round = self._shuffle(others)
        return self.tracked[self._round.pop()].member

    def is_isolated(self) -> bool:
        """Whether this process has lost most of the other members that the store lists."""
        others = [
            tracked
            for tracked in self.tracked.values()
            if tracked.is_listed and tracked.member.address and tracked.member.key != self.own_key
        ]
        lost_count = sum(tracked.misses_contacts for tracked in others)
        return len(others) >= ISOLATED_MIN_OTHERS and 2 * lost_count > len(others)

    def build_report(self, now_us: int) -> ReachabilityReport:
        """This process' own report."""
        unreachable = [
            key
            for key, tracked in self.tracked.items()
            if key != self.own_key
            and tracked.misses_contacts
            and now_us - tracked.missed_since_us >= self.lost_after_us
        ]
        return ReachabilityReport(unreachable=tuple(sorted(unreachable)), is_isolated=self.is_isolated())

    def evaluate(self, now_us: int) -> Mapping[str, MemberStatus]:
        """Every member's status; those that ended long ago are forgotten."""
        reports = self._reports_that_count()
        for key, tracked in list(self.tracked.items()):
            state = self._state(now_us, key, tracked, reports)
            if state is not tracked.status.state:
                tracked.status = MemberStatus(state, now_us)
            lasted_us = now_us - tracked.status.since_us
            if state is MemberState.ENDED and lasted_us > FORGET_AFTER_LOST_TIMES * self.lost_after_us:
                del self.tracked[key]
        return {key: tracked.status for key, tracked in self.tracked.items()}

    def _shuffle(self, keys: list[str]) -> list[str]:
        self._rounds += 1
        salt = f"{self.seed}:{self._rounds}"
        return sorted(keys, key=lambda key: zlib.crc32(f"{salt}:{key}".encode()))

    def _reports_that_count(self) -> list[ReachabilityReport]:
        return [
            report
            for key, report in self.reports.items()
            if not report.is_isolated
            and key != self.own_key
            and key in self.tracked
            and self.tracked[key].is_listed
        ]

    def _state(
        self, now_us: int, key: str, tracked: _TrackedMember, reports: list[ReachabilityReport]
    ) -> MemberState:
        if tracked.record_gone_since_us is not None:
            # Its session may have ended by a pause alone: one that responds is suspected and has not ended.
            responds = tracked.missed_contacts == 0 and tracked.member.address != ""
            gone_for_us = now_us - tracked.record_gone_since_us
            has_ended = gone_for_us >= self.lost_after_us and not responds
            return MemberState.ENDED if has_ended else MemberState.SUSPECTED
        is_lost = tracked.misses_contacts and now_us - tracked.missed_since_us >= self.lost_after_us
        reported = sum(key in report.unreachable for report in reports)
        is_confirmed = reported > 1 or (reported == 1 and is_lost)
        if 2 * reported > len(reports) and is_confirmed:
            return MemberState.UNREACHABLE_BY_MAJORITY
        if is_lost:
            return MemberState.UNREACHABLE_LOCALLY
        return MemberState.SUSPECTED if tracked.misses_contacts else MemberState.ALIVE
