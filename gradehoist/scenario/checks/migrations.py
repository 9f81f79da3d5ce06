"""Rule 6: each write of a tenant takes effect once in all cells, and none at a cell that it migrated from."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

from gradehoist.interface import Idempotency
from gradehoist.scenario.checks.checker import Checker, RunContext
from gradehoist.scenario.checks.completion import OK_STATUS
from gradehoist.scenario.checks.records import EffectDone, Record, RequestCompleted
from gradehoist.scenario.checks.verdict import Rule


@dataclass(frozen=True)
class Write:
    """A write of a tenant that took effect."""

    record: Record
    effect: EffectDone

    @property
    def key(self) -> str:
        """The key of the write: the request ID up to the dot, which all retries of a client share."""
        return self.effect.request.partition(".")[0]


@dataclass(frozen=True)
class TenantPlacement:
    """The cell of a tenant since a generation."""

    generation: int
    cell: str


class MigrationsChecker(Checker):
    """Checks the effects at the replicas, and the writes whose success was reported to clients."""

    rule = Rule.MIGRATIONS

    def __init__(self, context: RunContext) -> None:
        """Creates a checker that has seen no writes."""
        super().__init__(context)
        # By request, in the order of the first effects.
        self.effects: dict[str, list[Write]] = defaultdict(list)
        self.completed: list[tuple[Record, RequestCompleted]] = []

    def on_record(self, record: Record) -> None:
        """Stores effects and completed requests."""
        match record.event:
            case EffectDone(request=request):
                self.effects[request].append(Write(record, record.event))
            case RequestCompleted():
                self.completed.append((record, record.event))

    def finish(self, end_us: int) -> None:
        """Checks generations, duplicates and lost writes."""
        writes = [
            write for writes in self.effects.values() for write in writes if write.effect.tenant is not None
        ]
        writes.sort(key=lambda write: write.record.time_us)
        self.result.occasions = len(writes)
        self._check_generations(writes)
        writes_by_key: dict[str, list[Write]] = defaultdict(list)
        for write in writes:
            writes_by_key[write.key].append(write)
        self._check_duplicates(writes_by_key)
        if self.context.plan.cells:
            self._check_lost_writes(writes_by_key)

    def _check_generations(self, writes: list[Write]) -> None:
        """Checks that no earlier generation has an effect at another cell once a later one had an effect."""
        latest: dict[str, TenantPlacement] = {}
        for write in writes:
            effect = write.effect
            tenant = effect.tenant or ""
            known = latest.get(tenant, TenantPlacement(generation=0, cell=""))
            if effect.generation < known.generation and effect.cell != known.cell:
                description = (
                    f"{tenant}: generation {effect.generation} at {effect.cell} "
                    f"after {known.generation} at {known.cell}"
                )
                self.add_violation(write.record.time_us, description, [write.record], replica=effect.replica)
            if effect.generation > known.generation:
                latest[tenant] = TenantPlacement(generation=effect.generation, cell=effect.cell)

    def _check_duplicates(self, writes_by_key: dict[str, list[Write]]) -> None:
        for key, writes in writes_by_key.items():
            if len(writes) > 1:
                last = writes[-1]
                evidence = [write.record for write in writes]
                description = f"{key} was written twice"
                self.add_violation(last.record.time_us, description, evidence, replica=last.effect.replica)

    def _check_lost_writes(self, writes_by_key: dict[str, list[Write]]) -> None:
        for record, completed in self.completed:
            if completed.status != OK_STATUS or completed.request in writes_by_key:
                continue
            request_class = self.context.fleet.classes[completed.request_class]
            if request_class.idempotency == Idempotency.NOT_IDEMPOTENT.value:
                description = f"{completed.request} was answered and never written"
                self.add_violation(record.time_us, description, [record], proxy=completed.proxy)
