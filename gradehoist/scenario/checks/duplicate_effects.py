"""Rule 2: a request that is not idempotent takes effect at most once."""

from __future__ import annotations

from collections import defaultdict

from gradehoist.cells.assignment import WriteDecision
from gradehoist.interface import Idempotency
from gradehoist.scenario.checks.checker import Checker, RunContext
from gradehoist.scenario.checks.records import (
    AttemptArrived,
    AttemptSent,
    AttemptShed,
    EffectDone,
    Record,
    WriteFenced,
)
from gradehoist.scenario.checks.verdict import Rule

PROOFS_OF_NO_EFFECT = (WriteDecision.WRONG_CELL.value, WriteDecision.NO_LEASE.value)


class DuplicateEffectsChecker(Checker):
    """Checks that no request has two effects, and that none is retried after an attempt that may have run."""

    rule = Rule.DUPLICATE_EFFECTS

    def __init__(self, context: RunContext) -> None:
        """Creates a checker that has seen no requests."""
        super().__init__(context)
        self.attempts: dict[tuple[str, str], list[tuple[Record, AttemptSent]]] = defaultdict(list)
        self.effects: dict[str, list[Record]] = defaultdict(list)
        # The replicas at which attempts of a request arrived, were shed or were fenced, by request.
        self.arrived_at: dict[str, set[str]] = defaultdict(set)
        self.shed_at: dict[str, set[str]] = defaultdict(set)
        self.fenced_at: dict[str, set[str]] = defaultdict(set)

    def on_record(self, record: Record) -> None:
        """Stores attempts and their outcomes."""
        match record.event:
            case AttemptSent(proxy=proxy, request=request):
                self.attempts[proxy, request].append((record, record.event))
            case AttemptArrived(request=request, replica=replica):
                self.arrived_at[request].add(replica)
            case AttemptShed(request=request, replica=replica):
                self.shed_at[request].add(replica)
            case WriteFenced(request=request, replica=replica, reason=reason):
                if reason in PROOFS_OF_NO_EFFECT:
                    self.fenced_at[request].add(replica)
            case EffectDone(request=request):
                self.effects[request].append(record)

    def finish(self, end_us: int) -> None:
        """Checks every request that is not idempotent."""
        for (proxy, request), attempts in self.attempts.items():
            request_class = self.context.fleet.classes[attempts[0][1].request_class]
            if request_class.idempotency == Idempotency.IDEMPOTENT.value:
                continue
            self.result.occasions += 1
            if request_class.idempotency == Idempotency.IDEMPOTENCY_KEY.value:
                self.is_undecidable = True
                self.result.reason = f"{request_class.name} is guarded: groups are not in these records"
                continue
            self._check_effects(proxy, request, attempts)
            self._check_retries(proxy, request, attempts)

    def _check_effects(self, proxy: str, request: str, attempts: list[tuple[Record, AttemptSent]]) -> None:
        effects = self.effects[request]
        if len(attempts) < 2 or len(effects) < 2:
            return
        self.update_limit_used(1.0)
        record, attempt = attempts[-1]
        description = f"{request} took effect twice"
        self.add_violation(record.time_us, description, effects, proxy=proxy, replica=attempt.replica)

    def _check_retries(self, proxy: str, request: str, attempts: list[tuple[Record, AttemptSent]]) -> None:
        without_effect = set(self.fenced_at[request])
        if self.context.plan.rejection_proves_no_effect:
            without_effect |= self.shed_at[request]
        for number, (record, attempt) in enumerate(attempts[1:], 1):
            earlier = {sent.replica for _, sent in attempts[:number]}
            may_have_run = (earlier & self.arrived_at[request]) - without_effect
            if not may_have_run:
                continue
            self.update_limit_used(1.0)
            replicas = ", ".join(sorted(may_have_run))
            description = f"{request} sent again though it may have run at {replicas}"
            evidence = [sent_record for sent_record, _ in attempts]
            self.add_violation(record.time_us, description, evidence, proxy=proxy, replica=attempt.replica)
