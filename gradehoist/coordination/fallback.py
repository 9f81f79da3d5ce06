"""Holds the last agreed limits during an outage of the store, and relaxes them along a ramp. Free of I/O.

An outage of the store must not affect anything but coordination. The last agreed limits stay in force for
`hold_us`. After that each process raises them linearly, over `ramp_us`, up to what it does without
coordination. When the store responds again, the limits change to those agreed at that time. A limit is always
raised along the ramp, and is lowered at once, because a lower limit is safe.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gradehoist.coordination.fencing import FencingToken, TokenOrder, compare_tokens

UNLIMITED = 1.0
"""The limit that leaves a process as it is without coordination."""


@dataclass
class AgreedLimits:
    """Upper limits by name. A limit of 0.5 allows half of what a process does without coordination.

    Attributes:
        hold_us: How long the limits are held while the store is unavailable.
        ramp_us: How long raising a limit from 0 to 1 takes.
        fencing_token: The token of the leader whose limits were accepted last, or None before the first.
    """

    hold_us: int
    ramp_us: int
    fencing_token: FencingToken | None = None
    _agreed: dict[str, float] = field(default_factory=dict)
    _in_force: dict[str, float] = field(default_factory=dict)
    _advanced_us: int = 0
    _lost_since_us: int | None = None

    def accept(self, now_us: int, token: FencingToken, limits: Mapping[str, float]) -> bool:
        """Accepts limits that a leader wrote under `token`; returns False if `token` is outdated.

        A token is outdated if a newer one is known, or another one of the same generation.
        """
        if compare_tokens(token, self.fencing_token) in (TokenOrder.OLDER, TokenOrder.CONFLICTING):
            return False
        self._advance_ramp(now_us)
        self.fencing_token = token
        self._agreed = dict(limits)
        self._lower_limits()
        return True

    def on_store_lost(self, now_us: int) -> None:
        """Begins an outage of the store, unless one has begun already."""
        if self._lost_since_us is None:
            self._advance_ramp(now_us)
            self._lost_since_us = now_us

    def on_store_recovered(self, now_us: int) -> None:
        """Ends an outage of the store."""
        self._advance_ramp(now_us)
        self._lost_since_us = None
        self._lower_limits()

    @property
    def is_store_lost(self) -> bool:
        """Whether there is an outage of the store."""
        return self._lost_since_us is not None

    def limits_at(self, now_us: int) -> dict[str, float]:
        """Returns the limits in force now. Names that are not listed are unlimited."""
        self._advance_ramp(now_us)
        return dict(self._in_force)

    def _lower_limits(self) -> None:
        for name, agreed in self._agreed.items():
            self._in_force[name] = min(agreed, self._in_force.get(name, UNLIMITED))

    def _advance_ramp(self, now_us: int) -> None:
        """Moves the limits along the ramp by the time since the last call, less the time they were held."""
        since_us = self._advanced_us
        self._advanced_us = now_us
        names = self._in_force.keys() | self._agreed.keys()
        if self._lost_since_us is None:
            self._ramp_limits({name: self._agreed.get(name, UNLIMITED) for name in names}, now_us - since_us)
            return
        hold_ends_us = self._lost_since_us + self.hold_us
        if now_us > hold_ends_us:
            self._ramp_limits(dict.fromkeys(names, UNLIMITED), now_us - max(since_us, hold_ends_us))

    def _ramp_limits(self, targets: dict[str, float], duration_us: int) -> None:
        step = duration_us / self.ramp_us
        for name, target in targets.items():
            current = self._in_force.get(name, UNLIMITED)
            self._in_force[name] = min(target, current + step) if target >= current else target
        self._in_force = {
            name: limit
            for name, limit in self._in_force.items()
            if limit < UNLIMITED or self._agreed.get(name, UNLIMITED) < UNLIMITED
        }
