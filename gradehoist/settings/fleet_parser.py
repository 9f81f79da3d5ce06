"""Reads the settings of a fleet and its governors: the nodes `fleet` and `governor`.

Errors are collected in the order in which the nodes are read, and `read_settings` raises all of them
together.
"""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any, TypeVar

import msgspec

from gradehoist.interface import Idempotency
from gradehoist.settings.fleet import (
    DEFAULT_LEASE_US,
    DEFAULT_SETTLE_US,
    Address,
    CellPlacement,
    CoordinationSettings,
    FleetSettings,
    GovernorSettings,
    RequestClassSettings,
    Settings,
)
from gradehoist.settings.fleet_sections import (
    parse_channel_limits,
    parse_evacuation_timing,
    parse_load_reporting,
    parse_rate_limits,
    parse_safety_limits,
)
from gradehoist.settings.reader import (
    Node,
    choice_parser,
    duration_parser,
    integer_parser,
    load_document,
    names_parser,
    number_parser,
    parse_address,
    parse_boolean,
    parse_duration_us,
    parse_text,
)

Value = TypeVar("Value")

US_PER_S = 1_000_000
DEFAULT_POLL_HOLD_US = 2 * US_PER_S
MAX_POLL_HOLD_US = 60 * US_PER_S
DEFAULT_SILENCE_LIMIT_US = 3 * US_PER_S
DEFAULT_HEALTH_CHECK_TIMEOUT_US = 500_000
DEFAULT_MAX_HEALTH_CHECKS = 8
UNASSIGNED_ADDRESS: Address = ("127.0.0.1", 0)


def read_settings(path: str | Path) -> Settings:
    """Reads a settings file. Raises SettingsError with all errors of the file."""
    reader, root = load_document(path)
    settings = parse_settings(root, Path(path).parent)
    root.reject_unread()
    reader.raise_errors()
    return settings


def parse_settings(root: Node, folder: Path, addresses_required: bool = True) -> Settings:
    """Reads the nodes `fleet` and `governor`; errors are collected in the reader of `root`.

    The caller reports other, unknown nodes of the root. Relative paths start at `folder`. Addresses may be
    omitted unless they are required; those of a scenario are chosen when it is run.
    """
    node = root.require_child("fleet")
    fleet = _parse_fleet(node, folder, addresses_required)
    governors = _parse_governors(root, fleet.zones, folder, addresses_required)
    return Settings(fleet=fleet, governors=governors)


def _parse_fleet(node: Node, folder: Path, addresses_required: bool) -> FleetSettings:
    zones = node.require_child("zones")
    kinds = node.child("kinds")
    zone_names = zones.get_names("zone names")
    kind_names = kinds.get_names("kind names") if kinds else ()
    classes = _parse_classes(node, zone_names, kind_names)
    rules = node.require_child("rules")
    channel = node.require_child("channel")
    reports = node.require_child("reports")
    probes = node.child("probes")
    feed = node.child("feed")
    fleet = FleetSettings(
        zones=zone_names,
        kinds=kind_names,
        classes=classes,
        proxy_count=node.get("relays", integer_parser(1, 1_000_000)),
        admission_enabled=node.get("admission", choice_parser(("share", "off")), "share") == "share",
        safety=parse_safety_limits(rules),
        channel=parse_channel_limits(channel),
        load_reporting=parse_load_reporting(reports, health_checks_allowed=probes is not None),
        report_lines_per_s=reports.get("intake", number_parser(1, 1e9), 1000.0),
        endpoint_list_address=_parse_address_of(node, "roster", addresses_required),
        poll_hold_us=_get_or(feed, "hold", duration_parser("10ms"), DEFAULT_POLL_HOLD_US),
        silence_limit_us=_get_or(feed, "silence", parse_duration_us, DEFAULT_SILENCE_LIMIT_US),
        health_check_timeout_us=_get_or(
            probes, "deadline", duration_parser("1ms"), DEFAULT_HEALTH_CHECK_TIMEOUT_US
        ),
        max_health_checks=_get_or(probes, "at-once", integer_parser(1, 10_000), DEFAULT_MAX_HEALTH_CHECKS),
        placement=_parse_placement(node, folder),
        coordination=_parse_coordination(node, folder),
    )
    if feed:
        _check_poll_hold(feed, fleet)
    _check_queue_limit(channel, fleet)
    for section in (rules, channel, reports, probes, feed):
        if section:
            section.reject_unread()
    zones.reject_unread(expected_args=len(zones.args))
    if kinds:
        kinds.reject_unread(expected_args=len(kinds.args))
    node.reject_unread()
    return fleet


def _get_or(section: Node | None, key: str, parse: Callable[[Any], Value], default: Value) -> Value:
    """Returns a property, or `default` if the property or its whole section is missing."""
    return default if section is None else section.get(key, parse, default)


def _parse_address_of(node: Node, key: str, required: bool) -> Address:
    if required or key in node.props:
        return node.get(key, parse_address)
    return UNASSIGNED_ADDRESS


def _check_poll_hold(feed: Node, fleet: FleetSettings) -> None:
    if fleet.poll_hold_us >= MAX_POLL_HOLD_US:
        feed.add_error("expected a time under a minute", "correct it", "hold")


def _check_queue_limit(channel: Node, fleet: FleetSettings) -> None:
    """Checks that a withdrawal fits into the queue beside other messages.

    If all proxies are connected to one governor, a withdrawal is one message to each of them, which consists
    of its overhead, a line and a revision. The queue has to hold twice as much: with half the required limit,
    no drain was ever sent.
    """
    required_lines = 2 * (fleet.proxy_count or 0) * ((fleet.channel.message_overhead_lines or 0) + 2)
    if fleet.channel.queue_limit_lines and fleet.channel.queue_limit_lines < required_lines:
        channel.add_error(
            f"a drain with {fleet.proxy_count} relays needs {required_lines:g} lines beside other messages",
            f"set queue-limit={required_lines:g} or more, or have fewer relays",
            "queue-limit",
        )


def _parse_classes(
    fleet: Node, zones: tuple[str, ...], kinds: tuple[str, ...]
) -> tuple[RequestClassSettings, ...]:
    nodes = fleet.children_named("class")
    classes = tuple(_parse_class(node, zones, kinds) for node in nodes)
    if not classes:
        fleet.add_error(
            "expected at least one class", 'add a node such as class "read" goal="1s" cutoff="2s"', "class"
        )
    names = [settings.name for settings in classes]
    for node in nodes:
        if node.args and names.count(node.args[0]) > 1:
            node.add_error("a class named twice", "name each class once")
    return classes


def _parse_class(node: Node, zones: tuple[str, ...], kinds: tuple[str, ...]) -> RequestClassSettings:
    latency_objective_us = node.get("goal", duration_parser("1ms"))
    deadline_us = node.get("cutoff", duration_parser("1ms"))
    if latency_objective_us and deadline_us and latency_objective_us > deadline_us:
        node.add_error("the latency goal lies beyond the cut-off", "set goal to cutoff at most", "goal")
    allowed_zones = node.get("only-zones", names_parser(zones)) if "only-zones" in node.props else None
    allowed_kinds = node.get("only-kinds", names_parser(kinds)) if "only-kinds" in node.props else None
    idempotency_names = [member.value for member in Idempotency]
    settings = RequestClassSettings(
        name=node.get_name("a class name"),
        latency_objective_us=latency_objective_us,
        deadline_us=deadline_us,
        priority_weight=node.get("gain", number_parser(0, 1e9), 1.0),
        late_priority_factor=node.get("late-gain", number_parser(0, 1), 0.0),
        idempotency=Idempotency(node.get("repeat", choice_parser(idempotency_names), "single")),
        allowed_zones=allowed_zones,
        allowed_kinds=allowed_kinds,
        zone_local=node.get("stays-local", parse_boolean, False),
    )
    node.read_keys |= {"only-zones", "only-kinds"}
    node.reject_unread(expected_args=1)
    return settings


def _parse_coordination(fleet: Node, folder: Path) -> CoordinationSettings | None:
    node = fleet.child("coordination")
    if node is None:
        return None
    if ("folder" in node.props) == ("engine" in node.props):
        node.add_error(
            "expected the location of the coordination store",
            'give folder="var/register" for one machine, or '
            'engine="127.0.0.1:2379" for many; one of the two',
        )
    settings = CoordinationSettings(
        folder=folder / node.get("folder", parse_text) if "folder" in node.props else None,
        etcd_address=node.get("engine", parse_address) if "engine" in node.props else None,
        key_prefix=node.get("prefix", parse_text, "gradehoist/"),
        session_ttl_us=node.get("session", duration_parser("1s"), 10 * US_PER_S),
        lost_after_us=node.get("lost", duration_parser("100ms"), 5 * US_PER_S),
        contact_interval_us=node.get("contact", duration_parser("10ms"), 1 * US_PER_S),
        fallback_hold_us=node.get("hold", parse_duration_us, 60 * US_PER_S),
        fallback_ramp_us=node.get("fall", duration_parser("1s"), 30 * US_PER_S),
    )
    node.read_keys |= {"folder", "engine"}
    zones = node.child("zones")
    if zones is not None:
        settings = replace(settings, zones=parse_evacuation_timing(zones))
        zones.reject_unread()
    node.reject_unread()
    return settings


def _parse_placement(fleet: Node, folder: Path) -> CellPlacement | None:
    """Reads the node `cells` and the placement file that it names."""
    node = fleet.child("cells")
    if node is None:
        return None
    path = folder / node.get("placement", parse_text)
    lease_us = node.get("lease", duration_parser("10ms"), DEFAULT_LEASE_US)
    settle_us = node.get("settle", parse_duration_us, DEFAULT_SETTLE_US)
    limits_node = node.child("limits")
    limits = None
    if limits_node:
        limits = parse_rate_limits(limits_node)
        limits_node.reject_unread()
    node.reject_unread()
    try:
        placement: CellPlacement = msgspec.json.decode(path.read_bytes(), type=CellPlacement)
    except (OSError, msgspec.MsgspecError) as error:
        reason = getattr(error, "strerror", None) or str(error)
        node.add_error(
            f"{path} is not a placement: {reason}", "create one with gradehoist cells place", "placement"
        )
        return None
    inconsistency = _describe_inconsistency(placement)
    if inconsistency:
        node.add_error(f"{path} {inconsistency}", "create it again with gradehoist cells place", "placement")
        return None
    return msgspec.structs.replace(placement, lease_us=lease_us, settle_us=settle_us, limits=limits)


def _describe_inconsistency(placement: CellPlacement) -> str:
    """Returns what is wrong with a placement, or "" if it is consistent."""
    used = (
        *placement.cell_by_replica.values(),
        *placement.cell_by_tenant.values(),
        *placement.cell_by_range,
    )
    unlisted = {cell for cell in used if cell not in placement.cells}
    if unlisted:
        return f"uses cells that it does not list: {', '.join(sorted(unlisted))}"
    empty = [cell for cell in placement.cells if cell not in placement.cell_by_replica.values()]
    if empty:
        return f"has cells without workers: {', '.join(empty)}"
    if not placement.cells or len(set(placement.cells)) < len(placement.cells):
        return "lists no cell, or lists a cell twice"
    return ""


def _parse_governors(
    root: Node, zones: tuple[str, ...], folder: Path, addresses_required: bool
) -> tuple[GovernorSettings, ...]:
    nodes = root.children_named("governor")
    governors = tuple(_parse_governor(node, zones, folder, addresses_required) for node in nodes)
    if not governors:
        root.add_error(
            "expected at least one governor",
            'add a node such as governor "a" listen="127.0.0.1:7101"',
            "governor",
        )
    names = [governor.name for governor in governors]
    for node in nodes:
        if names.count(node.args[0] if node.args else "") > 1:
            node.add_error("a governor named twice", "name each governor once")
    return governors


def _parse_governor(
    node: Node, zones: tuple[str, ...], folder: Path, addresses_required: bool
) -> GovernorSettings:
    name = node.get_name("a name")
    listen_address = _parse_address_of(node, "listen", addresses_required)
    beyond_loopback = node.get("beyond-loopback", parse_boolean, False)
    if listen_address and not beyond_loopback and not ipaddress.IPv4Address(listen_address[0]).is_loopback:
        node.add_error(
            "an address beyond loopback", "listen on 127.0.0.1, or say beyond-loopback=true", "listen"
        )
    state_folder = node.get("state", parse_text, f"var/{name}")
    memory_mb = node.get("memory-mb", integer_parser(64, 2**20), 0)
    governor = GovernorSettings(
        name=name,
        zone=node.get("zone", choice_parser(zones)),
        listen_address=listen_address,
        state_folder=folder / state_folder,
        seed=node.get("seed", integer_parser(0, 2**62), 1),
        memory_limit_bytes=memory_mb << 20 if memory_mb else None,
    )
    node.reject_unread(expected_args=1)
    return governor
