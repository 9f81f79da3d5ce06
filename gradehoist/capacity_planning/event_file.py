"""Events in KDL: fleet, demand by slot and the event's window, checked whole, every error at once."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from fractions import Fraction
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from gradehoist.capacity_planning.problem import Class, Group, Kind, Problem
from gradehoist.settings import reader as r


@dataclass(frozen=True, slots=True)
class Event:
    """`begins` in the event's own time zone; `slot` in seconds."""

    name: str
    begins: datetime
    slot: int
    problem: Problem


def exact(least: float, most: float) -> Any:
    """A figure as it was written: 0.1 is a tenth."""
    number = r.number(least, most)

    def read(value: Any) -> Fraction:
        number(value)
        return Fraction(str(value))

    return read


def rates(value: Any) -> tuple[Fraction, ...]:
    """A rate, or text with one for each slot."""
    words = value.split() if isinstance(value, str) else [value]
    try:
        # Read as floats first: exact, 1e99999999 kept a plan's reader busy for good.
        found = tuple(Fraction(str(x)) for x in words if 0 <= float(x) <= 1e9)
    except (ValueError, ZeroDivisionError):
        found = ()
    if not found or len(found) < len(words):
        raise ValueError('expected rates from 0 up, one or one for each slot, such as "12 30.5 18"')
    return found


def zone(value: Any) -> ZoneInfo:
    try:
        return ZoneInfo(r.text(value))
    except (ZoneInfoNotFoundError, ValueError):
        raise ValueError('expected a time zone such as "Asia/Tokyo"') from None


def local(value: Any) -> datetime:
    try:
        found = datetime.fromisoformat(r.text(value))
    except ValueError:
        found = None
    if found is None or found.tzinfo is not None:
        raise ValueError('expected a local time without offset such as "2027-02-05T09:00"')
    return found


def one(at: datetime, where: ZoneInfo) -> bool:
    """Whether the local time is there exactly once: a clock change leaves times out, or brings them twice."""
    early, late = at.replace(tzinfo=where, fold=0), at.replace(tzinfo=where, fold=1)
    return early.utcoffset() == late.utcoffset()


def read(path: Path) -> list[Event]:
    """Raises SettingsError with every error found."""
    reader, root = r.load(path)
    node = root.need("zones")
    zones = node.words("zone names")
    node.done(args=len(zones))
    kinds: dict[str, Kind] = {}
    classes: dict[str, Class] = {}
    for what in ("kind", "class", "event"):
        seen = [n.args[0] for n in root.all(what) if n.args]
        for n in root.all(what):
            if n.args and seen.count(n.args[0]) > 1:
                n.fault(f"a {what} named twice", f"name each {what} once")
    for n in root.all("kind"):
        name = n.word("a kind's name")
        of = {}
        for x in n.all("of"):
            of[x.word("a class name")] = x.get("rate", exact(1e-6, 1e9)) or Fraction(1)  # told at the end
            x.done(args=1)
        kinds[name] = Kind(name, of)
        n.done(args=1)
    for n in root.all("class"):
        name = n.word("a class name")
        some_zones = n.get("only-zones", r.names(zones)) if "only-zones" in n.props else None
        some_kinds = n.get("only-kinds", r.names(kinds)) if "only-kinds" in n.props else None
        classes[name] = Class(
            name,
            n.get("gain", exact(0, 1e9), Fraction(1)),
            some_zones,
            some_kinds,
            n.get("stays-local", r.flag, False),
        )
        n.taken |= {"only-zones", "only-kinds"}
        n.done(args=1)
    for n in root.all("kind"):
        for x in n.all("of"):
            if x.args and x.args[0] not in classes:
                x.fault("a class that is not here", "name one of " + ", ".join(classes))
    workers: dict[Group, int] = {}
    for n in root.all("workers"):
        group = Group(
            n.get("zone", r.one_of(zones), ""), n.get("kind", r.one_of(kinds), ""), n.get("cell", r.text, "")
        )
        workers[group] = workers.get(group, 0) + (n.get("count", r.whole(0, 100_000)) or 0)
        n.done()
    cross = {}
    for n in root.all("cross"):
        pair = (n.get("from", r.one_of(zones), ""), n.get("to", r.one_of(zones), ""))
        cross[pair] = n.get("cost", exact(0, 1e9))
        n.done()
    spare = Fraction(0)
    if free := root.child("spare"):
        spare = free.get("part", exact(0, 0.95))
        free.done()
    events = []
    for n in root.all("event"):
        name, where, at = n.word("an event's name"), n.get("zone", zone), n.get("begins", local)
        slot, slots = n.get("slot", r.time), n.get("slots", r.whole(1, 1_000))
        if slot is not None and slot < 1_000_000:
            n.fault("a slot under a second", 'write such as slot="1h"', "slot")
        if at and where and not one(at, where):
            n.fault(
                "a local time that a clock change leaves out or brings twice",
                "choose a time an hour before or after",
                "begins",
            )
        demand = {}
        for x in n.all("demand"):
            key = (x.get("class", r.one_of(classes), ""), x.get("zone", r.one_of(zones), ""))
            some = x.get("rates", rates)
            if some and slots and len(some) not in (1, slots):
                x.fault(f"{len(some)} rates for {slots} slots", "give one, or one for each slot", "rates")
            if key in demand:
                x.fault("the same demand twice", "add them up in one node")
            if some and slots:
                demand[key] = some * slots if len(some) == 1 else some
            x.done()
        n.done(args=1)
        if at and where and slot:
            events.append(
                Event(
                    name,
                    at.replace(tzinfo=where),
                    slot // 1_000_000,
                    Problem(zones, kinds, classes, workers, demand, cross, spare),
                )
            )
    if not root.all("event"):
        root.fault("no event", 'add a node such as event "festival" begins="2027-02-05T09:00" …', "event")
    root.done()
    reader.finish()
    # In UTC: added to a local time, hours across a clock change are the clock's and not those that pass.
    spans = sorted(
        (at := e.begins.astimezone(UTC), at + timedelta(seconds=e.slot * e.problem.slots), e.name)
        for e in events
    )
    for (_, end, first), (begins, _, second) in zip(spans, spans[1:], strict=False):
        if begins < end:
            raise r.SettingsError(
                [
                    f"{path}: events {first} and {second} overlap; write them as one event "
                    "with the demand of both"
                ]
            )
    return events
