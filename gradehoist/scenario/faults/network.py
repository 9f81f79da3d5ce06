"""Faults of zones and of the links between processes."""

from __future__ import annotations

from gradehoist.scenario.faults.fault import Variant
from gradehoist.scenario.faults.steps import REPAIRED, RUNNER_ROLE, SWALLOWING, FaultSteps

RECOVERY_PAUSE_US = 500_000  # clients come back to the proxies of a zone once these have started
SLOW_LINK_DELAY_S = 0.25


def lose_zone(steps: FaultSteps) -> None:
    """All replicas of a zone end and start again; variant all: its proxies and governors too."""
    fault = steps.fault
    zone = steps.choose_zone()
    replicas = [replica.name for replica in steps.plan.replicas if replica.zone == zone and replica.listed]
    if fault.variant is Variant.SILENT:
        steps.silence_replicas(fault.at_us, replicas)
    else:
        steps.kill_replicas(fault.at_us, replicas)
    steps.restart_replicas(fault.end_us, replicas)
    if fault.variant is Variant.ALL:
        _lose_proxies_and_governors(steps, zone)


def _lose_proxies_and_governors(steps: FaultSteps, zone: str) -> None:
    fault = steps.fault
    proxies = steps.proxies_of(zone)
    steps.order(fault.at_us, f"relays-{zone}", "die", relays=proxies)
    steps.order(fault.end_us, f"relays-{zone}", "start", relays=proxies)
    steps.set_demand(fault.at_us, proxies, 0.0)
    steps.set_demand(fault.end_us + RECOVERY_PAUSE_US, proxies, 1.0)
    for governor, governor_zone, _ in steps.plan.governors:
        if governor_zone == zone:
            steps.order(fault.at_us, RUNNER_ROLE, "kill", governor=governor)
            steps.order(fault.end_us, RUNNER_ROLE, "start", governor=governor)


def partition_zone(steps: FaultSteps) -> None:
    """No link between a zone and the others carries anything."""
    zone = steps.choose_zone()
    steps.injure_links(steps.fault.at_us, SWALLOWING, across=zone)
    steps.injure_links(steps.fault.end_us, REPAIRED, across=zone)


def impair_one_zone(steps: FaultSteps) -> None:
    """The links from one zone to some replicas are bad, while these serve the other zones as usual."""
    fault = steps.fault
    zone = steps.choose_zone()
    count = max(1, round(fault.affected_share * len(steps.plan.replicas)))
    replicas = [replica.name for replica in steps.random.sample(steps.plan.replicas, count)]
    match fault.variant:
        case Variant.DELAY:
            injury = {"delay": SLOW_LINK_DELAY_S}
        case Variant.LOSE:
            injury = {"lose": fault.magnitude}
        case _:
            injury = {"reset": fault.magnitude}
    steps.injure_links(fault.at_us, injury, zones=[zone], targets=replicas)
    steps.injure_links(fault.end_us, REPAIRED, zones=[zone], targets=replicas)
