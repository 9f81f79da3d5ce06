"""The result of checking a run, as it is stored in `verdict.json` and printed by `gradehoist audit --json`.

The stored keys and texts are older than the names used here and stay.
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
    """What the records say of a rule; `INCONCLUSIVE` where they are not enough or gave it no occasion."""

    KEPT = "kept"
    BROKEN = "broken"
    INCONCLUSIVE = "not judged"


class Violation(msgspec.Struct):
    """One violation of a rule: seconds since the scenario began, who, what, and the records that show it."""

    at_s: float = msgspec.field(name="at")
    proxy: str = msgspec.field(name="relay")
    replica: str
    description: str = msgspec.field(name="text")
    evidence: list[StoredRecord] = msgspec.field(name="records")


class RuleResult(msgspec.Struct):
    """The result for one rule; `limit_used` is the largest share of its limit that the run came to."""

    rule: Rule
    title: str = msgspec.field(name="name")
    state: RuleState = RuleState.INCONCLUSIVE
    limit_used: float = msgspec.field(default=0.0, name="near")
    occasions: int = 0
    reason: str = msgspec.field(default="", name="why")
    violations: list[Violation] = msgspec.field(default_factory=list, name="breaks")


class Verdict(msgspec.Struct):
    """The results for all rules.

    `is_complete` says that every process recorded to its end, else `reason` says which did not.
    `completed_share` is the priority weight of the requests completed within their latency objective over
    that of all requests; late ones count in part, up to their deadline.
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
