"""The records of a capacity plan, as the JSON file stores them.

The encoded names and the order of the fields are part of the file's format; `tests/test_encoded_forms.py`
guards them.
"""

from __future__ import annotations

import zlib
from fractions import Fraction
from typing import NamedTuple

import msgspec

from gradehoist.capacity_planning.problem import CapacityProblem, Flow, ReplicaGroup
from gradehoist.capacity_planning.rounding import RATE_UNITS
from gradehoist.capacity_planning.solver import PRICE_UNITS

# The version of the file format.
PLAN_VERSION = 1


class ServedRate(msgspec.Struct, frozen=True, array_like=True):
    """The rate of one flow; `RATE_UNITS` rate units are one request per second."""

    request_class: str
    origin: str
    zone: str
    kind: str
    cell: str
    rate_units: int


class Shortfall(NamedTuple):
    """Demand that is not served; `requests_per_s` is an exact fraction in text form."""

    request_class: str
    origin: str
    requests_per_s: str


class ReplicaAddition(NamedTuple):
    """Replicas that would have to be added to a zone to meet all demand."""

    zone: str
    kind: str
    replica_count: int


class LoadPrice(NamedTuple):
    """The price of the load of one replica of a group; `PRICE_UNITS` price units are a price of 1."""

    zone: str
    kind: str
    cell: str
    price_units: int


class PlannedCase(msgspec.Struct, frozen=True):
    """One slot with some zones lost.

    Attributes:
        slot: The time slot.
        lost_zones: The zones whose replicas are unavailable, sorted by name.
        served: The rate of each flow.
        shortfalls: The demand that is not served.
        replicas_to_add: The additions with which all demand would be met; None if no number is enough.
        prices: Prices of load. The upper bound that follows from them proves that no plan serves more.
    """

    slot: int
    lost_zones: tuple[str, ...] = msgspec.field(name="lost")
    served: tuple[ServedRate, ...]
    shortfalls: tuple[Shortfall, ...] = msgspec.field(name="short", default=())
    replicas_to_add: tuple[ReplicaAddition, ...] | None = msgspec.field(name="add", default=())
    prices: tuple[LoadPrice, ...] = ()

    def flows(self) -> dict[Flow, Fraction]:
        """Returns the requests per second of each flow."""
        return {
            Flow(s.request_class, s.origin, ReplicaGroup(s.zone, s.kind, s.cell)): Fraction(
                s.rate_units, RATE_UNITS
            )
            for s in self.served
        }

    def load_prices(self) -> dict[ReplicaGroup, Fraction]:
        """Returns the prices of load by group. Negative prices in the file count as 0."""
        return {
            ReplicaGroup(p.zone, p.kind, p.cell): Fraction(max(0, p.price_units), PRICE_UNITS)
            for p in self.prices
        }

    def describe(self) -> str:
        """Returns the slot and the lost zones of this case, for messages."""
        return describe_case(self.slot, self.lost_zones)


def describe_case(slot: int, lost_zones: tuple[str, ...]) -> str:
    """Returns the name of a slot with some zones lost, for messages."""
    return f"slot {slot}, lost {', '.join(lost_zones) or 'none'}"


class CapacityPlan(msgspec.Struct, frozen=True):
    """A plan for one event: every slot, with all zones available and with each zone lost.

    Attributes:
        version: The version of the file's format.
        event: The event's name.
        starts_at: The start of the event in ISO 8601 with its UTC offset.
        time_zone: The name of the event's time zone.
        slot_s: The length of a slot in seconds.
        fleet_checksum: The checksum of the fleet that the plan was made for.
        cases: Every slot with every planned loss of zones.
    """

    version: int
    event: str
    starts_at: str = msgspec.field(name="begins")
    time_zone: str = msgspec.field(name="zone")
    slot_s: int = msgspec.field(name="slot")
    fleet_checksum: str = msgspec.field(name="fleet")
    cases: tuple[PlannedCase, ...]


def calculate_fleet_checksum(problem: CapacityProblem) -> str:
    """Returns a checksum of the zones, kinds, classes, replicas and reserved share.

    Plan files store it, so its input must keep its form.
    """
    kinds = [
        (name, sorted((class_name, str(rate)) for class_name, rate in kind.requests_per_s.items()))
        for name, kind in sorted(problem.kinds.items())
    ]
    classes = [
        (c.name, str(c.priority_weight), c.allowed_zones, c.allowed_kinds, c.zone_local)
        for _, c in sorted(problem.classes.items())
    ]
    fleet = [
        sorted(problem.zones),
        kinds,
        classes,
        sorted((*group, count) for group, count in problem.replica_counts.items()),
        str(problem.reserved_share),
    ]
    return f"{zlib.crc32(repr(fleet).encode()):08x}"
