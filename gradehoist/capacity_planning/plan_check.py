"""Checks a stored plan against its event, independently of the solver. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass
from fractions import Fraction

from gradehoist.capacity_planning.event_file import DemandEvent
from gradehoist.capacity_planning.plan import (
    PLAN_VERSION,
    CapacityPlan,
    PlannedCase,
    calculate_fleet_checksum,
    describe_case,
)
from gradehoist.capacity_planning.planner import SHORTFALL_TOLERANCE
from gradehoist.capacity_planning.problem import CapacityProblem, Flow
from gradehoist.capacity_planning.rounding import RATE_UNITS
from gradehoist.capacity_planning.verification import (
    calculate_rounding_tolerance,
    calculate_upper_bound,
    calculate_weighted_rate,
    find_violations,
)


@dataclass(frozen=True, slots=True)
class PlanDefect:
    """A reason why a plan may not be used.

    Attributes:
        description: What is wrong, and what to do about it.
        case: The case that it concerns, as `describe_case` names it; empty if it concerns the whole plan.
    """

    description: str
    case: str = ""

    def __str__(self) -> str:
        """Returns the line that `gradehoist plan check` prints."""
        return f"{self.case}: {self.description}" if self.case else self.description


def check_plan(plan: CapacityPlan, event: DemandEvent) -> list[PlanDefect]:
    """Finds every reason why a plan does not match an event or violates a bound; empty for a valid plan."""
    if mismatch := _find_mismatch(plan, event):
        return [mismatch]
    defects: list[PlanDefect] = []
    for case in plan.cases:
        defects += _check_case(event.problem, case)
    return defects + _find_missing_cases(plan, event.problem)


def _find_mismatch(plan: CapacityPlan, event: DemandEvent) -> PlanDefect | None:
    if plan.version != PLAN_VERSION:
        return PlanDefect(
            f"the file has version {plan.version}, but only {PLAN_VERSION} can be read; make the plan again"
        )
    starts_at = event.starts_at.isoformat()
    if plan.event != event.name or plan.starts_at != starts_at:
        return PlanDefect(f"made for {plan.event} at {plan.starts_at}, not for {event.name} at {starts_at}")
    if plan.fleet_checksum != calculate_fleet_checksum(event.problem):
        return PlanDefect("the fleet has changed since the plan was made; make the plan again")
    return None


def _check_case(problem: CapacityProblem, case: PlannedCase) -> list[PlanDefect]:
    name = case.describe()
    if case.slot >= problem.slot_count or set(case.lost_zones) - set(problem.zones):
        return [PlanDefect("the event has no such slot or zone", name)]
    lost_zones = frozenset(case.lost_zones)
    flows = case.flows()
    violations = find_violations(problem, case.slot, lost_zones, flows)
    defects = [PlanDefect(violation.description, name) for violation in violations]
    upper_bound = calculate_upper_bound(problem, case.slot, lost_zones, case.load_prices())
    gap = upper_bound - calculate_weighted_rate(problem, flows)
    if gap > calculate_rounding_tolerance(problem, lost_zones, RATE_UNITS):
        defects.append(
            PlanDefect(
                f"serves {float(gap):.6g} less weighted requests per second than possible; make it again",
                name,
            )
        )
    return defects + _check_shortfalls(problem, case, flows)


def _check_shortfalls(
    problem: CapacityProblem, case: PlannedCase, flows: dict[Flow, Fraction]
) -> list[PlanDefect]:
    """Compares the shortfalls that the plan states with those that follow from its flows."""
    stated = {(s.request_class, s.origin): Fraction(s.requests_per_s) for s in case.shortfalls}
    defects = []
    for key, demand in problem.demand.items():
        served = Fraction(0)
        for flow, rate in flows.items():
            if (flow.request_class, flow.origin) == key:
                served += rate
        missing = demand[case.slot] - served
        if abs(missing - stated.get(key, Fraction(0))) > SHORTFALL_TOLERANCE:
            class_name, origin = key
            text = f"{class_name} from {origin}: the stated shortfall differs from that of the flows"
            defects.append(PlanDefect(text, case.describe()))
    return defects


def _find_missing_cases(plan: CapacityPlan, problem: CapacityProblem) -> list[PlanDefect]:
    present = {(case.slot, case.lost_zones) for case in plan.cases}
    required_losses: list[tuple[str, ...]] = [(), *((zone,) for zone in problem.zones)]
    return [
        PlanDefect("missing", describe_case(slot, lost_zones))
        for slot in range(problem.slot_count)
        for lost_zones in required_losses
        if (slot, lost_zones) not in present
    ]
