"""The verdict on a run, which is stored in `verdict.json` and printed by `gradehoist audit --json`.

The stored keys and texts are kept for compatibility and differ from the names in the code.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from gradehoist.scenario.checks.records import StoredRecord


class Rule(StrEnum):
    """The safety rules, in the order of the verdict."""

    UNROUTABLE = "line"
    DUPLICATE_EFFECTS = "twice"
    DRAIN = "drain"
    OVERLOAD = "cold"
    MIGRATIONS = "moves"
    CHANNEL = "queue"
    PLACEMENT = "placement"


RULE_TITLES = {
    Rule.UNROUTABLE: "1 a line to pick for each class",
    Rule.DUPLICATE_EFFECTS: "2 no effect twice",
    Rule.DRAIN: "3 drains kept within the grace",
    Rule.OVERLOAD: "4 no cold replica pushed over",
    Rule.MIGRATIONS: "6 each write once, none at a former cell",
    Rule.CHANNEL: "5 queue and messages under their limits",
    Rule.PLACEMENT: "+ classes on their zones and kinds",
}


class RuleState(StrEnum):
    """The state of a rule; inconclusive if records are missing or nothing was subject to the rule."""

    KEPT = "kept"
    BROKEN = "broken"
    INCONCLUSIVE = "not judged"


class Violation(msgspec.Struct):
    """A violation of a rule, `at_s` after the beginning of the scenario, with the records as evidence."""

    at_s: float = msgspec.field(name="at")
    proxy: str = msgspec.field(name="relay")
    replica: str
    description: str = msgspec.field(name="text")
    evidence: list[StoredRecord] = msgspec.field(name="records")


class RuleResult(msgspec.Struct):
    """The result for one rule.

    Attributes:
        limit_used: the largest share of the rule's limit that the run reached; above 1 it is exceeded.
        occasions: the number of events or intervals that were subject to the rule.
        reason: why the rule is inconclusive, or a remark.
    """

    rule: Rule
    title: str = msgspec.field(name="name")
    state: RuleState = RuleState.INCONCLUSIVE
    limit_used: float = msgspec.field(default=0.0, name="near")
    occasions: int = 0
    reason: str = msgspec.field(default="", name="why")
    violations: list[Violation] = msgspec.field(default_factory=list, name="breaks")


class Verdict(msgspec.Struct):
    """The results for all rules.

    Attributes:
        is_complete: whether the records of all processes are complete; if not, `reason` says why.
        completed_share: the share of the requests' priority weight that was completed within the latency
            objective; requests that are late, but within their deadline, count in part.
    """

    is_complete: bool = msgspec.field(name="complete")
    reason: str = msgspec.field(name="why")
    results: list[RuleResult] = msgspec.field(name="rules")
    completed_share: float = msgspec.field(name="answered")
    completed_share_by_class: dict[str, float] = msgspec.field(name="by_class")
    requests: int = msgspec.field(name="transactions")

    @property
    def has_passed(self) -> bool:
        """Whether the records are complete and show no violation."""
        return self.is_complete and all(result.state is not RuleState.BROKEN for result in self.results)
