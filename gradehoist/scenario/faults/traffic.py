"""Changes of the traffic, migrations of tenants, and rollouts."""

from __future__ import annotations

from gradehoist.scenario.faults.steps import CLIENTS_ROLE, RUNNER_ROLE, FaultSteps

SECOND_US = 1_000_000
SHIFT_STEPS = 4  # The number of steps in which the traffic moves.
MIN_TRAFFIC_SHARE = 1e-6  # It avoids a division by zero.


def overload_few_proxies(steps: FaultSteps) -> None:
    """Adds `magnitude` times the whole traffic to the traffic of a few proxies."""
    proxies = steps.choose_proxies()
    share = sum(proxy.traffic_share for proxy in steps.plan.proxies if proxy.name in proxies)
    steps.scale_requests(
        steps.fault.at_us, proxies, 1 + steps.fault.magnitude / max(share, MIN_TRAFFIC_SHARE)
    )
    steps.scale_requests(steps.fault.end_us, proxies, 1.0)


def shift_traffic(steps: FaultSteps) -> None:
    """Moves traffic permanently to one zone, until the zone has the share `magnitude`."""
    fault = steps.fault
    zone = steps.choose_zone()
    proxies = steps.proxies_of(zone)
    other_proxies = [proxy.name for proxy in steps.plan.proxies if proxy.zone != zone]
    share = sum(proxy.traffic_share for proxy in steps.plan.proxies if proxy.zone == zone)
    growth = max(share, fault.magnitude) - share
    for number in range(1, SHIFT_STEPS + 1):
        new_share = share + growth * number / SHIFT_STEPS
        at_us = fault.at_us + number * fault.duration_us // SHIFT_STEPS
        steps.scale_requests(at_us, proxies, new_share / share)
        steps.scale_requests(at_us, other_proxies, (1 - new_share) / (1 - share))


def flood_tenant(steps: FaultSteps) -> None:
    """Multiplies the requests of the tenant with the median share by `magnitude`."""
    by_share = sorted(steps.plan.tenant_shares, key=lambda tenant: tenant[1])
    name, _ = by_share[len(by_share) // 2]
    steps.add_command(steps.fault.at_us, CLIENTS_ROLE, "louder", tenant=name, value=steps.fault.magnitude)
    steps.add_command(steps.fault.end_us, CLIENTS_ROLE, "louder", tenant=name, value=1.0)


def migrate_tenants(steps: FaultSteps) -> None:
    """Migrates some of the tenants of the first cell to the second, with the migration command."""
    cells = steps.plan.cells
    source = cells[0]
    target = cells[1 % len(cells)]
    candidates = sorted(tenant for tenant, cell in steps.plan.cell_by_tenant.items() if cell == source)
    count = max(1, round(steps.fault.affected_share * len(candidates)))
    tenants = steps.random.sample(candidates, count)
    steps.add_command(steps.fault.at_us, RUNNER_ROLE, "move", governor="", tenants=tenants, to=target)


def roll_out_version(steps: FaultSteps) -> None:
    """Rolls out, cell by cell, a version that fails a share of its requests and is slower for the others."""
    fault = steps.fault
    steps.add_command(
        fault.at_us,
        RUNNER_ROLE,
        "release",
        governor="",
        fails=fault.affected_share,
        slow=fault.magnitude,
        soak=fault.extra_us / SECOND_US,
    )
