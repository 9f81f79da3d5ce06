"""What a governor has heard of each cell, for people and for staged releases. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradehoist.protocol import feed


@dataclass(slots=True)
class CellCounters:
    """Since the governor's start: transactions and those not answered, tries at the cell's workers, those
    that failed, and the time that the good ones took (µs)."""

    requests: int = 0
    incomplete: int = 0
    attempts: int = 0
    failures: int = 0
    elapsed_us: int = 0


class CellStats:
    def __init__(self, cells: tuple[str, ...], workers: Mapping[str, str]) -> None:
        self.counters = {cell: CellCounters() for cell in cells}
        self.busy_shares: dict[str, float] = {}  # by worker: busy share as last reported
        self._workers = workers
        self._crews = {cell: [w for w, c in workers.items() if c == cell] for cell in cells}

    def add(self, sums: feed.ProxyLoadReport) -> None:
        """Sums that were taken; workers of no cell are left out."""
        for row in sums.attempts:
            if cell := self._workers.get(row.replica):
                count = self.counters[cell]
                count.attempts += row.attempts
                count.failures += row.failures
                count.elapsed_us += row.elapsed_us * (row.attempts - row.failures)
                if row.busy_share is not None:
                    self.busy_shares[row.replica] = row.busy_share
        for came in sums.requests:
            count = self.counters[came.request_class.partition("/")[0]]
            count.requests += came.requests
            count.incomplete += came.incomplete

    def status(self, listed: Mapping[str, feed.EndpointRecord]) -> dict[str, dict[str, float]]:
        """By cell: its counts, workers that are ready, their mean load and the room left."""
        out: dict[str, dict[str, float]] = {}
        for cell, count in self.counters.items():
            ready = [w for w in self._crews[cell] if (e := listed.get(w)) is not None and e.phase == "ready"]
            loads = [self.busy_shares[w] for w in ready if w in self.busy_shares]
            load = sum(loads) / len(loads) if loads else 0.0
            out[cell] = {
                "came": count.requests,
                "unanswered": count.incomplete,
                "tries": count.attempts,
                "bad": count.failures,
                "elapsed": count.elapsed_us,
                "ready": len(ready),
                "workers": len(self._crews[cell]),
                "load": round(load, 4),
                "headroom": round(max(0.0, 1 - load), 4),
            }
        return out
