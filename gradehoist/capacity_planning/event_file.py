"""Events in KDL: fleet, demand by slot and the event's window, checked whole, every error at once."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from fractions import Fraction
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from gradehoist.capacity_planning.problem import Class, Group, Kind, Problem
from gradehoist.settings.reader import (
    SettingsError,
    choice_parser,
    integer_parser,
    load_document,
    names_parser,
    number_parser,
    parse_boolean,
    parse_duration_us,
    parse_text,
)


@dataclass(frozen=True, slots=True)
class Event:
    """`begins` in the event's own time zone; `slot` in seconds."""

    name: str
    begins: datetime
    slot: int
    problem: Problem


def exact(least: float, most: float) -> Any:
    """A figure as it was written: 0.1 is a tenth."""
    number = number_parser(least, most)

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
        return ZoneInfo(parse_text(value))
    except (ZoneInfoNotFoundError, ValueError):
        raise ValueError('expected a time zone such as "Asia/Tokyo"') from None


def local(value: Any) -> datetime:
    try:
        found = datetime.fromisoformat(parse_text(value))
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
    reader, root = load_document(path)
    node = root.require_child("zones")
    zones = node.get_names("zone names")
    node.reject_unread(expected_args=len(zones))
    kinds: dict[str, Kind] = {}
    classes: dict[str, Class] = {}
    for what in ("kind", "class", "event"):
        seen = [n.args[0] for n in root.children_named(what) if n.args]
        for n in root.children_named(what):
            if n.args and seen.count(n.args[0]) > 1:
                n.add_error(f"a {what} named twice", f"name each {what} once")
    for n in root.children_named("kind"):
        name = n.get_name("a kind's name")
        of = {}
        for x in n.children_named("of"):
            of[x.get_name("a class name")] = x.get("rate", exact(1e-6, 1e9)) or Fraction(1)  # told at the end
            x.reject_unread(expected_args=1)
        kinds[name] = Kind(name, of)
        n.reject_unread(expected_args=1)
    for n in root.children_named("class"):
        name = n.get_name("a class name")
        some_zones = n.get("only-zones", names_parser(zones)) if "only-zones" in n.props else None
        some_kinds = n.get("only-kinds", names_parser(kinds)) if "only-kinds" in n.props else None
        classes[name] = Class(
            name,
            n.get("gain", exact(0, 1e9), Fraction(1)),
            some_zones,
            some_kinds,
            n.get("stays-local", parse_boolean, False),
        )
        n.read_keys |= {"only-zones", "only-kinds"}
        n.reject_unread(expected_args=1)
    for n in root.children_named("kind"):
        for x in n.children_named("of"):
            if x.args and x.args[0] not in classes:
                x.add_error("a class that is not here", "name one of " + ", ".join(classes))
    workers: dict[Group, int] = {}
    for n in root.children_named("workers"):
        group = Group(
            n.get("zone", choice_parser(zones), ""),
            n.get("kind", choice_parser(kinds), ""),
            n.get("cell", parse_text, ""),
        )
        workers[group] = workers.get(group, 0) + (n.get("count", integer_parser(0, 100_000)) or 0)
        n.reject_unread()
    cross = {}
    for n in root.children_named("cross"):
        pair = (n.get("from", choice_parser(zones), ""), n.get("to", choice_parser(zones), ""))
        cross[pair] = n.get("cost", exact(0, 1e9))
        n.reject_unread()
    spare = Fraction(0)
    if free := root.child("spare"):
        spare = free.get("part", exact(0, 0.95))
        free.reject_unread()
    events = []
    for n in root.children_named("event"):
        name, where, at = n.get_name("an event's name"), n.get("zone", zone), n.get("begins", local)
        slot, slots = n.get("slot", parse_duration_us), n.get("slots", integer_parser(1, 1_000))
        if slot is not None and slot < 1_000_000:
            n.add_error("a slot under a second", 'write such as slot="1h"', "slot")
        if at and where and not one(at, where):
            n.add_error(
                "a local time that a clock change leaves out or brings twice",
                "choose a time an hour before or after",
                "begins",
            )
        demand = {}
        for x in n.children_named("demand"):
            key = (x.get("class", choice_parser(classes), ""), x.get("zone", choice_parser(zones), ""))
            some = x.get("rates", rates)
            if some and slots and len(some) not in (1, slots):
                x.add_error(f"{len(some)} rates for {slots} slots", "give one, or one for each slot", "rates")
            if key in demand:
                x.add_error("the same demand twice", "add them up in one node")
            if some and slots:
                demand[key] = some * slots if len(some) == 1 else some
            x.reject_unread()
        n.reject_unread(expected_args=1)
        if at and where and slot:
            events.append(
                Event(
                    name,
                    at.replace(tzinfo=where),
                    slot // 1_000_000,
                    Problem(zones, kinds, classes, workers, demand, cross, spare),
                )
            )
    if not root.children_named("event"):
        root.add_error("no event", 'add a node such as event "festival" begins="2027-02-05T09:00" …', "event")
    root.reject_unread()
    reader.raise_errors()
    # In UTC: added to a local time, hours across a clock change are the clock's and not those that pass.
    spans = sorted(
        (at := e.begins.astimezone(UTC), at + timedelta(seconds=e.slot * e.problem.slots), e.name)
        for e in events
    )
    for (_, end, first), (begins, _, second) in zip(spans, spans[1:], strict=False):
        if begins < end:
            raise SettingsError(
                [
                    f"{path}: events {first} and {second} overlap; write them as one event "
                    "with the demand of both"
                ]
            )
    return events
