"""Reads scenario files in KDL and reports all errors of a file at once.

The names of nodes and properties in the files are kept for compatibility and differ from those in the code.
"""

from __future__ import annotations

from pathlib import Path

from kdl.parsing import Parser

from gradehoist.scenario.definition import (
    ClassLoad,
    ClientBehaviour,
    ProxyBehaviour,
    ProxyGroup,
    RateLimitMultiples,
    ReplicaBehaviour,
    ReplicaGroup,
    Scenario,
    TenantMix,
    Traffic,
)
from gradehoist.scenario.faults.fault import EndpointListDelays
from gradehoist.scenario.faults.kinds import parse_fault
from gradehoist.settings import reader
from gradehoist.settings.fleet import Settings
from gradehoist.settings.fleet_parser import parse_settings
from gradehoist.settings.reader import Node


class OptionalNode:
    """A node that a file may omit; its properties then have their defaults."""

    def __init__(self, root: Node, name: str) -> None:
        """Looks up the child `name` of the root."""
        self.node = root.child(name)

    def get_duration_us(self, key: str, default: str) -> int:
        """Returns a duration in µs; `default` is written as in a file, such as "5s"."""
        default_us = reader.parse_duration_us(default)
        if self.node is None:
            return default_us
        return self.node.get(key, reader.parse_duration_us, default_us)

    def get_boolean(self, key: str, default: bool) -> bool:
        """Returns a Boolean value."""
        return default if self.node is None else self.node.get(key, reader.parse_boolean, default)

    def get_number(self, key: str, default: float) -> float:
        """Returns a number that is not negative."""
        if self.node is None:
            return float(default)
        return self.node.get(key, reader.number_parser(0, 1e9), float(default))

    def reject_unread(self) -> None:
        """Adds an error for each property that was not read."""
        if self.node is not None:
            self.node.reject_unread()


def read_scenario(path: Path) -> Scenario:
    """Reads a scenario file and the base file that it names, if any.

    Raises:
        SettingsError: a file can't be read or is invalid; it contains all errors.
    """
    document, root = reader.load_document(path)
    files = [path]
    # The base file contains what several scenarios share: fleet, governors, replicas, proxies and traffic.
    if base := root.child("base"):
        base_path = path.parent / base.get_name("a path relative to this file")
        base_document, base_root = reader.load_document(base_path)
        base_document.errors = document.errors
        root.children += base_root.children
        base.reject_unread(expected_args=1)
        files.append(base_path)
    node = root.require_child("scene")
    name = node.get_name("a name")
    length_us = node.get("length", reader.parse_duration_us)
    seed = node.get("seed", reader.integer_parser(0, 2**31), 1)
    node.reject_unread(expected_args=1)
    settings = parse_settings(root, path.parent, addresses_required=False)
    replica_groups = _read_replica_groups(root, settings)
    proxy_groups = _read_proxy_groups(root, settings)
    traffic = _read_traffic(root, settings)
    tenants = _read_tenants(root)
    rate_limits = _read_rate_limits(root)
    replica_behaviour = _read_replica_behaviour(root)
    client_behaviour = _read_client_behaviour(root)
    proxy_behaviour = _read_proxy_behaviour(root)
    endpoint_list_delays = _read_endpoint_list_delays(root)
    faults = [parse_fault(each, settings, length_us) for each in root.children_named("trouble")]
    root.reject_unread()
    document.raise_errors()
    return Scenario(
        name=name,
        length_us=length_us,
        seed=seed,
        settings=settings,
        fleet_text=_find_fleet_text(files),
        replica_groups=replica_groups,
        proxy_groups=proxy_groups,
        traffic=traffic,
        tenants=tenants,
        rate_limits=rate_limits,
        replica_behaviour=replica_behaviour,
        client_behaviour=client_behaviour,
        proxy_behaviour=proxy_behaviour,
        endpoint_list_delays=endpoint_list_delays,
        faults=tuple(faults),
    )


def _read_replica_groups(root: Node, settings: Settings) -> tuple[ReplicaGroup, ...]:
    groups = []
    for node in root.children_named("replicas"):
        group = ReplicaGroup(
            zone=node.get("zone", reader.choice_parser(settings.fleet.zones)),
            kind=node.get("kind", reader.choice_parser(settings.fleet.kinds)),
            count=node.get("count", reader.integer_parser(1, 1000)),
            cores=node.get("cores", reader.integer_parser(1, 256)),
            speed=node.get("speed", reader.number_parser(0.01, 100)),
            spare=node.get("spare", reader.integer_parser(0, 1000), 0),
        )
        node.reject_unread()
        groups.append(group)
    if not groups:
        root.add_error("no replicas", 'add a node such as replicas zone="…" kind="…" count=4', "replicas")
    return tuple(groups)


def _read_proxy_groups(root: Node, settings: Settings) -> tuple[ProxyGroup, ...]:
    groups = []
    for node in root.children_named("relays"):
        group = ProxyGroup(
            zone=node.get("zone", reader.choice_parser(settings.fleet.zones)),
            count=node.get("count", reader.integer_parser(1, 5000)),
        )
        node.reject_unread()
        groups.append(group)
    if not groups:
        root.add_error("no relays", 'add a node such as relays zone="…" count=5', "relays")
    return tuple(groups)


def _read_traffic(root: Node, settings: Settings) -> Traffic:
    node = root.require_child("traffic")
    load = node.get("load", reader.number_parser(0.01, 3))
    skew = node.get("skew", reader.number_parser(0, 3), 0.6)
    known_classes = [request_class.name for request_class in settings.fleet.classes]
    loads = {}
    for class_node in node.children_named("of"):
        name = class_node.get_name("a class name")
        if name not in known_classes:
            class_node.add_error("class not defined in the fleet", "use a class of the fleet")
        loads[name] = ClassLoad(
            share=class_node.get("share", reader.number_parser(0, 1)),
            work_ms=class_node.get("work", reader.number_parser(0.1, 1e5)),
            coefficient_of_variation=class_node.get("cv", reader.number_parser(0.01, 3), 0.6),
        )
        class_node.reject_unread(expected_args=1)
    for name in known_classes:
        if name not in loads:
            node.add_error(
                f"no traffic share for class {name}", f'add a node of "{name}" share=… work=…', "of"
            )
    node.reject_unread()
    return Traffic(load=load, skew=skew, loads=loads)


def _read_tenants(root: Node) -> TenantMix:
    node = root.child("tenants")
    if node is None:
        return TenantMix(count=1, skew=0.0, cells=0)
    tenants = TenantMix(
        count=node.get("count", reader.integer_parser(1, 100_000)),
        skew=node.get("skew", reader.number_parser(0, 3), 0.8),
        cells=node.get("cells", reader.integer_parser(0, 1000), 0),
    )
    node.reject_unread()
    return tenants


def _read_rate_limits(root: Node) -> RateLimitMultiples | None:
    node = root.child("limits")
    if node is None:
        return None
    limits = RateLimitMultiples(
        cell=node.get("cell", reader.number_parser(0.1, 100), 1.5),
        tenant=node.get("tenant", reader.number_parser(0.1, 100), 2.0),
        burst_s=node.get("burst", reader.number_parser(0.1, 60), 2.0),
        tenant_in_flight=node.get("held", reader.integer_parser(0, 10**6), 0),
    )
    node.reject_unread()
    return limits


def _read_replica_behaviour(root: Node) -> ReplicaBehaviour:
    node = OptionalNode(root, "machine")
    behaviour = ReplicaBehaviour(
        slots_per_core=node.get_number("slots-per-core", 3),
        queue_per_core=node.get_number("queue-per-core", 12),
        start_capacity=node.get_number("cold-from", 0.25),
        warmup_us=node.get_duration_us("cold", "10s"),
        report_period_us=node.get_duration_us("report", "700ms"),
        handshake_work_ms=node.get_number("handshake", 3),
        drops_abandoned_requests=node.get_boolean("drops-waiting", False),
        rejection_proves_no_effect=node.get_boolean("full-is-proof", True),
    )
    node.reject_unread()
    return behaviour


def _read_client_behaviour(root: Node) -> ClientBehaviour:
    node = OptionalNode(root, "clients")
    behaviour = ClientBehaviour(
        retries=node.get_number("retries", 1),
        attempt_share=node.get_number("try-share", 0.8),
        backoff_us=node.get_duration_us("backoff", "100ms"),
    )
    node.reject_unread()
    return behaviour


def _read_proxy_behaviour(root: Node) -> ProxyBehaviour:
    node = OptionalNode(root, "relay")
    behaviour = ProxyBehaviour(
        failures_to_avoid=node.get_number("strikes", 8),
        avoid_us=node.get_duration_us("avoid", "4s"),
        retry_policy=node.get_number("usual-way", 1),
        attempt_factor=node.get_number("try-factor", 0.8),
        default_table_size=node.get_number("standing", 6),
        reconnect_min_us=node.get_duration_us("redial-from", "200ms"),
        reconnect_max_us=node.get_duration_us("redial-to", "1500ms"),
        report_delay_min_us=node.get_duration_us("sums-from", "200ms"),
        report_delay_max_us=node.get_duration_us("sums-to", "600ms"),
    )
    node.reject_unread()
    return behaviour


def _read_endpoint_list_delays(root: Node) -> EndpointListDelays:
    node = OptionalNode(root, "roster")
    delays = EndpointListDelays(
        ended_us=node.get_duration_us("notice", "1s"),
        silent_us=node.get_duration_us("silent-notice", "5s"),
        added_us=node.get_duration_us("add", "500ms"),
    )
    node.reject_unread()
    return delays


def _find_fleet_text(files: list[Path]) -> str:
    """Returns the first `fleet` node of the files, as KDL."""
    for file in files:
        for node in Parser().parse(file.read_text(encoding="utf-8")).nodes:
            if node.name == "fleet":
                return str(node.print())
    raise LookupError(f"{files[0]}: no node fleet, though the settings were valid")
