"""The capacity planning problem in exact arithmetic, as `docs/plans.md` describes it. Free of I/O.

Rates are requests per second. Replicas of one zone, kind and cell are interchangeable and form a group. The
weights decide which replica of a group serves a request, so the size of a plan does not depend on the number
of replicas.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from fractions import Fraction
from typing import NamedTuple

# The cost of serving a request outside its zone if the event file gives none for the pair of zones.
DEFAULT_CROSSING_COST = Fraction(1)


class ReplicaGroup(NamedTuple):
    """Interchangeable replicas: those of one zone, kind and cell."""

    zone: str
    kind: str
    cell: str = ""


class Flow(NamedTuple):
    """Requests of one class that arrive in one zone and are served by one group."""

    request_class: str
    origin: str
    group: ReplicaGroup


@dataclass(frozen=True, slots=True)
class ReplicaKind:
    """A kind of replica.

    Attributes:
        name: The name that groups refer to.
        requests_per_s: The rate at which one replica completes requests of each class if it serves nothing
            else. This kind can't serve a class that is not listed.
        load_by_class: The share of one replica that one request per second of each class occupies.
    """

    name: str
    requests_per_s: Mapping[str, Fraction]
    load_by_class: Mapping[str, Fraction] = field(init=False, compare=False)

    def __post_init__(self) -> None:
        """Computes the loads once, because the solver reads them often."""
        loads = {name: 1 / rate for name, rate in self.requests_per_s.items()}
        object.__setattr__(self, "load_by_class", loads)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests with its priority and where it may be served.

    `allowed_zones` and `allowed_kinds` are None if there is no restriction. A class with `zone_local` is
    served only in the zone where its requests arrive.
    """

    name: str
    priority_weight: Fraction
    allowed_zones: tuple[str, ...] | None = None
    allowed_kinds: tuple[str, ...] | None = None
    zone_local: bool = False


@dataclass(frozen=True, slots=True)
class CapacityProblem:
    """A fleet, and the demand that it has to serve in each time slot.

    Attributes:
        zones: All zones.
        kinds: The kinds of replicas by name.
        classes: The request classes by name.
        replica_counts: The number of replicas of each group.
        demand: Requests per second in each slot, by class and zone of origin.
        crossing_costs: The cost of a request that arrives in one zone and is served in another, by both
            zones; `DEFAULT_CROSSING_COST` for a pair that is not listed.
        reserved_share: The share of each group's capacity that is kept free.
        current_flows: The present flows. Of equally good plans, the one that changes them least is chosen.
    """

    zones: tuple[str, ...]
    kinds: Mapping[str, ReplicaKind]
    classes: Mapping[str, RequestClass]
    replica_counts: Mapping[ReplicaGroup, int]
    demand: Mapping[tuple[str, str], tuple[Fraction, ...]]
    crossing_costs: Mapping[tuple[str, str], Fraction] = field(default_factory=dict)
    reserved_share: Fraction = Fraction(0)
    current_flows: Mapping[Flow, Fraction] = field(default_factory=dict)

    @property
    def slot_count(self) -> int:
        """The number of time slots."""
        return max((len(rates) for rates in self.demand.values()), default=0)

    def allowed_flows(self, lost_zones: frozenset[str] = frozenset()) -> list[Flow]:
        """Returns all flows that the classes allow while zones are lost, sorted by name."""
        return [
            Flow(class_name, origin, group)
            for class_name, origin in sorted(self.demand)
            for group in sorted(self.replica_counts)
            if self.replica_counts[group]
            and group.zone not in lost_zones
            and self._is_allowed(self.classes[class_name], origin, group)
        ]

    def _is_allowed(self, request_class: RequestClass, origin: str, group: ReplicaGroup) -> bool:
        if request_class.name not in self.kinds[group.kind].requests_per_s:
            return False
        if request_class.allowed_zones is not None and group.zone not in request_class.allowed_zones:
            return False
        if request_class.allowed_kinds is not None and group.kind not in request_class.allowed_kinds:
            return False
        return not request_class.zone_local or group.zone == origin

    def capacity(self, group: ReplicaGroup) -> Fraction:
        """Returns the load that a group may carry, in replicas."""
        return self.replica_counts[group] * (1 - self.reserved_share)

    def load_per_request(self, flow: Flow) -> Fraction:
        """Returns the load of one request per second of a flow, in replicas."""
        return self.kinds[flow.group.kind].load_by_class[flow.request_class]

    def crossing_cost(self, flow: Flow) -> Fraction:
        """Returns the cost of one request of a flow for being served outside its zone; 0 within it."""
        if flow.origin == flow.group.zone:
            return Fraction(0)
        return self.crossing_costs.get((flow.origin, flow.group.zone), DEFAULT_CROSSING_COST)
