"""A staged rollout of a new version, cell by cell, that halts on a regression. This module does no I/O.

Each stage updates the replicas of one cell, a batch at a time, and then observes the cell for the soak time.
A regression is the change of the cell's failure rate or latency since before its stage, less the change of
the other cells in that time, so that a surge of traffic in all cells is not mistaken for a bad version. While
the other cells fail more than before, the next stage does not begin.

The record is persisted before a replica is updated, so that a rollout whose process was killed can be
resumed. A replica whose update was interrupted is updated again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from enum import Enum
from math import sqrt

import msgspec

# The increase of a cell's failure rate that is tolerated while one of its replicas is updated.
FAILURE_RATE_MARGIN = 0.03
# How many standard errors beyond the margin count as a regression. With this value, at most one of the 400
# simulated days without a regression halts (`test_rollout`).
SIGNIFICANT_STANDARD_ERRORS = 3.0
# With fewer requests, rates are too inaccurate to be compared.
MIN_REQUESTS = 40
# The increase of latency, relative to that of the other cells, above which a rollout halts. The warm-up of a
# replica alone does not reach it.
MAX_LATENCY_RATIO = 1.6


class RolloutStep(Enum):
    """The steps of a rollout. The values are stored in its record."""

    UPDATE = "renew"
    SOAK = "soak"
    DONE = "done"
    ROLL_BACK = "putting back"
    HALTED = "halted"


class TrafficCounts(msgspec.Struct, frozen=True):
    """Counts of one cell's requests and attempts.

    Attributes:
        requests: The requests received.
        incomplete: The requests that were not completed.
        successes: The attempts that succeeded.
        elapsed_us: The total time of the successful attempts.
    """

    requests: int = msgspec.field(default=0, name="came")
    incomplete: int = msgspec.field(default=0, name="unanswered")
    successes: int = msgspec.field(default=0, name="good")
    elapsed_us: int = msgspec.field(default=0, name="elapsed")

    def since(self, earlier: TrafficCounts) -> TrafficCounts:
        """Returns the difference to earlier counts."""
        return TrafficCounts(
            requests=self.requests - earlier.requests,
            incomplete=self.incomplete - earlier.incomplete,
            successes=self.successes - earlier.successes,
            elapsed_us=self.elapsed_us - earlier.elapsed_us,
        )

    def plus(self, other: TrafficCounts) -> TrafficCounts:
        """Returns the sum of both counts."""
        return TrafficCounts(
            requests=self.requests + other.requests,
            incomplete=self.incomplete + other.incomplete,
            successes=self.successes + other.successes,
            elapsed_us=self.elapsed_us + other.elapsed_us,
        )

    @property
    def failure_rate(self) -> float:
        """The share of requests that were not completed."""
        return self.incomplete / self.requests if self.requests else 0.0

    @property
    def mean_latency_us(self) -> float:
        """The mean time of a successful attempt."""
        return self.elapsed_us / self.successes if self.successes else 0.0


CountsByCell = Mapping[str, TrafficCounts]


class Rollout(msgspec.Struct, frozen=True):
    """The record of a rollout.

    Attributes:
        id: Identifies the rollout; the records of a store are sorted by it.
        cells: The cells in the order of their stages.
        replicas: The replicas of each cell in the order of their updates.
        batch_size: How many replicas are updated at once.
        command: The operator's command that updates a replica.
        rollback_command: The operator's command that rolls a replica back, or "".
        cell_index: The index in `cells` of the current stage.
        step: The step of the current stage, or how the rollout ended.
        started_replicas: Replicas whose update was started; a halt rolls those of its cell back.
        updated_replicas: Replicas whose update is complete.
        halt_reason: Why the rollout was halted, or "".
        baseline: The counts by cell from before the current stage. They are persisted because a resumed
            rollout would otherwise measure its baseline in a cell that the new version already affects.
    """

    id: str
    cells: tuple[str, ...]
    replicas: Mapping[str, tuple[str, ...]] = msgspec.field(name="workers")
    batch_size: int = msgspec.field(name="batch")
    command: str = msgspec.field(name="run")
    rollback_command: str = msgspec.field(default="", name="back")
    cell_index: int = msgspec.field(default=0, name="at")
    step: RolloutStep = RolloutStep.UPDATE
    started_replicas: frozenset[str] = msgspec.field(default=frozenset(), name="touched")
    updated_replicas: frozenset[str] = msgspec.field(default=frozenset(), name="renewed")
    halt_reason: str = msgspec.field(default="", name="why")
    baseline: CountsByCell = msgspec.field(default_factory=dict, name="before")

    @property
    def cell(self) -> str:
        """The cell of the current stage."""
        return self.cells[self.cell_index]

    def next_batch(self) -> tuple[str, ...]:
        """Returns the replicas to update next."""
        if self.step is not RolloutStep.UPDATE:
            return ()
        remaining = [name for name in self.replicas[self.cell] if name not in self.updated_replicas]
        return tuple(remaining[: self.batch_size])

    def with_baseline(self, baseline: CountsByCell) -> Rollout:
        """Returns the record with the counts from before the current stage."""
        return msgspec.structs.replace(self, baseline=dict(baseline))

    def with_batch_started(self, names: Iterable[str]) -> Rollout:
        """Returns the record to be persisted before these replicas are updated."""
        return msgspec.structs.replace(self, started_replicas=self.started_replicas | frozenset(names))

    def with_batch_updated(self, names: Iterable[str]) -> Rollout:
        """Returns the record after these replicas are ready; after the cell's last batch, it soaks."""
        after = msgspec.structs.replace(self, updated_replicas=self.updated_replicas | frozenset(names))
        if after.next_batch():
            return after
        return msgspec.structs.replace(after, step=RolloutStep.SOAK)

    def with_stage_completed(self) -> Rollout:
        """Returns the record at the beginning of the next stage, or done after the last stage."""
        if self.cell_index + 1 == len(self.cells):
            return msgspec.structs.replace(self, step=RolloutStep.DONE)
        return msgspec.structs.replace(
            self, cell_index=self.cell_index + 1, step=RolloutStep.UPDATE, baseline={}
        )

    def with_rollback_started(self, reason: str) -> Rollout:
        """Returns the record of a halted rollout whose replicas have not been rolled back yet."""
        return msgspec.structs.replace(self, step=RolloutStep.ROLL_BACK, halt_reason=reason)

    def with_rollback_completed(self) -> Rollout:
        """Returns the record of a rollout that is halted for good and cannot be resumed."""
        return msgspec.structs.replace(self, step=RolloutStep.HALTED)


def describe_regression(cell: str, baseline: CountsByCell, current: CountsByCell) -> str:
    """Describes a regression of a cell to operators; returns "" if there is none."""
    counts = current[cell]
    if counts.requests < MIN_REQUESTS:
        return ""
    others = _total(current, excluded=cell)
    others_before = _total({name: baseline[name] for name in current}, excluded=cell)
    return _describe_failures(cell, baseline[cell], counts, others_before, others) or _describe_latency(
        cell, baseline[cell], counts, others_before, others
    )


def are_other_cells_stable(cell: str, baseline: CountsByCell, current: CountsByCell) -> bool:
    """Whether the other cells fail no more than before, which is required to begin the next stage."""
    return all(
        counts.requests < MIN_REQUESTS or _excess(baseline[name], counts) <= SIGNIFICANT_STANDARD_ERRORS
        for name, counts in current.items()
        if name != cell
    )


def _excess(before: TrafficCounts, now: TrafficCounts) -> float:
    """Returns by how many standard errors the failure rate exceeds that of `before` plus the margin."""
    pooled = (before.incomplete + now.incomplete + 1) / (before.requests + now.requests + 2)
    variance = pooled * (1 - pooled) * (1 / max(1, before.requests) + 1 / max(1, now.requests))
    return (now.failure_rate - before.failure_rate - FAILURE_RATE_MARGIN) / sqrt(variance)


def _total(counts: CountsByCell, excluded: str) -> TrafficCounts:
    total = TrafficCounts()
    for name, cell_counts in counts.items():
        if name != excluded:
            total = total.plus(cell_counts)
    return total


def _describe_failures(
    cell: str,
    before: TrafficCounts,
    now: TrafficCounts,
    others_before: TrafficCounts,
    others: TrafficCounts,
) -> str:
    shared_rise = max(0.0, others.failure_rate - others_before.failure_rate)
    expected_rate = min(1.0, before.failure_rate + shared_rise)
    expected = msgspec.structs.replace(before, incomplete=round(expected_rate * before.requests))
    if _excess(expected, now) <= SIGNIFICANT_STANDARD_ERRORS:
        return ""
    return (
        f"{now.failure_rate:.1%} of {now.requests} transactions of {cell} were not answered, "
        f"{before.failure_rate:.1%} before; elsewhere {others.failure_rate:.1%}"
    )


def _describe_latency(
    cell: str,
    before: TrafficCounts,
    now: TrafficCounts,
    others_before: TrafficCounts,
    others: TrafficCounts,
) -> str:
    if now.successes < MIN_REQUESTS or before.successes < MIN_REQUESTS:
        return ""
    ratio = now.mean_latency_us / max(1.0, before.mean_latency_us)
    shared_ratio = 1.0
    if others_before.successes and others.successes:
        shared_ratio = others.mean_latency_us / max(1.0, others_before.mean_latency_us)
    if ratio <= MAX_LATENCY_RATIO * max(1.0, shared_ratio):
        return ""
    return (
        f"answers of {cell} take {now.mean_latency_us / 1e3:.0f} ms, {before.mean_latency_us / 1e3:.0f} "
        f"before; elsewhere {others.mean_latency_us / 1e3:.0f}"
    )
