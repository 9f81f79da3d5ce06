"""Faults of governors, of their channels and of the endpoint list."""

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

BYTES_PER_LINE = 40  # of a response, for each line of its messages: 260 of one withdrawal, which costs six


def slow_channel(steps: FaultSteps) -> None:
    """Channels are slower by the magnitude, in bytes that all proxies of a governor share."""
    bytes_per_s = steps.plan.rules.lines_per_s * BYTES_PER_LINE / max(1.0, steps.fault.magnitude)
    governors = [steps.fault.governor] if steps.fault.governor else steps.governors()
    steps.add_command(steps.fault.at_us, LINKS_ROLE, "pace", targets=governors, value=bytes_per_s)
    steps.add_command(steps.fault.end_us, LINKS_ROLE, "pace", targets=governors, value=0.0)


def disconnect_proxies(steps: FaultSteps) -> None:
    """Some proxies reach no governor and go on forwarding."""
    proxies = steps.choose_proxies()
    governors = steps.governors()
    link_faults = REFUSE_CONNECTIONS if steps.fault.variant is Variant.REFUSE else BLACKHOLE
    steps.inject_link_faults(steps.fault.at_us, link_faults, relays=proxies, targets=governors)
    steps.inject_link_faults(steps.fault.end_us, NO_LINK_FAULTS, relays=proxies, targets=governors)


def reset_streams(steps: FaultSteps) -> None:
    """The streams of some proxies break at once."""
    proxies = steps.choose_proxies()
    steps.add_command(steps.fault.at_us, LINKS_ROLE, "reset", relays=proxies, targets=steps.governors())


def reconnect_to_one_governor(steps: FaultSteps) -> None:
    """All streams break at once, and every proxy reconnects to one and the same governor."""
    governor = steps.fault.governor or steps.governors()[0]
    for zone in steps.plan.zones:
        proxies = steps.proxies_of(zone)
        if proxies:
            steps.add_command(
                steps.fault.at_us, f"relays-{zone}", "aim", relays=proxies, governor=governor, next=True
            )
    # One µs later, so that every proxy knows where to reconnect when its stream breaks.
    steps.add_command(steps.fault.at_us + 1, LINKS_ROLE, "reset", targets=steps.governors())


def kill_governor(steps: FaultSteps) -> None:
    """A governor is killed, and started again at the end of the fault."""
    governor = steps.fault.governor or steps.random.choice(steps.governors())
    steps.add_command(steps.fault.at_us, RUNNER_ROLE, "kill", governor=governor)
    steps.add_command(steps.fault.end_us, RUNNER_ROLE, "start", governor=governor)


def stop_endpoint_list(steps: FaultSteps) -> None:
    """The endpoint list responds to nobody; variant forget: its versions begin again afterwards."""
    is_silent = steps.fault.variant is Variant.SILENT
    steps.add_command(
        steps.fault.at_us, ENDPOINT_LIST_ROLE, "down", value="silent" if is_silent else "refusing"
    )
    steps.add_command(steps.fault.end_us, ENDPOINT_LIST_ROLE, "down", value="")
    if steps.fault.variant is Variant.FORGET:
        steps.add_command(steps.fault.end_us, ENDPOINT_LIST_ROLE, "forget")


def flap_endpoints(steps: FaultSteps) -> None:
    """The endpoint list shows replicas as gone and as ready by turns, while they run on."""
    replicas = steps.choose_replicas()
    at_us = steps.fault.at_us
    is_gone = True
    while at_us < steps.fault.end_us:
        steps.set_listed_phase(at_us, replicas, "gone" if is_gone else "ready")
        at_us += steps.fault.extra_us
        is_gone = not is_gone
    steps.set_listed_phase(steps.fault.end_us, replicas, "ready")
