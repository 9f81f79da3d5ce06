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


class Step(Enum):
    RENEW = "renew"
    SOAK = "soak"
    DONE = "done"
    BACK = "putting back"
    HALTED = "halted"


@dataclass(frozen=True, slots=True)
class Seen:
    """What was met at one cell: transactions, those unanswered, good tries and their time (µs)."""

    came: int = 0
    unanswered: int = 0
    good: int = 0
    elapsed: int = 0

    def since(self, other: Seen) -> Seen:
        return Seen(
            self.came - other.came,
            self.unanswered - other.unanswered,
            self.good - other.good,
            self.elapsed - other.elapsed,
        )

    def plus(self, other: Seen) -> Seen:
        return Seen(
            self.came + other.came,
            self.unanswered + other.unanswered,
            self.good + other.good,
            self.elapsed + other.elapsed,
        )

    @property
    def failing(self) -> float:
        return self.unanswered / self.came if self.came else 0.0

    @property
    def mean(self) -> float:
        return self.elapsed / self.good if self.good else 0.0


@dataclass(frozen=True, slots=True)
class Release:
    """The record. `workers` by cell, in the order in which they are renewed; `before` is what was usual when
    the stage began, kept as one that was killed would take a harmed cell for the usual."""

    id: str
    cells: tuple[str, ...]
    workers: Mapping[str, tuple[str, ...]]
    batch: int
    run: str
    back: str = ""
    at: int = 0
    step: Step = Step.RENEW
    touched: frozenset[str] = frozenset()  # begun; with those renewed, what a halt puts back
    renewed: frozenset[str] = frozenset()
    why: str = ""
    before: Mapping[str, Seen] = field(default_factory=dict)

    @property
    def cell(self) -> str:
        return self.cells[self.at]

    def due(self) -> tuple[str, ...]:
        """The workers to renew now."""
        left = [w for w in self.workers[self.cell] if w not in self.renewed]
        return tuple(left[: self.batch]) if self.step is Step.RENEW else ()

    def staged(self, before: Mapping[str, Seen]) -> Release:
        return replace(self, before=dict(before))

    def begun(self, workers: Iterable[str]) -> Release:
        return replace(self, touched=self.touched | frozenset(workers))

    def done(self, workers: Iterable[str]) -> Release:
        after = replace(self, renewed=self.renewed | frozenset(workers))
        return after if after.due() else replace(after, step=Step.SOAK)

    def soaked(self) -> Release:
        if self.at + 1 == len(self.cells):
            return replace(self, step=Step.DONE)
        return replace(self, at=self.at + 1, step=Step.RENEW, before={})

    def halt(self, why: str) -> Release:
        return replace(self, step=Step.BACK, why=why)

    def ended(self) -> Release:
        return replace(self, step=Step.HALTED)


MARGIN = 0.03  # of the transactions: what a cell may lose while a worker of it is renewed
SURE = 3.0  # standard errors, beyond the margin: at most one of the tests' 400 days without harm halts
LEAST = 40  # transactions: under that no share is worth comparing
SLOWER = 1.6  # times as long as before, beside the other cells; a worker's cold start alone should not do it


def _excess(before: Seen, now: Seen) -> float:
    """By how many standard errors the failing share lies over `before` and the margin."""
    share = (before.unanswered + now.unanswered + 1) / (before.came + now.came + 2)
    error = sqrt(share * (1 - share) * (1 / max(1, before.came) + 1 / max(1, now.came)))
    return (now.failing - before.failing - MARGIN) / error


def judge(cell: str, before: Mapping[str, Seen], now: Mapping[str, Seen]) -> str:
    """Why a release harms its cell, empty where it does not as far as can be seen."""
    mine, was = now[cell], before[cell]
    others, others_were = Seen(), Seen()
    for name in now:
        if name != cell:
            others, others_were = others.plus(now[name]), others_were.plus(before[name])
    if mine.came < LEAST:
        return ""
    rise = max(0.0, others.failing - others_were.failing)
    adjusted = replace(was, unanswered=round(min(1.0, was.failing + rise) * was.came))
    if _excess(adjusted, mine) > SURE:
        return (
            f"{mine.failing:.1%} of {mine.came} transactions of {cell} were not answered, "
            f"{was.failing:.1%} before; elsewhere {others.failing:.1%}"
        )
    if mine.good >= LEAST and was.good >= LEAST:
        ratio = mine.mean / max(1.0, was.mean)
        beside = others.mean / max(1.0, others_were.mean) if others_were.good and others.good else 1.0
        if ratio > SLOWER * max(1.0, beside):
            return (
                f"answers of {cell} take {mine.mean / 1e3:.0f} ms, {was.mean / 1e3:.0f} before; "
                f"elsewhere {others.mean / 1e3:.0f}"
            )
    return ""


def calm(cell: str, before: Mapping[str, Seen], now: Mapping[str, Seen]) -> bool:
    """Whether the other cells are as before, so that the next stage may begin."""
    return all(now[c].came < LEAST or _excess(before[c], now[c]) <= SURE for c in now if c != cell)
