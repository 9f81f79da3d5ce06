"""Adds up the traffic counts of all governors, and keeps their recent history."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from gradehoist.cells.rollout import CountsByCell, TrafficCounts
from gradehoist.migration.queries import CONNECT_TIMEOUT_S, fetch_governor_status
from gradehoist.net.client import HttpClient
from gradehoist.settings.fleet import GovernorSettings


@dataclass(frozen=True)
class _GovernorCounts:
    """The last counts of one governor. The epoch changes each time the governor starts."""

    epoch: str
    counts: CountsByCell


@dataclass(frozen=True)
class _TimedTotals:
    """Total counts at a point in time."""

    time_s: float
    totals: CountsByCell


class TrafficMonitor:
    """Adds up the counts of all governors since the first poll of each.

    A governor that restarts counts from zero; the totals continue to grow from their last value. The owner
    calls `refresh` at intervals, and `close` at the end.

    Attributes:
        totals: The total counts by cell.
        last_complete_s: The time, on the monotonic clock, at which all governors last answered.
    """

    def __init__(
        self, governors: Iterable[GovernorSettings], cells: tuple[str, ...], retention_s: float
    ) -> None:
        """Starts with counts of zero; the history covers `retention_s` seconds."""
        self.totals = {cell: TrafficCounts() for cell in cells}
        self.last_complete_s = 0.0
        self._retention_s = retention_s
        self._clients = {
            governor.name: HttpClient(*governor.listen_address, connect_timeout_s=CONNECT_TIMEOUT_S)
            for governor in governors
        }
        self._last = dict[str, _GovernorCounts]()
        self._history = deque[_TimedTotals]()

    async def refresh(self) -> None:
        """Adds the latest counts to the totals; those of a governor that does not answer are missing."""
        is_complete = all(await asyncio.gather(*(self._refresh_governor(name) for name in self._clients)))
        now_s = time.monotonic()
        if is_complete:
            self.last_complete_s = now_s
        self._history.append(_TimedTotals(now_s, dict(self.totals)))
        while self._history[0].time_s < now_s - self._retention_s:
            self._history.popleft()

    def recent(self, seconds: float) -> dict[str, TrafficCounts]:
        """Returns the counts of the last `seconds`."""
        begin_s = time.monotonic() - seconds
        earlier = next((past.totals for past in self._history if past.time_s >= begin_s), self.totals)
        return self.since(earlier)

    def since(self, earlier: CountsByCell) -> dict[str, TrafficCounts]:
        """Returns the counts since earlier totals."""
        return {cell: counts.since(earlier[cell]) for cell, counts in self.totals.items()}

    def close(self) -> None:
        """Closes all connections."""
        for client in self._clients.values():
            client.close()

    async def _refresh_governor(self, name: str) -> bool:
        """Adds a governor's counts since the last poll; returns False if it does not answer."""
        status = await fetch_governor_status(self._clients[name])
        if status is None:
            return False
        current = _GovernorCounts(epoch=status["epoch"], counts=_parse_counts(status["cells"]))
        last = self._last.get(name)
        if last is None:
            earlier = current.counts  # counts from before the first poll are not part of the totals
        elif last.epoch and last.epoch != current.epoch:
            earlier = {}
        else:
            earlier = last.counts
        for cell, counts in current.counts.items():
            if cell in self.totals:
                new = counts.since(earlier.get(cell, TrafficCounts()))
                self.totals[cell] = self.totals[cell].plus(new)
        self._last[name] = current
        return True


def _parse_counts(cells: Mapping[str, Mapping[str, Any]]) -> dict[str, TrafficCounts]:
    return {
        cell: TrafficCounts(
            requests=figures["came"],
            incomplete=figures["unanswered"],
            successes=figures["tries"] - figures["bad"],
            elapsed_us=figures["elapsed"],
        )
        for cell, figures in cells.items()
    }
