"""A worker release, staged cell by cell, that halts on harm. Free of I/O: figures and answers are given in.

Each stage renews the workers of one cell, a batch at a time, and then watches for the soak time. Harm is the
cell's own change since before its stage, less the change of the other cells, so that a rush over all of them
does not pass for a bad release; a trouble of all cells holds the next stage until it is over. A record is
kept before a worker is touched, so a release that was killed goes on; a worker under way is renewed again.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum
from math import sqrt


class RolloutStep(Enum):
    UPDATE = "renew"
    SOAK = "soak"
    DONE = "done"
    ROLL_BACK = "putting back"
    HALTED = "halted"


@dataclass(frozen=True, slots=True)
class TrafficCounts:
    """What was met at one cell: transactions, those unanswered, good tries and their time (µs)."""

    came: int = 0
    unanswered: int = 0
    good: int = 0
    elapsed: int = 0

    def since(self, other: TrafficCounts) -> TrafficCounts:
        return TrafficCounts(
            self.came - other.came,
            self.unanswered - other.unanswered,
            self.good - other.good,
            self.elapsed - other.elapsed,
        )

    def plus(self, other: TrafficCounts) -> TrafficCounts:
        return TrafficCounts(
            self.came + other.came,
            self.unanswered + other.unanswered,
            self.good + other.good,
            self.elapsed + other.elapsed,
        )

    @property
    def failure_rate(self) -> float:
        return self.unanswered / self.came if self.came else 0.0

    @property
    def mean_latency_us(self) -> float:
        return self.elapsed / self.good if self.good else 0.0


@dataclass(frozen=True, slots=True)
class Rollout:
    """The record. `workers` by cell, in the order in which they are renewed; `before` is what was usual when
    the stage began, kept as one that was killed would take a harmed cell for the usual."""

    id: str
    cells: tuple[str, ...]
    workers: Mapping[str, tuple[str, ...]]
    batch: int
    run: str
    back: str = ""
    at: int = 0
    step: RolloutStep = RolloutStep.UPDATE
    touched: frozenset[str] = frozenset()  # begun; with those renewed, what a halt puts back
    renewed: frozenset[str] = frozenset()
    why: str = ""
    before: Mapping[str, TrafficCounts] = field(default_factory=dict)

    @property
    def cell(self) -> str:
        return self.cells[self.at]

    def next_batch(self) -> tuple[str, ...]:
        """The workers to renew now."""
        left = [w for w in self.workers[self.cell] if w not in self.renewed]
        return tuple(left[: self.batch]) if self.step is RolloutStep.UPDATE else ()

    def with_baseline(self, before: Mapping[str, TrafficCounts]) -> Rollout:
        return replace(self, before=dict(before))

    def with_batch_started(self, workers: Iterable[str]) -> Rollout:
        return replace(self, touched=self.touched | frozenset(workers))

    def with_batch_updated(self, workers: Iterable[str]) -> Rollout:
        after = replace(self, renewed=self.renewed | frozenset(workers))
        return after if after.next_batch() else replace(after, step=RolloutStep.SOAK)

    def with_stage_completed(self) -> Rollout:
        if self.at + 1 == len(self.cells):
            return replace(self, step=RolloutStep.DONE)
        return replace(self, at=self.at + 1, step=RolloutStep.UPDATE, before={})

    def with_rollback_started(self, why: str) -> Rollout:
        return replace(self, step=RolloutStep.ROLL_BACK, why=why)

    def with_rollback_completed(self) -> Rollout:
        return replace(self, step=RolloutStep.HALTED)


FAILURE_RATE_MARGIN = 0.03  # of the transactions: what a cell may lose while a worker of it is renewed
SIGNIFICANT_STANDARD_ERRORS = (
    3.0  # standard errors, beyond the margin: at most one of the tests' 400 days without harm halts
)
MIN_REQUESTS = 40  # transactions: under that no share is worth comparing
MAX_LATENCY_RATIO = (
    1.6  # times as long as before, beside the other cells; a worker's cold start alone should not do it
)


def _excess(before: TrafficCounts, now: TrafficCounts) -> float:
    """By how many standard errors the failing share lies over `before` and the margin."""
    share = (before.unanswered + now.unanswered + 1) / (before.came + now.came + 2)
    error = sqrt(share * (1 - share) * (1 / max(1, before.came) + 1 / max(1, now.came)))
    return (now.failure_rate - before.failure_rate - FAILURE_RATE_MARGIN) / error


def describe_regression(
    cell: str, before: Mapping[str, TrafficCounts], now: Mapping[str, TrafficCounts]
) -> str:
    """Why a release harms its cell, empty where it does not as far as can be seen."""
    mine, was = now[cell], before[cell]
    others, others_were = TrafficCounts(), TrafficCounts()
    for name in now:
        if name != cell:
            others, others_were = others.plus(now[name]), others_were.plus(before[name])
    if mine.came < MIN_REQUESTS:
        return ""
    rise = max(0.0, others.failure_rate - others_were.failure_rate)
    adjusted = replace(was, unanswered=round(min(1.0, was.failure_rate + rise) * was.came))
    if _excess(adjusted, mine) > SIGNIFICANT_STANDARD_ERRORS:
        return (
            f"{mine.failure_rate:.1%} of {mine.came} transactions of {cell} were not answered, "
            f"{was.failure_rate:.1%} before; elsewhere {others.failure_rate:.1%}"
        )
    if mine.good >= MIN_REQUESTS and was.good >= MIN_REQUESTS:
        ratio = mine.mean_latency_us / max(1.0, was.mean_latency_us)
        beside = (
            others.mean_latency_us / max(1.0, others_were.mean_latency_us)
            if others_were.good and others.good
            else 1.0
        )
        if ratio > MAX_LATENCY_RATIO * max(1.0, beside):
            return (
                f"answers of {cell} take {mine.mean_latency_us / 1e3:.0f} ms, "
                f"{was.mean_latency_us / 1e3:.0f} before; "
                f"elsewhere {others.mean_latency_us / 1e3:.0f}"
            )
    return ""


def are_other_cells_stable(
    cell: str, before: Mapping[str, TrafficCounts], now: Mapping[str, TrafficCounts]
) -> bool:
    """Whether the other cells are as before, so that the next stage may begin."""
    return all(
        now[c].came < MIN_REQUESTS or _excess(before[c], now[c]) <= SIGNIFICANT_STANDARD_ERRORS
        for c in now
        if c != cell
    )
