"""What a governor has heard of each cell, for people and for staged releases. Free of I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradehoist.protocol import feed


@dataclass(slots=True)
class Count:
    """Since the governor's start: transactions and those not answered, tries at the cell's workers, those
    that failed, and the time that the good ones took (µs)."""

    came: int = 0
    unanswered: int = 0
    tries: int = 0
    bad: int = 0
    elapsed: int = 0


class Tally:
    def __init__(self, cells: tuple[str, ...], workers: Mapping[str, str]) -> None:
        self.counts = {cell: Count() for cell in cells}
        self.load: dict[str, float] = {}  # by worker: busy share as last reported
        self._workers = workers
        self._crews = {cell: [w for w, c in workers.items() if c == cell] for cell in cells}

    def add(self, sums: feed.Sums) -> None:
        """Sums that were taken; workers of no cell are left out."""
        for row in sums.tries:
            if cell := self._workers.get(row.replica):
                count = self.counts[cell]
                count.tries += row.tries
                count.bad += row.bad
                count.elapsed += row.elapsed * (row.tries - row.bad)
                if row.busy is not None:
                    self.load[row.replica] = row.busy
        for came in sums.came:
            count = self.counts[came.cls.partition("/")[0]]
            count.came += came.number
            count.unanswered += came.unanswered

    def status(self, listed: Mapping[str, feed.Replica]) -> dict[str, dict[str, float]]:
        """By cell: its counts, workers that are ready, their mean load and the room left."""
        out: dict[str, dict[str, float]] = {}
        for cell, count in self.counts.items():
            ready = [w for w in self._crews[cell] if (e := listed.get(w)) is not None and e.phase == "ready"]
            loads = [self.load[w] for w in ready if w in self.load]
            load = sum(loads) / len(loads) if loads else 0.0
            out[cell] = {
                "came": count.came,
                "unanswered": count.unanswered,
                "tries": count.tries,
                "bad": count.bad,
                "elapsed": count.elapsed,
                "ready": len(ready),
                "workers": len(self._crews[cell]),
                "load": round(load, 4),
                "headroom": round(max(0.0, 1 - load), 4),
            }
        return out
