"""Rule 1: no proxy is long without weights for a class while a warm replica may serve it."""

from __future__ import annotations

from collections import defaultdict

from gradehoist.scenario.checks.checker import Checker, RunContext
from gradehoist.scenario.checks.records import EndpointsNotified, MessageApplied, Record, StreamBegan
from gradehoist.scenario.checks.replay import READY, ClassInCell, list_classes_by_cell
from gradehoist.scenario.checks.verdict import Rule


class UnroutableChecker(Checker):
    """Measures how long each class is unroutable at each proxy."""

    rule = Rule.UNROUTABLE

    def __init__(self, context: RunContext) -> None:
        """Creates a checker for which all classes are routable."""
        super().__init__(context)
        self.classes = list_classes_by_cell(context.plan)
        self.unroutable_since_us: dict[tuple[str, str], int] = {}  # By proxy and label of the class.
        self.applied: dict[str, list[Record]] = defaultdict(list)  # By proxy.

    def on_record(self, record: Record) -> None:
        """Checks the proxies that are affected by the record."""
        self._end_streams(record.time_us)
        match record.event:
            case StreamBegan(proxy=proxy):
                self._check_proxy(proxy, record.time_us)
            case MessageApplied(proxy=proxy):
                self.applied[proxy].append(record)
                self._check_proxy(proxy, record.time_us)
            case EndpointsNotified(governor=governor):
                for proxy in self.context.replay.proxies_of(governor):
                    self._check_proxy(proxy, record.time_us)

    def finish(self, end_us: int) -> None:
        """Ends the intervals that are still open."""
        self._end_streams(end_us)

    def _end_streams(self, time_us: int) -> None:
        for proxy in self.context.replay.ended_streams:
            for cell_class in self.classes:
                self._end_unroutable(proxy, cell_class.label, time_us)

    def _check_proxy(self, proxy: str, time_us: int) -> None:
        if proxy not in self.context.replay.streams:
            return
        for cell_class in self.classes:
            self.result.occasions += 1
            if self._is_unroutable(proxy, cell_class, time_us):
                self.unroutable_since_us.setdefault((proxy, cell_class.label), time_us)
            else:
                self._end_unroutable(proxy, cell_class.label, time_us)

    def _is_unroutable(self, proxy: str, cell_class: ClassInCell, time_us: int) -> bool:
        """Returns whether the proxy has no weights for a class that a listed warm replica may serve."""
        state = self.context.replay.proxy_states[proxy]
        label = cell_class.label
        if label not in state.table_by_class:
            label = cell_class.request_class.name
        if state.weights_for(label):
            return False
        view = self.context.replay.view_of(proxy)
        if view is None:
            return False
        return any(
            known.phase == READY and self._may_receive(replica, proxy, cell_class, time_us)
            for replica, known in view.phases.items()
            if replica in self.context.fleet.replicas
        )

    def _may_receive(self, replica: str, proxy: str, cell_class: ClassInCell, time_us: int) -> bool:
        plan, fleet = self.context.plan, self.context.fleet
        if plan.cell_by_replica.get(replica, "") != cell_class.cell:
            return False
        if not fleet.is_allowed(cell_class.request_class, fleet.replicas[replica], proxy):
            return False
        started_us = self.context.replay.cold_starts_us.get(replica)
        return started_us is None or time_us - started_us >= plan.rules.warmup_us

    def _end_unroutable(self, proxy: str, label: str, time_us: int) -> None:
        since_us = self.unroutable_since_us.pop((proxy, label), None)
        if since_us is None:
            return
        limit_us = self.context.plan.rules.unroutable_limit_us
        elapsed_us = time_us - since_us
        self.update_limit_used(elapsed_us / limit_us)
        if elapsed_us > limit_us:
            earlier = [record for record in self.applied[proxy] if record.time_us <= since_us]
            description = f"{label}: no line to pick for {elapsed_us / 1e6:.2f} s"
            self.add_violation(since_us, description, earlier[-1:], proxy=proxy)
