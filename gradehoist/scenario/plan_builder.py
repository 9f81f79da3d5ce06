"""Draws the plan of a run from a scenario and a seed: the same seed plays the same run, but for the ports."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import msgspec

from gradehoist.cells import placement
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
from gradehoist.testbed.process import dice
from gradehoist.testbed.scenario_plan import Class, Limits, Plan, Relay, Replica, Rules

REPLICAS_PER_CELL = 4  # of the cells that an endpoint list names; the cells of tenants are others
SPEED_SPREAD = (0.85, 1.15)  # machines of one kind differ so much
SIZE_ERROR = (0.9, 1.1)  # the endpoint list's size of a replica is wrong so much
MIN_REPLICAS_PER_CELL = 2
MIN_ZONES_PER_CELL = 2


@dataclass(frozen=True)
class PlacedCells:
    """The cells of tenants, and where the placement put replicas and tenants."""

    names: tuple[str, ...]
    cell_by_replica: dict[str, str]
    cell_by_tenant: dict[str, str]


def build_plan(
    scenario: Scenario, seed: int, follow_governors: bool = True, even_weights: bool = False
) -> Plan:
    """Draws the plan of one run.

    Args:
        scenario: what is run.
        seed: decides everything that is drawn.
        follow_governors: whether the proxies poll a governor, else they stay on their default tables.
        even_weights: whether the default tables hold every replica with the same weight.
    """
    random = dice(seed, "fleet")
    replicas = _draw_replicas(scenario, random)
    proxies = _draw_proxies(scenario, random)
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
    tenants = _draw_tenants(scenario, random)
    cells = _place_cells(scenario, replicas, tenants)
    replica_behaviour = scenario.replica_behaviour
    client_behaviour = scenario.client_behaviour
    proxy_behaviour = scenario.proxy_behaviour
    fleet = scenario.settings.fleet
    plan = Plan(
        name=scenario.name,
        seed=seed,
        length=scenario.length_us,
        zones=fleet.zones,
        classes=classes,
        rules=_build_rules(scenario),
        replicas=tuple(replicas),
        relays=connected.proxies,
        governors=governors,
        links=(*replica_links, *connected.links),
        roster=endpoint_list,
        controls=control_ports,
        steps=(),
        rate=rate,
        shape=(),
        retries=int(client_behaviour.retries),
        try_share=client_behaviour.attempt_share,
        backoff=client_behaviour.backoff_us,
        strikes=int(proxy_behaviour.failures_to_avoid),
        avoid=proxy_behaviour.avoid_us,
        usual_way=int(proxy_behaviour.retry_policy),
        try_factor=proxy_behaviour.attempt_factor,
        standing=int(proxy_behaviour.default_table_size),
        redial=(proxy_behaviour.reconnect_min_us, proxy_behaviour.reconnect_max_us),
        sums_late=(proxy_behaviour.report_delay_min_us, proxy_behaviour.report_delay_max_us),
        period=fleet.load_reporting.period_us,
        hold=fleet.poll_hold_us,
        report_period=replica_behaviour.report_period_us,
        handshake=replica_behaviour.handshake_work_ms,
        drops_waiting=replica_behaviour.drops_waiting,
        full_is_proof=replica_behaviour.full_is_proof,
        follow_governors=follow_governors,
        tenants=tenants,
        cells=cells.names,
        workers=cells.cell_by_replica,
        named=cells.cell_by_tenant,
        limits=_build_rate_limits(scenario, rate, len(cells.names), len(proxies)),
        even=even_weights,
    )
    steps = plan_steps(plan, scenario.faults, scenario.endpoint_list_delays)
    return msgspec.structs.replace(plan, steps=steps)


def speed_up_plan(plan: Plan, factor: float) -> Plan:
    """The same run `factor` times as fast: its length, steps and the endpoint list's delays.

    What the fleet is (latency objectives, grace, warm-up, limits) stays, so a fast run is a harder one that
    is judged by the same rules.
    """
    steps = tuple(msgspec.structs.replace(step, at=round(step.at / factor)) for step in plan.steps)
    shape = tuple((round(at_us / factor), rate_factor) for at_us, rate_factor in plan.shape)
    return msgspec.structs.replace(plan, length=round(plan.length / factor), steps=steps, shape=shape)


def _draw_replicas(scenario: Scenario, random: Random) -> list[Replica]:
    behaviour = scenario.replica_behaviour
    replicas: list[Replica] = []
    for group in scenario.replica_groups:
        for number_in_group in range(group.count + group.spare):
            speed = group.speed * random.uniform(*SPEED_SPREAD)
            replica = Replica(
                name=f"w{len(replicas) + 1}",
                zone=group.zone,
                kind=group.kind,
                cell=len(replicas) // REPLICAS_PER_CELL,
                port=0,
                cores=group.cores,
                speed=round(speed, 4),
                slots=int(behaviour.slots_per_core * group.cores),
                queue=int(behaviour.queue_per_core * group.cores),
                size=round(group.cores * speed * random.uniform(*SIZE_ERROR), 3),
                cold_from=behaviour.start_capacity,
                cold=behaviour.warmup_us,
                listed=number_in_group < group.count,
            )
            replicas.append(replica)
    return replicas


def _draw_proxies(scenario: Scenario, random: Random) -> list[Relay]:
    zones = [group.zone for group in scenario.proxy_groups for _ in range(group.count)]
    weights = [random.lognormvariate(0, scenario.traffic.skew) for _ in zones]
    total = sum(weights)
    return [
        Relay(name=f"r{number}", zone=zone, port=0, share=weight / total, governors=())
        for number, (zone, weight) in enumerate(zip(zones, weights, strict=True), 1)
    ]


def _build_classes(scenario: Scenario) -> tuple[Class, ...]:
    return tuple(
        Class(
            name=settings.name,
            share=scenario.traffic.loads[settings.name].share,
            work=scenario.traffic.loads[settings.name].work_ms,
            cv=scenario.traffic.loads[settings.name].coefficient_of_variation,
            goal=settings.latency_objective_us,
            cutoff=settings.deadline_us,
            gain=settings.priority_weight,
            late_gain=settings.late_priority_factor,
            repeat=settings.idempotency.value,
            only_zones=settings.allowed_zones,
            only_kinds=settings.allowed_kinds,
            stays_local=settings.zone_local,
        )
        for settings in scenario.settings.fleet.classes
    )


def _capacity_requests_per_s(replicas: list[Replica], classes: tuple[Class, ...]) -> float:
    """The requests a second that the listed replicas can do when they are warm."""
    total_share = sum(request_class.share for request_class in classes)
    mean_work_ms = sum(request_class.share * request_class.work for request_class in classes) / total_share
    return sum(replica.cores * replica.speed for replica in replicas if replica.listed) * 1e3 / mean_work_ms


def _build_rules(scenario: Scenario) -> Rules:
    safety = scenario.settings.fleet.safety
    channel = scenario.settings.fleet.channel
    return Rules(
        grace=safety.drain_grace_us,
        cold_time=safety.warmup_us,
        fall_multiple=safety.overload_multiple,
        fall_span=safety.overload_window_us,
        bare_limit=safety.unroutable_limit_us,
        gone_is_advice=safety.gone_is_advisory,
        queue_limit=channel.queue_limit_lines,
        line_rate=channel.lines_per_s,
        message_head=channel.message_overhead_lines,
        message_limit=channel.messages_per_window,
        message_window=channel.message_window_us,
    )


def _draw_tenants(scenario: Scenario, random: Random) -> tuple[tuple[str, float], ...]:
    """Names of tenants and their shares of the traffic."""
    weights = [random.lognormvariate(0, scenario.tenants.skew) for _ in range(scenario.tenants.count)]
    total = sum(weights)
    return tuple((f"inn{number}", weight / total) for number, weight in enumerate(weights))


def _place_cells(
    scenario: Scenario, replicas: list[Replica], tenants: tuple[tuple[str, float], ...]
) -> PlacedCells:
    names = tuple(f"c{number}" for number in range(scenario.tenants.cells))
    if not names:
        return PlacedCells(names=(), cell_by_replica={}, cell_by_tenant={})
    total_size = sum(replica.size for replica in replicas)
    load = scenario.traffic.load
    placed = placement.plan_placement(
        [placement.Tenant(name, share * load * total_size) for name, share in tenants],
        [
            placement.Replica(replica.name, replica.zone, replica.kind, replica.size)
            for replica in replicas
            if replica.listed
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


def _build_rate_limits(scenario: Scenario, rate: float, cell_count: int, proxy_count: int) -> Limits | None:
    """The limits of one proxy, in requests a second."""
    multiples = scenario.rate_limits
    if multiples is None:
        return None
    return Limits(
        cell=rate / max(1, cell_count) / proxy_count * multiples.cell,
        tenant=rate / scenario.tenants.count / proxy_count * multiples.tenant,
        burst=multiples.burst_s,
        held=multiples.tenant_in_flight,
    )
