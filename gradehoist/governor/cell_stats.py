"""Counters of each cell from load reports, for the HTTP status and staged rollouts.

This module does no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from gradehoist.protocol.feed import EndpointRecord, ProxyLoadReport


@dataclass(slots=True)
class CellCounters:
    """Counts of one cell since the governor's start.

    Attributes:
        requests: requests that proxies received.
        incomplete: requests that were not completed.
        attempts: attempts at the cell's replicas.
        failures: attempts that failed.
        elapsed_us: time that the successful attempts took in total.
    """

    requests: int = 0
    incomplete: int = 0
    attempts: int = 0
    failures: int = 0
    elapsed_us: int = 0


class CellStats:
    """Counters of all cells, and the load that their replicas last reported. The core owns it."""

    def __init__(self, cells: tuple[str, ...], cell_by_replica: Mapping[str, str]) -> None:
        """Creates counters of 0 for all cells."""
        self.counters = {cell: CellCounters() for cell in cells}
        self.busy_shares: dict[str, float] = {}  # by replica
        self._cell_by_replica = cell_by_replica
        self._replicas = {
            cell: [replica for replica, its_cell in cell_by_replica.items() if its_cell == cell]
            for cell in cells
        }

    def add(self, report: ProxyLoadReport) -> None:
        """Adds an accepted load report; rows of replicas that belong to no cell are skipped."""
        for row in report.attempts:
            cell = self._cell_by_replica.get(row.replica)
            if not cell:
                continue
            counters = self.counters[cell]
            counters.attempts += row.attempts
            counters.failures += row.failures
            counters.elapsed_us += row.elapsed_us * (row.attempts - row.failures)
            if row.busy_share is not None:
                self.busy_shares[row.replica] = row.busy_share
        for offered in report.requests:
            counters = self.counters[offered.request_class.partition("/")[0]]
            counters.requests += offered.requests
            counters.incomplete += offered.incomplete

    def status(self, endpoints: Mapping[str, EndpointRecord]) -> dict[str, dict[str, float]]:
        """Returns the `cells` object of the HTTP status.

        It holds the counters of each cell, the number of its replicas, their mean load and the headroom.
        """
        return {cell: self._cell_status(cell, endpoints) for cell in self.counters}

    def _cell_status(self, cell: str, endpoints: Mapping[str, EndpointRecord]) -> dict[str, float]:
        counters = self.counters[cell]
        ready = [
            replica
            for replica in self._replicas[cell]
            if (endpoint := endpoints.get(replica)) is not None and endpoint.phase == "ready"
        ]
        shares = [self.busy_shares[replica] for replica in ready if replica in self.busy_shares]
        load = sum(shares) / len(shares) if shares else 0.0
        return {
            "came": counters.requests,
            "unanswered": counters.incomplete,
            "tries": counters.attempts,
            "bad": counters.failures,
            "elapsed": counters.elapsed_us,
            "ready": len(ready),
            "workers": len(self._replicas[cell]),
            "load": round(load, 4),
            "headroom": round(max(0.0, 1 - load), 4),
        }
