"""A whole plan: every slot of an event, as it stands and with each hall lost; its file; and its check."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from fractions import Fraction
from itertools import combinations

import msgspec

from gradehoist.capacity_planning import verification
from gradehoist.capacity_planning.event_file import Event
from gradehoist.capacity_planning.problem import Flow, Group, Problem
from gradehoist.capacity_planning.solver import GRID, PRICES, addition, solve

VERSION = 1


class Served(msgspec.Struct, frozen=True, array_like=True):
    """`rate` in parts of the grid of a transaction a second."""

    cls: str
    origin: str
    zone: str
    kind: str
    cell: str
    rate: int


class Case(msgspec.Struct, frozen=True):
    """A slot with some halls lost: what is served where, what falls short (class, hall, rate as written in a
    fraction), and the workers that would mend it by hall and kind; none where no number would. `prices` of
    load by hall, kind and cell prove that nothing gains more."""

    slot: int
    lost: tuple[str, ...]
    served: tuple[Served, ...]
    short: tuple[tuple[str, str, str], ...] = ()
    add: tuple[tuple[str, str, int], ...] | None = ()
    prices: tuple[tuple[str, str, str, int], ...] = ()

    def flows(self) -> dict[Flow, Fraction]:
        return {
            Flow(s.cls, s.origin, Group(s.zone, s.kind, s.cell)): Fraction(s.rate, GRID) for s in self.served
        }


class Plan(msgspec.Struct, frozen=True):
    """`begins` in ISO 8601 with its offset, `zone` the time zone's name; `fleet` marks the fleet."""

    version: int
    event: str
    begins: str
    zone: str
    slot: int
    fleet: str
    cases: tuple[Case, ...]


def mark(problem: Problem) -> str:
    """The same for the same halls, kinds, classes and workers."""
    kinds = [
        (name, sorted((c, str(x)) for c, x in k.rates.items())) for name, k in sorted(problem.kinds.items())
    ]
    rows = [
        sorted(problem.zones),
        kinds,
        [
            (c.name, str(c.gain), c.only_zones, c.only_kinds, c.stays_local)
            for _, c in sorted(problem.classes.items())
        ],
        sorted((*g, n) for g, n in problem.workers.items()),
        str(problem.spare),
    ]
    return f"{zlib.crc32(repr(rows).encode()):08x}"


def make(
    event: Event, pairs: bool = False, told: Callable[[int, int], None] = lambda done, all: None
) -> Plan:
    """Raises Unsolved. `pairs`: also each two halls lost together; `told` hears cases done, of all."""
    problem = event.problem
    losses = [frozenset[str](), *(frozenset({z}) for z in sorted(problem.zones))]
    if pairs:
        losses += [frozenset(p) for p in combinations(sorted(problem.zones), 2)]
    cases: list[Case] = []
    for slot in range(problem.slots):
        for lost in losses:
            answer = solve(problem, slot, lost)
            short = tuple((k, o, str(x)) for (k, o), x in answer.short.items() if x > Fraction(1, 1000))
            more = addition(problem, slot, lost) if short else {}
            served = tuple(
                Served(f.cls, f.origin, *f.group, int(x * GRID)) for f, x in sorted(answer.flows.items())
            )
            add = None if more is None else tuple((g.zone, g.kind, n) for g, n in sorted(more.items()))
            prices = tuple((*g, int(x * PRICES)) for g, x in sorted(answer.prices.items()) if x)
            cases.append(Case(slot, tuple(sorted(lost)), served, short, add, prices))
            told(len(cases), problem.slots * len(losses))
    return Plan(
        VERSION,
        event.name,
        event.begins.isoformat(),
        str(event.begins.tzinfo),
        event.slot,
        mark(problem),
        tuple(cases),
    )


def check(plan: Plan, event: Event) -> list[str]:
    """Why a plan does not fit an event or breaks a bound, each in words; none for one that may be used."""
    if plan.version != VERSION:
        return [f"version {plan.version}; this program reads {VERSION}: make it anew"]
    if plan.event != event.name or plan.begins != event.begins.isoformat():
        return [f"made for {plan.event} at {plan.begins}, not for {event.name} at {event.begins.isoformat()}"]
    if plan.fleet != mark(event.problem):
        return ["the fleet has changed since it was made; make it anew"]
    out = []
    for case in plan.cases:
        name = f"slot {case.slot}, lost {', '.join(case.lost) or 'none'}"
        if case.slot >= event.problem.slots or set(case.lost) - set(event.problem.zones):
            out.append(f"{name}: none of the event's")
            continue
        lost, flows = frozenset(case.lost), case.flows()
        out += [f"{name}: {x}" for x in verification.faults(event.problem, case.slot, lost, flows)]
        prices = {Group(z, k, c): Fraction(max(0, x), PRICES) for z, k, c, x in case.prices}
        gap = verification.most(event.problem, case.slot, lost, prices) - verification.gain(
            event.problem, flows
        )
        if gap > verification.rounding(event.problem, lost, GRID):
            out.append(f"{name}: gains {float(gap):.6g} less a second than it may; make it anew")
        said = {(k, o): Fraction(x) for k, o, x in case.short}
        for (k, o), demand in event.problem.demand.items():
            got = sum((x for f, x in flows.items() if (f.cls, f.origin) == (k, o)), Fraction(0))
            if abs(demand[case.slot] - got - said.get((k, o), Fraction(0))) > Fraction(1, 1000):
                out.append(f"{name}: {k} from {o} falls short by another figure than it says")
    there = {(c.slot, c.lost) for c in plan.cases}
    for n in range(event.problem.slots):
        out += [
            f"slot {n}, lost {', '.join(x) or 'none'}: missing"
            for x in ((), *((z,) for z in event.problem.zones))
            if (n, x) not in there
        ]
    return out
