"""Who is there: suspicion before loss, and lost to me told apart from lost to most. Free of I/O.

Three sources, none of them proof: the register (a member's record goes with its session), contacts of this
process' own (one member a turn, in an order shuffled anew each round, so that the cost does not grow with the
fleet), and what the others say they can't reach. A member's record in the register that I can't reach is lost
to me; if most of the others who reach somebody say the same, it is lost to most. Who has lost most of those
that the register lists is the one cut off, and its word counts for nothing. Nobody is believed dead where an
effect is at stake: that is what generations are for.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

import msgspec

from gradehoist.coordination.agent import MemberRecord

SUSPECT_AFTER_MISSES = 2  # contacts missed in a row before a member is suspected: one is lost now and then


class MemberState(Enum):
    ALIVE = "here"
    SUSPECTED = "suspected"
    UNREACHABLE_LOCALLY = "lost to me"
    UNREACHABLE_BY_MAJORITY = "lost to most"
    ENDED = "ended"


class MemberStatus(NamedTuple):
    """`since` (µs) is when the state began."""

    state: MemberState
    since_us: int


class ReachabilityReport(msgspec.Struct, frozen=True):
    """A member's word on others: keys of those it can't reach; written when that changes alone. `cut` says
    that it has lost most of all, so that it is not counted."""

    unreachable: tuple[str, ...] = msgspec.field(default=(), name="lost")
    is_isolated: bool = msgspec.field(default=False, name="cut")


@dataclass
class _TrackedMember:
    member: MemberRecord
    missed_contacts: int = 0
    missed_since_us: int = 0
    record_gone_since_us: int = -1
    status: MemberStatus = field(default=MemberStatus(MemberState.ALIVE, 0))


class FailureDetector:
    """`own` is this process' member key. `lost` (µs): missed for so long, a suspect is lost; as long after
    its record went, a member without contact has ended. `every` (µs): between two contacts."""

    def __init__(self, own: str, lost: int, every: int, seed: int) -> None:
        self.own_key, self.lost_after_us, self.contact_interval_us, self.seed = own, lost, every, seed
        self.tracked = dict[str, _TrackedMember]()
        self.reports = dict[str, ReachabilityReport]()
        self._round = list[str]()
        self._drawn, self._next = 0, 0

    # What comes in

    def update_member(self, now: int, key: str, member: MemberRecord | None) -> None:
        """A member's record as the register has it; None where it went."""
        known = self.tracked.get(key)
        if member is None:
            if known is not None and known.record_gone_since_us < 0:
                known.record_gone_since_us = now
        elif known is None or member.generation > known.member.generation:
            # A higher generation is a new life: what was missed of the old one says nothing of it.
            self.tracked[key] = _TrackedMember(member, status=MemberStatus(MemberState.ALIVE, now))
        elif member.generation == known.member.generation and member.incarnation == known.member.incarnation:
            known.record_gone_since_us = -1
        # A lower one is an old record read late.

    def update_report(self, key: str, view: ReachabilityReport | None) -> None:
        if view is None:
            self.reports.pop(key, None)
        else:
            self.reports[key] = view

    def record_contact(self, now: int, key: str, gen: int, good: bool) -> None:
        """A contact's end. One with an earlier or a later life of the member is none."""
        known = self.tracked.get(key)
        if known is None or known.member.generation != gen:
            return
        if good:
            known.missed_contacts = 0
        else:
            known.missed_since_us = known.missed_since_us if known.missed_contacts else now
            known.missed_contacts += 1

    def next_contact(self, now: int) -> MemberRecord | None:
        """Whom to contact now, if it is time."""
        if now < self._next:
            return None
        self._next = now + self.contact_interval_us
        others = [k for k, v in self.tracked.items() if k != self.own_key and v.member.address]
        if not others:
            return None
        self._round = [k for k in self._round if k in self.tracked]
        if not self._round:
            self._drawn += 1
            salt = f"{self.seed}:{self._drawn}"
            self._round = sorted(others, key=lambda k: zlib.crc32(f"{salt}:{k}".encode()))
        return self.tracked[self._round.pop()].member

    # What it comes to

    def is_isolated(self) -> bool:
        """This process has lost most of those whose records stand: it is the one that is cut off."""
        others = [
            k
            for k in self.tracked.values()
            if k.record_gone_since_us < 0 and k.member.address and self._key(k.member) != self.own_key
        ]
        gone = sum(k.missed_contacts >= SUSPECT_AFTER_MISSES for k in others)
        return len(others) >= 2 and 2 * gone > len(others)

    def build_report(self, now: int) -> ReachabilityReport:
        lost = tuple(
            sorted(
                k
                for k, v in self.tracked.items()
                if k != self.own_key
                and v.missed_contacts >= SUSPECT_AFTER_MISSES
                and now - v.missed_since_us >= self.lost_after_us
            )
        )
        return ReachabilityReport(lost, self.is_isolated())

    def evaluate(self, now: int) -> Mapping[str, MemberStatus]:
        """Every member's state; those that ended long ago are forgotten."""
        voices = [
            v
            for k, v in self.reports.items()
            if not v.is_isolated
            and k in self.tracked
            and self.tracked[k].record_gone_since_us < 0
            and k != self.own_key
        ]
        for key, known in list(self.tracked.items()):
            state = self._state(now, key, known, voices)
            if state is not known.status.state:
                known.status = MemberStatus(state, now)
            if state is MemberState.ENDED and now - known.status.since_us > 10 * self.lost_after_us:
                del self.tracked[key]
        return {k: v.status for k, v in self.tracked.items()}

    def _state(
        self, now: int, key: str, known: _TrackedMember, voices: list[ReachabilityReport]
    ) -> MemberState:
        missed = now - known.missed_since_us if known.missed_contacts >= SUSPECT_AFTER_MISSES else -1
        if known.record_gone_since_us >= 0:
            # Its session may have ended by a pause alone: who answers me is suspected and not ended.
            answers = known.missed_contacts == 0 and known.member.address != ""
            over = now - known.record_gone_since_us >= self.lost_after_us
            return MemberState.ENDED if over and not answers else MemberState.SUSPECTED
        said = sum(key in v.unreachable for v in voices)
        if 2 * said > len(voices) and (said > 1 or (said and missed >= self.lost_after_us)):
            return MemberState.UNREACHABLE_BY_MAJORITY
        if missed < 0:
            return MemberState.ALIVE
        return MemberState.UNREACHABLE_LOCALLY if missed >= self.lost_after_us else MemberState.SUSPECTED

    @staticmethod
    def _key(member: MemberRecord) -> str:
        return f"members/{member.role}/{member.name}"
