"""Generates the plan of a run from a scenario and a seed.

The same scenario and seed give the same plan except for the ports, which are those that are free.
"""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from gradehoist.cells import placement
from gradehoist.cells.placement_planner import plan_placement
from gradehoist.scenario.definition import Scenario
from gradehoist.scenario.faults.kinds import plan_steps
from gradehoist.scenario.free_ports import find_free_ports
from gradehoist.scenario.network_plan import (
    HOST,
    connect_proxies,
    count_ports,
    link_replicas,
    list_roles,
)
from gradehoist.testbed.process import create_random
from gradehoist.testbed.scenario_plan import (
    Plan,
    ProxyPlan,
    RateLimitPlan,
    ReplicaPlan,
    RequestClassPlan,
    SafetyRules,
)

REPLICAS_PER_CELL = 4  # Of the cells in the endpoint list, which are independent of the cells of tenants.
SPEED_FACTORS = (0.85, 1.15)  # The machines of one kind differ in speed by these factors.
SIZE_ERROR_FACTORS = (0.9, 1.1)  # The sizes in the endpoint list differ from the true ones by these factors.
MIN_REPLICAS_PER_CELL = 2
MIN_ZONES_PER_CELL = 2


@dataclass(frozen=True)
class PlacedCells:
    """The cells of tenants, and the cell in which each replica and each tenant was placed."""

    names: tuple[str, ...]
    cell_by_replica: dict[str, str]
    cell_by_tenant: dict[str, str]


def build_plan(
    scenario: Scenario, seed: int, follow_governors: bool = True, even_weights: bool = False
) -> Plan:
    """Generates the plan of one run.

    Args:
        scenario: the scenario to run.
        seed: the seed of all random generators.
        follow_governors: whether the proxies poll a governor; otherwise they keep their default tables.
        even_weights: whether the default tables contain every allowed replica, weighted by its size.
    """
    random = create_random(seed, "fleet")
    replicas = _generate_replicas(scenario, random)
    proxies = _generate_proxies(scenario, random)
    roles = list_roles(scenario)
    ports = iter(find_free_ports(count_ports(scenario, replicas, proxies, roles)))
    replicas = [msgspec.structs.replace(replica, port=next(ports)) for replica in replicas]
    governors = tuple(
        (governor.name, governor.zone, (HOST, next(ports))) for governor in scenario.settings.governors
    )
    replica_links = link_replicas(scenario, replicas, ports)
    connected = connect_proxies(proxies, governors, ports)
    endpoint_list = (HOST, next(ports))
    control_ports = {role: next(ports) for role in roles}
    classes = _build_classes(scenario)
    rate = scenario.traffic.load * _capacity_requests_per_s(replicas, classes)
    tenants = _generate_tenants(scenario, random)
    cells = _place_cells(scenario, replicas, tenants)
    replica_behaviour = scenario.replica_behaviour
    client_behaviour = scenario.client_behaviour
    proxy_behaviour = scenario.proxy_behaviour
    fleet = scenario.settings.fleet
    plan = Plan(
        name=scenario.name,
        seed=seed,
        length_us=scenario.length_us,
        zones=fleet.zones,
        classes=classes,
        rules=_build_rules(scenario),
        replicas=tuple(replicas),
        proxies=connected.proxies,
        governors=governors,
        links=(*replica_links, *connected.links),
        endpoint_list=endpoint_list,
        control_ports=control_ports,
        steps=(),
        requests_per_s=rate,
        rate_factors=(),
        retries=int(client_behaviour.retries),
        attempt_share=client_behaviour.attempt_share,
        backoff_us=client_behaviour.backoff_us,
        failures_to_avoid=int(proxy_behaviour.failures_to_avoid),
        avoid_us=proxy_behaviour.avoid_us,
        retry_policy=int(proxy_behaviour.retry_policy),
        attempt_factor=proxy_behaviour.attempt_factor,
        default_table_size=int(proxy_behaviour.default_table_size),
        reconnect_range_us=(proxy_behaviour.reconnect_min_us, proxy_behaviour.reconnect_max_us),
        report_delay_range_us=(proxy_behaviour.report_delay_min_us, proxy_behaviour.report_delay_max_us),
        load_report_period_us=fleet.load_reporting.period_us,
        poll_hold_us=fleet.poll_hold_us,
        replica_report_period_us=replica_behaviour.report_period_us,
        handshake_work_ms=replica_behaviour.handshake_work_ms,
        drops_abandoned_requests=replica_behaviour.drops_abandoned_requests,
        rejection_proves_no_effect=replica_behaviour.rejection_proves_no_effect,
        follow_governors=follow_governors,
        tenant_shares=tenants,
        cells=cells.names,
        cell_by_replica=cells.cell_by_replica,
        cell_by_tenant=cells.cell_by_tenant,
        limits=_build_rate_limits(scenario, rate, len(cells.names), len(proxies)),
        even_weights=even_weights,
    )
    steps = plan_steps(plan, scenario.faults, scenario.endpoint_list_delays)
    return msgspec.structs.replace(plan, steps=steps)


def speed_up_plan(plan: Plan, factor: float) -> Plan:
    """Returns a plan with the same steps in `1 / factor` of the time.

    The run's length, its steps and the endpoint list's delays become shorter. Latency objectives, drain
    grace, warm-up and limits stay, so a faster run is a harder one under the same safety rules.
    """
    steps = tuple(msgspec.structs.replace(step, at_us=round(step.at_us / factor)) for step in plan.steps)
    shape = tuple((round(at_us / factor), rate_factor) for at_us, rate_factor in plan.rate_factors)
    return msgspec.structs.replace(
        plan, length_us=round(plan.length_us / factor), steps=steps, rate_factors=shape
    )


def _generate_replicas(scenario: Scenario, random: Random) -> list[ReplicaPlan]:
    behaviour = scenario.replica_behaviour
    replicas: list[ReplicaPlan] = []
    for group in scenario.replica_groups:
        for number_in_group in range(group.count + group.spare):
            speed = group.speed * random.uniform(*SPEED_FACTORS)
            replica = ReplicaPlan(
                name=f"w{len(replicas) + 1}",
                zone=group.zone,
                kind=group.kind,
                cell=len(replicas) // REPLICAS_PER_CELL,
                port=0,
                cores=group.cores,
                speed=round(speed, 4),
                slots=int(behaviour.slots_per_core * group.cores),
                queue_limit=int(behaviour.queue_per_core * group.cores),
                size=round(group.cores * speed * random.uniform(*SIZE_ERROR_FACTORS), 3),
                start_capacity=behaviour.start_capacity,
                warmup_us=behaviour.warmup_us,
                is_listed=number_in_group < group.count,
            )
            replicas.append(replica)
    return replicas


def _generate_proxies(scenario: Scenario, random: Random) -> list[ProxyPlan]:
    zones = [group.zone for group in scenario.proxy_groups for _ in range(group.count)]
    weights = [random.lognormvariate(0, scenario.traffic.skew) for _ in zones]
    total = sum(weights)
    return [
        ProxyPlan(name=f"r{number}", zone=zone, port=0, traffic_share=weight / total, governors=())
        for number, (zone, weight) in enumerate(zip(zones, weights, strict=True), 1)
    ]


def _build_classes(scenario: Scenario) -> tuple[RequestClassPlan, ...]:
    return tuple(
        RequestClassPlan(
            name=settings.name,
            traffic_share=scenario.traffic.loads[settings.name].share,
            work_ms=scenario.traffic.loads[settings.name].work_ms,
            work_variation=scenario.traffic.loads[settings.name].coefficient_of_variation,
            latency_objective_us=settings.latency_objective_us,
            deadline_us=settings.deadline_us,
            priority_weight=settings.priority_weight,
            late_priority_factor=settings.late_priority_factor,
            idempotency=settings.idempotency.value,
            allowed_zones=settings.allowed_zones,
            allowed_kinds=settings.allowed_kinds,
            zone_local=settings.zone_local,
        )
        for settings in scenario.settings.fleet.classes
    )


def _capacity_requests_per_s(replicas: list[ReplicaPlan], classes: tuple[RequestClassPlan, ...]) -> float:
    """Returns the rate of requests that the listed replicas can serve after their warm-up."""
    total_share = sum(request_class.traffic_share for request_class in classes)
    mean_work_ms = (
        sum(request_class.traffic_share * request_class.work_ms for request_class in classes) / total_share
    )
    return (
        sum(replica.cores * replica.speed for replica in replicas if replica.is_listed) * 1e3 / mean_work_ms
    )


def _build_rules(scenario: Scenario) -> SafetyRules:
    safety = scenario.settings.fleet.safety
    channel = scenario.settings.fleet.channel
    return SafetyRules(
        drain_grace_us=safety.drain_grace_us,
        warmup_us=safety.warmup_us,
        overload_multiple=safety.overload_multiple,
        overload_window_us=safety.overload_window_us,
        unroutable_limit_us=safety.unroutable_limit_us,
        gone_is_advisory=safety.gone_is_advisory,
        queue_limit_lines=channel.queue_limit_lines,
        lines_per_s=channel.lines_per_s,
        message_overhead_lines=channel.message_overhead_lines,
        messages_per_window=channel.messages_per_window,
        message_window_us=channel.message_window_us,
    )


def _generate_tenants(scenario: Scenario, random: Random) -> tuple[tuple[str, float], ...]:
    """Generates the names of the tenants and their shares of the traffic."""
    weights = [random.lognormvariate(0, scenario.tenants.skew) for _ in range(scenario.tenants.count)]
    total = sum(weights)
    return tuple((f"inn{number}", weight / total) for number, weight in enumerate(weights))


def _place_cells(
    scenario: Scenario, replicas: list[ReplicaPlan], tenants: tuple[tuple[str, float], ...]
) -> PlacedCells:
    names = tuple(f"c{number}" for number in range(scenario.tenants.cells))
    if not names:
        return PlacedCells(names=(), cell_by_replica={}, cell_by_tenant={})
    total_size = sum(replica.size for replica in replicas)
    load = scenario.traffic.load
    placed = plan_placement(
        [placement.Tenant(name, share * load * total_size) for name, share in tenants],
        [
            placement.Replica(replica.name, replica.zone, replica.kind, replica.size)
            for replica in replicas
            if replica.is_listed
        ],
        placement.PlacementRequirements(
            cell_count=len(names),
            min_replicas=MIN_REPLICAS_PER_CELL,
            min_zones=min(MIN_ZONES_PER_CELL, len(scenario.settings.fleet.zones)),
            spare_share=0.0,
        ),
    )
    return PlacedCells(
        names=names,
        cell_by_replica={replica: names[cell] for replica, cell in placed.replicas.items()},
        cell_by_tenant={tenant: names[cell] for tenant, cell in placed.tenants.items()},
    )


def _build_rate_limits(
    scenario: Scenario, rate: float, cell_count: int, proxy_count: int
) -> RateLimitPlan | None:
    """Returns the rate limits of one proxy, None if the scenario has none."""
    multiples = scenario.rate_limits
    if multiples is None:
        return None
    return RateLimitPlan(
        cell_requests_per_s=rate / max(1, cell_count) / proxy_count * multiples.cell,
        tenant_requests_per_s=rate / scenario.tenants.count / proxy_count * multiples.tenant,
        burst_s=multiples.burst_s,
        tenant_in_flight=multiples.tenant_in_flight,
    )
