"""Data types of zone evacuation: the plan of all zones, and the load and constraints behind it. Free of I/O.

One record of the coordination store holds the plan. It contains the share of each zone's traffic that may
still be sent there. If the other zones can't serve all traffic, it also contains admission limits by request
class, which apply to the whole fleet. `evacuation_steps` computes how the plan changes.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from gradehoist.zones.health import PlanVersion


class ZoneEvacuation(msgspec.Struct, frozen=True):
    """How far one zone is evacuated.

    Attributes:
        traffic_share: Share (0 to 1) of the zone's traffic that may still be sent there.
        reason: Why the zone was evacuated.
        is_recovering: Whether the last step raised the share.
        relapses: How often the zone became unhealthy again during or after its recovery.
        required_healthy_us: How long the zone has to be healthy before the next step of its recovery.
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
        leader: Incarnation of the leader that wrote the plan.
        step: Number of steps taken under this generation.
        zones: Zones that are evacuated or recovering, and those in service whose last evacuation still
            counts in the wait before a recovery.
        admission_limits: Share of requests that may be admitted, by request class. Classes that are not
            listed are not limited.
    """

    generation: int = msgspec.field(name="gen")
    leader: str = msgspec.field(name="holder")
    step: int = 0
    zones: dict[str, ZoneEvacuation] = {}
    admission_limits: dict[str, float] = msgspec.field(default_factory=dict, name="levels")

    @property
    def version(self) -> PlanVersion:
        """The version that governors confirm once they apply the plan."""
        return PlanVersion(self.generation, self.step)

    def traffic_share(self, zone: str) -> float:
        """Return the share of a zone's traffic that may be sent there."""
        return self.zones.get(zone, IN_SERVICE).traffic_share


@dataclass(frozen=True)
class ZoneLoad:
    """Traffic and capacity of one zone, estimated from the health reports.

    Attributes:
        requests_per_s_by_class: Requests per second that the zone would get if all zones were in service.
        capacity_per_s: Requests per second that the zone's warm replicas can serve.
        sustainable_share: Share of its own traffic that the zone can serve while its replicas warm up.
    """

    requests_per_s_by_class: Mapping[str, float]
    capacity_per_s: float
    sustainable_share: float = 1.0

    @property
    def requests_per_s(self) -> float:
        """The traffic of all request classes together."""
        return sum(self.requests_per_s_by_class.values())


@dataclass(frozen=True)
class ClassConstraints:
    """Priority of a request class, and the zones that may serve it.

    Attributes:
        priority_weight: The class with the lowest weight is shed first.
        allowed_zones: Zones that may serve it; None means any.
        zone_local: Whether only the zone of the proxy may serve it.
    """

    priority_weight: float
    allowed_zones: frozenset[str] | None = None
    zone_local: bool = False

    def can_move_to(self, zones: frozenset[str]) -> bool:
        """Whether any of these zones may serve the class's traffic from another zone."""
        return not self.zone_local and (self.allowed_zones is None or bool(self.allowed_zones & zones))


@dataclass(frozen=True)
class EvacuationTiming:
    """Waiting times between steps of a plan.

    Attributes:
        settle_us: Minimum time from one step to the next.
        min_healthy_us: How long a zone has to be healthy before its first step of recovery. Each relapse
            doubles this time.
        max_healthy_us: Upper bound of that doubled time. The relapses of a zone in service no longer count
            once it has been healthy for this time.
    """

    settle_us: int
    min_healthy_us: int
    max_healthy_us: int
