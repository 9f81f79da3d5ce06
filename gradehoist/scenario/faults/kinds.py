"""Maps the kinds of faults in scenario files to their functions, and plans the steps of a run."""

from __future__ import annotations

from collections.abc import Callable

from gradehoist.scenario.faults import control_plane, network, replica, traffic
from gradehoist.scenario.faults.fault import EndpointListDelays, Fault, Variant
from gradehoist.scenario.faults.steps import FaultSteps
from gradehoist.settings.fleet import Settings
from gradehoist.settings.reader import Node, choice_parser, number_parser, parse_duration_us
from gradehoist.testbed.process import create_random
from gradehoist.testbed.scenario_plan import Plan, Step

DEFAULT_DURATION_US = 10_000_000
DEFAULT_EXTRA_US = 3_000_000
DEFAULT_SHARE = 0.2
DEFAULT_MAGNITUDE = 3.0

FAULT_KINDS: dict[str, Callable[[FaultSteps], None]] = {
    "ageing": replica.degrade_until_crash,
    "counter_down": control_plane.disconnect_proxies,
    "crash": replica.crash,
    "drain": replica.drain,
    "false_reports": replica.report_false_load,
    "flap": control_plane.flap_endpoints,
    "flood": traffic.flood_tenant,
    "governor_kill": control_plane.kill_governor,
    "hang": replica.hang,
    "hot_caller": traffic.overload_few_proxies,
    "mass_restart": replica.restart_many,
    "move": traffic.migrate_tenants,
    "neighbour": replica.add_noisy_neighbour,
    "one_sided": network.impair_zone_links,
    "origin_slow": control_plane.slow_channel,
    "preempt": replica.preempt,
    "reconnect": control_plane.reset_streams,
    "redial": control_plane.reconnect_to_one_governor,
    "release": traffic.roll_out_version,
    "roster_down": control_plane.stop_endpoint_list,
    "shift": traffic.shift_traffic,
    "shrink": replica.shrink_fleet,
    "slow": replica.slow_down,
    "vanish": replica.fail_silently,
    "zone_cut": network.partition_zone,
    "zone_loss": network.lose_zone,
}


def parse_fault(node: Node, settings: Settings, length_us: int) -> Fault:
    """Reads a node `trouble` of a scenario of length `length_us`; errors are added to the node's reader."""
    kind = node.get_name("a kind of fault")
    if kind and kind not in FAULT_KINDS:
        node.add_error(f"unknown kind {kind}", "use one of " + ", ".join(sorted(FAULT_KINDS)))
    governors = tuple(governor.name for governor in settings.governors)
    fault = Fault(
        kind=kind,
        at_us=node.get("at", parse_duration_us),
        duration_us=node.get("for", parse_duration_us, DEFAULT_DURATION_US),
        affected_share=node.get("part", number_parser(0, 1), DEFAULT_SHARE),
        magnitude=node.get("size", number_parser(0, 1000), DEFAULT_MAGNITUDE),
        extra_us=node.get("extra", parse_duration_us, DEFAULT_EXTRA_US),
        zone=_get_optional_name(node, "zone", settings.fleet.zones),
        replica_kind=_get_optional_name(node, "machine", settings.fleet.kinds),
        governor=_get_optional_name(node, "governor", governors),
        variant=Variant(node.get("how", choice_parser(Variant), str(Variant.ANY))),
    )
    if fault.at_us and length_us and fault.at_us >= length_us:
        node.add_error("begins after the end of the scenario", "set a time below the scene's length", "at")
    node.reject_unread(expected_args=1)
    return fault


def _get_optional_name(node: Node, key: str, choices: tuple[str, ...]) -> str:
    """Returns the name in a property, or an empty string if the property is missing."""
    node.read_keys.add(key)  # An error about an unknown property then lists this one as known.
    if key not in node.props:
        return ""
    return node.get(key, choice_parser(choices), "")


def plan_steps(plan: Plan, faults: tuple[Fault, ...], delays: EndpointListDelays) -> tuple[Step, ...]:
    """Returns all steps of a run in order of time; each fault has its own random generator."""
    steps: list[Step] = []
    for number, fault in enumerate(faults):
        fault_steps = FaultSteps(plan, fault, delays, create_random(plan.seed, "trouble", number))
        FAULT_KINDS[fault.kind](fault_steps)
        steps += fault_steps.steps
    return tuple(sorted(steps, key=lambda step: step.at_us))
