"""Placement rule: a class is only sent to the zones, kinds and cell that are allowed for it."""

from __future__ import annotations

from gradehoist.cells.routes import class_label
from gradehoist.scenario.checks.checker import Checker
from gradehoist.scenario.checks.records import AttemptSent, Record
from gradehoist.scenario.checks.verdict import Rule


class PlacementChecker(Checker):
    """Checks the replica of each attempt."""

    rule = Rule.PLACEMENT

    def on_record(self, record: Record) -> None:
        """Checks an attempt."""
        if isinstance(record.event, AttemptSent):
            self.result.occasions += 1
            self._check_class(record, record.event)
            self._check_cell(record, record.event)

    def _check_class(self, record: Record, attempt: AttemptSent) -> None:
        fleet = self.context.fleet
        request_class = fleet.classes[attempt.request_class]
        if fleet.is_allowed(request_class, fleet.replicas[attempt.replica], attempt.proxy):
            return
        description = f"{request_class.name} is not open there"
        self.add_violation(
            record.time_us, description, [record], proxy=attempt.proxy, replica=attempt.replica
        )

    def _check_cell(self, record: Record, attempt: AttemptSent) -> None:
        if not attempt.cell or self.context.plan.cell_by_replica.get(attempt.replica) == attempt.cell:
            return
        # A proxy without a table for the cell uses its default tables, which do not distinguish cells.
        label = class_label(attempt.cell, attempt.request_class)
        if label in self.context.replay.proxy_states[attempt.proxy].table_by_class:
            description = f"sent for cell {attempt.cell}"
            self.add_violation(
                record.time_us, description, [record], proxy=attempt.proxy, replica=attempt.replica
            )
