"""How much of the requests' priority weight was completed within the latency objective."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gradehoist.scenario.checks.records import Record, RequestCompleted
from gradehoist.testbed.scenario_plan import Plan, RequestClassPlan

OK_STATUS = 200


@dataclass
class CompletedWeight:
    """Priority weight of the requests that were completed in time, and of all requests."""

    completed: float = 0.0
    requested: float = 0.0

    @property
    def share(self) -> float:
        """The completed share, rounded as it is stored; 0 without requests."""
        return round(self.completed / self.requested, 4) if self.requested else 0.0


def earned_weight(request_class: RequestClassPlan, status: int, elapsed_us: int) -> float:
    """The weight that a response earns: less after the latency objective, none after the deadline."""
    if status != OK_STATUS:
        return 0.0
    if elapsed_us <= request_class.latency_objective_us:
        return request_class.priority_weight
    if elapsed_us <= request_class.deadline_us:
        return request_class.priority_weight * request_class.late_priority_factor
    return 0.0


def completed_by_class(plan: Plan, records: Iterable[Record]) -> dict[str, CompletedWeight]:
    """Completed weight for each class of the plan."""
    classes = {request_class.name: request_class for request_class in plan.classes}
    weights = {name: CompletedWeight() for name in classes}
    for record in records:
        if isinstance(record.event, RequestCompleted):
            request_class = classes[record.event.request_class]
            elapsed_us = record.time_us - record.event.began_us
            weight = weights[request_class.name]
            weight.completed += earned_weight(request_class, record.event.status, elapsed_us)
            weight.requested += request_class.priority_weight
    return weights
