"""A failure detector, which follows the state of all members of the fleet. Free of I/O.

It combines three sources:

- The coordination store, in which a member's record is deleted when its session ends.
- This process' own health checks. It checks one member at a time, in an order that is shuffled for each
  round, so that the cost does not grow with the size of the fleet.
- Reports of the other members about the members that they can't reach.

None of them is proof that a member has failed, so a member is suspected first. A member that is listed in the
store and that this process can't reach is unreachable locally. If most reports of the other members say the
same, it is unreachable by majority. A process that can't reach most of the members listed in the store is
itself isolated, and its report is ignored. Nothing relies on a member being dead: fencing tokens reject the
effects of one that is not.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

import msgspec

from gradehoist.coordination.records import MemberRecord

SUSPECT_AFTER_FAILED_CHECKS = 2
"""Failed health checks in a row after which a member is suspected. Single checks fail now and then."""

ISOLATED_MIN_OTHERS = 2
"""Isolation is evaluated from this number of other members on. With fewer, a member that can't be reached may
be the isolated one."""

FORGET_AFTER_LOST_PERIODS = 10
"""A member is removed when it has been in the state ENDED for this multiple of `lost_after_us`."""


class MemberState(Enum):
    """The state of a member. The values appear in the HTTP status and in the log."""

    ALIVE = "here"
    SUSPECTED = "suspected"
    UNREACHABLE_LOCALLY = "lost to me"
    UNREACHABLE_BY_MAJORITY = "lost to most"
    ENDED = "ended"


class MemberStatus(NamedTuple):
    """The state of a member, and since when it has been in this state."""

    state: MemberState
    since_us: int


class ReachabilityReport(msgspec.Struct, frozen=True):
    """A member's report about the other members. It is written to the store only when it changes.

    Attributes:
        unreachable: Keys of the members that the reporting member can't reach.
        is_isolated: Whether the reporting member can't reach most members, so that its report is ignored.
    """

    unreachable: tuple[str, ...] = msgspec.field(name="lost", default=())
    is_isolated: bool = msgspec.field(name="cut", default=False)


@dataclass
class _TrackedMember:
    member: MemberRecord
    status: MemberStatus
    failed_checks: int = 0
    failing_since_us: int = 0
    record_deleted_at_us: int | None = None

    @property
    def is_listed(self) -> bool:
        """Whether the member's record is in the store."""
        return self.record_deleted_at_us is None

    @property
    def is_failing_checks(self) -> bool:
        return self.failed_checks >= SUSPECT_AFTER_FAILED_CHECKS


class FailureDetector:
    """Follows the state of all members of the fleet for one process.

    Attributes:
        own_key: Key of this process' member record.
        lost_after_us: How long health checks have to fail before a member counts as unreachable. A member
            whose record has been missing for as long has ended, unless it responds to health checks.
        check_interval_us: Time from one health check to the next.
        seed: Determines the order of health checks.
        tracked: All members, by the key of their member record.
        reports: The reports of the members, by the key of their member record.
    """

    def __init__(self, own_key: str, lost_after_us: int, check_interval_us: int, seed: int) -> None:
        """Creates a detector without members."""
        self.own_key = own_key
        self.lost_after_us = lost_after_us
        self.check_interval_us = check_interval_us
        self.seed = seed
        self.tracked: dict[str, _TrackedMember] = {}
        self.reports: dict[str, ReachabilityReport] = {}
        self._unchecked_in_round: list[str] = []
        self._round_count = 0
        self._next_check_us = 0

    def update_member(self, now_us: int, key: str, member: MemberRecord | None) -> None:
        """Updates a member from its record in the store. A record of None was deleted."""
        tracked = self.tracked.get(key)
        if member is None:
            if tracked is not None and tracked.is_listed:
                tracked.record_deleted_at_us = now_us
        elif tracked is None or member.generation > tracked.member.generation:
            # A higher generation means a new incarnation, to which failed health checks of the old one do not
            # apply.
            self.tracked[key] = _TrackedMember(member, MemberStatus(MemberState.ALIVE, now_us))
        elif (
            member.generation == tracked.member.generation
            and member.incarnation == tracked.member.incarnation
        ):
            tracked.record_deleted_at_us = None
        # A record with a lower generation is out of date, and is ignored.

    def update_report(self, key: str, report: ReachabilityReport | None) -> None:
        """Stores the report of the member under `key`. A report of None was deleted."""
        if report is None:
            self.reports.pop(key, None)
        else:
            self.reports[key] = report

    def record_health_check(self, now_us: int, key: str, generation: int, succeeded: bool) -> None:
        """Records the result of a health check. One of another incarnation of the member is ignored."""
        tracked = self.tracked.get(key)
        if tracked is None or tracked.member.generation != generation:
            return
        if succeeded:
            tracked.failed_checks = 0
            return
        if tracked.failed_checks == 0:
            tracked.failing_since_us = now_us
        tracked.failed_checks += 1

    def next_member_to_check(self, now_us: int) -> MemberRecord | None:
        """Returns the member to check now, or None if no health check is due."""
        if now_us < self._next_check_us:
            return None
        self._next_check_us = now_us + self.check_interval_us
        others = [
            key for key, tracked in self.tracked.items() if key != self.own_key and tracked.member.address
        ]
        if not others:
            return None
        self._unchecked_in_round = [key for key in self._unchecked_in_round if key in self.tracked]
        if not self._unchecked_in_round:
            self._unchecked_in_round = self._shuffle(others)
        return self.tracked[self._unchecked_in_round.pop()].member

    def is_isolated(self) -> bool:
        """Whether this process can't reach most of the other members that are listed in the store."""
        others = [
            tracked
            for tracked in self.tracked.values()
            if tracked.is_listed and tracked.member.address and tracked.member.key != self.own_key
        ]
        unreachable_count = sum(tracked.is_failing_checks for tracked in others)
        return len(others) >= ISOLATED_MIN_OTHERS and 2 * unreachable_count > len(others)

    def build_report(self, now_us: int) -> ReachabilityReport:
        """Returns this process' own report."""
        unreachable = [
            key
            for key, tracked in self.tracked.items()
            if key != self.own_key
            and tracked.is_failing_checks
            and now_us - tracked.failing_since_us >= self.lost_after_us
        ]
        return ReachabilityReport(unreachable=tuple(sorted(unreachable)), is_isolated=self.is_isolated())

    def evaluate(self, now_us: int) -> Mapping[str, MemberStatus]:
        """Returns the status of every member, and removes members that ended long ago."""
        reports = self._valid_reports()
        for key, tracked in list(self.tracked.items()):
            state = self._state(now_us, key, tracked, reports)
            if state is not tracked.status.state:
                tracked.status = MemberStatus(state, now_us)
            lasted_us = now_us - tracked.status.since_us
            if state is MemberState.ENDED and lasted_us > FORGET_AFTER_LOST_PERIODS * self.lost_after_us:
                del self.tracked[key]
        return {key: tracked.status for key, tracked in self.tracked.items()}

    def _shuffle(self, keys: list[str]) -> list[str]:
        self._round_count += 1
        salt = f"{self.seed}:{self._round_count}"
        return sorted(keys, key=lambda key: zlib.crc32(f"{salt}:{key}".encode()))

    def _valid_reports(self) -> list[ReachabilityReport]:
        """Returns the reports of other members that are listed in the store and are not isolated."""
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
        if tracked.record_deleted_at_us is not None:
            # The session may have ended only because the process was paused, so a member that still responds
            # is suspected and does not count as ended.
            responds = tracked.failed_checks == 0 and tracked.member.address != ""
            deleted_for_us = now_us - tracked.record_deleted_at_us
            has_ended = deleted_for_us >= self.lost_after_us and not responds
            return MemberState.ENDED if has_ended else MemberState.SUSPECTED
        is_unreachable = tracked.is_failing_checks and now_us - tracked.failing_since_us >= self.lost_after_us
        confirming_reports = sum(key in report.unreachable for report in reports)
        is_confirmed = confirming_reports > 1 or (confirming_reports == 1 and is_unreachable)
        if 2 * confirming_reports > len(reports) and is_confirmed:
            return MemberState.UNREACHABLE_BY_MAJORITY
        if is_unreachable:
            return MemberState.UNREACHABLE_LOCALLY
        return MemberState.SUSPECTED if tracked.is_failing_checks else MemberState.ALIVE
