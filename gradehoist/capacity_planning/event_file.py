"""Reads event files in KDL, which describe the fleet and the demand of each event by slot.

A file is parsed completely, and all its errors are reported together.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from fractions import Fraction
from itertools import pairwise
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from gradehoist.capacity_planning.problem import CapacityProblem, ReplicaGroup, ReplicaKind, RequestClass
from gradehoist.settings.reader import (
    Node,
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

US_PER_S = 1_000_000
# The largest rate, weight or cost: far above that of any fleet, yet cheap in exact arithmetic.
MAX_FIGURE = 1e9
# The least rate, in requests per second, at which a replica can serve a class.
MIN_RATE = 1e-6
MAX_RESERVED_SHARE = 0.95
MAX_REPLICAS = 100_000
MAX_SLOTS = 1_000

# The rates of each slot, by request class and zone of origin.
Demand = dict[tuple[str, str], tuple[Fraction, ...]]


@dataclass(frozen=True, slots=True)
class DemandEvent:
    """An announced event.

    Attributes:
        name: The event's name.
        starts_at: The start, in the event's own time zone.
        slot_s: The length of a time slot in seconds.
        problem: The fleet, and the demand of each slot.
    """

    name: str
    starts_at: datetime
    slot_s: int
    problem: CapacityProblem

    def utc_span(self) -> tuple[datetime, datetime]:
        """Returns start and end in UTC. Adding hours to a local time would ignore a clock change."""
        start = self.starts_at.astimezone(UTC)
        return start, start + timedelta(seconds=self.slot_s * self.problem.slot_count)


def fraction_parser(least: float, most: float) -> Callable[[Any], Fraction]:
    """Returns a parser of numbers within bounds that keeps their exact decimal value: 0.1 is 1/10."""
    check_number = number_parser(least, most)

    def parse(value: Any) -> Fraction:
        check_number(value)
        return Fraction(str(value))

    return parse


def parse_rates(value: Any) -> tuple[Fraction, ...]:
    """Parses a single rate, or a string with one rate for each slot."""
    texts = value.split() if isinstance(value, str) else [value]
    try:
        # The bounds are checked as floats first, because computing the exact value of 1e99999999 does not end
        # in any reasonable time.
        rates = tuple(Fraction(str(text)) for text in texts if 0 <= float(text) <= MAX_FIGURE)
    except (ValueError, ZeroDivisionError):
        rates = ()
    if not rates or len(rates) < len(texts):
        raise ValueError('expected rates of at least 0: one, or one for each slot, such as "12 30.5 18"')
    return rates


def parse_time_zone(value: Any) -> ZoneInfo:
    """Parses the name of a time zone."""
    try:
        return ZoneInfo(parse_text(value))
    except (ZoneInfoNotFoundError, ValueError):
        raise ValueError('expected a time zone such as "Asia/Tokyo"') from None


def parse_local_time(value: Any) -> datetime:
    """Parses an ISO 8601 date and time without a UTC offset."""
    try:
        local_time = datetime.fromisoformat(parse_text(value))
    except ValueError:
        local_time = None
    if local_time is None or local_time.tzinfo is not None:
        raise ValueError('expected a local time without offset such as "2027-02-05T09:00"')
    return local_time


def is_unique_local_time(local_time: datetime, time_zone: ZoneInfo) -> bool:
    """Whether a local time occurs exactly once. A clock change skips some times and repeats others."""
    earlier = local_time.replace(tzinfo=time_zone, fold=0)
    later = local_time.replace(tzinfo=time_zone, fold=1)
    return earlier.utcoffset() == later.utcoffset()


def read_events(path: Path) -> list[DemandEvent]:
    """Reads the events of a file.

    Raises:
        SettingsError: The file can't be read or has errors; it carries all that were found.
    """
    reader, root = load_document(path)
    events = _EventFileParser(root).parse()
    reader.raise_errors()
    _reject_overlaps(path, events)
    return events


def _reject_overlaps(path: Path, events: list[DemandEvent]) -> None:
    spans = sorted((*event.utc_span(), event.name) for event in events)
    for (_, end, name), (next_start, _, next_name) in pairwise(spans):
        if next_start < end:
            raise SettingsError(
                [
                    f"{path}: events {name} and {next_name} overlap; write them as one event "
                    "with the demand of both"
                ]
            )


class _EventFileParser:
    """Parses the document of one file and records the errors at its nodes."""

    def __init__(self, root: Node) -> None:
        self._root = root
        self._zones: tuple[str, ...] = ()
        self._kinds: dict[str, ReplicaKind] = {}
        self._classes: dict[str, RequestClass] = {}
        self._replica_counts: dict[ReplicaGroup, int] = {}
        self._crossing_costs: dict[tuple[str, str], Fraction] = {}
        self._reserved_share = Fraction(0)

    def parse(self) -> list[DemandEvent]:
        """Returns all well-formed events; the caller raises the errors of the others."""
        self._parse_zones()
        self._reject_duplicates()
        self._parse_kinds()
        self._parse_classes()
        self._reject_unknown_classes()
        self._parse_replica_counts()
        self._parse_crossing_costs()
        self._parse_reserved_share()
        parsed = [self._parse_event(node) for node in self._root.children_named("event")]
        if not parsed:
            remedy = 'add a node such as event "festival" begins="2027-02-05T09:00" …'
            self._root.add_error("the file has no event", remedy, "event")
        self._root.reject_unread()
        return [event for event in parsed if event is not None]

    def _parse_zones(self) -> None:
        node = self._root.require_child("zones")
        self._zones = node.get_names("zone names")
        node.reject_unread(expected_args=len(self._zones))

    def _reject_duplicates(self) -> None:
        for node_name in ("kind", "class", "event"):
            nodes = [node for node in self._root.children_named(node_name) if node.args]
            names = [node.args[0] for node in nodes]
            for node in nodes:
                if names.count(node.args[0]) > 1:
                    node.add_error(f"a {node_name} named twice", f"name each {node_name} once")

    def _parse_kinds(self) -> None:
        for node in self._root.children_named("kind"):
            name = node.get_name("a kind's name")
            requests_per_s = {}
            for child in node.children_named("of"):
                class_name = child.get_name("a class name")
                # A missing rate has been recorded as an error. The 1 lets parsing continue to further errors.
                rate = child.get("rate", fraction_parser(MIN_RATE, MAX_FIGURE)) or Fraction(1)
                requests_per_s[class_name] = rate
                child.reject_unread(expected_args=1)
            self._kinds[name] = ReplicaKind(name, requests_per_s)
            node.reject_unread(expected_args=1)

    def _parse_classes(self) -> None:
        for node in self._root.children_named("class"):
            name = node.get_name("a class name")
            allowed_zones = None
            if "only-zones" in node.props:
                allowed_zones = node.get("only-zones", names_parser(self._zones))
            allowed_kinds = None
            if "only-kinds" in node.props:
                allowed_kinds = node.get("only-kinds", names_parser(self._kinds))
            self._classes[name] = RequestClass(
                name=name,
                priority_weight=node.get("gain", fraction_parser(0, MAX_FIGURE), Fraction(1)),
                allowed_zones=allowed_zones,
                allowed_kinds=allowed_kinds,
                zone_local=node.get("stays-local", parse_boolean, False),
            )
            node.read_keys |= {"only-zones", "only-kinds"}
            node.reject_unread(expected_args=1)

    def _reject_unknown_classes(self) -> None:
        for node in self._root.children_named("kind"):
            for child in node.children_named("of"):
                if child.args and child.args[0] not in self._classes:
                    child.add_error("an unknown request class", "name one of " + ", ".join(self._classes))

    def _parse_replica_counts(self) -> None:
        for node in self._root.children_named("workers"):
            group = ReplicaGroup(
                zone=node.get("zone", choice_parser(self._zones), ""),
                kind=node.get("kind", choice_parser(self._kinds), ""),
                cell=node.get("cell", parse_text, ""),
            )
            count = node.get("count", integer_parser(0, MAX_REPLICAS)) or 0
            self._replica_counts[group] = self._replica_counts.get(group, 0) + count
            node.reject_unread()

    def _parse_crossing_costs(self) -> None:
        parse_zone = choice_parser(self._zones)
        for node in self._root.children_named("cross"):
            pair = (node.get("from", parse_zone, ""), node.get("to", parse_zone, ""))
            self._crossing_costs[pair] = node.get("cost", fraction_parser(0, MAX_FIGURE))
            node.reject_unread()

    def _parse_reserved_share(self) -> None:
        node = self._root.child("spare")
        if node is not None:
            self._reserved_share = node.get("part", fraction_parser(0, MAX_RESERVED_SHARE))
            node.reject_unread()

    def _parse_event(self, node: Node) -> DemandEvent | None:
        """Returns the event of a node, or None if it has no valid start, time zone or slot length."""
        name = node.get_name("an event's name")
        time_zone = node.get("zone", parse_time_zone)
        local_start = node.get("begins", parse_local_time)
        slot_us = node.get("slot", parse_duration_us)
        slot_count = node.get("slots", integer_parser(1, MAX_SLOTS))
        if slot_us is not None and slot_us < US_PER_S:
            node.add_error("a slot shorter than one second", 'write, for example, slot="1h"', "slot")
        if local_start and time_zone and not is_unique_local_time(local_start, time_zone):
            node.add_error(
                "a local time that a clock change skips or repeats",
                "choose a time one hour earlier or later",
                "begins",
            )
        demand = self._parse_demand(node, slot_count)
        node.reject_unread(expected_args=1)
        if not (local_start and time_zone and slot_us):
            return None
        return DemandEvent(
            name=name,
            starts_at=local_start.replace(tzinfo=time_zone),
            slot_s=slot_us // US_PER_S,
            problem=self._build_problem(demand),
        )

    def _parse_demand(self, event: Node, slot_count: int | None) -> Demand:
        demand: Demand = {}
        for node in event.children_named("demand"):
            class_name = node.get("class", choice_parser(self._classes), "")
            origin = node.get("zone", choice_parser(self._zones), "")
            rates = node.get("rates", parse_rates)
            if rates and slot_count and len(rates) not in (1, slot_count):
                node.add_error(
                    f"{len(rates)} rates for {slot_count} slots",
                    "give one rate, or one for each slot",
                    "rates",
                )
            if (class_name, origin) in demand:
                node.add_error("demand of this class and zone given twice", "add both up in one node")
            if rates and slot_count:
                demand[class_name, origin] = rates * slot_count if len(rates) == 1 else rates
            node.reject_unread()
        return demand

    def _build_problem(self, demand: Demand) -> CapacityProblem:
        return CapacityProblem(
            zones=self._zones,
            kinds=self._kinds,
            classes=self._classes,
            replica_counts=self._replica_counts,
            demand=demand,
            crossing_costs=self._crossing_costs,
            reserved_share=self._reserved_share,
        )
