"""Who may do what one process alone may do: claimed by a higher generation, given up by nobody's clock.

A claim may be taken from a living holder: that costs it its next effect, refused where it is taken, and never
a second one. So patience here is politeness: a holder whose member record has gone is given some time to come
back before another goes on. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

from gradehoist.coordination.agent import Agent, Member, Named
from gradehoist.coordination.fencing import Right

DEALT = 4  # standing by, processes claim one after the other, up to that many patiences later


@dataclass
class Claim:
    """Of `rights/NAME`; `patience` in µs; `rank` (0 to 1) sets those apart that stand by."""

    name: str
    patience: int
    rank: float = 0.0
    right: Right | None = None
    _free_since: int = -1
    _token: str = ""
    _proposed: Right | None = None

    @property
    def key(self) -> str:
        return f"rights/{self.name}"

    def step(self, now: int, agent: Agent) -> None:
        """Looks at the copy; claims where nobody is there to hold it."""
        held: Named | None = agent.value(self.key, Named)
        if held is not None and held.holder == agent.me.run and held.gen > agent.floors.get(self.key, 0):
            self.right, self._free_since = held.right, -1
            return
        if held is not None and self.right is not None and held.gen >= self.right.gen:
            self.right = None  # another went on
        if self._token or not agent.joined:
            return
        if held is not None and held.holder != agent.me.run and self._there(held, agent):
            self._free_since = -1
            return
        if self._free_since < 0:
            self._free_since = now
        if now - self._free_since >= self.patience * (1 + DEALT * self.rank) or held is None:
            self._proposed = Right(agent.after(self.key), agent.me.run)
            self._token = agent.propose(agent.put(self.key, Named(*self._proposed, agent.me.member)))

    @staticmethod
    def _there(held: Named, agent: Agent) -> bool:
        member: Member | None = agent.value(held.by, Member) if held.by else None
        return member is not None and member.run == held.holder

    def settled(self, token: str, how: str) -> None:
        """How its proposal ended; an unknown end shows in the copy in time."""
        if token == self._token:
            if how == "done":
                self.right = self._proposed
            self._token, self._free_since = "", -1

    def refused(self, agent: Agent, known: Right) -> None:
        """The one who takes the effects knows a right that stands against this one."""
        if self.right is not None and known.gen >= self.right.gen:
            agent.floor(self.key, known.gen)
            self.right = None
