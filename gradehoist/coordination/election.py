"""Leader election, for tasks that only one process at a time may do. Free of I/O.

A process claims leadership by writing a higher generation, which needs no clock. Leadership can be taken from
a leader that is still running. Effects of that leader are then rejected by their older fencing token, so
there are never two leaders whose effects are accepted. A takeover therefore needs no delay to be safe. The
delay only gives a leader whose member record is gone the time to return, which avoids needless changes of
leadership.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.fencing import FencingToken
from gradehoist.coordination.notifications import CommitOutcome
from gradehoist.coordination.participant import Participant
from gradehoist.coordination.records import ELECTIONS_PREFIX, MemberRecord, OwnershipRecord

TAKEOVER_SPREAD = 4
"""Number of takeover delays over which the claims of the candidates are spread by their rank, so that they
claim one after the other."""


@dataclass
class LeaderElection:
    """One process' candidacy in an election.

    Attributes:
        name: Name of the election. Its ownership record is stored as `rights/NAME`.
        takeover_delay_us: How long the leader's member record is missing before the first candidate claims.
        rank: A number from 0 to 1. Candidates with a higher rank claim later.
        fencing_token: The fencing token of this process as the leader, or None while it is not the leader.
    """

    name: str
    takeover_delay_us: int
    rank: float = 0.0
    fencing_token: FencingToken | None = None
    _leaderless_since_us: int | None = None
    _claim_commit_id: str = ""
    _claimed_token: FencingToken | None = None

    @property
    def record_key(self) -> str:
        """The key of the election's ownership record."""
        return f"{ELECTIONS_PREFIX}{self.name}"

    def advance(self, now_us: int, participant: Participant) -> None:
        """Updates `fencing_token` from the cached record, and claims leadership if there is no leader."""
        owner = participant.decode_record(self.record_key, OwnershipRecord)
        if owner is not None and self._is_own(owner, participant):
            self.fencing_token = owner.fencing_token
            self._leaderless_since_us = None
            return
        if owner is not None and self._is_superseded_by(owner):
            self.fencing_token = None
        if self._claim_commit_id or not participant.is_joined:
            return
        if owner is None:
            self._claim(participant)
            return
        if owner.holder != participant.identity.incarnation and _has_member_record(owner, participant):
            self._leaderless_since_us = None
            return
        if self._leaderless_since_us is None:
            self._leaderless_since_us = now_us
        if now_us - self._leaderless_since_us >= self.takeover_delay_us * (1 + TAKEOVER_SPREAD * self.rank):
            self._claim(participant)

    def on_commit_settled(self, commit_id: str, outcome: CommitOutcome) -> None:
        """Handles the outcome of a commit if it is this process' claim.

        If the outcome is unknown, the cached record shows later whether the claim was committed.
        """
        if commit_id != self._claim_commit_id:
            return
        if outcome is CommitOutcome.COMMITTED:
            self.fencing_token = self._claimed_token
        self._claim_commit_id = ""
        self._leaderless_since_us = None

    def on_token_rejected(self, participant: Participant, known: FencingToken) -> None:
        """Gives up leadership after an effect was rejected because of the token `known`."""
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
        self._claim_commit_id = participant.propose(participant.build_put(self.record_key, owner))


def _has_member_record(owner: OwnershipRecord, participant: Participant) -> bool:
    """Whether the holder has a member record for the same incarnation."""
    if not owner.member_key:
        return False
    member = participant.decode_record(owner.member_key, MemberRecord)
    return member is not None and member.incarnation == owner.holder
