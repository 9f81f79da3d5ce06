"""Faults of governors, their channels and the endpoint list."""

from __future__ import annotations

from gradehoist.scenario.faults.fault import Variant
from gradehoist.scenario.faults.steps import (
    BLACKHOLE,
    ENDPOINT_LIST_ROLE,
    LINKS_ROLE,
    NO_LINK_FAULTS,
    REFUSE_CONNECTIONS,
    RUNNER_ROLE,
    FaultSteps,
)

# The response size per line of its messages. A withdrawal costs six lines and takes about 260 bytes.
BYTES_PER_LINE = 40


def slow_channel(steps: FaultSteps) -> None:
    """Divides the bandwidth that all proxies of a governor share by the magnitude."""
    bytes_per_s = steps.plan.rules.lines_per_s * BYTES_PER_LINE / max(1.0, steps.fault.magnitude)
    governors = [steps.fault.governor] if steps.fault.governor else steps.governors()
    steps.add_command(steps.fault.at_us, LINKS_ROLE, "pace", targets=governors, value=bytes_per_s)
    steps.add_command(steps.fault.end_us, LINKS_ROLE, "pace", targets=governors, value=0.0)


def disconnect_proxies(steps: FaultSteps) -> None:
    """Cuts some proxies off from all governors; they continue to forward requests."""
    proxies = steps.choose_proxies()
    governors = steps.governors()
    link_faults = REFUSE_CONNECTIONS if steps.fault.variant is Variant.REFUSE else BLACKHOLE
    steps.inject_link_faults(steps.fault.at_us, link_faults, relays=proxies, targets=governors)
    steps.inject_link_faults(steps.fault.end_us, NO_LINK_FAULTS, relays=proxies, targets=governors)


def reset_streams(steps: FaultSteps) -> None:
    """Resets the streams of some proxies at the same time."""
    proxies = steps.choose_proxies()
    steps.add_command(steps.fault.at_us, LINKS_ROLE, "reset", relays=proxies, targets=steps.governors())


def reconnect_to_one_governor(steps: FaultSteps) -> None:
    """Resets all streams at the same time; all proxies then reconnect to the same governor."""
    governor = steps.fault.governor or steps.governors()[0]
    for zone in steps.plan.zones:
        proxies = steps.proxies_of(zone)
        if proxies:
            steps.add_command(
                steps.fault.at_us, f"relays-{zone}", "aim", relays=proxies, governor=governor, next=True
            )
    # The reset is 1 µs later, so that all proxies know where to reconnect when their streams break.
    steps.add_command(steps.fault.at_us + 1, LINKS_ROLE, "reset", targets=steps.governors())


def kill_governor(steps: FaultSteps) -> None:
    """Kills a governor, and starts it again at the end of the fault."""
    governor = steps.fault.governor or steps.random.choice(steps.governors())
    steps.add_command(steps.fault.at_us, RUNNER_ROLE, "kill", governor=governor)
    steps.add_command(steps.fault.end_us, RUNNER_ROLE, "start", governor=governor)


def stop_endpoint_list(steps: FaultSteps) -> None:
    """Makes the endpoint list unavailable. In the variant `forget`, its versions restart afterwards."""
    is_silent = steps.fault.variant is Variant.SILENT
    steps.add_command(
        steps.fault.at_us, ENDPOINT_LIST_ROLE, "down", value="silent" if is_silent else "refusing"
    )
    steps.add_command(steps.fault.end_us, ENDPOINT_LIST_ROLE, "down", value="")
    if steps.fault.variant is Variant.FORGET:
        steps.add_command(steps.fault.end_us, ENDPOINT_LIST_ROLE, "forget")


def flap_endpoints(steps: FaultSteps) -> None:
    """Lists running replicas as gone and as ready in turn, changing every `extra_us`."""
    replicas = steps.choose_replicas()
    at_us = steps.fault.at_us
    is_gone = True
    while at_us < steps.fault.end_us:
        steps.set_listed_phase(at_us, replicas, "gone" if is_gone else "ready")
        at_us += steps.fault.extra_us
        is_gone = not is_gone
    steps.set_listed_phase(steps.fault.end_us, replicas, "ready")
