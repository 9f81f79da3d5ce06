"""What was last agreed, kept over an outage of the register for a stated time, then left by a stated rule.

Losing the register costs coordination and nothing else: while it is away the last agreed value stands; after
`hold` each process goes back, by an even ramp over `fall`, to what it does alone; once the register answers,
it goes by the same ramp to what is agreed then. No value is ever left in one step but for one that is lower,
which is safe at once where values are ceilings. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens


@dataclass
class AgreedLimits:
    """Ceilings by name, 1.0 being what a process does alone; times in µs. `lost` is when the register was
    last heard, or -1 while it answers."""

    hold_us: int
    ramp_us: int
    fencing_token: FencingToken | None = None
    _goal: dict[str, float] = field(default_factory=dict)
    _now: dict[str, float] = field(default_factory=dict)
    _at: int = 0
    _lost: int = -1

    def accept(self, now: int, right: FencingToken, ceilings: dict[str, float]) -> bool:
        """Takes what is agreed under `right`; False for one that a newer has ended."""
        if compare_tokens(right, self.fencing_token) in (TokenOrder.OLDER, TokenOrder.CONFLICTING):
            return False
        self._move(now)
        self.fencing_token, self._goal = right, dict(ceilings)
        self._lower()
        return True

    def on_store_lost(self, now: int) -> None:
        if self._lost < 0:
            self._move(now)
            self._lost = now

    def on_store_recovered(self, now: int) -> None:
        self._move(now)
        self._lost = -1
        self._lower()

    @property
    def is_store_lost(self) -> bool:
        return self._lost >= 0

    def limits_at(self, now: int) -> dict[str, float]:
        """In force now; a name that is not there is at 1.0."""
        self._move(now)
        return dict(self._now)

    def _lower(self) -> None:
        for name, goal in self._goal.items():
            self._now[name] = min(goal, self._now.get(name, 1.0))

    def _move(self, now: int) -> None:
        """Up the ramp, by the time since the last look in which there was somewhere to go."""
        start, self._at = self._at, now
        alone_from = self._lost + self.hold_us if self._lost >= 0 else None
        goal = {n: self._goal.get(n, 1.0) for n in self._now.keys() | self._goal.keys()}
        if alone_from is None:
            self._ramp(goal, now - start)
        elif now > alone_from:
            self._ramp(dict.fromkeys(goal, 1.0), now - max(start, alone_from))

    def _ramp(self, goal: dict[str, float], time: int) -> None:
        step = time / self.ramp_us
        for name, to in goal.items():
            have = self._now.get(name, 1.0)
            self._now[name] = min(to, have + step) if to >= have else to
        self._now = {n: x for n, x in self._now.items() if x < 1.0 or self._goal.get(n, 1.0) < 1.0}
