"""What a plan is asked for, in exact figures; `docs/plans.md` states it. Free of I/O.

Rates are transactions a second. Workers of one hall, kind and cell are alike and form a group: which of them
takes a transaction is the weights' matter, so a plan's size does not grow with their number.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from fractions import Fraction
from typing import NamedTuple


class Group(NamedTuple):
    zone: str
    kind: str
    cell: str = ""


class Flow(NamedTuple):
    """Transactions of a class that arrive in a hall and are answered by a group."""

    cls: str
    origin: str
    group: Group


@dataclass(frozen=True, slots=True)
class Kind:
    """`rates`: what one worker answers of each class, doing nothing else; a class not named can't run."""

    name: str
    rates: Mapping[str, Fraction]
    loads: Mapping[str, Fraction] = field(init=False, compare=False)  # worker's worth of one a second

    def __post_init__(self) -> None:
        object.__setattr__(self, "loads", {c: 1 / x for c, x in self.rates.items()})


@dataclass(frozen=True, slots=True)
class Class:
    name: str
    gain: Fraction
    only_zones: tuple[str, ...] | None = None
    only_kinds: tuple[str, ...] | None = None
    stays_local: bool = False


@dataclass(frozen=True, slots=True)
class Problem:
    """`spare`: the part of each group kept free. `demand` by class, hall of origin and slot. `cross`: the
    cost of a transaction from one hall in another, 1 where none is given; `today` the flows that stand now,
    from which a plan moves as little as it can."""

    zones: tuple[str, ...]
    kinds: Mapping[str, Kind]
    classes: Mapping[str, Class]
    workers: Mapping[Group, int]
    demand: Mapping[tuple[str, str], tuple[Fraction, ...]]
    cross: Mapping[tuple[str, str], Fraction] = field(default_factory=dict)
    spare: Fraction = Fraction(0)
    today: Mapping[Flow, Fraction] = field(default_factory=dict)

    @property
    def slots(self) -> int:
        return max((len(d) for d in self.demand.values()), default=0)

    def flows(self, lost: frozenset[str] = frozenset()) -> list[Flow]:
        """All that may be, in one order whatever the order of input."""
        return [
            Flow(k, o, g)
            for k, o in sorted(self.demand)
            for g in sorted(self.workers)
            if self.workers[g] and g.zone not in lost and self._open(self.classes[k], o, g)
        ]

    def _open(self, c: Class, origin: str, g: Group) -> bool:
        return (
            c.name in self.kinds[g.kind].rates
            and (c.only_zones is None or g.zone in c.only_zones)
            and (c.only_kinds is None or g.kind in c.only_kinds)
            and (not c.stays_local or g.zone == origin)
        )

    def room(self, group: Group) -> Fraction:
        """Workers' worth of load that a group may carry."""
        return self.workers[group] * (1 - self.spare)

    def load(self, flow: Flow) -> Fraction:
        """Workers' worth of load of one transaction a second."""
        return self.kinds[flow.group.kind].loads[flow.cls]

    def cost(self, flow: Flow) -> Fraction:
        if flow.origin == flow.group.zone:
            return Fraction(0)
        return self.cross.get((flow.origin, flow.group.zone), Fraction(1))
