"""The base of the checkers: what they share is how a result is built from occasions and violations."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from gradehoist.scenario.checks.records import Record
from gradehoist.scenario.checks.replay import Fleet, Replay
from gradehoist.scenario.checks.verdict import RULE_TITLES, Rule, RuleResult, RuleState, Violation
from gradehoist.testbed.scenario_plan import Plan

VIOLATIONS_LIMIT = 50  # more of one rule say nothing new, and a verdict has to stay readable
NO_OCCASION = "the day gave no occasion"


@dataclass(frozen=True)
class RunContext:
    """What every checker of a run reads: the plan, the reconstructed state and when the scenario began."""

    plan: Plan
    fleet: Fleet
    replay: Replay
    begin_us: int


class Checker(ABC):
    """Judges one rule. `on_record` sees each record after the replay applied it, then `finish` is called."""

    rule: Rule
    reason_without_occasion = NO_OCCASION

    def __init__(self, context: RunContext) -> None:
        """Prepares an empty result."""
        self.context = context
        self.result = RuleResult(rule=self.rule, title=RULE_TITLES[self.rule])
        self.is_undecidable = False  # the records lack what the rule needs; `result.reason` says what

    @abstractmethod
    def on_record(self, record: Record) -> None:
        """Takes note of a record, or judges it."""

    def finish(self, end_us: int) -> None:
        """Judges what needs all the records; `end_us` is the time of the last one."""
        return

    def update_limit_used(self, share: float) -> None:
        """Notes how much of the rule's limit was used up at some time."""
        self.result.limit_used = max(self.result.limit_used, share)

    def add_violation(
        self,
        time_us: int,
        description: str,
        evidence: Iterable[Record],
        *,
        proxy: str = "",
        replica: str = "",
    ) -> None:
        """Adds a violation, up to a limit of `VIOLATIONS_LIMIT`."""
        if len(self.result.violations) >= VIOLATIONS_LIMIT:
            return
        violation = Violation(
            at_s=round((time_us - self.context.begin_us) / 1e6, 3),
            proxy=proxy,
            replica=replica,
            description=description,
            evidence=[record.stored for record in evidence],
        )
        self.result.violations.append(violation)

    def build_result(self, missing_records: str) -> RuleResult:
        """The result; `missing_records` says what the records lack, empty where they are complete."""
        result = self.result
        result.limit_used = round(result.limit_used, 4)
        if result.violations:
            result.state = RuleState.BROKEN
        elif missing_records:
            result.reason = "the records are not whole: " + missing_records
        elif self.is_undecidable:
            result.state = RuleState.INCONCLUSIVE
        elif result.occasions:
            result.state = RuleState.KEPT
        else:
            result.reason = self.reason_without_occasion
        return result
