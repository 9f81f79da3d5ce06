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

from gradehoist.coordination.agent import Member

MISSED = 2  # contacts missed in a row before a member is suspected: one is lost now and then


class State(Enum):
    HERE = "here"
    SUSPECT = "suspected"
    LOST_TO_ME = "lost to me"
    LOST_TO_MOST = "lost to most"
    ENDED = "ended"


class Seen(NamedTuple):
    """`since` (µs) is when the state began."""

    state: State
    since: int


class View(msgspec.Struct, frozen=True):
    """A member's word on others: keys of those it can't reach; written when that changes alone. `cut` says
    that it has lost most of all, so that it is not counted."""

    lost: tuple[str, ...] = ()
    cut: bool = False


@dataclass
class _Known:
    member: Member
    missed: int = 0
    missed_since: int = 0
    record_gone: int = -1
    seen: Seen = field(default=Seen(State.HERE, 0))


class Members:
    """`own` is this process' member key. `lost` (µs): missed for so long, a suspect is lost; as long after
    its record went, a member without contact has ended. `every` (µs): between two contacts."""

    def __init__(self, own: str, lost: int, every: int, seed: int) -> None:
        self.own, self.lost, self.every, self.seed = own, lost, every, seed
        self.known = dict[str, _Known]()
        self.views = dict[str, View]()
        self._round = list[str]()
        self._drawn, self._next = 0, 0

    # What comes in

    def record(self, now: int, key: str, member: Member | None) -> None:
        """A member's record as the register has it; None where it went."""
        known = self.known.get(key)
        if member is None:
            if known is not None and known.record_gone < 0:
                known.record_gone = now
        elif known is None or member.gen > known.member.gen:
            # A higher generation is a new life: what was missed of the old one says nothing of it.
            self.known[key] = _Known(member, seen=Seen(State.HERE, now))
        elif member.gen == known.member.gen and member.run == known.member.run:
            known.record_gone = -1
        # A lower one is an old record read late.

    def view(self, key: str, view: View | None) -> None:
        if view is None:
            self.views.pop(key, None)
        else:
            self.views[key] = view

    def contact(self, now: int, key: str, gen: int, good: bool) -> None:
        """A contact's end. One with an earlier or a later life of the member is none."""
        known = self.known.get(key)
        if known is None or known.member.gen != gen:
            return
        if good:
            known.missed = 0
        else:
            known.missed_since = known.missed_since if known.missed else now
            known.missed += 1

    def next(self, now: int) -> Member | None:
        """Whom to contact now, if it is time."""
        if now < self._next:
            return None
        self._next = now + self.every
        others = [k for k, v in self.known.items() if k != self.own and v.member.address]
        if not others:
            return None
        self._round = [k for k in self._round if k in self.known]
        if not self._round:
            self._drawn += 1
            salt = f"{self.seed}:{self._drawn}"
            self._round = sorted(others, key=lambda k: zlib.crc32(f"{salt}:{k}".encode()))
        return self.known[self._round.pop()].member

    # What it comes to

    def cut_off(self) -> bool:
        """This process has lost most of those whose records stand: it is the one that is cut off."""
        others = [
            k
            for k in self.known.values()
            if k.record_gone < 0 and k.member.address and self._key(k.member) != self.own
        ]
        gone = sum(k.missed >= MISSED for k in others)
        return len(others) >= 2 and 2 * gone > len(others)

    def own_view(self, now: int) -> View:
        lost = tuple(
            sorted(
                k
                for k, v in self.known.items()
                if k != self.own and v.missed >= MISSED and now - v.missed_since >= self.lost
            )
        )
        return View(lost, self.cut_off())

    def judge(self, now: int) -> Mapping[str, Seen]:
        """Every member's state; those that ended long ago are forgotten."""
        voices = [
            v
            for k, v in self.views.items()
            if not v.cut and k in self.known and self.known[k].record_gone < 0 and k != self.own
        ]
        for key, known in list(self.known.items()):
            state = self._state(now, key, known, voices)
            if state is not known.seen.state:
                known.seen = Seen(state, now)
            if state is State.ENDED and now - known.seen.since > 10 * self.lost:
                del self.known[key]
        return {k: v.seen for k, v in self.known.items()}

    def _state(self, now: int, key: str, known: _Known, voices: list[View]) -> State:
        missed = now - known.missed_since if known.missed >= MISSED else -1
        if known.record_gone >= 0:
            # Its session may have ended by a pause alone: who answers me is suspected and not ended.
            answers = known.missed == 0 and known.member.address != ""
            over = now - known.record_gone >= self.lost
            return State.ENDED if over and not answers else State.SUSPECT
        said = sum(key in v.lost for v in voices)
        if 2 * said > len(voices) and (said > 1 or (said and missed >= self.lost)):
            return State.LOST_TO_MOST
        if missed < 0:
            return State.HERE
        return State.LOST_TO_ME if missed >= self.lost else State.SUSPECT

    @staticmethod
    def _key(member: Member) -> str:
        return f"members/{member.role}/{member.name}"
