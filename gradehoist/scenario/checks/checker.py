"""The base class of the checkers, which builds the result of a rule."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from gradehoist.scenario.checks.records import Record
from gradehoist.scenario.checks.replay import Fleet, Replay
from gradehoist.scenario.checks.verdict import RULE_TITLES, Rule, RuleResult, RuleState, Violation
from gradehoist.testbed.scenario_plan import Plan

# Further violations of a rule are left out, so that the verdict stays readable.
VIOLATIONS_LIMIT = 50
NO_OCCASION = "the day gave no occasion"


@dataclass(frozen=True)
class RunContext:
    """What all checkers of a run share: its plan, its reconstructed state and the time of its beginning."""

    plan: Plan
    fleet: Fleet
    replay: Replay
    begin_us: int


class Checker(ABC):
    """Checks one rule.

    `on_record` is called for each record, after the replay has applied it. `finish` is called at the end.

    Attributes:
        rule: the rule that is checked.
        reason_without_occasion: the reason in the result if nothing in the run was subject to the rule.
    """

    rule: Rule
    reason_without_occasion = NO_OCCASION

    def __init__(self, context: RunContext) -> None:
        """Creates a checker with an empty result."""
        self.context = context
        self.result = RuleResult(rule=self.rule, title=RULE_TITLES[self.rule])
        # Set if the records do not contain what the rule needs; `result.reason` then says what is missing.
        self.is_undecidable = False

    @abstractmethod
    def on_record(self, record: Record) -> None:
        """Stores what the rule needs of a record, or checks it."""

    def finish(self, end_us: int) -> None:
        """Checks what depends on all records; `end_us` is the time of the last one."""
        return

    def update_limit_used(self, share: float) -> None:
        """Keeps the largest share of the rule's limit that was used at any time."""
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
        """Adds a violation, unless there are already `VIOLATIONS_LIMIT`."""
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
        """Returns the result; `missing_records` says which records are missing, and is empty if none are."""
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
