"""Leader election: who may do what one process alone may do. Free of I/O.

Leadership is claimed by a higher generation and needs no clock. It may be taken from a living leader: that
costs the leader its next effect, which is rejected where it would be taken, and never leads to two. A
takeover therefore waits only out of courtesy: a leader whose member record has gone is given some time to
come back.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.notifications import CommitOutcome
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import RIGHTS_PREFIX, MemberRecord, OwnershipRecord

TAKEOVER_SPREAD = 4
"""Candidates claim one after the other, up to so many takeover delays later than the first."""


@dataclass
class LeaderElection:
    """One process' candidacy in the election called `name`.

    Attributes:
        name: Of the election; its record is `rights/NAME`.
        takeover_delay_us: How long a leader is given to come back.
        rank: From 0 to 1; orders the candidates in time.
        fencing_token: What this process leads under; None while it does not lead.
    """

    name: str
    takeover_delay_us: int
    rank: float = 0.0
    fencing_token: FencingToken | None = None
    _vacant_since_us: int | None = None
    _claim_id: str = ""
    _claimed_token: FencingToken | None = None

    @property
    def record_key(self) -> str:
        """Key of the election's ownership record."""
        return f"{RIGHTS_PREFIX}{self.name}"

    def advance(self, now_us: int, participant: Participant) -> None:
        """Compares with the cached record; claims leadership where no leader is there."""
        owner = participant.decode_record(self.record_key, OwnershipRecord)
        if owner is not None and self._is_own(owner, participant):
            self.fencing_token = owner.fencing_token
            self._vacant_since_us = None
            return
        if owner is not None and self._is_superseded_by(owner):
            self.fencing_token = None
        if self._claim_id or not participant.is_joined:
            return
        if owner is None:
            self._claim(participant)
            return
        if owner.holder != participant.identity.incarnation and _is_present(owner, participant):
            self._vacant_since_us = None
            return
        if self._vacant_since_us is None:
            self._vacant_since_us = now_us
        if now_us - self._vacant_since_us >= self.takeover_delay_us * (1 + TAKEOVER_SPREAD * self.rank):
            self._claim(participant)

    def on_commit_settled(self, commit_id: str, outcome: CommitOutcome) -> None:
        """Takes how a claim ended; one of unknown outcome shows in the cached record in time."""
        if commit_id != self._claim_id:
            return
        if outcome is CommitOutcome.COMMITTED:
            self.fencing_token = self._claimed_token
        self._claim_id = ""
        self._vacant_since_us = None

    def on_token_rejected(self, participant: Participant, known: FencingToken) -> None:
        """Whoever takes the effects knows a token that stands against this process' one."""
        if self.fencing_token is not None and known.generation >= self.fencing_token.generation:
            participant.records.raise_floor(self.record_key, known.generation)
            self.fencing_token = None

    def _is_own(self, owner: OwnershipRecord, participant: Participant) -> bool:
        floor = participant.records.generation_floors.get(self.record_key, 0)
        return owner.holder == participant.identity.incarnation and owner.generation > floor

    def _is_superseded_by(self, owner: OwnershipRecord) -> bool:
        return self.fencing_token is not None and owner.generation >= self.fencing_token.generation

    def _claim(self, participant: Participant) -> None:
        generation = participant.next_generation(self.record_key)
        self._claimed_token = FencingToken(generation, participant.identity.incarnation)
        owner = OwnershipRecord(
            generation=generation,
            holder=participant.identity.incarnation,
            member_key=participant.identity.member_key,
        )
        self._claim_id = participant.propose(participant.build_put(self.record_key, owner))


def _is_present(owner: OwnershipRecord, participant: Participant) -> bool:
    """Whether the member record of a holder is there."""
    if not owner.member_key:
        return False
    member = participant.decode_record(owner.member_key, MemberRecord)
    return member is not None and member.incarnation == owner.holder
