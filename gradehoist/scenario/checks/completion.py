"""Computes the share of the requests' priority weight that was completed in time."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from gradehoist.scenario.checks.records import Record, RequestCompleted
from gradehoist.testbed.scenario_plan import Plan, RequestClassPlan

OK_STATUS = 200


@dataclass
class CompletedWeight:
    """The priority weight of completed requests (late ones count in part), and of all requests."""

    completed: float = 0.0
    requested: float = 0.0

    @property
    def share(self) -> float:
        """The completed share, rounded for storage; 0 if there are no requests."""
        return round(self.completed / self.requested, 4) if self.requested else 0.0


def earned_weight(request_class: RequestClassPlan, status: int, elapsed_us: int) -> float:
    """Returns the weight that a response counts: less after the objective, none after the deadline."""
    if status != OK_STATUS:
        return 0.0
    if elapsed_us <= request_class.latency_objective_us:
        return request_class.priority_weight
    if elapsed_us <= request_class.deadline_us:
        return request_class.priority_weight * request_class.late_priority_factor
    return 0.0


def completed_by_class(plan: Plan, records: Iterable[Record]) -> dict[str, CompletedWeight]:
    """Returns the completed weight of each class of the plan."""
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
