"""Rule 3: a governor's proxies stop sending to a replica within the grace after its drain was announced."""

from __future__ import annotations

from gradehoist.scenario.checks.checker import Checker
from gradehoist.scenario.checks.records import AttemptSent, Record
from gradehoist.scenario.checks.replay import DRAINING, GONE
from gradehoist.scenario.checks.verdict import Rule


class DrainChecker(Checker):
    """Checks each attempt against the phase of the replica of which the proxy's governor was notified."""

    rule = Rule.DRAIN

    def on_record(self, record: Record) -> None:
        """Checks an attempt."""
        if isinstance(record.event, AttemptSent):
            self._check_attempt(record, record.event)

    def finish(self, end_us: int) -> None:
        """Counts the announced drains."""
        views = self.context.replay.endpoint_views.values()
        self.result.occasions = sum(view.withdrawals for view in views)

    def _check_attempt(self, record: Record, attempt: AttemptSent) -> None:
        stream = self.context.replay.streams.get(attempt.proxy)
        if stream is None:
            return
        known = self.context.replay.endpoint_views[stream.governor].phases.get(attempt.replica)
        if known is None or not self._must_stop(known.phase):
            return
        grace_us = self.context.plan.rules.drain_grace_us
        elapsed_us = record.time_us - max(known.since_us, stream.since_us)
        self.update_limit_used(elapsed_us / grace_us)
        if elapsed_us > grace_us:
            description = (
                f"sent {elapsed_us / 1e6:.2f} s after {stream.governor} was told it is {known.phase}"
            )
            self.add_violation(
                record.time_us, description, [record], proxy=attempt.proxy, replica=attempt.replica
            )

    def _must_stop(self, phase: str) -> bool:
        return phase == DRAINING or (phase == GONE and not self.context.plan.rules.gone_is_advisory)
