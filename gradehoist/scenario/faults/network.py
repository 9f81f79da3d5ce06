"""Faults of zones and of the links between processes."""

from __future__ import annotations

from gradehoist.scenario.faults.fault import Variant
from gradehoist.scenario.faults.steps import BLACKHOLE, NO_LINK_FAULTS, RUNNER_ROLE, FaultSteps

CLIENT_RETURN_DELAY_US = 500_000  # Clients return to the proxies of a zone after these have started.
SLOW_LINK_DELAY_S = 0.25


def lose_zone(steps: FaultSteps) -> None:
    """Stops all replicas of a zone and starts them again; in the variant `all` also proxies and governors."""
    fault = steps.fault
    zone = steps.choose_zone()
    replicas = [replica.name for replica in steps.plan.replicas if replica.zone == zone and replica.is_listed]
    if fault.variant is Variant.SILENT:
        steps.blackhole_replicas(fault.at_us, replicas)
    else:
        steps.kill_replicas(fault.at_us, replicas)
    steps.restart_replicas(fault.end_us, replicas)
    if fault.variant is Variant.ALL:
        _lose_proxies_and_governors(steps, zone)


def _lose_proxies_and_governors(steps: FaultSteps, zone: str) -> None:
    fault = steps.fault
    proxies = steps.proxies_of(zone)
    steps.add_command(fault.at_us, f"relays-{zone}", "die", relays=proxies)
    steps.add_command(fault.end_us, f"relays-{zone}", "start", relays=proxies)
    steps.scale_requests(fault.at_us, proxies, 0.0)
    steps.scale_requests(fault.end_us + CLIENT_RETURN_DELAY_US, proxies, 1.0)
    for governor, governor_zone, _ in steps.plan.governors:
        if governor_zone == zone:
            steps.add_command(fault.at_us, RUNNER_ROLE, "kill", governor=governor)
            steps.add_command(fault.end_us, RUNNER_ROLE, "start", governor=governor)


def partition_zone(steps: FaultSteps) -> None:
    """Blackholes all links between a zone and the others."""
    zone = steps.choose_zone()
    steps.inject_link_faults(steps.fault.at_us, BLACKHOLE, across=zone)
    steps.inject_link_faults(steps.fault.end_us, NO_LINK_FAULTS, across=zone)


def impair_zone_links(steps: FaultSteps) -> None:
    """Impairs the links from one zone to some replicas, which serve the other zones normally."""
    fault = steps.fault
    zone = steps.choose_zone()
    count = max(1, round(fault.affected_share * len(steps.plan.replicas)))
    replicas = [replica.name for replica in steps.random.sample(steps.plan.replicas, count)]
    match fault.variant:
        case Variant.DELAY:
            link_faults = {"delay": SLOW_LINK_DELAY_S}
        case Variant.LOSE:
            link_faults = {"lose": fault.magnitude}
        case _:
            link_faults = {"reset": fault.magnitude}
    steps.inject_link_faults(fault.at_us, link_faults, zones=[zone], targets=replicas)
    steps.inject_link_faults(fault.end_us, NO_LINK_FAULTS, zones=[zone], targets=replicas)
