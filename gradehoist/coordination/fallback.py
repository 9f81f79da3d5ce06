"""What was last agreed, kept over an outage of the store for a stated time and then given up by a ramp.

Losing the store costs coordination and nothing else: during an outage the last agreed limits stand; after
`hold_us` each process ramps over `ramp_us` to what it does alone; once the store responds, it ramps in the
same way to what is agreed then. No limit is left in one step but for a lower one, which is safe at once. Free
of I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

UNLIMITED = 1.0
"""The limit of what a process does alone, as a share of it."""


@dataclass
class AgreedLimits:
    """Upper limits by name, as shares of what a process does alone.

    Attributes:
        hold_us: How long the limits stand without the store.
        ramp_us: How long a limit takes from 0 to 1.
        fencing_token: Under which the limits were agreed last.
    """

    hold_us: int
    ramp_us: int
    fencing_token: FencingToken | None = None
    _agreed: dict[str, float] = field(default_factory=dict)
    _in_force: dict[str, float] = field(default_factory=dict)
    _advanced_us: int = 0
    _lost_since_us: int | None = None

    def accept(self, now_us: int, token: FencingToken, limits: Mapping[str, float]) -> bool:
        """Takes limits agreed under `token`; returns False for a token that a newer one has ended."""
        if compare_tokens(token, self.fencing_token) in (TokenOrder.OLDER, TokenOrder.CONFLICTING):
            return False
        self._advance(now_us)
        self.fencing_token = token
        self._agreed = dict(limits)
        self._lower()
        return True

    def on_store_lost(self, now_us: int) -> None:
        """The store does not respond since now, or since an earlier such call."""
        if self._lost_since_us is None:
            self._advance(now_us)
            self._lost_since_us = now_us

    def on_store_recovered(self, now_us: int) -> None:
        """The store responds."""
        self._advance(now_us)
        self._lost_since_us = None
        self._lower()

    @property
    def is_store_lost(self) -> bool:
        """Whether the store does not respond."""
        return self._lost_since_us is not None

    def limits_at(self, now_us: int) -> dict[str, float]:
        """The limits in force now; a name that is not there is unlimited."""
        self._advance(now_us)
        return dict(self._in_force)

    def _lower(self) -> None:
        for name, agreed in self._agreed.items():
            self._in_force[name] = min(agreed, self._in_force.get(name, UNLIMITED))

    def _advance(self, now_us: int) -> None:
        """Moves the limits along the ramp, by the time since the last look in which they could move."""
        since_us = self._advanced_us
        self._advanced_us = now_us
        names = self._in_force.keys() | self._agreed.keys()
        if self._lost_since_us is None:
            self._ramp({name: self._agreed.get(name, UNLIMITED) for name in names}, now_us - since_us)
            return
        alone_from_us = self._lost_since_us + self.hold_us
        if now_us > alone_from_us:
            self._ramp(dict.fromkeys(names, UNLIMITED), now_us - max(since_us, alone_from_us))

    def _ramp(self, targets: dict[str, float], duration_us: int) -> None:
        step = duration_us / self.ramp_us
        for name, target in targets.items():
            current = self._in_force.get(name, UNLIMITED)
            self._in_force[name] = min(target, current + step) if target >= current else target
        self._in_force = {
            name: limit
            for name, limit in self._in_force.items()
            if limit < UNLIMITED or self._agreed.get(name, UNLIMITED) < UNLIMITED
        }
