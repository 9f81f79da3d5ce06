"""Records of an evacuation: the plan of all zones, and what is known of zones and classes. Free of I/O.

One record of the coordination store holds the plan: the share of each zone's traffic that may still go there,
and one admission limit per class for the fleet where the other zones can't carry everything. How the plan
changes is in `evacuation_steps`.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from gradehoist.zones.health import PlanVersion


class ZoneEvacuation(msgspec.Struct, frozen=True):
    """How far one zone is evacuated.

    Attributes:
        traffic_share: Share (0 to 1) of its traffic that may still go there.
        reason: Why it was evacuated.
        is_recovering: Whether the last step raised the share.
        relapses: How often it failed after a step of recovery.
        required_healthy_us: How long it has to be healthy before the next step of recovery.
    """

    traffic_share: float = msgspec.field(default=1.0, name="to")
    reason: str = msgspec.field(default="", name="why")
    is_recovering: bool = msgspec.field(default=False, name="back")
    relapses: int = msgspec.field(default=0, name="flaps")
    required_healthy_us: int = msgspec.field(default=0, name="wait")


IN_SERVICE = ZoneEvacuation()


class EvacuationPlan(msgspec.Struct, frozen=True):
    """The plan of all zones, a record of the coordination store.

    Attributes:
        generation: Generation of the leader's fencing token.
        leader: Incarnation of the process that made it.
        step: Counts the steps within a generation.
        zones: Zones that are not simply in service.
        admission_limits: Admitted share by class; classes that are not listed are admitted whole.
    """

    generation: int = msgspec.field(name="gen")
    leader: str = msgspec.field(name="holder")
    step: int = 0
    zones: dict[str, ZoneEvacuation] = {}
    admission_limits: dict[str, float] = msgspec.field(default_factory=dict, name="levels")

    @property
    def version(self) -> PlanVersion:
        """The version that governors confirm."""
        return PlanVersion(self.generation, self.step)

    def traffic_share(self, zone: str) -> float:
        """Share of a zone's traffic that may go there."""
        return self.zones.get(zone, IN_SERVICE).traffic_share


@dataclass(frozen=True)
class ZoneLoad:
    """Traffic and capacity of one zone, as far as the fleet knows them.

    Attributes:
        requests_per_s_by_class: Traffic that would go there with all zones in service.
        capacity_per_s: Requests per second that its warm replicas can serve.
        sustainable_share: Share of its own traffic that it can serve while its replicas warm up.
    """

    requests_per_s_by_class: Mapping[str, float]
    capacity_per_s: float
    sustainable_share: float = 1.0

    @property
    def requests_per_s(self) -> float:
        """Traffic of all classes."""
        return sum(self.requests_per_s_by_class.values())


@dataclass(frozen=True)
class ClassConstraints:
    """Priority of a request class, and the zones that may serve it.

    Attributes:
        priority_weight: The class with the least weight is shed first.
        allowed_zones: Zones that may serve it; None means any.
        zone_local: Whether only the zone of the proxy may serve it.
    """

    priority_weight: float
    allowed_zones: frozenset[str] | None = None
    zone_local: bool = False

    def can_move_to(self, zones: frozenset[str]) -> bool:
        """Whether one of these zones may serve traffic of the class that leaves its own zone."""
        return not self.zone_local and (self.allowed_zones is None or bool(self.allowed_zones & zones))


@dataclass(frozen=True)
class EvacuationTiming:
    """Waiting times between steps.

    Attributes:
        settle_us: From one step to the next.
        min_healthy_us: How long a zone is healthy before its first step of recovery; doubled by each relapse.
        max_healthy_us: Bound of that doubling; after so long healthy in service, relapses are forgotten.
    """

    settle_us: int
    min_healthy_us: int
    max_healthy_us: int
