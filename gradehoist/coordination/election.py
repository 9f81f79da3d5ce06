"""Who may do what one process alone may do: claimed by a higher generation, given up by nobody's clock.

A claim may be taken from a living holder: that costs it its next effect, refused where it is taken, and never
a second one. So patience here is politeness: a holder whose member record has gone is given some time to come
back before another goes on. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.agent import MemberRecord, OwnershipRecord, Participant
from gradehoist.coordination.fencing import FencingToken

TAKEOVER_SPREAD = 4  # standing by, processes claim one after the other, up to that many patiences later


@dataclass
class LeaderElection:
    """Of `rights/NAME`; `patience` in µs; `rank` (0 to 1) sets those apart that stand by."""

    name: str
    takeover_delay_us: int
    rank: float = 0.0
    fencing_token: FencingToken | None = None
    _free_since: int = -1
    _token: str = ""
    _proposed: FencingToken | None = None

    @property
    def record_key(self) -> str:
        return f"rights/{self.name}"

    def advance(self, now: int, agent: Participant) -> None:
        """Looks at the copy; claims where nobody is there to hold it."""
        held: OwnershipRecord | None = agent.decode_record(self.record_key, OwnershipRecord)
        if (
            held is not None
            and held.holder == agent.identity.incarnation
            and held.generation > agent.generation_floors.get(self.record_key, 0)
        ):
            self.fencing_token, self._free_since = held.fencing_token, -1
            return
        if (
            held is not None
            and self.fencing_token is not None
            and held.generation >= self.fencing_token.generation
        ):
            self.fencing_token = None  # another went on
        if self._token or not agent.is_joined:
            return
        if held is not None and held.holder != agent.identity.incarnation and self._there(held, agent):
            self._free_since = -1
            return
        if self._free_since < 0:
            self._free_since = now
        if (
            now - self._free_since >= self.takeover_delay_us * (1 + TAKEOVER_SPREAD * self.rank)
            or held is None
        ):
            self._proposed = FencingToken(agent.next_generation(self.record_key), agent.identity.incarnation)
            self._token = agent.propose(
                agent.build_put(self.record_key, OwnershipRecord(*self._proposed, agent.identity.member_key))
            )

    @staticmethod
    def _there(held: OwnershipRecord, agent: Participant) -> bool:
        member: MemberRecord | None = (
            agent.decode_record(held.member_key, MemberRecord) if held.member_key else None
        )
        return member is not None and member.incarnation == held.holder

    def on_commit_settled(self, token: str, how: str) -> None:
        """How its proposal ended; an unknown end shows in the copy in time."""
        if token == self._token:
            if how == "done":
                self.fencing_token = self._proposed
            self._token, self._free_since = "", -1

    def on_token_rejected(self, agent: Participant, known: FencingToken) -> None:
        """The one who takes the effects knows a right that stands against this one."""
        if self.fencing_token is not None and known.generation >= self.fencing_token.generation:
            agent.raise_generation_floor(self.record_key, known.generation)
            self.fencing_token = None
